//! Paths by which changes of the store reach all instances. Traffic between data centres is priced,
//! so each change is sent to a data centre once, and the health checker there relays it to the rest.

use crate::record::MemberRecord;
use std::net::SocketAddr;
use std::time::Duration;

/// How long an instance whose replica is behind waits for an instance of its own data centre that
/// has the changes, before it asks instances elsewhere.
const LOCAL_PULL_TIMEOUT: Duration = Duration::from_millis(400);

/// Source from which an instance received a change of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeOrigin {
    /// The store itself, by a watch or a read.
    Store,
    /// Another instance.
    Peer,
}

/// The relays of changes, as one instance sees them.
#[derive(Debug, Clone, Copy)]
pub struct RelayView<'a> {
    /// The instance that uses this view.
    pub this: &'a MemberRecord,
    /// The homes in rank order.
    pub homes: &'a [MemberRecord],
    /// The health checkers, one in each data centre.
    pub health_checkers: &'a [MemberRecord],
}

impl RelayView<'_> {
    fn is_relay(&self, member: &MemberRecord) -> bool {
        self.homes.iter().chain(self.health_checkers).any(|relay| relay.name == member.name)
    }

    /// Whether this instance is the health checker of its data centre.
    pub fn is_health_checker(&self) -> bool {
        self.health_checkers.iter().any(|health_checker| health_checker.name == self.this.name)
    }

    /// Whether this instance sends a change on to `member`. A watcher sends changes to its own data
    /// centre, to the homes and to the health checkers; each health checker sends them to the rest of
    /// its data centre.
    pub fn is_target(&self, member: &MemberRecord, origin: ChangeOrigin) -> bool {
        let is_local = member.data_centre == self.this.data_centre;
        match origin {
            ChangeOrigin::Store => is_local || self.is_relay(member),
            ChangeOrigin::Peer => self.is_health_checker() && is_local && !self.is_relay(member),
        }
    }

    /// Returns the peer addresses of those instances of `ahead` that this instance may ask for
    /// changes; any one of them suffices. Instances of the own data centre are preferred. Homes and
    /// health checkers may ask elsewhere at once, other instances only after being behind for some
    /// time.
    pub fn pull_sources(&self, ahead: &[MemberRecord], behind_for: Duration) -> Vec<SocketAddr> {
        let is_local = |member: &&MemberRecord| member.data_centre == self.this.data_centre;
        let local: Vec<SocketAddr> =
            ahead.iter().filter(is_local).map(|member| member.peer_address).collect();
        let may_pull_remotely = self.is_relay(self.this) || behind_for >= LOCAL_PULL_TIMEOUT;
        if !local.is_empty() || !may_pull_remotely {
            return local;
        }
        ahead.iter().map(|member| member.peer_address).collect()
    }
}
