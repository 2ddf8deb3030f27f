//! The configuration document: all settings of the operators, as one versioned value.

use crate::name::{ChangeId, DataCentre, RoutePrefix, ServerName, ServiceName};
use crate::quantity::{
    ConfigVersion, ConnectionCount, HomeCount, IncarnationId, Millis, ProbeRate, SlotCount,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

/// Number of accepted changes whose ids the document keeps.
///
/// Older changes can no longer be looked up by id. At 740 changes a day this covers more than eight
/// hours.
pub const REMEMBERED_CHANGES: usize = 256;

/// Class of a request by its expected processing time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkClass {
    /// Typical requests, which are served first.
    Short,
    /// Requests that occupy a slot many times longer.
    Long,
}

impl WorkClass {
    /// Returns the text of the class in commands and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Long => "long",
        }
    }
}

impl fmt::Display for WorkClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The error for a text that is neither class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseClassError;

impl fmt::Display for ParseClassError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected short or long")
    }
}

impl std::error::Error for ParseClassError {}

impl FromStr for WorkClass {
    type Err = ParseClassError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "short" => Ok(Self::Short),
            "long" => Ok(Self::Long),
            _ => Err(ParseClassError),
        }
    }
}

/// A rule for the requests whose path starts with a prefix. The rule with the longest matching
/// prefix applies.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Class of the requests; `None` derives it from measured processing times.
    pub class: Option<WorkClass>,
    /// Whether requests are idempotent and may be sent again; `None` derives it from the HTTP
    /// method.
    pub idempotent: Option<bool>,
}

/// One backend server of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackendServer {
    /// Address at which the server accepts requests.
    pub address: SocketAddr,
    /// Number of requests that the server processes at once.
    pub slots: SlotCount,
    /// Number of connections that the server accepts.
    pub connections: ConnectionCount,
    /// Data centre of the server; `None` if the operator did not set it.
    pub data_centre: Option<DataCentre>,
    /// Whether the operator is draining the server.
    pub draining: bool,
    /// Distinguishes this entry from earlier, removed ones of the same name.
    pub incarnation: IncarnationId,
}

/// Builds a [`BackendServer`]; all fields but the address have defaults.
#[derive(Debug, Clone)]
pub struct ServerBuilder {
    server: BackendServer,
}

impl ServerBuilder {
    /// Starts with six slots and 240 connections.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            server: BackendServer {
                address,
                slots: SlotCount(6),
                connections: ConnectionCount(240),
                data_centre: None,
                draining: false,
                incarnation: IncarnationId(0),
            },
        }
    }

    /// Sets the number of requests that the server processes at once.
    pub fn slots(mut self, slots: SlotCount) -> Self {
        self.server.slots = slots;
        self
    }

    /// Sets the number of connections that the server accepts.
    pub fn connections(mut self, connections: ConnectionCount) -> Self {
        self.server.connections = connections;
        self
    }

    /// Sets the data centre.
    pub fn data_centre(mut self, centre: DataCentre) -> Self {
        self.server.data_centre = Some(centre);
        self
    }

    /// Sets the incarnation: the configuration version that adds the entry.
    pub fn incarnation(mut self, incarnation: IncarnationId) -> Self {
        self.server.incarnation = incarnation;
        self
    }

    /// Returns the backend server.
    pub fn build(self) -> BackendServer {
        self.server
    }
}

/// A service: its rules and its backend servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// Time limit of requests that carry no deadline.
    pub deadline: Millis,
    /// TTL of addresses in the caller's cache.
    pub keep: Millis,
    /// Time by which a long request may have arrived earlier than a short one and still be served
    /// after it.
    pub long_yield: Millis,
    /// Number of instances that hold a queue for the service.
    pub homes: HomeCount,
    /// Probe budget of each backend server, in probes per second over all instances together.
    pub probe_rate: ProbeRate,
    /// Rules by path prefix.
    pub rules: BTreeMap<RoutePrefix, RouteRule>,
    /// Backend servers by name.
    pub servers: BTreeMap<ServerName, BackendServer>,
}

impl Default for ServiceConfig {
    fn default() -> Self {
        Self {
            deadline: Millis(2_000),
            keep: Millis(5_000),
            long_yield: Millis(500),
            homes: HomeCount(1),
            probe_rate: ProbeRate(1.0),
            rules: BTreeMap::new(),
            servers: BTreeMap::new(),
        }
    }
}

impl ServiceConfig {
    /// Returns the rule with the longest prefix of `path`, or `None` if no prefix matches.
    pub fn rule_for(&self, path: &str) -> Option<&RouteRule> {
        self.rules
            .iter()
            .filter(|(prefix, _)| path.starts_with(prefix.as_str()))
            .max_by_key(|(prefix, _)| prefix.as_str().len())
            .map(|(_, rule)| rule)
    }
}

/// An accepted change. It is kept for operators who look up its outcome after a lost reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// Id of the operator's batch.
    pub id: ChangeId,
    /// Configuration version that the batch created.
    pub version: ConfigVersion,
}

/// All settings of the operators. Each accepted batch of commands creates a new version.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Version of the document; grows by one with each accepted batch.
    pub version: ConfigVersion,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceConfig>,
    /// Instances that an operator is draining, with the incarnation to which the drain applies.
    pub draining_instances: BTreeMap<crate::name::InstanceName, IncarnationId>,
    /// The latest accepted changes, at most [`REMEMBERED_CHANGES`], oldest first.
    pub changes: Vec<AcceptedChange>,
}

impl ConfigDocument {
    /// Returns the version that a change created, or `None` if the document does not contain its
    /// id.
    pub fn version_of(&self, id: &ChangeId) -> Option<ConfigVersion> {
        self.changes.iter().rev().find(|change| change.id == *id).map(|change| change.version)
    }

    /// Advances the version and records the change as its cause. Removes the oldest change in
    /// excess of [`REMEMBERED_CHANGES`].
    pub fn record_change(&mut self, id: ChangeId) {
        self.version = ConfigVersion(self.version.0 + 1);
        self.changes.push(AcceptedChange { id, version: self.version });
        let excess = self.changes.len().saturating_sub(REMEMBERED_CHANGES);
        self.changes.drain(..excess);
    }
}
