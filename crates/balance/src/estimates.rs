//! Load estimates: what this instance knows of all backend servers, from load reports and from its own
//! exchanges.

mod evacuation;
mod limits;
mod notices;
mod outcome;
mod server_state;
mod warm_up;

pub use limits::LimitStatement;
pub use outcome::{ExchangeOutcome, LoadReport};
pub use server_state::BackendState;

use crate::demand::DemandTable;
use crate::reach::{ReachPlan, ServerReach};
use model::{BackendSpec, DataCentre, InstanceName, MonoTime, RequestRate, ServerKey, ServiceName};
use notices::ServerNotice;
use server_state::INITIAL_SLOWDOWN;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

/// Backoff after a full server shed a request.
const SHED_BACKOFF: Duration = Duration::from_millis(60);
/// Range of the slowdown factors that reports are limited to. Datagrams carry no higher ones.
const SLOWDOWN_RANGE: (f64, f64) = (0.01, 25.5);
/// Weight of the newest report in the mean slowdown of all servers.
const MEAN_SLOWDOWN_WEIGHT: f64 = 0.02;
/// Time for which non-idempotent requests to a desynchronized server use new connections only.
const DESYNC_TTL: Duration = Duration::from_secs(10);

/// Order of the servers of a service.
fn order_of(key: &ServerKey) -> (&str, u64) {
    (key.name.as_str(), key.incarnation.0)
}

/// State of all backend servers in this instance's replica of the store.
#[derive(Debug, Clone)]
pub struct LoadEstimates {
    // Boxed, since a growing table of large values takes several times their size.
    servers: HashMap<ServerKey, Box<BackendState>>,
    /// Servers within reach, by service, ordered by name.
    by_service: HashMap<ServiceName, Vec<ServerKey>>,
    mean_slowdown: f64,
    /// This instance and its data centre; `None` if it uses all servers alike.
    this: Option<(InstanceName, DataCentre)>,
    plan: ReachPlan,
    /// Request rates of the instances, by which they share the limits of servers.
    pub demands: DemandTable,
    /// Servers that limit the rate of their requests, or did so a short time ago.
    limited: HashSet<ServerKey>,
    notices: HashMap<ServerKey, ServerNotice>,
    /// Rates that cold servers accept, by service.
    cold_rates: HashMap<ServiceName, RequestRate>,
    /// Whether servers may have allowances by earlier rates.
    had_cold_rates: bool,
    /// Since when this instance is a home; `None` if it is none.
    home_since: Option<MonoTime>,
    evacuated: BTreeSet<DataCentre>,
}

impl Default for LoadEstimates {
    fn default() -> Self {
        Self {
            servers: HashMap::new(),
            by_service: HashMap::new(),
            mean_slowdown: INITIAL_SLOWDOWN,
            this: None,
            plan: ReachPlan::default(),
            demands: DemandTable::default(),
            limited: HashSet::new(),
            notices: HashMap::new(),
            cold_rates: HashMap::new(),
            had_cold_rates: false,
            home_since: None,
            evacuated: BTreeSet::new(),
        }
    }
}

impl LoadEstimates {
    /// Sets the plan by which this instance and the homes share the servers.
    pub fn set_plan(
        &mut self,
        now: MonoTime,
        this: InstanceName,
        own_centre: DataCentre,
        plan: ReachPlan,
    ) {
        let was_home = self.plan.includes(&this);
        let is_home = plan.includes(&this);
        self.this = Some((this, own_centre));
        self.plan = plan;
        self.home_since = is_home.then(|| self.home_since.unwrap_or(now));
        self.share_limits(now);
        self.share_cold_rates(now);
        if !was_home && !is_home {
            return;
        }
        self.by_service.clear();
        let specs: Vec<BackendSpec> =
            self.servers.values().map(|state| state.spec.clone()).collect();
        for spec in specs {
            let reach = self.reach_of(&spec);
            if let Some(state) = self.servers.get_mut(&spec.key) {
                state.reach = reach;
            }
            self.index_server(&spec, reach);
        }
    }

    /// Returns the plan by which the homes share the servers.
    pub fn plan(&self) -> &ReachPlan {
        &self.plan
    }

    fn reach_of(&self, spec: &BackendSpec) -> ServerReach {
        match &self.this {
            None => ServerReach::Own,
            Some((this, own_centre)) => {
                self.plan.reach_of(this, own_centre, &spec.key.name, &spec.data_centre)
            }
        }
    }

    /// Adds a server, or updates the specification of a known one, which keeps its state. One that is
    /// leaving stays so until its next incarnation.
    pub fn upsert_server(&mut self, now: MonoTime, spec: BackendSpec) {
        let key = spec.key.clone();
        let reach = self.reach_of(&spec);
        let Some(state) = self.servers.get_mut(&key) else {
            self.index_server(&spec, reach);
            let mut state = BackendState::new(now, spec, reach);
            if let Some(notice) = self.notices.get(&key) {
                state.apply_notice(*notice);
            }
            state.is_evacuated = self.evacuated.contains(&state.spec.data_centre);
            self.servers.insert(key.clone(), Box::new(state));
            self.share_cold_rate(now, &key);
            return;
        };
        let is_leaving = state.spec.is_leaving || spec.is_leaving;
        if spec.warm_up_left != state.spec.warm_up_left {
            state.warm_up_until = now.plus(spec.warm_up_left.duration());
        }
        if spec.address != state.spec.address {
            state.is_misdirected = false;
        }
        let is_moved = (&spec.service, reach) != (&state.spec.service, state.reach);
        let spec = BackendSpec { is_leaving, ..spec };
        let earlier = std::mem::replace(&mut state.spec, spec.clone());
        state.reach = reach;
        state.is_evacuated = self.evacuated.contains(&spec.data_centre);
        if is_moved {
            self.unindex_server(&earlier);
            self.index_server(&spec, reach);
        }
    }

    /// Removes a server. Exchanges in progress there are no longer counted.
    pub fn remove_server(&mut self, key: &ServerKey) {
        if let Some(state) = self.servers.remove(key) {
            self.unindex_server(&state.spec);
        }
    }

    fn index_server(&mut self, spec: &BackendSpec, reach: ServerReach) {
        if reach == ServerReach::Beyond {
            return;
        }
        let keys = self.by_service.entry(spec.service.clone()).or_default();
        let place = keys.partition_point(|known| order_of(known) < order_of(&spec.key));
        keys.insert(place, spec.key.clone());
    }

    fn unindex_server(&mut self, spec: &BackendSpec) {
        if let Some(keys) = self.by_service.get_mut(&spec.service) {
            keys.retain(|known| *known != spec.key);
            if keys.is_empty() {
                self.by_service.remove(&spec.service);
            }
        }
    }

    /// Returns the servers of a service within reach, ordered by name.
    pub fn servers_of<'a>(
        &'a self,
        service: &ServiceName,
    ) -> impl Iterator<Item = &'a BackendState> {
        let keys = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        keys.iter().filter_map(|key| self.servers.get(key).map(Box::as_ref))
    }

    /// Returns the servers of a service that are beyond reach, in no particular order.
    pub fn servers_beyond<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a BackendState> {
        self.servers.values().map(Box::as_ref).filter(move |state| {
            state.reach == ServerReach::Beyond && state.spec.service == *service
        })
    }

    /// Returns all servers, in no particular order.
    pub fn servers(&self) -> impl ExactSizeIterator<Item = &BackendState> {
        self.servers.values().map(Box::as_ref)
    }

    /// Returns the state of one server, or `None` if it is not in the set.
    pub fn server(&self, key: &ServerKey) -> Option<&BackendState> {
        self.servers.get(key).map(Box::as_ref)
    }

    /// Returns the moving average of the slowdown factors that all servers report.
    pub fn mean_slowdown(&self) -> f64 {
        self.mean_slowdown
    }

    /// Returns the slowdown factor that a server probably has now: the reported one, and as that grows old the
    /// mean of all servers.
    pub fn expected_slowdown(&self, now: MonoTime, state: &BackendState) -> f64 {
        let (slowdown, weight) = state.slowdown(now);
        slowdown * weight + self.mean_slowdown() * (1.0 - weight)
    }

    /// Records the start of an exchange. `exchange_id` must be unique among those in progress.
    pub fn start_exchange(&mut self, now: MonoTime, key: &ServerKey, exchange_id: u64) {
        if let Some(state) = self.servers.get_mut(key) {
            state.in_flight_since.insert(exchange_id, now);
            state.sent_count += 1;
            if let Some(allowance) = &mut state.allowance {
                allowance.record_request(now);
            }
            let is_cold = state.is_cold(now);
            if let Some(allowance) = state.cold_allowance.as_mut().filter(|_| is_cold) {
                allowance.record_request(now);
            }
        }
    }

    /// Records a load report from a response, a health check or another instance. A slowdown that no
    /// server can have is limited to [`SLOWDOWN_RANGE`]: one report must not decide on all servers.
    pub fn record_report(&mut self, made_at: MonoTime, key: &ServerKey, report: LoadReport) {
        let Some(state) = self.servers.get_mut(key).filter(|_| !report.slowdown.is_nan()) else {
            return;
        };
        let (lowest, highest) = SLOWDOWN_RANGE;
        let report = LoadReport { slowdown: report.slowdown.clamp(lowest, highest), ..report };
        state.record_report(made_at, report);
        self.mean_slowdown += MEAN_SLOWDOWN_WEIGHT * (report.slowdown - self.mean_slowdown);
    }

    /// Records a failed health check: no response, or one that reports the server as unhealthy.
    pub fn record_failed_check(&mut self, now: MonoTime, key: &ServerKey) {
        if let Some(state) = self.servers.get_mut(key) {
            state.back_off(now);
        }
    }

    /// Records that another server responded to a health check.
    pub fn record_misdirected(&mut self, key: &ServerKey) {
        if let Some(state) = self.servers.get_mut(key) {
            state.is_misdirected = true;
        }
    }

    /// Records that a server sent bytes that belong to no request.
    pub fn record_desync(&mut self, now: MonoTime, key: &ServerKey) {
        if let Some(state) = self.servers.get_mut(key) {
            state.desynced_until = now.plus(DESYNC_TTL);
        }
    }

    /// Records the end of an exchange and its outcome. Returns its duration, or `None` if the
    /// server or the exchange is unknown.
    pub fn end_exchange(
        &mut self,
        now: MonoTime,
        key: &ServerKey,
        exchange_id: u64,
        outcome: ExchangeOutcome,
    ) -> Option<Duration> {
        let state = self.servers.get_mut(key)?;
        let sent = state.in_flight_since.remove(&exchange_id)?;
        match outcome {
            ExchangeOutcome::Answered => {
                state.failed_contacts = 0;
                state.is_returning = false;
                state.count_exchange(now, false);
            }
            ExchangeOutcome::Failed | ExchangeOutcome::Broken | ExchangeOutcome::TimedOut => {
                state.count_exchange(now, true);
            }
            ExchangeOutcome::Shed => {
                state.count_exchange(now, true);
                // A server that sheds requests while it has free slots does so at random; a backoff
                // would only move its requests to servers that may shed as many.
                if state.occupancy(now) >= state.spec.slots.0 {
                    state.backoff_until = state.backoff_until.max(now.plus(SHED_BACKOFF));
                }
            }
            ExchangeOutcome::Misdirected => state.is_misdirected = true,
            ExchangeOutcome::Unreachable => state.back_off(now),
            ExchangeOutcome::Abandoned => {}
        }
        Some(now.since(sent))
    }
}
