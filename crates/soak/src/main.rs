//! A randomized soak test. It runs the real gateway as several processes on one machine, injects
//! faults from outside, and checks the guarantees against what callers and backend servers observe.
//!
//! Stand-ins for the store and the backend servers run in this process. Connections to them go
//! through proxies that delay, reset or discard traffic. Gateways are stopped, paused and killed
//! with signals, and started again. Signals go only to processes that the soak test started, by
//! their ids.

mod backend;
mod caller;
mod fault;
mod limits;
mod notices;
mod operators;
mod process;
mod proxy;
mod store;
mod teams;
mod verifier;
mod version_check;

use crate::backend::BackendFleet;
use crate::caller::run_caller;
use crate::fault::{FaultKinds, run_faults};
use crate::limits::run_limits;
use crate::operators::run_operators;
use crate::process::{GatewayFleet, OutputTarget, programs_folder};
use crate::store::StoreStandin;
use crate::verifier::RunVerifier;
use crate::version_check::check_versions;
use anyhow::{Result, bail};
use bpaf::Bpaf;
use std::sync::Arc;
use std::time::Duration;

/// Number of backend servers at the start.
const SERVER_COUNT: usize = 6;
/// Time after the start by which all gateways must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after the last fault until requests must be served again. They are checked for half as
/// long.
const RECOVERY_DELAY: Duration = Duration::from_secs(6);

/// Runs gateways under random faults and checks what callers and backend servers observe
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct SoakOptions {
    /// Seed of the faults and of the load
    #[bpaf(argument("SEED"), fallback(1))]
    seed: u64,
    /// How long faults are injected, in seconds
    #[bpaf(argument("SECONDS"), fallback(20))]
    seconds: u64,
    /// Number of gateways
    #[bpaf(argument("COUNT"), fallback(4))]
    instances: usize,
    /// Number of callers
    #[bpaf(argument("COUNT"), fallback(24))]
    callers: usize,
    /// Inject only planned work: restarts, reloads, new configurations, leaving servers
    planned: bool,
    /// Connect the standard output of the gateways to pipes that are never read
    stalled_output: bool,
}

fn main() -> Result<()> {
    let options = soak_options().run();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(run_soak(options))
}

async fn run_soak(options: SoakOptions) -> Result<()> {
    let kinds = if options.planned { FaultKinds::Planned } else { FaultKinds::All };
    let verifier = Arc::new(RunVerifier::default());
    let store = StoreStandin::start().await?;
    let servers = Arc::new(BackendFleet::start(SERVER_COUNT, &store, &verifier).await?);
    store.put_config(1);
    let output = if options.stalled_output { OutputTarget::Stalled } else { OutputTarget::Files };
    let folder = programs_folder()?;
    let fleet = GatewayFleet::start(&folder, options.instances, store.address(), output).await?;
    let fleet = Arc::new(fleet);
    fleet.wait_ready(READY_TIMEOUT).await?;
    let mut tasks = Vec::new();
    for number in 0..options.callers {
        let seed = options.seed.wrapping_mul(1_000).wrapping_add(number as u64);
        tasks.push(tokio::spawn(run_caller(seed, Arc::clone(&fleet), Arc::clone(&verifier))));
    }
    tasks.push(tokio::spawn(check_versions(
        Arc::clone(&fleet),
        store.clone(),
        Arc::clone(&verifier),
    )));
    tasks.push(tokio::spawn(run_limits(options.seed, Arc::clone(&servers), Arc::clone(&verifier))));
    let operators = run_operators(options.seed, kinds, store.clone(), Arc::clone(&verifier));
    tasks.push(tokio::spawn(operators));
    let duration = Duration::from_secs(options.seconds);
    run_faults(options.seed, kinds, duration, &fleet, &store, &servers, &verifier).await?;
    tokio::time::sleep(RECOVERY_DELAY).await;
    verifier.begin_recovery();
    tokio::time::sleep(RECOVERY_DELAY / 2).await;
    verifier.stop();
    for task in tasks {
        task.await?;
    }
    fleet.stop().await;
    let findings = verifier.findings(kinds == FaultKinds::Planned);
    println!("seed {}: {}", options.seed, verifier.summary());
    for finding in &findings {
        println!("seed {}: BROKEN: {finding}", options.seed);
    }
    if !findings.is_empty() {
        bail!("{} violations of guarantees with seed {}", findings.len(), options.seed);
    }
    Ok(())
}
