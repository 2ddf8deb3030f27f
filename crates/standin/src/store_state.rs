//! State of the stand-in store: values, leases and the lagging list of instances.

use model::{IncarnationId, InstanceName, InstanceRecord, Millis, StoreRevision};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use store::store::{InstanceList, LeaseId, ListedServer, StoreKey, StoredValue};

/// Faults of the store that can be switched on. The default is no fault.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreFaults {
    /// Delay added to each call.
    pub slow: Millis,
    /// Calls are refused with status 503.
    pub down: bool,
    /// Calls get no reply.
    pub hang: bool,
    /// Number of next writes that take effect but get no reply.
    pub lose_replies: u32,
    /// Number of next writes that get no reply and take effect only after `late_by`.
    pub late_writes: u32,
    /// Delay after which the writes counted by `late_writes` take effect.
    pub late_by: Millis,
    /// Watches get no reply, even after a change.
    pub silent_watches: bool,
}

struct HeldLease {
    id: LeaseId,
    holder: IncarnationId,
    expires: Instant,
}

struct AnnouncedInstance {
    record: InstanceRecord,
    expires: Instant,
}

/// Values, leases, and the lists of entry instances and backend servers.
#[derive(Default)]
pub struct StoreState {
    values: BTreeMap<StoreKey, StoredValue>,
    revision: u64,
    leases: BTreeMap<StoreKey, HeldLease>,
    next_lease: u64,
    entries: BTreeMap<InstanceName, AnnouncedInstance>,
    servers: BTreeMap<SocketAddr, ListedServer>,
    /// Recent lists, each with the time from which it was current, oldest first.
    history: VecDeque<(Instant, InstanceList)>,
}

impl StoreState {
    /// Returns the value of a key, if it has one.
    pub fn read(&self, key: &StoreKey) -> Option<StoredValue> {
        self.values.get(key).cloned()
    }

    /// Writes a value if the key has the expected revision; a missing key has the default revision.
    /// Returns the new revision.
    ///
    /// # Errors
    /// The key has another revision, which is returned; nothing was written.
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

    /// Grants the lease on a key, unless another holder has it. Returns its id.
    pub fn grant_lease(
        &mut self,
        now: Instant,
        key: &StoreKey,
        holder: IncarnationId,
        ttl: Millis,
    ) -> Option<LeaseId> {
        let held = self.leases.get(key).filter(|lease| now < lease.expires);
        if held.is_some_and(|lease| lease.holder != holder) {
            return None;
        }
        self.next_lease += 1;
        let id = LeaseId(self.next_lease);
        let lease = HeldLease { id, holder, expires: now + ttl.duration() };
        self.leases.insert(key.clone(), lease);
        Some(id)
    }

    /// Extends a lease by `ttl` from now. Returns whether the lease was still valid.
    pub fn keep_lease(&mut self, now: Instant, key: &StoreKey, id: LeaseId, ttl: Millis) -> bool {
        let lease = self.leases.get_mut(key).filter(|lease| lease.id == id && now < lease.expires);
        let Some(lease) = lease else {
            return false;
        };
        lease.expires = now + ttl.duration();
        true
    }

    /// Expires all leases.
    pub fn expire_leases(&mut self) {
        self.leases.clear();
    }

    /// Registers an entry instance until `ttl` expires.
    pub fn announce(&mut self, now: Instant, record: InstanceRecord, ttl: Millis) {
        let expires = now + ttl.duration();
        self.entries.insert(record.name.clone(), AnnouncedInstance { record, expires });
        self.record_history(now);
    }

    /// Removes an entry instance from the list.
    pub fn withdraw(&mut self, now: Instant, name: &InstanceName) {
        self.entries.remove(name);
        self.record_history(now);
    }

    /// Registers a backend server, or replaces its entry.
    pub fn register_server(&mut self, now: Instant, server: ListedServer) {
        self.servers.insert(server.address, server);
        self.record_history(now);
    }

    /// Returns the list that was current `lag` ago; empty if none was recorded by then.
    pub fn instances(&mut self, now: Instant, lag: Duration) -> InstanceList {
        self.record_history(now);
        let was_current = |from: &Instant| now.saturating_duration_since(*from) >= lag;
        while self.history.len() > 1 && was_current(&self.history[1].0) {
            self.history.pop_front();
        }
        let oldest = self.history.front();
        oldest
            .filter(|(from, _)| was_current(from))
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }

    /// Removes expired entry instances and records the list in the history if it changed.
    fn record_history(&mut self, now: Instant) {
        self.entries.retain(|_, entry| now < entry.expires);
        let list = InstanceList {
            entries: self.entries.values().map(|entry| entry.record.clone()).collect(),
            servers: self.servers.values().cloned().collect(),
        };
        if self.history.back().is_none_or(|(_, last)| *last != list) {
            self.history.push_back((now, list));
        }
    }
}
