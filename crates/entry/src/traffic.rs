//! What the traffic threads share: the view of the fleet, the queues of the services, the tickets.

use crate::metrics::EntryMetrics;
use crate::service::ServiceRuntime;
use arc_swap::ArcSwap;
use control::{ControlEvent, FleetView};
use dispatch::{ServerSlots, TicketEnd, TicketKey, TicketLimits, TicketSerial, TicketTable};
use link::{LinkPool, LinkPoolBuilder};
use model::{
    IncarnationId, InstanceName, Leaving, MonoTime, ProcessClock, RequestId, ServiceConfig,
    ServiceName, SlotCount,
};
use peer::PeerClients;
use settings::{DaemonSettings, IsolationPolicy};
use smol_str::format_smolstr;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use timeline::EventRing;
use tokio::sync::{mpsc, watch};

/// How long an instance that did not answer a forwarded call is passed over.
const AVOID_SPAN: Duration = Duration::from_secs(1);

/// Tickets in progress, each with the place where its end appears.
pub(crate) type RunningTickets = HashMap<TicketSerial, watch::Receiver<Option<TicketEnd>>>;

/// The state that all traffic threads share.
pub struct TrafficState {
    /// Settings of the instance.
    pub settings: DaemonSettings,
    /// The run of this process as tickets name it.
    pub incarnation: IncarnationId,
    /// The clock that deadlines refer to.
    pub clock: ProcessClock,
    /// The control state as last published.
    pub view: ArcSwap<FleetView>,
    /// Events for the time line.
    pub ring: EventRing,
    /// Counters.
    pub metrics: EntryMetrics,
    /// Connections to backend servers.
    pub pool: LinkPool,
    /// Connections to other instances.
    pub peers: PeerClients,
    /// Events for the control thread.
    pub control: mpsc::UnboundedSender<ControlEvent>,
    /// Tickets of this process.
    pub tickets: Mutex<TicketTable>,
    /// Signs the tickets.
    pub ticket_key: TicketKey,
    pub(crate) running: Mutex<RunningTickets>,
    services: ArcSwap<HashMap<ServiceName, Arc<ServiceRuntime>>>,
    avoided: Mutex<HashMap<InstanceName, MonoTime>>,
    heard: Mutex<HashMap<InstanceName, MonoTime>>,
    next_request: AtomicU64,
}

impl TrafficState {
    /// Starts with an empty view.
    pub fn new(
        settings: DaemonSettings,
        view: FleetView,
        peers: PeerClients,
        control: mpsc::UnboundedSender<ControlEvent>,
    ) -> Self {
        let ring = EventRing::new(settings.name.clone(), settings.timeline_events);
        Self {
            incarnation: view.this.incarnation,
            clock: ProcessClock::start(),
            view: ArcSwap::from_pointee(view),
            ring,
            metrics: EntryMetrics::default(),
            pool: LinkPoolBuilder::default().build(),
            peers,
            control,
            tickets: Mutex::new(TicketTable::new(TicketLimits::default())),
            ticket_key: TicketKey::new(rand::random()),
            running: Mutex::default(),
            services: ArcSwap::default(),
            avoided: Mutex::default(),
            heard: Mutex::default(),
            next_request: AtomicU64::new(0),
            settings,
        }
    }

    /// Publishes a view and brings the queues in line with it.
    pub fn apply_view(&self, view: FleetView) {
        let view = Arc::new(view);
        self.view.store(Arc::clone(&view));
        let Some(config) = &view.config else {
            return;
        };
        let known = self.services.load();
        let mut services = HashMap::new();
        for (name, service) in &config.services {
            let runtime = known.get(name).cloned();
            let runtime = runtime
                .unwrap_or_else(|| Arc::new(ServiceRuntime::new(self.clock, self.settings.rule)));
            let servers = server_slots(&view, name, service);
            runtime.configure(servers, service.long_yield.duration());
            services.insert(name.clone(), runtime);
        }
        self.services.store(Arc::new(services));
    }

    /// Publishes a view in which nothing changed that the queues depend on.
    pub fn refresh_view(&self, view: FleetView) {
        self.view.store(Arc::new(view));
    }

    /// The queue of a service.
    pub fn service(&self, name: &ServiceName) -> Option<Arc<ServiceRuntime>> {
        self.services.load().get(name).cloned()
    }

    /// All queues.
    pub fn services(&self) -> Arc<HashMap<ServiceName, Arc<ServiceRuntime>>> {
        self.services.load_full()
    }

    /// An id for a request that brought none.
    pub fn new_request(&self) -> RequestId {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let text = format_smolstr!("{}-{:x}-{number}", self.incarnation, rand::random::<u16>());
        text.parse().expect("hexadecimal digits and dashes form a name")
    }

    /// Whether this instance lacks contact to the store and to all others for too long.
    pub fn is_isolated(&self, view: &FleetView) -> bool {
        if self.settings.isolated_policy == IsolationPolicy::Serve || view.members.len() < 2 {
            return false;
        }
        let contact = view.confirmed_at.max(view.digest_received_at);
        let now = self.clock.now();
        contact.is_none_or(|at| now.since(at) >= self.settings.isolated_after.duration())
    }

    /// Whether the store's last confirmation is older than the operators allow.
    pub fn is_stale(&self, view: &FleetView) -> bool {
        let limit = self.settings.stale_limit;
        if limit.0 == 0 {
            return false;
        }
        let now = self.clock.now();
        view.confirmed_at.is_none_or(|at| now.since(at) >= limit.duration())
    }

    /// Passes over an instance for a while after it did not answer.
    pub fn avoid_instance(&self, name: &InstanceName) {
        let until = self.clock.now().plus(AVOID_SPAN);
        lock(&self.avoided).insert(name.clone(), until);
    }

    /// Whether an instance is passed over now.
    pub fn is_avoided(&self, name: &InstanceName) -> bool {
        let now = self.clock.now();
        lock(&self.avoided).get(name).is_some_and(|until| now < *until)
    }

    /// Takes note of an answer of another instance to a forwarded call.
    pub fn record_peer_contact(&self, name: &InstanceName) {
        lock(&self.heard).insert(name.clone(), self.clock.now());
    }

    /// Whether another instance answered a forwarded call after `time`.
    pub fn had_peer_contact_since(&self, name: &InstanceName, time: MonoTime) -> bool {
        lock(&self.heard).get(name).is_some_and(|heard| *heard > time)
    }

    /// Tells the control thread of an event. It is gone only when the process stops.
    pub fn notify(&self, event: ControlEvent) {
        let _ = self.control.send(event);
    }
}

/// Locks a mutex, also after a panic of another thread.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The slots that this instance may fill. Homes of one service share them out; an instance that is
/// no home fills them all, since it serves only what reached it by an old address.
fn server_slots(view: &FleetView, name: &ServiceName, service: &ServiceConfig) -> Vec<ServerSlots> {
    let (rank, homes) = view.home_rank(name).unwrap_or((0, 1));
    let share = |slots: SlotCount| {
        let (rank, homes) = (rank as u32, homes as u32);
        SlotCount((slots.0 + homes - 1 - rank) / homes)
    };
    let slots_of = |(server, config): (&model::ServerName, &model::BackendServer)| {
        let leaving = Leaving {
            service: name.clone(),
            server: server.clone(),
            incarnation: config.incarnation,
        };
        ServerSlots {
            name: server.clone(),
            incarnation: config.incarnation,
            address: config.address,
            slots: share(config.slots),
            leaving: config.draining || view.is_leaving(&leaving),
        }
    };
    service.servers.iter().map(slots_of).collect()
}
