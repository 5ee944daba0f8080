//! Forwarding of event streams, with resumption on another upstream after a failure.

use std::time::Duration;

use bytes::Bytes;
use catkinusher_core::directory::Delivery;
use catkinusher_core::events::EventSplitter;
use catkinusher_core::fleet::Fault;
use catkinusher_core::memory::Purpose;
use catkinusher_core::time::Time;
use http::Response;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tracing::info;

use super::answer::{self, AnswerBody, EventSender};
use super::attempt::{ActiveAttempt, Source};
use super::dialect::Dialect;
use super::handle::Job;
use super::memory::Permit;
use super::open::Stage;

/// A stream counts as stalled after this multiple of the longest pause between events that is on time.
const STALL_FACTOR: u32 = 4;

/// The shortest pause after which a stream counts as stalled.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Arrival times of events, for the log.
#[derive(Debug, Default)]
struct EventTimes {
    first: Option<Time>,
    last: Option<Time>,
    longest_pause: Duration,
}

impl EventTimes {
    fn on_event(&mut self, now: Time) {
        self.first.get_or_insert(now);
        let last = self.last.replace(now);
        self.longest_pause = self
            .longest_pause
            .max(last.map_or(Duration::ZERO, |last| now.since(last)));
    }
}

/// How the stream of one upstream ended.
enum StreamEnd {
    Whole,
    ClientLeft,
    DeadlinePassed,
    Stalled,
    /// The upstream broke the stream off.
    BrokenOff(String),
    /// The upstream sent events that cannot be forwarded.
    Malformed(String),
}

/// Answers with a stream whose events are forwarded as they arrive.
pub(super) fn start<D>(job: Job<D>, attempt: ActiveAttempt<D>) -> Response<AnswerBody>
where
    D: Dialect,
{
    let (events, body) = EventSender::new();
    let status = attempt.response.status();
    let mut headers = attempt.response.headers().clone();
    answer::strip_for_stream(&mut headers);
    tokio::spawn(run(job, attempt, events));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

async fn run<D>(mut job: Job<D>, mut attempt: ActiveAttempt<D>, caller: EventSender)
where
    D: Dialect,
{
    let mut events = EventSplitter::resume_after(job.ask.resume);
    let mut arrivals = EventTimes::default();
    let mut ignore_stalls = false;
    let mut is_whole = false;
    let outcome = loop {
        let source = attempt.source.clone();
        let address = attempt.address;
        let keep_alive = answer::keep_alive_timeout(attempt.response.headers());
        let stall_timeout = match source {
            Source::Upstream(_) if !ignore_stalls => stall_timeout(&job),
            // A peer resumes a stalled stream by itself.
            _ => job.route.timeout,
        };
        let before = events.count();
        let end = forward_events(
            &job,
            &mut attempt,
            &mut events,
            &caller,
            &mut arrivals,
            stall_timeout,
        )
        .await;
        if let Source::Upstream(upstream) = &source
            && matches!(end, StreamEnd::BrokenOff(_))
            && events.count() <= before + 1
        {
            job.on_broken_off(upstream, true);
        }
        match end {
            StreamEnd::Whole => {
                if is_framed(&attempt.response) {
                    job.on_answered();
                }
                job.on_source_success(&source);
                job.state
                    .return_to_pool(address, attempt.sender, keep_alive);
                is_whole = true;
                break "whole";
            }
            StreamEnd::ClientLeft => break "caller-left",
            StreamEnd::DeadlinePassed => break "deadline",
            StreamEnd::Stalled => {
                job.on_source_fault(&source, address, Fault::Silent, "stream stalled");
                if job.authorize_retry_after(&source).is_err() {
                    // No other attempt is possible, but this upstream may still continue.
                    ignore_stalls = true;
                    continue;
                }
                let next = tokio::select! {
                    next = job.send(events.last().or(job.ask.resume)) => next,
                    () = caller.closed() => break "caller-left",
                };
                match next {
                    Ok(next) if next.response.status() == http::StatusCode::OK => {
                        events.discard_partial();
                        attempt = next;
                    }
                    Ok(_) | Err(_) => {
                        ignore_stalls = true;
                        job.enter(Stage::Answer);
                    }
                }
            }
            StreamEnd::BrokenOff(detail) | StreamEnd::Malformed(detail) => {
                drop(attempt);
                job.on_source_fault(&source, address, Fault::Broken, &detail);
                events.discard_partial();
                let next = match job.authorize_retry_after(&source) {
                    Ok(()) => tokio::select! {
                        next = job.send(events.last().or(job.ask.resume)) => next.ok(),
                        () = caller.closed() => break "caller-left",
                    },
                    Err(_reason) => None,
                };
                match next {
                    Some(next) if next.response.status() == http::StatusCode::OK => attempt = next,
                    _ => break "broken",
                }
            }
        }
    };
    log_end(&job, outcome, &arrivals, events.last());
    if is_whole {
        caller.finish();
    }
}

/// Logs and counts a stream that has ended.
fn log_end<D>(job: &Job<D>, outcome: &'static str, arrivals: &EventTimes, last: Option<u64>)
where
    D: Dialect,
{
    let took = job.state.now().since(job.received);
    job.state.metrics.on_request_end(job.kind(), outcome, took);
    if let Some(first) = arrivals.first {
        job.state.metrics.on_first_event(first.since(job.received));
    }
    let since = |at: Time| at.since(job.received).as_millis() as u64;
    info!(
        event = "stream",
        request = job.request_id(),
        route = &*job.route.name,
        outcome,
        sends = job.sends,
        prompt = job.ask.prompt.get(),
        last,
        first_ms = arrivals.first.map(since),
        pause_ms = arrivals.longest_pause.as_millis() as u64,
        ms = since(job.state.now()),
    );
}

async fn forward_events<D>(
    job: &Job<D>,
    attempt: &mut ActiveAttempt<D>,
    events: &mut EventSplitter,
    caller: &EventSender,
    arrivals: &mut EventTimes,
    stall_timeout: Duration,
) -> StreamEnd
where
    D: Dialect,
{
    let timers = job.state.timers.clone();
    let is_framed = is_framed(&attempt.response);
    let begun = events.count();
    let mut partial = job.state.memory.permit();
    let mut is_cleared = false;
    // A server that stalls may send a byte now and then, so only whole events count.
    let mut last_event = job.state.now();
    let mut stall_timer = std::pin::pin!(timers.at((last_event + stall_timeout).min(job.deadline)));
    loop {
        tokio::select! {
            frame = next_data(&mut attempt.response) => match frame {
                Some(Ok(bytes)) => {
                    let (whole, fault) = match events.push(&bytes) {
                        Ok(whole) => (whole, None),
                        Err(fault) => (fault.events, Some(fault.error)),
                    };
                    let has_events = !whole.is_empty();
                    if has_events {
                        arrivals.on_event(job.state.now());
                        // The upstream may crash with the first event on its way.
                        if !is_cleared && events.count() >= begun + 2 {
                            is_cleared = true;
                            job.on_answered();
                        }
                        attempt.resources.on_read();
                    }
                    tokio::select! {
                        // Usually there is room, and no timer is needed.
                        biased;
                        is_there = deliver(job, caller, &mut partial, events.buffered(), whole) => {
                            if !is_there {
                                return StreamEnd::ClientLeft;
                            }
                        }
                        () = caller.closed() => return StreamEnd::ClientLeft,
                        () = timers.at(job.deadline) => return StreamEnd::DeadlinePassed,
                    }
                    if has_events {
                        // The upstream is not to blame for the time that the caller took to read.
                        last_event = job.state.now();
                    }
                    if let Some(error) = fault {
                        return StreamEnd::Malformed(error.to_string());
                    }
                }
                Some(Err(error)) => return StreamEnd::BrokenOff(error.to_string()),
                // The end of a connection alone does not prove that a stream without events is complete.
                None if events.count() == begun && !is_framed => {
                    return StreamEnd::BrokenOff("stream ended before its first event".to_owned());
                }
                None if events.is_at_boundary() => return StreamEnd::Whole,
                None => return StreamEnd::BrokenOff("stream ended within an event".to_owned()),
            },
            () = caller.closed() => return StreamEnd::ClientLeft,
            () = stall_timer.as_mut() => {
                let now = job.state.now();
                if now >= job.deadline {
                    return StreamEnd::DeadlinePassed;
                }
                if now >= last_event + stall_timeout {
                    return StreamEnd::Stalled;
                }
                stall_timer.set(timers.at((last_event + stall_timeout).min(job.deadline)));
            }
        }
    }
}

/// Queues events for the caller once there is memory for them and for the partial event after them.
///
/// Meanwhile nothing is read from the upstream. Returns whether the caller is still there.
async fn deliver<D>(
    job: &Job<D>,
    caller: &EventSender,
    partial: &mut Permit,
    buffered: usize,
    whole: Vec<u8>,
) -> bool
where
    D: Dialect,
{
    let purpose = || {
        if caller.has_unread() {
            Purpose::UnreadEvents
        } else {
            Purpose::Events
        }
    };
    if !whole.is_empty() {
        let mut permit = job.state.memory.permit();
        permit.resize(whole.capacity(), purpose).await;
        if !caller.send(permit.hold(whole)).await {
            return false;
        }
    }
    partial.resize(buffered, purpose).await;
    true
}

/// Whether the end of the response shows that it is complete, rather than the end of its connection.
fn is_framed(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

async fn next_data(response: &mut Response<Incoming>) -> Option<Result<Bytes, hyper::Error>> {
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

/// How long a stream may pause before it counts as stalled.
fn stall_timeout<D>(job: &Job<D>) -> Duration
where
    D: Dialect,
{
    if !job.is_repeatable() {
        return job.route.timeout;
    }
    match job.route.delivery {
        Delivery::Events { pause: Some(pause) } => (pause * STALL_FACTOR).max(MIN_STALL_TIMEOUT),
        Delivery::Events { pause: None } | Delivery::Whole => job.route.timeout,
    }
}
