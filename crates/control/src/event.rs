//! Events that the reducer takes and effects that it returns.

use model::{
    ConfigDocument, ConfigVersion, FleetDigest, IncarnationId, InstanceName, InstanceRecord,
    InstanceState, Leaving, StoreRevision,
};
use std::net::SocketAddr;
use std::sync::Arc;

/// Something that happened.
#[derive(Debug, Clone)]
pub enum ControlEvent {
    /// Time passed.
    Tick,
    /// The store gave the configuration, or confirmed that there is none yet.
    StoreAnswered {
        /// Revision of the key; zero if it is missing.
        revision: StoreRevision,
        /// The document.
        document: Arc<ConfigDocument>,
    },
    /// The store confirmed that nothing changed since the last known revision.
    StoreUnchanged,
    /// A call to the store failed.
    StoreFailed,
    /// The platform gave its list of entry instances.
    InstancesListed {
        /// The instances.
        records: Vec<InstanceRecord>,
        /// Backend servers that the platform says are leaving.
        leaving: Vec<Leaving>,
    },
    /// The call for the platform's list failed.
    ListFailed,
    /// A digest came from another instance.
    DigestReceived(FleetDigest),
    /// Another instance described some instances.
    RecordsReceived(Vec<InstanceRecord>),
    /// Another instance gave its configuration.
    ConfigFetched {
        /// Its revision in the store.
        revision: StoreRevision,
        /// The document.
        document: Arc<ConfigDocument>,
    },
    /// An operator's change was accepted through this instance.
    ConfigAccepted {
        /// Its revision in the store.
        revision: StoreRevision,
        /// The document.
        document: Arc<ConfigDocument>,
    },
    /// A backend server said that it is leaving.
    ServerLeaving(Leaving),
    /// This instance is asked to stop.
    StopRequested,
}

/// A call to the store that the reducer wants made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreCall {
    /// Read the configuration now.
    Read,
    /// Wait for a configuration newer than this revision.
    Watch(StoreRevision),
}

/// A change of state that logs and the time line tell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StateChange {
    /// A member appeared, changed its state or restarted.
    Member {
        /// The instance.
        name: InstanceName,
        /// Its incarnation.
        incarnation: IncarnationId,
        /// Its state.
        state: InstanceState,
    },
    /// A member's heartbeats stopped.
    MemberGone(InstanceName),
    /// A configuration version came into force.
    ConfigInForce(ConfigVersion),
    /// A backend server takes no new work any more.
    ServerLeaving(Leaving),
    /// The store stopped answering.
    StoreLost,
    /// The store answers again.
    StoreBack,
    /// This instance began to stop.
    Stopping,
}

/// Something to do.
#[derive(Debug, Clone)]
pub enum ControlEffect {
    /// Publish the new state to traffic.
    Publish,
    /// Send the digest to these instances.
    SendHeartbeat {
        /// Where.
        to: Vec<SocketAddr>,
        /// What.
        digest: Box<FleetDigest>,
    },
    /// Ask an instance for its configuration.
    FetchConfig(SocketAddr),
    /// Ask an instance for the records of others.
    Describe {
        /// Whom to ask.
        from: SocketAddr,
        /// The instances.
        names: Vec<InstanceName>,
    },
    /// Call the store; its answer comes back as an event.
    CallStore(StoreCall),
    /// Read the platform's list; its answer comes back as an event.
    ListInstances,
    /// Count and log a change of state.
    Report(StateChange),
}
