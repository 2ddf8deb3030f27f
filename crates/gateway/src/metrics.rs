//! Counters and histograms of an instance.

use model::{ServiceName, TeamName};
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};
use std::cell::RefCell;
use std::collections::HashSet;
use std::time::Duration;

/// Number of teams with labels of their own; all others have the label [`OTHER_TEAMS`].
const TEAM_LABELS_MAX: usize = 100;
/// Label of the teams beyond [`TEAM_LABELS_MAX`].
const OTHER_TEAMS: &str = "others";

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 9] = [0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0];

/// The metrics of an instance.
pub(crate) struct GatewayMetrics {
    registry: Registry,
    requests: HistogramVec,
    exchanges: IntCounterVec,
    refused: IntCounterVec,
    rejected: IntCounterVec,
    malformed_headers: IntCounterVec,
    input_faults: IntCounterVec,
    panics: IntCounterVec,
    left_requests: IntCounterVec,
    left_bytes: IntCounterVec,
    /// How freely requests leave the data centre, in percent, by service.
    outflow: IntGaugeVec,
    team_requests: IntCounterVec,
    team_labels: RefCell<HashSet<TeamName>>,
    notices: IntCounterVec,
    write_timeouts: IntCounterVec,
    held_bytes: IntGaugeVec,
    held_bytes_limit: IntGaugeVec,
    /// Durations of complete exchanges with backend servers, in seconds.
    pub exchange_seconds: Histogram,
    /// Hedged requests sent.
    pub hedges: IntCounter,
    /// Health checks sent.
    pub probes: IntCounter,
    /// Calls to the store, by kind and outcome.
    pub store_calls: IntCounterVec,
    /// Version of the configuration in force.
    pub version: IntGauge,
    /// Time since the store last confirmed the replica, in milliseconds.
    pub confirmed_age_ms: IntGauge,
    /// Revision of the store up to which the replica is complete.
    pub replica_revision: IntGauge,
    /// Era of the store that the replica is of.
    pub store_era: IntGauge,
    /// Digest of the replica's items.
    pub replica_digest: IntGauge,
    /// Known members, this instance included.
    pub members: IntGauge,
    /// Backend servers with a record in the store, and those kept after their record vanished.
    pub servers: IntGauge,
    /// Servers that stayed in use for a time after their record vanished.
    pub vanished_servers: IntCounter,
    /// Backend servers that limit the rate of their requests.
    pub limited_servers: IntGauge,
    /// Backend servers that are cold, or may be, and accept a limited rate.
    pub cold_servers: IntGauge,
    /// Data centres whose servers get no requests.
    pub evacuated_centres: IntGauge,
    /// Requests that wait for a slot.
    pub waiting: IntGauge,
    /// Open connections of callers.
    pub connections: IntGauge,
    /// Log lines that were dropped.
    pub log_dropped: IntGauge,
}

fn register<M: prometheus::core::Collector + Clone + 'static>(registry: &Registry, metric: M) -> M {
    registry.register(Box::new(metric.clone())).expect("each metric is registered once");
    metric
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let metric = IntCounterVec::new(Opts::new(name, help), labels);
    register(registry, metric.expect("names of metrics are valid"))
}

fn gauges(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    let metric = IntGaugeVec::new(Opts::new(name, help), labels);
    register(registry, metric.expect("names of metrics are valid"))
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    register(registry, IntCounter::new(name, help).expect("names of metrics are valid"))
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    register(registry, IntGauge::new(name, help).expect("names of metrics are valid"))
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let registry = Registry::new();
        let latency = |name: &str, help: &str| {
            HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec())
        };
        let requests = HistogramVec::new(
            latency("lacewing_request_seconds", "Time from a request's head to its answer"),
            &["service", "priority", "status"],
        );
        let exchange = Histogram::with_opts(latency(
            "lacewing_exchange_seconds",
            "Time of whole exchanges with backend servers",
        ));
        Self {
            requests: register(&registry, requests.expect("names of metrics are valid")),
            exchanges: counters(
                &registry,
                "lacewing_exchanges_total",
                "Exchanges with backend servers by outcome",
                &["outcome"],
            ),
            refused: counters(
                &registry,
                "lacewing_refused_total",
                "Requests turned away without being sent, by cause",
                &["cause"],
            ),
            rejected: counters(
                &registry,
                "lacewing_rejected_total",
                "Requests that could not be accepted, by status",
                &["status"],
            ),
            malformed_headers: counters(
                &registry,
                "lacewing_malformed_headers_total",
                "Headers of backend servers that could not be read, by header",
                &["header"],
            ),
            input_faults: counters(
                &registry,
                "lacewing_input_faults_total",
                "input that was refused, by the event of its log lines",
                &["event"],
            ),
            panics: counters(
                &registry,
                "lacewing_panics_total",
                "Panics of this instance, by task",
                &["task"],
            ),
            left_requests: counters(
                &registry,
                "lacewing_left_centre_requests_total",
                "Requests answered by a server in another data centre, by service",
                &["service"],
            ),
            left_bytes: counters(
                &registry,
                "lacewing_left_centre_bytes_total",
                "Bytes of bodies to and from servers in other data centres, by service",
                &["service"],
            ),
            outflow: gauges(
                &registry,
                "lacewing_outflow_percent",
                "How freely requests leave the data centre: 0 if far better elsewhere, 100 if a little better",
                &["service"],
            ),
            team_requests: counters(
                &registry,
                "lacewing_team_requests_total",
                "Requests of teams with a quota: admitted, beyond the quota, given back",
                &["team", "outcome"],
            ),
            team_labels: RefCell::default(),
            notices: counters(
                &registry,
                "lacewing_server_notices_total",
                "Notices of backend servers: leaving, or quiet (no requests for a time)",
                &["notice"],
            ),
            write_timeouts: counters(
                &registry,
                "lacewing_write_timeouts_total",
                "Connections closed since their caller did not read a response, by cause",
                &["cause"],
            ),
            held_bytes: gauges(
                &registry,
                "lacewing_held_bytes",
                "Bytes of bodies in memory, by class",
                &["class"],
            ),
            held_bytes_limit: gauges(
                &registry,
                "lacewing_held_bytes_limit",
                "Most bytes of bodies in memory, by class",
                &["class"],
            ),
            exchange_seconds: register(&registry, exchange.expect("names of metrics are valid")),
            hedges: counter(&registry, "lacewing_copies_total", "Second copies of slow requests"),
            probes: counter(&registry, "lacewing_probes_total", "Health checks sent"),
            store_calls: counters(
                &registry,
                "lacewing_store_calls_total",
                "Calls to the platform's store by kind and outcome",
                &["kind", "outcome"],
            ),
            version: gauge(&registry, "lacewing_config_version", "Configuration in force"),
            confirmed_age_ms: gauge(
                &registry,
                "lacewing_confirmed_age_milliseconds",
                "Age of the newest confirmation by the store",
            ),
            replica_revision: gauge(
                &registry,
                "lacewing_replica_revision",
                "Revision of the store up to which the copy is complete",
            ),
            store_era: gauge(
                &registry,
                "lacewing_store_era",
                "How often the store came back from an older copy, by the replica",
            ),
            replica_digest: gauge(
                &registry,
                "lacewing_replica_digest",
                "Digest of the copy's items; differs between instances at one revision if one lacks a change",
            ),
            members: gauge(&registry, "lacewing_members", "Known instances"),
            servers: gauge(&registry, "lacewing_servers", "Known backend servers"),
            vanished_servers: counter(
                &registry,
                "lacewing_vanished_servers_total",
                "Servers kept for a time after their record vanished around an outage of the store",
            ),
            limited_servers: gauge(
                &registry,
                "lacewing_limited_servers",
                "Backend servers that limit the rate of their requests",
            ),
            cold_servers: gauge(
                &registry,
                "lacewing_cold_servers",
                "Backend servers that are cold, or may be, and accept a limited rate",
            ),
            evacuated_centres: gauge(
                &registry,
                "lacewing_evacuated_centres",
                "Data centres whose servers get no requests",
            ),
            waiting: gauge(&registry, "lacewing_waiting", "Requests that wait for a slot"),
            connections: gauge(&registry, "lacewing_connections", "Connections of callers"),
            log_dropped: gauge(&registry, "lacewing_log_dropped", "Log lines left out"),
            registry,
        }
    }
}

impl GatewayMetrics {
    /// Records a request that was not rejected, with the time from its arrival to its response.
    pub fn request(&self, service: &ServiceName, priority: u8, status: u16, elapsed: Duration) {
        let (priority, status) = (priority.to_string(), status.to_string());
        let labels = [service.as_str(), priority.as_str(), status.as_str()];
        self.requests.with_label_values(&labels).observe(elapsed.as_secs_f64());
    }

    /// Counts an exchange by outcome.
    pub fn exchange(&self, outcome: &str) {
        self.exchanges.with_label_values(&[outcome]).inc();
    }

    /// Counts a refused request or connection by cause.
    pub fn refused(&self, cause: &str) {
        self.refused.with_label_values(&[cause]).inc();
    }

    /// Counts a rejected request by status.
    pub fn rejected(&self, status: u16) {
        self.rejected.with_label_values(&[&status.to_string()]).inc();
    }

    /// Counts a notice of a backend server.
    pub fn noticed(&self, notice: &str) {
        self.notices.with_label_values(&[notice]).inc();
    }

    /// Counts a connection that was closed since its caller did not read a response.
    pub fn write_timeout(&self, cause: &str) {
        self.write_timeouts.with_label_values(&[cause]).inc();
    }

    /// Sets the bytes of bodies in memory and the most that are allowed, for a class.
    pub fn held(&self, class: &str, bytes: usize, limit: usize) {
        let value = |bytes: usize| i64::try_from(bytes).unwrap_or(i64::MAX);
        self.held_bytes.with_label_values(&[class]).set(value(bytes));
        self.held_bytes_limit.with_label_values(&[class]).set(value(limit));
    }

    /// Counts a request that was answered in another data centre.
    pub fn left_centre(&self, service: &ServiceName, bytes: usize) {
        let labels = [service.as_str()];
        self.left_requests.with_label_values(&labels).inc();
        self.left_bytes.with_label_values(&labels).inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
    }

    /// Sets how freely requests of a service leave the data centre, 0 to 1.
    pub fn set_outflow(&self, service: &ServiceName, level: f64) {
        self.outflow.with_label_values(&[service.as_str()]).set((level * 100.0) as i64);
    }

    /// Counts a request of a team that has a key, by what its quota decided.
    pub fn team_request(&self, team: &TeamName, outcome: &str) {
        let mut labels = self.team_labels.borrow_mut();
        let is_labelled = labels.contains(team)
            || (labels.len() < TEAM_LABELS_MAX && labels.insert(team.clone()));
        let label = if is_labelled { team.as_str() } else { OTHER_TEAMS };
        self.team_requests.with_label_values(&[label, outcome]).inc();
    }

    /// Counts a panic of a task.
    pub fn panicked(&self, task: &str) {
        self.panics.with_label_values(&[task]).inc();
    }

    /// Counts a header of a backend server that could not be read.
    pub fn input_fault(&self, event: &str) {
        self.input_faults.with_label_values(&[event]).inc();
    }

    pub fn malformed_header(&self, header: &str) {
        self.malformed_headers.with_label_values(&[header]).inc();
    }

    /// Counts a call to the store by kind and outcome.
    pub fn store_call(&self, kind: &str, ok: bool) {
        self.store_calls.with_label_values(&[kind, if ok { "ok" } else { "failed" }]).inc();
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(cause) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            text = format!("# {cause}\n").into_bytes();
        }
        text
    }
}
