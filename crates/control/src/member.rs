//! Which instances there are, from heartbeats, other instances' digests and the platform's list.

use model::{ConfigVersion, DigestLine, InstanceName, InstanceRecord, InstanceState, MonoTime};
use std::collections::BTreeMap;
use std::time::Duration;

/// A member whose heartbeats stand still for this long is gone.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A gone member that the platform does not list any more is forgotten after this long.
pub const FORGET_AFTER: Duration = Duration::from_secs(15);

/// Whether a member's heartbeats arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberStatus {
    /// They arrive.
    Alive,
    /// They stopped.
    Gone,
}

/// A member and what is known of it.
#[derive(Debug, Clone)]
pub struct FleetMember {
    /// Addresses, data centre, incarnation and state.
    pub record: InstanceRecord,
    /// Whether its heartbeats arrive.
    pub status: MemberStatus,
    /// The version in force there.
    pub version: ConfigVersion,
    /// When this instance learned of that version.
    pub version_at: MonoTime,
    beat: u64,
    beat_at: MonoTime,
    listed: bool,
}

/// What a merge of news about a member changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberChange {
    /// Nothing that others need to act on.
    Same,
    /// It appeared, came back, restarted or changed its state.
    Changed,
    /// Its addresses are not known here.
    Unknown,
}

/// All members but this instance itself.
#[derive(Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<InstanceName, FleetMember>,
}

impl MemberTable {
    /// All members, gone ones included.
    pub fn known(&self) -> impl Iterator<Item = &FleetMember> {
        self.members.values()
    }

    /// A member by name.
    pub fn get(&self, name: &InstanceName) -> Option<&FleetMember> {
        self.members.get(name)
    }

    /// Takes over a record. An older incarnation never replaces a newer one.
    pub fn merge_record(
        &mut self,
        now: MonoTime,
        record: &InstanceRecord,
        listed: bool,
    ) -> MemberChange {
        let Some(member) = self.members.get_mut(&record.name) else {
            let member = FleetMember {
                record: record.clone(),
                status: MemberStatus::Alive,
                version: ConfigVersion(0),
                version_at: now,
                beat: 0,
                beat_at: now,
                listed,
            };
            self.members.insert(record.name.clone(), member);
            return MemberChange::Changed;
        };
        member.listed |= listed;
        if record.incarnation < member.record.incarnation {
            return MemberChange::Same;
        }
        if record.incarnation > member.record.incarnation {
            member.record = record.clone();
            member.status = MemberStatus::Alive;
            member.beat = 0;
            member.beat_at = now;
            return MemberChange::Changed;
        }
        // The list may lag, so it can only add that a member is leaving, never take it back.
        let leaves =
            record.state == InstanceState::Leaving && member.record.state == InstanceState::Live;
        if leaves {
            member.record.state = InstanceState::Leaving;
            return MemberChange::Changed;
        }
        MemberChange::Same
    }

    /// Takes over a line of another instance's digest.
    pub fn merge_line(&mut self, now: MonoTime, line: &DigestLine) -> MemberChange {
        let Some(member) = self.members.get_mut(&line.name) else {
            return MemberChange::Unknown;
        };
        if line.incarnation < member.record.incarnation {
            return MemberChange::Same;
        }
        if line.incarnation > member.record.incarnation {
            return MemberChange::Unknown;
        }
        if line.version > member.version {
            member.version = line.version;
            member.version_at = now;
        }
        if line.beat <= member.beat {
            return MemberChange::Same;
        }
        member.beat = line.beat;
        member.beat_at = now;
        let came_back = member.status == MemberStatus::Gone;
        member.status = MemberStatus::Alive;
        let leaves =
            line.state == InstanceState::Leaving && member.record.state == InstanceState::Live;
        if leaves {
            member.record.state = InstanceState::Leaving;
        }
        if came_back || leaves { MemberChange::Changed } else { MemberChange::Same }
    }

    /// Marks the members that the platform's list holds.
    pub fn note_listed(&mut self, records: &[InstanceRecord]) {
        for member in self.members.values_mut() {
            member.listed = records.iter().any(|record| record.name == member.record.name);
        }
    }

    /// Marks members whose heartbeats stopped and gives their names; forgets old ones.
    pub fn expire(&mut self, now: MonoTime) -> Vec<InstanceName> {
        let mut gone = Vec::new();
        for member in self.members.values_mut() {
            let silent = now.since(member.beat_at) >= HEARTBEAT_TIMEOUT;
            if silent && member.status == MemberStatus::Alive {
                member.status = MemberStatus::Gone;
                gone.push(member.record.name.clone());
            }
        }
        self.members.retain(|_, member| member.listed || now.since(member.beat_at) < FORGET_AFTER);
        gone
    }

    /// Restarts the silence spans after this instance itself did not run for a while, since it
    /// could not hear the others then.
    pub fn reset_heartbeat_timers(&mut self, now: MonoTime) {
        for member in self.members.values_mut() {
            member.beat_at = now;
        }
    }

    /// Lines for a digest. Gone members are left out, so that stale news of them dies out.
    pub fn lines(&self) -> impl Iterator<Item = DigestLine> {
        self.members.values().filter(|member| member.status == MemberStatus::Alive).map(|member| {
            DigestLine {
                name: member.record.name.clone(),
                incarnation: member.record.incarnation,
                beat: member.beat,
                state: member.record.state,
                version: member.version,
            }
        })
    }
}
