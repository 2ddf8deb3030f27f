//! Probes of all instances together stay within the rate when holders pause or restart, calls to
//! the platform fail, and leases expire early.

use dispatch::ProbePacer;
use dispatch::probe::{PROBE_LEASE_TTL, PROBE_RENEWAL_INTERVAL};
use model::{MonoTime, ProbeRate, ServerName, bounded_duration};
use proptest::prelude::*;

const STEP_MS: u64 = 100;
const RATE: ProbeRate = ProbeRate(2.0);

/// What happens to one holder within a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HolderEvent {
    /// Runs normally.
    Run,
    /// Does not run for this number of steps.
    Pause(u64),
    /// Restarts without its lease.
    Restart,
    /// Gets no reply from the platform.
    Outage,
    /// The platform drops all leases early.
    LeasesDropped,
}

fn event() -> impl Strategy<Value = HolderEvent> {
    prop_oneof![
        20 => Just(HolderEvent::Run),
        1 => (1_u64..60).prop_map(HolderEvent::Pause),
        1 => Just(HolderEvent::Restart),
        2 => Just(HolderEvent::Outage),
        1 => Just(HolderEvent::LeasesDropped),
    ]
}

#[derive(Default)]
struct Holder {
    pacer: ProbePacer,
    paused_until: u64,
    held: bool,
}

/// Stand-in for the platform's lease.
#[derive(Default)]
struct LeaseServer {
    holder: Option<(usize, MonoTime)>,
}

impl LeaseServer {
    fn grant(&mut self, now: MonoTime, instance: usize) -> bool {
        let is_free = self.holder.is_none_or(|(held, until)| held == instance || until <= now);
        if is_free {
            self.holder = Some((instance, now.plus(PROBE_LEASE_TTL)));
        }
        is_free
    }

    fn renew(&mut self, now: MonoTime, instance: usize) -> bool {
        let held = self.holder.is_some_and(|(held, until)| held == instance && now < until);
        if held {
            self.holder = Some((instance, now.plus(PROBE_LEASE_TTL)));
        }
        held
    }
}

/// Runs one step of a holder and returns whether it sends a probe.
fn step(
    holder: &mut Holder,
    instance: usize,
    leases: &mut LeaseServer,
    now: MonoTime,
    outage: bool,
) -> bool {
    if holder.held && holder.pacer.is_renewal_due(now) && !outage {
        holder.held = leases.renew(now, instance);
        if holder.held { holder.pacer.renew(now) } else { holder.pacer.lose() }
    }
    if !holder.held && !outage && leases.grant(now, instance) {
        holder.held = true;
        holder.pacer.grant(now);
    }
    let servers: [ServerName; 1] = ["s1".parse().unwrap()];
    holder.pacer.take(now, RATE, &servers).is_some()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn probes_never_exceed_the_rate(
        events in proptest::collection::vec((0_usize..3, event()), 100..400)
    ) {
        let mut holders: [Holder; 3] = Default::default();
        let mut leases = LeaseServer::default();
        let mut sent: Vec<MonoTime> = Vec::new();
        for (index, (target, event)) in events.into_iter().enumerate() {
            let at = index as u64;
            let now = MonoTime(at * STEP_MS * 1_000);
            match event {
                HolderEvent::Pause(steps) => holders[target].paused_until = at + steps,
                HolderEvent::Restart => holders[target] = Holder::default(),
                HolderEvent::LeasesDropped => leases.holder = None,
                HolderEvent::Run | HolderEvent::Outage => {}
            }
            for (instance, holder) in holders.iter_mut().enumerate() {
                let outage = event == HolderEvent::Outage && instance == target;
                if at >= holder.paused_until && step(holder, instance, &mut leases, now, outage) {
                    sent.push(now);
                }
            }
        }
        let interval = bounded_duration(1.0 / RATE.0);
        for pair in sent.windows(2) {
            prop_assert!(pair[1].since(pair[0]) >= interval, "{:?}", pair);
        }
    }
}

#[test]
fn steady_holder_uses_its_budget() {
    let mut holder = Holder::default();
    let mut leases = LeaseServer::default();
    let probes = (0..200)
        .filter(|at| step(&mut holder, 0, &mut leases, MonoTime(at * STEP_MS * 1_000), false))
        .count();
    // The first probe comes one lease TTL after the start, so 17 of the 20 s remain.
    assert!((30..=34).contains(&probes), "{probes}");
    assert!(PROBE_RENEWAL_INTERVAL < PROBE_LEASE_TTL);
}

/// Guards against the interval of a tiny rate, which is longer than any duration; the probe panicked.
#[test]
fn a_tiny_rate_allows_no_probe() {
    let mut pacer = ProbePacer::default();
    pacer.grant(MonoTime(0));
    let server: ServerName = "s0".parse().expect("name");
    let mut usable = 0;
    for step in 0..200 {
        let now = MonoTime(step * STEP_MS * 1_000);
        pacer.renew(now);
        usable += u32::from(pacer.may_send(now));
        let next = pacer.take(now, ProbeRate(1e-300), std::slice::from_ref(&server));
        assert_eq!(next, None);
    }
    assert!(usable > 0);
}
