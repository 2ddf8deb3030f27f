//! Measures the latency and CPU time that an instance adds to a request, by rate and by path.

use crate::ci::build_release;
use crate::fleet::{FleetPlan, ProcessFleet, SERVICE};
use crate::kernel_counters::processor_time;
use anyhow::{Context, Result};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Request, header};
use http_body_util::Full;
use link::{ConnectionChoice, LinkPool, LinkPoolBuilder};
use model::bounded_duration;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Rates to measure, in requests per second.
const RATES: [f64; 4] = [500.0, 1_000.0, 2_000.0, 4_000.0];
/// Difference between the first ports of the fleets with and without a time line.
const FLEET_PORT_STEP: u16 = 300;
/// Duration of each run.
const RUN_DURATION: Duration = Duration::from_secs(6);
/// Processing time of a request, in milliseconds. The timer of the backend server rounds it up to
/// the next millisecond.
const WORK_MS: u64 = 1;
/// Highest latency that the histogram records, in microseconds. Longer ones count as this.
const LATENCY_MAX_US: u64 = 10_000_000;

/// A path of requests to the backend servers.
struct RequestPath {
    name: &'static str,
    addresses: Vec<SocketAddr>,
    prefix: String,
    /// Processes whose CPU time is measured.
    pids: Vec<u32>,
}

/// Sends requests on each path in turn: directly to the backend servers, through the home with and
/// without a time line, and through another instance that forwards to the home.
pub fn run_added() -> Result<()> {
    build_release()?;
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(measure())
}

async fn measure() -> Result<()> {
    let fleet = ProcessFleet::start(&FleetPlan::new(2, 6)).await?;
    fleet.operator(0).send(&fleet.service_batch(&fleet.servers), None).await?;
    let mut no_events_plan = FleetPlan::new(2, 0);
    no_events_plan.first_port += FLEET_PORT_STEP;
    no_events_plan.settings = "[timeline]\nevents = 0\n".into();
    let no_events = ProcessFleet::start(&no_events_plan).await?;
    no_events.operator(0).send(&fleet.service_batch(&fleet.servers), None).await?;
    let no_events_home = &no_events.entries[find_home(&no_events).await?];
    let home = find_home(&fleet).await?;
    let other = 1 - home;
    let pid =
        |entry: usize| fleet.entries[entry].pid().context("the entry instance is not running");
    let prefix = format!("/v1/call/{SERVICE}");
    let paths = [
        RequestPath {
            name: "direct",
            addresses: fleet.servers.iter().map(|server| server.address).collect(),
            prefix: String::new(),
            pids: Vec::new(),
        },
        RequestPath {
            name: "home",
            addresses: vec![fleet.entries[home].address],
            prefix: prefix.clone(),
            pids: vec![pid(home)?],
        },
        RequestPath {
            name: "no events",
            addresses: vec![no_events_home.address],
            prefix: prefix.clone(),
            pids: vec![no_events_home.pid().context("the entry instance is not running")?],
        },
        RequestPath {
            name: "forwarded",
            addresses: vec![fleet.entries[other].address],
            prefix,
            pids: vec![pid(home)?, pid(other)?],
        },
    ];
    println!("  req/s path       p50 us   p99 us  p99.9 us  added p50  added p99   cpu us/req");
    for rate in RATES {
        let mut direct: Option<Histogram<u64>> = None;
        for path in &paths {
            let before = cpu_time_of(path)?;
            let latency = run_path(path, rate).await?;
            let cpu_used = cpu_time_of(path)?.saturating_sub(before);
            print_row(rate, path.name, &latency, direct.as_ref(), cpu_used);
            direct.get_or_insert(latency);
        }
    }
    fleet.close()?;
    no_events.close()?;
    Ok(())
}

fn cpu_time_of(path: &RequestPath) -> Result<Duration> {
    path.pids.iter().map(|pid| processor_time(*pid)).sum()
}

fn print_row(
    rate: f64,
    name: &str,
    latency: &Histogram<u64>,
    direct: Option<&Histogram<u64>>,
    cpu_used: Duration,
) {
    let quantile_us = |quantile| latency.value_at_quantile(quantile);
    let added = |quantile| {
        direct.map_or(0, |direct| {
            quantile_us(quantile) as i64 - direct.value_at_quantile(quantile) as i64
        })
    };
    println!(
        "{rate:7.0} {name:9} {:7} {:8} {:9} {:10} {:10} {:12.1}",
        quantile_us(0.5),
        quantile_us(0.99),
        quantile_us(0.999),
        added(0.5),
        added(0.99),
        cpu_used.as_micros() as f64 / latency.len() as f64
    );
}

async fn find_home(fleet: &ProcessFleet) -> Result<usize> {
    let answer: model::wire::AddressResponse =
        fleet.get(fleet.entries[0].address, &format!("/v1/addresses/{SERVICE}")).await?;
    let first = answer.addresses.first().context("the service has no home")?;
    let home = fleet.entries.iter().position(|entry| entry.address == *first);
    home.context("the home is not an instance of this fleet")
}

/// Sends requests at evenly spaced times and records their latencies.
async fn run_path(path: &RequestPath, rate: f64) -> Result<Histogram<u64>> {
    let pool = LinkPoolBuilder::default().connection_limit(1_024).build();
    let mut latency = Histogram::new_with_max(LATENCY_MAX_US, 3)?;
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    let requests = (rate * RUN_DURATION.as_secs_f64()) as u64;
    for number in 0..requests {
        let due = started + bounded_duration(number as f64 / rate);
        tokio::time::sleep_until(due.into()).await;
        let address = path.addresses[number as usize % path.addresses.len()];
        tasks.spawn(send_request(pool.clone(), address, path.prefix.clone()));
        while let Some(done) = tasks.try_join_next() {
            latency.saturating_record(done??);
        }
    }
    while let Some(done) = tasks.join_next().await {
        latency.saturating_record(done??);
    }
    Ok(latency)
}

/// Returns the latency of one request, in microseconds.
async fn send_request(pool: LinkPool, address: SocketAddr, prefix: String) -> Result<u64> {
    let request = Request::get(format!("{prefix}/lookup?work_ms={WORK_MS}"))
        .header(header::HOST, "bench")
        .body(Full::<Bytes>::default())?;
    let started = Instant::now();
    let deadline = started + Duration::from_secs(5);
    let response = pool.exchange(address, request, ConnectionChoice::Pooled, deadline).await?;
    anyhow::ensure!(response.status().is_success(), "response status {}", response.status());
    Ok(u64::try_from(started.elapsed().as_micros())?)
}
