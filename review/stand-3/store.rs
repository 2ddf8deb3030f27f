//! The platform's metadata store by its page: items, pages of them, watches, conditions and leases.

use crate::json::{Json, base64};
use crate::wire::{Connection, Message, response};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const PAGE_ITEMS_MAX: usize = 500;
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Event {
    at: Instant,
    key: String,
    item: Option<Item>,
    revision: u64,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    log: Vec<Event>,
    /// Watches from an earlier revision get 410.
    log_after: u64,
    leases: HashMap<u64, (Instant, Duration)>,
    last_lease: u64,
    era: u32,
}

/// A running store. Clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl State {
    fn set(&mut self, key: &str, value: Option<String>, lease: u64) {
        let revision = self.revision + 1;
        let item = match value {
            None => {
                if self.items.remove(key).is_none() {
                    return;
                }
                None
            }
            Some(value) => {
                let created = self.items.get(key).map_or(revision, |known| known.created);
                let item = Item { value, revision, created, lease };
                self.items.insert(key.to_owned(), item.clone());
                Some(item)
            }
        };
        self.revision = revision;
        self.log.push(Event { at: Instant::now(), key: key.to_owned(), item, revision });
        while self.log.first().is_some_and(|event| event.at.elapsed() > HISTORY) {
            self.log_after = self.log.remove(0).revision;
        }
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (until, _))| *until < now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.leases.remove(&lease);
            self.drop_keys(lease);
        }
    }

    fn drop_keys(&mut self, lease: u64) {
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.set(&key, None, 0);
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("address");
        let state = State {
            revision: 1,
            items: BTreeMap::new(),
            log: Vec::new(),
            log_after: 0,
            leases: HashMap::new(),
            last_lease: 1_000,
            era: 0,
        };
        let store = Self { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let shared = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(Connection::new(stream)));
            }
        });
        store
    }

    fn serve(&self, mut connection: Connection) {
        let day = Duration::from_secs(86_400);
        while let Ok(request) = connection.read(Instant::now() + day, false) {
            std::thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&request);
            let era = self.state.0.lock().unwrap().era.to_string();
            let headers =
                [("Content-Type", "application/json".to_owned()), ("Store-Era", era)];
            if connection.write(&response(status, &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        self.state.0.lock().unwrap().end_leases();
        match (request.method(), request.path()) {
            ("GET", "/kv-range") => self.range(request),
            ("GET", "/kv-key") => self.key(request),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.txn(request),
            ("POST", "/kv-lease") => self.lease(request),
            ("POST", path) if path.starts_with("/kv-keep/") => self.keep(&path[9..]),
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => self.end(&path[14..]),
            _ => (404, "{}".into()),
        }
    }

    fn range(&self, request: &Message) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let found: Vec<(&String, &Item)> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && (after.is_empty() || **key > after))
            .take(PAGE_ITEMS_MAX + 1)
            .collect();
        let page: Vec<String> =
            found.iter().take(PAGE_ITEMS_MAX).map(|(key, item)| item_json(key, item)).collect();
        let has_more = found.len() > PAGE_ITEMS_MAX;
        let body = format!(
            "{{\"items\":[{}],\"has_more\":{has_more},\"as_of\":{}}}",
            page.join(","),
            state.revision
        );
        (200, body)
    }

    fn key(&self, request: &Message) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let key = request.query("key").unwrap_or_default();
        match state.items.get(&key) {
            Some(item) => (200, item_json(&key, item)),
            None => (404, "{}".into()),
        }
    }

    fn watch(&self, request: &Message) -> (u16, String) {
        let number = |name: &str| request.query(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (after, wait): (u64, u64) = (number("after"), number("wait_ms"));
        let prefix = request.query("prefix").unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let (lock, changed) = (&self.state.0, &self.state.1);
        let mut state = lock.lock().unwrap();
        let era = state.era;
        loop {
            if after < state.log_after || after > state.revision || state.era != era {
                return (410, "{}".into());
            }
            let events: Vec<String> = state
                .log
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(&prefix))
                .map(|event| match &event.item {
                    Some(item) => item_json(&event.key, item),
                    None => format!(
                        "{{\"key\":\"{}\",\"revision\":{},\"deleted\":true}}",
                        event.key, event.revision
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!("{{\"events\":[{}],\"as_of\":{}}}", events.join(","), state.revision);
                return (200, body);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn txn(&self, request: &Message) -> (u16, String) {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let Some(body) = Json::parse(&text) else {
            return (400, "{}".into());
        };
        let (lock, changed) = (&self.state.0, &self.state.1);
        let mut state = lock.lock().unwrap();
        let known = |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.revision);
        let conditions = body.list("precondition");
        let is_met = conditions.iter().all(|row| {
            let key = row.text("key").unwrap_or_default();
            known(&state, key) == row.number("revision").unwrap_or(0.0) as u64
        });
        if !is_met {
            let items: Vec<String> = conditions
                .iter()
                .filter_map(|row| row.text("key"))
                .filter_map(|key| state.items.get(key).map(|item| item_json(key, item)))
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let lease_of = |write: &Json| write.number("lease").unwrap_or(0.0) as u64;
        let lacks_lease = |write: &Json| {
            let lease = lease_of(write);
            lease != 0 && !state.leases.contains_key(&lease)
        };
        if body.list("writes").iter().any(lacks_lease) {
            return (404, "{}".into());
        }
        let keys = body.list("writes").iter().filter_map(|write| write.text("key"));
        let is_forbidden = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if keys.into_iter().any(is_forbidden) {
            return (403, "{}".into());
        }
        for write in body.list("writes") {
            let key = write.text("key").unwrap_or_default().to_owned();
            let value = write.text("value").unwrap_or_default().to_owned();
            state.set(&key, Some(value), lease_of(write));
        }
        for key in body.list("remove") {
            if let Json::Text(key) = key {
                state.set(key, None, 0);
            }
        }
        changed.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }

    fn lease(&self, request: &Message) -> (u16, String) {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let ttl = Json::parse(&text).and_then(|body| body.number("ttl_s_time")).unwrap_or(10.0);
        let ttl = ttl.clamp(1.0, 600.0);
        let mut state = self.state.0.lock().unwrap();
        state.last_lease += 1;
        let (lease, span) = (state.last_lease, Duration::from_secs_f64(ttl));
        state.leases.insert(lease, (Instant::now() + span, span));
        (200, format!("{{\"lease\":{lease},\"ttl_s_time\":{ttl}}}"))
    }

    fn keep(&self, id: &str) -> (u16, String) {
        let mut state = self.state.0.lock().unwrap();
        let id: u64 = id.parse().unwrap_or(0);
        match state.leases.get_mut(&id) {
            Some((until, span)) => {
                *until = Instant::now() + *span;
                (200, format!("{{\"ttl_s_time\":{}}}", span.as_secs_f64()))
            }
            None => (404, "{}".into()),
        }
    }

    fn end(&self, id: &str) -> (u16, String) {
        let mut state = self.state.0.lock().unwrap();
        let id: u64 = id.parse().unwrap_or(0);
        let is_known = state.leases.remove(&id).is_some();
        if is_known {
            state.drop_keys(id);
            self.state.1.notify_all();
        }
        (if is_known { 200 } else { 404 }, "{}".into())
    }

    /// Writes a value of the operator or of an upstream, or removes a key. Returns when it was accepted.
    pub fn put(&self, key: &str, value: Option<&str>) -> Instant {
        let mut state = self.state.0.lock().unwrap();
        state.set(key, value.map(|text| base64(text.as_bytes())), 0);
        self.state.1.notify_all();
        Instant::now()
    }
}
