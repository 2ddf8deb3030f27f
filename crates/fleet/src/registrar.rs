//! Registers instances in the store on their behalf. Each call to the store is priced, so one instance
//! collects the records of many and writes them in batches.
//!
//! Leases are not renewed. Each instance announces itself periodically and its record is written again
//! under a newer lease; a record that is not written again expires with its lease.

use crate::record::MemberRecord;
use model::{InstanceName, MonoTime};
use std::collections::BTreeMap;
use std::time::Duration;

/// Lifetime of a lease, the longest that the platform grants.
pub const LEASE_TTL: Duration = Duration::from_secs(600);
/// How long records are written under one lease. The rest of [`LEASE_TTL`] is more than two
/// announcement intervals, so a record outlives one missed announcement.
const LEASE_USE_MAX: Duration = Duration::from_secs(180);
/// Time between two announcements of a registered instance.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(190);
/// How long a record of an unregistered instance waits for others to be written with it. Instances
/// that start together do so within this time.
const NEW_BATCH_DELAY: Duration = Duration::from_millis(200);
/// How long a record of a registered instance waits for others to be written with it.
const RENEWAL_BATCH_DELAY: Duration = Duration::from_secs(20);
/// Maximum number of records in one write.
pub const BATCH_RECORDS_MAX: usize = 32;

/// Records that wait to be written to the store.
#[derive(Debug, Clone, Default)]
pub struct MemberRegistrar {
    waiting: BTreeMap<InstanceName, MemberRecord>,
    /// Time of the next write; `None` if no record waits.
    due_at: Option<MonoTime>,
    /// Time at which the current lease was granted.
    lease_granted_at: Option<MonoTime>,
}

impl MemberRegistrar {
    /// Adds a record to those that wait, unless a newer one of the same instance waits already.
    /// `is_registered` says whether the store has a record of the instance.
    pub fn enqueue(&mut self, now: MonoTime, record: MemberRecord, is_registered: bool) {
        let due_at = now.plus(if is_registered { RENEWAL_BATCH_DELAY } else { NEW_BATCH_DELAY });
        self.due_at = Some(self.due_at.map_or(due_at, |earlier| earlier.min(due_at)));
        let known = self.waiting.get(&record.name);
        if known.is_none_or(|known| known.incarnation <= record.incarnation) {
            self.waiting.insert(record.name.clone(), record);
        }
    }

    /// Whether a record of the instance waits to be written.
    pub fn is_waiting(&self, name: &InstanceName) -> bool {
        self.waiting.contains_key(name)
    }

    /// Returns the time until the next write, zero if a whole batch waits; `None` if no record waits.
    pub fn due_in(&self, now: MonoTime) -> Option<Duration> {
        let due_at = self.due_at?;
        Some(if self.waiting.len() >= BATCH_RECORDS_MAX {
            Duration::ZERO
        } else {
            due_at.since(now)
        })
    }

    /// Returns the records to write now, at most [`BATCH_RECORDS_MAX`]; empty if no write is due.
    pub fn next_batch(&self, now: MonoTime) -> Vec<MemberRecord> {
        match self.due_in(now) {
            Some(Duration::ZERO) => {
                self.waiting.values().take(BATCH_RECORDS_MAX).cloned().collect()
            }
            _ => Vec::new(),
        }
    }

    /// Removes records that were written. One replaced by a newer incarnation meanwhile still waits.
    pub fn record_written(&mut self, batch: &[MemberRecord]) {
        for record in batch {
            let is_same =
                self.waiting.get(&record.name).is_some_and(|w| w.incarnation == record.incarnation);
            if is_same {
                self.waiting.remove(&record.name);
            }
        }
        if self.waiting.is_empty() {
            self.due_at = None;
        }
    }

    /// Drops the waiting record of an instance whose record was removed from the store: it has stopped,
    /// or it asks again.
    pub fn withdraw(&mut self, name: &InstanceName) {
        self.waiting.remove(name);
        if self.waiting.is_empty() {
            self.due_at = None;
        }
    }

    /// Drops all waiting records. Their instances announce themselves again, to this registrar or
    /// another.
    pub fn clear(&mut self) {
        self.waiting.clear();
        self.due_at = None;
    }

    /// Whether a new lease is needed before the next write.
    pub fn needs_lease(&self, now: MonoTime) -> bool {
        self.lease_granted_at.is_none_or(|granted_at| now.since(granted_at) >= LEASE_USE_MAX)
    }

    /// Records when a new lease was granted; `None` if the current one ended early.
    pub fn set_lease(&mut self, granted_at: Option<MonoTime>) {
        self.lease_granted_at = granted_at;
    }
}
