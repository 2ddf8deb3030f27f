//! Health checks. They tell which backend servers work slowly at this moment.
//!
//! In each data centre one instance, the scout, checks the servers there and tells the homes by
//! datagrams of a few bytes a server. A home checks a server itself when it hears nothing of it.

use crate::exchange::report_of;
use crate::fleet_state::{FleetState, LoadReach};
use crate::peer_port::send_loads;
use crate::slots::advance_queue;
use crate::state::GatewayState;
use balance::{BackendState, LoadReport, check_interval};
use fleet::{LoadRow, server_tag};
use http::{Request, StatusCode, header};
use http_body_util::Full;
use link::ConnectionChoice;
use model::{DataCentre, MonoTime, ServerKey, ServerName, ServiceName};
use smol_str::SmolStr;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long the answer may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Groups of servers that are checked one after the other in a span.
const PHASES: u32 = 2;
/// Time in which most servers answer a health check; then the homes are told.
const COLLECT_SPAN: Duration = Duration::from_millis(9);
/// Age that a report has when it reaches the homes, on average, in milliseconds.
const REPORT_AGE_MS: u8 = 3;
/// Spans without a report after which a home checks a server itself, and the least such time.
const SILENT_SPANS: u32 = 4;
const SILENT_MIN: Duration = Duration::from_millis(150);
/// Rounds of which one goes to the homes of other data centres, if the own one has a home: those send
/// there only what their own servers can't take. Odd, so that it takes turns with the phases.
const FAR_TURN: u32 = 3;
/// Time between looks at whether this instance has servers to check.
const IDLE_TICK: Duration = Duration::from_millis(100);

#[derive(Debug, Clone)]
struct ProbeTarget {
    key: ServerKey,
    address: SocketAddr,
    path: SmolStr,
    data_centre: DataCentre,
}

type PendingProbes = Rc<RefCell<HashSet<ServerKey>>>;

/// Checks servers while this instance is a scout or a home.
pub(crate) async fn run_prober(state: Rc<GatewayState>) {
    let pending = PendingProbes::default();
    let rows = Rc::new(RefCell::new(Vec::new()));
    let mut round = 0_u32;
    loop {
        if !has_duty(&state) {
            tokio::time::sleep(IDLE_TICK).await;
            continue;
        }
        let spans = check_spans(&state);
        let span = spans.get(&state.settings().data_centre).copied();
        let span = span.unwrap_or_else(|| check_interval(state.settings().probes_per_s, 0, 0));
        for (index, target) in targets(&state, &spans).into_iter().enumerate() {
            let is_due = index as u32 % PHASES == round % PHASES;
            if is_due && pending.borrow_mut().insert(target.key.clone()) {
                let check = probe(Rc::clone(&state), target, Rc::clone(&pending), Rc::clone(&rows));
                tokio::task::spawn_local(check);
            }
        }
        round = round.wrapping_add(1);
        let collect = COLLECT_SPAN.min(span / PHASES);
        tokio::time::sleep(collect).await;
        let learned = std::mem::take(&mut *rows.borrow_mut());
        if !learned.is_empty() {
            let reach =
                if round.is_multiple_of(FAR_TURN) { LoadReach::All } else { LoadReach::Near };
            send_loads(&state, &learned, reach);
        }
        tokio::time::sleep(span / PHASES - collect).await;
    }
}

fn has_duty(state: &GatewayState) -> bool {
    let fleet = state.fleet_ref();
    let is_allowed = state.settings().probes_per_s > 0.0 && !state.is_stopping();
    is_allowed && (fleet.is_health_checker() || fleet.home_place().is_some())
}

/// Time between checks of a server, by data centre.
fn check_spans(state: &GatewayState) -> HashMap<DataCentre, Duration> {
    let now = state.now();
    let mut loads: HashMap<DataCentre, (usize, u32)> = HashMap::new();
    for server in state.queue().estimates.servers().filter(|server| server.is_candidate()) {
        let load = loads.entry(server.spec.data_centre.clone()).or_default();
        *load = (load.0 + 1, load.1.saturating_add(server.occupancy(now)));
    }
    let rate = state.settings().probes_per_s;
    loads
        .into_iter()
        .map(|(centre, (servers, busy))| (centre, check_interval(rate, servers, busy)))
        .collect()
}

/// Whether this instance checks a server: as the scout of its data centre, or as a home that hears
/// nothing of it.
fn is_mine(
    fleet: &FleetState,
    own: &DataCentre,
    server: &BackendState,
    now: MonoTime,
    spans: &HashMap<DataCentre, Duration>,
) -> bool {
    let centre = &server.spec.data_centre;
    if fleet.is_health_checker() && centre == own {
        return true;
    }
    let span = spans.get(centre).copied().unwrap_or(SILENT_MIN);
    let is_rarely_told = centre != own && fleet.has_home_in(centre);
    let turns = if is_rarely_told { FAR_TURN } else { 1 };
    let silence = (span * SILENT_SPANS * turns).max(SILENT_MIN);
    fleet.home_place().is_some() && server.report_age(now).is_none_or(|age| age > silence)
}

/// Takes over what a scout learned.
pub(crate) fn take_loads(state: &Rc<GatewayState>, rows: &[LoadRow]) {
    let now = state.now();
    let mut queue = state.queue();
    let fleet = state.fleet_ref();
    for row in rows {
        let Some(key) = fleet.records.tags.get(&row.server) else {
            continue;
        };
        if row.pace_tenths == 0 {
            queue.estimates.record_failed_check(now, key);
            continue;
        }
        let report = LoadReport {
            running: row.running.into(),
            waiting: row.waiting.into(),
            slowdown: f64::from(row.pace_tenths) / 10.0,
        };
        let made_at = MonoTime(now.0.saturating_sub(u64::from(row.age_ms) * 1_000));
        queue.estimates.record_report(made_at, key, report);
    }
    drop((queue, fleet));
    advance_queue(state);
}

/// The row on a server that was checked just now.
fn row_of(key: &ServerKey, report: Option<LoadReport>) -> LoadRow {
    let byte = |figure: u32| u8::try_from(figure).unwrap_or(u8::MAX);
    let server = server_tag(&key.name, key.incarnation);
    match report {
        Some(report) => LoadRow {
            server,
            running: byte(report.running),
            waiting: byte(report.waiting),
            pace_tenths: (report.slowdown * 10.0).round().clamp(1.0, 255.0) as u8,
            age_ms: REPORT_AGE_MS,
        },
        None => LoadRow { server, running: 0, waiting: 0, pace_tenths: 0, age_ms: 0 },
    }
}

fn targets(state: &GatewayState, spans: &HashMap<DataCentre, Duration>) -> Vec<ProbeTarget> {
    let Some(table) = state.table() else {
        return Vec::new();
    };
    let path_of =
        |service: &ServiceName| table.services.get(service).map(|s| s.health_path.clone());
    let now = state.now();
    let own = state.settings().data_centre.clone();
    let fleet = state.fleet_ref();
    let queue = state.queue();
    let mut targets: Vec<ProbeTarget> = queue
        .estimates
        .servers()
        .filter(|server| server.is_candidate() && is_mine(&fleet, &own, server, now, spans))
        .filter_map(|server| {
            let path = path_of(&server.spec.service)?;
            let (key, address) = (server.spec.key.clone(), server.spec.address);
            let data_centre = server.spec.data_centre.clone();
            Some(ProbeTarget { key, address, path, data_centre })
        })
        .collect();
    targets.sort_by(|left, right| left.key.name.as_str().cmp(right.key.name.as_str()));
    targets
}

async fn probe(
    state: Rc<GatewayState>,
    target: ProbeTarget,
    pending: PendingProbes,
    rows: Rc<RefCell<Vec<LoadRow>>>,
) {
    let row = check_server(&state, &target).await;
    pending.borrow_mut().remove(&target.key);
    if target.data_centre == state.settings().data_centre {
        rows.borrow_mut().extend(row);
    }
}

/// Gives what the homes should know.
async fn check_server(state: &Rc<GatewayState>, target: &ProbeTarget) -> Option<LoadRow> {
    let request = Request::get(target.path.as_str())
        .header(header::HOST, target.address.to_string())
        .body(Full::default());
    let Ok(request) = request else {
        state.log.state("health_path_invalid", &target.path);
        return None;
    };
    state.metrics.probes.inc();
    let deadline = Instant::now() + PROBE_TIMEOUT;
    let result =
        state.pool.exchange(target.address, request, ConnectionChoice::Pooled, deadline).await;
    let now = state.now();
    let names = state.binding.headers();
    let Ok(answer) = result else {
        state.metrics.exchange("probe_failed");
        state.queue().estimates.record_failed_check(now, &target.key);
        return Some(row_of(&target.key, None));
    };
    let server: Option<ServerName> = answer
        .headers()
        .get(&names.server)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    match server {
        // The answer to an earlier request on this connection.
        None => {
            state.queue().estimates.record_desync(now, &target.key);
            None
        }
        Some(server) if server != target.key.name => {
            state.queue().estimates.record_misdirected(&target.key);
            Some(row_of(&target.key, None))
        }
        Some(_) if answer.status() == StatusCode::OK => {
            let report = report_of(state, answer.headers())?;
            state.queue().estimates.record_report(now, &target.key, report);
            advance_queue(state);
            Some(row_of(&target.key, Some(report)))
        }
        Some(_) => {
            state.queue().estimates.record_failed_check(now, &target.key);
            Some(row_of(&target.key, None))
        }
    }
}
