//! Membership of the fleet: which instances exist and which are usable, from the store's records and
//! from heartbeats.

mod state;
mod walk;

use self::state::{HeardState, HeartbeatWait, MemberState};
use self::walk::SurveyWalk;
use crate::datagram::{HeardHeartbeat, HeartbeatMessage};
use crate::home::{RankKey, choose_homes, first_of_each_centre};
use crate::record::MemberRecord;
use model::{DataCentre, IncarnationId, InstanceName, Millis, MonoTime, StoreRevision};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Time without a heartbeat after which an instance that should send them counts as unresponsive.
/// Three heartbeats are missing by then.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);
/// Replaces [`HEARTBEAT_TIMEOUT`] for members of the own data centre whose heartbeats are relayed.
const RELAYED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Replaces [`HEARTBEAT_TIMEOUT`] for members elsewhere whose heartbeats are relayed. The relays say
/// earlier if one is unresponsive; without their word more likely the relays failed.
const REMOTE_TIMEOUT: Duration = Duration::from_secs(4);
/// Number of members of the own data centre lost lately from which [`HEARTBEAT_TIMEOUT`] holds for all:
/// the relays and those that would have followed them are gone, so nobody relays.
const LOST_RELAYS_MIN: usize = 2 * RELAYS_PER_CENTRE;
/// Time since the latest heartbeat after which an instance without a record in the store is dropped.
const UNREGISTERED_TTL: Duration = Duration::from_secs(10);
/// Largest fleet in which each sender reaches all members itself. In a larger one the relays of each
/// data centre pass the heartbeats on.
const DIRECT_MEMBERS_MAX: usize = 40;
/// Number of members of each data centre that relay heartbeats there, if heartbeats are relayed.
const RELAYS_PER_CENTRE: usize = 2;

/// The members with a duty, as one instance determines them.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct FleetSurvey {
    /// The instances to which callers are directed, in rank order.
    pub homes: Vec<MemberRecord>,
    /// The first usable member of each data centre, which checks the servers there.
    pub health_checkers: Vec<MemberRecord>,
    /// Members that send heartbeats because of their rank in their data centre, and the homes.
    pub relays: Vec<MemberRecord>,
    /// Members that relay heartbeats to the rest of their data centre; empty in a small fleet.
    pub centre_relays: Vec<MemberRecord>,
    /// Datagram addresses of the members to which relays send their heartbeats. Members that count as
    /// unresponsive are among them: if two relays left each other out, neither would ever hear of
    /// the other again.
    pub heartbeat_targets: Vec<SocketAddr>,
    /// Number of usable members before this instance in rank order. Exact for the first members
    /// only.
    pub rank: usize,
    /// Whether this instance sends heartbeats because of its rank.
    pub is_sender_by_rank: bool,
}

impl FleetSurvey {
    /// Whether this instance, whose record is given, is among those that send heartbeats.
    pub fn is_sender(&self, this: &MemberRecord) -> bool {
        self.is_sender_by_rank || contains(&self.relays, this)
    }

    /// Whether the member relays heartbeats to the rest of its data centre.
    pub fn is_centre_relay(&self, member: &MemberRecord) -> bool {
        contains(&self.centre_relays, member)
    }

    /// Whether the member is sent all heartbeats by their senders.
    pub fn is_relay(&self, member: &MemberRecord) -> bool {
        contains(&self.relays, member)
    }
}

fn contains(members: &[MemberRecord], member: &MemberRecord) -> bool {
    members.iter().any(|known| known.name == member.name)
}

/// The members of the fleet that this instance knows, itself included.
#[derive(Debug, Clone)]
pub struct MemberTable {
    this: MemberRecord,
    /// Incarnation of this instance in the store's record.
    registered_incarnation: Option<IncarnationId>,
    is_ready: bool,
    /// All members except this instance, in rank order.
    members: BTreeMap<RankKey, MemberState>,
    /// Places of the members in `members`.
    places: HashMap<InstanceName, RankKey>,
    /// The latest heartbeats of members that sent one lately. Few do.
    heard: HashMap<InstanceName, HeardState>,
    /// Number of members, this instance included, by data centre.
    centres: BTreeMap<DataCentre, usize>,
    /// Members from which the latest survey expected heartbeats.
    expected: BTreeSet<RankKey>,
    /// Since when this instance receives heartbeats from their senders; `None` if they are relayed.
    direct_since: Option<MonoTime>,
    /// Members of the own data centre that were lost lately, by the latest survey.
    lost_here: usize,
}

impl MemberTable {
    /// Creates a table of this instance alone.
    pub fn new(this: MemberRecord) -> Self {
        Self {
            registered_incarnation: None,
            is_ready: false,
            members: BTreeMap::new(),
            places: HashMap::new(),
            heard: HashMap::new(),
            centres: BTreeMap::from([(this.data_centre.clone(), 1)]),
            expected: BTreeSet::new(),
            direct_since: Some(MonoTime(0)),
            lost_here: 0,
            this,
        }
    }

    /// Returns the record of this instance.
    pub fn this(&self) -> &MemberRecord {
        &self.this
    }

    /// Returns the incarnation in the store's record of this instance, which this process or an
    /// earlier one wrote; `None` until such a record was read.
    pub fn registered_incarnation(&self) -> Option<IncarnationId> {
        self.registered_incarnation
    }

    /// Raises the incarnation of this instance above `earlier` if it is not higher already.
    pub fn supersede(&mut self, earlier: IncarnationId) {
        if self.this.incarnation <= earlier {
            self.this.incarnation = IncarnationId(earlier.0.saturating_add(1));
        }
    }

    /// Sets whether this instance accepts callers' requests.
    pub fn set_ready(&mut self, is_ready: bool) {
        self.is_ready = is_ready;
    }

    /// Whether this instance accepts callers' requests.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Returns the number of members, this instance included.
    pub fn member_count(&self) -> usize {
        self.members.len() + 1
    }

    /// Returns the number of data centres with members.
    pub fn centre_count(&self) -> usize {
        self.centres.len()
    }

    /// Adds a member of which the store has a record. A record of an earlier incarnation than the
    /// known one changes nothing else. A lost member counts as usable again: its record was written
    /// anew, which it asked for.
    pub fn register(&mut self, record: MemberRecord) {
        if record.name == self.this.name {
            self.registered_incarnation = Some(record.incarnation);
            return;
        }
        if let Some(state) = self.member_mut(&record.name) {
            state.is_registered = true;
            state.forget_loss();
            if record.incarnation <= state.record.incarnation {
                return;
            }
            self.heard.remove(&record.name);
        }
        self.insert(record, true);
    }

    /// Whether the store has a record of another instance.
    pub fn is_registered(&self, name: &InstanceName) -> bool {
        self.member(name).is_some_and(|state| state.is_registered)
    }

    /// Records that the store no longer has a record of a member. It stays for `UNREGISTERED_TTL`
    /// after its latest heartbeat.
    pub fn unregister(&mut self, name: &InstanceName) {
        let Some(state) = self.member_mut(name) else {
            return;
        };
        state.is_registered = false;
        if !self.heard.contains_key(name) {
            self.remove(name);
        }
    }

    fn member(&self, name: &InstanceName) -> Option<&MemberState> {
        self.members.get(self.places.get(name)?)
    }

    fn member_mut(&mut self, name: &InstanceName) -> Option<&mut MemberState> {
        self.members.get_mut(self.places.get(name)?)
    }

    fn insert(&mut self, record: MemberRecord, is_registered: bool) {
        self.remove(&record.name);
        let place = RankKey::of(&record);
        *self.centres.entry(record.data_centre.clone()).or_default() += 1;
        self.places.insert(record.name.clone(), place.clone());
        self.members.insert(place, MemberState::new(record, is_registered));
    }

    fn remove(&mut self, name: &InstanceName) {
        let removed = self.places.remove(name).and_then(|place| self.members.remove(&place));
        let Some(state) = removed else {
            return;
        };
        if let Some(count) = self.centres.get_mut(&state.record.data_centre) {
            *count -= 1;
            if *count == 0 {
                self.centres.remove(&state.record.data_centre);
            }
        }
    }

    /// Records a heartbeat that was received just now from its sender. Returns whether the sender was
    /// unknown or had counted as unresponsive.
    ///
    /// Ignores a heartbeat without a record from an unknown instance, and one of an earlier
    /// incarnation while heartbeats of a later one are recent.
    pub fn record_heartbeat(&mut self, now: MonoTime, heartbeat: HeartbeatMessage) -> bool {
        self.record_heard(now, HeardHeartbeat::now(heartbeat))
    }

    /// Records a heartbeat that a relay passed on. Returns like [`Self::record_heartbeat`]. Ignores one
    /// that is older than the latest known.
    pub fn record_heard(&mut self, now: MonoTime, heard: HeardHeartbeat) -> bool {
        let HeardHeartbeat { heartbeat, age, is_unresponsive } = heard;
        if heartbeat.name == self.this.name {
            return false;
        }
        let at = now.before(age.duration());
        let latest = self.heard.get(&heartbeat.name);
        if latest.is_some_and(|latest| latest.at > at) {
            return false;
        }
        let was_recent = latest.is_some_and(|latest| latest.is_recent(now));
        let known = self.member(&heartbeat.name);
        let known_incarnation = known.map(|known| known.record.incarnation);
        if was_recent && known_incarnation.is_some_and(|known| known > heartbeat.incarnation) {
            return false;
        }
        let has_other_record = heartbeat
            .record
            .as_ref()
            .is_some_and(|record| known.is_some_and(|known| known.record != *record));
        if known_incarnation != Some(heartbeat.incarnation) || has_other_record {
            // Until a heartbeat has its record, a restarted process is taken to have the addresses of
            // the one before.
            let known_record = known.map(|known| MemberRecord {
                incarnation: heartbeat.incarnation,
                ..known.record.clone()
            });
            let Some(record) = heartbeat.record.clone().or(known_record) else {
                return false;
            };
            let is_registered = known.is_some_and(|known| known.is_registered);
            self.insert(record, is_registered);
        }
        let message = HeartbeatMessage { record: None, ..heartbeat };
        let name = message.name.clone();
        if let Some(state) = self.member_mut(&name) {
            state.is_lost = is_unresponsive || !message.is_ready;
        }
        self.heard.insert(name, HeardState { at, message, is_unresponsive });
        !was_recent && !is_unresponsive
    }

    /// Determines the members with a duty, for `home_count` homes. Takes time in proportion to the
    /// number of those members, not of all.
    pub fn survey(&mut self, now: MonoTime, home_count: usize) -> FleetSurvey {
        self.drop_unregistered(now);
        let is_relayed = self.member_count() > DIRECT_MEMBERS_MAX;
        // At least the health checker.
        let centre_homes = home_count.div_ceil(self.centres.len().max(1)).max(1);
        let per_centre =
            if is_relayed { centre_homes.max(RELAYS_PER_CENTRE) } else { centre_homes };
        let mut walk = SurveyWalk::new(now, per_centre, &self.centres);
        self.walk(&mut walk);
        self.lost_here = walk.lost_by_centre.get(&self.this.data_centre).copied().unwrap_or(0);
        let usable: Vec<&MemberRecord> = walk
            .usable
            .iter()
            .map(|place| match self.members.get(place) {
                Some(state) => &state.record,
                None => &self.this,
            })
            .collect();
        let cloned = |members: Vec<&MemberRecord>| members.into_iter().cloned().collect();
        let homes: Vec<MemberRecord> = cloned(choose_homes(&usable, home_count));
        let mut relays: Vec<MemberRecord> = cloned(first_of_each_centre(&usable, per_centre));
        for home in &homes {
            if !contains(&relays, home) {
                relays.push(home.clone());
            }
        }
        let expected = walk.expected.iter().filter_map(|place| self.members.get(place));
        let mut heartbeat_targets: Vec<SocketAddr> =
            expected.map(|state| state.record.datagram_address).collect();
        for relay in relays.iter().filter(|relay| relay.name != self.this.name) {
            if !heartbeat_targets.contains(&relay.datagram_address) {
                heartbeat_targets.push(relay.datagram_address);
            }
        }
        let centre_relays = if is_relayed { RELAYS_PER_CENTRE } else { 0 };
        let survey = FleetSurvey {
            health_checkers: cloned(first_of_each_centre(&usable, 1)),
            centre_relays: cloned(first_of_each_centre(&usable, centre_relays)),
            homes,
            relays,
            heartbeat_targets,
            rank: walk.rank.unwrap_or(walk.usable.len()),
            is_sender_by_rank: walk.is_sender,
        };
        for place in self.expected.difference(&walk.expected) {
            if let Some(state) = self.members.get_mut(place) {
                state.expect_none();
            }
        }
        self.expected = walk.expected;
        self.direct_since = match self.direct_since {
            _ if is_relayed && !survey.is_relay(&self.this) => None,
            None => Some(now),
            since => since,
        };
        survey
    }

    /// Drops unregistered members whose latest heartbeat is older than `UNREGISTERED_TTL`.
    fn drop_unregistered(&mut self, now: MonoTime) {
        let is_old = |heard: &HeardState| now.since(heard.at) >= UNREGISTERED_TTL;
        let old: Vec<InstanceName> = self
            .heard
            .iter()
            .filter(|(_, heard)| is_old(heard))
            .map(|(name, _)| name.clone())
            .collect();
        for name in old {
            self.heard.remove(&name);
            if self.member(&name).is_some_and(|state| !state.is_registered) {
                self.remove(&name);
            }
        }
    }

    /// Visits members in rank order until all duties are assigned.
    fn walk(&mut self, walk: &mut SurveyWalk) {
        let this_place = RankKey::of(&self.this);
        let mut is_this_due = true;
        let hears_others = self.heard.values().any(|heard| heard.is_recent(walk.now));
        for (place, state) in &mut self.members {
            if is_this_due && this_place < *place {
                walk.visit_this(&this_place, &self.this, self.is_ready);
                is_this_due = false;
            }
            if walk.is_complete() {
                return;
            }
            let heard = self.heard.get(&state.record.name);
            let timeout = match self.direct_since {
                Some(_) => HEARTBEAT_TIMEOUT,
                None if self.lost_here >= LOST_RELAYS_MIN => HEARTBEAT_TIMEOUT,
                None if state.record.data_centre == self.this.data_centre => RELAYED_TIMEOUT,
                None => REMOTE_TIMEOUT,
            };
            let direct_since = self.direct_since;
            let wait = HeartbeatWait { now: walk.now, direct_since, timeout, hears_others };
            walk.visit(place, state, heard, wait);
        }
        if is_this_due {
            walk.visit_this(&this_place, &self.this, self.is_ready);
        }
    }

    /// Returns the members whose latest heartbeat was received within `HEARTBEAT_TIMEOUT`, with that
    /// heartbeat.
    pub fn recent_heartbeats(
        &self,
        now: MonoTime,
    ) -> impl Iterator<Item = (&MemberRecord, &HeartbeatMessage)> {
        self.heard.values().filter(move |heard| heard.is_recent(now)).filter_map(|heard| {
            let state = self.member(&heard.message.name)?;
            Some((&state.record, &heard.message))
        })
    }

    /// Returns the heartbeats to pass on to members that do not receive them from their senders.
    pub fn relayed_heartbeats(&self, now: MonoTime) -> Vec<HeardHeartbeat> {
        self.heard
            .values()
            .filter(|heard| now.since(heard.at) < REMOTE_TIMEOUT)
            .map(|heard| HeardHeartbeat {
                heartbeat: heard.message.clone(),
                age: Millis::from(now.since(heard.at)),
                is_unresponsive: !heard.is_recent(now),
            })
            .collect()
    }

    /// Returns the members whose latest heartbeat reports a newer revision of the store than `after`.
    pub fn ahead_of(&self, now: MonoTime, after: StoreRevision) -> Vec<MemberRecord> {
        let newer = self.recent_heartbeats(now).filter(|(_, heartbeat)| heartbeat.as_of > after);
        newer.map(|(record, _)| record.clone()).collect()
    }

    /// Returns the records of all members except this instance, in rank order.
    pub fn others(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|state| &state.record)
    }

    /// Returns the newest known incarnation of another instance; `None` if it is no member.
    pub fn incarnation(&self, name: &InstanceName) -> Option<IncarnationId> {
        self.member(name).map(|state| state.record.incarnation)
    }
}
