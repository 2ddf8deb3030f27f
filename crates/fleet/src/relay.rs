//! Through which instances changes of the store spread. Bytes between data centres are priced, so each
//! change crosses to a data centre once and is passed on there by its scout.

use crate::record::MemberRecord;
use std::net::SocketAddr;
use std::time::Duration;

/// How long an instance that is behind waits for one of its own data centre to have the changes.
const RELAY_PATIENCE: Duration = Duration::from_millis(400);

/// Where a change of the store came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeOrigin {
    /// From the store itself.
    Store,
    /// From another instance.
    Peer,
}

/// The instances that pass changes on, as one of them or another instance sees them.
#[derive(Debug, Clone, Copy)]
pub struct RelayView<'a> {
    /// The instance that decides.
    pub this: &'a MemberRecord,
    /// The homes.
    pub homes: &'a [MemberRecord],
    /// The scouts, one in each data centre.
    pub health_checkers: &'a [MemberRecord],
}

impl RelayView<'_> {
    fn is_relay(&self, member: &MemberRecord) -> bool {
        self.homes.iter().chain(self.health_checkers).any(|relay| relay.name == member.name)
    }

    /// Whether this instance is the scout of its data centre.
    pub fn is_health_checker(&self) -> bool {
        self.health_checkers.iter().any(|health_checker| health_checker.name == self.this.name)
    }

    /// Whether a change goes on to another instance: from a watcher to its data centre, to the homes and
    /// to the scouts, and from each scout to the rest of its data centre.
    pub fn is_target(&self, member: &MemberRecord, origin: ChangeOrigin) -> bool {
        let is_near = member.data_centre == self.this.data_centre;
        match origin {
            ChangeOrigin::Store => is_near || self.is_relay(member),
            ChangeOrigin::Peer => self.is_health_checker() && is_near && !self.is_relay(member),
        }
    }

    /// Which of the instances that are ahead to ask for changes, any one of those returned. Homes and
    /// scouts ask anyone, the others their own data centre unless nobody there has the changes after
    /// some time.
    pub fn pull_sources(&self, ahead: &[MemberRecord], behind_for: Duration) -> Vec<SocketAddr> {
        let is_near = |member: &&MemberRecord| member.data_centre == self.this.data_centre;
        let near: Vec<SocketAddr> =
            ahead.iter().filter(is_near).map(|member| member.peer_address).collect();
        let may_ask_all = self.is_relay(self.this) || behind_for >= RELAY_PATIENCE;
        if !near.is_empty() || !may_ask_all {
            return near;
        }
        ahead.iter().map(|member| member.peer_address).collect()
    }
}
