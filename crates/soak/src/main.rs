//! A randomized soak: the real gateway as separate processes on one machine, with faults injected from
//! outside, and a check of the promises by what callers and backend servers see.
//!
//! Stand-ins for the store and the backend servers run in this process. Connections to them go through
//! proxies that delay, reset or silence them. Gateways are stopped, paused, killed and started again
//! by signals; only processes that the soak started are signalled, by their ids.

mod backend;
mod caller;
mod fault;
mod probe;
mod process;
mod proxy;
mod store;
mod verifier;

use crate::backend::BackendFleet;
use crate::caller::run_caller;
use crate::fault::{FaultKinds, run_faults};
use crate::probe::run_probe;
use crate::process::{GatewayFleet, OutputTarget, programs_folder};
use crate::store::StoreStandin;
use crate::verifier::RunVerifier;
use anyhow::{Result, bail};
use bpaf::Bpaf;
use std::sync::Arc;
use std::time::Duration;

/// Backend servers at the start.
const SERVERS: usize = 6;
/// How long the fleet may take to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after the last fault in which the fleet serves again.
const RECOVERY_SPAN: Duration = Duration::from_secs(6);

/// Runs gateways under random faults and checks what callers and backend servers see
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct SoakOptions {
    /// Seed of the faults and of the load
    #[bpaf(argument("SEED"), fallback(1))]
    seed: u64,
    /// How long faults are injected, in seconds
    #[bpaf(argument("SECONDS"), fallback(20))]
    seconds: u64,
    /// Gateways
    #[bpaf(argument("COUNT"), fallback(4))]
    instances: usize,
    /// Callers
    #[bpaf(argument("COUNT"), fallback(24))]
    callers: usize,
    /// Only planned work: stops, reloads, changes of the configuration, leaving servers
    planned: bool,
    /// Let the gateways write to pipes that nobody reads
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
    let servers = BackendFleet::start(SERVERS, &store, &verifier).await?;
    store.put_config(1);
    let output = if options.stalled_output { OutputTarget::Stalled } else { OutputTarget::Files };
    let folder = programs_folder()?;
    let fleet = GatewayFleet::start(&folder, options.instances, store.address(), output).await?;
    let fleet = Arc::new(fleet);
    fleet.wait_ready(READY_TIMEOUT).await?;
    let mut callers = Vec::new();
    for number in 0..options.callers {
        let seed = options.seed.wrapping_mul(1_000).wrapping_add(number as u64);
        callers.push(tokio::spawn(run_caller(seed, Arc::clone(&fleet), Arc::clone(&verifier))));
    }
    callers.push(tokio::spawn(run_probe(Arc::clone(&fleet), store.clone(), Arc::clone(&verifier))));
    let span = Duration::from_secs(options.seconds);
    run_faults(options.seed, kinds, span, &fleet, &store, &servers, &verifier).await?;
    tokio::time::sleep(RECOVERY_SPAN).await;
    verifier.begin_recovery();
    tokio::time::sleep(RECOVERY_SPAN / 2).await;
    verifier.stop();
    for caller in callers {
        caller.await?;
    }
    fleet.close().await;
    let findings = verifier.findings(kinds == FaultKinds::Planned);
    println!("seed {}: {}", options.seed, verifier.summary());
    for finding in &findings {
        println!("seed {}: BROKEN: {finding}", options.seed);
    }
    if !findings.is_empty() {
        bail!("{} promises broken with seed {}", findings.len(), options.seed);
    }
    Ok(())
}
