//! Tracks the slots of backend servers and picks a server for each request.

use model::{IncarnationId, MonoTime, ServerName, SlotCount};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Weight of the newest service time in a server's mean.
const NEWEST_WEIGHT: f64 = 0.2;
/// A server counts as stuck if a short request has been there longer than this multiple of the
/// typical service time.
const STUCK_FACTOR: u32 = 4;
/// Lower bound on the age from which a short request makes its server stuck.
const STUCK_MIN: Duration = Duration::from_millis(10);
/// Backoff after the first failure of a server; doubles with each further one.
const BACKOFF_FIRST: Duration = Duration::from_millis(100);
/// Upper bound on the backoff after failures.
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Backoff after a backend server shed a request.
const SHED_BACKOFF: Duration = Duration::from_millis(20);
/// Time for which a server's report of requests from other instances is used.
const REPORT_TTL: Duration = Duration::from_millis(100);

/// Configuration of one backend server and the part of its slots that this instance may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSlots {
    /// Name of the backend server.
    pub name: ServerName,
    /// Incarnation of the server. A new one discards the state of the previous one.
    pub incarnation: IncarnationId,
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Number of slots that this instance may fill.
    pub slots: SlotCount,
    /// Whether the server is leaving and gets no new requests.
    pub leaving: bool,
}

/// How the exchange of a request in a slot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotOutcome {
    /// A complete response arrived.
    Answered,
    /// The backend server refused the request without running it.
    Shed,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke before the response was complete.
    Broken,
    /// No complete response arrived in time.
    TimedOut,
    /// The exchange was not begun or was given up, for example because the caller disconnected; does
    /// not affect the server's state.
    Abandoned,
}

/// Whether a backend server may get new requests now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// May get new requests.
    Usable,
    /// Gets no new requests for a short time because it failed or shed.
    BackingOff,
    /// Gets no new requests any more.
    Leaving,
}

impl ServerState {
    /// Returns the token used in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Usable => "usable",
            Self::BackingOff => "paused",
            Self::Leaving => "leaving",
        }
    }
}

/// State of a backend server, as a dispatch rule and reports see it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerView {
    /// Number of this instance's requests in progress at the server.
    pub in_flight: u32,
    /// Number of slots that this instance may fill.
    pub slots: u32,
    /// Number of requests of other instances in progress, by the server's last report; zero if the
    /// report is too old.
    pub external: u32,
    /// Mean service time of short work at this server, in microseconds; zero if unknown.
    pub mean_micros: f64,
    /// Whether a short request has been in progress far longer than the typical service time.
    pub stuck: bool,
    /// Whether the server may get new requests now.
    pub state: ServerState,
}

impl ServerView {
    /// Returns the number of requests in progress at the server, those of other instances included.
    pub fn occupancy(&self) -> u32 {
        self.in_flight.saturating_add(self.external)
    }
}

/// Picks a backend server for the next request.
pub trait DispatchRule: Send {
    /// Returns the index of the chosen server, or `None` to keep the request waiting. `servers` is
    /// never empty.
    fn choose(&mut self, servers: &[ServerView]) -> Option<usize>;
}

/// Sends a request only to a server with a free slot, as far as this instance can tell: the one with
/// the smallest share of its slots filled. Stuck servers come last; servers with equal shares take
/// turns.
#[derive(Debug, Default)]
pub struct LateBinding {
    turn: usize,
}

impl DispatchRule for LateBinding {
    fn choose(&mut self, servers: &[ServerView]) -> Option<usize> {
        self.turn = self.turn.wrapping_add(1);
        let count = servers.len();
        let turn = self.turn;
        let is_free = |server: &ServerView| server.occupancy() < server.slots;
        (0..count)
            .map(|offset| (turn.wrapping_add(offset)) % count)
            .filter(|index| is_free(&servers[*index]))
            .min_by(|left, right| {
                let (left, right) = (&servers[*left], &servers[*right]);
                left.stuck
                    .cmp(&right.stuck)
                    .then(filled_share(left).total_cmp(&filled_share(right)))
            })
    }
}

/// Returns the filled share of a server's slots.
fn filled_share(server: &ServerView) -> f64 {
    f64::from(server.occupancy()) / f64::from(server.slots.max(1))
}

#[derive(Debug)]
struct OpenRequest {
    sent_at: MonoTime,
    is_short: bool,
}

#[derive(Debug)]
struct SlotState {
    config: ServerSlots,
    requests: BTreeMap<u64, OpenRequest>,
    mean_micros: f64,
    /// Number of failures since the last complete response or answered probe.
    failures: u32,
    backoff_until: MonoTime,
    external: u32,
    external_until: MonoTime,
}

impl SlotState {
    fn new(config: ServerSlots) -> Self {
        Self {
            config,
            requests: BTreeMap::new(),
            mean_micros: 0.0,
            failures: 0,
            backoff_until: MonoTime(0),
            external: 0,
            external_until: MonoTime(0),
        }
    }

    fn view(&self, now: MonoTime, typical: Duration) -> ServerView {
        let stuck_after = (typical * STUCK_FACTOR).max(STUCK_MIN);
        ServerView {
            in_flight: u32::try_from(self.requests.len()).unwrap_or(u32::MAX),
            slots: self.config.slots.0,
            external: if now < self.external_until { self.external } else { 0 },
            mean_micros: self.mean_micros,
            stuck: self
                .requests
                .values()
                .any(|request| request.is_short && now.since(request.sent_at) > stuck_after),
            state: self.state(now),
        }
    }

    fn state(&self, now: MonoTime) -> ServerState {
        if self.config.leaving {
            return ServerState::Leaving;
        }
        if now < self.backoff_until { ServerState::BackingOff } else { ServerState::Usable }
    }

    /// An answered probe ends the backoff after failures; an unanswered one counts as a failure.
    fn record_probe(&mut self, now: MonoTime, answered: bool) {
        if !answered {
            self.record_failure(now);
        } else if self.failures > 0 {
            self.failures = 0;
            self.backoff_until = now;
        }
    }

    fn record_failure(&mut self, now: MonoTime) {
        let backoff = BACKOFF_FIRST * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.backoff_until = now.plus(backoff.min(BACKOFF_MAX));
    }

    fn is_usable(&self, now: MonoTime) -> bool {
        self.state(now) == ServerState::Usable
    }
}

/// The slot that a request was given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotGrant {
    /// Name of the backend server.
    pub server: ServerName,
    /// Incarnation of the server.
    pub incarnation: IncarnationId,
    /// Address on which the server listens.
    pub address: SocketAddr,
}

/// The slots of all backend servers of a service.
pub struct SlotTable {
    servers: Vec<SlotState>,
    rule: Box<dyn DispatchRule>,
    typical_micros: f64,
}

impl SlotTable {
    /// Creates a table without servers.
    pub fn new(rule: Box<dyn DispatchRule>) -> Self {
        Self { servers: Vec::new(), rule, typical_micros: 0.0 }
    }

    /// Replaces the servers. Servers with unchanged name and incarnation keep their state.
    pub fn set_servers(&mut self, configs: Vec<ServerSlots>) {
        let mut previous = std::mem::take(&mut self.servers);
        for config in configs {
            let same = |state: &SlotState| {
                state.config.name == config.name && state.config.incarnation == config.incarnation
            };
            match previous.iter().position(same) {
                Some(index) => {
                    let mut state = previous.swap_remove(index);
                    // The server may have announced that it is leaving before the configuration
                    // says so.
                    let leaving = state.config.leaving || config.leaving;
                    state.config = ServerSlots { leaving, ..config };
                    self.servers.push(state);
                }
                None => self.servers.push(SlotState::new(config)),
            }
        }
    }

    /// Marks a server as leaving until another incarnation of it is configured.
    pub fn mark_leaving(&mut self, name: &ServerName, incarnation: IncarnationId) {
        if let Some(state) = self.find(name, incarnation) {
            state.config.leaving = true;
        }
    }

    /// Records whether a server answered a probe.
    pub fn record_probe(
        &mut self,
        now: MonoTime,
        name: &ServerName,
        incarnation: IncarnationId,
        answered: bool,
    ) {
        if let Some(state) = self.find(name, incarnation) {
            state.record_probe(now, answered);
        }
    }

    /// Number of slots, free or not, of all servers that may get new requests now.
    pub fn usable_slots(&self, now: MonoTime) -> u32 {
        self.servers
            .iter()
            .filter(|state| state.is_usable(now))
            .fold(0, |total: u32, state| total.saturating_add(state.config.slots.0))
    }

    /// Whether any server is not leaving; otherwise no waiting request can ever get a slot.
    pub fn has_servers(&self) -> bool {
        self.servers.iter().any(|state| !state.config.leaving)
    }

    /// Mean service time of short work over all servers; zero if unknown.
    pub fn typical_service_time(&self) -> Duration {
        Duration::from_micros(self.typical_micros as u64)
    }

    /// Number of requests in all slots.
    pub fn in_flight(&self) -> usize {
        self.servers.iter().map(|state| state.requests.len()).sum()
    }

    /// Returns the name and state of each server.
    pub fn views(&self, now: MonoTime) -> Vec<(ServerName, ServerView)> {
        let typical = self.typical_service_time();
        let view = |state: &SlotState| (state.config.name.clone(), state.view(now, typical));
        self.servers.iter().map(view).collect()
    }

    /// Takes a slot for a request, or returns `None` if it must wait. Servers in `avoid` are used
    /// only if no other is usable.
    pub fn take(
        &mut self,
        now: MonoTime,
        request: u64,
        is_short: bool,
        avoid: &[ServerName],
    ) -> Option<SlotGrant> {
        let typical = self.typical_service_time();
        let is_usable = |index: &usize| self.servers[*index].is_usable(now);
        let mut usable: Vec<usize> = (0..self.servers.len()).filter(is_usable).collect();
        let is_avoided = |index: &usize| avoid.contains(&self.servers[*index].config.name);
        if !usable.iter().all(is_avoided) {
            usable.retain(|index| !is_avoided(index));
        }
        if usable.is_empty() {
            return None;
        }
        let views: Vec<ServerView> =
            usable.iter().map(|index| self.servers[*index].view(now, typical)).collect();
        let chosen = usable[self.rule.choose(&views)?];
        let state = &mut self.servers[chosen];
        state.requests.insert(request, OpenRequest { sent_at: now, is_short });
        Some(SlotGrant {
            server: state.config.name.clone(),
            incarnation: state.config.incarnation,
            address: state.config.address,
        })
    }

    /// Frees a slot and updates the server's state from the outcome. Returns the time that the
    /// request spent in the slot, or `None` if the server or request is unknown.
    pub fn release(
        &mut self,
        now: MonoTime,
        request: u64,
        grant: &SlotGrant,
        outcome: SlotOutcome,
        reported: Option<u32>,
    ) -> Option<Duration> {
        let typical_micros = &mut self.typical_micros;
        let state = self.servers.iter_mut().find(|state| {
            state.config.name == grant.server && state.config.incarnation == grant.incarnation
        })?;
        let entry = state.requests.remove(&request)?;
        let elapsed = now.since(entry.sent_at);
        if let Some(reported) = reported {
            let own = u32::try_from(state.requests.len()).unwrap_or(u32::MAX);
            state.external = reported.saturating_sub(own);
            state.external_until = now.plus(REPORT_TTL);
        }
        match outcome {
            SlotOutcome::Answered => {
                state.failures = 0;
                if entry.is_short {
                    let micros = elapsed.as_micros() as f64;
                    state.mean_micros = blend(state.mean_micros, micros);
                    *typical_micros = blend_bounded(*typical_micros, micros);
                }
            }
            SlotOutcome::Abandoned => {}
            SlotOutcome::Shed => state.backoff_until = now.plus(SHED_BACKOFF),
            // A single timeout may be one slow request; only further ones count against the server.
            SlotOutcome::TimedOut if state.failures == 0 => state.failures = 1,
            SlotOutcome::Unreachable | SlotOutcome::Broken | SlotOutcome::TimedOut => {
                state.record_failure(now);
            }
        }
        Some(elapsed)
    }

    fn find(&mut self, name: &ServerName, incarnation: IncarnationId) -> Option<&mut SlotState> {
        self.servers
            .iter_mut()
            .find(|state| state.config.name == *name && state.config.incarnation == incarnation)
    }
}

/// Returns the exponentially weighted mean after a new value. A mean of zero means no value yet.
fn blend(mean: f64, newest: f64) -> f64 {
    if mean == 0.0 { newest } else { mean + NEWEST_WEIGHT * (newest - mean) }
}

/// Like [`blend`], but caps an outlier at [`STUCK_FACTOR`] times the mean.
fn blend_bounded(mean: f64, newest: f64) -> f64 {
    let bound = if mean == 0.0 { newest } else { newest.min(mean * f64::from(STUCK_FACTOR)) };
    blend(mean, bound)
}
