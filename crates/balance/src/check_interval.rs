//! Interval between health checks of one server. Fresh load reports are useful only under load, so
//! the interval grows while there are few requests. It also grows with the number of servers,
//! because one instance can make only a limited number of checks.

use model::bounded_duration;
use std::time::Duration;

/// Interval between checks of one server under normal load, unless a limit requires a longer one.
const NORMAL_INTERVAL: Duration = Duration::from_millis(50);
/// Mean number of requests in progress at a server under normal load.
const NORMAL_OCCUPANCY: f64 = 2.0;
/// Largest factor by which the interval grows under low load; load reports do not expire within it.
const LOW_LOAD_FACTOR_MAX: f64 = 4.0;
/// Highest number of checks that one instance makes in a second. In a deployment of 100 machines,
/// 5,000 used two thirds of the processor time of the busiest instance.
const CHECKS_PER_S_MAX: f64 = 1_500.0;
/// Fraction of the allowed rate that is used; the rest covers periods in which two instances check
/// the same servers.
const RATE_USED: f64 = 0.8;

/// Returns the interval between two health checks of one server.
///
/// `allowed_per_s` is the operators' limit of checks for one server over all instances, `servers`
/// the number of servers that this instance checks, and `running` the number of requests in
/// progress at all of these servers together.
pub fn check_interval(allowed_per_s: f64, servers: usize, running: u32) -> Duration {
    let shortest = NORMAL_INTERVAL.max(bounded_duration(1.0 / (allowed_per_s * RATE_USED)));
    let occupancy = f64::from(running) / servers.max(1) as f64;
    let factor = (NORMAL_OCCUPANCY / occupancy.max(f64::EPSILON)).clamp(1.0, LOW_LOAD_FACTOR_MAX);
    let instance_limit = bounded_duration(servers as f64 / CHECKS_PER_S_MAX);
    shortest.mul_f64(factor).max(instance_limit)
}
