//! What the queue decides on a request.

use crate::placement::ServerView;
use model::{Millis, ServerKey, SlotCount};
use std::net::SocketAddr;
use std::time::Duration;

/// Shortest retry delay that a refused caller gets.
pub(super) const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
/// Longest retry delay that a refused caller gets.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);

/// The server chosen for a request and its estimated load at that time.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The chosen server.
    pub key: ServerKey,
    /// Address at which the server accepts requests.
    pub address: SocketAddr,
    /// Whether open connections to the server may contain bytes of another response.
    pub is_desynced: bool,
    /// Requests in progress at the server, this one excluded.
    pub occupancy: u32,
    /// Number of slots of the server.
    pub slots: SlotCount,
    /// Last reported slowdown factor of the server; 1 is normal speed.
    pub slowdown: f64,
    /// Age of the server's latest load report; `None` before the first one.
    pub report_age: Option<Duration>,
    /// Expected duration of the exchange.
    pub expected: Duration,
    /// Whether the server is in another data centre.
    pub is_away: bool,
    /// Part of the own data centre's capacity for the service that was in use, 0 to 1.
    pub pressure: f64,
}

/// Why a submitted request was refused without being sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// The service has no eligible server.
    NoServer,
    /// The queue is full.
    QueueFull,
    /// The expected wait leaves too little time before the deadline.
    TooLate,
    /// Too little time was left before the deadline while the request waited.
    Expired,
    /// The instance stops and might have to break the request off.
    Stopping,
    /// All servers of the service want no requests for a time.
    Quiet,
}

impl RefusalCause {
    /// Returns the name of the cause in logs, metrics and responses.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoServer => "no_server",
            Self::QueueFull => "queue_full",
            Self::TooLate => "too_late",
            Self::Expired => "expired",
            Self::Stopping => "stopping",
            Self::Quiet => "quiet",
        }
    }
}

/// The refusal of a submitted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueRefusal {
    /// Why the request was refused.
    pub cause: RefusalCause,
    /// Delay after which the caller should try again.
    pub retry_after: Millis,
}

/// The queue's final decision on a request.
#[derive(Debug, Clone, PartialEq)]
pub enum QueueDecision {
    /// Send the request to this server.
    Send(Placement),
    /// Refuse the request.
    Refuse(QueueRefusal),
}

/// What the queue does with a request that arrives.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannedDecision {
    /// Sends it to this server; with the expected duration of the exchange.
    Send(ServerKey, Duration),
    /// Lets it wait; with the expected wait.
    Wait(Duration),
    /// Refuses it.
    Refuse(QueueRefusal),
}

/// What would happen to a request, with the servers that the decision depends on.
#[derive(Debug)]
pub struct QueuePreview<'a> {
    /// Number of waiting requests that would be served before it.
    pub ahead: usize,
    /// The decision.
    pub planned: PlannedDecision,
    /// All servers of the service.
    pub servers: Vec<ServerView<'a>>,
}

/// Returns the refusal of a request until the first server takes requests again.
pub(super) fn quiet_refusal(left: Duration) -> QueueRefusal {
    QueueRefusal { cause: RefusalCause::Quiet, retry_after: left.max(RETRY_AFTER_MIN).into() }
}

/// Returns a refusal with a retry delay near an expected wait.
pub(super) fn refusal(cause: RefusalCause, wait: Duration) -> QueueRefusal {
    QueueRefusal { cause, retry_after: wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX).into() }
}

/// Returns the decision to refuse a request; see [`refusal`].
pub(super) fn refuse(cause: RefusalCause, wait: Duration) -> QueueDecision {
    QueueDecision::Refuse(refusal(cause, wait))
}
