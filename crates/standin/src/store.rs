//! Stand-in for the platform's key-value service, over HTTP and JSON.

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

/// Path that sets the faults to a [`StoreFaults`] (POST) or returns them (GET).
pub const FAULTS_PATH: &str = "/admin/faults";
/// Path that expires all leases.
pub const EXPIRE_LEASES_PATH: &str = "/admin/lapse";
/// Path that registers a backend server.
pub const SERVERS_PATH: &str = "/admin/servers";
/// Path that returns the [`StoreCounts`].
pub const COUNTS_PATH: &str = "/admin/counts";

/// Numbers of calls to the store since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, serde::Deserialize)]
pub struct StoreCounts {
    /// Reads of values and of the list of instances.
    pub reads: u64,
    /// Writes of values, leases and announcements.
    pub writes: u64,
    /// Watches of values.
    pub watches: u64,
}

#[derive(Default)]
struct StoreCounters {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

struct StoreShared {
    state: Mutex<StoreState>,
    faults: Mutex<StoreFaults>,
    counters: StoreCounters,
    last_revision: watch::Sender<u64>,
    list_lag: Duration,
}

type StoreContext = State<Arc<StoreShared>>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A running stand-in for the platform's key-value service.
pub struct StandinStore {
    address: SocketAddr,
    shared: Arc<StoreShared>,
    server: HttpServer,
}

impl StandinStore {
    /// Starts to serve at `address`. The list of instances is returned as it was `list_lag` ago.
    ///
    /// # Errors
    /// The port cannot be bound.
    pub async fn start(address: SocketAddr, list_lag: Duration) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(StoreShared {
            state: Mutex::default(),
            faults: Mutex::default(),
            counters: StoreCounters::default(),
            last_revision: watch::channel(0).0,
            list_lag,
        });
        let handle = tokio::runtime::Handle::current();
        let server = serve_http(&handle, listener, routes(Arc::clone(&shared)));
        Ok(Self { address, shared, server })
    }

    /// Address that the store listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults that are switched on.
    pub fn set_faults(&self, faults: StoreFaults) {
        *lock(&self.shared.faults) = faults;
    }

    /// Registers a backend server as live or as leaving.
    pub fn register_server(&self, address: SocketAddr, leaving: bool) {
        let server = ListedServer { address, leaving };
        lock(&self.shared.state).register_server(Instant::now(), server);
    }

    /// Expires all leases.
    pub fn expire_leases(&self) {
        lock(&self.shared.state).expire_leases();
    }

    /// Returns the numbers of calls since the start.
    pub fn counts(&self) -> StoreCounts {
        counts(&self.shared)
    }

    /// Stops serving; waits at most 200 ms for calls in progress.
    pub async fn close(self) {
        self.server.close(Instant::now() + Duration::from_millis(200)).await;
    }
}

fn routes(shared: Arc<StoreShared>) -> Router {
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
        .route(EXPIRE_LEASES_PATH, post(expire_leases))
        .route(SERVERS_PATH, post(register_server))
        .route(COUNTS_PATH, get(get_counts))
        .with_state(shared)
}

async fn apply_faults(State(shared): StoreContext, request: Request, next: Next) -> Response {
    let faults = *lock(&shared.faults);
    if faults.hang {
        return never_reply().await;
    }
    if faults.down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    if faults.slow.0 > 0 {
        tokio::time::sleep(faults.slow.duration()).await;
    }
    next.run(request).await
}

/// Sends no reply until the other side closes the connection.
async fn never_reply() -> Response {
    std::future::pending().await
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

async fn read(State(shared): StoreContext, Json(body): Json<ReadBody>) -> Response {
    count(&shared.counters.reads);
    let stored = lock(&shared.state).read(&body.key);
    Json(stored).into_response()
}

async fn swap(State(shared): StoreContext, Json(body): Json<SwapBody>) -> Response {
    count(&shared.counters.writes);
    let fault = take_write_fault(&shared);
    if let WriteFault::Delayed(delay) = fault {
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = write(&shared, body);
        });
        return never_reply().await;
    }
    let result = write(&shared, body);
    if matches!(fault, WriteFault::ReplyLost) {
        return never_reply().await;
    }
    match result {
        Ok(revision) => Json(revision).into_response(),
        Err(revision) => (StatusCode::CONFLICT, Json(ConflictBody { revision })).into_response(),
    }
}

/// How a fault changes one write.
enum WriteFault {
    None,
    ReplyLost,
    Delayed(Duration),
}

/// Returns the fault of the next write and counts it down.
fn take_write_fault(shared: &StoreShared) -> WriteFault {
    let mut faults = lock(&shared.faults);
    if faults.late_writes > 0 {
        faults.late_writes -= 1;
        return WriteFault::Delayed(faults.late_by.duration());
    }
    if faults.lose_replies > 0 {
        faults.lose_replies -= 1;
        return WriteFault::ReplyLost;
    }
    WriteFault::None
}

fn write(shared: &StoreShared, body: SwapBody) -> Result<StoreRevision, StoreRevision> {
    let result = lock(&shared.state).swap(&body.key, body.expected, body.value);
    if let Ok(revision) = result {
        shared.last_revision.send_replace(revision.0);
    }
    result
}

async fn watch_key(State(shared): StoreContext, Json(body): Json<WatchBody>) -> Response {
    count(&shared.counters.watches);
    if lock(&shared.faults).silent_watches {
        return never_reply().await;
    }
    let mut revisions = shared.last_revision.subscribe();
    let deadline = tokio::time::Instant::now() + body.wait.duration();
    loop {
        let stored = lock(&shared.state).read(&body.key);
        let newer = stored.filter(|stored| stored.revision > body.after);
        if newer.is_some() {
            return Json(newer).into_response();
        }
        if tokio::time::timeout_at(deadline, revisions.changed()).await.is_err() {
            return Json(newer).into_response();
        }
    }
}

async fn grant(State(shared): StoreContext, Json(body): Json<GrantBody>) -> Response {
    count(&shared.counters.writes);
    let lease = lock(&shared.state).grant_lease(Instant::now(), &body.key, body.holder, body.ttl);
    match lease {
        Some(lease) => Json(lease).into_response(),
        None => StatusCode::GONE.into_response(),
    }
}

async fn keep(State(shared): StoreContext, Json(body): Json<KeepBody>) -> Response {
    count(&shared.counters.writes);
    let is_kept = lock(&shared.state).keep_lease(Instant::now(), &body.key, body.lease, body.ttl);
    if is_kept { Json(()).into_response() } else { StatusCode::GONE.into_response() }
}

async fn instances(State(shared): StoreContext) -> Response {
    count(&shared.counters.reads);
    let list = lock(&shared.state).instances(Instant::now(), shared.list_lag);
    Json(list).into_response()
}

async fn announce(State(shared): StoreContext, Json(body): Json<AnnounceBody>) -> Json<()> {
    count(&shared.counters.writes);
    lock(&shared.state).announce(Instant::now(), body.record, body.ttl);
    Json(())
}

async fn withdraw(State(shared): StoreContext, Json(name): Json<InstanceName>) -> Json<()> {
    count(&shared.counters.writes);
    lock(&shared.state).withdraw(Instant::now(), &name);
    Json(())
}

async fn set_faults(State(shared): StoreContext, Json(faults): Json<StoreFaults>) -> Json<()> {
    *lock(&shared.faults) = faults;
    Json(())
}

async fn get_faults(State(shared): StoreContext) -> Json<StoreFaults> {
    let faults = *lock(&shared.faults);
    Json(faults)
}

async fn expire_leases(State(shared): StoreContext) -> Json<()> {
    lock(&shared.state).expire_leases();
    Json(())
}

async fn register_server(
    State(shared): StoreContext,
    Json(server): Json<ListedServer>,
) -> Json<()> {
    lock(&shared.state).register_server(Instant::now(), server);
    Json(())
}

async fn get_counts(State(shared): StoreContext) -> Json<StoreCounts> {
    Json(counts(&shared))
}

fn counts(shared: &StoreShared) -> StoreCounts {
    let counters = &shared.counters;
    StoreCounts {
        reads: counters.reads.load(Ordering::Relaxed),
        writes: counters.writes.load(Ordering::Relaxed),
        watches: counters.watches.load(Ordering::Relaxed),
    }
}
