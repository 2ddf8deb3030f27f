//! Monotonic time of one process. It is a plain number, which lets tests set the time.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::{Duration, Instant};

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

/// Reads the monotonic clock of the process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// Starts a clock that reads zero now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the time since the start.
    pub fn now(self) -> MonoTime {
        MonoTime(whole_micros(self.start.elapsed()))
    }

    /// Returns the instant at which the clock reads `time`.
    pub fn instant_of(self, time: MonoTime) -> Instant {
        self.start + Duration::from_micros(time.0)
    }
}
