//! Runs a stand-in for the platform's store or for a backend server.

use anyhow::Result;
use bpaf::Bpaf;
use model::ServerName;
use standin::{BackendSettingsBuilder, StandinBackend, StandinStore};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// lacewing-standin: stand-ins for external systems in tests and benches.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum StandinOptions {
    /// The platform's key-value service
    #[bpaf(command)]
    Store {
        /// Address to listen at
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Lag of the list of instances, in milliseconds
        #[bpaf(argument("MS"), fallback(1000))]
        list_lag_ms: u64,
    },
    /// A backend server
    #[bpaf(command)]
    Backend {
        /// Address to listen at
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Name of the server
        #[bpaf(argument("NAME"))]
        name: ServerName,
        /// Number of requests processed at once
        #[bpaf(argument("COUNT"), fallback(6))]
        slots: u32,
        /// Limit on open connections
        #[bpaf(argument("COUNT"), fallback(240))]
        connections: usize,
        /// Processing time of a request without a work_ms parameter, in milliseconds
        #[bpaf(argument("MS"), fallback(4))]
        work_ms: u64,
        /// Share of stragglers among requests without a work_ms parameter
        #[bpaf(argument("SHARE"), fallback(0.0))]
        stragglers: f64,
        /// How many times longer a straggler takes
        #[bpaf(argument("FACTOR"), fallback(25))]
        factor: u32,
        /// Time after the start during which requests take twice as long, in milliseconds
        #[bpaf(argument("MS"), fallback(0))]
        cold_ms: u64,
        /// Seed of the random choice of stragglers
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
    },
}

fn main() -> Result<()> {
    let options = standin_options().run();
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?
        .block_on(run(options))
}

async fn run(options: StandinOptions) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    match options {
        StandinOptions::Store { listen, list_lag_ms } => {
            let store = StandinStore::start(listen, Duration::from_millis(list_lag_ms)).await?;
            terminate.recv().await;
            store.close().await;
        }
        StandinOptions::Backend {
            listen,
            name,
            slots,
            connections,
            work_ms,
            stragglers,
            factor,
            cold_ms,
            seed,
        } => {
            let settings = BackendSettingsBuilder::new(name, listen)
                .slots(slots)
                .connections(connections)
                .processing_time(Duration::from_millis(work_ms))
                .stragglers(stragglers, factor)
                .warm_up(Duration::from_millis(cold_ms))
                .seed(seed)
                .build();
            let backend = StandinBackend::start(settings).await?;
            terminate.recv().await;
            backend.close().await;
        }
    }
    Ok(())
}
