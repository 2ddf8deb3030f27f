//! Random faults, in series and overlapping.

use crate::backend::{BackendFleet, ServerFault, StandinServer};
use crate::process::{GRACE_SPAN, GatewayFleet};
use crate::proxy::{FaultProxy, ProxyMode};
use crate::store::{StoreFault, StoreStandin};
use crate::verifier::RunVerifier;
use anyhow::Result;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a leaving server still serves.
const LEAVE_SPAN: Duration = Duration::from_secs(3);
/// Most seconds by which the clock of a gateway is wrong.
const CLOCK_SHIFT_S: i64 = 6;
/// How often all gateways are killed at once, and longest time until they start again.
const LOST_ALL_MAX: u32 = 2;
const OUTAGE_MAX: Duration = Duration::from_millis(1_200);
/// Longest pause between two faults.
const PAUSE_MS: u64 = 900;

/// Which faults are injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKinds {
    /// Stops, reloads, changes of the configuration, leaving servers.
    Planned,
    /// Those and everything else.
    All,
}

/// Injects faults for a span and waits until all of them are over.
pub async fn run_faults(
    seed: u64,
    kinds: FaultKinds,
    span: Duration,
    fleet: &Arc<GatewayFleet>,
    store: &StoreStandin,
    servers: &BackendFleet,
    verifier: &Arc<RunVerifier>,
) -> Result<()> {
    let mut random = SmallRng::seed_from_u64(seed);
    let until = Instant::now() + span;
    let mut tasks = Vec::new();
    let mut lost_all = 0;
    let mut busy: Vec<(usize, Instant)> = Vec::new();
    while Instant::now() < until {
        let length = Duration::from_millis(random.random_range(300..2_500));
        let choice = random.random_range(0..if kinds == FaultKinds::Planned { 4 } else { 13 });
        let index = random.random_range(0..fleet.count());
        busy.retain(|(_, end)| *end > Instant::now());
        let is_free = busy.len() + 1 < fleet.count() && !busy.iter().any(|(one, _)| *one == index);
        let listed = servers.servers();
        let server = listed[random.random_range(0..listed.len())].clone();
        if choice >= 4 {
            verifier.record_fault();
        }
        match choice {
            0 if is_free => {
                busy.push((index, Instant::now() + GRACE_SPAN + Duration::from_secs(1)));
                tasks.push(tokio::spawn(restart(Arc::clone(fleet), index, Signal::TERM)));
            }
            1 => fleet.signal(index, Signal::HUP)?,
            2 => {
                let version = store.newest().0 + random.random_range(1..4);
                store.put_config(version);
            }
            3 if listed.len() > 4 => {
                servers.add(store).await?;
                servers.forget(&server.name);
                verifier.record_leaving(&server.name);
                store.put_server(&server.name, server.proxy.address, server.centre, true);
                tasks.push(tokio::spawn(leave(store.clone(), server)));
            }
            4 if is_free => {
                busy.push((index, Instant::now() + Duration::from_secs(2)));
                tasks.push(tokio::spawn(restart(Arc::clone(fleet), index, Signal::KILL)));
            }
            5 if is_free => {
                busy.push((index, Instant::now() + length));
                fleet.signal(index, Signal::STOP)?;
                let (fleet, verifier) = (Arc::clone(fleet), Arc::clone(verifier));
                tasks.push(tokio::spawn(async move {
                    tokio::time::sleep(length).await;
                    verifier.record_fault();
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
                    tokio::time::sleep(length).await;
                    store.set_fault(StoreFault::None);
                    verifier.record_fault();
                    Ok(())
                }));
            }
            7 => store.forget_history(),
            8 => tasks.push(tokio::spawn(disturb(
                store.proxy.clone(),
                proxy_mode(&mut random),
                length,
                Arc::clone(verifier),
            ))),
            9 => tasks.push(tokio::spawn(disturb(
                server.proxy.clone(),
                proxy_mode(&mut random),
                length,
                Arc::clone(verifier),
            ))),
            10 => {
                let faults =
                    [ServerFault::Slow, ServerFault::Shed, ServerFault::Fail, ServerFault::Cut];
                server.set_fault(faults[random.random_range(0..faults.len())]);
                tasks.push(tokio::spawn(async move {
                    tokio::time::sleep(length).await;
                    server.set_fault(ServerFault::None);
                    Ok(())
                }));
            }
            11 if is_free => {
                let offset = random.random_range(-CLOCK_SHIFT_S..=CLOCK_SHIFT_S);
                fleet.set_clock(index, offset)?;
                busy.push((index, Instant::now() + Duration::from_secs(2)));
                tasks.push(tokio::spawn(restart(Arc::clone(fleet), index, Signal::KILL)));
            }
            // All at once, but not while one of them is being stopped or started.
            12 if busy.is_empty() && lost_all < LOST_ALL_MAX => {
                lost_all += 1;
                for index in 0..fleet.count() {
                    busy.push((index, Instant::now() + length + Duration::from_secs(2)));
                    let pause = length.min(OUTAGE_MAX);
                    tasks.push(tokio::spawn(lose_power(Arc::clone(fleet), index, pause)));
                }
                let verifier = Arc::clone(verifier);
                tasks.push(tokio::spawn(async move {
                    tokio::time::sleep(length.min(OUTAGE_MAX)).await;
                    verifier.record_fault();
                    Ok(())
                }));
            }
            _ => {}
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(50..PAUSE_MS))).await;
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
        2 => ProxyMode::SilenceBack,
        3 => ProxyMode::SilenceThere,
        _ => ProxyMode::Silence,
    }
}

async fn disturb(
    proxy: FaultProxy,
    mode: ProxyMode,
    length: Duration,
    verifier: Arc<RunVerifier>,
) -> Result<()> {
    proxy.set(mode);
    tokio::time::sleep(length).await;
    proxy.set(ProxyMode::Pass);
    verifier.record_fault();
    Ok(())
}

/// Kills a gateway and starts it again after a pause.
async fn lose_power(fleet: Arc<GatewayFleet>, index: usize, pause: Duration) -> Result<()> {
    fleet.signal(index, Signal::KILL)?;
    fleet.wait_end(index, GRACE_SPAN).await?;
    tokio::time::sleep(pause).await;
    fleet.launch(index)
}

async fn restart(fleet: Arc<GatewayFleet>, index: usize, signal: Signal) -> Result<()> {
    fleet.signal(index, signal)?;
    fleet.wait_end(index, GRACE_SPAN).await?;
    fleet.launch(index)
}

async fn leave(store: StoreStandin, server: StandinServer) -> Result<()> {
    tokio::time::sleep(LEAVE_SPAN).await;
    store.remove_server(&server.name);
    Ok(())
}
