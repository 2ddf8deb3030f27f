//! Measures what teams cost an instance: reading a configuration, looking up keys, quotas, and the fair order
//! of waiting requests.

use crate::kernel_counters::resident_bytes;
use anyhow::Result;
use balance::{
    BorderPrice, BudgetPolicy, ExpectedFinish, QueuePolicy, QuotaLedger, RequestQueue, RequestSpec,
    SharedLimit, TeamShare,
};
use model::{BackendSpec, IncarnationId, Millis, MonoTime, RequestRate, ServerKey, SlotCount};
use platform::decode_config;
use routing::ApiKey;
use std::collections::HashMap;
use std::fmt::Write;
use std::time::{Duration, Instant};

/// Numbers of teams.
const TEAM_COUNTS: [usize; 4] = [10, 86, 1_000, 5_000];
/// Keys of each team.
const KEYS: usize = 4;
/// Requests that wait when another one arrives.
const WAITING: usize = 1_000;
/// Times for which each step is repeated.
const REPEATS: u32 = 200;

fn config(teams: usize) -> String {
    let mut text = String::from(
        r#"{"version":"r1","services":[{"name":"s","health_path":"/h","max_conns":9}],
        "limits":{"max_header_bytes":1,"max_body_bytes":1,"header_timeout_s":1,"idle_timeout_s":1},
        "hosts":[],"tenants":["#,
    );
    for team in 0..teams {
        let comma = if team == 0 { "" } else { "," };
        let keys: Vec<String> = (0..KEYS).map(|key| format!("\"{team:08}{key:012}\"")).collect();
        let keys = keys.join(",");
        write!(
            text,
            r#"{comma}{{"name":"team{team}","api_keys":[{keys}],"priority":0,"rate_per_s":9,"burst":9}}"#
        )
        .expect("a string takes all text");
    }
    text + "]}"
}

/// Returns the mean duration of a step in microseconds.
fn mean_us(mut step: impl FnMut(u32)) -> f64 {
    let started = Instant::now();
    (0..REPEATS).for_each(&mut step);
    started.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS)
}

fn share(team: usize) -> TeamShare {
    TeamShare { team: format!("team{team}").parse().expect("a valid name"), weight: 9.0 }
}

fn request(now: MonoTime, team: usize) -> RequestSpec {
    RequestSpec {
        service: "s".parse().expect("a valid name"),
        route: "r".into(),
        share: Some(share(team)),
        priority: 1,
        arrived: now,
        objective: now.plus(Duration::from_secs(100)),
        deadline: now.plus(Duration::from_secs(10_000)),
        avoid: Vec::new(),
    }
}

/// A queue with one server whose slots are taken, and as many waiting requests as it holds.
fn full_queue(teams: usize) -> RequestQueue {
    let policy = QueuePolicy {
        data_centre: "north".parse().expect("a valid name"),
        waiting_max: 2 * WAITING,
        budget: BudgetPolicy { ratio: 0.2, extra: 0.0, window: Duration::from_secs(10) },
        is_first_start: false,
        border_price: BorderPrice { per_megabyte: Duration::ZERO },
    };
    let mut queue = RequestQueue::new(MonoTime(0), policy, Box::new(ExpectedFinish::with_seed(1)));
    queue.estimates.upsert_server(
        MonoTime(0),
        BackendSpec {
            key: ServerKey {
                name: "s0".parse().expect("a valid name"),
                incarnation: IncarnationId(1),
            },
            service: "s".parse().expect("a valid name"),
            address: "127.0.0.1:1".parse().expect("a valid address"),
            data_centre: "north".parse().expect("a valid name"),
            slots: SlotCount(1),
            is_leaving: false,
            warm_up_left: Millis(0),
        },
    );
    for index in 0..WAITING {
        let now = MonoTime(1 + index as u64);
        queue.submit(now, request(now, index % teams));
    }
    queue
}

/// Prints the costs by number of teams.
pub fn run_teams() -> Result<()> {
    println!(
        "teams  config KB  read ms  memory MB  key us  quota us  share us  rows  fair order us"
    );
    for teams in TEAM_COUNTS {
        let text = config(teams);
        let before = resident_bytes(std::process::id())?;
        let started = Instant::now();
        let table = decode_config(&text)?;
        let read_ms = started.elapsed().as_secs_f64() * 1e3;
        let limit =
            SharedLimit { rate: RequestRate(9.0), burst: 9.0, window: Duration::from_secs(5) };
        let mut quotas = QuotaLedger::new(true);
        let limits: HashMap<_, _> = (0..teams).map(|team| (share(team).team, limit)).collect();
        quotas.set_limits(MonoTime(0), limits);
        let memory_mb = (resident_bytes(std::process::id())?.saturating_sub(before)) as f64 / 1e6;
        let known = table.teams.as_ref().expect("the configuration has teams");
        let key = ApiKey::new(&format!("{:08}{:012}", teams / 2, 1)).expect("a valid key");
        let key_us = mean_us(|_| assert!(known.holder(&key).is_some()));
        let now = |index: u32| MonoTime(1_000 * u64::from(index));
        let names: Vec<_> = (0..teams).map(|team| share(team).team).collect();
        let quota_us = mean_us(|index| {
            // Most are refused after the first; both take the same path.
            let _ = quotas.admit(now(index), &names[index as usize % teams]);
        });
        let share_us = mean_us(|index| quotas.share(now(index), Vec::new(), 0));
        let rows = quotas.own_uses(now(REPEATS)).len();
        let mut queue = full_queue(teams);
        let fair_us = mean_us(|index| {
            drop(queue.advance(MonoTime(2_000 + u64::from(index))));
        });
        println!(
            "{teams:5}  {:9.1}  {read_ms:7.2}  {memory_mb:9.2}  {key_us:6.2}  {quota_us:8.2}  \
             {share_us:8.1}  {rows:4}  {fair_us:13.0}",
            text.len() as f64 / 1e3
        );
    }
    Ok(())
}
