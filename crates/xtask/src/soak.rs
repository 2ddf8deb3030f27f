//! Builds the programs and runs the soak of the gateway.

use crate::ci::build_release;
use anyhow::{Context, Result, bail};
use std::process::Command;

/// Runs one seed.
pub fn run_soak(seed: u64, seconds: u64, planned: bool) -> Result<()> {
    build_release()?;
    let mut command = Command::new("target/release/soak");
    command.args(["--seed", &seed.to_string(), "--seconds", &seconds.to_string()]);
    if planned {
        command.arg("--planned");
    }
    let status = command.status().context("starting the soak")?;
    if !status.success() {
        bail!("the soak failed with seed {seed}");
    }
    Ok(())
}
