//! Serves a request at this instance, at the home of its service, or at the instance that owns its
//! ticket. A forwarded request is not forwarded again.

use crate::idempotent::serve_idempotent;
use crate::local::Idempotency;
use crate::non_idempotent::serve_non_idempotent;
use crate::refuse::{IdempotencyKeys, refuse_request};
use crate::response::RequestRefusal;
use crate::service::ServiceRuntime;
use crate::traffic::TrafficState;
use control::FleetView;
use dispatch::route_times::route_of;
use model::{InstanceRecord, MonoTime, WorkClass};
use peer::{ForwardCall, ForwardReply, PeerError};
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Duration;
use timeline::{EventKind, HybridTime};

/// Maximum depth of a chain of nested requests.
pub const DEPTH_MAX: u32 = 16;
/// Time after the deadline of a forwarded request during which the other instance may still report
/// the outcome.
pub(crate) const FORWARD_MARGIN: Duration = Duration::from_millis(50);

/// Sender of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOrigin {
    /// A caller.
    Caller,
    /// Another instance; the request must not be forwarded again.
    Peer,
}

/// A caller's own key for non-idempotent work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerKey {
    /// The key, unique for the caller and the service.
    pub key: SmolStr,
    /// Whether the caller declares this request to be its first attempt under the key.
    pub is_first: bool,
}

/// A request in progress at this instance.
pub struct RequestContext<'a> {
    /// The request as it travels between instances.
    pub call: &'a ForwardCall,
    /// Sender of the request.
    pub origin: RequestOrigin,
    /// The caller's own key, if the request has one.
    pub key: Option<CallerKey>,
    /// Time of arrival at this instance.
    pub arrived: MonoTime,
    /// Time by which the response is due.
    pub deadline: MonoTime,
    /// Class of the work.
    pub class: WorkClass,
    /// State of the fleet on arrival.
    pub view: Arc<FleetView>,
    /// Queue of the service.
    pub service: Arc<ServiceRuntime>,
}

/// Serves a request and records it on the time line. A refusal becomes an error response.
pub async fn serve_request(
    traffic: &Arc<TrafficState>,
    call: &ForwardCall,
    origin: RequestOrigin,
    key: Option<CallerKey>,
) -> ForwardReply {
    traffic.ring.clock().observe(HybridTime(call.clock));
    traffic.metrics.in_progress.inc();
    let in_progress = InProgressGuard(traffic);
    let keys = IdempotencyKeys { ticket: call.ticket.clone(), key: key.clone() };
    let mut response = match route_request(traffic, call, origin, key).await {
        Ok(response) => response,
        Err(refusal) => {
            traffic.metrics.refusals.with_label_values(&[refusal.label()]).inc();
            refuse_request(traffic, &keys, &refusal)
        }
    };
    drop(in_progress);
    if origin == RequestOrigin::Caller {
        traffic.metrics.calls.with_label_values(&[response.verdict.as_str()]).inc();
    }
    traffic.ring.record(EventKind::Ended {
        request: call.request.clone(),
        verdict: response.verdict,
        cause: if response.server.is_empty() { error_text(&response) } else { SmolStr::default() },
    });
    response.clock = traffic.ring.clock().now().0;
    response
}

/// Counts a request as in progress until it is dropped, also when the caller disconnects.
struct InProgressGuard<'a>(&'a TrafficState);

impl Drop for InProgressGuard<'_> {
    fn drop(&mut self) {
        self.0.metrics.in_progress.dec();
    }
}

/// Returns the error text in the body of an error response; empty for any other body.
pub(crate) fn error_text(response: &ForwardReply) -> SmolStr {
    let body: Option<model::wire::ErrorBody> = serde_json::from_slice(&response.body).ok();
    body.map(|body| body.error).unwrap_or_default()
}

async fn route_request(
    traffic: &Arc<TrafficState>,
    call: &ForwardCall,
    origin: RequestOrigin,
    key: Option<CallerKey>,
) -> Result<ForwardReply, RequestRefusal> {
    let arrived = traffic.clock.now();
    let view = traffic.view.load_full();
    let config = view.config.as_ref().ok_or(RequestRefusal::NoConfig)?;
    let service_config =
        config.services.get(&call.service).ok_or(RequestRefusal::UnknownService)?;
    if traffic.is_isolated(&view) {
        return Err(RequestRefusal::Isolated);
    }
    if traffic.is_stale(&view) {
        return Err(RequestRefusal::Stale);
    }
    if call.depth.0 > DEPTH_MAX {
        return Err(RequestRefusal::TooDeep);
    }
    let service = traffic.service(&call.service).ok_or(RequestRefusal::UnknownService)?;
    let rule = service_config.rule_for(&call.path);
    let class =
        rule.and_then(|rule| rule.class).unwrap_or_else(|| service.class_of(route_of(&call.path)));
    let idempotency = idempotency_of(call, rule.and_then(|rule| rule.idempotent));
    traffic.ring.record(EventKind::Arrived {
        request: call.request.clone(),
        service: call.service.clone(),
        class,
    });
    let deadline = arrived.plus(call.deadline.duration());
    let context = RequestContext {
        call,
        origin,
        key,
        arrived,
        deadline,
        class,
        view: Arc::clone(&view),
        service,
    };
    match idempotency {
        Idempotency::NonIdempotent => serve_non_idempotent(traffic, context).await,
        Idempotency::Idempotent if !traffic.stop.admits(deadline) => Err(RequestRefusal::Stopping),
        Idempotency::Idempotent => Ok(serve_idempotent(traffic, &context).await),
    }
}

/// Returns the idempotency that a route rule declares; without one, only safe methods are
/// idempotent. A request with a ticket is always non-idempotent.
fn idempotency_of(call: &ForwardCall, declared: Option<bool>) -> Idempotency {
    if call.ticket.is_some() {
        return Idempotency::NonIdempotent;
    }
    let is_safe = matches!(call.method.as_str(), "GET" | "HEAD" | "OPTIONS");
    if declared.unwrap_or(is_safe) { Idempotency::Idempotent } else { Idempotency::NonIdempotent }
}

/// Forwards a request, due in `left`, to another instance and waits up to `timeout` for the
/// response.
pub(crate) async fn forward(
    traffic: &TrafficState,
    call: &ForwardCall,
    to: &InstanceRecord,
    left: Duration,
    timeout: Duration,
) -> Result<ForwardReply, PeerError> {
    traffic
        .ring
        .record(EventKind::Forwarded { request: call.request.clone(), to: to.name.clone() });
    let mut call = call.clone();
    call.deadline = left.into();
    call.clock = traffic.ring.clock().now().0;
    let result = traffic
        .peers
        .call(to.peer_address, timeout, |client, context| async move {
            client.forward(context, call).await
        })
        .await;
    let label = match &result {
        Ok(_) => "answered",
        Err(PeerError::NotSent) => "not_sent",
        Err(PeerError::NoReply) => "no_answer",
    };
    traffic.metrics.forwards.with_label_values(&[label]).inc();
    if let Ok(response) = &result {
        traffic.record_peer_contact(&to.name);
        traffic.ring.clock().observe(HybridTime(response.clock));
    }
    result
}
