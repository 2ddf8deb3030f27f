//! Checks with requests to each gateway whether the newest configuration is in force there.

use crate::caller::get_with_id;
use crate::process::GatewayFleet;
use crate::store::StoreStandin;
use crate::verifier::{RunVerifier, VersionObservation};
use gateway::WireBinding;
use http::StatusCode;
use platform::PlatformBinding;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Delay after each round over all gateways.
const ROUND_DELAY: Duration = Duration::from_millis(120);

/// Checks all ready gateways, round after round, until the run ends.
pub async fn check_versions(
    fleet: Arc<GatewayFleet>,
    store: StoreStandin,
    verifier: Arc<RunVerifier>,
) {
    let binding = PlatformBinding::default();
    let mut number = 0_u64;
    while !verifier.is_stopped() {
        for index in 0..fleet.count() {
            number += 1;
            let start_count = fleet.start_count(index);
            let addresses = fleet.addresses(index);
            let (version, acknowledged_at) = store.newest_config();
            let is_ready = matches!(
                crate::caller::get(addresses.ready, binding.ready_path()).await,
                Ok((StatusCode::OK, _))
            );
            if !is_ready {
                continue;
            }
            let asked_at = Instant::now();
            let path = format!("/v{version}/x");
            let id = format!("probe-{number}");
            let response = get_with_id(addresses.callers, &path, &binding, &id).await;
            let in_force = match response {
                Ok((StatusCode::OK, _)) => true,
                Ok((StatusCode::NOT_FOUND, _)) => false,
                // Other responses don't show which configuration is in force.
                _ => continue,
            };
            // If a newer version was written meanwhile, the route of `version` may already be gone.
            let is_newest = store.newest_config().0 == version;
            if start_count == fleet.start_count(index) && is_newest {
                let observation = VersionObservation {
                    index,
                    start_count,
                    version,
                    acknowledged_at,
                    asked_at,
                    in_force,
                };
                verifier.record_version(observation);
            }
        }
        tokio::time::sleep(ROUND_DELAY).await;
    }
}
