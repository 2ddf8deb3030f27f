//! Settings of an entry instance.

use crate::reader::{SettingsErrors, SettingsReader};
use dispatch::RuleName;
use model::{ByteCount, DataCentre, InstanceName, Millis};
use smol_str::SmolStr;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

/// Shortest accepted token, in bytes.
const TOKEN_MIN_BYTES: usize = 8;

/// Form of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines for people.
    Text,
    /// One JSON object a line.
    Json,
}

/// The text names no log format.
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

/// What an instance does when neither the store nor another instance confirms its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IsolationPolicy {
    /// Serves with the configuration it has.
    Serve,
    /// Refuses all calls as not run.
    Refuse,
}

/// The text names no policy.
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

/// All settings of an entry instance.
#[derive(Debug, Clone, PartialEq)]
pub struct DaemonSettings {
    /// Its name.
    pub name: InstanceName,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// Where other instances connect.
    pub peer_address: SocketAddr,
    /// Where the platform's key-value service listens.
    pub platform_address: SocketAddr,
    /// Time allowed to a call to the platform.
    pub platform_timeout: Millis,
    /// Secret that operators and instances share.
    pub token: SmolStr,
    /// Peer addresses to try while no other instance is known.
    pub seeds: Vec<SocketAddr>,
    /// Threads that serve traffic.
    pub threads: usize,
    /// Longest accepted request body.
    pub body_limit: ByteCount,
    /// What to do without contact to the store and to others.
    pub isolated_policy: IsolationPolicy,
    /// How long without contact counts as isolated.
    pub isolated_after: Millis,
    /// Age of the store's last confirmation after which the instance refuses calls; zero for never.
    pub stale_limit: Millis,
    /// Longest time that a stop may take.
    pub stop_limit: Millis,
    /// Rule that picks backend servers; others than the default serve the bench alone.
    pub rule: RuleName,
    /// Form of the log lines.
    pub log_format: LogFormat,
    /// Events kept for the time line.
    pub timeline_events: usize,
}

impl DaemonSettings {
    /// Reads the settings from the text of a file.
    ///
    /// # Errors
    /// All that is wrong with it.
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
        let all = (name, data_centre, caller_address, operator_address, peer_address);
        let (
            Some(name),
            Some(data_centre),
            Some(caller_address),
            Some(operator_address),
            Some(peer_address),
        ) = all
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
