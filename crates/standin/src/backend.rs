//! Stand-in for a backend server, with slots, stragglers, warm-up, drain, shedding and a ledger of
//! runs.

use crate::ledger::{LedgerReport, RunLedger};
use axum::Router;
use axum::body::Body;
use axum::extract::{Query, Request, State};
use axum::middleware::Next;
use axum::response::{IntoResponse, Json, Response};
use axum::routing::{any, get, post};
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};
use link::{HttpServer, serve_limited};
use model::wire::{
    CALL_PATH, DEADLINE_HEADER, DEPTH_HEADER, DRAIN_HEADER, EXCHANGE_HEADER, IDEMPOTENCY_HEADER,
    LOAD_HEADER, REQUEST_HEADER, SHED_HEADER,
};
use model::{Millis, ServerName};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// Path that returns the [`LoadReport`], which lags.
pub const LOAD_PATH: &str = "/load";
/// Path that returns the [`LedgerReport`].
pub const LEDGER_PATH: &str = "/admin/ledger";
/// Path that starts a drain.
pub const DRAIN_PATH: &str = "/admin/drain";
/// Path that sets the faults to a [`BackendFaults`].
pub const BACKEND_FAULTS_PATH: &str = "/admin/faults";
/// Path that returns the number of probes since the start.
pub const PROBES_PATH: &str = "/admin/probes";

/// Faults of the backend server that can be switched on. The default is no fault.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct BackendFaults {
    /// Time added to the processing of each request.
    pub slow: Millis,
    /// Requests are shed without running.
    pub shed: bool,
    /// Requests fail at once with status 500.
    pub fail_fast: bool,
    /// Requests run, but their responses are cut off in the middle.
    pub cut_answers: bool,
    /// Requests run, but get no response.
    pub hang: bool,
}

/// Settings of a [`StandinBackend`].
#[derive(Debug, Clone)]
pub struct BackendSettings {
    name: ServerName,
    address: SocketAddr,
    slots: u32,
    connections: usize,
    waiting_max: u32,
    processing_time: Duration,
    straggler_share: f64,
    straggler_factor: u32,
    warm_up: Duration,
    load_lag: Duration,
    seed: u64,
}

/// Builds [`BackendSettings`].
#[derive(Debug, Clone)]
pub struct BackendSettingsBuilder(BackendSettings);

impl BackendSettingsBuilder {
    /// Starts with six slots, 4 ms of processing time and no stragglers.
    pub fn new(name: ServerName, address: SocketAddr) -> Self {
        Self(BackendSettings {
            name,
            address,
            slots: 6,
            connections: 240,
            waiting_max: 64,
            processing_time: Duration::from_millis(4),
            straggler_share: 0.0,
            straggler_factor: 25,
            warm_up: Duration::ZERO,
            load_lag: Duration::from_millis(100),
            seed: 1,
        })
    }

    /// Sets the number of slots: requests processed at once.
    pub fn slots(mut self, slots: u32) -> Self {
        self.0.slots = slots;
        self
    }

    /// Sets the limit on open connections; further ones are closed at once.
    pub fn connections(mut self, count: usize) -> Self {
        self.0.connections = count;
        self
    }

    /// Sets the limit on requests that wait for a slot; further ones are shed.
    pub fn waiting_max(mut self, count: u32) -> Self {
        self.0.waiting_max = count;
        self
    }

    /// Sets the processing time of a request without a `work_ms` parameter.
    pub fn processing_time(mut self, duration: Duration) -> Self {
        self.0.processing_time = duration;
        self
    }

    /// Sets the share of stragglers among requests without a `work_ms` parameter, and how many times
    /// longer they take.
    pub fn stragglers(mut self, share: f64, factor: u32) -> Self {
        self.0.straggler_share = share;
        self.0.straggler_factor = factor;
        self
    }

    /// Sets the time after the start during which requests take twice as long.
    pub fn warm_up(mut self, duration: Duration) -> Self {
        self.0.warm_up = duration;
        self
    }

    /// Sets the seed of the random choice of stragglers.
    pub fn seed(mut self, seed: u64) -> Self {
        self.0.seed = seed;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> BackendSettings {
        self.0
    }
}

struct BackendShared {
    settings: BackendSettings,
    started_at: Instant,
    slots: Arc<Semaphore>,
    in_flight: AtomicU32,
    waiting: AtomicU32,
    probes: AtomicU64,
    requests_started: AtomicU64,
    draining: AtomicBool,
    faults: Mutex<BackendFaults>,
    random: Mutex<SmallRng>,
    ledger: RunLedger,
    /// Connections to the instances that chained requests are sent through.
    pool: link::LinkPool,
    /// Time and value of the reported load measurement, replaced once it is `load_lag` old.
    lagging_load: Mutex<(Instant, u32)>,
}

type BackendContext = State<Arc<BackendShared>>;

/// A running stand-in for a backend server.
pub struct StandinBackend {
    address: SocketAddr,
    shared: Arc<BackendShared>,
    server: HttpServer,
}

impl StandinBackend {
    /// Starts to serve at the address of the settings.
    ///
    /// # Errors
    /// The port cannot be bound.
    pub async fn start(settings: BackendSettings) -> std::io::Result<Self> {
        let listener = TcpListener::bind(settings.address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(BackendShared {
            started_at: Instant::now(),
            slots: Arc::new(Semaphore::new(settings.slots as usize)),
            in_flight: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            probes: AtomicU64::new(0),
            requests_started: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            faults: Mutex::default(),
            random: Mutex::new(SmallRng::seed_from_u64(settings.seed)),
            ledger: RunLedger::default(),
            pool: link::LinkPoolBuilder::default().build(),
            lagging_load: Mutex::new((Instant::now(), 0)),
            settings,
        });
        let routes = Router::new()
            .route(LOAD_PATH, get(load))
            .route(LEDGER_PATH, get(ledger))
            .route(DRAIN_PATH, post(drain))
            .route(BACKEND_FAULTS_PATH, post(set_faults))
            .route(PROBES_PATH, get(probes))
            .fallback(any(handle_request))
            .layer(axum::middleware::from_fn(echo_exchange))
            .with_state(Arc::clone(&shared));
        let handle = tokio::runtime::Handle::current();
        let connections = shared.settings.connections;
        let server = serve_limited(&handle, listener, routes, connections);
        Ok(Self { address, shared, server })
    }

    /// Address that the server listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the runs of non-idempotent work since the start.
    pub fn ledger(&self) -> LedgerReport {
        self.shared.ledger.report()
    }

    /// Number of requests that hold a slot.
    pub fn in_flight(&self) -> u32 {
        self.shared.in_flight.load(Ordering::Relaxed)
    }

    /// Number of requests that got a slot since the start.
    pub fn requests_started(&self) -> u64 {
        self.shared.requests_started.load(Ordering::Relaxed)
    }

    /// Starts a drain: responses carry the drain header from now on.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::Relaxed);
    }

    /// Replaces the faults that are switched on.
    pub fn set_faults(&self, faults: BackendFaults) {
        *self.shared.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Number of probes since the start.
    pub fn probes(&self) -> u64 {
        self.shared.probes.load(Ordering::Relaxed)
    }

    /// Stops serving; waits at most 2 s for requests in progress.
    pub async fn close(self) {
        self.server.close(Instant::now() + Duration::from_secs(2)).await;
    }
}

#[derive(Deserialize)]
struct WorkParams {
    /// Processing time of the request, in milliseconds.
    work_ms: Option<u64>,
    /// Instance through which the next request of a chain is sent, to the service `orders`.
    chain_via: Option<SocketAddr>,
    /// Whether the response repeats the headers of the request.
    #[serde(default)]
    echo: bool,
    /// Number of further requests in the chain; the last one is shed.
    chain_left: Option<u32>,
}

/// Repeats the exchange id of a request in its response.
async fn echo_exchange(request: Request, next: Next) -> Response {
    let exchange = request.headers().get(EXCHANGE_HEADER).cloned();
    let mut response = next.run(request).await;
    if let Some(exchange) = exchange {
        response.headers_mut().insert(EXCHANGE_HEADER, exchange);
    }
    response
}

async fn handle_request(
    State(shared): BackendContext,
    method: Method,
    uri: Uri,
    Query(params): Query<WorkParams>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let faults = *shared.faults.lock().unwrap_or_else(PoisonError::into_inner);
    let is_full = shared.waiting.load(Ordering::Relaxed) >= shared.settings.waiting_max;
    let is_chain_end = params.chain_left == Some(0);
    if faults.shed || is_full || is_chain_end {
        return shed(&shared);
    }
    if faults.fail_fast {
        return (StatusCode::INTERNAL_SERVER_ERROR, "fails fast").into_response();
    }
    let timeout = parse_header(&headers, DEADLINE_HEADER).map(Duration::from_millis);
    let processing_time = processing_time_of(&shared, params.work_ms, faults);
    let slot = acquire_slot(&shared, timeout).await;
    let Some(running) = slot else {
        return shed(&shared);
    };
    if let Some(key) = headers.get(IDEMPOTENCY_HEADER).and_then(|key| key.to_str().ok()) {
        shared.ledger.record(key);
        // The work takes effect from its start, even if the connection closes meanwhile.
        let _ = tokio::spawn(process(running, processing_time)).await;
    } else {
        process(running, processing_time).await;
    }
    if faults.hang {
        return std::future::pending().await;
    }
    if let (Some(instance), Some(remaining @ 1..)) = (params.chain_via, params.chain_left) {
        return send_next_in_chain(&shared, instance, &params, remaining - 1, &headers).await;
    }
    let request = headers.get(REQUEST_HEADER).and_then(|id| id.to_str().ok()).unwrap_or_default();
    let text = format!("{} {method} {uri} {request} {} bytes\n", shared.settings.name, body.len());
    let mut response = respond(&shared, text, faults);
    if params.echo {
        response.headers_mut().insert("x-seen", seen_headers(&headers));
    }
    response
}

fn seen_headers(headers: &HeaderMap) -> http::HeaderValue {
    let line = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        format!("{name}={};", value.to_str().unwrap_or_default())
    };
    let text: String = headers.iter().map(line).collect();
    http::HeaderValue::from_str(&text).unwrap_or(http::HeaderValue::from_static(""))
}

/// Sends the next request of a chain. Responds with status 502 if it doesn't succeed.
async fn send_next_in_chain(
    shared: &BackendShared,
    instance: SocketAddr,
    params: &WorkParams,
    remaining: u32,
    headers: &HeaderMap,
) -> Response {
    let work_ms = params.work_ms.unwrap_or_default();
    let path = format!(
        "{CALL_PATH}/orders/chain?work_ms={work_ms}&chain_via={instance}&chain_left={remaining}"
    );
    let mut builder = http::Request::get(path).header(http::header::HOST, "chain");
    for name in [DEPTH_HEADER, DEADLINE_HEADER] {
        if let Some(value) = headers.get(name) {
            builder = builder.header(name, value);
        }
    }
    let Ok(request) = builder.body(http_body_util::Full::default()) else {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    let timeout_ms = parse_header(headers, DEADLINE_HEADER).unwrap_or(1_000);
    let deadline = Instant::now() + Duration::from_millis(timeout_ms);
    let choice = link::ConnectionChoice::Pooled;
    let response = shared.pool.exchange(instance, request, choice, deadline).await;
    let is_success = response.is_ok_and(|response| response.status().is_success());
    let status = if is_success { StatusCode::OK } else { StatusCode::BAD_GATEWAY };
    with_load(shared, status.into_response())
}

fn parse_header(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn processing_time_of(
    shared: &BackendShared,
    work_ms: Option<u64>,
    faults: BackendFaults,
) -> Duration {
    let settings = &shared.settings;
    let mut processing_time = work_ms.map_or(settings.processing_time, Duration::from_millis);
    if work_ms.is_none() && settings.straggler_share > 0.0 {
        let mut random = shared.random.lock().unwrap_or_else(PoisonError::into_inner);
        if random.random_bool(settings.straggler_share) {
            processing_time *= settings.straggler_factor;
        }
    }
    if shared.started_at.elapsed() < settings.warm_up {
        processing_time *= 2;
    }
    processing_time + faults.slow.duration()
}

/// A request that holds a slot; it is counted in `in_flight` until dropped.
struct RunningRequest {
    shared: Arc<BackendShared>,
    _slot: tokio::sync::OwnedSemaphorePermit,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Ends the count of a waiting request when dropped, also if the connection closed meanwhile.
struct WaitingGuard<'a>(&'a BackendShared);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Waits for a slot. Returns `None` after `timeout`, when the request must not run any more.
async fn acquire_slot(
    shared: &Arc<BackendShared>,
    timeout: Option<Duration>,
) -> Option<RunningRequest> {
    shared.waiting.fetch_add(1, Ordering::Relaxed);
    let waiting_guard = WaitingGuard(shared);
    let acquire = Arc::clone(&shared.slots).acquire_owned();
    let slot = match timeout {
        Some(timeout) => tokio::time::timeout(timeout, acquire).await.ok()?.ok()?,
        None => acquire.await.ok()?,
    };
    drop(waiting_guard);
    shared.in_flight.fetch_add(1, Ordering::Relaxed);
    shared.requests_started.fetch_add(1, Ordering::Relaxed);
    Some(RunningRequest { shared: Arc::clone(shared), _slot: slot })
}

async fn process(running: RunningRequest, processing_time: Duration) {
    tokio::time::sleep(processing_time).await;
    drop(running);
}

fn shed(shared: &BackendShared) -> Response {
    let mut response = (StatusCode::SERVICE_UNAVAILABLE, "shed\n").into_response();
    response.headers_mut().insert(SHED_HEADER, http::HeaderValue::from_static("not-run"));
    with_load(shared, response)
}

fn respond(shared: &BackendShared, text: String, faults: BackendFaults) -> Response {
    let response = if faults.cut_answers {
        let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
        let cut = std::io::Error::other("cut on purpose");
        let parts = futures::stream::iter([Ok(half), Err(cut)]);
        Response::builder()
            .header(http::header::CONTENT_LENGTH, text.len())
            .body(Body::from_stream(parts))
            .unwrap_or_default()
    } else {
        text.into_response()
    };
    with_load(shared, response)
}

fn with_load(shared: &BackendShared, mut response: Response) -> Response {
    let load = shared.in_flight.load(Ordering::Relaxed) + shared.waiting.load(Ordering::Relaxed);
    response.headers_mut().insert(LOAD_HEADER, load.into());
    if shared.draining.load(Ordering::Relaxed) {
        let value = http::HeaderValue::from_static("true");
        response.headers_mut().insert(DRAIN_HEADER, value);
    }
    response
}

/// Response of [`LOAD_PATH`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests that held a slot when the load was measured.
    pub in_flight: u32,
}

async fn load(State(shared): BackendContext) -> Json<LoadReport> {
    shared.probes.fetch_add(1, Ordering::Relaxed);
    let mut lagging = shared.lagging_load.lock().unwrap_or_else(PoisonError::into_inner);
    let reported = lagging.1;
    if lagging.0.elapsed() >= shared.settings.load_lag {
        *lagging = (Instant::now(), shared.in_flight.load(Ordering::Relaxed));
    }
    Json(LoadReport { in_flight: reported })
}

async fn ledger(State(shared): BackendContext) -> Json<LedgerReport> {
    Json(shared.ledger.report())
}

async fn drain(State(shared): BackendContext) -> Json<()> {
    shared.draining.store(true, Ordering::Relaxed);
    Json(())
}

async fn set_faults(State(shared): BackendContext, Json(faults): Json<BackendFaults>) -> Json<()> {
    *shared.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    Json(())
}

async fn probes(State(shared): BackendContext) -> Json<u64> {
    Json(shared.probes.load(Ordering::Relaxed))
}
