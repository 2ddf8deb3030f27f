//! Kernel counters of processes and of the loopback interface.

use anyhow::{Context, Result};
use std::time::Duration;

/// Unit of processor times in `/proc`.
const TICK: Duration = Duration::from_millis(10);

/// Returns the processor time that a process has used so far.
pub fn processor_time(pid: u32) -> Result<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, fields) = text.rsplit_once(')').context("no process name in /proc/PID/stat")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    // User and system time are the 14th and 15th field; `fields` begins after the second, the name.
    let ticks: u32 = fields[11].parse::<u32>()? + fields[12].parse::<u32>()?;
    Ok(TICK * ticks)
}

/// Returns the resident memory of a process, in bytes.
pub fn resident_bytes(pid: u32) -> Result<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).context("no VmRSS")?;
    let kilobytes: u64 = line.split_whitespace().nth(1).context("VmRSS has no value")?.parse()?;
    Ok(kilobytes * 1_024)
}

/// Returns the traffic that all processes have sent over the loopback interface so far.
pub fn loopback_sent() -> Result<LoopbackTraffic> {
    let text = std::fs::read_to_string("/proc/net/dev")?;
    let line = text.lines().find(|line| line.trim_start().starts_with("lo:")).context("no lo")?;
    let (_, fields) = line.split_once(':').context("no counters of the loopback interface")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    Ok(LoopbackTraffic { bytes: fields[8].parse()?, packets: fields[9].parse()? })
}

/// Traffic sent over the loopback interface.
#[derive(Debug, Clone, Copy)]
pub struct LoopbackTraffic {
    /// Number of bytes, including the headers of all layers.
    pub bytes: u64,
    /// Number of packets.
    pub packets: u64,
}
