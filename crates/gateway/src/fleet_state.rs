//! The instance's view of the fleet: the replica of the store, the members, and the homes and
//! health checkers chosen among them.

use crate::settings_file::GatewaySettings;
use balance::ReachPlan;
use fleet::{
    ChangeBatch, ChangeOrigin, ConfirmationRecord, FleetSurvey, HeardHeartbeat, HeartbeatMessage,
    HomePolicy, LoadRow, MemberRecord, MemberTable, PullReply, RelayView, StoreChange,
    StoreReplica, WatcherContact, homes_digest, server_tag,
};
use model::{
    ConfigVersion, DataCentre, IncarnationId, InstanceName, MonoTime, ServerKey, StoreEra,
    StoreRevision,
};
use smol_str::SmolStr;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Age of a confirmation by the store up to which the store counts as available.
const STORE_CONFIRMED_AGE_MAX: Duration = Duration::from_millis(1_300);

/// Time for which a removed server is remembered. The copies from which a store comes back are some seconds
/// old.
const GONE_TTL: Duration = Duration::from_secs(60);

/// The homes that receive load reports on servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LoadReach {
    /// Those in this data centre and those elsewhere that are guests of the servers.
    All,
    /// Those in this data centre; like `All` if it has none.
    Near,
}

/// What the value of a store key named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum NamedRecord {
    Server(ServerKey),
    Member(InstanceName),
    Evacuation(DataCentre),
}

/// The servers and members that the replica's values name, by store key.
#[derive(Default)]
pub(crate) struct DecodedRecords {
    named: HashMap<SmolStr, NamedRecord>,
    /// The store's record of this instance.
    pub this: Option<MemberRecord>,
    /// The servers by the tags that load reports use.
    pub tags: HashMap<u32, ServerKey>,
}

impl DecodedRecords {
    /// Removes what a key named, and returns it.
    pub fn remove(&mut self, key: &str) -> Option<NamedRecord> {
        let removed = self.named.remove(key)?;
        if let NamedRecord::Server(server) = &removed {
            self.tags.remove(&server_tag(&server.name, server.incarnation));
        }
        Some(removed)
    }

    /// Whether some key names this.
    pub fn names(&self, record: &NamedRecord) -> bool {
        self.named.values().any(|named| named == record)
    }

    /// Inserts the server that a key names.
    pub fn insert_server(&mut self, key: SmolStr, server: ServerKey) {
        self.tags.insert(server_tag(&server.name, server.incarnation), server.clone());
        self.named.insert(key, NamedRecord::Server(server));
    }

    /// Inserts the data centre that a key evacuates.
    pub fn insert_evacuation(&mut self, key: SmolStr, centre: DataCentre) {
        self.named.insert(key, NamedRecord::Evacuation(centre));
    }

    /// Inserts the member that a key names.
    pub fn insert_member(&mut self, key: SmolStr, name: InstanceName) {
        self.named.insert(key, NamedRecord::Member(name));
    }
}

/// The instance's view of the fleet.
pub(crate) struct FleetState {
    pub replica: StoreReplica,
    pub records: DecodedRecords,
    pub members: MemberTable,
    /// When the store confirmed, to this instance or to one that reported it, that the replica is the
    /// newest state.
    confirmations: ConfirmationRecord,
    /// Whether the store has confirmed a replica with records since this process started. Instances that never had a
    /// confirmation report the longest age, and empty replicas are alike, so both count as confirmations above.
    pub is_confirmed_since_start: bool,
    /// When a first snapshot of the store, possibly out of date, was read.
    pub snapshot_at: Option<MonoTime>,
    /// Whether this instance's own calls to the store fail.
    pub store_lost: bool,
    /// Whether this instance watches the store.
    pub is_watching: bool,
    /// When a call of this instance to the store last failed.
    pub store_failed_at: Option<MonoTime>,
    /// Version of the configuration in force.
    pub version: ConfigVersion,
    /// Servers whose records vanished while the store was failing, and since when.
    pub vanished: HashMap<ServerKey, MonoTime>,
    /// Servers that were removed within [`GONE_TTL`].
    gone: HashMap<ServerKey, MonoTime>,
    /// Era of the records in use; `None` before the first snapshot.
    era: Option<StoreEra>,
    /// Era of the replica, whose records may not be in use yet.
    noticed_era: Option<StoreEra>,
    /// When the store came back older, if it did so in this run.
    returned_at: Option<MonoTime>,
    survey: FleetSurvey,
    /// Since when another instance has been ahead of the replica.
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
            members: MemberTable::new(this),
            confirmations: ConfirmationRecord::default(),
            is_confirmed_since_start: false,
            snapshot_at: None,
            store_lost: false,
            is_watching: false,
            store_failed_at: None,
            version: ConfigVersion(0),
            vanished: HashMap::new(),
            gone: HashMap::new(),
            era: None,
            noticed_era: None,
            returned_at: None,
            survey: FleetSurvey::default(),
            behind_since: None,
        }
    }

    /// Recomputes the homes and the other members with a duty. Returns whether the homes changed.
    pub fn refresh(&mut self, now: MonoTime, policy: HomePolicy, servers: usize) -> bool {
        let home_count = policy.home_count(servers, self.members.centre_count());
        let survey = self.members.survey(now, home_count);
        let changed = survey.homes != self.survey.homes;
        self.survey = survey;
        self.replica.set_pulled_from(self.is_sender());
        changed
    }

    /// Raises the incarnation above the one registered in the store, even if the clock has gone
    /// back since.
    pub fn supersede_registered_incarnation(&mut self) {
        if let Some(registered) = self.members.registered_incarnation() {
            self.members.supersede(registered);
        }
    }

    /// The homes in the order of their ranking.
    pub fn homes(&self) -> &[MemberRecord] {
        &self.survey.homes
    }

    /// Digest of the homes' names, by which instances compare their views.
    fn homes_digest(&self) -> u32 {
        homes_digest(self.homes().iter().map(|home| &home.name))
    }

    /// Whether all ready instances that are heard name the same homes. `false` if others are known and
    /// none of them is heard: they may have chosen other homes.
    pub fn is_view_agreed(&self, now: MonoTime) -> bool {
        let own = self.homes_digest();
        let heard = self.members.recent_heartbeats(now).map(|(_, heartbeat)| heartbeat);
        let mut ready = heard.filter(|heartbeat| heartbeat.is_ready).peekable();
        let is_alone = self.members.member_count() == 1;
        is_alone || (ready.peek().is_some() && ready.all(|heartbeat| heartbeat.homes == own))
    }

    /// Rank of this instance among the homes, from 0; `None` if it is not a home.
    pub fn home_rank(&self) -> Option<usize> {
        let name = &self.members.this().name;
        self.homes().iter().position(|home| home.name == *name)
    }

    /// Rank of this instance among the usable members, from 0.
    pub fn rank(&self) -> usize {
        self.survey.rank
    }

    /// Whether this instance sends heartbeats periodically.
    pub fn is_sender(&self) -> bool {
        self.is_watching || self.survey.is_sender(self.members.this())
    }

    /// Whether this instance checks the servers of its data centre for all homes.
    pub fn is_health_checker(&self) -> bool {
        self.relay_view().is_health_checker()
    }

    fn relay_view(&self) -> RelayView<'_> {
        RelayView {
            this: self.members.this(),
            homes: &self.survey.homes,
            health_checkers: &self.survey.health_checkers,
        }
    }

    /// Whether a data centre has a home.
    pub fn has_home_in(&self, centre: &DataCentre) -> bool {
        self.homes().iter().any(|home| home.data_centre == *centre)
    }

    /// Returns the load reports on servers of this data centre that each other home receives: the homes
    /// of this data centre all of them, those elsewhere the ones on servers whose guests they are.
    pub fn addressed_reports(
        &self,
        rows: &[LoadRow],
        reach: LoadReach,
        plan: &ReachPlan,
    ) -> Vec<(SocketAddr, Vec<LoadRow>)> {
        let this = self.members.this();
        let is_remote_due = reach == LoadReach::All || !self.has_home_in(&this.data_centre);
        let mut guest_rows: HashMap<&InstanceName, Vec<LoadRow>> = HashMap::new();
        for row in rows.iter().filter(|_| is_remote_due) {
            let Some(server) = self.records.tags.get(&row.server) else {
                continue;
            };
            for guest in plan.guests(&server.name, &this.data_centre) {
                guest_rows.entry(guest).or_default().push(*row);
            }
        }
        let mut addressed = Vec::new();
        for home in self.homes().iter().filter(|home| home.name != this.name) {
            if home.data_centre == this.data_centre {
                addressed.push((home.datagram_address, rows.to_vec()));
            } else if let Some(rows) = guest_rows.remove(&home.name) {
                addressed.push((home.datagram_address, rows));
            }
        }
        addressed
    }

    /// Datagram addresses of the instances to which this one sends its heartbeats: all others, or in a
    /// large fleet those that have a duty and pass them on.
    pub fn heartbeat_targets(&self) -> Vec<SocketAddr> {
        if self.has_direct_heartbeats() {
            return self.members.others().map(|record| record.datagram_address).collect();
        }
        self.survey.heartbeat_targets.clone()
    }

    /// Datagram addresses of the instances to which this one passes on heartbeats.
    pub fn relayed_heartbeat_targets(&self) -> Vec<SocketAddr> {
        let this = self.members.this();
        if !self.survey.is_centre_relay(this) {
            return Vec::new();
        }
        let is_target = |member: &&MemberRecord| {
            member.data_centre == this.data_centre && !self.survey.is_relay(member)
        };
        self.members.others().filter(is_target).map(|member| member.datagram_address).collect()
    }

    /// Heartbeats to pass on: this instance's own and those it received lately.
    pub fn relayed_heartbeats(&self, now: MonoTime) -> Vec<HeardHeartbeat> {
        let own = HeardHeartbeat::now(self.heartbeat(now, false));
        std::iter::once(own).chain(self.members.relayed_heartbeats(now)).collect()
    }

    /// Datagram addresses of the instances to which this one relays a change of the store.
    pub fn change_targets(&self, origin: ChangeOrigin) -> Vec<SocketAddr> {
        let view = self.relay_view();
        let targets = self.members.others().filter(|member| view.is_target(member, origin));
        targets.map(|member| member.datagram_address).collect()
    }

    /// Peer addresses of instances that are ahead of the replica; any one of them can supply the
    /// changes.
    pub fn pull_sources(&mut self, now: MonoTime) -> Vec<SocketAddr> {
        let ahead = self.members.ahead_of(now, self.replica.as_of());
        if ahead.is_empty() {
            self.behind_since = None;
            return Vec::new();
        }
        let since = *self.behind_since.get_or_insert(now);
        self.relay_view().pull_sources(&ahead, now.since(since))
    }

    /// When the store last confirmed the replica; `None` if it never did.
    pub fn confirmed_at(&self) -> Option<MonoTime> {
        self.confirmations.confirmed_at()
    }

    /// Time since the store last confirmed the replica; [`Duration::MAX`] if it never did.
    pub fn confirmed_age(&self, now: MonoTime) -> Duration {
        self.confirmed_at().map_or(Duration::MAX, |at| now.since(at))
    }

    /// Until when the owner of a record that vanishes now may live: the record expired during an outage of
    /// the store, or the store came back older, and the owner writes it again within `period`. `None` if
    /// the owner is gone.
    pub fn may_live_until(&self, now: MonoTime, period: Duration) -> Option<MonoTime> {
        let after_return = self.returned_at.map(|at| at.plus(period)).filter(|until| now < *until);
        after_return.max(self.confirmations.may_live_until(now, period))
    }

    /// Records that a call to the store failed, at this instance or at one that reported it.
    pub fn record_store_failure(&mut self, at: MonoTime) {
        self.confirmations.record_failure(at);
    }

    /// Notices a new era of the store. Must come before a confirmation in it is recorded, since the store
    /// came back after the last contact in the era before.
    fn notice_era(&mut self, now: MonoTime) {
        let era = self.replica.as_of().era();
        if self.noticed_era.is_some_and(|earlier| earlier < era) {
            self.returned_at = Some(self.confirmations.returned_at(now));
        }
        self.noticed_era = Some(era);
    }

    /// Records the era of the replica. Returns whether the store came back from an older copy: the changes
    /// that led to this era undo what was written since the copy.
    pub fn record_era(&mut self, now: MonoTime) -> bool {
        self.notice_era(now);
        let era = self.replica.as_of().era();
        self.era.replace(era).is_some_and(|earlier| earlier < era)
    }

    /// Records that a server was removed.
    pub fn record_gone(&mut self, now: MonoTime, key: ServerKey) {
        self.gone.retain(|_, since| now.since(*since) <= GONE_TTL);
        self.gone.insert(key, now);
    }

    /// Whether a server was removed a short time ago. A record of it that was written since says otherwise.
    pub fn is_gone(&self, now: MonoTime, key: &ServerKey) -> bool {
        self.gone.get(key).is_some_and(|since| now.since(*since) <= GONE_TTL)
    }

    /// Forgets that a server was removed.
    pub fn forget_gone(&mut self, key: &ServerKey) {
        self.gone.remove(key);
    }

    /// Records that the store confirmed revision `as_of` `age` ago. Ignored unless the replica is
    /// at that revision.
    pub fn confirm(&mut self, now: MonoTime, as_of: StoreRevision, age: Duration) {
        if as_of != self.replica.as_of() {
            return;
        }
        self.notice_era(now);
        self.confirmations.record(now, now.before(age));
        let is_since_start = age < now.since(MonoTime(0));
        self.is_confirmed_since_start |= is_since_start && as_of != StoreRevision(0);
    }

    /// Whether the store has confirmed the replica to other instances since this instance's own call
    /// failed.
    pub fn is_confirmed_by_others(&self, now: MonoTime) -> bool {
        let is_newer = self.confirmed_at() > self.store_failed_at;
        self.store_lost && is_newer && self.confirmed_age(now) < STORE_CONFIRMED_AGE_MAX
    }

    /// Builds a heartbeat of this instance.
    pub fn heartbeat(&self, now: MonoTime, with_record: bool) -> HeartbeatMessage {
        let this = self.members.this();
        HeartbeatMessage {
            name: this.name.clone(),
            incarnation: this.incarnation,
            record: with_record.then(|| this.clone()),
            is_ready: self.members.is_ready(),
            store_lost: self.store_lost && self.is_watching,
            as_of: self.replica.as_of(),
            confirmed_age: self.confirmed_age(now).into(),
            version: self.version,
            homes: self.homes_digest(),
        }
    }

    /// Whether heartbeats come from their senders, as in a small fleet, not through relays.
    pub fn has_direct_heartbeats(&self) -> bool {
        self.survey.centre_relays.is_empty()
    }

    /// What this instance hears from the watchers, the first homes. At the start others have yet to hear of
    /// it, so silence says nothing before the first confirmation; nor does that of relays.
    pub fn watcher_contact(&self, now: MonoTime, watchers: usize) -> WatcherContact {
        let names: Vec<&InstanceName> =
            self.homes().iter().take(watchers).map(|home| &home.name).collect();
        let mut recent = self
            .members
            .recent_heartbeats(now)
            .filter(|(_, heartbeat)| names.contains(&&heartbeat.name))
            .peekable();
        if recent.peek().is_none() {
            let says_something = self.is_confirmed_since_start && self.has_direct_heartbeats();
            return if says_something { WatcherContact::Silent } else { WatcherContact::Heard };
        }
        match recent.all(|(_, heartbeat)| heartbeat.store_lost) {
            true => WatcherContact::Lost,
            false => WatcherContact::Heard,
        }
    }

    /// Builds the reply to an instance whose replica is at revision `after`: the changes since
    /// then, or a snapshot if they are not available.
    pub fn pull_reply(&self, now: MonoTime, after: StoreRevision) -> PullReply {
        let batch = |after: StoreRevision, changes: Vec<StoreChange>| ChangeBatch {
            after,
            as_of: self.replica.as_of(),
            confirmed_age: self.confirmed_age(now).into(),
            changes,
        };
        match self.replica.changes_after(after) {
            Some(changes) if self.has_changes_after(after) => {
                let single_after = self.replica.single_after(after);
                PullReply { after: Some(after), batch: batch(single_after, changes) }
            }
            _ => PullReply { after: None, batch: batch(StoreRevision(0), self.replica.snapshot()) },
        }
    }

    /// Whether the effect of the changes after a revision is known.
    pub fn has_changes_after(&self, after: StoreRevision) -> bool {
        after != StoreRevision(0) && self.replica.reaches_back_to(after)
    }
}
