//! The clock by which trust in what was read runs out.

use std::time::Duration;

use catkinusher_core::time::Time;
use rustix::time::{ClockId, clock_gettime};

/// The present moment by a clock that counts suspension.
///
/// A VM may be suspended for longer than a taken-away key may work; the
/// monotonic clock of the timers does not see that.
pub(super) fn boot_time() -> Time {
    let now = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
    Time::ZERO + Duration::new(secs, nanos)
}
