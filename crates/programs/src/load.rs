//! Load generator: callers that send requests and measure their outcomes.

use caller::{CallReport, CallerClient};
use hdrhistogram::Histogram;
use model::{RunVerdict, ServiceName, bounded_duration};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Limit on requests in progress; further ones are not sent and counted as not offered.
const IN_PROGRESS_MAX: usize = 20_000;

/// Largest latency that the histograms hold, in microseconds; longer ones count as this one.
const LATENCY_MAX_US: u64 = 120_000_000;

/// Description of the load to offer.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Callers' ports of the instances that are queried for addresses.
    pub entries: Vec<SocketAddr>,
    /// Service that the requests are sent to.
    pub service: ServiceName,
    /// Rate of all callers together, in requests per second.
    pub rate: f64,
    /// Duration of the load.
    pub duration: Duration,
    /// Number of callers that share the rate.
    pub callers: u32,
    /// Share of requests that are bookings, which are not idempotent.
    pub bookings: f64,
    /// Share of requests that are long and have a route of their own.
    pub long_share: f64,
    /// Processing time of a short request.
    pub short_time: Duration,
    /// Processing time of a long request.
    pub long_time: Duration,
    /// Share of requests that take as long as a long one but use the route of short ones, where
    /// instances can't tell them apart.
    pub straggler_share: f64,
    /// Time from the start of each request until its deadline.
    pub deadline: Duration,
    /// Rate of the first caller, as a multiple of the average rate of the others. If above 1, its
    /// short requests are reported as a kind of their own.
    pub heavy_factor: f64,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Latencies of one kind of request, in microseconds.
#[derive(Debug, Clone, Serialize)]
pub struct LatencyReport {
    /// Number of requests.
    pub count: u64,
    /// Median latency.
    pub p50_us: u64,
    /// 99th percentile of the latency.
    pub p99_us: u64,
    /// 99.9th percentile of the latency.
    pub p999_us: u64,
    /// 99th percentile of the wait for a slot.
    pub queue_p99_us: u64,
}

/// Outcomes of the requests of a load.
#[derive(Debug, Clone, Serialize)]
pub struct LoadReport {
    /// Seed of the run.
    pub seed: u64,
    /// Rate of served requests, per second.
    pub served_per_second: f64,
    /// Number of requests by kind and verdict.
    pub verdicts: BTreeMap<SmolStr, u64>,
    /// Number of requests that were not sent because too many were in progress.
    pub not_offered: u64,
    /// Number of responses that belong to another request or are truncated.
    pub foreign_answers: u64,
    /// Latencies of the served requests by kind.
    pub latencies: BTreeMap<SmolStr, LatencyReport>,
    /// Verdict of each booking by ticket.
    #[serde(skip)]
    pub tickets: Vec<(SmolStr, RunVerdict)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RequestKind {
    Short,
    Straggler,
    Long,
    Booking,
    Heavy,
}

impl RequestKind {
    fn as_str(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Straggler => "straggler",
            Self::Long => "long",
            Self::Booking => "booking",
            Self::Heavy => "heavy",
        }
    }
}

struct KindStats {
    latency: Histogram<u64>,
    queue: Histogram<u64>,
}

impl KindStats {
    fn new() -> Self {
        let histogram =
            || Histogram::new_with_max(LATENCY_MAX_US, 3).expect("the bounds are valid");
        Self { latency: histogram(), queue: histogram() }
    }

    fn report(&self) -> LatencyReport {
        LatencyReport {
            count: self.latency.len(),
            p50_us: self.latency.value_at_quantile(0.5),
            p99_us: self.latency.value_at_quantile(0.99),
            p999_us: self.latency.value_at_quantile(0.999),
            queue_p99_us: self.queue.value_at_quantile(0.99),
        }
    }
}

#[derive(Default)]
struct LoadStats {
    verdicts: BTreeMap<SmolStr, u64>,
    kinds: BTreeMap<RequestKind, KindStats>,
    foreign_responses: u64,
    served: u64,
    tickets: Vec<(SmolStr, RunVerdict)>,
}

impl LoadStats {
    fn add(&mut self, kind: RequestKind, report: &CallReport, is_expected: bool) {
        let key = format_smolstr!("{}/{}", kind.as_str(), report.verdict);
        *self.verdicts.entry(key).or_default() += 1;
        if let Some(ticket) = &report.ticket {
            self.tickets.push((ticket.clone(), report.verdict));
        }
        if report.verdict != RunVerdict::Ran {
            return;
        }
        self.served += 1;
        self.foreign_responses += u64::from(!is_expected);
        let stats = self.kinds.entry(kind).or_insert_with(KindStats::new);
        let micros = |duration: Duration| u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        stats.latency.saturating_record(micros(report.elapsed));
        stats.queue.saturating_record(micros(report.queue));
    }
}

/// Offers the load and reports the outcomes.
pub async fn run_load(plan: &LoadPlan) -> LoadReport {
    let callers: Vec<Arc<CallerClient>> = (0..plan.callers.max(1))
        .map(|number| {
            let name = format_smolstr!("caller-{number}").parse().expect("letters and digits");
            let mut entries = plan.entries.clone();
            let offset = number as usize % entries.len().max(1);
            entries.rotate_left(offset);
            Arc::new(CallerClient::new(name, entries))
        })
        .collect();
    let stats = Arc::new(Mutex::new(LoadStats::default()));
    let mut random = SmallRng::seed_from_u64(plan.seed);
    let started = Instant::now();
    let mut due = started;
    let mut tasks = tokio::task::JoinSet::new();
    let mut number = 0_u64;
    let mut not_offered = 0;
    while due < started + plan.duration {
        // Exponential gaps make the arrivals a Poisson process.
        let gap = -(1.0 - random.random::<f64>()).ln() / plan.rate;
        due += bounded_duration(gap);
        tokio::time::sleep_until(due.into()).await;
        while tasks.try_join_next().is_some() {}
        if tasks.len() >= IN_PROGRESS_MAX {
            not_offered += 1;
            continue;
        }
        number += 1;
        let caller = pick_caller(plan, &mut random);
        let client = Arc::clone(&callers[caller]);
        let kind = pick_kind(plan, &mut random);
        let is_heavy = plan.heavy_factor > 1.0 && caller == 0 && kind == RequestKind::Short;
        let kind = if is_heavy { RequestKind::Heavy } else { kind };
        let request = LoadRequest { plan: plan.clone(), kind, number };
        tasks.spawn(request.run(client, Arc::clone(&stats)));
    }
    while tasks.join_next().await.is_some() {}
    let elapsed = started.elapsed().as_secs_f64();
    let mut stats = stats.lock().unwrap_or_else(PoisonError::into_inner);
    LoadReport {
        seed: plan.seed,
        served_per_second: stats.served as f64 / elapsed,
        verdicts: stats.verdicts.clone(),
        not_offered,
        foreign_answers: stats.foreign_responses,
        latencies: stats
            .kinds
            .iter()
            .map(|(kind, stats)| (kind.as_str().into(), stats.report()))
            .collect(),
        tickets: std::mem::take(&mut stats.tickets),
    }
}

/// Picks a caller at random. The rates of callers differ by up to 30% from the mean; the first one
/// may send many times more.
fn pick_caller(plan: &LoadPlan, random: &mut SmallRng) -> usize {
    let count = plan.callers.max(1) as usize;
    let heavy_share = plan.heavy_factor / (plan.heavy_factor + count as f64 - 1.0);
    if plan.heavy_factor > 1.0 && random.random_bool(heavy_share) {
        return 0;
    }
    let lowest = usize::from(plan.heavy_factor > 1.0 && count > 1);
    loop {
        let caller = random.random_range(lowest..count);
        let relative_rate = 0.7 + 0.3 * (caller % 3) as f64;
        if random.random_bool(relative_rate / 1.3) {
            return caller;
        }
    }
}

fn pick_kind(plan: &LoadPlan, random: &mut SmallRng) -> RequestKind {
    let draw: f64 = random.random();
    if draw < plan.bookings {
        return RequestKind::Booking;
    }
    if draw < plan.bookings + plan.long_share {
        return RequestKind::Long;
    }
    if draw < plan.bookings + plan.long_share + plan.straggler_share {
        return RequestKind::Straggler;
    }
    RequestKind::Short
}

struct LoadRequest {
    plan: LoadPlan,
    kind: RequestKind,
    number: u64,
}

impl LoadRequest {
    async fn run(self, client: Arc<CallerClient>, stats: Arc<Mutex<LoadStats>>) {
        let plan = &self.plan;
        let processing_time = match self.kind {
            RequestKind::Short | RequestKind::Booking | RequestKind::Heavy => plan.short_time,
            RequestKind::Straggler | RequestKind::Long => plan.long_time,
        };
        let route = match self.kind {
            RequestKind::Short | RequestKind::Straggler | RequestKind::Heavy => "lookup",
            RequestKind::Long => "report",
            RequestKind::Booking => "book",
        };
        // The stand-in server repeats the path in its response, which shows whose response it is.
        let marker = format!("n={}-{}.", plan.seed, self.number);
        let path = format!("/{route}?work_ms={}&{marker}", processing_time.as_millis());
        let report = match self.kind {
            RequestKind::Booking => {
                client.book(&plan.service, &path, marker.clone().into(), plan.deadline).await
            }
            _ => client.lookup(&plan.service, &path, None, plan.deadline).await,
        };
        let text = String::from_utf8_lossy(&report.body);
        let is_expected = text.contains(&marker) && text.ends_with("bytes\n");
        stats.lock().unwrap_or_else(PoisonError::into_inner).add(self.kind, &report, is_expected);
    }
}
