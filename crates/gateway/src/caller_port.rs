//! The port for callers: checks a request, finds its route and reads its body.

use crate::exchange::{OutboundCall, end_to_end};
use crate::serve::{CallRejection, CallerAnswer, RoutedCall, serve_routed};
use crate::state::GatewayState;
use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, Uri, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use model::Millis;
use routing::{RouteEntry, RouteTable};
use std::rc::Rc;
use std::time::Duration;

/// Part of the memory that bodies of requests in progress may take.
const BODY_MEMORY_SHARE: f64 = 0.25;
/// When a caller may come back that found the memory for bodies in use.
const MEMORY_RETRY: Millis = Millis(200);
/// Longest accepted deadline; a caller that names more gets this.
const DEADLINE_MAX: Duration = Duration::from_secs(120);

/// Bytes of bodies in progress, given back when dropped.
struct BodyBytes {
    state: Rc<GatewayState>,
    bytes: usize,
}

impl Drop for BodyBytes {
    fn drop(&mut self) {
        let used = self.state.body_bytes.get();
        self.state.body_bytes.set(used.saturating_sub(self.bytes));
    }
}

/// Answers a request of a caller.
pub(crate) async fn answer_caller(
    state: Rc<GatewayState>,
    request: Request<Incoming>,
) -> CallerAnswer {
    let id = request.headers().get(&state.binding.headers().request_id).cloned();
    let mut answer = match accept_call(&state, request).await {
        Ok((routed, bytes)) => {
            let answer = serve_routed(&state, routed).await;
            drop(bytes);
            answer
        }
        Err(rejection) => {
            state.metrics.rejected(rejection.status.as_u16());
            let id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-");
            let version = state.fleet_ref().version;
            state.log.rejection(id, rejection.status.as_u16(), rejection.text, version);
            rejection.answer()
        }
    };
    if state.is_stopping() {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

fn host_of(request: &Request<Incoming>) -> Option<&str> {
    if let Some(authority) = request.uri().authority() {
        return Some(authority.as_str());
    }
    request.headers().get(header::HOST)?.to_str().ok()
}

fn find_route(
    table: &RouteTable,
    request: &Request<Incoming>,
) -> Result<Rc<RouteEntry>, CallRejection> {
    let Some(host) = host_of(request) else {
        return Err(CallRejection::new(StatusCode::BAD_REQUEST, "no host"));
    };
    let route = table.find(host, request.uri().path());
    route.cloned().ok_or_else(|| CallRejection::new(StatusCode::NOT_FOUND, "no route"))
}

async fn accept_call(
    state: &Rc<GatewayState>,
    request: Request<Incoming>,
) -> Result<(RoutedCall, BodyBytes), CallRejection> {
    let arrived = state.now();
    let table = state.table().ok_or_else(CallRejection::no_config)?;
    let route = find_route(&table, &request)?;
    let names = state.binding.headers();
    let Some(request_id) = request.headers().get(&names.request_id).cloned() else {
        return Err(CallRejection::new(StatusCode::BAD_REQUEST, "no request id"));
    };
    let patience = match request.headers().get(&names.deadline) {
        None => route.timeout.duration(),
        Some(value) => {
            let millis = value.to_str().ok().and_then(|text| text.trim().parse().ok());
            let Some(millis) = millis else {
                return Err(CallRejection::new(StatusCode::BAD_REQUEST, "deadline is no number"));
            };
            Millis(millis).duration().min(DEADLINE_MAX)
        }
    };
    let deadline = arrived.plus(patience.min(route.timeout.duration()));
    let (parts, body) = request.into_parts();
    let due = state.clock.instant_of(deadline);
    let limit = table.limits.body_bytes;
    let (body, bytes) = match tokio::time::timeout_at(due.into(), read_body(state, body, limit))
        .await
    {
        Ok(read) => read?,
        Err(_) => {
            return Err(CallRejection::new(StatusCode::REQUEST_TIMEOUT, "body came too slowly"));
        }
    };
    let service = state.splits.borrow_mut().next(&route).clone();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri: Uri = path
        .parse()
        .map_err(|_| CallRejection::new(StatusCode::BAD_REQUEST, "path is not valid"))?;
    let call = OutboundCall {
        method: parts.method,
        uri,
        headers: end_to_end(&parts.headers),
        body,
        request_id,
        repeat: route.idempotency,
        route: route.name.clone(),
        service: service.clone(),
        objective: route.objective.duration(),
        deadline,
    };
    Ok((RoutedCall { call, route, service, arrived, version: table.version }, bytes))
}

async fn read_body(
    state: &Rc<GatewayState>,
    body: Incoming,
    limit: usize,
) -> Result<(Bytes, BodyBytes), CallRejection> {
    let told = body.size_hint().lower();
    if told > limit as u64 {
        return Err(CallRejection::new(StatusCode::PAYLOAD_TOO_LARGE, "body is too long"));
    }
    let room = (state.settings().memory_mb as f64 * 1024.0 * 1024.0 * BODY_MEMORY_SHARE) as usize;
    let mut bytes = BodyBytes { state: Rc::clone(state), bytes: 0 };
    if state.body_bytes.get().saturating_add(usize::try_from(told).unwrap_or(usize::MAX)) > room {
        let text = "too many bodies in progress";
        return Err(CallRejection::unavailable(text, MEMORY_RETRY));
    }
    let room_left = room - state.body_bytes.get();
    match Limited::new(body, limit.min(room_left)).collect().await {
        Ok(collected) => {
            let body = collected.to_bytes();
            bytes.bytes = body.len();
            state.body_bytes.set(state.body_bytes.get() + body.len());
            Ok((body, bytes))
        }
        Err(cause) if cause.is::<LengthLimitError>() => {
            Err(CallRejection::new(StatusCode::PAYLOAD_TOO_LARGE, "body is too long"))
        }
        Err(_) => Err(CallRejection::new(StatusCode::BAD_REQUEST, "body is broken")),
    }
}
