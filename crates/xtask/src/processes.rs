//! Runs the programs as separate processes and shows their output.

use crate::ci::build_release;
use crate::fleet::{FleetPlan, ProcessFleet, SERVICE, TOKEN};
use anyhow::{Context, Result, ensure};
use std::process::Command;

/// Starts three entry instances, four backend servers and the store, then runs the operators' tool and
/// a load of callers against them.
pub fn run_processes() -> Result<()> {
    build_release()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let fleet = runtime.block_on(ProcessFleet::start(&FleetPlan::new(3, 4)))?;
    run_lacewingctl(&fleet, &["run", &fleet.service_batch(&fleet.servers)])?;
    run_lacewingctl(&fleet, &["run", "show services; show instances"])?;
    let entries: Vec<String> =
        fleet.entries.iter().map(|entry| format!("--entry={}", entry.address)).collect();
    let mut arguments: Vec<&str> = entries.iter().map(String::as_str).collect();
    let service = format!("--service={SERVICE}");
    arguments.extend([service.as_str(), "--rate=300", "--seconds=5"]);
    run_program(&fleet, "lacewing-load", &arguments)?;
    run_lacewingctl(&fleet, &["run", &format!("drain server server-0 in {SERVICE}")])?;
    run_lacewingctl(
        &fleet,
        &["run", &format!("show servers in {SERVICE}; show decisions in {SERVICE}")],
    )?;
    run_lacewingctl(&fleet, &["timeline", "--limit=8"])?;
    let codes = fleet.close()?;
    println!("exit codes of the entry instances: {codes:?}");
    ensure!(
        codes.iter().all(|code| *code == Some(0)),
        "an entry instance exited with an error or cut off requests: {codes:?}"
    );
    Ok(())
}

fn run_lacewingctl(fleet: &ProcessFleet, action: &[&str]) -> Result<()> {
    let instance = format!("--instance={}", fleet.operator_address(0));
    let token = format!("--token={TOKEN}");
    let mut arguments = vec![instance.as_str(), token.as_str()];
    arguments.extend(action);
    run_program(fleet, "lacewingctl", &arguments)
}

fn run_program(fleet: &ProcessFleet, name: &str, arguments: &[&str]) -> Result<()> {
    println!("\n$ {name} {}", arguments.join(" "));
    let path = fleet.programs.join(name);
    let status =
        Command::new(path).args(arguments).status().context("starting a program of the fleet")?;
    ensure!(status.success(), "{name} failed: {status}");
    Ok(())
}
