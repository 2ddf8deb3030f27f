//! What backend servers say in any response about the requests that they want.

use crate::state::GatewayState;
use http::StatusCode;
use http::header::{self, HeaderMap};
use model::ServerKey;
use rand::RngExt;
use smol_str::format_smolstr;
use std::net::SocketAddr;
use std::time::Duration;

/// Value of the header with which a server says that it leaves.
const LEAVING_VALUE: &str = "1";
/// Longest time after the end of a server's quiet period in which instances return to it.
const QUIET_SPREAD_MAX: Duration = Duration::from_millis(300);

/// Records that a server said that it leaves, and closes the idle connections to it.
pub(crate) fn record_leaving(
    state: &GatewayState,
    key: &ServerKey,
    address: SocketAddr,
    headers: &HeaderMap,
) {
    let Some(value) = headers.get(&state.binding.headers().leaving) else {
        return;
    };
    if value != LEAVING_VALUE {
        state.metrics.malformed_header("leaving");
        state.log_input_fault("leaving_malformed", &format_smolstr!("{}: {value:?}", key.name));
        return;
    }
    if state.queue().estimates.mark_leaving(state.now(), key) {
        state.metrics.noticed("leaving");
        state.log.state("server_leaving", &format_smolstr!("{} at {address}", key.name));
    }
    state.pool.retain(|known| *known != address);
}

/// Records that a server that refused a request or a health check wants none for a time.
pub(crate) fn record_quiet(
    state: &GatewayState,
    key: &ServerKey,
    status: StatusCode,
    headers: &HeaderMap,
) {
    let Some(value) = headers.get(header::RETRY_AFTER) else {
        return;
    };
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return;
    }
    let period = value.to_str().ok().and_then(|text| state.binding.quiet_period(text));
    let Some(period) = period else {
        state.metrics.malformed_header("retry_after");
        state.log_input_fault("quiet_malformed", &format_smolstr!("{}: {value:?}", key.name));
        return;
    };
    // Spreads the return of many instances.
    let spread = QUIET_SPREAD_MAX.min(period).mul_f64(rand::rng().random_range(0.0..1.0));
    state.queue().estimates.record_quiet(state.now(), key, period + spread);
    state.metrics.noticed("quiet");
    let detail = format_smolstr!("{} for {} ms", key.name, period.as_millis());
    state.log.state("server_quiet", &detail);
}
