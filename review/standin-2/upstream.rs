//! Stand-in for an upstream. What it answers is up to the case; it records each request that reaches it.

use crate::http::{header, read_request, write_response, Request, Response};
use crate::record::Record;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const REQUEST_ID: &str = "X-Lacewingshelf-Request-Id";
pub const HEALTH_PATH: &str = "/healthz";

/// A request that reached an upstream.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    /// `None` for a status check.
    pub request_id: Option<String>,
}

/// An answer that asks for no requests for some time.
#[derive(Debug, Clone)]
pub struct QuietNotice {
    pub at: Instant,
    pub period: Duration,
    /// Whether it answered a status check.
    pub is_check: bool,
}

pub struct Shared {
    pub id: String,
    pub slots: usize,
    pub running: AtomicUsize,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// Ids of the requests whose connections were closed while this upstream was at work on them.
    pub broken_runs: Mutex<Vec<String>>,
    pub quiet_told: Mutex<Vec<QuietNotice>>,
    pub record: Record,
}

pub type Behaviour = dyn Fn(&Request, &Shared, &TcpStream) -> Option<Response> + Send + Sync;

#[derive(Clone)]
pub struct Upstream {
    pub shared: Arc<Shared>,
    pub address: SocketAddr,
}

impl Upstream {
    pub fn start(id: &str, slots: usize, record: &Record, behaviour: Arc<Behaviour>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            slots,
            running: AtomicUsize::new(0),
            arrivals: Mutex::default(),
            broken_runs: Mutex::default(),
            quiet_told: Mutex::default(),
            record: record.clone(),
        });
        let serving = Arc::clone(&shared);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shared, behaviour) = (Arc::clone(&serving), Arc::clone(&behaviour));
                std::thread::spawn(move || serve(stream, &shared, behaviour.as_ref()));
            }
        });
        Self { shared, address }
    }

    /// The value of the upstream's entry in the store.
    pub fn entry(&self, service: &str) -> String {
        format!(
            "{{\"address\":\"{}\",\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\"zone\":\"zone-a\",\
             \"slots\":{}}},\"status\":{{\"state\":\"ready\",\"seq\":1,\"warmup_left_s\":0}},\
             \"born\":1760000000000}}",
            self.address, self.shared.slots
        )
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.arrivals.lock().unwrap().clone()
    }
}

impl Shared {
    /// Takes a slot unless all are taken.
    pub fn take_slot(&self) -> bool {
        let slots = self.slots;
        let more = |running| (running < slots).then_some(running + 1);
        self.running.fetch_update(Ordering::SeqCst, Ordering::SeqCst, more).is_ok()
    }

    pub fn free_slot(&self) {
        self.running.fetch_sub(1, Ordering::SeqCst);
    }

    /// Works for some time. Returns whether the connection stayed open to the end.
    pub fn work(&self, request: &Request, stream: &TcpStream, duration: Duration) -> bool {
        let until = Instant::now() + duration;
        let mut byte = [0];
        let _ = stream.set_read_timeout(Some(Duration::from_millis(5)));
        while Instant::now() < until {
            let is_closed = match stream.peek(&mut byte) {
                Ok(0) => true,
                Ok(_) => {
                    std::thread::sleep(Duration::from_millis(5));
                    false
                }
                Err(cause) => !matches!(
                    cause.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ),
            };
            if is_closed {
                let request_id = header(&request.headers, REQUEST_ID).unwrap_or("-").to_owned();
                self.record
                    .line(&format!("{} at work on {request_id}: connection closed", self.id));
                self.broken_runs.lock().unwrap().push(request_id);
                return false;
            }
        }
        let _ = stream.set_read_timeout(None);
        true
    }

    /// A whole, signed answer.
    pub fn success(&self, request: &Request, body: &str) -> Response {
        let mut response = Response { status: 200, headers: Vec::new(), body: body.into() };
        let signature = "3e1b.07.5a2.600.0.c9f2a4d1";
        response.headers.push(("X-Lacewingshelf-Response-Signature".into(), signature.into()));
        response.headers.push(("X-Lacewingshelf-Instance-Id".into(), self.id.clone()));
        echo_id(request, &mut response);
        response
    }

    /// An answer that turns a request away without running it.
    pub fn rejection(&self, request: &Request, retry_after: Option<Duration>) -> Response {
        let mut response = Response { status: 503, headers: Vec::new(), body: Vec::new() };
        response.headers.push(("X-Lacewingshelf-Not-Executed".into(), "1".into()));
        response.headers.push(("X-Lacewingshelf-Instance-Id".into(), self.id.clone()));
        if let Some(period) = retry_after {
            response.headers.push(("Retry-After".into(), period.as_secs_f64().to_string()));
            let is_check = header(&request.headers, REQUEST_ID).is_none();
            let notice = QuietNotice { at: Instant::now(), period, is_check };
            self.quiet_told.lock().unwrap().push(notice);
        }
        echo_id(request, &mut response);
        response
    }

    /// The answer to a status check.
    pub fn healthy(&self) -> Response {
        let headers = vec![("X-Lacewingshelf-Instance-Id".to_owned(), self.id.clone())];
        Response { status: 200, headers, body: Vec::new() }
    }
}

fn echo_id(request: &Request, response: &mut Response) {
    if let Some(id) = header(&request.headers, REQUEST_ID) {
        response.headers.push((REQUEST_ID.into(), id.into()));
    }
}

fn serve(mut stream: TcpStream, shared: &Shared, behaviour: &Behaviour) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().expect("the socket can be cloned"));
    while let Ok(request) = read_request(&mut reader) {
        let request_id = header(&request.headers, REQUEST_ID).map(str::to_owned);
        shared.arrivals.lock().unwrap().push(Arrival { at: Instant::now(), request_id });
        let Some(response) = behaviour(&request, shared, &stream) else {
            return;
        };
        if write_response(&mut stream, &response).is_err() {
            return;
        }
    }
}
