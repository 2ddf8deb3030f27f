//! The probe budget holds over all instances together, whatever happens to leases and holders.

use dispatch::ProbePacer;
use dispatch::probe::{PROBE_LEASE_TTL, PROBE_RENEWAL};
use model::{MonoTime, ProbeRate, ServerName};
use proptest::prelude::*;
use std::time::Duration;

const STEP_MS: u64 = 100;
const RATE: ProbeRate = ProbeRate(2.0);

/// What happens to one holder within a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HolderEvent {
    /// It goes on.
    Run,
    /// It is paused for so many steps.
    Pause(u64),
    /// It restarts and forgets its lease.
    Restart,
    /// The platform answers none of its calls.
    Outage,
    /// The platform drops all leases early.
    Lapse,
}

fn event() -> impl Strategy<Value = HolderEvent> {
    prop_oneof![
        20 => Just(HolderEvent::Run),
        1 => (1_u64..60).prop_map(HolderEvent::Pause),
        1 => Just(HolderEvent::Restart),
        2 => Just(HolderEvent::Outage),
        1 => Just(HolderEvent::Lapse),
    ]
}

#[derive(Default)]
struct Holder {
    pacer: ProbePacer,
    paused_until: u64,
    held: bool,
}

/// The platform's side of the lease.
#[derive(Default)]
struct LeaseServer {
    holder: Option<(usize, MonoTime)>,
}

impl LeaseServer {
    fn grant(&mut self, now: MonoTime, who: usize) -> bool {
        let free = self.holder.is_none_or(|(held, until)| held == who || until <= now);
        if free {
            self.holder = Some((who, now.plus(PROBE_LEASE_TTL)));
        }
        free
    }

    fn keep(&mut self, now: MonoTime, who: usize) -> bool {
        let held = self.holder.is_some_and(|(held, until)| held == who && now < until);
        if held {
            self.holder = Some((who, now.plus(PROBE_LEASE_TTL)));
        }
        held
    }
}

fn step(
    holder: &mut Holder,
    who: usize,
    leases: &mut LeaseServer,
    now: MonoTime,
    outage: bool,
) -> bool {
    if holder.held && holder.pacer.is_renewal_due(now) && !outage {
        holder.held = leases.keep(now, who);
        if holder.held { holder.pacer.renew(now) } else { holder.pacer.lose() }
    }
    if !holder.held && !outage && leases.grant(now, who) {
        holder.held = true;
        holder.pacer.grant(now);
    }
    let servers: [ServerName; 1] = ["s1".parse().unwrap()];
    holder.pacer.take(now, RATE, &servers).is_some()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn probes_never_come_closer_than_the_rate(
        events in proptest::collection::vec((0_usize..3, event()), 100..400)
    ) {
        let mut holders: [Holder; 3] = Default::default();
        let mut leases = LeaseServer::default();
        let mut sent: Vec<MonoTime> = Vec::new();
        for (index, (whose, event)) in events.into_iter().enumerate() {
            let at = index as u64;
            let now = MonoTime(at * STEP_MS * 1_000);
            match event {
                HolderEvent::Pause(steps) => holders[whose].paused_until = at + steps,
                HolderEvent::Restart => holders[whose] = Holder::default(),
                HolderEvent::Lapse => leases.holder = None,
                HolderEvent::Run | HolderEvent::Outage => {}
            }
            for (who, holder) in holders.iter_mut().enumerate() {
                let outage = event == HolderEvent::Outage && who == whose;
                if at >= holder.paused_until && step(holder, who, &mut leases, now, outage) {
                    sent.push(now);
                }
            }
        }
        let gap = Duration::from_secs_f64(1.0 / RATE.0);
        for pair in sent.windows(2) {
            prop_assert!(pair[1].since(pair[0]) >= gap, "{:?}", pair);
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
    // Seventeen seconds remain after the first lease span.
    assert!((30..=34).contains(&probes), "{probes}");
    assert!(PROBE_RENEWAL < PROBE_LEASE_TTL);
}
