//! Interface to a platform with a key-value store, leases and a list of instances.

use futures::future::BoxFuture;
use model::{IncarnationId, InstanceName, InstanceRecord, Leaving, Millis, StoreRevision};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::fmt;

/// Future of a call to the store, which may run on any thread.
pub type StoreFuture<'a, T> = BoxFuture<'a, Result<T, StoreError>>;

/// Key of a value in the store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StoreKey(pub SmolStr);

impl StoreKey {
    /// Returns the key of the configuration document.
    pub fn config() -> Self {
        Self(SmolStr::new_static("config"))
    }
}

impl fmt::Display for StoreKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Identifier of a lease, assigned by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A value with the revision of its last write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredValue {
    /// Revision of the last write to the key. Each write to any key increases the store's revision.
    pub revision: StoreRevision,
    /// Text of at most one megabyte.
    pub value: SmolStr,
}

/// A failed call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The key has this revision instead of the expected one; nothing was written.
    Conflict(StoreRevision),
    /// The lease expired or has another holder; nothing was written.
    LeaseLost,
    /// The call did not reach the platform or was refused by it, with the cause; nothing was written.
    NotApplied(SmolStr),
    /// No usable reply arrived, with the cause; a write may have taken effect or still do so.
    MayBeApplied(SmolStr),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(revision) => write!(f, "conflict: the key is at revision {revision}"),
            Self::LeaseLost => f.write_str("lease lost"),
            Self::NotApplied(cause) => write!(f, "not applied: {cause}"),
            Self::MayBeApplied(cause) => write!(f, "may be applied: {cause}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// A backend server in the platform's list of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedServer {
    /// Address on which the server listens.
    pub address: std::net::SocketAddr,
    /// Whether the platform is about to stop the server.
    pub leaving: bool,
}

/// The platform's list of instances. It may lack running instances and contain stopped ones.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Instances of the load balancer.
    pub entries: Vec<InstanceRecord>,
    /// Backend servers of all services.
    pub servers: Vec<ListedServer>,
}

/// Calls to the platform. All errors are [`StoreError`].
pub trait PlatformStore: Send + Sync {
    /// Reads the value of a key; `None` if the key is missing.
    fn read<'a>(&'a self, key: &'a StoreKey) -> StoreFuture<'a, Option<StoredValue>>;

    /// Writes a value if the key still has the expected revision, which is zero for a missing key.
    /// Returns the new revision.
    fn swap<'a>(
        &'a self,
        key: &'a StoreKey,
        expected: StoreRevision,
        value: SmolStr,
    ) -> StoreFuture<'a, StoreRevision>;

    /// Waits until the key's revision exceeds `after`, for at most `wait`. Returns the new value, or
    /// `None` if there was none in that time.
    fn watch<'a>(
        &'a self,
        key: &'a StoreKey,
        after: StoreRevision,
        wait: Millis,
    ) -> StoreFuture<'a, Option<StoredValue>>;

    /// Acquires the lease on a key for `ttl`; fails if another holder has it.
    fn grant_lease<'a>(
        &'a self,
        key: &'a StoreKey,
        holder: IncarnationId,
        ttl: Millis,
    ) -> StoreFuture<'a, LeaseId>;

    /// Extends a lease to `ttl` from now.
    fn keep_lease<'a>(
        &'a self,
        key: &'a StoreKey,
        lease: LeaseId,
        ttl: Millis,
    ) -> StoreFuture<'a, ()>;

    /// Reads the platform's list of instances.
    fn list_instances(&self) -> StoreFuture<'_, InstanceList>;

    /// Adds this instance to the platform's list; its record expires after `ttl`.
    fn announce<'a>(&'a self, record: &'a InstanceRecord, ttl: Millis) -> StoreFuture<'a, ()>;

    /// Removes this instance from the platform's list.
    fn withdraw<'a>(&'a self, name: &'a InstanceName) -> StoreFuture<'a, ()>;
}

/// Returns the servers of `document` that `list` marks as leaving, matched by address.
pub fn leaving_servers(list: &InstanceList, document: &model::ConfigDocument) -> Vec<Leaving> {
    let leaving_addresses: Vec<_> =
        list.servers.iter().filter(|server| server.leaving).map(|server| server.address).collect();
    let mut leaving = Vec::new();
    for (service, config) in &document.services {
        for (name, server) in &config.servers {
            if leaving_addresses.contains(&server.address) {
                leaving.push(Leaving {
                    service: service.clone(),
                    server: name.clone(),
                    incarnation: server.incarnation,
                });
            }
        }
    }
    leaving
}
