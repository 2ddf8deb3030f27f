//! Lists instances in the store on behalf of others. Each call to the store is priced, so one instance
//! gathers the announcements of many and writes them together.
//!
//! Leases are not renewed: an instance announces itself again from time to time, under a newer lease,
//! and the record of one that does not lapses with the lease it was written under.

use crate::record::MemberRecord;
use model::{InstanceName, MonoTime};
use std::collections::BTreeMap;
use std::time::Duration;

/// Life of a lease; the longest that the platform grants.
pub const LEASE_TTL: Duration = Duration::from_secs(600);
/// How long records are written under one lease, so that each record lives at least twice as long as
/// the time between two announcements.
const LEASE_USE: Duration = Duration::from_secs(180);
/// Time between two announcements of an instance that is listed.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(190);
/// How long announcements of instances that are not listed are gathered. Instances that start
/// together do so within this time.
const GATHER_NEW: Duration = Duration::from_millis(200);
/// How long announcements of instances that are listed already are gathered.
const GATHER_KNOWN: Duration = Duration::from_secs(20);
/// Most records in one write.
pub const BATCH_RECORDS_MAX: usize = 32;

/// Announcements that wait to be written.
#[derive(Debug, Clone, Default)]
pub struct MemberRegistrar {
    waiting: BTreeMap<InstanceName, MemberRecord>,
    due: Option<MonoTime>,
    lease_taken: Option<MonoTime>,
}

impl MemberRegistrar {
    /// Takes an announcement. `is_registered` tells whether the store has one of the instance.
    pub fn enqueue(&mut self, now: MonoTime, record: MemberRecord, is_registered: bool) {
        let due = now.plus(if is_registered { GATHER_KNOWN } else { GATHER_NEW });
        self.due = Some(self.due.map_or(due, |earlier| earlier.min(due)));
        let known = self.waiting.get(&record.name);
        if known.is_none_or(|known| known.incarnation <= record.incarnation) {
            self.waiting.insert(record.name.clone(), record);
        }
    }

    /// Whether an announcement of the instance waits.
    pub fn is_waiting(&self, name: &InstanceName) -> bool {
        self.waiting.contains_key(name)
    }

    /// How long until records are to be written, or none if none wait.
    pub fn due_in(&self, now: MonoTime) -> Option<Duration> {
        let due = self.due?;
        Some(if self.waiting.len() >= BATCH_RECORDS_MAX { Duration::ZERO } else { due.since(now) })
    }

    /// The records that are to be written now, at most as many as fit one write.
    pub fn next_batch(&self, now: MonoTime) -> Vec<MemberRecord> {
        match self.due_in(now) {
            Some(Duration::ZERO) => {
                self.waiting.values().take(BATCH_RECORDS_MAX).cloned().collect()
            }
            _ => Vec::new(),
        }
    }

    /// Takes note that records were written.
    pub fn record_written(&mut self, batch: &[MemberRecord]) {
        for record in batch {
            let is_same =
                self.waiting.get(&record.name).is_some_and(|w| w.incarnation == record.incarnation);
            if is_same {
                self.waiting.remove(&record.name);
            }
        }
        if self.waiting.is_empty() {
            self.due = None;
        }
    }

    /// Gives up all that waits; the instances announce themselves again, here or elsewhere.
    pub fn clear(&mut self) {
        self.waiting.clear();
        self.due = None;
    }

    /// Whether a new lease is to be taken before the next write.
    pub fn needs_lease(&self, now: MonoTime) -> bool {
        self.lease_taken.is_none_or(|taken| now.since(taken) >= LEASE_USE)
    }

    /// Takes note of a new lease, or that the present one ended early.
    pub fn set_lease(&mut self, taken: Option<MonoTime>) {
        self.lease_taken = taken;
    }
}
