//! What instances tell each other.

use crate::record::MemberRecord;
use crate::replica::StoreChange;
use model::{ConfigVersion, IncarnationId, InstanceName, Millis, ServerName, StoreRevision};
use serde::{Deserialize, Serialize};

/// Longest datagram, in bytes; fits one Ethernet frame.
pub const DATAGRAM_MAX_BYTES: usize = 1400;

/// A heartbeat of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatMessage {
    /// The sender.
    pub name: InstanceName,
    /// Its run.
    pub incarnation: IncarnationId,
    /// Its record, now and then, for instances that do not have it from the store.
    pub record: Option<MemberRecord>,
    /// Whether callers may be sent to it.
    pub is_ready: bool,
    /// Whether its own calls to the store fail at present.
    pub store_lost: bool,
    /// How far its replica goes.
    pub as_of: StoreRevision,
    /// Age of the latest confirmation by the store that this is the newest revision.
    pub confirmed_age: Millis,
    /// The configuration in force at the sender.
    pub version: ConfigVersion,
}

/// Changes of the store, passed on as they are seen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// The revision that the changes follow.
    pub after: StoreRevision,
    /// The revision up to which they are complete.
    pub as_of: StoreRevision,
    /// Age of the store's confirmation of that revision.
    pub confirmed_age: Millis,
    /// The changes.
    pub changes: Vec<StoreChange>,
}

/// What a scout learned of one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRow {
    /// Names the run of the server; see [`server_tag`].
    pub server: u32,
    /// Requests that it works on.
    pub running: u8,
    /// Requests that wait there.
    pub waiting: u8,
    /// How many times longer than usual work takes, in tenths; zero if it did not answer well.
    pub pace_tenths: u8,
    /// Age of the report in milliseconds.
    pub age_ms: u8,
}

/// A short name for one run of a backend server. Two servers may share one by chance; a report is
/// then taken for both, which only misplaces a few requests.
pub fn server_tag(name: &ServerName, incarnation: IncarnationId) -> u32 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(name.as_str().as_bytes());
    hasher.update(&incarnation.0.to_le_bytes());
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..4]);
    u32::from_le_bytes(bytes)
}

/// A datagram between instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerDatagram {
    /// The sender is alive.
    Heartbeat(HeartbeatMessage),
    /// The store changed.
    Changes(ChangeBatch),
    /// What a scout learned of the servers in its data centre.
    LoadReports(Vec<LoadRow>),
}

/// The answer to an instance that asks for the changes after a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullReply {
    /// The revision that the changes follow, or none if these are all items.
    pub after: Option<StoreRevision>,
    /// The changes, or all items.
    pub batch: ChangeBatch,
}
