//! Keys and quotas of teams.

mod support;

use support::backend::ScriptedBackend;
use support::client::{PlainResponse, call, call_with_lines};
use support::fixture::{TestInstance, start_at, start_instance, start_with_config, wait_until};
use support::fixture::{free_addresses, is_ready, write_server_record};
use support::memory_store::MemoryStore;
use testkit::cases;

/// Two teams, the second without a quota.
const CONFIG: &str = "1 1000 teams=red/red-1+red-2/0.5/2;blue/blue-1";

fn work(instance: &TestInstance, id: &str, lines: &str) -> PlainResponse {
    call_with_lines(instance.callers, "/work/ok/", id, lines)
}

/// Guards against requests that are run for nobody.
fn check_rejected_key(lines: &str) {
    let (_store, server, instance) = start_with_config(CONFIG);
    let response = work(&instance, "id-0", lines);
    assert_eq!(response.status, 401);
    assert!(response.header("retry-after").is_none());
    assert!(server.record.lock().expect("record").arrived.is_empty());
    instance.close();
}

cases! { check_rejected_key {
    no_key: ("");
    empty_key: ("t-key:\r\n");
    unknown_key: ("t-key: green-1\r\n");
    beginning_of_a_key: ("t-key: red\r\n");
    other_case: ("t-key: RED-1\r\n");
    two_keys: ("t-key: red-1\r\nt-key: red-1\r\n");
    two_keys_of_two_teams: ("t-key: red-1\r\nt-key: blue-1\r\n");
    list_of_keys: ("t-key: red-1, blue-1\r\n");
    key_with_a_space: ("t-key: red-1 x\r\n");
    key_that_is_not_ascii: ("t-key: r\u{e9}d-1\r\n");
    huge_key: (&format!("t-key: {}\r\n", "k".repeat(8_000)));
    name_of_a_team_instead_of_a_key: ("t-team: red\r\n");
} }

/// The server gets the name of the team and nothing else that the caller said about it.
fn check_headers(lines: &str, team: &str) {
    let (_store, server, instance) = start_with_config(CONFIG);
    assert_eq!(work(&instance, "id-0", lines).status, 200);
    let record = server.record.lock().expect("record");
    assert_eq!(record.team_headers, [vec![format!("t-team: {team}")]]);
    drop(record);
    let metrics = call(instance.metrics, "GET", "/metrics", "m").body;
    assert!(!metrics.contains("red-") && !metrics.contains("blue-"), "no key in metrics");
    instance.close();
}

cases! { check_headers {
    first_key: ("t-key: red-1\r\n", "red");
    second_key: ("t-key: red-2\r\n", "red");
    other_team: ("t-key: blue-1\r\n", "blue");
    caller_names_another_team: ("t-team: blue\r\nt-key: red-1\r\nt-team: x\r\n", "red");
    caller_hides_the_key_from_the_connection: ("connection: t-team\r\nt-key: blue-1\r\n", "blue");
} }

#[test]
fn on_a_public_route_a_caller_names_no_team() {
    let (_store, server, instance) = start_with_config(CONFIG);
    let lines = "t-team: red\r\nt-key: red-1\r\n";
    assert_eq!(call_with_lines(instance.callers, "/open/ok/", "id-0", lines).status, 200);
    assert_eq!(server.record.lock().expect("record").team_headers, [Vec::<String>::new()]);
    instance.close();
}

#[test]
fn without_teams_the_headers_are_those_of_the_caller() {
    let (_store, server, instance) = start_with_config("1");
    assert_eq!(work(&instance, "id-0", "t-key: any\r\nt-team: any\r\n").status, 200);
    let headers = server.record.lock().expect("record").team_headers.clone();
    assert_eq!(headers, [["t-key: any", "t-team: any"]]);
    instance.close();
}

#[test]
fn keys_come_and_go_with_configurations_also_where_the_store_refuses() {
    let store = MemoryStore::default();
    let server = ScriptedBackend::start("first");
    store.set("config", Some(CONFIG));
    write_server_record(&store, &server, "ready");
    let addresses = [free_addresses(), free_addresses()];
    let seeds = format!("[peers]\nseeds = {}\n", addresses[0][3]);
    let one = start_at("one", &store, addresses[0].clone(), &seeds);
    let two = start_at("two", &store, addresses[1].clone(), &seeds);
    wait_until("both are ready", || is_ready(&one) && is_ready(&two));
    let members = |instance: &TestInstance| {
        call(instance.metrics, "GET", "/metrics", "m").body.contains("lacewing_members 2")
    };
    wait_until("they know each other", || members(&one) && members(&two));
    store.set_refused("two", true);
    store.set("config", Some("2 1000 teams=red/red-2;blue/blue-1;green/green-1"));
    for instance in [&one, &two] {
        wait_until("the new key is known", || {
            work(instance, "id-new", "t-key: green-1\r\n").status == 200
        });
        assert_eq!(work(instance, "id-gone", "t-key: red-1\r\n").status, 401);
        assert_eq!(work(instance, "id-kept", "t-key: red-2\r\n").status, 200);
    }
    one.close();
    two.close();
}

#[test]
fn a_team_beyond_its_quota_is_refused_and_the_others_are_served() {
    let (_store, server, instance) = start_with_config(CONFIG);
    let statuses: Vec<u16> = (0..12)
        .map(|index| work(&instance, &format!("red-{index}"), "t-key: red-1\r\n").status)
        .collect();
    let served = statuses.iter().filter(|status| **status == 200).count();
    // At most two and 2.5 more in the window; half of them at once, the rest once the quota is shared.
    assert!((3..=5).contains(&served), "{statuses:?}");
    assert_eq!(server.ran().len(), served);
    let refused = work(&instance, "red-last", "t-key: red-2\r\n");
    assert_eq!(refused.status, 429, "the quota is that of the team, not of the key");
    let delay: f64 = refused.header("retry-after").expect("a delay").parse().expect("a number");
    assert!((0.05..=5.0).contains(&delay), "{delay}");
    for index in 0..12 {
        let id = format!("blue-{index}");
        assert_eq!(work(&instance, &id, "t-key: blue-1\r\n").status, 200);
    }
    instance.close();
}

#[test]
fn a_request_that_did_not_run_costs_no_quota() {
    let (_store, server, instance) = start_with_config(CONFIG);
    server.set_notice("", true);
    for index in 0..12 {
        let status = work(&instance, &format!("shed-{index}"), "t-key: red-1\r\n").status;
        assert_eq!(status, 503);
    }
    server.set_notice("", false);
    wait_until("the server is used again", || {
        work(&instance, "id", "t-key: red-1\r\n").status == 200
    });
    instance.close();
}

#[test]
fn an_instance_without_a_configuration_refuses_as_not_run() {
    let store = MemoryStore::default();
    let server = ScriptedBackend::start("first");
    write_server_record(&store, &server, "ready");
    let instance = start_instance("one", &store);
    wait_until("it listens", || std::net::TcpStream::connect(instance.callers).is_ok());
    assert_eq!(work(&instance, "id-0", "t-key: red-1\r\n").status, 503);
    instance.close();
}
