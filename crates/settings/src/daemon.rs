//! Settings of an entry instance.

use crate::reader::{SettingsErrors, SettingsReader};
use dispatch::RuleName;
use model::{ByteCount, DataCentre, InstanceName, Millis};
use smol_str::SmolStr;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

/// Minimum length of the token, in bytes.
const TOKEN_MIN_BYTES: usize = 8;

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Error for a text that is not a [`LogFormat`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseFormatError;

impl FromStr for LogFormat {
    type Err = ParseFormatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(ParseFormatError),
        }
    }
}

/// Behaviour of an isolated instance: neither the store nor another instance confirms its
/// configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IsolationPolicy {
    /// Serves requests with the configuration that it has.
    Serve,
    /// Refuses all requests as not run.
    Refuse,
}

/// Error for a text that is not an [`IsolationPolicy`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParsePolicyError;

impl FromStr for IsolationPolicy {
    type Err = ParsePolicyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "serve" => Ok(Self::Serve),
            "refuse" => Ok(Self::Refuse),
            _ => Err(ParsePolicyError),
        }
    }
}

impl fmt::Display for IsolationPolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Serve => "serve",
            Self::Refuse => "refuse",
        })
    }
}

/// Settings of an entry instance.
#[derive(Debug, Clone, PartialEq)]
pub struct DaemonSettings {
    /// Name of the instance.
    pub name: InstanceName,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for operators.
    pub operator_address: SocketAddr,
    /// Listen address for other instances.
    pub peer_address: SocketAddr,
    /// Address of the platform's key-value service, the store.
    pub platform_address: SocketAddr,
    /// Timeout of a call to the platform.
    pub platform_timeout: Millis,
    /// Secret shared by operators and instances.
    pub token: SmolStr,
    /// Peer addresses to contact while no other instance is known.
    pub seeds: Vec<SocketAddr>,
    /// Number of threads that serve traffic, from 1 to 64.
    pub threads: usize,
    /// Maximum size of a request body.
    pub body_limit: ByteCount,
    /// Behaviour of this instance while it is isolated.
    pub isolated_policy: IsolationPolicy,
    /// Time without contact to the store and to other instances after which this instance is
    /// isolated.
    pub isolated_after: Millis,
    /// Age of the store's last confirmation after which the instance refuses requests; 0 for never.
    pub stale_limit: Millis,
    /// Longest time that a stop waits for cached address lists to expire and for work in progress.
    pub stop_limit: Millis,
    /// Rule that chooses backend servers. Rules other than the default are for benchmarks only.
    pub rule: RuleName,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Number of events kept for the time line; 0 records none.
    pub timeline_events: usize,
}

impl DaemonSettings {
    /// Parses `text`, the content of `file`.
    ///
    /// # Errors
    /// All errors in the text.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsErrors> {
        let mut reader = SettingsReader::new(file, text)?;
        let address = "an address such as 10.0.0.1:7000";
        let millis = "milliseconds";
        let name = reader.required("instance", "name", "an instance name");
        let data_centre = reader.required("instance", "data_centre", "a data centre name");
        let caller_address = reader.required("instance", "caller_address", address);
        let operator_address = reader.required("instance", "operator_address", address);
        let peer_address = reader.required("instance", "peer_address", address);
        let platform_address = reader.required("platform", "address", address);
        let platform_timeout = reader.with_default("platform", "timeout_ms", millis, Millis(1_000));
        let token: Option<SmolStr> =
            reader.required("fleet", "token", "a secret of 8 bytes or more");
        if token.as_ref().is_some_and(|token| token.len() < TOKEN_MIN_BYTES) {
            reader.push_error("fleet", "token", "expected a secret of 8 bytes or more".into());
        }
        let seeds = reader.list("fleet", "seeds", address);
        let threads = reader.with_default("traffic", "threads", "a count from 1 to 64", 2);
        if !(1..=64).contains(&threads) {
            reader.push_error("traffic", "threads", "expected a count from 1 to 64".into());
        }
        let body_limit =
            reader.with_default("traffic", "body_limit_bytes", "bytes", ByteCount(1024 * 1024));
        let policy = "serve or refuse";
        let isolated_policy =
            reader.with_default("traffic", "isolated_policy", policy, IsolationPolicy::Refuse);
        let isolated_after =
            reader.with_default("traffic", "isolated_after_ms", millis, Millis(5_000));
        let stale_limit = reader.with_default("traffic", "stale_limit_ms", millis, Millis(0));
        let stop_limit = reader.with_default("traffic", "stop_limit_ms", millis, Millis(30_000));
        let rule =
            reader.with_default("bench", "rule", "the name of a rule", RuleName::LateBinding);
        let log_format = reader.with_default("log", "format", "text or json", LogFormat::Text);
        let timeline_events = reader.with_default("timeline", "events", "a count", 32_768);
        reader.close()?;
        let required = (name, data_centre, caller_address, operator_address, peer_address);
        let (
            Some(name),
            Some(data_centre),
            Some(caller_address),
            Some(operator_address),
            Some(peer_address),
        ) = required
        else {
            return Err(SettingsErrors(Vec::new()));
        };
        let (Some(platform_address), Some(token)) = (platform_address, token) else {
            return Err(SettingsErrors(Vec::new()));
        };
        Ok(Self {
            name,
            data_centre,
            caller_address,
            operator_address,
            peer_address,
            platform_address,
            platform_timeout,
            token,
            seeds,
            threads,
            body_limit,
            isolated_policy,
            isolated_after,
            stale_limit,
            stop_limit,
            rule,
            log_format,
            timeline_events,
        })
    }
}
