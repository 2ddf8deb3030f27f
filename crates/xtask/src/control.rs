//! Measures what control costs an instance, by number of instances, backend servers and changes.

use crate::account::{loopback_sent, processor_time, resident_bytes};
use crate::ci::build_release;
use crate::fleet::{FleetPlan, ProcessFleet};
use anyhow::{Context, Result};
use std::time::{Duration, Instant};

/// Time after the configuration is in force before the measurement.
const SETTLE_SPAN: Duration = Duration::from_secs(4);

/// What to measure.
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

/// Four sizes in each direction.
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

/// Measures the cases, or those with so many instances, for `span` each and prints a row for each.
pub fn run_control(span: Duration, instances: Option<u16>) -> Result<()> {
    build_release()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    println!(
        "instances services servers changes/min | cpu % of a core  memory MB  bytes/s  packets/s  \
         store reads/s writes/s watches/s (per instance, but store calls in all)"
    );
    for case in CASES {
        if instances.is_some_and(|instances| instances != case.entries) {
            continue;
        }
        runtime.block_on(measure(case, span))?;
    }
    Ok(())
}

async fn measure(case: ControlCase, span: Duration) -> Result<()> {
    let mut plan = FleetPlan::new(case.entries, 0);
    plan.centres = 7;
    let fleet = ProcessFleet::start(&plan).await?;
    fleet.operator(0).send(&services_batch(case), None).await?;
    tokio::time::sleep(SETTLE_SPAN).await;
    let pids: Vec<u32> =
        fleet.entries.iter().map(|entry| entry.pid().context("runs")).collect::<Result<_>>()?;
    let before = Reading::take(&fleet, &pids).await?;
    let changes = f64::from(case.changes_per_minute) * span.as_secs_f64() / 60.0;
    let end = Instant::now() + span;
    for change in 0..changes as u32 {
        let text = format!("alter service service-0 (keep_ms = {})", 1_000 + change);
        fleet.operator(0).send(&text, None).await?;
        let gap = span.div_f64(changes);
        let due = end - span + gap * (change + 1);
        tokio::time::sleep_until(due.into()).await;
    }
    tokio::time::sleep_until(end.into()).await;
    let after = Reading::take(&fleet, &pids).await?;
    print_row(case, &before, &after);
    fleet.close()?;
    Ok(())
}

/// Services whose backend servers nothing listens for; nobody calls or probes them.
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

struct Reading {
    at: Instant,
    processor: Duration,
    memory: u64,
    bytes: u64,
    packets: u64,
    calls: standin::store::StoreCounts,
}

impl Reading {
    async fn take(fleet: &ProcessFleet, pids: &[u32]) -> Result<Self> {
        let mut processor = Duration::ZERO;
        let mut memory = 0;
        for pid in pids {
            processor += processor_time(*pid)?;
            memory = memory.max(resident_bytes(*pid)?);
        }
        let calls = fleet.get(fleet.store.address, standin::store::COUNTS_PATH).await?;
        let sent = loopback_sent()?;
        Ok(Self {
            at: Instant::now(),
            processor,
            memory,
            bytes: sent.bytes,
            packets: sent.packets,
            calls,
        })
    }
}

fn print_row(case: ControlCase, before: &Reading, after: &Reading) {
    let seconds = (after.at - before.at).as_secs_f64();
    let count = f64::from(case.entries);
    let rate = |after: u64, before: u64| (after - before) as f64 / seconds;
    println!(
        "{:9} {:8} {:7} {:11} | {:15.3} {:10.1} {:8.0} {:10.1} {:14.1} {:8.1} {:9.1}",
        case.entries,
        case.services,
        case.servers,
        case.changes_per_minute,
        (after.processor - before.processor).as_secs_f64() / seconds / count * 100.0,
        after.memory as f64 / 1e6,
        rate(after.bytes, before.bytes) / count,
        rate(after.packets, before.packets) / count,
        rate(after.calls.reads, before.calls.reads),
        rate(after.calls.writes, before.calls.writes),
        rate(after.calls.watches, before.calls.watches),
    );
}
