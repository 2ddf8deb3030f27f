//! Interval between health checks by load, number of servers and limits.

use balance::check_interval;
use model::COMPUTED_DURATION_MAX;
use testkit::cases;

fn check_interval_is(allowed_per_s: f64, servers: usize, running: u32, expected_ms: u128) {
    assert_eq!(check_interval(allowed_per_s, servers, running).as_millis(), expected_ms);
}

cases! { check_interval_is {
    normal_load: (60.0, 10, 20, 50);
    high_load: (60.0, 10, 60, 50);
    low_load: (60.0, 10, 10, 100);
    no_load: (60.0, 10, 0, 200);
    strict_limit: (10.0, 10, 60, 125);
    strict_limit_and_no_load: (10.0, 10, 0, 500);
    many_servers: (60.0, 750, 3_000, 500);
    no_servers: (60.0, 0, 0, 200);
    tiny_limit: (1e-300, 10, 60, COMPUTED_DURATION_MAX.as_millis());
    limit_of_zero: (0.0, 10, 60, COMPUTED_DURATION_MAX.as_millis());
} }
