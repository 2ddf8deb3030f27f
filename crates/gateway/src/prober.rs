//! Health checks. They tell which backend servers work slowly at this moment.
//!
//! In each data centre one instance, the scout, checks the servers there and tells the homes by
//! datagrams of a few bytes a server. A home checks a server itself when it hears nothing of it.

use crate::exchange::report_of;
use crate::peer_port::send_loads;
use crate::slots::advance_queue;
use crate::state::GatewayState;
use balance::{BackendState, LoadReport};
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

/// Time between health checks of one server, unless the limit asks for more.
const PROBE_SPAN: Duration = Duration::from_millis(50);
/// How long the answer may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Part of the allowed rate that is used; the rest covers times with more homes.
const RATE_SHARE: f64 = 0.8;
/// Groups of servers that are checked one after the other in a span.
const PHASES: u32 = 2;
/// Time in which most servers answer a health check; then the homes are told.
const COLLECT_SPAN: Duration = Duration::from_millis(9);
/// Age that a report has when it reaches the homes, on average, in milliseconds.
const REPORT_AGE_MS: u8 = 3;
/// Spans without a report after which a home checks a server itself, and the least such time.
const SILENT_SPANS: u32 = 4;
const SILENT_MIN: Duration = Duration::from_millis(150);
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
    let mut phase = 0;
    loop {
        let Some(span) = probe_span(&state) else {
            tokio::time::sleep(IDLE_TICK).await;
            continue;
        };
        for (index, target) in targets(&state, span).into_iter().enumerate() {
            let is_due = index as u32 % PHASES == phase;
            if is_due && pending.borrow_mut().insert(target.key.clone()) {
                let check = probe(Rc::clone(&state), target, Rc::clone(&pending), Rc::clone(&rows));
                tokio::task::spawn_local(check);
            }
        }
        phase = (phase + 1) % PHASES;
        let collect = COLLECT_SPAN.min(span / PHASES);
        tokio::time::sleep(collect).await;
        let learned = std::mem::take(&mut *rows.borrow_mut());
        if !learned.is_empty() {
            send_loads(&state, &learned);
        }
        tokio::time::sleep(span / PHASES - collect).await;
    }
}

/// Time between checks of one server, or none if this instance makes none.
fn probe_span(state: &GatewayState) -> Option<Duration> {
    let rate = state.settings().probes_per_s;
    let fleet = state.fleet_ref();
    let has_duty = fleet.is_scout() || fleet.home_place().is_some();
    if rate <= 0.0 || state.is_stopping() || !has_duty {
        return None;
    }
    Some(PROBE_SPAN.max(Duration::from_secs_f64(1.0 / (rate * RATE_SHARE))))
}

/// Whether this instance checks a server: as the scout of its data centre, or as a home that hears
/// nothing of it.
fn is_mine(state: &GatewayState, server: &BackendState, now: MonoTime, span: Duration) -> bool {
    let fleet = state.fleet_ref();
    if fleet.is_scout() && server.spec.data_centre == state.settings().data_centre {
        return true;
    }
    let silence = (span * SILENT_SPANS).max(SILENT_MIN);
    fleet.home_place().is_some() && server.report_age(now).is_none_or(|age| age > silence)
}

/// Takes over what a scout learned.
pub(crate) fn take_loads(state: &Rc<GatewayState>, rows: &[LoadRow]) {
    let now = state.now();
    let mut queue = state.queue();
    let tags: HashMap<u32, ServerKey> = queue
        .picture
        .servers()
        .map(|server| &server.spec.key)
        .map(|key| (server_tag(&key.name, key.incarnation), key.clone()))
        .collect();
    for row in rows {
        let Some(key) = tags.get(&row.server) else {
            continue;
        };
        if row.pace_tenths == 0 {
            queue.picture.record_miss(now, key);
            continue;
        }
        let report = LoadReport {
            running: row.running.into(),
            waiting: row.waiting.into(),
            pace: f64::from(row.pace_tenths) / 10.0,
        };
        let made_at = MonoTime(now.0.saturating_sub(u64::from(row.age_ms) * 1_000));
        queue.picture.record_report(made_at, key, report);
    }
    drop(queue);
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
            pace_tenths: (report.pace * 10.0).round().clamp(1.0, 255.0) as u8,
            age_ms: REPORT_AGE_MS,
        },
        None => LoadRow { server, running: 0, waiting: 0, pace_tenths: 0, age_ms: 0 },
    }
}

fn targets(state: &GatewayState, span: Duration) -> Vec<ProbeTarget> {
    let Some(table) = state.table() else {
        return Vec::new();
    };
    let path_of =
        |service: &ServiceName| table.services.get(service).map(|s| s.health_path.clone());
    let now = state.now();
    let queue = state.queue();
    let mut targets: Vec<ProbeTarget> = queue
        .picture
        .servers()
        .filter(|server| server.is_hopeful() && is_mine(state, server, now, span))
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
    let names = state.dialect.headers();
    let Ok(answer) = result else {
        state.metrics.exchange("probe_failed");
        state.queue().picture.record_miss(now, &target.key);
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
            state.queue().picture.record_stray(now, &target.key);
            None
        }
        Some(server) if server != target.key.name => {
            state.queue().picture.record_misdirected(&target.key);
            Some(row_of(&target.key, None))
        }
        Some(_) if answer.status() == StatusCode::OK => {
            let report = report_of(state, answer.headers())?;
            state.queue().picture.record_report(now, &target.key, report);
            advance_queue(state);
            Some(row_of(&target.key, Some(report)))
        }
        Some(_) => {
            state.queue().picture.record_miss(now, &target.key);
            Some(row_of(&target.key, None))
        }
    }
}
