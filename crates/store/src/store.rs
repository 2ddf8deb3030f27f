//! The trait that stands for the platform.

use futures::future::BoxFuture;
use model::{IncarnationId, InstanceName, InstanceRecord, Leaving, Millis, StoreRevision};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::fmt;

/// A call in progress.
pub type StoreFuture<'a, T> = BoxFuture<'a, Result<T, StoreError>>;

/// Key of a value in the store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StoreKey(pub SmolStr);

impl StoreKey {
    /// The key that holds the configuration document.
    pub fn config() -> Self {
        Self(SmolStr::new_static("config"))
    }
}

impl fmt::Display for StoreKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Identifies a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A value with the revision of its last write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredValue {
    /// Grows with each write to any key.
    pub revision: StoreRevision,
    /// The value, a text of at most a megabyte.
    pub value: SmolStr,
}

/// A failed call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The key has another revision than expected; nothing was written.
    Conflict(StoreRevision),
    /// The lease lapsed or is held by another; nothing was written.
    LeaseLost,
    /// The call did not reach the platform, or the platform refused it.
    NotApplied(SmolStr),
    /// No reply arrived; a write may take effect now or later.
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

/// A backend server as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedServer {
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// Whether the platform is about to stop it.
    pub leaving: bool,
}

/// The platform's list of instances; it lags behind the truth both ways.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Entry instances.
    pub entries: Vec<InstanceRecord>,
    /// Instances of backend servers.
    pub servers: Vec<ListedServer>,
}

/// The platform's services as the project uses them.
pub trait PlatformStore: Send + Sync {
    /// Reads a value.
    fn read<'a>(&'a self, key: &'a StoreKey) -> StoreFuture<'a, Option<StoredValue>>;

    /// Writes a value if the key still has the expected revision, zero for a missing key.
    fn swap<'a>(
        &'a self,
        key: &'a StoreKey,
        expected: StoreRevision,
        value: SmolStr,
    ) -> StoreFuture<'a, StoreRevision>;

    /// Waits until the key's revision exceeds `after`, at most `wait`; gives none if it did not.
    fn watch<'a>(
        &'a self,
        key: &'a StoreKey,
        after: StoreRevision,
        wait: Millis,
    ) -> StoreFuture<'a, Option<StoredValue>>;

    /// Takes the lease on a key for `ttl` unless another holder has it.
    fn grant_lease<'a>(
        &'a self,
        key: &'a StoreKey,
        holder: IncarnationId,
        ttl: Millis,
    ) -> StoreFuture<'a, LeaseId>;

    /// Extends a lease by `ttl` from now.
    fn keep_lease<'a>(
        &'a self,
        key: &'a StoreKey,
        lease: LeaseId,
        ttl: Millis,
    ) -> StoreFuture<'a, ()>;

    /// Reads the platform's list of instances.
    fn list_instances(&self) -> StoreFuture<'_, InstanceList>;

    /// Tells the platform of this instance; the record vanishes from the list after `ttl`.
    fn announce<'a>(&'a self, record: &'a InstanceRecord, ttl: Millis) -> StoreFuture<'a, ()>;

    /// Takes this instance off the platform's list.
    fn withdraw<'a>(&'a self, name: &'a InstanceName) -> StoreFuture<'a, ()>;
}

/// Leaving backend servers among those of a document, as the platform's list tells them.
pub fn leaving_servers(list: &InstanceList, document: &model::ConfigDocument) -> Vec<Leaving> {
    let leaving: Vec<_> =
        list.servers.iter().filter(|server| server.leaving).map(|server| server.address).collect();
    let mut found = Vec::new();
    for (service, config) in &document.services {
        for (name, server) in &config.servers {
            if leaving.contains(&server.address) {
                found.push(Leaving {
                    service: service.clone(),
                    server: name.clone(),
                    incarnation: server.incarnation,
                });
            }
        }
    }
    found
}
