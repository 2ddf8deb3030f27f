//! Headers, paths and bodies of the protocol towards callers and backend servers.

use crate::name::ServiceName;
use crate::quantity::{ConfigVersion, Millis};
use crate::verdict::RunVerdict;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::net::SocketAddr;

/// Names the caller, the unit of equal treatment.
pub const CALLER_HEADER: &str = "lacewing-caller";
/// Time left for the call, in milliseconds.
pub const DEADLINE_HEADER: &str = "lacewing-deadline-ms";
/// How many calls lie above this one.
pub const DEPTH_HEADER: &str = "lacewing-depth";
/// Identifies the request over all processes.
pub const REQUEST_HEADER: &str = "lacewing-request";
/// A ticket for work that must not repeat.
pub const TICKET_HEADER: &str = "lacewing-ticket";
/// A caller's own key for work that must not repeat; also what backend servers receive.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// The attempt under a caller's own key, starting with 1.
pub const ATTEMPT_HEADER: &str = "lacewing-attempt";
/// The verdict on the request, on every answer to a call.
pub const VERDICT_HEADER: &str = "lacewing-verdict";
/// When to try again after a refusal, in milliseconds.
pub const RETRY_AFTER_HEADER: &str = "lacewing-retry-after-ms";
/// The instance that answered.
pub const INSTANCE_HEADER: &str = "lacewing-instance";
/// The backend server that answered.
pub const SERVER_HEADER: &str = "lacewing-server";
/// How long the request waited for a slot, in microseconds.
pub const QUEUE_HEADER: &str = "lacewing-queue-us";
/// Requests in progress at the backend server, on its answers.
pub const LOAD_HEADER: &str = "x-load-in-flight";
/// Set to `not-run` by a backend server that refused a request without running it.
pub const SHED_HEADER: &str = "x-shed";
/// Set to `true` by a backend server that is about to stop.
pub const DRAIN_HEADER: &str = "x-draining";

/// Path under which callers ask for addresses.
pub const ADDRESSES_PATH: &str = "/v1/addresses";
/// Path under which callers ask for tickets and their ends.
pub const TICKETS_PATH: &str = "/v1/tickets";
/// Path under which callers send requests.
pub const CALL_PATH: &str = "/v1/call";

/// A header that passes between callers and backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderLine {
    /// Its name, in lower case.
    pub name: SmolStr,
    /// Its value, which need not be text.
    pub value: Vec<u8>,
}

/// The answer to a caller that asked which addresses to use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// The service asked for.
    pub service: ServiceName,
    /// Addresses in the order to try.
    pub addresses: Vec<SocketAddr>,
    /// How long the caller may keep this answer.
    pub keep_ms: Millis,
    /// The configuration version behind the answer.
    pub version: ConfigVersion,
}

/// The answer to a caller that asked for tickets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TicketAnswer {
    /// The service that the tickets are for.
    pub service: ServiceName,
    /// The tickets.
    pub tickets: Vec<SmolStr>,
    /// How long they can be used.
    pub valid_ms: Millis,
}

/// The answer to a caller that asked how a ticket ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TicketState {
    /// No request has used the ticket yet.
    Unused,
    /// A request under the ticket is in progress.
    InProgress,
    /// The ticket ended with this verdict.
    Ended(RunVerdict),
}

/// The body of an error answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What went wrong, for a person.
    pub error: SmolStr,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
}
