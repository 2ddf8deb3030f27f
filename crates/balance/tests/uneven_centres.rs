//! Plays a load on six data centres of which one has few servers, and checks what callers get.

mod support;

use balance::{
    ExchangeOutcome, ExpectedFinish, LoadReport, Placement, QueueDecision, QueueId, QueuePolicy,
    ReachPlan, RequestQueue, RequestSpec,
};
use model::{BackendSpec, DataCentre, InstanceName, SlotCount};
use support::{BUDGET, at, key, service, spec};

/// Number of data centres, with one home each.
const CENTRES: usize = 6;
/// Servers of the first data centre, and of each other one.
const SERVERS: [usize; 2] = [4, 16];
/// Slots of a server.
const SLOTS: u32 = 6;
/// Requests that arrive at each home in a second. Those of the first need twice the slots of its data
/// centre; the fleet is busy to less than half.
const REQUESTS_PER_S: u64 = 160;
/// Processing time of a request, in milliseconds.
const PROCESSING_MS: u64 = 300;
/// Latency objective, in milliseconds after arrival.
const OBJECTIVE_MS: u64 = 1_000;
/// Interval between load reports of a server, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 75;
/// Simulated time, in milliseconds.
const DURATION_MS: u64 = 6_000;

struct RunningRequest {
    home: usize,
    id: QueueId,
    placement: Placement,
    arrived_ms: u64,
    ends_ms: u64,
}

struct Simulation {
    queues: Vec<RequestQueue>,
    servers: Vec<BackendSpec>,
    running: Vec<RunningRequest>,
    waiting: Vec<(usize, QueueId, u64)>,
    /// Requests of each home that were answered within their objective.
    on_time: Vec<u64>,
    /// Most requests at a server at a time.
    fullest: usize,
}

fn centre(index: usize) -> DataCentre {
    format!("c{index}").parse().expect("name")
}

fn home(index: usize) -> InstanceName {
    format!("h{index}").parse().expect("name")
}

fn servers() -> Vec<BackendSpec> {
    let mut servers = Vec::new();
    for index in 0..CENTRES {
        for _ in 0..SERVERS[usize::from(index > 0)] {
            let spec = spec(servers.len(), centre(index).as_str());
            servers.push(BackendSpec { slots: SlotCount(SLOTS), ..spec });
        }
    }
    servers
}

/// Creates the queue of a home that knows all servers, or only those of its own data centre.
fn queue(index: usize, servers: &[BackendSpec], knows_all: bool) -> RequestQueue {
    let policy = QueuePolicy {
        data_centre: centre(index),
        waiting_max: 1_000,
        budget: BUDGET,
        is_first_start: false,
        border_price: support::BORDER_PRICE,
    };
    let mut queue =
        RequestQueue::new(at(0), policy, Box::new(ExpectedFinish::with_seed(index as u64 + 1)));
    let names: Vec<(InstanceName, DataCentre)> =
        (0..CENTRES).map(|index| (home(index), centre(index))).collect();
    let plan = ReachPlan::new(names.iter().map(|(name, centre)| (name, centre)));
    queue.estimates.set_plan(at(0), home(index), centre(index), plan);
    for spec in servers.iter().filter(|spec| knows_all || spec.data_centre == centre(index)) {
        queue.estimates.upsert_server(at(0), spec.clone());
    }
    queue
}

impl Simulation {
    fn new(knows_all: bool) -> Self {
        let servers = servers();
        let queues = (0..CENTRES).map(|index| queue(index, &servers, knows_all)).collect();
        Self {
            queues,
            servers,
            running: Vec::new(),
            waiting: Vec::new(),
            on_time: vec![0; CENTRES],
            fullest: 0,
        }
    }

    fn run(mut self) -> Self {
        for now in 0..DURATION_MS {
            self.end_requests(now);
            self.report(now);
            for home in 0..CENTRES {
                if (now * REQUESTS_PER_S) / 1_000 != ((now + 1) * REQUESTS_PER_S) / 1_000 {
                    self.submit(now, home);
                }
                self.advance(now, home);
            }
        }
        self
    }

    fn report(&mut self, now: u64) {
        for (index, server) in self.servers.iter().enumerate() {
            if !(now + index as u64).is_multiple_of(REPORT_INTERVAL_MS) {
                continue;
            }
            let is_here = |request: &&RunningRequest| request.placement.key == server.key;
            let running = self.running.iter().filter(is_here).count();
            self.fullest = self.fullest.max(running);
            let running = u32::try_from(running).expect("few requests");
            let report = LoadReport { running, waiting: 0, slowdown: 1.0 };
            for queue in &mut self.queues {
                queue.estimates.record_report(at(now), &key(index), report);
            }
        }
    }

    fn submit(&mut self, now: u64, home: usize) {
        let spec = RequestSpec {
            service: service(),
            route: "r".into(),
            share: None,
            priority: 1,
            arrived: at(now),
            objective: at(now + OBJECTIVE_MS),
            deadline: at(now + 3 * OBJECTIVE_MS),
            avoid: Vec::new(),
        };
        match self.queues[home].submit(at(now), spec) {
            (id, Some(decision)) => self.apply_decision(now, home, id, now, decision),
            (id, None) => self.waiting.push((home, id, now)),
        }
    }

    fn advance(&mut self, now: u64, home: usize) {
        for (id, decision) in self.queues[home].advance(at(now)) {
            let waits = |known: &(usize, QueueId, u64)| (known.0, known.1) == (home, id);
            let index = self.waiting.iter().position(waits).expect("it waits");
            let (_, _, arrived_ms) = self.waiting.swap_remove(index);
            self.apply_decision(now, home, id, arrived_ms, decision);
        }
    }

    fn apply_decision(
        &mut self,
        now: u64,
        home: usize,
        id: QueueId,
        arrived_ms: u64,
        decision: QueueDecision,
    ) {
        if let QueueDecision::Send(placement) = decision {
            let ends_ms = now + PROCESSING_MS;
            self.running.push(RunningRequest { home, id, placement, arrived_ms, ends_ms });
        }
    }

    fn end_requests(&mut self, now: u64) {
        let (ended, running): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.running).into_iter().partition(|r| r.ends_ms <= now);
        self.running = running;
        for request in ended {
            let queue = &mut self.queues[request.home];
            let outcome = ExchangeOutcome::Answered;
            queue.finish(at(now), request.id, &request.placement.key, outcome);
            let is_on_time = now - request.arrived_ms <= OBJECTIVE_MS;
            self.on_time[request.home] += u64::from(is_on_time);
        }
    }
}

/// Requests of a home that arrive early enough to be answered within the simulated time.
fn answerable() -> u64 {
    (DURATION_MS - OBJECTIVE_MS) * REQUESTS_PER_S / 1_000
}

/// The crest of one data centre is served by the free slots of the others. When each home claimed
/// 16 slots of others at each server elsewhere it had its own data centre only.
#[test]
fn the_crest_of_a_small_data_centre_is_served_elsewhere() {
    let own_only = Simulation::new(false).run();
    let shared = Simulation::new(true).run();
    assert!(own_only.on_time[0] * 4 < answerable() * 3, "{:?}", own_only.on_time);
    assert!(shared.on_time[0] * 100 >= answerable() * 97, "{:?}", shared.on_time);
    assert!(shared.on_time.iter().all(|on_time| on_time * 100 >= answerable() * 97));
    assert!(shared.fullest <= SLOTS as usize, "{}", shared.fullest);
}

#[test]
fn a_home_without_servers_of_its_own_is_served_elsewhere() {
    let mut simulation = Simulation::new(true);
    let own: Vec<_> =
        simulation.servers.iter().filter(|spec| spec.data_centre == centre(0)).cloned().collect();
    for queue in &mut simulation.queues {
        own.iter().for_each(|spec| queue.estimates.remove_server(&spec.key));
    }
    let done = simulation.run();
    assert!(done.on_time[0] * 100 >= answerable() * 97, "{:?}", done.on_time);
}
