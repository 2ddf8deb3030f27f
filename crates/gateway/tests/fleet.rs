//! Several instances and a store that fails some of them.

mod support;

use support::backend::ScriptedBackend;
use support::client::call;
use support::fixture::{
    TestInstance, free_addresses, is_ready, list_server, served, start_at, start_instance,
    wait_until, work,
};
use support::memory_store::MemoryStore;

/// Health checks a second in the settings of the test instances, and how many may come together at the
/// start, before the instances know of each other.
const CHECKS_PER_S: f64 = 20.0;
const CHECKS_SLACK: f64 = 8.0;

fn status(instance: &TestInstance, path: &str) -> u16 {
    call(instance.callers, "POST", path, "probe").status
}

fn pair(store: &MemoryStore) -> (TestInstance, TestInstance) {
    let instances = (start_instance("one", store), start_instance("two", store));
    for instance in [&instances.0, &instances.1] {
        wait_until("both are known", || {
            std::net::TcpStream::connect(instance.directory).is_ok()
                && call(instance.directory, "GET", "/where", "d").body.contains(' ')
        });
    }
    instances
}

#[test]
fn without_a_configuration_an_instance_refuses_as_not_run() {
    let store = MemoryStore::default();
    store.set("other", Some("x"));
    let instance = start_instance("one", &store);
    wait_until("listening", || std::net::TcpStream::connect(instance.callers).is_ok());
    let answer = work(&instance, "ok", "id-1");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert!(!is_ready(&instance));
    store.set("config", Some("1"));
    wait_until("ready", || is_ready(&instance));
    instance.close();
}

#[test]
fn an_older_or_broken_configuration_changes_nothing() {
    let (store, _server, instance) = served();
    store.set("config", Some("5"));
    wait_until("version 5", || status(&instance, "/v5/") == 200);
    for text in ["3", "broken", "5"] {
        store.set("config", Some(text));
    }
    store.set("config", Some("7"));
    wait_until("version 7", || status(&instance, "/v7/") == 200);
    assert_eq!(status(&instance, "/v5/"), 404);
    assert_eq!(status(&instance, "/v3/"), 404);
    instance.close();
}

#[test]
fn a_leaving_server_and_a_malformed_one_get_nothing() {
    let (store, first, instance) = served();
    let second = ScriptedBackend::start("second");
    list_server(&store, &second, "ready");
    store.set("servers/third", Some("nowhere"));
    wait_until("the second server serves", || {
        work(&instance, "ok", "warm");
        !second.ran().is_empty()
    });
    list_server(&store, &first, "leaving");
    wait_until("the first server gets nothing", || {
        let before = first.ran().len();
        (0..6).for_each(|_| assert_eq!(work(&instance, "ok", "id").status, 200));
        first.ran().len() == before
    });
    instance.close();
}

#[test]
fn changes_after_forgotten_history_are_seen() {
    let (store, _server, instance) = served();
    store.refuse("one", true);
    store.set("config", Some("5"));
    store.forget_history();
    store.refuse("one", false);
    wait_until("version 5", || status(&instance, "/v5/") == 200);
    instance.close();
}

#[test]
fn an_instance_that_the_store_refuses_learns_from_the_other() {
    let store = MemoryStore::default();
    let server = ScriptedBackend::start("first");
    store.set("config", Some("1"));
    list_server(&store, &server, "ready");
    let (one, two) = pair(&store);
    for (lost, version) in [(&one, 5), (&two, 6)] {
        store.refuse(&lost.name, true);
        store.set("config", Some(&version.to_string()));
        let path = format!("/v{version}/");
        wait_until("the change is in force there", || status(lost, &path) == 200);
        store.refuse(&lost.name, false);
    }
    one.close();
    two.close();
}

#[test]
fn an_instance_that_stops_leaves_the_answers_of_the_other() {
    let store = MemoryStore::default();
    let server = ScriptedBackend::start("first");
    store.set("config", Some("1"));
    list_server(&store, &server, "ready");
    let (mut one, two) = pair(&store);
    one.ask_stop();
    let expected = two.callers.to_string();
    wait_until("only the other one is named", || {
        call(two.directory, "GET", "/where", "d").body == expected
    });
    one.close();
    two.close();
}

/// Cause traced: while the store stayed in trouble for an instance, it used a server that had vanished
/// for as long as that lasted.
#[test]
fn a_server_that_vanishes_during_trouble_is_used_for_a_short_time_only() {
    let store = MemoryStore::default();
    let server = ScriptedBackend::start("first");
    store.set("config", Some("1"));
    list_server(&store, &server, "ready");
    let (one, two) = pair(&store);
    store.refuse(&one.name, true);
    wait_until("the instance notices", || {
        call(one.metrics, "GET", "/metrics", "m").body.contains("outcome=\"failed\"")
    });
    store.set("servers/first", None);
    for instance in [&one, &two] {
        wait_until("the server gets nothing", || work(instance, "ok", "id").status == 503);
    }
    one.close();
    two.close();
}

#[test]
fn a_fleet_that_lost_everything_comes_back_with_its_records_and_writes_nothing() {
    let store = MemoryStore::default();
    let server = ScriptedBackend::start("first");
    store.set("config", Some("1"));
    list_server(&store, &server, "ready");
    let (one, two) = pair(&store);
    let writes = store.writes();
    let addresses = [one.addresses.clone(), two.addresses.clone()];
    one.close();
    two.close();
    let again: Vec<TestInstance> = ["one", "two"]
        .into_iter()
        .zip(addresses)
        .map(|(name, addresses)| start_at(name, &store, addresses, ""))
        .collect();
    for instance in &again {
        wait_until("it serves", || is_ready(instance) && work(instance, "ok", "id").status == 200);
        wait_until("it names both", || {
            call(instance.directory, "GET", "/where", "d").body.contains(' ')
        });
    }
    assert_eq!(store.writes(), writes);
    again.into_iter().for_each(TestInstance::close);
}

#[test]
fn an_instance_that_comes_back_elsewhere_is_listed_anew() {
    let store = MemoryStore::default();
    store.set("config", Some("1"));
    let instance = start_instance("one", &store);
    wait_until("it is listed", || store.has("members/one"));
    let writes = store.writes();
    instance.close();
    let instance = start_instance("one", &store);
    wait_until("it is listed anew", || store.writes() > writes);
    instance.close();
}

#[test]
fn instances_that_start_together_are_listed_by_one() {
    let store = MemoryStore::default();
    store.set("config", Some("1"));
    let first = start_instance("one", &store);
    wait_until("the first is listed", || store.has("members/one"));
    let seeds = format!("[peers]\nseeds = {}\n", first.addresses[3]);
    let others: Vec<TestInstance> = (0..5)
        .map(|index| {
            let addresses = free_addresses();
            start_at(&format!("other{index}"), &store, addresses, &seeds)
        })
        .collect();
    wait_until("all are listed", || (0..5).all(|i| store.has(&format!("members/other{i}"))));
    let writers = store.writers();
    assert_eq!(writers, ["one"], "only the first writes");
    first.close();
    others.into_iter().for_each(TestInstance::close);
}

#[test]
fn all_instances_together_keep_to_the_rate_of_health_checks() {
    let store = MemoryStore::default();
    let server = ScriptedBackend::start("first");
    store.set("config", Some("1"));
    list_server(&store, &server, "ready");
    let started = std::time::Instant::now();
    let (one, two) = pair(&store);
    wait_until("some checks were made", || server.record.lock().expect("record").checks > 30);
    let checks = server.record.lock().expect("record").checks as f64;
    let allowed = started.elapsed().as_secs_f64() * CHECKS_PER_S;
    assert!(checks <= allowed + CHECKS_SLACK, "{checks} checks, {allowed:.0} allowed");
    one.close();
    two.close();
}
