//! Chores of the project: checks, runs of the programs as separate processes, runs under faults.

mod chaos;
mod ci;
mod fleet;
mod processes;

use anyhow::Result;
use bpaf::Bpaf;

/// Chores of the project.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum ChoreOptions {
    /// Check format, lints and tests
    #[bpaf(command)]
    Ci,
    /// Run the programs as separate processes and show what they print
    #[bpaf(command)]
    Processes,
    /// Run the programs as separate processes under random faults and check the promises
    #[bpaf(command)]
    Chaos {
        /// Seed of the faults and of the load
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// How long, in seconds
        #[bpaf(argument("SECONDS"), fallback(60))]
        seconds: u64,
        /// Requests per second
        #[bpaf(argument("RATE"), fallback(300.0))]
        rate: f64,
    },
}

fn main() -> Result<()> {
    match chore_options().run() {
        ChoreOptions::Ci => ci::run_ci(),
        ChoreOptions::Processes => processes::run_processes(),
        ChoreOptions::Chaos { seed, seconds, rate } => chaos::run_chaos(seed, seconds, rate),
    }
}
