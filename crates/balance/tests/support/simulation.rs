//! Deterministic simulation of a service under load. Servers change their slowdown at random and
//! slow down when they are nearly full; load reports are delayed; requests arrive at a constant
//! rate.

use super::{at, key, queue_of, service, spec};
use balance::{
    ExchangeOutcome, LoadReport, Placement, ProcessingSample, QueueDecision, QueueId, RequestQueue,
    RequestSpec,
};
use model::{BackendSpec, ServerKey, SlotCount};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Interval between load reports of a server, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 40;
/// Mean time for which a server keeps its slowdown, in milliseconds.
const SLOWDOWN_MEAN_MS: f64 = 500.0;

/// A load and the servers that process it.
#[derive(Debug, Clone)]
pub struct SimulatedLoad {
    /// Number of servers, each with six slots.
    pub servers: usize,
    /// Requests that arrive in a second.
    pub per_s: f64,
    /// Mean processing time of a request, in milliseconds; single ones differ by up to 30%.
    pub processing_ms: f64,
    /// Latency objective, in milliseconds after arrival.
    pub objective_ms: u64,
    /// Deadline of the caller, in milliseconds after arrival.
    pub deadline_ms: u64,
    /// Number of requests from which on a server is slower, and the factor.
    pub knee: (u32, f64),
    /// Mean fraction of servers that work seven times slower.
    pub slow_ratio: f64,
    /// Simulated time, in seconds.
    pub duration_s: u64,
    /// Seed of processing times and slowdowns.
    pub seed: u64,
    /// Servers that refuse; `None` if none does.
    pub shedding: Option<SimulatedShedding>,
}

/// Servers that refuse all requests, as not run, for a part of the simulated time.
#[derive(Debug, Clone, Copy)]
pub struct SimulatedShedding {
    /// Number of servers that refuse.
    pub servers: usize,
    /// Time from which they refuse, in milliseconds.
    pub from_ms: u64,
    /// Time until which they refuse, in milliseconds.
    pub until_ms: u64,
    /// Time for which each refusal asks for no requests, if it asks for that.
    pub quiet: Option<Duration>,
}

/// Results of the requests that arrived in one second.
#[derive(Debug, Clone, Copy, Default)]
pub struct SecondResult {
    /// Requests that arrived.
    pub requests: u32,
    /// Requests answered within their objective.
    pub on_time: u32,
    /// Requests answered after their objective.
    pub late: u32,
    /// Requests that were refused.
    pub refused: u32,
    /// Refusals of servers; after each, the request is sent to another server if one has room.
    pub shed: u32,
    /// Sum of the response times of the answered requests, in milliseconds.
    pub response_ms: f64,
}

impl SecondResult {
    /// Returns the ratio of requests that were answered within the objective.
    pub fn on_time_ratio(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.requests.max(1))
    }

    /// Returns the mean response time of the answered requests, in milliseconds.
    pub fn mean_response_ms(&self) -> f64 {
        self.response_ms / f64::from((self.on_time + self.late).max(1))
    }
}

/// Returns the sum of the results after the first `skipped` seconds.
pub fn total(seconds: &[SecondResult], skipped: usize) -> SecondResult {
    let add = |sum: SecondResult, second: &SecondResult| SecondResult {
        requests: sum.requests + second.requests,
        on_time: sum.on_time + second.on_time,
        late: sum.late + second.late,
        refused: sum.refused + second.refused,
        shed: sum.shed + second.shed,
        response_ms: sum.response_ms + second.response_ms,
    };
    seconds[skipped..].iter().fold(SecondResult::default(), add)
}

struct RunningRequest {
    id: QueueId,
    placement: Placement,
    server: usize,
    arrived_ms: u64,
    ends_ms: f64,
}

/// A request that is not at a server.
struct PendingRequest {
    arrived_ms: u64,
    /// The server that refused it.
    refused_by: Option<ServerKey>,
}

struct SimulatedServer {
    running: u32,
    slowdown: f64,
}

struct Simulation<'a> {
    load: &'a SimulatedLoad,
    queue: RequestQueue,
    random: SmallRng,
    servers: Vec<SimulatedServer>,
    running: Vec<RunningRequest>,
    seconds: Vec<SecondResult>,
    waiting: Vec<(QueueId, PendingRequest)>,
}

/// Simulates a load. Returns the results of each second.
pub fn simulate(load: &SimulatedLoad) -> Vec<SecondResult> {
    let specs = (0..load.servers)
        .map(|index| BackendSpec { slots: SlotCount(6), ..spec(index, "north") })
        .collect();
    let mut simulation = Simulation {
        load,
        queue: queue_of(specs, 1_000),
        random: SmallRng::seed_from_u64(load.seed),
        servers: (0..load.servers).map(|_| SimulatedServer { running: 0, slowdown: 1.0 }).collect(),
        running: Vec::new(),
        seconds: vec![SecondResult::default(); load.duration_s as usize],
        waiting: Vec::new(),
    };
    let mut due = 0.0;
    for now in 0..load.duration_s * 1_000 {
        simulation.change_slowdowns();
        simulation.end_requests(now);
        simulation.report(now);
        due += load.per_s / 1_000.0;
        while due >= 1.0 {
            due -= 1.0;
            simulation.submit(now);
        }
        simulation.advance(now);
    }
    simulation.seconds
}

impl Simulation<'_> {
    fn change_slowdowns(&mut self) {
        for server in &mut self.servers {
            if self.random.random_bool(1.0 / SLOWDOWN_MEAN_MS) {
                let is_slow = self.random.random_bool(self.load.slow_ratio);
                server.slowdown = if is_slow { 7.0 } else { 1.0 };
            }
        }
    }

    fn report(&mut self, now: u64) {
        for (index, server) in self.servers.iter().enumerate() {
            if (now + index as u64).is_multiple_of(REPORT_INTERVAL_MS) {
                let report =
                    LoadReport { running: server.running, waiting: 0, slowdown: server.slowdown };
                self.queue.estimates.record_report(at(now), &key(index), report);
            }
        }
    }

    fn submit(&mut self, now: u64) {
        self.seconds[(now / 1_000) as usize].requests += 1;
        self.submit_attempt(now, PendingRequest { arrived_ms: now, refused_by: None });
    }

    fn submit_attempt(&mut self, now: u64, request: PendingRequest) {
        let arrived = request.arrived_ms;
        let spec = RequestSpec {
            service: service(),
            route: "r".into(),
            share: None,
            priority: 1,
            arrived: at(arrived),
            objective: at(arrived + self.load.objective_ms),
            deadline: at(arrived + self.load.deadline_ms),
            avoid: request.refused_by.iter().cloned().collect(),
        };
        match self.queue.submit(at(now), spec) {
            (id, Some(decision)) => self.apply_decision(now, request, id, decision),
            (id, None) => self.waiting.push((id, request)),
        }
    }

    /// Whether a server refuses requests now.
    fn sheds(&self, now: u64, server: usize) -> Option<SimulatedShedding> {
        self.load.shedding.filter(|shedding| {
            server < shedding.servers && (shedding.from_ms..shedding.until_ms).contains(&now)
        })
    }

    /// Ends an attempt that a server refused. A first one is followed by a second one.
    fn shed(&mut self, now: u64, request: PendingRequest, id: QueueId, key: &ServerKey) {
        let second = (request.arrived_ms / 1_000) as usize;
        self.seconds[second].shed += 1;
        self.queue.finish(at(now), id, key, ExchangeOutcome::Shed);
        if request.refused_by.is_some() {
            self.seconds[second].refused += 1;
            return;
        }
        self.submit_attempt(now, PendingRequest { refused_by: Some(key.clone()), ..request });
    }

    fn advance(&mut self, now: u64) {
        for (id, decision) in self.queue.advance(at(now)) {
            let index = self.waiting.iter().position(|(known, _)| *known == id);
            let (_, request) = self.waiting.swap_remove(index.expect("it waits"));
            self.apply_decision(now, request, id, decision);
        }
    }

    fn apply_decision(
        &mut self,
        now: u64,
        request: PendingRequest,
        id: QueueId,
        decision: QueueDecision,
    ) {
        let arrived_ms = request.arrived_ms;
        let QueueDecision::Send(placement) = decision else {
            self.seconds[(arrived_ms / 1_000) as usize].refused += 1;
            return;
        };
        let server: usize = placement.key.name.as_str()[1..].parse().expect("number");
        if let Some(shedding) = self.sheds(now, server) {
            if let Some(period) = shedding.quiet {
                self.queue.estimates.record_quiet(at(now), &placement.key, period);
            }
            return self.shed(now, request, id, &placement.key);
        }
        let state = &mut self.servers[server];
        state.running += 1;
        let (knee, factor) = self.load.knee;
        let contention = if state.running >= knee { factor } else { 1.0 };
        let processing_ms = self.load.processing_ms * self.random.random_range(0.7..1.3);
        let ends_ms = now as f64 + processing_ms * state.slowdown * contention;
        self.running.push(RunningRequest { id, placement, server, arrived_ms, ends_ms });
    }

    fn end_requests(&mut self, now: u64) {
        let mut index = 0;
        while index < self.running.len() {
            if self.running[index].ends_ms > now as f64 {
                index += 1;
                continue;
            }
            let request = self.running.swap_remove(index);
            self.servers[request.server].running -= 1;
            let placement = &request.placement;
            let elapsed =
                self.queue.finish(at(now), request.id, &placement.key, ExchangeOutcome::Answered);
            self.queue.processing.record(&ProcessingSample {
                service: &service(),
                route: &"r".into(),
                objective: Duration::from_millis(self.load.objective_ms),
                elapsed: elapsed.expect("it ran"),
                slowdown: placement.slowdown,
                occupancy: placement.occupancy,
                slots: placement.slots,
                report_age: placement.report_age,
            });
            let server = &self.servers[request.server];
            let report =
                LoadReport { running: server.running, waiting: 0, slowdown: server.slowdown };
            self.queue.estimates.record_report(at(now), &placement.key, report);
            self.record_response(now, &request);
        }
    }

    fn record_response(&mut self, now: u64, request: &RunningRequest) {
        let response_ms = now - request.arrived_ms;
        let second = &mut self.seconds[(request.arrived_ms / 1_000) as usize];
        second.response_ms += Duration::from_millis(response_ms).as_secs_f64() * 1_000.0;
        if response_ms <= self.load.objective_ms {
            second.on_time += 1;
        } else {
            second.late += 1;
        }
    }
}
