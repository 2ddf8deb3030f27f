//! Chooses the instances to which an instance sends its heartbeats.

use crate::rendezvous;
use model::InstanceRecord;
use std::net::SocketAddr;

/// The other members on a hash ring, in order from this instance on.
///
/// Heartbeats go to members at doubling distances, so an update reaches all members in a
/// logarithmic number of rounds. Gone members stay on the ring: a heartbeat to them is how contact
/// is restored.
pub struct HeartbeatRing {
    others: Vec<SocketAddr>,
}

impl HeartbeatRing {
    /// Creates the ring as seen from `this`.
    pub fn new<'a>(
        this: &InstanceRecord,
        members: impl Iterator<Item = &'a InstanceRecord>,
    ) -> Self {
        let weight = |record: &InstanceRecord| rendezvous::weight("ring", record.name.as_str());
        let mut ring: Vec<(u64, SocketAddr)> =
            members.map(|record| (weight(record), record.peer_address)).collect();
        ring.sort_unstable();
        let own = weight(this);
        let start = ring.partition_point(|(weight, _)| *weight < own);
        ring.rotate_left(start);
        Self { others: ring.into_iter().map(|(_, address)| address).collect() }
    }

    /// Whether there are no other members.
    pub fn is_empty(&self) -> bool {
        self.others.is_empty()
    }

    /// Returns the peer addresses of up to `count` members, without duplicates. `turn` selects the
    /// first distance; advancing it by `count` each time covers all distances.
    pub fn targets(&self, turn: usize, count: usize) -> Vec<SocketAddr> {
        if self.is_empty() {
            return Vec::new();
        }
        let distances = usize::BITS - self.others.len().leading_zeros();
        let mut targets = Vec::new();
        for offset in 0..count {
            let step = turn.wrapping_add(offset) % distances as usize;
            let address = self.others[((1_usize << step) - 1) % self.others.len()];
            if !targets.contains(&address) {
                targets.push(address);
            }
        }
        targets
    }
}
