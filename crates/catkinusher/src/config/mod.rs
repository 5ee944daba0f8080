//! The inventory in the object API: read, and changed so that no change is lost unseen.

mod conflict;
mod settle;

use std::time::Duration;

use tokio::time::{Instant, sleep};

use catkinusher_core::id::ChangeId;
use catkinusher_core::inventory::change::{KIND, NAME};
use catkinusher_core::inventory::{self, Change, Inventory};
use catkinusher_core::object::Version;
use catkinusher_platform as platform;
use catkinusher_platform::{Object, Store};

use crate::failure::{Failure, Result};

pub(crate) use conflict::{Byline, Conflict};
use settle::{Verdict, judge};

/// How long to wait before asking the platform again.
const PAUSE: Duration = Duration::from_millis(200);

/// The inventory as it stands.
pub(crate) type Current = Object<Change>;

/// The place of the inventory in the object API.
#[derive(Debug, Clone)]
pub(crate) struct Config {
    store: Store,
    patience: Duration,
}

/// What became of a write.
#[derive(Debug)]
pub(crate) enum Written {
    /// It stands at this version.
    Standing {
        /// The version.
        version: Version,
        /// Whether an answer was lost on the way and the write found by reading back.
        settled: bool,
    },
    /// It took effect, and another change has replaced it since.
    Replaced(Current),
    /// Another change came first, or the object is gone.
    Refused(Option<Current>),
}

impl Config {
    /// The inventory in `store`; a lost answer is settled within `patience`.
    pub(crate) const fn new(store: Store, patience: Duration) -> Self {
        Self { store, patience }
    }

    /// Reads the inventory, or nothing if there is none yet.
    pub(crate) async fn read(&self) -> Result<Option<Current>> {
        Ok(self.store.get(KIND, NAME).await?)
    }

    /// Reads the inventory that must be there.
    pub(crate) async fn need(&self) -> Result<Current> {
        self.read().await?.ok_or(Failure::Nothing)
    }

    /// Writes `change` if `base` still stands there.
    ///
    /// The write is conditional, so that sending it again after a lost answer
    /// is safe: it takes effect at most once. It ends when reading back or a
    /// refusal proves what became of it.
    pub(crate) async fn write(&self, base: Option<&Current>, change: &Change) -> Result<Written> {
        let deadline = Instant::now() + self.patience;
        let mut sent = false;
        loop {
            let fault = match self.put(base, change).await {
                Ok(version) => {
                    return Ok(Written::Standing {
                        version,
                        settled: sent,
                    });
                }
                Err(platform::Error::Conflict { standing }) => {
                    return self.settle(base, change, standing, sent, deadline).await;
                }
                Err(fault) => fault,
            };
            sent = sent || !fault.proves_not_written();
            let pause = match &fault {
                platform::Error::Throttled { after } => *after,
                platform::Error::Lost(_) | platform::Error::Bad(_) => PAUSE,
                _away if sent => PAUSE,
                _away => return Err(fault.into()),
            };
            if Instant::now() + pause > deadline {
                return Err(give_up(change, fault, sent));
            }
            sleep(pause).await;
        }
    }

    async fn put(&self, base: Option<&Current>, change: &Change) -> platform::Result<Version> {
        match base {
            Some(base) => self.store.update(KIND, NAME, change, base.version).await,
            None => self.store.create(KIND, NAME, change).await,
        }
    }

    /// Reads back what stood in the way of a write, and tells whether it was the write itself.
    async fn settle(
        &self,
        base: Option<&Current>,
        change: &Change,
        standing: Version,
        sent: bool,
        deadline: Instant,
    ) -> Result<Written> {
        let current = self.read_from(standing, deadline).await;
        let current = match current {
            Ok(current) => current,
            Err(Failure::Platform(fault)) => return Err(give_up(change, fault, sent)),
            Err(other) => return Err(other),
        };
        match judge(base, change, current, sent) {
            Verdict::Settled(written) => Ok(written),
            Verdict::Unclear => Err(Failure::Unknown {
                change: change.change.clone(),
                reason: "too many changes came after it".to_owned(),
            }),
        }
    }

    /// Reads the inventory until what comes is not older than `version`.
    async fn read_from(&self, version: Version, deadline: Instant) -> Result<Option<Current>> {
        loop {
            let outcome = self.read().await;
            match &outcome {
                Ok(Some(current)) if current.version >= version => return outcome,
                Ok(None) if version == Version::NONE => return outcome,
                Ok(_old) if Instant::now() > deadline => {
                    return Err(Failure::Absent(format!(
                        "the platform answers older than {version} all the time"
                    )));
                }
                Err(_) if Instant::now() > deadline => return outcome,
                Ok(_) | Err(_) => sleep(PAUSE).await,
            }
        }
    }
}

/// A change's id that nobody else chooses.
pub(crate) fn fresh_id() -> ChangeId {
    let id = format!("{:016x}", rand::random::<u64>());
    id.parse().expect("hexadecimal digits make a name")
}

/// Reads the inventory that a change holds.
pub(crate) fn standing(change: &Change) -> Result<Inventory> {
    inventory::read(&change.toml).map_err(Failure::Standing)
}

/// What a write ends in that could not be settled in time.
fn give_up(change: &Change, fault: platform::Error, sent: bool) -> Failure {
    if sent {
        Failure::Unknown {
            change: change.change.clone(),
            reason: fault.to_string(),
        }
    } else {
        fault.into()
    }
}
