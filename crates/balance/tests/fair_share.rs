//! Teams in a service with less room than their callers ask for.

mod support;

use balance::{
    ExchangeOutcome, Placement, QueueDecision, QueueId, RequestQueue, RequestSpec, TeamShare,
};
use model::{BackendSpec, Millis, RequestRate, SlotCount};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use support::{at, key, queue_of, report, request, service, spec};
use testkit::cases;

/// Number of teams.
const TEAMS: usize = 86;
/// The team that sends several times its usual.
const HOT_TEAM: usize = 0;
/// Factor of its usual.
const HOT_FACTOR: f64 = 8.0;
/// Servers with six slots each: one in four is seven times slower, one in eight is cold.
const SERVERS: usize = 16;
/// Processing time of a request at normal speed, in milliseconds.
const PROCESSING_MS: u64 = 200;
/// Simulated time, in milliseconds.
const DURATION_MS: u64 = 6_000;
/// Times between which requests arrive that are counted, in milliseconds. Later ones may not have ended.
const COUNTED_MS: std::ops::Range<u64> = 1_500..4_400;
/// Requests a second that the servers have room for, about.
const ROOM_PER_S: f64 = 320.0;

/// What became of a team's requests.
#[derive(Debug, Clone, Copy, Default)]
struct TeamResult {
    asked: u32,
    on_time: u32,
    late: u32,
}

impl TeamResult {
    fn served(self) -> f64 {
        f64::from(self.on_time + self.late) / f64::from(self.asked.max(1))
    }

    fn on_time(self) -> f64 {
        f64::from(self.on_time) / f64::from(self.asked.max(1))
    }
}

/// Returns the usual demand of each team in requests a second: a few are large.
fn usual_demand(total: f64) -> Vec<f64> {
    let sizes: Vec<f64> = (1..=TEAMS).map(|rank| 1.0 / rank as f64).collect();
    let sum: f64 = sizes.iter().sum();
    sizes.into_iter().map(|size| size / sum * total).collect()
}

fn share(team: usize, usual: &[f64]) -> TeamShare {
    TeamShare { team: format!("t{team}").parse().expect("name"), weight: 2.0 * usual[team] }
}

fn overloaded_queue() -> RequestQueue {
    let specs = (0..SERVERS).map(|index| {
        let is_cold = index % 8 == 7;
        let warm_up_left = Millis(if is_cold { DURATION_MS } else { 0 });
        BackendSpec { slots: SlotCount(6), warm_up_left, ..spec(index, "north") }
    });
    let mut queue = queue_of(specs.collect(), 1_000);
    let rates = HashMap::from([(service(), RequestRate(6.0))]);
    queue.estimates.set_cold_rates(at(0), rates);
    queue
}

fn is_slow(server: usize) -> bool {
    server % 4 == 1
}

/// Plays the load and returns the result of each team.
fn play(usual: &[f64], hot_factor: f64, is_shared: bool) -> Vec<TeamResult> {
    let mut random = SmallRng::seed_from_u64(1);
    let mut queue = overloaded_queue();
    let mut results = vec![TeamResult::default(); TEAMS];
    let mut running: Vec<(u64, usize, u64, QueueId, Placement)> = Vec::new();
    let mut waiting: HashMap<QueueId, (usize, u64)> = HashMap::new();
    for now in 0..DURATION_MS {
        let ended: Vec<_> = running.extract_if(.., |(end, ..)| *end <= now).collect();
        for (_, team, arrived, id, placement) in ended {
            queue.finish(at(now), id, &placement.key, ExchangeOutcome::Answered);
            if COUNTED_MS.contains(&arrived) {
                let is_on_time = now - arrived <= 600;
                results[team].on_time += u32::from(is_on_time);
                results[team].late += u32::from(!is_on_time);
            }
        }
        for server in (0..SERVERS).filter(|server| (now + *server as u64).is_multiple_of(50)) {
            let at_server = running.iter().filter(|(.., placement)| placement.key == key(server));
            let slowdown = if is_slow(server) { 7.0 } else { 1.0 };
            let load = report(at_server.count() as u32, slowdown);
            queue.estimates.record_report(at(now), &key(server), load);
        }
        let mut decided = queue.advance(at(now));
        for team in 0..TEAMS {
            let factor = if team == HOT_TEAM { hot_factor } else { 1.0 };
            if !random.random_bool((usual[team] * factor / 1e3).min(1.0)) {
                continue;
            }
            let share = is_shared.then(|| share(team, usual));
            let (id, decision) =
                queue.submit(at(now), RequestSpec { share, ..request(at(now), 1) });
            results[team].asked += u32::from(COUNTED_MS.contains(&now));
            waiting.insert(id, (team, now));
            decided.extend(decision.map(|decision| (id, decision)));
        }
        for (id, decision) in decided {
            let (team, arrived) = waiting.remove(&id).expect("it was submitted");
            if let QueueDecision::Send(placement) = decision {
                let server: usize = placement.key.name.as_str()[1..].parse().expect("number");
                let took = PROCESSING_MS * if is_slow(server) { 7 } else { 1 };
                running.push((now + took, team, arrived, id, placement));
            }
        }
    }
    results
}

fn sum(results: &[TeamResult], is_counted: impl Fn(usize) -> bool) -> TeamResult {
    let counted = results.iter().enumerate().filter(|(team, _)| is_counted(*team));
    counted.fold(TeamResult::default(), |sum, (_, team)| TeamResult {
        asked: sum.asked + team.asked,
        on_time: sum.on_time + team.on_time,
        late: sum.late + team.late,
    })
}

/// A team at eight times its usual, while there is room for its usual, costs the others nothing. Without shares
/// they lose as much as it does.
#[test]
fn a_hot_team_costs_the_others_nothing() {
    let usual = usual_demand(ROOM_PER_S * 0.8);
    let others = |results: &[TeamResult]| sum(results, |team| team != HOT_TEAM);
    let calm = others(&play(&usual, 1.0, true));
    let unshared = others(&play(&usual, HOT_FACTOR, false));
    let shared_results = play(&usual, HOT_FACTOR, true);
    let shared = others(&shared_results);
    assert!(unshared.on_time() < calm.on_time() - 0.1, "{unshared:?} of {calm:?}");
    assert!(shared.on_time() > calm.on_time() - 0.03, "{shared:?} of {calm:?}");
    assert!(shared.served() > calm.served() - 0.01, "{shared:?} of {calm:?}");
    let hot = shared_results[HOT_TEAM];
    assert!(hot.served() > 1.0 / HOT_FACTOR, "the hot team keeps its usual: {hot:?}");
}

/// With room for a part of what all ask for, no team is served less than a quarter as often as all.
fn check_scarce_room(room_ratio: f64) {
    let usual = usual_demand(ROOM_PER_S / room_ratio);
    let results = play(&usual, 1.0, true);
    let all = sum(&results, |_| true);
    assert!(all.served() > room_ratio * 0.8, "{all:?}");
    for (team, result) in results.iter().enumerate().filter(|(_, result)| result.asked >= 10) {
        assert!(result.served() > all.served() / 4.0, "team {team}: {result:?} of {all:?}");
    }
}

cases! { check_scarce_room {
    room_for_nine_tenths: (0.9);
    room_for_six_tenths: (0.6);
    room_for_four_tenths: (0.4);
} }

/// Priority goes before shares.
#[test]
fn a_team_of_higher_priority_goes_first() {
    let mut queue = queue_of(vec![spec(0, "north")], 100);
    let submit = |queue: &mut RequestQueue, team: usize, priority: u8| {
        let share = Some(share(team, &[1.0, 1_000.0]));
        queue.submit(at(1), RequestSpec { share, ..request(at(1), priority) })
    };
    let mut running = Vec::new();
    let patient = loop {
        match submit(&mut queue, 1, 2) {
            (id, Some(QueueDecision::Send(placement))) => running.push((id, placement)),
            (id, None) => break id,
            (_, Some(QueueDecision::Refuse(refusal))) => panic!("{refusal:?}"),
        }
    };
    let urgent = submit(&mut queue, 0, 1).0;
    let mut decided = Vec::new();
    for (id, placement) in running {
        queue.finish(at(2), id, &placement.key, ExchangeOutcome::Answered);
        decided.extend(queue.advance(at(2)).into_iter().map(|(id, _)| id));
    }
    assert_eq!(decided, [urgent, patient]);
}
