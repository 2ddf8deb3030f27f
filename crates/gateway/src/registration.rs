//! Keeps this instance registered in the store, where the others find it, and registers other
//! instances.
//!
//! An instance asks the first live home to register it, or another live instance if it knows no
//! home, then the seeds. It writes its own record only if that fails.

use crate::peer_link::request_registration;
use crate::state::GatewayState;
use crate::store_sync::pull_from;
use fleet::{ANNOUNCE_INTERVAL, LEASE_TTL, MemberRecord};
use model::{MonoTime, StoreRevision};
use rand::RngExt;
use smol_str::format_smolstr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use store::{ItemWrite, LeaseId, StoreError, StoreKey};
use tokio::sync::oneshot;

/// Interval between checks whether this instance is still registered.
const REGISTERED_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Delay after the first failed round of registration; doubled with each round up to
/// [`REGISTER_DELAY_MAX`].
const REGISTER_DELAY_FIRST: Duration = Duration::from_millis(100);
/// Longest delay between rounds of registration.
const REGISTER_DELAY_MAX: Duration = Duration::from_secs(4);
/// Failed rounds after which an instance writes its own record. The first rounds fail when many
/// instances start together, some a little earlier than the others.
const ROUNDS_BEFORE_SELF: u32 = 2;
/// Bound on removing this instance's record at a planned stop.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Bound on waiting until a written record reaches the replica.
const RECORD_ARRIVAL_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay before the second check for the written record; doubled with each further check, since many
/// instances that start together wait for the same registrar.
const RECORD_ARRIVAL_DELAY_FIRST: Duration = Duration::from_millis(60);

/// Keeps this instance registered until the process stops.
pub(crate) async fn run_registration(state: Rc<GatewayState>) {
    let mut delay = REGISTER_DELAY_FIRST;
    let mut failed_rounds = 0;
    let mut announced_at = state.now();
    // A duty that was started again may have consumed the notification.
    if state.fleet_ref().replica.as_of() == StoreRevision(0) {
        state.first_snapshot.notified().await;
    }
    while !state.is_stopping() {
        let is_registered = is_registered(&state);
        let is_old = state.now().since(announced_at) > ANNOUNCE_INTERVAL;
        let must_announce = if is_registered { is_old } else { is_current(&state) };
        if !must_announce {
            let removed = state.unregistered.notified();
            let _ = tokio::time::timeout(REGISTERED_CHECK_INTERVAL, removed).await;
            continue;
        }
        announced_at = state.now();
        if register(&state, is_registered, failed_rounds).await {
            delay = REGISTER_DELAY_FIRST;
            failed_rounds = 0;
        } else {
            failed_rounds += 1;
            let jittered = delay.mul_f64(rand::rng().random_range(0.7..1.3));
            tokio::time::sleep(jittered).await;
            delay = (delay * 2).min(REGISTER_DELAY_MAX);
        }
    }
}

/// Removes this instance's record from the store, unless another process has replaced it meanwhile. The
/// other instances would otherwise count this one as usable once they expect no heartbeats of it.
/// Gives up after [`WITHDRAWAL_TIMEOUT`].
pub(crate) async fn withdraw_registration(state: &GatewayState) {
    let key = StoreKey(state.binding.member_key(state.settings().name.as_str()).into());
    let Some(revision) = registered_revision(state, &key) else {
        return;
    };
    let until = state.now().plus(WITHDRAWAL_TIMEOUT);
    let mut delay = REGISTER_DELAY_FIRST;
    while state.now() < until {
        let store = Rc::clone(&state.store.borrow());
        let removed = store.remove(key.clone(), revision).await;
        state.metrics.store_call("remove", removed.is_ok());
        match removed {
            Ok(is_removed) => {
                let detail = format_smolstr!("revision {revision}, removed {is_removed}");
                state.log.state("unlisted", &detail);
                return;
            }
            Err(cause) => state.log.state("unlisting_failed", &format_smolstr!("{cause}")),
        }
        tokio::time::sleep(delay).await;
        delay *= 2;
    }
}

/// Whether the replica has a record of this instance with its present addresses. The record's
/// incarnation may be older: heartbeats carry the present one.
pub(crate) fn is_registered(state: &GatewayState) -> bool {
    let fleet = state.fleet_ref();
    let this = fleet.members.this();
    fleet.records.this.as_ref().is_some_and(|record| {
        let record = MemberRecord { incarnation: this.incarnation, ..record.clone() };
        record == *this
    })
}

/// Returns the revision of this instance's record; `None` if there is none or a later process wrote it.
fn registered_revision(state: &GatewayState, key: &StoreKey) -> Option<StoreRevision> {
    let fleet = state.fleet_ref();
    let registered = fleet.records.this.as_ref()?;
    let is_own = registered.incarnation <= fleet.members.this().incarnation;
    is_own.then(|| fleet.replica.revision_of(&key.0))?
}

/// Whether the replica is recent enough to conclude that a record is missing. Also true if the
/// store has never confirmed the replica.
fn is_current(state: &GatewayState) -> bool {
    let fleet = state.fleet_ref();
    fleet.confirmed_at().is_none() || fleet.confirmed_age(state.now()) < REGISTERED_CHECK_INTERVAL
}

/// Runs one round of registration, after `failed_rounds` failed ones. Returns whether it succeeded.
async fn register(state: &Rc<GatewayState>, is_registered: bool, failed_rounds: u32) -> bool {
    let record = state.fleet_ref().members.this().clone();
    let others = registrars(state, is_registered);
    let registers_itself = others.is_empty() || failed_rounds >= ROUNDS_BEFORE_SELF;
    for registrar in others {
        match request_registration(state, registrar, &record, is_registered).await {
            Ok(()) if is_registered || wait_for_record(state, Some(registrar)).await => {
                return true;
            }
            Ok(()) => state.log.state("listing_missing", &format_smolstr!("at {registrar}")),
            Err(cause) => {
                state.log.state("listing_failed", &format_smolstr!("{registrar}: {cause:#}"));
            }
        }
    }
    let registration = registers_itself.then(|| enqueue_registration(state, record, is_registered));
    match registration {
        Some(_) if is_registered => true,
        Some(registration) => {
            registration.await.unwrap_or(false) && wait_for_record(state, None).await
        }
        None => false,
    }
}

/// Queues a record to be written to the store. The receiver gets whether the store accepted it.
pub(crate) fn enqueue_registration(
    state: &GatewayState,
    record: MemberRecord,
    is_registered: bool,
) -> oneshot::Receiver<bool> {
    let (sender, registration) = oneshot::channel();
    state.registration_waiters.borrow_mut().push((record.name.clone(), sender));
    let now = state.now();
    state.registrar.borrow_mut().enqueue(now, record, is_registered);
    state.registrar_wakeup.notify_one();
    registration
}

/// Sends the result of a write to the waiters whose records are no longer queued.
fn notify_waiters(state: &GatewayState, is_written: bool) {
    let registrar = state.registrar.borrow();
    let mut waiters = state.registration_waiters.borrow_mut();
    let (waiting, done) = std::mem::take(&mut *waiters)
        .into_iter()
        .partition::<Vec<_>, _>(|(name, _)| registrar.is_waiting(name));
    *waiters = waiting;
    for (_, sender) in done {
        // The receiver may have been dropped.
        let _ = sender.send(is_written);
    }
}

/// Returns the peer addresses of instances that can register this one, in order of preference.
/// Empty if none is known, or if this instance is the first home and already registered; it then
/// writes its own record.
fn registrars(state: &GatewayState, is_registered: bool) -> Vec<SocketAddr> {
    let settings = state.settings();
    let fleet = state.fleet_ref();
    if is_registered && fleet.home_rank() == Some(0) {
        return Vec::new();
    }
    let own = settings.peer_address;
    let now = state.now();
    let is_alive = |name: &model::InstanceName| {
        fleet.members.recent_heartbeats(now).any(|(record, _)| record.name == *name)
    };
    let home = fleet.homes().iter().find(|home| is_alive(&home.name)).map(|home| home.peer_address);
    let other = fleet.members.recent_heartbeats(now).map(|(record, _)| record.peer_address).next();
    // The first seed registers instances that start together; the later seeds replace it if it
    // fails.
    let seeds = settings.seeds.iter().copied().take_while(|seed| *seed != own);
    let mut registrars: Vec<SocketAddr> = home.or(other).into_iter().chain(seeds).collect();
    registrars.dedup();
    registrars
}

/// Waits until the record that this instance or `registrar` wrote reaches the replica. Returns
/// whether it did.
async fn wait_for_record(state: &Rc<GatewayState>, registrar: Option<SocketAddr>) -> bool {
    let until = state.now().plus(RECORD_ARRIVAL_TIMEOUT);
    let mut delay = RECORD_ARRIVAL_DELAY_FIRST;
    while !is_registered(state) && state.now() < until {
        if let Some(registrar) = registrar
            && let Err(cause) = pull_from(state, registrar).await
        {
            state.log.state("pull_failed", &format_smolstr!("{registrar}: {cause:#}"));
        }
        if !is_registered(state) {
            tokio::time::sleep(delay).await;
            delay *= 2;
        }
    }
    is_registered(state)
}

/// Writes the queued records to the store, in batches.
pub(crate) async fn run_registrar(state: Rc<GatewayState>) {
    let mut lease = None;
    loop {
        let due = state.registrar.borrow().due_in(state.now());
        match due {
            None => state.registrar_wakeup.notified().await,
            Some(due) if due > Duration::ZERO => {
                let _ = tokio::time::timeout(due, state.registrar_wakeup.notified()).await;
            }
            Some(_) => {
                state.wait_confirmed().await;
                let result = write_batch(&state, &mut lease).await;
                if let Err(cause) = &result {
                    state.log.state("listing_unwritten", &format_smolstr!("{cause}"));
                    state.registrar.borrow_mut().clear();
                }
                notify_waiters(&state, result.is_ok());
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
            state.has_written_records.set(true);
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
