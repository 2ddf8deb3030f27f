//! Health checks of the homes. They tell which backend servers work slowly at this moment.

use crate::exchange::report_of;
use crate::slots::advance_queue;
use crate::state::GatewayState;
use balance::ServerKey;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use link::ConnectionChoice;
use model::{ServerName, ServiceName};
use smol_str::SmolStr;
use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time between health checks of one server by one home, unless the limit asks for more.
const PROBE_SPAN: Duration = Duration::from_millis(50);
/// How long the answer may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Part of the allowed rate that is used; the rest covers times with more homes.
const RATE_SHARE: f64 = 0.8;
/// Groups of servers that are checked one after the other in a span.
const PHASES: u32 = 2;
/// Time between looks at whether this instance is a home.
const IDLE_TICK: Duration = Duration::from_millis(100);

#[derive(Debug, Clone)]
struct ProbeTarget {
    key: ServerKey,
    address: SocketAddr,
    path: SmolStr,
}

/// Checks all servers while this instance is a home.
pub(crate) async fn run_prober(state: Rc<GatewayState>) {
    let pending = Rc::new(RefCell::new(HashSet::new()));
    let mut phase = 0;
    loop {
        let Some(span) = probe_span(&state) else {
            tokio::time::sleep(IDLE_TICK).await;
            continue;
        };
        for (index, target) in targets(&state).into_iter().enumerate() {
            let is_due = index as u32 % PHASES == phase;
            if is_due && pending.borrow_mut().insert(target.key.clone()) {
                tokio::task::spawn_local(probe(Rc::clone(&state), target, Rc::clone(&pending)));
            }
        }
        phase = (phase + 1) % PHASES;
        tokio::time::sleep(span / PHASES).await;
    }
}

/// Time between checks of one server, or none if this instance makes none.
fn probe_span(state: &GatewayState) -> Option<Duration> {
    let rate = state.settings().probes_per_s;
    let fleet = state.fleet_ref();
    fleet.home_place()?;
    if rate <= 0.0 || state.is_stopping() {
        return None;
    }
    let least = fleet.homes().len() as f64 / (rate * RATE_SHARE);
    Some(PROBE_SPAN.max(Duration::from_secs_f64(least)))
}

fn targets(state: &GatewayState) -> Vec<ProbeTarget> {
    let Some(table) = state.table() else {
        return Vec::new();
    };
    let path_of =
        |service: &ServiceName| table.services.get(service).map(|s| s.health_path.clone());
    let queue = state.queue();
    let mut targets: Vec<ProbeTarget> = queue
        .picture
        .servers()
        .filter(|server| server.is_hopeful())
        .filter_map(|server| {
            let path = path_of(&server.spec.service)?;
            let (key, address) = (server.spec.key.clone(), server.spec.address);
            Some(ProbeTarget { key, address, path })
        })
        .collect();
    targets.sort_by(|left, right| left.key.name.as_str().cmp(right.key.name.as_str()));
    targets
}

async fn probe(
    state: Rc<GatewayState>,
    target: ProbeTarget,
    pending: Rc<RefCell<HashSet<ServerKey>>>,
) {
    check_server(&state, &target).await;
    pending.borrow_mut().remove(&target.key);
}

async fn check_server(state: &Rc<GatewayState>, target: &ProbeTarget) {
    let request = Request::get(target.path.as_str())
        .header(header::HOST, target.address.to_string())
        .body(Full::default());
    let Ok(request) = request else {
        state.log.state("health_path_invalid", &target.path);
        return;
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
        return;
    };
    let server: Option<ServerName> = answer
        .headers()
        .get(&names.server)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    match server {
        // The answer to an earlier request on this connection.
        None => state.queue().picture.record_stray(now, &target.key),
        Some(server) if server != target.key.name => {
            state.queue().picture.record_misdirected(&target.key);
        }
        Some(_) if answer.status() == StatusCode::OK => {
            if let Some(report) = report_of(state, answer.headers()) {
                state.queue().picture.record_report(now, &target.key, report);
            }
            advance_queue(state);
        }
        Some(_) => state.queue().picture.record_miss(now, &target.key),
    }
}
