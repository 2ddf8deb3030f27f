//! Records and heartbeats of members for the tests of fleet.

#![allow(dead_code)] // Each test file uses a part.

use fleet::{HeartbeatMessage, MemberRecord};
use model::{ConfigVersion, IncarnationId, Millis, StoreRevision};
use std::net::SocketAddr;

/// Record of member `index` in a data centre, with incarnation 1.
pub fn record(index: usize, data_centre: &str) -> MemberRecord {
    let address: SocketAddr = format!("127.0.0.1:{}", 9000 + index).parse().expect("address");
    MemberRecord {
        name: format!("m{index}").parse().expect("name"),
        incarnation: IncarnationId(1),
        data_centre: data_centre.parse().expect("name"),
        caller_address: address,
        peer_address: address,
        datagram_address: address,
        capacity: 1,
    }
}

/// Heartbeat of a member, with its record.
pub fn heartbeat(member: MemberRecord, is_ready: bool) -> HeartbeatMessage {
    HeartbeatMessage {
        name: member.name.clone(),
        incarnation: member.incarnation,
        record: Some(member),
        is_ready,
        store_lost: false,
        as_of: StoreRevision(1),
        confirmed_age: Millis(0),
        version: ConfigVersion(1),
        homes: 0,
    }
}
