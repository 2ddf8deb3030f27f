//! Choice of the homes, to which callers are directed, and of the health checkers.
//!
//! Only a few homes place all requests: each then sees a large part of the responses and uses a
//! large part of the slots. All instances rank the members alike, by weighted rendezvous hashing.

use crate::member::MemberView;
use model::{DataCentre, InstanceName};

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

/// Orders members by descending rendezvous score, with names as tie-breaker.
pub fn rank_members(members: &[MemberView]) -> Vec<&MemberView> {
    let mut weighted: Vec<(f64, &MemberView)> = members
        .iter()
        .map(|member| (score(&member.record.name, member.record.capacity), member))
        .collect();
    weighted.sort_by(|left, right| {
        right
            .0
            .total_cmp(&left.0)
            .then_with(|| left.1.record.name.as_str().cmp(right.1.record.name.as_str()))
    });
    weighted.into_iter().map(|(_, member)| member).collect()
}

/// Returns the rendezvous score of a member by the logarithmic method: the probability of the
/// highest score is proportional to the weight.
fn score(name: &InstanceName, capacity: u32) -> f64 {
    let hash = blake3::hash(name.as_str().as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    let fraction = (u64::from_le_bytes(bytes) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    // The square makes it unlikely that a small instance becomes the home of many servers.
    let weight = f64::from(capacity.max(1)).powi(2);
    -weight / fraction.ln()
}

/// Returns up to `count` homes: usable members in rank order, spread evenly over data centres.
pub fn choose_homes<'a>(ranked: &[&'a MemberView], count: usize) -> Vec<&'a MemberView> {
    let usable: Vec<&MemberView> =
        ranked.iter().copied().filter(|member| member.is_usable).collect();
    let mut homes: Vec<&MemberView> = Vec::new();
    while homes.len() < count.min(usable.len()) {
        let homes_in = |centre: &DataCentre| {
            homes.iter().filter(|home| home.record.data_centre == *centre).count()
        };
        let is_chosen =
            |member: &MemberView| homes.iter().any(|home| home.record.name == member.record.name);
        let next = usable
            .iter()
            .enumerate()
            .filter(|(_, member)| !is_chosen(member))
            .min_by_key(|(rank, member)| (homes_in(&member.record.data_centre), *rank));
        match next {
            Some((_, member)) => homes.push(member),
            None => break,
        }
    }
    homes
}

/// Returns the health checkers: the first usable member of each data centre in rank order. Each
/// checks the servers of its own data centre, so health checks do not cross data centres.
pub fn choose_health_checkers<'a>(ranked: &[&'a MemberView]) -> Vec<&'a MemberView> {
    let mut health_checkers: Vec<&MemberView> = Vec::new();
    for member in ranked.iter().copied().filter(|member| member.is_usable) {
        let has_checker = health_checkers
            .iter()
            .any(|health_checker| health_checker.record.data_centre == member.record.data_centre);
        if !has_checker {
            health_checkers.push(member);
        }
    }
    health_checkers
}
