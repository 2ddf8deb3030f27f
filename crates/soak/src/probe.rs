//! Asks each gateway which configuration is in force, as callers would see it.

use crate::caller::ask_with;
use crate::process::GatewayFleet;
use crate::store::StoreStandin;
use crate::verifier::{RunVerifier, VersionObservation};
use gateway::WireBinding;
use http::StatusCode;
use platform::PlatformBinding;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Pause between two rounds over all gateways.
const ROUND_PAUSE: Duration = Duration::from_millis(120);

/// Asks until the run ends.
pub async fn run_probe(fleet: Arc<GatewayFleet>, store: StoreStandin, verifier: Arc<RunVerifier>) {
    let binding = PlatformBinding::default();
    let mut number = 0_u64;
    while !verifier.is_stopped() {
        for index in 0..fleet.count() {
            number += 1;
            let start_count = fleet.start_count(index);
            let addresses = fleet.addresses(index);
            let (version, acknowledged_at) = store.newest();
            let is_ready = matches!(
                crate::caller::ask(addresses.ready, binding.ready_path()).await,
                Ok((StatusCode::OK, _))
            );
            if !is_ready {
                continue;
            }
            let asked_at = Instant::now();
            let path = format!("/v{version}/x");
            let id = format!("probe-{number}");
            let answer = ask_with(addresses.callers, &path, &binding, &id).await;
            let in_force = match answer {
                Ok((StatusCode::OK, _)) => true,
                Ok((StatusCode::NOT_FOUND, _)) => false,
                // Other answers tell nothing of the configuration.
                _ => continue,
            };
            // A version that came meanwhile has other routes.
            let is_newest = store.newest().0 == version;
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
        tokio::time::sleep(ROUND_PAUSE).await;
    }
}
