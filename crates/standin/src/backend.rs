//! A backend server as a stand-in: slots, stragglers, cold start, drain, shedding, a ledger.

use crate::ledger::{LedgerReport, RunLedger};
use axum::Router;
use axum::body::Body;
use axum::extract::{Query, State};
use axum::response::{IntoResponse, Json, Response};
use axum::routing::{any, get, post};
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};
use link::{HttpServer, serve_limited};
use model::wire::{
    CALL_PATH, DEADLINE_HEADER, DEPTH_HEADER, DRAIN_HEADER, IDEMPOTENCY_HEADER, LOAD_HEADER,
    REQUEST_HEADER, SHED_HEADER,
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

/// Path of the load report, which lags.
pub const LOAD_PATH: &str = "/load";
/// Path of the ledger.
pub const LEDGER_PATH: &str = "/admin/ledger";
/// Path that begins a drain.
pub const DRAIN_PATH: &str = "/admin/drain";
/// Path that takes a [`BackendFaults`].
pub const BACKEND_FAULTS_PATH: &str = "/admin/faults";
/// Path that counts probes.
pub const PROBES_PATH: &str = "/admin/probes";

/// Faults that can be switched on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct BackendFaults {
    /// Each request takes this much longer.
    pub slow: Millis,
    /// Requests are shed without running.
    pub shed: bool,
    /// Requests fail at once with status 500.
    pub fail_fast: bool,
    /// Requests run, but their answers are cut off in the middle.
    pub cut_answers: bool,
    /// Requests run, but are never answered.
    pub hang: bool,
}

/// How a stand-in behaves.
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
    /// Starts with six slots and 4 ms of work.
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

    /// Sets the slots.
    pub fn slots(mut self, slots: u32) -> Self {
        self.0.slots = slots;
        self
    }

    /// Sets how many connections are accepted.
    pub fn connections(mut self, count: usize) -> Self {
        self.0.connections = count;
        self
    }

    /// Sets how many requests may wait for a slot before others are shed.
    pub fn waiting_max(mut self, count: u32) -> Self {
        self.0.waiting_max = count;
        self
    }

    /// Sets the work of a request that names none.
    pub fn processing_time(mut self, span: Duration) -> Self {
        self.0.processing_time = span;
        self
    }

    /// Sets the share of stragglers among requests that name no work.
    pub fn stragglers(mut self, share: f64, factor: u32) -> Self {
        self.0.straggler_share = share;
        self.0.straggler_factor = factor;
        self
    }

    /// Sets how long requests take twice their time after the start.
    pub fn warm_up(mut self, duration: Duration) -> Self {
        self.0.warm_up = duration;
        self
    }

    /// Sets the seed of the stragglers.
    pub fn seed(mut self, seed: u64) -> Self {
        self.0.seed = seed;
        self
    }

    /// Finishes the settings.
    pub fn build(self) -> BackendSettings {
        self.0
    }
}

struct SharedBackend {
    settings: BackendSettings,
    started: Instant,
    slots: Arc<Semaphore>,
    in_flight: AtomicU32,
    waiting: AtomicU32,
    probes: AtomicU64,
    requests_started: AtomicU64,
    draining: AtomicBool,
    faults: Mutex<BackendFaults>,
    random: Mutex<SmallRng>,
    ledger: RunLedger,
    /// Connections to the instance that a chain of calls goes through.
    pool: link::LinkPool,
    /// The load and when it was measured, replaced every `load_lag`.
    lagging_load: Mutex<(Instant, u32)>,
}

type Shared = State<Arc<SharedBackend>>;

/// A running stand-in.
pub struct StandinBackend {
    address: SocketAddr,
    shared: Arc<SharedBackend>,
    server: HttpServer,
}

impl StandinBackend {
    /// Serves at the address of the settings.
    ///
    /// # Errors
    /// The port cannot be bound.
    pub async fn start(settings: BackendSettings) -> std::io::Result<Self> {
        let listener = TcpListener::bind(settings.address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(SharedBackend {
            started: Instant::now(),
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
            .fallback(any(work))
            .with_state(Arc::clone(&shared));
        let handle = tokio::runtime::Handle::current();
        let connections = shared.settings.connections;
        let server = serve_limited(&handle, listener, routes, connections);
        Ok(Self { address, shared, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Runs so far.
    pub fn ledger(&self) -> LedgerReport {
        self.shared.ledger.report()
    }

    /// Requests that run or wait here.
    pub fn in_flight(&self) -> u32 {
        self.shared.in_flight.load(Ordering::Relaxed)
    }

    /// Requests that began to run so far.
    pub fn requests_started(&self) -> u64 {
        self.shared.requests_started.load(Ordering::Relaxed)
    }

    /// Begins to drain: answers say so from now on.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::Relaxed);
    }

    /// Switches the faults.
    pub fn set_faults(&self, faults: BackendFaults) {
        *self.shared.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Probes answered so far.
    pub fn probes(&self) -> u64 {
        self.shared.probes.load(Ordering::Relaxed)
    }

    /// Stops serving after the work in progress.
    pub async fn close(self) {
        self.server.close(Instant::now() + Duration::from_secs(2)).await;
    }
}

#[derive(Deserialize)]
struct WorkParams {
    work_ms: Option<u64>,
    /// Instance through which the work calls the same service again.
    chain_via: Option<SocketAddr>,
    /// Whether the answer repeats the headers of the request.
    #[serde(default)]
    echo: bool,
    /// Calls that are still to follow below; the last one is shed.
    chain_left: Option<u32>,
}

async fn work(
    State(shared): Shared,
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
    let deadline = header_number(&headers, DEADLINE_HEADER).map(Duration::from_millis);
    let span = work_span(&shared, params.work_ms, faults);
    let requests_started = begin(&shared, deadline).await;
    let Some(running) = requests_started else {
        return shed(&shared);
    };
    if let Some(key) = headers.get(IDEMPOTENCY_HEADER).and_then(|key| key.to_str().ok()) {
        shared.ledger.record(key);
        // Work that has requests_started takes effect, also when the other side goes away.
        let _ = tokio::spawn(hold_slot(running, span)).await;
    } else {
        hold_slot(running, span).await;
    }
    if faults.hang {
        return std::future::pending().await;
    }
    if let (Some(via), Some(left @ 1..)) = (params.chain_via, params.chain_left) {
        return call_further(&shared, via, left - 1, &headers).await;
    }
    let request = headers.get(REQUEST_HEADER).and_then(|id| id.to_str().ok()).unwrap_or_default();
    let text = format!("{} {method} {uri} {request} {} bytes\n", shared.settings.name, body.len());
    let mut response = answer(&shared, text, faults);
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

/// Calls the next service of a chain and passes its failure on as one of its own.
async fn call_further(
    shared: &SharedBackend,
    via: SocketAddr,
    left: u32,
    headers: &HeaderMap,
) -> Response {
    let path = format!("{CALL_PATH}/orders/chain?work_ms=0&chain_via={via}&chain_left={left}");
    let mut builder = http::Request::get(path).header(http::header::HOST, "chain");
    for name in [DEPTH_HEADER, DEADLINE_HEADER] {
        if let Some(value) = headers.get(name) {
            builder = builder.header(name, value);
        }
    }
    let Ok(request) = builder.body(http_body_util::Full::default()) else {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    let allowed = header_number(headers, DEADLINE_HEADER).unwrap_or(1_000);
    let deadline = Instant::now() + Duration::from_millis(allowed);
    let choice = link::ConnectionChoice::Pooled;
    let answer = shared.pool.exchange(via, request, choice, deadline).await;
    let is_served = answer.is_ok_and(|answer| answer.status().is_success());
    let status = if is_served { StatusCode::OK } else { StatusCode::BAD_GATEWAY };
    with_load(shared, status.into_response())
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn work_span(shared: &SharedBackend, asked: Option<u64>, faults: BackendFaults) -> Duration {
    let settings = &shared.settings;
    let mut span = asked.map_or(settings.processing_time, Duration::from_millis);
    if asked.is_none() && settings.straggler_share > 0.0 {
        let mut random = shared.random.lock().unwrap_or_else(PoisonError::into_inner);
        if random.random_bool(settings.straggler_share) {
            span *= settings.straggler_factor;
        }
    }
    if shared.started.elapsed() < settings.warm_up {
        span *= 2;
    }
    span + faults.slow.duration()
}

/// A request that holds a slot.
struct RunningWork {
    shared: Arc<SharedBackend>,
    _slot: tokio::sync::OwnedSemaphorePermit,
}

impl Drop for RunningWork {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a request that waits for a slot, also when the other side goes away.
struct WaitingGuard<'a>(&'a SharedBackend);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Waits for a slot; none if the deadline passes first, so that the work does not run.
async fn begin(shared: &Arc<SharedBackend>, deadline: Option<Duration>) -> Option<RunningWork> {
    shared.waiting.fetch_add(1, Ordering::Relaxed);
    let counted = WaitingGuard(shared);
    let waiting = Arc::clone(&shared.slots).acquire_owned();
    let slot = match deadline {
        Some(deadline) => tokio::time::timeout(deadline, waiting).await.ok()?.ok()?,
        None => waiting.await.ok()?,
    };
    drop(counted);
    shared.in_flight.fetch_add(1, Ordering::Relaxed);
    shared.requests_started.fetch_add(1, Ordering::Relaxed);
    Some(RunningWork { shared: Arc::clone(shared), _slot: slot })
}

async fn hold_slot(running: RunningWork, span: Duration) {
    tokio::time::sleep(span).await;
    drop(running);
}

fn shed(shared: &SharedBackend) -> Response {
    let mut response = (StatusCode::SERVICE_UNAVAILABLE, "shed\n").into_response();
    response.headers_mut().insert(SHED_HEADER, http::HeaderValue::from_static("not-run"));
    with_load(shared, response)
}

fn answer(shared: &SharedBackend, text: String, faults: BackendFaults) -> Response {
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

fn with_load(shared: &SharedBackend, mut response: Response) -> Response {
    let load = shared.in_flight.load(Ordering::Relaxed) + shared.waiting.load(Ordering::Relaxed);
    response.headers_mut().insert(LOAD_HEADER, load.into());
    if shared.draining.load(Ordering::Relaxed) {
        let value = http::HeaderValue::from_static("true");
        response.headers_mut().insert(DRAIN_HEADER, value);
    }
    response
}

/// What the load endpoint tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in slots, some time ago.
    pub in_flight: u32,
}

async fn load(State(shared): Shared) -> Json<LoadReport> {
    shared.probes.fetch_add(1, Ordering::Relaxed);
    let mut lagging = shared.lagging_load.lock().unwrap_or_else(PoisonError::into_inner);
    let told = lagging.1;
    if lagging.0.elapsed() >= shared.settings.load_lag {
        *lagging = (Instant::now(), shared.in_flight.load(Ordering::Relaxed));
    }
    Json(LoadReport { in_flight: told })
}

async fn ledger(State(shared): Shared) -> Json<LedgerReport> {
    Json(shared.ledger.report())
}

async fn drain(State(shared): Shared) -> Json<()> {
    shared.draining.store(true, Ordering::Relaxed);
    Json(())
}

async fn set_faults(State(shared): Shared, Json(faults): Json<BackendFaults>) -> Json<()> {
    *shared.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    Json(())
}

async fn probes(State(shared): Shared) -> Json<u64> {
    Json(shared.probes.load(Ordering::Relaxed))
}
