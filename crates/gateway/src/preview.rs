//! Explains what this instance would do with a request now, without sending it.

use crate::serve::{CallerResponse, RequestRejection, plain_response, request_spec_of};
use crate::state::GatewayState;
use crate::teams::{authenticate, team_share};
use balance::{PlannedDecision, ServerCost, ServerView};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use model::route_preview::{
    PreviewCost, PreviewDecision, PreviewRejection, PreviewRequest, PreviewRoute, PreviewServer,
    PreviewService, RoutePreview,
};
use model::{DataCentre, InstanceName, Millis};
use routing::{RouteEntry, RouteTable, RouteTarget, TeamEntry};
use std::rc::Rc;

/// Longest body of a preview request, in bytes.
const BODY_MAX_BYTES: usize = 16 * 1024;

/// Handles a preview request on the metrics port.
pub(crate) async fn handle_preview(
    state: Rc<GatewayState>,
    request: Request<Incoming>,
) -> CallerResponse {
    let bad_request = |text: &str| plain_response(StatusCode::BAD_REQUEST, text, None);
    let Ok(body) = Limited::new(request.into_body(), BODY_MAX_BYTES).collect().await else {
        return bad_request("preview request truncated or too long");
    };
    // The cause is not told: it could show a part of the key.
    let Ok(asked) = serde_json::from_slice::<PreviewRequest>(&body.to_bytes()) else {
        return bad_request("preview request malformed");
    };
    match serde_json::to_vec(&preview(&state, &asked)) {
        Ok(bytes) => {
            let mut response = Response::new(Full::new(Bytes::from(bytes)));
            let kind = HeaderValue::from_static("application/json");
            response.headers_mut().insert(header::CONTENT_TYPE, kind);
            response
        }
        Err(cause) => plain_response(StatusCode::INTERNAL_SERVER_ERROR, &cause.to_string(), None),
    }
}

fn preview(state: &Rc<GatewayState>, asked: &PreviewRequest) -> RoutePreview {
    let found = find_route(state, asked);
    let fleet = state.fleet_ref();
    RoutePreview {
        instance: fleet.members.this().name.clone(),
        version: fleet.version,
        confirmed_age: fleet.confirmed_age(state.now()).into(),
        homes: homes_from(state, asked.data_centre.as_ref()),
        is_home: fleet.home_rank().is_some(),
        evacuated: state.queue().estimates.evacuated().iter().cloned().collect(),
        rejection: found.as_ref().err().cloned(),
        route: found.ok(),
    }
}

/// Returns the homes, those of a data centre first.
fn homes_from(state: &GatewayState, centre: Option<&DataCentre>) -> Vec<InstanceName> {
    let fleet = state.fleet_ref();
    let is_near = |centre_of: &DataCentre| centre.is_some_and(|centre| centre == centre_of);
    let (near, far): (Vec<_>, Vec<_>) =
        fleet.homes().iter().partition(|home| is_near(&home.data_centre));
    near.into_iter().chain(far).map(|home| home.name.clone()).collect()
}

fn find_route(
    state: &Rc<GatewayState>,
    asked: &PreviewRequest,
) -> Result<PreviewRoute, PreviewRejection> {
    let table = state.table().ok_or(PreviewRejection::NoConfiguration)?;
    let Some(route) = table.find(&asked.host, &asked.path) else {
        let is_known = table.has_host(&asked.host);
        let rejection =
            if is_known { PreviewRejection::UnknownPath } else { PreviewRejection::UnknownHost };
        return Err(rejection);
    };
    let team = team_of(state, &table, route, asked)?;
    let now = state.now();
    let quotas = state.quotas.borrow();
    let account = team.as_ref().and_then(|team| quotas.account(&team.name));
    let retry_after = account.and_then(|account| account.check(now).err());
    let quota_left = account.map(|account| account.left(now));
    drop(quotas);
    let weights: f64 = route.targets.iter().map(|target| target.weight).sum();
    let services = route
        .targets
        .iter()
        .map(|target| preview_service(state, &table, route, target, weights, team.as_deref()));
    Ok(PreviewRoute {
        route: route.name.clone(),
        priority: team.as_ref().and_then(|team| team.priority).unwrap_or(route.priority),
        quota_left,
        rejection: retry_after
            .map(|retry_after| PreviewRejection::Quota { retry_after: retry_after.into() }),
        services: services.collect(),
        team: team.map(|team| team.name.clone()),
    })
}

fn team_of(
    state: &GatewayState,
    table: &RouteTable,
    route: &RouteEntry,
    asked: &PreviewRequest,
) -> Result<Option<Rc<TeamEntry>>, PreviewRejection> {
    let mut headers = HeaderMap::new();
    if let Some(key) = &asked.key {
        let value = HeaderValue::from_str(key).map_err(|_| PreviewRejection::Key {
            text: "the key has characters that no header can carry".into(),
        })?;
        headers.insert(state.binding.headers().api_key.clone(), value);
    }
    authenticate(state, table, route, &headers)
        .map_err(|RequestRejection { text, .. }| PreviewRejection::Key { text: text.into() })
}

fn preview_service(
    state: &Rc<GatewayState>,
    table: &RouteTable,
    route: &RouteEntry,
    target: &RouteTarget,
    weights: f64,
    team: Option<&TeamEntry>,
) -> PreviewService {
    let now = state.now();
    let share = team.map(|team| team_share(table, team));
    let priority = team.and_then(|team| team.priority).unwrap_or(route.priority);
    let spec = request_spec_of(now, route, &target.service, share, priority);
    let mut queue = state.queue();
    let preview = queue.preview(now, &spec);
    let outcome = match preview.planned {
        PlannedDecision::Send(key, expected) => {
            PreviewDecision::Send { server: key.name, expected: expected.into() }
        }
        PlannedDecision::Wait(expected) => {
            PreviewDecision::Wait { expected: expected.into(), ahead: preview.ahead }
        }
        PlannedDecision::Refuse(refusal) => PreviewDecision::Refuse {
            cause: refusal.cause.as_str().into(),
            retry_after: refusal.retry_after,
        },
    };
    let mut views = preview.servers;
    views.sort_by(|left, right| {
        let is_out = |view: &ServerView<'_>| view.exclusion.is_some();
        is_out(left).cmp(&is_out(right)).then(left.cost.sum().total_cmp(&right.cost.sum()))
    });
    let server = |view: &ServerView<'_>| {
        let state = view.state;
        PreviewServer {
            name: state.spec.key.name.clone(),
            data_centre: state.spec.data_centre.clone(),
            excluded: view.exclusion.map(|exclusion| exclusion.as_str().into()),
            occupancy: state.occupancy(now),
            slots: state.spec.slots.0,
            slowdown: state.slowdown(now).0,
            report_age: state.report_age(now).map(Millis::from),
            cost: preview_cost(&view.cost),
        }
    };
    PreviewService {
        name: target.service.clone(),
        weight: target.weight / weights,
        outcome,
        servers: views.iter().map(server).collect(),
    }
}

fn preview_cost(cost: &ServerCost) -> PreviewCost {
    let millis = |seconds: f64| (seconds * 1e4).round() / 10.0;
    PreviewCost {
        run_ms: millis(cost.run_s),
        queued_ms: millis(cost.queued_s),
        failures_ms: millis(cost.failures_s),
        trip_ms: millis(cost.trip_s),
        margin_ms: millis(cost.margin_s),
        bonus_ms: millis(cost.bonus_s),
    }
}
