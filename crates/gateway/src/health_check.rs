//! Health checks, which show which backend servers are slow or unreachable at the moment.
//!
//! In each data centre one instance, the health checker, checks the servers and sends load reports
//! to the homes in datagrams with a few bytes for each server. A home checks a server itself when
//! it receives no reports on it.

use crate::exchange::{parse_load_report, record_named_limit};
use crate::fleet_state::{FleetState, LoadReach};
use crate::notices::{record_leaving, record_quiet};
use crate::peer_link::send_to;
use crate::slots::advance_queue;
use crate::state::GatewayState;
use crate::supervise::spawn_task;
use balance::{BackendState, LoadReport, ServerReach, check_interval};
use fleet::{LoadRow, PeerDatagram, WarmUpRow, server_tag};
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::Full;
use link::ConnectionChoice;
use model::{DataCentre, MonoTime, ServerKey, ServerName, ServiceName};
use smol_str::{SmolStr, format_smolstr};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Bound on a health check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of groups into which the servers are split. The groups are checked one after the other
/// within each check interval.
const CHECK_PHASES: u32 = 2;
/// Time in which most servers respond to a health check, after which the reports are sent.
const COLLECT_PERIOD: Duration = Duration::from_millis(9);
/// Average age of a report on its arrival at the homes, in milliseconds.
const REPORT_AGE_MS: u8 = 3;
/// Number of check intervals without a report after which a home checks a server itself.
const REPORT_INTERVALS_MAX: u32 = 4;
/// Shortest time without a report after which a home checks a server itself.
const REPORT_AGE_LIMIT_MIN: Duration = Duration::from_millis(150);
/// If the own data centre has a home, one round in this many is also reported to the homes of other
/// data centres, which send here only what their own servers can't handle. Odd, so that the
/// reported rounds alternate between the groups of servers.
const REMOTE_REPORT_ROUNDS: u32 = 3;
/// Interval between checks whether this instance has servers to check.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Rows in one datagram of load reports.
const LOAD_ROWS_MAX: usize = 120;

#[derive(Debug, Clone)]
struct CheckTarget {
    key: ServerKey,
    address: SocketAddr,
    path: SmolStr,
    data_centre: DataCentre,
}

type PendingChecks = Rc<RefCell<HashSet<ServerKey>>>;

/// A check in progress; no other one of the server starts until it is dropped.
struct PendingCheck {
    key: ServerKey,
    pending: PendingChecks,
}

impl Drop for PendingCheck {
    fn drop(&mut self) {
        self.pending.borrow_mut().remove(&self.key);
    }
}

/// Checks servers while this instance is a health checker or a home.
pub(crate) async fn run_health_checks(state: Rc<GatewayState>) {
    let pending = PendingChecks::default();
    let rows = Rc::new(RefCell::new(Vec::new()));
    let mut round = 0_u32;
    loop {
        if !has_duty(&state) {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
            continue;
        }
        let intervals = check_intervals(&state);
        let interval = intervals.get(&state.settings().data_centre).copied();
        let interval =
            interval.unwrap_or_else(|| check_interval(state.settings().probes_per_s, 0, 0));
        for (index, target) in targets(&state, &intervals).into_iter().enumerate() {
            let is_due = index as u32 % CHECK_PHASES == round % CHECK_PHASES;
            if is_due && pending.borrow_mut().insert(target.key.clone()) {
                let guard = PendingCheck { key: target.key.clone(), pending: Rc::clone(&pending) };
                let check = run_check(Rc::clone(&state), target, guard, Rc::clone(&rows));
                spawn_task(&state, "health check", check);
            }
        }
        round = round.wrapping_add(1);
        let collect = COLLECT_PERIOD.min(interval / CHECK_PHASES);
        tokio::time::sleep(collect).await;
        let collected = std::mem::take(&mut *rows.borrow_mut());
        if !collected.is_empty() {
            let reach = if round.is_multiple_of(REMOTE_REPORT_ROUNDS) {
                LoadReach::All
            } else {
                LoadReach::Near
            };
            send_load_reports(&state, &collected, reach);
        }
        tokio::time::sleep(interval / CHECK_PHASES - collect).await;
    }
}

fn has_duty(state: &GatewayState) -> bool {
    let fleet = state.fleet_ref();
    let is_allowed = state.settings().probes_per_s > 0.0 && !state.is_stopping();
    is_allowed && (fleet.is_health_checker() || fleet.home_rank().is_some())
}

/// Interval between checks of a server, by data centre.
fn check_intervals(state: &GatewayState) -> HashMap<DataCentre, Duration> {
    let now = state.now();
    let mut loads: HashMap<DataCentre, (usize, u32)> = HashMap::new();
    for server in state.queue().estimates.servers().filter(|server| server.is_eligible()) {
        let load = loads.entry(server.spec.data_centre.clone()).or_default();
        *load = (load.0 + 1, load.1.saturating_add(server.occupancy(now)));
    }
    let rate = state.settings().probes_per_s;
    loads
        .into_iter()
        .map(|(centre, (servers, running))| (centre, check_interval(rate, servers, running)))
        .collect()
}

/// Whether this instance checks a server: as the health checker of its data centre, or as a home
/// that receives no reports on it.
fn is_assigned(
    fleet: &FleetState,
    own_centre: &DataCentre,
    server: &BackendState,
    now: MonoTime,
    intervals: &HashMap<DataCentre, Duration>,
) -> bool {
    let centre = &server.spec.data_centre;
    if fleet.is_health_checker() && centre == own_centre {
        return true;
    }
    let interval = intervals.get(centre).copied().unwrap_or(REPORT_AGE_LIMIT_MIN);
    let reports_are_rare = centre != own_centre && fleet.has_home_in(centre);
    let rounds = if reports_are_rare { REMOTE_REPORT_ROUNDS } else { 1 };
    let report_age_limit = (interval * REPORT_INTERVALS_MAX * rounds).max(REPORT_AGE_LIMIT_MIN);
    fleet.home_rank().is_some()
        && server.reach != ServerReach::Beyond
        && server.report_age(now).is_none_or(|age| age > report_age_limit)
}

/// Sends the results of this health checker to the homes, to each those on servers that it may use.
fn send_load_reports(state: &GatewayState, checks: &[CheckRow], reach: LoadReach) {
    let queue = state.queue();
    let loads: Vec<LoadRow> = checks.iter().map(|check| check.load).collect();
    let addressed = state.fleet_ref().addressed_reports(&loads, reach, queue.estimates.plan());
    drop(queue);
    let cold: Vec<WarmUpRow> = checks.iter().filter_map(CheckRow::warm_up).collect();
    for (target, rows) in addressed {
        // Sent first: a load report alone says that the server is warm.
        let is_addressed = |cold: &&WarmUpRow| rows.iter().any(|row| row.server == cold.server);
        let cold: Vec<WarmUpRow> = cold.iter().filter(is_addressed).copied().collect();
        for chunk in cold.chunks(LOAD_ROWS_MAX) {
            send_to(state, &PeerDatagram::WarmUps(chunk.to_vec()), &[target]);
        }
        for chunk in rows.chunks(LOAD_ROWS_MAX) {
            send_to(state, &PeerDatagram::LoadReports(chunk.to_vec()), &[target]);
        }
    }
}

/// Records load reports of a health checker.
pub(crate) fn apply_load_reports(state: &Rc<GatewayState>, rows: &[LoadRow]) {
    let now = state.now();
    let mut queue = state.queue();
    let fleet = state.fleet_ref();
    for row in rows {
        let Some(key) = fleet.records.tags.get(&row.server) else {
            continue;
        };
        if row.slowdown_tenths == 0 {
            queue.estimates.record_failed_check(now, key);
            continue;
        }
        let report = LoadReport {
            running: row.running.into(),
            waiting: row.waiting.into(),
            slowdown: f64::from(row.slowdown_tenths) / 10.0,
        };
        let made_at = MonoTime(now.0.saturating_sub(u64::from(row.age_ms) * 1_000));
        queue.estimates.record_report(made_at, key, report);
        // A cold one is named in a datagram of its own.
        queue.estimates.record_warm_up(made_at, key, None);
    }
    drop((queue, fleet));
    advance_queue(state);
}

/// Records cold servers that a health checker named.
pub(crate) fn apply_warm_ups(state: &GatewayState, rows: &[WarmUpRow]) {
    let told_at = state.now().before(Duration::from_millis(u64::from(REPORT_AGE_MS)));
    let mut queue = state.queue();
    let fleet = state.fleet_ref();
    for row in rows {
        if let Some(key) = fleet.records.tags.get(&row.server) {
            let left = Duration::from_millis(u64::from(row.left_tenths) * 100);
            queue.estimates.record_warm_up(told_at, key, Some(left));
        }
    }
}

/// Builds the row on a server that was checked just now; without a report, the check failed.
fn load_row(key: &ServerKey, report: Option<LoadReport>) -> LoadRow {
    let saturating_byte = |value: u32| u8::try_from(value).unwrap_or(u8::MAX);
    let server = server_tag(&key.name, key.incarnation);
    match report {
        Some(report) => LoadRow {
            server,
            running: saturating_byte(report.running),
            waiting: saturating_byte(report.waiting),
            slowdown_tenths: (report.slowdown * 10.0).round().clamp(1.0, 255.0) as u8,
            age_ms: REPORT_AGE_MS,
        },
        None => LoadRow { server, running: 0, waiting: 0, slowdown_tenths: 0, age_ms: 0 },
    }
}

/// The result of a health check, for the homes.
struct CheckRow {
    load: LoadRow,
    /// Time for which the server said that it stays cold.
    warm_up_left: Option<Duration>,
}

impl CheckRow {
    fn failed(key: &ServerKey) -> Self {
        Self { load: load_row(key, None), warm_up_left: None }
    }

    fn warm_up(&self) -> Option<WarmUpRow> {
        let left_tenths = self.warm_up_left?.as_millis().div_ceil(100);
        let left_tenths = u8::try_from(left_tenths).unwrap_or(u8::MAX);
        (left_tenths > 0).then_some(WarmUpRow { server: self.load.server, left_tenths })
    }
}

fn targets(state: &GatewayState, intervals: &HashMap<DataCentre, Duration>) -> Vec<CheckTarget> {
    let Some(table) = state.table() else {
        return Vec::new();
    };
    let path_of =
        |service: &ServiceName| table.services.get(service).map(|s| s.health_path.clone());
    let now = state.now();
    let own_centre = state.settings().data_centre.clone();
    let fleet = state.fleet_ref();
    let queue = state.queue();
    let mut targets: Vec<CheckTarget> = queue
        .estimates
        .servers()
        .filter(|server| {
            server.is_eligible()
                && !server.is_quiet(now)
                && is_assigned(&fleet, &own_centre, server, now, intervals)
        })
        .filter_map(|server| {
            let path = path_of(&server.spec.service)?;
            let (key, address) = (server.spec.key.clone(), server.spec.address);
            let data_centre = server.spec.data_centre.clone();
            Some(CheckTarget { key, address, path, data_centre })
        })
        .collect();
    targets.sort_by(|left, right| left.key.name.as_str().cmp(right.key.name.as_str()));
    targets
}

async fn run_check(
    state: Rc<GatewayState>,
    target: CheckTarget,
    pending: PendingCheck,
    rows: Rc<RefCell<Vec<CheckRow>>>,
) {
    let row = check_server(&state, &target).await;
    drop(pending);
    if target.data_centre == state.settings().data_centre {
        rows.borrow_mut().extend(row);
    }
}

/// Returns the time for which a server says that it stays cold; `None` if it does not say or the value is
/// malformed.
fn parse_warm_up(state: &GatewayState, key: &ServerKey, headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(&state.binding.headers().warm_up)?;
    let left = value.to_str().ok().and_then(|text| state.binding.warm_up_left(text));
    if left.is_none() {
        state.metrics.malformed_header("warm_up");
        state.log_input_fault("warm_up_malformed", &format_smolstr!("{}: {value:?}", key.name));
    }
    left
}

/// Checks one server and records the result. Returns the row to report to the homes, if any.
async fn check_server(state: &Rc<GatewayState>, target: &CheckTarget) -> Option<CheckRow> {
    let request = Request::get(target.path.as_str())
        .header(header::HOST, target.address.to_string())
        .body(Full::default());
    let Ok(request) = request else {
        state.log.state("health_path_invalid", &target.path);
        return None;
    };
    state.metrics.probes.inc();
    let deadline = Instant::now() + CHECK_TIMEOUT;
    let result =
        state.pool.exchange(target.address, request, ConnectionChoice::Pooled, deadline).await;
    let now = state.now();
    let names = state.binding.headers();
    let Ok(response) = result else {
        state.metrics.exchange("probe_failed");
        state.queue().estimates.record_failed_check(now, &target.key);
        return Some(CheckRow::failed(&target.key));
    };
    let server: Option<ServerName> = response
        .headers()
        .get(&names.server)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    if server.as_ref() == Some(&target.key.name) {
        record_leaving(state, &target.key, target.address, response.headers());
    }
    // A refusal need not name the server.
    if server.as_ref().is_none_or(|server| *server == target.key.name) {
        record_quiet(state, &target.key, response.status(), response.headers());
    }
    match server {
        // A response to an earlier request on this connection.
        None => {
            state.queue().estimates.record_desync(now, &target.key);
            None
        }
        Some(server) if server != target.key.name => {
            state.queue().estimates.record_misdirected(&target.key);
            Some(CheckRow::failed(&target.key))
        }
        Some(_) if response.status() == StatusCode::OK => {
            record_named_limit(state, &target.key, response.headers());
            let warm_up_left = parse_warm_up(state, &target.key, response.headers());
            state.queue().estimates.record_warm_up(now, &target.key, warm_up_left);
            let report = parse_load_report(state, &target.key, response.headers())?;
            state.queue().estimates.record_report(now, &target.key, report);
            advance_queue(state);
            Some(CheckRow { load: load_row(&target.key, Some(report)), warm_up_left })
        }
        Some(_) => {
            state.queue().estimates.record_failed_check(now, &target.key);
            Some(CheckRow::failed(&target.key))
        }
    }
}
