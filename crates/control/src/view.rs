//! Immutable view of the control state, used to serve requests.

use crate::member::{MemberStatus, MemberTable};
use crate::rendezvous;
use model::{
    ConfigDocument, ConfigVersion, DataCentre, IncarnationId, InstanceName, InstanceRecord,
    InstanceState, Leaving, MonoTime, ServiceName, StoreRevision,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Number of standbys of a service.
pub const STANDBY_COUNT: usize = 2;

/// The instances that queue the requests of a service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServiceHomes {
    /// Homes in order of preference.
    pub homes: Vec<InstanceName>,
    /// Instances to use, in order, if no home replies.
    pub standbys: Vec<InstanceName>,
}

/// State of a member, for serving requests and for reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberView {
    /// Addresses, data centre, incarnation and state of the instance.
    pub record: InstanceRecord,
    /// Liveness of the instance, as seen from here.
    pub status: MemberStatus,
    /// Configuration version in force there, as last reported; zero if unknown.
    pub version: ConfigVersion,
    /// Time at which this version became known here.
    pub version_at: MonoTime,
}

/// The control state at one moment.
#[derive(Debug, Clone)]
pub struct FleetView {
    /// Record of this instance.
    pub this: InstanceRecord,
    /// Configuration in force; `None` until the first one is received.
    pub config: Option<Arc<ConfigDocument>>,
    /// Highest known revision of the configuration in the store.
    pub revision: StoreRevision,
    /// Time at which the store last confirmed, to this or another instance, that the configuration
    /// is the latest.
    pub confirmed_at: Option<MonoTime>,
    /// Time at which the last digest arrived from another instance.
    pub digest_received_at: Option<MonoTime>,
    /// All members, including this instance.
    pub members: BTreeMap<InstanceName, MemberView>,
    /// Homes and standbys of each service.
    pub homes: BTreeMap<ServiceName, ServiceHomes>,
    /// Backend servers that are leaving and get no new requests.
    pub leaving: BTreeSet<Leaving>,
}

impl FleetView {
    /// Returns the configuration version in force here; zero until the first one is received.
    pub fn version(&self) -> ConfigVersion {
        self.config.as_ref().map(|config| config.version).unwrap_or_default()
    }

    /// Returns the record of a member if it is alive.
    pub fn alive_record(&self, name: &InstanceName) -> Option<&InstanceRecord> {
        self.members
            .get(name)
            .filter(|member| member.status == MemberStatus::Alive)
            .map(|member| &member.record)
    }

    /// Returns the record of a member if it is alive and runs the given incarnation.
    pub fn incarnation_record(
        &self,
        name: &InstanceName,
        incarnation: IncarnationId,
    ) -> Option<&InstanceRecord> {
        self.alive_record(name).filter(|record| record.incarnation == incarnation)
    }

    /// Returns the rank of this instance among the homes of a service, from 0, and the number of
    /// homes. `None` if this instance is no home of the service.
    pub fn home_rank(&self, service: &ServiceName) -> Option<(usize, usize)> {
        let homes = &self.homes.get(service)?.homes;
        let rank = homes.iter().position(|home| *home == self.this.name)?;
        Some((rank, homes.len()))
    }

    /// Whether this incarnation of a backend server is leaving.
    pub fn is_leaving(&self, leaving: &Leaving) -> bool {
        self.leaving.contains(leaving)
    }
}

/// Assigns homes and standbys to each service from the members that are alive and not leaving.
pub(crate) fn assign_homes(
    config: &ConfigDocument,
    members: &MemberTable,
    this: &InstanceRecord,
) -> BTreeMap<ServiceName, ServiceHomes> {
    let candidates: Vec<(InstanceName, DataCentre)> = members
        .known()
        .filter(|member| member.status == MemberStatus::Alive)
        .map(|member| &member.record)
        .chain(std::iter::once(this))
        .filter(|record| record.state == InstanceState::Live)
        .map(|record| (record.name.clone(), record.data_centre.clone()))
        .collect();
    let assign = |(service, settings): (&ServiceName, &model::ServiceConfig)| {
        let home_count = usize::try_from(settings.homes.0).unwrap_or(1).max(1);
        (service.clone(), homes_of(service, home_count, &candidates))
    };
    config.services.iter().map(assign).collect()
}

fn homes_of(
    service: &ServiceName,
    home_count: usize,
    candidates: &[(InstanceName, DataCentre)],
) -> ServiceHomes {
    let ordered = rendezvous::order(service.as_str(), candidates, |candidate| candidate.0.as_str());
    let (homes, rest) = ordered.split_at(home_count.min(ordered.len()));
    let home_centres: Vec<&DataCentre> = homes.iter().map(|home| &home.1).collect();
    // The first standby is in a data centre without a home, if there is one, so that the loss of
    // one data centre leaves a standby.
    let first_index = rest.iter().position(|candidate| !home_centres.contains(&&candidate.1));
    let first = first_index.map(|index| rest[index]);
    let others = rest.iter().enumerate().filter(|(index, _)| Some(*index) != first_index);
    let standbys = first.into_iter().chain(others.map(|(_, candidate)| *candidate));
    ServiceHomes {
        homes: homes.iter().map(|home| home.0.clone()).collect(),
        standbys: standbys.take(STANDBY_COUNT).map(|candidate| candidate.0.clone()).collect(),
    }
}
