//! Updates reach all members in a logarithmic number of rounds if each instance sends to two
//! members per round.

use control::ring::HeartbeatRing;
use model::{IncarnationId, InstanceRecord, InstanceState};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use testkit::cases;

const FANOUT: usize = 2;

fn record(number: u16) -> InstanceRecord {
    let address = ([127, 0, 0, 1], 1_000 + number).into();
    InstanceRecord {
        name: format!("entry-{number}").parse().unwrap(),
        incarnation: IncarnationId(1),
        data_centre: "dc".parse().unwrap(),
        caller_address: address,
        operator_address: address,
        peer_address: address,
        state: InstanceState::Live,
    }
}

/// Spreads an update from one of `count` instances and compares the number of rounds with twice the
/// number of binary digits of `count`.
fn check_spread(count: u16) {
    let records: Vec<InstanceRecord> = (0..count).map(record).collect();
    let rings: Vec<HeartbeatRing> = records
        .iter()
        .map(|this| {
            HeartbeatRing::new(this, records.iter().filter(|other| other.name != this.name))
        })
        .collect();
    let mut reached: BTreeSet<SocketAddr> = BTreeSet::from([records[0].peer_address]);
    let mut rounds = 0;
    while reached.len() < records.len() {
        let senders = records.iter().zip(&rings).filter(|(r, _)| reached.contains(&r.peer_address));
        let targets: Vec<SocketAddr> =
            senders.flat_map(|(_, ring)| ring.targets(rounds * FANOUT, FANOUT)).collect();
        reached.extend(targets);
        rounds += 1;
        assert!(rounds < 100, "after {rounds} rounds the update has not reached all instances");
    }
    let bound = 2 * (u16::BITS - count.leading_zeros()) as usize;
    assert!(rounds <= bound, "{rounds} rounds for {count} instances");
}

cases! { check_spread {
    two: (2);
    three: (3);
    sixteen: (16);
    seventeen: (17);
    forty: (40);
    hundred: (100);
} }

#[test]
fn single_instance_has_no_targets() {
    let ring = HeartbeatRing::new(&record(0), std::iter::empty());
    assert!(ring.is_empty() && ring.targets(3, FANOUT).is_empty());
}
