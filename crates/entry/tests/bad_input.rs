//! Invalid requests are rejected with a specific error and the verdict `not-run`, and the instance
//! continues to serve.

mod support;

use model::RunVerdict;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use support::{TestFleet, verdict_of};
use testkit::cases;

type Headers = &'static [(&'static str, &'static str)];

const CALL: &str = "/v1/call/orders/lookup";

/// Sends an invalid request, compares status and error text, and checks that a valid one is served.
fn check_rejected(
    method: &str,
    path: &str,
    headers: Headers,
    body: &str,
    status: u16,
    error: &str,
) {
    let fleet = TestFleet::start_with_settings(1, 1, "[traffic]\nbody_limit_bytes = 1000\n");
    let response = fleet.call(0, method, path, headers, body);
    assert_eq!(response.status().as_u16(), status);
    assert_eq!(verdict_of(&response), Some(RunVerdict::NotRun));
    let text = String::from_utf8_lossy(response.body()).into_owned();
    assert!(text.contains(error), "{text}");
    assert!(fleet.ledger().runs.is_empty());
    assert_serves(&fleet);
    fleet.close();
}

fn assert_serves(fleet: &TestFleet) {
    let response = fleet.call(0, "GET", CALL, &[], "");
    assert_eq!(verdict_of(&response), Some(RunVerdict::Ran));
}

cases! { check_rejected {
    unknown_service: ("GET", "/v1/call/nothing/x", &[], "", 404, "unknown service");
    bad_service_name: ("GET", "/v1/call/a%20b/x", &[], "", 404, "unknown service");
    addresses_of_unknown_service: ("GET", "/v1/addresses/nothing", &[], "", 404, "unknown service");
    tickets_of_unknown_service: ("POST", "/v1/tickets/nothing", &[], "", 404, "unknown service");
    deadline_in_the_past: ("GET", CALL, &[("lacewing-deadline-ms", "0")], "", 400, "deadline");
    deadline_not_a_number: ("GET", CALL, &[("lacewing-deadline-ms", "soon")], "", 400, "lacewing-deadline-ms");
    negative_deadline: ("GET", CALL, &[("lacewing-deadline-ms", "-5")], "", 400, "lacewing-deadline-ms");
    bad_caller_name: ("GET", CALL, &[("lacewing-caller", "a b")], "", 400, "lacewing-caller");
    chain_too_deep: ("GET", CALL, &[("lacewing-depth", "17")], "", 508, "too deep");
    no_ticket: ("POST", CALL, &[], "x", 428, "ticket");
    malformed_ticket: ("POST", CALL, &[("lacewing-ticket", "x")], "x", 400, "malformed");
    body_too_long: ("POST", CALL, &[("idempotency-key", "k"), ("lacewing-attempt", "1")], &"x".repeat(2_000), 413, "body too long");
} }

#[test]
fn forged_ticket_of_this_process_is_refused_as_not_run() {
    let fleet = TestFleet::start(1, 1);
    let ticket = fleet.ticket(0);
    let (rest, _) = ticket.rsplit_once('~').unwrap();
    let forged = format!("{rest}~AAAAAAAAAAAAAAAAAAAAAA");
    let response = fleet.call(0, "POST", CALL, &[("lacewing-ticket", &forged)], "x");
    assert_eq!(response.status().as_u16(), 400);
    assert_eq!(verdict_of(&response), Some(RunVerdict::NotRun));
    fleet.close();
}

#[test]
fn ticket_for_another_service_is_refused_as_not_run() {
    let fleet = TestFleet::start(1, 1);
    fleet.command(0, "create service deposits");
    let ticket = fleet.ticket(0);
    let path = "/v1/call/deposits/charge";
    let response = fleet.call(0, "POST", path, &[("lacewing-ticket", &ticket)], "x");
    assert_eq!(response.status().as_u16(), 400);
    assert_eq!(verdict_of(&response), Some(RunVerdict::NotRun));
    fleet.close();
}

/// Sends bytes that are not a valid request and checks that the instance continues to serve.
fn check_raw(bytes: &[u8], status: &str) {
    let fleet = TestFleet::start(1, 1);
    let mut stream = TcpStream::connect(fleet.caller_address(0)).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    stream.write_all(bytes).unwrap();
    // The instance may reset the connection after its response, even before this shutdown.
    if let Err(cause) = stream.shutdown(std::net::Shutdown::Write) {
        assert_eq!(cause.kind(), std::io::ErrorKind::NotConnected);
    }
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    assert!(text.starts_with(status), "{text:?}");
    assert!(fleet.ledger().runs.is_empty());
    assert_serves(&fleet);
    fleet.close();
}

const TRUNCATED_BODY: &[u8] =
    b"POST /v1/call/orders/book HTTP/1.1\r\nhost: t\r\nidempotency-key: k\r\n\
lacewing-attempt: 1\r\ncontent-length: 100\r\n\r\nabc";
const TWO_LENGTHS: &[u8] = b"POST /v1/call/orders/book HTTP/1.1\r\nhost: t\r\n\
content-length: 3\r\ncontent-length: 4\r\n\r\nabcd";

fn long_head() -> String {
    format!("GET / HTTP/1.1\r\nx: {}", "x".repeat(40_000))
}

cases! { check_raw {
    not_http: (b"hello\r\n\r\n", "HTTP/1.1 400");
    truncated_head: (b"GET /v1/call/orders/lookup HTTP/1.1\r\nhost", "");
    truncated_body: (TRUNCATED_BODY, "");
    two_lengths: (TWO_LENGTHS, "HTTP/1.1 400");
    oversized_head: (long_head().as_bytes(), "HTTP/1.1 431");
} }

#[test]
fn deadline_above_the_maximum_is_served() {
    let fleet = TestFleet::start(1, 1);
    for text in ["600001", "18446744073709551615"] {
        let response = fleet.call(0, "GET", CALL, &[("lacewing-deadline-ms", text)], "");
        assert_eq!(verdict_of(&response), Some(RunVerdict::Ran), "{text}");
    }
    fleet.close();
}

#[test]
fn wrong_token_is_refused_and_counted() {
    let fleet = TestFleet::start(1, 1);
    let address = fleet.traffic(0).settings.operator_address;
    let request = http::Request::post("/v1/commands")
        .header("host", "t")
        .header("authorization", "Bearer wrong")
        .body("drop service orders".to_owned().into())
        .unwrap();
    assert_eq!(fleet.exchange(address, request).unwrap().status().as_u16(), 401);
    let mut stream = TcpStream::connect(fleet.traffic(0).settings.peer_address).unwrap();
    stream.write_all(&[7; 64]).unwrap();
    let refusals = &fleet.traffic(0).metrics.token_refusals;
    support::wait_until("both refusals are counted", || {
        ["operator", "peer"].iter().all(|port| refusals.with_label_values(&[port]).get() == 1)
    });
    assert_serves(&fleet);
    fleet.close();
}
