//! Serves one request of a caller: attempts, hedged requests and the response.

use crate::decision_log::{AttemptLine, RequestLine};
use crate::exchange::{ExchangeEnd, OutboundRequest, end_to_end, run_exchange};
use crate::slots::{SlotGuard, acquire_slot};
use crate::state::GatewayState;
use crate::supervise::spawn_task;
use balance::{QueueRefusal, RequestSpec, RetryWindow, TeamShare};
use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use model::{ConfigVersion, Millis, MonoTime, ServerKey, ServiceName, TeamName};
use routing::{Idempotency, RouteEntry};
use smol_str::{SmolStr, format_smolstr};
use std::rc::Rc;
use std::time::Duration;

/// Share of the retry budget that hedged requests leave for retries of failed ones.
const HEDGE_RESERVE: f64 = 0.4;
/// A request may be hedged once an exchange has taken this many times its expected duration.
const HEDGE_DELAY_FACTOR: f64 = 1.15;
/// Shortest time after which a request may be hedged.
const HEDGE_DELAY_MIN: Duration = Duration::from_millis(25);
/// Interval between checks whether a slow exchange can be hedged.
const HEDGE_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Time in which a server refuses a request that it does not run: a round trip and little work.
const REFUSAL_WAIT: Duration = Duration::from_millis(40);
/// Maximum number of exchanges of a request that reach no server. They don't count as attempts.
const UNREACHABLE_MAX: u32 = 4;
/// `Retry-After` of an instance that has no configuration.
const NO_CONFIG_RETRY_AFTER: Millis = Millis(300);

/// A response to a caller.
pub(crate) type CallerResponse = Response<Full<Bytes>>;

/// A request with the route that was selected for it.
pub(crate) struct RoutedRequest {
    pub outbound: OutboundRequest,
    pub route: Rc<RouteEntry>,
    pub service: ServiceName,
    /// The team of the caller; `None` if the route needs no key.
    pub share: Option<TeamShare>,
    /// Priority of the team, or of the route if the team has none.
    pub priority: u8,
    pub arrived: MonoTime,
    /// Time at which the caller leaves, which may be after the route's timeout.
    pub caller_deadline: MonoTime,
    /// The configuration that selected the route.
    pub version: ConfigVersion,
}

/// Results of the attempts of one request so far.
#[derive(Default)]
struct AttemptHistory {
    tried: Vec<ServerKey>,
    /// Exchanges counted against the route's allowed attempts: all but those that reached no
    /// server.
    attempts: u32,
    /// Exchanges that reached no server.
    unreachable: u32,
    may_have_run: bool,
    timed_out: bool,
    /// The last response with a server error. It is returned if no attempt succeeds.
    failure: Option<Response<Bytes>>,
    /// Why the last attempt failed; sent to the caller and logged.
    cause: SmolStr,
    hedges: u32,
    /// When the latest exchange was started.
    sent_at: MonoTime,
    /// Total time spent waiting for slots.
    waited: Duration,
    last: Option<AttemptLine>,
}

struct FinishedExchange {
    end: ExchangeEnd,
    key: ServerKey,
    line: AttemptLine,
}

type PendingExchanges = FuturesUnordered<LocalBoxFuture<'static, FinishedExchange>>;

/// Builds a plain-text response of this instance, with a `Retry-After` header in seconds if `retry`
/// is set.
pub(crate) fn plain_response(
    status: StatusCode,
    text: &str,
    retry: Option<Millis>,
) -> CallerResponse {
    let body = Bytes::from(format!("{text}\n"));
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    if let Some(retry) = retry {
        let seconds = format!("{:.3}", retry.duration().as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// The response to a request that was rejected before any attempt. The request did not run.
#[derive(Debug)]
pub(crate) struct RequestRejection {
    pub status: StatusCode,
    pub text: &'static str,
    pub retry: Option<Millis>,
    /// The team of the caller, for the log.
    pub team: Option<TeamName>,
}

impl RequestRejection {
    /// Creates a rejection without a `Retry-After` header: the request would be rejected again.
    pub fn new(status: StatusCode, text: &'static str) -> Self {
        Self { status, text, retry: None, team: None }
    }

    /// Creates a rejection with status 503 and a delay after which the caller may retry.
    pub fn unavailable(text: &'static str, retry: Millis) -> Self {
        Self { retry: Some(retry), ..Self::new(StatusCode::SERVICE_UNAVAILABLE, text) }
    }

    /// Creates the rejection of an instance that has no configuration yet.
    pub fn no_config() -> Self {
        Self::unavailable("no configuration yet", NO_CONFIG_RETRY_AFTER)
    }

    /// Converts the rejection into a response.
    pub fn response(self) -> CallerResponse {
        plain_response(self.status, self.text, self.retry)
    }
}

/// The response to a request that was accepted.
pub(crate) struct ServedRequest {
    pub response: CallerResponse,
    /// Whether a server may have run the request.
    pub may_have_run: bool,
}

/// Serves a request and records it in the log and the metrics.
pub(crate) async fn serve_request(
    state: &Rc<GatewayState>,
    routed: RoutedRequest,
) -> ServedRequest {
    let now = state.now();
    state.queue().budget(now, &routed.service).record_request(now);
    let mut history = AttemptHistory::default();
    let routed = Rc::new(routed);
    let response = run_attempts(state, &routed, &mut history).await;
    log_request(state, &routed, &history, &response);
    ServedRequest { response, may_have_run: history.may_have_run }
}

fn log_request(
    state: &GatewayState,
    routed: &RoutedRequest,
    history: &AttemptHistory,
    response: &CallerResponse,
) {
    let elapsed = state.now().since(routed.arrived);
    let status = response.status().as_u16();
    state.metrics.request(&routed.service, routed.priority, status, elapsed);
    state.log.request(&RequestLine {
        request: routed.outbound.request_id.to_str().unwrap_or("-"),
        route: &routed.route.name,
        service: routed.service.as_str(),
        team: routed.share.as_ref().map(|share| share.team.as_str()),
        status,
        cause: &history.cause,
        attempts: history.attempts,
        hedges: history.hedges,
        waited: history.waited,
        elapsed,
        left: routed.outbound.deadline.since(state.now()),
        version: routed.version,
        last: history.last.as_ref(),
    });
}

async fn run_attempts(
    state: &Rc<GatewayState>,
    routed: &Rc<RoutedRequest>,
    history: &mut AttemptHistory,
) -> CallerResponse {
    loop {
        let queued_at = state.now();
        let guard = match acquire_slot(state, request_spec(routed, &history.tried)).await {
            Ok(guard) => guard,
            Err(refusal) => return refusal_response(state, history, refusal),
        };
        history.waited += state.now().since(queued_at);
        match run_attempt(state, routed, history, guard).await {
            Some(response) => return response,
            None if may_retry(state, routed, history) => {}
            None => return failure_response(history),
        }
    }
}

fn request_spec(routed: &RoutedRequest, tried: &[ServerKey]) -> RequestSpec {
    RequestSpec {
        service: routed.service.clone(),
        route: routed.route.name.clone(),
        share: routed.share.clone(),
        priority: routed.priority,
        arrived: routed.arrived,
        objective: routed.arrived.plus(routed.route.objective.duration()),
        deadline: routed.outbound.deadline,
        avoid: tried.to_vec(),
    }
}

/// Returns what a request of a route asks of the queue if it arrives now and its caller waits as long as the
/// route allows.
pub(crate) fn request_spec_of(
    now: MonoTime,
    route: &RouteEntry,
    service: &ServiceName,
    share: Option<TeamShare>,
    priority: u8,
) -> RequestSpec {
    RequestSpec {
        service: service.clone(),
        route: route.name.clone(),
        share,
        priority,
        arrived: now,
        objective: now.plus(route.objective.duration()),
        deadline: now.plus(route.timeout.duration()),
        avoid: Vec::new(),
    }
}

fn start_exchange(
    state: &Rc<GatewayState>,
    routed: &Rc<RoutedRequest>,
    history: &mut AttemptHistory,
    guard: SlotGuard,
) -> LocalBoxFuture<'static, FinishedExchange> {
    history.sent_at = state.now();
    let (state, routed) = (Rc::clone(state), Rc::clone(routed));
    async move {
        let placement = guard.placement().clone();
        let sent = state.now();
        let end = run_exchange(&state, &routed.outbound, guard).await;
        let line = AttemptLine {
            server: SmolStr::new(placement.key.name.as_str()),
            occupancy: placement.occupancy,
            slowdown: placement.slowdown,
            report_age: placement.report_age,
            expected: placement.expected,
            away_at_pressure: placement.is_away.then_some(placement.pressure),
            elapsed: state.now().since(sent),
        };
        FinishedExchange { end, key: placement.key, line }
    }
    .boxed_local()
}

/// Runs one exchange, hedged if it is slow. Returns the response, or `None` if all exchanges
/// failed.
async fn run_attempt(
    state: &Rc<GatewayState>,
    routed: &Rc<RoutedRequest>,
    history: &mut AttemptHistory,
    guard: SlotGuard,
) -> Option<CallerResponse> {
    let pending: PendingExchanges = FuturesUnordered::new();
    let mut pending = pending;
    let hedge_delay = guard.placement().expected.mul_f64(HEDGE_DELAY_FACTOR).max(HEDGE_DELAY_MIN);
    let mut next_check = state.now().plus(hedge_delay);
    let mut can_hedge = routed.route.idempotency == Idempotency::Idempotent;
    history.tried.push(guard.placement().key.clone());
    history.attempts += 1;
    pending.push(start_exchange(state, routed, history, guard));
    let ending = state.wait_ending();
    tokio::pin!(ending);
    loop {
        let check = tokio::time::sleep_until(state.clock.instant_of(next_check).into());
        tokio::select! {
            biased;
            finished = pending.next() => {
                let finished = finished?;
                if let Some(response) = record_exchange(state, routed, history, finished) {
                    await_refusals(state, history.sent_at, pending);
                    return Some(response);
                }
                if pending.is_empty() {
                    return None;
                }
            }
            () = check, if can_hedge && pending.len() == 1 => {
                next_check = state.now().plus(HEDGE_CHECK_INTERVAL);
                match try_hedge(state, routed, history) {
                    HedgeDecision::Send(guard) => {
                        history.tried.push(guard.placement().key.clone());
                        history.attempts += 1;
                        history.hedges += 1;
                        pending.push(start_exchange(state, routed, history, guard));
                    }
                    HedgeDecision::Later => {}
                    HedgeDecision::Never => can_hedge = false,
                }
            }
            () = &mut ending => {
                history.may_have_run = true;
                history.timed_out = true;
                history.cause = "the instance stopped before the server responded".into();
                return None;
            }
        }
    }
}

/// Waits a moment, in the background, for exchanges that another response made needless and that were sent just
/// now. A server that refuses one of them may ask for no requests, and never tells it again.
fn await_refusals(state: &Rc<GatewayState>, sent_at: MonoTime, pending: PendingExchanges) {
    let left = REFUSAL_WAIT.saturating_sub(state.now().since(sent_at));
    if pending.is_empty() || left.is_zero() {
        return;
    }
    let refusals = async move {
        // Dropped exchanges close their connections, which ends the work at the servers.
        let _ = tokio::time::timeout(left, pending.for_each(async |_| {})).await;
    };
    spawn_task(state, "superseded exchange", refusals);
}

enum HedgeDecision {
    Send(SlotGuard),
    Later,
    Never,
}

/// Reserves a slot for a hedged request if the retry budget allows it and a free server is expected
/// to respond before the deadline.
fn try_hedge(
    state: &Rc<GatewayState>,
    routed: &RoutedRequest,
    history: &AttemptHistory,
) -> HedgeDecision {
    if history.attempts >= routed.route.attempts {
        return HedgeDecision::Never;
    }
    let now = state.now();
    let left = routed.outbound.deadline.since(now);
    let mut queue = state.queue();
    if !queue.budget(now, &routed.service).allows(now, HEDGE_RESERVE) {
        return HedgeDecision::Later;
    }
    let spec = request_spec(routed, &history.tried);
    let Some((id, placement)) = queue.place_hedge(now, &spec, left) else {
        return HedgeDecision::Later;
    };
    queue.budget(now, &routed.service).take_retry(now, 0.0);
    drop(queue);
    state.metrics.hedges.inc();
    HedgeDecision::Send(SlotGuard::new(state, id, placement))
}

/// Records the end of one exchange. Returns the response if it is final.
fn record_exchange(
    state: &Rc<GatewayState>,
    routed: &RoutedRequest,
    history: &mut AttemptHistory,
    finished: FinishedExchange,
) -> Option<CallerResponse> {
    let is_failure = !matches!(
        &finished.end,
        ExchangeEnd::Answered(response) if !response.status().is_server_error()
    );
    if is_failure {
        let request = routed.outbound.request_id.to_str().unwrap_or("-");
        state.log.attempt(request, &finished.line, &describe_end(&finished.end));
    }
    history.last = Some(finished.line);
    match finished.end {
        ExchangeEnd::Answered(response) => {
            let is_retryable_failure = response.status().is_server_error()
                && routed.route.idempotency == Idempotency::Idempotent;
            if !is_retryable_failure {
                history.may_have_run = true;
                return Some(forwarded_response(state, response));
            }
            history.cause = format_smolstr!("status {}", response.status().as_u16());
            history.may_have_run = true;
            history.failure = Some(response);
        }
        ExchangeEnd::NotRun { cause, was_reached } => {
            if !was_reached {
                history.attempts -= 1;
                history.unreachable += 1;
            }
            history.cause = cause;
        }
        ExchangeEnd::MayHaveRun(cause) => {
            history.may_have_run = true;
            history.cause = format_smolstr!("{cause} at {}", finished.key.name);
        }
        ExchangeEnd::TimedOut => {
            history.may_have_run = true;
            history.timed_out = true;
            history.cause = format_smolstr!("no response in time from {}", finished.key.name);
        }
    }
    None
}

fn describe_end(end: &ExchangeEnd) -> SmolStr {
    match end {
        ExchangeEnd::Answered(response) => format_smolstr!("status {}", response.status().as_u16()),
        ExchangeEnd::NotRun { cause, .. } => format_smolstr!("not run: {cause}"),
        ExchangeEnd::MayHaveRun(cause) => format_smolstr!("may have run: {cause}"),
        ExchangeEnd::TimedOut => "may have run: no response in time".into(),
    }
}

/// Whether another attempt is safe, in time and within the retry budget. If so, counts it against
/// the budget.
fn may_retry(state: &GatewayState, routed: &RoutedRequest, history: &mut AttemptHistory) -> bool {
    let must_not_repeat =
        routed.route.idempotency == Idempotency::NonIdempotent && history.may_have_run;
    if must_not_repeat || history.timed_out || history.unreachable >= UNREACHABLE_MAX {
        return false;
    }
    if history.attempts >= routed.route.attempts {
        return false;
    }
    let now = state.now();
    if !state.queue().can_meet_deadline(now, &request_spec(routed, &history.tried)) {
        history.cause = format_smolstr!("{}; too little time left", history.cause);
        return false;
    }
    // The attempt counts as a retry only if the request has already reached a server.
    let reserve = RetryWindow::reserve_for_priority(routed.priority);
    let is_allowed = history.attempts == 0
        || state.queue().budget(now, &routed.service).take_retry(now, reserve);
    if !is_allowed {
        history.cause = format_smolstr!("{}; retry budget used up", history.cause);
    }
    is_allowed
}

/// Returns the response to a request whose last attempt failed.
fn failure_response(history: &mut AttemptHistory) -> CallerResponse {
    if let Some(failure) = history.failure.take() {
        return caller_response(failure);
    }
    if history.timed_out {
        return plain_response(StatusCode::GATEWAY_TIMEOUT, &history.cause, None);
    }
    if history.may_have_run {
        return plain_response(StatusCode::BAD_GATEWAY, &history.cause, None);
    }
    plain_response(StatusCode::SERVICE_UNAVAILABLE, &history.cause, Some(Millis(100)))
}

/// Returns the response to a request that got no slot. The status 503 guarantees that no server ran
/// the request, so it is used only if no earlier attempt may have run.
fn refusal_response(
    state: &GatewayState,
    history: &mut AttemptHistory,
    refusal: QueueRefusal,
) -> CallerResponse {
    state.metrics.refused(refusal.cause.as_str());
    if history.may_have_run {
        return failure_response(history);
    }
    history.cause = SmolStr::new_static(refusal.cause.as_str());
    plain_response(
        StatusCode::SERVICE_UNAVAILABLE,
        refusal.cause.as_str(),
        Some(refusal.retry_after),
    )
}

fn forwarded_response(state: &GatewayState, response: Response<Bytes>) -> CallerResponse {
    let mut response = caller_response(response);
    response.headers_mut().remove(&state.binding.headers().load);
    response
}

fn caller_response(response: Response<Bytes>) -> CallerResponse {
    let (parts, body) = response.into_parts();
    let mut forwarded = Response::new(Full::new(body));
    *forwarded.status_mut() = parts.status;
    *forwarded.headers_mut() = end_to_end(&parts.headers);
    forwarded
}
