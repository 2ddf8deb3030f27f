//! Records of the store in decoded form.

use model::{BackendSpec, DataCentre, IncarnationId, InstanceName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::net::SocketAddr;

/// Record by which an instance announces itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the instance, the same after a restart.
    pub name: InstanceName,
    /// Incarnation of the process; a later process of the same instance has a higher one.
    pub incarnation: IncarnationId,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Address that accepts callers' connections.
    pub caller_address: SocketAddr,
    /// TCP address for requests of other instances.
    pub peer_address: SocketAddr,
    /// UDP address for datagrams of other instances.
    pub datagram_address: SocketAddr,
    /// Requests per second that the instance can process.
    pub capacity: u32,
}

/// A decoded record of the store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreRecord<C> {
    /// The configuration, in the type that the platform's decoder chose.
    Config(C),
    /// The specification of a backend server.
    Server(BackendSpec),
    /// The record of an instance.
    Member(MemberRecord),
    /// The operators' wish that the servers of a data centre get no requests.
    Evacuation(DataCentre),
    /// A key of another kind, which is ignored.
    Unrecognized,
    /// A value that cannot be decoded, with the reason.
    Malformed(SmolStr),
}

/// Decodes records from the platform's format.
pub trait RecordDecoder {
    /// The decoded configuration.
    type Config;

    /// Decodes the value of a key. Errors are returned as [`StoreRecord::Malformed`].
    fn decode(&self, key: &str, value: &str) -> StoreRecord<Self::Config>;
}
