//! The state of the platform's stand-in: values, leases and the lagging list.

use model::{IncarnationId, InstanceName, InstanceRecord, Millis, StoreRevision};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use store::store::{InstanceList, LeaseId, ListedServer, StoreKey, StoredValue};

/// Faults that can be switched on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreFaults {
    /// Each call takes this much longer.
    pub slow: Millis,
    /// Calls are refused.
    pub down: bool,
    /// Calls are never answered.
    pub hang: bool,
    /// This many further writes take effect without a reply.
    pub lose_replies: u32,
    /// This many further writes get no reply and take effect only after `late_by`.
    pub late_writes: u32,
    /// How late those writes take effect.
    pub late_by: Millis,
    /// Watches never fire.
    pub silent_watches: bool,
}

struct HeldLease {
    id: LeaseId,
    holder: IncarnationId,
    until: Instant,
}

struct Announced {
    record: InstanceRecord,
    until: Instant,
}

/// Values, leases and instances.
#[derive(Default)]
pub struct StoreState {
    values: BTreeMap<StoreKey, StoredValue>,
    revision: u64,
    leases: BTreeMap<StoreKey, HeldLease>,
    next_lease: u64,
    entries: BTreeMap<InstanceName, Announced>,
    servers: BTreeMap<SocketAddr, ListedServer>,
    /// Earlier lists with the time from which each was true, oldest first.
    history: VecDeque<(Instant, InstanceList)>,
}

impl StoreState {
    /// A value.
    pub fn read(&self, key: &StoreKey) -> Option<StoredValue> {
        self.values.get(key).cloned()
    }

    /// Writes if the key has the expected revision.
    ///
    /// # Errors
    /// The revision that the key has.
    pub fn swap(
        &mut self,
        key: &StoreKey,
        expected: StoreRevision,
        value: SmolStr,
    ) -> Result<StoreRevision, StoreRevision> {
        let found = self.values.get(key).map(|stored| stored.revision).unwrap_or_default();
        if found != expected {
            return Err(found);
        }
        self.revision += 1;
        let revision = StoreRevision(self.revision);
        self.values.insert(key.clone(), StoredValue { revision, value });
        Ok(revision)
    }

    /// Takes a lease unless another holder has it.
    pub fn grant(
        &mut self,
        now: Instant,
        key: &StoreKey,
        holder: IncarnationId,
        ttl: Millis,
    ) -> Option<LeaseId> {
        let held = self.leases.get(key).filter(|lease| now < lease.until);
        if held.is_some_and(|lease| lease.holder != holder) {
            return None;
        }
        self.next_lease += 1;
        let id = LeaseId(self.next_lease);
        let lease = HeldLease { id, holder, until: now + ttl.duration() };
        self.leases.insert(key.clone(), lease);
        Some(id)
    }

    /// Extends a lease that has not lapsed.
    pub fn keep(&mut self, now: Instant, key: &StoreKey, id: LeaseId, ttl: Millis) -> bool {
        let lease = self.leases.get_mut(key).filter(|lease| lease.id == id && now < lease.until);
        let Some(lease) = lease else {
            return false;
        };
        lease.until = now + ttl.duration();
        true
    }

    /// Makes all leases lapse.
    pub fn lapse_leases(&mut self) {
        self.leases.clear();
    }

    /// Lists an entry instance.
    pub fn announce(&mut self, now: Instant, record: InstanceRecord, ttl: Millis) {
        let until = now + ttl.duration();
        self.entries.insert(record.name.clone(), Announced { record, until });
        self.remember(now);
    }

    /// Takes an entry instance off the list.
    pub fn withdraw(&mut self, now: Instant, name: &InstanceName) {
        self.entries.remove(name);
        self.remember(now);
    }

    /// Lists a backend server.
    pub fn register_server(&mut self, now: Instant, server: ListedServer) {
        self.servers.insert(server.address, server);
        self.remember(now);
    }

    /// The list as it was `lag` ago.
    pub fn instances(&mut self, now: Instant, lag: Duration) -> InstanceList {
        self.remember(now);
        let true_then = |from: &Instant| now.saturating_duration_since(*from) >= lag;
        while self.history.len() > 1 && true_then(&self.history[1].0) {
            self.history.pop_front();
        }
        let oldest = self.history.front();
        oldest.filter(|(from, _)| true_then(from)).map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn remember(&mut self, now: Instant) {
        self.entries.retain(|_, entry| now < entry.until);
        let list = InstanceList {
            entries: self.entries.values().map(|entry| entry.record.clone()).collect(),
            servers: self.servers.values().cloned().collect(),
        };
        if self.history.back().is_none_or(|(_, last)| *last != list) {
            self.history.push_back((now, list));
        }
    }
}
