//! The queue of requests that wait for a slot, over all services.
//!
//! A request is sent only into a slot that is believed free. Those that can still meet their objective
//! go before those that are late anyway; among them higher rank goes first, then the one that arrived
//! first. Under more load than the servers bear, a queue without this serves everything late. A
//! request that probably can't be answered in time is turned away at once.

use crate::budget::{BudgetPolicy, RetryWindow};
use crate::estimates::{ExchangeOutcome, LoadEstimates};
use crate::placement::{PlacementDecision, PlacementInputs, PlacementPolicy};
use crate::processing::ProcessingTimes;
use model::{DataCentre, Millis, MonoTime, ServerKey, ServiceName, SlotCount};
use smol_str::SmolStr;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Shortest and longest time after which a caller that was turned away is asked to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);
/// How many times the mean work must still fit before a request's objective for it to count as timely;
/// most requests take no longer. Without a margin all that wait for long are served a little late.
const TIMELY_FACTOR: f64 = 1.4;
/// Part of the mean work that must still fit before a waiting request's deadline.
const LAST_CHANCE: f64 = 0.8;

/// Bounds of the queue.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuePolicy {
    /// Where this instance stands.
    pub data_centre: DataCentre,
    /// Most requests that wait, over all services.
    pub waiting_max: usize,
    /// The retry budget of each service.
    pub budget: BudgetPolicy,
}

/// A request that asks for a slot.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// Its service.
    pub service: ServiceName,
    /// Its route.
    pub route: SmolStr,
    /// Its rank; 0 goes first.
    pub priority: u8,
    /// When it arrived at this instance.
    pub arrived: MonoTime,
    /// Until when an answer is worth most.
    pub objective: MonoTime,
    /// When an answer is of no use any more.
    pub deadline: MonoTime,
    /// Servers that already had it.
    pub avoid: Vec<ServerKey>,
}

/// Identifies a request in the queue and in a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueId(pub u64);

/// A slot that a request got.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The server.
    pub key: ServerKey,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether its connections may hold stray bytes.
    pub is_desynced: bool,
    /// Requests that the server had.
    pub occupancy: u32,
    /// Slots of the server.
    pub slots: SlotCount,
    /// Its last reported pace.
    pub slowdown: f64,
    /// Age of the report that decided, if there was one.
    pub report_age: Option<Duration>,
    /// How long the request will probably take.
    pub expected: Duration,
}

/// Why a request was turned away without being sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// No server of the service takes work.
    NoServer,
    /// The queue is full.
    QueueFull,
    /// Its turn would come too late.
    TooLate,
    /// Its time passed while it waited.
    Expired,
}

impl RefusalCause {
    /// The cause as it stands in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoServer => "no_server",
            Self::QueueFull => "queue_full",
            Self::TooLate => "too_late",
            Self::Expired => "expired",
        }
    }
}

/// A request that was turned away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueRefusal {
    /// Why.
    pub cause: RefusalCause,
    /// When there is probably room.
    pub retry_after: Millis,
}

/// What was decided for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum QueueDecision {
    /// Send it.
    Send(Placement),
    /// It can't be served.
    Refuse(QueueRefusal),
}

#[derive(Debug)]
struct WaitingRequest {
    id: QueueId,
    spec: RequestSpec,
}

/// Rank, arrival and number: the order of service.
type OrderKey = (u8, MonoTime, u64);

/// Queue, load picture and budgets of this instance.
pub struct RequestQueue {
    policy: QueuePolicy,
    rule: Box<dyn PlacementPolicy>,
    /// What is believed of the servers.
    pub estimates: LoadEstimates,
    /// What is known of the routes.
    pub processing: ProcessingTimes,
    waiting: HashMap<ServiceName, BTreeMap<OrderKey, WaitingRequest>>,
    waiting_count: usize,
    budgets: HashMap<ServiceName, RetryWindow>,
    extra_share: f64,
    competing_instances: u32,
    next_id: u64,
}

impl RequestQueue {
    /// Starts empty.
    pub fn new(policy: QueuePolicy, rule: Box<dyn PlacementPolicy>) -> Self {
        Self {
            policy,
            rule,
            estimates: LoadEstimates::default(),
            processing: ProcessingTimes::default(),
            waiting: HashMap::new(),
            waiting_count: 0,
            budgets: HashMap::new(),
            extra_share: 0.0,
            competing_instances: 0,
            next_id: 0,
        }
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting_count
    }

    /// Sets the part of the shared extra retries that this instance may use, 0 to 1.
    pub fn set_extra_share(&mut self, part: f64) {
        self.extra_share = part;
        for budget in self.budgets.values_mut() {
            budget.set_extra_share(part);
        }
    }

    /// Sets how many other instances decide for the same servers.
    pub fn set_competing_instances(&mut self, competing_instances: u32) {
        self.competing_instances = competing_instances;
    }

    /// The retry budget of a service.
    pub fn budget(&mut self, service: &ServiceName) -> &mut RetryWindow {
        let (policy, part) = (self.policy.budget, self.extra_share);
        self.budgets.entry(service.clone()).or_insert_with(|| {
            let mut window = RetryWindow::new(policy);
            window.set_extra_share(part);
            window
        })
    }

    /// A request asks for a slot. Without a decision it waits; [`Self::advance`] tells later.
    pub fn submit(&mut self, now: MonoTime, spec: RequestSpec) -> (QueueId, Option<QueueDecision>) {
        self.next_id += 1;
        let id = QueueId(self.next_id);
        let ahead = self.ahead_of(&spec);
        let verdict = self.place(now, &spec, ahead);
        let decision = match verdict {
            PlacementDecision::Send(key, expected) => {
                Some(QueueDecision::Send(self.start(now, id, key, expected)))
            }
            PlacementDecision::NoServer => {
                Some(refuse(RefusalCause::NoServer, RETRY_AFTER_MIN * 10))
            }
            PlacementDecision::Wait(wait) => {
                let is_late = !self.can_meet_deadline(now.plus(wait), &spec);
                if self.waiting_count >= self.policy.waiting_max {
                    Some(refuse(RefusalCause::QueueFull, wait))
                } else if is_late {
                    Some(refuse(RefusalCause::TooLate, wait))
                } else {
                    self.waiting_count += 1;
                    let order = (spec.priority, spec.arrived, id.0);
                    let queue = self.waiting.entry(spec.service.clone()).or_default();
                    queue.insert(order, WaitingRequest { id, spec });
                    None
                }
            }
        };
        (id, decision)
    }

    /// Whether enough time is left for a request to be sent once more.
    pub fn can_meet_deadline(&self, now: MonoTime, spec: &RequestSpec) -> bool {
        now.plus(self.processing_time(spec).mul_f64(LAST_CHANCE)) <= spec.deadline
    }

    /// A server for a further copy of a request that is already under way, if one is free now.
    pub fn place_hedge(
        &mut self,
        now: MonoTime,
        spec: &RequestSpec,
        within: Duration,
    ) -> Option<(QueueId, Placement)> {
        if self.ahead_of(spec) > 0 {
            return None;
        }
        let PlacementDecision::Send(key, expected) = self.place(now, spec, 0) else {
            return None;
        };
        if expected > within {
            return None;
        }
        self.next_id += 1;
        let id = QueueId(self.next_id);
        Some((id, self.start(now, id, key, expected)))
    }

    fn processing_time(&self, spec: &RequestSpec) -> Duration {
        self.processing.processing_time(&spec.route, spec.objective.since(spec.arrived))
    }

    fn ahead_of(&self, spec: &RequestSpec) -> usize {
        self.waiting
            .get(&spec.service)
            .map_or(0, |queue| queue.range(..(spec.priority, spec.arrived, u64::MAX)).count())
    }

    /// Whether a request would probably miss its objective even if it were sent now.
    fn is_late(&self, now: MonoTime, spec: &RequestSpec) -> bool {
        now.plus(self.processing_time(spec).mul_f64(TIMELY_FACTOR)) > spec.objective
    }

    fn place(&mut self, now: MonoTime, spec: &RequestSpec, ahead: usize) -> PlacementDecision {
        let settles_within = self.is_late(now, spec).then(|| spec.deadline.since(now));
        let work = self.processing_time(spec);
        let inputs = PlacementInputs {
            estimates: &self.estimates,
            service: &spec.service,
            now,
            data_centre: &self.policy.data_centre,
            work,
            contention: self.processing.contention(&spec.service),
            avoid: &spec.avoid,
            competing_instances: self.competing_instances,
            ahead,
            settles_within,
        };
        self.rule.place(&inputs)
    }

    fn start(
        &mut self,
        now: MonoTime,
        id: QueueId,
        key: ServerKey,
        expected: Duration,
    ) -> Placement {
        let state = self.estimates.server(&key).expect("the rule chooses a server of the picture");
        let placement = Placement {
            address: state.spec.address,
            is_desynced: state.is_desynced(now),
            occupancy: state.occupancy(now),
            slots: state.spec.slots,
            slowdown: state.slowdown(now).0,
            report_age: state.report_age(now),
            expected,
            key: key.clone(),
        };
        self.estimates.start_exchange(now, &key, id.0);
        placement
    }

    /// A request's exchange ended. Its slot is free.
    pub fn finish(
        &mut self,
        now: MonoTime,
        id: QueueId,
        key: &ServerKey,
        outcome: ExchangeOutcome,
    ) -> Option<Duration> {
        self.estimates.end_exchange(now, key, id.0, outcome)
    }

    /// A waiting request's caller went away.
    pub fn cancel(&mut self, id: QueueId) {
        for queue in self.waiting.values_mut() {
            let before = queue.len();
            queue.retain(|_, request| request.id != id);
            self.waiting_count -= before - queue.len();
        }
    }

    /// Decides for waiting requests after time passed, a slot came free or the picture changed.
    pub fn advance(&mut self, now: MonoTime) -> Vec<(QueueId, QueueDecision)> {
        let mut decided = Vec::new();
        if self.waiting_count == 0 {
            return decided;
        }
        let services: Vec<ServiceName> = self.waiting.keys().cloned().collect();
        for service in services {
            let mut queue = self.waiting.remove(&service).unwrap_or_default();
            self.advance_service(now, &mut queue, &mut decided);
            if !queue.is_empty() {
                self.waiting.insert(service, queue);
            }
        }
        self.waiting_count -= decided.len();
        decided
    }

    fn advance_service(
        &mut self,
        now: MonoTime,
        queue: &mut BTreeMap<OrderKey, WaitingRequest>,
        decided: &mut Vec<(QueueId, QueueDecision)>,
    ) {
        let mut is_blocked = false;
        let orders: Vec<OrderKey> = queue.keys().copied().collect();
        let mut ahead = 0;
        let (late, timely): (Vec<_>, Vec<_>) =
            orders.into_iter().partition(|order| self.is_late(now, &queue[order].spec));
        for order in timely.into_iter().chain(late) {
            let request = &queue[&order];
            let id = request.id;
            let decision = if !self.can_meet_deadline(now, &request.spec) {
                Some(refuse(RefusalCause::Expired, RETRY_AFTER_MIN))
            } else if is_blocked {
                None
            } else {
                let spec = request.spec.clone();
                match self.place(now, &spec, ahead) {
                    PlacementDecision::Send(key, expected) => {
                        Some(QueueDecision::Send(self.start(now, id, key, expected)))
                    }
                    PlacementDecision::NoServer => {
                        Some(refuse(RefusalCause::NoServer, RETRY_AFTER_MIN * 10))
                    }
                    PlacementDecision::Wait(_) => {
                        // A request that avoids servers may wait although others need not.
                        is_blocked = spec.avoid.is_empty();
                        ahead += 1;
                        None
                    }
                }
            };
            if let Some(decision) = decision {
                queue.remove(&order);
                decided.push((id, decision));
            }
        }
    }
}

fn refuse(cause: RefusalCause, wait: Duration) -> QueueDecision {
    let retry_after = wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX).into();
    QueueDecision::Refuse(QueueRefusal { cause, retry_after })
}
