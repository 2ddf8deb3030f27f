//! Checks that servers' notices are heeded: that they leave, and that they want no requests for a time.
//! A notice binds the process of the gateway that received it.

use smol_str::SmolStr;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time after a gateway passed on that a server leaves in which requests that callers send to the gateway
/// may still reach the server.
const LEAVING_DELAY_MAX: Duration = Duration::from_secs(2);
/// Time after a refusal from which few requests may reach the server.
const QUIET_DELAY: Duration = Duration::from_millis(500);
/// Requests that may reach a server from one gateway within the rest of the time it asked for.
const QUIET_REQUESTS_MAX: usize = 2;

/// One process of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct GatewayProcess {
    /// Index of the gateway in the fleet.
    pub index: usize,
    /// How often the gateway had been started.
    pub start_count: u64,
}

#[derive(Debug)]
struct QuietPeriod {
    begin: Instant,
    end: Instant,
    arrivals: usize,
}

type NoticeKey = (SmolStr, GatewayProcess);

/// The notices of a run, and the requests that came after them.
#[derive(Debug, Default)]
pub struct NoticeWatch {
    /// To which gateway each request was sent, and when.
    sent: HashMap<SmolStr, (GatewayProcess, Instant)>,
    leaving: HashMap<NoticeKey, Instant>,
    quiet: HashMap<NoticeKey, QuietPeriod>,
    frozen: HashMap<usize, Instant>,
    /// Until when a server's responses may be lost or late.
    disturbed: HashMap<SmolStr, Instant>,
}

impl NoticeWatch {
    /// Records that a caller sends a request to a gateway.
    pub fn record_sent(&mut self, id: &str, gateway: GatewayProcess) {
        self.sent.insert(id.into(), (gateway, Instant::now()));
    }

    /// Records that a gateway stands still or goes on, which excuses what it does not heed.
    pub fn record_freeze(&mut self, index: usize) {
        self.frozen.insert(index, Instant::now());
    }

    /// Records that a server's responses may be lost or late for a time.
    pub fn record_disturbance(&mut self, server: &str, period: Duration) {
        self.disturbed.insert(server.into(), Instant::now() + period + QUIET_DELAY);
    }

    /// Records that a gateway passed on that a server leaves.
    pub fn record_leaving(&mut self, server: &str, gateway: GatewayProcess) {
        self.leaving.entry((server.into(), gateway)).or_insert_with(Instant::now);
    }

    /// Records that a server refuses a request and wants none for `period`.
    pub fn record_quiet(&mut self, server: &str, id: &str, period: Duration) {
        let Some((gateway, _)) = self.sent.get(id) else {
            return;
        };
        let now = Instant::now();
        let key = (server.into(), *gateway);
        if let Some(quiet) = self.quiet.get_mut(&key).filter(|quiet| now <= quiet.end) {
            quiet.end = now + period;
            return;
        }
        let quiet = QuietPeriod { begin: now + QUIET_DELAY, end: now + period, arrivals: 0 };
        self.quiet.insert(key, quiet);
    }

    /// Records that a request reached a server. Returns a notice that was not heeded.
    pub fn record_arrival(&mut self, server: &str, id: &str) -> Option<String> {
        let now = Instant::now();
        let (gateway, sent_at) = *self.sent.get(id)?;
        let key = (SmolStr::new(server), gateway);
        let frozen_at = self.frozen.get(&gateway.index).copied();
        let left_at = self.leaving.get(&key).filter(|at| frozen_at.is_none_or(|it| it < **at));
        if left_at.is_some_and(|at| sent_at > *at + LEAVING_DELAY_MAX) {
            return Some(format!(
                "request {id} reached server {server} through {gateway:?}, which had passed on that it \
                 leaves"
            ));
        }
        let quiet = self.quiet.get_mut(&key)?;
        let refused_at = quiet.begin - QUIET_DELAY;
        let is_excused = [frozen_at, self.disturbed.get(server).copied()]
            .into_iter()
            .flatten()
            .any(|excused_until| excused_until > refused_at);
        if is_excused || now < quiet.begin || now > quiet.end {
            return None;
        }
        quiet.arrivals += 1;
        (quiet.arrivals == QUIET_REQUESTS_MAX + 1).then(|| {
            format!(
                "server {server} got {} requests from {gateway:?} in a time in which it wanted none",
                quiet.arrivals
            )
        })
    }
}
