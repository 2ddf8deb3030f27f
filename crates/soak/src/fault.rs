//! Injects random faults, one after another and overlapping.

use crate::backend::{BackendFleet, QUIET_PERIOD, ServerFault, StandinServer};
use crate::process::{GRACE_PERIOD, GatewayFleet};
use crate::proxy::{FaultProxy, ProxyMode};
use crate::store::{StoreFault, StoreStandin};
use crate::verifier::RunVerifier;
use anyhow::Result;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time from marking a server's record as leaving until the record is removed from the store.
const DRAIN_DURATION: Duration = Duration::from_secs(3);
/// Longest time, in milliseconds, for which a server says that it leaves before its record does.
const NOTICE_MAX_MS: u64 = 5_000;
/// Largest offset of a gateway's clock in either direction, in seconds.
const CLOCK_OFFSET_MAX_S: i64 = 6;
/// How often in a run all gateways are killed at once.
const OUTAGES_MAX: u32 = 2;
/// Longest time from killing all gateways until they are started again.
const OUTAGE_DURATION_MAX: Duration = Duration::from_millis(1_200);
/// Upper bound of the random interval between two faults, in milliseconds.
const FAULT_INTERVAL_MAX_MS: u64 = 900;

/// Which faults are injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKinds {
    /// Planned work: restarts with SIGTERM, reloads, new configurations, leaving servers.
    Planned,
    /// Planned work and faults of gateways, servers, the store and the network.
    All,
}

/// Injects faults for `duration` and waits until the last of them is over.
///
/// Fails if a signal can't be sent or a gateway can't be started.
pub async fn run_faults(
    seed: u64,
    kinds: FaultKinds,
    duration: Duration,
    fleet: &Arc<GatewayFleet>,
    store: &StoreStandin,
    servers: &BackendFleet,
    verifier: &Arc<RunVerifier>,
) -> Result<()> {
    let mut random = SmallRng::seed_from_u64(seed);
    let until = Instant::now() + duration;
    let mut tasks = Vec::new();
    let mut outages = 0;
    // Gateways that a fault affects, each with the time at which the fault should be over.
    let mut affected: Vec<(usize, Instant)> = Vec::new();
    while Instant::now() < until {
        let fault_duration = Duration::from_millis(random.random_range(300..2_500));
        // Choices below 4 are planned work.
        let choice = random.random_range(0..if kinds == FaultKinds::Planned { 4 } else { 14 });
        let index = random.random_range(0..fleet.count());
        affected.retain(|(_, end)| *end > Instant::now());
        // One fault at a time per gateway, and at least one gateway without a fault.
        let may_disrupt = affected.len() + 1 < fleet.count()
            && !affected.iter().any(|(gateway, _)| *gateway == index);
        let active = servers.active_servers();
        let server = active[random.random_range(0..active.len())].clone();
        if choice >= 4 {
            verifier.record_fault();
        }
        match choice {
            0 if may_disrupt => {
                affected.push((index, Instant::now() + GRACE_PERIOD + Duration::from_secs(1)));
                tasks.push(tokio::spawn(restart(Arc::clone(fleet), index, Signal::TERM)));
            }
            1 => fleet.signal(index, Signal::HUP)?,
            2 => {
                let version = store.newest_config().0 + random.random_range(1..4);
                store.put_config(version);
            }
            3 if active.len() > 4 => {
                servers.add(store).await?;
                servers.remove(&server.name);
                server.begin_leaving();
                let notice = Duration::from_millis(random.random_range(0..NOTICE_MAX_MS));
                let verifier = Arc::clone(verifier);
                tasks.push(tokio::spawn(leave(store.clone(), server, notice, verifier)));
            }
            4 if may_disrupt => {
                affected.push((index, Instant::now() + Duration::from_secs(2)));
                tasks.push(tokio::spawn(restart(Arc::clone(fleet), index, Signal::KILL)));
            }
            5 if may_disrupt => {
                affected.push((index, Instant::now() + fault_duration));
                fleet.signal(index, Signal::STOP)?;
                verifier.record_freeze(index);
                let (fleet, verifier) = (Arc::clone(fleet), Arc::clone(verifier));
                tasks.push(tokio::spawn(async move {
                    tokio::time::sleep(fault_duration).await;
                    verifier.record_freeze(index);
                    fleet.signal(index, Signal::CONT)
                }));
            }
            6 => {
                let fault = match random.random_range(0..3) {
                    0 => StoreFault::Down,
                    1 => StoreFault::Slow(Duration::from_millis(200)),
                    _ => StoreFault::Lossy(0.4),
                };
                store.set_fault(fault);
                let (store, verifier) = (store.clone(), Arc::clone(verifier));
                tasks.push(tokio::spawn(async move {
                    tokio::time::sleep(fault_duration).await;
                    store.set_fault(StoreFault::None);
                    verifier.record_fault();
                    Ok(())
                }));
            }
            7 => store.compact_history(),
            8 => tasks.push(tokio::spawn(disturb_connections(
                store.proxy.clone(),
                proxy_mode(&mut random),
                fault_duration,
                Arc::clone(verifier),
            ))),
            9 => {
                verifier.record_disturbance(&server.name, fault_duration);
                tasks.push(tokio::spawn(disturb_connections(
                    server.proxy.clone(),
                    proxy_mode(&mut random),
                    fault_duration,
                    Arc::clone(verifier),
                )));
            }
            10 => {
                let faults =
                    [ServerFault::Slow, ServerFault::Shed, ServerFault::Fail, ServerFault::Cut];
                let fault = faults[random.random_range(0..faults.len())];
                tasks.push(tokio::spawn(disturb_server(server, fault, fault_duration)));
            }
            13 => {
                let duration = fault_duration + QUIET_PERIOD;
                tasks.push(tokio::spawn(disturb_server(server, ServerFault::Quiet, duration)));
            }
            11 if may_disrupt => {
                let offset = random.random_range(-CLOCK_OFFSET_MAX_S..=CLOCK_OFFSET_MAX_S);
                fleet.set_clock_offset(index, offset)?;
                affected.push((index, Instant::now() + Duration::from_secs(2)));
                tasks.push(tokio::spawn(restart(Arc::clone(fleet), index, Signal::KILL)));
            }
            // Kills all gateways at once, but not while a fault affects one of them.
            12 if affected.is_empty() && outages < OUTAGES_MAX => {
                outages += 1;
                for index in 0..fleet.count() {
                    affected
                        .push((index, Instant::now() + fault_duration + Duration::from_secs(2)));
                    let delay = fault_duration.min(OUTAGE_DURATION_MAX);
                    tasks.push(tokio::spawn(restart_after_outage(Arc::clone(fleet), index, delay)));
                }
                let verifier = Arc::clone(verifier);
                tasks.push(tokio::spawn(async move {
                    tokio::time::sleep(fault_duration.min(OUTAGE_DURATION_MAX)).await;
                    verifier.record_fault();
                    Ok(())
                }));
            }
            _ => {}
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(50..FAULT_INTERVAL_MAX_MS)))
            .await;
    }
    for task in tasks {
        task.await??;
    }
    Ok(())
}

fn proxy_mode(random: &mut SmallRng) -> ProxyMode {
    match random.random_range(0..5) {
        0 => ProxyMode::Delay(Duration::from_millis(random.random_range(5..80))),
        1 => ProxyMode::Reset,
        2 => ProxyMode::DiscardResponses,
        3 => ProxyMode::DiscardRequests,
        _ => ProxyMode::DiscardAll,
    }
}

async fn disturb_server(
    server: StandinServer,
    fault: ServerFault,
    duration: Duration,
) -> Result<()> {
    server.set_fault(fault);
    tokio::time::sleep(duration).await;
    server.set_fault(ServerFault::None);
    Ok(())
}

async fn disturb_connections(
    proxy: FaultProxy,
    mode: ProxyMode,
    fault_duration: Duration,
    verifier: Arc<RunVerifier>,
) -> Result<()> {
    proxy.set_mode(mode);
    tokio::time::sleep(fault_duration).await;
    proxy.set_mode(ProxyMode::Pass);
    verifier.record_fault();
    Ok(())
}

/// Kills a gateway and starts it again after `delay`.
async fn restart_after_outage(
    fleet: Arc<GatewayFleet>,
    index: usize,
    delay: Duration,
) -> Result<()> {
    fleet.signal(index, Signal::KILL)?;
    fleet.wait_exit(index, GRACE_PERIOD).await?;
    tokio::time::sleep(delay).await;
    fleet.launch(index)
}

async fn restart(fleet: Arc<GatewayFleet>, index: usize, signal: Signal) -> Result<()> {
    fleet.signal(index, signal)?;
    fleet.wait_exit(index, GRACE_PERIOD).await?;
    fleet.launch(index)
}

/// Marks the record of a server as leaving `notice` after the server began to say so itself, and removes
/// it later.
async fn leave(
    store: StoreStandin,
    server: StandinServer,
    notice: Duration,
    verifier: Arc<RunVerifier>,
) -> Result<()> {
    tokio::time::sleep(notice).await;
    verifier.record_leaving(&server.name);
    store.put_server(&server.name, server.proxy.address, server.data_centre, true);
    tokio::time::sleep(DRAIN_DURATION).await;
    store.remove_server(&server.name);
    Ok(())
}
