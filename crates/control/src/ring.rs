//! Whom an instance sends its heartbeats to.

use crate::rendezvous;
use model::InstanceRecord;
use std::net::SocketAddr;

/// The other members around a ring by hash, beginning after this instance.
///
/// Targets stand at doubling distances, so that news reaches all members in a logarithmic number of
/// rounds. Gone members stay on the ring, since that is how they are found again.
pub struct HeartbeatRing {
    others: Vec<SocketAddr>,
}

impl HeartbeatRing {
    /// Orders the members for `this`.
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

    /// Whether there is no other member.
    pub fn is_empty(&self) -> bool {
        self.others.is_empty()
    }

    /// The targets of a turn. Turns that follow each other cover all distances.
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
