//! The ports for the directory, the readiness check and metrics.

use crate::preview::handle_preview;
use crate::serve::{CallerResponse, plain_response};
use crate::state::GatewayState;
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use link::BodyClass;
use model::route_preview::PREVIEW_PATH;
use model::{Millis, StoreRevision};
use std::net::SocketAddr;
use std::rc::Rc;

/// `Retry-After` of the directory while no ready instance is known.
const NO_INSTANCE_RETRY_AFTER: Millis = Millis(200);

/// Handles a request to the directory: returns the addresses where callers should connect.
pub(crate) async fn handle_directory(
    state: Rc<GatewayState>,
    request: Request<Incoming>,
) -> CallerResponse {
    if request.uri().path() != state.binding.directory_path() {
        return plain_response(StatusCode::NOT_FOUND, "no such path", None);
    }
    // Other instances know the homes better.
    if state.is_outdated() {
        let text = "not confirmed since a pause";
        return plain_response(
            StatusCode::SERVICE_UNAVAILABLE,
            text,
            Some(NO_INSTANCE_RETRY_AFTER),
        );
    }
    // Without the store's records only the few instances that send heartbeats are known, and all
    // callers would be sent to those.
    if state.fleet_ref().replica.as_of() == StoreRevision(0) && state.table().is_none() {
        let text = "no copy of the store yet";
        return plain_response(
            StatusCode::SERVICE_UNAVAILABLE,
            text,
            Some(NO_INSTANCE_RETRY_AFTER),
        );
    }
    let mut addresses: Vec<SocketAddr> =
        state.fleet_ref().homes().iter().map(|home| home.caller_address).collect();
    if addresses.is_empty() && state.is_ready() {
        addresses.push(state.settings().caller_address);
    }
    if addresses.is_empty() {
        let text = "no instance is known to be ready";
        return plain_response(
            StatusCode::SERVICE_UNAVAILABLE,
            text,
            Some(NO_INSTANCE_RETRY_AFTER),
        );
    }
    let ttl = state.settings().directory_ttl.duration();
    let (body, kind) = state.binding.directory_response(&addresses, ttl);
    let mut response = Response::new(Full::new(body));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

/// Handles a readiness check.
pub(crate) async fn handle_ready(
    state: Rc<GatewayState>,
    request: Request<Incoming>,
) -> CallerResponse {
    if request.uri().path() != state.binding.ready_path() {
        return plain_response(StatusCode::NOT_FOUND, "no such path", None);
    }
    if state.is_ready() {
        plain_response(StatusCode::OK, "ready", None)
    } else {
        plain_response(StatusCode::SERVICE_UNAVAILABLE, "not ready", None)
    }
}

/// Handles a request for the metrics, or for the preview of a request.
pub(crate) async fn handle_metrics(
    state: Rc<GatewayState>,
    request: Request<Incoming>,
) -> CallerResponse {
    if request.uri().path() == PREVIEW_PATH {
        return handle_preview(state, request).await;
    }
    let metrics = &state.metrics;
    let age = state.fleet_ref().confirmed_age(state.now()).as_millis();
    metrics.confirmed_age_ms.set(i64::try_from(age).unwrap_or(i64::MAX));
    let replica = &state.fleet_ref().replica;
    let revision = replica.as_of();
    metrics.replica_revision.set(i64::try_from(revision.number()).unwrap_or(i64::MAX));
    metrics.store_era.set(i64::from(revision.era().0));
    metrics.replica_digest.set(i64::from(replica.digest()));
    if let Some(table) = state.table() {
        for service in table.services.keys() {
            metrics.set_outflow(service, state.queue().outflow.level(service));
        }
    }
    let cold = state.queue().estimates.cold_count(state.now());
    metrics.cold_servers.set(i64::try_from(cold).unwrap_or(i64::MAX));
    metrics.waiting.set(i64::try_from(state.queue().waiting()).unwrap_or(i64::MAX));
    metrics.connections.set(i64::try_from(state.connections.get()).unwrap_or(i64::MAX));
    metrics.log_dropped.set(i64::try_from(state.log.dropped()).unwrap_or(i64::MAX));
    metrics.held("request", state.request_bodies.used(), state.request_bodies.limit());
    let memory = &state.response_bodies;
    for class in BodyClass::ALL {
        metrics.held(class.as_str(), memory.held(class), memory.limit(class));
    }
    Response::new(Full::new(Bytes::from(metrics.text())))
}
