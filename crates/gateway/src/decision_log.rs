//! Decision log: one JSON object per line on the standard output.
//!
//! The rate of lines is limited. Changes of state have a higher limit of their own, failed requests
//! take precedence over others, and dropped lines are counted. A separate thread writes, so that a
//! stalled reader never blocks a request; lines are then dropped and counted.

use crate::serve::RequestRejection;
use model::{ConfigVersion, InstanceName, TeamName};
use serde::Serialize;
use smol_str::SmolStr;
use std::cell::RefCell;
use std::io::Write;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Size at which a batch goes to the writer thread, in bytes. A pipe writes up to this size
/// atomically.
const BATCH_BYTES: usize = 4 * 1024;
/// Batches that may wait for the writer thread; more are dropped.
const BATCHES_MAX: usize = 32;
/// Rate limit of lines on changes of state, as a multiple of the one for requests.
const STATE_RATE_FACTOR: f64 = 2.0;
/// Share of the rate limit that is reserved for failed requests.
const FAILURE_RESERVE_SHARE: f64 = 0.5;
/// Stack size of the writer thread, in bytes.
const WRITER_STACK_BYTES: usize = 64 * 1024;

/// Result of one request.
#[derive(Debug)]
pub(crate) struct RequestLine<'a> {
    pub request: &'a str,
    pub route: &'a str,
    pub service: &'a str,
    /// The team of the caller; `None` if the route needs no key.
    pub team: Option<&'a str>,
    pub status: u16,
    pub cause: &'a str,
    pub attempts: u32,
    pub hedges: u32,
    /// Time spent waiting for slots.
    pub waited: Duration,
    pub elapsed: Duration,
    /// Time left to the deadline at the end.
    pub left: Duration,
    /// The configuration that selected the route.
    pub version: ConfigVersion,
    /// The last exchange, if there was one.
    pub last: Option<&'a AttemptLine>,
}

/// One exchange with a backend server, with the load estimates on which the server was chosen.
#[derive(Debug)]
pub(crate) struct AttemptLine {
    pub server: SmolStr,
    pub occupancy: u32,
    pub slowdown: f64,
    pub report_age: Option<Duration>,
    pub expected: Duration,
    /// Pressure in the own data centre, for a server in another one.
    pub away_at_pressure: Option<f64>,
    pub elapsed: Duration,
}

#[derive(Serialize)]
struct RequestEntry<'a> {
    at: f64,
    on: &'a str,
    event: &'a str,
    request: &'a str,
    route: &'a str,
    service: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    team: Option<&'a str>,
    status: u16,
    #[serde(skip_serializing_if = "str::is_empty")]
    cause: &'a str,
    sent: u32,
    copies: u32,
    waited_ms: u128,
    took_ms: u128,
    left_ms: u128,
    config: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    server: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    server_had: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pace: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    report_age_ms: Option<u128>,
    #[serde(skip_serializing_if = "Option::is_none")]
    away_at_pressure: Option<f64>,
}

#[derive(Serialize)]
struct AttemptEntry<'a> {
    at: f64,
    on: &'a str,
    event: &'a str,
    request: &'a str,
    server: &'a str,
    outcome: &'a str,
    server_had: u32,
    pace: f64,
    report_age_ms: Option<u128>,
    expected_ms: u128,
    took_ms: u128,
}

#[derive(Serialize)]
struct RejectionEntry<'a> {
    at: f64,
    on: &'a str,
    event: &'a str,
    request: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    team: Option<&'a str>,
    status: u16,
    cause: &'a str,
    config: u64,
}

#[derive(Serialize)]
struct StateEntry<'a> {
    at: f64,
    on: &'a str,
    event: &'a str,
    detail: &'a str,
}

struct LogBuffer {
    bytes: Vec<u8>,
    request_tokens: f64,
    state_tokens: f64,
    refilled: Instant,
    dropped: u64,
}

/// Writes the decision log.
pub(crate) struct DecisionLog {
    name: InstanceName,
    rate: f64,
    buffer: RefCell<LogBuffer>,
    writer: SyncSender<Vec<u8>>,
}

impl DecisionLog {
    /// Starts the writer thread. `lines_per_s` limits the lines on requests.
    pub fn start(name: InstanceName, lines_per_s: u32) -> Self {
        let (writer, batches) = sync_channel::<Vec<u8>>(BATCHES_MAX);
        let thread = std::thread::Builder::new().name("log".into()).stack_size(WRITER_STACK_BYTES);
        let started = thread.spawn(move || {
            let mut output = std::io::stdout();
            while let Ok(batch) = batches.recv() {
                // There is nowhere else to report a closed output.
                let _ = output.write_all(&batch).and_then(|()| output.flush());
            }
        });
        if let Err(cause) = started {
            eprintln!("cannot start the log thread: {cause}; log lines are dropped");
        }
        let rate = f64::from(lines_per_s);
        let buffer = LogBuffer {
            bytes: Vec::new(),
            request_tokens: rate,
            state_tokens: rate * STATE_RATE_FACTOR,
            refilled: Instant::now(),
            dropped: 0,
        };
        Self { name, rate, buffer: RefCell::new(buffer), writer }
    }

    /// Logs the result of a request.
    pub fn request(&self, line: &RequestLine<'_>) {
        if !self.admit_request(line.status >= 400) {
            return;
        }
        self.write(&RequestEntry {
            at: wall_clock(),
            on: self.name.as_str(),
            event: "request",
            request: line.request,
            route: line.route,
            service: line.service,
            team: line.team,
            status: line.status,
            cause: line.cause,
            sent: line.attempts,
            copies: line.hedges,
            waited_ms: line.waited.as_millis(),
            took_ms: line.elapsed.as_millis(),
            left_ms: line.left.as_millis(),
            config: line.version.0,
            server: line.last.map(|last| last.server.as_str()),
            server_had: line.last.map(|last| last.occupancy),
            pace: line.last.map(|last| last.slowdown),
            report_age_ms: line.last.and_then(|last| last.report_age).map(|age| age.as_millis()),
            away_at_pressure: line.last.and_then(|last| last.away_at_pressure),
        });
    }

    /// Logs a failed exchange.
    pub fn attempt(&self, request: &str, line: &AttemptLine, outcome: &str) {
        if !self.admit_request(true) {
            return;
        }
        self.write(&AttemptEntry {
            at: wall_clock(),
            on: self.name.as_str(),
            event: "attempt_failed",
            request,
            server: &line.server,
            outcome,
            server_had: line.occupancy,
            pace: line.slowdown,
            report_age_ms: line.report_age.map(|age| age.as_millis()),
            expected_ms: line.expected.as_millis(),
            took_ms: line.elapsed.as_millis(),
        });
    }

    /// Logs a rejected request.
    pub fn rejection(&self, request: &str, rejection: &RequestRejection, version: ConfigVersion) {
        if !self.admit_request(true) {
            return;
        }
        self.write(&RejectionEntry {
            at: wall_clock(),
            on: self.name.as_str(),
            event: "rejected",
            request,
            team: rejection.team.as_ref().map(TeamName::as_str),
            status: rejection.status.as_u16(),
            cause: rejection.text,
            config: version.0,
        });
    }

    /// Logs a change of state.
    pub fn state(&self, event: &str, detail: &str) {
        if !self.admit_state() {
            return;
        }
        self.write(&StateEntry { at: wall_clock(), on: self.name.as_str(), event, detail });
    }

    /// Number of lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.buffer.borrow().dropped
    }

    fn refill(&self, buffer: &mut LogBuffer) {
        let elapsed = buffer.refilled.elapsed().as_secs_f64();
        buffer.refilled = Instant::now();
        buffer.request_tokens = (buffer.request_tokens + elapsed * self.rate).min(self.rate);
        let state_rate = self.rate * STATE_RATE_FACTOR;
        buffer.state_tokens = (buffer.state_tokens + elapsed * state_rate).min(state_rate);
    }

    fn admit_request(&self, failed: bool) -> bool {
        let mut buffer = self.buffer.borrow_mut();
        self.refill(&mut buffer);
        let floor = if failed { 0.0 } else { self.rate * FAILURE_RESERVE_SHARE };
        let is_admitted = buffer.request_tokens >= floor + 1.0;
        if is_admitted {
            buffer.request_tokens -= 1.0;
        } else {
            buffer.dropped += 1;
        }
        is_admitted
    }

    fn admit_state(&self) -> bool {
        let mut buffer = self.buffer.borrow_mut();
        self.refill(&mut buffer);
        let is_admitted = buffer.state_tokens >= 1.0;
        if is_admitted {
            buffer.state_tokens -= 1.0;
        } else {
            buffer.dropped += 1;
        }
        is_admitted
    }

    fn write(&self, entry: &impl Serialize) {
        let mut buffer = self.buffer.borrow_mut();
        let Ok(line) = serde_json::to_vec(entry) else {
            buffer.dropped += 1;
            return;
        };
        if !buffer.bytes.is_empty() && buffer.bytes.len() + line.len() >= BATCH_BYTES {
            self.send_batch(&mut buffer);
        }
        buffer.bytes.extend_from_slice(&line);
        buffer.bytes.push(b'\n');
    }

    /// Sends the collected lines to the writer thread.
    pub fn flush(&self) {
        let mut buffer = self.buffer.borrow_mut();
        if !buffer.bytes.is_empty() {
            self.send_batch(&mut buffer);
        }
    }

    fn send_batch(&self, buffer: &mut LogBuffer) {
        let batch = std::mem::take(&mut buffer.bytes);
        if let Err(TrySendError::Full(batch) | TrySendError::Disconnected(batch)) =
            self.writer.try_send(batch)
        {
            buffer.dropped += batch.iter().filter(|byte| **byte == b'\n').count() as u64;
        }
    }
}

fn wall_clock() -> f64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    (since.as_secs_f64() * 1000.0).round() / 1000.0
}
