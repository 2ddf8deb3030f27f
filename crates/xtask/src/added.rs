//! Measures what an instance adds to a call: time and processor, by rate and by stage.

use crate::account::processor_time;
use crate::ci::build_release;
use crate::fleet::{FleetPlan, ProcessFleet, SERVICE};
use anyhow::{Context, Result};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Request, header};
use http_body_util::Full;
use link::{ConnectionChoice, LinkPool, LinkPoolBuilder};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Rates to measure, in calls per second.
const RATES: [f64; 4] = [500.0, 1_000.0, 2_000.0, 4_000.0];
/// Ports between the fleet with a time line and the one without.
const QUIET_PORTS: u16 = 300;
/// Length of each run.
const SPAN: Duration = Duration::from_secs(6);
/// Work of a call at the backend server, in milliseconds; the timer rounds up to the next one.
const WORK_MS: u64 = 1;
/// Longest latency that the histogram tells apart, in microseconds.
const LATENCY_MAX_US: u64 = 10_000_000;

/// How calls reach the backend server.
struct Path {
    name: &'static str,
    addresses: Vec<SocketAddr>,
    prefix: String,
    /// Processes whose time is counted.
    pids: Vec<u32>,
}

/// Calls the backend servers directly, through the home with and without a time line, and through
/// another instance, in turn.
pub fn run_added() -> Result<()> {
    build_release()?;
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(measure())
}

async fn measure() -> Result<()> {
    let fleet = ProcessFleet::start(&FleetPlan::new(2, 6)).await?;
    fleet.operator(0).send(&fleet.service_batch(&fleet.servers), None).await?;
    let mut quiet_plan = FleetPlan::new(2, 0);
    quiet_plan.first_port += QUIET_PORTS;
    quiet_plan.settings = "[timeline]\nevents = 0\n".into();
    let quiet = ProcessFleet::start(&quiet_plan).await?;
    quiet.operator(0).send(&fleet.service_batch(&fleet.servers), None).await?;
    let quiet_home = &quiet.entries[home_of(&quiet).await?];
    let home = home_of(&fleet).await?;
    let other = 1 - home;
    let pid = |entry: usize| fleet.entries[entry].pid().context("runs");
    let prefix = format!("/v1/call/{SERVICE}");
    let paths = [
        Path {
            name: "direct",
            addresses: fleet.servers.iter().map(|server| server.address).collect(),
            prefix: String::new(),
            pids: Vec::new(),
        },
        Path {
            name: "home",
            addresses: vec![fleet.entries[home].address],
            prefix: prefix.clone(),
            pids: vec![pid(home)?],
        },
        Path {
            name: "no events",
            addresses: vec![quiet_home.address],
            prefix: prefix.clone(),
            pids: vec![quiet_home.pid().context("runs")?],
        },
        Path {
            name: "forwarded",
            addresses: vec![fleet.entries[other].address],
            prefix,
            pids: vec![pid(home)?, pid(other)?],
        },
    ];
    println!("calls/s path       p50 us   p99 us  p99.9 us  added p50  added p99  cpu us/call");
    for rate in RATES {
        let mut direct: Option<Histogram<u64>> = None;
        for path in &paths {
            let cpu = cpu_of(path)?;
            let latency = run_path(path, rate).await?;
            let spent = cpu_of(path)?.saturating_sub(cpu);
            print_row(rate, path.name, &latency, direct.as_ref(), spent);
            direct.get_or_insert(latency);
        }
    }
    fleet.close()?;
    quiet.close()?;
    Ok(())
}

fn cpu_of(path: &Path) -> Result<Duration> {
    path.pids.iter().map(|pid| processor_time(*pid)).sum()
}

fn print_row(
    rate: f64,
    name: &str,
    latency: &Histogram<u64>,
    direct: Option<&Histogram<u64>>,
    spent: Duration,
) {
    let at = |quantile| latency.value_at_quantile(quantile);
    let added = |quantile| {
        direct.map_or(0, |direct| at(quantile) as i64 - direct.value_at_quantile(quantile) as i64)
    };
    println!(
        "{rate:7.0} {name:9} {:7} {:8} {:9} {:10} {:10} {:12.1}",
        at(0.5),
        at(0.99),
        at(0.999),
        added(0.5),
        added(0.99),
        spent.as_micros() as f64 / latency.len() as f64
    );
}

async fn home_of(fleet: &ProcessFleet) -> Result<usize> {
    let answer: model::wire::AddressAnswer =
        fleet.get(fleet.entries[0].address, &format!("/v1/addresses/{SERVICE}")).await?;
    let first = answer.addresses.first().context("the service has a home")?;
    let at = fleet.entries.iter().position(|entry| entry.address == *first);
    at.context("the home is one of the instances")
}

/// Sends calls at evenly spaced times and records their latencies.
async fn run_path(path: &Path, rate: f64) -> Result<Histogram<u64>> {
    let pool = LinkPoolBuilder::default().connection_limit(1_024).build();
    let mut latency = Histogram::new_with_max(LATENCY_MAX_US, 3)?;
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    let calls = (rate * SPAN.as_secs_f64()) as u64;
    for number in 0..calls {
        let due = started + Duration::from_secs_f64(number as f64 / rate);
        tokio::time::sleep_until(due.into()).await;
        let address = path.addresses[number as usize % path.addresses.len()];
        tasks.spawn(call(pool.clone(), address, path.prefix.clone()));
        while let Some(done) = tasks.try_join_next() {
            latency.saturating_record(done??);
        }
    }
    while let Some(done) = tasks.join_next().await {
        latency.saturating_record(done??);
    }
    Ok(latency)
}

async fn call(pool: LinkPool, address: SocketAddr, prefix: String) -> Result<u64> {
    let request = Request::get(format!("{prefix}/lookup?work_ms={WORK_MS}"))
        .header(header::HOST, "bench")
        .body(Full::<Bytes>::default())?;
    let started = Instant::now();
    let deadline = started + Duration::from_secs(5);
    let answer = pool.exchange(address, request, ConnectionChoice::Pooled, deadline).await?;
    anyhow::ensure!(answer.status().is_success(), "status {}", answer.status());
    Ok(u64::try_from(started.elapsed().as_micros())?)
}
