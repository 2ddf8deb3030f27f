//! Settings of an instance, read from an INI file. All errors are reported at once.

use balance::{BorderPrice, BudgetPolicy};
use fleet::HomePolicy;
use model::{DataCentre, InstanceName, Millis};
use settings::{SettingsErrors, SettingsReader};
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of one instance.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Name of the instance, unique in the fleet.
    pub name: InstanceName,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Seconds added to the wall clock, for tests of what depends on the time of day.
    pub clock_offset_s: i64,
    /// Address of the port for callers.
    pub caller_address: SocketAddr,
    /// Address of the readiness check.
    pub ready_address: SocketAddr,
    /// Address of the directory.
    pub directory_address: SocketAddr,
    /// Address of the HTTP port for other instances.
    pub peer_address: SocketAddr,
    /// Address of the socket for datagrams of other instances.
    pub datagram_address: SocketAddr,
    /// Address of the metrics port.
    pub metrics_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Peer addresses of other instances, tried when no known instance registers this one or sends
    /// it a first snapshot of the store. They may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Capacity in requests per second, from the scarcest of cores, link and memory.
    pub capacity: u32,
    /// Rate of the link, in megabits a second.
    pub link_mbps: f64,
    /// Limit on open files and connections.
    pub descriptors: usize,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// TTL of directory responses in callers' caches.
    pub directory_ttl: Millis,
    /// Grace period: time between the request to stop and the end of the process.
    pub stop_grace: Millis,
    /// Health checks per second of each backend server, by all instances together; 0 turns them
    /// off.
    pub probes_per_s: f64,
    /// Limits on retries and hedged requests.
    pub budget: BudgetPolicy,
    /// Sliding window in which a team may send as many requests as its rate gives, and its burst.
    pub quota_window: Duration,
    /// Whether the whole fleet starts for the first time, so that no earlier process can have used
    /// retries.
    pub is_first_start: bool,
    /// What the bytes between data centres cost.
    pub border_price: BorderPrice,
    /// Rule for the number of homes.
    pub homes: HomePolicy,
    /// Limit on log lines about requests, per second.
    pub log_lines_per_s: u32,
}

/// Shortest window of quotas. In a shorter one the instances can't report their use to each other.
const QUOTA_WINDOW_MIN: Duration = Duration::from_secs(1);

/// Parses settings. `file` names the file in error messages.
///
/// # Errors
/// All errors in the text.
pub fn read_settings(file: &str, text: &str) -> Result<GatewaySettings, SettingsErrors> {
    let mut reader = SettingsReader::new(file, text)?;
    let address = "an address like 10.0.0.1:8080";
    let name = reader.required("instance", "name", "a name");
    let data_centre = reader.required("instance", "data_centre", "a name");
    let cores = reader.with_default("instance", "cores", "a number of cores", 1.0_f64);
    let descriptors = reader.with_default("instance", "descriptors", "a number", 4_096);
    let memory_mb = reader.with_default("instance", "memory_mb", "megabytes", 256_u64);
    let link_mbps = reader.with_default("instance", "link_mbps", "megabits a second", 1_000.0_f64);
    let clock_offset_s = reader.with_default("instance", "clock_offset_s", "seconds", 0_i64);
    let caller_address = reader.required("listen", "callers", address);
    let ready_address = reader.required("listen", "ready", address);
    let directory_address = reader.required("listen", "directory", address);
    let peer_address = reader.required("listen", "peers", address);
    let datagram_address = reader.required("listen", "datagrams", address);
    let metrics_address = reader.required("listen", "metrics", address);
    let store_address = reader.required("store", "address", address);
    let seeds = reader.list("peers", "seeds", address);
    let homes_min = reader.with_default("homes", "count", "a number", 2_usize);
    let servers_per_home = reader.with_default("homes", "servers", "a number", 80_usize);
    let keep_s = reader.with_default("directory", "keep_s", "seconds", 1.5_f64);
    let keep_max_s = reader.with_default("directory", "keep_max_s", "seconds", 5.0_f64);
    let stop_s = reader.with_default("stop", "grace_s", "seconds", 6.0_f64);
    let probes_per_s = reader.with_default("probes", "per_s", "a rate", 0.0_f64);
    let ratio = reader.with_default("retries", "ratio", "a ratio", 0.1_f64);
    let extra = reader.with_default("retries", "extra", "a number", 0.0_f64);
    let window_s = reader.with_default("retries", "window_s", "seconds", 10.0_f64);
    let quota_window_s = reader.with_default("quotas", "window_s", "seconds", 5.0_f64);
    let is_first_start = reader.with_default("retries", "first_start", "true or false", false);
    let megabyte_ms = reader.with_default("data_centres", "megabyte_ms", "milliseconds", 100.0_f64);
    let log_lines_per_s = reader.with_default("log", "lines_per_s", "a number", 200);
    let built = (|| {
        Some(GatewaySettings {
            name: name?,
            data_centre: data_centre?,
            clock_offset_s,
            caller_address: caller_address?,
            ready_address: ready_address?,
            directory_address: directory_address?,
            peer_address: peer_address?,
            datagram_address: datagram_address?,
            metrics_address: metrics_address?,
            store_address: store_address?,
            seeds,
            capacity: capacity_of(cores, link_mbps, memory_mb),
            link_mbps,
            descriptors,
            memory_mb,
            directory_ttl: seconds(keep_s.min(keep_max_s)),
            stop_grace: seconds(stop_s),
            probes_per_s,
            budget: BudgetPolicy { ratio, extra, window: seconds(window_s).duration() },
            quota_window: seconds(quota_window_s).duration().max(QUOTA_WINDOW_MIN),
            is_first_start,
            border_price: BorderPrice { per_megabyte: seconds(megabyte_ms / 1_000.0).duration() },
            homes: HomePolicy { homes_min, servers_per_home },
            log_lines_per_s,
        })
    })();
    reader.close()?;
    built.ok_or_else(|| SettingsErrors(Vec::new()))
}

/// Requests per second that a core handles: each takes 0.4 ms of processor time, and half of the
/// core is kept free.
const REQUESTS_PER_CORE: f64 = 1_250.0;
/// Requests per second for each Mbit/s of the link: a request with a body transfers 20 KB, and half
/// of the link is kept free.
const REQUESTS_PER_MBPS: f64 = 3.0;
/// Requests per second for each megabyte of memory, most of which connections take.
const REQUESTS_PER_MB: f64 = 2.0;

/// Returns the capacity in requests per second that the scarcest resource allows.
fn capacity_of(cores: f64, link_mbps: f64, memory_mb: u64) -> u32 {
    let by_core = cores * REQUESTS_PER_CORE;
    let by_link = link_mbps * REQUESTS_PER_MBPS;
    let by_memory = memory_mb as f64 * REQUESTS_PER_MB;
    by_core.min(by_link).min(by_memory).max(1.0) as u32
}

fn seconds(value: f64) -> Millis {
    Duration::try_from_secs_f64(value).unwrap_or_default().into()
}
