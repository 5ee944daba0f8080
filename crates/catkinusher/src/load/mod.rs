//! Open-loop traffic with a mix of prompt lengths, measured as callers feel it.
//!
//! Arrivals are drawn ahead from a seed and sent at their times, whatever
//! becomes of those before them, so that a slow system is not spared. The
//! first phase sends short prompts alone, the second the same short prompts
//! among long ones; the time to first token of the one against the other is
//! the slowdown. Every answer is read token by token, and counts as whole only
//! if each token is the request's own (see docs/PROTOCOLS.md).

mod answer;
mod body;
mod call;
mod draw;
mod plan;
mod report;
mod table;

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

pub use answer::Fault;
pub use call::{Call, Ending};
pub use draw::{Arrival, Phase, draw};
pub use plan::{Caller, Mix, ParseCallerError, ParseMixError, Part, Plan, PlanError};
pub use report::{Cell, Counts, Report};

use call::Sender;

/// How often progress is told.
const TELL: Duration = Duration::from_secs(1);

/// How far a run has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// The phase that runs.
    pub phase: Phase,
    /// Requests sent so far.
    pub sent: u64,
    /// Requests that have ended so far.
    pub ended: u64,
    /// All requests of the plan.
    pub planned: u64,
}

/// Sends the traffic of `plan` and measures it; `tell` hears of the progress.
///
/// # Errors
///
/// If the plan cannot be sent.
pub async fn run<F>(plan: &Plan, mut tell: F) -> Result<Report, PlanError>
where
    F: FnMut(Progress),
{
    plan.check()?;
    let arrivals = draw(plan);
    let planned = arrivals.len() as u64;
    let sender = Arc::new(Sender::new(plan));
    let mut report = Report::default();
    let mut sent = 0;
    for phase in Phase::ALL {
        let mine = arrivals.iter().filter(|arrival| arrival.phase == phase);
        let mut wave = Wave::new(&sender, plan.open);
        for arrival in mine {
            wave.send(*arrival, &mut report).await;
            sent += 1;
            if wave.is_time() {
                let ended = report.ended();
                tell(Progress {
                    phase,
                    sent,
                    ended,
                    planned,
                });
            }
        }
        wave.drain(&mut report).await;
        let ended = report.ended();
        tell(Progress {
            phase,
            sent,
            ended,
            planned,
        });
    }
    Ok(report)
}

/// The requests of one phase.
struct Wave<'a> {
    sender: &'a Arc<Sender>,
    open: usize,
    start: Instant,
    told: Instant,
    calls: JoinSet<Call>,
}

impl<'a> Wave<'a> {
    fn new(sender: &'a Arc<Sender>, open: usize) -> Self {
        let start = Instant::now();
        Self {
            sender,
            open,
            start,
            told: start,
            calls: JoinSet::new(),
        }
    }

    /// Sends a request at its time; one over the bound of open requests is only counted.
    async fn send(&mut self, arrival: Arrival, report: &mut Report) {
        let due = self.start + arrival.at;
        sleep_until(due).await;
        while let Some(call) = self.calls.try_join_next() {
            report.take(finished(call));
        }
        if self.calls.len() >= self.open {
            report.take(Call::unsent(&arrival));
            return;
        }
        let sender = Arc::clone(self.sender);
        self.calls
            .spawn(async move { sender.call(&arrival, due).await });
    }

    fn is_time(&mut self) -> bool {
        let now = Instant::now();
        let due = now - self.told >= TELL;
        if due {
            self.told = now;
        }
        due
    }

    /// Waits for the rest, each of which is bounded in time.
    async fn drain(mut self, report: &mut Report) {
        while let Some(call) = self.calls.join_next().await {
            report.take(finished(call));
        }
    }
}

fn finished(call: Result<Call, tokio::task::JoinError>) -> Call {
    call.expect("a call neither panics nor is aborted")
}
