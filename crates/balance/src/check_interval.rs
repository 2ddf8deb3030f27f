//! How often the servers of a data centre are checked. Fresh knowledge of a server is worth something
//! only as far as requests come, so checks follow the load; and one instance makes no more of them than
//! it can, however many servers there are.

use std::time::Duration;

/// Time between checks of one server under usual load, unless the limit asks for more.
const USUAL_SPAN: Duration = Duration::from_millis(50);
/// Requests that a server has under usual load, on average.
const USUAL_BUSY: f64 = 2.0;
/// How many times longer the time between checks gets under little load; reports still hold then.
const STRETCH_MAX: f64 = 4.0;
/// Checks a second that one instance makes at the most. 5,000 took two thirds of the processor of the
/// busiest one in the sweep at 100 machines.
const CHECKS_PER_S_MAX: f64 = 1_500.0;
/// Part of the allowed rate that is used; the rest covers times in which two instances check.
const RATE_SHARE: f64 = 0.8;

/// Time between two checks of one server.
///
/// `allowed_per_s` is the operators' limit of checks for one server over all instances, `servers` the
/// number of servers that the instance checks, and `busy` the requests that these have.
pub fn check_interval(allowed_per_s: f64, servers: usize, busy: u32) -> Duration {
    let shortest = USUAL_SPAN.max(Duration::from_secs_f64(1.0 / (allowed_per_s * RATE_SHARE)));
    let each = f64::from(busy) / servers.max(1) as f64;
    let stretch = (USUAL_BUSY / each.max(f64::EPSILON)).clamp(1.0, STRETCH_MAX);
    let bounded = Duration::from_secs_f64(servers as f64 / CHECKS_PER_S_MAX);
    shortest.mul_f64(stretch).max(bounded)
}
