//! Records of members for the tests of fleet.

use fleet::MemberRecord;
use model::IncarnationId;
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
