//! The configuration document: everything that operators decide, as one versioned value.

use crate::name::{ChangeId, DataCentre, RoutePrefix, ServerName, ServiceName};
use crate::quantity::{
    ConfigVersion, ConnectionCount, HomeCount, IncarnationId, Millis, ProbeRate, SlotCount,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

/// How many change ids the document remembers.
///
/// A change older than this many later ones can no longer be looked up by id. At 740 changes a day
/// this covers more than eight hours.
pub const REMEMBERED_CHANGES: usize = 256;

/// Whether a request is expected to take long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkClass {
    /// Typical work, served first.
    Short,
    /// Work that holds a slot many times longer.
    Long,
}

impl WorkClass {
    /// The class as it stands in commands and reports.
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

/// The text names no class of work.
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

/// A rule for the requests whose path starts with a prefix; the longest prefix wins.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Class of the work, or none to learn it from observed service times.
    pub class: Option<WorkClass>,
    /// Whether a request may be sent again. Without a value the method decides.
    pub idempotent: Option<bool>,
}

/// One backend server of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackendServer {
    /// Where it listens.
    pub address: SocketAddr,
    /// How many requests it works on at once.
    pub slots: SlotCount,
    /// How many connections it accepts.
    pub connections: ConnectionCount,
    /// Where it stands, if the operator said so.
    pub data_centre: Option<DataCentre>,
    /// Set while the operator drains it.
    pub draining: bool,
    /// Distinguishes this entry from an earlier one of the same name that was dropped.
    pub incarnation: IncarnationId,
}

/// Builds a [`BackendServer`]; all but the address have defaults.
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

    /// Sets the slots.
    pub fn slots(mut self, slots: SlotCount) -> Self {
        self.server.slots = slots;
        self
    }

    /// Sets the connection limit.
    pub fn connections(mut self, connections: ConnectionCount) -> Self {
        self.server.connections = connections;
        self
    }

    /// Sets the data centre.
    pub fn data_centre(mut self, centre: DataCentre) -> Self {
        self.server.data_centre = Some(centre);
        self
    }

    /// Sets the incarnation, which the configuration version at creation gives.
    pub fn incarnation(mut self, incarnation: IncarnationId) -> Self {
        self.server.incarnation = incarnation;
        self
    }

    /// Finishes the backend server.
    pub fn build(self) -> BackendServer {
        self.server
    }
}

/// A service: its rules and its backend servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// Time allowed to a request that names no deadline.
    pub deadline: Millis,
    /// How long a caller may keep an address answer.
    pub keep: Millis,
    /// How long long work lets later short work go first.
    pub long_yield: Millis,
    /// How many instances hold a queue for the service.
    pub homes: HomeCount,
    /// Budget of probes for each backend server, over all instances together.
    pub probe_rate: ProbeRate,
    /// Rules by route.
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
    /// Finds the rule with the longest prefix of `path`.
    pub fn rule_for(&self, path: &str) -> Option<&RouteRule> {
        self.rules
            .iter()
            .filter(|(prefix, _)| path.starts_with(prefix.as_str()))
            .max_by_key(|(prefix, _)| prefix.as_str().len())
            .map(|(_, rule)| rule)
    }
}

/// An accepted change, remembered so that its fate can be told after a lost reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The id that the operator's batch carried.
    pub id: ChangeId,
    /// The version that the batch made.
    pub version: ConfigVersion,
}

/// Everything that operators decide. One batch of commands makes one new version of it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Grows by one with each accepted batch.
    pub version: ConfigVersion,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceConfig>,
    /// Entry instances that an operator drains, with the incarnation that the drain is for.
    pub draining_instances: BTreeMap<crate::name::InstanceName, IncarnationId>,
    /// The latest accepted changes, oldest first.
    pub changes: Vec<AcceptedChange>,
}

impl ConfigDocument {
    /// The version that a change made, if the document remembers it.
    pub fn version_of(&self, id: &ChangeId) -> Option<ConfigVersion> {
        self.changes.iter().rev().find(|change| change.id == *id).map(|change| change.version)
    }

    /// Moves to the next version on behalf of a change and forgets the oldest remembered one.
    pub fn record_change(&mut self, id: ChangeId) {
        self.version = ConfigVersion(self.version.0 + 1);
        self.changes.push(AcceptedChange { id, version: self.version });
        let excess = self.changes.len().saturating_sub(REMEMBERED_CHANGES);
        self.changes.drain(..excess);
    }
}
