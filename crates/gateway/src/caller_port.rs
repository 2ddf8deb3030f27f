//! The port for callers: validates a request, selects its route and reads its body.

use crate::exchange::{OutboundRequest, end_to_end};
use crate::serve::{CallerResponse, RequestRejection, RoutedRequest, serve_request};
use crate::state::GatewayState;
use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, Uri, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use model::Millis;
use routing::{RouteEntry, RouteTable};
use std::rc::Rc;
use std::time::Duration;

/// Share of the instance's memory that bodies of requests in progress may use.
const BODY_MEMORY_SHARE: f64 = 0.25;
/// `Retry-After` when the memory for bodies is used up.
const BODY_MEMORY_RETRY_AFTER: Millis = Millis(200);
/// Longest time to the deadline; longer values in the deadline header are cut to it.
const DEADLINE_MAX: Duration = Duration::from_secs(120);

/// The size of one body, counted in [`GatewayState::body_bytes`] until dropped.
struct BodyMemory {
    state: Rc<GatewayState>,
    bytes: usize,
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        let used = self.state.body_bytes.get();
        self.state.body_bytes.set(used.saturating_sub(self.bytes));
    }
}

/// Handles a request of a caller: serves or rejects it.
pub(crate) async fn handle_caller(
    state: Rc<GatewayState>,
    request: Request<Incoming>,
) -> CallerResponse {
    let id = request.headers().get(&state.binding.headers().request_id).cloned();
    let mut response = match accept_request(&state, request).await {
        Ok((routed, memory)) => {
            let response = serve_request(&state, routed).await;
            drop(memory);
            response
        }
        Err(rejection) => {
            state.metrics.rejected(rejection.status.as_u16());
            let id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-");
            let version = state.fleet_ref().version;
            state.log.rejection(id, rejection.status.as_u16(), rejection.text, version);
            rejection.response()
        }
    };
    if state.is_stopping() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
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
) -> Result<Rc<RouteEntry>, RequestRejection> {
    let Some(host) = host_of(request) else {
        return Err(RequestRejection::new(StatusCode::BAD_REQUEST, "no host"));
    };
    let route = table.find(host, request.uri().path());
    route.cloned().ok_or_else(|| RequestRejection::new(StatusCode::NOT_FOUND, "no route"))
}

async fn accept_request(
    state: &Rc<GatewayState>,
    request: Request<Incoming>,
) -> Result<(RoutedRequest, BodyMemory), RequestRejection> {
    let arrived = state.now();
    let table = state.table().ok_or_else(RequestRejection::no_config)?;
    let route = find_route(&table, &request)?;
    let names = state.binding.headers();
    let Some(request_id) = request.headers().get(&names.request_id).cloned() else {
        return Err(RequestRejection::new(StatusCode::BAD_REQUEST, "no request id"));
    };
    let wait_max = match request.headers().get(&names.deadline) {
        None => route.timeout.duration(),
        Some(value) => {
            let millis = value.to_str().ok().and_then(|text| text.trim().parse().ok());
            let Some(millis) = millis else {
                return Err(RequestRejection::new(
                    StatusCode::BAD_REQUEST,
                    "deadline is not a number",
                ));
            };
            Millis(millis).duration().min(DEADLINE_MAX)
        }
    };
    let deadline = arrived.plus(wait_max.min(route.timeout.duration()));
    let (parts, body) = request.into_parts();
    let receive_until = state.clock.instant_of(deadline);
    let limit = table.limits.body_bytes;
    let (body, memory) =
        match tokio::time::timeout_at(receive_until.into(), read_body(state, body, limit)).await {
            Ok(read) => read?,
            Err(_) => {
                return Err(RequestRejection::new(
                    StatusCode::REQUEST_TIMEOUT,
                    "request body was not received in time",
                ));
            }
        };
    let service = state.splits.borrow_mut().next(&route).clone();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri: Uri = path
        .parse()
        .map_err(|_| RequestRejection::new(StatusCode::BAD_REQUEST, "path is not valid"))?;
    let outbound = OutboundRequest {
        method: parts.method,
        uri,
        headers: end_to_end(&parts.headers),
        body,
        request_id,
        idempotency: route.idempotency,
        route: route.name.clone(),
        service: service.clone(),
        objective: route.objective.duration(),
        deadline,
    };
    Ok((RoutedRequest { outbound, route, service, arrived, version: table.version }, memory))
}

async fn read_body(
    state: &Rc<GatewayState>,
    body: Incoming,
    limit: usize,
) -> Result<(Bytes, BodyMemory), RequestRejection> {
    let length_min = body.size_hint().lower();
    if length_min > limit as u64 {
        return Err(RequestRejection::new(StatusCode::PAYLOAD_TOO_LARGE, "body is too long"));
    }
    let memory_max =
        (state.settings().memory_mb as f64 * 1024.0 * 1024.0 * BODY_MEMORY_SHARE) as usize;
    let mut memory = BodyMemory { state: Rc::clone(state), bytes: 0 };
    if state.body_bytes.get().saturating_add(usize::try_from(length_min).unwrap_or(usize::MAX))
        > memory_max
    {
        let text = "memory for request bodies is used up";
        return Err(RequestRejection::unavailable(text, BODY_MEMORY_RETRY_AFTER));
    }
    let memory_left = memory_max - state.body_bytes.get();
    match Limited::new(body, limit.min(memory_left)).collect().await {
        Ok(collected) => {
            let body = collected.to_bytes();
            memory.bytes = body.len();
            state.body_bytes.set(state.body_bytes.get() + body.len());
            Ok((body, memory))
        }
        Err(cause) if cause.is::<LengthLimitError>() => {
            Err(RequestRejection::new(StatusCode::PAYLOAD_TOO_LARGE, "body is too long"))
        }
        Err(_) => Err(RequestRejection::new(StatusCode::BAD_REQUEST, "request body is malformed")),
    }
}
