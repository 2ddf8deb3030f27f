//! Chores of the project: checks, runs of the programs as separate processes, runs under faults.

mod added;
mod bench;
mod chaos;
mod ci;
mod control;
mod fleet;
mod kernel_counters;
mod processes;
mod soak;

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
    /// Measure what an instance adds to a call
    #[bpaf(command)]
    Added,
    /// Measure what control costs an instance at several sizes
    #[bpaf(command)]
    Control {
        /// Length of each measurement, in seconds
        #[bpaf(argument("SECONDS"), fallback(12))]
        seconds: u64,
        /// Only the cases with so many instances
        #[bpaf(argument("COUNT"))]
        instances: Option<u16>,
    },
    /// Compare the dispatch rules under load
    #[bpaf(command)]
    Bench {
        /// Entry instances
        #[bpaf(argument("COUNT"), fallback(16))]
        entries: u16,
        /// Backend servers
        #[bpaf(argument("COUNT"), fallback(25))]
        servers: u16,
        /// Data centres
        #[bpaf(argument("COUNT"), fallback(4))]
        centres: u16,
        /// How many times longer all times are than in the users' sizes
        #[bpaf(argument("FACTOR"), fallback(5))]
        scale: u64,
        /// Rate as a share of what the slots can serve; may be given several times
        #[bpaf(argument("LOAD"), many)]
        load: Vec<f64>,
        /// Seed; may be given several times
        #[bpaf(argument("SEED"), many)]
        seed: Vec<u64>,
        /// Length of each run, in seconds
        #[bpaf(argument("SECONDS"), fallback(8))]
        seconds: u64,
        /// How many times the common rate the first caller sends
        #[bpaf(argument("FACTOR"), fallback(1.0))]
        heavy: f64,
        /// Folder for the report
        #[bpaf(argument("FOLDER"), fallback("target/bench".into()))]
        output: std::path::PathBuf,
    },
    /// Run the gateway as separate processes under random faults from outside
    #[bpaf(command)]
    Soak {
        /// Seed of the faults and of the load
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// How long faults are injected, in seconds
        #[bpaf(argument("SECONDS"), fallback(20))]
        seconds: u64,
        /// Only planned work
        planned: bool,
    },
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
        ChoreOptions::Added => added::run_added(),
        ChoreOptions::Control { seconds, instances } => {
            control::run_control(std::time::Duration::from_secs(seconds), instances)
        }
        ChoreOptions::Bench {
            entries,
            servers,
            centres,
            scale,
            load,
            seed,
            seconds,
            heavy,
            output,
        } => bench::run_bench(&bench::BenchPlan {
            entries,
            servers,
            centres,
            scale,
            loads: if load.is_empty() { vec![0.5, 0.8, 0.95] } else { load },
            seeds: if seed.is_empty() { vec![1, 2, 3] } else { seed },
            span: std::time::Duration::from_secs(seconds),
            heavy,
            output,
        }),
        ChoreOptions::Soak { seed, seconds, planned } => soak::run_soak(seed, seconds, planned),
        ChoreOptions::Chaos { seed, seconds, rate } => chaos::run_chaos(seed, seconds, rate),
    }
}
