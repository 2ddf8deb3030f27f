//! The ports for the directory, for readiness and for metrics.

use crate::serve::{CallerAnswer, own_answer};
use crate::state::GatewayState;
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use model::{Millis, StoreRevision};
use std::net::SocketAddr;
use std::rc::Rc;

/// When a caller may ask an instance again that knows no other.
const UNKNOWN_RETRY: Millis = Millis(200);

/// Answers callers that ask where to connect.
pub(crate) async fn answer_directory(
    state: Rc<GatewayState>,
    request: Request<Incoming>,
) -> CallerAnswer {
    if request.uri().path() != state.binding.directory_path() {
        return own_answer(StatusCode::NOT_FOUND, "no such path", None);
    }
    // Heartbeats alone tell of few instances, and all callers would be sent there.
    if state.fleet_ref().replica.as_of() == StoreRevision(0) {
        let text = "no copy of the store yet";
        return own_answer(StatusCode::SERVICE_UNAVAILABLE, text, Some(UNKNOWN_RETRY));
    }
    let mut addresses: Vec<SocketAddr> =
        state.fleet_ref().homes().iter().map(|home| home.caller_address).collect();
    if addresses.is_empty() && state.is_ready() {
        addresses.push(state.settings().caller_address);
    }
    if addresses.is_empty() {
        let text = "no instance is known to be ready";
        return own_answer(StatusCode::SERVICE_UNAVAILABLE, text, Some(UNKNOWN_RETRY));
    }
    let keep = state.settings().directory_keep.duration();
    let (body, kind) = state.binding.directory_answer(&addresses, keep);
    let mut answer = Response::new(Full::new(body));
    answer.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    answer
}

/// Tells the platform whether callers may be sent here.
pub(crate) async fn answer_ready(
    state: Rc<GatewayState>,
    request: Request<Incoming>,
) -> CallerAnswer {
    if request.uri().path() != state.binding.ready_path() {
        return own_answer(StatusCode::NOT_FOUND, "no such path", None);
    }
    if state.is_ready() {
        own_answer(StatusCode::OK, "ready", None)
    } else {
        own_answer(StatusCode::SERVICE_UNAVAILABLE, "not ready", None)
    }
}

/// Gives the metrics.
pub(crate) async fn answer_metrics(
    state: Rc<GatewayState>,
    _request: Request<Incoming>,
) -> CallerAnswer {
    let metrics = &state.metrics;
    let age = state.fleet_ref().confirmed_age(state.now()).as_millis();
    metrics.confirmed_age_ms.set(i64::try_from(age).unwrap_or(i64::MAX));
    metrics.waiting.set(i64::try_from(state.queue().waiting()).unwrap_or(i64::MAX));
    metrics.connections.set(i64::try_from(state.connections.get()).unwrap_or(i64::MAX));
    metrics.log_dropped.set(i64::try_from(state.log.dropped()).unwrap_or(i64::MAX));
    Response::new(Full::new(Bytes::from(metrics.text())))
}
