//! Separate processes under random faults: kills, freezes, stops, store outages, faults of backend
//! servers, rival operators. The verdicts that callers saw are checked against the ledgers.

use crate::ci::build_release;
use crate::fleet::{FleetPlan, ProcessFleet, SERVICE};
use anyhow::{Result, ensure};
use model::operator::CommandAnswer;
use model::{Millis, RunVerdict};
use programs::load::{LoadPlan, LoadReport, run_load};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use standin::backend::{BACKEND_FAULTS_PATH, BackendFaults, LEDGER_PATH};
use standin::store::{EXPIRE_LEASES_PATH, FAULTS_PATH};
use standin::{LedgerReport, StoreFaults};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Entry instances of a run.
const ENTRIES: u16 = 6;
/// Backend servers of a run.
const SERVERS: u16 = 8;
/// Time after the load in which late work may still run before the ledgers are read.
const SETTLE_SPAN: Duration = Duration::from_secs(8);
/// Longest pause between faults.
const PAUSE_MAX: Duration = Duration::from_millis(1_500);
/// Longest fault.
const FAULT_MAX: Duration = Duration::from_secs(4);

/// A fault that the run can cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ChaosFault {
    KillEntry,
    FreezeEntry,
    StopEntry,
    FreezeServer,
    ServerFault,
    StoreFault,
    FreezeStore,
    LapseLeases,
    RivalChanges,
}

const FAULTS: [ChaosFault; 9] = [
    ChaosFault::KillEntry,
    ChaosFault::FreezeEntry,
    ChaosFault::StopEntry,
    ChaosFault::FreezeServer,
    ChaosFault::ServerFault,
    ChaosFault::StoreFault,
    ChaosFault::FreezeStore,
    ChaosFault::LapseLeases,
    ChaosFault::RivalChanges,
];

#[derive(Debug, Default)]
struct ChaosTally {
    faults: BTreeMap<ChaosFault, u32>,
    changes: BTreeMap<&'static str, u32>,
    stop_codes: BTreeMap<Option<i32>, u32>,
}

/// Runs under faults and checks the promises.
pub fn run_chaos(seed: u64, seconds: u64, rate: f64) -> Result<()> {
    build_release()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(chaos(seed, Duration::from_secs(seconds), rate))
}

async fn chaos(seed: u64, span: Duration, rate: f64) -> Result<()> {
    let mut fleet = ProcessFleet::start(&FleetPlan::new(ENTRIES, SERVERS)).await?;
    fleet.operator(0).send(&fleet.service_batch(&fleet.servers), None).await?;
    let plan = load_plan(&fleet, seed, span, rate)?;
    let load = tokio::spawn(async move { run_load(&plan).await });
    let mut random = SmallRng::seed_from_u64(seed);
    let mut tally = ChaosTally::default();
    let end = Instant::now() + span;
    while Instant::now() < end {
        let pause = PAUSE_MAX.mul_f64(random.random());
        tokio::time::sleep(pause).await;
        let fault = FAULTS[random.random_range(0..FAULTS.len())];
        *tally.faults.entry(fault).or_default() += 1;
        cause_fault(&mut fleet, fault, &mut random, &mut tally).await?;
    }
    let load = load.await?;
    tokio::time::sleep(SETTLE_SPAN).await;
    let mut ledger = LedgerReport::default();
    for server in &fleet.servers {
        ledger.merge(fleet.get(server.address, LEDGER_PATH).await?);
    }
    report(seed, &load, &ledger, &tally);
    let codes = fleet.close()?;
    println!("entry instances ended with {codes:?}");
    check(&load, &ledger)
}

fn load_plan(fleet: &ProcessFleet, seed: u64, duration: Duration, rate: f64) -> Result<LoadPlan> {
    Ok(LoadPlan {
        entries: fleet.entries.iter().map(|entry| entry.address).collect(),
        service: SERVICE.parse()?,
        rate,
        duration,
        callers: 12,
        bookings: 0.3,
        long_share: 0.016,
        short_time: Duration::from_millis(4),
        long_time: Duration::from_millis(100),
        straggler_share: 0.004,
        deadline: Duration::from_secs(3),
        heavy_factor: 1.0,
        seed,
    })
}

async fn cause_fault(
    fleet: &mut ProcessFleet,
    fault: ChaosFault,
    random: &mut SmallRng,
    tally: &mut ChaosTally,
) -> Result<()> {
    let span = FAULT_MAX.mul_f64(random.random());
    let entry = random.random_range(0..fleet.entries.len());
    let server = random.random_range(0..fleet.servers.len());
    match fault {
        ChaosFault::KillEntry => {
            fleet.entries[entry].signal(Signal::KILL)?;
            fleet.entries[entry].wait()?;
            tokio::time::sleep(span).await;
            fleet.entries[entry].start()?;
        }
        ChaosFault::FreezeEntry => fleet.entries[entry].freeze(span).await?,
        ChaosFault::StopEntry => {
            fleet.entries[entry].signal(Signal::TERM)?;
            let code = fleet.entries[entry].wait()?;
            *tally.stop_codes.entry(code).or_default() += 1;
            fleet.entries[entry].start()?;
        }
        ChaosFault::FreezeServer => fleet.servers[server].freeze(span).await?,
        ChaosFault::ServerFault => {
            let address = fleet.servers[server].address;
            fleet.post(address, BACKEND_FAULTS_PATH, &server_fault(random)).await?;
            tokio::time::sleep(span).await;
            fleet.post(address, BACKEND_FAULTS_PATH, &BackendFaults::default()).await?;
        }
        ChaosFault::StoreFault => {
            fleet.post(fleet.store.address, FAULTS_PATH, &store_fault(random)).await?;
            tokio::time::sleep(span).await;
            fleet.post(fleet.store.address, FAULTS_PATH, &StoreFaults::default()).await?;
        }
        ChaosFault::FreezeStore => fleet.store.freeze(span).await?,
        ChaosFault::LapseLeases => fleet.post(fleet.store.address, EXPIRE_LEASES_PATH, &()).await?,
        ChaosFault::RivalChanges => rival_changes(fleet, random, tally).await,
    }
    Ok(())
}

fn server_fault(random: &mut SmallRng) -> BackendFaults {
    let none = BackendFaults::default();
    match random.random_range(0..4) {
        0 => BackendFaults { slow: Millis(200), ..none },
        1 => BackendFaults { shed: true, ..none },
        2 => BackendFaults { cut_answers: true, ..none },
        _ => BackendFaults { hang: true, ..none },
    }
}

fn store_fault(random: &mut SmallRng) -> StoreFaults {
    let none = StoreFaults::default();
    match random.random_range(0..6) {
        0 => StoreFaults { slow: Millis(300), ..none },
        1 => StoreFaults { down: true, ..none },
        2 => StoreFaults { hang: true, ..none },
        3 => StoreFaults { lose_replies: 2, ..none },
        4 => StoreFaults { late_writes: 2, late_by: Millis(700), ..none },
        _ => StoreFaults { silent_watches: true, ..none },
    }
}

/// Two operators change the same rule through two instances at the same time.
async fn rival_changes(fleet: &ProcessFleet, random: &mut SmallRng, tally: &mut ChaosTally) {
    let first = random.random_range(0..fleet.entries.len());
    let second = (first + 1) % fleet.entries.len();
    let text = |keep: u32| format!("alter service {SERVICE} (keep_ms = {keep})");
    let (one, two) =
        (text(random.random_range(1_000..2_000)), text(random.random_range(1_000..2_000)));
    let (first, second) = (fleet.operator(first), fleet.operator(second));
    let (one, two) = tokio::join!(first.send(&one, None), second.send(&two, None));
    for answer in [one, two] {
        let outcome = match answer {
            Ok(CommandAnswer::InForceEverywhere { .. }) => "in force everywhere",
            Ok(CommandAnswer::Accepted { .. }) => "accepted, not confirmed everywhere",
            Ok(CommandAnswer::NotAccepted { .. }) => "not accepted",
            Ok(CommandAnswer::Undetermined { .. }) => "undetermined",
            Ok(_) => "other",
            Err(_) => "no answer",
        };
        *tally.changes.entry(outcome).or_default() += 1;
    }
}

struct BookingTally {
    false_not_run: usize,
    false_ran: usize,
}

fn tally_bookings(load: &LoadReport, ledger: &LedgerReport) -> BookingTally {
    let runs = |ticket: &str| ledger.runs.get(ticket).copied().unwrap_or_default();
    let wrong = |verdict: RunVerdict, is_wrong: &dyn Fn(u32) -> bool| {
        let told = load.tickets.iter().filter(|(_, told)| *told == verdict);
        told.filter(|(ticket, _)| is_wrong(runs(ticket))).count()
    };
    BookingTally {
        false_not_run: wrong(RunVerdict::NotRun, &|runs| runs > 0),
        false_ran: wrong(RunVerdict::Ran, &|runs| runs != 1),
    }
}

fn report(seed: u64, load: &LoadReport, ledger: &LedgerReport, tally: &ChaosTally) {
    println!("seed {seed}: faults {:?}", tally.faults);
    println!("changes {:?}, stop codes {:?}", tally.changes, tally.stop_codes);
    for (verdict, count) in &load.verdicts {
        println!("  {verdict:26} {count}");
    }
    for (kind, latency) in &load.latencies {
        println!("  {kind}: p50 {} us, p99 {} us", latency.p50_us, latency.p99_us);
    }
    let bookings = tally_bookings(load, ledger);
    println!(
        "bookings run {}, doubles {}, false not-run {}, false ran {}, foreign answers {}",
        ledger.runs.len(),
        ledger.duplicates(),
        bookings.false_not_run,
        bookings.false_ran,
        load.foreign_answers
    );
}

fn check(load: &LoadReport, ledger: &LedgerReport) -> Result<()> {
    let bookings = tally_bookings(load, ledger);
    ensure!(ledger.duplicates() == 0, "a booking ran twice");
    ensure!(bookings.false_not_run == 0, "a booking refused as not run ran");
    ensure!(bookings.false_ran == 0, "a booking told as ran did not run once");
    ensure!(load.foreign_answers == 0, "an answer was foreign or not whole");
    Ok(())
}
