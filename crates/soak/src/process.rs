//! Runs the gateways as separate processes.

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

/// Interval between checks whether a process has ended or is ready.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after SIGTERM by which a gateway must have ended. Written to its settings as `grace_s`.
pub const GRACE_PERIOD: Duration = Duration::from_secs(4);

/// Returns the folder of this program, which also holds the program of the gateway.
pub fn programs_folder() -> Result<PathBuf> {
    let own = std::env::current_exe().context("path of this program")?;
    Ok(own.parent().context("folder of this program")?.to_owned())
}

/// Addresses on which one gateway listens.
#[derive(Debug, Clone, Copy)]
pub struct GatewayAddresses {
    /// Port for requests of callers.
    pub callers: SocketAddr,
    /// Port for readiness checks.
    pub ready: SocketAddr,
    /// Port of the directory, from which callers get the addresses of the gateways.
    pub directory: SocketAddr,
}

struct GatewayProcess {
    addresses: GatewayAddresses,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    start_count: u64,
}

/// Where the standard output of the gateways goes. Their standard error always goes to the log
/// files.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputTarget {
    /// Log files, one per gateway.
    Files,
    /// Pipes that are never read.
    Stalled,
}

impl Drop for GatewayProcess {
    /// Kills the process, so that none is left over when a run fails half way.
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // The process may already have ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// All gateways of a run, identified by their index.
pub struct GatewayFleet {
    program: PathBuf,
    output: OutputTarget,
    processes: Vec<Mutex<GatewayProcess>>,
}

impl GatewayFleet {
    /// Starts `count` gateways, which use the store at `store`. Their settings and logs are files
    /// in a new folder, whose path is printed.
    ///
    /// Fails if a file can't be written or the program `lacewing-gateway` in `folder` can't be
    /// started.
    pub async fn start(
        folder: &Path,
        count: usize,
        store: SocketAddr,
        output: OutputTarget,
    ) -> Result<Self> {
        let program = folder.join("lacewing-gateway");
        let run_folder = std::env::temp_dir().join(format!("lacewing-soak-{}", std::process::id()));
        std::fs::create_dir_all(&run_folder)?;
        println!("settings and logs in {}", run_folder.display());
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
                GRACE_PERIOD.as_secs_f64(),
            );
            let settings = run_folder.join(format!("g{index}.ini"));
            std::fs::write(&settings, text)?;
            let log = run_folder.join(format!("g{index}.log"));
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

    /// Number of gateways, running or not.
    pub fn count(&self) -> usize {
        self.processes.len()
    }

    fn with_process<T>(&self, index: usize, action: impl FnOnce(&mut GatewayProcess) -> T) -> T {
        action(&mut self.processes[index].lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the addresses of a gateway, which stay the same over restarts.
    pub fn addresses(&self, index: usize) -> GatewayAddresses {
        self.with_process(index, |process| process.addresses)
    }

    /// Returns how often a gateway was started.
    pub fn start_count(&self, index: usize) -> u64 {
        self.with_process(index, |process| process.start_count)
    }

    /// Sets the offset of a gateway's clock in seconds. It takes effect when the gateway starts
    /// next.
    pub fn set_clock_offset(&self, index: usize, offset_s: i64) -> Result<()> {
        let settings = self.with_process(index, |process| process.settings.clone());
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

    /// Starts a gateway that is not running.
    pub fn launch(&self, index: usize) -> Result<()> {
        let program = self.program.clone();
        self.with_process(index, |process| {
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

    /// Sends a signal to a gateway. Does nothing if the gateway is not running.
    pub fn signal(&self, index: usize, signal: Signal) -> Result<()> {
        self.with_process(index, |process| match &process.child {
            Some(child) => Ok(kill_process(Pid::from_child(child), signal)?),
            None => Ok(()),
        })
    }

    /// Waits until a gateway ends, and kills it after `timeout`. Returns whether it ended before
    /// that.
    pub async fn wait_exit(&self, index: usize, timeout: Duration) -> Result<bool> {
        let until = Instant::now() + timeout;
        loop {
            let ended = self.with_process(index, |process| match &mut process.child {
                Some(child) => child.try_wait().map(|status| status.is_some()),
                None => Ok(true),
            })?;
            if ended || Instant::now() > until {
                if !ended {
                    self.signal(index, Signal::KILL)?;
                }
                self.with_process(index, |process| match process.child.take() {
                    Some(mut child) => child.wait().map(|_| ()),
                    None => Ok(()),
                })?;
                return Ok(ended);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until all gateways are ready. Fails after `timeout`.
    pub async fn wait_ready(&self, timeout: Duration) -> Result<()> {
        let until = Instant::now() + timeout;
        for index in 0..self.count() {
            let address = self.addresses(index).ready;
            while !is_ready(address).await {
                if Instant::now() > until {
                    bail!("gateway {index} is not ready after {timeout:?}");
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Stops all gateways with SIGTERM, and kills those that take longer than `GRACE_PERIOD`.
    pub async fn stop(&self) {
        for index in 0..self.count() {
            // The signal fails only if the gateway has already ended.
            let _ = self.signal(index, Signal::TERM);
        }
        for index in 0..self.count() {
            let _ = self.wait_exit(index, GRACE_PERIOD).await;
        }
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let response = crate::caller::get(address, "/readyz").await;
    response.is_ok_and(|(status, _)| status == http::StatusCode::OK)
}
