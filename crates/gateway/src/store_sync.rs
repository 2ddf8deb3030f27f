//! Keeps the replica of the store up to date, by watching or from other instances.

use crate::peer_port::{pull_changes, send_changes};
use crate::records::{apply_records, refresh_fleet};
use crate::state::GatewayState;
use fleet::{StoreChange, WatchDuty, WatchInputs, watch_duty};
use model::{Millis, StoreRevision};
use rand::RngExt;
use smol_str::format_smolstr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use store::{StoreError, StoreItems, WatchAnswer};

/// How long a watch of an idle store waits. A silent connection shows after this.
const WATCH_WAIT: Millis = Millis(1_000);
/// Pause after a watch returned changes, so that several arrive in one call.
const BATCH_SPAN: Duration = Duration::from_millis(40);
/// Instances that always watch.
const WATCHERS: usize = 2;
/// Pause between looks at whether this instance should watch.
const RELY_TICK: Duration = Duration::from_millis(100);
/// Pause after a failed call, doubled up to the longest.
const RETRY_FIRST: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_millis(800);
/// How long a start waits for a copy of the store from a seed before it reads the store itself.
const SEED_PATIENCE: Duration = Duration::from_millis(700);
/// Pause between questions to the seeds.
const SEED_TICK: Duration = Duration::from_millis(100);
/// Pause after the first read, in which other instances that start at the same time announce
/// themselves.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Spread of that time over the instances.
const FIRST_SPREAD_MS: u64 = 200;

/// Follows the store until the process ends.
pub(crate) async fn run_sync(state: Rc<GatewayState>) {
    let mut pause = RETRY_FIRST;
    let mut needs_read = !first_copy(&state).await;
    let spread = Duration::from_millis(rand::rng().random_range(0..FIRST_SPREAD_MS));
    tokio::time::sleep(FIRST_PAUSE + spread).await;
    loop {
        if duty(&state) == WatchDuty::Rely {
            state.fleet().is_watching = false;
            let _ = tokio::time::timeout(RELY_TICK, state.sync.notified()).await;
            catch_up(&state).await;
            continue;
        }
        state.fleet().is_watching = true;
        let after = state.fleet_ref().replica.as_of();
        let result = if needs_read || after == StoreRevision(0) {
            read_store(&state).await.map(|()| needs_read = false)
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

/// Gets the first copy of the store. When the whole fleet starts for the first time, the seeds read it
/// and the others ask the seeds, since nobody waits yet and each call is priced. Gives whether there
/// is a copy.
async fn first_copy(state: &Rc<GatewayState>) -> bool {
    let settings = state.settings();
    let is_seed = settings.seeds.contains(&settings.peer_address) || settings.seeds.is_empty();
    let asks_seeds = settings.is_first_start && !is_seed;
    let until = state.now().after(SEED_PATIENCE);
    while asks_seeds && state.now() < until {
        catch_up(state).await;
        if state.fleet_ref().replica.as_of() > StoreRevision(0) {
            return true;
        }
        tokio::time::sleep(SEED_TICK).await;
    }
    match read_store(state).await {
        Ok(()) => true,
        Err(cause) => {
            note_failure(state, &cause);
            false
        }
    }
}

fn duty(state: &Rc<GatewayState>) -> WatchDuty {
    refresh_fleet(state);
    let now = state.now();
    let fleet = state.fleet_ref();
    if fleet.replica.as_of() == StoreRevision(0) {
        return WatchDuty::Watch;
    }
    watch_duty(WatchInputs {
        rank: fleet.home_place().unwrap_or_else(|| fleet.rank().max(WATCHERS)),
        watchers: WATCHERS,
        confirmed_age: fleet.confirmed_age(now),
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
        state.beat.notify_one();
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

async fn read_store(state: &Rc<GatewayState>) -> Result<(), StoreError> {
    let store = Rc::clone(&state.store.borrow());
    let result = store.read_all().await;
    state.metrics.store_call("read", result.is_ok());
    let StoreItems { as_of, items } = result?;
    let items = items.into_iter().map(change_of).collect();
    let after = state.fleet_ref().replica.as_of();
    let applied = state.fleet().replica.apply_snapshot(as_of, items);
    after_changes(state, after, as_of, applied);
    Ok(())
}

/// Gives whether the changes are complete.
async fn watch_store(state: &Rc<GatewayState>, after: StoreRevision) -> Result<bool, StoreError> {
    let store = Rc::clone(&state.store.borrow());
    let result = store.watch(after, WATCH_WAIT).await;
    state.metrics.store_call("watch", result.is_ok());
    let StoreItems { as_of, items } = match result? {
        WatchAnswer::Changes(changes) => changes,
        WatchAnswer::HistoryGone => {
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
        tokio::time::sleep(BATCH_SPAN).await;
    }
    Ok(true)
}

fn change_of(item: store::replicated::ItemState) -> StoreChange {
    StoreChange { key: item.key, value: item.value, revision: item.revision }
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
        send_changes(state, after, as_of, applied);
    }
}

/// Fetches what other instances know beyond the replica.
pub(crate) async fn catch_up(state: &Rc<GatewayState>) {
    let (after, source) = {
        let now = state.now();
        let fleet = state.fleet_ref();
        let after = fleet.replica.as_of();
        let newest = fleet
            .members
            .recent_beats(now)
            .filter(|(_, beat)| beat.as_of > after)
            .max_by_key(|(_, beat)| beat.as_of)
            .map(|(record, _)| record.peer_address);
        (after, newest)
    };
    let seeds = state.settings().seeds.clone();
    let own = state.settings().peer_address;
    let sources: Vec<SocketAddr> = match source {
        Some(source) => vec![source],
        None if after == StoreRevision(0) => {
            seeds.into_iter().filter(|seed| *seed != own).collect()
        }
        None => return,
    };
    let mut failure = None;
    for source in sources {
        match pull_changes(state, source, after).await {
            Ok(answer) => {
                take_answer(state, answer);
                return;
            }
            Err(cause) => failure = Some(format_smolstr!("{source}: {cause}")),
        }
    }
    if let Some(failure) = failure {
        state.log.state("pull_failed", &failure);
    }
}

fn take_answer(state: &Rc<GatewayState>, answer: fleet::PullAnswer) {
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
    state.fleet().confirm(now, batch.as_of, batch.confirmed_age.span());
    apply_records(state, &applied);
}

/// Takes over changes that another instance passed on. Gives whether some before them are missing.
pub(crate) fn take_batch(state: &Rc<GatewayState>, batch: fleet::ChangeBatch) -> bool {
    let now = state.now();
    let applied = state.fleet().replica.apply_changes(batch.after, batch.as_of, batch.changes);
    match applied {
        Ok(applied) => {
            state.fleet().confirm(now, batch.as_of, batch.confirmed_age.span());
            apply_records(state, &applied);
            false
        }
        Err(_) => true,
    }
}
