//! The gateways as processes of their own.

use crate::backend::DATA_CENTRES;
use anyhow::{Context, Result, bail};
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use testkit::free_address;

/// Time between looks at a process.
const LOOK_TICK: Duration = Duration::from_millis(50);
/// Time between SIGTERM and the end that a gateway is given.
pub const GRACE_SPAN: Duration = Duration::from_secs(4);

/// The folder that holds the programs.
pub fn programs_folder() -> Result<PathBuf> {
    let own = std::env::current_exe().context("path of this program")?;
    Ok(own.parent().context("folder of this program")?.to_owned())
}

/// Addresses of one gateway.
#[derive(Debug, Clone, Copy)]
pub struct GatewayAddresses {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where readiness is asked.
    pub ready: SocketAddr,
    /// Where addresses are asked.
    pub directory: SocketAddr,
}

struct GatewayProcess {
    addresses: GatewayAddresses,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// How often it was started.
    start_count: u64,
}

/// Where the output of the gateways goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputTarget {
    /// To files.
    Files,
    /// To pipes that nobody reads.
    Stalled,
}

impl Drop for GatewayProcess {
    /// Ends the process when a run fails half way.
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// All gateways.
pub struct GatewayFleet {
    program: PathBuf,
    output: OutputTarget,
    processes: Vec<Mutex<GatewayProcess>>,
}

impl GatewayFleet {
    /// Starts gateways with settings and logs in a folder of their own.
    pub async fn start(
        folder: &Path,
        count: usize,
        store: SocketAddr,
        output: OutputTarget,
    ) -> Result<Self> {
        let program = folder.join("lacewing-gateway");
        let scratch = std::env::temp_dir().join(format!("lacewing-soak-{}", std::process::id()));
        std::fs::create_dir_all(&scratch)?;
        println!("settings and logs in {}", scratch.display());
        let peers: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
        let seeds: Vec<String> = peers.iter().take(3).map(ToString::to_string).collect();
        let mut processes = Vec::new();
        for (index, peer) in peers.iter().enumerate() {
            let addresses = GatewayAddresses {
                callers: free_address(),
                ready: free_address(),
                directory: free_address(),
            };
            let text = format!(
                "[instance]\nname = g{index}\ndata_centre = {}\n[listen]\ncallers = {}\nready = {}\n\
                 directory = {}\npeers = {peer}\ndatagrams = {peer}\nmetrics = {}\n\
                 [store]\naddress = {store}\n[peers]\nseeds = {}\n[stop]\ngrace_s = {}\n\
                 [probes]\nper_s = 20\n[retries]\nratio = 0.2\nextra = 60\n",
                DATA_CENTRES[index % DATA_CENTRES.len()],
                addresses.callers,
                addresses.ready,
                addresses.directory,
                free_address(),
                seeds.join(","),
                GRACE_SPAN.as_secs_f64(),
            );
            let settings = scratch.join(format!("g{index}.ini"));
            std::fs::write(&settings, text)?;
            let log = scratch.join(format!("g{index}.log"));
            processes.push(Mutex::new(GatewayProcess {
                addresses,
                settings,
                log,
                child: None,
                start_count: 0,
            }));
        }
        let fleet = Self { program, output, processes };
        for index in 0..count {
            fleet.launch(index)?;
        }
        Ok(fleet)
    }

    /// Number of gateways.
    pub fn count(&self) -> usize {
        self.processes.len()
    }

    fn with<T>(&self, index: usize, act: impl FnOnce(&mut GatewayProcess) -> T) -> T {
        act(&mut self.processes[index].lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Addresses of a gateway.
    pub fn addresses(&self, index: usize) -> GatewayAddresses {
        self.with(index, |process| process.addresses)
    }

    /// How often a gateway was started.
    pub fn start_count(&self, index: usize) -> u64 {
        self.with(index, |process| process.start_count)
    }

    /// Sets the difference of a gateway's clock, from its next start on.
    pub fn set_clock(&self, index: usize, offset_s: i64) -> Result<()> {
        let settings = self.with(index, |process| process.settings.clone());
        let text = std::fs::read_to_string(&settings)?;
        let kept = text.lines().filter(|line| !line.starts_with("clock_offset_s"));
        let text: Vec<String> = kept
            .flat_map(|line| match line {
                "[instance]" => vec![line.into(), format!("clock_offset_s = {offset_s}")],
                _ => vec![line.to_owned()],
            })
            .collect();
        Ok(std::fs::write(&settings, text.join("\n"))?)
    }

    /// Starts a gateway that does not run.
    pub fn launch(&self, index: usize) -> Result<()> {
        let program = self.program.clone();
        self.with(index, |process| {
            let log = File::options().create(true).append(true).open(&process.log)?;
            let child = Command::new(&program)
                .arg("--settings")
                .arg(&process.settings)
                .stdin(Stdio::null())
                .stderr(log.try_clone()?)
                .stdout(match self.output {
                    OutputTarget::Files => Stdio::from(log),
                    OutputTarget::Stalled => Stdio::piped(),
                })
                .spawn()
                .with_context(|| format!("starting {}", program.display()))?;
            process.child = Some(child);
            process.start_count += 1;
            Ok(())
        })
    }

    /// Sends a signal to a gateway, if it runs.
    pub fn signal(&self, index: usize, signal: Signal) -> Result<()> {
        self.with(index, |process| match &process.child {
            Some(child) => Ok(kill_process(Pid::from_child(child), signal)?),
            None => Ok(()),
        })
    }

    /// Waits for the end of a gateway, and kills it after `limit`. Gives whether it ended by itself.
    pub async fn wait_end(&self, index: usize, limit: Duration) -> Result<bool> {
        let until = Instant::now() + limit;
        loop {
            let ended = self.with(index, |process| match &mut process.child {
                Some(child) => child.try_wait().map(|status| status.is_some()),
                None => Ok(true),
            })?;
            if ended || Instant::now() > until {
                if !ended {
                    self.signal(index, Signal::KILL)?;
                }
                self.with(index, |process| match process.child.take() {
                    Some(mut child) => child.wait().map(|_| ()),
                    None => Ok(()),
                })?;
                return Ok(ended);
            }
            tokio::time::sleep(LOOK_TICK).await;
        }
    }

    /// Waits until all gateways are ready.
    pub async fn wait_ready(&self, timeout: Duration) -> Result<()> {
        let until = Instant::now() + timeout;
        for index in 0..self.count() {
            let address = self.addresses(index).ready;
            while !is_ready(address).await {
                if Instant::now() > until {
                    bail!("gateway {index} is not ready after {timeout:?}");
                }
                tokio::time::sleep(LOOK_TICK).await;
            }
        }
        Ok(())
    }

    /// Ends all gateways.
    pub async fn close(&self) {
        for index in 0..self.count() {
            // A gateway that is gone already needs no signal.
            let _ = self.signal(index, Signal::TERM);
        }
        for index in 0..self.count() {
            let _ = self.wait_end(index, GRACE_SPAN).await;
        }
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let answer = crate::caller::ask(address, "/readyz").await;
    answer.is_ok_and(|(status, _)| status == http::StatusCode::OK)
}
