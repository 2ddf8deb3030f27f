//! Connections that go silent, answers that must be one's own, retries that must not multiply.

mod support;

use bytes::Bytes;
use control::rendezvous;
use http_body_util::{BodyExt, Full};
use hyper_util::rt::{TokioExecutor, TokioIo};
use model::{IncarnationId, InstanceRecord, InstanceState, Millis, RunVerdict};
use standin::backend::BackendFaults;
use std::net::TcpListener;
use std::time::Duration;
use store::{HttpStore, PlatformStore};
use support::relay::{RelayAction, RelayFault, RelayStep};
use support::{TestFleet, verdict_of, wait_until};
use testkit::cases;

/// Lists an instance that accepts connections and never answers, and that all others take for the
/// home of `orders`. The listener must stay open.
fn list_silent_home(fleet: &TestFleet) -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let weight = |name: &str| rendezvous::weight("orders", name);
    let others = fleet.entries.iter().map(|entry| entry.traffic().settings.name.to_string());
    let highest = others.map(|name| weight(&name)).max().unwrap();
    let name = (0..).map(|number| format!("ghost-{number}")).find(|name| weight(name) > highest);
    let record = InstanceRecord {
        name: name.unwrap().parse().unwrap(),
        incarnation: IncarnationId(1),
        data_centre: "dc-9".parse().unwrap(),
        caller_address: address,
        operator_address: address,
        peer_address: address,
        state: InstanceState::Live,
    };
    let store = HttpStore::new(fleet.store.address(), Duration::from_secs(1));
    fleet.runtime.block_on(store.announce(&record, Millis(60_000))).unwrap();
    wait_until("the silent instance is the home", || {
        fleet.entries.iter().all(|entry| {
            let view = entry.traffic().view.load();
            view.homes[&"orders".parse().unwrap()].homes == vec![record.name.clone()]
        })
    });
    listener
}

#[test]
fn lookups_and_bookings_pass_a_silent_home() {
    let fleet = TestFleet::start(2, 2);
    let _listener = list_silent_home(&fleet);
    let headers = [("lacewing-deadline-ms", "1500")];
    for entry in 0..2 {
        let answer = fleet.call(entry, "GET", "/v1/call/orders/lookup", &headers, "");
        assert_eq!(verdict_of(&answer), Some(RunVerdict::Ran));
        let ticket = fleet.ticket(entry);
        let headers = [("lacewing-deadline-ms", "1500"), ("lacewing-ticket", ticket.as_str())];
        let answer = fleet.call(entry, "POST", "/v1/call/orders/book", &headers, "b");
        assert_eq!(verdict_of(&answer), Some(RunVerdict::Ran));
        assert_eq!(fleet.ledger().runs.get(ticket.as_str()), Some(&1));
    }
    wait_until("the home is one that sends heartbeats", || {
        let view = fleet.traffic(0).view.load();
        view.homes[&"orders".parse().unwrap()].homes[0].as_str().starts_with("entry")
    });
    fleet.close();
}

#[test]
fn answers_on_one_http2_connection_are_each_ones_own() {
    let fleet = TestFleet::start(2, 3);
    let address = fleet.caller_address(fleet.other());
    let bodies = fleet.runtime.block_on(async {
        let stream = tokio::net::TcpStream::connect(address).await.unwrap();
        let handshake =
            hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
        let (sender, connection) = handshake.await.unwrap();
        tokio::spawn(connection);
        let mut tasks = tokio::task::JoinSet::new();
        for number in 0..200 {
            let mut sender = sender.clone();
            // Later requests take less time, so that answers come out of order.
            let path = format!(
                "http://t/v1/call/orders/lookup?work_ms={}&n={number}.",
                (200 - number) / 10
            );
            tasks.spawn(async move {
                let request = http::Request::get(path).body(Full::<Bytes>::default()).unwrap();
                let answer = sender.send_request(request).await.unwrap();
                let body = answer.into_body().collect().await.unwrap().to_bytes();
                (number, String::from_utf8_lossy(&body).into_owned())
            });
        }
        tasks.join_all().await
    });
    assert_eq!(bodies.len(), 200);
    for (number, body) in bodies {
        assert!(body.contains(&format!("&n={number}. ")), "{number}: {body}");
    }
    fleet.close();
}

/// A late answer to a request that timed out must never reach the next one.
#[test]
fn late_answer_dies_with_its_connection() {
    let fleet = TestFleet::start(1, 1);
    let late = [("lacewing-deadline-ms", "60")];
    for turn in 0..10 {
        let path = format!("/v1/call/orders/lookup?work_ms=100&n=late{turn}.");
        let answer = fleet.call(0, "GET", &path, &late, "");
        assert_ne!(verdict_of(&answer), Some(RunVerdict::Ran));
        let path = format!("/v1/call/orders/lookup?work_ms=1&n=next{turn}.");
        let answer = fleet.call(0, "GET", &path, &[("lacewing-deadline-ms", "5000")], "");
        let body = String::from_utf8_lossy(answer.body()).into_owned();
        assert!(body.contains(&format!("n=next{turn}.")), "{body}");
    }
    fleet.close();
}

/// Exchanges that a fleet may make for a number of lookups when all of them fail: one each, a tenth
/// for retries, and the retries saved up before.
const fn exchanges_max(lookups: u64) -> u64 {
    lookups + lookups / 10 + 20
}

/// Sends lookups while all backend servers fail and counts the exchanges.
fn check_retries(lookups: u64, shed: bool, link: Option<RelayFault>) {
    let fleet = TestFleet::start(1, 3);
    for server in &fleet.servers {
        server.set_faults(BackendFaults { shed, ..BackendFaults::default() });
    }
    fleet.set_link_fault(link);
    for _ in 0..lookups {
        fleet.call(0, "GET", "/v1/call/orders/lookup", &[("lacewing-deadline-ms", "300")], "");
    }
    let exchanges = &fleet.traffic(0).metrics.exchanges;
    let outcomes = ["answered", "shed", "broken", "timed_out", "unreachable"];
    let total: u64 = outcomes.iter().map(|name| exchanges.with_label_values(&[name]).get()).sum();
    assert!(total <= exchanges_max(lookups), "{total}");
    fleet.close();
}

const CUT: RelayFault =
    RelayFault { step: RelayStep::Answer(0), action: RelayAction::Cut, times: u32::MAX };

cases! { check_retries {
    all_shed: (200, true, None);
    all_cut: (40, false, Some(CUT));
} }

/// Calls through a chain whose last layer fails. Only the layer next to the failure retries.
fn check_chain(depth: u32, status: u16, most: u64) {
    let fleet = TestFleet::start(1, 4);
    let via = fleet.caller_address(0);
    let path = format!("/v1/call/orders/chain?work_ms=0&chain_via={via}&chain_left={depth}");
    let answer = fleet.call(0, "GET", &path, &[("lacewing-deadline-ms", "5000")], "");
    assert_eq!(answer.status().as_u16(), status);
    let exchanges = &fleet.traffic(0).metrics.exchanges;
    let total: u64 =
        ["answered", "shed"].iter().map(|name| exchanges.with_label_values(&[name]).get()).sum();
    assert!(total <= most, "{total} exchanges");
    fleet.close();
}

// One exchange for each layer above, at most four attempts at the failing one.
cases! { check_chain {
    one_layer: (0, 503, 4);
    ten_layers: (9, 502, 9 + 4);
    deeper_than_allowed: (30, 502, 17);
} }

/// Sends a request with headers and gives the answer to it, whose text repeats one of them.
#[test]
fn headers_pass_end_to_end_and_no_further() {
    let fleet = TestFleet::start(2, 1);
    for entry in 0..2 {
        let headers = [
            ("x-echo", "for the server"),
            ("authorization", "Basic abc"),
            ("connection", "x-private"),
            ("x-private", "for this hop"),
            ("x-shed", "not-run"),
        ];
        let path = "/v1/call/orders/lookup?echo=true";
        let answer = fleet.call(entry, "GET", path, &headers, "");
        assert_eq!(verdict_of(&answer), Some(RunVerdict::Ran));
        let seen = answer.headers().get("x-seen").unwrap().to_str().unwrap().to_owned();
        assert!(seen.contains("x-echo=for the server;"), "{seen}");
        assert!(seen.contains("authorization=Basic abc;"), "{seen}");
        for name in ["x-private", "x-shed", "connection"] {
            assert!(!seen.contains(&format!("{name}=")), "{seen}");
        }
        assert!(answer.headers().get("x-load-in-flight").is_none());
    }
    fleet.close();
}

/// Calls by the caller library with a path that may not be a valid one.
fn check_library(path: &str, verdict: RunVerdict, runs: usize) {
    let fleet = TestFleet::start(2, 1);
    let bootstrap = vec![fleet.caller_address(0), fleet.caller_address(1)];
    let client = caller::CallerClient::new("clerk".parse().unwrap(), bootstrap);
    let service = "orders".parse().unwrap();
    let allowed = Duration::from_secs(20);
    let lookup = fleet.runtime.block_on(client.lookup(&service, path, None, allowed));
    let booking = fleet.runtime.block_on(client.book(&service, path, Bytes::new(), allowed));
    assert_eq!((lookup.verdict, booking.verdict), (verdict, verdict));
    assert_eq!((lookup.attempts, booking.attempts), (1, 1));
    assert_eq!(fleet.ledger().runs.len(), runs);
    client.close();
    fleet.close();
}

cases! { check_library {
    library_serves_a_valid_path: ("/lookup", RunVerdict::Ran, 1);
    library_refuses_a_space: ("/a b", RunVerdict::NotRun, 0);
    library_refuses_a_control_character: ("/a\n", RunVerdict::NotRun, 0);
} }
