//! The rate budget that every call to the platform passes.
//!
//! The core's [`Budget`] decides, one for reads and one for writes, as the
//! platform counts them apart; here a call waits for its turn.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::Method;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use catkinusher_core::budget::{Budget, Settings, Verdict};
use catkinusher_core::time::Time;
use catkinusher_core::units::Rate;

use crate::error::{Error, Result};

pub use catkinusher_core::budget::Purpose as Priority;

#[derive(Debug)]
struct Budgets {
    origin: Instant,
    reads: Budget,
    writes: Budget,
}

impl Budgets {
    fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }

    fn take(&mut self, method: &Method, priority: Priority) -> Verdict {
        let now = self.now();
        if *method == Method::GET {
            self.reads.take(priority, now)
        } else {
            self.writes.take(priority, now)
        }
    }
}

/// The calls to the platform that one node has made.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Calls {
    /// Reads and watches.
    pub reads: u64,
    /// Writes and removals.
    pub writes: u64,
}

#[derive(Debug, Default)]
struct Counts {
    reads: AtomicU64,
    writes: AtomicU64,
}

impl Counts {
    fn add(&self, method: &Method) {
        let counter = if *method == Method::GET {
            &self.reads
        } else {
            &self.writes
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// The rate budget of one node, shared by all its clients of the platform.
#[derive(Debug, Clone)]
pub struct Gate {
    budgets: Option<Arc<Mutex<Budgets>>>,
    counts: Arc<Counts>,
}

impl Gate {
    /// The budget of one of `nodes` that share the fleet's rates of reads and of writes.
    #[must_use]
    pub fn shared(reads: Settings, writes: Settings, nodes: usize) -> Self {
        let budgets = Budgets {
            origin: Instant::now(),
            reads: Budget::new(reads, nodes, Time::ZERO),
            writes: Budget::new(writes, nodes, Time::ZERO),
        };
        Self {
            budgets: Some(Arc::new(Mutex::new(budgets))),
            counts: Arc::default(),
        }
    }

    /// A budget of `rate` reads and as many writes a second, with up to `burst` at once.
    #[must_use]
    pub fn new(rate: Rate, burst: u32) -> Self {
        let settings = Settings {
            fleet: rate,
            least: rate,
            burst: f64::from(burst) / rate.get(),
            ..Settings::default()
        };
        Self::shared(settings.clone(), settings, 1)
    }

    /// No bound, for a client that an operator runs once.
    #[must_use]
    pub fn unlimited() -> Self {
        Self {
            budgets: None,
            counts: Arc::default(),
        }
    }

    /// How many calls it let pass so far.
    #[must_use]
    pub fn calls(&self) -> Calls {
        Calls {
            reads: self.counts.reads.load(Ordering::Relaxed),
            writes: self.counts.writes.load(Ordering::Relaxed),
        }
    }

    /// Takes in how many nodes share the fleet's rates.
    pub fn on_nodes(&self, nodes: usize) {
        if let Some(budgets) = &self.budgets {
            let mut budgets = lock(budgets);
            let now = budgets.now();
            budgets.reads.on_nodes(nodes, now);
            budgets.writes.on_nodes(nodes, now);
        }
    }

    /// Waits for a call's turn, at most until `deadline`.
    pub(crate) async fn pass(
        &self,
        method: &Method,
        priority: Priority,
        deadline: Instant,
    ) -> Result<()> {
        let Some(budgets) = &self.budgets else {
            self.counts.add(method);
            return Ok(());
        };
        loop {
            let verdict = lock(budgets).take(method, priority);
            match verdict {
                Verdict::Allow => {
                    self.counts.add(method);
                    return Ok(());
                }
                Verdict::Wait(after) if Instant::now() + after > deadline => {
                    return Err(Error::Throttled { after });
                }
                Verdict::Wait(after) => sleep(after).await,
            }
        }
    }

    /// Holds calls of one kind back for `after`, as the platform asked.
    pub(crate) fn pause(&self, method: &Method, after: Duration) {
        if let Some(budgets) = &self.budgets {
            let mut budgets = lock(budgets);
            let now = budgets.now();
            if *method == Method::GET {
                budgets.reads.on_refused(after, now);
            } else {
                budgets.writes.on_refused(after, now);
            }
        }
    }
}

fn lock(budgets: &Mutex<Budgets>) -> MutexGuard<'_, Budgets> {
    budgets.lock().unwrap_or_else(PoisonError::into_inner)
}
