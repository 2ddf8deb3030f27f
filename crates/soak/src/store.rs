//! A stand-in for the platform's metadata store, into which faults can be injected.

use crate::proxy::FaultProxy;
use anyhow::Result;
use axum::body::Bytes;
use axum::extract::{Query, State};
use axum::http::{HeaderValue, StatusCode, Uri};
use axum::response::{IntoResponse, Response};
use axum::{Json, Router};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use platform::wire::{
    ItemBody, KeyCondition, LEASE_PATH, LeaseBody, RANGE_PATH, RangeBody, TXN_PATH, TxnBody,
    TxnRequest, WATCH_PATH, WatchBody,
};
use platform::{CONFIG_KEY, ERA_HEADER, EVACUATION_PREFIX, SERVER_PREFIX};
use rand::RngExt;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

const CONFIG_SAMPLE: &str = include_str!("../../../platform/samples/config.json");
const SERVER_SAMPLE: &str = include_str!("../../../platform/samples/server.json");
/// Interval at which a watch checks for new revisions.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Delay of a lost reply, by which gateways have given up waiting for it.
const LOST_REPLY_DELAY: Duration = Duration::from_secs(30);

/// How the store behaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StoreFault {
    /// No fault.
    None,
    /// Responds with status 503 to each call and executes none.
    Down,
    /// Executes each call after this delay.
    Slow(Duration),
    /// Executes each call but loses this ratio (0 to 1) of the replies.
    Lossy(f64),
}

/// A change that the operators or a server wrote, and that they write again if the store loses it.
struct AuthoredChange {
    at: Instant,
    revision: u64,
    key: String,
    value: Option<String>,
}

struct StoreState {
    /// How often the store came back from an older copy.
    era: u32,
    /// All changes with the time of each, oldest first, from which older copies are made.
    changes: Vec<(Instant, ItemBody)>,
    authored: Vec<AuthoredChange>,
    lost: Vec<AuthoredChange>,
    revision: u64,
    items: BTreeMap<String, ItemBody>,
    /// Changes after `compacted_revision`, oldest first.
    log: Vec<ItemBody>,
    compacted_revision: u64,
    last_lease: u64,
    fault: StoreFault,
    config_version: u64,
    config_acknowledged_at: Instant,
}

/// A running store with a proxy in front of it. Clones share the same store.
#[derive(Clone)]
pub struct StoreStandin {
    state: Arc<Mutex<StoreState>>,
    /// Proxy through which gateways reach the store.
    pub proxy: FaultProxy,
}

type SharedState = Arc<Mutex<StoreState>>;

fn lock(state: &SharedState) -> MutexGuard<'_, StoreState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl StoreState {
    /// Writes `value`, or deletes the key if it is `None`. Returns the new revision.
    fn set(&mut self, key: &str, value: Option<String>) -> u64 {
        self.revision += 1;
        let deleted = value.is_none();
        let item = ItemBody { key: key.into(), value, revision: self.revision, deleted };
        self.log.push(item.clone());
        self.changes.push((Instant::now(), item.clone()));
        if deleted {
            self.items.remove(key);
        } else {
            self.items.insert(key.to_owned(), item);
        }
        self.revision
    }

    /// Like [`Self::set`], for a change that is written again if it is lost.
    fn set_authored(&mut self, key: &str, value: Option<String>) {
        let revision = self.set(key, value.clone());
        let change = AuthoredChange { at: Instant::now(), revision, key: key.to_owned(), value };
        self.authored.push(change);
    }

    /// Loses all changes of the last `age`.
    fn come_back(&mut self, age: Duration) {
        let is_kept = |at: Instant| at.elapsed() > age;
        self.changes.retain(|(at, _)| is_kept(*at));
        let (kept, lost): (Vec<_>, Vec<_>) =
            self.authored.drain(..).partition(|change| is_kept(change.at));
        self.authored = kept;
        self.lost.extend(lost);
        self.items.clear();
        for (_, item) in &self.changes {
            match item.deleted {
                true => self.items.remove(item.key.as_str()),
                false => self.items.insert(item.key.to_string(), item.clone()),
            };
        }
        self.revision = self.changes.last().map_or(1, |(_, item)| item.revision);
        let revision = self.revision;
        self.log.retain(|item| item.revision <= revision);
        self.compacted_revision = self.compacted_revision.min(revision);
        self.era += 1;
    }
}

impl StoreStandin {
    /// Starts an empty store.
    pub async fn start() -> Result<Self> {
        let state = Arc::new(Mutex::new(StoreState {
            era: 0,
            changes: Vec::new(),
            authored: Vec::new(),
            lost: Vec::new(),
            revision: 1,
            items: BTreeMap::new(),
            log: Vec::new(),
            compacted_revision: 0,
            last_lease: 0,
            fault: StoreFault::None,
            config_version: 0,
            config_acknowledged_at: Instant::now(),
        }));
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = FaultProxy::start(listener.local_addr()?).await?;
        let routes = Router::new().fallback(handle_call).with_state(Arc::clone(&state));
        tokio::spawn(async move { axum::serve(listener, routes).await });
        Ok(Self { state, proxy })
    }

    /// Address at which gateways reach the store.
    pub fn address(&self) -> SocketAddr {
        self.proxy.address
    }

    /// Sets the fault for calls that arrive from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        lock(&self.state).fault = fault;
    }

    /// Drops the log of changes, so that watches of older revisions fail with status 410.
    pub fn compact_history(&self) {
        let mut state = lock(&self.state);
        state.log.clear();
        state.compacted_revision = state.revision;
    }

    /// Writes a version of the configuration. Each version has a route `/v<version>/` of its own.
    pub fn put_config(&self, version: u64) {
        let text = CONFIG_SAMPLE.replace("@VERSION@", &version.to_string());
        let mut state = lock(&self.state);
        state.config_version = version;
        state.config_acknowledged_at = Instant::now();
        state.set_authored(CONFIG_KEY, Some(STANDARD.encode(text)));
    }

    /// Returns the newest version of the configuration and when it was acknowledged.
    pub fn newest_config(&self) -> (u64, Instant) {
        let state = lock(&self.state);
        (state.config_version, state.config_acknowledged_at)
    }

    /// Writes the record of a server.
    pub fn put_server(&self, name: &str, address: SocketAddr, data_centre: &str, is_leaving: bool) {
        self.put_server_cold(name, address, data_centre, is_leaving, Duration::ZERO);
    }

    /// Writes the record of a server that stays cold for a time.
    pub fn put_server_cold(
        &self,
        name: &str,
        address: SocketAddr,
        data_centre: &str,
        is_leaving: bool,
        cold: Duration,
    ) {
        let text = SERVER_SAMPLE
            .replace("@ADDRESS@", &address.to_string())
            .replace("@CENTRE@", data_centre)
            .replace("@STATE@", if is_leaving { "draining" } else { "ready" })
            .replace("@COLD_S@", &cold.as_secs_f64().to_string())
            .replace("@BORN@", "1");
        let value = Some(STANDARD.encode(text));
        lock(&self.state).set_authored(&format!("{SERVER_PREFIX}{name}"), value);
    }

    /// Evacuates a data centre, or takes it back.
    pub fn set_evacuated(&self, centre: &str, is_evacuated: bool) {
        let value = is_evacuated.then(|| STANDARD.encode("{}"));
        lock(&self.state).set_authored(&format!("{EVACUATION_PREFIX}{centre}"), value);
    }

    /// Loses what was written in the last `age`, as a store that comes back from an older copy.
    pub fn come_back(&self, age: Duration) {
        lock(&self.state).come_back(age);
    }

    /// Writes again what was lost, in the order in which it was written.
    pub fn renew_lost_writes(&self) {
        let mut state = lock(&self.state);
        let mut lost = std::mem::take(&mut state.lost);
        lost.sort_by_key(|change| (change.at, change.revision));
        for change in lost {
            state.set_authored(&change.key, change.value);
        }
    }

    /// Removes the record of a server.
    pub fn remove_server(&self, name: &str) {
        lock(&self.state).set_authored(&format!("{SERVER_PREFIX}{name}"), None);
    }
}

async fn handle_call(
    State(state): State<SharedState>,
    uri: Uri,
    Query(query): Query<HashMap<String, String>>,
    body: Bytes,
) -> Response {
    let fault = lock(&state).fault;
    match fault {
        StoreFault::Down => return StatusCode::SERVICE_UNAVAILABLE.into_response(),
        StoreFault::Slow(delay) => tokio::time::sleep(delay).await,
        StoreFault::None | StoreFault::Lossy(_) => {}
    }
    let number = |name: &str| query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0);
    let path = uri.path();
    let mut response = match path {
        RANGE_PATH => read_all(&state).into_response(),
        WATCH_PATH => watch(&state, number("after"), number("wait_ms")).await,
        TXN_PATH => write(&state, &body),
        LEASE_PATH => {
            let mut state = lock(&state);
            state.last_lease += 1;
            Json(LeaseBody { lease: state.last_lease }).into_response()
        }
        _ => StatusCode::BAD_REQUEST.into_response(),
    };
    let era = lock(&state).era;
    response.headers_mut().insert(ERA_HEADER, HeaderValue::from(era));
    let is_lost = match fault {
        StoreFault::Lossy(ratio) => rand::rng().random_bool(ratio),
        _ => false,
    };
    if is_lost {
        tokio::time::sleep(LOST_REPLY_DELAY).await;
    }
    response
}

fn read_all(state: &SharedState) -> Json<RangeBody> {
    let state = lock(state);
    let items = state.items.values().cloned().collect();
    Json(RangeBody { items, has_more: false, as_of: state.revision })
}

async fn watch(state: &SharedState, after: u64, wait_ms: u64) -> Response {
    let until = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        {
            let state = lock(state);
            if after < state.compacted_revision {
                return StatusCode::GONE.into_response();
            }
            if state.revision > after || Instant::now() >= until {
                let is_new = |item: &&ItemBody| item.revision > after;
                let events = state.log.iter().filter(is_new).cloned().collect();
                return Json(WatchBody { events, as_of: state.revision }).into_response();
            }
        }
        tokio::time::sleep(WATCH_POLL_INTERVAL).await;
    }
}

fn write(state: &SharedState, body: &[u8]) -> Response {
    let Ok(request) = serde_json::from_slice::<TxnRequest>(body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let mut state = lock(state);
    let is_met = |condition: &KeyCondition| {
        let item = state.items.get(condition.key.as_str());
        item.map_or(0, |item| item.revision) == condition.revision
    };
    if !request.precondition.iter().all(is_met) {
        return StatusCode::PRECONDITION_FAILED.into_response();
    }
    for write in request.writes {
        state.set(&write.key, Some(write.value));
    }
    for key in request.remove {
        state.set(&key, None);
    }
    Json(TxnBody { revision: state.revision }).into_response()
}
