//! Compares the dispatch rules side by side: the same backend servers, loads and seeds, rules in
//! turn, so that the machine's noise falls on all of them.

mod plot;
mod table;

use crate::ci::build_release;
use crate::fleet::{FleetPlan, FleetProcess, ProcessFleet, SERVICE};
use anyhow::Result;
use dispatch::RuleName;
use programs::load::{LoadPlan, LoadReport, run_load};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::time::{Duration, Instant};

/// Work of a short request at time scale 1, in milliseconds.
const SHORT_MS: u64 = 4;
/// How many times longer a straggler takes.
const STRAGGLER_FACTOR: u64 = 25;
/// Share of long requests known by their route.
const LONG_SHARE: f64 = 0.016;
/// Share of stragglers that no route tells.
const STRAGGLER_SHARE: f64 = 0.004;
/// Slots of a backend server.
const SLOTS: f64 = 6.0;
/// How long a backend server stands still now and then.
const SLOWDOWN: Duration = Duration::from_millis(200);
/// Time between slowdowns of one server or another.
const SLOWDOWN_GAP: Duration = Duration::from_millis(800);
/// Ports between the fleets of two rules.
const FLEET_PORTS: u16 = 300;
/// Pause between runs, so that queues are empty again.
const SETTLE_SPAN: Duration = Duration::from_millis(700);

/// What to compare.
#[derive(Debug, Clone)]
pub struct BenchPlan {
    /// Entry instances.
    pub entries: u16,
    /// Backend servers.
    pub servers: u16,
    /// Data centres.
    pub centres: u16,
    /// All times are this many times longer than in the users' sizes, so that one machine can carry
    /// the rates.
    pub scale: u64,
    /// Rates as shares of what the slots can serve.
    pub loads: Vec<f64>,
    /// Seeds.
    pub seeds: Vec<u64>,
    /// Length of each run.
    pub span: Duration,
    /// How many times the common rate the first caller sends.
    pub heavy: f64,
    /// Where the report goes.
    pub output: std::path::PathBuf,
}

/// One run of one rule.
#[derive(Debug, Clone, Serialize)]
pub struct BenchRun {
    /// The rule.
    pub rule: &'static str,
    /// The rate as a share of what the slots can serve.
    pub load: f64,
    /// Requests offered per second.
    pub rate: f64,
    /// What the callers got.
    pub report: LoadReport,
}

/// Runs the comparison, prints the tables and writes JSON and a plot.
pub fn run_bench(plan: &BenchPlan) -> Result<()> {
    build_release()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let runs = runtime.block_on(compare(plan))?;
    std::fs::create_dir_all(&plan.output)?;
    std::fs::write(plan.output.join("bench.json"), serde_json::to_string_pretty(&runs)?)?;
    plot::write_page(plan, &runs)?;
    table::print_tables(plan, &runs);
    Ok(())
}

async fn compare(plan: &BenchPlan) -> Result<Vec<BenchRun>> {
    let mut fleets = Vec::new();
    for (number, rule) in RuleName::ALL.into_iter().enumerate() {
        let servers = if number == 0 { plan.servers } else { 0 };
        let mut fleet_plan = FleetPlan::new(plan.entries, servers);
        fleet_plan.centres = plan.centres;
        fleet_plan.first_port += number as u16 * FLEET_PORTS;
        fleet_plan.settings = format!("[timeline]\nevents = 4096\n[bench]\nrule = {rule}\n");
        fleets.push(ProcessFleet::start(&fleet_plan).await?);
    }
    let batch = fleets[0].service_batch(&fleets[0].servers);
    for fleet in &fleets {
        fleet.operator(0).send(&batch, None).await?;
    }
    let mut runs = Vec::new();
    for seed in &plan.seeds {
        for load in &plan.loads {
            for (fleet, rule) in fleets.iter().zip(RuleName::ALL) {
                let run = run_rule(plan, fleet, &fleets[0].servers, rule, *load, *seed).await?;
                eprintln!(
                    "seed {seed}, load {load}, {rule}: {:.0}/s",
                    run.report.served_per_second
                );
                runs.push(run);
                tokio::time::sleep(SETTLE_SPAN * plan.scale as u32 / 4).await;
            }
        }
    }
    Ok(runs)
}

/// Requests per second that the slots can serve.
fn capacity(plan: &BenchPlan) -> f64 {
    let long = LONG_SHARE + STRAGGLER_SHARE;
    let mean_ms = SHORT_MS as f64 * (1.0 - long + long * STRAGGLER_FACTOR as f64);
    f64::from(plan.servers) * SLOTS * 1_000.0 / (mean_ms * plan.scale as f64)
}

async fn run_rule(
    plan: &BenchPlan,
    fleet: &ProcessFleet,
    servers: &[FleetProcess],
    rule: RuleName,
    load: f64,
    seed: u64,
) -> Result<BenchRun> {
    let rate = capacity(plan) * load;
    let short_time = Duration::from_millis(SHORT_MS * plan.scale);
    let load_plan = LoadPlan {
        entries: fleet.entries.iter().map(|entry| entry.address).collect(),
        service: SERVICE.parse()?,
        rate,
        duration: plan.span,
        callers: 32,
        bookings: 0.0,
        long_share: LONG_SHARE,
        short_time,
        long_time: short_time * STRAGGLER_FACTOR as u32,
        straggler_share: STRAGGLER_SHARE,
        deadline: Duration::from_millis(1_000 * plan.scale),
        heavy_factor: plan.heavy,
        seed,
    };
    let running = tokio::spawn(async move { run_load(&load_plan).await });
    slow_down(servers, plan, seed).await?;
    Ok(BenchRun { rule: rule.as_str(), load, rate, report: running.await? })
}

/// Stops one server after the other for a moment, the same ones for the same seed.
async fn slow_down(servers: &[FleetProcess], plan: &BenchPlan, seed: u64) -> Result<()> {
    let mut random = SmallRng::seed_from_u64(seed);
    let end = Instant::now() + plan.span;
    let scale = plan.scale as u32;
    while Instant::now() + (SLOWDOWN_GAP + SLOWDOWN) * scale < end {
        tokio::time::sleep(SLOWDOWN_GAP * scale).await;
        let server = &servers[random.random_range(0..servers.len())];
        server.freeze(SLOWDOWN * scale).await?;
    }
    Ok(())
}
