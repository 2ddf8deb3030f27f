//! Slots of a server that are worth using.

use balance::ContentionCurve;
use model::SlotCount;
use testkit::cases;

/// Least throughput that a slot must reach to be used, as a ratio to the server's highest one.
const THROUGHPUT_RATIO_MIN: f64 = 0.95;

/// Returns a curve on which requests take `factor` times as long as at an idle server once `knee`
/// others are at one with `slots` slots.
fn curve(slots: SlotCount, knee: u32, factor: f64) -> ContentionCurve {
    let mut curve = ContentionCurve::default();
    for occupancy in 0..slots.0.min(64) {
        for _ in 0..200 {
            curve.record(occupancy, slots, if occupancy >= knee { factor } else { 1.0 });
        }
    }
    curve
}

/// Returns the useful slots by trying each number of slots.
fn try_all(curve: &ContentionCurve, slots: SlotCount) -> u32 {
    let throughput = |count: u32| f64::from(count) / curve.factor(count - 1, slots);
    let best = (1..=slots.0).map(throughput).fold(0.0, f64::max);
    let is_useful = |count: &u32| throughput(*count) >= best * THROUGHPUT_RATIO_MIN;
    (1..=slots.0).rev().find(is_useful).expect("at least one slot")
}

#[test]
fn the_useful_slots_are_the_most_that_reach_nearly_the_highest_throughput() {
    for slots in (1..=64).map(SlotCount) {
        for knee in [0, 1, slots.0 / 2, slots.0 - 1, slots.0] {
            for factor in [1.0, 1.2, 2.0, 4.0] {
                let curve = curve(slots, knee, factor);
                let useful = curve.useful_slots(slots);
                assert_eq!(useful, try_all(&curve, slots), "{slots} slots, {knee}, {factor}");
            }
        }
    }
}

/// Guards against time in proportion to the number of slots, which a record in the store states: an
/// instance answered nothing while it computed this for four billion slots.
fn check_many_slots(slots: u32) {
    let curve = ContentionCurve::default();
    assert_eq!(curve.useful_slots(SlotCount(slots)), slots);
    assert!(curve.factor(slots - 1, SlotCount(slots)) >= curve.factor(0, SlotCount(slots)));
    assert!(curve.factor(u32::MAX, SlotCount(slots)).is_finite());
}

cases! { check_many_slots {
    most: (u32::MAX);
    most_that_eight_levels_divide: (u32::MAX - 7);
    product_with_the_levels_overflows: (u32::MAX / 8 + 1);
} }
