//! A hybrid logical clock: wall time where clocks agree, causal order where they do not.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// Bits of a time that count events within one microsecond tick.
const COUNTER_BITS: u32 = 8;

/// Wall time in microseconds and a counter, packed so that they compare as one number.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct HybridTime(pub u64);

impl HybridTime {
    /// Microseconds since the Unix epoch.
    pub fn micros(self) -> u64 {
        self.0 >> COUNTER_BITS
    }

    /// The first time within a microsecond.
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

/// The clock of one process. It never goes back, also when the wall clock does.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: AtomicU64,
}

impl HybridClock {
    /// A time later than all that this clock gave or saw.
    pub fn now(&self) -> HybridTime {
        self.now_at(wall_micros())
    }

    /// Like [`now`](Self::now), with the wall time given.
    pub fn now_at(&self, micros: u64) -> HybridTime {
        let wall = HybridTime::from_micros(micros).0;
        let next = |last: u64| wall.max(last + 1);
        let previous = self
            .last
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |last| Some(next(last)))
            .unwrap_or_default();
        HybridTime(next(previous))
    }

    /// Takes note of a time from another process.
    pub fn observe(&self, time: HybridTime) {
        self.last.fetch_max(time.0, Ordering::Relaxed);
    }
}

fn wall_micros() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
