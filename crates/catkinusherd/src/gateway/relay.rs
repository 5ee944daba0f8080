//! Passing a stream on, and going on elsewhere when its upstream is lost.

use std::time::Duration;

use bytes::Bytes;
use catkinusher_core::directory::Delivery;
use catkinusher_core::events::EventSplitter;
use catkinusher_core::fleet::Fault;
use catkinusher_core::time::Time;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tracing::info;

use super::answer::{self, Broken, Content};
use super::attempt::Live;
use super::dialect::Dialect;
use super::handle::Job;

/// Events that may wait for a slow caller before its upstream is held up.
const QUEUE: usize = 16;

/// The multiple of the longest pause on time after which a stream counts as lost.
const PAUSES: u32 = 4;

/// The least pause after which a stream counts as lost.
const LEAST_PAUSE: Duration = Duration::from_millis(1500);

/// When events came, for the log.
#[derive(Debug, Default)]
struct Progress {
    first: Option<Time>,
    last: Option<Time>,
    pause: Duration,
}

impl Progress {
    fn on_event(&mut self, now: Time) {
        self.first.get_or_insert(now);
        let last = self.last.replace(now);
        self.pause = self
            .pause
            .max(last.map_or(Duration::ZERO, |last| now.since(last)));
    }
}

/// How the stream of one upstream ended.
enum End {
    Whole,
    Left,
    Late,
    Silent,
    Lost(String),
}

/// Answers with a stream that is passed on as it comes.
pub(super) fn start<D>(job: Job<D>, live: Live<D>) -> Response<Content>
where
    D: Dialect,
{
    let (events, receiver) = mpsc::channel(QUEUE);
    let status = live.response.status();
    let mut headers = live.response.headers().clone();
    answer::streamed(&mut headers);
    tokio::spawn(run(job, live, events));
    let mut response = Response::new(Content::Events(receiver));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

async fn run<D>(mut job: Job<D>, mut live: Live<D>, caller: mpsc::Sender<Result<Bytes, Broken>>)
where
    D: Dialect,
{
    let mut events = EventSplitter::resume_after(job.ask.resume);
    let mut progress = Progress::default();
    let mut patient = false;
    let outcome = loop {
        let upstream = live.upstream.clone();
        let address = live.address;
        let head = answer::kept(live.response.headers());
        let pause = if patient {
            job.route.timeout
        } else {
            pause(&job)
        };
        let end = pass(&job, &mut live, &mut events, &caller, &mut progress, pause).await;
        match end {
            End::Whole => {
                let now = job.state.now();
                job.state.fleet().on_success(&upstream, now);
                job.state.keep(address, live.sender, head);
                break "whole";
            }
            End::Left => break "caller-left",
            End::Late => {
                let _left = caller.send(Err(Broken)).await;
                break "deadline";
            }
            End::Silent => {
                job.fail(&upstream, address, Fault::Silent, "silent for too long");
                if job.again(&upstream).is_err() {
                    // Its answer may still come, and nothing else can.
                    patient = true;
                    continue;
                }
                let next = tokio::select! {
                    next = job.send(events.last().or(job.ask.resume)) => next,
                    () = caller.closed() => break "caller-left",
                };
                match next {
                    Ok(next) if next.response.status() == http::StatusCode::OK => {
                        events.discard_partial();
                        live = next;
                    }
                    Ok(_) | Err(_) => patient = true,
                }
            }
            End::Lost(detail) => {
                drop(live);
                job.fail(&upstream, address, Fault::Broken, &detail);
                events.discard_partial();
                let next = match job.again(&upstream) {
                    Ok(()) => tokio::select! {
                        next = job.send(events.last().or(job.ask.resume)) => next.ok(),
                        () = caller.closed() => break "caller-left",
                    },
                    Err(_reason) => None,
                };
                match next {
                    Some(next) if next.response.status() == http::StatusCode::OK => live = next,
                    _ => {
                        let _left = caller.send(Err(Broken)).await;
                        break "broken";
                    }
                }
            }
        }
    };
    let took = job.state.now().since(job.received);
    job.state.metrics.on_end(job.kind(), outcome, took);
    if let Some(first) = progress.first {
        job.state.metrics.on_first(first.since(job.received));
    }
    let since = |at: Time| at.since(job.received).as_millis() as u64;
    info!(
        event = "stream",
        request = job.name(),
        route = &*job.route.name,
        outcome,
        sends = job.sends,
        prompt = job.ask.prompt.get(),
        last = events.last(),
        first_ms = progress.first.map(since),
        pause_ms = progress.pause.as_millis() as u64,
        ms = since(job.state.now()),
    );
}

async fn pass<D>(
    job: &Job<D>,
    live: &mut Live<D>,
    events: &mut EventSplitter,
    caller: &mpsc::Sender<Result<Bytes, Broken>>,
    progress: &mut Progress,
    pause: Duration,
) -> End
where
    D: Dialect,
{
    let timers = job.state.timers.clone();
    let mut heard = job.state.now();
    let mut alarm = std::pin::pin!(timers.at((heard + pause).min(job.deadline)));
    loop {
        tokio::select! {
            frame = next(&mut live.response) => match frame {
                Some(Ok(bytes)) => {
                    heard = job.state.now();
                    let whole = match events.push(&bytes) {
                        Ok(whole) => whole,
                        Err(fault) => return End::Lost(fault.to_string()),
                    };
                    if whole.is_empty() {
                        continue;
                    }
                    progress.on_event(heard);
                    live.held.on_read();
                    if caller.send(Ok(whole.into())).await.is_err() {
                        return End::Left;
                    }
                }
                Some(Err(error)) => return End::Lost(error.to_string()),
                None if events.is_at_boundary() => return End::Whole,
                None => return End::Lost("ended within an event".to_owned()),
            },
            () = caller.closed() => return End::Left,
            () = alarm.as_mut() => {
                let now = job.state.now();
                if now >= job.deadline {
                    return End::Late;
                }
                if now >= heard + pause {
                    return End::Silent;
                }
                alarm.set(timers.at((heard + pause).min(job.deadline)));
            }
        }
    }
}

async fn next(response: &mut Response<Incoming>) -> Option<Result<Bytes, hyper::Error>> {
    loop {
        match response.body_mut().frame().await? {
            Ok(frame) => {
                if let Ok(data) = frame.into_data() {
                    return Some(Ok(data));
                }
            }
            Err(error) => return Some(Err(error)),
        }
    }
}

/// How long a stream may pause before it counts as lost.
fn pause<D>(job: &Job<D>) -> Duration
where
    D: Dialect,
{
    if !job.repeats() {
        return job.route.timeout;
    }
    match job.route.delivery {
        Delivery::Events { pause: Some(pause) } => (pause * PAUSES).max(LEAST_PAUSE),
        Delivery::Events { pause: None } | Delivery::Whole => job.route.timeout,
    }
}
