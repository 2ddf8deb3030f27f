//! Fault matrix of requests: every fault at every step between instance and backend server and
//! between caller and instance, for bookings and lookups.

mod support;

use bytes::Bytes;
use http::Response;
use model::RunVerdict;
use standin::backend::BackendFaults;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;
use support::relay::RelayAction::{Close, Stall};
use support::relay::RelayStep::{Answer, Connect, Request};
use support::relay::{RelayAction, RelayFault, RelayStep};
use support::{TestFleet, WAIT_TIMEOUT, verdict_of, wait_until};
use testkit::cases;

const BOOK: &str = "/v1/call/orders/book?work_ms=5&n=7.";
const LOOKUP: &str = "/v1/call/orders/lookup?work_ms=5&n=7.";
/// Part of the path, which the backend server repeats in its response.
const PATH_MARK: &str = "n=7.";
/// Deadline of requests under a fault, in milliseconds.
const DEADLINE_MS: &str = "1200";
/// Number of times for a fault that is triggered by every attempt.
const EVERY_ATTEMPT: u32 = u32::MAX;

fn fault(step: RelayStep, action: RelayAction, times: u32) -> Option<RelayFault> {
    Some(RelayFault { step, action, times })
}

fn book(fleet: &TestFleet, entry: usize, ticket: &str) -> Response<Bytes> {
    let headers = [("lacewing-ticket", ticket), ("lacewing-deadline-ms", DEADLINE_MS)];
    fleet.call(entry, "POST", BOOK, &headers, &"b".repeat(2_000))
}

/// Waits for late work to end, then checks the verdicts of all responses for one ticket against the
/// ledger of the backend servers.
fn assert_correct_verdicts(fleet: &TestFleet, ticket: &str, responses: &[Response<Bytes>]) {
    wait_until("work in progress ends", || {
        fleet.servers.iter().all(|server| server.in_flight() == 0)
    });
    let runs = fleet.ledger().runs.get(ticket).copied().unwrap_or_default();
    assert!(runs <= 1, "ran {runs} times");
    for response in responses {
        match verdict_of(response).expect("response has a verdict") {
            RunVerdict::NotRun => assert_eq!(runs, 0, "verdict not-run"),
            RunVerdict::Ran => {
                assert_eq!(runs, 1, "verdict ran");
                let text = String::from_utf8_lossy(response.body()).into_owned();
                assert!(text.contains(PATH_MARK) && text.ends_with("bytes\n"), "{text}");
            }
            RunVerdict::MayHaveRun => {}
        }
    }
}

/// Books under a fault of the links to the backend servers, then repeats the request through
/// the other instance and, after the fault, through the home.
fn check_booking(fault: Option<RelayFault>, allowed: &[RunVerdict]) {
    let fleet = TestFleet::start(2, 2);
    let (home, other) = (fleet.home(), fleet.other());
    let ticket = fleet.ticket(home);
    fleet.set_link_fault(fault);
    let mut responses = vec![book(&fleet, home, &ticket)];
    let first = verdict_of(&responses[0]).unwrap();
    assert!(allowed.contains(&first), "{:?}", responses[0]);
    responses.push(book(&fleet, other, &ticket));
    fleet.set_link_fault(None);
    responses.push(book(&fleet, home, &ticket));
    assert_correct_verdicts(&fleet, &ticket, &responses);
    fleet.close();
}

const RAN: &[RunVerdict] = &[RunVerdict::Ran];
const NOT_RUN: &[RunVerdict] = &[RunVerdict::NotRun];
const UNKNOWN: &[RunVerdict] = &[RunVerdict::MayHaveRun];

cases! { check_booking {
    booking_without_fault: (None, RAN);
    booking_closed_at_connect_once: (fault(Connect, Close, 1), &[RunVerdict::Ran, RunVerdict::MayHaveRun]);
    booking_closed_in_head: (fault(Request(20), Close, 1), UNKNOWN);
    booking_closed_in_body: (fault(Request(1_000), Close, 1), UNKNOWN);
    booking_closed_before_response: (fault(Answer(0), Close, 1), UNKNOWN);
    booking_closed_in_response_head: (fault(Answer(30), Close, 1), UNKNOWN);
    booking_closed_in_response_body: (fault(Answer(180), Close, 1), UNKNOWN);
    booking_stalled_at_connect: (fault(Connect, Stall, 1), UNKNOWN);
    booking_stalled_in_head: (fault(Request(20), Stall, 1), UNKNOWN);
    booking_stalled_in_body: (fault(Request(1_000), Stall, 1), UNKNOWN);
    booking_stalled_before_response: (fault(Answer(0), Stall, 1), UNKNOWN);
    booking_stalled_in_response_head: (fault(Answer(30), Stall, 1), UNKNOWN);
    booking_stalled_in_response_body: (fault(Answer(180), Stall, 1), UNKNOWN);
    booking_always_closed_in_body: (fault(Request(1_000), Close, EVERY_ATTEMPT), UNKNOWN);
    booking_always_closed_before_response: (fault(Answer(0), Close, EVERY_ATTEMPT), UNKNOWN);
    booking_always_stalled_before_response: (fault(Answer(0), Stall, EVERY_ATTEMPT), UNKNOWN);
} }

/// Sends lookups under a fault that is triggered once; another attempt must succeed.
fn check_lookup(step: RelayStep, action: RelayAction) {
    let fleet = TestFleet::start(2, 3);
    for entry in [fleet.home(), fleet.other()] {
        fleet.set_link_fault(None);
        // Only one of the three links has a fault.
        fleet.relays[0].set_fault(fault(step, action, 1));
        for _ in 0..4 {
            let response =
                fleet.call(entry, "GET", LOOKUP, &[("lacewing-deadline-ms", "2000")], "");
            assert_eq!(verdict_of(&response), Some(RunVerdict::Ran));
            let text = String::from_utf8_lossy(response.body()).into_owned();
            assert!(text.contains(PATH_MARK) && text.ends_with("bytes\n"), "{text}");
        }
    }
    fleet.close();
}

cases! { check_lookup {
    lookup_closed_at_connect: (Connect, Close);
    lookup_closed_in_head: (Request(20), Close);
    lookup_closed_before_response: (Answer(0), Close);
    lookup_closed_in_response_head: (Answer(30), Close);
    lookup_closed_in_response_body: (Answer(180), Close);
    lookup_stalled_at_connect: (Connect, Stall);
    lookup_stalled_in_head: (Request(20), Stall);
    lookup_stalled_before_response: (Answer(0), Stall);
    lookup_stalled_in_response_head: (Answer(30), Stall);
    lookup_stalled_in_response_body: (Answer(180), Stall);
} }

/// Books while all backend servers have a fault.
fn check_server_fault(faults: BackendFaults, allowed: &[RunVerdict]) {
    let fleet = TestFleet::start(2, 2);
    let home = fleet.home();
    let ticket = fleet.ticket(home);
    for server in &fleet.servers {
        server.set_faults(faults);
    }
    let mut responses = vec![book(&fleet, home, &ticket), book(&fleet, fleet.other(), &ticket)];
    let first = verdict_of(&responses[0]).unwrap();
    assert!(allowed.contains(&first), "{first}");
    for server in &fleet.servers {
        server.set_faults(BackendFaults::default());
    }
    responses.push(book(&fleet, home, &ticket));
    if !faults.fail_fast {
        assert_correct_verdicts(&fleet, &ticket, &responses);
    }
    fleet.close();
}

const NO_FAULTS: BackendFaults = BackendFaults {
    slow: model::Millis(0),
    shed: false,
    fail_fast: false,
    cut_answers: false,
    hang: false,
};

cases! { check_server_fault {
    servers_shed: (BackendFaults { shed: true, ..NO_FAULTS }, NOT_RUN);
    servers_fail_fast: (BackendFaults { fail_fast: true, ..NO_FAULTS }, RAN);
    servers_cut_answers: (BackendFaults { cut_answers: true, ..NO_FAULTS }, UNKNOWN);
    servers_hang: (BackendFaults { hang: true, ..NO_FAULTS }, UNKNOWN);
    servers_slower_than_the_deadline: (BackendFaults { slow: model::Millis(1_500), ..NO_FAULTS }, UNKNOWN);
} }

/// Sends a part of a booking on a separate connection, closes it or leaves it open and idle, then
/// repeats it complete.
fn check_caller_fault(bytes: usize, closes: bool) {
    let fleet = TestFleet::start(2, 2);
    let home = fleet.home();
    let ticket = fleet.ticket(home);
    let body = "b".repeat(2_000);
    let request = format!(
        "POST {BOOK} HTTP/1.1\r\nhost: t\r\nlacewing-ticket: {ticket}\r\n\
         lacewing-deadline-ms: {DEADLINE_MS}\r\ncontent-length: 2000\r\n\r\n{body}"
    );
    let sent = &request.as_bytes()[..bytes.min(request.len())];
    let mut stream = TcpStream::connect(fleet.caller_address(home)).unwrap();
    stream.write_all(sent).unwrap();
    if closes {
        stream.shutdown(Shutdown::Both).unwrap();
    }
    let responses = vec![book(&fleet, fleet.other(), &ticket), book(&fleet, home, &ticket)];
    assert_eq!(verdict_of(&responses[0]), Some(RunVerdict::Ran));
    assert_eq!(responses[0].body(), responses[1].body());
    assert_correct_verdicts(&fleet, &ticket, &responses);
    fleet.close();
}

cases! { check_caller_fault {
    caller_closes_in_head: (30, true);
    caller_closes_in_body: (1_000, true);
    caller_closes_after_request: (usize::MAX, true);
    caller_stalls_in_head: (30, false);
    caller_stalls_in_body: (1_000, false);
    caller_stalls_after_request: (usize::MAX, false);
} }

/// Point at which the owner of a ticket crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnerStep {
    BeforeUse,
    WhileRunning,
    AfterResponse,
}

/// Crashes the owner of a ticket, with or without a successor of the same name, and repeats
/// the request through all remaining instances.
fn check_owner_crash(step: OwnerStep, successor: bool, allowed: &[RunVerdict]) {
    let mut fleet = TestFleet::start(3, 2);
    let home = fleet.home();
    let ticket = fleet.ticket(home);
    let mut responses = Vec::new();
    let slow = BackendFaults { slow: model::Millis(300), ..NO_FAULTS };
    match step {
        OwnerStep::BeforeUse => {}
        OwnerStep::AfterResponse => responses.push(book(&fleet, home, &ticket)),
        OwnerStep::WhileRunning => {
            for server in &fleet.servers {
                server.set_faults(slow);
            }
            let mut stream = TcpStream::connect(fleet.caller_address(home)).unwrap();
            let head = format!(
                "POST {BOOK} HTTP/1.1\r\nhost: t\r\nlacewing-ticket: {ticket}\r\ncontent-length: 1\r\n\r\nb"
            );
            stream.write_all(head.as_bytes()).unwrap();
            wait_until("the work runs", || fleet.ledger().runs.contains_key(ticket.as_str()));
        }
    }
    let name = fleet.traffic(home).settings.name.to_string();
    fleet.entries.remove(home).abort();
    if successor {
        let number = name.rsplit_once('-').unwrap().1.parse().unwrap();
        let entry = fleet.start_entry(number, "");
        fleet.entries.push(entry);
        let successor = fleet.entries.len() - 1;
        wait_until("the successor serves", || {
            fleet.traffic(successor).view.load().config.is_some()
        });
        // The successor's own tickets have the same serial numbers.
        for _ in 0..4 {
            fleet.ticket(successor);
        }
    }
    for entry in 0..fleet.entries.len() {
        let response = book(&fleet, entry, &ticket);
        let verdict = verdict_of(&response).unwrap();
        assert!(allowed.contains(&verdict), "{verdict}");
        responses.push(response);
    }
    assert_correct_verdicts(&fleet, &ticket, &responses);
    fleet.close();
}

cases! { check_owner_crash {
    owner_crashes_before_use: (OwnerStep::BeforeUse, false, UNKNOWN);
    owner_crashes_while_running: (OwnerStep::WhileRunning, false, UNKNOWN);
    owner_crashes_after_response: (OwnerStep::AfterResponse, false, UNKNOWN);
    owner_replaced_before_use: (OwnerStep::BeforeUse, true, UNKNOWN);
    owner_replaced_while_running: (OwnerStep::WhileRunning, true, UNKNOWN);
    owner_replaced_after_response: (OwnerStep::AfterResponse, true, UNKNOWN);
} }

/// Concurrent repeats of one booking arrive through all instances.
#[test]
fn concurrent_repeats_run_once_and_share_one_response() {
    let fleet = TestFleet::start(3, 2);
    let ticket = fleet.ticket(fleet.home());
    let request = format!(
        "POST {BOOK} HTTP/1.1\r\nhost: t\r\nconnection: close\r\nlacewing-ticket: {ticket}\r\n\
         content-length: 1\r\n\r\nb"
    );
    let mut streams: Vec<TcpStream> = (0..12)
        .map(|index| {
            let mut stream = TcpStream::connect(fleet.caller_address(index % 3)).unwrap();
            stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
            stream.write_all(request.as_bytes()).unwrap();
            stream
        })
        .collect();
    let bodies: Vec<String> = streams
        .iter_mut()
        .map(|stream| {
            let mut text = String::new();
            stream.read_to_string(&mut text).unwrap();
            assert!(text.contains("lacewing-verdict: ran"), "{text}");
            text.rsplit_once("\r\n\r\n").unwrap().1.to_owned()
        })
        .collect();
    assert!(bodies.iter().all(|body| *body == bodies[0]), "{bodies:?}");
    assert_eq!(fleet.ledger().runs.get(ticket.as_str()), Some(&1));
    fleet.close();
}

/// Work under a caller's own key runs at most once, and only on its declared first attempt.
fn check_caller_key(attempts: &[Option<&str>], expected: &[RunVerdict]) {
    let fleet = TestFleet::start(2, 2);
    let home = fleet.home();
    for (attempt, expected) in attempts.iter().zip(expected) {
        let mut headers = vec![("idempotency-key", "order-5")];
        headers.extend(attempt.map(|number| ("lacewing-attempt", number)));
        let response = fleet.call(home, "POST", BOOK, &headers, "b");
        assert_eq!(verdict_of(&response), Some(*expected));
    }
    let runs: u32 = fleet.ledger().runs.values().sum();
    assert!(runs <= 1, "ran {runs} times");
    fleet.close();
}

cases! { check_caller_key {
    first_attempt_runs: (&[Some("1")], RAN);
    repeat_gets_the_response: (&[Some("1"), Some("2")], &[RunVerdict::Ran, RunVerdict::Ran]);
    undeclared_attempt_does_not_run: (&[None], UNKNOWN);
    repeat_without_the_first: (&[Some("2")], UNKNOWN);
} }

/// A refused booking ends its ticket, so that repeats that arrive later do not run. The sleep lets
/// late repeats arrive; no check depends on its length.
#[test]
fn late_repeat_of_a_refused_booking_never_runs() {
    let fleet = TestFleet::start(2, 1);
    let home = fleet.home();
    let ticket = fleet.ticket(home);
    fleet.servers[0].set_faults(BackendFaults { shed: true, ..NO_FAULTS });
    let mut responses = vec![book(&fleet, home, &ticket)];
    assert_eq!(verdict_of(&responses[0]), Some(RunVerdict::NotRun));
    fleet.servers[0].set_faults(NO_FAULTS);
    std::thread::sleep(Duration::from_millis(50));
    for entry in [home, fleet.other()] {
        responses.push(book(&fleet, entry, &ticket));
        assert_eq!(verdict_of(responses.last().unwrap()), Some(RunVerdict::NotRun));
    }
    assert_correct_verdicts(&fleet, &ticket, &responses);
    fleet.close();
}

/// Reason to refuse a request before its ticket is checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EarlyRefusal {
    DeadlinePassed,
    TooDeep,
    BadHeader,
    BodyTooLong,
    ServiceDropped,
    NoConfig,
}

/// Sends a booking that is refused early and returns its verdict.
fn book_refused(fleet: &mut TestFleet, refusal: EarlyRefusal, ticket: &str) -> RunVerdict {
    let home = fleet.home();
    let mut headers = vec![("lacewing-ticket", ticket)];
    let mut body = "b".to_owned();
    let mut entry = home;
    match refusal {
        EarlyRefusal::DeadlinePassed => headers.push(("lacewing-deadline-ms", "0")),
        EarlyRefusal::TooDeep => headers.push(("lacewing-depth", "17")),
        EarlyRefusal::BadHeader => headers.push(("lacewing-caller", "a b")),
        EarlyRefusal::BodyTooLong => body = "b".repeat(1_100_000),
        EarlyRefusal::ServiceDropped => {
            fleet.command(home, "drop service orders");
        }
        EarlyRefusal::NoConfig => {
            fleet.store.set_faults(standin::StoreFaults { down: true, ..Default::default() });
            let fresh = fleet.start_entry(9, "");
            fleet.entries.push(fresh);
            entry = fleet.entries.len() - 1;
        }
    }
    verdict_of(&fleet.call(entry, "POST", BOOK, &headers, &body)).unwrap()
}

/// A repeat of a booking that ran must never get the verdict `not-run`.
fn check_refused_after_run(refusal: EarlyRefusal) {
    let mut fleet = TestFleet::start(2, 1);
    let ticket = fleet.ticket(fleet.home());
    let response = book(&fleet, fleet.home(), &ticket);
    assert_eq!(verdict_of(&response), Some(RunVerdict::Ran));
    let verdict = book_refused(&mut fleet, refusal, &ticket);
    assert_ne!(verdict, RunVerdict::NotRun);
    fleet.close();
}

cases! { check_refused_after_run {
    ran_then_deadline_passed: (EarlyRefusal::DeadlinePassed);
    ran_then_too_deep: (EarlyRefusal::TooDeep);
    ran_then_bad_header: (EarlyRefusal::BadHeader);
    ran_then_body_too_long: (EarlyRefusal::BodyTooLong);
    ran_then_service_dropped: (EarlyRefusal::ServiceDropped);
    ran_then_no_config: (EarlyRefusal::NoConfig);
} }

/// A booking with the verdict `not-run` must never run later under the same ticket.
fn check_refused_before_run(refusal: EarlyRefusal) {
    let mut fleet = TestFleet::start(2, 1);
    let home = fleet.home();
    let ticket = fleet.ticket(home);
    let verdict = book_refused(&mut fleet, refusal, &ticket);
    let mut responses = Vec::new();
    for entry in 0..2 {
        responses.push(book(&fleet, entry, &ticket));
    }
    let runs = fleet.ledger().runs.get(ticket.as_str()).copied().unwrap_or_default();
    assert!(verdict != RunVerdict::NotRun || runs == 0, "verdict {verdict}, ran {runs} times");
    assert_correct_verdicts(&fleet, &ticket, &responses);
    fleet.close();
}

cases! { check_refused_before_run {
    deadline_passed_then_repeat: (EarlyRefusal::DeadlinePassed);
    too_deep_then_repeat: (EarlyRefusal::TooDeep);
    bad_header_then_repeat: (EarlyRefusal::BadHeader);
    body_too_long_then_repeat: (EarlyRefusal::BodyTooLong);
    service_dropped_then_repeat: (EarlyRefusal::ServiceDropped);
    no_config_then_repeat: (EarlyRefusal::NoConfig);
} }
