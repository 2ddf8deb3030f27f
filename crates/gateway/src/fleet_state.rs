//! The instance's view of the fleet: the replica of the store, the members, and what follows from
//! both.

use crate::settings_file::GatewaySettings;
use fleet::{
    ChangeBatch, ChangeOrigin, HeartbeatMessage, HomePolicy, MemberRecord, MemberTable, MemberView,
    PullReply, RelayView, StoreChange, StoreReplica, choose_health_checkers, choose_homes,
    server_tag,
};
use model::{
    BackendSpec, ConfigVersion, DataCentre, IncarnationId, InstanceName, MonoTime, ServerKey,
    StoreRevision,
};
use smol_str::SmolStr;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Members that send heartbeats to all; the others are replaced from further down the ranking.
const SENDERS: usize = 5;

/// To whom reports on servers go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LoadReach {
    /// All homes.
    All,
    /// The homes that decide for the servers of this data centre.
    Near,
}

/// Records of the replica as they were decoded, by key.
#[derive(Default)]
pub(crate) struct DecodedRecords {
    pub servers: BTreeMap<SmolStr, BackendSpec>,
    pub members: BTreeMap<SmolStr, MemberRecord>,
    /// The servers by the short names that reports use.
    pub tags: HashMap<u32, ServerKey>,
}

impl DecodedRecords {
    /// Drops what was known of a key that changed or is gone.
    pub fn forget(&mut self, key: &str) {
        if let Some(server) = self.servers.remove(key) {
            self.tags.remove(&server_tag(&server.key.name, server.key.incarnation));
        }
        self.members.remove(key);
    }

    /// Takes over the record of a server.
    pub fn insert_server(&mut self, key: SmolStr, server: BackendSpec) {
        let tag = server_tag(&server.key.name, server.key.incarnation);
        self.tags.insert(tag, server.key.clone());
        self.servers.insert(key, server);
    }
}

/// What this instance knows of the fleet.
pub(crate) struct FleetState {
    pub replica: StoreReplica,
    pub records: DecodedRecords,
    pub members: MemberTable,
    /// When the store last confirmed, as far as is known here, that the replica is the newest state.
    pub confirmed_at: Option<MonoTime>,
    /// When a first copy of the store was taken that may be old.
    pub copied_at: Option<MonoTime>,
    /// Whether this instance's own calls to the store fail.
    pub store_lost: bool,
    /// Whether this instance watches the store.
    pub is_watching: bool,
    /// When the store was last known to be in trouble.
    pub trouble_at: Option<MonoTime>,
    pub version: ConfigVersion,
    /// Servers whose records vanished while the store was in trouble, and since when.
    pub vanished: HashMap<ServerKey, MonoTime>,
    views: Vec<MemberView>,
    homes: Vec<MemberRecord>,
    health_checkers: Vec<MemberRecord>,
    /// Since when another instance is known to be ahead of the replica.
    behind_since: Option<MonoTime>,
}

impl FleetState {
    pub fn new(settings: &GatewaySettings, incarnation: IncarnationId) -> Self {
        let this = MemberRecord {
            name: settings.name.clone(),
            incarnation,
            data_centre: settings.data_centre.clone(),
            caller_address: settings.caller_address,
            peer_address: settings.peer_address,
            datagram_address: settings.datagram_address,
            capacity: settings.capacity,
        };
        Self {
            replica: StoreReplica::default(),
            records: DecodedRecords::default(),
            members: MemberTable::new(this, SENDERS),
            confirmed_at: None,
            copied_at: None,
            store_lost: false,
            is_watching: false,
            trouble_at: None,
            version: ConfigVersion(0),
            vanished: HashMap::new(),
            views: Vec::new(),
            homes: Vec::new(),
            health_checkers: Vec::new(),
            behind_since: None,
        }
    }

    /// Brings ranking and homes up to date. Gives whether the homes changed.
    pub fn refresh(&mut self, now: MonoTime, policy: HomePolicy, servers: usize) -> bool {
        self.views = self.members.views(now);
        let centres: HashSet<&DataCentre> =
            self.views.iter().map(|view| &view.record.data_centre).collect();
        let home_count = policy.home_count(servers, centres.len());
        let ranked: Vec<&MemberView> = self.views.iter().collect();
        let homes: Vec<MemberRecord> =
            choose_homes(&ranked, home_count).into_iter().map(|view| view.record.clone()).collect();
        self.health_checkers = choose_health_checkers(&ranked)
            .into_iter()
            .map(|health_checker| health_checker.record.clone())
            .collect();
        let changed = homes != self.homes;
        self.homes = homes;
        changed
    }

    /// Makes this run newer than the one that the store lists, also if the clock went back between
    /// them.
    pub fn supersede_registered_run(&mut self) {
        if let Some(listed) = self.members.registered_incarnation() {
            self.members.supersede(listed);
        }
    }

    /// The homes, the first one first.
    pub fn homes(&self) -> &[MemberRecord] {
        &self.homes
    }

    /// Place of this instance among the homes.
    pub fn home_place(&self) -> Option<usize> {
        let name = &self.members.this().name;
        self.homes.iter().position(|home| home.name == *name)
    }

    /// Place of this instance among the usable members; behind all if it is not usable itself.
    pub fn rank(&self) -> usize {
        let name = &self.members.this().name;
        let mut usable = self.views.iter().filter(|view| view.is_usable);
        usable
            .position(|view| view.record.name == *name)
            .unwrap_or_else(|| self.usable_count().min(SENDERS))
    }

    /// Whether this instance sends heartbeats to all.
    pub fn is_sender(&self) -> bool {
        self.rank() < SENDERS || self.is_watching || self.is_health_checker()
    }

    /// Whether this instance checks the servers of its data centre for all homes.
    pub fn is_health_checker(&self) -> bool {
        self.relay_view().is_health_checker()
    }

    fn relay_view(&self) -> RelayView<'_> {
        RelayView {
            this: self.members.this(),
            homes: &self.homes,
            health_checkers: &self.health_checkers,
        }
    }

    /// Whether a home stands in a data centre.
    pub fn has_home_in(&self, centre: &DataCentre) -> bool {
        self.homes.iter().any(|home| home.data_centre == *centre)
    }

    /// Where reports on servers of this data centre go: to the other homes, or only to those that decide
    /// for these servers.
    pub fn report_targets(&self, reach: LoadReach) -> Vec<SocketAddr> {
        let this = self.members.this();
        let is_told = |home: &&MemberRecord| {
            home.name != this.name
                && (reach == LoadReach::All
                    || home.data_centre == this.data_centre
                    || !self.has_home_in(&this.data_centre))
        };
        self.homes.iter().filter(is_told).map(|home| home.datagram_address).collect()
    }

    /// Members that callers may be sent to.
    pub fn usable_count(&self) -> usize {
        self.views.iter().filter(|view| view.is_usable).count()
    }

    /// Where the datagrams for all other instances go.
    pub fn datagram_targets(&self) -> Vec<SocketAddr> {
        self.members.others().map(|record| record.datagram_address).collect()
    }

    /// Where a change of the store goes.
    pub fn change_targets(&self, origin: ChangeOrigin) -> Vec<SocketAddr> {
        let view = self.relay_view();
        let targets = self.members.others().filter(|member| view.is_target(member, origin));
        targets.map(|member| member.datagram_address).collect()
    }

    /// Whom to ask for changes beyond the replica: one of those returned.
    pub fn pull_sources(&mut self, now: MonoTime) -> Vec<SocketAddr> {
        let ahead = self.members.ahead_of(now, self.replica.as_of());
        if ahead.is_empty() {
            self.behind_since = None;
            return Vec::new();
        }
        let since = *self.behind_since.get_or_insert(now);
        self.relay_view().pull_sources(&ahead, now.since(since))
    }

    /// Age of the newest confirmation by the store.
    pub fn confirmed_age(&self, now: MonoTime) -> Duration {
        self.confirmed_at.map_or(Duration::MAX, |at| now.since(at))
    }

    /// Takes note that the replica was the newest state `age` ago.
    pub fn confirm(&mut self, now: MonoTime, as_of: StoreRevision, age: Duration) {
        if as_of != self.replica.as_of() {
            return;
        }
        let at = MonoTime(now.0.saturating_sub(u64::try_from(age.as_micros()).unwrap_or(u64::MAX)));
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// The heartbeat of this instance, with its record or without.
    pub fn heartbeat(&self, now: MonoTime, with_record: bool) -> HeartbeatMessage {
        let this = self.members.this();
        HeartbeatMessage {
            name: this.name.clone(),
            incarnation: this.incarnation,
            record: with_record.then(|| this.clone()),
            is_ready: self.members.is_ready(),
            store_lost: self.store_lost,
            as_of: self.replica.as_of(),
            confirmed_age: self.confirmed_age(now).into(),
            version: self.version,
        }
    }

    /// Whether all watchers that were heard lately say that the store fails them.
    pub fn all_lost(&self, now: MonoTime, watchers: usize) -> bool {
        let names: Vec<&InstanceName> =
            self.homes.iter().take(watchers).map(|home| &home.name).collect();
        let mut heard = self
            .members
            .recent_heartbeats(now)
            .filter(|(_, heartbeat)| names.contains(&&heartbeat.name))
            .peekable();
        heard.peek().is_some() && heard.all(|(_, heartbeat)| heartbeat.store_lost)
    }

    /// The answer to an instance whose replica goes up to a revision.
    pub fn pull_answer(&self, now: MonoTime, after: StoreRevision) -> PullReply {
        let batch = |after: StoreRevision, changes: Vec<StoreChange>| ChangeBatch {
            after,
            as_of: self.replica.as_of(),
            confirmed_age: self.confirmed_age(now).into(),
            changes,
        };
        match self.replica.changes_after(after) {
            Some(changes) if after != StoreRevision(0) => {
                PullReply { after: Some(after), batch: batch(after, changes) }
            }
            _ => PullReply { after: None, batch: batch(StoreRevision(0), self.replica.snapshot()) },
        }
    }
}
