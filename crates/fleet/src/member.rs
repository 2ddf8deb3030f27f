//! Membership of the fleet: which instances exist and which are usable, from the store's records and
//! from heartbeats.

use crate::datagram::HeartbeatMessage;
use crate::home::rank_members;
use crate::record::MemberRecord;
use model::{DataCentre, IncarnationId, InstanceName, MonoTime, StoreRevision};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time without a heartbeat after which an instance that should send them counts as unresponsive.
/// Three heartbeats are missing by then.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);
/// Time since the latest heartbeat after which an instance without a record in the store is dropped.
const UNREGISTERED_TTL: Duration = Duration::from_secs(10);

/// A member of the fleet with its status as this instance sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberView {
    /// The newest record known of the member.
    pub record: MemberRecord,
    /// Whether callers may be directed to the member.
    pub is_usable: bool,
}

#[derive(Debug, Clone)]
struct MemberState {
    record: MemberRecord,
    /// Whether the store has a record of the member.
    is_registered: bool,
    /// The latest heartbeat and the time at which it was received.
    latest_heartbeat: Option<(MonoTime, HeartbeatMessage)>,
    /// Time from which heartbeats of the member are expected; `None` if it need not send any.
    expected_since: Option<MonoTime>,
}

/// The members of the fleet that this instance knows, itself included.
#[derive(Debug, Clone)]
pub struct MemberTable {
    this: MemberRecord,
    /// Incarnation of this instance in the store's record.
    registered_incarnation: Option<IncarnationId>,
    is_ready: bool,
    /// All members except this instance.
    members: BTreeMap<InstanceName, MemberState>,
    /// Number of members, in rank order, that send heartbeats to all others.
    sender_count: usize,
}

impl MemberTable {
    /// Creates a table of this instance alone. The first `sender_count` usable members, in rank order,
    /// send heartbeats to all others.
    pub fn new(this: MemberRecord, sender_count: usize) -> Self {
        Self {
            this,
            registered_incarnation: None,
            is_ready: false,
            members: BTreeMap::new(),
            sender_count,
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
            self.this.incarnation = IncarnationId(earlier.0 + 1);
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

    /// Replaces the set of registered members by the store's records. A member that the store no
    /// longer has stays for `UNREGISTERED_TTL` after its latest heartbeat.
    pub fn set_registered(&mut self, records: Vec<MemberRecord>) {
        for state in self.members.values_mut() {
            state.is_registered = false;
        }
        for record in records {
            if record.name == self.this.name {
                self.registered_incarnation = Some(record.incarnation);
                continue;
            }
            let state = self.members.entry(record.name.clone()).or_insert_with(|| MemberState {
                record: record.clone(),
                is_registered: true,
                latest_heartbeat: None,
                expected_since: None,
            });
            state.is_registered = true;
            if record.incarnation > state.record.incarnation {
                *state = MemberState {
                    record,
                    is_registered: true,
                    latest_heartbeat: None,
                    expected_since: None,
                };
            }
        }
        self.members.retain(|_, state| state.is_registered || state.latest_heartbeat.is_some());
    }

    /// Records a heartbeat. Returns whether the sender was unknown or had counted as unresponsive.
    ///
    /// Ignores a heartbeat without a record from an unknown instance, and one of an earlier
    /// incarnation while heartbeats of a later one are recent.
    pub fn record_heartbeat(&mut self, now: MonoTime, heartbeat: HeartbeatMessage) -> bool {
        if heartbeat.name == self.this.name {
            return false;
        }
        let known = self.members.get(&heartbeat.name);
        let is_other_incarnation =
            known.is_none_or(|known| known.record.incarnation != heartbeat.incarnation);
        if let Some(known) = known
            && known.record.incarnation > heartbeat.incarnation
            && known
                .latest_heartbeat
                .as_ref()
                .is_some_and(|(at, _)| now.since(*at) <= HEARTBEAT_TIMEOUT)
        {
            return false;
        }
        if is_other_incarnation {
            // A restarted process has the same addresses as the one before.
            let known_record = known.map(|known| MemberRecord {
                incarnation: heartbeat.incarnation,
                ..known.record.clone()
            });
            let Some(record) = heartbeat.record.clone().or(known_record) else {
                return false;
            };
            let is_registered = known.is_some_and(|known| known.is_registered);
            let state =
                MemberState { record, is_registered, latest_heartbeat: None, expected_since: None };
            self.members.insert(heartbeat.name.clone(), state);
        }
        let Some(state) = self.members.get_mut(&heartbeat.name) else {
            return false;
        };
        let was_unresponsive = state
            .latest_heartbeat
            .as_ref()
            .is_none_or(|(at, _)| now.since(*at) > HEARTBEAT_TIMEOUT);
        state.latest_heartbeat = Some((now, heartbeat));
        was_unresponsive
    }

    /// Returns all members in rank order, this instance included. Drops unregistered members whose
    /// latest heartbeat is older than `UNREGISTERED_TTL`.
    pub fn views(&mut self, now: MonoTime) -> Vec<MemberView> {
        self.members.retain(|_, state| {
            state.is_registered
                || state
                    .latest_heartbeat
                    .as_ref()
                    .is_some_and(|(at, _)| now.since(*at) < UNREGISTERED_TTL)
        });
        let this = MemberView { record: self.this.clone(), is_usable: self.is_ready };
        let mut views: Vec<MemberView> = self
            .members
            .values()
            .map(|state| MemberView { record: state.record.clone(), is_usable: true })
            .chain([this])
            .collect();
        views = rank_members(&views).into_iter().cloned().collect();
        self.update_usability(now, &mut views);
        views
    }

    /// Sets which members are usable. Heartbeats are expected from the first `sender_count` responsive
    /// members in rank order and from the first usable member of each data centre.
    fn update_usability(&mut self, now: MonoTime, views: &mut [MemberView]) {
        let mut expected = 0;
        let mut centres: BTreeSet<DataCentre> = BTreeSet::new();
        for view in views {
            let centre = view.record.data_centre.clone();
            if view.record.name == self.this.name {
                expected += usize::from(self.is_ready);
                if self.is_ready {
                    centres.insert(centre);
                }
                continue;
            }
            let Some(state) = self.members.get_mut(&view.record.name) else {
                continue;
            };
            let is_expected = expected < self.sender_count || !centres.contains(&centre);
            if !is_expected {
                state.expected_since = None;
            } else if state.expected_since.is_none() {
                state.expected_since = Some(now);
            }
            let heartbeat_at = state.latest_heartbeat.as_ref().map(|(at, _)| *at);
            let waiting_since = state.expected_since.max(heartbeat_at);
            let is_unresponsive =
                is_expected && waiting_since.is_some_and(|at| now.since(at) > HEARTBEAT_TIMEOUT);
            let is_recent = heartbeat_at.is_some_and(|at| now.since(at) <= HEARTBEAT_TIMEOUT);
            let reports_ready =
                state.latest_heartbeat.as_ref().is_none_or(|(_, heartbeat)| heartbeat.is_ready);
            view.is_usable = !is_unresponsive && (reports_ready || (!is_recent && !is_expected));
            expected += usize::from(!is_unresponsive);
            if view.is_usable {
                centres.insert(centre);
            }
        }
    }

    /// Returns the members whose latest heartbeat was received within `HEARTBEAT_TIMEOUT`, with that
    /// heartbeat.
    pub fn recent_heartbeats(
        &self,
        now: MonoTime,
    ) -> impl Iterator<Item = (&MemberRecord, &HeartbeatMessage)> {
        self.members.values().filter_map(move |state| {
            let (at, heartbeat) = state.latest_heartbeat.as_ref()?;
            (now.since(*at) <= HEARTBEAT_TIMEOUT).then_some((&state.record, heartbeat))
        })
    }

    /// Returns the members whose latest heartbeat reports a newer revision of the store than `after`.
    pub fn ahead_of(&self, now: MonoTime, after: StoreRevision) -> Vec<MemberRecord> {
        let newer = self.recent_heartbeats(now).filter(|(_, heartbeat)| heartbeat.as_of > after);
        newer.map(|(record, _)| record.clone()).collect()
    }

    /// Returns the records of all members except this instance.
    pub fn others(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|state| &state.record)
    }

    /// Returns the newest known incarnation of another instance; `None` if it is no member.
    pub fn incarnation(&self, name: &InstanceName) -> Option<IncarnationId> {
        self.members.get(name).map(|state| state.record.incarnation)
    }
}
