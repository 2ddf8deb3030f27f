//! Servers that say in their answers that they leave, or that they want no requests for a time.

mod support;

use std::time::Duration;
use support::backend::ScriptedBackend;
use support::client::call;
use support::fixture::{call_work, start_with_server, wait_until, write_server_record};
use testkit::cases;

/// Requests sent after a notice.
const REQUESTS: usize = 20;
/// Health checks that may be on their way when the first refusal arrives.
const CHECKS_ON_THE_WAY: usize = 1;
/// Several times the longest interval between health checks of a server.
const UNCHECKED_DURATION: Duration = Duration::from_millis(600);

/// Waits until a server gets no more health checks; one may be on its way.
fn wait_unchecked(server: &ScriptedBackend) {
    wait_until("the server gets no more health checks", || {
        let before = server.arrivals();
        std::thread::sleep(UNCHECKED_DURATION);
        server.arrivals() == before
    });
}

/// Guards against requests to a server after an answer in which it said that it leaves.
fn check_leaving(method: &str, route: &str, step: &str, status: u16) {
    let (store, server, instance) = start_with_server();
    server.set_notice("t-leaving: 1\r\n", step == "refused");
    let path = format!("/{route}/{step}/");
    assert_eq!(call(instance.callers, method, &path, "id-0").status, status);
    wait_unchecked(&server);
    let arrived = server.arrivals();
    for index in 0..REQUESTS {
        let response = call_work(&instance, "ok", &format!("id-{index}"));
        assert_eq!((response.status, response.body.trim()), (503, "no_server"));
    }
    // Its record still says that it is ready.
    write_server_record(&store, &server, "ready");
    let second = ScriptedBackend::start("second");
    write_server_record(&store, &second, "ready");
    wait_until("the second server serves", || call_work(&instance, "ok", "warm").status == 200);
    for index in 0..REQUESTS {
        assert_eq!(call_work(&instance, "ok", &format!("second-{index}")).status, 200);
    }
    assert_eq!(server.arrivals(), arrived);
    instance.close();
}

cases! { check_leaving {
    in_an_answer: ("POST", "work", "ok", 200);
    in_a_failure: ("POST", "work", "fail", 500);
    in_a_refusal: ("POST", "work", "refused", 503);
    in_the_answer_of_another_route: ("GET", "look", "ok", 200);
} }

/// A notice that can't be read changes nothing.
fn check_ignored(notice: &str, refuses: bool) {
    let (_store, server, instance) = start_with_server();
    server.set_notice(notice, refuses);
    for index in 0..3 {
        let status = call_work(&instance, "ok", &format!("id-{index}")).status;
        assert_eq!(status, if refuses { 503 } else { 200 });
    }
    assert_eq!(server.record.lock().expect("record").arrived.len(), 3);
    instance.close();
}

cases! { check_ignored {
    leaving_zero: ("t-leaving: 0\r\n", false);
    leaving_without_value: ("t-leaving:\r\n", false);
    leaving_text: ("t-leaving: soon\r\n", false);
    quiet_in_a_success: ("retry-after: 30\r\n", false);
    quiet_text: ("retry-after: soon\r\n", true);
    quiet_negative: ("retry-after: -3\r\n", true);
    quiet_empty: ("retry-after:\r\n", true);
} }

/// Guards against requests and health checks at a server within the time of its `Retry-After`, which is
/// longer than the test.
#[test]
fn a_server_that_wants_no_requests_gets_none() {
    let (_store, server, instance) = start_with_server();
    server.set_notice("retry-after: 30\r\n", true);
    assert_eq!(call_work(&instance, "ok", "id-first").status, 503);
    server.set_notice("", false);
    let arrived = server.record.lock().expect("record").arrived.len();
    for index in 0..REQUESTS {
        let response = call_work(&instance, "ok", &format!("id-{index}"));
        assert_eq!((response.status, response.body.trim()), (503, "quiet"));
        let seconds = response.header("retry-after").expect("a delay").parse::<f64>();
        assert!((20.0..31.0).contains(&seconds.expect("a number")));
    }
    assert_eq!(server.record.lock().expect("record").arrived.len(), arrived);
    wait_unchecked(&server);
    instance.close();
}

/// Guards against requests to a server that refused a health check with `Retry-After`.
fn check_quiet_in_health_check(lines: &str) {
    let (_store, server, instance) = start_with_server();
    server.refuse_checks(lines);
    wait_until("the server is left alone", || {
        let response = call_work(&instance, "ok", "id");
        response.status == 503 && response.body.trim() == "quiet"
    });
    let arrived = server.arrivals();
    for index in 0..REQUESTS {
        let response = call_work(&instance, "ok", &format!("id-{index}"));
        assert_eq!((response.status, response.body.trim()), (503, "quiet"));
    }
    assert!(server.arrivals() <= arrived + CHECKS_ON_THE_WAY);
    wait_unchecked(&server);
    instance.close();
}

cases! { check_quiet_in_health_check {
    in_a_named_refusal: ("t-server: first\r\nretry-after: 30\r\n");
    in_a_refusal_without_a_name: ("retry-after: 30\r\n");
} }

/// A refused health check that asks for nothing, or that another server at the address refused, counts as
/// failed and no more.
fn check_refused_health_check(lines: &str) {
    let (_store, server, instance) = start_with_server();
    server.refuse_checks(lines);
    let before = server.record.lock().expect("record").checks;
    wait_until("a health check is refused", || {
        server.record.lock().expect("record").checks > before
    });
    for index in 0..REQUESTS {
        assert_ne!(call_work(&instance, "ok", &format!("id-{index}")).body.trim(), "quiet");
    }
    instance.close();
}

cases! { check_refused_health_check {
    refused_by_another_server: ("t-server: second\r\nretry-after: 30\r\n");
    refused_without_a_time: ("t-server: first\r\n");
    refused_with_an_unreadable_time: ("t-server: first\r\nretry-after: soon\r\n");
} }

fn check_return(seconds: &str) {
    let (_store, server, instance) = start_with_server();
    server.set_notice(&format!("retry-after: {seconds}\r\n"), true);
    assert_eq!(call_work(&instance, "ok", "id-first").status, 503);
    server.set_notice("", false);
    assert_eq!(call_work(&instance, "ok", "id-quiet").status, 503);
    wait_until("the server is used again", || call_work(&instance, "ok", "id").status == 200);
    instance.close();
}

cases! { check_return {
    after_a_fraction_of_a_second: ("0.3");
    after_a_second: ("1");
    after_three_seconds: ("3");
} }

/// Guards against a refusal that nobody reads, since the response to the other copy of the request came first:
/// the server gets no second request, whatever the order of both.
#[test]
fn a_hedged_request_that_is_refused_late_counts() {
    let mut hedged = 0;
    for took_ms in [238, 246, 254, 262, 270] {
        let (store, _first, instance) = start_with_server();
        assert_eq!(call_work(&instance, "ok", "warm").status, 200);
        let second = ScriptedBackend::start("second");
        second.set_notice("retry-after: 30\r\n", true);
        // A slow server gets hedged requests only.
        second.set_checked_load("0,0,4,4.0", Duration::from_millis(25));
        write_server_record(&store, &second, "ready");
        wait_until("its speed is known", || second.arrivals() > 1);
        let path = format!("/look/take-{took_ms}/");
        assert_eq!(call(instance.callers, "GET", &path, "id-0").status, 200);
        std::thread::sleep(Duration::from_millis(60));
        let refused = second.record.lock().expect("record").arrived.len();
        hedged += refused;
        if refused > 0 {
            second.set_checked_load("0,0,4,0.2", Duration::ZERO);
            std::thread::sleep(Duration::from_millis(300));
            for index in 0..REQUESTS {
                call_work(&instance, "ok", &format!("id-{index}"));
            }
            assert_eq!(second.record.lock().expect("record").arrived.len(), refused);
        }
        instance.crash();
    }
    assert!(hedged > 0, "no request was hedged");
}
