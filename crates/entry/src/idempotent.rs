//! Serves idempotent requests at the home of the service or at this instance, and hedges them when
//! the first exchange is slow or the home is unresponsive.

use crate::local::{Idempotency, LocalRequest, ServerAttempt, run_local};
use crate::request::{FORWARD_MARGIN, RequestContext, RequestOrigin, forward};
use crate::response::unknown_response;
use crate::traffic::{TrafficState, lock};
use dispatch::{HedgeTiming, hedge_timing};
use futures::future::{Either, select};
use model::{InstanceRecord, MonoTime, RunVerdict, WorkClass};
use peer::{ForwardReply, PeerError};
use std::pin::pin;
use std::sync::Mutex;
use std::time::Duration;

/// Fraction of the time from arrival to deadline after which a request is hedged.
const HEDGE_DEADLINE_RATIO: f64 = 0.5;
/// Time without any response from the home after which short work is hedged.
const HOME_UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(150);

/// Serves an idempotent request. The first exchange continues while its hedge runs, since it may
/// only be slow.
pub(crate) async fn serve_idempotent(
    traffic: &TrafficState,
    context: &RequestContext<'_>,
) -> ForwardReply {
    context.service.record_request();
    let attempts = Mutex::default();
    let here = || serve_here(traffic, context, &attempts);
    let home = match context.origin {
        RequestOrigin::Caller => remote_home(traffic, context),
        RequestOrigin::Peer => None,
    };
    let Some(home) = home else {
        return hedge(here(), wait_for_slow_server(traffic, context, &attempts), here()).await;
    };
    let at_home = async {
        let result = forward_to_home(traffic, context, home).await;
        match result {
            Ok(response) => response,
            Err(PeerError::NotSent) => here().await,
            Err(PeerError::NoReply) => {
                let name = &traffic.settings.name;
                more_conclusive(
                    unknown_response(name, "the home of the service did not reply"),
                    here().await,
                )
            }
        }
    };
    hedge(at_home, wait_for_unresponsive_home(traffic, context, home), here()).await
}

/// Waits until the first exchange of short work takes far longer than typical, or until half of the
/// time to the deadline has passed. Returns whether the retry budget allows a hedge.
async fn wait_for_slow_server(
    traffic: &TrafficState,
    context: &RequestContext<'_>,
    attempts: &Mutex<Vec<ServerAttempt>>,
) -> bool {
    let slow_after = match slow_server_timing(context) {
        HedgeTiming::Never => return false,
        HedgeTiming::HalfTime => context.deadline.since(context.arrived),
        HedgeTiming::SlowerThan(age) => age,
    };
    let hedge_at = hedge_time(context);
    loop {
        let now = traffic.clock.now();
        let sent = lock(attempts).first().map(|attempt| attempt.sent_at);
        let due = sent.unwrap_or(now).plus(slow_after).min(hedge_at);
        if now >= due {
            return context.service.take_retry();
        }
        tokio::time::sleep_until(traffic.clock.instant_of(due).into()).await;
    }
}

fn slow_server_timing(context: &RequestContext<'_>) -> HedgeTiming {
    let typical = context.service.typical_service_time();
    hedge_timing(context.call.depth, context.class, typical)
}

/// Waits until the request should be hedged, and returns whether to hedge it. A home that has
/// replied to nothing since this request arrived counts as unresponsive and is hedged at once;
/// beside a home that is only busy, the hedge waits for half of the time and needs the retry budget.
async fn wait_for_unresponsive_home(
    traffic: &TrafficState,
    context: &RequestContext<'_>,
    home: &InstanceRecord,
) -> bool {
    let hedge_at = hedge_time(context);
    let early = match context.class {
        WorkClass::Short => context.arrived.plus(HOME_UNRESPONSIVE_TIMEOUT).min(hedge_at),
        WorkClass::Long => hedge_at,
    };
    for due in [early, hedge_at] {
        if !has_contact_by(traffic, context, home, due).await {
            // Later requests avoid the home without waiting.
            traffic.avoid_instance(&home.name);
            return true;
        }
    }
    slow_server_timing(context) != HedgeTiming::Never && context.service.take_retry()
}

/// Waits until `due`. Returns whether the home replied to anything since the request arrived.
///
/// A home that works only on slow requests replies to none of them, so it is sent an empty query
/// after half of the wait.
async fn has_contact_by(
    traffic: &TrafficState,
    context: &RequestContext<'_>,
    home: &InstanceRecord,
    due: MonoTime,
) -> bool {
    let has_contact = || traffic.had_peer_contact_since(&home.name, context.arrived);
    let left = || due.since(traffic.clock.now());
    tokio::time::sleep(left() / 2).await;
    if !has_contact() {
        let query = traffic.peers.call(home.peer_address, left(), |client, context| async move {
            client.describe(context, Vec::new()).await
        });
        if query.await.is_ok() {
            traffic.record_peer_contact(&home.name);
        }
    }
    tokio::time::sleep_until(traffic.clock.instant_of(due).into()).await;
    has_contact()
}

fn hedge_time(context: &RequestContext<'_>) -> MonoTime {
    let left = context.deadline.since(context.arrived);
    context.arrived.plus(left.mul_f64(HEDGE_DEADLINE_RATIO))
}

async fn serve_here(
    traffic: &TrafficState,
    context: &RequestContext<'_>,
    attempts: &Mutex<Vec<ServerAttempt>>,
) -> ForwardReply {
    let local = LocalRequest {
        call: context.call,
        class: context.class,
        idempotency: Idempotency::Idempotent,
        arrived: context.arrived,
        deadline: context.deadline,
        response_deadline: context.deadline,
        attempts,
    };
    run_local(traffic, &context.service, &local).await
}

/// Runs `first`, and beside it `second` if `trigger` returns true before `first` ends. Returns the
/// first response of work that ran, or else the more conclusive of both.
async fn hedge(
    first: impl Future<Output = ForwardReply>,
    trigger: impl Future<Output = bool>,
    second: impl Future<Output = ForwardReply>,
) -> ForwardReply {
    let first = pin!(first);
    let first = match select(first, pin!(trigger)).await {
        Either::Left((response, _)) => return response,
        Either::Right((false, first)) => return first.await,
        Either::Right((true, first)) => first,
    };
    match select(first, pin!(second)).await {
        Either::Left((response, _)) | Either::Right((response, _))
            if response.verdict == RunVerdict::Ran =>
        {
            response
        }
        Either::Left((response, second)) => more_conclusive(response, second.await),
        Either::Right((response, first)) => more_conclusive(first.await, response),
    }
}

/// Returns the more conclusive of two responses to one request: `ran`, then
/// `may-have-run`. The result is `not-run` only if both are.
fn more_conclusive(first: ForwardReply, second: ForwardReply) -> ForwardReply {
    match (first.verdict, second.verdict) {
        (_, RunVerdict::Ran) => second,
        (RunVerdict::NotRun, RunVerdict::MayHaveRun) => second,
        _ => first,
    }
}

/// Returns the home to forward a request to, or `None` if this instance serves it.
fn remote_home<'a>(
    traffic: &TrafficState,
    context: &'a RequestContext<'_>,
) -> Option<&'a InstanceRecord> {
    let view = &context.view;
    let is_home = view.home_rank(&context.call.service).is_some();
    if is_home || !traffic.settings.rule.uses_homes() {
        return None;
    }
    let homes = &view.homes.get(&context.call.service)?.homes;
    let home = homes.iter().find(|home| !traffic.is_avoided(home))?;
    view.alive_record(home)
}

async fn forward_to_home(
    traffic: &TrafficState,
    context: &RequestContext<'_>,
    home: &InstanceRecord,
) -> Result<ForwardReply, PeerError> {
    let left = context.deadline.since(traffic.clock.now());
    let result = forward(traffic, context.call, home, left, left + FORWARD_MARGIN).await;
    if result.is_err() {
        traffic.avoid_instance(&home.name);
    }
    result
}
