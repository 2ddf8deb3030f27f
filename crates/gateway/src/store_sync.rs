//! Keeps the replica of the store up to date, by watching or from other instances, and keeps this
//! instance announced.

use crate::peer_port::{pull_changes, send_changes};
use crate::state::GatewayState;
use fleet::{MemberRecord, StoreChange, StoreRecord, WatchDuty, WatchInputs, watch_duty};
use model::{BackendSpec, Millis, MonoTime, StoreRevision};
use rand::RngExt;
use smol_str::{SmolStr, format_smolstr};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use store::{LeaseId, StoreError, StoreItems, StoreKey, WatchAnswer};

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
/// How long the announcement of an instance outlives it.
const LEASE_SPAN: Millis = Millis(120_000);
/// Time between renewals of the announcement; three fit its life.
const RENEW_SPAN: Duration = Duration::from_secs(38);
/// Time between looks at whether the announcement is still there.
const LISTED_TICK: Duration = Duration::from_secs(2);
/// Longest pause between tries to announce the instance.
const ANNOUNCE_MAX: Duration = Duration::from_secs(4);
/// How long a start waits for a copy of the store from a seed before it reads the store itself.
const SEED_PATIENCE: Duration = Duration::from_millis(700);
/// Pause between questions to the seeds.
const SEED_TICK: Duration = Duration::from_millis(100);
/// Pause after the first read, in which other instances that start at the same time announce
/// themselves.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Spread of that time over the instances.
const FIRST_SPREAD_MS: u64 = 200;
/// How long servers that vanished while the store was in trouble are still used after it is back;
/// those that live announce themselves again in this time.
const RETURN_SPAN: Duration = Duration::from_millis(2_200);

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

/// Brings configuration, servers and members in line with changed records.
fn apply_records(state: &Rc<GatewayState>, applied: &[StoreChange]) {
    for change in applied {
        let Some(value) = &change.value else {
            state.log.state("record_gone", &change.key);
            continue;
        };
        match state.decoder.decode(&change.key, value) {
            StoreRecord::Config(table) => apply_table(state, table),
            StoreRecord::Malformed(cause) => {
                let detail = format_smolstr!("{}: {cause}", change.key);
                state.log.state("record_malformed", &detail);
            }
            StoreRecord::Server(server) => {
                let detail = format_smolstr!(
                    "{} of {} at {} leaving {} revision {}",
                    server.key.name,
                    server.service,
                    server.address,
                    server.is_leaving,
                    change.revision
                );
                state.log.state("server", &detail);
            }
            StoreRecord::Member(_) | StoreRecord::Foreign => {}
        }
    }
    if !applied.is_empty() {
        rebuild(state);
    }
}

/// Puts a configuration in force unless it is older than the present one.
fn apply_table(state: &Rc<GatewayState>, table: routing::RouteTable) {
    let version = table.version;
    if state.table.borrow().as_ref().is_some_and(|present| present.version >= version) {
        return;
    }
    let detail = format_smolstr!("version {version}, {} routes", table.route_count());
    state.metrics.version.set(i64::try_from(version.0).unwrap_or(i64::MAX));
    let is_first = state.table.replace(Some(Rc::new(table))).is_none();
    let mut fleet = state.fleet();
    fleet.version = version;
    let is_ready = state.is_ready();
    fleet.members.set_ready(is_ready);
    drop(fleet);
    state.log.state(if is_first { "ready" } else { "config" }, &detail);
    if is_first {
        state.beat.notify_one();
    }
}

/// Decodes all records of servers and members anew.
fn rebuild(state: &Rc<GatewayState>) {
    let now = state.now();
    let (mut specs, mut members) = (Vec::new(), Vec::new());
    for (key, value) in state.fleet_ref().replica.items() {
        match state.decoder.decode(key, value) {
            StoreRecord::Server(server) => specs.push(server),
            StoreRecord::Member(member) => members.push(member),
            _ => {}
        }
    }
    keep_vanished(state, now, &mut specs);
    state.metrics.servers.set(i64::try_from(specs.len()).unwrap_or(i64::MAX));
    state.queue().picture.set_servers(now, specs);
    state.fleet().members.set_listed(members);
    refresh_fleet(state);
    crate::slots::advance_queue(state);
}

/// Servers whose records lapsed while the store was in trouble stay until they had time to announce
/// themselves again.
fn keep_vanished(state: &Rc<GatewayState>, now: MonoTime, specs: &mut Vec<BackendSpec>) {
    let trouble = state.fleet_ref().trouble_at;
    let is_recent = trouble.is_some_and(|at| now.since(at) < RETURN_SPAN);
    if !is_recent {
        return;
    }
    let queue = state.queue();
    let vanished = queue
        .picture
        .servers()
        .filter(|known| known.is_hopeful() && !specs.iter().any(|spec| spec.key == known.spec.key));
    let kept: Vec<BackendSpec> = vanished.map(|known| known.spec.clone()).collect();
    drop(queue);
    if kept.is_empty() {
        return;
    }
    specs.extend(kept);
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        tokio::time::sleep(RETURN_SPAN).await;
        rebuild(&state);
    });
}

/// Part of the shared extra retries for all instances that are no homes.
const OTHERS_PART: f64 = 0.2;

/// Brings homes and what depends on them up to date.
pub(crate) fn refresh_fleet(state: &Rc<GatewayState>) {
    let now = state.now();
    let servers = state.queue().picture.servers().count();
    let count = state.settings().homes.home_count(servers);
    let mut fleet = state.fleet();
    let is_ready = state.is_ready();
    fleet.members.set_ready(is_ready);
    if !fleet.refresh(now, count) {
        return;
    }
    let homes: Vec<SmolStr> =
        fleet.homes().iter().map(|home| SmolStr::new(home.name.as_str())).collect();
    let part = match fleet.home_place() {
        Some(_) => (1.0 - OTHERS_PART) / homes.len().max(2) as f64,
        None => OTHERS_PART / fleet.usable_count().max(1) as f64,
    };
    let detail = format_smolstr!("{homes:?} of {} usable", fleet.usable_count());
    state.metrics.members.set(i64::try_from(fleet.usable_count()).unwrap_or(i64::MAX));
    drop(fleet);
    state.queue().set_extra_part(part);
    state.log.state("homes", &detail);
    state.beat.notify_one();
}

/// Keeps this instance announced until the process stops.
pub(crate) async fn run_announcement(state: Rc<GatewayState>) {
    let mut lease = None;
    let mut pause = RETRY_FIRST;
    while !state.is_stopping() {
        let result = match lease {
            None => announce(&state).await.map(Some),
            Some(held) => renew(&state, held).await,
        };
        match result {
            Ok(held) => {
                pause = RETRY_FIRST;
                lease = if held.is_some() && stays_listed(&state).await { held } else { None };
            }
            Err(_) => {
                let wait = pause.mul_f64(rand::rng().random_range(0.7..1.3));
                tokio::time::sleep(wait).await;
                pause = (pause * 2).min(ANNOUNCE_MAX);
            }
        }
    }
    if let Some(lease) = lease {
        let store = Rc::clone(&state.store.borrow());
        let result = store.end(lease).await;
        state.metrics.store_call("lease", result.is_ok());
    }
}

/// Ends when the announcement is to be renewed, or is gone, or the process stops. Gives whether it is
/// still there.
async fn stays_listed(state: &GatewayState) -> bool {
    let until = state.now().after(RENEW_SPAN);
    while state.now() < until && !state.is_stopping() {
        tokio::time::sleep(LISTED_TICK).await;
        if is_unlisted(state) {
            return false;
        }
    }
    true
}

/// Whether the store no longer has the announcement, as far as is known here.
fn is_unlisted(state: &GatewayState) -> bool {
    let key = state.dialect.member_key(state.settings().name.as_str());
    let fleet = state.fleet_ref();
    let is_current = fleet.confirmed_age(state.now()) < LISTED_TICK;
    is_current && !fleet.replica.items().any(|(known, _)| *known == key)
}

async fn announce(state: &Rc<GatewayState>) -> Result<LeaseId, StoreError> {
    let store = Rc::clone(&state.store.borrow());
    let lease = store.grant(LEASE_SPAN).await;
    state.metrics.store_call("lease", lease.is_ok());
    let lease = lease?;
    let record: MemberRecord = state.fleet_ref().members.this().clone();
    let value = serde_json::to_string(&record)
        .map_err(|cause| StoreError::NotApplied(format_smolstr!("{cause}")))?;
    let key = StoreKey(state.dialect.member_key(record.name.as_str()).into());
    let written = store.put(&key, value.into(), lease).await;
    state.metrics.store_call("write", written.is_ok());
    written.map(|_| lease)
}

/// Gives the lease, or none if it ended and the instance must be announced anew.
async fn renew(state: &Rc<GatewayState>, lease: LeaseId) -> Result<Option<LeaseId>, StoreError> {
    let store = Rc::clone(&state.store.borrow());
    let result = store.keep(lease).await;
    state.metrics.store_call("renewal", result.is_ok());
    match result {
        Ok(()) => Ok(Some(lease)),
        Err(StoreError::LeaseLost) => {
            state.log.state("announcement_lapsed", "");
            Ok(None)
        }
        Err(cause) => Err(cause),
    }
}
