//! The clock that measures how old the configuration's last confirmation is.

use std::time::Duration;

use catkinusher_core::time::Time;
use rustix::time::{ClockId, clock_gettime};

/// The time since boot, including time spent suspended.
///
/// A VM may be suspended for longer than a revoked key may still be accepted,
/// and the monotonic clock of the timers does not advance during suspension.
pub(super) fn boot_time() -> Time {
    let now = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
    Time::ZERO + Duration::new(secs, nanos)
}
