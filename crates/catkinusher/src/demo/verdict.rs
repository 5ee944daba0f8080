//! What callers were told, held against what the engines recorded.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use catkinusher_core::id::RequestId;
use catkinusher_core::outcome::Outcome;
use catkinusher_core::units::Tokens;
use catkinusher_fakes::engine::Handle;
use catkinusher_fakes::site::Site;

use crate::load::{Call, Ending, Report};

/// How often the engines are asked again.
const LOOK: Duration = Duration::from_millis(50);

/// What the engines say of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// Requests whose callers were not told what became of them.
    pub untold: u64,
    /// Requests whose callers were told `not-run`, and which an engine ran.
    pub false_refusals: u64,
    /// Requests with a whole answer that no engine ran.
    pub unrecorded: u64,
    /// Memory that engines still hold after the last request.
    pub held: Tokens,
}

impl Verdict {
    /// The verdict once the engines hold nothing more, or after `patience`.
    pub(super) async fn settled(report: &Report, site: &Site, patience: Duration) -> Self {
        let deadline = Instant::now() + patience;
        while held(site) > Tokens::ZERO && Instant::now() < deadline {
            sleep(LOOK).await;
        }
        Self::of(report, site)
    }

    fn of(report: &Report, site: &Site) -> Self {
        let runs = runs(site);
        let ran = |call: &&Call| call.id.as_deref().is_some_and(|id| runs.contains_key(id));
        let refused = report
            .calls()
            .iter()
            .filter(|call| is_refused(&call.ending));
        let whole = report.calls().iter();
        let whole = whole.filter(|call| call.ending == Ending::Whole);
        Self {
            untold: report.counts().untold,
            false_refusals: refused.filter(ran).count() as u64,
            unrecorded: whole.filter(|call| !ran(call)).count() as u64,
            held: held(site),
        }
    }

    /// Whether every request had a true outcome and no memory was lost.
    #[must_use]
    pub fn is_good(&self) -> bool {
        let Self {
            untold,
            false_refusals,
            unrecorded,
            held,
        } = *self;
        untold + false_refusals + unrecorded == 0 && held == Tokens::ZERO
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "untold {}, false `not-run` {}, whole answers that no engine ran {}, \
             tokens of memory still held {}: {}",
            self.untold,
            self.false_refusals,
            self.unrecorded,
            self.held,
            if self.is_good() { "good" } else { "BAD" }
        )
    }
}

const fn is_refused(ending: &Ending) -> bool {
    matches!(
        ending,
        Ending::Refused(Outcome::NotRun) | Ending::Failed(Outcome::NotRun)
    )
}

/// How often each request ran, over all engines.
fn runs(site: &Site) -> BTreeMap<RequestId, u32> {
    let mut runs = BTreeMap::new();
    for engine in site.engines.values() {
        for (id, count) in engine.records().runs() {
            *runs.entry(id).or_default() += count;
        }
    }
    runs
}

fn held(site: &Site) -> Tokens {
    let engines = site.engines.values();
    engines.map(Handle::memory_held).sum()
}
