//! Messages between instances: datagrams, and replies to pulls of store changes.
//!
//! The formats are positional: the order and types of fields and variants must not change.

use crate::record::MemberRecord;
use crate::replica::StoreChange;
use model::{
    ConfigVersion, IncarnationId, InstanceName, Millis, RequestRate, ServerName, ServiceName,
    StoreRevision, TeamName,
};
use serde::{Deserialize, Serialize};

/// Maximum length of a datagram in bytes; it fits one Ethernet frame.
pub const DATAGRAM_MAX_BYTES: usize = 1400;

/// A heartbeat with the sender's state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatMessage {
    /// Name of the sender.
    pub name: InstanceName,
    /// Incarnation of the sender.
    pub incarnation: IncarnationId,
    /// Record of the sender, for instances that have not read it from the store. Only some
    /// heartbeats have it.
    pub record: Option<MemberRecord>,
    /// Whether callers may be directed to the sender.
    pub is_ready: bool,
    /// Whether the sender's own calls to the store fail at present.
    pub store_lost: bool,
    /// Revision up to which the sender's replica is complete.
    pub as_of: StoreRevision,
    /// Time since the store last confirmed that `as_of` is its newest revision.
    pub confirmed_age: Millis,
    /// Version of the configuration in force at the sender.
    pub version: ConfigVersion,
    /// Digest of the homes by the sender's view; see [`homes_digest`].
    pub homes: u32,
}

/// A heartbeat as one instance received it, passed on to others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeardHeartbeat {
    /// The heartbeat, without the sender's record.
    pub heartbeat: HeartbeatMessage,
    /// Time since it was received.
    pub age: Millis,
    /// Whether the sender counts as unresponsive since.
    pub is_unresponsive: bool,
}

impl HeardHeartbeat {
    /// A heartbeat that was received just now.
    pub fn now(heartbeat: HeartbeatMessage) -> Self {
        Self { heartbeat, age: Millis(0), is_unresponsive: false }
    }
}

/// Consecutive changes of the store, relayed to another instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// Revision after which the changes begin.
    pub after: StoreRevision,
    /// Revision up to which the changes are complete.
    pub as_of: StoreRevision,
    /// Time since the store last confirmed that `as_of` is its newest revision.
    pub confirmed_age: Millis,
    /// The latest change of each key that changed between the two revisions, possibly none.
    pub changes: Vec<StoreChange>,
}

/// Bytes of a datagram that the headers of a batch may take.
const BATCH_HEAD_BYTES: usize = 64;
/// Bytes that a change takes besides its key and its value.
const CHANGE_HEAD_BYTES: usize = 16;

/// A batch of changes as datagrams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SplitBatch {
    /// Consecutive batches that fit a datagram each.
    pub datagrams: Vec<ChangeBatch>,
    /// Whether they contain all changes. Otherwise the rest does not fit and must be pulled.
    pub is_complete: bool,
}

impl ChangeBatch {
    fn size(changes: &[StoreChange]) -> usize {
        let size_of = |change: &StoreChange| {
            change.key.len()
                + change.value.as_ref().map_or(0, |value| value.len())
                + CHANGE_HEAD_BYTES
        };
        BATCH_HEAD_BYTES + changes.iter().map(size_of).sum::<usize>()
    }

    /// Whether the batch fits a datagram.
    pub fn fits_datagram(&self) -> bool {
        Self::size(&self.changes) <= DATAGRAM_MAX_BYTES
    }

    /// Splits a batch of a watch, which has every single change, into datagrams. All changes of one
    /// revision stay together, since a replica that has only some of them must not count as complete
    /// up to it.
    pub fn split(mut self) -> SplitBatch {
        self.changes.sort_by_key(|change| change.revision);
        let mut datagrams: Vec<Self> = Vec::new();
        let mut after = self.after;
        let mut packed: Vec<StoreChange> = Vec::new();
        // Changes beyond `as_of` don't make a datagram complete up to their revisions.
        let completes = |change: &StoreChange| change.revision.min(self.as_of);
        for group in self.changes.chunk_by(|left, right| completes(left) == completes(right)) {
            let group_size = Self::size(group);
            if group_size > DATAGRAM_MAX_BYTES {
                datagrams.extend(Self::intermediate(after, packed));
                return SplitBatch { datagrams, is_complete: false };
            }
            let is_full = Self::size(&packed) + group_size - BATCH_HEAD_BYTES > DATAGRAM_MAX_BYTES;
            if is_full && let Some(batch) = Self::intermediate(after, std::mem::take(&mut packed)) {
                after = batch.as_of;
                datagrams.push(batch);
            }
            packed.extend_from_slice(group);
        }
        datagrams.push(Self { after, changes: packed, ..self });
        SplitBatch { datagrams, is_complete: true }
    }

    /// A batch that ends before the newest revision, so it confirms nothing.
    fn intermediate(after: StoreRevision, changes: Vec<StoreChange>) -> Option<Self> {
        let as_of = changes.last()?.revision;
        Some(Self { after, as_of, confirmed_age: Millis(u64::MAX), changes })
    }
}

/// A health checker's load report on one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRow {
    /// Tag of the server and its incarnation; see [`server_tag`].
    pub server: u32,
    /// Number of requests in progress at the server.
    pub running: u8,
    /// Number of requests in the server's queue.
    pub waiting: u8,
    /// Slowdown factor of the server in tenths; zero if the health check failed.
    pub slowdown_tenths: u8,
    /// Age of the report on its arrival in milliseconds, as the sender estimates it.
    pub age_ms: u8,
}

/// A backend server that said in the response to a health check that it is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmUpRow {
    /// Tag of the server and its incarnation; see [`server_tag`].
    pub server: u32,
    /// Time for which it stays cold, in tenths of a second.
    pub left_tenths: u8,
}

/// What a backend server said about the rate of requests that it accepts from all instances.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitRow {
    /// Tag of the server and its incarnation; see [`server_tag`].
    pub server: u32,
    /// The rate that it accepts; `None` if it no longer limits its requests.
    pub rate: Option<RequestRate>,
    /// Time since it said so.
    pub age: Millis,
}

/// Request rates of an instance, by which the instances share the rates that servers accept, and the
/// limits that it knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitMessage {
    /// Name of the sender.
    pub name: InstanceName,
    /// Rate at which it receives requests of callers for each service.
    pub demands: Vec<(ServiceName, RequestRate)>,
    /// Limits of servers that the receiver may use, possibly only some of them.
    pub limits: Vec<LimitRow>,
}

impl LimitMessage {
    /// Whether all rates are finite and not negative.
    pub fn is_valid(&self) -> bool {
        let demands = self.demands.iter().map(|(_, rate)| rate);
        let limits = self.limits.iter().filter_map(|row| row.rate.as_ref());
        demands.chain(limits).all(|rate| rate.is_valid())
    }
}

/// What an instance has used of a team's quota.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct QuotaRow {
    /// Tag of the team; see [`team_tag`].
    pub team: u32,
    /// Requests admitted since the start of the process; wraps around.
    pub spent: u32,
    /// Rate of requests that ask to be admitted.
    pub demand: RequestRate,
}

/// What an instance has used of the teams' quotas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaMessage {
    /// Name of the sender.
    pub name: InstanceName,
    /// Process of the sender that counted.
    pub incarnation: IncarnationId,
    /// The quotas in use, possibly only some of them.
    pub rows: Vec<QuotaRow>,
}

impl QuotaMessage {
    /// Whether all rates are finite and not negative.
    pub fn is_valid(&self) -> bool {
        self.rows.iter().all(|row| row.demand.is_valid())
    }
}

/// Returns a short hash that identifies a team. If two teams have the same one, the use of either counts
/// for one of them.
pub fn team_tag(name: &TeamName) -> u32 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(name.as_str().as_bytes());
    first_word(&hasher)
}

/// Returns a short hash that identifies one incarnation of a backend server. If two servers have
/// the same one, reports on either count for one of them, which only misplaces a few requests.
pub fn server_tag(name: &ServerName, incarnation: IncarnationId) -> u32 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(name.as_str().as_bytes());
    hasher.update(&incarnation.0.to_le_bytes());
    first_word(&hasher)
}

/// Returns a digest of the homes' names in any order, by which instances compare their views.
pub fn homes_digest<'a>(homes: impl Iterator<Item = &'a InstanceName>) -> u32 {
    let mut names: Vec<&str> = homes.map(InstanceName::as_str).collect();
    names.sort_unstable();
    let mut hasher = blake3::Hasher::new();
    for name in names {
        hasher.update(name.as_bytes());
        hasher.update(&[0]);
    }
    first_word(&hasher)
}

fn first_word(hasher: &blake3::Hasher) -> u32 {
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..4]);
    u32::from_le_bytes(bytes)
}

/// A datagram between instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerDatagram {
    /// Periodic sign that the sender is alive, with its state.
    Heartbeat(HeartbeatMessage),
    /// Relayed changes of the store.
    Changes(ChangeBatch),
    /// A health checker's reports on the servers of its data centre.
    LoadReports(Vec<LoadRow>),
    /// Heartbeats passed on within a data centre, the relay's own among them.
    Relayed(Vec<HeardHeartbeat>),
    /// What an instance knows of servers that limit the rate of their requests.
    Limits(LimitMessage),
    /// What an instance has used of the teams' quotas.
    Quotas(QuotaMessage),
    /// Cold servers among those of a health checker's next load reports.
    WarmUps(Vec<WarmUpRow>),
}

/// The reply to an instance that pulls the store's changes after a revision. `batch` has every single
/// change only after its own `after`; the earlier ones may be net effects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullReply {
    /// Revision after which the changes begin; `None` if `batch` is a snapshot of all items.
    pub after: Option<StoreRevision>,
    /// The changes after that revision, or all items.
    pub batch: ChangeBatch,
}
