//! Placement: chooses the backend server for a request, or lets the request wait for a better one.

use crate::contention::ContentionCurve;
use crate::estimates::{BackendState, LoadEstimates};
use crate::outflow::OutflowQuote;
use crate::rate_limit::RateAllowance;
use crate::reach::ServerReach;
use model::{DataCentre, MonoTime, ServerKey, ServiceName, bounded_duration};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Mean time until a server's current slowdown changes.
const SLOWDOWN_DURATION_MEAN: Duration = Duration::from_millis(250);
/// Cost of a failed exchange, as time.
const FAILURE_COST: Duration = Duration::from_millis(1_500);
/// Reduction of the cost of a server to which this instance has sent no request yet, as time. With
/// it, servers that are added in any data centre get requests.
const UNUSED_SERVER_BONUS: Duration = Duration::from_millis(150);
/// A request is sent at once if its expected duration is at most the expected wait plus this
/// multiple of the processing time.
const WAIT_THRESHOLD_FACTOR: f64 = 1.3;
/// Highest slowdown factor at which a server counts as working at normal speed.
const NORMAL_SLOWDOWN_MAX: f64 = 1.5;
/// Lowest weight of a slowdown report that shows normal speed; the weight decays with the report's
/// age.
const NORMAL_REPORT_WEIGHT_MIN: f64 = 0.6;
/// Longest forecast of a wait.
const WAIT_MAX: Duration = Duration::from_secs(60);
/// Largest random increase of a server's cost, as a ratio; it breaks ties.
const TIE_BREAK_RATIO_MAX: f64 = 0.04;

/// The request to place and the state that the decision depends on.
#[derive(Debug)]
pub struct PlacementInputs<'a> {
    /// Load estimates of the backend servers.
    pub estimates: &'a LoadEstimates,
    /// Service of the request.
    pub service: &'a ServiceName,
    /// Time of the decision.
    pub now: MonoTime,
    /// Data centre of this instance.
    pub data_centre: &'a DataCentre,
    /// Mean processing time of the request's route.
    pub processing_time: Duration,
    /// Contention curve of the service.
    pub contention: &'a ContentionCurve,
    /// What a server in another data centre costs.
    pub outflow: OutflowQuote<'a>,
    /// Servers that must not get the request.
    pub avoid: &'a [ServerKey],
    /// Number of waiting requests of the service that are served before this one.
    pub ahead: usize,
    /// Time left before the deadline if the request will miss its objective even when sent now,
    /// else `None`. Such a request takes any free slot in which it can finish before the deadline;
    /// the slots of slow servers would stay idle otherwise.
    pub finish_within: Option<Duration>,
}

/// The decision of a [`PlacementPolicy`].
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementDecision {
    /// Send the request to this server; with the expected duration of the exchange.
    Send(ServerKey, Duration),
    /// Let the request wait; with the expected time until a suitable slot is free.
    Wait(Duration),
    /// The service has no eligible server.
    NoServer,
    /// All eligible servers want no requests; with the time until the first one takes them again.
    Quiet(Duration),
}

/// Chooses backend servers for requests.
pub trait PlacementPolicy {
    /// Decides on one request.
    fn place(&mut self, inputs: &PlacementInputs<'_>) -> PlacementDecision;
}

/// Sends a request to the server where it is expected to finish first. Lets it wait while a slot of
/// a server at normal speed is expected to be free early enough for it to finish sooner there.
#[derive(Debug)]
pub struct ExpectedFinish {
    random: SmallRng,
}

impl Default for ExpectedFinish {
    fn default() -> Self {
        Self { random: SmallRng::from_rng(&mut rand::rng()) }
    }
}

impl ExpectedFinish {
    /// Creates a policy that breaks ties by a seeded random generator, for reproducible
    /// simulations.
    pub fn with_seed(seed: u64) -> Self {
        Self { random: SmallRng::seed_from_u64(seed) }
    }
}

/// Returns the expected duration, in seconds, of a request at a server whose reported slowdown has
/// a weight of 0 to 1. The reported slowdown applies for `SLOWDOWN_DURATION_MEAN`, then the mean
/// slowdown.
pub fn expected_duration(
    processing_time: Duration,
    slowdown: f64,
    weight: f64,
    mean_slowdown: f64,
) -> f64 {
    let processing_s = processing_time.as_secs_f64();
    let period_s = SLOWDOWN_DURATION_MEAN.as_secs_f64();
    let later_slowdown = mean_slowdown.max(1.0);
    let done_in_period_s = period_s / slowdown.max(0.1);
    let by_report = if processing_s <= done_in_period_s {
        processing_s * slowdown
    } else {
        period_s + (processing_s - done_in_period_s) * later_slowdown
    };
    let by_mean = processing_s * later_slowdown;
    by_report * weight + by_mean * (1.0 - weight)
}

/// Parts of the cost of sending a request to a server, in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerCost {
    /// Expected time at the server.
    pub run_s: f64,
    /// Expected wait at the server.
    pub queued_s: f64,
    /// For the ratio of its exchanges that failed lately.
    pub failures_s: f64,
    /// For the trip to another data centre and the bytes that cross the border.
    pub trip_s: f64,
    /// By which a server in another data centre must be better.
    pub margin_s: f64,
    /// Deducted for a server that got no request of this instance yet.
    pub bonus_s: f64,
}

impl ServerCost {
    /// Returns the cost of a server for a request.
    pub fn of(inputs: &PlacementInputs<'_>, state: &BackendState) -> Self {
        let now = inputs.now;
        let slots = f64::from(state.spec.slots.0.max(1));
        let occupancy = state.occupancy(now);
        let occupied = f64::from(occupancy);
        let (slowdown, weight) = state.slowdown(now);
        let warm_up = state.warm_up_factor(now);
        let contention = inputs.contention.factor(occupancy, state.spec.slots);
        let run_s = expected_duration(
            inputs.processing_time,
            slowdown,
            weight,
            inputs.estimates.mean_slowdown(),
        );
        let run_s = run_s * warm_up * contention;
        let queued_s = (occupied - slots + 1.0).max(0.0) / slots * run_s;
        let is_near = state.spec.data_centre == *inputs.data_centre;
        let trip_s = match is_near {
            true => 0.0,
            false => inputs.outflow.trip_s(&state.spec.data_centre),
        };
        // No margin for a server that was added: it must get requests in any data centre.
        let margin_s = match is_near || state.is_unused() {
            true => 0.0,
            false => inputs.outflow.margin_s,
        };
        Self {
            run_s,
            queued_s,
            failures_s: state.failure_ratio(now) * FAILURE_COST.as_secs_f64(),
            trip_s,
            margin_s,
            bonus_s: if state.is_unused() { UNUSED_SERVER_BONUS.as_secs_f64() } else { 0.0 },
        }
    }

    /// Returns the expected duration of the exchange.
    pub fn duration_s(&self) -> f64 {
        self.run_s + self.queued_s
    }

    /// Returns the sum, with all parts but the bonus multiplied by `tie_break`.
    fn total(&self, tie_break: f64) -> f64 {
        let parts = [self.run_s, self.queued_s, self.failures_s, self.trip_s, self.margin_s];
        parts.iter().sum::<f64>() * tie_break - self.bonus_s
    }

    /// Returns the sum of all parts.
    pub fn sum(&self) -> f64 {
        self.total(1.0)
    }
}

/// Why a server gets no request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerExclusion {
    /// It is leaving, its data centre is evacuated, or another server has its address.
    Withdrawn,
    /// It failed or shed requests a moment ago.
    BackingOff,
    /// It asked for no requests.
    Quiet,
    /// The request was sent there already.
    Tried,
    /// It limits its requests, or is cold, and this instance's part is used up.
    RateUsedUp,
    /// All slots that are worth using are taken, or may be claimed by other instances.
    Full,
    /// Other homes use it.
    OutOfReach,
}

impl ServerExclusion {
    /// Returns the reason in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Withdrawn => "leaving, evacuated or replaced",
            Self::BackingOff => "failed a moment ago",
            Self::Quiet => "asked for no requests",
            Self::Tried => "tried already",
            Self::RateUsedUp => "its rate is used up",
            Self::Full => "no free slot",
            Self::OutOfReach => "used by other homes",
        }
    }

    /// Returns why a server can't get a request, apart from its slots and rates.
    fn of_candidate(inputs: &PlacementInputs<'_>, state: &BackendState) -> Option<Self> {
        if !state.is_eligible() {
            Some(Self::Withdrawn)
        } else if state.is_quiet(inputs.now) {
            Some(Self::Quiet)
        } else if !state.is_usable(inputs.now) {
            Some(Self::BackingOff)
        } else {
            inputs.avoid.contains(&state.spec.key).then_some(Self::Tried)
        }
    }

    /// Returns why a candidate has no room for a request.
    fn of_room(inputs: &PlacementInputs<'_>, state: &BackendState) -> Option<Self> {
        let slots = inputs.contention.useful_slots(state.spec.slots);
        if inputs.estimates.exhausted_allowance(inputs.now, state).is_some() {
            Some(Self::RateUsedUp)
        } else {
            let is_free =
                state.accepts_one_more(inputs.now) && claimed_slots(inputs, state, slots) < slots;
            (!is_free).then_some(Self::Full)
        }
    }
}

/// One server as the placement of a request sees it.
#[derive(Debug)]
pub struct ServerView<'a> {
    /// The server.
    pub state: &'a BackendState,
    /// Why it gets no request; `None` if it can get the request.
    pub exclusion: Option<ServerExclusion>,
    /// Its cost.
    pub cost: ServerCost,
}

/// Returns all servers of the service as the placement of a request sees them.
pub fn server_views<'a>(inputs: &PlacementInputs<'a>) -> Vec<ServerView<'a>> {
    let chosen: Vec<&BackendState> = candidates(inputs);
    let view = |state: &'a BackendState| {
        let is_chosen = chosen.iter().any(|known| known.spec.key == state.spec.key);
        let exclusion = ServerExclusion::of_candidate(inputs, state)
            .or_else(|| (!is_chosen).then_some(ServerExclusion::OutOfReach))
            .or_else(|| ServerExclusion::of_room(inputs, state));
        ServerView { state, exclusion, cost: ServerCost::of(inputs, state) }
    };
    let within = inputs.estimates.servers_of(inputs.service);
    within.chain(inputs.estimates.servers_beyond(inputs.service)).map(view).collect()
}

/// Returns the number of a server's slots that count as taken. Competing instances see the same
/// free slots of a server at the same time. For each of them this adds as many requests as this
/// instance has sent since the report, and one more. An idle server is never counted as full.
fn claimed_slots(inputs: &PlacementInputs<'_>, state: &BackendState, useful_slots: u32) -> u32 {
    let occupancy = state.occupancy(inputs.now);
    let ServerReach::Guest { competitors } = state.reach else {
        return occupancy;
    };
    let claims = competitors.saturating_mul(state.sent_since_report().saturating_add(1));
    occupancy.saturating_add(claims.min(useful_slots.saturating_sub(1)))
}

/// Servers that get no request now since they limit the rate of their requests.
#[derive(Debug, Clone, Copy, Default)]
struct LimitedCapacity {
    /// Requests a second that this instance may send to them.
    per_s: f64,
    /// Sum of the started parts of the next request to each of them.
    tokens: f64,
    servers: u32,
}

impl LimitedCapacity {
    fn add(&mut self, allowance: &RateAllowance, now: MonoTime) {
        self.per_s += allowance.own_rate();
        self.tokens += allowance.tokens(now).max(0.0);
        self.servers += 1;
    }

    /// Returns by how many requests they are ahead of their rates. Of several servers, the next requests
    /// are half started on average.
    fn started(self) -> f64 {
        (self.tokens - f64::from(self.servers.saturating_sub(1)) / 2.0).max(0.0)
    }

    /// Returns the expected wait of a request, in seconds, if other servers serve `slots_per_s` requests
    /// a second.
    fn wait_s(self, ahead: usize, slots_per_s: f64) -> f64 {
        let wait_s = (ahead as f64 + 1.0 - self.started()).max(0.0) / (self.per_s + slots_per_s);
        wait_s.min(WAIT_MAX.as_secs_f64())
    }
}

/// Returns the servers of the service that may get the request now: those within reach or, if none of
/// them can be used, any.
fn candidates<'a>(inputs: &PlacementInputs<'a>) -> Vec<&'a BackendState> {
    let is_candidate =
        |state: &&BackendState| ServerExclusion::of_candidate(inputs, state).is_none();
    let within: Vec<&BackendState> =
        inputs.estimates.servers_of(inputs.service).filter(is_candidate).collect();
    if !within.is_empty() {
        return within;
    }
    inputs.estimates.servers_beyond(inputs.service).filter(is_candidate).collect()
}

impl PlacementPolicy for ExpectedFinish {
    fn place(&mut self, inputs: &PlacementInputs<'_>) -> PlacementDecision {
        let now = inputs.now;
        let usable = candidates(inputs);
        if usable.is_empty() {
            return without_usable_server(inputs);
        }
        let slots_of = |state: &BackendState| inputs.contention.useful_slots(state.spec.slots);
        let mut best: Option<(&BackendState, f64, f64)> = None;
        // Slots in use, converted to slots at normal speed that serve as many requests.
        let mut busy_at_normal_speed = 0.0;
        let mut limited = LimitedCapacity::default();
        let mut are_all_limited = true;
        for state in usable {
            if let Some(allowance) = inputs.estimates.exhausted_allowance(now, state) {
                limited.add(&allowance, now);
                continue;
            }
            are_all_limited = false;
            let slowdown = inputs.estimates.expected_slowdown(now, state);
            busy_at_normal_speed +=
                f64::from(state.occupancy(now).min(slots_of(state))) / slowdown.max(1.0);
            if ServerExclusion::of_room(inputs, state).is_some() {
                continue;
            }
            let server_cost = ServerCost::of(inputs, state);
            let tie_break = 1.0 + self.random.random_range(0.0..TIE_BREAK_RATIO_MAX);
            let cost = server_cost.total(tie_break);
            if best.is_none_or(|(_, lowest, _)| cost < lowest) {
                best = Some((state, cost, server_cost.duration_s()));
            }
        }
        let processing_s = inputs.processing_time.as_secs_f64();
        let slots_per_s =
            if are_all_limited { 0.0 } else { busy_at_normal_speed.max(1.0) / processing_s };
        let wait_s = limited.wait_s(inputs.ahead, slots_per_s);
        let send_limit_s = wait_s + processing_s * WAIT_THRESHOLD_FACTOR;
        match best {
            Some((state, _, duration_s))
                if duration_s <= send_limit_s
                    || finishes_within(inputs, duration_s)
                    || busy_at_normal_speed < 1.0
                    || has_normal_speed(state, now) =>
            {
                PlacementDecision::Send(state.spec.key.clone(), bounded_duration(duration_s))
            }
            _ => PlacementDecision::Wait(bounded_duration(wait_s)),
        }
    }
}

fn finishes_within(inputs: &PlacementInputs<'_>, duration_s: f64) -> bool {
    inputs.finish_within.is_some_and(|left| duration_s <= left.as_secs_f64())
}

/// Whether a recent report shows that a server works at normal speed.
fn has_normal_speed(state: &BackendState, now: MonoTime) -> bool {
    let (slowdown, weight) = state.slowdown(now);
    slowdown <= NORMAL_SLOWDOWN_MAX && weight >= NORMAL_REPORT_WEIGHT_MIN
}

/// Decides while no server is usable: the request waits if an eligible one that wants requests may become
/// usable.
fn without_usable_server(inputs: &PlacementInputs<'_>) -> PlacementDecision {
    let avoid = inputs.avoid;
    let mut eligible = inputs
        .estimates
        .servers_of(inputs.service)
        .chain(inputs.estimates.servers_beyond(inputs.service))
        .filter(|state| state.is_eligible() && !avoid.contains(&state.spec.key));
    let Some(first) = eligible.next() else {
        return PlacementDecision::NoServer;
    };
    let quiet_left = eligible
        .map(|state| state.quiet_left(inputs.now))
        .fold(first.quiet_left(inputs.now), Duration::min);
    if quiet_left.is_zero() {
        return PlacementDecision::Wait(inputs.processing_time);
    }
    PlacementDecision::Quiet(quiet_left)
}

/// Sends each request to a random usable server at once; a baseline for comparisons.
#[derive(Debug)]
pub struct RandomPlacement {
    random: SmallRng,
}

impl Default for RandomPlacement {
    fn default() -> Self {
        Self { random: SmallRng::from_rng(&mut rand::rng()) }
    }
}

impl PlacementPolicy for RandomPlacement {
    fn place(&mut self, inputs: &PlacementInputs<'_>) -> PlacementDecision {
        let usable = candidates(inputs);
        if usable.is_empty() {
            return without_usable_server(inputs);
        }
        let chosen = usable[self.random.random_range(0..usable.len())];
        PlacementDecision::Send(chosen.spec.key.clone(), inputs.processing_time)
    }
}
