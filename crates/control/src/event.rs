//! Events that the reducer accepts and effects that it returns.

use model::{
    ConfigDocument, ConfigVersion, FleetDigest, IncarnationId, InstanceName, InstanceRecord,
    InstanceState, Leaving, StoreRevision,
};
use std::net::SocketAddr;
use std::sync::Arc;

/// An input of the reducer.
#[derive(Debug, Clone)]
pub enum ControlEvent {
    /// Periodic timer.
    Tick,
    /// The store returned the configuration, or confirmed that there is none yet.
    StoreReplied {
        /// Revision of the configuration's key; zero if the key is missing.
        revision: StoreRevision,
        /// The configuration.
        document: Arc<ConfigDocument>,
    },
    /// The store confirmed that nothing changed since the last known revision.
    StoreUnchanged,
    /// A call to the store failed.
    StoreFailed,
    /// The platform returned its list of instances.
    InstancesListed {
        /// Records of the listed instances.
        records: Vec<InstanceRecord>,
        /// Backend servers that the platform lists as leaving.
        leaving: Vec<Leaving>,
    },
    /// Reading the platform's list failed.
    ListFailed,
    /// A digest arrived from another instance.
    DigestReceived(FleetDigest),
    /// Another instance replied to [`ControlEffect::Describe`].
    RecordsReceived(Vec<InstanceRecord>),
    /// Another instance replied to [`ControlEffect::FetchConfig`].
    ConfigFetched {
        /// Revision of the configuration in the store.
        revision: StoreRevision,
        /// The configuration.
        document: Arc<ConfigDocument>,
    },
    /// An operator's change was accepted through this instance.
    ConfigAccepted {
        /// Revision of the changed configuration in the store.
        revision: StoreRevision,
        /// The changed configuration.
        document: Arc<ConfigDocument>,
    },
    /// A backend server announced that it is leaving.
    ServerLeaving(Leaving),
    /// This instance was asked to stop.
    StopRequested,
}

/// A call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreCall {
    /// Read the configuration now.
    Read,
    /// Wait for a configuration newer than this revision.
    Watch(StoreRevision),
}

/// A change of state, reported in logs and on the time line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StateChange {
    /// A member appeared, came back, restarted or changed its state.
    Member {
        /// Name of the member.
        name: InstanceName,
        /// Current incarnation of the member.
        incarnation: IncarnationId,
        /// Current state of the member.
        state: InstanceState,
    },
    /// A member is gone: no new heartbeat arrived in time.
    MemberGone(InstanceName),
    /// A configuration version came into force.
    ConfigInForce(ConfigVersion),
    /// A backend server is leaving and gets no new requests.
    ServerLeaving(Leaving),
    /// A call to the store failed. Reported once until a call succeeds again.
    StoreLost,
    /// A call to the store succeeded after failed ones.
    StoreBack,
    /// This instance began to stop.
    Stopping,
}

/// An action for the caller of the reducer to carry out.
#[derive(Debug, Clone)]
pub enum ControlEffect {
    /// Publish a new [`FleetView`](crate::FleetView).
    Publish,
    /// Send a digest as a heartbeat.
    SendHeartbeat {
        /// Peer addresses of the receivers.
        to: Vec<SocketAddr>,
        /// The digest to send.
        digest: Box<FleetDigest>,
    },
    /// Fetch the configuration of the instance at this peer address.
    FetchConfig(SocketAddr),
    /// Fetch records of unknown instances from another instance.
    Describe {
        /// Peer address of the instance to ask.
        from: SocketAddr,
        /// Names of the unknown instances.
        names: Vec<InstanceName>,
    },
    /// Call the store. The result returns as an event.
    CallStore(StoreCall),
    /// Read the platform's list of instances. The result returns as an event.
    ListInstances,
    /// Log a change of state and record it on the time line.
    Report(StateChange),
}
