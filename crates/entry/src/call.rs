//! Serves a call: here, at the home of its service, or at the owner of its ticket. A call is passed
//! on at most once.

use crate::answer::CallRefusal;
use crate::idempotent::serve_idempotent;
use crate::local::RepeatPolicy;
use crate::once::serve_once;
use crate::refuse::{IdempotencyKeys, refuse_call};
use crate::service::ServiceRuntime;
use crate::traffic::TrafficState;
use control::FleetView;
use dispatch::route_times::route_of;
use model::{InstanceRecord, MonoTime, WorkClass};
use peer::{ForwardAnswer, ForwardCall, PeerError};
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Duration;
use timeline::{EventKind, HybridTime};

/// Deepest accepted chain of calls.
pub const DEPTH_MAX: u32 = 16;
/// Time beyond its deadline in which another instance can still say how a call ended.
pub(crate) const FORWARD_MARGIN: Duration = Duration::from_millis(50);

/// Who sent a call to this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOrigin {
    /// A caller.
    Caller,
    /// Another instance; the call must not be passed on again.
    Peer,
}

/// A caller's own key for work that must not repeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerKey {
    /// The key.
    pub key: SmolStr,
    /// Whether the caller declares this as its first attempt.
    pub is_first: bool,
}

/// A call on its way through this instance.
pub struct CallContext<'a> {
    /// The call.
    pub call: &'a ForwardCall,
    /// Who sent it.
    pub origin: CallOrigin,
    /// The caller's own key, if it brought one.
    pub key: Option<CallerKey>,
    /// When it arrived here.
    pub arrived: MonoTime,
    /// When its answer is due.
    pub deadline: MonoTime,
    /// Class of the work.
    pub class: WorkClass,
    /// The state of the fleet when it arrived.
    pub view: Arc<FleetView>,
    /// The queue of its service.
    pub service: Arc<ServiceRuntime>,
}

/// Serves a call and records it on the time line.
pub async fn serve_call(
    traffic: &Arc<TrafficState>,
    call: &ForwardCall,
    origin: CallOrigin,
    key: Option<CallerKey>,
) -> ForwardAnswer {
    traffic.ring.clock().observe(HybridTime(call.clock));
    traffic.metrics.in_progress.inc();
    let counted = InProgressGuard(traffic);
    let keys = IdempotencyKeys { ticket: call.ticket.clone(), key: key.clone() };
    let mut answer = match route_call(traffic, call, origin, key).await {
        Ok(answer) => answer,
        Err(refusal) => {
            traffic.metrics.refusals.with_label_values(&[refusal.label()]).inc();
            refuse_call(traffic, &keys, &refusal)
        }
    };
    drop(counted);
    if origin == CallOrigin::Caller {
        traffic.metrics.calls.with_label_values(&[answer.verdict.as_str()]).inc();
    }
    traffic.ring.record(EventKind::Ended {
        request: call.request.clone(),
        verdict: answer.verdict,
        cause: if answer.server.is_empty() { error_text(&answer) } else { SmolStr::default() },
    });
    answer.clock = traffic.ring.clock().now().0;
    answer
}

/// Counts a call in progress, also when its caller goes away.
struct InProgressGuard<'a>(&'a TrafficState);

impl Drop for InProgressGuard<'_> {
    fn drop(&mut self) {
        self.0.metrics.in_progress.dec();
    }
}

pub(crate) fn error_text(answer: &ForwardAnswer) -> SmolStr {
    let body: Option<model::wire::ErrorBody> = serde_json::from_slice(&answer.body).ok();
    body.map(|body| body.error).unwrap_or_default()
}

async fn route_call(
    traffic: &Arc<TrafficState>,
    call: &ForwardCall,
    origin: CallOrigin,
    key: Option<CallerKey>,
) -> Result<ForwardAnswer, CallRefusal> {
    let arrived = traffic.clock.now();
    let view = traffic.view.load_full();
    let config = view.config.as_ref().ok_or(CallRefusal::NoConfig)?;
    let service_config = config.services.get(&call.service).ok_or(CallRefusal::UnknownService)?;
    if traffic.is_isolated(&view) {
        return Err(CallRefusal::Isolated);
    }
    if traffic.is_stale(&view) {
        return Err(CallRefusal::Stale);
    }
    if call.depth.0 > DEPTH_MAX {
        return Err(CallRefusal::TooDeep);
    }
    let service = traffic.service(&call.service).ok_or(CallRefusal::UnknownService)?;
    let rule = service_config.rule_for(&call.path);
    let class =
        rule.and_then(|rule| rule.class).unwrap_or_else(|| service.class_of(route_of(&call.path)));
    let repeat = repeat_policy(call, rule.and_then(|rule| rule.idempotent));
    traffic.ring.record(EventKind::Arrived {
        request: call.request.clone(),
        service: call.service.clone(),
        class,
    });
    let deadline = arrived.plus(call.deadline.duration());
    let context = CallContext {
        call,
        origin,
        key,
        arrived,
        deadline,
        class,
        view: Arc::clone(&view),
        service,
    };
    match repeat {
        RepeatPolicy::Once => serve_once(traffic, context).await,
        RepeatPolicy::Idempotent => Ok(serve_idempotent(traffic, &context).await),
    }
}

/// Only safe methods may repeat, unless a rule says otherwise. A ticket always counts.
fn repeat_policy(call: &ForwardCall, rule: Option<bool>) -> RepeatPolicy {
    if call.ticket.is_some() {
        return RepeatPolicy::Once;
    }
    let is_safe = matches!(call.method.as_str(), "GET" | "HEAD" | "OPTIONS");
    if rule.unwrap_or(is_safe) { RepeatPolicy::Idempotent } else { RepeatPolicy::Once }
}

/// Passes a call to another instance and waits up to `timeout` for the answer.
pub(crate) async fn forward(
    traffic: &TrafficState,
    call: &ForwardCall,
    to: &InstanceRecord,
    left: Duration,
    timeout: Duration,
) -> Result<ForwardAnswer, PeerError> {
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
    if let Ok(answer) = &result {
        traffic.record_peer_contact(&to.name);
        traffic.ring.clock().observe(HybridTime(answer.clock));
    }
    result
}
