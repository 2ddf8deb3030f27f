//! Contention: how processing time grows with the requests in progress at a server, learned from
//! responses.
//!
//! Some servers slow down when they are nearly full. Filling them then serves fewer requests, and
//! each one later, than letting the requests wait briefly.

use model::SlotCount;

/// Least weight of the newest sample in a level's mean.
const NEWEST_WEIGHT_MIN: f64 = 0.02;
/// Number of samples that the initial mean of a level counts as.
const INITIAL_WEIGHT: f64 = 20.0;
/// Initial estimate of the relative increase of processing time from an idle to a full server.
const INITIAL_INCREASE: f64 = 0.15;
/// Samples are limited to this multiple of the normal processing time, because outliers would
/// distort the mean.
const RELATIVE_TIME_MAX: f64 = 4.0;
/// A slot is used only if the server reaches this ratio of its highest throughput with it.
const THROUGHPUT_RATIO_MIN: f64 = 0.95;

/// Number of occupancy levels of a server, each an equal fraction of its slots.
const LEVEL_COUNT: u32 = 8;

/// Mean processing time at one occupancy level, relative to the mean of the route.
#[derive(Debug, Clone, Copy)]
struct LevelMean {
    mean: f64,
    weight: f64,
}

/// Relative processing time by the occupancy level of the server, the new request included.
#[derive(Debug, Clone)]
pub struct ContentionCurve {
    levels: Vec<LevelMean>,
    /// Lowest mean of all levels.
    lowest_mean: f64,
}

impl Default for ContentionCurve {
    fn default() -> Self {
        let initial =
            |level: u32| 1.0 + INITIAL_INCREASE * f64::from(level) / f64::from(LEVEL_COUNT);
        let level = |level| LevelMean { mean: initial(level), weight: INITIAL_WEIGHT };
        Self { levels: (0..LEVEL_COUNT).map(level).collect(), lowest_mean: initial(0) }
    }
}

impl ContentionCurve {
    /// Records the processing time of a request that was sent to a server with `occupancy` other
    /// requests. `relative_time` is the ratio to the mean processing time of the route.
    pub fn record(&mut self, occupancy: u32, slots: SlotCount, relative_time: f64) {
        let level = &mut self.levels[level_of(occupancy, slots)];
        level.weight += 1.0;
        let weight = (1.0 / level.weight).max(NEWEST_WEIGHT_MIN);
        level.mean += weight * (relative_time.clamp(0.0, RELATIVE_TIME_MAX) - level.mean);
        let lowest = self.levels.iter().map(|level| level.mean).fold(f64::INFINITY, f64::min);
        self.lowest_mean = lowest.max(f64::EPSILON);
    }

    /// Returns how many times longer than at an idle server a request takes at one with `occupancy`
    /// other requests; at least 1.
    pub fn factor(&self, occupancy: u32, slots: SlotCount) -> f64 {
        (self.levels[level_of(occupancy, slots)].mean / self.lowest_mean).max(1.0)
    }

    /// Returns the number of slots of a server that are worth using: the most that still give
    /// nearly its highest throughput. Takes the same time for any number of slots: within a level,
    /// throughput grows with each slot, so only the last slot of each level matters.
    pub fn useful_slots(&self, slots: SlotCount) -> u32 {
        let throughput =
            |count: u32| f64::from(count) / self.factor(count.saturating_sub(1), slots);
        let ends = (1..=LEVEL_COUNT).map(|level| level_end(level, slots));
        let best = ends.clone().map(throughput).fold(0.0, f64::max);
        ends.rev().find(|count| throughput(*count) >= best * THROUGHPUT_RATIO_MIN).unwrap_or(1)
    }
}

/// Returns the largest number of requests at a server that belongs to one of the levels from 1 to
/// [`LEVEL_COUNT`]; zero if a server with so few slots has no such level.
fn level_end(level: u32, slots: SlotCount) -> u32 {
    let end = u64::from(slots.0.max(1)) * u64::from(level) / u64::from(LEVEL_COUNT);
    u32::try_from(end).unwrap_or(u32::MAX)
}

/// Returns the index of the occupancy level of a server with `occupancy` requests that gets one more.
fn level_of(occupancy: u32, slots: SlotCount) -> usize {
    let all = u64::from(slots.0.max(1));
    let used = (u64::from(occupancy) + 1).min(all);
    let level = (used * u64::from(LEVEL_COUNT)).div_ceil(all).clamp(1, LEVEL_COUNT.into()) - 1;
    usize::try_from(level).unwrap_or_default()
}
