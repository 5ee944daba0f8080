//! One request, from its arrival to its end.

use std::time::Duration;

use eventsource_stream::{EventStream, Eventsource};
use futures_util::StreamExt;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyDataStream, BodyExt, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::time::{Instant, timeout_at};

use catkinusher_core::class::LengthClass;
use catkinusher_core::outcome::{Outcome, Problem};

use super::answer::{Fault, Reading, Step};
use super::body::Prompt;
use super::draw::{Arrival, Phase};
use super::plan::Plan;

/// How long past its time a request may end before it counts as without end.
const GRACE: Duration = Duration::from_secs(2);

/// The largest problem document that is read, in bytes.
const PROBLEM_LIMIT: usize = 64 * 1024;

/// The header that names a request.
const REQUEST_ID: &str = "x-request-id";

/// How a request ended, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// With the whole answer, every token its own.
    Whole,
    /// With a problem document in place of an answer.
    Refused(Outcome),
    /// With a problem within the answer.
    Failed(Outcome),
    /// Not sent, as too many were open.
    Unsent,
    /// No connection came about.
    Unreachable,
    /// The connection closed without a word.
    Cut,
    /// Neither an answer nor a problem came in its time.
    Silent,
    /// An answer that is not the request's own.
    Wrong(Fault),
    /// A status without a problem document.
    Odd(StatusCode),
}

impl Ending {
    /// Whether the caller knows what became of its request.
    #[must_use]
    pub const fn is_told(&self) -> bool {
        matches!(
            self,
            Self::Whole | Self::Refused(_) | Self::Failed(_) | Self::Unsent
        )
    }
}

/// What was seen of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The phase it was sent in.
    pub phase: Phase,
    /// Its length class.
    pub class: LengthClass,
    /// Its id, if an answer named one.
    pub id: Option<String>,
    /// What the problem document calls the refusal or failure, if there was one.
    pub problem: Option<String>,
    /// From its time of arrival to its first token.
    pub first: Option<Duration>,
    /// Between each token and the next.
    pub gaps: Vec<Duration>,
    /// From its time of arrival to its end.
    pub total: Duration,
    /// How it ended.
    pub ending: Ending,
}

impl Call {
    pub(super) const fn unsent(arrival: &Arrival) -> Self {
        Self {
            phase: arrival.phase,
            class: arrival.class,
            id: None,
            problem: None,
            first: None,
            gaps: Vec::new(),
            total: Duration::ZERO,
            ending: Ending::Unsent,
        }
    }
}

type Events = EventStream<BodyDataStream<Incoming>>;

/// Sends the requests of one plan.
#[derive(Debug)]
pub(super) struct Sender {
    client: Client<HttpConnector, Prompt>,
    plan: Plan,
}

/// What is seen of a request while it runs.
#[derive(Debug)]
struct Watch {
    due: Instant,
    id: Option<String>,
    problem: Option<String>,
    first: Option<Duration>,
    last: Instant,
    gaps: Vec<Duration>,
}

impl Sender {
    pub(super) fn new(plan: &Plan) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            plan: plan.clone(),
        }
    }

    /// Sends the request of `arrival`, which was due at `due`, and reads to its end.
    pub(super) async fn call(&self, arrival: &Arrival, due: Instant) -> Call {
        let mut watch = Watch {
            due,
            id: None,
            problem: None,
            first: None,
            last: due,
            gaps: Vec::new(),
        };
        let deadline = due + self.plan.timeout.get() + GRACE;
        let ending = timeout_at(deadline, self.exchange(arrival, &mut watch)).await;
        Call {
            phase: arrival.phase,
            class: arrival.class,
            id: watch.id,
            problem: watch.problem,
            first: watch.first,
            gaps: watch.gaps,
            total: due.elapsed(),
            ending: ending.unwrap_or(Ending::Silent),
        }
    }

    async fn exchange(&self, arrival: &Arrival, watch: &mut Watch) -> Ending {
        let response = match self.client.request(self.request(arrival)).await {
            Ok(response) => response,
            Err(fault) if fault.is_connect() => return Ending::Unreachable,
            Err(_closed) => return Ending::Cut,
        };
        let id = response.headers().get(REQUEST_ID);
        watch.id = id.and_then(|id| id.to_str().ok()).map(str::to_owned);
        if response.status() != StatusCode::OK {
            return refusal(response, watch).await;
        }
        let id = watch.id.clone().unwrap_or_default();
        let reading = Reading::new(id, self.plan.answer);
        let events = response.into_body().into_data_stream().eventsource();
        read(events, reading, watch).await
    }

    fn request(&self, arrival: &Arrival) -> Request<Prompt> {
        let plan = &self.plan;
        let key = format!("Bearer {}", plan.callers[arrival.caller].key);
        let body = Prompt::new(&plan.model, arrival.prompt, plan.answer, arrival.salt);
        let millis = u64::try_from(plan.timeout.get().as_millis()).unwrap_or(u64::MAX);
        let json = HeaderValue::from_static("application/json");
        Request::post(format!(
            "http://{}/v1/completions",
            plan.entries[arrival.entry]
        ))
        .header(header::AUTHORIZATION, key)
        .header(header::CONTENT_TYPE, json)
        .header("x-timeout-ms", millis)
        .header(REQUEST_ID, format!("load-{:016x}", arrival.salt))
        .body(body)
        .expect("the plan's parts were checked")
    }
}

/// Reads an answer to its end.
async fn read(mut events: Events, mut reading: Reading, watch: &mut Watch) -> Ending {
    while let Some(event) = events.next().await {
        let Ok(event) = event else {
            return Ending::Cut;
        };
        if event.event == "error" {
            return match serde_json::from_str::<Problem>(&event.data) {
                Ok(problem) => Ending::Failed(watch.problem(problem)),
                Err(fault) => Ending::Wrong(Fault::Unreadable(fault.to_string())),
            };
        }
        match reading.take(&event.data) {
            Ok(Step::Token) => watch.token(),
            Ok(Step::Usage | Step::Done) => {}
            Err(fault) => return Ending::Wrong(fault),
        }
    }
    if reading.is_done() {
        Ending::Whole
    } else {
        Ending::Cut
    }
}

impl Watch {
    /// Keeps what a problem is called, and gives what it says of the run.
    fn problem(&mut self, problem: Problem) -> Outcome {
        self.problem = Some(problem.title);
        problem.outcome
    }

    fn token(&mut self) {
        let now = Instant::now();
        if self.first.is_none() {
            self.first = Some(now - self.due);
        } else {
            self.gaps.push(now - self.last);
        }
        self.last = now;
    }
}

/// Reads what a refusal says of the request.
async fn refusal(response: Response<Incoming>, watch: &mut Watch) -> Ending {
    let status = response.status();
    let Ok(body) = Limited::new(response.into_body(), PROBLEM_LIMIT)
        .collect()
        .await
    else {
        return Ending::Cut;
    };
    match serde_json::from_slice::<Problem>(&body.to_bytes()) {
        Ok(problem) => Ending::Refused(watch.problem(problem)),
        Err(_other) => Ending::Odd(status),
    }
}
