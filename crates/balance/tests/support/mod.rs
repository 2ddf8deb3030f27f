//! Servers and requests for the tests of this crate.

#![allow(dead_code)] // Each test file uses a part.

pub mod played;

use balance::{
    BudgetPolicy, ExpectedFinish, LoadReport, ProcessingSample, ProcessingTimes, QueuePolicy,
    RequestQueue, RequestSpec,
};
use model::{BackendSpec, IncarnationId, Millis, MonoTime, ServerKey, ServiceName, SlotCount};
use std::time::Duration;

/// The service of all servers.
pub fn service() -> ServiceName {
    "orders".parse().expect("name")
}

/// A time in milliseconds.
pub fn at(millis: u64) -> MonoTime {
    MonoTime(millis * 1_000)
}

/// The key of a server.
pub fn key(index: usize) -> ServerKey {
    let name = format!("s{index}").parse().expect("name");
    ServerKey { name, incarnation: IncarnationId(1) }
}

/// A server in a data centre.
pub fn spec(index: usize, centre: &str) -> BackendSpec {
    BackendSpec {
        key: key(index),
        service: service(),
        address: format!("127.0.0.1:{}", 7000 + index).parse().expect("address"),
        data_centre: centre.parse().expect("name"),
        slots: SlotCount(2),
        is_leaving: false,
        warm_up_left: Millis(0),
    }
}

/// A request that arrives at a time.
pub fn request(arrived: MonoTime, priority: u8) -> RequestSpec {
    RequestSpec {
        service: service(),
        route: "r".into(),
        priority,
        arrived,
        objective: arrived.plus(Duration::from_millis(600)),
        deadline: arrived.plus(Duration::from_millis(1_500)),
        avoid: Vec::new(),
    }
}

/// A report of a server.
pub fn report(running: u32, slowdown: f64) -> LoadReport {
    LoadReport { running, waiting: 0, slowdown }
}

/// Learns from an answer of an idle server of usual pace.
pub fn learn(processing: &mut ProcessingTimes, span_ms: u64) {
    processing.record(&ProcessingSample {
        service: &service(),
        route: &"r".into(),
        objective: Duration::from_millis(450),
        elapsed: Duration::from_millis(span_ms),
        slowdown: 1.0,
        occupancy: 0,
        slots: SlotCount(2),
        report_age: None,
    });
}

/// The budget of the tests.
pub const BUDGET: BudgetPolicy =
    BudgetPolicy { ratio: 0.2, extra: 60.0, window: Duration::from_secs(10) };

/// A queue over servers that are idle and work at their usual pace, all tried before.
pub fn queue(specs: Vec<BackendSpec>) -> RequestQueue {
    queue_of(specs, 4)
}

/// Such a queue in which a number of requests may wait.
pub fn queue_of(specs: Vec<BackendSpec>, waiting_max: usize) -> RequestQueue {
    let policy =
        QueuePolicy { data_centre: "north".parse().expect("name"), waiting_max, budget: BUDGET };
    let mut queue = RequestQueue::new(policy, Box::new(ExpectedFinish::with_seed(1)));
    let keys: Vec<ServerKey> = specs.iter().map(|spec| spec.key.clone()).collect();
    queue.estimates.set_servers(at(0), specs);
    for (index, key) in keys.iter().enumerate() {
        let flight = 1_000_000 + index as u64;
        queue.estimates.start_exchange(at(0), key, flight);
        queue.estimates.end_exchange(at(0), key, flight, balance::ExchangeOutcome::Answered);
        queue.estimates.record_report(at(0), key, report(0, 1.0));
    }
    queue
}
