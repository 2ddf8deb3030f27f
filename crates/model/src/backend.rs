//! Backend servers as registered with the platform.

use crate::name::{DataCentre, ServerName, ServiceName};
use crate::quantity::{IncarnationId, Millis, SlotCount};
use std::net::SocketAddr;

/// Identifies one incarnation of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ServerKey {
    /// Name of the server.
    pub name: ServerName,
    /// Incarnation, which changes with each start of the server.
    pub incarnation: IncarnationId,
}

/// The record of a backend server in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendSpec {
    /// Name and incarnation of the server.
    pub key: ServerKey,
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Address at which the server accepts requests.
    pub address: SocketAddr,
    /// Data centre of the server.
    pub data_centre: DataCentre,
    /// Number of requests that the server processes at once.
    pub slots: SlotCount,
    /// Whether the server is draining; it gets no new requests then.
    pub is_leaving: bool,
    /// Rest of the warm-up, during which the server is slower; zero after it.
    pub warm_up_left: Millis,
}
