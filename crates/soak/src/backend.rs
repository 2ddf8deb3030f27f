//! Stand-ins for backend servers, each behind a proxy.

use crate::proxy::FaultProxy;
use crate::store::StoreStandin;
use crate::verifier::RunVerifier;
use anyhow::Result;
use axum::Router;
use axum::body::Body;
use axum::extract::State;
use axum::http::{HeaderMap, HeaderValue, StatusCode, Uri};
use axum::response::{IntoResponse, Response};
use gateway::WireBinding;
use platform::PlatformBinding;
use rand::RngExt;
use std::sync::atomic::{AtomicU8, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;

/// Requests that a server works on at once.
const SLOTS: u32 = 6;
/// Mean work of a request.
const WORK_SPAN: Duration = Duration::from_millis(30);
/// How many times longer a slow server takes.
const SLOW_FACTOR: u32 = 7;

/// How a server behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerFault {
    /// Well.
    None,
    /// Slow, and says so.
    Slow,
    /// Turns half of the requests away.
    Shed,
    /// Fails half of the requests.
    Fail,
    /// Runs requests and cuts the connection within half of the answers.
    Cut,
}

struct ServerState {
    name: String,
    fault: AtomicU8,
    running: AtomicU32,
    verifier: Arc<RunVerifier>,
    binding: PlatformBinding,
}

/// A server.
#[derive(Clone)]
pub struct StandinServer {
    /// Its id.
    pub name: String,
    /// Where it stands.
    pub centre: &'static str,
    /// In front of it.
    pub proxy: FaultProxy,
    state: Arc<ServerState>,
}

impl StandinServer {
    /// Sets how it behaves.
    pub fn set_fault(&self, fault: ServerFault) {
        self.state.fault.store(fault as u8, Ordering::Relaxed);
    }
}

/// All servers that are listed.
pub struct BackendFleet {
    servers: Mutex<Vec<StandinServer>>,
    next: AtomicU64,
    verifier: Arc<RunVerifier>,
}

/// The data centres of servers and gateways.
pub const DATA_CENTRES: [&str; 2] = ["east", "west"];

impl BackendFleet {
    /// Starts servers and lists them.
    pub async fn start(
        count: usize,
        store: &StoreStandin,
        verifier: &Arc<RunVerifier>,
    ) -> Result<Self> {
        let fleet = Self {
            servers: Mutex::default(),
            next: AtomicU64::new(0),
            verifier: Arc::clone(verifier),
        };
        for _ in 0..count {
            fleet.add(store).await?;
        }
        Ok(fleet)
    }

    /// Starts one more server and lists it.
    pub async fn add(&self, store: &StoreStandin) -> Result<()> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let name = format!("s{number}");
        let centre = DATA_CENTRES[number as usize % DATA_CENTRES.len()];
        let state = Arc::new(ServerState {
            name: name.clone(),
            fault: AtomicU8::new(ServerFault::None as u8),
            running: AtomicU32::new(0),
            verifier: Arc::clone(&self.verifier),
            binding: PlatformBinding::default(),
        });
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = FaultProxy::start(listener.local_addr()?).await?;
        let routes = Router::new().fallback(answer).with_state(Arc::clone(&state));
        tokio::spawn(async move { axum::serve(listener, routes).await });
        store.put_server(&name, proxy.address, centre, false);
        let server = StandinServer { name, centre, proxy, state };
        self.servers.lock().unwrap_or_else(PoisonError::into_inner).push(server);
        Ok(())
    }

    /// The servers that are listed and do not leave.
    pub fn servers(&self) -> Vec<StandinServer> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Takes a server off the list of those that may be touched.
    pub fn forget(&self, name: &str) {
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        servers.retain(|server| server.name != name);
    }
}

/// Counts a request in progress until it is dropped.
struct Running<'a>(&'a AtomicU32);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn answer(State(state): State<Arc<ServerState>>, uri: Uri, headers: HeaderMap) -> Response {
    let names = state.binding.headers();
    let fault = state.fault.load(Ordering::Relaxed);
    let pace = if fault == ServerFault::Slow as u8 { SLOW_FACTOR * 100 } else { 100 };
    let load = format!("{},0,{SLOTS},{pace}", state.running.load(Ordering::Relaxed));
    let mut answer = if uri.path() == "/health" {
        state.verifier.record_health_check(&state.name);
        StatusCode::OK.into_response()
    } else {
        work(&state, &uri, &headers, fault).await
    };
    let mut add = |name: &http::HeaderName, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            answer.headers_mut().insert(name.clone(), value);
        }
    };
    add(&names.load, &load);
    add(&names.server, &state.name);
    if let Some(id) = headers.get(&names.request_id).and_then(|id| id.to_str().ok()) {
        add(&names.request_id, id);
    }
    answer
}

async fn work(state: &ServerState, uri: &Uri, headers: &HeaderMap, fault: u8) -> Response {
    let names = state.binding.headers();
    let text = |name: &http::HeaderName| {
        headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
    };
    if text(&names.expected_server) != state.name {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    let id = text(&names.request_id);
    state.verifier.record_arrival(&id);
    let is_full = state.running.load(Ordering::Relaxed) >= SLOTS * 3;
    if is_full || (fault == ServerFault::Shed as u8 && rand::rng().random_bool(0.5)) {
        let mark = [(names.not_run.clone(), "1")];
        return (StatusCode::SERVICE_UNAVAILABLE, mark).into_response();
    }
    state.verifier.record_run(&state.name, &id, !uri.path().starts_with("/book/"));
    state.running.fetch_add(1, Ordering::Relaxed);
    let running = Running(&state.running);
    let factor = if fault == ServerFault::Slow as u8 { SLOW_FACTOR } else { 1 };
    let span = WORK_SPAN.mul_f64(rand::rng().random_range(0.5..1.5)) * factor;
    tokio::time::sleep(span).await;
    drop(running);
    if fault == ServerFault::Fail as u8 && rand::rng().random_bool(0.5) {
        return (StatusCode::INTERNAL_SERVER_ERROR, [(names.signature.clone(), "s")])
            .into_response();
    }
    let body = if fault == ServerFault::Cut as u8 && rand::rng().random_bool(0.5) {
        let cut = Err::<String, _>(std::io::Error::other("cut"));
        Body::from_stream(futures::stream::iter([Ok(format!("ran {}", &id[..1])), cut]))
    } else {
        Body::from(format!("ran {id}"))
    };
    (StatusCode::OK, [(names.signature.clone(), format!("s-{id}"))], body).into_response()
}
