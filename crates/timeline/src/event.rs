//! The events of the time line.

use crate::clock::HybridTime;
use model::{
    ConfigVersion, IncarnationId, InstanceName, InstanceState, RequestId, RunVerdict, ServerName,
    ServiceName, WorkClass,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::fmt;

/// What happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum EventKind {
    /// A request arrived.
    Arrived {
        /// The request.
        request: RequestId,
        /// Its service.
        service: ServiceName,
        /// Its class.
        class: WorkClass,
    },
    /// A request was passed to the instance that may serve it.
    Forwarded {
        /// The request.
        request: RequestId,
        /// The instance.
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
        /// Why.
        cause: SmolStr,
    },
    /// A request ended.
    Ended {
        /// The request.
        request: RequestId,
        /// The verdict.
        verdict: RunVerdict,
        /// Why, if it was not answered by a backend server.
        cause: SmolStr,
    },
    /// An instance appeared, changed its state or restarted.
    Member {
        /// The instance.
        name: InstanceName,
        /// Its incarnation.
        incarnation: IncarnationId,
        /// Its state.
        state: InstanceState,
    },
    /// An instance's heartbeats stopped.
    MemberGone {
        /// The instance.
        name: InstanceName,
    },
    /// A configuration version came into force here.
    Config {
        /// The version.
        version: ConfigVersion,
    },
    /// A backend server takes no new work any more.
    ServerLeaving {
        /// Its service.
        service: ServiceName,
        /// Its name.
        server: ServerName,
    },
    /// A probe was sent.
    Probed {
        /// The service.
        service: ServiceName,
        /// The backend server.
        server: ServerName,
    },
    /// The store began to fail or answered again.
    Store {
        /// Whether it answers.
        reachable: bool,
        /// The last error.
        cause: SmolStr,
    },
    /// The process began to stop.
    Stopping,
}

impl EventKind {
    /// The request that the event belongs to, if any.
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
            Self::Store { reachable: true, .. } => f.write_str("store answers"),
            Self::Store { cause, .. } => write!(f, "store fails: {cause}"),
            Self::Stopping => f.write_str("stopping"),
        }
    }
}

/// An event with its time and place.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TimelineEvent {
    /// When.
    pub at: HybridTime,
    /// The instance that saw it.
    pub instance: InstanceName,
    /// What.
    #[serde(flatten)]
    pub kind: EventKind,
}

impl fmt::Display for TimelineEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.at, self.instance, self.kind)
    }
}

/// Which events to give.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TimelineQuery {
    /// Only those of this request.
    pub request: Option<RequestId>,
    /// Only those after this time.
    pub since: Option<HybridTime>,
    /// Only those before this time.
    pub until: Option<HybridTime>,
    /// At most this many, the latest ones.
    pub limit: Option<usize>,
}

impl TimelineQuery {
    /// Whether the query asks for `event`.
    pub fn matches(&self, event: &TimelineEvent) -> bool {
        let request_fits = self.request.is_none() || self.request.as_ref() == event.kind.request();
        request_fits
            && self.since.is_none_or(|since| event.at >= since)
            && self.until.is_none_or(|until| event.at <= until)
    }
}
