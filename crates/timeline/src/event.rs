//! Events of the time line and queries for them.

use crate::clock::HybridTime;
use model::{
    ConfigVersion, IncarnationId, InstanceName, InstanceState, RequestId, RunVerdict, ServerName,
    ServiceName, WorkClass,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::fmt;

/// Kind of an event, with its details.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum EventKind {
    /// A request arrived.
    Arrived {
        /// The request.
        request: RequestId,
        /// Service that the request is for.
        service: ServiceName,
        /// Class of the request.
        class: WorkClass,
    },
    /// A request was forwarded to the instance that holds the queue of its service.
    Forwarded {
        /// The request.
        request: RequestId,
        /// Instance to which the request was forwarded.
        to: InstanceName,
    },
    /// A request was sent to a backend server.
    Dispatched {
        /// The request.
        request: RequestId,
        /// The backend server.
        server: ServerName,
    },
    /// An exchange with a backend server failed.
    ExchangeFailed {
        /// The request.
        request: RequestId,
        /// The backend server.
        server: ServerName,
        /// Cause of the failure.
        cause: SmolStr,
    },
    /// A request ended.
    Ended {
        /// The request.
        request: RequestId,
        /// Whether the request ran.
        verdict: RunVerdict,
        /// Cause of the failure or refusal; empty if a backend server sent the response.
        cause: SmolStr,
    },
    /// An instance appeared, changed its state or restarted.
    Member {
        /// The instance.
        name: InstanceName,
        /// Incarnation of the instance.
        incarnation: IncarnationId,
        /// New state of the instance.
        state: InstanceState,
    },
    /// The heartbeats of an instance stopped.
    MemberGone {
        /// The instance.
        name: InstanceName,
    },
    /// A configuration version came into force at this instance.
    Config {
        /// The version.
        version: ConfigVersion,
    },
    /// A backend server is leaving and gets no new requests.
    ServerLeaving {
        /// Service of the backend server.
        service: ServiceName,
        /// The backend server.
        server: ServerName,
    },
    /// A health check was sent to a backend server.
    Probed {
        /// Service of the backend server.
        service: ServiceName,
        /// The backend server.
        server: ServerName,
    },
    /// The store became unreachable or reachable again.
    Store {
        /// Whether the store is reachable.
        reachable: bool,
        /// Last error; may be empty.
        cause: SmolStr,
    },
    /// The process began to stop.
    Stopping,
}

impl EventKind {
    /// Returns the request that the event belongs to, if any.
    pub fn request(&self) -> Option<&RequestId> {
        match self {
            Self::Arrived { request, .. }
            | Self::Forwarded { request, .. }
            | Self::Dispatched { request, .. }
            | Self::ExchangeFailed { request, .. }
            | Self::Ended { request, .. } => Some(request),
            _ => None,
        }
    }
}

impl fmt::Display for EventKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Arrived { request, service, class } => {
                write!(f, "request {request} arrived: {service}, {class}")
            }
            Self::Forwarded { request, to } => write!(f, "request {request} forwarded to {to}"),
            Self::Dispatched { request, server } => {
                write!(f, "request {request} dispatched to {server}")
            }
            Self::ExchangeFailed { request, server, cause } => {
                write!(f, "request {request} failed at {server}: {cause}")
            }
            Self::Ended { request, verdict, cause } if cause.is_empty() => {
                write!(f, "request {request} ended: {verdict}")
            }
            Self::Ended { request, verdict, cause } => {
                write!(f, "request {request} ended: {verdict}, {cause}")
            }
            Self::Member { name, incarnation, state } => {
                write!(f, "instance {name} ({incarnation}) is {state}")
            }
            Self::MemberGone { name } => write!(f, "instance {name} sends no heartbeats"),
            Self::Config { version } => write!(f, "configuration version {version} in force"),
            Self::ServerLeaving { service, server } => {
                write!(f, "backend server {server} of {service} is leaving")
            }
            Self::Probed { service, server } => write!(f, "probed {server} of {service}"),
            Self::Store { reachable: true, .. } => f.write_str("store reachable"),
            Self::Store { cause, .. } => write!(f, "store unreachable: {cause}"),
            Self::Stopping => f.write_str("stopping"),
        }
    }
}

/// An event with its time and instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TimelineEvent {
    /// Time of the event, by the clock of the instance.
    pub at: HybridTime,
    /// Instance that recorded the event.
    pub instance: InstanceName,
    /// Kind and details.
    #[serde(flatten)]
    pub kind: EventKind,
}

impl fmt::Display for TimelineEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.at, self.instance, self.kind)
    }
}

/// Selects events of the time line.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TimelineQuery {
    /// Only events of this request.
    pub request: Option<RequestId>,
    /// Only events at or after this time.
    pub since: Option<HybridTime>,
    /// Only events at or before this time.
    pub until: Option<HybridTime>,
    /// Maximum number of events; the latest ones are returned. `None` for no limit.
    pub limit: Option<usize>,
}

impl TimelineQuery {
    /// Whether `event` meets all conditions. `limit` is not considered.
    pub fn matches(&self, event: &TimelineEvent) -> bool {
        let request_fits = self.request.is_none() || self.request.as_ref() == event.kind.request();
        request_fits
            && self.since.is_none_or(|since| event.at >= since)
            && self.until.is_none_or(|until| event.at <= until)
    }
}
