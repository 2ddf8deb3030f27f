//! Runs separate processes under random faults: killed, frozen and stopped instances, store outages,
//! faults of backend servers, concurrent changes by operators. Afterwards the verdicts that callers
//! received are checked against the ledgers of the backend servers.

use crate::ci::build_release;
use crate::fleet::{FleetPlan, ProcessFleet, SERVICE};
use anyhow::{Result, ensure};
use model::operator::CommandResponse;
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

/// Number of entry instances.
const ENTRIES: u16 = 6;
/// Number of backend servers.
const SERVERS: u16 = 8;
/// Delay between the end of the load and the reading of the ledgers. Late work may still run in it.
const SETTLE_DELAY: Duration = Duration::from_secs(8);
/// Longest delay before a fault.
const FAULT_DELAY_MAX: Duration = Duration::from_millis(1_500);
/// Longest duration of a fault.
const FAULT_DURATION_MAX: Duration = Duration::from_secs(4);

/// Kind of fault that a run injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ChaosFault {
    KillEntry,
    FreezeEntry,
    StopEntry,
    FreezeServer,
    ServerFault,
    StoreFault,
    FreezeStore,
    ExpireLeases,
    ConcurrentChanges,
}

const FAULTS: [ChaosFault; 9] = [
    ChaosFault::KillEntry,
    ChaosFault::FreezeEntry,
    ChaosFault::StopEntry,
    ChaosFault::FreezeServer,
    ChaosFault::ServerFault,
    ChaosFault::StoreFault,
    ChaosFault::FreezeStore,
    ChaosFault::ExpireLeases,
    ChaosFault::ConcurrentChanges,
];

/// Numbers of faults and of their results.
#[derive(Debug, Default)]
struct ChaosTally {
    faults: BTreeMap<ChaosFault, u32>,
    /// Concurrent changes by outcome.
    changes: BTreeMap<&'static str, u32>,
    /// Stopped instances by exit code; `None` after a signal.
    stop_codes: BTreeMap<Option<i32>, u32>,
}

/// Runs load and faults for `seconds` and checks the guarantees on verdicts and responses.
pub fn run_chaos(seed: u64, seconds: u64, rate: f64) -> Result<()> {
    build_release()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(run_faults(seed, Duration::from_secs(seconds), rate))
}

async fn run_faults(seed: u64, duration: Duration, rate: f64) -> Result<()> {
    let mut fleet = ProcessFleet::start(&FleetPlan::new(ENTRIES, SERVERS)).await?;
    fleet.operator(0).send(&fleet.service_batch(&fleet.servers), None).await?;
    let plan = load_plan(&fleet, seed, duration, rate)?;
    let load = tokio::spawn(async move { run_load(&plan).await });
    let mut random = SmallRng::seed_from_u64(seed);
    let mut tally = ChaosTally::default();
    let end = Instant::now() + duration;
    while Instant::now() < end {
        let delay = FAULT_DELAY_MAX.mul_f64(random.random());
        tokio::time::sleep(delay).await;
        let fault = FAULTS[random.random_range(0..FAULTS.len())];
        *tally.faults.entry(fault).or_default() += 1;
        inject_fault(&mut fleet, fault, &mut random, &mut tally).await?;
    }
    let load = load.await?;
    tokio::time::sleep(SETTLE_DELAY).await;
    let mut ledger = LedgerReport::default();
    for server in &fleet.servers {
        ledger.merge(fleet.get(server.address, LEDGER_PATH).await?);
    }
    print_report(seed, &load, &ledger, &tally);
    let codes = fleet.close()?;
    println!("exit codes of the entry instances: {codes:?}");
    check_guarantees(&load, &ledger)
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

async fn inject_fault(
    fleet: &mut ProcessFleet,
    fault: ChaosFault,
    random: &mut SmallRng,
    tally: &mut ChaosTally,
) -> Result<()> {
    let duration = FAULT_DURATION_MAX.mul_f64(random.random());
    let entry = random.random_range(0..fleet.entries.len());
    let server = random.random_range(0..fleet.servers.len());
    match fault {
        ChaosFault::KillEntry => {
            fleet.entries[entry].signal(Signal::KILL)?;
            fleet.entries[entry].wait()?;
            tokio::time::sleep(duration).await;
            fleet.entries[entry].start()?;
        }
        ChaosFault::FreezeEntry => fleet.entries[entry].freeze(duration).await?,
        ChaosFault::StopEntry => {
            fleet.entries[entry].signal(Signal::TERM)?;
            let code = fleet.entries[entry].wait()?;
            *tally.stop_codes.entry(code).or_default() += 1;
            fleet.entries[entry].start()?;
        }
        ChaosFault::FreezeServer => fleet.servers[server].freeze(duration).await?,
        ChaosFault::ServerFault => {
            let address = fleet.servers[server].address;
            fleet.post(address, BACKEND_FAULTS_PATH, &server_fault(random)).await?;
            tokio::time::sleep(duration).await;
            fleet.post(address, BACKEND_FAULTS_PATH, &BackendFaults::default()).await?;
        }
        ChaosFault::StoreFault => {
            fleet.post(fleet.store.address, FAULTS_PATH, &store_fault(random)).await?;
            tokio::time::sleep(duration).await;
            fleet.post(fleet.store.address, FAULTS_PATH, &StoreFaults::default()).await?;
        }
        ChaosFault::FreezeStore => fleet.store.freeze(duration).await?,
        ChaosFault::ExpireLeases => {
            fleet.post(fleet.store.address, EXPIRE_LEASES_PATH, &()).await?
        }
        ChaosFault::ConcurrentChanges => send_concurrent_changes(fleet, random, tally).await,
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

/// Two operators change the same service through two instances at the same time.
async fn send_concurrent_changes(
    fleet: &ProcessFleet,
    random: &mut SmallRng,
    tally: &mut ChaosTally,
) {
    let first = random.random_range(0..fleet.entries.len());
    let second = (first + 1) % fleet.entries.len();
    let text = |ttl_ms: u32| format!("alter service {SERVICE} (keep_ms = {ttl_ms})");
    let (one, two) =
        (text(random.random_range(1_000..2_000)), text(random.random_range(1_000..2_000)));
    let (first, second) = (fleet.operator(first), fleet.operator(second));
    let (one, two) = tokio::join!(first.send(&one, None), second.send(&two, None));
    for answer in [one, two] {
        let outcome = match answer {
            Ok(CommandResponse::InForceEverywhere { .. }) => "in force everywhere",
            Ok(CommandResponse::Accepted { .. }) => "accepted, not confirmed everywhere",
            Ok(CommandResponse::NotAccepted { .. }) => "not accepted",
            Ok(CommandResponse::Undetermined { .. }) => "undetermined",
            Ok(_) => "other",
            Err(_) => "no response",
        };
        *tally.changes.entry(outcome).or_default() += 1;
    }
}

/// Numbers of bookings whose verdict contradicts the ledgers.
struct BookingTally {
    /// Verdict not run, but the booking ran.
    not_run_but_ran: usize,
    /// Verdict ran, but the booking did not run exactly once.
    ran_not_once: usize,
}

fn tally_bookings(load: &LoadReport, ledger: &LedgerReport) -> BookingTally {
    let runs = |ticket: &str| ledger.runs.get(ticket).copied().unwrap_or_default();
    let count_wrong = |verdict: RunVerdict, is_wrong: &dyn Fn(u32) -> bool| {
        let tickets = load.tickets.iter().filter(|(_, found)| *found == verdict);
        tickets.filter(|(ticket, _)| is_wrong(runs(ticket))).count()
    };
    BookingTally {
        not_run_but_ran: count_wrong(RunVerdict::NotRun, &|runs| runs > 0),
        ran_not_once: count_wrong(RunVerdict::Ran, &|runs| runs != 1),
    }
}

fn print_report(seed: u64, load: &LoadReport, ledger: &LedgerReport, tally: &ChaosTally) {
    println!("seed {seed}: faults {:?}", tally.faults);
    println!("concurrent changes {:?}, exit codes of stops {:?}", tally.changes, tally.stop_codes);
    for (verdict, count) in &load.verdicts {
        println!("  {verdict:26} {count}");
    }
    for (kind, latency) in &load.latencies {
        println!("  {kind}: p50 {} us, p99 {} us", latency.p50_us, latency.p99_us);
    }
    let bookings = tally_bookings(load, ledger);
    println!(
        "bookings run {}, run more than once {}, run despite the verdict not run {}, not run once \
         despite the verdict ran {}, foreign or incomplete responses {}",
        ledger.runs.len(),
        ledger.duplicates(),
        bookings.not_run_but_ran,
        bookings.ran_not_once,
        load.foreign_answers
    );
}

fn check_guarantees(load: &LoadReport, ledger: &LedgerReport) -> Result<()> {
    let bookings = tally_bookings(load, ledger);
    ensure!(ledger.duplicates() == 0, "a booking ran more than once");
    ensure!(bookings.not_run_but_ran == 0, "a booking with the verdict not run ran");
    ensure!(bookings.ran_not_once == 0, "a booking with the verdict ran did not run exactly once");
    ensure!(load.foreign_answers == 0, "a caller received a foreign or incomplete response");
    Ok(())
}
