//! Pools of HTTP/1.1 connections by address.

use crate::error::LinkError;
use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Which connections an exchange may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// Any idle connection.
    Pooled,
    /// Only a connection that carried an answer within [`RECENT_USE_MAX_AGE`], else a new one. For
    /// requests that must not repeat: an older one may have gone silent.
    Recent,
    /// Only a new connection. For requests that must not repeat to a server that sent stray bytes.
    Fresh,
}

/// How long after an answer a connection counts as recently used.
pub const RECENT_USE_MAX_AGE: Duration = Duration::from_secs(1);
/// How long before the other end's own limit an idle connection is given up.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Builds a [`LinkPool`].
#[derive(Debug, Clone)]
pub struct LinkPoolBuilder {
    connect_timeout: Duration,
    idle_timeout: Duration,
    response_limit: usize,
    connection_limit: usize,
    accepts_unframed: bool,
}

impl Default for LinkPoolBuilder {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(250),
            idle_timeout: Duration::from_secs(10),
            response_limit: 4 * 1024 * 1024,
            connection_limit: 240,
            accepts_unframed: false,
        }
    }
}

impl LinkPoolBuilder {
    /// Sets how long a connection may take to open.
    pub fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets how long an idle connection is kept.
    pub fn idle_timeout(mut self, timeout: Duration) -> Self {
        self.idle_timeout = timeout;
        self
    }

    /// Sets the longest accepted answer body, in bytes.
    pub fn response_limit(mut self, limit: usize) -> Self {
        self.response_limit = limit;
        self
    }

    /// Sets how many connections to one address may be open.
    pub fn connection_limit(mut self, limit: usize) -> Self {
        self.connection_limit = limit;
        self
    }

    /// Sets whether an answer without length that ends with its connection counts as whole. A reset
    /// still counts as broken.
    pub fn accepts_unframed(mut self, accepts: bool) -> Self {
        self.accepts_unframed = accepts;
        self
    }

    /// Finishes the pool.
    pub fn build(self) -> LinkPool {
        LinkPool { settings: self, addresses: Arc::default() }
    }
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    last_answer: Instant,
    idle_timeout: Duration,
}

#[derive(Default)]
struct AddressPool {
    idle: Vec<IdleConnection>,
    open: usize,
    /// Connections opened before this instant are not reused.
    suspect_before: Option<Instant>,
}

type AddressMap = HashMap<SocketAddr, AddressPool>;

/// Pools of connections by address.
#[derive(Clone)]
pub struct LinkPool {
    settings: LinkPoolBuilder,
    addresses: Arc<Mutex<AddressMap>>,
}

/// Counts an open connection until it is dropped.
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
    /// Sends `request` to `address` and reads the whole answer before `deadline`.
    ///
    /// # Errors
    /// [`LinkError`], whose [`send_state`](LinkError::send_state) says whether the request may have arrived.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        choice: ConnectionChoice,
        deadline: Instant,
    ) -> Result<Response<Bytes>, LinkError> {
        let started = Instant::now();
        let mut request = request;
        loop {
            let mut sender = match self.take_idle(address, choice) {
                Some(sender) => sender,
                None => self.open(address, deadline).await?,
            };
            let sent = sender.try_send_request(request);
            let response = match tokio::time::timeout_at(deadline.into(), sent).await {
                Err(_) => {
                    self.suspect(address, started);
                    return Err(LinkError::ResponseTimeout);
                }
                Ok(Err(mut failure)) => match failure.take_message() {
                    // The connection closed while idle: the request comes back unsent.
                    Some(unsent) => {
                        request = unsent;
                        continue;
                    }
                    None => return Err(LinkError::Broken(failure.into_error())),
                },
                Ok(Ok(response)) => response,
            };
            return self.read_answer(address, sender, response, started, deadline).await;
        }
    }

    async fn read_answer(
        &self,
        address: SocketAddr,
        sender: SendRequest<Full<Bytes>>,
        response: Response<Incoming>,
        started: Instant,
        deadline: Instant,
    ) -> Result<Response<Bytes>, LinkError> {
        let (parts, body) = response.into_parts();
        let framed = body.size_hint().exact().is_some()
            || parts.headers.contains_key(header::TRANSFER_ENCODING);
        if !framed && !self.settings.accepts_unframed {
            return Err(LinkError::ResponseUnframed);
        }
        let limited = Limited::new(body, self.settings.response_limit).collect();
        let body = match tokio::time::timeout_at(deadline.into(), limited).await {
            Err(_) => {
                self.suspect(address, started);
                return Err(LinkError::ResponseTimeout);
            }
            Ok(Err(cause)) => return Err(body_error(cause)),
            Ok(Ok(collected)) => collected.to_bytes(),
        };
        if framed {
            let idle_timeout = self.idle_timeout_of(&parts.headers);
            self.keep_idle(address, sender, started, idle_timeout);
        }
        Ok(Response::from_parts(parts, body))
    }

    fn take_idle(
        &self,
        address: SocketAddr,
        choice: ConnectionChoice,
    ) -> Option<SendRequest<Full<Bytes>>> {
        let span = match choice {
            ConnectionChoice::Pooled => self.settings.idle_timeout,
            ConnectionChoice::Recent => RECENT_USE_MAX_AGE.min(self.settings.idle_timeout),
            ConnectionChoice::Fresh => return None,
        };
        let mut addresses = lock(&self.addresses);
        let pool = addresses.get_mut(&address)?;
        let suspect_before = pool.suspect_before;
        pool.idle.retain(|idle| {
            !idle.sender.is_closed()
                && idle.last_answer.elapsed() < idle.idle_timeout
                && suspect_before.is_none_or(|at| idle.last_answer > at)
        });
        let is_usable =
            |idle: &IdleConnection| idle.last_answer.elapsed() < span && idle.sender.is_ready();
        let newest = pool.idle.iter().rposition(is_usable)?;
        Some(pool.idle.remove(newest).sender)
    }

    /// How long the other end keeps an idle connection, less a margin for what is on its way.
    fn idle_timeout_of(&self, headers: &HeaderMap) -> Duration {
        let told = headers
            .get("keep-alive")
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.split(',').find_map(|part| part.trim().strip_prefix("timeout=")))
            .and_then(|seconds| seconds.trim().parse().ok())
            .map(|seconds| Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN));
        told.map_or(self.settings.idle_timeout, |span| span.min(self.settings.idle_timeout))
    }

    fn keep_idle(
        &self,
        address: SocketAddr,
        sender: SendRequest<Full<Bytes>>,
        started: Instant,
        idle_timeout: Duration,
    ) {
        let mut addresses = lock(&self.addresses);
        let pool = addresses.entry(address).or_default();
        let suspected = pool.suspect_before.is_some_and(|at| started < at);
        if sender.is_closed() || suspected {
            return;
        }
        pool.idle.push(IdleConnection { sender, last_answer: Instant::now(), idle_timeout });
    }

    /// Stops reuse of the connections whose last answer came before `started`, since one that
    /// carried a request after that went silent.
    fn suspect(&self, address: SocketAddr, started: Instant) {
        let mut addresses = lock(&self.addresses);
        let pool = addresses.entry(address).or_default();
        pool.suspect_before = pool.suspect_before.max(Some(started));
        pool.idle.retain(|idle| idle.last_answer > started);
    }

    async fn open(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<SendRequest<Full<Bytes>>, LinkError> {
        let guard = self.count_open(address)?;
        let connect_by = deadline.min(Instant::now() + self.settings.connect_timeout);
        let opening = tokio::time::timeout_at(connect_by.into(), TcpStream::connect(address));
        let stream = match opening.await {
            Err(_) => return Err(LinkError::ConnectTimeout),
            Ok(Err(cause)) => return Err(LinkError::Connect(cause)),
            Ok(Ok(stream)) => stream,
        };
        stream.set_nodelay(true).map_err(LinkError::Connect)?;
        let handshake = Builder::new().handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| LinkError::ClosedBefore)?;
        tokio::spawn(async move {
            // The exchange reports its own error; the connection's end only frees its place.
            let _ = connection.await;
            drop(guard);
        });
        Ok(sender)
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

    /// Open connections to all addresses.
    pub fn open_count(&self) -> usize {
        lock(&self.addresses).values().map(|pool| pool.open).sum()
    }

    /// Closes idle connections to addresses that are not wanted any more.
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

fn body_error(cause: Box<dyn std::error::Error + Send + Sync>) -> LinkError {
    match cause.downcast::<hyper::Error>() {
        Ok(cause) => LinkError::Broken(*cause),
        Err(cause) if cause.is::<LengthLimitError>() => LinkError::ResponseTooLong,
        Err(_) => LinkError::ResponseUnframed,
    }
}
