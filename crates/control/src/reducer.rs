//! The reducer: applies events to the control state and returns effects.

use crate::event::{ControlEffect, ControlEvent, StateChange, StoreCall};
use crate::member::{FleetMember, MemberChange, MemberStatus, MemberTable};
use crate::rendezvous;
use crate::ring::HeartbeatRing;
use crate::view::{FleetView, MemberView, ServiceHomes, assign_homes};
use model::{
    ConfigDocument, ConfigVersion, DigestLine, FleetDigest, IncarnationId, InstanceName,
    InstanceRecord, InstanceState, Leaving, Millis, MonoTime, ServiceName, StoreRevision,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Interval between heartbeats. Each goes to the next targets on the heartbeat ring.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of instances that receive each heartbeat.
const HEARTBEAT_FANOUT: usize = 2;
/// Interval between reads of the platform's instance list by the first watcher of a data centre.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between reads of that list by the other instances, which receive changes with
/// heartbeats.
const LIST_INTERVAL_OTHERS: Duration = Duration::from_secs(10);
/// Age of the store's last confirmation from which an instance reads the store itself, even if it
/// is not a watcher.
const CONFIRMATION_AGE_MAX: Duration = Duration::from_millis(3_000);
/// Backoff after a failed call to the store.
const STORE_BACKOFF: Duration = Duration::from_millis(300);
/// Shortest time between two ticks after which this process counts as having been paused.
const PAUSED_TICK_GAP: Duration = Duration::from_millis(1_500);

/// Settings of the reducer.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Number of instances in each data centre that watch the store.
    pub watchers: usize,
    /// Peer addresses that receive heartbeats while no other instance is known.
    pub seeds: Vec<SocketAddr>,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self { watchers: 2, seeds: Vec::new() }
    }
}

/// The control state of one instance: its members, configuration, homes and leaving servers.
pub struct ControlState {
    settings: ControlSettings,
    this: InstanceRecord,
    /// Number of heartbeats sent; other instances detect by its growth that this one is alive.
    heartbeat_sequence: u64,
    members: MemberTable,
    config: Option<Arc<ConfigDocument>>,
    /// Time at which the configuration came into force here.
    version_at: MonoTime,
    revision: StoreRevision,
    confirmed_at: Option<MonoTime>,
    digest_received_at: Option<MonoTime>,
    leaving: BTreeSet<Leaving>,
    homes: BTreeMap<ServiceName, ServiceHomes>,
    last_tick: MonoTime,
    heartbeat_due: MonoTime,
    heartbeat_turn: usize,
    /// Time of the next read of the platform's list.
    list_due: MonoTime,
    list_pending: bool,
    /// Time from which the store may be called again.
    store_due: MonoTime,
    store_pending: bool,
    store_reachable: bool,
}

type Effects = Vec<ControlEffect>;

impl ControlState {
    /// Creates the state of the instance `this`, without other members or a configuration.
    pub fn new(settings: ControlSettings, this: InstanceRecord) -> Self {
        Self {
            settings,
            this,
            heartbeat_sequence: 0,
            members: MemberTable::default(),
            config: None,
            version_at: MonoTime(0),
            revision: StoreRevision(0),
            confirmed_at: None,
            digest_received_at: None,
            leaving: BTreeSet::new(),
            homes: BTreeMap::new(),
            last_tick: MonoTime(0),
            heartbeat_due: MonoTime(0),
            heartbeat_turn: 0,
            list_due: MonoTime(0),
            list_pending: false,
            store_due: MonoTime(0),
            store_pending: false,
            store_reachable: true,
        }
    }

    /// Applies an event and returns the effects to carry out, in order.
    pub fn reduce(&mut self, now: MonoTime, event: ControlEvent) -> Effects {
        let mut effects = Vec::new();
        match event {
            ControlEvent::Tick => self.tick(now, &mut effects),
            ControlEvent::StoreReplied { revision, document } => {
                self.store_replied(now, &mut effects);
                self.apply_config(now, revision, document, &mut effects);
                self.confirm(now);
            }
            ControlEvent::StoreUnchanged => {
                self.store_replied(now, &mut effects);
                self.confirm(now);
            }
            ControlEvent::StoreFailed => self.store_failed(now, &mut effects),
            ControlEvent::InstancesListed { records, leaving } => {
                self.list_pending = false;
                self.members.mark_listed(&records);
                self.merge_records(now, &records, true, &mut effects);
                self.merge_leaving(leaving, &mut effects);
            }
            ControlEvent::ListFailed => self.list_pending = false,
            ControlEvent::DigestReceived(digest) => self.merge_digest(now, digest, &mut effects),
            ControlEvent::RecordsReceived(records) => {
                self.merge_records(now, &records, false, &mut effects);
            }
            ControlEvent::ConfigFetched { revision, document } => {
                self.apply_config(now, revision, document, &mut effects);
            }
            ControlEvent::ConfigAccepted { revision, document } => {
                self.apply_config(now, revision, document, &mut effects);
                self.confirm(now);
            }
            ControlEvent::ServerLeaving(leaving) => {
                self.merge_leaving(vec![leaving], &mut effects);
            }
            ControlEvent::StopRequested => self.begin_stop(now, &mut effects),
        }
        effects
    }

    /// Returns an immutable copy of the state for serving requests.
    pub fn view(&self) -> FleetView {
        let mut members: BTreeMap<InstanceName, MemberView> = self
            .members
            .known()
            .map(|member| (member.record.name.clone(), member_view(member)))
            .collect();
        let this = MemberView {
            record: self.this.clone(),
            status: MemberStatus::Alive,
            version: self.version(),
            version_at: self.version_at,
        };
        members.insert(self.this.name.clone(), this);
        FleetView {
            this: self.this.clone(),
            config: self.config.clone(),
            revision: self.revision,
            confirmed_at: self.confirmed_at,
            digest_received_at: self.digest_received_at,
            members,
            homes: self.homes.clone(),
            leaving: self.leaving.clone(),
        }
    }

    /// Returns the digest for heartbeats and replies to them. Its `clock` is zero; the sender fills
    /// it in.
    pub fn digest(&self, now: MonoTime) -> FleetDigest {
        let own = DigestLine {
            name: self.this.name.clone(),
            incarnation: self.this.incarnation,
            beat: self.heartbeat_sequence,
            state: self.this.state,
            version: self.version(),
        };
        FleetDigest {
            sender: self.this.clone(),
            clock: 0,
            version: self.version(),
            confirmed_ago: self.confirmed_at.map(|at| Millis::from(now.since(at))),
            lines: std::iter::once(own).chain(self.members.lines()).collect(),
            leaving: self.leaving.iter().cloned().collect(),
        }
    }

    /// Returns the records of the named instances, without unknown ones.
    pub fn describe(&self, names: &[InstanceName]) -> Vec<InstanceRecord> {
        let record = |name: &InstanceName| {
            if *name == self.this.name {
                return Some(self.this.clone());
            }
            self.members.get(name).map(|member| member.record.clone())
        };
        names.iter().filter_map(record).collect()
    }

    fn version(&self) -> ConfigVersion {
        self.config.as_ref().map(|config| config.version).unwrap_or_default()
    }

    fn tick(&mut self, now: MonoTime, effects: &mut Effects) {
        if now.since(self.last_tick) >= PAUSED_TICK_GAP {
            self.members.reset_heartbeat_timers(now);
        }
        self.last_tick = now;
        let newly_gone = self.members.expire(now);
        if !newly_gone.is_empty() {
            self.publish_members(effects);
        }
        effects.extend(
            newly_gone.into_iter().map(|name| ControlEffect::Report(StateChange::MemberGone(name))),
        );
        if now >= self.heartbeat_due {
            self.send_heartbeat(now, effects);
        }
        if now >= self.list_due && !self.list_pending {
            self.list_pending = true;
            let is_alone = self.members.known().next().is_none();
            let is_first = is_alone || self.watch_rank() == 0;
            self.list_due = now.plus(if is_first { LIST_INTERVAL } else { LIST_INTERVAL_OTHERS });
            effects.push(ControlEffect::ListInstances);
        }
        self.call_store(now, effects);
    }

    fn call_store(&mut self, now: MonoTime, effects: &mut Effects) {
        if self.store_pending || now < self.store_due {
            return;
        }
        let is_stale = self.confirmed_at.is_none_or(|at| now.since(at) >= CONFIRMATION_AGE_MAX);
        let call = if is_stale || self.config.is_none() {
            StoreCall::Read
        } else if self.watch_rank() < self.settings.watchers {
            StoreCall::Watch(self.revision)
        } else {
            return;
        };
        self.store_pending = true;
        effects.push(ControlEffect::CallStore(call));
    }

    /// Returns the rank of this instance in its data centre, from 0. The instances with the lowest
    /// ranks watch the store.
    fn watch_rank(&self) -> usize {
        let centre = &self.this.data_centre;
        let mut names: Vec<&InstanceName> = self
            .members
            .known()
            .filter(|member| member.status == MemberStatus::Alive)
            .filter(|member| member.record.data_centre == *centre)
            .map(|member| &member.record.name)
            .collect();
        names.push(&self.this.name);
        let ordered = rendezvous::order("watch", &names, |name| name.as_str());
        ordered.iter().take_while(|name| ***name != &self.this.name).count()
    }

    fn send_heartbeat(&mut self, now: MonoTime, effects: &mut Effects) {
        self.heartbeat_due = now.plus(HEARTBEAT_INTERVAL);
        self.heartbeat_sequence += 1;
        let to = self.next_heartbeat_targets();
        if !to.is_empty() {
            effects.push(ControlEffect::SendHeartbeat { to, digest: Box::new(self.digest(now)) });
        }
    }

    fn next_heartbeat_targets(&mut self) -> Vec<SocketAddr> {
        let ring = HeartbeatRing::new(&self.this, self.members.known().map(|m| &m.record));
        if ring.is_empty() {
            return self.settings.seeds.clone();
        }
        let turn = self.heartbeat_turn;
        self.heartbeat_turn = turn.wrapping_add(HEARTBEAT_FANOUT);
        ring.targets(turn, HEARTBEAT_FANOUT)
    }

    fn store_replied(&mut self, now: MonoTime, effects: &mut Effects) {
        self.store_pending = false;
        self.store_due = now;
        if !self.store_reachable {
            self.store_reachable = true;
            effects.push(ControlEffect::Report(StateChange::StoreBack));
        }
    }

    fn store_failed(&mut self, now: MonoTime, effects: &mut Effects) {
        self.store_pending = false;
        self.store_due = now.plus(STORE_BACKOFF);
        if self.store_reachable {
            self.store_reachable = false;
            effects.push(ControlEffect::Report(StateChange::StoreLost));
        }
    }

    fn confirm(&mut self, now: MonoTime) {
        self.confirmed_at = Some(now);
    }

    /// Puts a configuration into force if it is newer than the one in force.
    fn apply_config(
        &mut self,
        now: MonoTime,
        revision: StoreRevision,
        document: Arc<ConfigDocument>,
        effects: &mut Effects,
    ) {
        self.revision = self.revision.max(revision);
        let is_newer = self.config.as_ref().is_none_or(|known| document.version > known.version);
        if !is_newer {
            return;
        }
        let version = document.version;
        let drained_incarnation = document.draining_instances.get(&self.this.name);
        let is_drained = drained_incarnation == Some(&self.this.incarnation);
        self.config = Some(document);
        self.version_at = now;
        self.drop_replaced_leaving();
        self.publish_members(effects);
        effects.push(ControlEffect::Report(StateChange::ConfigInForce(version)));
        // Other instances receive the version now instead of with the next regular heartbeat.
        self.send_heartbeat(now, effects);
        if is_drained {
            self.begin_stop(now, effects);
        }
    }

    /// Drops leaving marks of server incarnations that the configuration has replaced.
    fn drop_replaced_leaving(&mut self) {
        let Some(config) = &self.config else {
            return;
        };
        self.leaving.retain(|leaving| {
            let service = config.services.get(&leaving.service);
            let server = service.and_then(|service| service.servers.get(&leaving.server));
            server.is_none_or(|server| server.incarnation <= leaving.incarnation)
        });
    }

    /// Recomputes the homes and publishes the state.
    fn publish_members(&mut self, effects: &mut Effects) {
        if let Some(config) = &self.config {
            self.homes = assign_homes(config, &self.members, &self.this);
        }
        effects.push(ControlEffect::Publish);
    }

    fn merge_records(
        &mut self,
        now: MonoTime,
        records: &[InstanceRecord],
        listed: bool,
        effects: &mut Effects,
    ) {
        let mut changed = false;
        for record in records {
            if record.name == self.this.name {
                self.handle_namesake(now, record, effects);
                continue;
            }
            if self.members.merge_record(now, record, listed) == MemberChange::Changed {
                changed = true;
                effects.push(ControlEffect::Report(member_change(record)));
            }
        }
        if changed {
            self.publish_members(effects);
        }
    }

    fn merge_leaving(&mut self, leaving: Vec<Leaving>, effects: &mut Effects) {
        let mut changed = false;
        for leaving in leaving {
            if self.leaving.insert(leaving.clone()) {
                changed = true;
                effects.push(ControlEffect::Report(StateChange::ServerLeaving(leaving)));
            }
        }
        if changed {
            effects.push(ControlEffect::Publish);
        }
    }

    fn merge_digest(&mut self, now: MonoTime, digest: FleetDigest, effects: &mut Effects) {
        self.digest_received_at = Some(now);
        let sender = digest.sender.peer_address;
        self.merge_records(now, std::slice::from_ref(&digest.sender), false, effects);
        let mut unknown = Vec::new();
        let mut changed = false;
        for line in &digest.lines {
            if line.name == self.this.name {
                if line.incarnation > self.this.incarnation {
                    unknown.push(line.name.clone());
                }
                continue;
            }
            match self.members.merge_line(now, line) {
                MemberChange::Same => {}
                MemberChange::Unknown => unknown.push(line.name.clone()),
                MemberChange::Changed => {
                    changed = true;
                    if let Some(member) = self.members.get(&line.name) {
                        effects.push(ControlEffect::Report(member_change(&member.record)));
                    }
                }
            }
        }
        if changed {
            self.publish_members(effects);
        }
        self.merge_leaving(digest.leaving, effects);
        self.merge_confirmation(now, digest.version, digest.confirmed_ago);
        if !unknown.is_empty() {
            effects.push(ControlEffect::Describe { from: sender, names: unknown });
        }
        if digest.version > self.version() || (self.config.is_none() && digest.version.0 > 0) {
            effects.push(ControlEffect::FetchConfig(sender));
        }
    }

    /// Merges the time of the store's last confirmation that another instance reports. It counts
    /// only if both instances have the same version in force.
    fn merge_confirmation(&mut self, now: MonoTime, version: ConfigVersion, ago: Option<Millis>) {
        if version != self.version() || self.config.is_none() {
            return;
        }
        let Some(ago) = ago else {
            return;
        };
        let ago_micros = ago.0.saturating_mul(1_000);
        let Some(at) = now.0.checked_sub(ago_micros).map(MonoTime) else {
            return;
        };
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Handles a record with this instance's name; one of the same or an older incarnation is
    /// ignored. A newer one at this instance's address was an earlier process whose clock was ahead,
    /// so this process takes a still newer incarnation. A newer one at another address has replaced
    /// this process, which then stops.
    fn handle_namesake(&mut self, now: MonoTime, record: &InstanceRecord, effects: &mut Effects) {
        if record.incarnation <= self.this.incarnation {
            return;
        }
        if record.peer_address == self.this.peer_address {
            self.this.incarnation = IncarnationId(record.incarnation.0.saturating_add(1));
            effects.push(ControlEffect::Publish);
            return;
        }
        self.begin_stop(now, effects);
    }

    fn begin_stop(&mut self, now: MonoTime, effects: &mut Effects) {
        if self.this.state == InstanceState::Leaving {
            return;
        }
        self.this.state = InstanceState::Leaving;
        effects.push(ControlEffect::Report(StateChange::Stopping));
        self.publish_members(effects);
        self.send_heartbeat(now, effects);
    }
}

fn member_view(member: &FleetMember) -> MemberView {
    MemberView {
        record: member.record.clone(),
        status: member.status,
        version: member.version,
        version_at: member.version_at,
    }
}

fn member_change(record: &InstanceRecord) -> StateChange {
    StateChange::Member {
        name: record.name.clone(),
        incarnation: record.incarnation,
        state: record.state,
    }
}
