//! Tests of when records are written, in which batches and under which lease.

mod support;

use fleet::{ANNOUNCE_INTERVAL, BATCH_RECORDS_MAX, LEASE_TTL, MemberRecord, MemberRegistrar};
use model::{IncarnationId, MonoTime};
use std::time::Duration;

fn at(millis: u64) -> MonoTime {
    MonoTime(millis * 1_000)
}

fn record(index: usize, incarnation: u64) -> MemberRecord {
    MemberRecord { incarnation: IncarnationId(incarnation), ..support::record(index, "north") }
}

#[test]
fn instances_that_start_together_are_written_together() {
    let mut registrar = MemberRegistrar::default();
    assert_eq!(registrar.due_in(at(0)), None);
    (1..=20).for_each(|index| registrar.enqueue(at(index as u64), record(index, 1), false));
    assert!(registrar.next_batch(at(150)).is_empty());
    let batch = registrar.next_batch(at(201));
    assert_eq!(batch.len(), 20);
    registrar.record_written(&batch);
    assert_eq!(registrar.due_in(at(202)), None);
}

#[test]
fn records_beyond_one_batch_are_written_in_several_at_once() {
    let mut registrar = MemberRegistrar::default();
    (1..=106).for_each(|index| registrar.enqueue(at(1), record(index, 1), false));
    let mut writes = 0;
    while let batch = registrar.next_batch(at(201))
        && !batch.is_empty()
    {
        assert!(batch.len() <= BATCH_RECORDS_MAX);
        registrar.record_written(&batch);
        writes += 1;
    }
    assert_eq!(writes, 4);
}

#[test]
fn records_of_registered_instances_wait_for_others() {
    let mut registrar = MemberRegistrar::default();
    registrar.enqueue(at(0), record(1, 1), true);
    assert!(registrar.next_batch(at(5_000)).is_empty());
    registrar.enqueue(at(5_000), record(2, 1), false);
    assert_eq!(registrar.next_batch(at(5_200)).len(), 2);
}

#[test]
fn an_incarnation_that_arrives_during_a_write_is_written_next() {
    let mut registrar = MemberRegistrar::default();
    registrar.enqueue(at(0), record(1, 1), false);
    let batch = registrar.next_batch(at(300));
    registrar.enqueue(at(301), record(1, 2), false);
    registrar.record_written(&batch);
    assert!(registrar.is_waiting(&record(1, 1).name));
    assert_eq!(registrar.next_batch(at(600))[0].incarnation, IncarnationId(2));
    registrar.enqueue(at(601), record(1, 1), false);
    assert_eq!(registrar.next_batch(at(900))[0].incarnation, IncarnationId(2));
}

#[test]
fn a_record_outlives_a_missed_announcement() {
    let mut registrar = MemberRegistrar::default();
    assert!(registrar.needs_lease(at(0)));
    registrar.set_lease(Some(at(0)));
    let last_use = (0..1_000).map(|s| at(s * 1_000)).take_while(|now| !registrar.needs_lease(*now));
    let longest = last_use.last().expect("the lease is used").since(at(0));
    assert!(LEASE_TTL - longest > 2 * ANNOUNCE_INTERVAL, "{longest:?}");
    registrar.set_lease(None);
    assert!(registrar.needs_lease(at(1)));
}

#[test]
fn cleared_records_are_not_written() {
    let mut registrar = MemberRegistrar::default();
    registrar.enqueue(at(0), record(1, 1), false);
    registrar.clear();
    assert!(registrar.next_batch(at(1_000)).is_empty());
    assert_eq!(registrar.due_in(at(1_000)), None::<Duration>);
}
