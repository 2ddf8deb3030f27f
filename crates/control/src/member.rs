//! Tracks the other instances, from heartbeats, digests and the platform's list of instances.

use model::{ConfigVersion, DigestLine, InstanceName, InstanceRecord, InstanceState, MonoTime};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time without a new heartbeat after which a member is gone.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time since its last heartbeat after which a member that the platform does not list is removed.
pub const UNLISTED_MEMBER_TTL: Duration = Duration::from_secs(15);

/// Liveness of a member, as this instance sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberStatus {
    /// New heartbeats arrive.
    Alive,
    /// No new heartbeat arrived within [`HEARTBEAT_TIMEOUT`].
    Gone,
}

/// State of another instance, as far as known here.
#[derive(Debug, Clone)]
pub struct FleetMember {
    /// Addresses, data centre, incarnation and state of the instance.
    pub record: InstanceRecord,
    /// Liveness of the instance.
    pub status: MemberStatus,
    /// Configuration version in force there; zero if unknown.
    pub version: ConfigVersion,
    /// Time at which this version became known here.
    pub version_at: MonoTime,
    /// Highest heartbeat number received.
    heartbeat_sequence: u64,
    heartbeat_at: MonoTime,
    /// Whether the platform's list contains the instance.
    listed: bool,
}

/// Result of merging a record or digest line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberChange {
    /// Neither the membership nor a member's state changed.
    Same,
    /// The member appeared, came back, restarted or changed its state.
    Changed,
    /// The record of this member or of its new incarnation is not known here.
    Unknown,
}

/// All instances but this one.
#[derive(Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<InstanceName, FleetMember>,
}

impl MemberTable {
    /// Iterates over all members, gone ones included.
    pub fn known(&self) -> impl Iterator<Item = &FleetMember> {
        self.members.values()
    }

    /// Returns a member by name.
    pub fn get(&self, name: &InstanceName) -> Option<&FleetMember> {
        self.members.get(name)
    }

    /// Merges a record. An older incarnation never replaces a newer one. `listed` is whether the
    /// record comes from the platform's list.
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
                heartbeat_sequence: 0,
                heartbeat_at: now,
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
            member.heartbeat_sequence = 0;
            member.heartbeat_at = now;
            return MemberChange::Changed;
        }
        // A record may be out of date, so it can mark a member as leaving but never undo that.
        let is_now_leaving =
            record.state == InstanceState::Leaving && member.record.state == InstanceState::Live;
        if is_now_leaving {
            member.record.state = InstanceState::Leaving;
            return MemberChange::Changed;
        }
        MemberChange::Same
    }

    /// Merges a line of another instance's digest.
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
        if line.beat <= member.heartbeat_sequence {
            return MemberChange::Same;
        }
        member.heartbeat_sequence = line.beat;
        member.heartbeat_at = now;
        let came_back = member.status == MemberStatus::Gone;
        member.status = MemberStatus::Alive;
        let is_now_leaving =
            line.state == InstanceState::Leaving && member.record.state == InstanceState::Live;
        if is_now_leaving {
            member.record.state = InstanceState::Leaving;
        }
        if came_back || is_now_leaving { MemberChange::Changed } else { MemberChange::Same }
    }

    /// Records which members the platform's list contains.
    pub fn mark_listed(&mut self, records: &[InstanceRecord]) {
        for member in self.members.values_mut() {
            member.listed = records.iter().any(|record| record.name == member.record.name);
        }
    }

    /// Marks members without recent heartbeats as gone and returns the names of the newly gone.
    /// Removes those that are unlisted and past [`UNLISTED_MEMBER_TTL`].
    pub fn expire(&mut self, now: MonoTime) -> Vec<InstanceName> {
        let mut gone = Vec::new();
        for member in self.members.values_mut() {
            let timed_out = now.since(member.heartbeat_at) >= HEARTBEAT_TIMEOUT;
            if timed_out && member.status == MemberStatus::Alive {
                member.status = MemberStatus::Gone;
                gone.push(member.record.name.clone());
            }
        }
        self.members.retain(|_, member| {
            member.listed || now.since(member.heartbeat_at) < UNLISTED_MEMBER_TTL
        });
        gone
    }

    /// Restarts the heartbeat timeout of all members. Used after this process was paused and could
    /// not receive heartbeats.
    pub fn reset_heartbeat_timers(&mut self, now: MonoTime) {
        for member in self.members.values_mut() {
            member.heartbeat_at = now;
        }
    }

    /// Returns the lines of a digest. Gone members are left out, so that instances stop passing on
    /// outdated state.
    pub fn lines(&self) -> impl Iterator<Item = DigestLine> {
        self.members.values().filter(|member| member.status == MemberStatus::Alive).map(|member| {
            DigestLine {
                name: member.record.name.clone(),
                incarnation: member.record.incarnation,
                beat: member.heartbeat_sequence,
                state: member.record.state,
                version: member.version,
            }
        })
    }
}
