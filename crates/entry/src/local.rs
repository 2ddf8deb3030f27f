//! Runs a request on a backend server that this instance chooses.

use crate::headers::{add_headers, end_to_end};
use crate::response::{RequestRefusal, unknown_response};
use crate::service::{ServiceRuntime, SlotGuard, SlotRequest};
use crate::traffic::{TrafficState, lock};
use bytes::Bytes;
use control::ControlEvent;
use dispatch::SlotOutcome;
use dispatch::route_times::route_of;
use dispatch::slots::SlotGrant;
use http::{HeaderMap, Request, Response, header};
use http_body_util::Full;
use link::{ConnectionChoice, LinkError, SendState};
use model::wire::{
    DEADLINE_HEADER, DEPTH_HEADER, DRAIN_HEADER, EXCHANGE_HEADER, IDEMPOTENCY_HEADER, LOAD_HEADER,
    REQUEST_HEADER, SHED_HEADER,
};
use model::{CallDepth, InstanceName, Leaving, MonoTime, RunVerdict, ServerName, WorkClass};
use peer::{ForwardCall, ForwardReply};
use smol_str::{SmolStr, ToSmolStr};
use std::str::FromStr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use timeline::EventKind;

/// Maximum number of attempts at one request, including the first.
const ATTEMPTS_MAX: usize = 4;

/// Whether a request may be sent again after some of its bytes were written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run more than once.
    Idempotent,
    /// The request must run at most once.
    NonIdempotent,
}

/// A request that this instance runs itself.
pub struct LocalRequest<'a> {
    /// The request as it travels between instances.
    pub call: &'a ForwardCall,
    /// Class of the work.
    pub class: WorkClass,
    /// Whether the request may be sent again.
    pub idempotency: Idempotency,
    /// Time of arrival at this instance.
    pub arrived: MonoTime,
    /// Time by which the response is due.
    pub deadline: MonoTime,
    /// Time until which the response of a backend server is awaited; at least `deadline`.
    pub response_deadline: MonoTime,
    /// Attempts so far, including those of a hedge in progress.
    pub attempts: &'a Mutex<Vec<ServerAttempt>>,
}

/// One attempt at a backend server.
#[derive(Debug, Clone)]
pub struct ServerAttempt {
    /// The server.
    pub server: ServerName,
    /// Time at which the request was sent.
    pub sent_at: MonoTime,
}

impl LocalRequest<'_> {
    fn attempted_servers(&self) -> Vec<ServerName> {
        lock(self.attempts).iter().map(|attempt| attempt.server.clone()).collect()
    }
}

/// Outcome of one attempt.
enum AttemptOutcome {
    /// The backend server returned a complete response.
    Answered(Box<Response<Bytes>>),
    /// The request did not run at the backend server.
    NotRun(SmolStr),
    /// The request may have run at the backend server.
    MayHaveRun(SmolStr),
}

/// Runs a request. Makes further attempts where that is safe and the retry budget allows it.
pub async fn run_local(
    traffic: &TrafficState,
    service: &Arc<ServiceRuntime>,
    local: &LocalRequest<'_>,
) -> ForwardReply {
    let instance = &traffic.settings.name;
    let mut queue_micros = 0;
    let mut may_have_run = false;
    loop {
        let queued_at = traffic.clock.now();
        let request = SlotRequest {
            caller: local.call.caller.clone(),
            class: local.class,
            arrived: local.arrived,
            deadline: local.deadline,
            avoid: local.attempted_servers(),
        };
        let guard = match service.acquire(request).await {
            Ok(guard) => guard,
            Err(refusal) => {
                return refusal_after(may_have_run, RequestRefusal::Queue(refusal), instance);
            }
        };
        let waited = traffic.clock.now().since(queued_at);
        queue_micros += u64::try_from(waited.as_micros()).unwrap_or(u64::MAX);
        let class = local.class.as_str();
        traffic.metrics.queue_seconds.with_label_values(&[class]).observe(waited.as_secs_f64());
        let server = guard.grant().server.clone();
        let sent = ServerAttempt { server: server.clone(), sent_at: traffic.clock.now() };
        lock(local.attempts).push(sent);
        let is_last = lock(local.attempts).len() >= ATTEMPTS_MAX;
        let outcome = attempt(traffic, service, local, guard).await;
        let cause = match outcome {
            AttemptOutcome::Answered(response) => {
                return ran_response(traffic, &server, queue_micros, *response);
            }
            AttemptOutcome::MayHaveRun(cause)
                if local.idempotency == Idempotency::NonIdempotent =>
            {
                record_failure(traffic, local, &server, &cause);
                return unknown_response(instance, cause);
            }
            AttemptOutcome::MayHaveRun(cause) => {
                may_have_run = true;
                cause
            }
            AttemptOutcome::NotRun(cause) => cause,
        };
        record_failure(traffic, local, &server, &cause);
        if is_last || !service.take_retry() {
            return refusal_after(may_have_run, RequestRefusal::Unserved(cause), instance);
        }
        traffic.metrics.retries.inc();
    }
}

/// Response for a request that is refused after earlier attempts. Its verdict is `not-run` only if
/// none of them may have run.
fn refusal_after(
    may_have_run: bool,
    refusal: RequestRefusal,
    instance: &InstanceName,
) -> ForwardReply {
    if may_have_run {
        return unknown_response(instance, refusal.text());
    }
    refusal.response(instance, RunVerdict::NotRun)
}

fn record_failure(
    traffic: &TrafficState,
    local: &LocalRequest<'_>,
    server: &ServerName,
    cause: &SmolStr,
) {
    let request = local.call.request.clone();
    let (server, cause) = (server.clone(), cause.clone());
    traffic.ring.record(EventKind::ExchangeFailed { request, server, cause });
}

async fn attempt(
    traffic: &TrafficState,
    service: &Arc<ServiceRuntime>,
    local: &LocalRequest<'_>,
    guard: SlotGuard,
) -> AttemptOutcome {
    let grant = guard.grant().clone();
    let call = local.call;
    let now = traffic.clock.now();
    let request = match backend_request(traffic, call, &grant, local.deadline.since(now)) {
        Ok(request) => request,
        Err(cause) => {
            guard.close(SlotOutcome::Abandoned, None);
            return AttemptOutcome::NotRun(cause.to_smolstr());
        }
    };
    traffic.ring.record(EventKind::Dispatched {
        request: call.request.clone(),
        server: grant.server.clone(),
    });
    let choice = match local.idempotency {
        Idempotency::Idempotent => ConnectionChoice::Pooled,
        Idempotency::NonIdempotent => ConnectionChoice::Recent,
    };
    let deadline = traffic.clock.instant_of(local.response_deadline);
    let result = traffic.pool.exchange(grant.address, request, choice, deadline).await;
    let elapsed = traffic.clock.now().since(now);
    traffic.metrics.exchange_seconds.observe(elapsed.as_secs_f64());
    match result {
        Ok(response) => finish_with_response(traffic, service, local, guard, elapsed, response),
        Err(cause) => finish_with_error(traffic, guard, &cause),
    }
}

fn finish_with_response(
    traffic: &TrafficState,
    service: &Arc<ServiceRuntime>,
    local: &LocalRequest<'_>,
    guard: SlotGuard,
    elapsed: Duration,
    response: Response<Bytes>,
) -> AttemptOutcome {
    let headers = response.headers();
    let reported = header_value(headers, LOAD_HEADER);
    if headers.contains_key(DRAIN_HEADER) {
        service.mark_leaving(guard.grant());
        traffic.notify(ControlEvent::ServerLeaving(Leaving {
            service: local.call.service.clone(),
            server: guard.grant().server.clone(),
            incarnation: guard.grant().incarnation,
        }));
    }
    let is_shed = headers.get(SHED_HEADER).is_some_and(|value| value == "not-run");
    if is_shed {
        count_exchange(traffic, "shed");
        guard.close(SlotOutcome::Shed, reported);
        return AttemptOutcome::NotRun("backend server shed the request".into());
    }
    count_exchange(traffic, "answered");
    guard.close(SlotOutcome::Answered, reported);
    service.record_service_time(route_of(&local.call.path), elapsed);
    AttemptOutcome::Answered(Box::new(response))
}

fn finish_with_error(
    traffic: &TrafficState,
    guard: SlotGuard,
    cause: &LinkError,
) -> AttemptOutcome {
    match cause.send_state() {
        SendState::NotSent => {
            count_exchange(traffic, "unreachable");
            guard.close(SlotOutcome::Unreachable, None);
            AttemptOutcome::NotRun(cause.to_smolstr())
        }
        SendState::MaybeSent => {
            let timed_out = matches!(cause, LinkError::ResponseTimeout);
            let label = match cause {
                LinkError::ResponseTimeout => "timed_out",
                LinkError::OtherResponse | LinkError::GluedHeads => "stray",
                _ => "broken",
            };
            count_exchange(traffic, label);
            let outcome = if timed_out { SlotOutcome::TimedOut } else { SlotOutcome::Broken };
            guard.close(outcome, None);
            AttemptOutcome::MayHaveRun(cause.to_smolstr())
        }
    }
}

fn count_exchange(traffic: &TrafficState, outcome: &str) {
    traffic.metrics.exchanges.with_label_values(&[outcome]).inc();
}

fn header_value<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn backend_request(
    traffic: &TrafficState,
    call: &ForwardCall,
    grant: &SlotGrant,
    left: Duration,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let depth = CallDepth(call.depth.0.saturating_add(1));
    let mut builder = Request::builder()
        .method(call.method.as_str())
        .uri(call.path.as_str())
        .header(header::HOST, grant.address.to_smolstr().as_str())
        .header(REQUEST_HEADER, call.request.as_str())
        .header(EXCHANGE_HEADER, traffic.new_exchange())
        .header(DEPTH_HEADER, depth.0)
        .header(DEADLINE_HEADER, u64::try_from(left.as_millis()).unwrap_or(u64::MAX));
    if let Some(ticket) = &call.ticket {
        builder = builder.header(IDEMPOTENCY_HEADER, ticket.as_str());
    }
    let mut request = builder.body(Full::new(call.body.clone()))?;
    add_headers(request.headers_mut(), &call.headers);
    Ok(request)
}

fn ran_response(
    traffic: &TrafficState,
    server: &ServerName,
    queue_micros: u64,
    response: Response<Bytes>,
) -> ForwardReply {
    ForwardReply {
        verdict: RunVerdict::Ran,
        status: response.status().as_u16(),
        headers: end_to_end(response.headers()),
        server: server.as_str().into(),
        instance: traffic.settings.name.clone(),
        queue_micros,
        retry_after: None,
        body: response.into_body(),
        clock: 0,
    }
}
