//! Measures the cost of the control plane per instance, by number of instances, services, backend
//! servers and changes of the configuration.

use crate::ci::build_release;
use crate::fleet::{FleetPlan, ProcessFleet};
use crate::kernel_counters::{loopback_sent, processor_time, resident_bytes};
use anyhow::{Context, Result};
use model::bounded_duration;
use std::time::{Duration, Instant};

/// Delay before the measurement, after the configuration came into force.
const SETTLE_DELAY: Duration = Duration::from_secs(4);

/// Size of the fleet to measure.
#[derive(Debug, Clone, Copy)]
struct ControlCase {
    entries: u16,
    services: u16,
    servers: u16,
    changes_per_minute: u32,
}

const fn case(entries: u16, services: u16, servers: u16, changes_per_minute: u32) -> ControlCase {
    ControlCase { entries, services, servers, changes_per_minute }
}

/// Varies the number of instances, of backend servers and of changes, each over four values. The last
/// case is a large fleet.
const CASES: [ControlCase; 12] = [
    case(4, 2, 33, 0),
    case(8, 2, 33, 0),
    case(16, 2, 33, 0),
    case(32, 2, 33, 0),
    case(8, 34, 125, 0),
    case(8, 34, 250, 0),
    case(8, 34, 500, 0),
    case(8, 34, 1_000, 0),
    case(8, 34, 1_000, 10),
    case(8, 34, 1_000, 30),
    case(8, 34, 1_000, 60),
    case(17, 34, 1_000, 0),
];

/// Measures each case for `duration` and prints a row for it. With `instances`, measures only the
/// cases with that number of instances.
pub fn run_control(duration: Duration, instances: Option<u16>) -> Result<()> {
    build_release()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    println!(
        "instances services servers changes/min | cpu % of a core  memory MB  bytes/s  packets/s  \
         store reads/s writes/s watches/s (per instance; store calls in total)"
    );
    for case in CASES {
        if instances.is_some_and(|instances| instances != case.entries) {
            continue;
        }
        runtime.block_on(measure(case, duration))?;
    }
    Ok(())
}

async fn measure(case: ControlCase, duration: Duration) -> Result<()> {
    let mut plan = FleetPlan::new(case.entries, 0);
    plan.centres = 7;
    let fleet = ProcessFleet::start(&plan).await?;
    fleet.operator(0).send(&services_batch(case), None).await?;
    tokio::time::sleep(SETTLE_DELAY).await;
    let pids: Vec<u32> = fleet
        .entries
        .iter()
        .map(|entry| entry.pid().context("the entry instance is not running"))
        .collect::<Result<_>>()?;
    let before = ResourceSample::collect(&fleet, &pids).await?;
    let changes = f64::from(case.changes_per_minute) * duration.as_secs_f64() / 60.0;
    let end = Instant::now() + duration;
    for change in 0..changes as u32 {
        let text = format!("alter service service-0 (keep_ms = {})", 1_000 + change);
        fleet.operator(0).send(&text, None).await?;
        let interval = bounded_duration(duration.as_secs_f64() / changes);
        let due = end - duration + interval * (change + 1);
        tokio::time::sleep_until(due.into()).await;
    }
    tokio::time::sleep_until(end.into()).await;
    let after = ResourceSample::collect(&fleet, &pids).await?;
    print_row(case, &before, &after);
    fleet.close()?;
    Ok(())
}

/// Returns commands that create services and backend servers at addresses where nothing listens. They
/// get no requests, and a probe rate of 0 turns off health checks.
fn services_batch(case: ControlCase) -> String {
    let mut batch = String::new();
    for service in 0..case.services {
        batch.push_str(&format!(
            "create service service-{service} (probe_rate = 0, keep_ms = 100);\n"
        ));
    }
    for server in 0..case.servers {
        let service = server % case.services;
        batch.push_str(&format!(
            "create server server-{server} in service-{service} at 127.0.0.1:{};\n",
            60_000 + server % 1_000
        ));
    }
    batch
}

/// Resource use of the fleet at a time. Counters are totals since the start.
struct ResourceSample {
    at: Instant,
    /// CPU time of all instances.
    cpu: Duration,
    /// Resident memory of the largest instance, in bytes.
    memory: u64,
    /// Bytes sent over the loopback interface, by all processes.
    bytes: u64,
    /// Packets sent over the loopback interface, by all processes.
    packets: u64,
    store_calls: standin::store::StoreCounts,
}

impl ResourceSample {
    async fn collect(fleet: &ProcessFleet, pids: &[u32]) -> Result<Self> {
        let mut cpu = Duration::ZERO;
        let mut memory = 0;
        for pid in pids {
            cpu += processor_time(*pid)?;
            memory = memory.max(resident_bytes(*pid)?);
        }
        let store_calls = fleet.get(fleet.store.address, standin::store::COUNTS_PATH).await?;
        let sent = loopback_sent()?;
        Ok(Self {
            at: Instant::now(),
            cpu,
            memory,
            bytes: sent.bytes,
            packets: sent.packets,
            store_calls,
        })
    }
}

fn print_row(case: ControlCase, before: &ResourceSample, after: &ResourceSample) {
    let seconds = (after.at - before.at).as_secs_f64();
    let count = f64::from(case.entries);
    let rate = |after: u64, before: u64| (after - before) as f64 / seconds;
    println!(
        "{:9} {:8} {:7} {:11} | {:15.3} {:10.1} {:8.0} {:10.1} {:14.1} {:8.1} {:9.1}",
        case.entries,
        case.services,
        case.servers,
        case.changes_per_minute,
        (after.cpu - before.cpu).as_secs_f64() / seconds / count * 100.0,
        after.memory as f64 / 1e6,
        rate(after.bytes, before.bytes) / count,
        rate(after.packets, before.packets) / count,
        rate(after.store_calls.reads, before.store_calls.reads),
        rate(after.store_calls.writes, before.store_calls.writes),
        rate(after.store_calls.watches, before.store_calls.watches),
    );
}
