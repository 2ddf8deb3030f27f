//! Which instances there are, from heartbeats, other instances' digests and the platform's list.

use model::{ConfigVersion, DigestLine, InstanceName, InstanceRecord, InstanceState, MonoTime};
use std::collections::BTreeMap;
use std::time::Duration;

/// A member whose heartbeats stand still for this long is gone.
pub const SILENCE_SPAN: Duration = Duration::from_millis(2_500);
/// A gone member that the platform does not list any more is forgotten after this long.
pub const FORGET_SPAN: Duration = Duration::from_secs(15);

/// Whether a member's heartbeats arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberLife {
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
    pub life: MemberLife,
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
pub enum MemberNews {
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
    ) -> MemberNews {
        let Some(member) = self.members.get_mut(&record.name) else {
            let member = FleetMember {
                record: record.clone(),
                life: MemberLife::Alive,
                version: ConfigVersion(0),
                version_at: now,
                beat: 0,
                beat_at: now,
                listed,
            };
            self.members.insert(record.name.clone(), member);
            return MemberNews::Changed;
        };
        member.listed |= listed;
        if record.incarnation < member.record.incarnation {
            return MemberNews::Same;
        }
        if record.incarnation > member.record.incarnation {
            member.record = record.clone();
            member.life = MemberLife::Alive;
            member.beat = 0;
            member.beat_at = now;
            return MemberNews::Changed;
        }
        // The list may lag, so it can only add that a member is leaving, never take it back.
        let leaves =
            record.state == InstanceState::Leaving && member.record.state == InstanceState::Live;
        if leaves {
            member.record.state = InstanceState::Leaving;
            return MemberNews::Changed;
        }
        MemberNews::Same
    }

    /// Takes over a line of another instance's digest.
    pub fn merge_line(&mut self, now: MonoTime, line: &DigestLine) -> MemberNews {
        let Some(member) = self.members.get_mut(&line.name) else {
            return MemberNews::Unknown;
        };
        if line.incarnation < member.record.incarnation {
            return MemberNews::Same;
        }
        if line.incarnation > member.record.incarnation {
            return MemberNews::Unknown;
        }
        if line.version > member.version {
            member.version = line.version;
            member.version_at = now;
        }
        if line.beat <= member.beat {
            return MemberNews::Same;
        }
        member.beat = line.beat;
        member.beat_at = now;
        let came_back = member.life == MemberLife::Gone;
        member.life = MemberLife::Alive;
        let leaves =
            line.state == InstanceState::Leaving && member.record.state == InstanceState::Live;
        if leaves {
            member.record.state = InstanceState::Leaving;
        }
        if came_back || leaves { MemberNews::Changed } else { MemberNews::Same }
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
            let silent = now.since(member.beat_at) >= SILENCE_SPAN;
            if silent && member.life == MemberLife::Alive {
                member.life = MemberLife::Gone;
                gone.push(member.record.name.clone());
            }
        }
        self.members.retain(|_, member| member.listed || now.since(member.beat_at) < FORGET_SPAN);
        gone
    }

    /// Restarts the silence spans after this instance itself did not run for a while, since it
    /// could not hear the others then.
    pub fn forgive_silence(&mut self, now: MonoTime) {
        for member in self.members.values_mut() {
            member.beat_at = now;
        }
    }

    /// Lines for a digest. Gone members are left out, so that stale news of them dies out.
    pub fn lines(&self) -> impl Iterator<Item = DigestLine> {
        self.members.values().filter(|member| member.life == MemberLife::Alive).map(|member| {
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
