//! Keeps the replica of the store up to date, by watching the store or from other instances.

use crate::change_relay::{
    announce_changes, notify_own_centre, pass_on_changes, send_watched_changes,
};
use crate::peer_link::pull_changes;
use crate::records::{apply_records, preview_records, refresh_fleet};
use crate::registration::is_registered;
use crate::state::GatewayState;
use fleet::{
    CallFailure, ChangeBatch, FirstSnapshot, MemberRecord, StoreChange, StoreRetry, StoreSnapshot,
    WatchDuty, WatchInputs, watch_duty,
};
use model::{Millis, MonoTime, StoreRevision};
use rand::RngExt;
use rand::seq::{IndexedRandom, SliceRandom};
use smol_str::{SmolStr, format_smolstr};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use store::{ReadFreshness, StoreError, StoreItems, StorePage, WatchReply, read_all};

/// Time after which the store replies to a watch without changes. Also bounds the time until a
/// stalled connection is detected.
const WATCH_TIMEOUT: Millis = Millis(1_000);
/// Delay of the first watcher after a watch returned changes. The next call then returns several.
const FIRST_WATCHER_DELAY: Duration = Duration::from_millis(160);
/// The same delay of the other watchers. Longer, because they receive most changes from the first
/// one and watch in case that fails.
const OTHER_WATCHER_DELAY: Duration = Duration::from_millis(400);
/// Number of instances that always watch.
const WATCHERS: usize = 2;
/// Interval between checks whether this instance should watch.
const DUTY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long an instance without a record in the store waits before it watches. Until it is
/// registered it knows few other instances and would count itself among the watchers.
const REGISTERED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval between checks whether this instance is registered.
const REGISTERED_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Number of instances that one catch-up asks for changes, one after the other.
const PULLS_MAX: usize = 2;
/// Largest fleet whose members all read the store at once when they start.
const UNSTAGGERED_MEMBERS_MAX: usize = 150;
/// Time on the store's link that the first read of one instance takes in a large fleet.
const FIRST_READ_PERIOD: Duration = Duration::from_millis(6);
/// Replaces [`WATCH_TIMEOUT`] until the store has confirmed the replica, which may be out of date, and
/// after a failed call.
const CHECK_WATCH_TIMEOUT: Millis = Millis(1);

/// Keeps the replica up to date until the process ends.
pub(crate) async fn run_sync(state: Rc<GatewayState>) {
    let mut retry = StoreRetry::default();
    let mut needs_read = !read_first_snapshot(&state).await;
    state.first_snapshot.notify_one();
    wait_registered(&state).await;
    loop {
        if current_duty(&state) == WatchDuty::Follow {
            state.fleet().is_watching = false;
            if state.fleet_ref().is_confirmed_by_others(state.now()) {
                record_store_state(&state, true);
            }
            let _ = tokio::time::timeout(DUTY_CHECK_INTERVAL, state.sync_wakeup.notified()).await;
            catch_up(&state).await;
            confirm_first_snapshot(&state).await;
            continue;
        }
        state.fleet().is_watching = true;
        let after = state.fleet_ref().replica.as_of();
        let called_at = state.now();
        let result = if after == StoreRevision(0) {
            // Confirmed by the watch that follows.
            read_store(&state, ReadFreshness::MayBeOld).await.map(|()| needs_read = false)
        } else if needs_read {
            read_store(&state, ReadFreshness::Newest).await.map(|()| needs_read = false)
        } else {
            let timeout = watch_timeout(&state, &retry);
            let watched = watch_store(&state, after, timeout).await;
            watched.map(|is_complete| needs_read = !is_complete)
        };
        match result {
            Ok(()) => {
                retry.record_success();
                record_store_state(&state, true);
            }
            Err(cause) => {
                if retry.record_failure(failure_of(&cause, state.now().since(called_at))) {
                    record_store_failure(&state, &cause);
                } else {
                    state.log.state("store_call_cut", &format_smolstr!("{cause}"));
                }
                let jittered = retry.delay().mul_f64(rand::rng().random_range(0.7..1.3));
                let _ = tokio::time::timeout(jittered, state.sync_wakeup.notified()).await;
                catch_up(&state).await;
            }
        }
    }
}

/// Returns how a call failed that took this long.
fn failure_of(cause: &StoreError, took: Duration) -> CallFailure {
    match cause {
        StoreError::MayBeApplied(_) if took < WATCH_TIMEOUT.duration() => CallFailure::Broken,
        _ => CallFailure::NoReply,
    }
}

/// Reads a first snapshot of the store, which may be out of date, or fetches it from another
/// instance. Returns whether there is one.
async fn read_first_snapshot(state: &Rc<GatewayState>) -> bool {
    match read_staggered(state).await {
        Ok(()) => true,
        Err(cause) => {
            record_store_failure(state, &cause);
            catch_up(state).await;
            state.fleet_ref().replica.as_of() > StoreRevision(0)
        }
    }
}

/// Reads a first snapshot page by page. The configuration and the members of a page are in use at
/// once. When a whole large fleet restarts, its reads together take seconds on the store's link; so
/// once an instance knows the configuration and that others are homes, it leaves them the link
/// for a while before it reads on.
async fn read_staggered(state: &Rc<GatewayState>) -> Result<(), StoreError> {
    let store = Rc::clone(&state.store.borrow());
    let mut snapshot: Option<StoreItems> = None;
    let mut after = SmolStr::default();
    let mut has_waited = false;
    loop {
        let page = store.read_page(after, ReadFreshness::MayBeOld).await;
        state.metrics.store_call("read_old", page.is_ok());
        let StorePage { items, next_after } = page?;
        if next_after.is_some() {
            preview_records(state, &items.items);
        }
        match &mut snapshot {
            Some(snapshot) => snapshot.add_page(items)?,
            None => snapshot = Some(items),
        }
        let Some(next_after) = next_after else {
            break;
        };
        after = next_after;
        if !has_waited && state.table().is_some() {
            has_waited = true;
            refresh_fleet(state);
            tokio::time::sleep(first_read_delay(state)).await;
        }
    }
    let Some(items) = snapshot else {
        return Ok(());
    };
    let applied = state.fleet().replica.apply_snapshot(snapshot_of(items));
    apply_first_snapshot(state, &applied);
    Ok(())
}

/// Returns how long this instance leaves the store's link to others, by the size of the fleet.
fn first_read_delay(state: &GatewayState) -> Duration {
    let fleet = state.fleet_ref();
    let members = fleet.members.member_count();
    if fleet.is_sender() || members <= UNSTAGGERED_MEMBERS_MAX {
        return Duration::ZERO;
    }
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    (FIRST_READ_PERIOD * members).mul_f64(rand::rng().random_range(0.1..1.0))
}

/// Waits until this instance is registered or has registered others, at most
/// [`REGISTERED_TIMEOUT`].
async fn wait_registered(state: &Rc<GatewayState>) {
    let until = state.now().plus(REGISTERED_TIMEOUT);
    while !is_registered(state) && !state.has_written_records.get() && state.now() < until {
        confirm_first_snapshot(state).await;
        tokio::time::sleep(REGISTERED_POLL_INTERVAL).await;
    }
}

/// Returns the peer address of a home, of the own data centre if there is one.
fn home_to_pull_from(state: &GatewayState) -> Option<SocketAddr> {
    let fleet = state.fleet_ref();
    let this = fleet.members.this();
    let others: Vec<&MemberRecord> =
        fleet.homes().iter().filter(|home| home.name != this.name).collect();
    let near: Vec<&MemberRecord> =
        others.iter().filter(|home| home.data_centre == this.data_centre).copied().collect();
    let candidates = if near.is_empty() { others } else { near };
    candidates.choose(&mut rand::rng()).map(|home| home.peer_address)
}

/// Pulls from a home if the first snapshot has no record of this instance, to which then nobody sends changes, or
/// if nothing confirms it for a while: a snapshot that is old may have a record that was removed since. It would
/// otherwise wait until it is registered, or until it watches the store itself.
async fn confirm_first_snapshot(state: &Rc<GatewayState>) {
    let now = state.now();
    // When the whole fleet starts for the first time nobody is registered, and nobody is ahead.
    if state.settings().is_first_start || !is_confirmation_due(state, now) {
        return;
    }
    let Some(home) = home_to_pull_from(state) else {
        return;
    };
    if let Err(cause) = pull_from(state, home).await {
        state.log.state("pull_failed", &format_smolstr!("{home}: {cause:#}"));
    }
    let jitter = rand::rng().random_range(0.5..1.5);
    state.confirmation_pulls.borrow_mut().record(state.now(), jitter);
}

fn is_confirmation_due(state: &GatewayState, now: MonoTime) -> bool {
    let fleet = state.fleet_ref();
    let Some(read_at) = fleet.snapshot_at else {
        return false;
    };
    let first = FirstSnapshot {
        age: now.since(read_at),
        is_confirmed: fleet.is_confirmed_since_start,
        is_registered: is_registered(state),
    };
    state.confirmation_pulls.borrow().is_due(now, first)
}

fn current_duty(state: &Rc<GatewayState>) -> WatchDuty {
    refresh_fleet(state);
    let now = state.now();
    let fleet = state.fleet_ref();
    if fleet.replica.as_of() == StoreRevision(0) {
        return WatchDuty::Watch;
    }
    let current_since = fleet.snapshot_at.max(fleet.confirmed_at());
    watch_duty(WatchInputs {
        rank: fleet.home_rank().unwrap_or_else(|| fleet.rank().max(WATCHERS)),
        watchers: WATCHERS,
        confirmed_age: current_since.map_or(Duration::MAX, |since| now.since(since)),
        contact: fleet.watcher_contact(now, WATCHERS),
        is_served: fleet.is_watching && !fleet.store_lost,
        is_direct: fleet.has_direct_heartbeats(),
    })
}

fn record_store_state(state: &Rc<GatewayState>, is_available: bool) {
    let mut fleet = state.fleet();
    let was_lost = std::mem::replace(&mut fleet.store_lost, !is_available);
    if !is_available {
        let now = state.now();
        fleet.store_failed_at = Some(now);
        fleet.record_store_failure(now);
    }
    drop(fleet);
    if was_lost == is_available {
        state.heartbeat_wakeup.notify_one();
        state.log.state(if is_available { "store_regained" } else { "store_lost" }, "");
    }
}

fn record_store_failure(state: &Rc<GatewayState>, cause: &StoreError) {
    let was_lost = state.fleet_ref().store_lost;
    if !was_lost {
        state.log.state("store_call_failed", &format_smolstr!("{cause}"));
    }
    record_store_state(state, false);
}

async fn read_store(state: &Rc<GatewayState>, freshness: ReadFreshness) -> Result<(), StoreError> {
    let store = Rc::clone(&state.store.borrow());
    let result = read_all(store.as_ref(), freshness).await;
    let label = if freshness == ReadFreshness::Newest { "read" } else { "read_old" };
    state.metrics.store_call(label, result.is_ok());
    let snapshot = snapshot_of(result?);
    let as_of = snapshot.as_of;
    let after = state.fleet_ref().replica.as_of();
    let applied = state.fleet().replica.apply_snapshot(snapshot);
    if freshness == ReadFreshness::MayBeOld {
        apply_first_snapshot(state, &applied);
    } else {
        apply_confirmed_changes(state, after, as_of, &applied);
    }
    Ok(())
}

/// Returns how long the next watch waits for changes.
fn watch_timeout(state: &GatewayState, retry: &StoreRetry) -> Millis {
    let is_confirmed = state.fleet_ref().confirmed_at().is_some();
    if is_confirmed && !retry.is_unsure() { WATCH_TIMEOUT } else { CHECK_WATCH_TIMEOUT }
}

/// Watches the store for changes after a revision. Returns `false` if some are missing and the
/// store must be read again.
async fn watch_store(
    state: &Rc<GatewayState>,
    after: StoreRevision,
    timeout: Millis,
) -> Result<bool, StoreError> {
    let store = Rc::clone(&state.store.borrow());
    let result = store.watch(after, timeout).await;
    state.metrics.store_call("watch", result.is_ok());
    let StoreItems { as_of, items, .. } = match result? {
        WatchReply::Changes(changes) => changes,
        WatchReply::HistoryGone => {
            state.log.state("store_history_gone", &format_smolstr!("after {after}"));
            return Ok(false);
        }
    };
    let is_empty = items.is_empty();
    let changes = items.into_iter().map(change_of).collect();
    let applied = state.fleet().replica.apply_changes(after, as_of, changes);
    let Ok(applied) = applied else {
        return Ok(false);
    };
    apply_confirmed_changes(state, after, as_of, &applied);
    if !is_empty {
        let is_first = state.fleet_ref().home_rank() == Some(0);
        tokio::time::sleep(if is_first { FIRST_WATCHER_DELAY } else { OTHER_WATCHER_DELAY }).await;
    }
    Ok(true)
}

fn change_of(item: store::replicated::ItemState) -> StoreChange {
    StoreChange { key: item.key, value: item.value, revision: item.revision }
}

fn snapshot_of(items: StoreItems) -> StoreSnapshot {
    let StoreItems { as_of, newest, items } = items;
    StoreSnapshot { as_of, newest, items: items.into_iter().map(change_of).collect() }
}

/// Applies a first snapshot of the store. It may be out of date and does not confirm the replica.
fn apply_first_snapshot(state: &Rc<GatewayState>, applied: &[StoreChange]) {
    let now = state.now();
    state.fleet().snapshot_at = Some(now);
    apply_records(state, applied);
    state.fleet().supersede_registered_incarnation();
}

/// Applies changes that this instance received from the store itself, and relays them if any were new.
/// The batch has all changes after `after`, not only the new ones: this instance may have read some
/// with a snapshot that others did not read.
fn apply_confirmed_changes(
    state: &Rc<GatewayState>,
    after: StoreRevision,
    as_of: StoreRevision,
    applied: &[StoreChange],
) {
    state.fleet().confirm(state.now(), as_of, Duration::ZERO);
    if applied.is_empty() {
        return;
    }
    apply_records(state, applied);
    let changes = state.fleet_ref().replica.single_changes_after(after);
    match changes {
        Some(changes) => {
            let batch = ChangeBatch { after, as_of, confirmed_age: Millis(0), changes };
            send_watched_changes(state, batch);
        }
        None => announce_changes(state),
    }
}

/// Fetches changes beyond the replica from other instances, or from the seeds if there is no
/// replica yet.
pub(crate) async fn catch_up(state: &Rc<GatewayState>) {
    let now = state.now();
    if !state.pull_backoff.borrow().is_due(now) {
        return;
    }
    let after = state.fleet_ref().replica.as_of();
    let mut sources = state.fleet().pull_sources(now);
    if sources.is_empty() && after == StoreRevision(0) {
        let settings = state.settings();
        sources = settings.seeds.clone();
        sources.retain(|seed| *seed != settings.peer_address);
    }
    sources.shuffle(&mut rand::rng());
    sources.truncate(PULLS_MAX);
    let mut failure = None;
    for source in sources {
        match pull_from(state, source).await {
            Ok(()) => {
                state.pull_backoff.borrow_mut().record_success();
                return;
            }
            Err(cause) => failure = Some(format_smolstr!("{source}: {cause}")),
        }
    }
    if let Some(failure) = failure {
        state.log.state("pull_failed", &failure);
        let jitter = rand::rng().random_range(0.5..1.5);
        state.pull_backoff.borrow_mut().record_failure(state.now(), jitter);
    }
    let must_read = state.pull_backoff.borrow_mut().take_read(state.now());
    if must_read && let Err(cause) = read_store(state, ReadFreshness::MayBeOld).await {
        state.log.state("store_call_failed", &format_smolstr!("{cause}"));
    }
}

/// Fetches and applies changes beyond the replica from one instance.
pub(crate) async fn pull_from(state: &Rc<GatewayState>, source: SocketAddr) -> anyhow::Result<()> {
    let after = state.fleet_ref().replica.as_of();
    let timeout = state.pull_backoff.borrow().timeout();
    let reply = pull_changes(state, source, after, timeout).await?;
    apply_pull_reply(state, reply);
    Ok(())
}

fn apply_pull_reply(state: &Rc<GatewayState>, reply: fleet::PullReply) {
    let now = state.now();
    let batch = reply.batch;
    let applied = {
        let mut fleet = state.fleet();
        match reply.after {
            Some(after) => fleet
                .replica
                .apply_pulled(after, batch.after, batch.as_of, batch.changes)
                .unwrap_or_default(),
            None => fleet.replica.apply_snapshot(StoreSnapshot {
                as_of: batch.as_of,
                newest: batch.as_of,
                items: batch.changes,
            }),
        }
    };
    state.fleet().confirm(now, batch.as_of, batch.confirmed_age.duration());
    apply_records(state, &applied);
    if !applied.is_empty() {
        notify_own_centre(state);
    }
}

/// Applies changes that another instance relayed. Returns whether earlier changes are missing.
pub(crate) fn apply_batch(state: &Rc<GatewayState>, batch: ChangeBatch) -> bool {
    let now = state.now();
    let changes = batch.changes.clone();
    let applied = state.fleet().replica.apply_changes(batch.after, batch.as_of, changes);
    match applied {
        Ok(applied) => {
            state.fleet().confirm(now, batch.as_of, batch.confirmed_age.duration());
            apply_records(state, &applied);
            if !applied.is_empty() {
                pass_on_changes(state, batch);
            }
            false
        }
        Err(_) => true,
    }
}
