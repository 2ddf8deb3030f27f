//! The control thread: feeds events to the reducer and carries out its effects.

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

/// Time between ticks of the reducer.
const TICK_SPAN: Duration = Duration::from_millis(100);
/// How long the store may hold a watch open.
const WATCH_WAIT: Millis = Millis(1_000);
/// How long another instance may take to answer a heartbeat or a question.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between announcements to the platform.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);
/// How long the platform keeps an announcement.
const ANNOUNCE_TTL: Millis = Millis(6_000);

/// Everything that the control thread works with.
pub struct ControlShell {
    traffic: Arc<TrafficState>,
    store: Arc<dyn PlatformStore>,
    state: ControlState,
    events: mpsc::UnboundedReceiver<ControlEvent>,
    digest: watch::Sender<FleetDigest>,
}

impl ControlShell {
    /// Takes over the reducer's state.
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
        let mut ticks = tokio::time::interval(TICK_SPAN);
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
        // Contact alone changes nothing else, but traffic judges isolation by it.
        let is_contact = matches!(
            event,
            ControlEvent::DigestReceived(_)
                | ControlEvent::StoreUnchanged
                | ControlEvent::StoreAnswered { .. }
        );
        let effects = self.state.reduce(now, event);
        self.digest.send_replace(self.state.digest(now));
        let publishes = effects.iter().any(|effect| matches!(effect, ControlEffect::Publish));
        if publishes {
            self.publish();
        } else if is_contact {
            self.traffic.refresh_view(self.state.view());
        }
        for effect in effects {
            self.carry_out(effect);
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

    fn carry_out(&self, effect: ControlEffect) {
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
                tokio::spawn(describe(Arc::clone(&self.traffic), from, names));
            }
            ControlEffect::CallStore(call) => {
                let store = Arc::clone(&self.store);
                tokio::spawn(call_store(Arc::clone(&self.traffic), store, call));
            }
            ControlEffect::ListInstances => {
                let store = Arc::clone(&self.store);
                tokio::spawn(list_instances(Arc::clone(&self.traffic), store));
            }
            ControlEffect::Report(change) => self.report(&change),
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

    fn report(&self, change: &StateChange) {
        let ring = &self.traffic.ring;
        match change.clone() {
            StateChange::Member { name, incarnation, state } => {
                log::info!(instance = name.as_str(), state = state.as_str(); "member changed");
                ring.record(EventKind::Member { name, incarnation, state });
            }
            StateChange::MemberGone(name) => {
                log::warn!(instance = name.as_str(); "member sends no heartbeats");
                ring.record(EventKind::MemberGone { name });
            }
            StateChange::ConfigInForce(version) => {
                log::info!(version = version.0; "configuration in force");
                ring.record(EventKind::Config { version });
            }
            StateChange::ServerLeaving(leaving) => {
                let (service, server) = (leaving.service, leaving.server);
                log::info!(service = service.as_str(), server = server.as_str(); "server leaving");
                ring.record(EventKind::ServerLeaving { service, server });
            }
            StateChange::StoreLost => {
                log::warn!("store does not answer");
                ring.record(EventKind::Store { reachable: false, cause: SmolStr::default() });
            }
            StateChange::StoreBack => {
                log::info!("store answers again");
                ring.record(EventKind::Store { reachable: true, cause: SmolStr::default() });
            }
            StateChange::Stopping => {
                log::info!("stopping");
                ring.record(EventKind::Stopping);
            }
        }
    }
}

async fn send_heartbeat(traffic: Arc<TrafficState>, to: SocketAddr, mut digest: FleetDigest) {
    digest.clock = traffic.ring.clock().now().0;
    let sending = traffic.peers.call(to, PEER_TIMEOUT, |client, context| async move {
        client.heartbeat(context, digest).await
    });
    let label = match sending.await {
        Ok(answer) => {
            traffic.ring.clock().observe(HybridTime(answer.clock));
            traffic.notify(ControlEvent::DigestReceived(answer));
            "answered"
        }
        Err(_) => "failed",
    };
    traffic.metrics.heartbeats.with_label_values(&[label]).inc();
}

async fn fetch_config(traffic: Arc<TrafficState>, from: SocketAddr) {
    let fetching = traffic.peers.call(from, PEER_TIMEOUT, |client, context| async move {
        client.fetch_config(context).await
    });
    if let Ok(Some(ConfigCopy { revision, document })) = fetching.await {
        traffic.notify(ControlEvent::ConfigFetched { revision, document: Arc::new(document) });
    }
}

async fn describe(traffic: Arc<TrafficState>, from: SocketAddr, names: Vec<InstanceName>) {
    let asking = traffic.peers.call(from, PEER_TIMEOUT, |client, context| async move {
        client.describe(context, names).await
    });
    if let Ok(records) = asking.await {
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
        Ok(Some(stored)) => ControlEvent::StoreAnswered {
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
    let Some(stored) = store.watch(&StoreKey::config(), after, WATCH_WAIT).await? else {
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

/// The record of this instance as the control state starts with it.
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
