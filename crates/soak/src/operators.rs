//! Work of the operators beside the faults: data centres are evacuated and taken back, and the store comes
//! back from a copy some seconds old.

use crate::backend::DATA_CENTRES;
use crate::fault::FaultKinds;
use crate::store::StoreStandin;
use crate::verifier::RunVerifier;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval between checks whether the run has ended.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest age of a copy from which the store comes back, in milliseconds.
const COPY_AGE_MAX_MS: u64 = 4_000;
/// Longest time until all lost writes are written again, in milliseconds.
const RENEWAL_MAX_MS: u64 = 1_500;

async fn pause(verifier: &RunVerifier, millis: u64) {
    let until = Instant::now() + Duration::from_millis(millis);
    while Instant::now() < until && !verifier.is_stopped() {
        tokio::time::sleep(END_CHECK_INTERVAL).await;
    }
}

/// Evacuates data centres and lets the store lose writes until the run ends.
pub async fn run_operators(
    seed: u64,
    kinds: FaultKinds,
    store: StoreStandin,
    verifier: Arc<RunVerifier>,
) {
    // A sequence of its own, so that the faults of a seed stay the same.
    let mut random = SmallRng::seed_from_u64(seed.rotate_left(32));
    while !verifier.is_stopped() {
        pause(&verifier, random.random_range(2_000..6_000)).await;
        if kinds == FaultKinds::All && random.random_bool(0.5) {
            verifier.record_fault();
            store.come_back(Duration::from_millis(random.random_range(500..COPY_AGE_MAX_MS)));
            pause(&verifier, random.random_range(0..RENEWAL_MAX_MS)).await;
            store.renew_lost_writes();
            verifier.record_fault();
            continue;
        }
        let centre = DATA_CENTRES[random.random_range(0..DATA_CENTRES.len())];
        store.set_evacuated(centre, true);
        verifier.record_evacuation(centre, true);
        pause(&verifier, random.random_range(3_000..8_000)).await;
        verifier.record_evacuation(centre, false);
        store.set_evacuated(centre, false);
    }
}
