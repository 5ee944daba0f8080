//! Completions, from the first byte of the prompt to the answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use catkinusher_core::id::RequestId;
use catkinusher_core::time::Time;
use catkinusher_core::units::{Bytes, Tokens};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::core::Core;
use super::peer;
use super::record::{Begin, Records};
use super::route::{Api, REQUEST_ID};
use super::scan::{Ask, Prompt, Scan, ScanError};
use super::sse;
use super::stream::{End, Form, Reader, Stream};
use crate::batch::{Job, Refusal};
use crate::serve::{Answer, Body, refuse};

/// Tokens of an answer if the request names no number.
const DEFAULT_OUTPUT: u64 = 16;

/// The model's name if the request and the engine name none.
const DEFAULT_MODEL: &str = "model";

/// Tells whether a refused request ran.
const OUTCOME: &str = "x-outcome";

/// How often an engine asks whether the members of a group still hold its memory.
const GROUP_POLL: Duration = Duration::from_millis(50);

/// What a completion's head says.
struct Head {
    id: RequestId,
    priority: u8,
    timeout: Option<Duration>,
    group: Vec<SocketAddr>,
}

impl Head {
    fn parse(headers: &HeaderMap) -> Result<Self, &'static str> {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let id = text(REQUEST_ID).ok_or("X-Request-Id is needed")?;
        let millis = text("x-timeout-ms").map(str::parse).transpose();
        let millis = millis.map_err(|_bad| "X-Timeout-Ms takes milliseconds")?;
        let priority = text("x-priority").unwrap_or("0").parse();
        let group = text("x-group").unwrap_or_default().split(',');
        let group = group.map(str::trim).filter(|addr| !addr.is_empty());
        let group = group.map(str::parse).collect::<Result<Vec<_>, _>>();
        Ok(Self {
            id: id.parse().map_err(|_bad| "X-Request-Id takes a name")?,
            priority: priority.map_err(|_bad| "X-Priority takes a number up to 255")?,
            timeout: millis.map(Duration::from_millis),
            group: group.map_err(|_bad| "X-Group takes addresses")?,
        })
    }
}

/// Why a completion did not start.
enum Denied {
    /// The engine took nothing on.
    NotRun(StatusCode, String),
    /// A request of this id runs already.
    Running,
    /// The engine has died.
    Gone,
}

impl From<Refusal> for Denied {
    fn from(refusal: Refusal) -> Self {
        let text = refusal.to_string();
        match refusal {
            Refusal::Full | Refusal::Cold => Self::NotRun(StatusCode::SERVICE_UNAVAILABLE, text),
            Refusal::TooLarge => Self::NotRun(StatusCode::PAYLOAD_TOO_LARGE, text),
            Refusal::Duplicate => Self::Running,
            Refusal::Down => Self::Gone,
        }
    }
}

impl Denied {
    fn count(&self, records: &mut Records) {
        match self {
            Self::NotRun(..) | Self::Gone => records.refused += 1,
            Self::Running => records.doubled += 1,
        }
    }

    fn answer(self) -> Answer {
        match self {
            Self::NotRun(code, reason) => Answer::Reply(not_run(code, &reason)),
            Self::Running => Answer::Reply(refuse(StatusCode::CONFLICT, "it runs already")),
            Self::Gone => Answer::HangUp,
        }
    }
}

fn not_run(code: StatusCode, reason: &str) -> Response<Body> {
    let mut reply = refuse(code, reason);
    let outcome = HeaderValue::from_static("not-run");
    reply.headers_mut().insert(OUTCOME, outcome);
    reply
}

impl Api {
    pub(super) async fn complete(&self, request: Request<Incoming>, form: Form) -> Answer {
        let (parts, body) = request.into_parts();
        let head = match Head::parse(&parts.headers) {
            Ok(head) => head,
            Err(error) => return Answer::Reply(not_run(StatusCode::BAD_REQUEST, error)),
        };
        let (prompt, ask) = match self.read(body).await {
            Ok(Some(read)) => read,
            Ok(None) => return Answer::HangUp,
            Err(error) => {
                let reply = not_run(StatusCode::BAD_REQUEST, &error.to_string());
                return Answer::Reply(reply);
            }
        };
        if prompt.bytes == 0 {
            return Answer::Reply(not_run(StatusCode::BAD_REQUEST, "no prompt"));
        }
        let streamed = ask.stream;
        let reader = match self.admit(&head, &prompt, ask, form).await {
            Ok(reader) => reader,
            Err(denied) => {
                self.0.with(|core, _| denied.count(&mut core.records));
                return denied.answer();
            }
        };
        if prompt.poisoned {
            self.0.crash();
            return Answer::HangUp;
        }
        if streamed {
            return Answer::Reply(sse::stream(reader, 0));
        }
        match reader.stream.ended().await {
            End::Finished(usage) => Answer::Reply(reader.stream.whole(usage)),
            End::Cancelled | End::Dropped => Answer::HangUp,
        }
    }

    /// Reads a body as it arrives; nothing if it breaks off.
    async fn read(&self, mut body: Incoming) -> Result<Option<(Prompt, Ask)>, ScanError> {
        let marker = self.0.switches.get().poison;
        let mut scan = Scan::new(marker.as_deref());
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return Ok(None);
            };
            let Some(data) = frame.data_ref() else {
                continue;
            };
            let bytes = Bytes::new(data.len() as u64);
            self.0.with(|core, _| core.records.received += bytes);
            scan.feed(data)?;
        }
        scan.finish().map(Some)
    }

    async fn admit(
        &self,
        head: &Head,
        prompt: &Prompt,
        ask: Ask,
        form: Form,
    ) -> Result<Reader, Denied> {
        if self.0.switches.get().refuse {
            let reason = "told to refuse".to_owned();
            return Err(Denied::NotRun(StatusCode::SERVICE_UNAVAILABLE, reason));
        }
        let elsewhere = self.elsewhere(head).await?;
        let output = ask.max_tokens.unwrap_or(DEFAULT_OUTPUT);
        let job = Job {
            id: head.id.clone(),
            prompt: prompt.tokens(),
            blocks: prompt.blocks.clone().into(),
            output: Tokens::new(output),
            priority: head.priority,
            elsewhere,
        };
        let model = ask.model.unwrap_or_else(|| DEFAULT_MODEL.to_owned());
        let stream = Arc::new(Stream::new(head.id.clone(), model, form, output));
        let reader = Reader::new(Arc::clone(&self.0), Arc::clone(&stream));
        if self.0.switches.gate().is_over() {
            return Err(Denied::Gone);
        }
        let begun = self
            .0
            .with(|core, now| begin(core, now, job, &stream, head.timeout));
        if let Err(denied) = begun {
            stream.end(End::Dropped);
            return Err(denied);
        }
        if !head.group.is_empty() {
            let members = head.group.clone();
            self.0.tasks.spawn(self.clone().guard(stream, members));
        }
        Ok(reader)
    }

    /// Memory that the members of the group hold for the request.
    async fn elsewhere(&self, head: &Head) -> Result<Tokens, Denied> {
        let mut total = Tokens::ZERO;
        for member in &head.group {
            let Some(memory) = peer::held(*member, &head.id).await else {
                let reason = format!("{member} holds nothing for it");
                return Err(Denied::NotRun(StatusCode::SERVICE_UNAVAILABLE, reason));
            };
            total += memory;
        }
        Ok(total)
    }

    /// Drops a request when a member of its group has lost its part.
    async fn guard(self, stream: Arc<Stream>, members: Vec<SocketAddr>) {
        while !stream.has_ended() {
            tokio::time::sleep(GROUP_POLL).await;
            for member in &members {
                if peer::held(*member, &stream.id).await.is_none() {
                    self.0.with(|core, now| core.drop_stream(&stream, now));
                    return;
                }
            }
        }
    }
}

fn begin(
    core: &mut Core,
    now: Time,
    job: Job,
    stream: &Arc<Stream>,
    timeout: Option<Duration>,
) -> Result<(), Denied> {
    if !core.orders.serves(&stream.model) {
        let reason = format!("model `{}` is not loaded", stream.model);
        return Err(Denied::NotRun(StatusCode::NOT_FOUND, reason));
    }
    let begin = Begin {
        id: job.id.clone(),
        at: core.age(),
        prompt: job.prompt,
        priority: job.priority,
    };
    core.batch.submit(job, now)?;
    core.records.begun.push(begin);
    core.streams.insert(stream.id.clone(), Arc::clone(stream));
    if let Some(timeout) = timeout {
        core.plan_timeout(timeout, Arc::clone(stream));
    }
    Ok(())
}
