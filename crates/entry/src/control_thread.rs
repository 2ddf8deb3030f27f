//! The control thread: passes events to the control state and executes the resulting effects.

use crate::traffic::TrafficState;
use change::read_document;
use control::{ControlEffect, ControlEvent, ControlState, MemberStatus, StateChange, StoreCall};
use model::{
    FleetDigest, IncarnationId, InstanceName, InstanceRecord, InstanceState, Millis, StoreRevision,
};
use peer::ConfigCopy;
use settings::DaemonSettings;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use store::store::leaving_servers;
use store::{PlatformStore, StoreError, StoreKey};
use timeline::{EventKind, HybridTime};
use tokio::sync::{mpsc, watch};
use tokio::time::MissedTickBehavior;

/// Interval between `Tick` events for the control state.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which the store ends a watch without a change.
const WATCH_TIMEOUT: Millis = Millis(1_000);
/// Timeout of heartbeats and other calls of the control thread to another instance.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between announcements of this instance to the platform.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);
/// Lifetime of an announcement at the platform.
const ANNOUNCE_TTL: Millis = Millis(6_000);

/// Event loop of the control thread.
pub struct ControlLoop {
    traffic: Arc<TrafficState>,
    store: Arc<dyn PlatformStore>,
    state: ControlState,
    events: mpsc::UnboundedReceiver<ControlEvent>,
    digest: watch::Sender<FleetDigest>,
}

impl ControlLoop {
    /// Creates the loop from the initial `state`. Every digest is published through `digest`.
    pub fn new(
        traffic: Arc<TrafficState>,
        store: Arc<dyn PlatformStore>,
        state: ControlState,
        events: mpsc::UnboundedReceiver<ControlEvent>,
        digest: watch::Sender<FleetDigest>,
    ) -> Self {
        Self { traffic, store, state, events, digest }
    }

    /// Runs until `stop` changes.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut announcements = tokio::time::interval(ANNOUNCE_INTERVAL);
        announcements.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            let event = tokio::select! {
                _ = ticks.tick() => ControlEvent::Tick,
                _ = announcements.tick() => {
                    self.announce();
                    continue;
                }
                event = self.events.recv() => match event {
                    Some(event) => event,
                    None => return,
                },
                _ = stop.changed() => return,
            };
            self.handle(event);
        }
    }

    fn handle(&mut self, event: ControlEvent) {
        let now = self.traffic.clock.now();
        // These events change the time of the last contact in the view even if they change nothing
        // else. The check for isolation reads it.
        let is_contact = matches!(
            event,
            ControlEvent::DigestReceived(_)
                | ControlEvent::StoreUnchanged
                | ControlEvent::StoreReplied { .. }
        );
        let effects = self.state.reduce(now, event);
        let publishes = effects.iter().any(|effect| matches!(effect, ControlEffect::Publish));
        if publishes {
            self.publish();
        } else if is_contact {
            self.traffic.refresh_view(self.state.view());
        }
        // Other instances must not learn of a version before it is in force here.
        self.digest.send_replace(self.state.digest(now));
        for effect in effects {
            self.execute(effect);
        }
    }

    fn publish(&self) {
        let view = self.state.view();
        let metrics = &self.traffic.metrics;
        metrics.config_version.set(i64::try_from(view.version().0).unwrap_or(i64::MAX));
        let alive = view.members.values().filter(|member| member.status == MemberStatus::Alive);
        metrics.members.set(i64::try_from(alive.count()).unwrap_or(i64::MAX));
        self.traffic.apply_view(view);
    }

    fn execute(&self, effect: ControlEffect) {
        match effect {
            ControlEffect::Publish => {}
            ControlEffect::SendHeartbeat { to, digest } => {
                for address in to {
                    tokio::spawn(send_heartbeat(
                        Arc::clone(&self.traffic),
                        address,
                        FleetDigest::clone(&digest),
                    ));
                }
            }
            ControlEffect::FetchConfig(from) => {
                tokio::spawn(fetch_config(Arc::clone(&self.traffic), from));
            }
            ControlEffect::Describe { from, names } => {
                tokio::spawn(fetch_records(Arc::clone(&self.traffic), from, names));
            }
            ControlEffect::CallStore(call) => {
                let store = Arc::clone(&self.store);
                tokio::spawn(call_store(Arc::clone(&self.traffic), store, call));
            }
            ControlEffect::ListInstances => {
                let store = Arc::clone(&self.store);
                tokio::spawn(list_instances(Arc::clone(&self.traffic), store));
            }
            ControlEffect::Report(change) => self.record_change(&change),
        }
    }

    fn announce(&self) {
        let record = self.state.view().this;
        let store = Arc::clone(&self.store);
        let traffic = Arc::clone(&self.traffic);
        tokio::spawn(async move {
            let result = match record.state {
                InstanceState::Live => store.announce(&record, ANNOUNCE_TTL).await,
                InstanceState::Leaving => store.withdraw(&record.name).await,
            };
            count_store_call(&traffic, &result);
        });
    }

    fn record_change(&self, change: &StateChange) {
        let ring = &self.traffic.ring;
        match change.clone() {
            StateChange::Member { name, incarnation, state } => {
                log::info!(
                    instance = name.as_str(), state = state.as_str();
                    "instance state changed"
                );
                ring.record(EventKind::Member { name, incarnation, state });
            }
            StateChange::MemberGone(name) => {
                log::warn!(instance = name.as_str(); "instance stopped sending heartbeats");
                ring.record(EventKind::MemberGone { name });
            }
            StateChange::ConfigInForce(version) => {
                log::info!(version = version.0; "configuration version in force");
                ring.record(EventKind::Config { version });
            }
            StateChange::ServerLeaving(leaving) => {
                let (service, server) = (leaving.service, leaving.server);
                log::info!(
                    service = service.as_str(), server = server.as_str();
                    "backend server is leaving"
                );
                ring.record(EventKind::ServerLeaving { service, server });
            }
            StateChange::StoreLost => {
                log::warn!("store is unreachable");
                ring.record(EventKind::Store { reachable: false, cause: SmolStr::default() });
            }
            StateChange::StoreBack => {
                log::info!("store is reachable again");
                ring.record(EventKind::Store { reachable: true, cause: SmolStr::default() });
            }
            StateChange::Stopping => {
                log::info!("instance is stopping");
                ring.record(EventKind::Stopping);
            }
        }
    }
}

async fn send_heartbeat(traffic: Arc<TrafficState>, to: SocketAddr, mut digest: FleetDigest) {
    digest.clock = traffic.ring.clock().now().0;
    let call = traffic.peers.call(to, PEER_TIMEOUT, |client, context| async move {
        client.heartbeat(context, digest).await
    });
    let label = match call.await {
        Ok(reply) => {
            traffic.ring.clock().observe(HybridTime(reply.clock));
            traffic.notify(ControlEvent::DigestReceived(reply));
            "answered"
        }
        Err(_) => "failed",
    };
    traffic.metrics.heartbeats.with_label_values(&[label]).inc();
}

async fn fetch_config(traffic: Arc<TrafficState>, from: SocketAddr) {
    let call = traffic.peers.call(from, PEER_TIMEOUT, |client, context| async move {
        client.fetch_config(context).await
    });
    if let Ok(Some(ConfigCopy { revision, document })) = call.await {
        traffic.notify(ControlEvent::ConfigFetched { revision, document: Arc::new(document) });
    }
}

async fn fetch_records(traffic: Arc<TrafficState>, from: SocketAddr, names: Vec<InstanceName>) {
    let call = traffic.peers.call(from, PEER_TIMEOUT, |client, context| async move {
        client.describe(context, names).await
    });
    if let Ok(records) = call.await {
        traffic.notify(ControlEvent::RecordsReceived(records));
    }
}

async fn call_store(traffic: Arc<TrafficState>, store: Arc<dyn PlatformStore>, call: StoreCall) {
    let result = match call {
        StoreCall::Read => read_document(store.as_ref()).await.map(Some),
        StoreCall::Watch(after) => watch_document(store.as_ref(), after).await,
    };
    count_store_call(&traffic, &result);
    traffic.notify(match result {
        Ok(Some(stored)) => ControlEvent::StoreReplied {
            revision: stored.revision,
            document: Arc::new(stored.document),
        },
        Ok(None) => ControlEvent::StoreUnchanged,
        Err(_) => ControlEvent::StoreFailed,
    });
}

async fn watch_document(
    store: &dyn PlatformStore,
    after: StoreRevision,
) -> Result<Option<change::StoredDocument>, StoreError> {
    let Some(stored) = store.watch(&StoreKey::config(), after, WATCH_TIMEOUT).await? else {
        return Ok(None);
    };
    change::decode_document(&stored).map(Some)
}

async fn list_instances(traffic: Arc<TrafficState>, store: Arc<dyn PlatformStore>) {
    let result = store.list_instances().await;
    count_store_call(&traffic, &result);
    traffic.notify(match result {
        Ok(list) => {
            let config = traffic.view.load().config.clone();
            let leaving = config.map(|config| leaving_servers(&list, &config));
            ControlEvent::InstancesListed {
                records: list.entries,
                leaving: leaving.unwrap_or_default(),
            }
        }
        Err(_) => ControlEvent::ListFailed,
    });
}

fn count_store_call<T>(traffic: &TrafficState, result: &Result<T, StoreError>) {
    let label = match result {
        Ok(_) => "ok",
        Err(StoreError::Conflict(_)) => "conflict",
        Err(StoreError::LeaseLost) => "lease_lost",
        Err(StoreError::NotApplied(_)) => "not_applied",
        Err(StoreError::MayBeApplied(_)) => "unknown",
    };
    traffic.metrics.store_calls.with_label_values(&[label]).inc();
}

/// Returns the record of this instance at its start.
pub fn own_record(settings: &DaemonSettings, incarnation: IncarnationId) -> InstanceRecord {
    InstanceRecord {
        name: settings.name.clone(),
        incarnation,
        data_centre: settings.data_centre.clone(),
        caller_address: settings.caller_address,
        operator_address: settings.operator_address,
        peer_address: settings.peer_address,
        state: InstanceState::Live,
    }
}
