//! Relays changes of the store to other instances.

use crate::heartbeats::send_heartbeat;
use crate::peer_link::send_to;
use crate::state::GatewayState;
use fleet::{ChangeBatch, ChangeOrigin, PeerDatagram, SplitBatch};

/// Relays single changes that this instance received from a watch of the store. Those that do not fit a
/// datagram are announced.
pub(crate) fn send_watched_changes(state: &GatewayState, batch: ChangeBatch) {
    let SplitBatch { datagrams, is_complete } = batch.split();
    let targets = state.fleet_ref().change_targets(ChangeOrigin::Store);
    for batch in datagrams {
        send_to(state, &PeerDatagram::Changes(batch), &targets);
    }
    if !is_complete {
        announce_changes(state);
    }
}

/// Announces changes that cannot be sent one by one. The others fetch them.
pub(crate) fn announce_changes(state: &GatewayState) {
    send_heartbeat(state, false);
}

/// Relays a datagram of changes that another instance sent.
pub(crate) fn pass_on_changes(state: &GatewayState, batch: ChangeBatch) {
    let targets = state.fleet_ref().change_targets(ChangeOrigin::Peer);
    send_to(state, &PeerDatagram::Changes(batch), &targets);
}

/// Announces by a heartbeat, to the instances that this one relays to, that it has changes to
/// fetch.
pub(crate) fn notify_own_centre(state: &GatewayState) {
    let targets = state.fleet_ref().change_targets(ChangeOrigin::Peer);
    let heartbeat = state.fleet_ref().heartbeat(state.now(), false);
    send_to(state, &PeerDatagram::Heartbeat(heartbeat), &targets);
}
