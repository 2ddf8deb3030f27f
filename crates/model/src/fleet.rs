//! What instances tell each other and the platform about themselves.

use crate::name::{DataCentre, InstanceName, ServerName, ServiceName};
use crate::quantity::{ConfigVersion, IncarnationId, Millis};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// Whether an instance takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// Takes work.
    Live,
    /// Takes no new work and finishes what it has.
    Leaving,
}

impl InstanceState {
    /// The state as it stands in reports.
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

/// An entry instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Its name.
    pub name: InstanceName,
    /// The run of its process.
    pub incarnation: IncarnationId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// Where other instances connect.
    pub peer_address: SocketAddr,
    /// Whether it takes new work.
    pub state: InstanceState,
}

/// A backend server that takes no new work, whichever source said so first.
///
/// It is undone only by another incarnation of the backend server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Leaving {
    /// The service it belongs to.
    pub service: ServiceName,
    /// Its name.
    pub server: ServerName,
    /// The incarnation that is leaving.
    pub incarnation: IncarnationId,
}

/// What one instance knows of one instance, itself or another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestLine {
    /// The instance.
    pub name: InstanceName,
    /// Its latest known incarnation.
    pub incarnation: IncarnationId,
    /// Heartbeats that the incarnation has sent.
    pub beat: u64,
    /// Whether it takes new work.
    pub state: InstanceState,
    /// The configuration version in force there.
    pub version: ConfigVersion,
}

/// What instances exchange with each heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetDigest {
    /// Who sends it.
    pub sender: InstanceRecord,
    /// The sender's hybrid logical time.
    pub clock: u64,
    /// The configuration version in force at the sender.
    pub version: ConfigVersion,
    /// How long ago the store confirmed that version, as far as the sender knows.
    pub confirmed_ago: Option<Millis>,
    /// All instances that the sender knows.
    pub lines: Vec<DigestLine>,
    /// Backend servers that are leaving.
    pub leaving: Vec<Leaving>,
}

impl FleetDigest {
    /// The answer to `seen`: only lines that are news to its sender. The first line, which is the
    /// answering instance's own, always stays.
    pub fn reply_to(&self, seen: &Self) -> Self {
        let is_news = |line: &DigestLine| {
            let known = seen.lines.iter().find(|known| known.name == line.name);
            known
                .is_none_or(|known| (line.incarnation, line.beat) > (known.incarnation, known.beat))
        };
        let own = self.lines.iter().take(1);
        let news = self.lines.iter().skip(1).filter(|line| is_news(line));
        Self { lines: own.chain(news).cloned().collect(), ..self.clone() }
    }
}
