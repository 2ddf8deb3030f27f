//! Teams, and the keys by which callers prove that they belong to one.

use model::{RequestRate, TeamName};
use smol_str::{SmolStr, format_smolstr};
use std::collections::HashMap;
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

/// A secret that callers of one team present with their requests. Neither `Debug` nor any other output
/// shows it.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(SmolStr);

impl ApiKey {
    /// Creates a key; `None` if the text is empty or a header cannot carry it.
    pub fn new(text: &str) -> Option<Self> {
        let is_valid = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic());
        is_valid.then(|| Self(text.into()))
    }

    /// Returns a short hash by which operators recognize the key in logs. The key cannot be computed
    /// from it.
    pub fn fingerprint(&self) -> SmolStr {
        let mut hasher = DefaultHasher::new();
        self.0.hash(&mut hasher);
        // A quarter of the hash: enough to tell keys apart, too little to test guesses of keys.
        format_smolstr!("{:04x}", hasher.finish() & 0xffff)
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ApiKey({})", self.fingerprint())
    }
}

/// The requests of a team that all instances together serve.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamQuota {
    /// Rate of requests.
    pub rate: RequestRate,
    /// Requests that may come at once after an idle time, besides the rate.
    pub burst: f64,
}

/// A team.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamEntry {
    /// Name of the team, unique within a configuration.
    pub name: TeamName,
    /// Priority of the team's requests, in place of that of their routes; 0 is served first.
    pub priority: Option<u8>,
    /// Limit on the team's requests; `None` if there is none.
    pub quota: Option<TeamQuota>,
}

/// Why a team can't be added to a [`TeamTable`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TeamConflict {
    /// Another team has the same name.
    Name(TeamName),
    /// Another team has a key with this fingerprint.
    Key(SmolStr),
}

impl fmt::Display for TeamConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Name(name) => write!(f, "another team has the name {name}"),
            Self::Key(fingerprint) => write!(f, "another team has the key {fingerprint}"),
        }
    }
}

impl std::error::Error for TeamConflict {}

/// The teams of a configuration by name and by key.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct TeamTable {
    teams: HashMap<TeamName, Rc<TeamEntry>>,
    keys: HashMap<ApiKey, Rc<TeamEntry>>,
    /// Highest rate of all quotas.
    highest_rate: f64,
}

impl TeamTable {
    /// Adds a team with its keys. A team without keys serves no callers.
    ///
    /// # Errors
    /// Another team has the name or one of the keys; the table is then incomplete.
    pub fn add(
        &mut self,
        team: TeamEntry,
        keys: impl IntoIterator<Item = ApiKey>,
    ) -> Result<(), TeamConflict> {
        let team = Rc::new(team);
        self.highest_rate = team.quota.map_or(0.0, |quota| quota.rate.0).max(self.highest_rate);
        if self.teams.insert(team.name.clone(), Rc::clone(&team)).is_some() {
            return Err(TeamConflict::Name(team.name.clone()));
        }
        for key in keys {
            let fingerprint = key.fingerprint();
            let earlier = self.keys.insert(key, Rc::clone(&team));
            if earlier.is_some_and(|earlier| earlier.name != team.name) {
                return Err(TeamConflict::Key(fingerprint));
            }
        }
        Ok(())
    }

    /// Returns the team that holds a key.
    pub fn holder(&self, key: &ApiKey) -> Option<&Rc<TeamEntry>> {
        self.keys.get(key)
    }

    /// Returns the weight of a team where teams share what is scarce: the rate of its quota. A team without a
    /// quota weighs as much as the one with the highest.
    pub fn weight(&self, team: &TeamEntry) -> f64 {
        let rate = team.quota.map_or(self.highest_rate, |quota| quota.rate.0);
        if rate > 0.0 { rate } else { 1.0 }
    }

    /// Returns all teams, in no particular order.
    pub fn teams(&self) -> impl ExactSizeIterator<Item = &Rc<TeamEntry>> {
        self.teams.values()
    }
}
