//! Format, lints and tests.

use anyhow::{Context, Result, bail};
use std::process::Command;

/// Runs all checks; the first that fails ends the run.
pub fn run_ci() -> Result<()> {
    cargo(&["fmt", "--all", "--check"])?;
    cargo(&["clippy", "--workspace", "--all-targets", "--", "-D", "warnings"])?;
    cargo(&["test", "--workspace"])
}

/// Builds all programs with optimisation.
pub fn build_release() -> Result<()> {
    cargo(&["build", "--release", "--workspace"])
}

fn cargo(arguments: &[&str]) -> Result<()> {
    println!("cargo {}", arguments.join(" "));
    let status = Command::new(env!("CARGO")).args(arguments).status().context("starting cargo")?;
    if !status.success() {
        bail!("cargo {} failed", arguments.join(" "));
    }
    Ok(())
}
