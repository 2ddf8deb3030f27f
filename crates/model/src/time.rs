//! Monotonic time of one process, as a plain number so that tests hold the clock.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::{Duration, Instant};

/// Microseconds since the process started; never compared between processes.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MonoTime(pub u64);

impl MonoTime {
    /// The time `duration` after this one.
    pub fn plus(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(whole_micros(duration)))
    }

    /// The span since `earlier`, or zero if that lies ahead.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for MonoTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

fn whole_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Reads the monotonic clock of the process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// Starts at zero now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// The time since the start.
    pub fn now(self) -> MonoTime {
        MonoTime(whole_micros(self.start.elapsed()))
    }

    /// The instant at which the clock will read `time`.
    pub fn instant_of(self, time: MonoTime) -> Instant {
        self.start + Duration::from_micros(time.0)
    }
}
