//! Pool of HTTP/1.1 client connections by address.

use crate::body::BodyError;
use crate::error::LinkError;
use crate::memory::ResponseMemory;
use crate::read_meter::{MeteredBody, MeteredStream, ReadMeter};
use crate::response_head::{ResponseIdentity, has_glued_heads, is_final, is_framed};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::ext::on_informational;
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Which connections an exchange may use. A new one is opened if no idle one qualifies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// Any idle connection.
    Pooled,
    /// Only a connection that completed a response within `RECENT_USE_AGE_MAX`. For non-idempotent
    /// requests, since one that has been idle for longer may be unresponsive.
    Recent,
    /// Only a new connection. For non-idempotent requests to a desynchronized server.
    Fresh,
}

/// Weight of a connection that took longer to open than those before.
const CONNECT_TIME_WEIGHT: f64 = 0.1;
/// Time since the last response within which a connection counts as recently used.
pub const RECENT_USE_AGE_MAX: Duration = Duration::from_secs(1);
/// Time by which an idle connection is closed before the server's own keep-alive timeout. It covers
/// the transit time of a request, which the server might otherwise receive after it closed.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Informational (1xx) heads that a server may send before its response.
const INFORMATIONAL_MAX: usize = 8;
/// Longest head of a response, and most bytes read at a time. It bounds the time for which one
/// connection keeps the thread.
const READ_BUFFER_MAX_BYTES: usize = 32 * 1024;
/// Default memory for response bodies, in bytes.
const RESPONSE_MEMORY_DEFAULT: usize = 64 * 1024 * 1024;

/// Settings of a [`LinkPool`], and its builder.
#[derive(Debug, Clone)]
pub struct LinkPoolBuilder {
    connect_timeout: Duration,
    idle_timeout: Duration,
    response_limit: usize,
    connection_limit: usize,
    accepts_unframed: bool,
    identity: Option<HeaderName>,
    memory: ResponseMemory,
}

impl Default for LinkPoolBuilder {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(250),
            idle_timeout: Duration::from_secs(10),
            response_limit: 4 * 1024 * 1024,
            connection_limit: 240,
            accepts_unframed: false,
            identity: None,
            memory: ResponseMemory::new(RESPONSE_MEMORY_DEFAULT),
        }
    }
}

impl LinkPoolBuilder {
    /// Sets the time within which a connection must open.
    pub fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets how long an idle connection is kept. A shorter timeout in the server's `Keep-Alive` header
    /// takes precedence.
    pub fn idle_timeout(mut self, timeout: Duration) -> Self {
        self.idle_timeout = timeout;
        self
    }

    /// Sets the maximum length of a response body in bytes.
    pub fn response_limit(mut self, limit: usize) -> Self {
        self.response_limit = limit;
        self
    }

    /// Sets the memory for all response bodies, until the last copy of their bytes is dropped.
    pub fn memory(mut self, memory: ResponseMemory) -> Self {
        self.memory = memory;
        self
    }

    /// Sets the maximum number of open connections to one address.
    pub fn connection_limit(mut self, limit: usize) -> Self {
        self.connection_limit = limit;
        self
    }

    /// Sets whether a response without length or chunked encoding is complete when the server closes
    /// the connection. A reset is an error in any case.
    pub fn accepts_unframed(mut self, accepts: bool) -> Self {
        self.accepts_unframed = accepts;
        self
    }

    /// Sets the header that names a request and that servers repeat in its response. A response with
    /// another value, or with several, belongs to another request: the exchange fails and its connection
    /// is closed. So does one without a value on a connection that was used before; on a new connection
    /// it is accepted, but the connection is not used again.
    pub fn identity(mut self, header: HeaderName) -> Self {
        self.identity = Some(header);
        self
    }

    /// Creates the pool.
    pub fn build(self) -> LinkPool {
        LinkPool { settings: self, addresses: Arc::default() }
    }
}

/// An open connection that carries one exchange at a time.
struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    meter: ReadMeter,
}

struct IdleConnection {
    connection: OpenConnection,
    last_response_at: Instant,
    idle_timeout: Duration,
}

#[derive(Default)]
struct AddressPool {
    idle: Vec<IdleConnection>,
    /// Number of open connections, in use or idle.
    open: usize,
    /// Connections whose last response came before this time, or whose exchange in progress began
    /// before it, are not reused.
    invalid_before: Option<Instant>,
    /// Time that connections take to open.
    connect_time: Option<Duration>,
}

type AddressMap = HashMap<SocketAddr, AddressPool>;

/// A pool of connections by address. Clones share the connections.
#[derive(Clone)]
pub struct LinkPool {
    settings: LinkPoolBuilder,
    addresses: Arc<Mutex<AddressMap>>,
}

/// Counts one connection as open until the guard is dropped.
struct OpenGuard {
    addresses: Arc<Mutex<AddressMap>>,
    address: SocketAddr,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let mut addresses = lock(&self.addresses);
        if let Some(pool) = addresses.get_mut(&self.address) {
            pool.open = pool.open.saturating_sub(1);
        }
    }
}

fn lock(addresses: &Mutex<AddressMap>) -> MutexGuard<'_, AddressMap> {
    addresses.lock().unwrap_or_else(PoisonError::into_inner)
}

impl LinkPool {
    /// Sends `request` to `address` and reads the complete response before `deadline`. If an idle
    /// connection closes before the request was written, sends it on another one.
    ///
    /// # Errors
    /// [`LinkError`], whose [`send_state`](LinkError::send_state) says whether the request may have
    /// reached the server.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        choice: ConnectionChoice,
        deadline: Instant,
    ) -> Result<Response<Bytes>, LinkError> {
        let started = Instant::now();
        let header = self.settings.identity.as_ref();
        let requested = header.and_then(|name| request.headers().get(name)).cloned();
        let mut request = request;
        loop {
            let idle = self.take_idle(address, choice);
            let is_reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.open(address, deadline).await?,
            };
            connection.meter.begin();
            let meter = connection.meter.clone();
            let flood = detect_flood(&mut request);
            let sent = tokio::time::timeout_at(
                deadline.into(),
                connection.sender.try_send_request(request),
            );
            // The flood may also have exceeded the meter.
            let sent = tokio::select! {
                biased;
                () = flood.notified() => return Err(LinkError::InformationalFlood),
                sent = sent => sent,
            };
            let response = match sent {
                Err(_) => {
                    self.invalidate_before(address, started);
                    return Err(LinkError::ResponseTimeout);
                }
                Ok(Err(mut failure)) => match failure.take_message() {
                    // The connection closed while idle, and the request was not sent.
                    Some(unsent) => {
                        request = unsent;
                        continue;
                    }
                    None => return Err(broken(failure.into_error(), &meter)),
                },
                Ok(Ok(response)) => response,
            };
            if !is_final(response.status()) {
                return Err(LinkError::InvalidStatus(response.status()));
            }
            if has_glued_heads(response.headers()) {
                return Err(LinkError::GluedHeads);
            }
            meter.begin();
            let response = response.map(|body| MeteredBody::new(body, meter.clone()));
            let identity = header.map_or(ResponseIdentity::Same, |name| {
                ResponseIdentity::new(requested.as_ref(), response.headers(), name)
            });
            return match identity {
                ResponseIdentity::Same => {
                    self.read_response(address, connection, response, started, deadline).await
                }
                // No other response can arrive on a connection that served no other request.
                ResponseIdentity::Unnamed if !is_reused => {
                    self.read_last_response(address, response, &meter, started, deadline).await
                }
                ResponseIdentity::Unnamed | ResponseIdentity::Other => {
                    Err(LinkError::OtherResponse)
                }
            };
        }
    }

    async fn read_response(
        &self,
        address: SocketAddr,
        connection: OpenConnection,
        response: Response<MeteredBody<Incoming>>,
        started: Instant,
        deadline: Instant,
    ) -> Result<Response<Bytes>, LinkError> {
        let is_framed = is_framed(&response);
        let meter = connection.meter.clone();
        let response =
            self.read_last_response(address, response, &meter, started, deadline).await?;
        if is_framed {
            let idle_timeout = self.idle_timeout_of(response.headers());
            self.keep_idle(address, connection, started, idle_timeout);
        }
        Ok(response)
    }

    /// Reads the rest of a response without keeping its connection.
    async fn read_last_response(
        &self,
        address: SocketAddr,
        response: Response<MeteredBody<Incoming>>,
        meter: &ReadMeter,
        started: Instant,
        deadline: Instant,
    ) -> Result<Response<Bytes>, LinkError> {
        if !is_framed(&response) && !self.settings.accepts_unframed {
            return Err(LinkError::ResponseUnframed);
        }
        let (parts, body) = response.into_parts();
        let reading = self.settings.memory.read(body, self.settings.response_limit, deadline);
        let body = match tokio::time::timeout_at(deadline.into(), reading).await {
            Err(_) => {
                self.invalidate_before(address, started);
                return Err(LinkError::ResponseTimeout);
            }
            Ok(read) => read.map_err(|cause| body_error(cause, meter))?,
        };
        Ok(Response::from_parts(parts, body))
    }

    /// Removes and returns the most recently used idle connection that `choice` permits.
    fn take_idle(&self, address: SocketAddr, choice: ConnectionChoice) -> Option<OpenConnection> {
        let age_max = match choice {
            ConnectionChoice::Pooled => self.settings.idle_timeout,
            ConnectionChoice::Recent => RECENT_USE_AGE_MAX.min(self.settings.idle_timeout),
            ConnectionChoice::Fresh => return None,
        };
        let mut addresses = lock(&self.addresses);
        let pool = addresses.get_mut(&address)?;
        let invalid_before = pool.invalid_before;
        pool.idle.retain(|idle| {
            !idle.connection.sender.is_closed()
                && idle.last_response_at.elapsed() < idle.idle_timeout
                && invalid_before.is_none_or(|at| idle.last_response_at > at)
        });
        let is_usable = |idle: &IdleConnection| {
            idle.last_response_at.elapsed() < age_max && idle.connection.sender.is_ready()
        };
        let newest = pool.idle.iter().rposition(is_usable)?;
        Some(pool.idle.remove(newest).connection)
    }

    /// Returns how long to keep an idle connection: the timeout in the server's `Keep-Alive` header
    /// less [`KEEP_ALIVE_MARGIN`], but no longer than the pool's setting.
    fn idle_timeout_of(&self, headers: &HeaderMap) -> Duration {
        let announced = headers
            .get("keep-alive")
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.split(',').find_map(|part| part.trim().strip_prefix("timeout=")))
            .and_then(|seconds| seconds.trim().parse().ok())
            .map(|seconds| Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN));
        announced
            .map_or(self.settings.idle_timeout, |timeout| timeout.min(self.settings.idle_timeout))
    }

    fn keep_idle(
        &self,
        address: SocketAddr,
        connection: OpenConnection,
        started: Instant,
        idle_timeout: Duration,
    ) {
        let mut addresses = lock(&self.addresses);
        let pool = addresses.entry(address).or_default();
        let is_invalid = pool.invalid_before.is_some_and(|at| started < at);
        if connection.sender.is_closed() || is_invalid {
            return;
        }
        pool.idle.push(IdleConnection {
            connection,
            last_response_at: Instant::now(),
            idle_timeout,
        });
    }

    /// Prevents reuse of connections that were not used since `started`. An exchange that began then
    /// timed out, so they may be unresponsive too.
    fn invalidate_before(&self, address: SocketAddr, started: Instant) {
        let mut addresses = lock(&self.addresses);
        let pool = addresses.entry(address).or_default();
        pool.invalid_before = pool.invalid_before.max(Some(started));
        pool.idle.retain(|idle| idle.last_response_at > started);
    }

    async fn open(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<OpenConnection, LinkError> {
        let guard = self.count_open(address)?;
        let started = Instant::now();
        let connect_by = deadline.min(started + self.settings.connect_timeout);
        let opening = tokio::time::timeout_at(connect_by.into(), TcpStream::connect(address));
        let stream = match opening.await {
            Err(_) => return Err(LinkError::ConnectTimeout),
            Ok(Err(cause)) => return Err(LinkError::Connect(cause)),
            Ok(Ok(stream)) => stream,
        };
        stream.set_nodelay(true).map_err(LinkError::Connect)?;
        self.record_connect_time(address, started.elapsed());
        let builder = Builder::new().max_buf_size(READ_BUFFER_MAX_BYTES).clone();
        let meter = ReadMeter::for_heads(READ_BUFFER_MAX_BYTES);
        let stream = MeteredStream::new(stream, meter.clone());
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| LinkError::ClosedBeforeRequest)?;
        tokio::spawn(async move {
            // Errors are reported by the exchange. The guard counts the connection as open until here.
            let _ = connection.await;
            drop(guard);
        });
        Ok(OpenConnection { sender, meter })
    }

    fn record_connect_time(&self, address: SocketAddr, took: Duration) {
        let mut addresses = lock(&self.addresses);
        let pool = addresses.entry(address).or_default();
        // Near the shortest of the latest ones: longer ones waited for a processor.
        pool.connect_time = Some(pool.connect_time.map_or(took, |known| {
            took.min(known + took.saturating_sub(known).mul_f64(CONNECT_TIME_WEIGHT))
        }));
    }

    /// Returns the time that connections to an address take to open; `None` if none was opened lately.
    pub fn connect_time(&self, address: SocketAddr) -> Option<Duration> {
        lock(&self.addresses).get(&address)?.connect_time
    }

    fn count_open(&self, address: SocketAddr) -> Result<OpenGuard, LinkError> {
        let mut addresses = lock(&self.addresses);
        let pool = addresses.entry(address).or_default();
        if pool.open >= self.settings.connection_limit {
            return Err(LinkError::ConnectionLimit);
        }
        pool.open += 1;
        Ok(OpenGuard { addresses: Arc::clone(&self.addresses), address })
    }

    /// Returns the number of open connections to all addresses.
    pub fn open_count(&self) -> usize {
        lock(&self.addresses).values().map(|pool| pool.open).sum()
    }

    /// Closes the idle connections to addresses for which `is_wanted` returns false.
    pub fn retain(&self, is_wanted: impl Fn(&SocketAddr) -> bool) {
        lock(&self.addresses).retain(|address, pool| pool.open > 0 || is_wanted(address));
        for (address, pool) in lock(&self.addresses).iter_mut() {
            if !is_wanted(address) {
                pool.idle.clear();
            }
        }
    }

    /// Closes all idle connections.
    pub fn close(self) {
        lock(&self.addresses).clear();
    }
}

/// Returns what is notified once the server has sent more informational heads than it may. Without
/// that the parser would go on with them until the deadline, and little else on this thread would run.
fn detect_flood(request: &mut Request<Full<Bytes>>) -> Arc<Notify> {
    let flood = Arc::new(Notify::new());
    let (notified, heads) = (Arc::clone(&flood), AtomicUsize::new(0));
    on_informational(request, move |_| {
        if heads.fetch_add(1, Ordering::Relaxed) >= INFORMATIONAL_MAX {
            notified.notify_one();
        }
    });
    flood
}

/// Returns the error of an exchange that failed after sending began.
fn broken(cause: hyper::Error, meter: &ReadMeter) -> LinkError {
    if meter.is_exceeded() { LinkError::ResponseOverhead } else { LinkError::Broken(cause) }
}

fn body_error(cause: BodyError<hyper::Error>, meter: &ReadMeter) -> LinkError {
    match cause {
        BodyError::TooLong => LinkError::ResponseTooLong,
        BodyError::BudgetUsedUp => LinkError::ResponseMemory,
        BodyError::Broken(cause) => broken(cause, meter),
    }
}
