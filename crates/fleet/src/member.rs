//! Which instances are alive, from the store's records and from heartbeats.

use crate::datagram::HeartbeatMessage;
use crate::home::rank_members;
use crate::record::MemberRecord;
use model::{DataCentre, IncarnationId, InstanceName, MonoTime, StoreRevision};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Silence after which an instance that should send heartbeats counts as gone; three are missing
/// then.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);
/// How long an instance that is known by heartbeats alone is kept without any.
const UNLISTED_SPAN: Duration = Duration::from_secs(10);

/// An instance as this one sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberView {
    /// Its record.
    pub record: MemberRecord,
    /// Whether callers may be sent to it.
    pub is_usable: bool,
}

#[derive(Debug, Clone)]
struct MemberState {
    record: MemberRecord,
    is_registered: bool,
    heard: Option<(MonoTime, HeartbeatMessage)>,
    /// Since when heartbeats of it are expected.
    expected_since: Option<MonoTime>,
}

/// All instances that are known.
#[derive(Debug, Clone)]
pub struct MemberTable {
    this: MemberRecord,
    /// The run of this instance that the store lists.
    registered_incarnation: Option<IncarnationId>,
    is_ready: bool,
    members: BTreeMap<InstanceName, MemberState>,
    senders: usize,
}

impl MemberTable {
    /// Starts with this instance alone. The first `senders` usable members send heartbeats to all.
    pub fn new(this: MemberRecord, senders: usize) -> Self {
        Self {
            this,
            registered_incarnation: None,
            is_ready: false,
            members: BTreeMap::new(),
            senders,
        }
    }

    /// This instance.
    pub fn this(&self) -> &MemberRecord {
        &self.this
    }

    /// The run of this instance that the store lists, of this process or an earlier one.
    pub fn registered_incarnation(&self) -> Option<IncarnationId> {
        self.registered_incarnation
    }

    /// Makes this run newer than an earlier one.
    pub fn supersede(&mut self, earlier: IncarnationId) {
        if self.this.incarnation <= earlier {
            self.this.incarnation = IncarnationId(earlier.0 + 1);
        }
    }

    /// Says whether this instance takes callers.
    pub fn set_ready(&mut self, is_ready: bool) {
        self.is_ready = is_ready;
    }

    /// Whether this instance takes callers.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Takes over the records of the store.
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
                heard: None,
                expected_since: None,
            });
            state.is_registered = true;
            if record.incarnation > state.record.incarnation {
                *state =
                    MemberState { record, is_registered: true, heard: None, expected_since: None };
            }
        }
        self.members.retain(|_, state| state.is_registered || state.heard.is_some());
    }

    /// Takes note of a heartbeat. Gives whether the sender was unknown or had counted as silent. One
    /// of an unknown instance that brings no record is passed over, and one of an earlier run while
    /// the later one is heard.
    pub fn record_heartbeat(&mut self, now: MonoTime, heartbeat: HeartbeatMessage) -> bool {
        if heartbeat.name == self.this.name {
            return false;
        }
        let known = self.members.get(&heartbeat.name);
        let is_other_run =
            known.is_none_or(|known| known.record.incarnation != heartbeat.incarnation);
        if let Some(known) = known
            && known.record.incarnation > heartbeat.incarnation
            && known.heard.as_ref().is_some_and(|(at, _)| now.since(*at) <= HEARTBEAT_TIMEOUT)
        {
            return false;
        }
        if is_other_run {
            // A process that started again has the addresses of the one before.
            let known_record = known.map(|known| MemberRecord {
                incarnation: heartbeat.incarnation,
                ..known.record.clone()
            });
            let Some(record) = heartbeat.record.clone().or(known_record) else {
                return false;
            };
            let is_registered = known.is_some_and(|known| known.is_registered);
            let state = MemberState { record, is_registered, heard: None, expected_since: None };
            self.members.insert(heartbeat.name.clone(), state);
        }
        let Some(state) = self.members.get_mut(&heartbeat.name) else {
            return false;
        };
        let was_silent =
            state.heard.as_ref().is_none_or(|(at, _)| now.since(*at) > HEARTBEAT_TIMEOUT);
        state.heard = Some((now, heartbeat));
        was_silent
    }

    /// All members in rank order, this one included. Forgets those known by old heartbeats alone.
    pub fn views(&mut self, now: MonoTime) -> Vec<MemberView> {
        self.members.retain(|_, state| {
            state.is_registered
                || state.heard.as_ref().is_some_and(|(at, _)| now.since(*at) < UNLISTED_SPAN)
        });
        let this = MemberView { record: self.this.clone(), is_usable: self.is_ready };
        let mut views: Vec<MemberView> = self
            .members
            .values()
            .map(|state| MemberView { record: state.record.clone(), is_usable: true })
            .chain([this])
            .collect();
        views = rank_members(&views).into_iter().cloned().collect();
        self.judge(now, &mut views);
        views
    }

    /// Decides who is usable, in rank order. The first `senders` that are not silent and the first of
    /// each data centre should be heard.
    fn judge(&mut self, now: MonoTime, views: &mut [MemberView]) {
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
            let is_expected = expected < self.senders || !centres.contains(&centre);
            if !is_expected {
                state.expected_since = None;
            } else if state.expected_since.is_none() {
                state.expected_since = Some(now);
            }
            let heard_at = state.heard.as_ref().map(|(at, _)| *at);
            let reference = state.expected_since.max(heard_at);
            let is_silent =
                is_expected && reference.is_some_and(|at| now.since(at) > HEARTBEAT_TIMEOUT);
            let is_recent = heard_at.is_some_and(|at| now.since(at) <= HEARTBEAT_TIMEOUT);
            let says_ready = state.heard.as_ref().is_none_or(|(_, heartbeat)| heartbeat.is_ready);
            view.is_usable = !is_silent && (says_ready || (!is_recent && !is_expected));
            expected += usize::from(!is_silent);
            if view.is_usable {
                centres.insert(centre);
            }
        }
    }

    /// The latest heartbeats that are not too old, with the records of their senders.
    pub fn recent_heartbeats(
        &self,
        now: MonoTime,
    ) -> impl Iterator<Item = (&MemberRecord, &HeartbeatMessage)> {
        self.members.values().filter_map(move |state| {
            let (at, heartbeat) = state.heard.as_ref()?;
            (now.since(*at) <= HEARTBEAT_TIMEOUT).then_some((&state.record, heartbeat))
        })
    }

    /// Instances whose latest heartbeat tells of changes after a revision.
    pub fn ahead_of(&self, now: MonoTime, after: StoreRevision) -> Vec<MemberRecord> {
        let newer = self.recent_heartbeats(now).filter(|(_, heartbeat)| heartbeat.as_of > after);
        newer.map(|(record, _)| record.clone()).collect()
    }

    /// Records of all other instances that are known.
    pub fn others(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|state| &state.record)
    }

    /// The newest incarnation that is known of an instance.
    pub fn incarnation(&self, name: &InstanceName) -> Option<IncarnationId> {
        self.members.get(name).map(|state| state.record.incarnation)
    }
}
