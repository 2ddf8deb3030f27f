//! What is known about the slots of backend servers, and the rule that picks one.

use model::{IncarnationId, MonoTime, ServerName, SlotCount};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Weight of the newest service time in a server's mean.
const NEWEST_WEIGHT: f64 = 0.2;
/// A server with a short request older than this many typical spans is used last.
const STUCK_FACTOR: u32 = 4;
/// Age below which a request never counts as stuck.
const STUCK_MIN: Duration = Duration::from_millis(10);
/// First pause after a connection failure; it doubles with each further one.
const PAUSE_FIRST: Duration = Duration::from_millis(100);
/// Longest pause after connection failures.
const PAUSE_MAX: Duration = Duration::from_secs(2);
/// Pause after a backend server shed a request.
const SHED_PAUSE: Duration = Duration::from_millis(20);
/// How long a report of work from elsewhere holds.
const REPORT_SPAN: Duration = Duration::from_millis(100);

/// The slots of one backend server, as the configuration and the fleet give them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSlots {
    /// The backend server.
    pub name: ServerName,
    /// Its incarnation; state is kept only while this stays the same.
    pub incarnation: IncarnationId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Slots that this instance may fill.
    pub slots: SlotCount,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// How a request's stay in a slot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotOutcome {
    /// A whole answer came.
    Answered,
    /// The backend server refused without running it.
    Shed,
    /// No connection could be opened.
    Unreachable,
    /// The exchange broke.
    Broken,
    /// No whole answer came in time.
    TimedOut,
    /// The caller went away; nothing is learned.
    Abandoned,
}

/// Whether a backend server takes new work now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// It does.
    Usable,
    /// It failed or shed a moment ago.
    Paused,
    /// It is leaving.
    Leaving,
}

impl ServerState {
    /// The state as it stands in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Usable => "usable",
            Self::Paused => "paused",
            Self::Leaving => "leaving",
        }
    }
}

/// What a traffic rule may know about a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerView {
    /// Requests that this instance has there.
    pub in_flight: u32,
    /// Slots that this instance may fill.
    pub slots: u32,
    /// Work from elsewhere, by the server's last report.
    pub foreign: u32,
    /// Mean service time of short work, in microseconds; zero if unknown.
    pub mean_micros: f64,
    /// Whether a short request has been there far longer than is typical.
    pub stuck: bool,
    /// Whether it takes new work now.
    pub state: ServerState,
}

/// Picks a backend server for the next request.
pub trait DispatchRule: Send {
    /// Gives the index of the chosen server, or none to keep the request waiting.
    fn choose(&mut self, servers: &[ServerView]) -> Option<usize>;
}

/// Sends a request only into a slot believed free, to the least filled server that is not stuck.
#[derive(Debug, Default)]
pub struct LateBinding {
    turn: usize,
}

impl DispatchRule for LateBinding {
    fn choose(&mut self, servers: &[ServerView]) -> Option<usize> {
        self.turn = self.turn.wrapping_add(1);
        let count = servers.len();
        let turn = self.turn;
        let is_free = |server: &ServerView| server.in_flight + server.foreign < server.slots;
        (0..count)
            .map(|offset| (turn.wrapping_add(offset)) % count)
            .filter(|index| is_free(&servers[*index]))
            .min_by(|left, right| {
                let (left, right) = (&servers[*left], &servers[*right]);
                left.stuck.cmp(&right.stuck).then(fill(left).total_cmp(&fill(right)))
            })
    }
}

/// Filled share of the slots.
fn fill(server: &ServerView) -> f64 {
    f64::from(server.in_flight + server.foreign) / f64::from(server.slots.max(1))
}

#[derive(Debug)]
struct FlightEntry {
    since: MonoTime,
    is_short: bool,
}

#[derive(Debug)]
struct SlotState {
    config: ServerSlots,
    flights: BTreeMap<u64, FlightEntry>,
    mean_micros: f64,
    failures: u32,
    paused_until: MonoTime,
    foreign: u32,
    foreign_until: MonoTime,
}

impl SlotState {
    fn new(config: ServerSlots) -> Self {
        Self {
            config,
            flights: BTreeMap::new(),
            mean_micros: 0.0,
            failures: 0,
            paused_until: MonoTime(0),
            foreign: 0,
            foreign_until: MonoTime(0),
        }
    }

    fn view(&self, now: MonoTime, typical: Duration) -> ServerView {
        let stuck_after = (typical * STUCK_FACTOR).max(STUCK_MIN);
        ServerView {
            in_flight: u32::try_from(self.flights.len()).unwrap_or(u32::MAX),
            slots: self.config.slots.0,
            foreign: if now < self.foreign_until { self.foreign } else { 0 },
            mean_micros: self.mean_micros,
            stuck: self
                .flights
                .values()
                .any(|flight| flight.is_short && now.since(flight.since) > stuck_after),
            state: self.state(now),
        }
    }

    fn state(&self, now: MonoTime) -> ServerState {
        if self.config.leaving {
            return ServerState::Leaving;
        }
        if now < self.paused_until { ServerState::Paused } else { ServerState::Usable }
    }

    /// An answered probe ends a pause after failures, an unanswered one begins or prolongs it.
    fn record_probe(&mut self, now: MonoTime, answered: bool) {
        if !answered {
            self.pause(now);
        } else if self.failures > 0 {
            self.failures = 0;
            self.paused_until = now;
        }
    }

    fn pause(&mut self, now: MonoTime) {
        let span = PAUSE_FIRST * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.paused_until = now.plus(span.min(PAUSE_MAX));
    }

    fn is_usable(&self, now: MonoTime) -> bool {
        self.state(now) == ServerState::Usable
    }
}

/// A request's place in a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotGrant {
    /// The backend server.
    pub server: ServerName,
    /// The incarnation that was chosen.
    pub incarnation: IncarnationId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// The slots of all backend servers of a service.
pub struct SlotTable {
    servers: Vec<SlotState>,
    rule: Box<dyn DispatchRule>,
    typical_micros: f64,
}

impl SlotTable {
    /// Starts without servers.
    pub fn new(rule: Box<dyn DispatchRule>) -> Self {
        Self { servers: Vec::new(), rule, typical_micros: 0.0 }
    }

    /// Takes over the configured servers and keeps what is known of those that stay.
    pub fn set_servers(&mut self, configs: Vec<ServerSlots>) {
        let mut known = std::mem::take(&mut self.servers);
        for config in configs {
            let same = |state: &SlotState| {
                state.config.name == config.name && state.config.incarnation == config.incarnation
            };
            match known.iter().position(same) {
                Some(at) => {
                    let mut state = known.swap_remove(at);
                    // The configuration may lag behind what the server itself said.
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

    /// Takes note of whether a server answered a probe.
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

    /// Slots of all servers that take new work.
    pub fn usable_slots(&self, now: MonoTime) -> u32 {
        self.servers
            .iter()
            .filter(|state| state.is_usable(now))
            .map(|state| state.config.slots.0)
            .sum()
    }

    /// Whether any server may take work at some time, so that waiting makes sense.
    pub fn has_servers(&self) -> bool {
        self.servers.iter().any(|state| !state.config.leaving)
    }

    /// Mean service time of short work over all servers, if known.
    pub fn typical_service_time(&self) -> Duration {
        Duration::from_micros(self.typical_micros as u64)
    }

    /// Requests in all slots.
    pub fn in_flight(&self) -> usize {
        self.servers.iter().map(|state| state.flights.len()).sum()
    }

    /// What the rule sees now, with the names of the servers.
    pub fn views(&self, now: MonoTime) -> Vec<(ServerName, ServerView)> {
        let typical = self.typical_service_time();
        let view = |state: &SlotState| (state.config.name.clone(), state.view(now, typical));
        self.servers.iter().map(view).collect()
    }

    /// Takes a slot for a request. Servers that already failed it are used only if no other is left.
    pub fn take(
        &mut self,
        now: MonoTime,
        flight: u64,
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
        state.flights.insert(flight, FlightEntry { since: now, is_short });
        Some(SlotGrant {
            server: state.config.name.clone(),
            incarnation: state.config.incarnation,
            address: state.config.address,
        })
    }

    /// Frees a slot and learns from how the request fared. Gives the span it took.
    pub fn release(
        &mut self,
        now: MonoTime,
        flight: u64,
        grant: &SlotGrant,
        outcome: SlotOutcome,
        reported: Option<u32>,
    ) -> Option<Duration> {
        let typical_micros = &mut self.typical_micros;
        let state = self.servers.iter_mut().find(|state| {
            state.config.name == grant.server && state.config.incarnation == grant.incarnation
        })?;
        let entry = state.flights.remove(&flight)?;
        let span = now.since(entry.since);
        if let Some(reported) = reported {
            let own = u32::try_from(state.flights.len()).unwrap_or(u32::MAX);
            state.foreign = reported.saturating_sub(own);
            state.foreign_until = now.plus(REPORT_SPAN);
        }
        match outcome {
            SlotOutcome::Answered => {
                state.failures = 0;
                if entry.is_short {
                    let micros = span.as_micros() as f64;
                    state.mean_micros = blend(state.mean_micros, micros);
                    *typical_micros = blend_bounded(*typical_micros, micros);
                }
            }
            SlotOutcome::Abandoned => {}
            SlotOutcome::Shed => state.paused_until = now.plus(SHED_PAUSE),
            // One time-out may be a straggler; several in a row are the server's.
            SlotOutcome::TimedOut if state.failures == 0 => state.failures = 1,
            SlotOutcome::Unreachable | SlotOutcome::Broken | SlotOutcome::TimedOut => {
                state.pause(now);
            }
        }
        Some(span)
    }

    fn find(&mut self, name: &ServerName, incarnation: IncarnationId) -> Option<&mut SlotState> {
        self.servers
            .iter_mut()
            .find(|state| state.config.name == *name && state.config.incarnation == incarnation)
    }
}

fn blend(mean: f64, newest: f64) -> f64 {
    if mean == 0.0 { newest } else { mean + NEWEST_WEIGHT * (newest - mean) }
}

/// Blends like [`blend`], but a straggler counts only as a few typical spans.
fn blend_bounded(mean: f64, newest: f64) -> f64 {
    let bound = if mean == 0.0 { newest } else { newest.min(mean * f64::from(STUCK_FACTOR)) };
    blend(mean, bound)
}
