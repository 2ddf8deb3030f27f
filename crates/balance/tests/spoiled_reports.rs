//! Load reports with figures that no server can have.

mod support;

use balance::{
    ExchangeOutcome, LoadReport, PlacementDecision, PlacementInputs, PlacementPolicy,
    QueueDecision, QueuePolicy, RequestQueue,
};
use model::{BackendSpec, RequestRate, SlotCount};
use proptest::prelude::*;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;
use support::{BUDGET, at, key, queue_of, request, service, spec};
use testkit::cases;

/// Guards against panics in decisions after a spoiled report, and against one report that decides on the
/// servers that did not send it.
fn check_spoiled(running: u32, waiting: u32, slowdown: f64) {
    let mut queue = queue_of(vec![spec(0, "north"), spec(1, "north")], 4);
    queue.estimates.record_report(at(1), &key(0), LoadReport { running, waiting, slowdown });
    let (_, decision) = queue.submit(at(2), request(at(2), 1));
    assert!(
        matches!(&decision, Some(QueueDecision::Send(placement)) if placement.key == key(1)),
        "{decision:?}"
    );
    assert!(queue.estimates.mean_slowdown() < 2.0, "{}", queue.estimates.mean_slowdown());
}

cases! { check_spoiled {
    enormous_slowdown: (0, 0, 9e99);
    infinite_slowdown: (0, 0, f64::INFINITY);
    counts_whose_sum_overflows: (u32::MAX, u32::MAX, 1.0);
    most_running: (u32::MAX, 0, 1.0);
} }

/// A slowdown of zero, and what is no number, must not make a server attractive for good.
#[test]
fn a_report_that_is_no_number_is_ignored() {
    let mut queue = queue_of(vec![spec(0, "north")], 4);
    let report = LoadReport { running: 0, waiting: 0, slowdown: f64::NAN };
    queue.estimates.record_report(at(1), &key(0), report);
    assert!(queue.estimates.mean_slowdown().is_finite());
    let (slowdown, _) = queue.estimates.server(&key(0)).expect("known").slowdown(at(1));
    assert_eq!(slowdown, 1.0);
}

/// A policy that panics on its second and third decision and sends later requests to the first server.
struct PanickingPlacement {
    decisions: u32,
}

impl PlacementPolicy for PanickingPlacement {
    fn place(&mut self, inputs: &PlacementInputs<'_>) -> PlacementDecision {
        self.decisions += 1;
        match self.decisions {
            1 => PlacementDecision::Wait(Duration::ZERO),
            2 | 3 => panic!("on purpose"),
            _ => {
                let server = inputs.estimates.servers_of(inputs.service).next().expect("known");
                PlacementDecision::Send(server.spec.key.clone(), Duration::ZERO)
            }
        }
    }
}

/// Guards against requests that left the queue without a decision when one panicked: their callers
/// never got an answer.
#[test]
fn a_decision_that_panics_loses_no_waiting_request() {
    let policy = QueuePolicy {
        data_centre: "north".parse().expect("name"),
        waiting_max: 4,
        budget: BUDGET,
        is_first_start: false,
        border_price: support::BORDER_PRICE,
    };
    let mut queue = RequestQueue::new(at(0), policy, Box::new(PanickingPlacement { decisions: 0 }));
    queue.estimates.upsert_server(at(0), spec(0, "north"));
    let (id, decision) = queue.submit(at(1), request(at(1), 1));
    assert_eq!(decision, None);
    for _ in 0..2 {
        assert!(catch_unwind(AssertUnwindSafe(|| queue.advance(at(2)))).is_err());
        assert_eq!(queue.waiting(), 1);
    }
    let decided = queue.advance(at(3));
    assert!(matches!(decided[..], [(decided, QueueDecision::Send(_))] if decided == id));
    assert_eq!(queue.waiting(), 0);
}

/// Any number that another process may send: special values, bit patterns and usual ones.
fn any_number() -> impl Strategy<Value = f64> {
    prop_oneof![any::<f64>(), any::<u64>().prop_map(f64::from_bits), 0.0..10.0]
}

fn any_count() -> impl Strategy<Value = u32> {
    prop_oneof![any::<u32>(), 0_u32..8]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// Whatever servers report, each request is decided on once and in the end.
    #[test]
    fn each_request_is_decided_on_once(
        slots in any_count(),
        warm_up_left in any::<u64>(),
        steps in prop::collection::vec(
            (any_count(), any_count(), any_number(), any_number(), 0_usize..2), 1..40)
    ) {
        let special =
            BackendSpec { slots: SlotCount(slots), warm_up_left: model::Millis(warm_up_left), ..spec(0, "north") };
        let mut queue = queue_of(vec![special, spec(1, "south")], 8);
        let mut open = Vec::new();
        let mut now = 1;
        let mut sent = Vec::new();
        for (running, waiting, slowdown, rate, server) in steps {
            now += 10;
            let report = LoadReport { running, waiting, slowdown };
            queue.estimates.record_report(at(now), &key(server), report);
            if RequestRate(rate).is_valid() {
                let limit = Some(RequestRate(rate)).filter(|rate| rate.0 > 1.0);
                queue.estimates.record_limit(at(now), at(now), &key(server), limit);
            }
            match queue.submit(at(now), request(at(now), 1)) {
                (id, None) => open.push(id),
                (id, Some(QueueDecision::Send(placement))) => sent.push((id, placement)),
                (_, Some(QueueDecision::Refuse(_))) => {}
            }
            for (id, decision) in queue.advance(at(now + 1)) {
                let place = open.iter().position(|known| *known == id);
                prop_assert!(place.is_some(), "decided twice");
                open.swap_remove(place.expect("checked"));
                if let QueueDecision::Send(placement) = decision {
                    sent.push((id, placement));
                }
            }
            if sent.len() > 3 {
                let (id, placement) = sent.remove(0);
                queue.finish(at(now + 2), id, &placement.key, ExchangeOutcome::Answered);
            }
        }
        let decided = queue.advance(at(now + 10_000));
        prop_assert_eq!(decided.len(), open.len());
        prop_assert_eq!(queue.waiting(), 0);
        prop_assert!(queue.estimates.servers_of(&service()).count() == 2);
    }
}
