//! Messages between instances.

use bytes::Bytes;
use model::wire::HeaderLine;
use model::{
    CallDepth, CallerName, ConfigDocument, FleetDigest, InstanceName, InstanceRecord, Millis,
    RequestId, RunVerdict, ServiceName, StoreRevision,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A call passed on to the instance that may serve it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ForwardCall {
    /// The request.
    pub request: RequestId,
    /// The service.
    pub service: ServiceName,
    /// Who sent it.
    pub caller: CallerName,
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query at the backend server.
    pub path: SmolStr,
    /// The caller's headers for the backend server.
    pub headers: Vec<HeaderLine>,
    /// Time left.
    pub deadline: Millis,
    /// Calls above this one.
    pub depth: CallDepth,
    /// The ticket, for work that must not repeat.
    pub ticket: Option<SmolStr>,
    /// The body.
    pub body: Bytes,
    /// The sender's hybrid logical time.
    pub clock: u64,
}

/// The answer to a forwarded call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ForwardAnswer {
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// HTTP status for the caller.
    pub status: u16,
    /// The backend server's headers for the caller.
    pub headers: Vec<HeaderLine>,
    /// The backend server that answered; empty if none did.
    pub server: SmolStr,
    /// The instance that served the call.
    pub instance: InstanceName,
    /// Wait for a slot, in microseconds.
    pub queue_micros: u64,
    /// When a retry may succeed, after a refusal.
    pub retry_after: Option<Millis>,
    /// The body of the answer, or an error text.
    pub body: Bytes,
    /// The sender's hybrid logical time.
    pub clock: u64,
}

/// Tickets issued for callers that asked another instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TicketBatch {
    /// The tickets.
    pub tickets: Vec<SmolStr>,
    /// How long they can be used.
    pub valid: Millis,
}

/// The answer to a question about a ticket.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum TicketInquiry {
    /// How it stands.
    Known(model::wire::TicketState),
    /// The process does not know the ticket any more, or it is forged.
    Unknown,
}

/// A copy of the configuration with the revision under which the store holds it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfigCopy {
    /// Revision in the store.
    pub revision: StoreRevision,
    /// The document.
    pub document: ConfigDocument,
}

/// What an instance offers the others.
#[tarpc::service]
pub trait PeerLink {
    /// Exchanges digests.
    async fn heartbeat(digest: FleetDigest) -> FleetDigest;
    /// Gives the records of instances by name.
    async fn describe(names: Vec<InstanceName>) -> Vec<InstanceRecord>;
    /// Gives the configuration in force.
    async fn fetch_config() -> Option<ConfigCopy>;
    /// Serves a call.
    async fn forward(call: ForwardCall) -> ForwardAnswer;
    /// Issues tickets; none if there is no room.
    async fn issue_tickets(service: ServiceName, count: u32) -> Option<TicketBatch>;
    /// Tells how a ticket stands.
    async fn ticket_state(ticket: SmolStr) -> TicketInquiry;
}
