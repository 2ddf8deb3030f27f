//! Monotonic time of one process. It is a plain number, which lets tests set the time.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::{Duration, Instant};

/// Longest duration that is computed from numbers of other processes. Far beyond any deadline, and small
/// enough that sums and small multiples of such durations don't overflow.
pub const COMPUTED_DURATION_MAX: Duration = Duration::from_secs(365 * 24 * 3_600);

/// Converts computed seconds to a duration of at most [`COMPUTED_DURATION_MAX`]. Negative numbers give
/// zero; what is not a number gives the longest duration.
pub fn bounded_duration(seconds: f64) -> Duration {
    if seconds <= 0.0 {
        return Duration::ZERO;
    }
    let duration = Duration::try_from_secs_f64(seconds).unwrap_or(COMPUTED_DURATION_MAX);
    duration.min(COMPUTED_DURATION_MAX)
}

/// Microseconds since the start of the process. Values of different processes must not be compared.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MonoTime(pub u64);

impl MonoTime {
    /// Returns the time `duration` after this one.
    pub fn plus(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(whole_micros(duration)))
    }

    /// Returns the time `duration` before this one, or the start of the process if that is later.
    pub fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(whole_micros(duration)))
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later than this time.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for MonoTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

fn whole_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Reads the monotonic clock of the machine, which also counts the time for which the machine was
/// suspended. Deadlines, leases and ages of what others said run out in that time.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    start: Duration,
}

/// Returns the time since the machine booted, suspensions included.
fn boot_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::from_secs(seconds)
        + Duration::from_nanos(u64::try_from(time.tv_nsec).unwrap_or_default())
}

impl ProcessClock {
    /// Starts a clock that reads zero now.
    pub fn start() -> Self {
        Self { start: boot_time() }
    }

    /// Returns the time since the start.
    pub fn now(self) -> MonoTime {
        MonoTime(whole_micros(boot_time().saturating_sub(self.start)))
    }

    /// Returns the instant at which the clock reads `time`, unless the machine is suspended before.
    pub fn instant_of(self, time: MonoTime) -> Instant {
        let (now, instant) = (self.now(), Instant::now());
        match time > now {
            true => instant + time.since(now),
            false => instant.checked_sub(now.since(time)).unwrap_or(instant),
        }
    }
}
