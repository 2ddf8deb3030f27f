//! Asks an instance what it would do with a request now, and renders its answer as text.

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use link::{ConnectionChoice, LinkPoolBuilder};
use model::route_preview::{
    PREVIEW_PATH, PreviewDecision, PreviewRejection, PreviewRequest, PreviewServer, PreviewService,
    RoutePreview,
};
use smol_str::ToSmolStr;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time within which an instance must respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of servers of a service that are shown without `--json`.
const SERVERS_SHOWN: usize = 12;

/// Asks the instance whose metrics port is at `instance`.
///
/// # Errors
/// The instance doesn't respond, or is of a version without previews.
pub async fn fetch_preview(instance: SocketAddr, asked: &PreviewRequest) -> Result<RoutePreview> {
    let request = Request::post(PREVIEW_PATH)
        .header(header::HOST, instance.to_smolstr().as_str())
        .body(Full::new(Bytes::from(serde_json::to_vec(asked)?)))?;
    let deadline = Instant::now() + RESPONSE_TIMEOUT;
    let pool = LinkPoolBuilder::default().build();
    let exchange = pool.exchange(instance, request, ConnectionChoice::Fresh, deadline);
    let response = exchange.await.with_context(|| {
        format!("no response from {instance}; is it the metrics port of a running instance?")
    })?;
    if response.status() != StatusCode::OK {
        bail!("{instance}: {}", String::from_utf8_lossy(response.body()).trim());
    }
    serde_json::from_slice(response.body())
        .with_context(|| format!("{instance} gives no previews; it may be of an earlier version"))
}

/// Whether the request would be sent or would wait at one of its services at least.
pub fn would_run(preview: &RoutePreview) -> bool {
    let is_served =
        |service: &PreviewService| !matches!(service.outcome, PreviewDecision::Refuse { .. });
    preview
        .route
        .as_ref()
        .is_some_and(|route| route.rejection.is_none() && route.services.iter().any(is_served))
}

/// Renders the answer of an instance.
pub fn render_preview(preview: &RoutePreview) -> String {
    let mut text = format!(
        "{}: configuration {}, confirmed by the store {} ms ago\n",
        preview.instance, preview.version, preview.confirmed_age
    );
    let names: Vec<&str> = preview.homes.iter().map(|home| home.as_str()).collect();
    let role = if preview.is_home { "" } else { "; this instance is none" };
    writeln!(text, "homes: {}{role}", names.join(" ")).expect("a string takes all text");
    if !preview.evacuated.is_empty() {
        let centres: Vec<&str> = preview.evacuated.iter().map(|centre| centre.as_str()).collect();
        writeln!(text, "evacuated: {}", centres.join(" ")).expect("a string takes all text");
    }
    if let Some(rejection) = &preview.rejection {
        writeln!(text, "rejected: {}", describe(rejection)).expect("a string takes all text");
    }
    if let Some(route) = &preview.route {
        let team = route.team.as_ref().map_or("no team", |team| team.as_str());
        let quota = route.quota_left.map(|left| format!(", {left:.1} requests of the quota left"));
        writeln!(
            text,
            "route {}, priority {}, {team}{}",
            route.route,
            route.priority,
            quota.unwrap_or_default()
        )
        .expect("a string takes all text");
        if let Some(rejection) = &route.rejection {
            writeln!(text, "rejected: {}", describe(rejection)).expect("a string takes all text");
        }
        for service in &route.services {
            text.push_str(&render_service(service));
        }
    }
    text
}

fn describe(rejection: &PreviewRejection) -> String {
    match rejection {
        PreviewRejection::NoConfiguration => {
            "503, the instance has no configuration yet; ask another one".into()
        }
        PreviewRejection::UnknownHost => "404, the configuration does not contain the host".into(),
        PreviewRejection::UnknownPath => "404, no route of the host matches the path".into(),
        PreviewRejection::Key { text } => format!("401, {text}"),
        PreviewRejection::Quota { retry_after } => {
            format!("429, the team's quota is used up; Retry-After {retry_after} ms")
        }
    }
}

fn render_service(service: &PreviewService) -> String {
    let outcome = match &service.outcome {
        PreviewDecision::Send { server, expected } => {
            format!("sent to {server}, expected to take {expected} ms")
        }
        PreviewDecision::Wait { expected, ahead } => {
            format!("waits behind {ahead} requests, about {expected} ms")
        }
        PreviewDecision::Refuse { cause, retry_after } => {
            format!("refused as not run: {cause}; Retry-After {retry_after} ms")
        }
    };
    let share = service.weight * 100.0;
    let mut text = format!("service {} ({share:.0} % of the route): {outcome}\n", service.name);
    for server in service.servers.iter().take(SERVERS_SHOWN) {
        text.push_str(&render_server(server));
    }
    let left_out = service.servers.len().saturating_sub(SERVERS_SHOWN);
    if left_out > 0 {
        writeln!(text, "  {left_out} more; --json shows all").expect("a string takes all text");
    }
    text
}

fn render_server(server: &PreviewServer) -> String {
    let cost = &server.cost;
    let parts = [
        ("run", cost.run_ms),
        ("queued", cost.queued_ms),
        ("failures", cost.failures_ms),
        ("trip", cost.trip_ms),
        ("margin", cost.margin_ms),
        ("new", -cost.bonus_ms),
    ];
    let sum: f64 = parts.iter().map(|(_, millis)| millis).sum();
    let shown = parts.iter().filter(|(_, millis)| *millis != 0.0);
    let shown: Vec<String> = shown.map(|(name, millis)| format!("{name} {millis}")).collect();
    let age = server.report_age.map_or("no report".into(), |age| format!("report {age} ms old"));
    let excluded = server.excluded.as_ref().map(|cause| format!("; out: {cause}"));
    format!(
        "  {} in {}: cost {sum:.1} ms ({}); {} of {} slots, slowdown {:.1}, {age}{}\n",
        server.name,
        server.data_centre,
        shown.join(", "),
        server.occupancy,
        server.slots,
        server.slowdown,
        excluded.unwrap_or_default()
    )
}
