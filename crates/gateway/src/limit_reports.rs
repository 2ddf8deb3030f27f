//! Exchanges limits that backend servers set on the rate of their requests, and the request rates by
//! which the instances share them. Silent while no server limits its requests.

use crate::peer_link::send_to;
use crate::slots::advance_queue;
use crate::state::GatewayState;
use balance::{LimitStatement, LoadEstimates};
use fleet::{LimitMessage, LimitRow, PeerDatagram, server_tag};
use model::{InstanceName, MonoTime, RequestRate, ServerKey};
use smol_str::format_smolstr;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Interval between reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Rate of requests from which on an instance that is no home reports, in requests a second.
const REPORTED_RATE_MIN: f64 = 0.2;

/// Rows in one datagram of limits; each takes up to 16 bytes.
const LIMIT_ROWS_MAX: usize = 60;

/// Reports limits and request rates periodically, and recomputes this instance's shares.
pub(crate) async fn run_limit_reports(state: Rc<GatewayState>) {
    loop {
        let limited = state.queue().estimates.limited_count();
        state.metrics.limited_servers.set(i64::try_from(limited).unwrap_or(i64::MAX));
        if !state.queue().estimates.has_limits() {
            state.limits_wakeup.notified().await;
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
        state.queue().estimates.share_limits(state.now());
        if !state.is_outdated() {
            report_limits(&state);
        }
        advance_queue(&state);
    }
}

fn report_limits(state: &GatewayState) {
    let now = state.now();
    let queue = state.queue.borrow();
    let fleet = state.fleet_ref();
    let estimates = &queue.estimates;
    let name = fleet.members.this().name.clone();
    let demands = estimates.demands.own_rates(now);
    let has_duty = fleet.home_rank().is_some() || fleet.is_health_checker();
    if !has_duty && demands.iter().all(|(_, rate)| rate.0 < REPORTED_RATE_MIN) {
        return;
    }
    let mut rows = rows_by_home(estimates, &estimates.limit_statements(now));
    for home in fleet.homes().iter().filter(|home| home.name != name) {
        let limits = rows.remove(&home.name).unwrap_or_default();
        let message = LimitMessage { name: name.clone(), demands: demands.clone(), limits };
        send_limits(state, message, home.datagram_address);
    }
    for address in other_reporters(state, now, &name) {
        let message =
            LimitMessage { name: name.clone(), demands: demands.clone(), limits: Vec::new() };
        send_limits(state, message, address);
    }
}

/// Sends limits of servers to one instance.
fn send_limits(state: &GatewayState, message: LimitMessage, target: SocketAddr) {
    let LimitMessage { name, demands, limits } = message;
    let chunks = limits.chunks(LIMIT_ROWS_MAX).map(<[LimitRow]>::to_vec);
    let chunks = chunks.chain(limits.is_empty().then(Vec::new));
    for limits in chunks {
        let message = LimitMessage { name: name.clone(), demands: demands.clone(), limits };
        send_to(state, &PeerDatagram::Limits(message), &[target]);
    }
}

/// Datagram addresses of the instances that reported although they are no homes.
fn other_reporters(state: &GatewayState, now: MonoTime, this: &InstanceName) -> Vec<SocketAddr> {
    let queue = state.queue.borrow();
    let fleet = state.fleet_ref();
    let estimates = &queue.estimates;
    let is_other = |peer: &&InstanceName| *peer != this && !estimates.plan().includes(peer);
    let others: Vec<&InstanceName> = estimates.demands.reporters(now).filter(is_other).collect();
    if others.is_empty() {
        return Vec::new();
    }
    let members = fleet.members.others().filter(|member| others.contains(&&member.name));
    members.map(|member| member.datagram_address).collect()
}

/// Returns for each home the limits of the servers that it may use.
fn rows_by_home<'a>(
    estimates: &'a LoadEstimates,
    statements: &[LimitStatement],
) -> HashMap<&'a InstanceName, Vec<LimitRow>> {
    let mut rows: HashMap<&InstanceName, Vec<LimitRow>> = HashMap::new();
    for LimitStatement { key, rate, age } in statements {
        let Some(server) = estimates.server(key) else {
            continue;
        };
        let row = LimitRow {
            server: server_tag(&key.name, key.incarnation),
            rate: *rate,
            age: (*age).into(),
        };
        for user in estimates.plan().users(&key.name, &server.spec.data_centre) {
            rows.entry(user).or_default().push(row);
        }
    }
    rows
}

/// Applies the report of another instance.
pub(crate) fn apply_limits(state: &Rc<GatewayState>, message: LimitMessage) {
    if !message.is_valid() {
        state.log_input_fault("datagram_malformed", &format_smolstr!("rates of {}", message.name));
        return;
    }
    let now = state.now();
    state.queue().estimates.demands.record_peer(now, message.name, message.demands);
    for row in message.limits {
        let key = state.fleet_ref().records.tags.get(&row.server).cloned();
        if let Some(key) = key {
            record_limit(state, now.before(row.age.duration()), &key, row.rate);
        }
    }
    advance_queue(state);
}

/// Records and logs what a server said about a limit on the rate of its requests.
pub(crate) fn record_limit(
    state: &GatewayState,
    told_at: MonoTime,
    key: &ServerKey,
    limit: Option<RequestRate>,
) {
    if !state.queue().estimates.record_limit(state.now(), told_at, key, limit) {
        return;
    }
    state.limits_wakeup.notify_one();
    let detail = match limit {
        Some(rate) => format_smolstr!("{} accepts {rate} requests a second", key.name),
        None => format_smolstr!("{} accepts any rate", key.name),
    };
    state.log.state("limit", &detail);
}
