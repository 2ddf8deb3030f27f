//! Queue of the requests that wait for a slot, for all services of this instance.
//!
//! A request is sent only into a slot that is free by the load estimates. Requests that can still
//! meet their objective go before those that can't, then by priority, then by fair shares of the callers'
//! teams, then by arrival. Without this order an overloaded queue serves every request late. A request that
//! would probably miss its deadline is refused at once.

mod decision;

pub use decision::{
    Placement, PlannedDecision, QueueDecision, QueuePreview, QueueRefusal, RefusalCause,
};

use crate::budget::{BudgetPolicy, ExtraAccount, RetryWindow, ShareClaim};
use crate::estimates::{ExchangeOutcome, LoadEstimates};
use crate::fair_share::{FairOrder, ServedRates, TeamShare};
use crate::outflow::{BorderPrice, OutflowTable, centre_pressure};
use crate::placement::{PlacementDecision, PlacementInputs, PlacementPolicy, server_views};
use crate::processing::ProcessingTimes;
use decision::{RETRY_AFTER_MIN, quiet_refusal, refusal, refuse};
use model::{DataCentre, MonoTime, ServerKey, ServiceName};
use smol_str::SmolStr;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// A request counts as on time while this multiple of the mean processing time fits before its
/// objective; most requests take no longer. Without a margin, requests that wait long are served
/// slightly late.
const OBJECTIVE_MARGIN_FACTOR: f64 = 1.4;
/// A request waits or is sent again only while this fraction of the mean processing time fits
/// before its deadline.
const DEADLINE_MARGIN_FACTOR: f64 = 0.8;

/// Settings of a [`RequestQueue`].
#[derive(Debug, Clone, PartialEq)]
pub struct QueuePolicy {
    /// Data centre of this instance.
    pub data_centre: DataCentre,
    /// Largest number of waiting requests, over all services.
    pub waiting_max: usize,
    /// Retry budget, applied to each service separately.
    pub budget: BudgetPolicy,
    /// Whether the whole fleet starts for the first time.
    pub is_first_start: bool,
    /// What the bytes between data centres cost.
    pub border_price: BorderPrice,
}

/// A request that asks for a slot.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// Service that handles the request.
    pub service: ServiceName,
    /// Name of the route that the request matched.
    pub route: SmolStr,
    /// Team of the caller, among whose requests and those of other teams a scarce service is shared fairly;
    /// `None` if the route needs no key.
    pub share: Option<TeamShare>,
    /// Priority of the route or team; 0 is served first.
    pub priority: u8,
    /// Time at which the request arrived at this instance.
    pub arrived: MonoTime,
    /// Time up to which a response meets the route's latency objective.
    pub objective: MonoTime,
    /// Time after which a response is useless to the caller.
    pub deadline: MonoTime,
    /// Servers that the request was already sent to; it is not placed there again.
    pub avoid: Vec<ServerKey>,
}

/// Identifies a submitted request while it waits and while it occupies a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueId(pub u64);

#[derive(Debug)]
struct WaitingRequest {
    id: QueueId,
    spec: RequestSpec,
}

/// A planned stop, which bounds the requests that the queue sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueStop {
    /// Time at which the instance answers the requests in progress itself.
    pub answer_at: MonoTime,
}

impl QueueStop {
    /// Whether a request with this deadline may be sent: it ends before the instance would break it off.
    pub fn admits(&self, deadline: MonoTime) -> bool {
        deadline <= self.answer_at
    }
}

/// Priority, arrival time and id: the order in which waiting requests are served.
type OrderKey = (u8, MonoTime, u64);

/// Waiting requests, load estimates and retry budgets of this instance.
pub struct RequestQueue {
    policy: QueuePolicy,
    placement_policy: Box<dyn PlacementPolicy>,
    /// Load estimates of all backend servers.
    pub estimates: LoadEstimates,
    /// Processing times of the routes and contention curves of the services.
    pub processing: ProcessingTimes,
    /// When requests leave the data centre.
    pub outflow: OutflowTable,
    waiting: HashMap<ServiceName, BTreeMap<OrderKey, WaitingRequest>>,
    waiting_count: usize,
    served: ServedRates,
    budgets: HashMap<ServiceName, RetryWindow>,
    extra: ExtraAccount,
    next_id: u64,
    /// Set while the instance stops.
    stop: Option<QueueStop>,
}

/// What the placement of requests depends on.
struct QueueView<'a> {
    estimates: &'a LoadEstimates,
    processing: &'a mut ProcessingTimes,
    outflow: &'a OutflowTable,
    data_centre: &'a DataCentre,
}

impl<'a> QueueView<'a> {
    fn inputs(
        self,
        now: MonoTime,
        spec: &'a RequestSpec,
        ahead: usize,
        finish_within: Option<Duration>,
    ) -> PlacementInputs<'a> {
        let objective = spec.objective.since(spec.arrived);
        let processing_time = self.processing.processing_time(&spec.route, objective);
        PlacementInputs {
            estimates: self.estimates,
            service: &spec.service,
            now,
            data_centre: self.data_centre,
            processing_time,
            contention: self.processing.contention(&spec.service),
            outflow: self.outflow.quote(&spec.service, &spec.route, processing_time),
            avoid: &spec.avoid,
            ahead,
            finish_within,
        }
    }
}

impl RequestQueue {
    /// Creates an empty queue without servers, of a process that starts now.
    pub fn new(
        now: MonoTime,
        policy: QueuePolicy,
        placement_policy: Box<dyn PlacementPolicy>,
    ) -> Self {
        let extra = ExtraAccount::new(now, policy.budget.window, policy.is_first_start);
        Self {
            placement_policy,
            estimates: LoadEstimates::default(),
            processing: ProcessingTimes::default(),
            outflow: OutflowTable::new(policy.border_price),
            waiting: HashMap::new(),
            waiting_count: 0,
            served: ServedRates::default(),
            budgets: HashMap::new(),
            extra,
            next_id: 0,
            stop: None,
            policy,
        }
    }

    /// Refuses from now on each request that the instance might have to break off, and at the next
    /// [`Self::advance`] those of them that wait. A later stop replaces an earlier one.
    pub fn begin_stop(&mut self, stop: QueueStop) {
        self.stop = Some(stop);
    }

    /// Returns the number of waiting requests over all services.
    pub fn waiting(&self) -> usize {
        self.waiting_count
    }

    /// Records which fraction of the shared extra retries this instance claims.
    pub fn claim_extra(&mut self, now: MonoTime, claim: ShareClaim) {
        self.extra.update(now, claim);
    }

    /// Returns the retry budget of a service, created without counts at the first use.
    pub fn budget(&mut self, now: MonoTime, service: &ServiceName) -> &mut RetryWindow {
        let policy = self.policy.budget;
        let window =
            self.budgets.entry(service.clone()).or_insert_with(|| RetryWindow::new(policy));
        window.set_extra_share(self.extra.usable(now));
        window
    }

    /// Places, queues or refuses a request. `None` means that it waits; [`Self::advance`] returns
    /// its decision later.
    pub fn submit(&mut self, now: MonoTime, spec: RequestSpec) -> (QueueId, Option<QueueDecision>) {
        self.next_id += 1;
        let id = QueueId(self.next_id);
        if !self.is_admitted(&spec) {
            return (id, Some(refuse(RefusalCause::Stopping, RETRY_AFTER_MIN)));
        }
        self.estimates.demands.record_request(now, &spec.service);
        let decision = match self.decide(now, &spec).1 {
            PlannedDecision::Send(key, expected) => {
                self.record_served(now, &spec);
                Some(QueueDecision::Send(self.start(now, id, key, expected)))
            }
            PlannedDecision::Refuse(refusal) => Some(QueueDecision::Refuse(refusal)),
            PlannedDecision::Wait(_) => {
                self.waiting_count += 1;
                let order = (spec.priority, spec.arrived, id.0);
                let queue = self.waiting.entry(spec.service.clone()).or_default();
                queue.insert(order, WaitingRequest { id, spec });
                None
            }
        };
        (id, decision)
    }

    /// Decides on a request that arrives now. Also returns the number of requests ahead of it.
    fn decide(&mut self, now: MonoTime, spec: &RequestSpec) -> (usize, PlannedDecision) {
        let ahead = self.count_ahead(now, spec);
        let planned = match self.place(now, spec, ahead) {
            PlacementDecision::Send(key, expected) => PlannedDecision::Send(key, expected),
            PlacementDecision::NoServer => {
                PlannedDecision::Refuse(refusal(RefusalCause::NoServer, RETRY_AFTER_MIN * 10))
            }
            PlacementDecision::Quiet(left) => PlannedDecision::Refuse(quiet_refusal(left)),
            PlacementDecision::Wait(wait) => {
                let is_too_late = !self.can_meet_deadline(now.plus(wait), spec);
                if self.waiting_count >= self.policy.waiting_max {
                    PlannedDecision::Refuse(refusal(RefusalCause::QueueFull, wait))
                } else if is_too_late {
                    PlannedDecision::Refuse(refusal(RefusalCause::TooLate, wait))
                } else {
                    PlannedDecision::Wait(wait)
                }
            }
        };
        (ahead, planned)
    }

    /// Returns what would happen to a request that arrived now, by the same decision as for requests that
    /// do. It is not counted, queued or sent.
    pub fn preview<'a>(&'a mut self, now: MonoTime, spec: &'a RequestSpec) -> QueuePreview<'a> {
        let (ahead, planned) = match self.is_admitted(spec) {
            true => self.decide(now, spec),
            false => (0, PlannedDecision::Refuse(refusal(RefusalCause::Stopping, RETRY_AFTER_MIN))),
        };
        let view = QueueView {
            estimates: &self.estimates,
            processing: &mut self.processing,
            outflow: &self.outflow,
            data_centre: &self.policy.data_centre,
        };
        let inputs = view.inputs(now, spec, ahead, None);
        let servers = server_views(&inputs);
        QueuePreview { ahead, planned, servers }
    }

    /// Whether a request that is sent at `now` can probably be answered before its deadline.
    pub fn can_meet_deadline(&self, now: MonoTime, spec: &RequestSpec) -> bool {
        now.plus(self.processing_time(spec).mul_f64(DEADLINE_MARGIN_FACTOR)) <= spec.deadline
    }

    /// Whether the instance does not stop, or the request ends before the stop would break it off.
    fn is_admitted(&self, spec: &RequestSpec) -> bool {
        self.stop.is_none_or(|stop| stop.admits(spec.deadline))
    }

    /// Places a hedged request at a free server that is expected to respond `within` this duration, and
    /// before a planned stop breaks it off. Returns `None` if there is no such server, or if other
    /// requests of the service wait in front.
    pub fn place_hedge(
        &mut self,
        now: MonoTime,
        spec: &RequestSpec,
        within: Duration,
    ) -> Option<(QueueId, Placement)> {
        if self.count_ahead(now, spec) > 0 {
            return None;
        }
        let PlacementDecision::Send(key, expected) = self.place(now, spec, 0) else {
            return None;
        };
        let within = self.stop.map_or(within, |stop| within.min(stop.answer_at.since(now)));
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

    fn count_ahead(&self, now: MonoTime, spec: &RequestSpec) -> usize {
        let Some(queue) = self.waiting.get(&spec.service) else {
            return 0;
        };
        if spec.share.is_none() {
            return queue.range(..(spec.priority, spec.arrived, u64::MAX)).count();
        }
        let mut order = FairOrder::new(now, &spec.service, &self.served);
        let places: Vec<(u8, f64)> = queue
            .values()
            .map(|request| order.place(request.spec.priority, request.spec.share.as_ref()))
            .collect();
        let own = order.place(spec.priority, spec.share.as_ref());
        places.into_iter().filter(|place| *place <= own).count()
    }

    /// Sorts waiting requests of a service, given in the order of priority and arrival, by fair shares.
    fn sort_fairly(&self, now: MonoTime, service: &ServiceName, orders: &mut Vec<OrderKey>) {
        let Some(queue) = self.waiting.get(service) else {
            return;
        };
        if orders.iter().all(|order| queue[order].spec.share.is_none()) {
            return;
        }
        let mut fair = FairOrder::new(now, service, &self.served);
        let mut placed: Vec<((u8, f64), OrderKey)> = orders
            .drain(..)
            .map(|order| (fair.place(order.0, queue[&order].spec.share.as_ref()), order))
            .collect();
        // Stable, so that equal places keep the order of arrival. Places are numbers.
        placed.sort_by(|(left, _), (right, _)| {
            left.0.cmp(&right.0).then_with(|| left.1.total_cmp(&right.1))
        });
        orders.extend(placed.into_iter().map(|(_, order)| order));
    }

    fn record_served(&mut self, now: MonoTime, spec: &RequestSpec) {
        if let Some(share) = &spec.share {
            self.served.record(now, &spec.service, share);
        }
    }

    /// Whether a request would probably miss its objective even if it were sent now.
    fn is_late(&self, now: MonoTime, spec: &RequestSpec) -> bool {
        now.plus(self.processing_time(spec).mul_f64(OBJECTIVE_MARGIN_FACTOR)) > spec.objective
    }

    fn place(&mut self, now: MonoTime, spec: &RequestSpec, ahead: usize) -> PlacementDecision {
        if self.outflow.is_due(now, &spec.service) {
            let contention = self.processing.contention(&spec.service);
            let centre = &self.policy.data_centre;
            let pressure = centre_pressure(&self.estimates, &spec.service, centre, contention, now);
            self.outflow.observe(now, &spec.service, pressure);
        }
        let finish_within = self.is_late(now, spec).then(|| spec.deadline.since(now));
        let view = QueueView {
            estimates: &self.estimates,
            processing: &mut self.processing,
            outflow: &self.outflow,
            data_centre: &self.policy.data_centre,
        };
        let inputs = view.inputs(now, spec, ahead, finish_within);
        self.placement_policy.place(&inputs)
    }

    fn start(
        &mut self,
        now: MonoTime,
        id: QueueId,
        key: ServerKey,
        expected: Duration,
    ) -> Placement {
        let state =
            self.estimates.server(&key).expect("the placement policy returns known servers");
        let placement = Placement {
            address: state.spec.address,
            is_desynced: state.is_desynced(now),
            occupancy: state.occupancy(now),
            slots: state.spec.slots,
            slowdown: state.slowdown(now).0,
            report_age: state.report_age(now),
            expected,
            is_away: state.spec.data_centre != self.policy.data_centre,
            pressure: self.outflow.pressure(&state.spec.service),
            key: key.clone(),
        };
        self.estimates.start_exchange(now, &key, id.0);
        placement
    }

    /// Records the end of an exchange, which frees its slot. Returns the duration of the exchange,
    /// or `None` if the server was removed meanwhile.
    pub fn finish(
        &mut self,
        now: MonoTime,
        id: QueueId,
        key: &ServerKey,
        outcome: ExchangeOutcome,
    ) -> Option<Duration> {
        self.estimates.end_exchange(now, key, id.0, outcome)
    }

    /// Removes a waiting request whose caller disconnected. Does nothing if it no longer waits.
    pub fn cancel(&mut self, id: QueueId) {
        for queue in self.waiting.values_mut() {
            let before = queue.len();
            queue.retain(|_, request| request.id != id);
            self.waiting_count -= before - queue.len();
        }
        self.waiting.retain(|_, queue| !queue.is_empty());
    }

    /// Places or refuses waiting requests after time has passed, a slot was freed or the load
    /// estimates changed. Returns the requests that left the queue with their decisions.
    pub fn advance(&mut self, now: MonoTime) -> Vec<(QueueId, QueueDecision)> {
        let mut decided = Vec::new();
        if self.waiting_count == 0 {
            return decided;
        }
        let services: Vec<ServiceName> = self.waiting.keys().cloned().collect();
        for service in services {
            self.advance_service(now, &service, &mut decided);
        }
        decided
    }

    /// Decides on the waiting requests of a service. Each one waits until its decision is made, so that
    /// none is lost if a decision panics.
    fn advance_service(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        decided: &mut Vec<(QueueId, QueueDecision)>,
    ) {
        let Some(queue) = self.waiting.get(service) else {
            return;
        };
        let (mut late, mut on_time): (Vec<OrderKey>, Vec<OrderKey>) =
            queue.keys().copied().partition(|order| self.is_late(now, &queue[order].spec));
        self.sort_fairly(now, service, &mut on_time);
        self.sort_fairly(now, service, &mut late);
        let mut is_blocked = false;
        let mut ahead = 0;
        for order in on_time.into_iter().chain(late) {
            let Some(request) = self.waiting.get(service).and_then(|queue| queue.get(&order))
            else {
                continue;
            };
            let id = request.id;
            let decision = if !self.is_admitted(&request.spec) {
                Some(refuse(RefusalCause::Stopping, RETRY_AFTER_MIN))
            } else if !self.can_meet_deadline(now, &request.spec) {
                Some(refuse(RefusalCause::Expired, RETRY_AFTER_MIN))
            } else if is_blocked {
                None
            } else {
                let spec = request.spec.clone();
                match self.place(now, &spec, ahead) {
                    PlacementDecision::Send(key, expected) => {
                        self.record_served(now, &spec);
                        Some(QueueDecision::Send(self.start(now, id, key, expected)))
                    }
                    PlacementDecision::NoServer => {
                        Some(refuse(RefusalCause::NoServer, RETRY_AFTER_MIN * 10))
                    }
                    PlacementDecision::Quiet(left) => {
                        Some(QueueDecision::Refuse(quiet_refusal(left)))
                    }
                    PlacementDecision::Wait(_) => {
                        // A request that excludes servers may have to wait while the requests
                        // behind it can be placed.
                        is_blocked = spec.avoid.is_empty();
                        ahead += 1;
                        None
                    }
                }
            };
            if let Some(decision) = decision {
                self.remove_waiting(service, &order);
                decided.push((id, decision));
            }
        }
    }

    fn remove_waiting(&mut self, service: &ServiceName, order: &OrderKey) {
        let Some(queue) = self.waiting.get_mut(service) else {
            return;
        };
        self.waiting_count -= usize::from(queue.remove(order).is_some());
        if queue.is_empty() {
            self.waiting.remove(service);
        }
    }
}
