//! Headers, paths and bodies of the protocol with callers and backend servers.

use crate::name::ServiceName;
use crate::quantity::{ConfigVersion, Millis};
use crate::verdict::RunVerdict;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::net::SocketAddr;

/// Name of the caller. Waiting requests are served fairly between callers.
pub const CALLER_HEADER: &str = "lacewing-caller";
/// Time left before the deadline of the request, in milliseconds.
pub const DEADLINE_HEADER: &str = "lacewing-deadline-ms";
/// Number of requests above this one in a chain of requests between services.
pub const DEPTH_HEADER: &str = "lacewing-depth";
/// Id of the request, the same in all processes that handle it.
pub const REQUEST_HEADER: &str = "lacewing-request";
/// Id of one exchange with a backend server, which repeats it in its response. Every exchange has its own,
/// also those of one request.
pub const EXCHANGE_HEADER: &str = "lacewing-exchange";
/// Ticket of a non-idempotent request.
pub const TICKET_HEADER: &str = "lacewing-ticket";
/// Key of a non-idempotent request that the caller chose; also sent to backend servers.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Number of the attempt under the caller's idempotency key, starting with 1.
pub const ATTEMPT_HEADER: &str = "lacewing-attempt";
/// Verdict on the request, in every response to a caller.
pub const VERDICT_HEADER: &str = "lacewing-verdict";
/// Delay after which a refused request should be sent again, in milliseconds.
pub const RETRY_AFTER_HEADER: &str = "lacewing-retry-after-ms";
/// Name of the instance that sent the response.
pub const INSTANCE_HEADER: &str = "lacewing-instance";
/// Name of the backend server that sent the response.
pub const SERVER_HEADER: &str = "lacewing-server";
/// Time for which the request waited for a slot, in microseconds.
pub const QUEUE_HEADER: &str = "lacewing-queue-us";
/// Number of requests in progress at the backend server, in its responses.
pub const LOAD_HEADER: &str = "x-load-in-flight";
/// `not-run` in the response of a backend server that shed the request without running it.
pub const SHED_HEADER: &str = "x-shed";
/// `true` in the responses of a backend server that is about to stop.
pub const DRAIN_HEADER: &str = "x-draining";

/// Path at which callers request the addresses of a service.
pub const ADDRESSES_PATH: &str = "/v1/addresses";
/// Path at which callers request tickets and look up the state of a ticket.
pub const TICKETS_PATH: &str = "/v1/tickets";
/// Path at which callers send requests to a service.
pub const CALL_PATH: &str = "/v1/call";

/// A header that is forwarded between callers and backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderLine {
    /// Name of the header, in lower case.
    pub name: SmolStr,
    /// Value of the header, which may be any bytes.
    pub value: Vec<u8>,
}

/// The response to a request for the addresses of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AddressResponse {
    /// Service that the addresses belong to.
    pub service: ServiceName,
    /// Addresses of instances, in the order in which the caller should try them.
    pub addresses: Vec<SocketAddr>,
    /// TTL of the addresses in the caller's cache.
    pub keep_ms: Millis,
    /// Configuration version on which the addresses are based.
    pub version: ConfigVersion,
}

/// The response to a request for tickets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TicketResponse {
    /// Service for which the tickets are valid.
    pub service: ServiceName,
    /// Tickets, each for one request.
    pub tickets: Vec<SmolStr>,
    /// Time for which the tickets are valid.
    pub valid_ms: Millis,
}

/// The response to a request for the state of a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TicketState {
    /// No request has used the ticket yet.
    Unused,
    /// A request under the ticket is in progress.
    InProgress,
    /// The request under the ticket ended with this verdict.
    Ended(RunVerdict),
}

/// The body of an error response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Description of the error, for people.
    pub error: SmolStr,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
}
