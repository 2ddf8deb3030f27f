//! Records that the store holds, as the project reads them.

use model::{DataCentre, IncarnationId, InstanceName, Millis, ServerName, ServiceName, SlotCount};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::net::SocketAddr;

/// A backend server as it announced itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerRecord {
    /// Its id; a restarted server mostly has a new one.
    pub name: ServerName,
    /// The run of the server that wrote the record.
    pub incarnation: IncarnationId,
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Requests that it works on at once.
    pub slots: SlotCount,
    /// Whether it finishes its work and takes no more.
    pub is_leaving: bool,
    /// How much longer it is slow after its start, from when the record was written.
    pub warm_up_left: Millis,
}

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
    Server(ServerRecord),
    /// An entry instance.
    Member(MemberRecord),
    /// A key that the project does not read.
    Foreign,
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
