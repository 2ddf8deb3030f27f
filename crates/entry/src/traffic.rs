//! State shared by the traffic threads: the view of the fleet, the queues of services, and tickets.

use crate::metrics::EntryMetrics;
use crate::service::{ServiceRuntime, StopTime};
use arc_swap::ArcSwap;
use control::{ControlEvent, FleetView};
use dispatch::{ServerSlots, TicketEnd, TicketKey, TicketLimits, TicketSerial, TicketTable};
use http::HeaderName;
use link::{LinkPool, LinkPoolBuilder};
use model::wire::EXCHANGE_HEADER;
use model::{
    ConfigDocument, IncarnationId, InstanceName, Leaving, MonoTime, ProcessClock, RequestId,
    ServiceConfig, ServiceName, SlotCount,
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

/// Time for which no request is forwarded to an instance after it did not reply to one.
const AVOID_DURATION: Duration = Duration::from_secs(1);

/// Tickets in progress, each with a channel that carries its end.
pub(crate) type RunningTickets = HashMap<TicketSerial, watch::Receiver<Option<TicketEnd>>>;

/// State shared by all traffic threads.
pub struct TrafficState {
    /// Settings of the instance.
    pub settings: DaemonSettings,
    /// Incarnation of this process.
    pub incarnation: IncarnationId,
    /// Clock of all [`MonoTime`] values of this process, such as deadlines.
    pub clock: ProcessClock,
    /// View last published by the control thread.
    pub view: ArcSwap<FleetView>,
    /// Events of the time line.
    pub ring: EventRing,
    /// Prometheus metrics.
    pub metrics: EntryMetrics,
    /// Connections to backend servers.
    pub pool: LinkPool,
    /// Connections to other instances.
    pub peers: PeerClients,
    /// Sends events to the control thread.
    pub control: mpsc::UnboundedSender<ControlEvent>,
    /// Tickets that this process issued.
    pub tickets: Mutex<TicketTable>,
    /// Key that signs and verifies tickets of this process.
    pub ticket_key: TicketKey,
    pub(crate) running: Mutex<RunningTickets>,
    services: ArcSwap<HashMap<ServiceName, Arc<ServiceRuntime>>>,
    avoided: Mutex<HashMap<InstanceName, MonoTime>>,
    peer_contacts: Mutex<HashMap<InstanceName, MonoTime>>,
    next_request: AtomicU64,
    next_exchange: AtomicU64,
    /// The planned stop, once it has begun.
    pub(crate) stop: StopTime,
    /// Set at the stop limit; requests in progress are then answered at once.
    ending: watch::Sender<bool>,
}

impl TrafficState {
    /// Creates the state with `view` and without queues.
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
            pool: LinkPoolBuilder::default()
                .identity(HeaderName::from_static(EXCHANGE_HEADER))
                .build(),
            peers,
            control,
            tickets: Mutex::new(TicketTable::new(TicketLimits::default())),
            ticket_key: TicketKey::new(rand::random()),
            running: Mutex::default(),
            services: ArcSwap::default(),
            avoided: Mutex::default(),
            peer_contacts: Mutex::default(),
            next_request: AtomicU64::new(0),
            next_exchange: AtomicU64::new(0),
            stop: StopTime::default(),
            ending: watch::Sender::new(false),
            settings,
        }
    }

    /// Configures the queues for a view and publishes it. Without a configuration the queues stay.
    ///
    /// The view comes last: what it says is in force has its queue, and a server that it says is
    /// leaving gets no more requests.
    pub fn apply_view(&self, view: FleetView) {
        if let Some(config) = &view.config {
            self.configure_queues(&view, config);
        }
        self.view.store(Arc::new(view));
    }

    fn configure_queues(&self, view: &FleetView, config: &ConfigDocument) {
        let known = self.services.load();
        let mut services = HashMap::new();
        for (name, service) in &config.services {
            let runtime = known.get(name).cloned();
            let runtime = runtime.unwrap_or_else(|| {
                Arc::new(ServiceRuntime::new(self.clock, self.settings.rule, self.stop.clone()))
            });
            let servers = server_slots(view, name, service);
            runtime.configure(servers, service.long_yield.duration());
            services.insert(name.clone(), runtime);
        }
        for (_, runtime) in known.iter().filter(|(name, _)| !services.contains_key(*name)) {
            // Its waiting requests are refused; nothing else would decide on them.
            runtime.configure(Vec::new(), Duration::ZERO);
        }
        self.services.store(Arc::new(services));
    }

    /// Returns the number of requests in progress, those without a waiting caller included.
    pub(crate) fn in_progress(&self) -> i64 {
        let running = lock(&self.running).len();
        self.metrics.in_progress.get() + i64::try_from(running).unwrap_or(i64::MAX)
    }

    /// Answers the requests in progress without waiting for their outcome.
    pub(crate) fn end_requests(&self) {
        self.ending.send_replace(true);
    }

    /// Waits until requests in progress have to be answered.
    pub(crate) async fn wait_ending(&self) {
        // The sender is part of this state, so the wait can't fail.
        let _ = self.ending.subscribe().wait_for(|is_ending| *is_ending).await;
    }

    /// Publishes a view that leaves the queues unchanged.
    pub fn refresh_view(&self, view: FleetView) {
        self.view.store(Arc::new(view));
    }

    /// Returns the queue of a service.
    pub fn service(&self, name: &ServiceName) -> Option<Arc<ServiceRuntime>> {
        self.services.load().get(name).cloned()
    }

    /// Returns all queues.
    pub fn services(&self) -> Arc<HashMap<ServiceName, Arc<ServiceRuntime>>> {
        self.services.load_full()
    }

    /// Creates an id for a request that has none.
    pub fn new_request(&self) -> RequestId {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let text = format_smolstr!("{}-{:x}-{number}", self.incarnation, rand::random::<u16>());
        text.parse().expect("hexadecimal digits and dashes form a name")
    }

    /// Returns a number for an exchange with a backend server, different for each one of this process.
    pub(crate) fn new_exchange(&self) -> u64 {
        self.next_exchange.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether this instance has had no contact with the store or any other instance for too long.
    /// Always false with the policy `serve` or while no other member is known.
    pub fn is_isolated(&self, view: &FleetView) -> bool {
        if self.settings.isolated_policy == IsolationPolicy::Serve || view.members.len() < 2 {
            return false;
        }
        let contact = view.confirmed_at.max(view.digest_received_at);
        let now = self.clock.now();
        contact.is_none_or(|at| now.since(at) >= self.settings.isolated_after.duration())
    }

    /// Whether the store's last confirmation is older than the limit in the settings; zero means no
    /// limit.
    pub fn is_stale(&self, view: &FleetView) -> bool {
        let limit = self.settings.stale_limit;
        if limit.0 == 0 {
            return false;
        }
        let now = self.clock.now();
        view.confirmed_at.is_none_or(|at| now.since(at) >= limit.duration())
    }

    /// Avoids an instance for a while after it did not reply.
    pub fn avoid_instance(&self, name: &InstanceName) {
        let until = self.clock.now().plus(AVOID_DURATION);
        lock(&self.avoided).insert(name.clone(), until);
    }

    /// Whether an instance is avoided now.
    pub fn is_avoided(&self, name: &InstanceName) -> bool {
        let now = self.clock.now();
        lock(&self.avoided).get(name).is_some_and(|until| now < *until)
    }

    /// Records that another instance replied to a forwarded request.
    pub fn record_peer_contact(&self, name: &InstanceName) {
        lock(&self.peer_contacts).insert(name.clone(), self.clock.now());
    }

    /// Whether another instance replied to a forwarded request after `time`.
    pub fn had_peer_contact_since(&self, name: &InstanceName, time: MonoTime) -> bool {
        lock(&self.peer_contacts).get(name).is_some_and(|last| *last > time)
    }

    /// Sends an event to the control thread, which has ended only if the process is stopping.
    pub fn notify(&self, event: ControlEvent) {
        let _ = self.control.send(event);
    }
}

/// Locks a mutex, even if it is poisoned.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the slots that this instance may fill. Homes of one service divide them; an instance
/// that is not a home may fill all of them, since it serves only requests that reached it by an
/// outdated address.
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
