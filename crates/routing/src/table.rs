//! The routes of a configuration version.

use model::{ConfigVersion, ConnectionCount, Millis, ServiceName};
use smol_str::SmolStr;
use std::collections::HashMap;
use std::rc::Rc;

/// What may be repeated on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatKind {
    /// Requests are idempotent and may run more than once.
    Idempotent,
    /// Requests run at most once for each attempt of the caller.
    Once,
}

/// One service of a route and its part of the requests.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its part, relative to the sum of the weights of the route; at least zero.
    pub weight: f64,
}

/// A route of one host.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteEntry {
    /// Name, unique within a configuration.
    pub name: SmolStr,
    /// First part of the path; begins and ends with a slash.
    pub prefix: SmolStr,
    /// Services that run its requests; never empty.
    pub targets: Vec<RouteTarget>,
    /// What may be repeated.
    pub repeat: RepeatKind,
    /// Longest time that a request may be kept waiting for its answer.
    pub timeout: Millis,
    /// Time within which an answer is worth most to the caller.
    pub objective: Millis,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Most backend servers to which one attempt of a caller may be sent; at least one.
    pub attempts: u32,
}

/// Builds a [`RouteEntry`].
#[derive(Debug, Clone)]
pub struct RouteBuilder {
    route: RouteEntry,
}

impl RouteBuilder {
    /// Starts a route for work that runs at most once, with one attempt.
    pub fn new(name: SmolStr, prefix: SmolStr, targets: Vec<RouteTarget>) -> Self {
        Self {
            route: RouteEntry {
                name,
                prefix,
                targets,
                repeat: RepeatKind::Once,
                timeout: Millis(1_000),
                objective: Millis(1_000),
                priority: 0,
                attempts: 1,
            },
        }
    }

    /// Sets what may be repeated.
    pub fn repeat(mut self, repeat: RepeatKind) -> Self {
        self.route.repeat = repeat;
        self
    }

    /// Sets the timeout and the latency objective.
    pub fn times(mut self, timeout: Millis, objective: Millis) -> Self {
        self.route.timeout = timeout;
        self.route.objective = objective;
        self
    }

    /// Sets the rank; 0 goes first.
    pub fn priority(mut self, priority: u8) -> Self {
        self.route.priority = priority;
        self
    }

    /// Sets the most backend servers for one attempt of a caller.
    pub fn attempts(mut self, attempts: u32) -> Self {
        self.route.attempts = attempts.max(1);
        self
    }

    /// Finishes the route.
    pub fn build(self) -> RouteEntry {
        self.route
    }
}

/// What callers may send and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Longest head of a request, in bytes.
    pub head_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_timeout: Millis,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Millis,
}

/// What the configuration says of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceEntry {
    /// Path of the health check.
    pub health_path: SmolStr,
    /// Connections that one backend server accepts from all callers together.
    pub connections: ConnectionCount,
}

type HostRoutes = HashMap<SmolStr, Rc<RouteEntry>>;

/// All routes of one configuration version.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    /// The version.
    pub version: ConfigVersion,
    /// Limits for callers.
    pub limits: RequestLimits,
    /// The services.
    pub services: HashMap<ServiceName, ServiceEntry>,
    hosts: HashMap<SmolStr, HostRoutes>,
}

/// Builds a [`RouteTable`].
#[derive(Debug, Clone)]
pub struct TableBuilder {
    table: RouteTable,
}

impl TableBuilder {
    /// Starts without routes and services.
    pub fn new(version: ConfigVersion, limits: RequestLimits) -> Self {
        let (services, hosts) = (HashMap::new(), HashMap::new());
        Self { table: RouteTable { version, limits, services, hosts } }
    }

    /// Adds a service.
    pub fn service(mut self, name: ServiceName, service: ServiceEntry) -> Self {
        self.table.services.insert(name, service);
        self
    }

    /// Adds a host that may have no routes yet.
    pub fn host(mut self, host: &str) -> Self {
        self.table.hosts.entry(host_key(host)).or_default();
        self
    }

    /// Adds a route to a host.
    pub fn route(mut self, host: &str, route: RouteEntry) -> Self {
        let routes = self.table.hosts.entry(host_key(host)).or_default();
        routes.insert(route.prefix.clone(), Rc::new(route));
        self
    }

    /// Finishes the table.
    pub fn build(self) -> RouteTable {
        self.table
    }
}

/// Hosts compare without case and port.
fn host_key(host: &str) -> SmolStr {
    let name = host.rsplit_once(':').map_or(host, |(name, port)| {
        if port.bytes().all(|byte| byte.is_ascii_digit()) { name } else { host }
    });
    name.to_ascii_lowercase().into()
}

impl RouteTable {
    /// The route of that host with the longest prefix that begins the path.
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

    /// Whether the host has an entry.
    pub fn has_host(&self, host: &str) -> bool {
        self.hosts.contains_key(&host_key(host))
    }

    /// Whether every route leads to services of this table.
    pub fn targets_exist(&self) -> bool {
        let routes = self.hosts.values().flat_map(HashMap::values);
        let mut targets = routes.flat_map(|route| &route.targets);
        targets.all(|target| self.services.contains_key(&target.service))
    }

    /// The longest timeout of any route.
    pub fn longest_timeout(&self) -> Millis {
        let routes = self.hosts.values().flat_map(HashMap::values);
        routes.map(|route| route.timeout).max().unwrap_or_default()
    }

    /// Number of routes of all hosts.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }
}
