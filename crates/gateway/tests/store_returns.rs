//! A store that comes back from a copy some seconds old: what was written since is lost, and revisions are given
//! out again.

mod support;

use std::time::Duration;
use support::backend::ScriptedBackend;
use support::client::call;
use support::fixture::{
    TestInstance, call_work, free_addresses, is_ready, start_at, start_instance, wait_until,
    write_server_record,
};
use support::memory_store::MemoryStore;
use testkit::cases;

/// Time in which all instances notice that the store came back.
const NOTICED: Duration = Duration::from_millis(600);

fn metric(instance: &TestInstance, line: &str) -> bool {
    call(instance.metrics, "GET", "/metrics", "m").body.lines().any(|known| known == line)
}

fn wait_era(instance: &TestInstance, era: u32) {
    let line = format!("lacewing_store_era {era}");
    wait_until("the store came back", || metric(instance, &line));
}

/// Starts two instances, the second of which the store refuses from then on.
fn start_two(store: &MemoryStore) -> [TestInstance; 2] {
    let addresses = [free_addresses(), free_addresses()];
    let seeds = format!("[peers]\nseeds = {}\n", addresses[0][3]);
    let one = start_at("one", store, addresses[0].clone(), &seeds);
    let two = start_at("two", store, addresses[1].clone(), &seeds);
    wait_until("both are ready", || is_ready(&one) && is_ready(&two));
    let knows_both = |instance| metric(instance, "lacewing_members 2");
    wait_until("they know each other", || knows_both(&one) && knows_both(&two));
    store.set_refused("two", true);
    [one, two]
}

/// Guards against a configuration that an older copy undoes, and against one that is followed no more.
#[test]
fn a_configuration_is_not_undone_and_later_ones_are_followed() {
    let store = MemoryStore::default();
    let server = ScriptedBackend::start("first");
    write_server_record(&store, &server, "ready");
    let copy = store.set("config", Some("2"));
    let instances = start_two(&store);
    let is_served = |instance: &TestInstance, version: u32| {
        call(instance.callers, "POST", &format!("/v{version}/ok/"), "id").status == 200
    };
    let after = store.revision();
    store.set("config", Some("3"));
    for instance in &instances {
        wait_until("version 3", || is_served(instance, 3));
    }
    store.come_back_at(copy);
    for instance in &instances {
        wait_era(instance, 1);
        assert!(is_served(instance, 3) && !is_served(instance, 2));
    }
    // The revisions up to that of version 3 are given out again.
    while store.revision() < after + 3 {
        store.set("other", Some("x"));
    }
    assert!(instances.iter().all(|instance| is_served(instance, 3)));
    store.set("config", Some("4"));
    for instance in &instances {
        wait_until("version 4", || is_served(instance, 4));
        assert!(!is_served(instance, 3));
    }
    instances.into_iter().for_each(TestInstance::close);
}

/// What happened to the first server after the copy was made.
#[derive(Debug, Clone, Copy, PartialEq)]
enum LostWrite {
    Leaving,
    Gone,
}

/// Guards against requests to a server that left, of which an older copy says that it is ready.
fn check_server_that_left(lost: LostWrite, is_renewed: bool) {
    let store = MemoryStore::default();
    let (first, second) = (ScriptedBackend::start("first"), ScriptedBackend::start("second"));
    store.set("config", Some("1"));
    write_server_record(&store, &second, "ready");
    write_server_record(&store, &first, "ready");
    let copy = store.revision();
    let instances = start_two(&store);
    match lost {
        LostWrite::Leaving => write_server_record(&store, &first, "leaving"),
        LostWrite::Gone => {
            store.set("servers/first", None);
        }
    }
    std::thread::sleep(NOTICED);
    let arrived = first.arrivals();
    store.come_back_at(copy);
    for instance in &instances {
        wait_era(instance, 1);
    }
    if is_renewed {
        store.set("servers/first", None);
    }
    for index in 0..40 {
        let instance = &instances[index % 2];
        assert_eq!(call_work(instance, "ok", &format!("id-{index}")).status, 200);
    }
    assert_eq!(first.arrivals(), arrived, "neither requests nor health checks");
    instances.into_iter().for_each(TestInstance::close);
}

cases! { check_server_that_left {
    leaving: (LostWrite::Leaving, false);
    gone: (LostWrite::Gone, false);
    gone_and_removed_again: (LostWrite::Gone, true);
} }

/// A server that registered after the copy was made is used until it has written its record again, or for the
/// time in which it would.
fn check_server_that_registered(is_renewed: bool) {
    let store = MemoryStore::default();
    let server = ScriptedBackend::start("first");
    let copy = store.set("config", Some("1"));
    let instance = start_instance("one", &store);
    write_server_record(&store, &server, "ready");
    wait_until("ready", || is_ready(&instance) && call_work(&instance, "ok", "id").status == 200);
    store.come_back_at(copy);
    wait_era(&instance, 1);
    assert_eq!(call_work(&instance, "ok", "id-1").status, 200);
    if is_renewed {
        write_server_record(&store, &server, "ready");
    }
    std::thread::sleep(Duration::from_millis(2_200));
    let status = call_work(&instance, "ok", "id-2").status;
    assert_eq!(status, if is_renewed { 200 } else { 503 });
    instance.close();
}

cases! { check_server_that_registered {
    registered_again: (true);
    not_registered_again: (false);
} }

/// An evacuation that an older copy lacks stays until the operators had time to write it again.
fn check_evacuation(is_renewed: bool) {
    let store = MemoryStore::default();
    let server = ScriptedBackend::start("first");
    store.set("config", Some("1"));
    write_server_record(&store, &server, "ready");
    let copy = store.revision();
    let instance = start_instance("one", &store);
    wait_until("ready", || is_ready(&instance));
    store.set("evacuated/north", Some("{}"));
    wait_until("evacuated", || metric(&instance, "lacewing_evacuated_centres 1"));
    store.come_back_at(copy);
    wait_era(&instance, 1);
    assert_eq!(call_work(&instance, "ok", "id-1").status, 503);
    if is_renewed {
        store.set("evacuated/north", Some("{}"));
        std::thread::sleep(Duration::from_millis(3_500));
        assert_eq!(call_work(&instance, "ok", "id-2").status, 503);
    } else {
        wait_until("taken back", || metric(&instance, "lacewing_evacuated_centres 0"));
        wait_until("used", || call_work(&instance, "ok", "id-3").status == 200);
    }
    instance.close();
}

cases! { check_evacuation {
    evacuated_again: (true);
    not_evacuated_again: (false);
} }

#[test]
fn instances_register_again() {
    let store = MemoryStore::default();
    let server = ScriptedBackend::start("first");
    write_server_record(&store, &server, "ready");
    let copy = store.set("config", Some("1"));
    let instance = start_instance("one", &store);
    wait_until("registered", || store.has("members/one"));
    store.come_back_at(copy);
    assert!(!store.has("members/one"));
    wait_until("registered again", || store.has("members/one"));
    // A second loss, to the same copy.
    store.come_back_at(copy);
    wait_era(&instance, 2);
    wait_until("registered again", || store.has("members/one"));
    instance.close();
}
