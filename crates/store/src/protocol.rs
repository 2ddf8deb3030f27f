//! Paths and bodies of the platform's HTTP/JSON protocol.

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
/// Takes a lease: `POST` with a [`GrantBody`].
pub const GRANT_PATH: &str = "/v1/lease/grant";
/// Extends a lease: `POST` with a [`KeepBody`].
pub const KEEP_PATH: &str = "/v1/lease/keep";
/// Lists instances: `GET`.
pub const INSTANCES_PATH: &str = "/v1/instances";
/// Announces an instance: `POST` with an [`AnnounceBody`].
pub const ANNOUNCE_PATH: &str = "/v1/instances/announce";
/// Withdraws an instance: `POST` with its name.
pub const WITHDRAW_PATH: &str = "/v1/instances/withdraw";

/// Asks for a value.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadBody {
    /// The key.
    pub key: StoreKey,
}

/// Asks for a compare-and-swap.
#[derive(Debug, Serialize, Deserialize)]
pub struct SwapBody {
    /// The key.
    pub key: StoreKey,
    /// Its revision if nobody wrote since.
    pub expected: StoreRevision,
    /// The new value.
    pub value: SmolStr,
}

/// Asks to wait for a newer value.
#[derive(Debug, Serialize, Deserialize)]
pub struct WatchBody {
    /// The key.
    pub key: StoreKey,
    /// The last revision seen.
    pub after: StoreRevision,
    /// How long to wait.
    pub wait: Millis,
}

/// Asks for a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct GrantBody {
    /// The key that the lease protects.
    pub key: StoreKey,
    /// Who asks.
    pub holder: IncarnationId,
    /// How long it lasts.
    pub ttl: Millis,
}

/// Asks to extend a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct KeepBody {
    /// The key.
    pub key: StoreKey,
    /// The lease.
    pub lease: LeaseId,
    /// How long it lasts from now.
    pub ttl: Millis,
}

/// Announces an entry instance.
#[derive(Debug, Serialize, Deserialize)]
pub struct AnnounceBody {
    /// The instance.
    pub record: InstanceRecord,
    /// How long the announcement lasts.
    pub ttl: Millis,
}

/// The platform's answer to a conflicting write, with status 409.
#[derive(Debug, Serialize, Deserialize)]
pub struct ConflictBody {
    /// The key's revision.
    pub revision: StoreRevision,
}
