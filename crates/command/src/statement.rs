//! Typed statements of the command language.

use model::{
    ChangeId, ConfigVersion, ConnectionCount, DataCentre, HomeCount, InstanceName, Millis,
    ProbeRate, RoutePrefix, ServerName, ServiceName, SlotCount, WorkClass,
};
use std::net::SocketAddr;

/// Settings of a service that a statement names; the others stay as they are.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceChange {
    /// Time allowed to a request that names no deadline.
    pub deadline: Option<Millis>,
    /// How long callers may keep addresses.
    pub keep: Option<Millis>,
    /// How long long work lets short work go first.
    pub long_yield: Option<Millis>,
    /// How many homes the service has.
    pub homes: Option<HomeCount>,
    /// Probe budget per backend server.
    pub probe_rate: Option<ProbeRate>,
}

/// Settings of a backend server that a statement names.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServerChange {
    /// Slots.
    pub slots: Option<SlotCount>,
    /// Connection limit.
    pub connections: Option<ConnectionCount>,
    /// Data centre.
    pub data_centre: Option<DataCentre>,
}

/// Settings of a route rule that a statement names.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RuleChange {
    /// Class of the work.
    pub class: Option<WorkClass>,
    /// Whether a request may be sent again.
    pub idempotent: Option<bool>,
}

/// A statement that changes the configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum ChangeStatement {
    /// Creates a service.
    CreateService {
        /// Its name.
        service: ServiceName,
        /// Its settings.
        change: ServiceChange,
    },
    /// Alters a service.
    AlterService {
        /// Its name.
        service: ServiceName,
        /// The settings to replace.
        change: ServiceChange,
    },
    /// Drops a service with its backend servers and rules.
    DropService {
        /// Its name.
        service: ServiceName,
    },
    /// Creates a backend server.
    CreateServer {
        /// The service it joins.
        service: ServiceName,
        /// Its name.
        server: ServerName,
        /// Where it listens.
        address: SocketAddr,
        /// Its settings.
        change: ServerChange,
    },
    /// Alters a backend server.
    AlterServer {
        /// Its service.
        service: ServiceName,
        /// Its name.
        server: ServerName,
        /// The settings to replace.
        change: ServerChange,
    },
    /// Drops a backend server.
    DropServer {
        /// Its service.
        service: ServiceName,
        /// Its name.
        server: ServerName,
    },
    /// Drains a backend server.
    DrainServer {
        /// Its service.
        service: ServiceName,
        /// Its name.
        server: ServerName,
    },
    /// Drains an entry instance.
    DrainInstance {
        /// Its name.
        instance: InstanceName,
    },
    /// Creates a route rule.
    CreateRule {
        /// Its service.
        service: ServiceName,
        /// The prefix it applies to.
        route: RoutePrefix,
        /// Its settings.
        change: RuleChange,
    },
    /// Alters a route rule.
    AlterRule {
        /// Its service.
        service: ServiceName,
        /// The prefix it applies to.
        route: RoutePrefix,
        /// The settings to replace.
        change: RuleChange,
    },
    /// Drops a route rule.
    DropRule {
        /// Its service.
        service: ServiceName,
        /// The prefix it applies to.
        route: RoutePrefix,
    },
}

/// A statement that asks.
#[derive(Debug, Clone, PartialEq)]
pub enum QueryStatement {
    /// All services.
    Services,
    /// Backend servers of a service.
    Servers(ServiceName),
    /// Route rules of a service.
    Rules(ServiceName),
    /// Instances, with the version in force at each.
    Instances,
    /// The version in force here.
    Version,
    /// What became of a change.
    Change(ChangeId),
    /// How the instance decides for a service at this moment.
    Decisions(ServiceName),
}

/// Changes that take effect together or not at all.
#[derive(Debug, Clone, PartialEq)]
pub struct ChangeBatch {
    /// The version the operator expects to change, if any.
    pub if_version: Option<ConfigVersion>,
    /// The changes, in order.
    pub statements: Vec<ChangeStatement>,
}

/// What a text holds: changes or queries, never both.
#[derive(Debug, Clone, PartialEq)]
pub enum BatchKind {
    /// Changes.
    Changes(ChangeBatch),
    /// Queries.
    Queries(Vec<QueryStatement>),
}
