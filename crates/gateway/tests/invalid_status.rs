//! Servers in trouble that answer with a status that is none.

mod support;

use std::time::Duration;
use support::client::{assert_unknown, call};
use support::fixture::{call_work, start_with_server, wait_until};
use testkit::cases;

/// Guards against a status that a caller takes for an answer. The work may have run, so it is not sent again.
fn check_status(step: &str) {
    let (_store, server, instance) = start_with_server();
    assert_unknown(&call_work(&instance, step, "id-1"));
    assert_eq!(server.ran(), ["id-1"]);
    // The connection is not used again, and the next request is served.
    assert_eq!(call_work(&instance, "ok", "id-2").status, 200);
    instance.crash();
}

cases! { check_status {
    zero: ("status-000_None");
    below_one_hundred: ("status-099_Low");
    switching_protocols: ("status-101_Switching");
    six_hundred: ("status-600_High");
    highest_of_three_digits: ("status-999_High");
    four_digits: ("status-2000_OK");
    two_digits: ("status-20_OK");
    negative: ("status--20_OK");
    two_spaces: ("status-_200_OK");
    letters: ("status-2OO_OK");
} }

/// A final status that is none of the usual ones is the server's answer.
#[test]
fn unusual_final_statuses_are_answers() {
    let (_store, _server, instance) = start_with_server();
    for status in [226, 299, 399, 418, 499, 599] {
        let response = call_work(&instance, &format!("status-{status}_x"), "id");
        assert_eq!(response.status, status);
        assert!(response.header("t-signature").is_some());
    }
    instance.crash();
}

/// An idempotent request is sent to another server.
#[test]
fn a_lookup_is_sent_again() {
    let (_store, server, instance) = start_with_server();
    let response = call(instance.callers, "GET", "/look/status-999_x/", "id-1");
    assert_eq!(response.status, 502);
    assert!(!server.ran().is_empty());
    let metrics = call(instance.metrics, "GET", "/metrics", "m").body;
    assert!(metrics.contains("lacewing_exchanges_total{outcome=\"invalid_status\"}"));
    instance.crash();
}

/// A health check with such a status has failed.
fn check_health(status: &str) {
    let (_store, server, instance) = start_with_server();
    wait_until("it serves", || call_work(&instance, "ok", "id").status == 200);
    server.record.lock().expect("record").checked_status = status.into();
    wait_until("health checks count as failed", || {
        let metrics = call(instance.metrics, "GET", "/metrics", "m").body;
        metrics.contains("lacewing_exchanges_total{outcome=\"probe_failed\"}")
    });
    server.record.lock().expect("record").checked_status = "200 OK".into();
    std::thread::sleep(Duration::from_millis(100));
    wait_until("it serves again", || call_work(&instance, "ok", "id").status == 200);
    instance.crash();
}

cases! { check_health {
    health_zero: ("000 None");
    health_switching_protocols: ("101 Switching");
    health_highest_of_three_digits: ("999 High");
} }
