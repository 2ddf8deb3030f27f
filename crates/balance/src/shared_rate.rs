//! A rate that all instances use together, such as the quota of a team.
//!
//! Answers this load: the requests of one account arrive at several instances at once, in shares that
//! shift within fractions of a second, and at up to many times the rate. No instance asks another one
//! before it admits a request. Each estimates the tokens that the whole fleet has left, from its own
//! requests and from the counts that the others report several times a second. While plenty are left it
//! admits freely; then it uses its part of what comes in, by its part of the demand. What several
//! instances admitted too much before they heard of each other remains as a debt, so errors do not add
//! up.

use crate::demand::DecayedRate;
use model::{IncarnationId, InstanceName, MonoTime, RequestRate, bounded_duration};
use std::collections::VecDeque;
use std::time::Duration;

/// Age up to which an instance's report counts as current; three reports are missing by then.
const REPORT_AGE_MAX: Duration = Duration::from_millis(800);
/// Time after which a silent instance is forgotten. Its part stays reserved that long if most others are
/// silent too: this instance is probably cut off with a few others then, and the rest of the fleet uses the
/// parts of the silent ones. Otherwise its part stays reserved for a window, in which it may still serve
/// callers that only it reaches.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(30);
/// Multiple of its latest demand that is reserved for a silent instance at most: its callers may send more by now,
/// and those of others may have moved to it.
const RESERVED_DEMAND_FACTOR: f64 = 2.0;
/// Fraction of the burst above which requests are admitted freely. The rest covers what other instances
/// admit before they report it.
const FREE_FRACTION: f64 = 0.5;
/// Fraction of a full account that, once spent, is reported at once.
const NEWS_FRACTION: f64 = 0.08;
/// Part of the rate that an instance without demand counts with, so that its first requests find tokens.
const IDLE_DEMAND_RATIO: f64 = 0.01;
/// Smallest number of tokens of a full account, so that a small team's callers may come together.
const CAPACITY_MIN: f64 = 8.0;
/// Time after the start of a process in which it admits no request beyond its part: it does not know yet
/// what the others spend.
const LEARNING_PERIOD: Duration = Duration::from_secs(1);
/// Period whose tokens the fleet may owe at most. A greater debt, as after a partition, would only turn
/// away callers for what others used.
const DEBT_PERIOD: Duration = Duration::from_secs(1);
/// Period that one counting bucket covers.
const BUCKET_PERIOD: Duration = Duration::from_millis(100);
/// Shortest delay after which a refused caller is asked to return.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
/// Longest delay after which a refused caller is asked to return.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);

/// A limit over all instances together: in any window as many requests as its rate gives in that time,
/// and a burst besides.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedLimit {
    /// Rate of requests.
    pub rate: RequestRate,
    /// Requests in a window besides the rate, which may come at once.
    pub burst: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl SharedLimit {
    /// Returns the requests that a window may have.
    fn per_window(self) -> f64 {
        self.rate.0 * self.window.as_secs_f64() + self.burst.max(1.0)
    }

    /// Returns the most tokens that the account holds: the burst, and at least those of a second.
    fn capacity(self) -> f64 {
        self.burst.max(self.rate.0).max(CAPACITY_MIN).min(self.per_window())
    }

    /// Returns the rate at which tokens come in, with which a lasting demand fills each window.
    fn refill_rate(self) -> f64 {
        self.per_window() / self.window.as_secs_f64()
    }
}

/// The use of an account by one instance, as it reports it to the others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountUse {
    /// Requests admitted since the start of the process, without those given back; wraps around.
    pub spent: u32,
    /// Rate of requests that ask for a token, admitted or not.
    pub demand: RequestRate,
}

/// Identifies a peer in a [`PeerRegister`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerIndex(usize);

#[derive(Debug, Clone)]
struct PeerEntry {
    name: InstanceName,
    heard_at: MonoTime,
}

/// The other instances that report their use of accounts, and those that should.
#[derive(Debug, Clone, Default)]
pub struct PeerRegister {
    peers: Vec<PeerEntry>,
    /// Instances that should report, this one not included.
    expected: Vec<InstanceName>,
    /// Other instances that exist at least, known by name or not.
    others_min: usize,
}

impl PeerRegister {
    /// Sets the instances that should report, and how many others exist at least, known by name or not.
    pub fn expect(&mut self, expected: Vec<InstanceName>, others_min: usize) {
        self.expected = expected;
        self.others_min = others_min;
    }

    /// Records that an instance reported. Returns its index.
    pub fn record(&mut self, now: MonoTime, name: &InstanceName) -> PeerIndex {
        if let Some(index) = self.peers.iter().position(|peer| peer.name == *name) {
            self.peers[index].heard_at = now;
            return PeerIndex(index);
        }
        self.peers.push(PeerEntry { name: name.clone(), heard_at: now });
        PeerIndex(self.peers.len() - 1)
    }

    /// Returns the instances whose latest report is current.
    pub fn current(&self, now: MonoTime) -> impl Iterator<Item = &InstanceName> {
        let is_current = move |peer: &&PeerEntry| now.since(peer.heard_at) <= REPORT_AGE_MAX;
        self.peers.iter().filter(is_current).map(|peer| &peer.name)
    }

    fn heard_at(&self, index: PeerIndex) -> Option<MonoTime> {
        self.peers.get(index.0).map(|peer| peer.heard_at)
    }

    /// Returns the time for which the part of a silent instance stays reserved.
    fn reserved_period(&self, now: MonoTime, window: Duration) -> Duration {
        let known = self.peers.iter().filter(|peer| now.since(peer.heard_at) < FORGOTTEN_AFTER);
        let (known, current) = known.fold((0, 0), |(known, current), peer| {
            let is_current = now.since(peer.heard_at) <= REPORT_AGE_MAX;
            (known + 1, current + usize::from(is_current))
        });
        // This instance counts as one that is heard.
        if 2 * (current + 1) > known { window } else { FORGOTTEN_AFTER }
    }

    /// Returns the number of instances that should report and never did.
    fn unheard(&self) -> usize {
        let is_heard = |name: &InstanceName| self.peers.iter().any(|peer| peer.name == *name);
        let expected = self.expected.iter().filter(|name| !is_heard(name)).count();
        expected.max(self.others_min.saturating_sub(self.peers.len()))
    }
}

#[derive(Debug, Clone, Copy)]
struct PeerUse {
    peer: PeerIndex,
    /// The process that counted; a later one counts from zero.
    incarnation: IncarnationId,
    spent: u32,
    demand: f64,
    /// Rate at which the peer spent between its latest two reports.
    spend_rate: f64,
    reported_at: MonoTime,
}

/// Requests that were counted within [`BUCKET_PERIOD`].
#[derive(Debug, Clone, Copy)]
struct SpentBucket {
    start: MonoTime,
    count: f64,
}

/// This instance's view of one account.
#[derive(Debug, Clone)]
pub struct SharedAccount {
    limit: SharedLimit,
    /// Tokens of the whole fleet at `counted_at`, as far as reported; negative after too many requests.
    tokens: f64,
    counted_at: MonoTime,
    /// Requests of the whole fleet within the window, as far as reported.
    recent: VecDeque<SpentBucket>,
    spent: u32,
    demand: DecayedRate,
    uses: Vec<PeerUse>,
    /// Part of the rate that this instance may use, 0 to 1.
    share: f64,
    /// Part of the rate that is reserved for instances that are silent, 0 to 1. What they spend is unknown.
    reserved: f64,
    /// Time from which requests beyond this instance's part are admitted.
    free_from: MonoTime,
    /// Time until which the window has requests that this process knows nothing of. They count with the
    /// full rate.
    unknown_until: MonoTime,
    /// Tokens that this instance may use from `shared_at` on, besides its part of what comes in.
    allotment: f64,
    shared_at: MonoTime,
    /// Requests admitted since `shared_at`.
    spent_since: f64,
    /// Callers that were refused and asked to return, in units of tokens, at `counted_at`.
    promised: f64,
}

impl SharedAccount {
    /// Creates an account. A process that may have used tokens before it restarted starts with none.
    pub fn new(now: MonoTime, limit: SharedLimit, is_full: bool) -> Self {
        Self {
            limit,
            tokens: if is_full { limit.capacity() } else { 0.0 },
            counted_at: now,
            recent: VecDeque::new(),
            spent: 0,
            demand: DecayedRate::default(),
            uses: Vec::new(),
            share: 0.0,
            reserved: 0.0,
            free_from: if is_full { now } else { now.plus(LEARNING_PERIOD) },
            unknown_until: if is_full { now } else { now.plus(limit.window) },
            allotment: 0.0,
            shared_at: now,
            spent_since: 0.0,
            promised: 0.0,
        }
    }

    /// The limit in force.
    pub fn limit(&self) -> SharedLimit {
        self.limit
    }

    /// Puts another limit in force.
    pub fn set_limit(&mut self, now: MonoTime, limit: SharedLimit) {
        self.refill(now);
        self.limit = limit;
        self.tokens = self.tokens.min(limit.capacity());
        self.allotment = self.allotment.min(limit.capacity());
    }

    /// Returns the tokens that came in since `counted_at` for the instances that are heard.
    fn earned(&self, now: MonoTime) -> f64 {
        let rate = self.limit.refill_rate() * (1.0 - self.reserved);
        now.since(self.counted_at).as_secs_f64() * rate
    }

    fn refill(&mut self, now: MonoTime) {
        let earned = self.earned(now);
        self.tokens = (self.tokens + earned).min(self.limit.capacity());
        self.promised = (self.promised - earned * self.share).max(0.0);
        self.counted_at = now;
        let has_left =
            |bucket: &SpentBucket| now.since(bucket.start) > self.limit.window + BUCKET_PERIOD;
        while self.recent.front().is_some_and(has_left) {
            self.recent.pop_front();
        }
    }

    /// Counts tokens that were spent; a negative number gives them back.
    fn take(&mut self, now: MonoTime, tokens: f64) {
        let debt_max = self.limit.rate.0 * DEBT_PERIOD.as_secs_f64();
        self.tokens = (self.tokens - tokens).clamp(-debt_max, self.limit.capacity());
        match self.recent.back_mut().filter(|last| now.since(last.start) < BUCKET_PERIOD) {
            Some(last) => last.count += tokens,
            None => self.recent.push_back(SpentBucket { start: now, count: tokens }),
        }
    }

    /// Returns the requests that the window may still have.
    fn window_left(&self, now: MonoTime) -> f64 {
        let known: f64 = self.recent.iter().map(|bucket| bucket.count).sum();
        let unknown = self.unknown_until.since(now).as_secs_f64() * self.limit.rate.0;
        self.limit.per_window() * (1.0 - self.reserved) - known - unknown
    }

    /// Returns the tokens of the fleet less what the other instances have probably spent since their
    /// latest reports.
    fn estimated_tokens(&self, now: MonoTime) -> f64 {
        let unreported_by = |peer: &PeerUse| {
            let age = now.since(peer.reported_at);
            if age > REPORT_AGE_MAX { 0.0 } else { peer.spend_rate * age.as_secs_f64() }
        };
        let unreported: f64 = self.uses.iter().map(unreported_by).sum();
        let tokens = (self.tokens + self.earned(now)).min(self.limit.capacity());
        tokens.min(self.window_left(now)) - unreported
    }

    /// Returns the tokens of this instance's part.
    fn own_tokens(&self, now: MonoTime) -> f64 {
        let rate = self.limit.refill_rate() * self.share;
        self.allotment + now.since(self.shared_at).as_secs_f64() * rate - self.spent_since
    }

    /// Returns the tokens that a request lacks, by this instance's part or by those that the fleet has left.
    fn lacking(&self, now: MonoTime) -> Option<f64> {
        let tokens = self.estimated_tokens(now);
        let own = self.own_tokens(now);
        let has_room = self.window_left(now) >= 1.0;
        let is_free =
            now >= self.free_from && tokens >= (self.limit.capacity() * FREE_FRACTION).max(1.0);
        // A part of less than one token would never admit anyone.
        let is_first = self.spent_since < 1.0 && tokens >= 1.0;
        let is_admitted = has_room && (is_free || own >= 1.0 || is_first);
        (!is_admitted).then(|| (1.0 - own).max(1.0 - tokens).max(0.0))
    }

    /// Returns the time after which a refused caller should return.
    fn retry_after(&self, lacking: f64) -> Duration {
        // Until the first reports the whole rate is the best estimate of the part.
        let share = if self.share > 0.0 { self.share } else { 1.0 };
        let own_rate = self.limit.refill_rate() * share;
        let wait_s = (lacking + self.promised) / own_rate.max(f64::MIN_POSITIVE);
        bounded_duration(wait_s).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }

    /// Whether a request would be admitted now.
    ///
    /// # Errors
    /// There is no token for this instance; with the time after which the caller should return.
    pub fn check(&self, now: MonoTime) -> Result<(), Duration> {
        self.lacking(now).map_or(Ok(()), |lacking| Err(self.retry_after(lacking)))
    }

    /// Takes a token for a request.
    ///
    /// # Errors
    /// There is none for this instance; with the time after which the caller should return.
    pub fn admit(&mut self, now: MonoTime) -> Result<(), Duration> {
        self.refill(now);
        self.demand.record(now);
        if let Some(lacking) = self.lacking(now) {
            let retry_after = self.retry_after(lacking);
            self.promised += 1.0;
            return Err(retry_after);
        }
        self.take(now, 1.0);
        self.spent = self.spent.wrapping_add(1);
        self.spent_since += 1.0;
        Ok(())
    }

    /// Whether this instance spent so much since the latest sharing that the others should hear of it at
    /// once.
    pub fn has_news(&self) -> bool {
        self.spent_since >= (self.limit.capacity() * NEWS_FRACTION).max(2.0)
    }

    /// Gives back the token of a request that did not run.
    pub fn give_back(&mut self, now: MonoTime) {
        self.refill(now);
        self.take(now, -1.0);
        self.spent = self.spent.wrapping_sub(1);
        self.spent_since -= 1.0;
    }

    /// Returns this instance's use, for reports; `None` if it had none lately.
    pub fn own_use(&self, now: MonoTime) -> Option<AccountUse> {
        let demand = RequestRate(self.demand.value(now));
        let is_idle = demand.0 < self.limit.rate.0 * IDLE_DEMAND_RATIO && demand.0 < 0.05;
        (!is_idle).then_some(AccountUse { spent: self.spent, demand })
    }

    /// Records what one process of another instance reported.
    pub fn record_use(
        &mut self,
        now: MonoTime,
        peer: PeerIndex,
        incarnation: IncarnationId,
        reported: AccountUse,
    ) {
        self.refill(now);
        let (spent, demand) = (reported.spent, reported.demand.0);
        let latest =
            PeerUse { peer, incarnation, spent, demand, spend_rate: 0.0, reported_at: now };
        let Some(index) = self.uses.iter().position(|known| known.peer == peer) else {
            self.uses.push(latest);
            return;
        };
        let known = self.uses[index];
        let period = now.since(known.reported_at);
        if incarnation < known.incarnation && period <= REPORT_AGE_MAX {
            // A late report of a process that has ended.
            return;
        }
        // A later process counts from zero.
        let earlier = if known.incarnation == incarnation { known.spent } else { 0 };
        // Requests given back can lower the count.
        let newly_spent = f64::from(spent.wrapping_sub(earlier).cast_signed());
        let newly_spent = newly_spent.min(self.most_spent_in(period));
        let period_s = period.as_secs_f64();
        let spend_rate = if period_s > 0.0 { (newly_spent / period_s).max(0.0) } else { 0.0 };
        self.uses[index] = PeerUse { spend_rate, ..latest };
        // Of a longer time only the part within the window counts.
        let window_s = self.limit.window.as_secs_f64();
        self.take(now, newly_spent * (window_s / period_s.max(window_s)));
    }

    /// Returns the most requests that an instance can have admitted in a period. A process that started again
    /// may report what it spent long before.
    fn most_spent_in(&self, period: Duration) -> f64 {
        self.limit.refill_rate() * period.as_secs_f64() + self.limit.capacity()
    }

    /// Recomputes the part that this instance may use. Must be called several times a second.
    pub fn share(&mut self, now: MonoTime, register: &PeerRegister) {
        self.refill(now);
        let idle = self.limit.rate.0 * IDLE_DEMAND_RATIO;
        let own = self.demand.value(now).max(idle);
        let reserved_period = register.reserved_period(now, self.limit.window);
        let (mut heard, mut silent) = (0.0, 0.0);
        for peer in &self.uses {
            let Some(heard_at) = register.heard_at(peer.peer) else {
                continue;
            };
            // A peer that reports without this account has no demand for it.
            let is_idle = heard_at.since(peer.reported_at) > REPORT_AGE_MAX;
            let demand = if is_idle { idle } else { peer.demand.max(idle) };
            match now.since(heard_at) {
                silence if silence <= REPORT_AGE_MAX => heard += demand,
                silence if silence <= reserved_period => silent += demand,
                _ => {}
            }
        }
        silent += register.unheard() as f64 * own;
        let all = own + heard + silent;
        // A started token is kept; whole ones are among those that are shared again.
        let started = self.own_tokens(now).clamp(0.0, 1.0);
        self.share = own / all;
        let reserved_rate = silent * RESERVED_DEMAND_FACTOR / self.limit.refill_rate();
        self.reserved = (silent / all).min(reserved_rate);
        self.allotment = self.estimated_tokens(now).max(0.0) * self.share;
        self.allotment = self.allotment.max(started);
        self.shared_at = now;
        self.spent_since = 0.0;
    }

    /// Returns the tokens that the whole fleet has left, as far as this instance knows.
    pub fn left(&self, now: MonoTime) -> f64 {
        self.estimated_tokens(now)
    }
}
