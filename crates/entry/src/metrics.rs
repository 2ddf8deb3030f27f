//! Prometheus metrics of an entry instance.

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 14] = [
    0.000_1, 0.000_25, 0.000_5, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.128, 0.256,
    0.512, 2.0,
];

/// All metrics of one instance.
pub struct EntryMetrics {
    registry: Registry,
    /// Requests of callers, by verdict.
    pub calls: IntCounterVec,
    /// Refused requests, by cause.
    pub refusals: IntCounterVec,
    /// Invalid requests of callers, by cause.
    pub bad_requests: IntCounterVec,
    /// Requests forwarded to another instance, by result.
    pub forwards: IntCounterVec,
    /// Exchanges with backend servers, by outcome.
    pub exchanges: IntCounterVec,
    /// Attempts at a request after the first.
    pub retries: IntCounter,
    /// Time in the queue before a slot, by class, in seconds.
    pub queue_seconds: HistogramVec,
    /// Duration of an exchange with a backend server, in seconds.
    pub exchange_seconds: Histogram,
    /// Tickets issued.
    pub tickets_issued: IntCounter,
    /// Tickets refused because the ticket table was full.
    pub tickets_refused: IntCounter,
    /// Connections and operators' requests refused for a wrong token, by port.
    pub token_refusals: IntCounterVec,
    /// Configuration version in force.
    pub config_version: IntGauge,
    /// Members whose heartbeats arrive.
    pub members: IntGauge,
    /// Calls to the store, by result.
    pub store_calls: IntCounterVec,
    /// Heartbeats sent, by result.
    pub heartbeats: IntCounterVec,
    /// Probes sent.
    pub probes: IntCounter,
    /// Requests in progress.
    pub in_progress: IntGauge,
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    register(registry, IntCounter::new(name, help))
}

fn counters(registry: &Registry, name: &str, help: &str, label: &str) -> IntCounterVec {
    register(registry, IntCounterVec::new(Opts::new(name, help), &[label]))
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    register(registry, IntGauge::new(name, help))
}

fn latency(name: &str, help: &str) -> HistogramOpts {
    HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec())
}

/// Adds a metric to the registry.
///
/// # Panics
/// If a name in this file is invalid or used twice, which any test that starts an instance detects.
fn register<M: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    metric: prometheus::Result<M>,
) -> M {
    let metric = metric.expect("metric names in this file are valid");
    registry.register(Box::new(metric.clone())).expect("metric names in this file differ");
    metric
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let registry = Registry::new();
        let r = &registry;
        let queue = latency("lacewing_queue_seconds", "Wait before a slot");
        let exchange = latency("lacewing_exchange_seconds", "Exchange with the backend server");
        Self {
            calls: counters(r, "lacewing_calls_total", "Calls by verdict", "verdict"),
            refusals: counters(r, "lacewing_refusals_total", "Refused calls by cause", "cause"),
            bad_requests: counters(r, "lacewing_bad_requests_total", "Wrong requests", "cause"),
            forwards: counters(r, "lacewing_forwards_total", "Calls passed on", "result"),
            exchanges: counters(r, "lacewing_exchanges_total", "Exchanges", "outcome"),
            retries: counter(r, "lacewing_retries_total", "Further attempts of requests"),
            queue_seconds: register(r, HistogramVec::new(queue, &["class"])),
            exchange_seconds: register(r, Histogram::with_opts(exchange)),
            tickets_issued: counter(r, "lacewing_tickets_issued_total", "Tickets issued"),
            tickets_refused: counter(r, "lacewing_tickets_refused_total", "No room for a ticket"),
            token_refusals: counters(r, "lacewing_token_refusals_total", "Wrong tokens", "port"),
            config_version: gauge(r, "lacewing_config_version", "Configuration version in force"),
            members: gauge(r, "lacewing_members", "Members whose heartbeats arrive"),
            store_calls: counters(r, "lacewing_store_calls_total", "Store calls", "result"),
            heartbeats: counters(r, "lacewing_heartbeats_total", "Heartbeats sent", "result"),
            probes: counter(r, "lacewing_probes_total", "Probes sent"),
            in_progress: gauge(r, "lacewing_calls_in_progress", "Calls in progress"),
            registry,
        }
    }
}

impl EntryMetrics {
    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
