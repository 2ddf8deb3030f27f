//! One exchange with a backend server: builds the request and classifies the response.

use crate::limit_reports::record_limit;
use crate::notices::{record_leaving, record_quiet};
use crate::slots::SlotGuard;
use crate::state::GatewayState;
use balance::{ExchangeOutcome, LoadReport, ProcessingSample};
use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use link::{ConnectionChoice, LinkError, SendState};
use model::{MonoTime, ServerKey, ServiceName};
use routing::Idempotency;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use std::rc::Rc;
use std::time::Duration;

/// Headers that apply to one connection or to the framing of one message and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
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

/// Statuses by which a caller knows that its request did not run and never will.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// A caller's request in the form that is forwarded to backend servers.
#[derive(Debug, Clone)]
pub(crate) struct OutboundRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub request_id: HeaderValue,
    pub idempotency: Idempotency,
    pub route: SmolStr,
    pub service: ServiceName,
    /// Response time that the route aims for, from the request's arrival.
    pub objective: Duration,
    /// Time by which the response must arrive: the caller's deadline or the route's timeout,
    /// whichever is earlier.
    pub deadline: MonoTime,
}

/// Result of an exchange.
#[derive(Debug)]
pub(crate) enum ExchangeEnd {
    /// The intended server sent a complete response to this request, with none of the
    /// [`NOT_RUN_STATUSES`].
    Answered(Response<Bytes>),
    /// The server did not run the request and never will.
    NotRun {
        /// Why the request did not run; sent to the caller and logged.
        cause: SmolStr,
        /// Whether the request reached the server.
        was_reached: bool,
    },
    /// The exchange failed and the server may have run the request; with the cause.
    MayHaveRun(SmolStr),
    /// No response arrived before the deadline. The server may have run the request.
    TimedOut,
}

/// Returns the end-to-end headers of a message: all but the hop-by-hop ones and those that the
/// `Connection` header lists.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let listed: Vec<&str> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(str::trim)
        .collect();
    let is_forwarded = |name: &HeaderName| {
        !HOP_BY_HOP_HEADERS.contains(name)
            && !listed.iter().any(|text| text.eq_ignore_ascii_case(name.as_str()))
    };
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if is_forwarded(name) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

fn outbound_request(
    state: &GatewayState,
    outbound: &OutboundRequest,
    key: &ServerKey,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let names = state.binding.headers();
    let left = outbound.deadline.since(state.now()).as_millis();
    let mut request = Request::builder()
        .method(outbound.method.clone())
        .uri(outbound.uri.clone())
        .body(Full::new(outbound.body.clone()))?;
    let headers = request.headers_mut();
    *headers = outbound.headers.clone();
    headers
        .insert(names.deadline.clone(), HeaderValue::from(u64::try_from(left).unwrap_or(u64::MAX)));
    headers.insert(names.expected_server.clone(), HeaderValue::from_str(key.name.as_str())?);
    Ok(request)
}

/// Sends a request to the server of a slot and classifies the response. Frees the slot.
pub(crate) async fn run_exchange(
    state: &Rc<GatewayState>,
    outbound: &OutboundRequest,
    guard: SlotGuard,
) -> ExchangeEnd {
    let placement = guard.placement().clone();
    let request = match outbound_request(state, outbound, &placement.key) {
        Ok(request) => request,
        Err(cause) => {
            guard.close(ExchangeOutcome::Abandoned);
            return ExchangeEnd::NotRun { cause: cause.to_smolstr(), was_reached: false };
        }
    };
    let choice = match (outbound.idempotency, placement.is_desynced) {
        (Idempotency::Idempotent, _) => ConnectionChoice::Pooled,
        (Idempotency::NonIdempotent, false) => ConnectionChoice::Recent,
        (Idempotency::NonIdempotent, true) => ConnectionChoice::Fresh,
    };
    let deadline = state.clock.instant_of(outbound.deadline);
    let result = state.pool.exchange(placement.address, request, choice, deadline).await;
    match result {
        Ok(response) => classify_response(state, outbound, guard, response),
        Err(cause) => classify_failure(state, guard, &cause),
    }
}

fn classify_response(
    state: &Rc<GatewayState>,
    outbound: &OutboundRequest,
    guard: SlotGuard,
    response: Response<Bytes>,
) -> ExchangeEnd {
    let names = state.binding.headers();
    let headers = response.headers();
    let now = state.now();
    let key = guard.placement().key.clone();
    if headers.get(&names.request_id) != Some(&outbound.request_id) {
        state.queue().estimates.record_desync(now, &key);
        state.metrics.exchange("stray");
        guard.close(ExchangeOutcome::Broken);
        return ExchangeEnd::MayHaveRun("response to another request".into());
    }
    if let Some(report) = parse_load_report(state, &key, headers) {
        state.queue().estimates.record_report(now, &key, report);
    }
    let status = response.status();
    if status == StatusCode::MISDIRECTED_REQUEST {
        state.metrics.exchange("misdirected");
        guard.close(ExchangeOutcome::Misdirected);
        return ExchangeEnd::NotRun {
            cause: "another server has the address".into(),
            was_reached: true,
        };
    }
    record_named_limit(state, &key, headers);
    let address = guard.placement().address;
    record_leaving(state, &key, address, headers);
    record_quiet(state, &key, status, headers);
    if headers.contains_key(&names.not_run) {
        state.metrics.exchange("shed");
        guard.close(ExchangeOutcome::Shed);
        return ExchangeEnd::NotRun { cause: "shed by the server".into(), was_reached: true };
    }
    if status.is_success() && !headers.contains_key(&names.signature) {
        state.metrics.exchange("unsigned");
        guard.close(ExchangeOutcome::Broken);
        return ExchangeEnd::MayHaveRun("success without signature".into());
    }
    let (label, outcome) = status_outcome(status);
    state.metrics.exchange(label);
    let placement = guard.placement().clone();
    let bytes = outbound.body.len() + response.body().len();
    state.queue().outflow.record_bytes(&outbound.route, bytes);
    if placement.is_away {
        state.metrics.left_centre(&outbound.service, bytes);
    }
    if let Some(elapsed) = guard.close(outcome) {
        state.metrics.exchange_seconds.observe(elapsed.as_secs_f64());
        if outcome == ExchangeOutcome::Answered {
            state.queue().processing.record(&ProcessingSample {
                service: &outbound.service,
                route: &outbound.route,
                objective: outbound.objective,
                elapsed,
                slowdown: placement.slowdown,
                occupancy: placement.occupancy,
                slots: placement.slots,
                report_age: placement.report_age,
            });
        }
    }
    // Without the mark a server that ran the request may have sent the status.
    if NOT_RUN_STATUSES.contains(&status) {
        let code = status.as_u16();
        return ExchangeEnd::MayHaveRun(format_smolstr!(
            "status {code} without the mark for not run"
        ));
    }
    ExchangeEnd::Answered(response)
}

/// Returns the metric label and the outcome of an exchange with a response that has no mark for not run.
fn status_outcome(status: StatusCode) -> (&'static str, ExchangeOutcome) {
    if NOT_RUN_STATUSES.contains(&status) {
        ("unmarked", ExchangeOutcome::Failed)
    } else if status.is_server_error() {
        ("failed", ExchangeOutcome::Failed)
    } else {
        ("answered", ExchangeOutcome::Answered)
    }
}

/// Returns the load report in the headers of a response, if it has a valid one. A malformed one is
/// logged and counted, and the server's earlier report stays in use.
pub(crate) fn parse_load_report(
    state: &GatewayState,
    key: &ServerKey,
    headers: &HeaderMap,
) -> Option<LoadReport> {
    let value = headers.get(&state.binding.headers().load)?;
    let report = value.to_str().ok().and_then(|text| state.binding.load_report(text));
    if report.is_none() {
        state.metrics.malformed_header("load");
        state.log_input_fault("load_malformed", &format_smolstr!("{}: {value:?}", key.name));
    }
    report
}

/// Records the limit on the rate of its requests that a server named in a response, or that it named
/// none.
pub(crate) fn record_named_limit(state: &GatewayState, key: &ServerKey, headers: &HeaderMap) {
    let limit = match headers.get(&state.binding.headers().limit) {
        None => None,
        Some(value) => {
            let rate = value.to_str().ok().and_then(|text| state.binding.request_limit(text));
            if rate.is_none() {
                state.metrics.malformed_header("limit");
                state.log_input_fault(
                    "limit_malformed",
                    &format_smolstr!("{}: {value:?}", key.name),
                );
                return;
            }
            rate
        }
    };
    record_limit(state, state.now(), key, limit);
}

fn classify_failure(state: &Rc<GatewayState>, guard: SlotGuard, cause: &LinkError) -> ExchangeEnd {
    let send_state = cause.send_state();
    let (label, outcome) = match (send_state, cause) {
        (_, LinkError::OtherResponse | LinkError::GluedHeads) => {
            let key = guard.placement().key.clone();
            state.queue().estimates.record_desync(state.now(), &key);
            ("stray", ExchangeOutcome::Broken)
        }
        (SendState::NotSent, LinkError::ConnectionLimit) => ("limit", ExchangeOutcome::Shed),
        (SendState::NotSent, _) => ("unreachable", ExchangeOutcome::Unreachable),
        (_, LinkError::InvalidStatus(_)) => ("invalid_status", ExchangeOutcome::Broken),
        (_, LinkError::ResponseOverhead) => ("overhead", ExchangeOutcome::Broken),
        (_, LinkError::ResponseMemory) => ("memory", ExchangeOutcome::Abandoned),
        (_, LinkError::ResponseTimeout) => ("timed_out", ExchangeOutcome::TimedOut),
        _ => ("broken", ExchangeOutcome::Broken),
    };
    state.metrics.exchange(label);
    guard.close(outcome);
    match (send_state, outcome) {
        (SendState::NotSent, _) => {
            ExchangeEnd::NotRun { cause: cause.to_smolstr(), was_reached: false }
        }
        (_, ExchangeOutcome::TimedOut) => ExchangeEnd::TimedOut,
        _ => ExchangeEnd::MayHaveRun(cause.to_smolstr()),
    }
}
