//! Which backend server gets a request, or whether it waits for a better one.

use crate::contention::ContentionCurve;
use crate::estimates::{BackendState, LoadEstimates};
use model::{DataCentre, MonoTime, ServerKey, ServiceName};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// How long a server keeps the pace that it has now, on average.
const SLOWDOWN_REST: Duration = Duration::from_millis(250);
/// What a failed request costs, as time.
const FAILURE_COST: Duration = Duration::from_millis(1_500);
/// What a server in another data centre costs, as a part of the request's work; its bytes are priced.
const DISTANCE_SHARE: f64 = 0.6;
/// Advantage of a server that this instance has not tried yet, as time, so that servers that were
/// added get work wherever they stand.
const UNTRIED_BONUS: Duration = Duration::from_millis(150);
/// How much longer than at a server of usual pace a request may take before it rather waits for one.
const PATIENCE_FACTOR: f64 = 1.3;
/// Pace up to which a server counts as usual, and how fresh the report must be for that.
const USUAL_SLOWDOWN: f64 = 1.5;
const USUAL_WEIGHT: f64 = 0.6;
/// Random addition that breaks ties, as a part of the cost.
const TIE_SPREAD: f64 = 0.04;

/// What a placing decision rests on.
#[derive(Debug)]
pub struct PlacementInputs<'a> {
    /// The load picture.
    pub estimates: &'a LoadEstimates,
    /// The service.
    pub service: &'a ServiceName,
    /// Now.
    pub now: MonoTime,
    /// Where this instance stands.
    pub data_centre: &'a DataCentre,
    /// Mean work of the request.
    pub processing_time: Duration,
    /// How servers of the service slow down when they have more work.
    pub contention: &'a ContentionCurve,
    /// Servers that must not get it.
    pub avoid: &'a [ServerKey],
    /// Other instances that decide for the same servers.
    pub competing_instances: u32,
    /// Requests of the service that go first.
    pub ahead: usize,
    /// The time left if the request is late anyway: it then takes any free slot in which it can still
    /// end, since slots of slow servers would stay idle. None while waiting may pay.
    pub finish_within: Option<Duration>,
}

/// The decision.
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementDecision {
    /// Send it there. The time it probably takes.
    Send(ServerKey, Duration),
    /// Keep it waiting. How long until a good slot is free, probably.
    Wait(Duration),
    /// No server of the service takes work.
    NoServer,
}

/// Places requests.
pub trait PlacementPolicy {
    /// Decides for one request.
    fn place(&mut self, inputs: &PlacementInputs<'_>) -> PlacementDecision;
}

/// Sends to where the request is expected to finish first, or keeps it while waiting for a free slot
/// of a server that works at its usual pace is expected to be faster.
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
    /// Breaks ties in the same way each time, so that a play can be repeated.
    pub fn with_seed(seed: u64) -> Self {
        Self { random: SmallRng::seed_from_u64(seed) }
    }
}

/// Time that work takes at a server whose pace is known to some degree.
pub fn expected_duration(work: Duration, slowdown: f64, weight: f64, mean_slowdown: f64) -> f64 {
    let work = work.as_secs_f64();
    let rest = SLOWDOWN_REST.as_secs_f64();
    let later = mean_slowdown.max(1.0);
    let in_rest = rest / slowdown.max(0.1);
    let known = if work <= in_rest { work * slowdown } else { rest + (work - in_rest) * later };
    let unknown = work * later;
    known * weight + unknown * (1.0 - weight)
}

impl ExpectedFinish {
    fn cost(&mut self, inputs: &PlacementInputs<'_>, state: &BackendState) -> (f64, f64) {
        let now = inputs.now;
        let slots = f64::from(state.spec.slots.0.max(1));
        let occupancy = state.occupancy(now);
        let occupied = f64::from(occupancy);
        let (slowdown, weight) = state.slowdown(now);
        let cold = state.cold_factor(now);
        let contention = inputs.contention.factor(occupancy, state.spec.slots);
        let span = expected_duration(
            inputs.processing_time,
            slowdown,
            weight,
            inputs.estimates.mean_slowdown(),
        );
        let span = span * cold * contention;
        let queued = (occupied - slots + 1.0).max(0.0) / slots * span;
        let failure = state.failure_share(now) * FAILURE_COST.as_secs_f64();
        let is_near = state.spec.data_centre == *inputs.data_centre;
        let distance =
            if is_near { 0.0 } else { inputs.processing_time.as_secs_f64() * DISTANCE_SHARE };
        let tie = 1.0 + self.random.random_range(0.0..TIE_SPREAD);
        let bonus = if state.is_unused() { UNTRIED_BONUS.as_secs_f64() } else { 0.0 };
        ((span + queued + failure + distance) * tie - bonus, span + queued)
    }
}

/// Slots of a server that count as taken. In another data centre a report shows a free slot to all
/// instances that decide at the same time; each counts on the others to take as many as it does.
fn claimed(inputs: &PlacementInputs<'_>, state: &BackendState) -> u32 {
    let occupancy = state.occupancy(inputs.now);
    if state.spec.data_centre == *inputs.data_centre {
        return occupancy;
    }
    let others = inputs.competing_instances.saturating_sub(1);
    occupancy + others * (1 + state.sent_since_report())
}

fn candidates<'a>(inputs: &PlacementInputs<'a>) -> Vec<&'a BackendState> {
    let avoid = inputs.avoid;
    inputs
        .estimates
        .servers_of(inputs.service)
        .filter(|state| state.is_usable(inputs.now) && !avoid.contains(&state.spec.key))
        .collect()
}

impl PlacementPolicy for ExpectedFinish {
    fn place(&mut self, inputs: &PlacementInputs<'_>) -> PlacementDecision {
        let now = inputs.now;
        let usable = candidates(inputs);
        if usable.is_empty() {
            return no_candidate(inputs);
        }
        let slots_of = |state: &BackendState| inputs.contention.useful_slots(state.spec.slots);
        let is_free = |state: &BackendState| claimed(inputs, state) < slots_of(state);
        let mut best: Option<(&BackendState, f64, f64)> = None;
        let mut busy = 0.0;
        for state in usable {
            let (slowdown, weight) = state.slowdown(now);
            let fast = slowdown * weight + inputs.estimates.mean_slowdown() * (1.0 - weight);
            busy += f64::from(state.occupancy(now).min(slots_of(state))) / fast.max(1.0);
            if !is_free(state) {
                continue;
            }
            let (cost, span) = self.cost(inputs, state);
            if best.is_none_or(|(_, lowest, _)| cost < lowest) {
                best = Some((state, cost, span));
            }
        }
        let work = inputs.processing_time.as_secs_f64();
        let turn = work / busy.max(1.0) * (inputs.ahead as f64 + 1.0);
        let worth_waiting_for = turn + work * PATIENCE_FACTOR;
        match best {
            Some((state, _, span))
                if span <= worth_waiting_for
                    || settles(inputs, span)
                    || busy < 1.0
                    || is_usual(state, now) =>
            {
                PlacementDecision::Send(state.spec.key.clone(), Duration::from_secs_f64(span))
            }
            _ => PlacementDecision::Wait(Duration::from_secs_f64(turn)),
        }
    }
}

fn settles(inputs: &PlacementInputs<'_>, span: f64) -> bool {
    inputs.finish_within.is_some_and(|left| span <= left.as_secs_f64())
}

/// Whether a server works at its usual pace, by a report that still holds.
fn is_usual(state: &BackendState, now: MonoTime) -> bool {
    let (slowdown, weight) = state.slowdown(now);
    slowdown <= USUAL_SLOWDOWN && weight >= USUAL_WEIGHT
}

fn no_candidate(inputs: &PlacementInputs<'_>) -> PlacementDecision {
    let avoid = inputs.avoid;
    let mut hopeful = inputs
        .estimates
        .servers_of(inputs.service)
        .filter(|state| state.is_candidate() && !avoid.contains(&state.spec.key));
    match hopeful.next() {
        Some(_) => PlacementDecision::Wait(inputs.processing_time),
        None => PlacementDecision::NoServer,
    }
}

/// Sends to any usable server at once: the baseline for comparisons.
#[derive(Debug)]
pub struct BlindRule {
    random: SmallRng,
}

impl Default for BlindRule {
    fn default() -> Self {
        Self { random: SmallRng::from_rng(&mut rand::rng()) }
    }
}

impl PlacementPolicy for BlindRule {
    fn place(&mut self, inputs: &PlacementInputs<'_>) -> PlacementDecision {
        let usable = candidates(inputs);
        if usable.is_empty() {
            return no_candidate(inputs);
        }
        let chosen = usable[self.random.random_range(0..usable.len())];
        PlacementDecision::Send(chosen.spec.key.clone(), inputs.processing_time)
    }
}
