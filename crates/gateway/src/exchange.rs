//! One exchange with a backend server: what is sent, and what the answer proves.

use crate::slots::SlotGuard;
use crate::state::GatewayState;
use balance::{ExchangeOutcome, LoadReport, ProcessingSample};
use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use link::{ConnectionChoice, LinkError, SendState};
use model::{MonoTime, ServerKey, ServiceName};
use routing::RepeatKind;
use smol_str::{SmolStr, ToSmolStr};
use std::rc::Rc;
use std::time::Duration;

/// Headers that belong to one connection or to the framing of one message.
const HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// A caller's request as it is sent on.
#[derive(Debug, Clone)]
pub(crate) struct OutboundCall {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub request_id: HeaderValue,
    pub repeat: RepeatKind,
    pub route: SmolStr,
    pub service: ServiceName,
    /// Time within which an answer is worth most.
    pub objective: Duration,
    /// When an answer is of no use any more.
    pub deadline: MonoTime,
}

/// How an exchange ended.
#[derive(Debug)]
pub(crate) enum ExchangeEnd {
    /// A whole answer of the server that was meant to this request.
    Answered(Response<Bytes>),
    /// The request did not run there and never will.
    NotRun {
        /// What proves it.
        cause: SmolStr,
        /// Whether the request reached the server.
        arrived: bool,
    },
    /// The request may have run there.
    Unknown(SmolStr),
    /// No answer came in time; the request may have run.
    TimedOut,
}

/// The headers of a message that the other end is meant to see.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let listed: Vec<&str> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(str::trim)
        .collect();
    let passes = |name: &HeaderName| {
        !HOP_HEADERS.contains(name)
            && !listed.iter().any(|text| text.eq_ignore_ascii_case(name.as_str()))
    };
    let mut passed = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if passes(name) {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}

fn outbound_request(
    state: &GatewayState,
    call: &OutboundCall,
    key: &ServerKey,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let names = state.binding.headers();
    let left = call.deadline.since(state.now()).as_millis();
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(call.uri.clone())
        .body(Full::new(call.body.clone()))?;
    let headers = request.headers_mut();
    *headers = call.headers.clone();
    headers
        .insert(names.deadline.clone(), HeaderValue::from(u64::try_from(left).unwrap_or(u64::MAX)));
    headers.insert(names.expected_server.clone(), HeaderValue::from_str(key.name.as_str())?);
    Ok(request)
}

/// Sends the request into a slot and judges the answer.
pub(crate) async fn run_exchange(
    state: &Rc<GatewayState>,
    call: &OutboundCall,
    guard: SlotGuard,
) -> ExchangeEnd {
    let placement = guard.placement().clone();
    let request = match outbound_request(state, call, &placement.key) {
        Ok(request) => request,
        Err(cause) => {
            guard.close(ExchangeOutcome::Abandoned);
            return ExchangeEnd::NotRun { cause: cause.to_smolstr(), arrived: false };
        }
    };
    let choice = match (call.repeat, placement.is_desynced) {
        (RepeatKind::Idempotent, _) => ConnectionChoice::Pooled,
        (RepeatKind::Once, false) => ConnectionChoice::Recent,
        (RepeatKind::Once, true) => ConnectionChoice::Fresh,
    };
    let deadline = state.clock.instant_of(call.deadline);
    let result = state.pool.exchange(placement.address, request, choice, deadline).await;
    match result {
        Ok(response) => judge_answer(state, call, guard, response),
        Err(cause) => judge_failure(state, guard, &cause),
    }
}

fn judge_answer(
    state: &Rc<GatewayState>,
    call: &OutboundCall,
    guard: SlotGuard,
    response: Response<Bytes>,
) -> ExchangeEnd {
    let names = state.binding.headers();
    let headers = response.headers();
    let now = state.now();
    let key = guard.placement().key.clone();
    if headers.get(&names.request_id) != Some(&call.request_id) {
        state.queue().estimates.record_desync(now, &key);
        state.metrics.exchange("stray");
        guard.close(ExchangeOutcome::Broken);
        return ExchangeEnd::Unknown("answer to another request".into());
    }
    if let Some(report) = report_of(state, headers) {
        state.queue().estimates.record_report(now, &key, report);
    }
    let status = response.status();
    if status == StatusCode::MISDIRECTED_REQUEST {
        state.metrics.exchange("misdirected");
        guard.close(ExchangeOutcome::Misdirected);
        return ExchangeEnd::NotRun {
            cause: "another server has the address".into(),
            arrived: true,
        };
    }
    if headers.contains_key(&names.not_run) {
        state.metrics.exchange("shed");
        guard.close(ExchangeOutcome::Shed);
        return ExchangeEnd::NotRun { cause: "the server turned it away".into(), arrived: true };
    }
    if status.is_success() && !headers.contains_key(&names.signature) {
        state.metrics.exchange("unsigned");
        guard.close(ExchangeOutcome::Broken);
        return ExchangeEnd::Unknown("success without signature".into());
    }
    let outcome =
        if status.is_server_error() { ExchangeOutcome::Failed } else { ExchangeOutcome::Answered };
    state.metrics.exchange(if status.is_server_error() { "failed" } else { "answered" });
    let placement = guard.placement().clone();
    if let Some(elapsed) = guard.close(outcome) {
        state.metrics.exchange_seconds.observe(elapsed.as_secs_f64());
        if outcome == ExchangeOutcome::Answered {
            state.queue().processing.record(&ProcessingSample {
                service: &call.service,
                route: &call.route,
                objective: call.objective,
                elapsed,
                slowdown: placement.slowdown,
                occupancy: placement.occupancy,
                slots: placement.slots,
                report_age: placement.report_age,
            });
        }
    }
    ExchangeEnd::Answered(response)
}

/// The load report in the headers of an answer.
pub(crate) fn report_of(state: &GatewayState, headers: &HeaderMap) -> Option<LoadReport> {
    let text = headers.get(&state.binding.headers().load)?.to_str().ok()?;
    state.binding.load_report(text)
}

fn judge_failure(state: &Rc<GatewayState>, guard: SlotGuard, cause: &LinkError) -> ExchangeEnd {
    let send_state = cause.send_state();
    let (label, outcome) = match (send_state, cause) {
        (SendState::NotSent, LinkError::ConnectionLimit) => ("limit", ExchangeOutcome::Shed),
        (SendState::NotSent, _) => ("unreachable", ExchangeOutcome::Unreachable),
        (_, LinkError::ResponseTimeout) => ("timed_out", ExchangeOutcome::TimedOut),
        _ => ("broken", ExchangeOutcome::Broken),
    };
    state.metrics.exchange(label);
    guard.close(outcome);
    match (send_state, outcome) {
        (SendState::NotSent, _) => {
            ExchangeEnd::NotRun { cause: cause.to_smolstr(), arrived: false }
        }
        (_, ExchangeOutcome::TimedOut) => ExchangeEnd::TimedOut,
        _ => ExchangeEnd::Unknown(cause.to_smolstr()),
    }
}
