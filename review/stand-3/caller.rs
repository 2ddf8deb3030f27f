//! Clients by their page: they ask a directory, keep its answer for its time, pick addresses at random and
//! keep connections open for many requests.

use crate::fleet::get;
use crate::json::Json;
use crate::record::Record;
use crate::wire::{Connection, Message, ReadFailure};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How a client attempt ended.
#[derive(Debug, Clone)]
pub enum End {
    Answered { status: u16, signature: Option<String>, body: Vec<u8> },
    /// No connection could be opened.
    Unconnected,
    /// The connection ended without a whole answer.
    Closed,
    /// The client gave up at its time budget.
    GaveUp,
}

/// One client attempt.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub id: String,
    pub sent: Instant,
    pub end: End,
}

#[derive(Clone, Default)]
pub struct Attempts(Arc<Mutex<Vec<Attempt>>>);

impl Attempts {
    pub fn push(&self, attempt: Attempt) {
        self.0.lock().unwrap().push(attempt);
    }

    pub fn all(&self) -> Vec<Attempt> {
        self.0.lock().unwrap().clone()
    }
}

/// A small random generator.
pub struct Dice(u64);

impl Dice {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, limit: usize) -> usize {
        (self.next() % limit.max(1) as u64) as usize
    }
}

static LAST_ID: AtomicU64 = AtomicU64::new(0);

pub fn new_id() -> String {
    let number = LAST_ID.fetch_add(1, Ordering::Relaxed) + 1;
    format!("{:08x}{number:08x}", std::process::id())
}

/// Sends one request on a connection and reads its answer.
pub fn exchange(
    connection: &mut Connection,
    method: &str,
    host: &str,
    target: &str,
    id: &str,
    body: &[u8],
    budget: Duration,
) -> Result<Message, ReadFailure> {
    let until = Instant::now() + budget;
    let length = match method {
        "GET" => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: {host}\r\nX-Lacewingshelf-Request-Id: {id}\r\n\
         X-Lacewingshelf-Deadline-Ms: {}\r\n{length}\r\n",
        budget.as_millis()
    );
    let bytes = [head.as_bytes(), body].concat();
    connection.write(&bytes).map_err(|_| ReadFailure::Cut)?;
    connection.read(until, true)
}

/// What all clients of a run share.
#[derive(Clone)]
pub struct World {
    pub host: String,
    pub directories: Vec<SocketAddr>,
    pub attempts: Attempts,
    pub record: Record,
    pub stop: Arc<AtomicBool>,
}

/// A client that keeps sending requests of one kind.
pub struct Client {
    world: World,
    dice: Dice,
    known: Vec<SocketAddr>,
    known_until: Instant,
    failed: Vec<SocketAddr>,
    open: Option<(SocketAddr, Connection)>,
}

impl Client {
    pub fn new(world: &World, seed: u64) -> Self {
        Self {
            world: world.clone(),
            dice: Dice::new(seed),
            known: Vec::new(),
            known_until: Instant::now(),
            failed: Vec::new(),
            open: None,
        }
    }

    /// Asks up to three directories, allowing each a second.
    fn look_up(&mut self) {
        for _ in 0..3 {
            let index = self.dice.below(self.world.directories.len());
            let address = self.world.directories[index];
            let target = format!("/lookup?name={}&region=r&zone=z", self.world.host);
            let Some((200, body)) = get(address, &target, Duration::from_secs(1)) else {
                continue;
            };
            let Some(answer) = Json::parse(&String::from_utf8_lossy(&body)) else {
                continue;
            };
            let addresses: Vec<SocketAddr> = answer
                .list("addresses")
                .iter()
                .filter_map(|address| match address {
                    Json::Text(text) => text.parse().ok(),
                    _ => None,
                })
                .collect();
            if addresses.is_empty() {
                continue;
            }
            let keep = answer.number("ttl_s").unwrap_or(1.0).min(5.0);
            self.known = addresses;
            self.known_until = Instant::now() + Duration::from_secs_f64(keep);
            self.failed.clear();
            let known = &self.known;
            if self.open.as_ref().is_some_and(|(address, _)| !known.contains(address)) {
                self.open = None;
            }
            return;
        }
    }

    /// Sends one request, on the open connection or on a new one.
    pub fn send(&mut self, method: &str, target: &str, body: &[u8], budget: Duration) {
        if Instant::now() >= self.known_until {
            self.look_up();
        }
        let id = new_id();
        let sent = Instant::now();
        let mut node = SocketAddr::from(([127, 0, 0, 1], 0));
        let end = self.attempt(method, target, body, budget, &id, &mut node);
        let attempt = Attempt { id, sent, end };
        let shown = match &attempt.end {
            End::Answered { status, .. } => status.to_string(),
            other => format!("{other:?}"),
        };
        let took = sent.elapsed().as_millis();
        self.world.record.line(format!(
            "sent {} {method} {target} to {node}, {took} ms ago: {shown}",
            attempt.id
        ));
        self.world.attempts.push(attempt);
    }

    fn attempt(
        &mut self,
        method: &str,
        target: &str,
        body: &[u8],
        budget: Duration,
        id: &str,
        node: &mut SocketAddr,
    ) -> End {
        if self.open.is_none() {
            let failed = &self.failed;
            let usable: Vec<SocketAddr> =
                self.known.iter().filter(|address| !failed.contains(address)).copied().collect();
            if usable.is_empty() {
                self.known_until = Instant::now();
                return End::Unconnected;
            }
            let address = usable[self.dice.below(usable.len())];
            *node = address;
            match TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
                Ok(stream) => self.open = Some((address, Connection::new(stream))),
                Err(_) => {
                    self.failed.push(address);
                    return End::Unconnected;
                }
            }
        }
        let Some((address, mut connection)) = self.open.take() else {
            return End::Unconnected;
        };
        *node = address;
        let host = self.world.host.clone();
        match exchange(&mut connection, method, &host, target, id, body, budget) {
            Ok(answer) => {
                let is_last = answer.header("connection").is_some_and(|text| text == "close");
                let signature = answer.header("x-lacewingshelf-response-signature");
                let signature = signature.map(str::to_owned);
                if !is_last {
                    self.open = Some((address, connection));
                }
                End::Answered { status: answer.status(), signature, body: answer.body }
            }
            Err(ReadFailure::Timeout) => End::GaveUp,
            Err(_) => End::Closed,
        }
    }
}

/// Starts clients that send a request each `gap` until the run stops.
pub fn start_clients(
    world: &World,
    count: u64,
    method: &'static str,
    target: &'static str,
    body: Vec<u8>,
    budget: Duration,
    gap: Duration,
) -> Vec<std::thread::JoinHandle<()>> {
    (0..count)
        .map(|number| {
            let (world, body) = (world.clone(), body.clone());
            std::thread::spawn(move || {
                let mut client = Client::new(&world, number + 1);
                std::thread::sleep(gap.mul_f64(number as f64 / count as f64));
                while !world.stop.load(Ordering::Relaxed) {
                    client.send(method, target, &body, budget);
                    std::thread::sleep(gap);
                }
            })
        })
        .collect()
}
