//! Runs the demo of the whole system and prints its outcome.

use anyhow::Result;
use bpaf::Bpaf;
use programs::demo::{DemoOutcome, run_demo};

/// lacewing-demo: store, backend servers, three entry instances, an operator and callers in one
/// process. Ends with exit code 0 only if every lookup was answered and every booking ran at most
/// once.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct DemoOptions {}

fn main() -> Result<()> {
    let DemoOptions {} = demo_options().run();
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build()?;
    let outcome = runtime.block_on(run_demo())?;
    print_outcome(&outcome);
    outcome.check()?;
    println!("every lookup answered, every booking ran at most once");
    Ok(())
}

fn print_outcome(outcome: &DemoOutcome) {
    println!("\ntime line of state changes (latest):");
    for event in &outcome.events {
        println!("  {event}");
    }
    println!("\noutcome by kind and verdict:");
    for (verdict, count) in &outcome.load.verdicts {
        println!("  {verdict:24} {count}");
    }
    for (kind, latency) in &outcome.load.latencies {
        println!(
            "  {kind}: {} served, p50 {:.2} ms, p99 {:.2} ms",
            latency.count,
            latency.p50_us as f64 / 1_000.0,
            latency.p99_us as f64 / 1_000.0
        );
    }
    println!(
        "  bookings run: {}, run twice: {}",
        outcome.ledger.runs.len(),
        outcome.ledger.duplicates()
    );
}
