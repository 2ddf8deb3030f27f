//! Log lines that explain decisions, as one JSON object a line on the standard output.
//!
//! The volume is bounded: changes of state always pass within a wide bound, failed requests go before
//! ordinary ones, and what was left out is counted. A thread writes, so that a reader that stalls
//! never blocks a request; lines are dropped and counted then.

use model::{ConfigVersion, InstanceName};
use serde::Serialize;
use smol_str::SmolStr;
use std::cell::RefCell;
use std::io::Write;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Bytes that are collected before they go to the writing thread. A pipe takes so many as one piece.
const BATCH_BYTES: usize = 4 * 1024;
/// Batches that wait for the writing thread; more are dropped.
const BATCHES_MAX: usize = 32;
/// Bound for lines on changes of state, as a multiple of the bound for requests.
const STATE_FACTOR: f64 = 2.0;
/// Part of the bound that ordinary requests leave for failed ones.
const FAILURE_RESERVE: f64 = 0.5;
/// Stack of the writing thread, in bytes.
const WRITER_STACK: usize = 64 * 1024;

/// How one request was served.
#[derive(Debug)]
pub(crate) struct RequestLine<'a> {
    pub request: &'a str,
    pub route: &'a str,
    pub service: &'a str,
    pub status: u16,
    pub cause: &'a str,
    pub arrivals: u32,
    pub copies: u32,
    pub waited: Duration,
    pub span: Duration,
    pub left: Duration,
    /// The configuration that selected the route.
    pub version: ConfigVersion,
    /// The last exchange, if there was one.
    pub last: Option<&'a AttemptLine>,
}

/// One exchange with a backend server and what had decided for that server.
#[derive(Debug)]
pub(crate) struct AttemptLine {
    pub server: SmolStr,
    pub occupancy: u32,
    pub slowdown: f64,
    pub report_age: Option<Duration>,
    pub expected: Duration,
    pub span: Duration,
}

#[derive(Serialize)]
struct RequestEntry<'a> {
    at: f64,
    on: &'a str,
    event: &'a str,
    request: &'a str,
    route: &'a str,
    service: &'a str,
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

/// Writes decision lines.
pub(crate) struct DecisionLog {
    name: InstanceName,
    rate: f64,
    buffer: RefCell<LogBuffer>,
    writer: SyncSender<Vec<u8>>,
}

impl DecisionLog {
    /// Starts the writing thread.
    pub fn start(name: InstanceName, lines_per_s: u32) -> Self {
        let (writer, batches) = sync_channel::<Vec<u8>>(BATCHES_MAX);
        let thread = std::thread::Builder::new().name("log".into()).stack_size(WRITER_STACK);
        let started = thread.spawn(move || {
            let mut output = std::io::stdout();
            while let Ok(batch) = batches.recv() {
                // A closed output cannot be reported anywhere else.
                let _ = output.write_all(&batch).and_then(|()| output.flush());
            }
        });
        if let Err(cause) = started {
            eprintln!("no thread for the log: {cause}; log lines are dropped");
        }
        let rate = f64::from(lines_per_s);
        let buffer = LogBuffer {
            bytes: Vec::new(),
            request_tokens: rate,
            state_tokens: rate * STATE_FACTOR,
            refilled: Instant::now(),
            dropped: 0,
        };
        Self { name, rate, buffer: RefCell::new(buffer), writer }
    }

    /// Logs how a request was served.
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
            status: line.status,
            cause: line.cause,
            sent: line.arrivals,
            copies: line.copies,
            waited_ms: line.waited.as_millis(),
            took_ms: line.span.as_millis(),
            left_ms: line.left.as_millis(),
            config: line.version.0,
            server: line.last.map(|last| last.server.as_str()),
            server_had: line.last.map(|last| last.occupancy),
            pace: line.last.map(|last| last.slowdown),
            report_age_ms: line.last.and_then(|last| last.report_age).map(|age| age.as_millis()),
        });
    }

    /// Logs an exchange that failed.
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
            took_ms: line.span.as_millis(),
        });
    }

    /// Logs a request that was not accepted.
    pub fn rejection(&self, request: &str, status: u16, cause: &str, version: ConfigVersion) {
        if !self.admit_request(true) {
            return;
        }
        self.write(&RejectionEntry {
            at: wall_clock(),
            on: self.name.as_str(),
            event: "rejected",
            request,
            status,
            cause,
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

    /// Lines that were left out so far.
    pub fn dropped(&self) -> u64 {
        self.buffer.borrow().dropped
    }

    fn refill(&self, buffer: &mut LogBuffer) {
        let span = buffer.refilled.elapsed().as_secs_f64();
        buffer.refilled = Instant::now();
        buffer.request_tokens = (buffer.request_tokens + span * self.rate).min(self.rate);
        let state_rate = self.rate * STATE_FACTOR;
        buffer.state_tokens = (buffer.state_tokens + span * state_rate).min(state_rate);
    }

    fn admit_request(&self, failed: bool) -> bool {
        let mut buffer = self.buffer.borrow_mut();
        self.refill(&mut buffer);
        let floor = if failed { 0.0 } else { self.rate * FAILURE_RESERVE };
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
            self.hand_over(&mut buffer);
        }
        buffer.bytes.extend_from_slice(&line);
        buffer.bytes.push(b'\n');
    }

    /// Hands what was collected to the writing thread.
    pub fn flush(&self) {
        let mut buffer = self.buffer.borrow_mut();
        if !buffer.bytes.is_empty() {
            self.hand_over(&mut buffer);
        }
    }

    fn hand_over(&self, buffer: &mut LogBuffer) {
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
