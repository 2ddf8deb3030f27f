//! The port for callers: addresses, tickets and requests over HTTP/1.1 and HTTP/2.

use crate::headers::{add_headers, end_to_end};
use crate::non_idempotent;
use crate::refuse::{IdempotencyKeys, refuse_request};
use crate::request::{CallerKey, RequestOrigin, serve_request};
use crate::response::{RequestRefusal, lost_response, unknown_response};
use crate::traffic::TrafficState;
use axum::Router;
use axum::body::Body;
use axum::extract::{DefaultBodyLimit, Path, Query, Request, State};
use axum::response::{IntoResponse, Json, Response};
use axum::routing::{any, get, post};
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use model::wire::{
    ADDRESSES_PATH, ATTEMPT_HEADER, AddressResponse, CALL_PATH, CALLER_HEADER, DEADLINE_HEADER,
    DEPTH_HEADER, IDEMPOTENCY_HEADER, INSTANCE_HEADER, QUEUE_HEADER, REQUEST_HEADER,
    RETRY_AFTER_HEADER, SERVER_HEADER, TICKET_HEADER, TICKETS_PATH, TicketResponse, VERDICT_HEADER,
};
use model::{CallDepth, CallerName, InstanceState, Millis, RunVerdict, ServiceName};
use peer::{ForwardCall, ForwardReply};
use serde::Deserialize;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum length of the value of a protocol header, in bytes.
const HEADER_BYTES_MAX: usize = 512;
/// Time within which the body of a request must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum deadline of a request; a longer one is reduced to it.
const DEADLINE_MAX: Millis = Millis(600_000);
/// Name of the caller of a request that names none.
const ANONYMOUS_CALLER: &str = "anonymous";

type Shared = State<Arc<TrafficState>>;

/// Routes of the callers' port.
pub fn caller_routes(traffic: Arc<TrafficState>) -> Router {
    Router::new()
        .route(&format!("{ADDRESSES_PATH}/{{service}}"), get(addresses))
        .route(&format!("{TICKETS_PATH}/{{name}}"), post(issue_tickets).get(ticket_state))
        .route(&format!("{CALL_PATH}/{{service}}/{{*path}}"), any(call))
        .layer(DefaultBodyLimit::disable())
        .with_state(traffic)
}

async fn addresses(State(traffic): Shared, Path(service): Path<String>) -> Response {
    let view = traffic.view.load_full();
    let refuse = |refusal: RequestRefusal| {
        count_rejection(&traffic, &refusal);
        http_response(refusal.response(&traffic.settings.name, RunVerdict::NotRun))
    };
    let Ok(service) = service.parse::<ServiceName>() else {
        return refuse(RequestRefusal::UnknownService);
    };
    let Some(config) = &view.config else {
        return refuse(RequestRefusal::NoConfig);
    };
    let Some(service_config) = config.services.get(&service) else {
        return refuse(RequestRefusal::UnknownService);
    };
    let mut homes = view.homes.get(&service).cloned().unwrap_or_default();
    if !traffic.settings.rule.uses_homes() {
        homes.homes = vec![view.this.name.clone()];
    }
    let names = homes.homes.iter().chain(&homes.standbys);
    let mut addresses: Vec<SocketAddr> = names
        .filter_map(|name| view.members.get(name))
        .map(|member| member.record.caller_address)
        .collect();
    if addresses.is_empty() && view.this.state == InstanceState::Live {
        addresses.push(view.this.caller_address);
    }
    Json(AddressResponse {
        service,
        addresses,
        keep_ms: service_config.keep,
        version: config.version,
    })
    .into_response()
}

#[derive(Deserialize)]
struct TicketCount {
    count: Option<u32>,
}

async fn issue_tickets(
    State(traffic): Shared,
    Path(service): Path<String>,
    Query(query): Query<TicketCount>,
) -> Response {
    let refuse = |refusal: RequestRefusal| {
        count_rejection(&traffic, &refusal);
        http_response(refusal.response(&traffic.settings.name, RunVerdict::NotRun))
    };
    let known = |service: &ServiceName| traffic.service(service).is_some();
    let Some(service) = service.parse::<ServiceName>().ok().filter(known) else {
        return refuse(RequestRefusal::UnknownService);
    };
    match non_idempotent::issue_tickets(&traffic, &service, query.count.unwrap_or(1)).await {
        None => refuse(RequestRefusal::TableFull),
        Some(batch) => {
            let response =
                TicketResponse { service, tickets: batch.tickets, valid_ms: batch.valid };
            Json(response).into_response()
        }
    }
}

async fn ticket_state(State(traffic): Shared, Path(ticket): Path<SmolStr>) -> Response {
    match non_idempotent::ticket_state(&traffic, &ticket).await {
        Ok(state) => Json(state).into_response(),
        Err(refusal) => {
            count_rejection(&traffic, &refusal);
            http_response(refusal.response(&traffic.settings.name, RunVerdict::NotRun))
        }
    }
}

async fn call(
    State(traffic): Shared,
    Path((service, _)): Path<(String, String)>,
    request: Request,
) -> Response {
    let keys = read_idempotency_keys(request.headers());
    let response = match read_request(&traffic, &service, request).await {
        Ok(call) => tokio::select! {
            biased;
            response = serve_request(&traffic, &call, RequestOrigin::Caller, keys.key) => response,
            () = traffic.wait_ending() => unknown_response(
                &traffic.settings.name,
                "the instance stopped while the request was in progress",
            ),
        },
        Err(refusal) => {
            count_rejection(&traffic, &refusal);
            refuse_request(&traffic, &keys, &refusal)
        }
    };
    http_response(response)
}

/// Reads the headers that mark a request as non-idempotent. They are read before anything can be
/// refused, since the verdict of a refusal depends on them.
fn read_idempotency_keys(headers: &HeaderMap) -> IdempotencyKeys {
    let text = |name: &str| {
        let value = headers.get(name)?.to_str().ok()?;
        (value.len() <= HEADER_BYTES_MAX).then(|| SmolStr::new(value))
    };
    let is_first = text(ATTEMPT_HEADER).is_some_and(|attempt| attempt == "1");
    IdempotencyKeys {
        ticket: text(TICKET_HEADER),
        key: text(IDEMPOTENCY_HEADER).map(|key| CallerKey { key, is_first }),
    }
}

fn count_rejection(traffic: &TrafficState, refusal: &RequestRefusal) {
    traffic.metrics.bad_requests.with_label_values(&[refusal.label()]).inc();
}

async fn read_request(
    traffic: &TrafficState,
    service: &str,
    request: Request,
) -> Result<ForwardCall, RequestRefusal> {
    let (parts, body) = request.into_parts();
    let service: ServiceName = service.parse().map_err(|_| RequestRefusal::UnknownService)?;
    let headers = &parts.headers;
    let deadline = match header_value::<Millis>(headers, DEADLINE_HEADER)? {
        Some(Millis(0)) => return Err(bad_request("deadline has passed")),
        Some(deadline) => deadline.min(DEADLINE_MAX),
        None => default_deadline(traffic, &service)?,
    };
    let caller = match header_value::<CallerName>(headers, CALLER_HEADER)? {
        Some(caller) => caller,
        None => ANONYMOUS_CALLER.parse().expect("the constant is a name"),
    };
    let request = header_value(headers, REQUEST_HEADER)?;
    header_value::<u32>(headers, ATTEMPT_HEADER)?;
    header_value::<SmolStr>(headers, IDEMPOTENCY_HEADER)?;
    let path_and_query = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    Ok(ForwardCall {
        request: request.unwrap_or_else(|| traffic.new_request()),
        caller,
        method: parts.method.as_str().into(),
        path: backend_path(path_and_query, service.as_str()),
        service,
        headers: end_to_end(headers),
        deadline,
        depth: header_value(headers, DEPTH_HEADER)?.unwrap_or(CallDepth(0)),
        ticket: header_value(headers, TICKET_HEADER)?,
        body: read_body(traffic, body).await?,
        clock: 0,
    })
}

fn bad_request(cause: &str) -> RequestRefusal {
    RequestRefusal::BadRequest(cause.into())
}

fn default_deadline(
    traffic: &TrafficState,
    service: &ServiceName,
) -> Result<Millis, RequestRefusal> {
    let view = traffic.view.load();
    let config = view.config.as_ref().ok_or(RequestRefusal::NoConfig)?;
    let service = config.services.get(service).ok_or(RequestRefusal::UnknownService)?;
    Ok(service.deadline)
}

/// Returns the path for the backend server, which follows the name of the service.
fn backend_path(path: &str, service: &str) -> SmolStr {
    let rest = path.strip_prefix(CALL_PATH).and_then(|rest| rest.strip_prefix('/'));
    let rest = rest.and_then(|rest| rest.strip_prefix(service)).unwrap_or("/");
    rest.into()
}

fn header_value<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, RequestRefusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().ok().filter(|text| text.len() <= HEADER_BYTES_MAX);
    match text.and_then(|text| text.parse().ok()) {
        Some(value) => Ok(Some(value)),
        None => Err(RequestRefusal::BadRequest(format_smolstr!("invalid value in header {name}"))),
    }
}

async fn read_body(traffic: &TrafficState, body: Body) -> Result<Bytes, RequestRefusal> {
    let limit = usize::try_from(traffic.settings.body_limit.0).unwrap_or(usize::MAX);
    let reading = tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, limit).collect());
    match reading.await {
        Err(_) => Err(RequestRefusal::BodyBroken("request body did not arrive in time".into())),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(cause)) if cause.is::<LengthLimitError>() => Err(RequestRefusal::BodyTooLong),
        Ok(Err(_)) => Err(RequestRefusal::BodyBroken("request body ended early".into())),
    }
}

/// Converts a response to HTTP.
fn http_response(forwarded: ForwardReply) -> Response {
    let status = StatusCode::from_u16(forwarded.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = Response::builder()
        .status(status)
        .header(VERDICT_HEADER, forwarded.verdict.as_str())
        .header(INSTANCE_HEADER, forwarded.instance.as_str())
        .header(QUEUE_HEADER, forwarded.queue_micros);
    if !forwarded.server.is_empty() {
        builder = builder.header(SERVER_HEADER, forwarded.server.as_str());
    }
    if let Some(retry_after) = forwarded.retry_after {
        builder = builder.header(RETRY_AFTER_HEADER, retry_after.to_smolstr().as_str());
    }
    match builder.body(Body::from(forwarded.body)) {
        Ok(mut response) => {
            add_headers(response.headers_mut(), &forwarded.headers);
            response
        }
        // Not expected: names, numbers and verdicts are valid header values, and an invalid status is
        // replaced above.
        Err(_) => http_response(lost_response(&forwarded.instance)),
    }
}
