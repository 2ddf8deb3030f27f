//! The immutable state that traffic works with.

use crate::member::{MemberStatus, MemberTable};
use crate::rendezvous;
use model::{
    ConfigDocument, ConfigVersion, DataCentre, IncarnationId, InstanceName, InstanceRecord,
    InstanceState, Leaving, MonoTime, ServiceName, StoreRevision,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Standbys of a service after its homes.
pub const STANDBY_COUNT: usize = 2;

/// Where a service is queued.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServiceHomes {
    /// Instances that hold a queue, first one first.
    pub homes: Vec<InstanceName>,
    /// Instances to try when no home answers.
    pub standbys: Vec<InstanceName>,
}

/// A member as reports show it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberView {
    /// Its addresses and data centre.
    pub record: InstanceRecord,
    /// Whether its heartbeats arrive.
    pub status: MemberStatus,
    /// The version in force there, as far as known here.
    pub version: ConfigVersion,
    /// When this instance learned of that version.
    pub version_at: MonoTime,
}

/// The control state at one moment.
#[derive(Debug, Clone)]
pub struct FleetView {
    /// This instance.
    pub this: InstanceRecord,
    /// The configuration in force, or none before the first is known.
    pub config: Option<Arc<ConfigDocument>>,
    /// Its revision in the store.
    pub revision: StoreRevision,
    /// When the store last confirmed that the configuration is the latest, directly or as told by
    /// other instances.
    pub confirmed_at: Option<MonoTime>,
    /// When another instance was last heard.
    pub digest_received_at: Option<MonoTime>,
    /// All members, this one included.
    pub members: BTreeMap<InstanceName, MemberView>,
    /// Homes by service.
    pub homes: BTreeMap<ServiceName, ServiceHomes>,
    /// Backend servers that take no new work.
    pub leaving: BTreeSet<Leaving>,
}

impl FleetView {
    /// The version in force here, zero before the first is known.
    pub fn version(&self) -> ConfigVersion {
        self.config.as_ref().map(|config| config.version).unwrap_or_default()
    }

    /// The record of a member whose heartbeats arrive.
    pub fn live_record(&self, name: &InstanceName) -> Option<&InstanceRecord> {
        self.members
            .get(name)
            .filter(|member| member.status == MemberStatus::Alive)
            .map(|member| &member.record)
    }

    /// The record of a live member if it still runs the given incarnation.
    pub fn incarnation_record(
        &self,
        name: &InstanceName,
        incarnation: IncarnationId,
    ) -> Option<&InstanceRecord> {
        self.live_record(name).filter(|record| record.incarnation == incarnation)
    }

    /// Whether this instance holds a queue of the service, and as which of how many homes.
    pub fn home_rank(&self, service: &ServiceName) -> Option<(usize, usize)> {
        let homes = &self.homes.get(service)?.homes;
        let rank = homes.iter().position(|home| *home == self.this.name)?;
        Some((rank, homes.len()))
    }

    /// Whether a backend server takes no new work.
    pub fn is_leaving(&self, leaving: &Leaving) -> bool {
        self.leaving.contains(leaving)
    }
}

/// Works out the homes of each service from the members that take work.
pub(crate) fn assign_homes(
    config: &ConfigDocument,
    members: &MemberTable,
    this: &InstanceRecord,
) -> BTreeMap<ServiceName, ServiceHomes> {
    let takers: Vec<(InstanceName, DataCentre)> = members
        .known()
        .filter(|member| member.status == MemberStatus::Alive)
        .map(|member| &member.record)
        .chain(std::iter::once(this))
        .filter(|record| record.state == InstanceState::Live)
        .map(|record| (record.name.clone(), record.data_centre.clone()))
        .collect();
    let assign = |(service, settings): (&ServiceName, &model::ServiceConfig)| {
        let wanted = usize::try_from(settings.homes.0).unwrap_or(1).max(1);
        (service.clone(), homes_of(service, wanted, &takers))
    };
    config.services.iter().map(assign).collect()
}

fn homes_of(
    service: &ServiceName,
    wanted: usize,
    takers: &[(InstanceName, DataCentre)],
) -> ServiceHomes {
    let ordered = rendezvous::order(service.as_str(), takers, |taker| taker.0.as_str());
    let (homes, rest) = ordered.split_at(wanted.min(ordered.len()));
    let home_centres: Vec<&DataCentre> = homes.iter().map(|home| &home.1).collect();
    // The first standby stands elsewhere, so that the loss of a data centre leaves one.
    let elsewhere = rest.iter().position(|taker| !home_centres.contains(&&taker.1));
    let first = elsewhere.map(|at| rest[at]);
    let others = rest.iter().enumerate().filter(|(at, _)| Some(*at) != elsewhere);
    let standbys = first.into_iter().chain(others.map(|(_, taker)| *taker));
    ServiceHomes {
        homes: homes.iter().map(|home| home.0.clone()).collect(),
        standbys: standbys.take(STANDBY_COUNT).map(|taker| taker.0.clone()).collect(),
    }
}
