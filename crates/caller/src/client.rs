//! The client: addresses and tickets kept, calls sent, other instances tried.

use crate::report::{CallEnd, CallReport};
use bytes::Bytes;
use futures::future::{Either, select};
use http::{Method, Request, Response, header};
use http_body_util::Full;
use link::{ConnectionChoice, LinkPool, LinkPoolBuilder, SendState};
use model::wire::{
    ADDRESSES_PATH, AddressAnswer, CALL_PATH, CALLER_HEADER, DEADLINE_HEADER, REQUEST_HEADER,
    TICKET_HEADER, TICKETS_PATH, TicketAnswer, TicketState,
};
use model::{CallerName, ServiceName};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How long one instance may take to answer a question about addresses or tickets.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);
/// How long an instance may answer nothing before a call is also tried at another.
const SILENCE_SPAN: Duration = Duration::from_millis(250);
/// Time beyond its deadline in which an instance can still say how a call ended.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// Tickets taken at once.
const TICKET_BATCH: u32 = 8;
/// Tickets are not used in the last part of their validity.
const TICKET_MARGIN: Duration = Duration::from_secs(5);
/// Pause between tries at a call that must reach its owner.
const TRY_PAUSE: Duration = Duration::from_millis(20);

/// No instance could be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoInstanceError;

impl fmt::Display for NoInstanceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no instance answers")
    }
}

impl std::error::Error for NoInstanceError {}

struct KeptAddresses {
    addresses: Vec<SocketAddr>,
    until: Instant,
}

struct KeptTicket {
    ticket: SmolStr,
    until: Instant,
}

#[derive(Default)]
struct KeptAnswers {
    addresses: HashMap<ServiceName, KeptAddresses>,
    tickets: HashMap<ServiceName, Vec<KeptTicket>>,
    /// Instances that did not answer a moment ago go last.
    failed: HashMap<SocketAddr, Instant>,
    /// When an instance last answered a call.
    heard: HashMap<SocketAddr, Instant>,
}

/// How long an instance that did not answer is tried last.
const FAILED_SPAN: Duration = Duration::from_secs(2);

/// Calls services on behalf of one caller.
pub struct CallerClient {
    name: CallerName,
    bootstrap: Vec<SocketAddr>,
    pool: LinkPool,
    kept: Mutex<KeptAnswers>,
}

/// Why a try at one instance failed.
enum TryError {
    /// The path or an id has characters that no request may hold.
    BadRequest,
    /// The exchange failed.
    Link(SendState),
}

struct CallParts<'a> {
    service: &'a ServiceName,
    method: Method,
    path: &'a str,
    body: Bytes,
    request: Option<SmolStr>,
    ticket: Option<SmolStr>,
}

impl CallerClient {
    /// Asks the instances at `bootstrap` for addresses.
    pub fn new(name: CallerName, bootstrap: Vec<SocketAddr>) -> Self {
        let pool = LinkPoolBuilder::default().connection_limit(1_024).build();
        Self { name, bootstrap, pool, kept: Mutex::default() }
    }

    /// Sends idempotent work; another instance is tried when one does not answer.
    pub async fn lookup(
        &self,
        service: &ServiceName,
        path: &str,
        request: Option<SmolStr>,
        allowed: Duration,
    ) -> CallReport {
        let body = Bytes::new();
        let parts = CallParts { service, method: Method::GET, path, body, request, ticket: None };
        let started = Instant::now();
        self.call_hedged(&parts, started, started + allowed).await.report(started, None)
    }

    /// Sends work that must not repeat, under a ticket.
    ///
    /// The same ticket goes to further instances when one does not answer; only its owner runs it.
    pub async fn book(
        &self,
        service: &ServiceName,
        path: &str,
        body: Bytes,
        allowed: Duration,
    ) -> CallReport {
        let started = Instant::now();
        let deadline = started + allowed;
        let mut tries = 0;
        while Instant::now() < deadline {
            let Some(ticket) = self.take_ticket(service).await else {
                tokio::time::sleep(TRY_PAUSE).await;
                continue;
            };
            let parts = CallParts {
                service,
                method: Method::POST,
                path,
                body: body.clone(),
                request: None,
                ticket: Some(ticket.clone()),
            };
            let mut end = self.call_hedged(&parts, started, deadline).await;
            end.tries += tries;
            if end.answer.is_some() || end.may_have_run || end.is_bad {
                return end.report(started, Some(ticket));
            }
            // No byte of a request with this ticket was written, so another one is safe.
            tries = end.tries;
            self.drop_tickets(service);
        }
        CallEnd { tries, ..CallEnd::default() }.report(started, None)
    }

    /// Calls by the first address; when that seems silent, also by the second. The first try is not
    /// cut off, since the request may only be a straggler.
    async fn call_hedged(
        &self,
        parts: &CallParts<'_>,
        started: Instant,
        deadline: Instant,
    ) -> CallEnd {
        let half = started + deadline.saturating_duration_since(started) / 2;
        let mut first = pin!(self.call_in_order(parts, 0, deadline));
        for due in [half.min(started + SILENCE_SPAN), half] {
            if let Ok(end) = tokio::time::timeout_at(due.into(), &mut first).await {
                return end;
            }
            if self.is_first_silent(parts.service, started).await {
                break;
            }
        }
        if !self.is_first_silent(parts.service, started).await {
            // The instance is busy and not silent; another one would only add to its work.
            return first.await;
        }
        // Kept tickets may be those of the silent instance, which cannot run them now.
        self.drop_tickets(parts.service);
        let second = pin!(self.call_in_order(parts, 1, deadline));
        match select(first, second).await {
            Either::Left((end, _)) | Either::Right((end, _)) if end.is_final() => end,
            Either::Left((end, other)) => end.merge(other.await),
            Either::Right((end, other)) => end.merge(other.await),
        }
    }

    /// Whether the first address of a service has answered nothing since `started`.
    async fn is_first_silent(&self, service: &ServiceName, started: Instant) -> bool {
        let addresses = self.addresses(service).await;
        let Some(first) = addresses.first() else {
            return true;
        };
        self.lock().heard.get(first).is_none_or(|heard| *heard < started)
    }

    /// Tries the addresses in order, beginning at `first`, until an instance answers, the deadline
    /// passes, or the first try of a ticket proves that it was never sent.
    async fn call_in_order(
        &self,
        parts: &CallParts<'_>,
        first: usize,
        deadline: Instant,
    ) -> CallEnd {
        let mut end = CallEnd::default();
        while Instant::now() < deadline {
            let mut addresses = self.addresses(parts.service).await;
            let turn = first.checked_rem(addresses.len()).unwrap_or_default();
            addresses.rotate_left(turn);
            for address in addresses {
                if Instant::now() >= deadline {
                    return end;
                }
                end.tries += 1;
                match self.try_call(parts, address, deadline).await {
                    Ok(answer) => {
                        end.answer = Some(answer);
                        return end;
                    }
                    // No address would take it.
                    Err(TryError::BadRequest) => {
                        end.is_bad = true;
                        return end;
                    }
                    Err(TryError::Link(send_state)) => {
                        end.may_have_run |= send_state == SendState::MaybeSent;
                    }
                }
                if parts.ticket.is_some() && !end.may_have_run {
                    return end;
                }
            }
            self.forget_addresses(parts.service);
            tokio::time::sleep(TRY_PAUSE).await;
        }
        end
    }

    /// How a ticket ended or stands, asked at any instance.
    ///
    /// # Errors
    /// No instance answered.
    pub async fn ticket_state(
        &self,
        service: &ServiceName,
        ticket: &str,
    ) -> Result<TicketState, NoInstanceError> {
        let path = format_smolstr!("{TICKETS_PATH}/{ticket}");
        for address in self.addresses(service).await {
            if let Some(answer) = self.ask(Method::GET, address, &path).await
                && let Ok(state) = serde_json::from_slice(answer.body())
            {
                return Ok(state);
            }
        }
        Err(NoInstanceError)
    }

    /// The addresses to use for a service, in order, kept as long as the answer allows.
    pub async fn addresses(&self, service: &ServiceName) -> Vec<SocketAddr> {
        let now = Instant::now();
        let kept = self
            .lock()
            .addresses
            .get(service)
            .filter(|kept| now < kept.until)
            .map(|kept| kept.addresses.clone());
        let mut addresses = match kept {
            Some(addresses) => addresses,
            None => self.ask_addresses(service).await,
        };
        let kept = self.lock();
        addresses.sort_by_key(|address| kept.failed.get(address).is_some_and(|until| now < *until));
        addresses
    }

    async fn ask_addresses(&self, service: &ServiceName) -> Vec<SocketAddr> {
        let path = format_smolstr!("{ADDRESSES_PATH}/{service}");
        let mut instances = self.bootstrap.clone();
        {
            let kept = self.lock();
            let now = Instant::now();
            instances.sort_by_key(|at| kept.failed.get(at).is_some_and(|until| now < *until));
        }
        for instance in instances {
            let Some(answer) = self.ask(Method::GET, instance, &path).await else {
                self.note_failed(instance);
                continue;
            };
            let Ok(answer) = serde_json::from_slice::<AddressAnswer>(answer.body()) else {
                continue;
            };
            let until = Instant::now() + answer.keep_ms.duration();
            let addresses = answer.addresses;
            let kept = KeptAddresses { addresses: addresses.clone(), until };
            self.lock().addresses.insert(service.clone(), kept);
            return addresses;
        }
        Vec::new()
    }

    async fn take_ticket(&self, service: &ServiceName) -> Option<SmolStr> {
        let now = Instant::now();
        if let Some(tickets) = self.lock().tickets.get_mut(service) {
            tickets.retain(|kept| now < kept.until);
            if let Some(kept) = tickets.pop() {
                return Some(kept.ticket);
            }
        }
        let path = format_smolstr!("{TICKETS_PATH}/{service}?count={TICKET_BATCH}");
        for address in self.addresses(service).await {
            let Some(answer) = self.ask(Method::POST, address, &path).await else {
                self.note_failed(address);
                continue;
            };
            let Ok(answer) = serde_json::from_slice::<TicketAnswer>(answer.body()) else {
                continue;
            };
            let until = now + answer.valid_ms.duration().saturating_sub(TICKET_MARGIN);
            let mut tickets: Vec<KeptTicket> =
                answer.tickets.into_iter().map(|ticket| KeptTicket { ticket, until }).collect();
            let first = tickets.pop();
            self.lock().tickets.entry(service.clone()).or_default().append(&mut tickets);
            return first.map(|kept| kept.ticket);
        }
        self.forget_addresses(service);
        None
    }

    /// Asks an instance; gives none if it does not answer or if `path` is no valid one.
    async fn ask(
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
        let deadline = Instant::now() + ASK_TIMEOUT;
        self.pool.exchange(address, request, ConnectionChoice::Pooled, deadline).await.ok()
    }

    fn request(
        &self,
        parts: &CallParts<'_>,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let left = deadline.saturating_duration_since(Instant::now());
        let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1);
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

    async fn try_call(
        &self,
        parts: &CallParts<'_>,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Response<Bytes>, TryError> {
        let request = self.request(parts, address, deadline).map_err(|_| TryError::BadRequest)?;
        let choice = match parts.ticket {
            Some(_) => ConnectionChoice::Recent,
            None => ConnectionChoice::Pooled,
        };
        let until = deadline + ANSWER_MARGIN;
        let result = self.pool.exchange(address, request, choice, until).await;
        match &result {
            Ok(_) => {
                self.lock().heard.insert(address, Instant::now());
            }
            Err(_) => self.note_failed(address),
        }
        result.map_err(|cause| TryError::Link(cause.send_state()))
    }

    fn note_failed(&self, address: SocketAddr) {
        self.lock().failed.insert(address, Instant::now() + FAILED_SPAN);
    }

    fn forget_addresses(&self, service: &ServiceName) {
        self.lock().addresses.remove(service);
    }

    fn drop_tickets(&self, service: &ServiceName) {
        self.lock().tickets.remove(service);
    }

    fn lock(&self) -> MutexGuard<'_, KeptAnswers> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes all connections.
    pub fn close(self) {
        self.pool.close();
    }
}
