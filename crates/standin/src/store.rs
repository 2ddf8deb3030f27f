//! The platform's key-value service as a stand-in over HTTP/JSON.

use crate::store_state::{StoreFaults, StoreState};
use axum::Router;
use axum::extract::{Request, State};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Json, Response};
use axum::routing::{get, post};
use http::StatusCode;
use link::{HttpServer, serve_http};
use model::{InstanceName, StoreRevision};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use store::protocol::{
    ANNOUNCE_PATH, AnnounceBody, ConflictBody, GRANT_PATH, GrantBody, INSTANCES_PATH, KEEP_PATH,
    KeepBody, READ_PATH, ReadBody, SWAP_PATH, SwapBody, WATCH_PATH, WITHDRAW_PATH, WatchBody,
};
use store::store::ListedServer;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Path that takes a [`StoreFaults`] and switches the faults.
pub const FAULTS_PATH: &str = "/admin/faults";
/// Path that makes all leases lapse.
pub const EXPIRE_LEASES_PATH: &str = "/admin/lapse";
/// Path that lists a backend server.
pub const SERVERS_PATH: &str = "/admin/servers";
/// Path that counts calls since the start.
pub const COUNTS_PATH: &str = "/admin/counts";

/// Counts of calls since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, serde::Deserialize)]
pub struct StoreCounts {
    /// Reads, the list included.
    pub reads: u64,
    /// Writes, leases and announcements included.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
}

#[derive(Default)]
struct CallCounters {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

struct SharedStore {
    state: Mutex<StoreState>,
    faults: Mutex<StoreFaults>,
    counters: CallCounters,
    changed: watch::Sender<u64>,
    list_lag: Duration,
}

type Shared = State<Arc<SharedStore>>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A running stand-in for the platform.
pub struct StandinStore {
    address: SocketAddr,
    shared: Arc<SharedStore>,
    server: HttpServer,
}

impl StandinStore {
    /// Serves at `address`; the list of instances is `list_lag` behind.
    ///
    /// # Errors
    /// The port cannot be bound.
    pub async fn start(address: SocketAddr, list_lag: Duration) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(SharedStore {
            state: Mutex::default(),
            faults: Mutex::default(),
            counters: CallCounters::default(),
            changed: watch::channel(0).0,
            list_lag,
        });
        let handle = tokio::runtime::Handle::current();
        let server = serve_http(&handle, listener, routes(Arc::clone(&shared)));
        Ok(Self { address, shared, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Switches the faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        *lock(&self.shared.faults) = faults;
    }

    /// Lists a backend server as live or leaving.
    pub fn register_server(&self, address: SocketAddr, leaving: bool) {
        let server = ListedServer { address, leaving };
        lock(&self.shared.state).register_server(Instant::now(), server);
    }

    /// Makes all leases lapse.
    pub fn lapse_leases(&self) {
        lock(&self.shared.state).lapse_leases();
    }

    /// Calls since the start.
    pub fn counts(&self) -> StoreCounts {
        counts(&self.shared)
    }

    /// Stops serving.
    pub async fn close(self) {
        self.server.close(Instant::now() + Duration::from_millis(200)).await;
    }
}

fn routes(shared: Arc<SharedStore>) -> Router {
    let calls = Router::new()
        .route(READ_PATH, post(read))
        .route(SWAP_PATH, post(swap))
        .route(WATCH_PATH, post(watch_key))
        .route(GRANT_PATH, post(grant))
        .route(KEEP_PATH, post(keep))
        .route(INSTANCES_PATH, get(instances))
        .route(ANNOUNCE_PATH, post(announce))
        .route(WITHDRAW_PATH, post(withdraw))
        .route_layer(from_fn_with_state(Arc::clone(&shared), apply_faults));
    Router::new()
        .merge(calls)
        .route(FAULTS_PATH, post(set_faults).get(get_faults))
        .route(EXPIRE_LEASES_PATH, post(lapse))
        .route(SERVERS_PATH, post(register_server))
        .route(COUNTS_PATH, get(get_counts))
        .with_state(shared)
}

async fn apply_faults(State(shared): Shared, request: Request, next: Next) -> Response {
    let faults = *lock(&shared.faults);
    if faults.hang {
        return never().await;
    }
    if faults.down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    if faults.slow.0 > 0 {
        tokio::time::sleep(faults.slow.duration()).await;
    }
    next.run(request).await
}

/// Leaves the call without an answer until the other side gives up.
async fn never() -> Response {
    std::future::pending().await
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

async fn read(State(shared): Shared, Json(body): Json<ReadBody>) -> Response {
    count(&shared.counters.reads);
    let stored = lock(&shared.state).read(&body.key);
    Json(stored).into_response()
}

async fn swap(State(shared): Shared, Json(body): Json<SwapBody>) -> Response {
    count(&shared.counters.writes);
    let fate = write_fate(&shared);
    if let WriteFate::Late(span) = fate {
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            tokio::time::sleep(span).await;
            let _ = write(&shared, body);
        });
        return never().await;
    }
    let result = write(&shared, body);
    if matches!(fate, WriteFate::ReplyLost) {
        return never().await;
    }
    match result {
        Ok(revision) => Json(revision).into_response(),
        Err(revision) => (StatusCode::CONFLICT, Json(ConflictBody { revision })).into_response(),
    }
}

enum WriteFate {
    Answered,
    ReplyLost,
    Late(Duration),
}

fn write_fate(shared: &SharedStore) -> WriteFate {
    let mut faults = lock(&shared.faults);
    if faults.late_writes > 0 {
        faults.late_writes -= 1;
        return WriteFate::Late(faults.late_by.duration());
    }
    if faults.lose_replies > 0 {
        faults.lose_replies -= 1;
        return WriteFate::ReplyLost;
    }
    WriteFate::Answered
}

fn write(shared: &SharedStore, body: SwapBody) -> Result<StoreRevision, StoreRevision> {
    let result = lock(&shared.state).swap(&body.key, body.expected, body.value);
    if let Ok(revision) = result {
        shared.changed.send_replace(revision.0);
    }
    result
}

async fn watch_key(State(shared): Shared, Json(body): Json<WatchBody>) -> Response {
    count(&shared.counters.watches);
    if lock(&shared.faults).silent_watches {
        return never().await;
    }
    let mut changes = shared.changed.subscribe();
    let deadline = tokio::time::Instant::now() + body.wait.duration();
    loop {
        let stored = lock(&shared.state).read(&body.key);
        let newer = stored.filter(|stored| stored.revision > body.after);
        if newer.is_some() {
            return Json(newer).into_response();
        }
        if tokio::time::timeout_at(deadline, changes.changed()).await.is_err() {
            return Json(newer).into_response();
        }
    }
}

async fn grant(State(shared): Shared, Json(body): Json<GrantBody>) -> Response {
    count(&shared.counters.writes);
    let lease = lock(&shared.state).grant(Instant::now(), &body.key, body.holder, body.ttl);
    match lease {
        Some(lease) => Json(lease).into_response(),
        None => StatusCode::GONE.into_response(),
    }
}

async fn keep(State(shared): Shared, Json(body): Json<KeepBody>) -> Response {
    count(&shared.counters.writes);
    let is_kept = lock(&shared.state).keep(Instant::now(), &body.key, body.lease, body.ttl);
    if is_kept { Json(()).into_response() } else { StatusCode::GONE.into_response() }
}

async fn instances(State(shared): Shared) -> Response {
    count(&shared.counters.reads);
    let list = lock(&shared.state).instances(Instant::now(), shared.list_lag);
    Json(list).into_response()
}

async fn announce(State(shared): Shared, Json(body): Json<AnnounceBody>) -> Json<()> {
    count(&shared.counters.writes);
    lock(&shared.state).announce(Instant::now(), body.record, body.ttl);
    Json(())
}

async fn withdraw(State(shared): Shared, Json(name): Json<InstanceName>) -> Json<()> {
    count(&shared.counters.writes);
    lock(&shared.state).withdraw(Instant::now(), &name);
    Json(())
}

async fn set_faults(State(shared): Shared, Json(faults): Json<StoreFaults>) -> Json<()> {
    *lock(&shared.faults) = faults;
    Json(())
}

async fn get_faults(State(shared): Shared) -> Json<StoreFaults> {
    let faults = *lock(&shared.faults);
    Json(faults)
}

async fn lapse(State(shared): Shared) -> Json<()> {
    lock(&shared.state).lapse_leases();
    Json(())
}

async fn register_server(State(shared): Shared, Json(server): Json<ListedServer>) -> Json<()> {
    lock(&shared.state).register_server(Instant::now(), server);
    Json(())
}

async fn get_counts(State(shared): Shared) -> Json<StoreCounts> {
    Json(counts(&shared))
}

fn counts(shared: &SharedStore) -> StoreCounts {
    let counters = &shared.counters;
    StoreCounts {
        reads: counters.reads.load(Ordering::Relaxed),
        writes: counters.writes.load(Ordering::Relaxed),
        watches: counters.watches.load(Ordering::Relaxed),
    }
}
