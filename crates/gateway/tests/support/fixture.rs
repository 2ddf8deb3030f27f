//! Starts instances that share a store in memory.

use crate::support::backend::ScriptedBackend;
use crate::support::client::{PlainResponse, call};
use crate::support::memory_store::{InstanceStore, MemoryStore};
use balance::LoadReport;
use bytes::Bytes;
use fleet::{RecordDecoder, StoreRecord};
use gateway::{GatewayParts, HeaderNames, WireBinding, read_settings, run_gateway_until};
use http::HeaderName;
use model::{
    BackendSpec, ConfigVersion, ConnectionCount, IncarnationId, Millis, RequestRate, ServerKey,
    SlotCount,
};
use routing::{
    ApiKey, Idempotency, RequestLimits, RouteBuilder, RouteTable, RouteTarget, ServiceEntry,
    TableBuilder, TeamEntry, TeamQuota, TeamTable, WarmUpLimit,
};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use testkit::free_address;
use tokio::sync::oneshot;

/// Bound on waiting for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A load report or record with this text makes the binding or the decoder of the tests panic.
pub const PANIC_TEXT: &str = "panic";

/// A record with this text makes the decoder of the tests, and with it the instance, stand still for
/// [`STANDSTILL`].
pub const STANDSTILL_TEXT: &str = "stand still";
/// Longer than the time without a confirmation by the store that may be an outage of it.
const STANDSTILL: Duration = Duration::from_millis(2_500);

/// Protocol binding of the tests.
struct TestBinding(HeaderNames);

impl TestBinding {
    fn new() -> Self {
        Self(HeaderNames {
            request_id: HeaderName::from_static("t-id"),
            deadline: HeaderName::from_static("t-deadline"),
            expected_server: HeaderName::from_static("t-expect"),
            signature: HeaderName::from_static("t-signature"),
            not_run: HeaderName::from_static("t-not-run"),
            load: HeaderName::from_static("t-load"),
            limit: HeaderName::from_static("t-limit"),
            leaving: HeaderName::from_static("t-leaving"),
            server: HeaderName::from_static("t-server"),
            warm_up: HeaderName::from_static("t-warm-up"),
            api_key: HeaderName::from_static("t-key"),
            team: HeaderName::from_static("t-team"),
        })
    }
}

impl WireBinding for TestBinding {
    fn headers(&self) -> &HeaderNames {
        &self.0
    }

    fn load_report(&self, text: &str) -> Option<LoadReport> {
        assert_ne!(text, PANIC_TEXT);
        let mut fields = text.split(',');
        let running = fields.next()?.parse().ok()?;
        let slowdown = fields.nth(2).and_then(|field| field.parse().ok()).unwrap_or(1.0);
        Some(LoadReport { running, waiting: 0, slowdown })
    }

    fn request_limit(&self, text: &str) -> Option<RequestRate> {
        text.parse().ok()
    }

    fn quiet_period(&self, text: &str) -> Option<Duration> {
        Duration::try_from_secs_f64(text.parse().ok()?).ok()
    }

    fn warm_up_left(&self, text: &str) -> Option<Duration> {
        Duration::try_from_secs_f64(text.parse::<f64>().ok()? / 1_000.0).ok()
    }

    fn directory_path(&self) -> &str {
        "/where"
    }

    fn ready_path(&self) -> &str {
        "/ready"
    }

    fn directory_response(
        &self,
        addresses: &[SocketAddr],
        _ttl: Duration,
    ) -> (Bytes, &'static str) {
        let texts: Vec<String> = addresses.iter().map(ToString::to_string).collect();
        (texts.join(" ").into(), "text/plain")
    }

    fn member_key(&self, name: &str) -> String {
        format!("members/{name}")
    }
}

/// Timeout of the routes unless the configuration states another one.
const ROUTE_TIMEOUT: Millis = Millis(1_000);

/// Grace period of the instances, in seconds.
const GRACE_S: u32 = 3;
/// Slots of a server whose record states none.
const SERVER_SLOTS: u32 = 4;

/// Decodes `servers/NAME` as address and state, which may be followed by the number of slots, the data centre
/// and the milliseconds for which the server stays cold,
/// `members/NAME` as JSON, `evacuated/CENTRE` with any value, and `config` as a version that may be followed
/// by the timeout of the routes in milliseconds, `teams=TEAM/KEY+KEY/RATE/BURST;TEAM/...` (keys, rate and
/// burst may be left out) and `warm-up=RATE`.
struct TestDecoder;

impl RecordDecoder for TestDecoder {
    type Config = RouteTable;

    fn decode(&self, key: &str, value: &str) -> StoreRecord<RouteTable> {
        assert_ne!(value, PANIC_TEXT);
        if value == STANDSTILL_TEXT {
            std::thread::sleep(STANDSTILL);
        }
        if key == "config" {
            return decode_config(value)
                .map_or(StoreRecord::Malformed("version".into()), StoreRecord::Config);
        }
        if let Some(name) = key.strip_prefix("members/") {
            return serde_json::from_str(value)
                .map_or(StoreRecord::Malformed(name.into()), StoreRecord::Member);
        }
        if let Some(centre) = key.strip_prefix("evacuated/") {
            return StoreRecord::Evacuation(centre.parse().expect("name"));
        }
        let Some(name) = key.strip_prefix("servers/") else {
            return StoreRecord::Unrecognized;
        };
        let mut words = value.split(' ');
        let address = words.next().unwrap_or_default();
        let state = words.next().unwrap_or_default();
        let slots = words.next().and_then(|word| word.parse().ok()).unwrap_or(SERVER_SLOTS);
        let centre = words.next().unwrap_or("north");
        let warm_up_left = words.next().and_then(|word| word.parse().ok()).unwrap_or(Millis(0));
        let (Ok(name), Ok(address)) = (name.parse(), address.parse()) else {
            return StoreRecord::Malformed("server".into());
        };
        StoreRecord::Server(BackendSpec {
            key: ServerKey { name, incarnation: IncarnationId(1) },
            service: "orders".parse().expect("name"),
            address,
            data_centre: centre.parse().expect("name"),
            slots: SlotCount(slots),
            is_leaving: state == "leaving",
            warm_up_left,
        })
    }
}

fn decode_config(text: &str) -> Option<RouteTable> {
    let mut words = text.split(' ');
    let version = words.next()?.parse().ok()?;
    let mut timeout = ROUTE_TIMEOUT;
    let mut warm_up = None;
    let mut teams = None;
    for word in words {
        if let Some(list) = word.strip_prefix("teams=") {
            teams = Some(decode_teams(list));
        } else if let Some(rate) = word.strip_prefix("warm-up=") {
            let rate = RequestRate(rate.parse().ok()?);
            warm_up = Some(WarmUpLimit { period: Millis(3_000), rate });
        } else {
            timeout = word.parse().ok()?;
        }
    }
    let table = table(version, timeout, warm_up);
    Some(match teams {
        Some(teams) => table.teams(teams).build(),
        None => table.build(),
    })
}

fn decode_teams(list: &str) -> TeamTable {
    let mut teams = TeamTable::default();
    for text in list.split(';') {
        let mut fields = text.split('/');
        let name = fields.next().expect("a name").parse().expect("name");
        let keys = fields.next().unwrap_or_default().split('+').filter_map(ApiKey::new);
        let rate = fields.next().map(|rate| RequestRate(rate.parse().expect("a rate")));
        let burst = fields.next().map_or(0.0, |burst| burst.parse().expect("a number"));
        let quota = rate.map(|rate| TeamQuota { rate, burst });
        teams.add(TeamEntry { name, priority: None, quota }, keys).expect("no conflict");
    }
    teams
}

/// Builds a configuration: `/work/` is not idempotent, `/look/` is; `/open/` needs no key; version N adds the route
/// `/vN/`.
fn table(version: u64, timeout: Millis, warm_up: Option<WarmUpLimit>) -> TableBuilder {
    let limits = RequestLimits {
        head_bytes: 16_384,
        body_bytes: 10_000,
        head_timeout: Millis(3_000),
        idle_timeout: Millis(15_000),
    };
    let builder = |name: String, prefix: String, idempotency| {
        let target = RouteTarget { service: "orders".parse().expect("name"), weight: 1.0 };
        RouteBuilder::new(name.into(), prefix.into(), vec![target])
            .idempotency(idempotency)
            .timeout_and_objective(timeout, Millis(600))
            .attempts(2)
    };
    let route = |name, prefix, idempotency| builder(name, prefix, idempotency).build();
    let public = builder("open".into(), "/open/".into(), Idempotency::NonIdempotent).public(true);
    TableBuilder::new(ConfigVersion(version), limits)
        .service(
            "orders".parse().expect("name"),
            ServiceEntry {
                health_path: "/health".into(),
                connections: ConnectionCount(100),
                warm_up,
            },
        )
        .route("shop.example", route("work".into(), "/work/".into(), Idempotency::NonIdempotent))
        .route("shop.example", public.build())
        .route("shop.example", route("look".into(), "/look/".into(), Idempotency::Idempotent))
        .route(
            "shop.example",
            route(format!("v{version}"), format!("/v{version}/"), Idempotency::NonIdempotent),
        )
}

/// A running instance.
pub struct TestInstance {
    /// Name in its settings.
    pub name: String,
    /// Address of the port for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address of the directory.
    pub directory: SocketAddr,
    /// Address of the metrics port.
    pub metrics: SocketAddr,
    /// All addresses: callers, readiness, directory, peers, datagrams, metrics.
    pub addresses: Vec<SocketAddr>,
    settings_file: PathBuf,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<anyhow::Result<()>>>,
}

impl TestInstance {
    /// Starts a planned stop.
    pub fn ask_stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            stop.send(()).expect("the instance runs");
        }
    }

    /// Replaces a part of the settings file, which the instance reads again when it changes.
    pub fn change_settings(&self, part: &str, replacement: &str) {
        let text = std::fs::read_to_string(&self.settings_file).expect("the settings file");
        assert!(text.contains(part), "{part:?} is not in the settings");
        let changed = text.replace(part, replacement);
        std::fs::write(&self.settings_file, changed).expect("the settings file");
    }

    /// Stops the instance and waits for its end.
    pub fn close(mut self) {
        self.ask_stop();
        self.join().expect("the instance ended well");
    }

    /// Ends the instance at once, without a planned stop.
    pub fn crash(mut self) {
        drop(self.stop.take());
        self.join().expect_err("the instance did not stop by itself");
    }

    fn join(&mut self) -> anyhow::Result<()> {
        let result = self.thread.take().expect("started").join().expect("the thread ended well");
        std::fs::remove_file(&self.settings_file).expect("the settings file");
        result
    }
}

/// Starts an instance with the default settings.
pub fn start_instance(name: &str, store: &MemoryStore) -> TestInstance {
    start_with_lines(name, store, "")
}

/// Starts an instance with further lines in the section `[instance]`.
pub fn start_with_lines(name: &str, store: &MemoryStore, lines: &str) -> TestInstance {
    start_at(name, store, free_addresses(), lines)
}

/// Returns free addresses for one instance, in the order of [`TestInstance::addresses`].
pub fn free_addresses() -> Vec<SocketAddr> {
    (0..6).map(|_| free_address()).collect()
}

/// Starts an instance at given addresses with further lines of settings, inserted in the section
/// `[instance]`.
pub fn start_at(
    name: &str,
    store: &MemoryStore,
    addresses: Vec<SocketAddr>,
    lines: &str,
) -> TestInstance {
    start_with_grace(name, store, addresses, lines, GRACE_S)
}

/// Like [`start_at`], with a grace period in seconds.
pub fn start_with_grace(
    name: &str,
    store: &MemoryStore,
    addresses: Vec<SocketAddr>,
    lines: &str,
    grace_s: u32,
) -> TestInstance {
    let text = format!(
        "[instance]\nname = {name}\ndata_centre = north\n{lines}[listen]\ncallers = {}\nready = {}\n\
         directory = {}\npeers = {}\ndatagrams = {}\nmetrics = {}\n[store]\naddress = 127.0.0.1:1\n\
         [stop]\ngrace_s = {grace_s}\n[probes]\nper_s = 20\n[retries]\nratio = 0.2\nextra = 60\nfirst_start = true\n",
        addresses[0], addresses[1], addresses[2], addresses[3], addresses[4], addresses[5],
    );
    let settings = read_settings("test", &text).expect("valid settings");
    // The port is this test's own, so the name of the file is, too.
    let file_name = format!("lacewing-test-{}.ini", addresses[0].port());
    let settings_file = std::env::temp_dir().join(file_name);
    std::fs::write(&settings_file, &text).expect("the settings file");
    let own_file = settings_file.clone();
    let (stop, stop_requested) = oneshot::channel();
    let own = InstanceStore { store: store.clone(), instance: name.into() };
    let thread = std::thread::spawn(move || {
        let parts = GatewayParts {
            settings,
            settings_file: own_file,
            binding: Rc::new(TestBinding::new()),
            decoder: Rc::new(TestDecoder),
            store: Rc::new(own),
        };
        run_gateway_until(parts, async { Ok(stop_requested.await?) })
    });
    TestInstance {
        name: name.into(),
        callers: addresses[0],
        ready: addresses[1],
        directory: addresses[2],
        metrics: addresses[5],
        addresses,
        settings_file,
        stop: Some(stop),
        thread: Some(thread),
    }
}

/// Writes the record of a server with a state, `ready` or `leaving`, which may be followed by the number of
/// its slots.
pub fn write_server_record(store: &MemoryStore, server: &ScriptedBackend, state: &str) {
    store.set(&format!("servers/{}", server.name), Some(&format!("{} {state}", server.address)));
}

/// Waits until a condition is true. Fails after [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut is_true: impl FnMut() -> bool) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !is_true() {
        assert!(Instant::now() < until, "not true in time: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Whether an instance reports that it is ready.
pub fn is_ready(instance: &TestInstance) -> bool {
    std::net::TcpStream::connect(instance.ready).is_ok()
        && call(instance.ready, "GET", "/ready", "r").status == 200
}

/// Starts an instance with one server and waits until it is ready.
pub fn start_with_server() -> (MemoryStore, ScriptedBackend, TestInstance) {
    start_with_config("1")
}

/// Like [`start_with_server`], with a configuration as [`TestDecoder`] reads it.
pub fn start_with_config(config: &str) -> (MemoryStore, ScriptedBackend, TestInstance) {
    start_with_state(config, "ready")
}

/// Like [`start_with_config`], with the state of the server as [`write_server_record`] takes it.
pub fn start_with_state(config: &str, state: &str) -> (MemoryStore, ScriptedBackend, TestInstance) {
    let store = MemoryStore::default();
    let server = ScriptedBackend::start("first");
    store.set("config", Some(config));
    write_server_record(&store, &server, state);
    let instance = start_instance("one", &store);
    wait_until("ready", || is_ready(&instance));
    (store, server, instance)
}

/// Sends a request to the route `work` with a step that scripts the server.
pub fn call_work(instance: &TestInstance, step: &str, id: &str) -> PlainResponse {
    call(instance.callers, "POST", &format!("/work/{step}/"), id)
}

/// Starts a second server and waits until an instance uses both.
pub fn add_second_server(
    store: &MemoryStore,
    first: &ScriptedBackend,
    instance: &TestInstance,
) -> ScriptedBackend {
    let second = ScriptedBackend::start("second");
    write_server_record(store, &second, "ready");
    wait_until("both servers are used", || {
        call_work(instance, "ok", "warm");
        !first.ran().is_empty() && !second.ran().is_empty()
    });
    second
}
