//! Serves a call: here, at the home of its service, or at the owner of its ticket. A call is passed
//! on at most once.

use crate::answer::{CallRefusal, unknown_answer};
use crate::local::{LocalCall, RepeatPolicy, TriedServer, run_local};
use crate::once::serve_once;
use crate::refuse::{WorkClaim, refuse_call};
use crate::service::ServiceRuntime;
use crate::traffic::{TrafficState, lock};
use control::FleetView;
use dispatch::learn::route_of;
use futures::future::{Either, select};
use model::{InstanceRecord, MonoTime, RunVerdict, WorkClass};
use peer::{ForwardAnswer, ForwardCall, PeerError};
use smol_str::SmolStr;
use std::pin::pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use timeline::{EventKind, HybridTime};

/// Deepest accepted chain of calls.
pub const DEPTH_MAX: u32 = 16;
/// Share of its time after which a call is also tried another way.
const HEDGE_SHARE: f64 = 0.5;
/// How long a home may answer nothing before short work is also tried another way.
const SILENCE_SPAN: Duration = Duration::from_millis(150);
/// Short work counts as slow after this many typical spans at a backend server.
const SLOW_FACTOR: u32 = 30;
/// Age below which work at a backend server never counts as slow.
const SLOW_MIN: Duration = Duration::from_millis(150);
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
    let claim = WorkClaim { ticket: call.ticket.clone(), key: key.clone() };
    let mut answer = match route_call(traffic, call, origin, key).await {
        Ok(answer) => answer,
        Err(refusal) => {
            traffic.metrics.refusals.with_label_values(&[refusal.label()]).inc();
            refuse_call(traffic, &claim, &refusal)
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

fn error_text(answer: &ForwardAnswer) -> SmolStr {
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
    let deadline = arrived.after(call.deadline.span());
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

/// Serves a call that may repeat. When it seems to meet silence, a second way is tried at the same
/// time; the first is not cut off, since it may only be a straggler.
async fn serve_idempotent(traffic: &TrafficState, context: &CallContext<'_>) -> ForwardAnswer {
    context.service.record_request();
    let tried = Mutex::default();
    let here = || serve_here(traffic, context, &tried);
    let home = match context.origin {
        CallOrigin::Caller => forward_home(traffic, context),
        CallOrigin::Peer => None,
    };
    let Some(home) = home else {
        return hedge(here(), server_is_slow(traffic, context, &tried), here()).await;
    };
    let at_home = async {
        let answer = forward_to_home(traffic, context, home).await;
        match answer {
            Ok(answer) => answer,
            Err(PeerError::NotSent) => here().await,
            Err(PeerError::NoAnswer) => {
                let name = &traffic.settings.name;
                prefer(unknown_answer(name, "no answer from the home"), here().await)
            }
        }
    };
    hedge(at_home, home_is_silent(traffic, context, home), here()).await
}

/// Ends when a call has been with a backend server for far longer than is typical, or half of its
/// time has passed; tells whether the retry budget allows a second way.
async fn server_is_slow(
    traffic: &TrafficState,
    context: &CallContext<'_>,
    tried: &Mutex<Vec<TriedServer>>,
) -> bool {
    let slow_span = match context.class {
        WorkClass::Short => (context.service.typical() * SLOW_FACTOR).max(SLOW_MIN),
        WorkClass::Long => context.deadline.since(context.arrived),
    };
    let half = half_time(context);
    loop {
        let now = traffic.clock.now();
        let sent = lock(tried).first().map(|tried| tried.at);
        let due = sent.unwrap_or(now).after(slow_span).min(half);
        if now >= due {
            return context.service.take_retry();
        }
        tokio::time::sleep_until(traffic.clock.instant_of(due).into()).await;
    }
}

/// Ends when the home has answered nothing at all since the call arrived, so that it seems silent
/// and not busy. A busy home gets a second way only after half of the time, within the budget.
async fn home_is_silent(
    traffic: &TrafficState,
    context: &CallContext<'_>,
    home: &InstanceRecord,
) -> bool {
    let half = half_time(context);
    let early = match context.class {
        WorkClass::Short => context.arrived.after(SILENCE_SPAN).min(half),
        WorkClass::Long => half,
    };
    for due in [early, half] {
        tokio::time::sleep_until(traffic.clock.instant_of(due).into()).await;
        if !traffic.was_heard_since(&home.name, context.arrived) {
            // Later calls pass it over without waiting.
            traffic.avoid_instance(&home.name);
            return true;
        }
    }
    context.service.take_retry()
}

fn half_time(context: &CallContext<'_>) -> MonoTime {
    let left = context.deadline.since(context.arrived);
    context.arrived.after(left.mul_f64(HEDGE_SHARE))
}

async fn serve_here(
    traffic: &TrafficState,
    context: &CallContext<'_>,
    tried: &Mutex<Vec<TriedServer>>,
) -> ForwardAnswer {
    let local = LocalCall {
        call: context.call,
        class: context.class,
        repeat: RepeatPolicy::Idempotent,
        arrived: context.arrived,
        deadline: context.deadline,
        answer_until: context.deadline,
        tried,
    };
    run_local(traffic, &context.service, &local).await
}

/// Takes the answer of the first way; when `starts` ends with true before that, also tries the
/// second one and takes whichever the work ran on first.
async fn hedge(
    first: impl Future<Output = ForwardAnswer>,
    starts: impl Future<Output = bool>,
    second: impl Future<Output = ForwardAnswer>,
) -> ForwardAnswer {
    let first = pin!(first);
    let first = match select(first, pin!(starts)).await {
        Either::Left((answer, _)) => return answer,
        Either::Right((false, first)) => return first.await,
        Either::Right((true, first)) => first,
    };
    match select(first, pin!(second)).await {
        Either::Left((answer, _)) | Either::Right((answer, _))
            if answer.verdict == RunVerdict::Ran =>
        {
            answer
        }
        Either::Left((answer, second)) => prefer(answer, second.await),
        Either::Right((answer, first)) => prefer(first.await, answer),
    }
}

/// Of two answers to one call the one that says more; not-run only if both say so.
fn prefer(first: ForwardAnswer, second: ForwardAnswer) -> ForwardAnswer {
    match (first.verdict, second.verdict) {
        (_, RunVerdict::Ran) => second,
        (RunVerdict::NotRun, RunVerdict::MayHaveRun) => second,
        _ => first,
    }
}

/// The home to pass a call to, or none if this instance serves it.
fn forward_home<'a>(
    traffic: &TrafficState,
    context: &'a CallContext<'_>,
) -> Option<&'a InstanceRecord> {
    let view = &context.view;
    let is_home = view.home_rank(&context.call.service).is_some();
    if is_home || !traffic.settings.rule.uses_homes() {
        return None;
    }
    let homes = &view.homes.get(&context.call.service)?.homes;
    let home = homes.iter().find(|home| !traffic.is_avoided(home))?;
    view.live_record(home)
}

async fn forward_to_home(
    traffic: &TrafficState,
    context: &CallContext<'_>,
    home: &InstanceRecord,
) -> Result<ForwardAnswer, PeerError> {
    let left = context.deadline.since(traffic.clock.now());
    let result = forward(traffic, context.call, home, left, left + FORWARD_MARGIN).await;
    if result.is_err() {
        traffic.avoid_instance(&home.name);
    }
    result
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
        Err(PeerError::NoAnswer) => "no_answer",
    };
    traffic.metrics.forwards.with_label_values(&[label]).inc();
    if let Ok(answer) = &result {
        traffic.record_heard(&to.name);
        traffic.ring.clock().observe(HybridTime(answer.clock));
    }
    result
}
