//! Runs a call on a backend server of this instance's choice.

use crate::answer::{CallRefusal, unknown_response};
use crate::headers::{add_headers, end_to_end};
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
    DEADLINE_HEADER, DEPTH_HEADER, DRAIN_HEADER, IDEMPOTENCY_HEADER, LOAD_HEADER, REQUEST_HEADER,
    SHED_HEADER,
};
use model::{CallDepth, InstanceName, Leaving, MonoTime, RunVerdict, ServerName, WorkClass};
use peer::{ForwardAnswer, ForwardCall};
use smol_str::{SmolStr, ToSmolStr};
use std::str::FromStr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use timeline::EventKind;

/// Attempts at one request, the first included.
const ATTEMPTS_MAX: usize = 4;

/// Whether a request may be sent again after bytes of it were written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// It may.
    Idempotent,
    /// It must not.
    Once,
}

/// A call that this instance runs itself.
pub struct LocalCall<'a> {
    /// The call.
    pub call: &'a ForwardCall,
    /// Class of the work.
    pub class: WorkClass,
    /// Whether it may be sent again.
    pub repeat: RepeatPolicy,
    /// When it arrived here.
    pub arrived: MonoTime,
    /// When its answer is due.
    pub deadline: MonoTime,
    /// How long a dispatched request may stay with the backend server.
    pub answer_until: MonoTime,
    /// Servers to which the call was sent before, also by an attempt at the same time.
    pub tried: &'a Mutex<Vec<TriedServer>>,
}

/// A backend server to which a call was sent.
#[derive(Debug, Clone)]
pub struct TriedServer {
    /// The server.
    pub server: ServerName,
    /// When the call was sent.
    pub at: MonoTime,
}

impl LocalCall<'_> {
    fn tried(&self) -> Vec<ServerName> {
        lock(self.tried).iter().map(|tried| tried.server.clone()).collect()
    }
}

/// How one attempt ended.
enum AttemptEnd {
    /// The backend server gave a whole answer.
    Answered(Box<Response<Bytes>>),
    /// The request did not run there.
    NotRun(SmolStr),
    /// The request may have run there.
    Unknown(SmolStr),
}

/// Runs the call, with further attempts where that is safe.
pub async fn run_local(
    traffic: &TrafficState,
    service: &Arc<ServiceRuntime>,
    local: &LocalCall<'_>,
) -> ForwardAnswer {
    let instance = &traffic.settings.name;
    let mut queue_micros = 0;
    let mut may_have_run = false;
    loop {
        let asked = traffic.clock.now();
        let request = SlotRequest {
            caller: local.call.caller.clone(),
            class: local.class,
            arrived: local.arrived,
            deadline: local.deadline,
            avoid: local.tried(),
        };
        let guard = match service.acquire(request).await {
            Ok(guard) => guard,
            Err(refusal) => {
                return refusal_after(may_have_run, CallRefusal::Queue(refusal), instance);
            }
        };
        let waited = traffic.clock.now().since(asked);
        queue_micros += u64::try_from(waited.as_micros()).unwrap_or(u64::MAX);
        let class = local.class.as_str();
        traffic.metrics.queue_seconds.with_label_values(&[class]).observe(waited.as_secs_f64());
        let server = guard.grant().server.clone();
        let tried = TriedServer { server: server.clone(), at: traffic.clock.now() };
        lock(local.tried).push(tried);
        let is_last = lock(local.tried).len() >= ATTEMPTS_MAX;
        let end = attempt(traffic, service, local, guard).await;
        let cause = match end {
            AttemptEnd::Answered(response) => {
                return answered(traffic, &server, queue_micros, *response);
            }
            AttemptEnd::Unknown(cause) if local.repeat == RepeatPolicy::Once => {
                record_failure(traffic, local, &server, &cause);
                return unknown_response(instance, cause);
            }
            AttemptEnd::Unknown(cause) => {
                may_have_run = true;
                cause
            }
            AttemptEnd::NotRun(cause) => cause,
        };
        record_failure(traffic, local, &server, &cause);
        if is_last || !service.take_retry() {
            return refusal_after(may_have_run, CallRefusal::Unserved(cause), instance);
        }
        traffic.metrics.retries.inc();
    }
}

/// A refusal proves that the request did not run only if no earlier attempt may have run.
fn refusal_after(
    may_have_run: bool,
    refusal: CallRefusal,
    instance: &InstanceName,
) -> ForwardAnswer {
    if may_have_run {
        return unknown_response(instance, refusal.text());
    }
    refusal.answer(instance, RunVerdict::NotRun)
}

fn record_failure(
    traffic: &TrafficState,
    local: &LocalCall<'_>,
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
    local: &LocalCall<'_>,
    guard: SlotGuard,
) -> AttemptEnd {
    let grant = guard.grant().clone();
    let call = local.call;
    let now = traffic.clock.now();
    let request = match backend_request(call, &grant, local.deadline.since(now)) {
        Ok(request) => request,
        Err(cause) => {
            guard.close(SlotOutcome::Abandoned, None);
            return AttemptEnd::NotRun(cause.to_smolstr());
        }
    };
    traffic.ring.record(EventKind::Dispatched {
        request: call.request.clone(),
        server: grant.server.clone(),
    });
    let choice = match local.repeat {
        RepeatPolicy::Idempotent => ConnectionChoice::Pooled,
        RepeatPolicy::Once => ConnectionChoice::Recent,
    };
    let deadline = traffic.clock.instant_of(local.answer_until);
    let result = traffic.pool.exchange(grant.address, request, choice, deadline).await;
    let span = traffic.clock.now().since(now);
    traffic.metrics.exchange_seconds.observe(span.as_secs_f64());
    match result {
        Ok(response) => settle_answer(traffic, service, local, guard, span, response),
        Err(cause) => settle_failure(traffic, guard, &cause),
    }
}

fn settle_answer(
    traffic: &TrafficState,
    service: &Arc<ServiceRuntime>,
    local: &LocalCall<'_>,
    guard: SlotGuard,
    span: Duration,
    response: Response<Bytes>,
) -> AttemptEnd {
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
        return AttemptEnd::NotRun("backend server shed the request".into());
    }
    count_exchange(traffic, "answered");
    guard.close(SlotOutcome::Answered, reported);
    service.record_route(route_of(&local.call.path), span);
    AttemptEnd::Answered(Box::new(response))
}

fn settle_failure(traffic: &TrafficState, guard: SlotGuard, cause: &LinkError) -> AttemptEnd {
    match cause.send_state() {
        SendState::NotSent => {
            count_exchange(traffic, "unreachable");
            guard.close(SlotOutcome::Unreachable, None);
            AttemptEnd::NotRun(cause.to_smolstr())
        }
        SendState::MaybeSent => {
            let timed_out = matches!(cause, LinkError::ResponseTimeout);
            count_exchange(traffic, if timed_out { "timed_out" } else { "broken" });
            let outcome = if timed_out { SlotOutcome::TimedOut } else { SlotOutcome::Broken };
            guard.close(outcome, None);
            AttemptEnd::Unknown(cause.to_smolstr())
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
    call: &ForwardCall,
    grant: &SlotGrant,
    left: Duration,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let depth = CallDepth(call.depth.0 + 1);
    let mut builder = Request::builder()
        .method(call.method.as_str())
        .uri(call.path.as_str())
        .header(header::HOST, grant.address.to_smolstr().as_str())
        .header(REQUEST_HEADER, call.request.as_str())
        .header(DEPTH_HEADER, depth.0)
        .header(DEADLINE_HEADER, u64::try_from(left.as_millis()).unwrap_or(u64::MAX));
    if let Some(ticket) = &call.ticket {
        builder = builder.header(IDEMPOTENCY_HEADER, ticket.as_str());
    }
    let mut request = builder.body(Full::new(call.body.clone()))?;
    add_headers(request.headers_mut(), &call.headers);
    Ok(request)
}

fn answered(
    traffic: &TrafficState,
    server: &ServerName,
    queue_micros: u64,
    response: Response<Bytes>,
) -> ForwardAnswer {
    ForwardAnswer {
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
