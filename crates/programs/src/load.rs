//! Callers that put load on the system and measure what they get.

use caller::{CallReport, CallerClient};
use hdrhistogram::Histogram;
use model::{RunVerdict, ServiceName};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Requests in progress beyond which further ones are counted as not offered.
const IN_PROGRESS_MAX: usize = 20_000;

/// Longest latency that reports tell apart, in microseconds.
const LATENCY_MAX_US: u64 = 120_000_000;

/// What load to offer.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Instances to ask for addresses.
    pub entries: Vec<SocketAddr>,
    /// The service.
    pub service: ServiceName,
    /// Requests per second over all callers.
    pub rate: f64,
    /// How long.
    pub duration: Duration,
    /// Callers that share the rate.
    pub callers: u32,
    /// Share of requests that are bookings.
    pub bookings: f64,
    /// Share of requests that are long and known to be so by their route.
    pub long_share: f64,
    /// Work of a short request.
    pub short_time: Duration,
    /// Work of a long request.
    pub long_time: Duration,
    /// Share of short requests that take as long as a long one, unknown to the system.
    pub straggler_share: f64,
    /// Time allowed to each call.
    pub deadline: Duration,
    /// How many times the common rate the first caller sends; its calls are counted apart.
    pub heavy_factor: f64,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Latencies of one kind of request, in microseconds.
#[derive(Debug, Clone, Serialize)]
pub struct LatencyReport {
    /// Requests.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// 99th percentile of the wait before a slot.
    pub queue_p99_us: u64,
}

/// What the callers got.
#[derive(Debug, Clone, Serialize)]
pub struct LoadReport {
    /// The seed of the run.
    pub seed: u64,
    /// Requests per second that were served.
    pub served_per_second: f64,
    /// Requests by kind and verdict.
    pub verdicts: BTreeMap<SmolStr, u64>,
    /// Requests that could not be offered because too many were in progress.
    pub not_offered: u64,
    /// Answers that were not the caller's own or not whole.
    pub foreign_answers: u64,
    /// Latencies by kind, of those that were served.
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

struct KindRecord {
    latency: Histogram<u64>,
    queue: Histogram<u64>,
}

impl KindRecord {
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
struct LoadRecord {
    verdicts: BTreeMap<SmolStr, u64>,
    kinds: BTreeMap<RequestKind, KindRecord>,
    foreign: u64,
    served: u64,
    tickets: Vec<(SmolStr, RunVerdict)>,
}

impl LoadRecord {
    fn add(&mut self, kind: RequestKind, report: &CallReport, is_own: bool) {
        let key = format_smolstr!("{}/{}", kind.as_str(), report.verdict);
        *self.verdicts.entry(key).or_default() += 1;
        if let Some(ticket) = &report.ticket {
            self.tickets.push((ticket.clone(), report.verdict));
        }
        if report.verdict != RunVerdict::Ran {
            return;
        }
        self.served += 1;
        self.foreign += u64::from(!is_own);
        let record = self.kinds.entry(kind).or_insert_with(KindRecord::new);
        let micros = |span: Duration| u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        record.latency.saturating_record(micros(report.elapsed));
        record.queue.saturating_record(micros(report.queue));
    }
}

/// Offers the load and reports what came of it.
pub async fn run_load(plan: &LoadPlan) -> LoadReport {
    let callers: Vec<Arc<CallerClient>> = (0..plan.callers.max(1))
        .map(|number| {
            let name = format_smolstr!("caller-{number}").parse().expect("letters and digits");
            let mut entries = plan.entries.clone();
            let turn = number as usize % entries.len().max(1);
            entries.rotate_left(turn);
            Arc::new(CallerClient::new(name, entries))
        })
        .collect();
    let record = Arc::new(Mutex::new(LoadRecord::default()));
    let mut random = SmallRng::seed_from_u64(plan.seed);
    let started = Instant::now();
    let mut due = started;
    let mut tasks = tokio::task::JoinSet::new();
    let mut number = 0_u64;
    let mut not_offered = 0;
    while due < started + plan.duration {
        // Exponential gaps make the arrivals a Poisson process.
        let gap = -(1.0 - random.random::<f64>()).ln() / plan.rate;
        due += Duration::from_secs_f64(gap);
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
        let call = LoadCall { plan: plan.clone(), kind, number };
        tasks.spawn(call.run(client, Arc::clone(&record)));
    }
    while tasks.join_next().await.is_some() {}
    let elapsed = started.elapsed().as_secs_f64();
    let mut record = record.lock().unwrap_or_else(PoisonError::into_inner);
    LoadReport {
        seed: plan.seed,
        served_per_second: record.served as f64 / elapsed,
        verdicts: record.verdicts.clone(),
        not_offered,
        foreign_answers: record.foreign,
        latencies: record
            .kinds
            .iter()
            .map(|(kind, record)| (kind.as_str().into(), record.report()))
            .collect(),
        tickets: std::mem::take(&mut record.tickets),
    }
}

/// Callers send at rates that differ by up to 30%; the first one may send many times more.
fn pick_caller(plan: &LoadPlan, random: &mut SmallRng) -> usize {
    let count = plan.callers.max(1) as usize;
    let heavy_share = plan.heavy_factor / (plan.heavy_factor + count as f64 - 1.0);
    if plan.heavy_factor > 1.0 && random.random_bool(heavy_share) {
        return 0;
    }
    let first = usize::from(plan.heavy_factor > 1.0 && count > 1);
    loop {
        let caller = random.random_range(first..count);
        let unevenness = 0.7 + 0.3 * (caller % 3) as f64;
        if random.random_bool(unevenness / 1.3) {
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

struct LoadCall {
    plan: LoadPlan,
    kind: RequestKind,
    number: u64,
}

impl LoadCall {
    async fn run(self, client: Arc<CallerClient>, record: Arc<Mutex<LoadRecord>>) {
        let plan = &self.plan;
        let work = match self.kind {
            RequestKind::Short | RequestKind::Booking | RequestKind::Heavy => plan.short_time,
            RequestKind::Straggler | RequestKind::Long => plan.long_time,
        };
        let route = match self.kind {
            RequestKind::Short | RequestKind::Straggler | RequestKind::Heavy => "lookup",
            RequestKind::Long => "report",
            RequestKind::Booking => "book",
        };
        let own = format!("n={}-{}.", plan.seed, self.number);
        let path = format!("/{route}?work_ms={}&{own}", work.as_millis());
        let report = match self.kind {
            RequestKind::Booking => {
                client.book(&plan.service, &path, own.clone().into(), plan.deadline).await
            }
            _ => client.lookup(&plan.service, &path, None, plan.deadline).await,
        };
        let text = String::from_utf8_lossy(&report.body);
        let is_own = text.contains(&own) && text.ends_with("bytes\n");
        record.lock().unwrap_or_else(PoisonError::into_inner).add(self.kind, &report, is_own);
    }
}
