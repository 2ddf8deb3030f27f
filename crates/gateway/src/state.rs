//! State shared by the tasks of an instance. All tasks run on one thread.

use crate::binding::WireBinding;
use crate::decision_log::DecisionLog;
use crate::fleet_state::FleetState;
use crate::metrics::GatewayMetrics;
use crate::repeat_limit::RepeatLimit;
use crate::settings_file::GatewaySettings;
use crate::stop::StopSchedule;
use crate::teams::TeamTags;
use balance::{ExpectedFinish, QueueDecision, QueueId, QueuePolicy, QuotaLedger, RequestQueue};
use fleet::{
    ConfirmationPulls, MemberRegistrar, PanicRecord, PauseDetector, PullBackoff, RecordDecoder,
    SnapshotQuota,
};
use link::{BodyBudget, LinkPool, LinkPoolBuilder, ResponseMemory};
use model::{IncarnationId, InstanceName, MonoTime, ProcessClock};
use routing::{RouteTable, SplitCursor};
use smol_str::format_smolstr;
use std::cell::{Cell, Ref, RefCell, RefMut};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use store::ReplicaStore;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot};

/// Requests that may wait for a slot at a time; more are refused.
const WAITING_MAX: usize = 1_000;
/// Bound on opening a connection to a backend server or another instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest accepted response of a backend server, in bytes.
const RESPONSE_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Share of the instance's memory that bodies of requests in progress may use.
const REQUEST_BODY_SHARE: f64 = 0.25;
/// Share of the instance's memory that response bodies may use until their callers have taken them.
const RESPONSE_BODY_SHARE: f64 = 0.3;
/// Idle time after which a connection to a backend server is closed. Shorter than the servers' own
/// idle timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Open connections to one backend server. Low, because the server's limit covers all instances.
const SERVER_CONNECTIONS_MAX: usize = 40;

/// Interval between checks whether the view of the fleet is confirmed after a pause.
const CONFIRMATION_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns a share of the instance's memory, in bytes.
fn memory_share(settings: &GatewaySettings, share: f64) -> usize {
    (settings.memory_mb as f64 * 1024.0 * 1024.0 * share) as usize
}

/// Decodes the platform's store records.
pub(crate) type GatewayDecoder = Rc<dyn RecordDecoder<Config = RouteTable>>;

/// State of an instance, shared by its tasks.
pub(crate) struct GatewayState {
    pub settings: RefCell<Rc<GatewaySettings>>,
    pub incarnation: IncarnationId,
    pub clock: ProcessClock,
    /// The platform's headers, paths and text formats.
    pub binding: Rc<dyn WireBinding>,
    pub decoder: GatewayDecoder,
    pub store: RefCell<Rc<dyn ReplicaStore>>,
    /// Connections to backend servers.
    pub pool: LinkPool,
    /// Connections to other instances.
    pub peer_pool: LinkPool,
    /// Socket for datagrams between instances.
    pub socket: UdpSocket,
    pub metrics: GatewayMetrics,
    pub log: DecisionLog,
    /// Limits of the lines on input that was refused, by event.
    input_faults: RefCell<HashMap<&'static str, RepeatLimit>>,
    pub fleet: RefCell<FleetState>,
    pub queue: RefCell<RequestQueue>,
    /// Quotas of the teams.
    pub quotas: RefCell<QuotaLedger>,
    pub team_tags: RefCell<TeamTags>,
    /// Queued requests that wait for a decision.
    pub waiters: RefCell<HashMap<QueueId, oneshot::Sender<QueueDecision>>>,
    /// Wakes the task that advances the queue.
    pub queue_wakeup: Notify,
    /// Selects a service for requests of routes that split traffic among several.
    pub splits: RefCell<SplitCursor>,
    /// The configuration in force; `None` until the first one is read.
    pub table: RefCell<Option<Rc<RouteTable>>>,
    /// The planned stop in progress. Requests are still served, with `Connection: close` in each
    /// response.
    pub stop: tokio::sync::watch::Sender<Option<StopSchedule>>,
    /// Memory for the bodies of requests in progress.
    pub request_bodies: BodyBudget,
    /// Memory for the bodies of servers' responses until their callers have taken them.
    pub response_bodies: ResponseMemory,
    /// Open connections of callers.
    pub connections: Cell<usize>,
    /// Records of instances that this one registers in the store.
    pub registrar: RefCell<MemberRegistrar>,
    /// Notices that the process stood still.
    pub pauses: RefCell<PauseDetector>,
    /// Delays pulls of changes from other instances while they fail.
    pub pull_backoff: RefCell<PullBackoff>,
    /// Pulls that confirm the first snapshot.
    pub confirmation_pulls: RefCell<ConfirmationPulls>,
    /// Limits the snapshots that other instances pull from this one.
    pub snapshots: RefCell<SnapshotQuota>,
    /// Wakes the task that keeps this instance registered when its record is gone.
    pub unregistered: Notify,
    /// Wakes the task that writes the records of `registrar`.
    pub registrar_wakeup: Notify,
    /// Registrations in progress, notified whether the store accepted the record.
    pub registration_waiters: RefCell<Vec<(InstanceName, oneshot::Sender<bool>)>>,
    /// Whether this instance has written records to the store, its own or those of others.
    pub has_written_records: Cell<bool>,
    /// Notified when the first attempt to read the store has ended, with a snapshot or without.
    pub first_snapshot: Notify,
    /// Wakes the task that keeps the replica up to date.
    pub sync_wakeup: Notify,
    /// Wakes the task that reports limits of servers when the first one is known.
    pub limits_wakeup: Notify,
    /// Wakes the task that reports the use of quotas when there is one.
    pub quota_wakeup: Notify,
    /// Wakes the task that sends heartbeats.
    pub heartbeat_wakeup: Notify,
    /// Set to true to make all ports stop accepting and close their connections.
    pub closing: tokio::sync::watch::Sender<bool>,
    /// Panics of the tasks of this instance.
    pub panics: RefCell<PanicRecord>,
    /// Set shortly before the process exits; requests in progress are then answered at once.
    pub ending: tokio::sync::watch::Sender<bool>,
}

impl GatewayState {
    pub fn new(
        settings: GatewaySettings,
        binding: Rc<dyn WireBinding>,
        decoder: GatewayDecoder,
        store: Rc<dyn ReplicaStore>,
        incarnation: IncarnationId,
        socket: UdpSocket,
    ) -> Self {
        let response_bodies = ResponseMemory::new(memory_share(&settings, RESPONSE_BODY_SHARE));
        let pool = LinkPoolBuilder::default()
            .connect_timeout(CONNECT_TIMEOUT)
            .idle_timeout(IDLE_TIMEOUT)
            .response_limit(RESPONSE_MAX_BYTES)
            .connection_limit(SERVER_CONNECTIONS_MAX)
            .accepts_unframed(true)
            .identity(binding.headers().request_id.clone())
            .memory(response_bodies.clone())
            .build();
        let policy = QueuePolicy {
            data_centre: settings.data_centre.clone(),
            waiting_max: WAITING_MAX,
            budget: settings.budget,
            is_first_start: settings.is_first_start,
            border_price: settings.border_price,
        };
        let clock = ProcessClock::start();
        let queue = RequestQueue::new(clock.now(), policy, Box::new(ExpectedFinish::default()));
        let log = DecisionLog::start(settings.name.clone(), settings.log_lines_per_s);
        Self {
            incarnation,
            clock,
            binding,
            decoder,
            store: RefCell::new(store),
            pool,
            peer_pool: LinkPoolBuilder::default().connect_timeout(CONNECT_TIMEOUT).build(),
            socket,
            metrics: GatewayMetrics::default(),
            log,
            input_faults: RefCell::default(),
            fleet: RefCell::new(FleetState::new(&settings, incarnation)),
            queue: RefCell::new(queue),
            quotas: RefCell::new(QuotaLedger::new(settings.is_first_start)),
            team_tags: RefCell::default(),
            waiters: RefCell::default(),
            queue_wakeup: Notify::new(),
            splits: RefCell::default(),
            table: RefCell::default(),
            stop: tokio::sync::watch::Sender::new(None),
            request_bodies: BodyBudget::new(memory_share(&settings, REQUEST_BODY_SHARE)),
            response_bodies,
            connections: Cell::new(0),
            registrar: RefCell::default(),
            pauses: RefCell::default(),
            pull_backoff: RefCell::default(),
            confirmation_pulls: RefCell::default(),
            snapshots: RefCell::new(SnapshotQuota::new(settings.link_mbps)),
            unregistered: Notify::new(),
            registrar_wakeup: Notify::new(),
            registration_waiters: RefCell::default(),
            has_written_records: Cell::new(false),
            first_snapshot: Notify::new(),
            sync_wakeup: Notify::new(),
            limits_wakeup: Notify::new(),
            quota_wakeup: Notify::new(),
            heartbeat_wakeup: Notify::new(),
            closing: tokio::sync::watch::Sender::new(false),
            panics: RefCell::default(),
            ending: tokio::sync::watch::Sender::new(false),
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    pub fn now(&self) -> MonoTime {
        self.clock.now()
    }

    pub fn settings(&self) -> Rc<GatewaySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Counts and logs input that was refused, which others can cause at any rate. A line says how many
    /// like it were left out before.
    pub fn log_input_fault(&self, event: &'static str, detail: &str) {
        self.metrics.input_fault(event);
        let now = self.now();
        match self.input_faults.borrow_mut().entry(event).or_default().admit(now) {
            None => {}
            Some(0) => self.log.state(event, detail),
            Some(left_out) => {
                self.log.state(event, &format_smolstr!("{detail} ({left_out} more left out)"));
            }
        }
    }

    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    pub fn queue(&self) -> RefMut<'_, RequestQueue> {
        self.queue.borrow_mut()
    }

    pub fn fleet(&self) -> RefMut<'_, FleetState> {
        self.fleet.borrow_mut()
    }

    pub fn fleet_ref(&self) -> Ref<'_, FleetState> {
        self.fleet.borrow()
    }

    /// Whether the process just stood still and its view of the fleet is not confirmed since. Closes
    /// the idle connections after a pause: their other ends may have closed them meanwhile.
    pub fn is_outdated(&self) -> bool {
        let now = self.now();
        let mut pauses = self.pauses.borrow_mut();
        if let Some(pause) = pauses.tick(now) {
            self.log.state("resumed", &format_smolstr!("after {} ms", pause.as_millis()));
            self.pool.retain(|_| false);
            self.peer_pool.retain(|_| false);
            self.sync_wakeup.notify_one();
        }
        pauses.is_outdated(now, self.fleet_ref().confirmed_at())
    }

    /// Waits, after a pause, until the view of the fleet is confirmed or that takes too long.
    pub async fn wait_confirmed(&self) {
        while self.is_outdated() {
            tokio::time::sleep(CONFIRMATION_POLL_INTERVAL).await;
        }
    }

    /// Waits until the process is about to exit.
    pub async fn wait_ending(&self) {
        // The sender is part of this state, so the wait can't fail.
        let _ = self.ending.subscribe().wait_for(|is_ending| *is_ending).await;
    }

    pub fn is_stopping(&self) -> bool {
        self.stop.borrow().is_some()
    }

    /// Waits until a planned stop refuses requests with this deadline.
    pub async fn wait_refusal(&self, deadline: MonoTime) {
        let is_refused = |stop: &Option<StopSchedule>| {
            stop.is_some_and(|stop| !stop.queue_stop().admits(deadline))
        };
        // The sender is part of this state, so the wait can't fail.
        let _ = self.stop.subscribe().wait_for(is_refused).await;
    }

    /// Whether the instance has a configuration, is not stopping and does not panic all the time.
    pub fn is_ready(&self) -> bool {
        let is_unready = self.panics.borrow().is_unready(self.now());
        !self.is_stopping() && self.table.borrow().is_some() && !is_unready
    }
}
