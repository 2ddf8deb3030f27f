//! Keeps the replica of the store up to date, by watching or from other instances.

use crate::announce::is_registered;
use crate::peer_port::{pull_changes, send_changes, tell_own_centre};
use crate::records::{apply_records, refresh_fleet};
use crate::state::GatewayState;
use fleet::{ChangeBatch, ChangeOrigin, StoreChange, WatchDuty, WatchInputs, watch_duty};
use model::{Millis, StoreRevision};
use rand::RngExt;
use rand::seq::SliceRandom;
use smol_str::format_smolstr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use store::{ReadFreshness, StoreError, StoreItems, WatchReply};

/// How long a watch of an idle store waits. A silent connection shows after this.
const WATCH_WAIT: Millis = Millis(1_000);
/// Pause after a watch returned changes, so that several arrive in one call: of the first watcher, and
/// of the others, who hear of most changes from the first one and watch in case that fails.
const BATCH_SPAN: Duration = Duration::from_millis(80);
const BATCH_OTHERS: Duration = Duration::from_millis(400);
/// Instances that always watch.
const WATCHERS: usize = 2;
/// Pause between looks at whether this instance should watch.
const RELY_TICK: Duration = Duration::from_millis(100);
/// Pause after a failed call, doubled up to the longest.
const RETRY_FIRST: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_millis(800);
/// How long an instance that the store does not list waits before it watches: until then it knows few
/// others and would take itself for one of the watchers.
const LISTING_PATIENCE: Duration = Duration::from_millis(1_500);
/// Time between looks at whether it is listed.
const LISTING_TICK: Duration = Duration::from_millis(25);
/// Instances that are asked for changes, one after the other, before the next look.
const PULLS_MAX: usize = 2;
/// How long the first watch after a copy that may be old waits.
const FIRST_WATCH_WAIT: Millis = Millis(1);

/// Follows the store until the process ends.
pub(crate) async fn run_sync(state: Rc<GatewayState>) {
    let mut pause = RETRY_FIRST;
    let mut needs_read = !first_copy(&state).await;
    state.first_copy.notify_one();
    wait_listed(&state).await;
    loop {
        if duty(&state) == WatchDuty::Follow {
            state.fleet().is_watching = false;
            let _ = tokio::time::timeout(RELY_TICK, state.sync.notified()).await;
            catch_up(&state).await;
            continue;
        }
        state.fleet().is_watching = true;
        let after = state.fleet_ref().replica.as_of();
        let result = if needs_read || after == StoreRevision(0) {
            read_store(&state, ReadFreshness::Newest).await.map(|()| needs_read = false)
        } else {
            watch_store(&state, after).await.map(|is_complete| needs_read = !is_complete)
        };
        match result {
            Ok(()) => {
                pause = RETRY_FIRST;
                note_store(&state, true);
            }
            Err(cause) => {
                note_failure(&state, &cause);
                let wait = pause.mul_f64(rand::rng().random_range(0.7..1.3));
                let _ = tokio::time::timeout(wait, state.sync.notified()).await;
                catch_up(&state).await;
                pause = (pause * 2).min(RETRY_MAX);
            }
        }
    }
}

/// Gets the first copy of the store, which may be old. Gives whether there is one.
async fn first_copy(state: &Rc<GatewayState>) -> bool {
    match read_store(state, ReadFreshness::MayBeOld).await {
        Ok(()) => true,
        Err(cause) => {
            note_failure(state, &cause);
            catch_up(state).await;
            state.fleet_ref().replica.as_of() > StoreRevision(0)
        }
    }
}

/// Waits until the store lists this instance, or this instance lists others.
async fn wait_listed(state: &Rc<GatewayState>) {
    let until = state.now().plus(LISTING_PATIENCE);
    while !is_registered(state) && !state.has_registered.get() && state.now() < until {
        tokio::time::sleep(LISTING_TICK).await;
    }
}

fn duty(state: &Rc<GatewayState>) -> WatchDuty {
    refresh_fleet(state);
    let now = state.now();
    let fleet = state.fleet_ref();
    if fleet.replica.as_of() == StoreRevision(0) {
        return WatchDuty::Watch;
    }
    let relies_since = fleet.copied_at.max(fleet.confirmed_at);
    watch_duty(WatchInputs {
        rank: fleet.home_place().unwrap_or_else(|| fleet.rank().max(WATCHERS)),
        watchers: WATCHERS,
        confirmed_age: relies_since.map_or(Duration::MAX, |since| now.since(since)),
        all_lost: fleet.all_lost(now, WATCHERS),
    })
}

fn note_store(state: &Rc<GatewayState>, is_well: bool) {
    let mut fleet = state.fleet();
    let was_lost = std::mem::replace(&mut fleet.store_lost, !is_well);
    if !is_well {
        fleet.trouble_at = Some(state.now());
    }
    drop(fleet);
    if was_lost == is_well {
        state.heartbeat.notify_one();
        state.log.state(if is_well { "store_regained" } else { "store_lost" }, "");
    }
}

fn note_failure(state: &Rc<GatewayState>, cause: &StoreError) {
    let was_lost = state.fleet_ref().store_lost;
    if !was_lost {
        state.log.state("store_call_failed", &format_smolstr!("{cause}"));
    }
    note_store(state, false);
}

async fn read_store(state: &Rc<GatewayState>, freshness: ReadFreshness) -> Result<(), StoreError> {
    let store = Rc::clone(&state.store.borrow());
    let result = store.read_all(freshness).await;
    let label = if freshness == ReadFreshness::Newest { "read" } else { "read_old" };
    state.metrics.store_call(label, result.is_ok());
    let StoreItems { as_of, items } = result?;
    let items = items.into_iter().map(change_of).collect();
    let after = state.fleet_ref().replica.as_of();
    let applied = state.fleet().replica.apply_snapshot(as_of, items);
    if freshness == ReadFreshness::MayBeOld {
        take_copy(state, &applied);
    } else {
        after_changes(state, after, as_of, applied);
    }
    Ok(())
}

/// Gives whether the changes are complete.
async fn watch_store(state: &Rc<GatewayState>, after: StoreRevision) -> Result<bool, StoreError> {
    let store = Rc::clone(&state.store.borrow());
    let is_confirmed = state.fleet_ref().confirmed_at.is_some();
    let wait = if is_confirmed { WATCH_WAIT } else { FIRST_WATCH_WAIT };
    let result = store.watch(after, wait).await;
    state.metrics.store_call("watch", result.is_ok());
    let StoreItems { as_of, items } = match result? {
        WatchReply::Changes(changes) => changes,
        WatchReply::HistoryGone => {
            state.log.state("store_history_gone", &format_smolstr!("after {after}"));
            return Ok(false);
        }
    };
    let is_empty = items.is_empty();
    let changes = items.into_iter().map(change_of).collect();
    let applied = state.fleet().replica.apply_changes(after, as_of, changes);
    match applied {
        Ok(applied) => after_changes(state, after, as_of, applied),
        Err(_) => return Ok(false),
    }
    if !is_empty {
        let is_first = state.fleet_ref().home_place() == Some(0);
        tokio::time::sleep(if is_first { BATCH_SPAN } else { BATCH_OTHERS }).await;
    }
    Ok(true)
}

fn change_of(item: store::replicated::ItemState) -> StoreChange {
    StoreChange { key: item.key, value: item.value, revision: item.revision }
}

/// What follows from a first copy that may be old. It confirms nothing.
fn take_copy(state: &Rc<GatewayState>, applied: &[StoreChange]) {
    let now = state.now();
    state.fleet().copied_at = Some(now);
    apply_records(state, applied);
    state.fleet().supersede_registered_run();
}

/// What follows from changes that the store told this instance itself.
fn after_changes(
    state: &Rc<GatewayState>,
    after: StoreRevision,
    as_of: StoreRevision,
    applied: Vec<StoreChange>,
) {
    let now = state.now();
    state.fleet().confirm(now, as_of, Duration::ZERO);
    if !applied.is_empty() {
        apply_records(state, &applied);
        let batch = ChangeBatch { after, as_of, confirmed_age: Millis(0), changes: applied };
        send_changes(state, ChangeOrigin::Store, batch);
    }
}

/// Fetches what other instances know beyond the replica.
pub(crate) async fn catch_up(state: &Rc<GatewayState>) {
    let after = state.fleet_ref().replica.as_of();
    let mut sources = state.fleet().pull_sources(state.now());
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
            Ok(()) => return,
            Err(cause) => failure = Some(format_smolstr!("{source}: {cause}")),
        }
    }
    if let Some(failure) = failure {
        state.log.state("pull_failed", &failure);
    }
}

/// Fetches what one instance knows beyond the replica.
pub(crate) async fn pull_from(state: &Rc<GatewayState>, source: SocketAddr) -> anyhow::Result<()> {
    let after = state.fleet_ref().replica.as_of();
    let answer = pull_changes(state, source, after).await?;
    take_answer(state, answer);
    Ok(())
}

fn take_answer(state: &Rc<GatewayState>, answer: fleet::PullReply) {
    let now = state.now();
    let batch = answer.batch;
    let applied = {
        let mut fleet = state.fleet();
        match answer.after {
            Some(after) => {
                fleet.replica.apply_changes(after, batch.as_of, batch.changes).unwrap_or_default()
            }
            None => fleet.replica.apply_snapshot(batch.as_of, batch.changes),
        }
    };
    state.fleet().confirm(now, batch.as_of, batch.confirmed_age.duration());
    apply_records(state, &applied);
    if !applied.is_empty() {
        tell_own_centre(state);
    }
}

/// Takes over changes that another instance passed on. Gives whether some before them are missing.
pub(crate) fn take_batch(state: &Rc<GatewayState>, batch: ChangeBatch) -> bool {
    let now = state.now();
    let changes = batch.changes.clone();
    let applied = state.fleet().replica.apply_changes(batch.after, batch.as_of, changes);
    match applied {
        Ok(applied) => {
            state.fleet().confirm(now, batch.as_of, batch.confirmed_age.duration());
            apply_records(state, &applied);
            if !applied.is_empty() {
                send_changes(state, ChangeOrigin::Peer, batch);
            }
            false
        }
        Err(_) => true,
    }
}
