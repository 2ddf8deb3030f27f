//! Records and digests that instances exchange with each other and with the platform.

use crate::name::{DataCentre, InstanceName, ServerName, ServiceName};
use crate::quantity::{ConfigVersion, IncarnationId, Millis};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// Whether an instance accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// The instance accepts requests.
    Live,
    /// The instance accepts no new requests and finishes those in progress.
    Leaving,
}

impl InstanceState {
    /// Returns the text of the state in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Leaving => "leaving",
        }
    }
}

impl fmt::Display for InstanceState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The record of an instance in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Name of the instance.
    pub name: InstanceName,
    /// Incarnation of its process.
    pub incarnation: IncarnationId,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Address for other instances.
    pub peer_address: SocketAddr,
    /// Whether the instance accepts new requests.
    pub state: InstanceState,
}

/// A backend server that gets no new requests, whichever source reported this first.
///
/// The mark applies to this incarnation for good; another incarnation of the server is not
/// affected.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Leaving {
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Name of the server.
    pub server: ServerName,
    /// Incarnation that is leaving.
    pub incarnation: IncarnationId,
}

/// State of one instance in a [`FleetDigest`], as the sender last received it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestLine {
    /// Name of the instance.
    pub name: InstanceName,
    /// Latest known incarnation of the instance.
    pub incarnation: IncarnationId,
    /// Number of heartbeats that the incarnation has sent.
    pub beat: u64,
    /// Whether the instance accepts new requests.
    pub state: InstanceState,
    /// Configuration version in force at the instance.
    pub version: ConfigVersion,
}

/// The message that instances exchange with each heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetDigest {
    /// Record of the sender.
    pub sender: InstanceRecord,
    /// Hybrid logical time of the sender.
    pub clock: u64,
    /// Configuration version in force at the sender.
    pub version: ConfigVersion,
    /// Time since the store confirmed that version; `None` if the sender has no confirmation.
    pub confirmed_ago: Option<Millis>,
    /// State of the sender, which comes first, and of all other instances that it knows.
    pub lines: Vec<DigestLine>,
    /// All backend servers that the sender knows to be leaving.
    pub leaving: Vec<Leaving>,
}

impl FleetDigest {
    /// Returns the reply to `received`: this digest without the lines that are not newer than those
    /// in `received`. The first line, which describes the replying instance, is always included.
    pub fn reply_to(&self, received: &Self) -> Self {
        let is_newer = |line: &DigestLine| {
            let known = received.lines.iter().find(|known| known.name == line.name);
            known
                .is_none_or(|known| (line.incarnation, line.beat) > (known.incarnation, known.beat))
        };
        let own = self.lines.iter().take(1);
        let newer = self.lines.iter().skip(1).filter(|line| is_newer(line));
        Self { lines: own.chain(newer).cloned().collect(), ..self.clone() }
    }
}
