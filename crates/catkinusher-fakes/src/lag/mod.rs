//! Readings that are shown late, and the lock that a poisoned test does not break.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// The last two readings of something; the older one is shown.
#[derive(Debug, Clone)]
pub(crate) struct Lagging<T>(VecDeque<(Instant, T)>);

impl<T> Default for Lagging<T> {
    fn default() -> Self {
        Self(VecDeque::new())
    }
}

impl<T> Lagging<T>
where
    T: Copy,
{
    pub(crate) fn push(&mut self, reading: T) {
        if self.0.len() == 2 {
            self.0.pop_front();
        }
        self.0.push_back((Instant::now(), reading));
    }

    /// The older reading with its age, or this one if there is none.
    pub(crate) fn shown(&self, now: T) -> (Duration, T) {
        match self.0.front() {
            Some((at, reading)) => (at.elapsed(), *reading),
            None => (Duration::ZERO, now),
        }
    }

    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }
}

/// Locks, whether or not another holder panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
