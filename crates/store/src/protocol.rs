//! Paths and bodies of the platform's HTTP/JSON protocol. Field names are part of the protocol.

use crate::store::{LeaseId, StoreKey};
use model::{IncarnationId, InstanceRecord, Millis, StoreRevision};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Reads a value: `POST` with a [`ReadBody`].
pub const READ_PATH: &str = "/v1/read";
/// Compares and swaps: `POST` with a [`SwapBody`].
pub const SWAP_PATH: &str = "/v1/swap";
/// Waits for a newer value: `POST` with a [`WatchBody`].
pub const WATCH_PATH: &str = "/v1/watch";
/// Acquires a lease: `POST` with a [`GrantBody`].
pub const GRANT_PATH: &str = "/v1/lease/grant";
/// Extends a lease: `POST` with a [`KeepBody`].
pub const KEEP_PATH: &str = "/v1/lease/keep";
/// Lists instances: `GET`.
pub const INSTANCES_PATH: &str = "/v1/instances";
/// Announces an instance: `POST` with an [`AnnounceBody`].
pub const ANNOUNCE_PATH: &str = "/v1/instances/announce";
/// Withdraws an instance: `POST` with its name.
pub const WITHDRAW_PATH: &str = "/v1/instances/withdraw";

/// Body of a read.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadBody {
    /// Key to read.
    pub key: StoreKey,
}

/// Body of a compare-and-swap.
#[derive(Debug, Serialize, Deserialize)]
pub struct SwapBody {
    /// Key to write.
    pub key: StoreKey,
    /// Revision that the key must still have; zero for a missing key.
    pub expected: StoreRevision,
    /// The new value.
    pub value: SmolStr,
}

/// Body of a watch.
#[derive(Debug, Serialize, Deserialize)]
pub struct WatchBody {
    /// Key to watch.
    pub key: StoreKey,
    /// Revision that the key must exceed; the last one that the watcher knows.
    pub after: StoreRevision,
    /// Maximum time to wait.
    pub wait: Millis,
}

/// Body of a call that acquires a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct GrantBody {
    /// Key that the lease protects.
    pub key: StoreKey,
    /// Incarnation that would hold the lease.
    pub holder: IncarnationId,
    /// Lifetime of the lease.
    pub ttl: Millis,
}

/// Body of a call that extends a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct KeepBody {
    /// Key that the lease protects.
    pub key: StoreKey,
    /// Lease to extend.
    pub lease: LeaseId,
    /// New lifetime, counted from now.
    pub ttl: Millis,
}

/// Body of an announcement.
#[derive(Debug, Serialize, Deserialize)]
pub struct AnnounceBody {
    /// Record of the announced instance.
    pub record: InstanceRecord,
    /// Time after which the platform drops the record.
    pub ttl: Millis,
}

/// Body of the platform's response to a conflicting write, with status 409.
#[derive(Debug, Serialize, Deserialize)]
pub struct ConflictBody {
    /// Current revision of the key.
    pub revision: StoreRevision,
}
