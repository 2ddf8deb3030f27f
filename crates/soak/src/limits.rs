//! Servers that limit their requests for a while, beside the faults.

use crate::backend::BackendFleet;
use crate::verifier::RunVerifier;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Number of servers that limit their requests at a time.
const LIMITED_SERVERS: usize = 2;
/// Time for which they do, unless the run ends before.
const LIMIT_DURATION: Duration = Duration::from_secs(12);
/// Time between two such times.
const LIMIT_PAUSE: Duration = Duration::from_secs(1);
/// Interval between checks whether the run has ended.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Makes random servers limit their requests until the run ends.
pub async fn run_limits(seed: u64, servers: Arc<BackendFleet>, verifier: Arc<RunVerifier>) {
    // A sequence of its own, so that the faults of a seed stay the same.
    let mut random = SmallRng::seed_from_u64(!seed);
    while !verifier.is_stopped() {
        tokio::time::sleep(LIMIT_PAUSE).await;
        let mut chosen = servers.active_servers();
        while chosen.len() > LIMITED_SERVERS {
            chosen.swap_remove(random.random_range(0..chosen.len()));
        }
        for server in &chosen {
            server.begin_limit(random.random_range(3..12));
        }
        let until = Instant::now() + LIMIT_DURATION;
        while Instant::now() < until && !verifier.is_stopped() {
            tokio::time::sleep(END_CHECK_INTERVAL).await;
        }
        chosen.iter().for_each(|server| server.end_limit());
    }
}
