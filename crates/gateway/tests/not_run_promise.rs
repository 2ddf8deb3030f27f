//! The statuses that tell a caller "not run, and never will be", when a server says them of a request that it ran.

mod support;

use support::client::{assert_unknown, call, connect, exchange, request};
use support::fixture::{add_second_server, call_work, start_with_server};
use testkit::cases;

/// A body that takes several reads.
const LONG_BODY_BYTES: usize = 9_000;

/// Guards against a booking that has run and whose caller is told that it has not: it would book again.
fn check_booking(step: &str, body: &str) {
    let (_store, server, instance) = start_with_server();
    server.set_notice("retry-after: 0\r\n", false);
    let bytes = request("POST", &format!("/work/{step}/"), "id-1", body);
    assert_unknown(&exchange(&mut connect(instance.callers), &bytes));
    assert_eq!(server.ran(), ["id-1"]);
    instance.close();
}

cases! { check_booking {
    unavailable: ("status-503_Failed", "body");
    too_many_requests: ("status-429_Many", "body");
    request_timeout: ("status-408_Late", "body");
    unavailable_before_the_body_is_read: ("early-status-503_Failed", &"x".repeat(LONG_BODY_BYTES));
    too_many_before_the_body_is_read: ("early-status-429_Many", &"x".repeat(LONG_BODY_BYTES));
    timeout_before_the_body_is_read: ("early-status-408_Late", &"x".repeat(LONG_BODY_BYTES));
} }

/// Guards against the promise in the answer to a lookup that was sent again and failed at both servers.
fn check_lookup(status: u16) {
    let (store, first, instance) = start_with_server();
    let second = add_second_server(&store, &first, &instance);
    let path = format!("/look/status-{status}_Failed/");
    assert_unknown(&call(instance.callers, "GET", &path, "id-1"));
    let runs = [first.ran(), second.ran()].concat().iter().filter(|id| *id == "id-1").count();
    assert_eq!(runs, 2);
    instance.close();
}

cases! { check_lookup {
    lookup_unavailable: (503);
    lookup_too_many_requests: (429);
    lookup_request_timeout: (408);
} }

/// A failed run that asks for quiet is heeded as a refusal is: the server gets nothing more for that time.
#[test]
fn a_failure_that_asks_for_quiet_is_heeded() {
    let (_store, server, instance) = start_with_server();
    server.set_notice("retry-after: 30\r\n", false);
    assert_unknown(&call_work(&instance, "status-503_Failed", "id-1"));
    let response = call_work(&instance, "ok", "id-2");
    assert_eq!((response.status, response.body.trim()), (503, "quiet"));
    assert_eq!(server.ran(), ["id-1"]);
    instance.close();
}

/// Other failures are the server's own answers and stay as they are.
#[test]
fn other_failures_are_passed_on() {
    let (_store, _server, instance) = start_with_server();
    for status in [400, 409, 500, 502, 504] {
        let response = call_work(&instance, &format!("status-{status}_x"), "id");
        assert_eq!((response.status, response.header("t-signature")), (status, Some("s-id")));
    }
    instance.close();
}
