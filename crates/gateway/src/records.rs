//! Applies records of the store: the configuration in force, the backend servers that may get
//! requests, the members and the homes.

use crate::slots::advance_queue;
use crate::state::GatewayState;
use balance::BackendState;
use fleet::{MemberRecord, StoreChange, StoreRecord};
use model::{BackendSpec, MonoTime, ServerKey, StoreRevision};
use smol_str::{SmolStr, format_smolstr};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

/// How long a server stays in use after its record vanished while the store was failing. Less than
/// the two seconds in which a leaving server may still get requests.
const VANISHED_TTL: Duration = Duration::from_millis(1_800);

/// Largest number of changes that are logged one by one. More arrive only with a snapshot at
/// the start, which should be short; of those only leaving servers are logged.
const LOGGED_CHANGES_MAX: usize = 40;

/// Applies changed records to the configuration, the servers and the members.
pub(crate) fn apply_records(state: &Rc<GatewayState>, applied: &[StoreChange]) {
    let logs_each = applied.len() <= LOGGED_CHANGES_MAX;
    if !logs_each {
        state.log.state("records", &format_smolstr!("{} changed at once", applied.len()));
    }
    for change in applied {
        let record = change.value.as_ref().map(|value| state.decoder.decode(&change.key, value));
        state.fleet().records.remove(&change.key);
        match record {
            None if logs_each => state.log.state("record_gone", &change.key),
            None => {}
            Some(StoreRecord::Config(table)) => apply_config(state, table),
            Some(StoreRecord::Malformed(cause)) => {
                let detail = format_smolstr!("{}: {cause}", change.key);
                state.log.state("record_malformed", &detail);
            }
            Some(StoreRecord::Server(server)) => {
                if logs_each || server.is_leaving {
                    log_server(state, &server, change.revision);
                }
                state.fleet().records.insert_server(change.key.clone(), server);
            }
            Some(StoreRecord::Member(member)) => {
                state.fleet().records.members.insert(change.key.clone(), member);
            }
            Some(StoreRecord::Unrecognized) => {}
        }
    }
    if !applied.is_empty() {
        refresh_from_records(state);
    }
}

fn log_server(state: &GatewayState, server: &BackendSpec, revision: StoreRevision) {
    let detail = format_smolstr!(
        "{} of {} at {} leaving {} revision {revision}",
        server.key.name,
        server.service,
        server.address,
        server.is_leaving,
    );
    state.log.state("server", &detail);
}

/// Puts a configuration in force if its version is newer than that of the present one.
fn apply_config(state: &Rc<GatewayState>, table: routing::RouteTable) {
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
        state.heartbeat_wakeup.notify_one();
    }
}

/// Updates the load estimates, the members and the homes from the decoded records.
fn refresh_from_records(state: &Rc<GatewayState>) {
    let now = state.now();
    let (mut specs, members): (Vec<BackendSpec>, Vec<MemberRecord>) = {
        let fleet = state.fleet_ref();
        let records = &fleet.records;
        (records.servers.values().cloned().collect(), records.members.values().cloned().collect())
    };
    retain_vanished(state, now, &mut specs);
    state.metrics.servers.set(i64::try_from(specs.len()).unwrap_or(i64::MAX));
    state.queue().estimates.set_servers(now, specs);
    state.fleet().members.set_registered(members);
    refresh_fleet(state);
    advance_queue(state);
}

/// Keeps a server whose record vanished while the store was failing. Live servers announce
/// themselves again within [`VANISHED_TTL`], which counts from when the record vanished, however
/// long the store keeps failing.
fn retain_vanished(state: &Rc<GatewayState>, now: MonoTime, specs: &mut Vec<BackendSpec>) {
    let vanished: Vec<BackendSpec> = {
        let queue = state.queue();
        let recorded: HashSet<&ServerKey> = specs.iter().map(|spec| &spec.key).collect();
        let is_recorded = |known: &BackendState| recorded.contains(&known.spec.key);
        let servers = queue.estimates.servers();
        servers
            .filter(|known| known.is_eligible() && !is_recorded(known))
            .map(|known| known.spec.clone())
            .collect()
    };
    let mut fleet = state.fleet();
    let failed_recently = fleet.store_failed_at.is_some_and(|at| now.since(at) < VANISHED_TTL);
    let known = std::mem::take(&mut fleet.vanished);
    let mut kept = Vec::new();
    for spec in vanished {
        let since = known.get(&spec.key).copied();
        // While the store works, a record vanishes only when its server is gone.
        if since.is_none() && !failed_recently {
            continue;
        }
        let since = since.unwrap_or(now);
        if now.since(since) < VANISHED_TTL {
            fleet.vanished.insert(spec.key.clone(), since);
            kept.push(spec);
        }
    }
    drop(fleet);
    if kept.is_empty() {
        return;
    }
    specs.extend(kept);
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        tokio::time::sleep(VANISHED_TTL).await;
        refresh_from_records(&state);
    });
}

/// Share of the fleet's extra retries for all instances together that are not homes.
const OTHERS_SHARE: f64 = 0.1;

/// Updates the homes, the retry share and the number of competing instances. Logs a change of homes
/// and sends a heartbeat.
pub(crate) fn refresh_fleet(state: &Rc<GatewayState>) {
    let now = state.now();
    let servers = state.queue().estimates.servers().count();
    let policy = state.settings().homes;
    let mut fleet = state.fleet();
    let is_ready = state.is_ready();
    fleet.members.set_ready(is_ready);
    if !fleet.refresh(now, policy, servers) {
        return;
    }
    let homes: Vec<SmolStr> =
        fleet.homes().iter().map(|home| SmolStr::new(home.name.as_str())).collect();
    let share = match fleet.home_rank() {
        Some(_) => (1.0 - OTHERS_SHARE) / homes.len().max(2) as f64,
        None => OTHERS_SHARE / fleet.usable_count().max(1) as f64,
    };
    let others = homes.len() - usize::from(fleet.home_rank().is_some());
    let competing_instances = u32::try_from(others).unwrap_or(u32::MAX);
    let detail = format_smolstr!("{homes:?} of {} usable", fleet.usable_count());
    state.metrics.members.set(i64::try_from(fleet.usable_count()).unwrap_or(i64::MAX));
    drop(fleet);
    let mut queue = state.queue();
    queue.set_extra_share(share);
    queue.set_competing_instances(competing_instances);
    drop(queue);
    state.log.state("homes", &detail);
    state.heartbeat_wakeup.notify_one();
}
