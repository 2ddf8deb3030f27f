//! Chores of the project: `cargo xtask ci` checks format, lints and tests.

use anyhow::{Context, Result, bail};
use bpaf::Bpaf;
use std::process::Command;

/// Chores of the project.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum ChoreOptions {
    /// Check format, lints and tests
    #[bpaf(command)]
    Ci,
}

fn main() -> Result<()> {
    match chore_options().run() {
        ChoreOptions::Ci => run_ci(),
    }
}

fn run_ci() -> Result<()> {
    cargo(&["fmt", "--all", "--check"])?;
    cargo(&["clippy", "--workspace", "--all-targets", "--", "-D", "warnings"])?;
    cargo(&["test", "--workspace"])
}

fn cargo(arguments: &[&str]) -> Result<()> {
    println!("cargo {}", arguments.join(" "));
    let status = Command::new(env!("CARGO")).args(arguments).status().context("starting cargo")?;
    if !status.success() {
        bail!("cargo {} failed", arguments.join(" "));
    }
    Ok(())
}
