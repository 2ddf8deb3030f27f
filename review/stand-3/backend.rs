//! Upstreams by their page: slots and a short queue, the expected id, the health path, the load header,
//! and the entry in the store.

use crate::record::Record;
use crate::store::Store;
use crate::wire::{Connection, Message, response};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const SLOTS: usize = 6;
const QUEUE: usize = 24;

/// A request that an upstream began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub id: String,
}

/// How an upstream is set up.
#[derive(Clone)]
pub struct Setup {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub work: Duration,
    pub answer_bytes: usize,
    /// Status of the answer to a request that it ran, for each this many requests; 200 for the others.
    pub failures: Option<(u16, usize)>,
    /// One in this many of its answers is broken off in its head, and a second copy of an earlier answer follows.
    pub spoiled: Option<usize>,
}

struct Inner {
    setup: Setup,
    record: Record,
    runs: Mutex<Vec<Run>>,
    busy: AtomicUsize,
    ended: AtomicUsize,
    spoiled: AtomicUsize,
}

/// A running upstream. Clones share it.
#[derive(Clone)]
pub struct Backend {
    inner: Arc<Inner>,
    pub address: SocketAddr,
    born: u128,
}

impl Backend {
    pub fn start(setup: Setup, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("address");
        let inner = Inner {
            setup,
            record: record.clone(),
            runs: Mutex::default(),
            busy: AtomicUsize::new(0),
            ended: AtomicUsize::new(0),
            spoiled: AtomicUsize::new(0),
        };
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let born = since.map(|since| since.as_millis()).unwrap_or(1);
        let backend = Self { inner: Arc::new(inner), address, born };
        let shared = backend.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(Connection::new(stream)));
            }
        });
        backend
    }

    pub fn id(&self) -> &str {
        &self.inner.setup.id
    }

    fn key(&self) -> String {
        format!("servers/{}", self.inner.setup.id)
    }

    /// Writes the entry. Returns when the store accepted it.
    pub fn register(&self, store: &Store, state: &str) -> Instant {
        let setup = &self.inner.setup;
        let entry = format!(
            "{{\"address\":\"{}\",\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\
             \"slots\":{SLOTS}}},\"status\":{{\"state\":\"{state}\",\"seq\":1,\"warmup_left_s\":0}},\
             \"born\":{}}}",
            self.address, setup.service, setup.zone, self.born
        );
        store.put(&self.key(), Some(&entry))
    }

    /// Has the store remove the entry, as after three ping intervals in which it did not hear the upstream.
    /// The upstream serves on. Returns when the entry was removed.
    pub fn lose_entry(&self, store: &Store) -> Instant {
        store.put(&self.key(), None)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.inner.runs.lock().unwrap().clone()
    }

    fn load(&self) -> String {
        let busy = self.inner.busy.load(Ordering::Relaxed);
        format!("{},{},{SLOTS},100", busy.min(SLOTS), busy.saturating_sub(SLOTS))
    }

    fn serve(&self, mut connection: Connection) {
        // The answer to the status check before this request, of which a second copy may follow.
        let mut checked: Option<Vec<u8>> = None;
        while let Ok(request) = connection.read(Instant::now() + Duration::from_secs(10), false) {
            let mut answer = self.answer(&request);
            if request.path() == "/healthz" {
                checked = Some(answer.clone());
            } else if let Some(copy) = checked.take()
                && self.is_spoiled_now()
            {
                answer = self.spoil(&answer, &copy);
            }
            if connection.write(&answer).is_err() {
                return;
            }
        }
    }

    fn is_spoiled_now(&self) -> bool {
        let Some(each) = self.inner.setup.spoiled else {
            return false;
        };
        // At most one in `each` of all answers so far.
        let ended = self.inner.ended.load(Ordering::Relaxed);
        let spoiled = self.inner.spoiled.load(Ordering::Relaxed);
        let is_due = ended >= each * (spoiled + 1);
        if is_due {
            self.inner.spoiled.fetch_add(1, Ordering::Relaxed);
        }
        is_due
    }

    /// Breaks an answer off within the value of its load header and adds the second copy of another one.
    fn spoil(&self, answer: &[u8], copy: &[u8]) -> Vec<u8> {
        let text = String::from_utf8_lossy(answer);
        let Some(at) = text.find("Server-Load: ") else {
            return answer.to_vec();
        };
        let id = text.lines().find_map(|line| line.strip_prefix("X-Lacewingshelf-Request-Id: "));
        self.inner.record.line(format!("answer to {} broken off at {}", id.unwrap_or("-"), self.id()));
        [&answer[..at + "Server-Load: 1,0".len()], copy].concat()
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let setup = &self.inner.setup;
        let own_id = ("X-Lacewingshelf-Instance-Id", setup.id.clone());
        if request.path() == "/healthz" {
            let headers = [own_id, ("X-Lacewingshelf-Server-Load", self.load())];
            return response(200, &headers, b"");
        }
        let id = request.header("x-lacewingshelf-request-id").unwrap_or("").to_owned();
        let echo = ("X-Lacewingshelf-Request-Id", id.clone());
        let not_executed = ("X-Lacewingshelf-Not-Executed", "1".to_owned());
        if id.is_empty() {
            return response(400, &[not_executed], b"");
        }
        let expected = request.header("x-lacewingshelf-expect-instance");
        if expected.is_some_and(|expected| expected != setup.id) {
            return response(421, &[echo, own_id, not_executed], b"");
        }
        let busy = self.inner.busy.fetch_add(1, Ordering::Relaxed);
        if busy >= SLOTS + QUEUE {
            self.inner.busy.fetch_sub(1, Ordering::Relaxed);
            return response(503, &[echo, not_executed], b"");
        }
        self.inner.runs.lock().unwrap().push(Run { at: Instant::now(), id: id.clone() });
        self.inner.record.line(format!("run {id} at {}", setup.id));
        std::thread::sleep(setup.work);
        self.inner.busy.fetch_sub(1, Ordering::Relaxed);
        let signature = ("X-Lacewingshelf-Response-Signature", format!("{}.{id}", setup.id));
        let number = self.inner.ended.fetch_add(1, Ordering::Relaxed);
        let failure = setup.failures.filter(|(_, each)| number % each == each - 1);
        let status = failure.map_or(200, |(status, _)| status);
        let load = ("X-Lacewingshelf-Server-Load", self.load());
        let body = format!("{}:{id}:", setup.id);
        let mut body = body.into_bytes();
        body.resize(body.len().max(setup.answer_bytes), b'.');
        self.inner.record.line(format!("run {id} answered {status}"));
        response(status, &[echo, signature, load], &body)
    }
}
