//! The timer service shared by all parts of the daemon.
//!
//! One task keeps all timers in one queue, so that a deadline costs a queue entry
//! rather than a task, and so that tests that pause the clock advance all parts at once.

use std::time::Duration;

use catkinusher_core::time::Time;
use futures_util::StreamExt;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;
use tokio_util::time::DelayQueue;

/// The process's monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock that starts at zero now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }

    fn instant(&self, at: Time) -> Instant {
        // Limits the distance to a year: a time that `Instant` cannot represent lies decades ahead.
        const MAX_DISTANCE: Duration = Duration::from_hours(24 * 365);
        let distance = at.since(Time::ZERO).min(MAX_DISTANCE);
        self.origin + distance
    }
}

#[derive(Debug)]
enum Entry {
    Once(oneshot::Sender<()>),
    Every(Duration, watch::Sender<u64>),
}

#[derive(Debug)]
struct Command {
    at: Instant,
    entry: Entry,
}

/// A handle to the timer service.
#[derive(Debug, Clone)]
pub struct Timers {
    clock: Clock,
    commands: mpsc::UnboundedSender<Command>,
}

/// A periodic timer.
#[derive(Debug)]
pub struct Ticks {
    count: watch::Receiver<u64>,
}

impl Ticks {
    /// Waits for the next tick; ticks missed in the meantime count as one. Returns `false` once the
    /// service has stopped.
    pub async fn next(&mut self) -> bool {
        self.count.changed().await.is_ok()
    }
}

impl Timers {
    /// Starts the service on the current runtime; it stops when its last handle is dropped.
    #[must_use]
    pub fn start(clock: Clock) -> Self {
        let (commands, receiver) = mpsc::unbounded_channel();
        tokio::spawn(run(receiver));
        Self { clock, commands }
    }

    /// The clock of the service.
    #[must_use]
    pub const fn clock(&self) -> Clock {
        self.clock
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Waits until `at`.
    pub async fn at(&self, at: Time) {
        let (sender, receiver) = oneshot::channel();
        let command = Command {
            at: self.clock.instant(at),
            entry: Entry::Once(sender),
        };
        if self.commands.send(command).is_ok() {
            // The service lives as long as a handle does, and `self` is one.
            let _ended = receiver.await;
        }
    }

    /// Waits for the duration `span`.
    pub async fn after(&self, span: Duration) {
        self.at(self.now() + span).await;
    }

    /// Creates a periodic timer, which first fires after one `period`.
    #[must_use]
    pub fn every(&self, period: Duration) -> Ticks {
        let (sender, count) = watch::channel(0);
        let command = Command {
            at: Instant::now() + period,
            entry: Entry::Every(period, sender),
        };
        let _ended = self.commands.send(command);
        Ticks { count }
    }
}

async fn run(mut commands: mpsc::UnboundedReceiver<Command>) {
    let mut queue = DelayQueue::new();
    loop {
        tokio::select! {
            command = commands.recv() => {
                let Some(command) = command else { return };
                queue.insert_at(command.entry, command.at);
            }
            Some(expired) = queue.next(), if !queue.is_empty() => {
                fire(&mut queue, expired.into_inner());
            }
        }
    }
}

fn fire(queue: &mut DelayQueue<Entry>, entry: Entry) {
    match entry {
        Entry::Once(sender) => {
            let _dropped = sender.send(());
        }
        Entry::Every(period, sender) => {
            if sender.is_closed() {
                return;
            }
            sender.send_modify(|count| *count += 1);
            queue.insert(Entry::Every(period, sender), period);
        }
    }
}
