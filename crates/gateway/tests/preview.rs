//! The explanation of where a request would go now.

mod support;

use model::route_preview::{PREVIEW_PATH, PreviewDecision, PreviewRejection, RoutePreview};
use support::backend::ScriptedBackend;
use support::client::{PlainResponse, connect, exchange};
use support::fixture::{
    TestInstance, call_work, is_ready, start_instance, start_with_config, wait_until,
    write_server_record,
};
use support::memory_store::MemoryStore;
use testkit::cases;

const CONFIG: &str = "1 1000 teams=red/red-1/0.5/2;blue/blue-1";

fn post(instance: &TestInstance, body: &str) -> PlainResponse {
    let length = body.len();
    let request = format!(
        "POST {PREVIEW_PATH} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    exchange(&mut connect(instance.metrics), request.as_bytes())
}

fn preview(instance: &TestInstance, host: &str, path: &str, key: &str) -> RoutePreview {
    let body =
        format!(r#"{{"host":"{host}","path":"{path}","key":"{key}","data_centre":"north"}}"#);
    let response = post(instance, &body);
    assert_eq!(response.status, 200, "{}", response.body);
    assert!(!response.body.contains(key), "the key is not shown");
    serde_json::from_str(&response.body).expect("a preview")
}

#[test]
fn a_preview_names_the_server_and_sends_nothing() {
    let (_store, server, instance) = start_with_config(CONFIG);
    wait_until("it has a report", || server.arrivals() > 2);
    let found = preview(&instance, "shop.example", "/work/ok/", "red-1");
    assert_eq!((found.instance.as_str(), found.version.0), ("one", 1));
    assert_eq!(found.homes.len(), 1);
    let route = found.route.expect("a route");
    assert_eq!((route.route.as_str(), route.rejection), ("work", None));
    assert_eq!(route.team.as_ref().map(|team| team.as_str()), Some("red"));
    let left = route.quota_left.expect("a quota");
    assert!((1.0..=4.5).contains(&left), "{left} left");
    let [service] = &route.services[..] else {
        panic!("expected one service");
    };
    let PreviewDecision::Send { server: chosen, .. } = &service.outcome else {
        panic!("expected a server, found {:?}", service.outcome);
    };
    assert_eq!(chosen.as_str(), "first");
    assert_eq!(service.servers[0].excluded, None);
    assert!(service.servers[0].cost.run_ms > 0.0);
    assert!(server.ran().is_empty());
    for _ in 0..20 {
        preview(&instance, "shop.example", "/work/ok/", "red-1");
    }
    let after = preview(&instance, "shop.example", "/work/ok/", "red-1").route.expect("a route");
    assert!(after.quota_left.expect("a quota") >= left, "previews cost no quota");
    assert!(server.ran().is_empty());
    instance.crash();
}

fn check_rejection(host: &str, path: &str, key: &str, expected: &PreviewRejection) {
    let (_store, server, instance) = start_with_config(CONFIG);
    let found = preview(&instance, host, path, key);
    assert_eq!(found.rejection.as_ref(), Some(expected));
    assert!(found.route.is_none());
    assert!(server.ran().is_empty());
    instance.crash();
}

cases! { check_rejection {
    unknown_host: ("other.example", "/work/", "red-1", &PreviewRejection::UnknownHost);
    unknown_path: ("shop.example", "/none/", "red-1", &PreviewRejection::UnknownPath);
    unknown_key: (
        "shop.example", "/work/", "green-1",
        &PreviewRejection::Key { text: "the key is unknown".into() },
    );
    malformed_key: (
        "shop.example", "/work/", "red 1",
        &PreviewRejection::Key { text: "the key is malformed".into() },
    );
} }

fn check_bad_preview(body: &str) {
    let (_store, _server, instance) = start_with_config(CONFIG);
    let response = post(&instance, body);
    assert_eq!(response.status, 400);
    assert!(!response.body.contains("red-1"), "{}", response.body);
    instance.crash();
}

cases! { check_bad_preview {
    empty: ("");
    not_json: ("red-1");
    key_is_a_list: (r#"{"host":"shop.example","path":"/","key":["red-1"]}"#);
    too_long: (&"red-1".repeat(4_000));
} }

/// The preview is that of the traffic: after an evacuation both are refused for the same cause.
#[test]
fn a_preview_tells_why_a_request_would_be_refused() {
    let store = MemoryStore::default();
    let servers = [ScriptedBackend::start("first"), ScriptedBackend::start("second")];
    store.set("config", Some("1"));
    for server in &servers {
        write_server_record(&store, server, "ready");
    }
    let instances: Vec<TestInstance> =
        ["one", "two", "three"].iter().map(|name| start_instance(name, &store)).collect();
    wait_until("ready", || instances.iter().all(is_ready));
    store.set("evacuated/north", Some("{}"));
    wait_until("evacuated", || {
        instances.iter().all(|instance| {
            !preview(instance, "shop.example", "/work/ok/", "none").evacuated.is_empty()
        })
    });
    for instance in &instances {
        let found = preview(instance, "shop.example", "/work/ok/", "none");
        let route = found.route.expect("a route");
        let PreviewDecision::Refuse { cause, retry_after } = &route.services[0].outcome else {
            panic!("expected a refusal, found {:?}", route.services[0].outcome);
        };
        let refused = call_work(instance, "ok", "id");
        assert_eq!((refused.status, refused.body.trim()), (503, cause.as_str()));
        let delay: f64 = refused.header("retry-after").expect("a delay").parse().expect("a number");
        assert_eq!((delay * 1e3).round() as u64, retry_after.0);
        let excluded = route.services[0].servers.iter().map(|server| server.excluded.as_deref());
        assert!(excluded.into_iter().all(|cause| cause.is_some()));
    }
    instances.into_iter().for_each(TestInstance::crash);
}
