//! A small deterministic model of a service under load: servers that change their pace and slow down
//! when they are nearly full, reports that are a little old, and callers that arrive evenly.

use super::{at, key, queue_of, service, spec};
use balance::{
    ExchangeOutcome, LoadReport, Placement, ProcessingSample, QueueDecision, QueueId, RequestQueue,
    RequestSpec,
};
use model::{BackendSpec, SlotCount};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Time between reports of a server, in milliseconds.
const REPORT_MS: u64 = 40;
/// Mean time for which a server keeps its pace, in milliseconds.
const PACE_MS: f64 = 500.0;

/// A load and the servers that it meets.
#[derive(Debug, Clone)]
pub struct PlayedLoad {
    /// Servers, of six slots each.
    pub servers: usize,
    /// Requests a second.
    pub per_s: f64,
    /// Mean work of a request in milliseconds; it varies by 30% both ways.
    pub work_ms: f64,
    /// Until when an answer is worth most, in milliseconds.
    pub objective_ms: u64,
    /// When the caller gives up, in milliseconds.
    pub deadline_ms: u64,
    /// Requests from which on a server is slower, and how many times.
    pub knee: (u32, f64),
    /// Part of the servers that work seven times slower at any moment.
    pub slow_share: f64,
    /// Length in seconds.
    pub span_s: u64,
    /// Seed of work and pace.
    pub seed: u64,
}

/// What callers got in one second.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlayedSecond {
    /// Requests that arrived in it.
    pub asked: u32,
    /// Those answered within their objective.
    pub in_time: u32,
    /// Those answered later.
    pub late: u32,
    /// Those turned away.
    pub refused: u32,
    /// Sum of the spans of those answered, in milliseconds.
    pub span_ms: f64,
}

impl PlayedSecond {
    /// Part of the requests that was answered within the objective.
    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }

    /// Mean span of those answered, in milliseconds.
    pub fn mean_span_ms(&self) -> f64 {
        self.span_ms / f64::from((self.in_time + self.late).max(1))
    }
}

/// All seconds of a play from the one after `first` on, as one.
pub fn total(seconds: &[PlayedSecond], first: usize) -> PlayedSecond {
    let add = |sum: PlayedSecond, second: &PlayedSecond| PlayedSecond {
        asked: sum.asked + second.asked,
        in_time: sum.in_time + second.in_time,
        late: sum.late + second.late,
        refused: sum.refused + second.refused,
        span_ms: sum.span_ms + second.span_ms,
    };
    seconds[first..].iter().fold(PlayedSecond::default(), add)
}

struct Run {
    id: QueueId,
    placement: Placement,
    server: usize,
    arrived_ms: u64,
    ends_ms: f64,
}

struct PlayedServer {
    running: u32,
    slowdown: f64,
}

struct Player<'a> {
    load: &'a PlayedLoad,
    queue: RequestQueue,
    random: SmallRng,
    servers: Vec<PlayedServer>,
    runs: Vec<Run>,
    seconds: Vec<PlayedSecond>,
    waiting: Vec<(QueueId, u64)>,
}

/// Plays a load. Gives what callers got in each second.
pub fn play(load: &PlayedLoad) -> Vec<PlayedSecond> {
    let specs = (0..load.servers)
        .map(|index| BackendSpec { slots: SlotCount(6), ..spec(index, "north") })
        .collect();
    let mut player = Player {
        load,
        queue: queue_of(specs, 1_000),
        random: SmallRng::seed_from_u64(load.seed),
        servers: (0..load.servers).map(|_| PlayedServer { running: 0, slowdown: 1.0 }).collect(),
        runs: Vec::new(),
        seconds: vec![PlayedSecond::default(); load.span_s as usize],
        waiting: Vec::new(),
    };
    let mut due = 0.0;
    for now in 0..load.span_s * 1_000 {
        player.change_paces();
        player.end_runs(now);
        player.report(now);
        due += load.per_s / 1_000.0;
        while due >= 1.0 {
            due -= 1.0;
            player.arrive(now);
        }
        player.advance(now);
    }
    player.seconds
}

impl Player<'_> {
    fn change_paces(&mut self) {
        for server in &mut self.servers {
            if self.random.random_bool(1.0 / PACE_MS) {
                let is_slow = self.random.random_bool(self.load.slow_share);
                server.slowdown = if is_slow { 7.0 } else { 1.0 };
            }
        }
    }

    fn report(&mut self, now: u64) {
        for (index, server) in self.servers.iter().enumerate() {
            if (now + index as u64).is_multiple_of(REPORT_MS) {
                let report =
                    LoadReport { running: server.running, waiting: 0, slowdown: server.slowdown };
                self.queue.estimates.record_report(at(now), &key(index), report);
            }
        }
    }

    fn arrive(&mut self, now: u64) {
        self.seconds[(now / 1_000) as usize].asked += 1;
        let spec = RequestSpec {
            service: service(),
            route: "r".into(),
            priority: 1,
            arrived: at(now),
            objective: at(now + self.load.objective_ms),
            deadline: at(now + self.load.deadline_ms),
            avoid: Vec::new(),
        };
        match self.queue.submit(at(now), spec) {
            (id, Some(decision)) => self.decided(now, now, id, decision),
            (id, None) => self.waiting.push((id, now)),
        }
    }

    fn advance(&mut self, now: u64) {
        for (id, decision) in self.queue.advance(at(now)) {
            let index = self.waiting.iter().position(|(known, _)| *known == id);
            let (_, arrived) = self.waiting.swap_remove(index.expect("it waits"));
            self.decided(now, arrived, id, decision);
        }
    }

    fn decided(&mut self, now: u64, arrived_ms: u64, id: QueueId, decision: QueueDecision) {
        let QueueDecision::Send(placement) = decision else {
            self.seconds[(arrived_ms / 1_000) as usize].refused += 1;
            return;
        };
        let server: usize = placement.key.name.as_str()[1..].parse().expect("number");
        let state = &mut self.servers[server];
        state.running += 1;
        let (knee, factor) = self.load.knee;
        let contention = if state.running >= knee { factor } else { 1.0 };
        let work = self.load.work_ms * self.random.random_range(0.7..1.3);
        let ends_ms = now as f64 + work * state.slowdown * contention;
        self.runs.push(Run { id, placement, server, arrived_ms, ends_ms });
    }

    fn end_runs(&mut self, now: u64) {
        let mut index = 0;
        while index < self.runs.len() {
            if self.runs[index].ends_ms > now as f64 {
                index += 1;
                continue;
            }
            let run = self.runs.swap_remove(index);
            self.servers[run.server].running -= 1;
            let placement = &run.placement;
            let elapsed =
                self.queue.finish(at(now), run.id, &placement.key, ExchangeOutcome::Answered);
            self.queue.processing.record(&ProcessingSample {
                service: &service(),
                route: &"r".into(),
                objective: Duration::from_millis(self.load.objective_ms),
                elapsed: elapsed.expect("it ran"),
                slowdown: placement.slowdown,
                occupancy: placement.occupancy,
                slots: placement.slots,
                report_age: placement.report_age,
            });
            let server = &self.servers[run.server];
            let report =
                LoadReport { running: server.running, waiting: 0, slowdown: server.slowdown };
            self.queue.estimates.record_report(at(now), &placement.key, report);
            self.answered(now, &run);
        }
    }

    fn answered(&mut self, now: u64, run: &Run) {
        let span_ms = now - run.arrived_ms;
        let second = &mut self.seconds[(run.arrived_ms / 1_000) as usize];
        second.span_ms += Duration::from_millis(span_ms).as_secs_f64() * 1_000.0;
        if span_ms <= self.load.objective_ms {
            second.in_time += 1;
        } else {
            second.late += 1;
        }
    }
}
