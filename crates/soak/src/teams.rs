//! Teams of the callers in a run, and checks of what their requests do at the servers: the team's name, quotas,
//! evacuated data centres and cold servers.

use rand::RngExt;
use rand::rngs::SmallRng;
use smol_str::SmolStr;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// Window of the quota, and the requests of the limited team that it may have: 20 a second and 10 besides, a
/// tenth more, and 20.
const QUOTA_WINDOW: Duration = Duration::from_secs(5);
const QUOTA_REQUESTS: usize = 141;
/// Requests that a cold server may get in a second: six, half as many more, and eight.
const COLD_REQUESTS: usize = 17;

/// Team of a caller's request. The id of the request ends with its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerTeam {
    /// Without a quota.
    Red,
    /// With a quota below its demand.
    Blue,
    /// A key that no team holds.
    Nobody,
}

impl CallerTeam {
    /// Draws the team of a request.
    pub fn draw(random: &mut SmallRng) -> Self {
        match random.random_range(0..100) {
            0..70 => Self::Red,
            70..95 => Self::Blue,
            _ => Self::Nobody,
        }
    }

    /// Returns the name, with which ids of requests end.
    pub fn name(self) -> &'static str {
        match self {
            Self::Red => "red",
            Self::Blue => "blue",
            Self::Nobody => "nobody",
        }
    }

    /// Returns the key that the caller presents.
    pub fn key(self) -> String {
        format!("soak-{}", self.name())
    }

    /// Returns the team of a request; `None` for requests on public routes.
    fn of(id: &str) -> Option<Self> {
        [Self::Red, Self::Blue, Self::Nobody].into_iter().find(|team| id.ends_with(team.name()))
    }

    /// Whether refusals of a request may be due to its team.
    pub fn is_limited(id: &str) -> bool {
        matches!(Self::of(id), Some(Self::Blue | Self::Nobody))
    }
}

#[derive(Debug)]
struct ColdServer {
    until: Instant,
    arrivals: Vec<Instant>,
}

/// Observations of teams, cold servers and evacuated data centres.
#[derive(Debug, Default)]
pub struct TeamWatch {
    /// When requests of the limited team first ran. Hedges of a request count as one.
    limited_runs: Vec<Instant>,
    limited_ids: HashSet<SmolStr>,
    cold: HashMap<SmolStr, ColdServer>,
    /// Since when data centres are evacuated.
    evacuated: HashMap<SmolStr, Instant>,
}

fn most_within(times: &[Instant], window: Duration) -> usize {
    let count =
        |start: Instant| times.iter().filter(|at| (start..start + window).contains(*at)).count();
    times.iter().map(|start| count(*start)).max().unwrap_or(0)
}

impl TeamWatch {
    /// Records that a request runs with a team header, and whether it has a key. Returns a violation.
    pub fn record_run(&mut self, id: &str, team: &str, has_key: bool) -> Option<String> {
        let expected = CallerTeam::of(id);
        if expected == Some(CallerTeam::Blue) && self.limited_ids.insert(id.into()) {
            self.limited_runs.push(Instant::now());
        }
        let name = expected.map_or("", CallerTeam::name);
        let is_wrong = has_key || team != name || expected == Some(CallerTeam::Nobody);
        is_wrong.then(|| format!("request {id} ran for team {team:?}, key passed on: {has_key}"))
    }

    /// Records that a server starts cold.
    pub fn record_cold(&mut self, server: &str, period: Duration) {
        let cold = ColdServer { until: Instant::now() + period, arrivals: Vec::new() };
        self.cold.insert(server.into(), cold);
    }

    /// Records that a request reached a server.
    pub fn record_arrival(&mut self, server: &str) {
        let now = Instant::now();
        if let Some(cold) = self.cold.get_mut(server).filter(|cold| now < cold.until) {
            cold.arrivals.push(now);
        }
    }

    /// Records that a data centre is evacuated, or taken back.
    pub fn record_evacuation(&mut self, centre: &str, is_evacuated: bool) {
        match is_evacuated {
            true => self.evacuated.insert(centre.into(), Instant::now()),
            false => self.evacuated.remove(centre),
        };
    }

    /// Since when a data centre is evacuated.
    pub fn evacuated_at(&self, centre: &str) -> Option<Instant> {
        self.evacuated.get(centre).copied()
    }

    /// Returns the violations that show over the whole run.
    pub fn violations(&self) -> Vec<String> {
        let most = most_within(&self.limited_runs, QUOTA_WINDOW);
        let quota = (most > QUOTA_REQUESTS).then(|| {
            format!("{most} requests of a team within {QUOTA_WINDOW:?}, {QUOTA_REQUESTS} allowed")
        });
        let cold = self.cold.iter().filter_map(|(server, cold)| {
            let most = most_within(&cold.arrivals, Duration::from_secs(1));
            (most > COLD_REQUESTS).then(|| {
                format!(
                    "cold server {server} got {most} requests in a second, {COLD_REQUESTS} allowed"
                )
            })
        });
        quota.into_iter().chain(cold).collect()
    }
}
