//! Load generator.

use anyhow::{Result, bail};
use bpaf::Bpaf;
use model::{ServiceName, bounded_duration};
use programs::load::{LoadPlan, LoadReport, run_load};
use std::net::SocketAddr;
use std::time::Duration;

/// lacewing-load: sends lookups and bookings and reports their outcomes.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct LoadOptions {
    /// Callers' port of an instance; may be given several times
    #[bpaf(argument("ADDRESS"), some("give at least one --entry"))]
    entry: Vec<SocketAddr>,
    /// Service that the requests are sent to
    #[bpaf(argument("NAME"))]
    service: ServiceName,
    /// Rate of all callers together, in requests per second
    #[bpaf(argument("RATE"), fallback(100.0))]
    rate: f64,
    /// Duration of the load, in seconds
    #[bpaf(argument("SECONDS"), fallback(10.0))]
    seconds: f64,
    /// Number of callers that share the rate
    #[bpaf(argument("COUNT"), fallback(8))]
    callers: u32,
    /// Share of bookings, which are not idempotent
    #[bpaf(argument("SHARE"), fallback(0.1))]
    bookings: f64,
    /// Share of long requests, which have a route of their own
    #[bpaf(argument("SHARE"), fallback(0.016))]
    long: f64,
    /// Share of stragglers: long requests on the route of short ones
    #[bpaf(argument("SHARE"), fallback(0.004))]
    stragglers: f64,
    /// Processing time of a short request, in milliseconds
    #[bpaf(argument("MS"), fallback(4))]
    short_ms: u64,
    /// Processing time of a long request, in milliseconds
    #[bpaf(argument("MS"), fallback(100))]
    long_ms: u64,
    /// Time from the start of a request until its deadline, in milliseconds
    #[bpaf(argument("MS"), fallback(2000))]
    deadline_ms: u64,
    /// Rate of the first caller, as a multiple of the average rate of the others
    #[bpaf(argument("FACTOR"), fallback(1.0))]
    heavy: f64,
    /// Seed of all random choices
    #[bpaf(argument("SEED"), fallback(1))]
    seed: u64,
    /// Print JSON
    json: bool,
}

fn main() -> Result<()> {
    let options = load_options().run();
    if options.rate <= 0.0 || options.seconds <= 0.0 {
        bail!("--rate and --seconds must be greater than 0");
    }
    let plan = LoadPlan {
        entries: options.entry,
        service: options.service,
        rate: options.rate,
        duration: bounded_duration(options.seconds),
        callers: options.callers,
        bookings: options.bookings,
        long_share: options.long,
        short_time: Duration::from_millis(options.short_ms),
        long_time: Duration::from_millis(options.long_ms),
        straggler_share: options.stragglers,
        deadline: Duration::from_millis(options.deadline_ms),
        heavy_factor: options.heavy,
        seed: options.seed,
    };
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let report = runtime.block_on(run_load(&plan));
    if options.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print_report(&report);
    }
    Ok(())
}

fn print_report(report: &LoadReport) {
    println!("seed {}, served {:.0}/s", report.seed, report.served_per_second);
    println!("foreign or truncated responses: {}", report.foreign_answers);
    println!("not offered: {}", report.not_offered);
    for (verdict, count) in &report.verdicts {
        println!("  {verdict:24} {count}");
    }
    println!(
        "  {:10} {:>8} {:>9} {:>9} {:>9} {:>13}",
        "kind", "count", "p50 ms", "p99 ms", "p99.9 ms", "queue p99 ms"
    );
    for (kind, latency) in &report.latencies {
        let ms = |micros: u64| micros as f64 / 1_000.0;
        println!(
            "  {kind:10} {:>8} {:>9.2} {:>9.2} {:>9.2} {:>13.2}",
            latency.count,
            ms(latency.p50_us),
            ms(latency.p99_us),
            ms(latency.p999_us),
            ms(latency.queue_p99_us)
        );
    }
}
