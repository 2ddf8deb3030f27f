//! Stand-in for the platform's metadata store.

use crate::http::{read_request, write_response, Request, Response};
use crate::json::{encode_base64, Json};
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Change {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    log: Vec<Change>,
    leases: BTreeMap<u64, Instant>,
    last_lease: u64,
    /// How often all waiting watches were cut.
    cut_rounds: u64,
    /// Watches that were cut.
    cut_watches: u64,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

fn json_item(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

fn reply(status: u16, body: String) -> Option<Response> {
    let headers = vec![("Content-Type".to_owned(), "application/json".to_owned())];
    Some(Response { status, headers, body: body.into_bytes() })
}

impl State {
    fn set(&mut self, key: &str, value: Option<String>, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let revision = self.revision;
        let item = value.map(|value| Item { value, revision, created, lease });
        match &item {
            Some(item) => self.items.insert(key.to_owned(), item.clone()),
            None => self.items.remove(key),
        };
        self.log.push(Change { key: key.to_owned(), revision, item });
    }
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let state = State { revision: 1, ..State::default() };
        let store = Self { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let shared = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a key like the operator or a server. Returns when the write is acknowledged.
    pub fn put(&self, key: &str, text: &str) -> Instant {
        self.write(key, Some(encode_base64(text.as_bytes())))
    }

    pub fn remove(&self, key: &str) -> Instant {
        self.write(key, None)
    }

    fn write(&self, key: &str, value: Option<String>) -> Instant {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.set(key, value, 0);
        let at = Instant::now();
        drop(state);
        self.state.1.notify_all();
        at
    }

    /// Cuts all watches that wait now.
    pub fn cut_watches(&self) {
        self.state.0.lock().unwrap().cut_rounds += 1;
        self.state.1.notify_all();
    }

    /// Returns how many watches were cut so far.
    pub fn cut_count(&self) -> u64 {
        self.state.0.lock().unwrap().cut_watches
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("the socket can be cloned"));
        while let Ok(request) = read_request(&mut reader) {
            let Some(response) = self.handle(&request) else {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            };
            if write_response(&mut stream, &response).is_err() {
                return;
            }
        }
    }

    /// Returns the reply, or `None` if the connection is cut instead.
    fn handle(&self, request: &Request) -> Option<Response> {
        match (request.method.as_str(), request.path()) {
            ("GET", "/kv-key") => {
                let state = self.state.0.lock().unwrap();
                let key = request.query("key").unwrap_or("");
                match state.items.get(key) {
                    Some(item) => reply(200, json_item(key, item)),
                    None => reply(404, "{}".into()),
                }
            }
            ("GET", "/kv-range") => {
                let state = self.state.0.lock().unwrap();
                let prefix = request.query("prefix").unwrap_or("");
                let after = request.query("after").unwrap_or("");
                let items: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
                    .map(|(key, item)| json_item(key, item))
                    .collect();
                let (items, as_of) = (items.join(","), state.revision);
                reply(200, format!("{{\"items\":[{items}],\"has_more\":false,\"as_of\":{as_of}}}"))
            }
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.transact(request),
            ("POST", "/kv-lease") => {
                let body = Json::parse(&request.body)?;
                let ttl_s = body.get("ttl_s_time").and_then(Json::number)?.clamp(1.0, 600.0);
                let mut state = self.state.0.lock().unwrap();
                state.last_lease += 1;
                let lease = state.last_lease;
                state.leases.insert(lease, Instant::now() + Duration::from_secs_f64(ttl_s));
                reply(200, format!("{{\"lease\":{lease},\"ttl_s_time\":{ttl_s}}}"))
            }
            _ => reply(404, "{}".into()),
        }
    }

    fn watch(&self, request: &Request) -> Option<Response> {
        let prefix = request.query("prefix").unwrap_or("").to_owned();
        let after: u64 = request.query("after")?.parse().ok()?;
        let wait_ms: u64 = request.query("wait_ms")?.parse().ok()?;
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.0.lock().unwrap();
        let cut_rounds = state.cut_rounds;
        loop {
            let events: Vec<String> = state
                .log
                .iter()
                .filter(|change| change.revision > after && change.key.starts_with(&prefix))
                .map(|change| match &change.item {
                    Some(item) => json_item(&change.key, item),
                    None => format!(
                        "{{\"key\":\"{}\",\"revision\":{},\"deleted\":true}}",
                        change.key, change.revision
                    ),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let (events, as_of) = (events.join(","), state.revision);
                return reply(200, format!("{{\"events\":[{events}],\"as_of\":{as_of}}}"));
            }
            if state.cut_rounds > cut_rounds {
                state.cut_watches += 1;
                return None;
            }
            let next = until.min(now + Duration::from_millis(20));
            state = self.state.1.wait_timeout(state, next - now).unwrap().0;
        }
    }

    fn transact(&self, request: &Request) -> Option<Response> {
        let body = Json::parse(&request.body)?;
        let mut state = self.state.0.lock().unwrap();
        for row in body.get("precondition").map_or(&[][..], Json::list) {
            let key = row.get("key").and_then(Json::text)?;
            let expected = row.get("revision").and_then(Json::number)? as u64;
            if state.items.get(key).map_or(0, |item| item.revision) != expected {
                return reply(412, "{\"items\":[]}".into());
            }
        }
        let writes = body.get("writes").map_or(&[][..], Json::list);
        for write in writes {
            let lease = write.get("lease").and_then(Json::number).unwrap_or(0.0) as u64;
            let is_held = state.leases.get(&lease).is_some_and(|until| *until > Instant::now());
            if lease != 0 && !is_held {
                return reply(404, "{}".into());
            }
            let key = write.get("key").and_then(Json::text)?;
            if key.starts_with("op/") || key.starts_with("servers/") {
                return reply(403, "{}".into());
            }
        }
        state.revision += 1;
        for write in writes {
            let lease = write.get("lease").and_then(Json::number).unwrap_or(0.0) as u64;
            let (key, value) = (write.get("key")?.text()?, write.get("value")?.text()?);
            state.set(key, Some(value.to_owned()), lease);
        }
        for key in body.get("remove").map_or(&[][..], Json::list) {
            state.set(key.text()?, None, 0);
        }
        let revision = state.revision;
        drop(state);
        self.state.1.notify_all();
        reply(200, format!("{{\"revision\":{revision}}}"))
    }
}
