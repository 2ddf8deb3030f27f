//! A hybrid logical clock: follows wall time and keeps causal order when wall clocks differ.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// Number of low bits of a [`HybridTime`] that hold the counter of events within a microsecond.
const COUNTER_BITS: u32 = 8;

/// Time of a [`HybridClock`]: wall time in microseconds in the high bits and a counter in the low 8
/// bits. Times compare as plain numbers.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct HybridTime(pub u64);

impl HybridTime {
    /// Returns the microseconds since the Unix epoch.
    pub fn micros(self) -> u64 {
        self.0 >> COUNTER_BITS
    }

    /// Returns the first time within the given microsecond since the Unix epoch.
    pub fn from_micros(micros: u64) -> Self {
        Self(micros << COUNTER_BITS)
    }
}

impl fmt::Display for HybridTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let micros = self.micros();
        write!(f, "{}.{:06}", micros / 1_000_000, micros % 1_000_000)
    }
}

/// Clock of one process. It never goes back, even if the wall clock does.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: AtomicU64,
}

impl HybridClock {
    /// Returns a time later than all times that this clock returned or observed.
    pub fn now(&self) -> HybridTime {
        self.now_at(wall_micros())
    }

    /// Like [`now`](Self::now), with `micros` as the wall time.
    pub fn now_at(&self, micros: u64) -> HybridTime {
        let wall = HybridTime::from_micros(micros).0;
        let next = |last: u64| wall.max(last + 1);
        let previous = self
            .last
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |last| Some(next(last)))
            .unwrap_or_default();
        HybridTime(next(previous))
    }

    /// Advances the clock to a time received from another process, if that is later.
    pub fn observe(&self, time: HybridTime) {
        self.last.fetch_max(time.0, Ordering::Relaxed);
    }
}

fn wall_micros() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
