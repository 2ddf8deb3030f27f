//! Applies records of the store: the configuration in force, the backend servers that may get
//! requests, the members and the homes.

use crate::fleet_state::{FleetState, NamedRecord};
use crate::slots::advance_queue;
use crate::state::GatewayState;
use crate::supervise::{contain, spawn_task};
use crate::teams::apply_quotas;
use balance::{BackendState, ReachPlan, ShareClaim};
use fleet::{MemberRecord, StoreChange, StoreRecord};
use model::{BackendSpec, DataCentre, InstanceName, ServerKey, ServiceName, StoreRevision};
use routing::ServiceEntry;
use smol_str::{SmolStr, format_smolstr};
use std::rc::Rc;
use std::time::Duration;
use store::replicated::ItemState;

/// How long a server stays in use after its record vanished around an outage of the store. Less than
/// the two seconds in which a leaving server may still get requests.
const VANISHED_TTL: Duration = Duration::from_millis(1_800);

/// Time in which operators write again what the store lost when it came back older.
const RENEWAL_PERIOD: Duration = Duration::from_secs(3);
/// Time in which the platform removes again the records of servers that are gone, when the store came back
/// older: they are silent for three intervals of 1.5 s.
const REMOVAL_PERIOD: Duration = Duration::from_secs(6);

/// Largest number of changes that are logged one by one. More arrive only with a snapshot at
/// the start, which should be short; of those only leaving servers are logged.
const LOGGED_CHANGES_MAX: usize = 40;

/// Applies changed records to the configuration, the servers and the members. Takes time in
/// proportion to the number of changes.
pub(crate) fn apply_records(state: &Rc<GatewayState>, applied: &[StoreChange]) {
    if applied.is_empty() {
        return;
    }
    let logs_each = applied.len() <= LOGGED_CHANGES_MAX;
    if !logs_each {
        state.log.state("records", &format_smolstr!("{} changed at once", applied.len()));
    }
    let origin = match state.fleet().record_era(state.now()) {
        true => RecordOrigin::OlderCopy,
        false => RecordOrigin::Written,
    };
    if origin == RecordOrigin::OlderCopy {
        let revision = state.fleet_ref().replica.as_of();
        state.log.state("store_came_back_older", &format_smolstr!("at revision {revision}"));
    }
    for change in applied {
        contain(state, "record", || apply_change(state, change, origin, logs_each));
    }
    let servers = state.queue().estimates.servers().len();
    state.metrics.servers.set(i64::try_from(servers).unwrap_or(i64::MAX));
    refresh_fleet(state);
    advance_queue(state);
}

/// Takes over the configuration and the members among items of a snapshot that is still being read.
pub(crate) fn preview_records(state: &Rc<GatewayState>, items: &[ItemState]) {
    for item in items {
        contain(state, "record", || preview_record(state, item));
    }
}

fn preview_record(state: &Rc<GatewayState>, item: &ItemState) {
    let record = item.value.as_ref().map(|value| state.decoder.decode(&item.key, value));
    match record {
        Some(StoreRecord::Config(table)) => apply_config(state, table),
        Some(StoreRecord::Member(member)) => state.fleet().members.register(member),
        _ => {}
    }
}

/// Where a change of a record comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RecordOrigin {
    /// Someone wrote or removed the record.
    Written,
    /// The store came back from a copy that has the record, or lacks it. Writes since the copy are lost, and
    /// their owners write again.
    OlderCopy,
}

fn apply_change(
    state: &Rc<GatewayState>,
    change: &StoreChange,
    origin: RecordOrigin,
    logs_each: bool,
) {
    let record = change.value.as_ref().map(|value| state.decoder.decode(&change.key, value));
    let earlier = state.fleet().records.remove(&change.key);
    let mut named = None;
    match record {
        None if logs_each => state.log.state("record_gone", &change.key),
        None | Some(StoreRecord::Unrecognized) => {}
        Some(StoreRecord::Config(table)) => apply_config(state, table),
        Some(StoreRecord::Malformed(cause)) => {
            let detail = format_smolstr!("{}: {cause}", change.key);
            state.metrics.input_fault("record_malformed");
            state.log.state("record_malformed", &detail);
        }
        Some(StoreRecord::Server(server)) => {
            if logs_each || server.is_leaving {
                log_server(state, &server, change.revision);
            }
            named = Some(NamedRecord::Server(server.key.clone()));
            apply_server(state, change.key.clone(), server, origin);
        }
        Some(StoreRecord::Member(member)) => {
            named = Some(NamedRecord::Member(member.name.clone()));
            apply_member(state, change.key.clone(), member, origin);
        }
        Some(StoreRecord::Evacuation(centre)) => {
            named = Some(NamedRecord::Evacuation(centre.clone()));
            state.fleet().records.insert_evacuation(change.key.clone(), centre.clone());
            evacuate(state, &centre);
        }
    }
    match earlier {
        Some(earlier) if Some(&earlier) == named.as_ref() => {}
        Some(NamedRecord::Server(key)) => withdraw_server(state, key, named.is_some()),
        Some(NamedRecord::Member(name)) => withdraw_member(state, &name),
        Some(NamedRecord::Evacuation(centre)) if origin == RecordOrigin::OlderCopy => {
            take_back_unless_renewed(state, centre);
        }
        Some(NamedRecord::Evacuation(centre)) => take_back(state, &centre),
        None => {}
    }
}

/// Stops sending to the servers of a data centre. Requests in progress there end, those that wait are placed
/// elsewhere.
fn evacuate(state: &GatewayState, centre: &DataCentre) {
    let addresses = state.queue().estimates.evacuate(centre);
    state.pool.retain(|known| !addresses.contains(known));
    let detail = format_smolstr!("{centre}, {} servers", addresses.len());
    state.log.state("evacuated", &detail);
    record_evacuated_count(state);
}

fn take_back(state: &GatewayState, centre: &DataCentre) {
    if state.queue().estimates.take_back(state.now(), centre) {
        state.log.state("taken_back", centre.as_str());
    }
    record_evacuated_count(state);
}

/// Takes a data centre back, whose evacuation the store lost, unless the operators evacuate it again in time.
fn take_back_unless_renewed(state: &Rc<GatewayState>, centre: DataCentre) {
    let shared = Rc::clone(state);
    let check = async move {
        tokio::time::sleep(RENEWAL_PERIOD).await;
        let record = NamedRecord::Evacuation(centre.clone());
        if !shared.fleet_ref().records.names(&record) {
            take_back(&shared, &centre);
            advance_queue(&shared);
        }
    };
    spawn_task(state, "lost evacuation", check);
}

fn record_evacuated_count(state: &GatewayState) {
    let evacuated = state.queue().estimates.evacuated().len();
    state.metrics.evacuated_centres.set(i64::try_from(evacuated).unwrap_or(i64::MAX));
}

fn apply_server(state: &Rc<GatewayState>, key: SmolStr, server: BackendSpec, origin: RecordOrigin) {
    let mut fleet = state.fleet();
    fleet.vanished.remove(&server.key);
    fleet.records.insert_server(key, server.key.clone());
    if origin == RecordOrigin::OlderCopy && fleet.is_gone(state.now(), &server.key) {
        drop(fleet);
        use_unless_removed(state, server);
        return;
    }
    fleet.forget_gone(&server.key);
    drop(fleet);
    state.queue().estimates.upsert_server(state.now(), server);
}

/// Uses a server that was removed and that an older copy of the store has, unless its record is removed again
/// in time.
fn use_unless_removed(state: &Rc<GatewayState>, server: BackendSpec) {
    state.log.state("server_doubted", server.key.name.as_str());
    let shared = Rc::clone(state);
    let check = async move {
        tokio::time::sleep(REMOVAL_PERIOD).await;
        let record = NamedRecord::Server(server.key.clone());
        let is_unknown = shared.queue().estimates.server(&server.key).is_none();
        if is_unknown && shared.fleet_ref().records.names(&record) {
            shared.queue().estimates.upsert_server(shared.now(), server);
            advance_queue(&shared);
        }
    };
    spawn_task(state, "doubted server", check);
}

fn apply_member(state: &GatewayState, key: SmolStr, member: MemberRecord, origin: RecordOrigin) {
    let mut fleet = state.fleet();
    fleet.records.insert_member(key, member.name.clone());
    if member.name == fleet.members.this().name {
        fleet.records.this = Some(member.clone());
    }
    // An older copy says nothing new of a member, which may have been lost meanwhile.
    if origin == RecordOrigin::Written || !fleet.members.is_registered(&member.name) {
        fleet.members.register(member);
    }
}

fn withdraw_member(state: &GatewayState, name: &InstanceName) {
    let mut fleet = state.fleet();
    if *name == fleet.members.this().name {
        fleet.records.this = None;
        state.unregistered.notify_one();
    }
    fleet.members.unregister(name);
    drop(fleet);
    state.registrar.borrow_mut().withdraw(name);
}

/// Stops using a server whose record is gone. If it vanished around an outage of the store, the server
/// stays in use as long as it may live: live servers announce themselves again within [`VANISHED_TTL`]
/// after the outage, or after their records vanished, however long the store keeps failing.
fn withdraw_server(state: &Rc<GatewayState>, key: ServerKey, is_replaced: bool) {
    let now = state.now();
    let is_eligible = state.queue().estimates.server(&key).is_some_and(BackendState::is_eligible);
    let mut fleet = state.fleet();
    // While the store works, a record vanishes only when its server is gone.
    let until = fleet.may_live_until(now, VANISHED_TTL).filter(|_| is_eligible && !is_replaced);
    let Some(until) = until else {
        fleet.record_gone(now, key.clone());
        drop(fleet);
        state.queue().estimates.remove_server(&key);
        return;
    };
    fleet.vanished.insert(key.clone(), now);
    drop(fleet);
    let period = until.since(now);
    let detail = format_smolstr!("{}, used for {} ms more", key.name, period.as_millis());
    state.log.state("server_vanished", &detail);
    state.metrics.vanished_servers.inc();
    let shared = Rc::clone(state);
    let removal = async move {
        tokio::time::sleep(period).await;
        let since = shared.fleet_ref().vanished.get(&key).copied();
        if since == Some(now) {
            let mut fleet = shared.fleet();
            fleet.vanished.remove(&key);
            fleet.record_gone(shared.now(), key.clone());
            drop(fleet);
            shared.queue().estimates.remove_server(&key);
            advance_queue(&shared);
        }
    };
    spawn_task(state, "vanished server", removal);
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
    apply_quotas(state, state.now(), table.teams.as_ref());
    let cold_rate = |(name, service): (&ServiceName, &ServiceEntry)| {
        service.warm_up.map(|warm_up| (name.clone(), warm_up.rate))
    };
    let cold_rates = table.services.iter().filter_map(cold_rate).collect();
    state.queue().estimates.set_cold_rates(state.now(), cold_rates);
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

/// Backend servers for each member that are assumed until the servers' records are read.
const ASSUMED_SERVERS_PER_MEMBER: usize = 2;
/// Share of the fleet's extra retries for all instances together that are not homes.
const OTHERS_SHARE: f64 = 0.1;

/// Returns the share of the fleet's extra retries of an instance with this view.
fn extra_share(fleet: &FleetState) -> f64 {
    match fleet.home_rank() {
        Some(_) => (1.0 - OTHERS_SHARE) / fleet.homes().len().max(2) as f64,
        None => OTHERS_SHARE / fleet.members.member_count() as f64,
    }
}

/// Updates the homes, the retry share and the plan by which homes share servers. Logs a change of
/// homes and sends a heartbeat.
pub(crate) fn refresh_fleet(state: &Rc<GatewayState>) {
    let now = state.now();
    let servers = match state.fleet_ref().replica.as_of() {
        StoreRevision(0) => ASSUMED_SERVERS_PER_MEMBER * state.fleet_ref().members.member_count(),
        _ => state.queue().estimates.servers().len(),
    };
    let policy = state.settings().homes;
    let mut fleet = state.fleet();
    let is_ready = state.is_ready();
    fleet.members.set_ready(is_ready);
    let has_changed = fleet.refresh(now, policy, servers);
    let claim = ShareClaim { share: extra_share(&fleet), is_agreed: fleet.is_view_agreed(now) };
    state.queue().claim_extra(now, claim);
    if !has_changed {
        return;
    }
    let homes: Vec<SmolStr> =
        fleet.homes().iter().map(|home| SmolStr::new(home.name.as_str())).collect();
    let plan = ReachPlan::new(fleet.homes().iter().map(|home| (&home.name, &home.data_centre)));
    let this = fleet.members.this();
    let (name, data_centre) = (this.name.clone(), this.data_centre.clone());
    let members = fleet.members.member_count();
    let detail = format_smolstr!("{homes:?} of {members} members");
    state.metrics.members.set(i64::try_from(members).unwrap_or(i64::MAX));
    let announces = fleet.is_sender();
    drop(fleet);
    let mut queue = state.queue();
    queue.estimates.set_plan(now, name, data_centre, plan);
    drop(queue);
    state.log.state("homes", &detail);
    if announces {
        state.heartbeat_wakeup.notify_one();
    }
}
