//! Teams of callers: which team a request belongs to, by its key, and whether the team's quota admits it.

use crate::serve::RequestRejection;
use crate::state::GatewayState;
use balance::{QuotaRefusal, SharedAccount, SharedLimit, TeamShare};
use fleet::team_tag;
use http::{HeaderMap, HeaderValue, StatusCode};
use model::{MonoTime, TeamName};
use routing::{ApiKey, RouteEntry, RouteTable, TeamEntry, TeamTable};
use smol_str::format_smolstr;
use std::collections::HashMap;
use std::rc::Rc;

/// Returns the team that a request belongs to; `None` if its route needs no key.
///
/// # Errors
/// The request has no key, several, or one that no team holds.
pub(crate) fn authenticate(
    state: &GatewayState,
    table: &RouteTable,
    route: &RouteEntry,
    headers: &HeaderMap,
) -> Result<Option<Rc<TeamEntry>>, RequestRejection> {
    let Some(teams) = table.teams.as_ref().filter(|_| !route.is_public) else {
        return Ok(None);
    };
    let reject = |text| Err(RequestRejection::new(StatusCode::UNAUTHORIZED, text));
    let mut values = headers.get_all(&state.binding.headers().api_key).iter();
    let (Some(value), None) = (values.next(), values.next()) else {
        return reject("exactly one key is required");
    };
    let Some(key) = value.to_str().ok().and_then(ApiKey::new) else {
        return reject("the key is malformed");
    };
    match teams.holder(&key) {
        Some(team) => Ok(Some(Rc::clone(team))),
        None => {
            state.log_input_fault("key_unknown", &format_smolstr!("{}", key.fingerprint()));
            reject("the key is unknown")
        }
    }
}

/// Returns the share of a team where teams compete for what is scarce.
pub(crate) fn team_share(table: &RouteTable, team: &TeamEntry) -> TeamShare {
    let weight = table.teams.as_ref().map_or(1.0, |teams| teams.weight(team));
    TeamShare { team: team.name.clone(), weight }
}

/// Removes the key and any name of a team from the headers of a request, and adds the team's own name.
/// Changes nothing if the configuration has no teams.
pub(crate) fn replace_team_headers(
    state: &GatewayState,
    table: &RouteTable,
    team: Option<&TeamEntry>,
    headers: &mut HeaderMap,
) {
    if table.teams.is_none() {
        return;
    }
    let names = state.binding.headers();
    headers.remove(&names.api_key);
    headers.remove(&names.team);
    // The characters of a name are valid in a header.
    let value = team.and_then(|team| HeaderValue::from_str(team.name.as_str()).ok());
    if let Some(value) = value {
        headers.insert(names.team.clone(), value);
    }
}

/// The token of a team's quota that a request holds. [`close`](Self::close) keeps it as used or gives it
/// back; a request whose caller disconnects keeps it.
pub(crate) struct QuotaToken(Option<TeamName>);

impl QuotaToken {
    /// Takes a token of the team's quota, if it has one.
    ///
    /// # Errors
    /// The request is beyond the quota.
    pub fn take(state: &GatewayState, team: Option<&TeamEntry>) -> Result<Self, QuotaRefusal> {
        let Some(team) = team else {
            return Ok(Self(None));
        };
        let mut quotas = state.quotas.borrow_mut();
        let had_news = quotas.has_news();
        let admitted = quotas.admit(state.now(), &team.name);
        if quotas.has_news() && !had_news {
            state.quota_wakeup.notify_one();
        }
        drop(quotas);
        state.metrics.team_request(&team.name, if admitted.is_ok() { "admitted" } else { "quota" });
        admitted.map(|()| Self(Some(team.name.clone())))
    }

    /// Gives the token back if the request did not run.
    pub fn close(self, state: &GatewayState, has_run: bool) {
        if let Some(team) = self.0.filter(|_| !has_run) {
            state.quotas.borrow_mut().give_back(state.now(), &team);
            state.metrics.team_request(&team, "given_back");
        }
    }
}

/// Logs the limits that a configuration changes; those of new teams are in the configuration.
fn log_changed_limits(state: &GatewayState, limits: &HashMap<TeamName, SharedLimit>) {
    let quotas = state.quotas.borrow();
    for (team, limit) in limits {
        let earlier = quotas.account(team).map(SharedAccount::limit);
        if let Some(earlier) = earlier.filter(|earlier| earlier != limit) {
            let (from, to) = (earlier.rate, limit.rate);
            let (from_burst, to_burst) = (earlier.burst, limit.burst);
            let detail =
                format_smolstr!("{team}: from {from}/s and {from_burst} to {to}/s and {to_burst}");
            state.log.state("quota", &detail);
        }
    }
}

/// The teams of the configuration in force by the tags that reports use.
pub(crate) type TeamTags = HashMap<u32, TeamName>;

/// Puts the quotas of a configuration in force.
pub(crate) fn apply_quotas(state: &GatewayState, now: MonoTime, teams: Option<&TeamTable>) {
    let window = state.settings().quota_window;
    let limited = |team: &Rc<TeamEntry>| {
        let quota = team.quota?;
        let limit = SharedLimit { rate: quota.rate, burst: quota.burst, window };
        Some((team.name.clone(), limit))
    };
    let limits: HashMap<TeamName, SharedLimit> =
        teams.into_iter().flat_map(TeamTable::teams).filter_map(limited).collect();
    let tags = limits.keys().map(|team| (team_tag(team), team.clone())).collect();
    state.team_tags.replace(tags);
    let is_limited = !limits.is_empty();
    log_changed_limits(state, &limits);
    state.quotas.borrow_mut().set_limits(now, limits);
    if is_limited {
        state.quota_wakeup.notify_one();
    }
}
