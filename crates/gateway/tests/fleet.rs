//! Fleets of instances with a store that fails for some of them.

mod support;

use std::time::Duration;
use support::backend::ScriptedBackend;
use support::client::call;
use support::fixture::{
    STANDSTILL_TEXT, TestInstance, call_work, free_addresses, is_ready, start_at, start_instance,
    start_with_server, wait_until, write_server_record,
};
use support::memory_store::MemoryStore;

/// Health checks per second of a server, as in the settings of the test instances.
const CHECKS_PER_S: f64 = 20.0;
/// Further checks that may be made at the start, before the instances discover each other.
const CHECKS_AT_START_MAX: f64 = 8.0;

/// Time in which the store refuses an instance that stops. Shorter than its grace period.
const REFUSED_PERIOD: Duration = Duration::from_millis(300);

/// Time without a confirmation after which failed calls mean an outage.
const OUTAGE_PERIOD: Duration = Duration::from_millis(2_500);

/// Time in which an instance reads a record that makes it stand still.
const STANDSTILL_BEGIN: Duration = Duration::from_millis(300);

/// Requests that a server with a limit of one request a second may get within four seconds.
const LIMITED_REQUESTS_MAX: usize = 11;

fn status(instance: &TestInstance, path: &str) -> u16 {
    call(instance.callers, "POST", path, "probe").status
}

/// Returns the revision of the store up to which an instance knows the changes.
fn revision(instance: &TestInstance) -> u64 {
    let metrics = call(instance.metrics, "GET", "/metrics", "m").body;
    let value = metrics.lines().find_map(|line| line.strip_prefix("lacewing_replica_revision "));
    value.expect("the metric").parse().expect("a number")
}

fn start_two(store: &MemoryStore) -> (TestInstance, TestInstance) {
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
    let response = call_work(&instance, "ok", "id-1");
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert!(!is_ready(&instance));
    store.set("config", Some("1"));
    wait_until("ready", || is_ready(&instance));
    instance.close();
}

#[test]
fn an_older_or_broken_configuration_changes_nothing() {
    let (store, _server, instance) = start_with_server();
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
fn a_leaving_server_and_a_malformed_record_get_no_requests() {
    let (store, first, instance) = start_with_server();
    let second = ScriptedBackend::start("second");
    write_server_record(&store, &second, "ready");
    store.set("servers/third", Some("nowhere"));
    wait_until("the second server serves", || {
        call_work(&instance, "ok", "warm");
        !second.ran().is_empty()
    });
    write_server_record(&store, &first, "leaving");
    wait_until("the first server gets nothing", || {
        let before = first.ran().len();
        (0..6).for_each(|_| assert_eq!(call_work(&instance, "ok", "id").status, 200));
        first.ran().len() == before
    });
    instance.close();
}

#[test]
fn changes_after_a_compacted_history_are_applied() {
    let (store, _server, instance) = start_with_server();
    store.set_refused("one", true);
    store.set("config", Some("5"));
    store.compact_history();
    store.set_refused("one", false);
    wait_until("version 5", || status(&instance, "/v5/") == 200);
    instance.close();
}

#[test]
fn an_instance_that_lost_the_store_gets_changes_from_the_other() {
    let store = MemoryStore::default();
    let server = ScriptedBackend::start("first");
    store.set("config", Some("1"));
    write_server_record(&store, &server, "ready");
    let (one, two) = start_two(&store);
    for (refused, version) in [(&one, 5), (&two, 6)] {
        store.set_refused(&refused.name, true);
        store.set("config", Some(&version.to_string()));
        let path = format!("/v{version}/");
        wait_until("the change is in force there", || status(refused, &path) == 200);
        store.set_refused(&refused.name, false);
    }
    one.close();
    two.close();
}

#[test]
fn a_stopping_instance_is_removed_from_the_directory() {
    let store = MemoryStore::default();
    let server = ScriptedBackend::start("first");
    store.set("config", Some("1"));
    write_server_record(&store, &server, "ready");
    let (mut one, two) = start_two(&store);
    one.ask_stop();
    let expected = two.callers.to_string();
    wait_until("only the other one is named", || {
        call(two.directory, "GET", "/where", "d").body == expected
    });
    one.close();
    two.close();
}

/// Guards against a directory that names an instance which stopped long before: the others counted it as
/// usable whenever they expected no heartbeats of it.
#[test]
fn a_planned_stop_removes_the_record_of_the_instance() {
    let store = MemoryStore::default();
    store.set("config", Some("1"));
    let (one, two) = start_two(&store);
    assert!(store.has("members/one"));
    store.set_refused("one", true);
    let refusal = {
        let store = store.clone();
        std::thread::spawn(move || {
            std::thread::sleep(REFUSED_PERIOD);
            store.set_refused("one", false);
        })
    };
    one.close();
    refusal.join().expect("the store serves again");
    assert!(!store.has("members/one") && store.has("members/two"));
    two.close();
}

/// The record that a restarted process wrote meanwhile stays.
#[test]
fn a_stop_does_not_remove_the_record_of_another_process() {
    let store = MemoryStore::default();
    store.set("config", Some("1"));
    let (one, two) = start_two(&store);
    for name in ["one", "two"] {
        store.set_refused(name, true);
    }
    wait_until("the watches have ended", || {
        call(one.metrics, "GET", "/metrics", "m").body.contains("outcome=\"failed\"")
    });
    store.set("members/one", Some("{}"));
    store.set_refused("one", false);
    one.close();
    assert!(store.has("members/one"));
    two.close();
}

/// Guards against using a vanished server for as long as the store fails for an instance.
#[test]
fn a_server_that_vanishes_while_the_store_fails_is_used_only_briefly() {
    let store = MemoryStore::default();
    let server = ScriptedBackend::start("first");
    store.set("config", Some("1"));
    write_server_record(&store, &server, "ready");
    let (one, two) = start_two(&store);
    store.set_refused(&one.name, true);
    wait_until("a call to the store has failed", || {
        call(one.metrics, "GET", "/metrics", "m").body.contains("outcome=\"failed\"")
    });
    store.set("servers/first", None);
    for instance in [&one, &two] {
        wait_until("the server gets nothing", || call_work(instance, "ok", "id").status == 503);
    }
    one.close();
    two.close();
}

/// A server whose record expired during an outage stays in use until it has announced itself again.
#[test]
fn a_server_that_vanishes_during_an_outage_stays_in_use() {
    let (store, server, instance) = start_with_server();
    wait_until("it has registered itself", || store.has("members/one"));
    let registered = store.revision();
    wait_until("the store has confirmed its state", || revision(&instance) >= registered);
    store.set_refused(&instance.name, true);
    std::thread::sleep(OUTAGE_PERIOD);
    store.set("servers/first", None);
    store.set_refused(&instance.name, false);
    wait_until("the server is kept", || {
        let metrics = call(instance.metrics, "GET", "/metrics", "m").body;
        let has = |line: &str| metrics.lines().any(|known| known == line);
        has("lacewing_vanished_servers_total 1") && has("lacewing_servers 1")
    });
    write_server_record(&store, &server, "ready");
    wait_until("it is announced again", || call_work(&instance, "ok", "id").status == 200);
    instance.close();
}

/// Guards against using a server after its removal is known: the silence of an instance that stood still was read
/// as an outage of the store, in which records of live servers expire.
#[test]
fn a_server_that_is_removed_while_the_instance_stands_still_is_gone() {
    let (store, server, instance) = start_with_server();
    wait_until("it serves", || call_work(&instance, "ok", "id").status == 200);
    store.set("servers/other", Some(STANDSTILL_TEXT));
    std::thread::sleep(STANDSTILL_BEGIN);
    let removed = store.set("servers/first", None);
    let arrived = server.record.lock().expect("record").arrived.len();
    wait_until("the removal is known", || revision(&instance) >= removed);
    assert_eq!(call_work(&instance, "ok", "id").status, 503);
    assert_eq!(server.record.lock().expect("record").arrived.len(), arrived);
    instance.close();
}

/// Guards against relaying a batch as complete without the changes that the watcher already had.
#[test]
fn a_change_that_a_restarted_watcher_read_ahead_reaches_the_others() {
    let store = MemoryStore::default();
    let server = ScriptedBackend::start("first");
    store.set("config", Some("1"));
    write_server_record(&store, &server, "ready");
    let (one, two) = start_two(&store);
    store.set_refused(&two.name, true);
    store.set("config", Some("5"));
    wait_until("version 5", || status(&two, "/v5/") == 200);
    one.close();
    write_server_record(&store, &server, "leaving");
    store.set_read_lag(1);
    // Its addresses are new, so it writes its record, which is the only change new to itself.
    let one = start_instance("one", &store);
    wait_until("the server gets nothing", || call_work(&two, "ok", "id").status == 503);
    one.close();
    two.close();
}

#[test]
fn a_restarted_fleet_uses_its_registered_records_without_writes() {
    let store = MemoryStore::default();
    let server = ScriptedBackend::start("first");
    store.set("config", Some("1"));
    write_server_record(&store, &server, "ready");
    let (one, two) = start_two(&store);
    let writes = store.writes();
    let addresses = [one.addresses.clone(), two.addresses.clone()];
    one.crash();
    two.crash();
    let restarted: Vec<TestInstance> = ["one", "two"]
        .into_iter()
        .zip(addresses)
        .map(|(name, addresses)| start_at(name, &store, addresses, ""))
        .collect();
    for instance in &restarted {
        wait_until("it serves", || {
            is_ready(instance) && call_work(instance, "ok", "id").status == 200
        });
        wait_until("it names both", || {
            call(instance.directory, "GET", "/where", "d").body.contains(' ')
        });
    }
    assert_eq!(store.writes(), writes);
    restarted.into_iter().for_each(TestInstance::close);
}

#[test]
fn an_instance_restarted_at_other_addresses_is_registered_again() {
    let store = MemoryStore::default();
    store.set("config", Some("1"));
    let instance = start_instance("one", &store);
    wait_until("it is registered", || store.has("members/one"));
    let writes = store.writes();
    instance.close();
    let instance = start_instance("one", &store);
    wait_until("it is registered again", || store.writes() > writes);
    instance.close();
}

#[test]
fn instances_that_start_together_are_registered_by_one() {
    let store = MemoryStore::default();
    store.set("config", Some("1"));
    let first = start_instance("one", &store);
    wait_until("the first is registered", || store.has("members/one"));
    let seeds = format!("[peers]\nseeds = {}\n", first.addresses[3]);
    let others: Vec<TestInstance> = (0..5)
        .map(|index| {
            let addresses = free_addresses();
            start_at(&format!("other{index}"), &store, addresses, &seeds)
        })
        .collect();
    wait_until("all are registered", || (0..5).all(|i| store.has(&format!("members/other{i}"))));
    let writers = store.writers();
    assert_eq!(writers, ["one"], "only the first writes");
    first.close();
    others.into_iter().for_each(TestInstance::close);
}

/// Guards against a server that gets more requests than the limit that it named.
#[test]
fn all_instances_together_respect_a_servers_limit() {
    let store = MemoryStore::default();
    let server = ScriptedBackend::start("first");
    store.set("config", Some("1"));
    write_server_record(&store, &server, "ready");
    let (one, two) = start_two(&store);
    server.set_limit(Some("1"));
    let before = server.ran().len();
    for index in 0..40 {
        let instance = if index % 2 == 0 { &one } else { &two };
        let response = call_work(instance, "ok", &format!("id-{index}"));
        if response.status != 200 {
            assert_eq!(response.status, 503);
            assert!(response.header("retry-after").is_some());
        }
    }
    let ran = server.ran().len() - before;
    assert!(ran <= LIMITED_REQUESTS_MAX, "{ran} requests");
    server.set_limit(None);
    for instance in [&one, &two] {
        wait_until("the limit has ended", || {
            (0..10).all(|_| call_work(instance, "ok", "id").status == 200)
        });
    }
    one.close();
    two.close();
}

#[test]
fn a_malformed_limit_changes_nothing() {
    let (_store, server, instance) = start_with_server();
    server.set_limit(Some("many"));
    for index in 0..10 {
        assert_eq!(call_work(&instance, "ok", &format!("id-{index}")).status, 200);
    }
    instance.close();
}

#[test]
fn all_instances_together_respect_the_health_check_rate() {
    let store = MemoryStore::default();
    let server = ScriptedBackend::start("first");
    store.set("config", Some("1"));
    write_server_record(&store, &server, "ready");
    let started = std::time::Instant::now();
    let (one, two) = start_two(&store);
    wait_until("some checks were made", || server.record.lock().expect("record").checks > 30);
    let checks = server.record.lock().expect("record").checks as f64;
    let allowed = started.elapsed().as_secs_f64() * CHECKS_PER_S;
    assert!(checks <= allowed + CHECKS_AT_START_MAX, "{checks} checks, {allowed:.0} allowed");
    one.close();
    two.close();
}

/// Guards against an instance that starts from an old read, which has the record that its planned stop removed:
/// the others send it nothing, and it has to notice that. It is too low in rank to send heartbeats itself.
#[test]
fn an_instance_that_reads_its_removed_record_gets_later_changes() {
    const LOW_RANK: &str = "cores = 0.01\n";
    let store = MemoryStore::default();
    let server = ScriptedBackend::start("first");
    store.set("config", Some("1"));
    write_server_record(&store, &server, "ready");
    let names: Vec<String> = (0..8).map(|index| format!("i{index}")).collect();
    let others: Vec<TestInstance> = names.iter().map(|name| start_instance(name, &store)).collect();
    let addresses = free_addresses();
    let low = start_at("low", &store, addresses.clone(), LOW_RANK);
    let is_registered = |name: &str| store.has(&format!("members/{name}"));
    wait_until("all are registered", || {
        is_registered("low") && names.iter().all(|name| is_registered(name))
    });
    let with_record = store.revision();
    low.close();
    wait_until("the record is removed", || !is_registered("low"));
    store.set_stale_reads(with_record);
    store.refuse_watches("low");
    let low = start_at("low", &store, addresses, LOW_RANK);
    wait_until("ready again", || is_ready(&low));
    wait_until("registered again", || is_registered("low"));
    store.set("config", Some("2"));
    wait_until("the later configuration is in force", || {
        call(low.callers, "POST", "/v2/ok/", "id").status == 200
    });
    for instance in others {
        instance.crash();
    }
    low.crash();
}
