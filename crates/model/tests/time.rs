//! Durations that are computed from numbers of other processes.

use model::{COMPUTED_DURATION_MAX, bounded_duration};
use std::time::Duration;
use testkit::cases;

fn check_bounded(seconds: f64, expected: Duration) {
    assert_eq!(bounded_duration(seconds), expected);
}

cases! { check_bounded {
    usual: (1.5, Duration::from_millis(1_500));
    zero: (0.0, Duration::ZERO);
    negative: (-1.0, Duration::ZERO);
    negative_infinity: (f64::NEG_INFINITY, Duration::ZERO);
    beyond_the_bound: (1e12, COMPUTED_DURATION_MAX);
    beyond_any_duration: (9e99, COMPUTED_DURATION_MAX);
    infinity: (f64::INFINITY, COMPUTED_DURATION_MAX);
    not_a_number: (f64::NAN, COMPUTED_DURATION_MAX);
} }
