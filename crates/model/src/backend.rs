//! A backend server as it announced itself to the platform.

use crate::name::{DataCentre, ServerName, ServiceName};
use crate::quantity::{IncarnationId, Millis, SlotCount};
use std::net::SocketAddr;

/// Identifies one run of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ServerKey {
    /// Its id.
    pub name: ServerName,
    /// Its run.
    pub incarnation: IncarnationId,
}

/// A backend server as the store tells it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendSpec {
    /// Which run of which server.
    pub key: ServerKey,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Requests that it works on at once.
    pub slots: SlotCount,
    /// Whether it takes no more work.
    pub is_leaving: bool,
    /// How much longer it is slow after its start.
    pub warm_up_left: Millis,
}
