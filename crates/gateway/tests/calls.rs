//! What callers get, whatever the backend server does.

mod support;

use std::io::Write;
use std::time::Duration;
use support::backend::{Mood, ScriptedBackend};
use support::client::{call, connect, exchange, read_answer, request};
use support::fixture::{list_server, served, wait_until, work};
use testkit::cases;

/// A request that must not repeat, to the route `work`: its status, and how often it ran.
fn check_work(step: &str, status: u16, runs: usize) {
    let (_store, server, instance) = served();
    let answer = work(&instance, step, "id-1");
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(server.ran().len(), runs);
    if (200..300).contains(&status) {
        assert_eq!(answer.header("t-signature"), Some("s-id-1"));
        assert_eq!(answer.body, "ran body");
    } else if status != 500 {
        assert_eq!(answer.header("t-signature"), None);
    }
    let is_promise = [408, 421, 429, 503].contains(&status);
    assert!(!is_promise || server.ran().is_empty(), "refused as not run, but it ran");
    instance.close();
}

cases! { check_work {
    answered: ("ok", 200, 1);
    failed: ("fail", 500, 1);
    turned_away: ("shed", 503, 0);
    closed_without_answer: ("close", 502, 1);
    cut_answer: ("cut", 502, 1);
    unsigned_success: ("unsigned", 502, 1);
    answer_to_another_request: ("other", 502, 1);
    not_http: ("garbage", 502, 1);
    hanging: ("hang", 504, 1);
    extra_answer_behind_it: ("extra", 200, 1);
} }

#[test]
fn an_answer_that_ends_with_its_connection_is_whole() {
    let (_store, _server, instance) = served();
    let answer = work(&instance, "unframed", "id-1");
    assert_eq!((answer.status, answer.body.as_str()), (200, "ran body"));
    instance.close();
}

#[test]
fn an_extra_answer_never_reaches_the_next_request() {
    let (_store, server, instance) = served();
    for round in 0..10 {
        let id = format!("id-{round}");
        let answer = work(&instance, "extra", &id);
        if answer.status == 200 {
            assert_eq!(answer.header("t-id"), Some(id.as_str()));
        } else {
            assert_eq!(answer.status, 502);
        }
    }
    let mut ran = server.ran();
    ran.dedup();
    assert_eq!(ran.len(), server.ran().len());
    instance.close();
}

/// One server does not run the request; another one does.
fn check_second_server(mood: Mood) {
    let (store, first, instance) = served();
    first.set_mood(mood);
    let second = ScriptedBackend::start("second");
    list_server(&store, &second, "ready");
    wait_until("the second server serves", || work(&instance, "ok", "warm").status == 200);
    for round in 0..5 {
        assert_eq!(work(&instance, "ok", &format!("id-{round}")).status, 200);
    }
    assert!(first.ran().is_empty());
    instance.close();
}

cases! { check_second_server {
    first_turns_it_away: (Mood::Shed);
    first_is_another_server: (Mood::Misdirected);
} }

/// What can't be accepted gets an answer of its own and reaches no server.
fn check_rejection(bytes: &str, status: u16) {
    let (_store, server, instance) = served();
    let answer = exchange(&mut connect(instance.callers), bytes.as_bytes());
    assert_eq!(answer.status, status, "{answer:?}");
    assert!(server.record.lock().expect("record").arrived.is_empty());
    assert_eq!(work(&instance, "ok", "id-1").status, 200);
    instance.close();
}

cases! { check_rejection {
    unknown_path: ("GET /none/ HTTP/1.1\r\nhost: shop.example\r\nt-id: a\r\n\r\n", 404);
    unknown_host: ("GET /look/ HTTP/1.1\r\nhost: other.example\r\nt-id: a\r\n\r\n", 404);
    no_host: ("GET /look/ HTTP/1.1\r\nt-id: a\r\n\r\n", 400);
    no_id: ("GET /look/ HTTP/1.1\r\nhost: shop.example\r\n\r\n", 400);
    deadline_is_text: (
        "GET /look/ HTTP/1.1\r\nhost: shop.example\r\nt-id: a\r\nt-deadline: soon\r\n\r\n",
        400,
    );
    not_http_at_all: ("\u{1}\u{2}\u{3}\r\n\r\n", 400);
    two_lengths: (
        "POST /work/ HTTP/1.1\r\nhost: shop.example\r\nt-id: a\r\ncontent-length: 4\r\n\
         content-length: 5\r\n\r\nbody",
        400,
    );
    broken_chunks: (
        "POST /work/ HTTP/1.1\r\nhost: shop.example\r\nt-id: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
        400,
    );
    body_too_long: (
        "POST /work/ HTTP/1.1\r\nhost: shop.example\r\nt-id: a\r\ncontent-length: 20000\r\n\r\n",
        413,
    );
} }

/// A request inside the body of another one must stay a body.
#[test]
fn a_request_inside_a_body_is_not_run() {
    let (_store, server, instance) = served();
    let inner = "GET /work/ok/ HTTP/1.1\r\nhost: shop.example\r\nt-id: inner\r\n\r\n";
    let bytes = request("POST", "/work/ok/", "outer", inner);
    assert_eq!(exchange(&mut connect(instance.callers), &bytes).status, 200);
    assert_eq!(server.ran(), ["outer"]);
    assert_eq!(server.record.lock().expect("record").arrived[0].1, inner);
    instance.close();
}

#[test]
fn work_ends_when_its_caller_leaves() {
    let (_store, server, instance) = served();
    let mut stream = connect(instance.callers);
    stream.write_all(&request("POST", "/work/hang/", "id-1", "")).expect("connected");
    wait_until("the server works", || server.ran().len() == 1);
    drop(stream);
    wait_until("the server is told", || server.record.lock().expect("record").left == 1);
    instance.close();
}

#[test]
fn an_idempotent_request_is_tried_on_a_second_server() {
    let (store, first, instance) = served();
    let second = ScriptedBackend::start("second");
    list_server(&store, &second, "ready");
    wait_until("the second server is known", || {
        work(&instance, "ok", "warm");
        !second.ran().is_empty()
    });
    let before = first.ran().len() + second.ran().len();
    let answer = call(instance.callers, "GET", "/look/close/", "id-1");
    assert_eq!(answer.status, 502);
    assert_eq!(first.ran().len() + second.ran().len(), before + 2);
    instance.close();
}

#[test]
fn a_planned_stop_cuts_nothing_and_tells_callers_to_go() {
    let (_store, _server, mut instance) = served();
    let mut busy = connect(instance.callers);
    let mut idle = connect(instance.callers);
    let first = exchange(&mut idle, &request("POST", "/work/ok/", "id-0", ""));
    assert_eq!((first.status, first.header("connection")), (200, None));
    busy.write_all(&request("POST", "/work/slow/", "id-1", "body")).expect("connected");
    std::thread::sleep(Duration::from_millis(50));
    instance.ask_stop();
    wait_until("not ready", || call(instance.ready, "GET", "/ready", "r").status == 503);
    let kept = exchange(&mut idle, &request("POST", "/work/ok/", "id-2", "body"));
    assert_eq!((kept.status, kept.header("connection")), (200, Some("close")));
    let answer = read_answer(&mut busy);
    assert_eq!((answer.status, answer.body.as_str()), (200, "ran body"));
    instance.close();
}

#[test]
fn metrics_and_directory_are_served() {
    let (_store, _server, instance) = served();
    assert_eq!(work(&instance, "ok", "id-1").status, 200);
    let metrics = call(instance.metrics, "GET", "/metrics", "m");
    assert!(metrics.body.contains("lacewing_request_seconds"), "{}", metrics.body);
    let page = include_str!("../../../docs/OPERATIONS.md");
    for line in metrics.body.lines().filter(|line| line.starts_with("# HELP ")) {
        let name = line.split(' ').nth(2).expect("a name");
        assert!(page.contains(&format!("| `{name}` |")), "{name} is not on the page");
    }
    wait_until("the directory names the instance", || {
        let answer = call(instance.directory, "GET", "/where?name=shop.example", "d");
        answer.body == instance.callers.to_string()
    });
    instance.close();
}

/// What the caller says it waits, and the most that a server may be told; the route allows a second.
fn check_deadline(told: Option<u64>, most: u64) {
    let (_store, server, instance) = served();
    let header = told.map(|millis| format!("t-deadline: {millis}\r\n")).unwrap_or_default();
    let bytes = format!(
        "POST /work/ok/ HTTP/1.1\r\nhost: shop.example\r\nt-id: id-1\r\n{header}content-length: 0\r\n\r\n"
    );
    assert_eq!(exchange(&mut connect(instance.callers), bytes.as_bytes()).status, 200);
    let deadlines = server.record.lock().expect("record").deadlines.clone();
    assert!(matches!(deadlines[..], [left] if left > 0 && left <= most), "{deadlines:?}");
    instance.close();
}

cases! { check_deadline {
    of_the_caller: (Some(700), 700);
    of_the_route_if_shorter: (Some(60_000), 1_000);
    of_the_route_if_none_is_told: (None, 1_000);
} }

#[test]
fn the_time_left_shrinks_from_server_to_server() {
    let (store, first, instance) = served();
    let second = ScriptedBackend::start("second");
    list_server(&store, &second, "ready");
    wait_until("both servers are used", || {
        work(&instance, "ok", "warm");
        !second.ran().is_empty()
    });
    let before = |server: &ScriptedBackend| server.record.lock().expect("record").deadlines.len();
    let known = [before(&first), before(&second)];
    let answer = call(instance.callers, "GET", "/look/close/", "id-1");
    assert_eq!(answer.status, 502);
    let told = |server: &ScriptedBackend, known: usize| {
        server.record.lock().expect("record").deadlines[known..].to_vec()
    };
    let told = [told(&first, known[0]), told(&second, known[1])].concat();
    assert!(matches!(told[..], [one, other] if one <= 1_000 && other <= 1_000), "{told:?}");
    instance.close();
}

/// Few descriptors, and the connections of callers that an instance takes with them: 0.55 of them.
const FEW_DESCRIPTORS: &str = "descriptors = 200\n";
const FEW_CONNECTIONS: usize = 110;

/// Cause traced: connections were counted when their task ran, so a burst of them went over the limit.
#[test]
fn connections_beyond_the_descriptors_are_closed_and_the_others_served() {
    let store = support::memory_store::MemoryStore::default();
    let server = ScriptedBackend::start("first");
    store.set("config", Some("1"));
    list_server(&store, &server, "ready");
    let instance = support::fixture::start_with("one", &store, FEW_DESCRIPTORS);
    wait_until("ready", || support::fixture::is_ready(&instance));
    let mut open: Vec<_> = (0..200).map(|_| connect(instance.callers)).collect();
    let statuses: Vec<u16> = open
        .iter_mut()
        .map(|stream| exchange(stream, &request("POST", "/work/ok/", "id", "")).status)
        .collect();
    let served = statuses.iter().filter(|status| **status == 200).count();
    let closed = statuses.iter().filter(|status| **status == 0).count();
    assert_eq!((served, closed), (FEW_CONNECTIONS, 200 - FEW_CONNECTIONS));
    assert_eq!(server.ran().len(), served);
    drop(open);
    wait_until("there is room again", || work(&instance, "ok", "id").status == 200);
    instance.close();
}
