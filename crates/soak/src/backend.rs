//! Stand-ins for backend servers, each behind a proxy of its own.

use crate::proxy::FaultProxy;
use crate::store::StoreStandin;
use crate::verifier::RunVerifier;
use anyhow::Result;
use axum::Router;
use axum::body::Body;
use axum::extract::State;
use axum::http::{HeaderMap, HeaderValue, StatusCode, Uri, header};
use axum::response::{IntoResponse, Response};
use gateway::WireBinding;
use platform::PlatformBinding;
use rand::RngExt;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Number of slots that a server reports. It sheds requests only at three times as many in
/// progress.
const SLOTS: u32 = 6;
/// Mean processing time of a request.
const PROCESSING_TIME_MEAN: Duration = Duration::from_millis(30);
/// Share of the requests that are stragglers.
const STRAGGLER_SHARE: f64 = 0.03;
/// Processing time of a straggler, most of a route's timeout.
const STRAGGLER_TIME: Duration = Duration::from_millis(1_000);
/// How many times longer than normal a slow server takes.
const SLOWDOWN_FACTOR: u32 = 7;

/// Time for which a server that is added is cold.
const COLD_PERIOD: Duration = Duration::from_secs(2);
/// Time for which a server that refuses a request wants no others.
pub const QUIET_PERIOD: Duration = Duration::from_millis(1_500);

/// Statuses of servers that fail a request after they ran it. Those of refusals lack the mark of one.
const FAILURE_STATUSES: [StatusCode; 4] = [
    StatusCode::INTERNAL_SERVER_ERROR,
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::REQUEST_TIMEOUT,
];

/// How a server behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerFault {
    /// No fault.
    None,
    /// Takes `SLOWDOWN_FACTOR` times longer and reports this slowdown.
    Slow,
    /// Sheds half of the requests.
    Shed,
    /// Runs requests and responds to half of them with one of [`FAILURE_STATUSES`].
    Fail,
    /// Runs requests and ends the connection in the middle of half of the responses.
    Cut,
    /// Refuses a third of the requests and wants none for [`QUIET_PERIOD`].
    Quiet,
}

struct ServerState {
    name: String,
    data_centre: &'static str,
    cold_until: Instant,
    fault: AtomicU8,
    /// Requests a second that the server accepts; 0 without a limit.
    limit: AtomicU32,
    running: AtomicU32,
    is_leaving: AtomicBool,
    verifier: Arc<RunVerifier>,
    binding: PlatformBinding,
}

/// A running server with a proxy in front of it. Clones share the same server.
#[derive(Clone)]
pub struct StandinServer {
    /// Name under which the server is registered.
    pub name: String,
    /// Data centre of the server, one of [`DATA_CENTRES`].
    pub data_centre: &'static str,
    /// Proxy through which gateways reach the server.
    pub proxy: FaultProxy,
    state: Arc<ServerState>,
}

impl StandinServer {
    /// Sets the fault for requests that arrive from now on.
    pub fn set_fault(&self, fault: ServerFault) {
        self.state.fault.store(fault as u8, Ordering::Relaxed);
    }

    /// Makes the server say in all its answers that it leaves.
    pub fn begin_leaving(&self) {
        self.state.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Makes the server name a limit on the requests that it accepts in a second.
    pub fn begin_limit(&self, per_s: u32) {
        self.state.verifier.begin_limit(&self.name, per_s);
        self.state.limit.store(per_s, Ordering::Relaxed);
    }

    /// Makes the server accept any rate again.
    pub fn end_limit(&self) {
        self.state.limit.store(0, Ordering::Relaxed);
        self.state.verifier.end_limit(&self.name);
    }
}

/// Starts servers and keeps a list of those that are registered and not leaving.
pub struct BackendFleet {
    servers: Mutex<Vec<StandinServer>>,
    next_number: AtomicU64,
    verifier: Arc<RunVerifier>,
}

/// Data centres, to which servers and gateways are assigned in turn.
pub const DATA_CENTRES: [&str; 2] = ["east", "west"];

impl BackendFleet {
    /// Starts `count` servers and writes their records to the store.
    pub async fn start(
        count: usize,
        store: &StoreStandin,
        verifier: &Arc<RunVerifier>,
    ) -> Result<Self> {
        let fleet = Self {
            servers: Mutex::default(),
            next_number: AtomicU64::new(0),
            verifier: Arc::clone(verifier),
        };
        for _ in 0..count {
            fleet.add_cold(store, Duration::ZERO).await?;
        }
        Ok(fleet)
    }

    /// Starts one more server and writes its record to the store.
    pub async fn add(&self, store: &StoreStandin) -> Result<()> {
        self.add_cold(store, COLD_PERIOD).await
    }

    async fn add_cold(&self, store: &StoreStandin, cold: Duration) -> Result<()> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let name = format!("s{number}");
        let data_centre = DATA_CENTRES[number as usize % DATA_CENTRES.len()];
        let state = Arc::new(ServerState {
            name: name.clone(),
            data_centre,
            cold_until: Instant::now() + cold,
            fault: AtomicU8::new(ServerFault::None as u8),
            limit: AtomicU32::new(0),
            running: AtomicU32::new(0),
            is_leaving: AtomicBool::new(false),
            verifier: Arc::clone(&self.verifier),
            binding: PlatformBinding::default(),
        });
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = FaultProxy::start(listener.local_addr()?).await?;
        let routes = Router::new().fallback(handle_request).with_state(Arc::clone(&state));
        tokio::spawn(async move { axum::serve(listener, routes).await });
        self.verifier.record_cold(&name, cold);
        store.put_server_cold(&name, proxy.address, data_centre, false, cold);
        let server = StandinServer { name, data_centre, proxy, state };
        self.servers.lock().unwrap_or_else(PoisonError::into_inner).push(server);
        Ok(())
    }

    /// Returns the registered servers that are not leaving.
    pub fn active_servers(&self) -> Vec<StandinServer> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Removes a server that is about to leave from the active ones. It keeps running.
    pub fn remove(&self, name: &str) {
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        servers.retain(|server| server.name != name);
    }
}

/// Decrements the number of requests in progress when it is dropped.
struct RunningGuard<'a>(&'a AtomicU32);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn handle_request(
    State(state): State<Arc<ServerState>>,
    uri: Uri,
    headers: HeaderMap,
) -> Response {
    let names = state.binding.headers();
    let fault = state.fault.load(Ordering::Relaxed);
    let slowdown_percent =
        if fault == ServerFault::Slow as u8 { SLOWDOWN_FACTOR * 100 } else { 100 };
    let load = format!("{},0,{SLOTS},{slowdown_percent}", state.running.load(Ordering::Relaxed));
    let mut response = if uri.path() == "/health" {
        state.verifier.record_health_check(&state.name);
        StatusCode::OK.into_response()
    } else {
        process_request(&state, &uri, &headers, fault).await
    };
    let mut add_header = |name: &http::HeaderName, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            response.headers_mut().insert(name.clone(), value);
        }
    };
    add_header(&names.load, &load);
    add_header(&names.server, &state.name);
    if state.is_leaving.load(Ordering::Relaxed) {
        add_header(&names.leaving, "1");
    }
    let cold_ms = state.cold_until.saturating_duration_since(Instant::now()).as_millis();
    if cold_ms > 0 {
        add_header(&names.warm_up, &cold_ms.to_string());
    }
    let limit = state.limit.load(Ordering::Relaxed);
    if limit > 0 {
        add_header(&names.limit, &limit.to_string());
    }
    if let Some(id) = headers.get(&names.request_id).and_then(|id| id.to_str().ok()) {
        add_header(&names.request_id, id);
    }
    response
}

async fn process_request(
    state: &ServerState,
    uri: &Uri,
    headers: &HeaderMap,
    fault: u8,
) -> Response {
    let names = state.binding.headers();
    let header_text = |name: &http::HeaderName| {
        headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
    };
    if header_text(&names.expected_server) != state.name {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    let id = header_text(&names.request_id);
    state.verifier.record_arrival(&state.name, &id);
    let is_full = state.running.load(Ordering::Relaxed) >= SLOTS * 3;
    if is_full || (fault == ServerFault::Shed as u8 && rand::rng().random_bool(0.5)) {
        let header = [(names.not_run.clone(), "1")];
        return (StatusCode::SERVICE_UNAVAILABLE, header).into_response();
    }
    if fault == ServerFault::Quiet as u8 && rand::rng().random_bool(0.33) {
        state.verifier.record_quiet_notice(&state.name, &id, QUIET_PERIOD);
        let period = QUIET_PERIOD.as_secs_f64().to_string();
        let headers = [(names.not_run.clone(), "1".into()), (header::RETRY_AFTER, period)];
        return (StatusCode::SERVICE_UNAVAILABLE, headers).into_response();
    }
    state.verifier.record_run(&state.name, &id, !uri.path().starts_with("/book/"));
    let team = header_text(&names.team);
    let has_key = headers.contains_key(&names.api_key);
    state.verifier.record_headers(&id, state.data_centre, &team, has_key);
    state.running.fetch_add(1, Ordering::Relaxed);
    let guard = RunningGuard(&state.running);
    let factor = if fault == ServerFault::Slow as u8 { SLOWDOWN_FACTOR } else { 1 };
    let processing_time = if rand::rng().random_bool(STRAGGLER_SHARE) {
        STRAGGLER_TIME
    } else {
        PROCESSING_TIME_MEAN.mul_f64(rand::rng().random_range(0.5..1.5)) * factor
    };
    tokio::time::sleep(processing_time).await;
    drop(guard);
    if fault == ServerFault::Fail as u8 && rand::rng().random_bool(0.5) {
        let status = FAILURE_STATUSES[rand::rng().random_range(0..FAILURE_STATUSES.len())];
        return (status, [(names.signature.clone(), "s")]).into_response();
    }
    let body = if fault == ServerFault::Cut as u8 && rand::rng().random_bool(0.5) {
        let cut = Err::<String, _>(std::io::Error::other("cut"));
        Body::from_stream(futures::stream::iter([Ok(format!("ran {}", &id[..1])), cut]))
    } else {
        Body::from(format!("ran {id}"))
    };
    (StatusCode::OK, [(names.signature.clone(), format!("s-{id}"))], body).into_response()
}
