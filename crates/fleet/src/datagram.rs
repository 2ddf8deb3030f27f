//! What instances tell each other.

use crate::record::MemberRecord;
use crate::replica::StoreChange;
use model::{ConfigVersion, Millis, StoreRevision};
use serde::{Deserialize, Serialize};

/// Longest datagram, in bytes; fits one Ethernet frame.
pub const DATAGRAM_MAX_BYTES: usize = 1400;

/// A heartbeat of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeatMessage {
    /// The sender.
    pub member: MemberRecord,
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

/// A datagram between instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerDatagram {
    /// The sender is alive.
    Beat(BeatMessage),
    /// The store changed.
    Changes(ChangeBatch),
}

/// The answer to an instance that asks for the changes after a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullAnswer {
    /// The revision that the changes follow, or none if these are all items.
    pub after: Option<StoreRevision>,
    /// The changes, or all items.
    pub batch: ChangeBatch,
}
