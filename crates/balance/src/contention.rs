//! How much longer work takes at a server that already has other work, learned from answers.
//!
//! Some servers slow down when they are nearly full. Filling them then serves fewer requests, and each
//! later, than keeping the requests waiting for a moment.

use model::SlotCount;

/// Weight of the newest observation of a level.
const NEWEST_WEIGHT: f64 = 0.02;
/// Observations that the first guess of a level counts as.
const GUESS_WEIGHT: f64 = 20.0;
/// First guess: how much longer work takes at a server with all slots taken but one.
const FIRST_FULL: f64 = 0.15;
/// An observation counts at most as this many times the usual, so that stragglers move it little.
const OBSERVED_MAX: f64 = 4.0;
/// Part of the highest throughput that a server must still reach with a slot for that slot to be used.
const THROUGHPUT_SHARE: f64 = 0.95;

/// Parts of a server's slots that are told apart.
const LEVELS: u32 = 8;

/// Time of work at one level, relative to the mean over all levels.
#[derive(Debug, Clone, Copy)]
struct LevelMean {
    mean: f64,
    weight: f64,
}

/// How long work takes by the part of its slots that the server uses, the one for this work included.
#[derive(Debug, Clone)]
pub struct ContentionCurve {
    levels: Vec<LevelMean>,
    /// The least mean of a level.
    least: f64,
}

impl Default for ContentionCurve {
    fn default() -> Self {
        let guess = |level: u32| 1.0 + FIRST_FULL * f64::from(level) / f64::from(LEVELS);
        let level = |level| LevelMean { mean: guess(level), weight: GUESS_WEIGHT };
        Self { levels: (0..LEVELS).map(level).collect(), least: guess(0) }
    }
}

impl ContentionCurve {
    /// Takes note of the time that work took, relative to its usual time, at a server that had a
    /// number of requests.
    pub fn record(&mut self, occupancy: u32, slots: SlotCount, relative: f64) {
        let level = &mut self.levels[level_of(occupancy, slots)];
        level.weight += 1.0;
        let weight = (1.0 / level.weight).max(NEWEST_WEIGHT);
        level.mean += weight * (relative.clamp(0.0, OBSERVED_MAX) - level.mean);
        let least = self.levels.iter().map(|level| level.mean).fold(f64::INFINITY, f64::min);
        self.least = least.max(f64::EPSILON);
    }

    /// How many times longer than at an idle server work takes at one that has a number of requests.
    pub fn factor(&self, occupancy: u32, slots: SlotCount) -> f64 {
        (self.levels[level_of(occupancy, slots)].mean / self.least).max(1.0)
    }

    /// How many requests a server should have at the most: as many as it serves the most with.
    pub fn useful_slots(&self, slots: SlotCount) -> u32 {
        let throughput = |count: u32| f64::from(count) / self.factor(count - 1, slots);
        let all = slots.0.max(1);
        let best = (1..=all).map(throughput).fold(0.0, f64::max);
        (1..=all).rev().find(|count| throughput(*count) >= best * THROUGHPUT_SHARE).unwrap_or(1)
    }
}

/// The level at which a server works that has a number of requests and gets one more.
fn level_of(occupancy: u32, slots: SlotCount) -> usize {
    let used = (occupancy.saturating_add(1)).min(slots.0.max(1));
    let level = (used * LEVELS).div_ceil(slots.0.max(1)).clamp(1, LEVELS) - 1;
    usize::try_from(level).unwrap_or_default()
}
