//! Client that caches addresses and tickets, sends requests and fails over between instances.

use crate::report::{CallOutcome, CallReport};
use bytes::Bytes;
use futures::future::{Either, select};
use http::{Method, Request, Response, header};
use http_body_util::Full;
use link::{ConnectionChoice, LinkPool, LinkPoolBuilder, SendState};
use model::wire::{
    ADDRESSES_PATH, AddressResponse, CALL_PATH, CALLER_HEADER, DEADLINE_HEADER, REQUEST_HEADER,
    TICKET_HEADER, TICKETS_PATH, TicketResponse, TicketState,
};
use model::{CallerName, ServiceName};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time within which an instance must respond to a query for addresses or tickets.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without any response from an instance after which a request is also sent to another.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after the deadline within which an instance may still report the outcome of a request.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);
/// Number of tickets fetched with one query.
const TICKET_BATCH_SIZE: u32 = 8;
/// Tickets are not used in this last part of their validity.
const TICKET_MARGIN: Duration = Duration::from_secs(5);
/// Delay before all addresses are tried again, or before tickets are queried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// No instance responded to a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoInstanceError;

impl fmt::Display for NoInstanceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no instance responded")
    }
}

impl std::error::Error for NoInstanceError {}

struct CachedAddresses {
    addresses: Vec<SocketAddr>,
    expires: Instant,
}

struct CachedTicket {
    ticket: SmolStr,
    expires: Instant,
}

#[derive(Default)]
struct ClientCache {
    addresses: HashMap<ServiceName, CachedAddresses>,
    tickets: HashMap<ServiceName, Vec<CachedTicket>>,
    /// Time until which an instance that failed is tried last.
    failed_until: HashMap<SocketAddr, Instant>,
    /// When an instance last responded to a request.
    last_response: HashMap<SocketAddr, Instant>,
}

/// Time for which an instance that failed is tried last.
const FAILED_TTL: Duration = Duration::from_secs(2);

/// Sends the requests of one caller to services, by way of the instances.
pub struct CallerClient {
    name: CallerName,
    bootstrap: Vec<SocketAddr>,
    pool: LinkPool,
    cache: Mutex<ClientCache>,
}

/// Why an attempt at one instance failed.
enum AttemptError {
    /// The path or an id has characters that are not valid in a request.
    InvalidRequest,
    /// The exchange failed; the state says whether bytes were sent.
    Link(SendState),
}

struct RequestParts<'a> {
    service: &'a ServiceName,
    method: Method,
    path: &'a str,
    body: Bytes,
    request: Option<SmolStr>,
    ticket: Option<SmolStr>,
}

impl CallerClient {
    /// Creates a client that queries the instances at `bootstrap` for addresses.
    pub fn new(name: CallerName, bootstrap: Vec<SocketAddr>) -> Self {
        let pool = LinkPoolBuilder::default().connection_limit(1_024).build();
        Self { name, bootstrap, pool, cache: Mutex::default() }
    }

    /// Sends idempotent work. Fails over to another instance when one doesn't respond.
    ///
    /// `request` is the id that the request carries; `allowed` is the time until its deadline.
    pub async fn lookup(
        &self,
        service: &ServiceName,
        path: &str,
        request: Option<SmolStr>,
        allowed: Duration,
    ) -> CallReport {
        let body = Bytes::new();
        let parts =
            RequestParts { service, method: Method::GET, path, body, request, ticket: None };
        let started = Instant::now();
        self.send_hedged(&parts, started, started + allowed).await.report(started, None)
    }

    /// Sends non-idempotent work under a ticket.
    ///
    /// The same ticket is sent to other instances when one doesn't respond; only the owner of the
    /// ticket runs the request. `allowed` is the time until the deadline.
    pub async fn book(
        &self,
        service: &ServiceName,
        path: &str,
        body: Bytes,
        allowed: Duration,
    ) -> CallReport {
        let started = Instant::now();
        let deadline = started + allowed;
        let mut attempts = 0;
        while Instant::now() < deadline {
            let Some(ticket) = self.take_ticket(service).await else {
                tokio::time::sleep(RETRY_INTERVAL).await;
                continue;
            };
            let parts = RequestParts {
                service,
                method: Method::POST,
                path,
                body: body.clone(),
                request: None,
                ticket: Some(ticket.clone()),
            };
            let mut outcome = self.send_hedged(&parts, started, deadline).await;
            outcome.attempts += attempts;
            if outcome.response.is_some() || outcome.may_have_run || outcome.is_invalid {
                return outcome.report(started, Some(ticket));
            }
            // No byte of a request with this ticket was written, so using another one is safe.
            attempts = outcome.attempts;
            self.evict_tickets(service);
        }
        CallOutcome { attempts, ..CallOutcome::default() }.report(started, None)
    }

    /// Sends the request to the first address and, if that instance seems unresponsive, also to the
    /// second. The first attempt is not cancelled, since the request may just be a straggler.
    async fn send_hedged(
        &self,
        parts: &RequestParts<'_>,
        started: Instant,
        deadline: Instant,
    ) -> CallOutcome {
        let halfway = started + deadline.saturating_duration_since(started) / 2;
        let mut first = pin!(self.send_in_order(parts, 0, deadline));
        for check_at in [halfway.min(started + UNRESPONSIVE_TIMEOUT), halfway] {
            if let Ok(outcome) = tokio::time::timeout_at(check_at.into(), &mut first).await {
                return outcome;
            }
            if self.is_first_unresponsive(parts.service, started).await {
                break;
            }
        }
        if !self.is_first_unresponsive(parts.service, started).await {
            // The instance is busy but responsive; a second attempt would only add to its load.
            return first.await;
        }
        // The unresponsive instance may be the owner of the cached tickets and can't run them now.
        self.evict_tickets(parts.service);
        let second = pin!(self.send_in_order(parts, 1, deadline));
        match select(first, second).await {
            Either::Left((outcome, _)) | Either::Right((outcome, _)) if outcome.is_final() => {
                outcome
            }
            Either::Left((outcome, other)) => outcome.merge(other.await),
            Either::Right((outcome, other)) => outcome.merge(other.await),
        }
    }

    /// Whether the first address of a service has responded to no request since `started`.
    async fn is_first_unresponsive(&self, service: &ServiceName, started: Instant) -> bool {
        let addresses = self.addresses(service).await;
        let Some(first) = addresses.first() else {
            return true;
        };
        self.lock().last_response.get(first).is_none_or(|responded| *responded < started)
    }

    /// Tries the addresses in order, beginning at `first_index`, until an instance responds or the
    /// deadline passes. With a ticket, also returns after a failed attempt as long as no byte of the
    /// request was written, so that another ticket can be used.
    async fn send_in_order(
        &self,
        parts: &RequestParts<'_>,
        first_index: usize,
        deadline: Instant,
    ) -> CallOutcome {
        let mut outcome = CallOutcome::default();
        while Instant::now() < deadline {
            let mut addresses = self.addresses(parts.service).await;
            let start = first_index.checked_rem(addresses.len()).unwrap_or_default();
            addresses.rotate_left(start);
            for address in addresses {
                if Instant::now() >= deadline {
                    return outcome;
                }
                outcome.attempts += 1;
                match self.attempt(parts, address, deadline).await {
                    Ok(response) => {
                        outcome.response = Some(response);
                        return outcome;
                    }
                    // The request is invalid for every address.
                    Err(AttemptError::InvalidRequest) => {
                        outcome.is_invalid = true;
                        return outcome;
                    }
                    Err(AttemptError::Link(send_state)) => {
                        outcome.may_have_run |= send_state == SendState::MaybeSent;
                    }
                }
                if parts.ticket.is_some() && !outcome.may_have_run {
                    return outcome;
                }
            }
            self.evict_addresses(parts.service);
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        outcome
    }

    /// Queries the state of a ticket from the first instance that responds.
    ///
    /// # Errors
    /// No instance responded with the state of a ticket.
    pub async fn ticket_state(
        &self,
        service: &ServiceName,
        ticket: &str,
    ) -> Result<TicketState, NoInstanceError> {
        let path = format_smolstr!("{TICKETS_PATH}/{ticket}");
        for address in self.addresses(service).await {
            if let Some(response) = self.query(Method::GET, address, &path).await
                && let Ok(state) = serde_json::from_slice(response.body())
            {
                return Ok(state);
            }
        }
        Err(NoInstanceError)
    }

    /// Returns the addresses for a service in the order in which to try them: from the cache, or
    /// from a query if the TTL of the last response expired. Empty if no instance responded.
    pub async fn addresses(&self, service: &ServiceName) -> Vec<SocketAddr> {
        let now = Instant::now();
        let cached = self
            .lock()
            .addresses
            .get(service)
            .filter(|cached| now < cached.expires)
            .map(|cached| cached.addresses.clone());
        let mut addresses = match cached {
            Some(addresses) => addresses,
            None => self.query_addresses(service).await,
        };
        let cache = self.lock();
        addresses.sort_by_key(|address| {
            cache.failed_until.get(address).is_some_and(|until| now < *until)
        });
        addresses
    }

    async fn query_addresses(&self, service: &ServiceName) -> Vec<SocketAddr> {
        let path = format_smolstr!("{ADDRESSES_PATH}/{service}");
        let mut instances = self.bootstrap.clone();
        {
            let cache = self.lock();
            let now = Instant::now();
            instances.sort_by_key(|address| {
                cache.failed_until.get(address).is_some_and(|until| now < *until)
            });
        }
        for instance in instances {
            let Some(response) = self.query(Method::GET, instance, &path).await else {
                self.record_failure(instance);
                continue;
            };
            let Ok(response) = serde_json::from_slice::<AddressResponse>(response.body()) else {
                continue;
            };
            let expires = Instant::now() + response.keep_ms.duration();
            let addresses = response.addresses;
            let cached = CachedAddresses { addresses: addresses.clone(), expires };
            self.lock().addresses.insert(service.clone(), cached);
            return addresses;
        }
        Vec::new()
    }

    async fn take_ticket(&self, service: &ServiceName) -> Option<SmolStr> {
        let now = Instant::now();
        if let Some(tickets) = self.lock().tickets.get_mut(service) {
            tickets.retain(|cached| now < cached.expires);
            if let Some(cached) = tickets.pop() {
                return Some(cached.ticket);
            }
        }
        let path = format_smolstr!("{TICKETS_PATH}/{service}?count={TICKET_BATCH_SIZE}");
        for address in self.addresses(service).await {
            let Some(response) = self.query(Method::POST, address, &path).await else {
                self.record_failure(address);
                continue;
            };
            let Ok(response) = serde_json::from_slice::<TicketResponse>(response.body()) else {
                continue;
            };
            let expires = now + response.valid_ms.duration().saturating_sub(TICKET_MARGIN);
            let mut tickets: Vec<CachedTicket> = response
                .tickets
                .into_iter()
                .map(|ticket| CachedTicket { ticket, expires })
                .collect();
            let first = tickets.pop();
            self.lock().tickets.entry(service.clone()).or_default().append(&mut tickets);
            return first.map(|cached| cached.ticket);
        }
        self.evict_addresses(service);
        None
    }

    /// Sends a query to an instance. Returns `None` if it doesn't respond or `path` is invalid.
    async fn query(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
    ) -> Option<Response<Bytes>> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, address.to_smolstr().as_str())
            .header(CALLER_HEADER, self.name.as_str())
            .body(Full::default())
            .ok()?;
        let deadline = Instant::now() + QUERY_TIMEOUT;
        self.pool.exchange(address, request, ConnectionChoice::Pooled, deadline).await.ok()
    }

    fn request(
        &self,
        parts: &RequestParts<'_>,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX).max(1);
        let mut builder = Request::builder()
            .method(parts.method.clone())
            .uri(format!("{CALL_PATH}/{}{}", parts.service, parts.path))
            .header(header::HOST, address.to_smolstr().as_str())
            .header(CALLER_HEADER, self.name.as_str())
            .header(DEADLINE_HEADER, millis);
        if let Some(request) = &parts.request {
            builder = builder.header(REQUEST_HEADER, request.as_str());
        }
        if let Some(ticket) = &parts.ticket {
            builder = builder.header(TICKET_HEADER, ticket.as_str());
        }
        builder.body(Full::new(parts.body.clone()))
    }

    async fn attempt(
        &self,
        parts: &RequestParts<'_>,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Response<Bytes>, AttemptError> {
        let request =
            self.request(parts, address, deadline).map_err(|_| AttemptError::InvalidRequest)?;
        let choice = match parts.ticket {
            Some(_) => ConnectionChoice::Recent,
            None => ConnectionChoice::Pooled,
        };
        let response_deadline = deadline + RESPONSE_MARGIN;
        let result = self.pool.exchange(address, request, choice, response_deadline).await;
        match &result {
            Ok(_) => {
                self.lock().last_response.insert(address, Instant::now());
            }
            Err(_) => self.record_failure(address),
        }
        result.map_err(|cause| AttemptError::Link(cause.send_state()))
    }

    fn record_failure(&self, address: SocketAddr) {
        self.lock().failed_until.insert(address, Instant::now() + FAILED_TTL);
    }

    fn evict_addresses(&self, service: &ServiceName) {
        self.lock().addresses.remove(service);
    }

    fn evict_tickets(&self, service: &ServiceName) {
        self.lock().tickets.remove(service);
    }

    fn lock(&self) -> MutexGuard<'_, ClientCache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes all connections to the instances.
    pub fn close(self) {
        self.pool.close();
    }
}
