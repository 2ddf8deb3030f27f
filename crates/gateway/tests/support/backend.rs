//! A backend server whose behaviour is scripted by the path of each request.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Processing time of the path `/work/slow/`. `/work/take-N/` takes N milliseconds.
pub const SLOW_DURATION: Duration = Duration::from_millis(400);
/// Time between a response that is sent once more, late, and the one that is due.
const LATE_COPY_GAP: Duration = Duration::from_millis(30);
/// Interval at which a hanging server checks whether its caller has disconnected.
const HANG_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Behaviour of a server, which may override the path of its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// As scripted by the path.
    Path,
    /// Sheds all requests.
    Shed,
    /// Responds to all requests that another server has the address.
    Misdirected,
}

/// Requests that a server received, and its behaviour.
pub struct BackendRecord {
    /// Ids of requests that it ran, in order.
    pub ran: Vec<String>,
    /// Requests that it received, as request line and body.
    pub arrived: Vec<(String, String)>,
    /// Headers of those requests that name a team or a key, as `name: value`.
    pub team_headers: Vec<Vec<String>>,
    /// Deadline headers of those requests, in milliseconds; 0 if absent.
    pub deadlines: Vec<u64>,
    /// Number of health checks.
    pub checks: usize,
    /// Number of callers that disconnected while their request was running.
    pub disconnected: usize,
    /// Bytes of the longest response without end that was sent.
    pub flooded: usize,
    /// Whether the responses to health checks never end.
    pub floods_checks: bool,
    /// Header lines of the refusals with which it answers health checks, if it does.
    pub check_refusal: Option<String>,
    /// Number of responses of which all but the dribbling rest was sent.
    pub dribbling: usize,
    /// Present behaviour.
    pub behaviour: Behaviour,
    /// Value of the limit header of its responses, if any.
    pub limit: Option<String>,
    /// Further header lines of its responses, each with its line end.
    pub notice: String,
    /// Whether it answers requests with 503 and the notice, without running them.
    pub refuses: bool,
    /// Time after which it refuses a request.
    pub refusal_delay: Duration,
    /// Load report in the responses to health checks.
    pub checked_load: String,
    /// Status with which it answers health checks.
    pub checked_status: String,
    /// Further header lines of the responses to health checks, each with its line end.
    pub checked_lines: String,
    /// Connections that are open.
    pub open: usize,
    /// Times for which a response to a request with the step `shed-again` was sent once more, late.
    pub repeated: usize,
}

/// A running server; it ends with the test process.
#[derive(Clone)]
pub struct ScriptedBackend {
    /// Id that requests must name in the header `t-expect`.
    pub name: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Requests received so far, shared by all clones.
    pub record: Arc<Mutex<BackendRecord>>,
}

struct InboundRequest {
    line: String,
    headers: Vec<(String, String)>,
    body: String,
}

impl InboundRequest {
    fn header(&self, name: &str) -> String {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.clone()).unwrap_or_default()
    }

    /// Whether the step says that the response comes before the body is read: `early-` and another step.
    fn is_answered_early(&self) -> bool {
        self.line.contains("/early-")
    }
}

impl ScriptedBackend {
    /// Starts a server.
    pub fn start(name: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let record = BackendRecord {
            ran: Vec::new(),
            arrived: Vec::new(),
            team_headers: Vec::new(),
            deadlines: Vec::new(),
            checks: 0,
            disconnected: 0,
            flooded: 0,
            floods_checks: false,
            check_refusal: None,
            dribbling: 0,
            behaviour: Behaviour::Path,
            limit: None,
            notice: String::new(),
            refuses: false,
            refusal_delay: Duration::ZERO,
            checked_load: "0,0,6".into(),
            checked_status: "200 OK".into(),
            checked_lines: String::new(),
            open: 0,
            repeated: 0,
        };
        let server = Self { name: name.into(), address, record: Arc::new(Mutex::new(record)) };
        let shared = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = shared.clone();
                // Some tests break connections on purpose.
                std::thread::spawn(move || {
                    server.record.lock().expect("record").open += 1;
                    let _ = server.serve(stream);
                    server.record.lock().expect("record").open -= 1;
                });
            }
        });
        server
    }

    /// Changes the behaviour for later requests.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.record.lock().expect("record").behaviour = behaviour;
    }

    /// Changes the limit that later responses name.
    pub fn set_limit(&self, limit: Option<&str>) {
        self.record.lock().expect("record").limit = limit.map(Into::into);
    }

    /// Changes the header lines of later responses, and whether they refuse.
    pub fn set_notice(&self, notice: &str, refuses: bool) {
        let mut record = self.record.lock().expect("record");
        (record.notice, record.refuses) = (notice.into(), refuses);
    }

    /// Changes the load report of later health checks, and the time after which it refuses a request.
    pub fn set_checked_load(&self, load: &str, refusal_delay: Duration) {
        let mut record = self.record.lock().expect("record");
        (record.checked_load, record.refusal_delay) = (load.into(), refusal_delay);
    }

    /// Makes it refuse health checks with 503 and these header lines.
    pub fn refuse_checks(&self, lines: &str) {
        self.record.lock().expect("record").check_refusal = Some(lines.into());
    }

    /// Number of requests that arrived, health checks included.
    pub fn arrivals(&self) -> usize {
        let record = self.record.lock().expect("record");
        record.arrived.len() + record.checks
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.record.lock().expect("record").open
    }

    fn limit_line(&self) -> String {
        let record = self.record.lock().expect("record");
        let limit = record.limit.as_ref().map(|limit| format!("t-limit: {limit}\r\n"));
        limit.unwrap_or_default() + &record.notice
    }

    /// Ids of requests that it ran.
    pub fn ran(&self) -> Vec<String> {
        self.record.lock().expect("record").ran.clone()
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        let mut late_copy = String::new();
        while let Some(request) = read_request(&mut reader)? {
            if !late_copy.is_empty() {
                self.record.lock().expect("record").repeated += 1;
                write!(stream, "{}", std::mem::take(&mut late_copy))?;
                std::thread::sleep(LATE_COPY_GAP);
            }
            if request.line.contains("/shed-again/") {
                late_copy = format!(
                    "HTTP/1.1 503 Full\r\nt-id: {}\r\nt-not-run: 1\r\ncontent-length: 0\r\n\r\n",
                    request.header("t-id")
                );
            }
            if !self.respond(&mut stream, &request)? {
                return Ok(());
            }
            if request.is_answered_early() {
                std::thread::sleep(LATE_COPY_GAP);
                read_body(&mut reader, &request)?;
            }
        }
        Ok(())
    }

    /// Responds to a request. Returns whether the connection stays open.
    fn respond(&self, stream: &mut TcpStream, request: &InboundRequest) -> std::io::Result<bool> {
        if request.line.starts_with("GET /health ") {
            let (status, load) = {
                let mut record = self.record.lock().expect("record");
                record.checks += 1;
                let load = format!("{}\r\n{}", record.checked_load, record.checked_lines);
                (record.checked_status.clone(), load)
            };
            let head = format!("HTTP/1.1 {status}\r\nt-server: {}\r\nt-load: {load}", self.name);
            if self.record.lock().expect("record").floods_checks {
                return self.flood(
                    stream,
                    &format!("{head}transfer-encoding: chunked\r\n\r\n"),
                    "0",
                );
            }
            let refusal = self.record.lock().expect("record").check_refusal.clone();
            if let Some(lines) = refusal {
                write!(stream, "HTTP/1.1 503 Full\r\n{lines}content-length: 0\r\n\r\n")?;
                return Ok(true);
            }
            let limit = self.limit_line();
            write!(stream, "{head}{limit}content-length: 0\r\n\r\n")?;
            return Ok(true);
        }
        let id = request.header("t-id");
        let behaviour = {
            let mut record = self.record.lock().expect("record");
            record.arrived.push((request.line.clone(), request.body.clone()));
            let is_of_team = |(name, _): &&(String, String)| name == "t-team" || name == "t-key";
            let headers = request.headers.iter().filter(is_of_team);
            let headers = headers.map(|(name, value)| format!("{name}: {value}")).collect();
            record.team_headers.push(headers);
            record.deadlines.push(request.header("t-deadline").parse().unwrap_or(0));
            record.behaviour
        };
        let path = request.line.split(' ').nth(1).unwrap_or_default();
        let step = path.split('/').nth(2).unwrap_or_default();
        let step = step.strip_prefix("early-").unwrap_or(step);
        if let Some(millis) = step.strip_prefix("shed-after-") {
            std::thread::sleep(Duration::from_millis(millis.parse().unwrap_or(0)));
        }
        let refuses = self.record.lock().expect("record").refuses;
        if refuses {
            let delay = self.record.lock().expect("record").refusal_delay;
            std::thread::sleep(delay);
        }
        let is_shed = refuses || behaviour == Behaviour::Shed || step.starts_with("shed");
        if is_shed || behaviour == Behaviour::Misdirected || request.header("t-expect") != self.name
        {
            let status = if is_shed { "503 Full" } else { "421 Misdirected" };
            let mark = if is_shed { "t-not-run: 1\r\n" } else { "" };
            let notice = self.record.lock().expect("record").notice.clone();
            write!(
                stream,
                "HTTP/1.1 {status}\r\nt-id: {id}\r\n{mark}{notice}content-length: 0\r\n\r\n"
            )?;
            return Ok(true);
        }
        self.record.lock().expect("record").ran.push(id.clone());
        self.run(stream, step, &id, &request.body)
    }

    fn run(
        &self,
        stream: &mut TcpStream,
        step: &str,
        id: &str,
        body: &str,
    ) -> std::io::Result<bool> {
        let body = &format!("ran {body}");
        let length = body.len();
        let limit = self.limit_line();
        let head = format!("HTTP/1.1 200 OK\r\nt-id: {id}\r\n{limit}");
        let signed = format!("{head}t-signature: s-{id}\r\n");
        if let Some(millis) = step.strip_prefix("take-") {
            std::thread::sleep(Duration::from_millis(millis.parse().unwrap_or(0)));
        }
        if let Some(line) = step.strip_prefix("status-") {
            let head = signed.replacen("200 OK", &line.replace('_', " "), 1);
            write!(stream, "{head}content-length: {length}\r\n\r\n{body}")?;
            return Ok(true);
        }
        // The head up to where it is cut, with `_` for a space and `~` for a line end.
        if let Some(cut) = step.strip_prefix("glued-at-") {
            let cut = cut.replace('_', " ").replace('~', "\r\n");
            let other = "HTTP/1.1 200 OK\r\nt-server: first\r\nt-load: 0,0,6\r\n";
            write!(stream, "{signed}{cut}{other}content-length: 0\r\n\r\n")?;
            return Ok(true);
        }
        if let Some(kilobytes) = step.strip_prefix("stalled-") {
            let part = "x".repeat(kilobytes.parse::<usize>().unwrap_or(0) * 1_024);
            return self.dribble(stream, &format!("{signed}\r\n{part}"));
        }
        if let Some(kilobytes) = step.strip_prefix("long-") {
            let length = kilobytes.parse::<usize>().unwrap_or(0) * 1_024;
            write!(stream, "{signed}content-length: {length}\r\n\r\n{}", "x".repeat(length))?;
            return Ok(true);
        }
        match step {
            "close" => return Ok(false),
            "cut-head" => {
                let end = body.trim_start_matches("ran ").parse().unwrap_or(0);
                let whole = format!("{signed}content-length: {length}\r\n\r\n");
                stream.write_all(&whole.as_bytes()[..whole.len().min(end)])?;
                return Ok(false);
            }
            "glued-heads" => {
                let other = "HTTP/1.1 200 OK\r\nt-id: other\r\nt-signature: s\r\n";
                write!(stream, "{signed}x-cut: a{other}content-length: 0\r\n\r\n")?;
            }
            "cut" => {
                write!(stream, "{signed}content-length: {}\r\n\r\n{body}", length + 10)?;
                return Ok(false);
            }
            "hang" => return self.hang(stream),
            "endless-head" => return self.flood(stream, "HTTP/1.1 200 OK\r\n", "x-more: 1\r\n"),
            "endless-field" => return self.flood(stream, "HTTP/1.1 200 OK\r\nx-more: ", "more"),
            "endless-informational" => {
                return self.flood(stream, "", "HTTP/1.1 100 Continue\r\n\r\n");
            }
            "endless-body" => return self.flood(stream, &format!("{signed}\r\n"), body),
            "endless-chunks" => {
                let head = format!("{signed}transfer-encoding: chunked\r\n\r\n");
                return self.flood(stream, &head, "1\r\nx\r\n");
            }
            "endless-chunk-size" => {
                let head = format!("{signed}transfer-encoding: chunked\r\n\r\n");
                return self.flood(stream, &head, "0");
            }
            "endless-chunk-extension" => {
                let head = format!("{signed}transfer-encoding: chunked\r\n\r\n1;x=");
                return self.flood(stream, &head, "x");
            }
            "endless-chunk-sizes" => {
                let head = format!("{signed}transfer-encoding: chunked\r\n\r\n");
                return self.flood(stream, &head, &format!("{}1\r\nx\r\n", "0".repeat(500)));
            }
            "endless-blank-lines" => return self.flood(stream, "", "\r\n"),
            "endless-folding" => {
                return self.flood(stream, "HTTP/1.1 200 OK\r\nx-more: 1\r\n", " more\r\n");
            }
            "endless-trailers" => {
                let head = format!("{signed}transfer-encoding: chunked\r\n\r\n0\r\n");
                return self.flood(stream, &head, "x-more: 1\r\n");
            }
            "endless-garbage" => return self.flood(stream, "", "garbage"),
            "dribbling-body" => return self.dribble(stream, &format!("{signed}\r\n")),
            "slow" => std::thread::sleep(SLOW_DURATION),
            _ => {}
        }
        match step {
            "panic" => {
                write!(stream, "{signed}t-load: panic\r\ncontent-length: {length}\r\n\r\n{body}")?
            }
            "spoiled-load" => write!(
                stream,
                "{signed}t-load: 4294967295,0,6,9e99\r\ncontent-length: {length}\r\n\r\n{body}"
            )?,
            "unsigned" => write!(stream, "{head}content-length: {length}\r\n\r\n{body}")?,
            "other" => write!(
                stream,
                "HTTP/1.1 200 OK\r\nt-id: another\r\nt-signature: s\r\ncontent-length: 0\r\n\r\n"
            )?,
            "unframed" => {
                write!(stream, "{signed}connection: close\r\n\r\n{body}")?;
                return Ok(false);
            }
            "garbage" => {
                write!(stream, "no protocol at all\r\n\r\n")?;
                return Ok(false);
            }
            "extra" => write!(
                stream,
                "{signed}content-length: {length}\r\n\r\n{body}{signed}content-length: 0\r\n\r\n"
            )?,
            "fail" => write!(
                stream,
                "HTTP/1.1 500 Failed\r\nt-id: {id}\r\nt-signature: s-{id}\r\n{limit}content-length: 0\r\n\r\n"
            )?,
            "glued-heads" => {}
            _ => write!(stream, "{signed}content-length: {length}\r\n\r\n{body}")?,
        }
        Ok(true)
    }

    /// Sends `start`, then `part` again and again until the caller disconnects.
    fn flood(&self, stream: &mut TcpStream, start: &str, part: &str) -> std::io::Result<bool> {
        let parts = part.repeat(4_096);
        let mut sent = stream.write_all(start.as_bytes());
        let mut bytes = 0;
        while sent.is_ok() {
            bytes += parts.len();
            sent = stream.write_all(parts.as_bytes());
        }
        let mut record = self.record.lock().expect("record");
        record.flooded = record.flooded.max(bytes);
        record.disconnected += 1;
        Ok(false)
    }

    /// Sends `start`, then single bytes until the caller disconnects.
    fn dribble(&self, stream: &mut TcpStream, start: &str) -> std::io::Result<bool> {
        let mut sent = stream.write_all(start.as_bytes());
        self.record.lock().expect("record").dribbling += usize::from(sent.is_ok());
        while sent.is_ok() {
            std::thread::sleep(HANG_CHECK_INTERVAL);
            sent = stream.write_all(b"x");
        }
        self.record.lock().expect("record").disconnected += 1;
        Ok(false)
    }

    /// Hangs until the caller disconnects, or after 500 checks.
    fn hang(&self, stream: &mut TcpStream) -> std::io::Result<bool> {
        stream.set_read_timeout(Some(HANG_CHECK_INTERVAL))?;
        let mut byte = [0; 1];
        for _ in 0..500 {
            match stream.read(&mut byte) {
                Ok(0) => break,
                Err(cause) if cause.kind() == std::io::ErrorKind::ConnectionReset => break,
                _ => {}
            }
        }
        self.record.lock().expect("record").disconnected += 1;
        Ok(false)
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<InboundRequest>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut header = String::new();
        reader.read_line(&mut header)?;
        match header.trim_end().split_once(':') {
            Some((name, value)) => {
                headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
            None => break,
        }
    }
    let mut request =
        InboundRequest { line: line.trim_end().to_owned(), headers, body: String::new() };
    if !request.is_answered_early() {
        request.body = read_body(reader, &request)?;
    }
    Ok(Some(request))
}

fn read_body(
    reader: &mut BufReader<TcpStream>,
    request: &InboundRequest,
) -> std::io::Result<String> {
    let length = request.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}
