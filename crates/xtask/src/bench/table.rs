//! The tables of a comparison.

use crate::bench::{BenchPlan, BenchRun};
use dispatch::RuleName;
use programs::load::{LatencyReport, LoadReport};

fn kind<'a>(report: &'a LoadReport, kind: &str) -> Option<&'a LatencyReport> {
    report.latencies.get(kind)
}

fn runs_of(runs: &[BenchRun], rule: RuleName, load: f64) -> impl Iterator<Item = &BenchRun> {
    runs.iter().filter(move |run| run.rule == rule.as_str() && run.load == load)
}

/// Smallest and largest value over the seeds, in milliseconds at time scale 1.
fn range(
    plan: &BenchPlan,
    runs: &[BenchRun],
    rule: RuleName,
    load: f64,
    value: impl Fn(&LoadReport) -> Option<u64>,
) -> String {
    let scale = plan.scale as f64 * 1_000.0;
    let mut values: Vec<f64> = runs_of(runs, rule, load)
        .filter_map(|run| value(&run.report))
        .map(|micros| micros as f64 / scale)
        .collect();
    values.sort_by(f64::total_cmp);
    match (values.first(), values.last()) {
        (Some(first), Some(last)) => format!("{first:.1}-{last:.1}"),
        _ => "-".into(),
    }
}

fn print_latency(
    plan: &BenchPlan,
    runs: &[BenchRun],
    title: &str,
    value: impl Fn(&LoadReport) -> Option<u64> + Copy,
) {
    println!("\n{title}, ms at time scale 1, smallest-largest over the seeds");
    print!("{:18}", "rule");
    for load in &plan.loads {
        print!(" {load:>13}");
    }
    println!();
    for rule in RuleName::ALL {
        print!("{:18}", rule.as_str());
        for load in &plan.loads {
            print!(" {:>13}", range(plan, runs, rule, *load, value));
        }
        println!();
    }
}

/// Prints all tables.
pub fn print_tables(plan: &BenchPlan, runs: &[BenchRun]) {
    println!(
        "{} entry instances, {} backend servers, time scale {}, seeds {:?}, {} s a run",
        plan.entries,
        plan.servers,
        plan.scale,
        plan.seeds,
        plan.span.as_secs_f64()
    );
    print_latency(plan, runs, "short p50", |report| Some(kind(report, "short")?.p50_us));
    print_latency(plan, runs, "short p99", |report| Some(kind(report, "short")?.p99_us));
    print_latency(plan, runs, "short p99.9", |report| Some(kind(report, "short")?.p999_us));
    print_latency(plan, runs, "long p99", |report| Some(kind(report, "long")?.p99_us));
    println!("\nserved per second, share of offered; refused or unknown per second");
    for rule in RuleName::ALL {
        print!("{:18}", rule.as_str());
        for load in &plan.loads {
            let (mut served, mut offered, mut count) = (0.0, 0.0, 0.0);
            for run in runs_of(runs, rule, *load) {
                let all: u64 = run.report.verdicts.values().sum();
                let ran: u64 = run.report.latencies.values().map(|latency| latency.count).sum();
                served += ran as f64;
                offered += all as f64;
                count += plan.span.as_secs_f64();
            }
            print!(" {:>7.0} {:>5.3}", served / count, served / offered);
        }
        println!();
    }
}
