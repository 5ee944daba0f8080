//! Rate limiting of all calls to the platform.
//!
//! The core's [`Budget`] makes the decisions, one for reads and one for writes,
//! as the platform limits them separately; calls wait here until allowed.

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

/// The number of calls that one node has made to the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Calls {
    /// Reads and watches.
    pub reads: u64,
    /// Writes and deletions.
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
    /// Creates the budget of one of `nodes` that share the fleet's read and write rates.
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

    /// Creates a budget of `rate` reads and `rate` writes per second, with bursts of `burst`.
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

    /// Creates a gate without a limit, for one-off clients run by an operator.
    #[must_use]
    pub fn unlimited() -> Self {
        Self {
            budgets: None,
            counts: Arc::default(),
        }
    }

    /// The number of calls allowed so far.
    #[must_use]
    pub fn calls(&self) -> Calls {
        Calls {
            reads: self.counts.reads.load(Ordering::Relaxed),
            writes: self.counts.writes.load(Ordering::Relaxed),
        }
    }

    /// Updates the number of nodes that share the fleet's rates.
    pub fn on_nodes(&self, nodes: usize) {
        if let Some(budgets) = &self.budgets {
            let mut budgets = lock(budgets);
            let now = budgets.now();
            budgets.reads.on_nodes(nodes, now);
            budgets.writes.on_nodes(nodes, now);
        }
    }

    /// Waits until a call is allowed, at most until `deadline`.
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

    /// Pauses reads or writes for `after`, as requested by the platform.
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
