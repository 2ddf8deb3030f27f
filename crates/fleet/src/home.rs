//! Which instances callers are sent to.
//!
//! Few homes decide for all requests, so that each sees most answers and owns most slots. Every
//! instance orders the members in the same way by weighted rendezvous hashing.

use crate::member::MemberView;
use model::{DataCentre, InstanceName};

/// How many homes there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomePolicy {
    /// Fewest homes, as long as there are so many members.
    pub homes_min: usize,
    /// Backend servers for which one home decides at the most.
    pub servers_per_home: usize,
}

impl HomePolicy {
    /// The number of homes for a number of backend servers in a number of data centres. Beyond the
    /// fewest it is a multiple of the data centres, so that each has its own homes and few requests
    /// leave their data centre.
    pub fn home_count(&self, servers: usize, data_centres: usize) -> usize {
        let needed = servers.div_ceil(self.servers_per_home.max(1));
        if needed <= self.homes_min {
            return self.homes_min;
        }
        needed.next_multiple_of(data_centres.max(1))
    }
}

/// Orders members by weighted rendezvous hashing, the first home first.
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

/// The logarithmic method: a member wins in proportion to its weight.
fn score(name: &InstanceName, capacity: u32) -> f64 {
    let hash = blake3::hash(name.as_str().as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    let fraction = (u64::from_le_bytes(bytes) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    // Squared, so that small instances rarely decide for many servers.
    let weight = f64::from(capacity.max(1)).powi(2);
    -weight / fraction.ln()
}

/// The homes among ranked members: usable ones, spread over data centres as far as possible.
pub fn choose_homes<'a>(ranked: &[&'a MemberView], count: usize) -> Vec<&'a MemberView> {
    let usable: Vec<&MemberView> =
        ranked.iter().copied().filter(|member| member.is_usable).collect();
    let mut homes: Vec<&MemberView> = Vec::new();
    while homes.len() < count.min(usable.len()) {
        let used = |centre: &DataCentre| {
            homes.iter().filter(|home| home.record.data_centre == *centre).count()
        };
        let is_chosen =
            |member: &MemberView| homes.iter().any(|home| home.record.name == member.record.name);
        let next = usable
            .iter()
            .enumerate()
            .filter(|(_, member)| !is_chosen(member))
            .min_by_key(|(rank, member)| (used(&member.record.data_centre), *rank));
        match next {
            Some((_, member)) => homes.push(member),
            None => break,
        }
    }
    homes
}

/// The scouts among ranked members: the first usable one of each data centre. They check the servers
/// there, so that health checks do not cross data centres.
pub fn choose_health_checkers<'a>(ranked: &[&'a MemberView]) -> Vec<&'a MemberView> {
    let mut health_checkers: Vec<&MemberView> = Vec::new();
    for member in ranked.iter().copied().filter(|member| member.is_usable) {
        let is_taken = health_checkers
            .iter()
            .any(|health_checker| health_checker.record.data_centre == member.record.data_centre);
        if !is_taken {
            health_checkers.push(member);
        }
    }
    health_checkers
}
