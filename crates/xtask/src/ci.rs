//! Checks of format, lints and tests.

use anyhow::{Context, Result, bail};
use std::process::Command;

/// File that lists tests which fail because of a known fault, one `test: NAME` line each.
const KNOWN_RED_FILE: &str = "KNOWN-RED.txt";

/// Runs all checks. Stops at the first one that fails.
pub fn run_ci() -> Result<()> {
    cargo(&["fmt", "--all", "--check"])?;
    cargo(&["clippy", "--workspace", "--all-targets", "--", "-D", "warnings"])?;
    test_all()
}

/// Runs all tests except those known to fail, which it prints.
fn test_all() -> Result<()> {
    let text = match std::fs::read_to_string(KNOWN_RED_FILE) {
        Ok(text) => text,
        Err(cause) if cause.kind() == std::io::ErrorKind::NotFound => String::new(),
        Err(cause) => return Err(cause).context(KNOWN_RED_FILE),
    };
    for command in text.lines().filter_map(|line| line.strip_prefix("command: ")) {
        println!("known to fail, not run by CI: {command}");
    }
    let mut arguments = vec!["test", "--workspace", "--"];
    for test in text.lines().filter_map(|line| line.strip_prefix("test: ")) {
        println!("known to fail, skipped: {test}");
        arguments.extend(["--skip", test.trim()]);
    }
    cargo(&arguments)
}

/// Builds all programs with the release profile.
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
