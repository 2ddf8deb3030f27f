//! Servers, requests and queues for the tests of this crate.

#![allow(dead_code)] // Each test file uses a part.

pub mod simulation;

use balance::{
    BorderPrice, BudgetPolicy, ExpectedFinish, LoadReport, ProcessingSample, ProcessingTimes,
    QueuePolicy, RequestQueue, RequestSpec,
};
use model::{BackendSpec, IncarnationId, Millis, MonoTime, ServerKey, ServiceName, SlotCount};
use std::time::Duration;

/// The service of all servers.
pub fn service() -> ServiceName {
    "orders".parse().expect("name")
}

/// The time after this many milliseconds.
pub fn at(millis: u64) -> MonoTime {
    MonoTime(millis * 1_000)
}

/// The key of the server with this index.
pub fn key(index: usize) -> ServerKey {
    let name = format!("s{index}").parse().expect("name");
    ServerKey { name, incarnation: IncarnationId(1) }
}

/// A server with two slots in a data centre.
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

/// A request with an objective of 600 ms and a deadline of 1.5 s.
pub fn request(arrived: MonoTime, priority: u8) -> RequestSpec {
    RequestSpec {
        service: service(),
        route: "r".into(),
        share: None,
        priority,
        arrived,
        objective: arrived.plus(Duration::from_millis(600)),
        deadline: arrived.plus(Duration::from_millis(1_500)),
        avoid: Vec::new(),
    }
}

/// A load report without waiting requests.
pub fn report(running: u32, slowdown: f64) -> LoadReport {
    LoadReport { running, waiting: 0, slowdown }
}

/// Records a response of an idle server at normal speed.
pub fn record_response(processing: &mut ProcessingTimes, elapsed_ms: u64) {
    processing.record(&ProcessingSample {
        service: &service(),
        route: &"r".into(),
        objective: Duration::from_millis(450),
        elapsed: Duration::from_millis(elapsed_ms),
        slowdown: 1.0,
        occupancy: 0,
        slots: SlotCount(2),
        report_age: None,
    });
}

/// Price of bytes between data centres in the tests.
pub const BORDER_PRICE: BorderPrice = BorderPrice { per_megabyte: Duration::from_millis(100) };

/// Retry budget in the tests.
pub const BUDGET: BudgetPolicy =
    BudgetPolicy { ratio: 0.2, extra: 60.0, window: Duration::from_secs(10) };

/// A queue of at most four requests over idle servers at normal speed, each of which has already
/// answered a request.
pub fn queue(specs: Vec<BackendSpec>) -> RequestQueue {
    queue_of(specs, 4)
}

/// Like [`queue`], with room for `waiting_max` requests.
pub fn queue_of(specs: Vec<BackendSpec>, waiting_max: usize) -> RequestQueue {
    let policy = QueuePolicy {
        data_centre: "north".parse().expect("name"),
        waiting_max,
        budget: BUDGET,
        is_first_start: false,
        border_price: BORDER_PRICE,
    };
    let mut queue = RequestQueue::new(MonoTime(0), policy, Box::new(ExpectedFinish::with_seed(1)));
    let keys: Vec<ServerKey> = specs.iter().map(|spec| spec.key.clone()).collect();
    for spec in specs {
        queue.estimates.upsert_server(at(0), spec);
    }
    for (index, key) in keys.iter().enumerate() {
        let exchange_id = 1_000_000 + index as u64;
        queue.estimates.start_exchange(at(0), key, exchange_id);
        queue.estimates.end_exchange(at(0), key, exchange_id, balance::ExchangeOutcome::Answered);
        queue.estimates.record_report(at(0), key, report(0, 1.0));
    }
    queue
}
