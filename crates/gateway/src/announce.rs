//! Keeps this instance listed in the store, so that the others know of it, and lists others.
//!
//! An instance asks the first home to list it, or a seed while it knows no home, and writes its own
//! record only if nobody does.

use crate::peer_port::ask_listing;
use crate::state::GatewayState;
use crate::store_sync::pull_from;
use fleet::{ANNOUNCE_INTERVAL, LEASE_TTL, MemberRecord};
use model::MonoTime;
use rand::RngExt;
use smol_str::format_smolstr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use store::{ItemWrite, LeaseId, StoreError, StoreKey};
use tokio::sync::oneshot;

/// Time between looks at whether the record is still there.
const LISTED_TICK: Duration = Duration::from_secs(2);
/// First and longest pause between tries to be listed.
const ANNOUNCE_FIRST: Duration = Duration::from_millis(100);
const ANNOUNCE_MAX: Duration = Duration::from_secs(4);
/// Rounds in which others did not list this instance before it does so itself. The first fail when
/// many instances start together, some a little earlier than the others.
const PATIENT_ROUNDS: u32 = 2;
/// Time in which a record that was written reaches this instance.
const ARRIVAL_SPAN: Duration = Duration::from_millis(600);
/// Time between looks for it.
const ARRIVAL_TICK: Duration = Duration::from_millis(60);

/// Keeps this instance listed until the process stops.
pub(crate) async fn run_announcement(state: Rc<GatewayState>) {
    let mut pause = ANNOUNCE_FIRST;
    let mut rounds = 0;
    let mut announced_at = state.now();
    state.first_copy.notified().await;
    while !state.is_stopping() {
        let is_registered = is_registered(&state);
        let is_old = state.now().since(announced_at) > ANNOUNCE_INTERVAL;
        let must_announce = if is_registered { is_old } else { is_current(&state) };
        if !must_announce {
            tokio::time::sleep(LISTED_TICK).await;
            continue;
        }
        announced_at = state.now();
        if announce(&state, is_registered, rounds).await {
            pause = ANNOUNCE_FIRST;
            rounds = 0;
        } else {
            rounds += 1;
            let wait = pause.mul_f64(rand::rng().random_range(0.7..1.3));
            tokio::time::sleep(wait).await;
            pause = (pause * 2).min(ANNOUNCE_MAX);
        }
    }
}

/// Whether the store has a record of this instance with its present addresses, as far as is known here.
/// The run need not be the present one: heartbeats tell of a newer one.
pub(crate) fn is_registered(state: &GatewayState) -> bool {
    let key = state.binding.member_key(state.settings().name.as_str());
    let fleet = state.fleet_ref();
    let this = fleet.members.this();
    fleet.records.members.get(key.as_str()).is_some_and(|listed| {
        let listed = MemberRecord { incarnation: this.incarnation, ..listed.clone() };
        listed == *this
    })
}

/// Whether the replica is new enough to tell that a record is missing.
fn is_current(state: &GatewayState) -> bool {
    let fleet = state.fleet_ref();
    fleet.confirmed_at.is_none() || fleet.confirmed_age(state.now()) < LISTED_TICK
}

/// Gets this instance listed, in a round after some that failed. Gives whether it is.
async fn announce(state: &Rc<GatewayState>, is_registered: bool, failed_rounds: u32) -> bool {
    let record = state.fleet_ref().members.this().clone();
    let others = registrars(state, is_registered);
    let lists_itself = others.is_empty() || failed_rounds >= PATIENT_ROUNDS;
    for registrar in others {
        match ask_listing(state, registrar, &record, is_registered).await {
            Ok(()) if is_registered || arrives(state, Some(registrar)).await => return true,
            Ok(()) => state.log.state("listing_missing", &format_smolstr!("at {registrar}")),
            Err(cause) => {
                state.log.state("listing_failed", &format_smolstr!("{registrar}: {cause:#}"));
            }
        }
    }
    let listing = lists_itself.then(|| list_record(state, record, is_registered));
    match listing {
        Some(_) if is_registered => true,
        Some(listing) => listing.await.unwrap_or(false) && arrives(state, None).await,
        None => false,
    }
}

/// Takes a record to be written to the store. The receiver tells whether the store took it.
pub(crate) fn list_record(
    state: &GatewayState,
    record: MemberRecord,
    is_registered: bool,
) -> oneshot::Receiver<bool> {
    let (told, listing) = oneshot::channel();
    state.listing_waiters.borrow_mut().push((record.name.clone(), told));
    let now = state.now();
    state.registrar.borrow_mut().enqueue(now, record, is_registered);
    state.registering.notify_one();
    listing
}

/// Tells those whose records do not wait any more how that went.
fn tell_waiters(state: &GatewayState, is_written: bool) {
    let registrar = state.registrar.borrow();
    let mut waiters = state.listing_waiters.borrow_mut();
    let (waiting, done) = std::mem::take(&mut *waiters)
        .into_iter()
        .partition::<Vec<_>, _>(|(name, _)| registrar.is_waiting(name));
    *waiters = waiting;
    for (_, told) in done {
        // Whoever asked may have given up waiting.
        let _ = told.send(is_written);
    }
}

/// Who may list this instance, the best one first; none if this instance lists others itself.
fn registrars(state: &GatewayState, is_registered: bool) -> Vec<SocketAddr> {
    let settings = state.settings();
    let fleet = state.fleet_ref();
    if is_registered && fleet.home_place() == Some(0) {
        return Vec::new();
    }
    let own = settings.peer_address;
    let now = state.now();
    let heard = |name: &model::InstanceName| {
        fleet.members.recent_heartbeats(now).any(|(record, _)| record.name == *name)
    };
    let home = fleet.homes().iter().find(|home| heard(&home.name)).map(|home| home.peer_address);
    let other = fleet.members.recent_heartbeats(now).map(|(record, _)| record.peer_address).next();
    // The first seed lists those that start together; the seeds after it stand in for it.
    let seeds = settings.seeds.iter().copied().take_while(|seed| *seed != own);
    let mut registrars: Vec<SocketAddr> = home.or(other).into_iter().chain(seeds).collect();
    registrars.dedup();
    registrars
}

/// Waits for the record that a registrar wrote, or that this instance did. Gives whether it is there.
async fn arrives(state: &Rc<GatewayState>, registrar: Option<SocketAddr>) -> bool {
    let until = state.now().plus(ARRIVAL_SPAN);
    while !is_registered(state) && state.now() < until {
        if let Some(registrar) = registrar
            && let Err(cause) = pull_from(state, registrar).await
        {
            state.log.state("pull_failed", &format_smolstr!("{registrar}: {cause:#}"));
        }
        if !is_registered(state) {
            tokio::time::sleep(ARRIVAL_TICK).await;
        }
    }
    is_registered(state)
}

/// Writes the records of instances that asked for it.
pub(crate) async fn run_registrar(state: Rc<GatewayState>) {
    let mut lease = None;
    loop {
        let due = state.registrar.borrow().due_in(state.now());
        match due {
            None => state.registering.notified().await,
            Some(due) if due > Duration::ZERO => {
                let _ = tokio::time::timeout(due, state.registering.notified()).await;
            }
            Some(_) => {
                let result = write_batch(&state, &mut lease).await;
                if let Err(cause) = &result {
                    state.log.state("listing_unwritten", &format_smolstr!("{cause}"));
                    state.registrar.borrow_mut().clear();
                }
                tell_waiters(&state, result.is_ok());
            }
        }
    }
}

async fn write_batch(state: &GatewayState, lease: &mut Option<LeaseId>) -> Result<(), StoreError> {
    let now = state.now();
    let batch = state.registrar.borrow().next_batch(now);
    let result = match current_lease(state, lease, now).await {
        Ok(held) => put_records(state, &batch, held).await,
        Err(cause) => Err(cause),
    };
    match result {
        Ok(()) => {
            state.registrar.borrow_mut().record_written(&batch);
            state.has_registered.set(true);
            Ok(())
        }
        Err(StoreError::LeaseLost) if lease.take().is_some() => {
            state.log.state("lease_lost", "");
            state.registrar.borrow_mut().set_lease(None);
            Ok(())
        }
        Err(cause) => Err(cause),
    }
}

async fn current_lease(
    state: &GatewayState,
    lease: &mut Option<LeaseId>,
    now: MonoTime,
) -> Result<LeaseId, StoreError> {
    if let Some(held) = lease
        && !state.registrar.borrow().needs_lease(now)
    {
        return Ok(*held);
    }
    let store = Rc::clone(&state.store.borrow());
    let granted = store.grant(LEASE_TTL.into()).await;
    state.metrics.store_call("lease", granted.is_ok());
    let granted = granted?;
    *lease = Some(granted);
    state.registrar.borrow_mut().set_lease(Some(now));
    Ok(granted)
}

async fn put_records(
    state: &GatewayState,
    batch: &[MemberRecord],
    lease: LeaseId,
) -> Result<(), StoreError> {
    let mut writes = Vec::with_capacity(batch.len());
    for record in batch {
        let value = serde_json::to_string(record)
            .map_err(|cause| StoreError::NotApplied(format_smolstr!("{cause}")))?;
        let key = StoreKey(state.binding.member_key(record.name.as_str()).into());
        writes.push(ItemWrite { key, value: value.into() });
    }
    let store = Rc::clone(&state.store.borrow());
    let written = store.put_all(writes, lease).await;
    state.metrics.store_call("write", written.is_ok());
    written.map(|_| ())
}
