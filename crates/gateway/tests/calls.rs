//! Responses to callers for each behaviour of the backend server.

mod support;

use std::io::Write;
use support::backend::{Behaviour, ScriptedBackend};
use support::client::{assert_unknown, call, connect, exchange, request};
use support::fixture::{
    add_second_server, call_work, start_with_server, wait_until, write_server_record,
};
use testkit::cases;

/// Sends a non-idempotent request to the route `work`; checks its status and how often it ran.
fn check_work(step: &str, status: u16, runs: usize) {
    let (_store, server, instance) = start_with_server();
    let response = call_work(&instance, step, "id-1");
    assert_eq!(response.status, status, "{response:?}");
    assert_eq!(server.ran().len(), runs);
    if (200..300).contains(&status) {
        assert_eq!(response.header("t-signature"), Some("s-id-1"));
        assert_eq!(response.body, "ran body");
    } else if status != 500 {
        assert_eq!(response.header("t-signature"), None);
    }
    let claims_not_run = [408, 421, 429, 503].contains(&status);
    assert!(!claims_not_run || server.ran().is_empty(), "refused as not run, but it ran");
    instance.close();
}

cases! { check_work {
    answered: ("ok", 200, 1);
    failed: ("fail", 500, 1);
    shed: ("shed", 503, 0);
    closed_without_response: ("close", 502, 1);
    truncated_response: ("cut", 502, 1);
    unsigned_success: ("unsigned", 502, 1);
    response_to_another_request: ("other", 502, 1);
    not_http: ("garbage", 502, 1);
    hanging: ("hang", 504, 1);
    extra_response_after_it: ("extra", 200, 1);
} }

/// Guards against arithmetic on spoiled load figures: the first decision after one panicked, and with it
/// every handler of the instance.
#[test]
fn a_spoiled_load_figure_harms_no_other_request() {
    let (_store, server, instance) = start_with_server();
    for round in 0..3 {
        assert_eq!(call_work(&instance, "spoiled-load", &format!("spoiled-{round}")).status, 200);
        let calls: Vec<_> = (0..10)
            .map(|index| {
                let (callers, id) = (instance.callers, format!("id-{round}-{index}"));
                std::thread::spawn(move || call(callers, "POST", "/work/ok/", &id).status)
            })
            .collect();
        for call in calls {
            let status = call.join().expect("joined");
            assert!([200, 503].contains(&status), "{status}");
        }
        wait_until("requests are served again", || {
            call_work(&instance, "ok", &format!("after-{round}")).status == 200
        });
    }
    assert!(server.ran().len() >= 6);
    instance.close();
}

#[test]
fn a_response_delimited_by_connection_close_is_complete() {
    let (_store, _server, instance) = start_with_server();
    let response = call_work(&instance, "unframed", "id-1");
    assert_eq!((response.status, response.body.as_str()), (200, "ran body"));
    instance.close();
}

#[test]
fn an_extra_response_never_reaches_the_next_request() {
    let (_store, server, instance) = start_with_server();
    for round in 0..10 {
        let id = format!("id-{round}");
        let response = call_work(&instance, "extra", &id);
        if response.status == 200 {
            assert_eq!(response.header("t-id"), Some(id.as_str()));
        } else {
            assert_eq!(response.status, 502);
        }
    }
    let mut ran = server.ran();
    ran.dedup();
    assert_eq!(ran.len(), server.ran().len());
    instance.close();
}

/// Guards against a refusal that a server sends once more, late, on a connection that is in use again: the
/// request in progress is neither refused as not run nor sent to a second server.
fn check_repeated_refusal(method: &str, route: &str) {
    let (store, first, instance) = start_with_server();
    let second = add_second_server(&store, &first, &instance);
    let repeated = || {
        let count = |server: &ScriptedBackend| server.record.lock().expect("record").repeated;
        count(&first) + count(&second)
    };
    let mut round = 0;
    wait_until("refusals were repeated", || {
        round += 1;
        call(instance.callers, "POST", "/work/shed-again/", &format!("shed-{round}"));
        let path = format!("/{route}/ok/");
        let id = format!("id-{round}");
        let response = call(instance.callers, method, &path, &id);
        assert!([200, 502].contains(&response.status), "{response:?}");
        if response.status == 200 {
            assert_eq!(response.header("t-id"), Some(id.as_str()));
        }
        repeated() >= 5
    });
    let mut ran = [first.ran(), second.ran()].concat();
    ran.retain(|id| id.starts_with("id-"));
    let (total, _) = (ran.len(), ran.sort());
    ran.dedup();
    assert!(method == "GET" || ran.len() == total, "a request ran twice");
    instance.close();
}

cases! { check_repeated_refusal {
    before_a_booking: ("POST", "work");
    before_a_lookup: ("GET", "look");
} }

/// Guards against a success without the server's whole body when the server stops within the head of its
/// response and closes: every length of the head but the whole one is a failure.
#[test]
fn a_head_that_is_cut_is_no_response() {
    let (_store, _server, instance) = start_with_server();
    for length in 0..90 {
        let bytes =
            request("POST", "/work/cut-head/", &format!("id-{length}"), &length.to_string());
        let response = exchange(&mut connect(instance.callers), &bytes);
        assert_eq!((response.status, response.header("t-signature")), (502, None), "{length}");
    }
    instance.close();
}

/// Guards against a head that is cut and continued by the head of another response.
#[test]
fn two_heads_in_one_are_no_response() {
    let (_store, _server, instance) = start_with_server();
    let response = call_work(&instance, "glued-heads", "id-1");
    assert_eq!((response.status, response.header("t-signature")), (502, None));
    assert_eq!(call_work(&instance, "ok", "id-2").status, 200);
    instance.close();
}

/// Guards against a success with the body of another response: the head of a response was cut within a value,
/// and a second copy of the answer to a health check, which names no request, followed on the connection.
fn check_glued_head(cut: &str) {
    let (_store, server, instance) = start_with_server();
    assert_unknown(&call_work(&instance, &format!("glued-at-{cut}"), "id-1"));
    assert_eq!(server.ran(), ["id-1"]);
    assert_eq!(call_work(&instance, "ok", "id-2").status, 200);
    instance.close();
}

cases! { check_glued_head {
    within_a_load_report: ("t-load:_1,0");
    within_a_length: ("content-length:_4");
    within_another_value: ("x-cut:_a");
    before_a_value: ("x-cut:");
    before_a_value_and_after_a_space: ("x-cut:_");
    after_a_line: ("x-cut:_a~");
} }

/// Values that look a little like a head are left alone.
#[test]
fn a_value_that_names_the_protocol_is_no_head() {
    let (_store, server, instance) = start_with_server();
    server.set_notice("via: HTTP/1.1 proxy, HTTP/1.1\r\nx-note: HTTP/1.1 20\r\n", false);
    assert_eq!(call_work(&instance, "ok", "id-1").status, 200);
    instance.close();
}

/// The first server does not run the request, and the second one serves it.
fn check_second_server(behaviour: Behaviour) {
    let (store, first, instance) = start_with_server();
    first.set_behaviour(behaviour);
    let second = ScriptedBackend::start("second");
    write_server_record(&store, &second, "ready");
    wait_until("the second server serves", || call_work(&instance, "ok", "warm").status == 200);
    for round in 0..5 {
        assert_eq!(call_work(&instance, "ok", &format!("id-{round}")).status, 200);
    }
    assert!(first.ran().is_empty());
    instance.close();
}

cases! { check_second_server {
    first_sheds_it: (Behaviour::Shed);
    first_is_another_server: (Behaviour::Misdirected);
} }

/// An invalid request is rejected with a status and reaches no server.
fn check_rejection(bytes: &str, status: u16) {
    let (_store, server, instance) = start_with_server();
    let response = exchange(&mut connect(instance.callers), bytes.as_bytes());
    assert_eq!(response.status, status, "{response:?}");
    assert!(server.record.lock().expect("record").arrived.is_empty());
    assert_eq!(call_work(&instance, "ok", "id-1").status, 200);
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

/// Guards against request smuggling: a request inside the body of another one must stay a body.
#[test]
fn a_request_inside_a_body_is_not_run() {
    let (_store, server, instance) = start_with_server();
    let inner = "GET /work/ok/ HTTP/1.1\r\nhost: shop.example\r\nt-id: inner\r\n\r\n";
    let bytes = request("POST", "/work/ok/", "outer", inner);
    assert_eq!(exchange(&mut connect(instance.callers), &bytes).status, 200);
    assert_eq!(server.ran(), ["outer"]);
    assert_eq!(server.record.lock().expect("record").arrived[0].1, inner);
    instance.close();
}

#[test]
fn work_is_cancelled_when_its_caller_disconnects() {
    let (_store, server, instance) = start_with_server();
    let mut stream = connect(instance.callers);
    stream.write_all(&request("POST", "/work/hang/", "id-1", "")).expect("connected");
    wait_until("the server works", || server.ran().len() == 1);
    drop(stream);
    wait_until("the server sees the disconnect", || {
        server.record.lock().expect("record").disconnected == 1
    });
    instance.close();
}

#[test]
fn an_idempotent_request_is_retried_on_a_second_server() {
    let (store, first, instance) = start_with_server();
    let second = ScriptedBackend::start("second");
    write_server_record(&store, &second, "ready");
    wait_until("the second server is known", || {
        call_work(&instance, "ok", "warm");
        !second.ran().is_empty()
    });
    let before = first.ran().len() + second.ran().len();
    let response = call(instance.callers, "GET", "/look/close/", "id-1");
    assert_eq!(response.status, 502);
    assert_eq!(first.ran().len() + second.ran().len(), before + 2);
    instance.close();
}

#[test]
fn metrics_and_directory_are_served() {
    let (_store, _server, instance) = start_with_server();
    assert_eq!(call_work(&instance, "ok", "id-1").status, 200);
    let metrics = call(instance.metrics, "GET", "/metrics", "m");
    assert!(metrics.body.contains("lacewing_request_seconds"), "{}", metrics.body);
    let page = include_str!("../../../docs/OPERATIONS.md");
    for line in metrics.body.lines().filter(|line| line.starts_with("# HELP ")) {
        let name = line.split(' ').nth(2).expect("a name");
        assert!(page.contains(&format!("| `{name}` |")), "{name} is not on the page");
    }
    wait_until("the directory names the instance", || {
        let response = call(instance.directory, "GET", "/where?name=shop.example", "d");
        response.body == instance.callers.to_string()
    });
    instance.close();
}

/// Sends a request with the caller's deadline header, if any, and checks the time left that the
/// server receives, in milliseconds. The route's timeout is one second.
fn check_deadline(sent: Option<u64>, left_max: u64) {
    let (_store, server, instance) = start_with_server();
    let header = sent.map(|millis| format!("t-deadline: {millis}\r\n")).unwrap_or_default();
    let bytes = format!(
        "POST /work/ok/ HTTP/1.1\r\nhost: shop.example\r\nt-id: id-1\r\n{header}content-length: 0\r\n\r\n"
    );
    assert_eq!(exchange(&mut connect(instance.callers), bytes.as_bytes()).status, 200);
    let deadlines = server.record.lock().expect("record").deadlines.clone();
    assert!(matches!(deadlines[..], [left] if left > 0 && left <= left_max), "{deadlines:?}");
    instance.close();
}

cases! { check_deadline {
    of_the_caller: (Some(700), 700);
    of_the_route_if_shorter: (Some(60_000), 1_000);
    of_the_route_if_the_caller_sends_none: (None, 1_000);
} }

#[test]
fn the_time_left_shrinks_from_server_to_server() {
    let (store, first, instance) = start_with_server();
    let second = ScriptedBackend::start("second");
    write_server_record(&store, &second, "ready");
    wait_until("both servers are used", || {
        call_work(&instance, "ok", "warm");
        !second.ran().is_empty()
    });
    let before = |server: &ScriptedBackend| server.record.lock().expect("record").deadlines.len();
    let known = [before(&first), before(&second)];
    let response = call(instance.callers, "GET", "/look/close/", "id-1");
    assert_eq!(response.status, 502);
    let sent = |server: &ScriptedBackend, known: usize| {
        server.record.lock().expect("record").deadlines[known..].to_vec()
    };
    let sent = [sent(&first, known[0]), sent(&second, known[1])].concat();
    assert!(matches!(sent[..], [one, other] if one <= 1_000 && other <= 1_000), "{sent:?}");
    instance.close();
}

/// A low limit on descriptors, as a line of the settings.
const DESCRIPTORS_LINE: &str = "descriptors = 200\n";
/// Connections of callers that an instance accepts with it: 0.55 of the descriptors.
const CALLER_CONNECTIONS_MAX: usize = 110;

/// Guards against counting connections only when their task runs: a burst then exceeded the limit.
#[test]
fn connections_beyond_the_descriptor_limit_are_closed() {
    let store = support::memory_store::MemoryStore::default();
    let server = ScriptedBackend::start("first");
    store.set("config", Some("1"));
    write_server_record(&store, &server, "ready");
    let instance = support::fixture::start_with_lines("one", &store, DESCRIPTORS_LINE);
    wait_until("ready", || support::fixture::is_ready(&instance));
    let mut open: Vec<_> = (0..200).map(|_| connect(instance.callers)).collect();
    let statuses: Vec<u16> = open
        .iter_mut()
        .map(|stream| exchange(stream, &request("POST", "/work/ok/", "id", "")).status)
        .collect();
    let served = statuses.iter().filter(|status| **status == 200).count();
    let closed = statuses.iter().filter(|status| **status == 0).count();
    assert_eq!((served, closed), (CALLER_CONNECTIONS_MAX, 200 - CALLER_CONNECTIONS_MAX));
    assert_eq!(server.ran().len(), served);
    drop(open);
    wait_until("there is room again", || call_work(&instance, "ok", "id").status == 200);
    instance.close();
}
