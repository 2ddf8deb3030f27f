//! Tickets end exactly once, however often and whenever they are used.

use bytes::Bytes;
use dispatch::{
    BeginOutcome, KeyOutcome, StoredResponse, TicketEnd, TicketError, TicketKey, TicketLimits,
    TicketSerial, TicketTable, TicketText,
};
use model::wire::TicketState;
use model::{IncarnationId, MonoTime, RunVerdict};
use std::sync::Arc;
use std::time::Duration;
use testkit::cases;

const LIMITS: TicketLimits = TicketLimits {
    capacity: 4,
    valid: Duration::from_secs(10),
    retention: Duration::from_secs(100),
    response_ttl: Duration::from_secs(20),
    response_bytes_max: 8,
};

fn seconds(count: u64) -> MonoTime {
    MonoTime(count * 1_000_000)
}

fn ran(body: &'static str) -> TicketEnd {
    TicketEnd::Ran(Some(Arc::new(StoredResponse {
        status: 200,
        headers: Vec::new(),
        server: "s1".into(),
        queue_micros: 0,
        body: Bytes::from_static(body.as_bytes()),
    })))
}

fn table_with_ticket() -> (TicketTable, TicketSerial) {
    let mut table = TicketTable::new(LIMITS);
    let serial = table.issue(seconds(0)).unwrap();
    (table, serial)
}

/// Uses a ticket at `first`, ends it, and compares the outcome of a repeated use at `repeat`.
fn check_repeat(first: u64, end: TicketEnd, repeat: u64, expected: BeginOutcome) {
    let (mut table, serial) = table_with_ticket();
    assert_eq!(table.begin(seconds(first), serial), BeginOutcome::Start);
    assert_eq!(table.begin(seconds(first), serial), BeginOutcome::Join);
    table.end(serial, end);
    // Issuing drops expired entries.
    table.issue(seconds(repeat));
    assert_eq!(table.begin(seconds(repeat), serial), expected);
}

cases! { check_repeat {
    repeat_gets_the_response: (1, ran("ok"), 2, BeginOutcome::Ended(ran("ok")));
    repeat_of_not_run_never_runs: (1, TicketEnd::NotRun, 2, BeginOutcome::Ended(TicketEnd::NotRun));
    repeat_of_unknown_never_runs: (1, TicketEnd::MayHaveRun, 2, BeginOutcome::Ended(TicketEnd::MayHaveRun));
    response_too_old: (1, ran("ok"), 30, BeginOutcome::Ended(TicketEnd::Ran(None)));
    response_too_large: (1, ran("123456789"), 2, BeginOutcome::Ended(TicketEnd::Ran(None)));
    end_dropped: (1, TicketEnd::NotRun, 200, BeginOutcome::Ended(TicketEnd::MayHaveRun));
} }

#[test]
fn first_end_counts() {
    let (mut table, serial) = table_with_ticket();
    table.begin(seconds(1), serial);
    table.end(serial, TicketEnd::NotRun);
    assert_eq!(table.end(serial, ran("late")), TicketEnd::NotRun);
}

#[test]
fn unused_ticket_expires_as_not_run_for_good() {
    let (mut table, serial) = table_with_ticket();
    let ended = BeginOutcome::Ended(TicketEnd::NotRun);
    assert_eq!(table.begin(seconds(10), serial), ended);
    assert_eq!(table.begin(seconds(0), serial), ended);
    let state = TicketState::Ended(RunVerdict::NotRun);
    assert_eq!(table.state(seconds(11), serial), Some(state));
}

#[test]
fn full_table_issues_nothing_and_keeps_all_ends() {
    let mut table = TicketTable::new(LIMITS);
    let serials: Vec<_> = (0..4).filter_map(|_| table.issue(seconds(0))).collect();
    assert_eq!(serials.len(), 4);
    assert_eq!(table.issue(seconds(1)), None);
    for serial in serials {
        assert_eq!(table.begin(seconds(1), serial), BeginOutcome::Start);
    }
}

#[test]
fn ticket_in_progress_is_never_dropped() {
    let (mut table, serial) = table_with_ticket();
    table.begin(seconds(1), serial);
    table.issue(seconds(1_000));
    assert_eq!(table.begin(seconds(1_000), serial), BeginOutcome::Join);
}

#[test]
fn response_bytes_return_to_zero() {
    let (mut table, serial) = table_with_ticket();
    table.begin(seconds(1), serial);
    table.end(serial, ran("ok"));
    assert_eq!(table.response_bytes(), 2);
    table.issue(seconds(50));
    assert_eq!(table.response_bytes(), 0);
}

/// Binds one key in several attempts, each declared first or not, and compares which of them run
/// the request.
fn check_key(attempts: &[bool], expected: &[bool]) {
    let mut table = TicketTable::new(LIMITS);
    let (caller, service) = ("c".parse().unwrap(), "orders".parse().unwrap());
    let starts: Vec<bool> = attempts
        .iter()
        .map(|is_first| {
            let outcome = table.bind_key(seconds(1), &caller, &service, &"k".into(), *is_first);
            match outcome {
                KeyOutcome::Bound(serial) => table.begin(seconds(1), serial) == BeginOutcome::Start,
                _ => false,
            }
        })
        .collect();
    assert_eq!(starts, expected);
}

cases! { check_key {
    first_attempt_starts: (&[true], &[true]);
    repeated_first_attempt_joins: (&[true, true], &[true, false]);
    repeat_joins_the_first: (&[true, false], &[true, false]);
    repeat_without_the_first_never_starts: (&[false, false], &[false, false]);
} }

/// Signs a ticket for the service `orders`, replaces `from` by `to` in its text and verifies it for
/// `service`.
fn check_text(from: &str, to: &str, service: &str, expected: Result<(), TicketError>) {
    let key = TicketKey::new([7; 32]);
    let (instance, orders) = ("e1".parse().unwrap(), "orders".parse().unwrap());
    let ticket = key.sign(instance, IncarnationId(5), TicketSerial(3), orders);
    let text = ticket.to_string().replace(from, to);
    let found =
        TicketText::parse(&text).and_then(|ticket| key.verify(&ticket, &service.parse().unwrap()));
    assert_eq!(found, expected);
}

cases! { check_text {
    own_ticket: ("", "", "orders", Ok(()));
    other_service: ("", "", "deposits", Err(TicketError::OtherService));
    forged_serial: ("~3~", "~4~", "orders", Err(TicketError::Forged));
    forged_service: ("~orders~", "~deposits~", "deposits", Err(TicketError::Forged));
    forged_instance: ("e1~", "e2~", "orders", Err(TicketError::Forged));
    truncated: ("~orders", "", "orders", Err(TicketError::Malformed));
    surplus_field: ("~orders", "~orders~x", "orders", Err(TicketError::Malformed));
} }
