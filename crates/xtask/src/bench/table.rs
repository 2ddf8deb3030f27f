//! Prints the tables of a comparison.

use crate::bench::{BenchPlan, BenchRun};
use dispatch::RuleName;
use programs::load::{LatencyReport, LoadReport};

fn latencies_of<'a>(report: &'a LoadReport, kind: &str) -> Option<&'a LatencyReport> {
    report.latencies.get(kind)
}

fn runs_of(runs: &[BenchRun], rule: RuleName, load: f64) -> impl Iterator<Item = &BenchRun> {
    runs.iter().filter(move |run| run.rule == rule.as_str() && run.load == load)
}

/// Returns the smallest and largest value over the seeds, in milliseconds at time scale 1. `value`
/// returns microseconds.
fn format_range(
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
            print!(" {:>13}", format_range(plan, runs, rule, *load, value));
        }
        println!();
    }
}

/// Prints the parameters, the latencies and the rates of all runs.
pub fn print_tables(plan: &BenchPlan, runs: &[BenchRun]) {
    println!(
        "{} entry instances, {} backend servers, time scale {}, seeds {:?}, {} s per run",
        plan.entries,
        plan.servers,
        plan.scale,
        plan.seeds,
        plan.run_duration.as_secs_f64()
    );
    print_latency(plan, runs, "short p50", |report| Some(latencies_of(report, "short")?.p50_us));
    print_latency(plan, runs, "short p99", |report| Some(latencies_of(report, "short")?.p99_us));
    print_latency(plan, runs, "short p99.9", |report| Some(latencies_of(report, "short")?.p999_us));
    print_latency(plan, runs, "long p99", |report| Some(latencies_of(report, "long")?.p99_us));
    println!("\nserved requests per second, share of offered requests");
    for rule in RuleName::ALL {
        print!("{:18}", rule.as_str());
        for load in &plan.loads {
            let (mut served, mut offered, mut seconds) = (0.0, 0.0, 0.0);
            for run in runs_of(runs, rule, *load) {
                let run_offered: u64 = run.report.verdicts.values().sum();
                let run_served: u64 =
                    run.report.latencies.values().map(|latency| latency.count).sum();
                served += run_served as f64;
                offered += run_offered as f64;
                seconds += plan.run_duration.as_secs_f64();
            }
            print!(" {:>7.0} {:>5.3}", served / seconds, served / offered);
        }
        println!();
    }
}
