//! What an instance would do with a request now, without sending it.

use crate::name::{DataCentre, InstanceName, ServerName, ServiceName, TeamName};
use crate::quantity::{ConfigVersion, Millis};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Path of the preview on the metrics port of an instance.
pub const PREVIEW_PATH: &str = "/v1/route-preview";

/// The request to preview. It has no `Debug`, which would show the key.
#[derive(Serialize, Deserialize)]
pub struct PreviewRequest {
    /// Host of the request.
    pub host: SmolStr,
    /// Path of the request.
    pub path: SmolStr,
    /// Key of the caller's team, if it presents one. It is not part of any answer.
    pub key: Option<SmolStr>,
    /// Data centre of the caller, for the homes that are near it.
    pub data_centre: Option<DataCentre>,
}

/// Why an instance would not look for a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "cause")]
pub enum PreviewRejection {
    /// The instance has no configuration yet.
    NoConfiguration,
    /// The configuration does not contain the host.
    UnknownHost,
    /// No route of the host matches the path.
    UnknownPath,
    /// The key is missing, malformed or held by no team.
    Key {
        /// What the caller would be told.
        text: SmolStr,
    },
    /// The team's quota is used up.
    Quota {
        /// Time after which the caller would be asked to return.
        retry_after: Millis,
    },
}

/// What would happen to a request at one service of its route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "decision")]
pub enum PreviewDecision {
    /// It would be sent at once.
    Send {
        /// The server.
        server: ServerName,
        /// Expected duration of the exchange.
        expected: Millis,
    },
    /// It would wait for a slot.
    Wait {
        /// Expected wait.
        expected: Millis,
        /// Waiting requests that would be served before it.
        ahead: usize,
    },
    /// It would be refused at once, as not run.
    Refuse {
        /// The cause.
        cause: SmolStr,
        /// Time after which the caller would be asked to return.
        retry_after: Millis,
    },
}

/// Parts of the cost of a server, in milliseconds. The server with the lowest sum gets the request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PreviewCost {
    /// Expected time at the server, its slowdown and the requests there included.
    pub run_ms: f64,
    /// Expected wait at the server.
    pub queued_ms: f64,
    /// For the part of its exchanges that failed lately.
    pub failures_ms: f64,
    /// For the trip to another data centre and the bytes that cross the border.
    pub trip_ms: f64,
    /// By which a server in another data centre must be better.
    pub margin_ms: f64,
    /// Deducted from the cost of a server that got no request yet.
    pub bonus_ms: f64,
}

/// One server of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PreviewServer {
    /// The server.
    pub name: ServerName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Why it can't get the request now; `None` if it can.
    pub excluded: Option<SmolStr>,
    /// Requests in progress there, by the latest report and this instance's own.
    pub occupancy: u32,
    /// Slots of the server.
    pub slots: u32,
    /// Last reported slowdown.
    pub slowdown: f64,
    /// Age of that report; `None` before the first one.
    pub report_age: Option<Millis>,
    /// Cost of the server.
    pub cost: PreviewCost,
}

/// A service of the route with its servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PreviewService {
    /// The service.
    pub name: ServiceName,
    /// Its weight in the route, relative to the sum of all.
    pub weight: f64,
    /// What would happen.
    pub outcome: PreviewDecision,
    /// Its servers, those that can get the request first, by cost.
    pub servers: Vec<PreviewServer>,
}

/// The route of a request and what would happen at its services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PreviewRoute {
    /// Name of the route.
    pub route: SmolStr,
    /// Priority of the request.
    pub priority: u8,
    /// Team of the caller; `None` if the route needs no key.
    pub team: Option<TeamName>,
    /// Requests that the team's quota has left; `None` if it has no quota.
    pub quota_left: Option<f64>,
    /// Why the request would be rejected; its services are shown all the same if its quota is used up.
    pub rejection: Option<PreviewRejection>,
    /// Services of the route.
    pub services: Vec<PreviewService>,
}

/// The answer of an instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RoutePreview {
    /// The instance.
    pub instance: InstanceName,
    /// Version of the configuration in force there.
    pub version: ConfigVersion,
    /// Time since the store confirmed what the instance knows of the configuration and the servers.
    pub confirmed_age: Millis,
    /// Instances that callers are directed to; those near the caller first.
    pub homes: Vec<InstanceName>,
    /// Whether this instance is one of them.
    pub is_home: bool,
    /// Evacuated data centres.
    pub evacuated: Vec<DataCentre>,
    /// Why no route was found; `None` if one was.
    pub rejection: Option<PreviewRejection>,
    /// The route.
    pub route: Option<PreviewRoute>,
}
