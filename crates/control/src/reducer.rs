//! The reducer: events in, effects out.

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

/// Time between heartbeats to the same share of the members.
const HEARTBEAT_SPAN: Duration = Duration::from_millis(500);
/// Instances that receive each heartbeat.
const HEARTBEAT_FANOUT: usize = 2;
/// Time between reads of the platform's list by the first watcher of a data centre.
const LIST_SPAN: Duration = Duration::from_secs(2);
/// Time between such reads by the others, which hear of changes with heartbeats.
const LIST_SPAN_OTHERS: Duration = Duration::from_secs(10);
/// Age of the store's confirmation after which an instance that does not watch reads for itself.
const CONFIRM_SPAN: Duration = Duration::from_millis(3_000);
/// Pause after a failed call to the store.
const STORE_PAUSE: Duration = Duration::from_millis(300);
/// A gap between ticks after which this instance counts as having been paused.
const PAUSE_SPAN: Duration = Duration::from_millis(1_500);

/// Settings of the control state.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Instances in each data centre that watch the store.
    pub watchers: usize,
    /// Peer addresses to try while no other instance is known.
    pub seeds: Vec<SocketAddr>,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self { watchers: 2, seeds: Vec::new() }
    }
}

/// The control state of one instance.
pub struct ControlState {
    settings: ControlSettings,
    this: InstanceRecord,
    beat: u64,
    members: MemberTable,
    config: Option<Arc<ConfigDocument>>,
    version_at: MonoTime,
    revision: StoreRevision,
    confirmed_at: Option<MonoTime>,
    digest_received_at: Option<MonoTime>,
    leaving: BTreeSet<Leaving>,
    homes: BTreeMap<ServiceName, ServiceHomes>,
    last_tick: MonoTime,
    heartbeat_due: MonoTime,
    heartbeat_turn: usize,
    list_due: MonoTime,
    list_pending: bool,
    store_due: MonoTime,
    store_pending: bool,
    store_reachable: bool,
}

type Effects = Vec<ControlEffect>;

impl ControlState {
    /// Starts without knowledge of the others and of the configuration.
    pub fn new(settings: ControlSettings, this: InstanceRecord) -> Self {
        Self {
            settings,
            this,
            beat: 0,
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

    /// Takes an event and says what to do.
    pub fn reduce(&mut self, now: MonoTime, event: ControlEvent) -> Effects {
        let mut effects = Vec::new();
        match event {
            ControlEvent::Tick => self.tick(now, &mut effects),
            ControlEvent::StoreAnswered { revision, document } => {
                self.store_answered(now, &mut effects);
                self.adopt(now, revision, document, &mut effects);
                self.confirm(now);
            }
            ControlEvent::StoreUnchanged => {
                self.store_answered(now, &mut effects);
                self.confirm(now);
            }
            ControlEvent::StoreFailed => self.store_failed(now, &mut effects),
            ControlEvent::InstancesListed { records, leaving } => {
                self.list_pending = false;
                self.members.note_listed(&records);
                self.merge_records(now, &records, true, &mut effects);
                self.merge_leaving(leaving, &mut effects);
            }
            ControlEvent::ListFailed => self.list_pending = false,
            ControlEvent::DigestReceived(digest) => self.merge_digest(now, digest, &mut effects),
            ControlEvent::RecordsReceived(records) => {
                self.merge_records(now, &records, false, &mut effects);
            }
            ControlEvent::ConfigFetched { revision, document } => {
                self.adopt(now, revision, document, &mut effects);
            }
            ControlEvent::ConfigAccepted { revision, document } => {
                self.adopt(now, revision, document, &mut effects);
                self.confirm(now);
            }
            ControlEvent::ServerLeaving(leaving) => {
                self.merge_leaving(vec![leaving], &mut effects);
            }
            ControlEvent::StopRequested => self.begin_stop(now, &mut effects),
        }
        effects
    }

    /// The state for traffic.
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

    /// The digest for another instance.
    pub fn digest(&self, now: MonoTime) -> FleetDigest {
        let own = DigestLine {
            name: self.this.name.clone(),
            incarnation: self.this.incarnation,
            beat: self.beat,
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

    /// Records of members by name, for an instance that does not know them.
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
        if now.since(self.last_tick) >= PAUSE_SPAN {
            self.members.reset_heartbeat_timers(now);
        }
        self.last_tick = now;
        let gone = self.members.expire(now);
        if !gone.is_empty() {
            self.members_changed(effects);
        }
        effects.extend(
            gone.into_iter().map(|name| ControlEffect::Report(StateChange::MemberGone(name))),
        );
        if now >= self.heartbeat_due {
            self.send_heartbeat(now, effects);
        }
        if now >= self.list_due && !self.list_pending {
            self.list_pending = true;
            let is_alone = self.members.known().next().is_none();
            let reads_often = is_alone || self.watch_rank() == 0;
            self.list_due = now.plus(if reads_often { LIST_SPAN } else { LIST_SPAN_OTHERS });
            effects.push(ControlEffect::ListInstances);
        }
        self.call_store(now, effects);
    }

    fn call_store(&mut self, now: MonoTime, effects: &mut Effects) {
        if self.store_pending || now < self.store_due {
            return;
        }
        let stale = self.confirmed_at.is_none_or(|at| now.since(at) >= CONFIRM_SPAN);
        let call = if stale || self.config.is_none() {
            StoreCall::Read
        } else if self.watch_rank() < self.settings.watchers {
            StoreCall::Watch(self.revision)
        } else {
            return;
        };
        self.store_pending = true;
        effects.push(ControlEffect::CallStore(call));
    }

    /// The place of this instance in the order in which those of its data centre watch.
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
        self.heartbeat_due = now.plus(HEARTBEAT_SPAN);
        self.beat += 1;
        let to = self.heartbeat_targets();
        if !to.is_empty() {
            effects.push(ControlEffect::SendHeartbeat { to, digest: Box::new(self.digest(now)) });
        }
    }

    fn heartbeat_targets(&mut self) -> Vec<SocketAddr> {
        let ring = HeartbeatRing::new(&self.this, self.members.known().map(|m| &m.record));
        if ring.is_empty() {
            return self.settings.seeds.clone();
        }
        let turn = self.heartbeat_turn;
        self.heartbeat_turn = turn.wrapping_add(HEARTBEAT_FANOUT);
        ring.targets(turn, HEARTBEAT_FANOUT)
    }

    fn store_answered(&mut self, now: MonoTime, effects: &mut Effects) {
        self.store_pending = false;
        self.store_due = now;
        if !self.store_reachable {
            self.store_reachable = true;
            effects.push(ControlEffect::Report(StateChange::StoreBack));
        }
    }

    fn store_failed(&mut self, now: MonoTime, effects: &mut Effects) {
        self.store_pending = false;
        self.store_due = now.plus(STORE_PAUSE);
        if self.store_reachable {
            self.store_reachable = false;
            effects.push(ControlEffect::Report(StateChange::StoreLost));
        }
    }

    fn confirm(&mut self, now: MonoTime) {
        self.confirmed_at = Some(now);
    }

    /// Brings a configuration into force unless it is older than the one in force.
    fn adopt(
        &mut self,
        now: MonoTime,
        revision: StoreRevision,
        document: Arc<ConfigDocument>,
        effects: &mut Effects,
    ) {
        self.revision = self.revision.max(revision);
        let newer = self.config.as_ref().is_none_or(|known| document.version > known.version);
        if !newer {
            return;
        }
        let version = document.version;
        let drained = document.draining_instances.get(&self.this.name);
        let stops = drained == Some(&self.this.incarnation);
        self.config = Some(document);
        self.version_at = now;
        self.forget_dropped_servers();
        self.members_changed(effects);
        effects.push(ControlEffect::Report(StateChange::ConfigInForce(version)));
        // Others learn of the version now instead of with the next regular heartbeat.
        self.send_heartbeat(now, effects);
        if stops {
            self.begin_stop(now, effects);
        }
    }

    /// Forgets leaving marks of backend servers that the configuration no longer holds.
    fn forget_dropped_servers(&mut self) {
        let Some(config) = &self.config else {
            return;
        };
        self.leaving.retain(|leaving| {
            let service = config.services.get(&leaving.service);
            let server = service.and_then(|service| service.servers.get(&leaving.server));
            server.is_none_or(|server| server.incarnation <= leaving.incarnation)
        });
    }

    fn members_changed(&mut self, effects: &mut Effects) {
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
                self.meet_namesake(now, record, effects);
                continue;
            }
            if self.members.merge_record(now, record, listed) == MemberChange::Changed {
                changed = true;
                effects.push(ControlEffect::Report(member_change(record)));
            }
        }
        if changed {
            self.members_changed(effects);
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
            self.members_changed(effects);
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

    /// Takes over a confirmation by the store that another instance passes on.
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

    /// Handles a record of another process with this instance's name. At this address it is an
    /// earlier run with a clock ahead of ours; elsewhere it has replaced this process.
    fn meet_namesake(&mut self, now: MonoTime, record: &InstanceRecord, effects: &mut Effects) {
        if record.incarnation <= self.this.incarnation {
            return;
        }
        if record.peer_address == self.this.peer_address {
            self.this.incarnation = IncarnationId(record.incarnation.0 + 1);
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
        self.members_changed(effects);
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
