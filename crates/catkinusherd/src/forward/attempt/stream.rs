//! Relaying a streamed response, frame by frame.

use std::time::Duration;

use bytes::Bytes;
use catkinusher_core::frames::{Allowed, Assembly, Cure, Fault, Frame, Link, Verdict};
use catkinusher_core::outcome::Refusal;
use catkinusher_core::owner;
use catkinusher_core::progress::{self, Probe, Side, Watch};
use catkinusher_upstream::Error;
use catkinusher_upstream::engine;
use catkinusher_upstream::stream::{Event, Events, Usage};
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderValue, Response};
use hyper::body::Incoming;
use tracing::info;

use super::{Attempt, AttemptResult};
use crate::explain::Step;
use crate::forward::sink::{CallerGone, ResponseSink};
use crate::front::intake::UpstreamBody;

/// How often one stream may be reconnected.
const MAX_RECONNECTS: u32 = 4;

/// Why relaying a stream ended early.
enum RelayError {
    CallerGone,
    Upstream(String),
}

impl From<CallerGone> for RelayError {
    fn from(_gone: CallerGone) -> Self {
        Self::CallerGone
    }
}

enum NextEvent {
    Event(Event),
    Lost(Fault),
}

struct Stream {
    events: Events,
    link: Link,
    assembly: Assembly,
    watch: Watch,
    usage: Option<(Usage, String)>,
}

impl Attempt<'_> {
    pub(super) async fn relay_stream(
        &mut self,
        response: Response<Incoming>,
        sink: &mut ResponseSink,
    ) -> AttemptResult {
        let mut stream = Stream {
            events: Events::new(self.lease.address, response.into_body()),
            link: Link::default(),
            assembly: Assembly::new(
                self.upstream_request.request.clone(),
                Allowed {
                    resume: true,
                    restart: self.job.may_restart(),
                    links: MAX_RECONNECTS,
                },
            ),
            watch: Watch::new(
                Side::Upstream,
                progress::Limits::of(Side::Upstream),
                self.now(),
            ),
            usage: None,
        };
        match self.pump(&mut stream, sink).await {
            Ok(()) => {
                sink.finish();
                AttemptResult::Completed
            }
            Err(RelayError::CallerGone) => AttemptResult::CallerGone,
            Err(RelayError::Upstream(detail)) => {
                self.report.outcome = owner::Outcome::Failed;
                let refusal = Refusal::AnswerBroken {
                    detail,
                    outcome: self.job.history.outcome(),
                };
                AttemptResult::Failed {
                    refusal,
                    retry_after: None,
                }
            }
        }
    }

    async fn pump(
        &mut self,
        stream: &mut Stream,
        sink: &mut ResponseSink,
    ) -> Result<(), RelayError> {
        loop {
            let verdict = match self.next(stream, sink).await? {
                NextEvent::Event(event) => self.on_event(stream, event, sink).await?,
                NextEvent::Lost(fault) => stream.assembly.close(fault),
            };
            match verdict {
                Verdict::Deliver | Verdict::Skip => {}
                Verdict::Finish => return self.finish(stream, sink).await,
                Verdict::Close { fault, cure } => self.recover(stream, fault, cure).await?,
            }
        }
    }

    async fn next(
        &self,
        stream: &mut Stream,
        sink: &mut ResponseSink,
    ) -> Result<NextEvent, RelayError> {
        loop {
            let now = self.now();
            let until = match stream.watch.on_time(now) {
                progress::Verdict::Wait { until } => until,
                progress::Verdict::Ask => match self.probe(stream).await {
                    progress::Verdict::Wait { until } => until,
                    _ => return Ok(NextEvent::Lost(Fault::Truncated)),
                },
                _ => return Ok(NextEvent::Lost(Fault::Truncated)),
            };
            let limit = until.since(now).max(Duration::from_millis(1));
            let event = tokio::select! {
                event = stream.events.next(limit) => event,
                () = sink.caller_gone() => return Err(RelayError::CallerGone),
            };
            match event {
                Ok(Some(event)) => return Ok(NextEvent::Event(event)),
                Ok(None) => return Ok(NextEvent::Lost(Fault::Truncated)),
                Err(Error::Silent { .. }) => {}
                Err(error) => {
                    info!(request = %self.upstream_request.request, "route: stream failed: {error}");
                    return Ok(NextEvent::Lost(Fault::Truncated));
                }
            }
        }
    }

    /// Queries the state of the request on a new connection to the engine.
    async fn probe(&self, stream: &mut Stream) -> progress::Verdict {
        let state = &self.upstream_request.state;
        let response = engine::running(&state.control, self.lease.address).await;
        let probe = match response {
            Ok(list) => list
                .streams
                .iter()
                .find(|running| running.id == self.upstream_request.request)
                .map_or(Probe::Unknown, |running| Probe::Working {
                    done: running.generated,
                }),
            Err(_error) => Probe::Silent,
        };
        let verdict = stream.watch.on_probe(probe, self.now());
        info!(request = %self.upstream_request.request, upstream = %self.lease.upstream, ?probe, ?verdict, "route: probed a silent stream");
        verdict
    }

    async fn on_event(
        &mut self,
        stream: &mut Stream,
        event: Event,
        sink: &mut ResponseSink,
    ) -> Result<Verdict, RelayError> {
        let (frame, data) = match event {
            Event::Token { request, seq, data } => {
                let Ok(request) = request.parse() else {
                    return Ok(stream.assembly.close(Fault::Crossed));
                };
                (Frame::Piece { request, seq }, data)
            }
            Event::Usage {
                request,
                usage,
                data,
            } => {
                if request != self.upstream_request.request.as_str() {
                    return Ok(stream.assembly.close(Fault::Crossed));
                }
                stream.usage = Some((usage, data));
                return Ok(Verdict::Skip);
            }
            Event::Done => {
                let pieces = stream
                    .usage
                    .as_ref()
                    .map(|(usage, _data)| usage.completion_tokens);
                let request = self.upstream_request.request.clone();
                (Frame::End { request, pieces }, String::new())
            }
        };
        let verdict = stream.assembly.on_frame(stream.link, &frame);
        if verdict == Verdict::Deliver {
            let done = stream.assembly.delivered();
            stream.watch.on_progress(done, self.now());
            self.deliver(&data, sink).await?;
        }
        Ok(verdict)
    }

    async fn deliver(&mut self, data: &str, sink: &mut ResponseSink) -> Result<(), RelayError> {
        if !sink.is_head_sent() {
            let took = self.now().since(self.started);
            self.report.time_to_first_token = Some(took);
            self.upstream_request
                .state
                .metrics
                .time("front.first_token", took);
            self.job.request_body.release_buffer();
            sink.send_head(event_stream());
        }
        Ok(sink.send_chunk(sse_event(data)).await?)
    }

    async fn finish(
        &mut self,
        stream: &mut Stream,
        sink: &mut ResponseSink,
    ) -> Result<(), RelayError> {
        if !sink.is_head_sent() {
            sink.send_head(event_stream());
        }
        if let Some((usage, data)) = stream.usage.take() {
            self.on_usage(usage);
            sink.send_chunk(sse_event(&data)).await?;
        }
        sink.send_chunk(sse_event(catkinusher_upstream::stream::DONE))
            .await?;
        Ok(())
    }

    async fn recover(
        &mut self,
        stream: &mut Stream,
        fault: Fault,
        cure: Cure,
    ) -> Result<(), RelayError> {
        let broken = || RelayError::Upstream(fault.to_string());
        let mut cure = cure;
        loop {
            let Cure::Resume { offset, link } = cure else {
                return Err(broken());
            };
            info!(request = %self.upstream_request.request, upstream = %self.lease.upstream, offset, "route: resuming the stream after: {fault}");
            match self.resume(offset).await {
                Ok(events) => {
                    let step = Step::Resumed {
                        upstream: self.lease.upstream.clone(),
                        offset,
                    };
                    self.upstream_request
                        .state
                        .journal
                        .record(&self.upstream_request.request, step);
                    stream.events = events;
                    stream.link = link;
                    stream.watch = Watch::new(
                        Side::Upstream,
                        progress::Limits::of(Side::Upstream),
                        self.now(),
                    );
                    return Ok(());
                }
                Err(Error::Status { .. }) => cure = stream.assembly.on_unknown(),
                Err(error) => {
                    info!(request = %self.upstream_request.request, "route: cannot resume the stream: {error}");
                    return Err(broken());
                }
            }
        }
    }

    async fn resume(&self, offset: u64) -> Result<Events, Error> {
        let state = &self.upstream_request.state;
        let limit = progress::Limits::of(Side::Upstream).silence.get();
        engine::resume::<UpstreamBody>(
            &state.sender,
            self.lease.address,
            &self.upstream_request.request,
            offset,
            limit,
        )
        .await
    }
}

fn sse_event(data: &str) -> Bytes {
    format!("data: {data}\n\n").into()
}

fn event_stream() -> Response<()> {
    let mut response = Response::new(());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}
