//! What the parts of an engine share, and the task that keeps it going.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use catkinusher_core::time::Time;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until};

use super::core::Core;
use super::sse::FrameFaults;
use super::stream::Stream;
use super::{Config, Faults, Running};
use crate::faults::Switches;
use crate::handle::Standin;
use crate::lag::lock;
use crate::serve::Tasks;

/// The inside of an engine.
#[derive(Debug)]
pub struct State {
    core: Mutex<Core>,
    wake: Notify,
    /// Whether the engine was dead when the switches were last looked at.
    died: AtomicBool,
    pub(super) switches: Switches<Faults>,
    pub(super) tasks: Tasks,
    pub(super) grace: Duration,
    pub(super) event_lag: Duration,
}

impl Standin for State {
    type Faults = Faults;

    fn switches(&self) -> &Switches<Faults> {
        &self.switches
    }
}

impl State {
    pub(super) fn new(config: &Config) -> Self {
        let switches = Switches::new(config.faults.clone());
        Self {
            core: Mutex::new(Core::new(config, switches.clone())),
            wake: Notify::new(),
            died: AtomicBool::new(false),
            switches,
            tasks: Tasks::default(),
            grace: config.grace,
            event_lag: config.event_lag,
        }
    }

    fn core(&self) -> MutexGuard<'_, Core> {
        lock(&self.core)
    }

    /// Does something with the engine as it stands now.
    ///
    /// No reader may be dropped within, for its end locks the engine as well.
    pub(super) fn with<F, R>(self: &Arc<Self>, act: F) -> R
    where
        F: FnOnce(&mut Core, Time) -> R,
    {
        let mut core = self.core();
        let now = core.settle();
        let result = act(&mut core, now);
        core.settle();
        let collapsed = core.take_collapse();
        let restart = core.batch.rates().restart;
        let down = collapsed.then(|| core.clock.real(restart));
        drop(core);
        if let Some(down) = down {
            self.go_down(down);
        }
        self.wake.notify_one();
        result
    }

    /// Closes all connections and refuses new ones for a while.
    fn go_down(self: &Arc<Self>, down: Duration) {
        self.switches.gate().set_down(true);
        let state = Arc::clone(self);
        self.tasks.spawn(async move {
            sleep(down).await;
            state.switches.gate().set_down(false);
        });
    }

    pub(super) fn restart(&self) {
        let mut core = self.core();
        let now = core.settle();
        core.batch.restart(now);
        core.settle();
        core.take_collapse();
        drop(core);
        self.switches.gate().set_down(true);
        self.switches.gate().set_down(false);
    }

    /// Brings a poisonous request to its end.
    pub(super) fn crash(self: &Arc<Self>) {
        self.with(|core, now| {
            core.records.poisoned += 1;
            core.batch.collapse(now);
        });
    }

    /// Acts on switches that do something when they are set.
    pub(super) fn on_switched(self: &Arc<Self>) {
        let faults = self.switches.get();
        self.core().clock.freeze(faults.link.freeze);
        let died = self.died.swap(faults.link.dead, Ordering::SeqCst);
        if faults.restart || (faults.link.dead && !died) {
            self.restart();
        }
        if faults.chill {
            self.with(|core, _| core.batch.chill());
        }
        if faults.restart || faults.chill {
            self.switches.set(|faults| {
                faults.restart = false;
                faults.chill = false;
            });
        }
    }

    pub(super) fn on_left(self: &Arc<Self>, stream: &Arc<Stream>) {
        self.core().plan_grace(self.grace, Arc::clone(stream));
        self.wake.notify_one();
    }

    pub(super) fn running(self: &Arc<Self>) -> Running {
        self.with(|core, _| Running {
            incarnation: core.batch.incarnation(),
            streams: core.batch.streams(),
        })
    }

    /// After how many tokens a stream that starts now is cut.
    pub(super) fn take_truncation(&self) -> Option<u64> {
        self.switches.take(|faults| {
            let cut = (faults.truncate > 0).then_some(faults.truncate_after);
            faults.truncate = faults.truncate.saturating_sub(1);
            cut
        })
    }

    /// The faults of the next frame of a stream.
    pub(super) fn frame_faults(&self, stream: &Arc<Stream>) -> FrameFaults {
        let faults = self.switches.get();
        if faults.cross == 0 && faults.duplicate == 0 {
            return FrameFaults::default();
        }
        let other = self.other(stream);
        self.switches.take(|faults| {
            let crossed = faults.cross > 0 && other.is_some();
            faults.cross -= u32::from(crossed);
            let twice = faults.duplicate > 0;
            faults.duplicate = faults.duplicate.saturating_sub(1);
            FrameFaults {
                instead: other.filter(|_| crossed),
                twice,
            }
        })
    }

    /// The stream after this one, or the first if it is the last.
    fn other(&self, stream: &Arc<Stream>) -> Option<Arc<Stream>> {
        let core = self.core();
        let after = core.streams.iter().find(|(id, _)| **id > stream.id);
        let first = core.streams.first_key_value();
        let (_, other) = after.or(first)?;
        (other.id != stream.id).then(|| Arc::clone(other))
    }
}

/// Takes the engine's steps as their time comes, and acts on its switches.
pub(super) async fn drive(state: Arc<State>) {
    let mut switched = state.switches.subscribe();
    state.on_switched();
    loop {
        let next = state.tick();
        tokio::select! {
            () = sleep_until_some(next) => {}
            () = state.wake.notified() => {}
            _ = switched.changed() => state.on_switched(),
        }
    }
}

async fn sleep_until_some(at: Option<tokio::time::Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}

impl State {
    /// Does what is due, and answers when the next is.
    fn tick(self: &Arc<Self>) -> Option<tokio::time::Instant> {
        let mut core = self.core();
        core.settle();
        core.next()
    }
}
