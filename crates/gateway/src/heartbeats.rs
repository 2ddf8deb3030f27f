//! Heartbeats: the state of this instance for the others, periodically and when it changes, and the
//! relay of those of others.

use crate::peer_link::send_to;
use crate::records::refresh_fleet;
use crate::state::GatewayState;
use fleet::{HeardHeartbeat, PeerDatagram};
use model::{MonoTime, StoreRevision};
use smol_str::format_smolstr;
use std::rc::Rc;
use std::time::Duration;

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// One heartbeat in this many carries the sender's record.
const HEARTBEATS_PER_RECORD: u32 = 10;
/// Heartbeats in one datagram that passes them on; each takes up to 65 bytes.
const RELAYED_HEARTBEATS_MAX: usize = 21;
/// Shortest time between two log lines on the revision of the replica.
const REPLICA_LOG_INTERVAL: Duration = Duration::from_secs(3);

/// Sends a heartbeat, and the heartbeats that this instance passes on to its data centre.
pub(crate) fn send_heartbeat(state: &GatewayState, with_record: bool) {
    let now = state.now();
    let fleet = state.fleet_ref();
    let heartbeat = fleet.heartbeat(now, with_record);
    send_to(state, &PeerDatagram::Heartbeat(heartbeat), &fleet.heartbeat_targets());
    let targets = fleet.relayed_heartbeat_targets();
    if targets.is_empty() {
        return;
    }
    for chunk in fleet.relayed_heartbeats(now).chunks(RELAYED_HEARTBEATS_MAX) {
        send_to(state, &PeerDatagram::Relayed(chunk.to_vec()), &targets);
    }
}

/// Sends heartbeats, periodically if this instance is a sender and whenever woken.
pub(crate) async fn run_heartbeats(state: Rc<GatewayState>) {
    let mut sent = 0_u32;
    let mut logged = (state.now(), StoreRevision(0));
    loop {
        let was_woken = tokio::time::timeout(HEARTBEAT_INTERVAL, state.heartbeat_wakeup.notified())
            .await
            .is_ok();
        let is_outdated = state.is_outdated();
        refresh_fleet(&state);
        let is_sender = state.fleet_ref().is_sender();
        if (was_woken || is_sender) && !is_outdated {
            send_heartbeat(&state, was_woken || sent.is_multiple_of(HEARTBEATS_PER_RECORD));
            sent = sent.wrapping_add(1);
        }
        logged = log_replica(&state, logged);
        state.log.flush();
    }
}

/// Logs the replica's revision and digest if the revision has changed and the last line, with its time
/// and revision, is old enough. Returns the time and revision of the latest line.
fn log_replica(
    state: &GatewayState,
    logged: (MonoTime, StoreRevision),
) -> (MonoTime, StoreRevision) {
    let now = state.now();
    let replica = &state.fleet_ref().replica;
    if replica.as_of() == logged.1 || now.since(logged.0) < REPLICA_LOG_INTERVAL {
        return logged;
    }
    let detail = format_smolstr!("revision {} digest {:08x}", replica.as_of(), replica.digest());
    state.log.state("replica", &detail);
    (now, replica.as_of())
}

/// Records heartbeats that other instances sent or passed on.
pub(crate) fn apply_heartbeats(state: &Rc<GatewayState>, heartbeats: Vec<HeardHeartbeat>) {
    let now = state.now();
    let mut fleet = state.fleet();
    let mut is_new = false;
    let mut newest = fleet.replica.as_of();
    for heard in heartbeats {
        let (as_of, confirmed_age) = (heard.heartbeat.as_of, heard.heartbeat.confirmed_age);
        if heard.heartbeat.store_lost {
            fleet.record_store_failure(now.before(heard.age.duration()));
        }
        fleet.confirm(now, as_of, confirmed_age.duration() + heard.age.duration());
        newest = newest.max(as_of);
        is_new |= fleet.members.record_heard(now, heard);
    }
    let is_behind = newest > fleet.replica.as_of();
    drop(fleet);
    if is_new {
        refresh_fleet(state);
    }
    if is_behind {
        state.sync_wakeup.notify_one();
    }
}
