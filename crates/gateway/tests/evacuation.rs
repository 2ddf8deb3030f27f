//! Evacuation of a data centre, and cold servers.

mod support;

use std::time::{Duration, Instant};
use support::backend::ScriptedBackend;
use support::client::call;
use support::fixture::{
    TestInstance, call_work, free_addresses, is_ready, start_at, start_instance, wait_until,
    write_server_record,
};
use support::memory_store::MemoryStore;
use testkit::cases;

/// Time after which nothing more must reach an evacuated server.
const SETTLED: Duration = Duration::from_millis(700);

fn metric(instance: &TestInstance, line: &str) -> bool {
    call(instance.metrics, "GET", "/metrics", "m").body.contains(line)
}

/// Guards against requests to an evacuated data centre, also from an instance that the store refuses.
#[test]
fn an_evacuated_data_centre_gets_nothing_from_any_instance() {
    let store = MemoryStore::default();
    let (near, far) = (ScriptedBackend::start("near"), ScriptedBackend::start("far"));
    store.set("config", Some("1"));
    write_server_record(&store, &near, "ready 4 north");
    write_server_record(&store, &far, "ready 4 south");
    let addresses = [free_addresses(), free_addresses()];
    let seeds = format!("[peers]\nseeds = {}\n", addresses[0][3]);
    let one = start_at("one", &store, addresses[0].clone(), &seeds);
    let two = start_at("two", &store, addresses[1].clone(), &seeds);
    wait_until("both are ready", || is_ready(&one) && is_ready(&two));
    let knows_both = |instance| metric(instance, "lacewing_members 2");
    wait_until("they know each other", || knows_both(&one) && knows_both(&two));
    wait_until("the near server serves", || {
        call_work(&one, "ok", "warm").status == 200 && !near.ran().is_empty()
    });
    store.set_refused("two", true);
    store.set("evacuated/unknown", Some("{}"));
    store.set("evacuated/north", Some("{}"));
    for instance in [&one, &two] {
        wait_until("evacuated", || metric(instance, "lacewing_evacuated_centres 2"));
    }
    std::thread::sleep(SETTLED);
    let arrived = near.arrivals();
    for index in 0..40 {
        let instance = if index % 2 == 0 { &one } else { &two };
        assert_eq!(call_work(instance, "ok", &format!("id-{index}")).status, 200);
    }
    std::thread::sleep(SETTLED);
    assert_eq!(near.arrivals(), arrived, "neither requests nor health checks");
    assert_eq!(near.open(), 0, "connections without a request are closed");
    store.set("evacuated/north", None);
    wait_until("the near server serves again", || {
        call_work(&two, "ok", "back").status == 200 && near.arrivals() > arrived + 5
    });
    one.close();
    two.close();
}

/// What runs at a server when its data centre is evacuated ends there.
#[test]
fn work_in_progress_ends_at_an_evacuated_server() {
    let store = MemoryStore::default();
    let near = ScriptedBackend::start("near");
    store.set("config", Some("1 3000"));
    write_server_record(&store, &near, "ready");
    let instance = start_instance("one", &store);
    wait_until("ready", || is_ready(&instance));
    wait_until("the server is known", || call_work(&instance, "ok", "warm").status == 200);
    let callers = instance.callers;
    let slow = std::thread::spawn(move || call(callers, "POST", "/work/take-1400/", "id-slow"));
    wait_until("it runs", || near.ran().contains(&"id-slow".into()));
    store.set("evacuated/north", Some(""));
    wait_until("evacuated", || metric(&instance, "lacewing_evacuated_centres 1"));
    let refused = call_work(&instance, "ok", "id-late");
    assert_eq!((refused.status, refused.body.trim()), (503, "no_server"));
    assert!(!slow.is_finished(), "refused at once, while the work there goes on");
    assert_eq!(slow.join().expect("the caller ended").status, 200);
    instance.close();
}

/// Sends requests for two seconds at least. Returns how many a server got, and the seconds that it took.
fn arrivals(record: &str, checked_lines: &str) -> (usize, f64) {
    let store = MemoryStore::default();
    let server = ScriptedBackend::start("first");
    server.record.lock().expect("record").checked_lines = checked_lines.into();
    store.set("config", Some("1 1000 warm-up=5"));
    write_server_record(&store, &server, record);
    let instance = start_instance("one", &store);
    wait_until("ready", || is_ready(&instance));
    // An instance must be a home for a second before it uses cold servers.
    std::thread::sleep(Duration::from_millis(1_200));
    let before = server.record.lock().expect("record").arrived.len();
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(2) {
        call_work(&instance, "ok", "id");
    }
    let took_s = started.elapsed().as_secs_f64();
    let arrived = server.record.lock().expect("record").arrived.len() - before;
    instance.close();
    (arrived, took_s)
}

fn check_cold_server(record: &str, checked_lines: &str, is_limited: bool) {
    let (arrived, took_s) = arrivals(record, checked_lines);
    // Five a second, and a burst.
    let arrived_max = 5.0 * took_s + 4.0;
    assert_eq!(arrived as f64 <= arrived_max, is_limited, "{arrived} requests in {took_s} s");
    assert!(arrived >= 5, "{arrived} requests");
}

cases! { check_cold_server {
    cold_by_its_record: ("ready 4 north 60000", "", true);
    cold_by_a_health_check: ("ready 4 north 0", "t-warm-up: 60000\r\n", true);
    warm_server: ("ready 4 north 0", "", false);
    warm_by_a_health_check: ("ready 4 north 60000", "t-warm-up: 0\r\n", false);
    malformed_warm_up: ("ready 4 north 0", "t-warm-up: soon\r\n", false);
} }
