//! Development tasks: checks, runs of the programs as separate processes, measurements and runs under
//! faults.

mod added;
mod bench;
mod chaos;
mod ci;
mod control;
mod fleet;
mod kernel_counters;
mod processes;
mod soak;
mod teams;

use anyhow::Result;
use bpaf::Bpaf;

/// Development tasks of the project.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum TaskOptions {
    /// Check format, lints and tests
    #[bpaf(command)]
    Ci,
    /// Run the programs as separate processes and show their output
    #[bpaf(command)]
    Processes,
    /// Measure the latency and CPU time that an instance adds to a request
    #[bpaf(command)]
    Added,
    /// Measure the cost of the control plane per instance, for fleets of several sizes
    #[bpaf(command)]
    Control {
        /// Duration of each measurement, in seconds
        #[bpaf(argument("SECONDS"), fallback(12))]
        seconds: u64,
        /// Measure only the cases with this number of instances
        #[bpaf(argument("COUNT"))]
        instances: Option<u16>,
    },
    /// Compare the dispatch rules under load
    #[bpaf(command)]
    Bench {
        /// Number of entry instances
        #[bpaf(argument("COUNT"), fallback(16))]
        entries: u16,
        /// Number of backend servers
        #[bpaf(argument("COUNT"), fallback(25))]
        servers: u16,
        /// Number of data centres
        #[bpaf(argument("COUNT"), fallback(4))]
        centres: u16,
        /// Factor by which all times are longer than in the users' deployments
        #[bpaf(argument("FACTOR"), fallback(5))]
        scale: u64,
        /// Request rate as a share of the capacity of all slots; may be given several times
        #[bpaf(argument("LOAD"), many)]
        load: Vec<f64>,
        /// Seed; may be given several times
        #[bpaf(argument("SEED"), many)]
        seed: Vec<u64>,
        /// Duration of each run, in seconds
        #[bpaf(argument("SECONDS"), fallback(8))]
        seconds: u64,
        /// Rate of the first caller, as a multiple of the average rate of the others
        #[bpaf(long("heavy"), argument("FACTOR"), fallback(1.0))]
        heavy_factor: f64,
        /// Folder for the report
        #[bpaf(argument("FOLDER"), fallback("target/bench".into()))]
        output: std::path::PathBuf,
    },
    /// Run the gateway as separate processes under random faults injected from outside
    #[bpaf(command)]
    Soak {
        /// Seed of the faults and of the load
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// Time for which faults are injected, in seconds
        #[bpaf(argument("SECONDS"), fallback(20))]
        seconds: u64,
        /// Inject no faults, only planned work such as stops, reloads and changes
        planned: bool,
    },
    /// Measure what teams cost an instance, by their number
    #[bpaf(command)]
    Teams,
    /// Run the programs as separate processes under random faults and check the guarantees
    #[bpaf(command)]
    Chaos {
        /// Seed of the faults and of the load
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// Time for which load and faults run, in seconds
        #[bpaf(argument("SECONDS"), fallback(60))]
        seconds: u64,
        /// Requests per second
        #[bpaf(argument("RATE"), fallback(300.0))]
        rate: f64,
    },
}

fn main() -> Result<()> {
    match task_options().run() {
        TaskOptions::Ci => ci::run_ci(),
        TaskOptions::Processes => processes::run_processes(),
        TaskOptions::Added => added::run_added(),
        TaskOptions::Control { seconds, instances } => {
            control::run_control(std::time::Duration::from_secs(seconds), instances)
        }
        TaskOptions::Bench {
            entries,
            servers,
            centres,
            scale,
            load,
            seed,
            seconds,
            heavy_factor,
            output,
        } => bench::run_bench(&bench::BenchPlan {
            entries,
            servers,
            centres,
            scale,
            loads: if load.is_empty() { vec![0.5, 0.8, 0.95] } else { load },
            seeds: if seed.is_empty() { vec![1, 2, 3] } else { seed },
            run_duration: std::time::Duration::from_secs(seconds),
            heavy_factor,
            output,
        }),
        TaskOptions::Teams => teams::run_teams(),
        TaskOptions::Soak { seed, seconds, planned } => soak::run_soak(seed, seconds, planned),
        TaskOptions::Chaos { seed, seconds, rate } => chaos::run_chaos(seed, seconds, rate),
    }
}
