//! Records that the store holds, as the project reads them.

use model::{BackendSpec, DataCentre, IncarnationId, InstanceName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::net::SocketAddr;

/// An entry instance as it announced itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its name.
    pub name: InstanceName,
    /// Its run.
    pub incarnation: IncarnationId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where it answers other instances, by TCP.
    pub peer_address: SocketAddr,
    /// Where it takes datagrams of other instances.
    pub datagram_address: SocketAddr,
    /// What it can carry, in requests a second.
    pub capacity: u32,
}

/// One decoded record.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreRecord<C> {
    /// The configuration.
    Config(C),
    /// A backend server.
    Server(BackendSpec),
    /// An entry instance.
    Member(MemberRecord),
    /// A key that the project does not read.
    Unrecognized,
    /// A record that cannot be read, with the reason.
    Malformed(SmolStr),
}

/// Reads records in the platform's format.
pub trait RecordDecoder {
    /// The configuration.
    type Config;

    /// Reads the value of a key.
    fn decode(&self, key: &str, value: &str) -> StoreRecord<Self::Config>;
}
