//! Stand-ins for the platform's store, backend servers and callers, and the cases that use them.
//! Only the standard library is used, so that `rustc` alone builds it.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

// ---------------------------------------------------------------------------------------------
// HTTP

/// Head and body of a message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message. `None` if the connection ended before its first byte.
pub fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut buffer = [0_u8; 16 * 1024];
    let head_end = loop {
        if let Some(at) = rest.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        let length = stream.read(&mut buffer)?;
        if length == 0 {
            if rest.is_empty() {
                return Ok(None);
            }
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "cut in the head"));
        }
        rest.extend_from_slice(&buffer[..length]);
    };
    let head = String::from_utf8_lossy(&rest[..head_end - 4]).into_owned();
    rest.drain(..head_end);
    let mut lines = head.split("\r\n");
    let start = lines.next().unwrap_or("").to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let mut message = Message { start, headers, body: Vec::new() };
    let length: usize =
        message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while rest.len() < length {
        let read = stream.read(&mut buffer)?;
        if read == 0 {
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "cut in the body"));
        }
        rest.extend_from_slice(&buffer[..read]);
    }
    message.body = rest.drain(..length).collect();
    Ok(Some(message))
}

pub fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

// ---------------------------------------------------------------------------------------------
// Record of what was sent, answered and run

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.start.elapsed().as_secs_f64());
    }
}

// ---------------------------------------------------------------------------------------------
// The platform's store

#[derive(Debug, Clone)]
struct Item {
    value: Option<String>,
    revision: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    log: Vec<(String, Item)>,
    leases: HashMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

impl StoreState {
    fn set(&mut self, key: &str, value: Option<String>, lease: u64) -> u64 {
        self.revision += 1;
        let item = Item { value, revision: self.revision, lease };
        self.log.push((key.to_owned(), item.clone()));
        if item.value.is_some() {
            self.items.insert(key.to_owned(), item);
        } else {
            self.items.remove(key);
        }
        self.revision
    }
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let bits = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * digit)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn item_json(key: &str, item: &Item) -> String {
    match &item.value {
        Some(value) => format!(
            r#"{{"key":"{key}","value":"{value}","revision":{0},"created":{0},"lease":{1}}}"#,
            item.revision, item.lease
        ),
        None => format!(r#"{{"key":"{key}","revision":{},"deleted":true}}"#, item.revision),
    }
}

/// Returns the text of a string field, searched from `from`, and the position after it.
fn string_field(text: &str, name: &str, from: usize) -> Option<(String, usize)> {
    let pattern = format!("\"{name}\":\"");
    let start = text[from..].find(&pattern)? + from + pattern.len();
    let end = text[start..].find('"')? + start;
    Some((text[start..end].to_owned(), end))
}

fn number_field(text: &str, name: &str, from: usize) -> Option<f64> {
    let pattern = format!("\"{name}\":");
    let start = text[from..].find(&pattern)? + from + pattern.len();
    let digits: String = text[start..]
        .chars()
        .take_while(|c| c.is_ascii_digit() || *c == '.' || *c == '-')
        .collect();
    digits.parse().ok()
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let mut first = StoreState::default();
        first.revision = 1;
        let store = Self { state: Arc::new((Mutex::new(first), Condvar::new())), address };
        let shared = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || {
                    let _ = shared.serve(stream);
                });
            }
        });
        let shared = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                shared.expire();
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) -> u64 {
        let revision =
            self.state.0.lock().unwrap().set(key, Some(base64(value.as_bytes())), 0);
        self.state.1.notify_all();
        revision
    }

    fn expire(&self) {
        let mut state = self.state.0.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, (until, _))| *until <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            state.leases.remove(&lease);
            let keys: Vec<String> = state
                .items
                .iter()
                .filter(|(_, item)| item.lease == lease)
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                state.set(&key, None, 0);
            }
        }
        drop(state);
        self.state.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut rest = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut rest)? {
            let (status, body) = self.answer(&request);
            let kind = [("Content-Type", "application/json")];
            write_response(&mut stream, status, &kind, body.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
                .unwrap_or_default()
        };
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match path {
            "/kv-range" => {
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let state = self.state.0.lock().unwrap();
                let items: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| item_json(key, item))
                    .collect();
                let text = format!(
                    r#"{{"items":[{}],"has_more":false,"as_of":{}}}"#,
                    items.join(","),
                    state.revision
                );
                ("200 OK", text)
            }
            "/kv-watch" => {
                let after: u64 = parameter("after").parse().unwrap_or(0);
                let wait: u64 = parameter("wait_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let mut state = self.state.0.lock().unwrap();
                loop {
                    let now = Instant::now();
                    if state.revision > after || now >= until {
                        let events: Vec<String> = state
                            .log
                            .iter()
                            .filter(|(_, item)| item.revision > after)
                            .map(|(key, item)| item_json(key, item))
                            .collect();
                        let text = format!(
                            r#"{{"events":[{}],"as_of":{}}}"#,
                            events.join(","),
                            state.revision
                        );
                        return ("200 OK", text);
                    }
                    state = self.state.1.wait_timeout(state, until - now).unwrap().0;
                }
            }
            "/kv-txn" => {
                let mut state = self.state.0.lock().unwrap();
                let mut at = body.find("\"writes\"").unwrap_or(0);
                while let Some((key, after_key)) = string_field(&body, "key", at) {
                    let Some((value, after_value)) = string_field(&body, "value", after_key) else {
                        break;
                    };
                    let lease = number_field(&body, "lease", after_value).unwrap_or(0.0) as u64;
                    if lease != 0 && !state.leases.contains_key(&lease) {
                        return ("404 Not Found", "{}".into());
                    }
                    state.set(&key, Some(value), lease);
                    at = after_value;
                }
                let revision = state.revision;
                drop(state);
                self.state.1.notify_all();
                ("200 OK", format!(r#"{{"revision":{revision}}}"#))
            }
            "/kv-lease" => {
                let ttl = number_field(&body, "ttl_s_time", 0).unwrap_or(3.0).clamp(1.0, 600.0);
                let mut state = self.state.0.lock().unwrap();
                state.last_lease += 1;
                let lease = state.last_lease;
                let ttl_time = Duration::from_secs_f64(ttl);
                state.leases.insert(lease, (Instant::now() + ttl_time, ttl_time));
                ("200 OK", format!(r#"{{"lease":{lease},"ttl_s_time":{ttl}}}"#))
            }
            _ if path.starts_with("/kv-keep/") => {
                let id: u64 = path["/kv-keep/".len()..].parse().unwrap_or(0);
                let mut state = self.state.0.lock().unwrap();
                match state.leases.get_mut(&id) {
                    Some((until, ttl)) => {
                        *until = Instant::now() + *ttl;
                        ("200 OK", format!(r#"{{"ttl_s_time":{}}}"#, ttl.as_secs_f64()))
                    }
                    None => ("404 Not Found", "{}".into()),
                }
            }
            _ => ("400 Bad Request", "{}".into()),
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Gateways

pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub child: Child,
}

/// Values of the placeholders of the settings template for one gateway.
pub struct GatewayPorts {
    ports: Vec<SocketAddr>,
}

/// Next port to try. Below the range from which the system takes ports of outgoing connections.
static NEXT_PORT: AtomicU64 = AtomicU64::new(0);

fn free_port() -> SocketAddr {
    loop {
        let first = 12_000 + u64::from(std::process::id() % 97) * 200;
        let tried = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = 12_000 + (first - 12_000 + tried) % 20_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() && std::net::UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl GatewayPorts {
    pub fn reserve() -> Self {
        Self { ports: (0..6).map(|_| free_port()).collect() }
    }

    pub fn peer(&self) -> SocketAddr {
        self.ports[3]
    }
}

impl Gateway {
    /// Starts a gateway by the deploy file's command, with settings filled in from its template.
    pub fn start(
        folder: &PathBuf,
        name: &str,
        zone: &str,
        ports: &GatewayPorts,
        seeds: &[SocketAddr],
        store: SocketAddr,
        grace_s: u32,
    ) -> Self {
        let template = std::fs::read_to_string("deploy/gateway.ini").expect("the template is there");
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        let values = [
            ("node", name.to_owned()),
            ("zone", zone.to_owned()),
            ("limits.cpu_share", "0.2".to_owned()),
            ("limits.max_fds", "4100".to_owned()),
            ("limits.memory_mb", "260".to_owned()),
            ("limits.link_mbps", "1000.0".to_owned()),
            ("listen.front", ports.ports[0].to_string()),
            ("listen.ready", ports.ports[1].to_string()),
            ("listen.directory", ports.ports[2].to_string()),
            ("listen.control", ports.ports[3].to_string()),
            ("internal_ports.0", ports.ports[4].port().to_string()),
            ("ip", "127.0.0.1".to_owned()),
            ("platform.address", store.to_string()),
            ("seeds", seeds.join(",")),
            ("bounds.ttl_max_s", "5".to_owned()),
            ("bounds.grace_s", grace_s.to_string()),
            ("bounds.probes_per_s", "60".to_owned()),
            ("bounds.budget_ratio", "0.2".to_owned()),
            ("bounds.budget_extra", "60".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
        ];
        let mut text = template;
        for (key, value) in values {
            text = text.replace(&format!("{{{{{key}}}}}"), &value);
        }
        // One machine carries all gateways, so the fixed port of the metrics is replaced.
        text = text.replace("127.0.0.1:9464", &ports.ports[5].to_string());
        let file = folder.join(format!("{name}.ini"));
        std::fs::write(&file, text).unwrap();
        let log = File::create(folder.join(format!("{name}.log"))).unwrap();
        let child = Command::new("target/release/lacewing-gateway")
            .env("LACEWINGSHELF_CONFIG", &file)
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the gateway is built");
        // `run.sh` ends what is left of them if this process is cut short.
        let mut pids =
            File::options().append(true).create(true).open(folder.join("pids")).unwrap();
        let _ = writeln!(pids, "{}", child.id());
        Self {
            name: name.to_owned(),
            callers: ports.ports[0],
            ready: ports.ports[1],
            directory: ports.ports[2],
            child,
        }
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }

    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        get(self.ready, "/readyz", "ready", timeout).is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ---------------------------------------------------------------------------------------------
// Callers

pub fn get(
    address: SocketAddr,
    path: &str,
    host: &str,
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n").as_bytes())?;
    read_message(&mut stream, &mut Vec::new())?
        .ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, "closed without an answer"))
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    format!("{:016x}", 0x9c41_d07b_0000_0000 | NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// The other end closed the connection, without a reset and without a byte of an answer.
const NO_ANSWER: &str = "closed without an answer";

/// What a caller saw of one request.
#[derive(Debug)]
pub enum Seen {
    Answer(Message),
    /// The connection ended, or could not be opened.
    Closed(String),
    /// No answer within the time that the caller waits.
    Nothing,
}

/// Sends one request on a connection of its own, and waits up to `patience` for the answer.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body: &[u8],
    patience: Duration,
) -> Seen {
    let mut stream = match TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
        Ok(stream) => stream,
        Err(cause) => return Seen::Closed(format!("connect: {cause}")),
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(patience));
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Lacewingshelf-Request-Id: {id}\r\n\
         X-Lacewingshelf-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    if let Err(cause) = stream.write_all(&bytes) {
        return Seen::Closed(format!("write: {cause}"));
    }
    match read_message(&mut stream, &mut Vec::new()) {
        Ok(Some(answer)) => Seen::Answer(answer),
        Ok(None) => Seen::Closed(NO_ANSWER.into()),
        Err(cause) if matches!(cause.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
            Seen::Nothing
        }
        Err(cause) => Seen::Closed(cause.to_string()),
    }
}

// ---------------------------------------------------------------------------------------------
// Backend servers

/// Handles one request on its connection. Returns whether the connection stays open.
pub type Handler = Arc<dyn Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync>;

pub fn start_server(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut rest = Vec::new();
                while let Ok(Some(request)) = read_message(&mut stream, &mut rest) {
                    match handler(&request, &mut stream) {
                        Ok(true) => {}
                        _ => break,
                    }
                }
            });
        }
    });
    address
}

pub fn server_entry(address: SocketAddr, service: &str, zone: &str, slots: u32, state: &str) -> String {
    format!(
        r#"{{"address":"{address}","born":1700000000000,"info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":{slots}}},"status":{{"state":"{state}","seq":4,"warmup_left_s":0}}}}"#
    )
}

/// A configuration with one service and two routes: `/safe/` and `/unsafe/`.
pub fn config(version: u64, timeout_s: f64, attempts: u32) -> String {
    let route = |name: &str, prefix: &str, kind: &str, priority: u32| {
        format!(
            r#"{{"name":"{name}","prefix":"{prefix}","type":"{kind}","timeout_s":{timeout_s},"goal_s":0.6,"priority":{priority},"service":"huvo11a","attempts":{attempts}}}"#
        )
    };
    format!(
        r#"{{"version":"r{version}","services":[{{"name":"huvo11a","health_path":"/healthz","max_conns":240,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}},"hosts":[{{"host":"ficu95.example","paths":[{},{}]}}]}}"#,
        route("r-safe", "/safe/", "safe", 2),
        route("r-unsafe", "/unsafe/", "unsafe", 1),
    )
}

pub fn describe(seen: &Seen) -> String {
    match seen {
        Seen::Answer(answer) => format!("answered {}", answer.status()),
        Seen::Closed(cause) => format!("closed: {cause}"),
        Seen::Nothing => "no answer".into(),
    }
}

/// Starts gateways that know each other as seeds. `None` if one is not ready in time.
pub fn start_fleet(folder: &PathBuf, count: usize, grace_s: u32, store: &Store) -> Option<Vec<Gateway>> {
    let ports: Vec<GatewayPorts> = (0..count).map(|_| GatewayPorts::reserve()).collect();
    let seeds: Vec<SocketAddr> = ports.iter().take(3).map(GatewayPorts::peer).collect();
    let gateways: Vec<Gateway> = ports
        .iter()
        .enumerate()
        .map(|(index, ports)| {
            let name = format!("front-gt-central-a-{}", index + 1);
            Gateway::start(folder, &name, "gt-central-a", ports, &seeds, store.address, grace_s)
        })
        .collect();
    let are_ready = gateways.iter().all(|gateway| gateway.wait_ready(Duration::from_secs(10)));
    // The gateways need a moment to find each other.
    std::thread::sleep(Duration::from_secs(2));
    are_ready.then_some(gateways)
}

/// A sound backend server: it runs up to `slots` requests at a time and queues the others.
pub struct SoundServer {
    pub name: String,
    pub address: SocketAddr,
    /// Ids of the requests that arrived.
    arrived: Arc<Mutex<Vec<String>>>,
    /// Ids of the requests that began to run.
    ran: Arc<Mutex<Vec<String>>>,
    /// Set to spoil the load figure of the next answer to a request.
    pub spoils_next: Arc<AtomicBool>,
}

impl SoundServer {
    pub fn arrivals(&self) -> Vec<String> {
        self.arrived.lock().unwrap().clone()
    }

    pub fn runs(&self) -> Vec<String> {
        self.ran.lock().unwrap().clone()
    }

    pub fn start(name: &str, slots: u32, work: Duration, record: &Record) -> Self {
        let (arrived, ran) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(Vec::new())));
        let load = Arc::new((Mutex::new((0_u32, 0_u32)), Condvar::new()));
        let (server, record) = (name.to_owned(), record.clone());
        let spoils_next = Arc::new(AtomicBool::new(false));
        let shared_spoils = Arc::clone(&spoils_next);
        let (shared_arrived, shared_ran) = (Arc::clone(&arrived), Arc::clone(&ran));
        let address = start_server(Arc::new(move |request, stream| {
            let report = |load: &(u32, u32)| format!("{},{},{slots},100", load.0, load.1);
            if request.target().starts_with("/healthz") {
                let text = report(&load.0.lock().unwrap());
                let headers = [
                    ("X-Lacewingshelf-Instance-Id", server.as_str()),
                    ("X-Lacewingshelf-Server-Load", text.as_str()),
                ];
                write_response(stream, "200 OK", &headers, b"")?;
                return Ok(true);
            }
            let expected = request.header("x-lacewingshelf-expect-instance");
            if expected.is_some_and(|id| id != server) {
                let headers = [("X-Lacewingshelf-Instance-Id", server.as_str())];
                write_response(stream, "421 Misdirected Request", &headers, b"")?;
                return Ok(true);
            }
            let id = request.header("x-lacewingshelf-request-id").unwrap_or("-").to_owned();
            shared_arrived.lock().unwrap().push(id.clone());
            {
                let mut now = load.0.lock().unwrap();
                now.1 += 1;
                while now.0 >= slots {
                    now = load.1.wait(now).unwrap();
                }
                now.1 -= 1;
                now.0 += 1;
            }
            shared_ran.lock().unwrap().push(id.clone());
            record.line(&format!("{server} runs {id}"));
            std::thread::sleep(work);
            let mut text = {
                let mut now = load.0.lock().unwrap();
                now.0 -= 1;
                report(&now)
            };
            if shared_spoils.swap(false, Ordering::Relaxed) {
                text = text.replace(",100", ",9e99");
                record.line(&format!("{server} spoils the load figure of its answer to {id}: {text}"));
            }
            load.1.notify_one();
            let headers = [
                ("X-Lacewingshelf-Request-Id", id.as_str()),
                ("X-Lacewingshelf-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
                ("X-Lacewingshelf-Server-Load", text.as_str()),
            ];
            write_response(stream, "200 OK", &headers, b"answer of the server\n")?;
            Ok(true)
        }));
        Self { name: name.to_owned(), address, arrived, ran, spoils_next }
    }
}

/// A random generator (xorshift), seeded by the time of day.
pub struct Random(u64);

impl Random {
    pub fn new() -> Self {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        Self(now.as_nanos() as u64 | 1)
    }

    pub fn below(&mut self, limit: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        ((self.0 >> 11) % limit as u64) as usize
    }
}

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------------------------------------
// Cases

include!("stop_case.rs");
include!("split_case.rs");
include!("entry_case.rs");
include!("spoiled_case.rs");

/// Runs `standin CASE RECORD FOLDER`: a case, the file that records it, and a folder for settings and logs.
fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record, folder] = arguments.as_slice() else {
        eprintln!("expected CASE RECORD FOLDER");
        std::process::exit(2);
    };
    let (record, folder) = (Record::create(record), PathBuf::from(folder));
    let code = match case.as_str() {
        "stop" => stop_case(&folder, &record),
        "split" => split_case(&folder, &record),
        "entry" => entry_case(&folder, &record),
        "spoiled" => spoiled_case(&folder, &record),
        _ => 2,
    };
    // The case has ended its gateways and waited for them; `run.sh` must not signal their ids.
    let _ = std::fs::remove_file(folder.join("pids"));
    std::process::exit(code);
}
