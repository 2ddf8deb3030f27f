//! Starts and stops an entry instance: one control thread and a pool of traffic threads.

use crate::caller_port::caller_routes;
use crate::control_thread::{ControlLoop, own_record};
use crate::operator_port::{OperatorState, operator_routes};
use crate::peer_port::EntryPeer;
use crate::prober::run_prober;
use crate::traffic::TrafficState;
use anyhow::{Context, Result};
use control::{ControlEvent, ControlSettings, ControlState};
use link::{HttpServer, serve_http};
use model::{IncarnationId, InstanceState};
use peer::{PeerClients, TokenProof, accept_peers};
use settings::DaemonSettings;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use store::{HttpStore, PlatformStore};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::{mpsc, watch};

/// Interval at which queues refuse expired requests and fill slots freed by the passage of time.
const QUEUE_ADVANCE_INTERVAL: Duration = Duration::from_millis(2);
/// Interval at which a stop checks the work still in progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum time allowed for open connections to close.
const CLOSE_TIMEOUT_MIN: Duration = Duration::from_millis(200);
/// Time before the stop limit at which requests in progress are answered without their outcome.
const ANSWER_PERIOD: Duration = Duration::from_millis(200);
/// Minimum time for which an instance continues to serve after it announced that it is leaving.
const LEAVING_DURATION_MIN: Duration = Duration::from_secs(2);

/// A running entry instance.
pub struct EntryInstance {
    traffic: Arc<TrafficState>,
    runtime: Runtime,
    control: std::thread::JoinHandle<()>,
    stop: watch::Sender<bool>,
    servers: Vec<HttpServer>,
}

impl EntryInstance {
    /// Binds the ports and starts all threads.
    ///
    /// # Errors
    /// A port cannot be bound or a thread cannot be started.
    pub fn start(settings: DaemonSettings) -> Result<Self> {
        let store = HttpStore::new(settings.platform_address, settings.platform_timeout.duration());
        Self::start_with_store(settings, Arc::new(store))
    }

    /// Like [`start`](Self::start), with `store` as the connection to the platform.
    ///
    /// # Errors
    /// A port cannot be bound or a thread cannot be started.
    pub fn start_with_store(
        settings: DaemonSettings,
        store: Arc<dyn PlatformStore>,
    ) -> Result<Self> {
        let runtime = traffic_runtime(settings.threads)?;
        let ports = EntryPorts::bind(&runtime, settings)?;
        let state = control_state(&ports.settings);
        let proof = TokenProof::of_token(&ports.settings.token);
        let (events, event_receiver) = mpsc::unbounded_channel();
        let clients = PeerClients::new(proof.clone());
        let traffic = TrafficState::new(ports.settings, state.view(), clients, events);
        let traffic = Arc::new(traffic);
        let (digest, digest_receiver) = watch::channel(state.digest(traffic.clock.now()));
        let (stop, stop_receiver) = watch::channel(false);
        let control_loop = ControlLoop::new(
            Arc::clone(&traffic),
            Arc::clone(&store),
            state,
            event_receiver,
            digest,
        );
        let control = std::thread::Builder::new()
            .name("control".into())
            .spawn(move || run_control(control_loop, stop_receiver))
            .context("starting the control thread")?;
        let handler = Arc::new(EntryPeer::new(Arc::clone(&traffic), digest_receiver));
        runtime.spawn(accept_peers(ports.peers, proof, handler));
        runtime.spawn(advance_queues(Arc::clone(&traffic)));
        runtime.spawn(run_prober(Arc::clone(&traffic), Arc::clone(&store)));
        let operator_state = Arc::new(OperatorState { traffic: Arc::clone(&traffic), store });
        let handle = runtime.handle();
        let servers = vec![
            serve_http(handle, ports.callers, caller_routes(Arc::clone(&traffic))),
            serve_http(handle, ports.operators, operator_routes(operator_state)),
        ];
        Ok(Self { traffic, runtime, control, stop, servers })
    }

    /// State shared by the traffic threads.
    pub fn traffic(&self) -> &Arc<TrafficState> {
        &self.traffic
    }

    /// Whether the instance is leaving, for example because an operator drains it.
    pub fn is_leaving(&self) -> bool {
        self.traffic.view.load().this.state == InstanceState::Leaving
    }

    /// Stops the instance without interrupting work, within the stop limit of the settings. First
    /// removes the instance from the lists of addresses, then waits until cached lists have expired
    /// and the work in progress has ended, then stops all threads. From the beginning, requests whose
    /// deadline is beyond the limit are refused as not run.
    ///
    /// Returns the number of requests still in progress at the stop limit, whose outcome their callers
    /// don't get.
    pub fn close(self) -> i64 {
        let duration = self.traffic.settings.stop_limit.duration();
        let limit = Instant::now() + duration;
        let answer_after = duration - ANSWER_PERIOD.min(duration / 2);
        let answer_at = Instant::now() + answer_after;
        self.traffic.stop.begin(self.traffic.clock.now().plus(answer_after));
        self.traffic.notify(ControlEvent::StopRequested);
        let addresses_expired = Instant::now() + self.address_ttl_max().max(LEAVING_DURATION_MIN);
        while Instant::now() < addresses_expired.min(limit) {
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
        self.wait_idle(answer_at);
        // Requests may still arrive until the ports are closed, so those in progress end at their time, not
        // as soon as the instance is idle.
        let ending = self.runtime.spawn(end_requests_at(Arc::clone(&self.traffic), answer_at));
        let close_by = limit.max(Instant::now() + CLOSE_TIMEOUT_MIN);
        for server in self.servers {
            self.runtime.block_on(server.close(close_by));
        }
        let left = if ending.is_finished() {
            self.runtime.block_on(ending).unwrap_or_default()
        } else {
            ending.abort();
            0
        };
        let _ = self.stop.send(true);
        // A panic of the control thread was logged when it happened.
        let _ = self.control.join();
        self.runtime.shutdown_timeout(Duration::from_millis(200));
        left
    }

    /// Stops all threads at once, as a crash would, except that the sockets are closed.
    pub fn abort(self) {
        let _ = self.stop.send(true);
        // A panic of the control thread was logged when it happened.
        let _ = self.control.join();
        self.runtime.shutdown_background();
    }

    /// Waits until no request is in progress, at most until `until`.
    fn wait_idle(&self, until: Instant) {
        while self.traffic.in_progress() > 0 && Instant::now() < until {
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
    }

    /// Longest time for which a caller may cache the addresses of a service.
    fn address_ttl_max(&self) -> Duration {
        let view = self.traffic.view.load();
        let services = view.config.iter().flat_map(|config| config.services.values());
        services.map(|service| service.keep.duration()).max().unwrap_or_default()
    }
}

/// Bound ports of an instance, with settings that contain the actual addresses.
struct EntryPorts {
    settings: DaemonSettings,
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
}

impl EntryPorts {
    fn bind(runtime: &Runtime, mut settings: DaemonSettings) -> Result<Self> {
        let callers = bind(runtime, &mut settings.caller_address, "caller_address")?;
        let operators = bind(runtime, &mut settings.operator_address, "operator_address")?;
        let peers = bind(runtime, &mut settings.peer_address, "peer_address")?;
        Ok(Self { settings, callers, operators, peers })
    }
}

fn traffic_runtime(threads: usize) -> Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .context("starting the traffic threads")
}

fn control_state(settings: &DaemonSettings) -> ControlState {
    let record = own_record(settings, new_incarnation());
    let control_settings =
        ControlSettings { seeds: settings.seeds.clone(), ..ControlSettings::default() };
    ControlState::new(control_settings, record)
}

/// Binds a port and writes the actual address to `address`. `key` is its settings key.
fn bind(runtime: &Runtime, address: &mut SocketAddr, key: &str) -> Result<TcpListener> {
    let listener = std::net::TcpListener::bind(*address)
        .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
        .with_context(|| format!("binding {key} {address}"))?;
    *address = listener.local_addr()?;
    let _entered = runtime.enter();
    Ok(TcpListener::from_std(listener)?)
}

/// Microseconds since the Unix epoch, so that a later process of an instance has a greater
/// incarnation.
fn new_incarnation() -> IncarnationId {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    IncarnationId(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
}

fn run_control(control_loop: ControlLoop, stop: watch::Receiver<bool>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime {
        Ok(runtime) => runtime.block_on(control_loop.run(stop)),
        Err(cause) => log::error!(cause:% = cause; "control thread failed to start"),
    }
}

/// Answers the requests that are still in progress at `answer_at` without their outcome. Returns their
/// number.
async fn end_requests_at(traffic: Arc<TrafficState>, answer_at: Instant) -> i64 {
    tokio::time::sleep_until(answer_at.into()).await;
    let left = traffic.in_progress();
    traffic.end_requests();
    left
}

async fn advance_queues(traffic: Arc<TrafficState>) {
    let mut ticks = tokio::time::interval(QUEUE_ADVANCE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for service in traffic.services().values() {
            service.advance();
        }
    }
}
