//! What callers get under the loads that placing and queueing are made for.

mod support;

use support::played::{PlayedLoad, play, total};
use testkit::cases;

/// Seconds in which the queue learns.
const LEARNING_S: usize = 4;

/// Servers that slow down by two thirds when five of six slots are taken.
const LOAD: PlayedLoad = PlayedLoad {
    servers: 20,
    per_s: 0.0,
    work_ms: 100.0,
    objective_ms: 300,
    deadline_ms: 1_000,
    knee: (5, 1.65),
    slow_share: 0.0,
    span_s: 14,
    seed: 1,
};

/// Cause traced (slow answers at the crest): servers were filled to their last slot, where work takes
/// two thirds longer.
fn check_interval(per_s: f64, seed: u64, longest_ms: f64) {
    let seconds = play(&PlayedLoad { per_s, seed, ..LOAD });
    let mean = total(&seconds, LEARNING_S).mean_span_ms();
    assert!(mean <= longest_ms, "mean span {mean:.0} ms");
}

cases! { check_interval {
    half_load: (400.0, 1, 110.0);
    high_load: (700.0, 1, 115.0);
    high_load_other_seed: (700.0, 2, 115.0);
} }

/// Share of the requests that is answered within the objective, and the least of any second.
fn check_in_time(per_s: f64, slow_share: f64, share: f64, least: f64) {
    let seconds = play(&PlayedLoad { per_s, slow_share, ..LOAD });
    let all = total(&seconds, LEARNING_S).in_time_share();
    let last = seconds.len() - 1;
    let worst = seconds[LEARNING_S..last].iter().map(|second| second.in_time_share());
    let worst = worst.fold(1.0, f64::min);
    assert!(all >= share && worst >= least, "in time {all:.3}, worst second {worst:.3}");
}

// 800 requests a second fill four slots of each server. Beyond that the rest can only be late.
cases! { check_in_time {
    nearly_full: (740.0, 0.0, 0.95, 0.9);
    overload: (960.0, 0.0, 0.6, 0.5);
    slow_servers: (300.0, 0.35, 0.85, 0.75);
} }
