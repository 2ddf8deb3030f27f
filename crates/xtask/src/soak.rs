//! Builds the programs and runs the soak test of the gateway.

use crate::ci::build_release;
use anyhow::{Context, Result, bail};
use std::process::Command;

/// Runs the soak test with one seed. With `planned`, it injects no faults, only planned work.
pub fn run_soak(seed: u64, seconds: u64, planned: bool) -> Result<()> {
    build_release()?;
    let mut command = Command::new("target/release/soak");
    command.args(["--seed", &seed.to_string(), "--seconds", &seconds.to_string()]);
    if planned {
        command.arg("--planned");
    }
    let status = command.status().context("starting target/release/soak")?;
    if !status.success() {
        bail!("the soak test failed with seed {seed}");
    }
    Ok(())
}
