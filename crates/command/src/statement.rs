//! Typed statements of the command language.

use model::{
    ChangeId, ConfigVersion, ConnectionCount, DataCentre, HomeCount, InstanceName, Millis,
    ProbeRate, RoutePrefix, ServerName, ServiceName, SlotCount, WorkClass,
};
use std::net::SocketAddr;

/// New values for settings of a service; `None` leaves a setting unchanged.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceChange {
    /// Deadline of a request that has none of its own.
    pub deadline: Option<Millis>,
    /// Time for which callers may cache addresses.
    pub keep: Option<Millis>,
    /// Time for which waiting long work yields to short work.
    pub long_yield: Option<Millis>,
    /// Number of homes.
    pub homes: Option<HomeCount>,
    /// Probe budget for each backend server, in probes per second.
    pub probe_rate: Option<ProbeRate>,
}

/// New values for settings of a backend server; `None` leaves a setting unchanged.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServerChange {
    /// Number of slots.
    pub slots: Option<SlotCount>,
    /// Maximum number of connections.
    pub connections: Option<ConnectionCount>,
    /// Data centre of the server.
    pub data_centre: Option<DataCentre>,
}

/// New values for settings of a route rule; `None` leaves a setting unchanged.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RuleChange {
    /// Class of the work.
    pub class: Option<WorkClass>,
    /// Whether requests are idempotent.
    pub idempotent: Option<bool>,
}

/// A statement that changes the configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum ChangeStatement {
    /// Creates a service.
    CreateService {
        /// Name of the service.
        service: ServiceName,
        /// Settings that differ from the defaults.
        change: ServiceChange,
    },
    /// Alters a service.
    AlterService {
        /// Name of the service.
        service: ServiceName,
        /// Settings to replace.
        change: ServiceChange,
    },
    /// Drops a service with its backend servers and rules.
    DropService {
        /// Name of the service.
        service: ServiceName,
    },
    /// Creates a backend server.
    CreateServer {
        /// Service of the backend server.
        service: ServiceName,
        /// Name of the backend server.
        server: ServerName,
        /// Address at which the server listens.
        address: SocketAddr,
        /// Settings that differ from the defaults.
        change: ServerChange,
    },
    /// Alters a backend server.
    AlterServer {
        /// Service of the backend server.
        service: ServiceName,
        /// Name of the backend server.
        server: ServerName,
        /// Settings to replace.
        change: ServerChange,
    },
    /// Drops a backend server.
    DropServer {
        /// Service of the backend server.
        service: ServiceName,
        /// Name of the backend server.
        server: ServerName,
    },
    /// Drains a backend server.
    DrainServer {
        /// Service of the backend server.
        service: ServiceName,
        /// Name of the backend server.
        server: ServerName,
    },
    /// Drains an entry instance.
    DrainInstance {
        /// Name of the instance.
        instance: InstanceName,
    },
    /// Creates a route rule.
    CreateRule {
        /// Service of the rule.
        service: ServiceName,
        /// Path prefix that the rule applies to.
        route: RoutePrefix,
        /// Settings of the rule.
        change: RuleChange,
    },
    /// Alters a route rule.
    AlterRule {
        /// Service of the rule.
        service: ServiceName,
        /// Path prefix that the rule applies to.
        route: RoutePrefix,
        /// Settings to replace.
        change: RuleChange,
    },
    /// Drops a route rule.
    DropRule {
        /// Service of the rule.
        service: ServiceName,
        /// Path prefix that the rule applies to.
        route: RoutePrefix,
    },
}

/// A statement that reads state.
#[derive(Debug, Clone, PartialEq)]
pub enum QueryStatement {
    /// All services.
    Services,
    /// Backend servers of a service.
    Servers(ServiceName),
    /// Route rules of a service.
    Rules(ServiceName),
    /// Instances, each with its version in force.
    Instances,
    /// Version in force at the instance that runs the query.
    Version,
    /// State of a change.
    Change(ChangeId),
    /// Queue and backend servers of a service as the instance that runs the query sees them.
    Decisions(ServiceName),
}

/// Changes that take effect together or not at all.
#[derive(Debug, Clone, PartialEq)]
pub struct ChangeBatch {
    /// Version that the document must have, if the batch requires one.
    pub if_version: Option<ConfigVersion>,
    /// Changes in the order in which they are applied.
    pub statements: Vec<ChangeStatement>,
}

/// Content of a batch: changes or queries, never both.
#[derive(Debug, Clone, PartialEq)]
pub enum BatchKind {
    /// Changes.
    Changes(ChangeBatch),
    /// Queries.
    Queries(Vec<QueryStatement>),
}
