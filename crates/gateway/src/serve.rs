//! Serves one request of a caller: its attempts, a second copy beside a slow one, and the answer.

use crate::decision_log::{AttemptLine, RequestLine};
use crate::exchange::{ExchangeEnd, OutboundCall, end_to_end, run_exchange};
use crate::slots::{SlotGuard, take_slot};
use crate::state::GatewayState;
use balance::{QueueRefusal, RequestSpec, RetryWindow};
use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use model::{ConfigVersion, Millis, MonoTime, ServerKey, ServiceName};
use routing::{RepeatKind, RouteEntry};
use smol_str::{SmolStr, format_smolstr};
use std::rc::Rc;
use std::time::Duration;

/// Part of the retry budget that second copies leave for requests that failed.
const COPY_RESERVE: f64 = 0.4;
/// A copy is considered when an exchange takes this many times longer than expected.
const COPY_FACTOR: f64 = 1.15;
/// Shortest time after which a copy is considered.
const COPY_MIN: Duration = Duration::from_millis(25);
/// Time between looks at an exchange that takes long.
const COPY_TICK: Duration = Duration::from_millis(25);
/// Tries that end before the request reached a server, for one attempt of a caller.
const UNREACHED_MAX: u32 = 4;
/// When a caller may come back to an instance that has no configuration.
const NO_CONFIG_RETRY: Millis = Millis(300);

/// The answer that is sent to the caller.
pub(crate) type CallerAnswer = Response<Full<Bytes>>;

/// A request after its route was found.
pub(crate) struct RoutedCall {
    pub call: OutboundCall,
    pub route: Rc<RouteEntry>,
    pub service: ServiceName,
    pub arrived: MonoTime,
    /// The configuration that selected the route.
    pub version: ConfigVersion,
}

/// What is known of the attempts so far.
#[derive(Default)]
struct AttemptHistory {
    tried: Vec<ServerKey>,
    /// Servers that the request reached.
    arrivals: u32,
    unreached: u32,
    may_have_run: bool,
    timed_out: bool,
    failure: Option<Response<Bytes>>,
    cause: SmolStr,
    copies: u32,
    waited: Duration,
    last: Option<AttemptLine>,
}

struct FlightEnd {
    end: ExchangeEnd,
    key: ServerKey,
    line: AttemptLine,
}

type Flights = FuturesUnordered<LocalBoxFuture<'static, FlightEnd>>;

/// An answer of this instance's own.
pub(crate) fn own_answer(status: StatusCode, text: &str, retry: Option<Millis>) -> CallerAnswer {
    let body = Bytes::from(format!("{text}\n"));
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    if let Some(retry) = retry {
        let seconds = format!("{:.3}", retry.duration().as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            answer.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    answer
}

/// Why a request was not accepted. It did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallRejection {
    pub status: StatusCode,
    pub text: &'static str,
    pub retry: Option<Millis>,
}

impl CallRejection {
    /// A request that will not be accepted later either.
    pub fn new(status: StatusCode, text: &'static str) -> Self {
        Self { status, text, retry: None }
    }

    /// A request that may come back.
    pub fn unavailable(text: &'static str, retry: Millis) -> Self {
        Self { status: StatusCode::SERVICE_UNAVAILABLE, text, retry: Some(retry) }
    }

    /// The refusal of an instance that knows no configuration yet.
    pub fn no_config() -> Self {
        Self::unavailable("no configuration yet", NO_CONFIG_RETRY)
    }

    /// The answer to the caller.
    pub fn answer(self) -> CallerAnswer {
        own_answer(self.status, self.text, self.retry)
    }
}

/// Serves a request.
pub(crate) async fn serve_routed(state: &Rc<GatewayState>, routed: RoutedCall) -> CallerAnswer {
    let now = state.now();
    state.queue().budget(&routed.service).record_request(now);
    let mut history = AttemptHistory::default();
    let routed = Rc::new(routed);
    let answer = run_attempts(state, &routed, &mut history).await;
    log_request(state, &routed, &history, &answer);
    answer
}

fn log_request(
    state: &GatewayState,
    routed: &RoutedCall,
    history: &AttemptHistory,
    answer: &CallerAnswer,
) {
    let span = state.now().since(routed.arrived);
    let status = answer.status().as_u16();
    state.metrics.request(&routed.service, routed.route.priority, status, span);
    state.log.request(&RequestLine {
        request: routed.call.request_id.to_str().unwrap_or("-"),
        route: &routed.route.name,
        service: routed.service.as_str(),
        status,
        cause: &history.cause,
        arrivals: history.arrivals,
        copies: history.copies,
        waited: history.waited,
        span,
        left: routed.call.deadline.since(state.now()),
        version: routed.version,
        last: history.last.as_ref(),
    });
}

async fn run_attempts(
    state: &Rc<GatewayState>,
    routed: &Rc<RoutedCall>,
    history: &mut AttemptHistory,
) -> CallerAnswer {
    loop {
        let asked = state.now();
        let guard = match take_slot(state, request_spec(routed, &history.tried)).await {
            Ok(guard) => guard,
            Err(turned) => return refusal_response(state, history, turned),
        };
        history.waited += state.now().since(asked);
        match run_flights(state, routed, history, guard).await {
            Some(answer) => return answer,
            None if may_try_again(state, routed, history) => {}
            None => return failure_answer(history),
        }
    }
}

fn request_spec(routed: &RoutedCall, tried: &[ServerKey]) -> RequestSpec {
    RequestSpec {
        service: routed.service.clone(),
        route: routed.route.name.clone(),
        priority: routed.route.priority,
        arrived: routed.arrived,
        objective: routed.arrived.plus(routed.route.objective.duration()),
        deadline: routed.call.deadline,
        avoid: tried.to_vec(),
    }
}

fn launch(
    state: &Rc<GatewayState>,
    routed: &Rc<RoutedCall>,
    guard: SlotGuard,
) -> LocalBoxFuture<'static, FlightEnd> {
    let (state, routed) = (Rc::clone(state), Rc::clone(routed));
    async move {
        let placement = guard.placement().clone();
        let sent = state.now();
        let end = run_exchange(&state, &routed.call, guard).await;
        let line = AttemptLine {
            server: SmolStr::new(placement.key.name.as_str()),
            occupancy: placement.occupancy,
            slowdown: placement.slowdown,
            report_age: placement.report_age,
            expected: placement.expected,
            span: state.now().since(sent),
        };
        FlightEnd { end, key: placement.key, line }
    }
    .boxed_local()
}

/// Runs one attempt, with a copy beside it if it takes long. Gives the answer, or none if another
/// attempt is needed.
async fn run_flights(
    state: &Rc<GatewayState>,
    routed: &Rc<RoutedCall>,
    history: &mut AttemptHistory,
    guard: SlotGuard,
) -> Option<CallerAnswer> {
    let flights: Flights = FuturesUnordered::new();
    let mut flights = flights;
    let expected = guard.placement().expected.mul_f64(COPY_FACTOR).max(COPY_MIN);
    let mut next_look = state.now().plus(expected);
    let mut can_copy = routed.route.repeat == RepeatKind::Idempotent;
    history.tried.push(guard.placement().key.clone());
    history.arrivals += 1;
    flights.push(launch(state, routed, guard));
    loop {
        let look = tokio::time::sleep_until(state.clock.instant_of(next_look).into());
        tokio::select! {
            biased;
            ended = flights.next() => {
                let ended = ended?;
                if let Some(answer) = settle(state, routed, history, ended) {
                    return Some(answer);
                }
                if flights.is_empty() {
                    return None;
                }
            }
            () = look, if can_copy && flights.len() == 1 => {
                next_look = state.now().plus(COPY_TICK);
                match second_copy(state, routed, history) {
                    CopyChoice::Send(guard) => {
                        history.tried.push(guard.placement().key.clone());
                        history.arrivals += 1;
                        history.copies += 1;
                        flights.push(launch(state, routed, guard));
                    }
                    CopyChoice::Later => {}
                    CopyChoice::Never => can_copy = false,
                }
            }
        }
    }
}

enum CopyChoice {
    Send(SlotGuard),
    Later,
    Never,
}

/// Sends a second copy of work that may repeat if a server is free that will probably be in time.
fn second_copy(
    state: &Rc<GatewayState>,
    routed: &RoutedCall,
    history: &AttemptHistory,
) -> CopyChoice {
    if history.arrivals >= routed.route.attempts {
        return CopyChoice::Never;
    }
    let now = state.now();
    let left = routed.call.deadline.since(now);
    let mut queue = state.queue();
    if !queue.budget(&routed.service).allows(now, COPY_RESERVE) {
        return CopyChoice::Later;
    }
    let spec = request_spec(routed, &history.tried);
    let Some((id, placement)) = queue.place_hedge(now, &spec, left) else {
        return CopyChoice::Later;
    };
    queue.budget(&routed.service).take_retry(now, 0.0);
    drop(queue);
    state.metrics.copies.inc();
    CopyChoice::Send(SlotGuard::new(state, id, placement))
}

/// Takes over the end of one exchange. Gives the answer if it is final.
fn settle(
    state: &Rc<GatewayState>,
    routed: &RoutedCall,
    history: &mut AttemptHistory,
    ended: FlightEnd,
) -> Option<CallerAnswer> {
    let is_failure =
        !matches!(&ended.end, ExchangeEnd::Answered(answer) if !answer.status().is_server_error());
    if is_failure {
        let request = routed.call.request_id.to_str().unwrap_or("-");
        state.log.attempt(request, &ended.line, &describe(&ended.end));
    }
    history.last = Some(ended.line);
    match ended.end {
        ExchangeEnd::Answered(answer) => {
            let retries_failure =
                answer.status().is_server_error() && routed.route.repeat == RepeatKind::Idempotent;
            if !retries_failure {
                return Some(passed_answer(state, answer));
            }
            history.cause = format_smolstr!("status {}", answer.status().as_u16());
            history.may_have_run = true;
            history.failure = Some(answer);
        }
        ExchangeEnd::NotRun { cause, arrived } => {
            if !arrived {
                history.arrivals -= 1;
                history.unreached += 1;
            }
            history.cause = cause;
        }
        ExchangeEnd::Unknown(cause) => {
            history.may_have_run = true;
            history.cause = format_smolstr!("{cause} at {}", ended.key.name);
        }
        ExchangeEnd::TimedOut => {
            history.may_have_run = true;
            history.timed_out = true;
            history.cause = format_smolstr!("no answer in time from {}", ended.key.name);
        }
    }
    None
}

fn describe(end: &ExchangeEnd) -> SmolStr {
    match end {
        ExchangeEnd::Answered(answer) => format_smolstr!("status {}", answer.status().as_u16()),
        ExchangeEnd::NotRun { cause, .. } => format_smolstr!("not run: {cause}"),
        ExchangeEnd::Unknown(cause) => format_smolstr!("may have run: {cause}"),
        ExchangeEnd::TimedOut => "may have run: no answer in time".into(),
    }
}

/// Whether the request may be sent once more.
fn may_try_again(state: &GatewayState, routed: &RoutedCall, history: &mut AttemptHistory) -> bool {
    let must_not_repeat = routed.route.repeat == RepeatKind::Once && history.may_have_run;
    if must_not_repeat || history.timed_out || history.unreached >= UNREACHED_MAX {
        return false;
    }
    if history.arrivals >= routed.route.attempts {
        return false;
    }
    let now = state.now();
    if !state.queue().can_meet_deadline(now, &request_spec(routed, &history.tried)) {
        history.cause = format_smolstr!("{}; too little time left", history.cause);
        return false;
    }
    // A request that reached no server yet is not counted as repeated.
    let reserve = RetryWindow::reserve_for_priority(routed.route.priority);
    let is_allowed =
        history.arrivals == 0 || state.queue().budget(&routed.service).take_retry(now, reserve);
    if !is_allowed {
        history.cause = format_smolstr!("{}; retry budget used up", history.cause);
    }
    is_allowed
}

/// The answer after the last attempt failed.
fn failure_answer(history: &mut AttemptHistory) -> CallerAnswer {
    if let Some(failure) = history.failure.take() {
        return response_of(failure);
    }
    if history.timed_out {
        return own_answer(StatusCode::GATEWAY_TIMEOUT, &history.cause, None);
    }
    if history.may_have_run {
        return own_answer(StatusCode::BAD_GATEWAY, &history.cause, None);
    }
    own_answer(StatusCode::SERVICE_UNAVAILABLE, &history.cause, Some(Millis(100)))
}

/// Only a request that no server may have run is refused as not run.
fn refusal_response(
    state: &GatewayState,
    history: &mut AttemptHistory,
    turned: QueueRefusal,
) -> CallerAnswer {
    state.metrics.refused(turned.cause.as_str());
    if history.may_have_run {
        return failure_answer(history);
    }
    history.cause = SmolStr::new_static(turned.cause.as_str());
    own_answer(StatusCode::SERVICE_UNAVAILABLE, turned.cause.as_str(), Some(turned.retry_after))
}

fn passed_answer(state: &GatewayState, answer: Response<Bytes>) -> CallerAnswer {
    let mut answer = response_of(answer);
    answer.headers_mut().remove(&state.binding.headers().load);
    answer
}

fn response_of(answer: Response<Bytes>) -> CallerAnswer {
    let (parts, body) = answer.into_parts();
    let mut passed = Response::new(Full::new(body));
    *passed.status_mut() = parts.status;
    *passed.headers_mut() = end_to_end(&parts.headers);
    passed
}
