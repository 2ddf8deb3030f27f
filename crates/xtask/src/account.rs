//! What the kernel accounts to a process and to the loopback interface.

use anyhow::{Context, Result};
use std::time::Duration;

/// A tick of the kernel's processor accounts.
const TICK: Duration = Duration::from_millis(10);

/// Processor time of a process so far.
pub fn processor_time(pid: u32) -> Result<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, fields) = text.rsplit_once(')').context("a process name ends with a bracket")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    // User and system time are the 14th and 15th field, the name being the second.
    let ticks: u32 = fields[11].parse::<u32>()? + fields[12].parse::<u32>()?;
    Ok(TICK * ticks)
}

/// Memory of a process that is in use, in bytes.
pub fn resident_bytes(pid: u32) -> Result<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).context("VmRSS")?;
    let kilobytes: u64 = line.split_whitespace().nth(1).context("VmRSS has a value")?.parse()?;
    Ok(kilobytes * 1_024)
}

/// Bytes and packets sent over the loopback interface so far, by all processes.
pub fn loopback_sent() -> Result<LoopbackCount> {
    let text = std::fs::read_to_string("/proc/net/dev")?;
    let line = text.lines().find(|line| line.trim_start().starts_with("lo:")).context("lo")?;
    let (_, fields) = line.split_once(':').context("lo has fields")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    Ok(LoopbackCount { bytes: fields[8].parse()?, packets: fields[9].parse()? })
}

/// What was sent over the loopback interface.
#[derive(Debug, Clone, Copy)]
pub struct LoopbackCount {
    /// Bytes with the heads of all layers.
    pub bytes: u64,
    /// Packets.
    pub packets: u64,
}
