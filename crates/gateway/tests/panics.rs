//! A panic of one task leaves an instance that serves, or says that it is not ready. The binding, the
//! decoder and the store of the tests panic on demand.

mod support;

use support::backend::ScriptedBackend;
use support::client::call;
use support::fixture::{
    PANIC_TEXT, TestInstance, call_work, is_ready, start_with_server, wait_until,
    write_server_record,
};

/// Returns the number of panics of a task that an instance counted.
fn panics(instance: &TestInstance, task: &str) -> u64 {
    let metrics = call(instance.metrics, "GET", "/metrics", "m").body;
    let prefix = format!("lacewing_panics_total{{task=\"{task}\"}} ");
    let count = metrics.lines().find_map(|line| line.strip_prefix(&prefix));
    count.map_or(0, |count| count.parse().expect("a number"))
}

#[test]
fn a_request_whose_handler_panics_is_answered_and_the_next_one_served() {
    let (_store, server, instance) = start_with_server();
    for round in 0..3 {
        let response = call_work(&instance, PANIC_TEXT, &format!("id-{round}"));
        assert_eq!((response.status, response.header("connection")), (502, Some("close")));
        assert_eq!(call_work(&instance, "ok", &format!("ok-{round}")).status, 200);
    }
    assert_eq!(server.ran().len(), 6);
    assert_eq!(panics(&instance, "handler"), 3);
    assert!(is_ready(&instance));
    instance.close();
}

/// Guards against an instance that says it is ready while it answers no request.
#[test]
fn an_instance_whose_handlers_all_panic_is_not_ready() {
    let (_store, _server, instance) = start_with_server();
    for round in 0..6 {
        assert_eq!(call_work(&instance, PANIC_TEXT, &format!("id-{round}")).status, 502);
    }
    // Readiness checks that are answered don't show that callers are served.
    for _ in 0..3 {
        assert!(!is_ready(&instance));
    }
    assert_eq!(call_work(&instance, "ok", "id-ok").status, 200);
    wait_until("ready again", || is_ready(&instance));
    instance.close();
}

/// Guards against one record that keeps all others from being applied.
#[test]
fn a_record_that_panics_leaves_the_others_in_force() {
    let (store, _server, instance) = start_with_server();
    store.set("servers/odd", Some(PANIC_TEXT));
    let second = ScriptedBackend::start("second");
    write_server_record(&store, &second, "ready");
    wait_until("the second server is used", || {
        assert_eq!(call_work(&instance, "ok", "id").status, 200);
        !second.ran().is_empty()
    });
    assert_eq!(panics(&instance, "record"), 1);
    instance.close();
}

/// Guards against a duty that ends with its first panic while the instance goes on without it.
#[test]
fn a_duty_that_panics_starts_again() {
    let (store, _server, instance) = start_with_server();
    store.set_panics(true);
    store.set("config", Some("2"));
    wait_until("the duty has panicked again", || panics(&instance, "sync") >= 2);
    store.set_panics(false);
    store.set("config", Some("3"));
    wait_until("the configuration is in force", || {
        call(instance.callers, "POST", "/v3/ok/", "id-3").status == 200
    });
    instance.close();
}

/// Guards against a server that is never checked again since one check of it panicked.
#[test]
fn a_server_whose_check_panicked_is_checked_again() {
    let (_store, server, instance) = start_with_server();
    let set_load = |load: &str| server.record.lock().expect("record").checked_load = load.into();
    set_load(PANIC_TEXT);
    wait_until("several checks have panicked", || panics(&instance, "health check") >= 2);
    set_load("0,0,6");
    let checks = || server.record.lock().expect("record").checks;
    let before = checks();
    wait_until("the server is checked", || checks() >= before + 3);
    assert_eq!(call_work(&instance, "ok", "id").status, 200);
    instance.close();
}
