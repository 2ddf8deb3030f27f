//! The port for operators: commands, the time line of this process, and metrics.

use crate::report::run_query;
use crate::traffic::TrafficState;
use axum::Router;
use axum::extract::{Query, Request, State};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Json, Response};
use axum::routing::{get, post};
use change::{ChangeOutcome, accept_change};
use command::{BatchKind, ChangeBatch, QueryStatement, parse_batch};
use control::ControlEvent;
use http::{HeaderMap, StatusCode, header};
use model::operator::{CHANGE_HEADER, COMMANDS_PATH, CommandResponse, METRICS_PATH, TIMELINE_PATH};
use model::{ChangeId, ConfigVersion, InstanceName};
use serde::Deserialize;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use store::PlatformStore;
use timeline::{HybridTime, TimelineQuery};

/// Time for which writing a change to the store is retried.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a response no longer waits for an accepted change to be in force everywhere.
pub const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval at which the versions of the other instances are checked.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State of the operators' port.
pub struct OperatorState {
    /// State shared with the traffic threads.
    pub traffic: Arc<TrafficState>,
    /// Store of the platform, to which changes are written.
    pub store: Arc<dyn PlatformStore>,
}

type Shared = State<Arc<OperatorState>>;

/// Routes of the operators' port. All except the metrics require the token.
pub fn operator_routes(state: Arc<OperatorState>) -> Router {
    Router::new()
        .route(COMMANDS_PATH, post(commands))
        .route(TIMELINE_PATH, get(timeline))
        .route_layer(from_fn_with_state(Arc::clone(&state), check_token))
        .route(METRICS_PATH, get(metrics))
        .with_state(state)
}

async fn check_token(State(state): Shared, request: Request, next: Next) -> Response {
    let token = request.headers().get(header::AUTHORIZATION);
    let token = token.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    let expected = blake3::hash(state.traffic.settings.token.as_bytes());
    // The hash type compares in constant time.
    if token.is_some_and(|token| blake3::hash(token) == expected) {
        return next.run(request).await;
    }
    state.traffic.metrics.token_refusals.with_label_values(&["operator"]).inc();
    (StatusCode::UNAUTHORIZED, "expected the header authorization: Bearer TOKEN\n").into_response()
}

async fn metrics(State(state): Shared) -> String {
    state.traffic.metrics.text()
}

#[derive(Deserialize)]
struct TimelineParams {
    request: Option<SmolStr>,
    since_us: Option<u64>,
    until_us: Option<u64>,
    limit: Option<usize>,
}

async fn timeline(State(state): Shared, Query(params): Query<TimelineParams>) -> Response {
    let request = match params.request.map(|request| request.parse()).transpose() {
        Ok(request) => request,
        Err(cause) => {
            return (StatusCode::BAD_REQUEST, format!("request: {cause}\n")).into_response();
        }
    };
    let query = TimelineQuery {
        request,
        since: params.since_us.map(HybridTime::from_micros),
        until: params.until_us.map(HybridTime::from_micros),
        limit: params.limit,
    };
    Json(state.traffic.ring.select(&query)).into_response()
}

async fn commands(State(state): Shared, headers: HeaderMap, text: String) -> Response {
    let response = match parse_batch(&text) {
        Err(cause) => CommandResponse::Invalid { error: cause.to_smolstr() },
        Ok(BatchKind::Queries(queries)) => report(&state, &queries),
        Ok(BatchKind::Changes(batch)) => match change_id(&headers) {
            Err(error) => CommandResponse::Invalid { error },
            Ok(id) => change_config(&state, &batch, id).await,
        },
    };
    let status = match &response {
        CommandResponse::Report { .. } | CommandResponse::InForceEverywhere { .. } => {
            StatusCode::OK
        }
        CommandResponse::Accepted { .. } => StatusCode::ACCEPTED,
        CommandResponse::Invalid { .. } => StatusCode::BAD_REQUEST,
        CommandResponse::NotAccepted { .. } => StatusCode::CONFLICT,
        CommandResponse::Undetermined { .. } => StatusCode::GATEWAY_TIMEOUT,
    };
    (status, Json(response)).into_response()
}

fn report(state: &OperatorState, queries: &[QueryStatement]) -> CommandResponse {
    let results = queries.iter().map(|query| run_query(&state.traffic, query));
    match results.collect() {
        Ok(tables) => CommandResponse::Report { tables },
        Err(error) => CommandResponse::Invalid { error },
    }
}

fn change_id(headers: &HeaderMap) -> Result<ChangeId, SmolStr> {
    let Some(value) = headers.get(CHANGE_HEADER) else {
        let text = format_smolstr!("{:016x}", rand::random::<u64>());
        return text.parse().map_err(|_| "cannot create a change id".into());
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed.ok_or_else(|| format_smolstr!("invalid value in header {CHANGE_HEADER}: {value:?}"))
}

async fn change_config(
    state: &OperatorState,
    batch: &ChangeBatch,
    id: ChangeId,
) -> CommandResponse {
    let view = state.traffic.view.load_full();
    let find = |name: &InstanceName| view.alive_record(name).map(|record| record.incarnation);
    let deadline = tokio::time::Instant::now() + ACCEPT_TIMEOUT;
    match accept_change(state.store.as_ref(), batch, &id, find, deadline).await {
        ChangeOutcome::NotAccepted(cause) => {
            CommandResponse::NotAccepted { id, error: cause.to_smolstr() }
        }
        ChangeOutcome::Undetermined(error) => CommandResponse::Undetermined { id, error },
        ChangeOutcome::Accepted { revision, document } => {
            let version = document.version_of(&id).unwrap_or(document.version);
            state.traffic.notify(ControlEvent::ConfigAccepted { revision, document });
            let unconfirmed = wait_in_force(state, version).await;
            if unconfirmed.is_empty() {
                return CommandResponse::InForceEverywhere { id, version };
            }
            CommandResponse::Accepted { id, version, unconfirmed }
        }
    }
}

/// Waits until all members have the version. Returns the members without it after the timeout.
async fn wait_in_force(state: &OperatorState, version: ConfigVersion) -> Vec<InstanceName> {
    let deadline = Instant::now() + IN_FORCE_TIMEOUT;
    loop {
        let view = state.traffic.view.load_full();
        let unconfirmed = view.members.values().filter(|member| member.version < version);
        let unconfirmed: Vec<InstanceName> =
            unconfirmed.map(|member| member.record.name.clone()).collect();
        if unconfirmed.is_empty() || Instant::now() >= deadline {
            return unconfirmed;
        }
        tokio::time::sleep(IN_FORCE_POLL_INTERVAL).await;
    }
}
