//! Compares the dispatch rules with the same backend servers, loads and seeds. The rules run in turn
//! for each load and seed, so noise of the machine affects all of them alike.

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

/// Processing time of a short request at time scale 1, in milliseconds.
const SHORT_WORK_MS: u64 = 4;
/// Processing time of a long request or straggler, as a multiple of a short one.
const LONG_FACTOR: u64 = 25;
/// Share of long requests, which the class of their route shows.
const LONG_SHARE: f64 = 0.016;
/// Share of stragglers: long requests on the route of short ones.
const STRAGGLER_SHARE: f64 = 0.004;
/// Number of slots of a backend server.
const SLOTS_PER_SERVER: f64 = 6.0;
/// Time for which a backend server is frozen, at time scale 1.
const FREEZE_DURATION: Duration = Duration::from_millis(200);
/// Delay before each freeze of a backend server, at time scale 1.
const FREEZE_DELAY: Duration = Duration::from_millis(800);
/// Difference between the first ports of the fleets of two rules.
const FLEET_PORT_STEP: u16 = 300;
/// Delay between runs in which queues empty, at time scale 4.
const SETTLE_DELAY: Duration = Duration::from_millis(700);

/// Parameters of a comparison.
#[derive(Debug, Clone)]
pub struct BenchPlan {
    /// Number of entry instances in the fleet of each rule.
    pub entries: u16,
    /// Number of backend servers, which the fleets share.
    pub servers: u16,
    /// Number of data centres.
    pub centres: u16,
    /// Factor by which all times are longer than in the users' deployments. It lowers the rates to
    /// what one machine can carry.
    pub scale: u64,
    /// Request rates to compare, as shares of the capacity of all slots.
    pub loads: Vec<f64>,
    /// Seeds; each load is run with each seed.
    pub seeds: Vec<u64>,
    /// Duration of each run.
    pub run_duration: Duration,
    /// Rate of the first caller, as a multiple of the average rate of the others.
    pub heavy_factor: f64,
    /// Folder for the report.
    pub output: std::path::PathBuf,
}

/// Result of one run with one rule.
#[derive(Debug, Clone, Serialize)]
pub struct BenchRun {
    /// Name of the rule.
    pub rule: &'static str,
    /// Request rate as a share of the capacity of all slots.
    pub load: f64,
    /// Requests offered per second.
    pub rate: f64,
    /// Responses and latencies that the callers measured.
    pub report: LoadReport,
}

/// Runs the comparison, prints the tables and writes the report as JSON and as a page with a plot.
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
        fleet_plan.first_port += number as u16 * FLEET_PORT_STEP;
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
                tokio::time::sleep(SETTLE_DELAY * plan.scale as u32 / 4).await;
            }
        }
    }
    Ok(runs)
}

/// Returns the number of requests per second that all slots can serve.
fn request_capacity(plan: &BenchPlan) -> f64 {
    let long_share = LONG_SHARE + STRAGGLER_SHARE;
    let mean_ms = SHORT_WORK_MS as f64 * (1.0 - long_share + long_share * LONG_FACTOR as f64);
    f64::from(plan.servers) * SLOTS_PER_SERVER * 1_000.0 / (mean_ms * plan.scale as f64)
}

async fn run_rule(
    plan: &BenchPlan,
    fleet: &ProcessFleet,
    servers: &[FleetProcess],
    rule: RuleName,
    load: f64,
    seed: u64,
) -> Result<BenchRun> {
    let rate = request_capacity(plan) * load;
    let short_time = Duration::from_millis(SHORT_WORK_MS * plan.scale);
    let load_plan = LoadPlan {
        entries: fleet.entries.iter().map(|entry| entry.address).collect(),
        service: SERVICE.parse()?,
        rate,
        duration: plan.run_duration,
        callers: 32,
        bookings: 0.0,
        long_share: LONG_SHARE,
        short_time,
        long_time: short_time * LONG_FACTOR as u32,
        straggler_share: STRAGGLER_SHARE,
        deadline: Duration::from_millis(1_000 * plan.scale),
        heavy_factor: plan.heavy_factor,
        seed,
    };
    let running = tokio::spawn(async move { run_load(&load_plan).await });
    freeze_servers(servers, plan, seed).await?;
    Ok(BenchRun { rule: rule.as_str(), load, rate, report: running.await? })
}

/// Freezes random backend servers, one at a time, until the end of the run. The seed determines the
/// order.
async fn freeze_servers(servers: &[FleetProcess], plan: &BenchPlan, seed: u64) -> Result<()> {
    let mut random = SmallRng::seed_from_u64(seed);
    let end = Instant::now() + plan.run_duration;
    let scale = plan.scale as u32;
    while Instant::now() + (FREEZE_DELAY + FREEZE_DURATION) * scale < end {
        tokio::time::sleep(FREEZE_DELAY * scale).await;
        let server = &servers[random.random_range(0..servers.len())];
        server.freeze(FREEZE_DURATION * scale).await?;
    }
    Ok(())
}
