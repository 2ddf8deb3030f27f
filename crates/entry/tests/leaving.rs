//! Leaving backend servers get no new work, and planned stops cut off nothing.

mod support;

use model::RunVerdict;
use std::io::{Read, Write};
use std::net::TcpStream;
use support::{PATIENCE, TestFleet, verdict_of, wait_until};
use testkit::cases;

/// Who says that a backend server is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaveSource {
    /// Its own answers.
    Answers,
    /// The platform's list.
    Platform,
    /// An operator.
    Operator,
}

/// What happens after that.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LaterEvent {
    None,
    /// The platform lists the server as live again.
    ListedLive,
    /// The home ends and starts again.
    HomeRestarts,
    /// The configuration changes in another place.
    OtherChange,
}

fn knows(fleet: &TestFleet, entry: usize) -> bool {
    let view = fleet.traffic(entry).view.load();
    let leaves = view.leaving.iter().any(|leaving| leaving.server.as_str() == "server-0");
    let config = view.config.as_ref().unwrap();
    let service = &config.services[&"orders".parse().unwrap()];
    leaves || service.servers[&"server-0".parse().unwrap()].draining
}

fn check_leaving(source: LeaveSource, later: LaterEvent) {
    let mut fleet = TestFleet::start(3, 2);
    match source {
        LeaveSource::Answers => {
            fleet.servers[0].drain();
            // The server says so on its next answer.
            wait_until("an answer says so", || {
                fleet.lookup(0);
                knows(&fleet, fleet.home())
            });
        }
        LeaveSource::Platform => fleet.store.register_server(fleet.relays[0].address(), true),
        LeaveSource::Operator => {
            fleet.command(0, "drain server server-0 in orders");
        }
    }
    wait_until("all instances know", || (0..3).all(|entry| knows(&fleet, entry)));
    match later {
        LaterEvent::None => {}
        LaterEvent::ListedLive => fleet.store.register_server(fleet.relays[0].address(), false),
        LaterEvent::OtherChange => {
            fleet.command(0, "alter service orders (keep_ms = 200)");
        }
        LaterEvent::HomeRestarts => {
            let home = fleet.home();
            let name = fleet.traffic(home).settings.name.to_string();
            let number = name.rsplit_once('-').unwrap().1.parse().unwrap();
            fleet.entries.remove(home).abort();
            let fresh = fleet.start_entry(number, "");
            fleet.entries.push(fresh);
            wait_until("the fresh instance knows", || {
                fleet.traffic(2).view.load().config.is_some() && knows(&fleet, 2)
            });
        }
    }
    let begun = fleet.servers[0].requests_started();
    for turn in 0..60 {
        assert_eq!(fleet.lookup(turn % 3), Some(RunVerdict::Ran));
    }
    assert_eq!(fleet.servers[0].requests_started(), begun);
    fleet.close();
}

use LaterEvent as L;
use LeaveSource as S;

cases! { check_leaving {
    answers_say_so: (S::Answers, L::None);
    answers_then_listed_live: (S::Answers, L::ListedLive);
    answers_then_home_restarts: (S::Answers, L::HomeRestarts);
    answers_then_other_change: (S::Answers, L::OtherChange);
    platform_says_so: (S::Platform, L::None);
    platform_then_listed_live: (S::Platform, L::ListedLive);
    platform_then_home_restarts: (S::Platform, L::HomeRestarts);
    platform_then_other_change: (S::Platform, L::OtherChange);
    operator_says_so: (S::Operator, L::None);
    operator_then_listed_live: (S::Operator, L::ListedLive);
    operator_then_home_restarts: (S::Operator, L::HomeRestarts);
    operator_then_other_change: (S::Operator, L::OtherChange);
} }

#[test]
fn recreated_server_takes_work_again() {
    let fleet = TestFleet::start(2, 1);
    fleet.command(0, "drain server server-0 in orders");
    assert_eq!(fleet.lookup(0), Some(RunVerdict::NotRun));
    let address = fleet.relays[0].address();
    let text =
        format!("drop server server-0 in orders; create server server-0 in orders at {address}");
    fleet.command(0, &text);
    assert_eq!(fleet.lookup(0), Some(RunVerdict::Ran));
    fleet.close();
}

/// A request in progress on a connection of its own.
struct OpenCall(TcpStream);

impl OpenCall {
    fn send(fleet: &TestFleet, entry: usize, method: &str, work_ms: u32) -> Self {
        let ticket = match method {
            "GET" => String::new(),
            _ => format!("lacewing-ticket: {}\r\n", fleet.ticket(entry)),
        };
        let request = format!(
            "{method} /v1/call/orders/x?work_ms={work_ms} HTTP/1.1\r\nhost: t\r\n{ticket}\
             connection: close\r\ncontent-length: 0\r\n\r\n"
        );
        let mut stream = TcpStream::connect(fleet.caller_address(entry)).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        Self(stream)
    }

    fn finish(mut self) {
        let mut text = String::new();
        self.0.read_to_string(&mut text).unwrap();
        assert!(text.contains("lacewing-verdict: ran"), "{text:?}");
        assert!(text.ends_with("bytes\n"), "{text:?}");
    }
}

/// Starts long work through all instances and waits until it runs.
fn start_long_work(fleet: &TestFleet, work_ms: u32) -> Vec<OpenCall> {
    let mut calls = Vec::new();
    for entry in 0..fleet.entries.len() {
        calls.push(OpenCall::send(fleet, entry, "GET", work_ms));
        calls.push(OpenCall::send(fleet, entry, "POST", work_ms));
    }
    wait_until("all work runs", || {
        let running: u32 = fleet.servers.iter().map(|server| server.in_flight()).sum();
        running as usize == calls.len()
    });
    calls
}

/// Stops a backend server as planned while long work runs there.
fn check_server_stop(commands: &[&str]) {
    let fleet = TestFleet::start(2, 1);
    let calls = start_long_work(&fleet, 700);
    for command in commands {
        fleet.command(0, command);
    }
    for call in calls {
        call.finish();
    }
    fleet.close();
}

cases! { check_server_stop {
    drained: (&["drain server server-0 in orders"]);
    drained_and_dropped: (&["drain server server-0 in orders", "drop server server-0 in orders"]);
    dropped_at_once: (&["drop server server-0 in orders"]);
    dropped_with_its_service: (&["drop service orders"]);
} }

/// Stops an instance as planned while long work runs there and is passed on by it.
fn check_entry_stop(stops_home: bool) {
    let mut fleet = TestFleet::start(3, 2);
    // Longer than an instance goes on at the least after it told the others that it leaves.
    let calls = start_long_work(&fleet, 2_700);
    let stopped = if stops_home { fleet.home() } else { fleet.other() };
    let instance = fleet.entries.remove(stopped);
    let stopping = std::thread::spawn(move || instance.close());
    for call in calls {
        call.finish();
    }
    assert_eq!(stopping.join().unwrap(), 0);
    fleet.close();
}

cases! { check_entry_stop {
    home_stops: (true);
    other_instance_stops: (false);
} }

#[test]
fn drained_instance_leaves_the_address_answers() {
    let fleet = TestFleet::start(2, 1);
    let home = fleet.home();
    let name = fleet.traffic(home).settings.name.clone();
    let address = fleet.caller_address(home);
    fleet.command(0, &format!("drain instance {name}"));
    assert!(fleet.entries[home].is_leaving());
    wait_until("the answers name the other instance alone", || {
        let answer = fleet.call(fleet.other_than(home), "GET", "/v1/addresses/orders", &[], "");
        let answer: model::wire::AddressAnswer = serde_json::from_slice(answer.body()).unwrap();
        !answer.addresses.contains(&address) && !answer.addresses.is_empty()
    });
    let answer = fleet.call(home, "GET", "/v1/call/orders/lookup", &[], "");
    assert_eq!(verdict_of(&answer), Some(RunVerdict::Ran));
    fleet.close();
}
