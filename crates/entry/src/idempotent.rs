//! Calls that may repeat: at the home or here, with a second way beside one that seems silent.

use crate::answer::unknown_response;
use crate::call::{CallContext, CallOrigin, FORWARD_MARGIN, forward};
use crate::local::{LocalCall, RepeatPolicy, TriedServer, run_local};
use crate::traffic::{TrafficState, lock};
use futures::future::{Either, select};
use model::{InstanceRecord, MonoTime, RunVerdict, WorkClass};
use peer::{ForwardAnswer, PeerError};
use std::pin::pin;
use std::sync::Mutex;
use std::time::Duration;

/// Share of its time after which a call is also tried another way.
const HEDGE_SHARE: f64 = 0.5;
/// How long a home may answer nothing before short work is also tried another way.
const SILENCE_SPAN: Duration = Duration::from_millis(150);
/// Short work counts as slow after this many typical spans at a backend server.
const SLOW_FACTOR: u32 = 30;
/// Age below which work at a backend server never counts as slow.
const SLOW_MIN: Duration = Duration::from_millis(150);

/// Serves a call that may repeat. When it seems to meet silence, a second way is tried at the same
/// time; the first is not cut off, since it may only be a straggler.
pub(crate) async fn serve_idempotent(
    traffic: &TrafficState,
    context: &CallContext<'_>,
) -> ForwardAnswer {
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
            Err(PeerError::NoReply) => {
                let name = &traffic.settings.name;
                prefer(unknown_response(name, "no answer from the home"), here().await)
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
        let due = sent.unwrap_or(now).plus(slow_span).min(half);
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
        WorkClass::Short => context.arrived.plus(SILENCE_SPAN).min(half),
        WorkClass::Long => half,
    };
    for due in [early, half] {
        tokio::time::sleep_until(traffic.clock.instant_of(due).into()).await;
        if !traffic.had_peer_contact_since(&home.name, context.arrived) {
            // Later calls pass it over without waiting.
            traffic.avoid_instance(&home.name);
            return true;
        }
    }
    context.service.take_retry()
}

fn half_time(context: &CallContext<'_>) -> MonoTime {
    let left = context.deadline.since(context.arrived);
    context.arrived.plus(left.mul_f64(HEDGE_SHARE))
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
