//! The port for callers: validates a request, selects its route and reads its body.

use crate::caller_stream::WriteDeadline;
use crate::exchange::{OutboundRequest, end_to_end};
use crate::serve::{CallerResponse, RequestRejection, RoutedRequest, ServedRequest, serve_request};
use crate::state::GatewayState;
use crate::teams::{QuotaToken, authenticate, replace_team_headers, team_share};
use balance::QuotaRefusal;
use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, Uri, header};
use hyper::body::{Body, Incoming};
use link::{BodyError, HeldBytes, MeteredBody, ReadMeter, read_body};
use model::{Millis, StoreRevision};
use routing::{RouteEntry, RouteTable, TeamEntry};
use std::rc::Rc;
use std::time::Duration;

/// `Retry-After` when the memory for bodies is used up.
const BODY_MEMORY_RETRY_AFTER: Millis = Millis(200);
/// `Retry-After` of an instance that is about to exit; others serve the request.
const STOPPING_RETRY_AFTER: Millis = Millis(50);
/// Longest wait of a request for the first snapshot of the store.
const FIRST_SNAPSHOT_WAIT: Duration = Duration::from_millis(500);
/// Interval between checks whether the first snapshot is read.
const FIRST_SNAPSHOT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time to the deadline; longer values in the deadline header are cut to it.
const DEADLINE_MAX: Duration = Duration::from_secs(120);

/// Handles a request of a caller: serves or rejects it.
pub(crate) async fn handle_caller(
    state: Rc<GatewayState>,
    request: Request<Incoming>,
) -> CallerResponse {
    let id = request.headers().get(&state.binding.headers().request_id).cloned();
    let accepted = tokio::select! {
        accepted = accept_request(&state, request) => accepted,
        () = state.wait_ending() => {
            Err(RequestRejection::unavailable("stopping", STOPPING_RETRY_AFTER))
        }
    };
    let mut response = match accepted {
        Ok(AcceptedRequest { routed, token, memory }) => {
            let write_deadline = WriteDeadline(state.clock.instant_of(routed.caller_deadline));
            let ServedRequest { mut response, may_have_run } = serve_request(&state, routed).await;
            drop(memory);
            token.close(&state, may_have_run);
            response.extensions_mut().insert(write_deadline);
            response
        }
        Err(rejection) => {
            state.metrics.rejected(rejection.status.as_u16());
            let id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-");
            let version = state.fleet_ref().version;
            state.log.rejection(id, &rejection, version);
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

/// Waits while an instance that just started reads its first snapshot. It takes a fraction of the time
/// after which a refused caller would come back.
async fn wait_first_snapshot(state: &GatewayState) {
    let until = state.now().plus(FIRST_SNAPSHOT_WAIT);
    let is_empty =
        || state.table().is_none() || state.fleet_ref().replica.as_of() == StoreRevision(0);
    while is_empty() && state.now() < until {
        tokio::time::sleep(FIRST_SNAPSHOT_POLL_INTERVAL).await;
    }
}

/// A request that may be sent, with what it holds until its response.
struct AcceptedRequest {
    routed: RoutedRequest,
    token: QuotaToken,
    memory: HeldBytes,
}

/// The rejection of a request beyond its team's quota.
fn over_quota(team: Option<&TeamEntry>, refusal: QuotaRefusal) -> RequestRejection {
    RequestRejection {
        status: StatusCode::TOO_MANY_REQUESTS,
        text: "the team's quota is used up",
        retry: Some(refusal.retry_after.into()),
        team: team.map(|team| team.name.clone()),
    }
}

async fn accept_request(
    state: &Rc<GatewayState>,
    request: Request<Incoming>,
) -> Result<AcceptedRequest, RequestRejection> {
    let arrived = state.now();
    state.wait_confirmed().await;
    wait_first_snapshot(state).await;
    let table = state.table().ok_or_else(RequestRejection::no_config)?;
    let route = find_route(&table, &request)?;
    let team = authenticate(state, &table, &route, request.headers())?;
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
    let caller_deadline = arrived.plus(wait_max);
    let deadline = caller_deadline.min(arrived.plus(route.timeout.duration()));
    let (parts, body) = request.into_parts();
    let meter = parts.extensions.get::<ReadMeter>().cloned().unwrap_or_default();
    let body = MeteredBody::new(body, meter);
    let receive_until = state.clock.instant_of(deadline);
    let limit = table.limits.body_bytes;
    let receiving = tokio::time::timeout_at(receive_until.into(), receive_body(state, body, limit));
    let received = tokio::select! {
        biased;
        () = state.wait_refusal(deadline) => {
            return Err(RequestRejection::unavailable("stopping", STOPPING_RETRY_AFTER));
        }
        received = receiving => received,
    };
    let Ok(read) = received else {
        return Err(RequestRejection::new(
            StatusCode::REQUEST_TIMEOUT,
            "request body was not received in time",
        ));
    };
    let (body, memory) = read?;
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri: Uri = path
        .parse()
        .map_err(|_| RequestRejection::new(StatusCode::BAD_REQUEST, "path is not valid"))?;
    let mut headers = end_to_end(&parts.headers);
    replace_team_headers(state, &table, team.as_deref(), &mut headers);
    let token = QuotaToken::take(state, team.as_deref())
        .map_err(|refusal| over_quota(team.as_deref(), refusal))?;
    let service = state.splits.borrow_mut().next(&route).clone();
    let outbound = OutboundRequest {
        method: parts.method,
        uri,
        headers,
        body,
        request_id,
        idempotency: route.idempotency,
        route: route.name.clone(),
        service: service.clone(),
        objective: route.objective.duration(),
        deadline,
    };
    let priority = team.as_ref().and_then(|team| team.priority).unwrap_or(route.priority);
    let share = team.as_ref().map(|team| team_share(&table, team));
    let version = table.version;
    let routed = RoutedRequest {
        outbound,
        route,
        service,
        share,
        priority,
        arrived,
        caller_deadline,
        version,
    };
    Ok(AcceptedRequest { routed, token, memory })
}

async fn receive_body(
    state: &GatewayState,
    body: MeteredBody<Incoming>,
    limit: usize,
) -> Result<(Bytes, HeldBytes), RequestRejection> {
    let no_memory = || {
        let text = "memory for request bodies is used up";
        RequestRejection::unavailable(text, BODY_MEMORY_RETRY_AFTER)
    };
    let too_long = || RequestRejection::new(StatusCode::PAYLOAD_TOO_LARGE, "body is too long");
    let length_min = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if length_min > limit {
        return Err(too_long());
    }
    if !state.request_bodies.has_room(length_min) {
        return Err(no_memory());
    }
    read_body(body, limit, &state.request_bodies).await.map_err(|cause| match cause {
        BodyError::TooLong => too_long(),
        BodyError::BudgetUsedUp => no_memory(),
        BodyError::Broken(_) => {
            RequestRejection::new(StatusCode::BAD_REQUEST, "request body is malformed")
        }
    })
}
