//! Choice of the homes, to which callers are directed, and of the health checkers.
//!
//! Only a few homes place all requests: each then sees a large part of the responses and uses a
//! large part of the slots. All instances rank the members alike, by weighted rendezvous hashing.

use crate::record::MemberRecord;
use model::{DataCentre, InstanceName};
use std::collections::BTreeMap;

/// Rule for the number of homes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomePolicy {
    /// Least number of homes. There are fewer only if there are fewer usable members.
    pub homes_min: usize,
    /// Greatest number of backend servers per home.
    pub servers_per_home: usize,
}

impl HomePolicy {
    /// Returns the number of homes for `servers` backend servers in `data_centres` data centres.
    /// Above the minimum it is a multiple of `data_centres`: each then has homes of its own, and few
    /// requests leave their data centre.
    pub fn home_count(&self, servers: usize, data_centres: usize) -> usize {
        let needed = servers.div_ceil(self.servers_per_home.max(1));
        if needed <= self.homes_min {
            return self.homes_min;
        }
        needed.next_multiple_of(data_centres.max(1))
    }
}

/// Place of a member in the ranking: by descending rendezvous score, with the name as tie-breaker.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RankKey {
    /// Complement of the score's bits. The bits of positive floats are ordered like the floats.
    descending_score: u64,
    name: InstanceName,
}

impl RankKey {
    /// Returns the place of a member.
    pub fn of(record: &MemberRecord) -> Self {
        let score = score(&record.name, record.capacity);
        Self { descending_score: !score.to_bits(), name: record.name.clone() }
    }
}

/// Returns the rendezvous score of a member by the logarithmic method: the probability of the
/// highest score is proportional to the weight.
fn score(name: &InstanceName, capacity: u32) -> f64 {
    let hash = blake3::hash(name.as_str().as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    let fraction = (u64::from_le_bytes(bytes) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    // The power makes it unlikely that a small instance, of which a fleet may have many, becomes the
    // home of many servers while larger ones are idle.
    let weight = f64::from(capacity.max(1)).powi(4);
    -weight / fraction.ln()
}

/// Returns up to `count` homes of the usable members, which are given in rank order. They are spread
/// evenly over data centres: the first of each data centre, then the second of each, and so on.
pub fn choose_homes<'a>(usable: &[&'a MemberRecord], count: usize) -> Vec<&'a MemberRecord> {
    let mut seen: BTreeMap<&DataCentre, usize> = BTreeMap::new();
    let mut homes: Vec<(usize, &MemberRecord)> = usable
        .iter()
        .map(|member| {
            let place = seen.entry(&member.data_centre).or_default();
            *place += 1;
            (*place, *member)
        })
        .collect();
    homes.sort_by_key(|(place, _)| *place);
    homes.into_iter().take(count).map(|(_, member)| member).collect()
}

/// Returns the first `count` usable members of each data centre; `usable` is in rank order. With
/// one for each data centre these are the health checkers: each checks the servers of its own data
/// centre, so health checks do not cross data centres.
pub fn first_of_each_centre<'a>(
    usable: &[&'a MemberRecord],
    count: usize,
) -> Vec<&'a MemberRecord> {
    let mut seen: BTreeMap<&DataCentre, usize> = BTreeMap::new();
    let mut first = Vec::new();
    for member in usable {
        let place = seen.entry(&member.data_centre).or_default();
        *place += 1;
        if *place <= count {
            first.push(*member);
        }
    }
    first
}
