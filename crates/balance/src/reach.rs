//! Which backend servers an instance places requests at, among the homes of a large fleet.
//!
//! A home uses the servers of its own data centre, whose load it knows well. When those are full it
//! needs servers elsewhere: the load of data centres differs, and so does their number of servers. If
//! all homes used all servers, each free slot elsewhere would be claimed by many homes at the same
//! moment, and reports on all servers would have to reach all of them. So each server has only a few
//! homes of other data centres as guests. The crest of a demand swing in one data centre then moves to
//! the free slots of the others, spread over all of them.

use model::{DataCentre, InstanceName, ServerName};

/// Number of other homes up to which each server is open to all of them.
const SHARED_BY_ALL_MAX: usize = 4;
/// Number of guests of each server in a larger fleet. Two, so that the loss of a home leaves no free
/// slots unused.
const GUESTS: usize = 2;

/// How an instance may use a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerReach {
    /// Without regard to other instances.
    Own,
    /// As one of several guests.
    Guest {
        /// Number of other instances that may claim the same free slots.
        competitors: u32,
    },
    /// Not at all, while other servers of the service can be used.
    Beyond,
}

#[derive(Debug, Clone)]
struct HomeEntry {
    name: InstanceName,
    data_centre: DataCentre,
    hash: u64,
}

/// Assigns guests to servers. All instances with the same homes assign alike.
#[derive(Debug, Clone, Default)]
pub struct ReachPlan {
    homes: Vec<HomeEntry>,
}

impl ReachPlan {
    /// Creates the plan for the given homes.
    pub fn new<'a>(homes: impl IntoIterator<Item = (&'a InstanceName, &'a DataCentre)>) -> Self {
        let entry = |(name, data_centre): (&InstanceName, &DataCentre)| HomeEntry {
            hash: hash_text(name.as_str()),
            name: name.clone(),
            data_centre: data_centre.clone(),
        };
        Self { homes: homes.into_iter().map(entry).collect() }
    }

    /// Whether an instance is one of the homes.
    pub fn includes(&self, instance: &InstanceName) -> bool {
        self.homes.iter().any(|home| home.name == *instance)
    }

    /// Returns the homes outside the server's data centre that may use the server.
    pub fn guests(&self, server: &ServerName, data_centre: &DataCentre) -> Vec<&InstanceName> {
        let server_hash = hash_text(server.as_str());
        let mut remote: Vec<(u64, &InstanceName)> = self
            .homes
            .iter()
            .filter(|home| home.data_centre != *data_centre)
            .map(|home| (mix(server_hash ^ home.hash), &home.name))
            .collect();
        if self.homes.len() > SHARED_BY_ALL_MAX + 1 && remote.len() > GUESTS {
            remote.sort_unstable_by_key(|(score, _)| *score);
            remote.truncate(GUESTS);
        }
        remote.into_iter().map(|(_, name)| name).collect()
    }

    /// Returns the homes that may use a server: those in its data centre and its guests.
    pub fn users(&self, server: &ServerName, data_centre: &DataCentre) -> Vec<&InstanceName> {
        let near = self.homes.iter().filter(|home| home.data_centre == *data_centre);
        let mut users: Vec<&InstanceName> = near.map(|home| &home.name).collect();
        users.extend(self.guests(server, data_centre));
        users
    }

    /// Returns how instance `this` in `own_centre` may use a server.
    pub fn reach_of(
        &self,
        this: &InstanceName,
        own_centre: &DataCentre,
        server: &ServerName,
        data_centre: &DataCentre,
    ) -> ServerReach {
        if own_centre == data_centre || !self.includes(this) {
            return ServerReach::Own;
        }
        let guests = self.guests(server, data_centre);
        if !guests.contains(&this) {
            return ServerReach::Beyond;
        }
        let sharers = guests.len().min(self.homes.len() - 1);
        let competitors = u32::try_from(sharers.saturating_sub(1)).unwrap_or(u32::MAX);
        ServerReach::Guest { competitors }
    }
}

/// Returns the 64-bit FNV-1a hash of a text.
fn hash_text(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    text.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

/// Mixes the bits of a hash, as the finalizer of SplitMix64 does.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
