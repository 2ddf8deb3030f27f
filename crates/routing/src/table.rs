//! The route table of a configuration version.

use crate::team::TeamTable;
use model::{ConfigVersion, ConnectionCount, Millis, RequestRate, ServiceName};
use smol_str::SmolStr;
use std::collections::HashMap;
use std::rc::Rc;

/// Whether the requests of a route may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// Requests are idempotent and may run more than once.
    Idempotent,
    /// Requests are not idempotent; each request that a caller sends runs at most once.
    NonIdempotent,
}

/// One service of a route with its weight.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTarget {
    /// Service that receives the requests.
    pub service: ServiceName,
    /// Share of the requests, relative to the sum of the weights of the route; at least zero.
    pub weight: f64,
}

/// A route of one host.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteEntry {
    /// Name of the route, unique within a configuration.
    pub name: SmolStr,
    /// Path prefix that the route matches; begins and ends with a slash.
    pub prefix: SmolStr,
    /// Services between which the requests are split; never empty.
    pub targets: Vec<RouteTarget>,
    /// Whether requests may run more than once.
    pub idempotency: Idempotency,
    /// Time after which a request without a response fails.
    pub timeout: Millis,
    /// Latency objective: response time up to which a response is most useful to the caller.
    pub objective: Millis,
    /// Priority of the requests; 0 is served first.
    pub priority: u8,
    /// Largest number of backend servers that one request may be sent to; at least one.
    pub attempts: u32,
    /// Whether callers need no key, also if the configuration has teams.
    pub is_public: bool,
}

/// Builds a [`RouteEntry`].
#[derive(Debug, Clone)]
pub struct RouteBuilder {
    route: RouteEntry,
}

impl RouteBuilder {
    /// Starts a route for non-idempotent requests with priority 0, one attempt, and a timeout and
    /// an objective of one second.
    pub fn new(name: SmolStr, prefix: SmolStr, targets: Vec<RouteTarget>) -> Self {
        Self {
            route: RouteEntry {
                name,
                prefix,
                targets,
                idempotency: Idempotency::NonIdempotent,
                timeout: Millis(1_000),
                objective: Millis(1_000),
                priority: 0,
                attempts: 1,
                is_public: false,
            },
        }
    }

    /// Sets whether requests may run more than once.
    pub fn idempotency(mut self, idempotency: Idempotency) -> Self {
        self.route.idempotency = idempotency;
        self
    }

    /// Sets the timeout and the latency objective.
    pub fn timeout_and_objective(mut self, timeout: Millis, objective: Millis) -> Self {
        self.route.timeout = timeout;
        self.route.objective = objective;
        self
    }

    /// Sets the priority; 0 is served first.
    pub fn priority(mut self, priority: u8) -> Self {
        self.route.priority = priority;
        self
    }

    /// Sets the largest number of backend servers for one request, at least one.
    pub fn attempts(mut self, attempts: u32) -> Self {
        self.route.attempts = attempts.max(1);
        self
    }

    /// Sets whether callers need no key.
    pub fn public(mut self, is_public: bool) -> Self {
        self.route.is_public = is_public;
        self
    }

    /// Returns the route.
    pub fn build(self) -> RouteEntry {
        self.route
    }
}

/// Limits for the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest size of a request head, in bytes.
    pub head_bytes: usize,
    /// Largest size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time in which a request head must be complete.
    pub head_timeout: Millis,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Millis,
}

/// How a service's backend servers may be used while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUpLimit {
    /// Time for which a server is cold after its start.
    pub period: Millis,
    /// Rate of requests that a cold server accepts from all instances together.
    pub rate: RequestRate,
}

/// The configuration of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceEntry {
    /// Path of the HTTP health check on each backend server.
    pub health_path: SmolStr,
    /// Number of connections that one backend server accepts in total.
    pub connections: ConnectionCount,
    /// Limit for cold servers; `None` if they may be used like others.
    pub warm_up: Option<WarmUpLimit>,
}

type HostRoutes = HashMap<SmolStr, Rc<RouteEntry>>;

/// All routes, services and limits of one configuration version.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Limits for the requests and connections of callers.
    pub limits: RequestLimits,
    /// Configuration of each service.
    pub services: HashMap<ServiceName, ServiceEntry>,
    /// The teams; `None` if callers need no keys on any route.
    pub teams: Option<TeamTable>,
    /// Routes by prefix, by lower-case host name without port.
    hosts: HashMap<SmolStr, HostRoutes>,
}

/// Builds a [`RouteTable`].
#[derive(Debug, Clone)]
pub struct TableBuilder {
    table: RouteTable,
}

impl TableBuilder {
    /// Starts a table without routes and services.
    pub fn new(version: ConfigVersion, limits: RequestLimits) -> Self {
        let (services, hosts) = (HashMap::new(), HashMap::new());
        Self { table: RouteTable { version, limits, services, teams: None, hosts } }
    }

    /// Adds a service, or replaces the one of the same name.
    pub fn service(mut self, name: ServiceName, service: ServiceEntry) -> Self {
        self.table.services.insert(name, service);
        self
    }

    /// Adds a host, which may remain without routes.
    pub fn host(mut self, host: &str) -> Self {
        self.table.hosts.entry(host_key(host)).or_default();
        self
    }

    /// Adds a route to a host, or replaces the one with the same prefix.
    pub fn route(mut self, host: &str, route: RouteEntry) -> Self {
        let routes = self.table.hosts.entry(host_key(host)).or_default();
        routes.insert(route.prefix.clone(), Rc::new(route));
        self
    }

    /// Sets the teams, whose keys callers then need on all routes that are not public.
    pub fn teams(mut self, teams: TeamTable) -> Self {
        self.table.teams = Some(teams);
        self
    }

    /// Returns the table.
    pub fn build(self) -> RouteTable {
        self.table
    }
}

/// Returns the host name in lower case and without port; hosts are compared in this form.
fn host_key(host: &str) -> SmolStr {
    let name = host.rsplit_once(':').map_or(host, |(name, port)| {
        if port.bytes().all(|byte| byte.is_ascii_digit()) { name } else { host }
    });
    name.to_ascii_lowercase().into()
}

impl RouteTable {
    /// Returns the route of the host with the longest prefix of `path`, or `None` if no prefix
    /// matches.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<RouteEntry>> {
        let routes = self.hosts.get(&host_key(host))?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = routes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// Whether the table contains the host, with or without routes.
    pub fn has_host(&self, host: &str) -> bool {
        self.hosts.contains_key(&host_key(host))
    }

    /// Whether the services of all routes are in this table.
    pub fn targets_exist(&self) -> bool {
        let routes = self.hosts.values().flat_map(HashMap::values);
        let mut targets = routes.flat_map(|route| &route.targets);
        targets.all(|target| self.services.contains_key(&target.service))
    }

    /// Returns the number of routes of all hosts.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }
}
