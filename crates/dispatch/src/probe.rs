//! Limits the rate of probes of backend servers over all instances together.
//!
//! Only the instance that holds the service's probe lease on the platform sends probes. The holder
//! measures the lease with its own monotonic clock, from the time at which it sent the request for
//! the lease. A new holder waits one full TTL before its first probe, because an earlier holder may
//! still consider its lease valid even if the platform let it expire too early.

use model::{MonoTime, ProbeRate, ServerName, bounded_duration};
use std::collections::HashMap;
use std::time::Duration;

/// Lifetime of a lease after its request or renewal was sent.
pub const PROBE_LEASE_TTL: Duration = Duration::from_secs(3);
/// Time before the end of a lease during which its holder sends no probes.
pub const PROBE_LEASE_MARGIN: Duration = Duration::from_millis(500);
/// Interval between renewals of a lease.
pub const PROBE_RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct HeldLease {
    /// Time from which probes may be sent.
    from: MonoTime,
    /// Time from which probes may no longer be sent.
    until: MonoTime,
    renew_at: MonoTime,
}

/// Paces the probes of one service from one instance.
#[derive(Debug, Default)]
pub struct ProbePacer {
    lease: Option<HeldLease>,
    /// Time of the last probe of each server under this lease.
    last_sent: HashMap<ServerName, MonoTime>,
}

impl ProbePacer {
    /// Records a newly acquired lease whose request was sent at `requested_at`.
    pub fn grant(&mut self, requested_at: MonoTime) {
        let from = requested_at.plus(PROBE_LEASE_TTL);
        self.last_sent.clear();
        self.lease = Some(HeldLease {
            from,
            until: requested_at.plus(PROBE_LEASE_TTL - PROBE_LEASE_MARGIN),
            renew_at: requested_at.plus(PROBE_RENEWAL_INTERVAL),
        });
    }

    /// Records a renewal of the lease whose request was sent at `requested_at`.
    pub fn renew(&mut self, requested_at: MonoTime) {
        if let Some(lease) = &mut self.lease {
            lease.until = lease.until.max(requested_at.plus(PROBE_LEASE_TTL - PROBE_LEASE_MARGIN));
            lease.renew_at = requested_at.plus(PROBE_RENEWAL_INTERVAL);
        }
    }

    /// Records that the lease was lost.
    pub fn lose(&mut self) {
        self.lease = None;
    }

    /// Whether a lease is held and, by this instance's clock, more than [`PROBE_LEASE_MARGIN`] of it
    /// is left.
    pub fn is_held(&self, now: MonoTime) -> bool {
        self.lease.is_some_and(|lease| now < lease.until)
    }

    /// Whether a lease is held and due for renewal.
    pub fn is_renewal_due(&self, now: MonoTime) -> bool {
        self.lease.is_some_and(|lease| now >= lease.renew_at)
    }

    /// Whether the lease allows a probe at this moment.
    pub fn may_send(&self, now: MonoTime) -> bool {
        self.lease.is_some_and(|lease| lease.from <= now && now < lease.until)
    }

    /// Takes the budget of one probe and returns the server to probe: the one whose last probe is
    /// longest ago. Returns `None` if no probe is due.
    ///
    /// A server without a probe counts as probed when the lease became usable, so a change of
    /// holder never adds a probe.
    pub fn take(
        &mut self,
        now: MonoTime,
        rate: ProbeRate,
        servers: &[ServerName],
    ) -> Option<ServerName> {
        let from = self.lease.filter(|_| self.may_send(now))?.from;
        if rate.0 <= 0.0 {
            return None;
        }
        let interval = bounded_duration(1.0 / rate.0);
        let last_sent = |server: &ServerName| self.last_sent.get(server).copied().unwrap_or(from);
        let next = servers.iter().min_by_key(|server| last_sent(server))?;
        if now.since(last_sent(next)) < interval {
            return None;
        }
        let next = next.clone();
        self.last_sent.retain(|server, _| servers.contains(server));
        self.last_sent.insert(next.clone(), now);
        Some(next)
    }
}
