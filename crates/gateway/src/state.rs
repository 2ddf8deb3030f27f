//! What the tasks of an instance share. All run on one thread.

use crate::binding::WireBinding;
use crate::decision_log::DecisionLog;
use crate::fleet_state::FleetState;
use crate::metrics::GatewayMetrics;
use crate::settings_file::GatewaySettings;
use balance::{ExpectedFinish, QueueDecision, QueueId, QueuePolicy, RequestQueue};
use fleet::{MemberRegistrar, RecordDecoder};
use link::{LinkPool, LinkPoolBuilder};
use model::{IncarnationId, InstanceName, MonoTime, ProcessClock};
use routing::{RouteTable, SplitCursor};
use std::cell::{Cell, Ref, RefCell, RefMut};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use store::ReplicaStore;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot};

/// Most requests that wait for a slot.
const WAITING_MAX: usize = 1_000;
/// How long a connection to a backend server may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest answer of a backend server, in bytes.
const ANSWER_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Idle connections to backend servers are kept shorter than the servers do.
const IDLE_SPAN: Duration = Duration::from_secs(8);
/// Connections to one backend server; it counts those of all instances.
const SERVER_CONNECTIONS: usize = 40;

/// Reads the platform's records.
pub(crate) type GatewayDecoder = Rc<dyn RecordDecoder<Config = RouteTable>>;

/// The phase of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// Serves.
    Running,
    /// Serves what still comes, and says so on each answer.
    Stopping,
}

/// Shared state of an instance.
pub(crate) struct GatewayState {
    pub settings: RefCell<Rc<GatewaySettings>>,
    pub incarnation: IncarnationId,
    pub clock: ProcessClock,
    pub binding: Rc<dyn WireBinding>,
    pub decoder: GatewayDecoder,
    pub store: RefCell<Rc<dyn ReplicaStore>>,
    pub pool: LinkPool,
    pub peer_pool: LinkPool,
    pub socket: UdpSocket,
    pub metrics: GatewayMetrics,
    pub log: DecisionLog,
    pub fleet: RefCell<FleetState>,
    pub queue: RefCell<RequestQueue>,
    pub waiters: RefCell<HashMap<QueueId, oneshot::Sender<QueueDecision>>>,
    pub waiting: Notify,
    pub splits: RefCell<SplitCursor>,
    pub table: RefCell<Option<Rc<RouteTable>>>,
    pub phase: Cell<RunPhase>,
    pub body_bytes: Cell<usize>,
    pub connections: Cell<usize>,
    /// Instances that asked this one to list them.
    pub registrar: RefCell<MemberRegistrar>,
    /// Wakes the task that lists them.
    pub registering: Notify,
    /// Who waits for being listed; told whether the store took the record.
    pub listing_waiters: RefCell<Vec<(InstanceName, oneshot::Sender<bool>)>>,
    /// Whether this instance has listed others.
    pub has_registered: Cell<bool>,
    /// Tells that there is a first copy of the store, or that there is none to be had now.
    pub first_copy: Notify,
    /// Wakes the task that follows the store.
    pub sync: Notify,
    /// Wakes the task that sends heartbeats.
    pub heartbeat: Notify,
    /// Wakes the task that closes connections at the end.
    pub closing: tokio::sync::watch::Sender<bool>,
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
        let pool = LinkPoolBuilder::default()
            .connect_timeout(CONNECT_TIMEOUT)
            .idle_timeout(IDLE_SPAN)
            .response_limit(ANSWER_MAX_BYTES)
            .connection_limit(SERVER_CONNECTIONS)
            .accepts_unframed(true)
            .build();
        let policy = QueuePolicy {
            data_centre: settings.data_centre.clone(),
            waiting_max: WAITING_MAX,
            budget: settings.budget,
        };
        let queue = RequestQueue::new(policy, Box::new(ExpectedFinish::default()));
        let log = DecisionLog::start(settings.name.clone(), settings.log_lines_per_s);
        Self {
            incarnation,
            clock: ProcessClock::start(),
            binding,
            decoder,
            store: RefCell::new(store),
            pool,
            peer_pool: LinkPoolBuilder::default().connect_timeout(CONNECT_TIMEOUT).build(),
            socket,
            metrics: GatewayMetrics::default(),
            log,
            fleet: RefCell::new(FleetState::new(&settings, incarnation)),
            queue: RefCell::new(queue),
            waiters: RefCell::default(),
            waiting: Notify::new(),
            splits: RefCell::default(),
            table: RefCell::default(),
            phase: Cell::new(RunPhase::Running),
            body_bytes: Cell::new(0),
            connections: Cell::new(0),
            registrar: RefCell::default(),
            registering: Notify::new(),
            listing_waiters: RefCell::default(),
            has_registered: Cell::new(false),
            first_copy: Notify::new(),
            sync: Notify::new(),
            heartbeat: Notify::new(),
            closing: tokio::sync::watch::Sender::new(false),
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    pub fn now(&self) -> MonoTime {
        self.clock.now()
    }

    pub fn settings(&self) -> Rc<GatewaySettings> {
        Rc::clone(&self.settings.borrow())
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

    pub fn is_stopping(&self) -> bool {
        self.phase.get() == RunPhase::Stopping
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.table.borrow().is_some()
    }
}
