//! Keeps probes of backend servers within their budget over all instances together.
//!
//! Permission to probe a service is a lease on the platform. The holder judges it by its own
//! monotonic clock, counted from when it sent the request for it. A new holder first waits until no
//! earlier holder can still believe in its lease, even if the platform let that lapse too early.

use model::{MonoTime, ProbeRate, ServerName};
use std::collections::HashMap;
use std::time::Duration;

/// How long a lease lasts after it was asked for.
pub const PROBE_LEASE_TTL: Duration = Duration::from_secs(3);
/// Time before the end of a lease in which its holder no longer sends.
pub const PROBE_MARGIN: Duration = Duration::from_millis(500);
/// Time between extensions of a lease.
pub const PROBE_RENEWAL: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct HeldLease {
    /// No probe is sent before this time.
    from: MonoTime,
    /// No probe is sent at or after this time.
    until: MonoTime,
    renew_at: MonoTime,
}

/// Paces the probes of one service from one instance.
#[derive(Debug, Default)]
pub struct ProbePacer {
    lease: Option<HeldLease>,
    last_sent: HashMap<ServerName, MonoTime>,
}

impl ProbePacer {
    /// Takes over a lease that was asked for at `asked` and was not held before.
    pub fn grant(&mut self, asked: MonoTime) {
        let from = asked.plus(PROBE_LEASE_TTL);
        self.last_sent.clear();
        self.lease = Some(HeldLease {
            from,
            until: asked.plus(PROBE_LEASE_TTL - PROBE_MARGIN),
            renew_at: asked.plus(PROBE_RENEWAL),
        });
    }

    /// Extends the lease by a renewal that was asked for at `asked`.
    pub fn renew(&mut self, asked: MonoTime) {
        if let Some(lease) = &mut self.lease {
            lease.until = lease.until.max(asked.plus(PROBE_LEASE_TTL - PROBE_MARGIN));
            lease.renew_at = asked.plus(PROBE_RENEWAL);
        }
    }

    /// Gives the lease up.
    pub fn lose(&mut self) {
        self.lease = None;
    }

    /// Whether a lease is held that has not run out here.
    pub fn is_held(&self, now: MonoTime) -> bool {
        self.lease.is_some_and(|lease| now < lease.until)
    }

    /// Whether the lease is due for an extension.
    pub fn is_renewal_due(&self, now: MonoTime) -> bool {
        self.lease.is_some_and(|lease| now >= lease.renew_at)
    }

    /// Whether a probe may be sent at this very moment.
    pub fn may_send(&self, now: MonoTime) -> bool {
        self.lease.is_some_and(|lease| lease.from <= now && now < lease.until)
    }

    /// Takes the budget of one probe, for the server that waits longest. The bucket of a server
    /// starts empty, so that a change of holder never adds a probe.
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
        let gap = Duration::from_secs_f64(1.0 / rate.0);
        let sent = |server: &ServerName| self.last_sent.get(server).copied().unwrap_or(from);
        let next = servers.iter().min_by_key(|server| sent(server))?;
        if now.since(sent(next)) < gap {
            return None;
        }
        let next = next.clone();
        self.last_sent.retain(|server, _| servers.contains(server));
        self.last_sent.insert(next.clone(), now);
        Some(next)
    }
}
