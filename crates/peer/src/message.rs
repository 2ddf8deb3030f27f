//! Messages and functions of the protocol between instances.
//!
//! The encoding is positional: the order and types of fields, variants and functions must not change.

use bytes::Bytes;
use model::wire::HeaderLine;
use model::{
    CallDepth, CallerName, ConfigDocument, FleetDigest, InstanceName, InstanceRecord, Millis,
    RequestId, RunVerdict, ServiceName, StoreRevision,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A caller's request, forwarded to the instance that may serve it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ForwardCall {
    /// Identifier of the request.
    pub request: RequestId,
    /// Service that the caller requested.
    pub service: ServiceName,
    /// Name of the caller.
    pub caller: CallerName,
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query for the backend server.
    pub path: SmolStr,
    /// The caller's headers for the backend server.
    pub headers: Vec<HeaderLine>,
    /// Time left until the caller's deadline.
    pub deadline: Millis,
    /// Number of requests above this one in a chain of services that call each other.
    pub depth: CallDepth,
    /// Ticket of a non-idempotent request; `None` for an idempotent one.
    pub ticket: Option<SmolStr>,
    /// Body of the caller's request.
    pub body: Bytes,
    /// The sender's hybrid logical time.
    pub clock: u64,
}

/// The reply to a forwarded request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ForwardReply {
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// HTTP status of the response to the caller.
    pub status: u16,
    /// The backend server's headers for the caller.
    pub headers: Vec<HeaderLine>,
    /// Name of the backend server that responded; empty if none did.
    pub server: SmolStr,
    /// Instance that served the request.
    pub instance: InstanceName,
    /// Time that the request waited for a slot, in microseconds.
    pub queue_micros: u64,
    /// After a refusal, time after which a retry may succeed.
    pub retry_after: Option<Millis>,
    /// Body of the response, or an error text.
    pub body: Bytes,
    /// The sender's hybrid logical time.
    pub clock: u64,
}

/// Tickets issued to another instance for its callers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TicketBatch {
    /// The signed texts of the tickets.
    pub tickets: Vec<SmolStr>,
    /// Time for which the tickets can be used.
    pub valid: Millis,
}

/// The reply to a query for a ticket's state.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum TicketInquiry {
    /// The state of the ticket.
    Known(model::wire::TicketState),
    /// The process has dropped the ticket, did not issue it, or cannot parse or verify it.
    Unknown,
}

/// A copy of the configuration document.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfigCopy {
    /// Revision of the document in the store.
    pub revision: StoreRevision,
    /// The configuration document.
    pub document: ConfigDocument,
}

/// Functions that an instance serves to the other instances.
#[tarpc::service]
pub trait PeerLink {
    /// Receives another instance's digest and returns that of this instance.
    async fn heartbeat(digest: FleetDigest) -> FleetDigest;
    /// Returns the records of the named instances, as far as they are known.
    async fn describe(names: Vec<InstanceName>) -> Vec<InstanceRecord>;
    /// Returns the configuration in force; `None` if there is none yet.
    async fn fetch_config() -> Option<ConfigCopy>;
    /// Serves a forwarded request.
    async fn forward(call: ForwardCall) -> ForwardReply;
    /// Issues tickets; `None` if there is no room for them.
    async fn issue_tickets(service: ServiceName, count: u32) -> Option<TicketBatch>;
    /// Returns the state of a ticket.
    async fn ticket_state(ticket: SmolStr) -> TicketInquiry;
}
