//! Quotas of teams over all instances, each an account of [`crate::shared_rate`].

use crate::shared_rate::{AccountUse, PeerRegister, SharedAccount, SharedLimit};
use model::{IncarnationId, InstanceName, MonoTime, TeamName};
use std::collections::HashMap;
use std::time::Duration;

/// A request beyond its team's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaRefusal {
    /// Time after which the caller should return.
    pub retry_after: Duration,
}

/// One team's use of its quota at one instance.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamUse {
    /// The team.
    pub team: TeamName,
    /// The use.
    pub usage: AccountUse,
}

/// The quotas of all teams, as this instance sees them.
#[derive(Debug, Clone, Default)]
pub struct QuotaLedger {
    accounts: HashMap<TeamName, SharedAccount>,
    register: PeerRegister,
    /// Whether the others should hear at once what was spent.
    has_news: bool,
    /// Whether accounts that are added start with a full burst.
    starts_full: bool,
}

impl QuotaLedger {
    /// Creates a ledger without accounts. `starts_full` tells that nobody used the quotas before, as
    /// when the whole fleet starts for the first time.
    pub fn new(starts_full: bool) -> Self {
        Self { starts_full, ..Self::default() }
    }

    /// Puts the limits of a configuration in force. A team that had a limit keeps its account; the
    /// accounts of other teams are dropped.
    pub fn set_limits(&mut self, now: MonoTime, limits: HashMap<TeamName, SharedLimit>) {
        self.accounts.retain(|team, _| limits.contains_key(team));
        for (team, limit) in limits {
            match self.accounts.get_mut(&team) {
                Some(account) => account.set_limit(now, limit),
                None => {
                    let account = SharedAccount::new(now, limit, self.starts_full);
                    self.accounts.insert(team, account);
                }
            }
        }
        // A team that is added later was not served before.
        self.starts_full = true;
    }

    /// Whether no team has a limit.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Takes a token of a team's quota for a request.
    ///
    /// # Errors
    /// The request is beyond the quota.
    pub fn admit(&mut self, now: MonoTime, team: &TeamName) -> Result<(), QuotaRefusal> {
        let Some(account) = self.accounts.get_mut(team) else {
            return Ok(());
        };
        let admitted = account.admit(now).map_err(|retry_after| QuotaRefusal { retry_after });
        self.has_news |= account.has_news();
        admitted
    }

    /// Whether the others should hear at once what was spent, before the next regular report.
    pub fn has_news(&self) -> bool {
        self.has_news
    }

    /// Gives back the token of a request that did not run.
    pub fn give_back(&mut self, now: MonoTime, team: &TeamName) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.give_back(now);
        }
    }

    /// Recomputes the parts that this instance may use. `expected` are the other instances that should
    /// report their use, `others_min` how many others exist at least, known by name or not. Must be called
    /// several times a second.
    pub fn share(&mut self, now: MonoTime, expected: Vec<InstanceName>, others_min: usize) {
        self.register.expect(expected, others_min);
        self.has_news = false;
        for account in self.accounts.values_mut() {
            account.share(now, &self.register);
        }
    }

    /// Returns this instance's use of the quotas, for reports to the others.
    pub fn own_uses(&self, now: MonoTime) -> Vec<TeamUse> {
        let own = |(team, account): (&TeamName, &SharedAccount)| {
            Some(TeamUse { team: team.clone(), usage: account.own_use(now)? })
        };
        self.accounts.iter().filter_map(own).collect()
    }

    /// Records the report of another instance.
    pub fn record_peer(
        &mut self,
        now: MonoTime,
        peer: &InstanceName,
        incarnation: IncarnationId,
        uses: Vec<TeamUse>,
    ) {
        let index = self.register.record(now, peer);
        for TeamUse { team, usage } in uses {
            if let Some(account) = self.accounts.get_mut(&team) {
                account.record_use(now, index, incarnation, usage);
            }
        }
    }

    /// Returns the instances with a current report.
    pub fn reporters(&self, now: MonoTime) -> impl Iterator<Item = &InstanceName> {
        self.register.current(now)
    }

    /// Returns the account of a team; `None` if it has no limit.
    pub fn account(&self, team: &TeamName) -> Option<&SharedAccount> {
        self.accounts.get(team)
    }
}
