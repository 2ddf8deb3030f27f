//! One pass over the members, which assigns the duties.

use super::state::{HeardState, HeartbeatWait, MemberState};
use crate::home::RankKey;
use crate::record::MemberRecord;
use model::{DataCentre, MonoTime};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of members, by rank, that send heartbeats. If one fails, the next in rank replaces it.
const SENDERS_MIN: usize = 5;
/// Number of members that send heartbeats besides, at most, one for each that was lost lately. With
/// each round of losses twice as many members are checked, so the survivors of a great loss find each
/// other soon.
const SENDERS_AFTER_LOSS_MAX: usize = 40;
/// Time after a loss in which more heartbeats are expected.
const LOSS_PERIOD: Duration = Duration::from_secs(5);
/// Time after a loss in which more heartbeats are sent. Longer than [`LOSS_PERIOD`], as instances notice
/// losses at different times.
const LOSS_SENDING_PERIOD: Duration = Duration::from_secs(8);
/// Number of usable members that a survey ranks at least. Later members do not act by their rank.
const RANKED_MIN: usize = 20;

/// One pass over the members in rank order.
pub(super) struct SurveyWalk {
    pub now: MonoTime,
    /// Number of usable members of each data centre that have a duty.
    pub per_centre: usize,
    /// Usable members still to be found, by data centre.
    pub missing: BTreeMap<DataCentre, usize>,
    /// Members from which heartbeats are expected and that are not unresponsive, and this instance.
    pub senders: usize,
    pub expected: BTreeSet<RankKey>,
    pub usable: Vec<RankKey>,
    /// Usable members before this instance.
    pub rank: Option<usize>,
    /// Whether this instance sends heartbeats because of its rank.
    pub is_sender: bool,
    /// Members that became unresponsive within [`LOSS_PERIOD`].
    pub lost: usize,
    /// The same by data centre.
    pub lost_by_centre: BTreeMap<DataCentre, usize>,
    /// Members that became unresponsive within [`LOSS_SENDING_PERIOD`].
    pub lost_for_sending: usize,
}

impl SurveyWalk {
    pub fn new(now: MonoTime, per_centre: usize, centres: &BTreeMap<DataCentre, usize>) -> Self {
        let missing =
            centres.keys().map(|centre| (centre.clone(), per_centre)).collect::<BTreeMap<_, _>>();
        Self {
            now,
            per_centre,
            missing,
            senders: 0,
            expected: BTreeSet::new(),
            usable: Vec::new(),
            rank: None,
            is_sender: false,
            lost: 0,
            lost_by_centre: BTreeMap::new(),
            lost_for_sending: 0,
        }
    }

    pub fn is_complete(&self) -> bool {
        self.missing.is_empty() && self.usable.len() >= RANKED_MIN.max(self.per_centre)
    }

    pub fn visit_this(&mut self, place: &RankKey, this: &MemberRecord, is_ready: bool) {
        self.rank = Some(self.usable.len());
        let after_loss = self.lost_for_sending.min(SENDERS_AFTER_LOSS_MAX);
        self.is_sender = self.usable.len() < SENDERS_MIN + after_loss;
        if is_ready {
            self.senders += 1;
            self.add_usable(place, &this.data_centre);
        }
    }

    /// Counts a member that is unresponsive, or that it is responsive again.
    pub fn count_loss(&mut self, state: &mut MemberState, is_unresponsive: bool) {
        if !is_unresponsive {
            state.unresponsive_since = None;
            return;
        }
        let lost_for = self.now.since(*state.unresponsive_since.get_or_insert(self.now));
        if lost_for < LOSS_PERIOD {
            self.lost += 1;
            *self.lost_by_centre.entry(state.record.data_centre.clone()).or_default() += 1;
        }
        self.lost_for_sending += usize::from(lost_for < LOSS_SENDING_PERIOD);
    }

    /// Heartbeats are expected from the first [`SENDERS_MIN`] responsive members, more after losses, and
    /// from the first usable ones of each data centre.
    pub fn visit(
        &mut self,
        place: &RankKey,
        state: &mut MemberState,
        heard: Option<&HeardState>,
        wait: HeartbeatWait,
    ) {
        let senders_max = SENDERS_MIN + self.lost.min(SENDERS_AFTER_LOSS_MAX);
        let is_expected =
            self.senders < senders_max || self.missing.contains_key(&state.record.data_centre);
        let is_recent = heard.is_some_and(|heard| heard.is_recent(self.now));
        let is_unresponsive = if is_expected {
            self.expected.insert(place.clone());
            let is_overdue = state.check_overdue(heard.map(|heard| heard.at), wait);
            is_overdue || heard.is_some_and(|heard| heard.is_unresponsive)
        } else {
            state.expect_none();
            state.is_lost && !is_recent
        };
        self.count_loss(state, is_unresponsive);
        self.senders += usize::from(!is_unresponsive);
        let reports_ready = heard.is_none_or(|heard| heard.message.is_ready);
        if !is_unresponsive && reports_ready {
            self.add_usable(place, &state.record.data_centre);
        }
    }

    pub fn add_usable(&mut self, place: &RankKey, centre: &DataCentre) {
        self.usable.push(place.clone());
        if let Some(missing) = self.missing.get_mut(centre) {
            *missing -= 1;
            if *missing == 0 {
                self.missing.remove(centre);
            }
        }
    }
}
