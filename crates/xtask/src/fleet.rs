//! Starts and stops a fleet of separate processes on the loopback interface.

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use http::{Request, header};
use http_body_util::Full;
use link::{ConnectionChoice, LinkPool, LinkPoolBuilder};
use programs::operator::OperatorClient;
use rustix::process::{Pid, Signal, kill_process};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Secret shared by the instances and operators of the fleet.
pub const TOKEN: &str = "fleet-token";
/// Name of the service that the backend servers offer.
pub const SERVICE: &str = "orders";
/// Default of [`FleetPlan::first_port`].
const FIRST_PORT: u16 = 21_000;
/// Number of ports of an entry instance: for callers, operators and peers.
const PORTS_PER_ENTRY: u16 = 3;
/// Time within which a process must listen and the instances must find each other.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay between the two stop signals of an instance. A stop takes longer than that.
const SECOND_STOP_DELAY: Duration = Duration::from_millis(200);
/// Timeout of a request to an administrative port.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Processes to start, and their settings.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// Number of entry instances.
    pub entries: u16,
    /// Number of backend servers.
    pub servers: u16,
    /// Number of data centres over which the entry instances are spread.
    pub centres: u16,
    /// First port of the fleet. The processes use consecutive ports from here.
    pub first_port: u16,
    /// Text appended to the settings file of each entry instance.
    pub settings: String,
}

impl FleetPlan {
    /// Returns a plan with four data centres and no further settings.
    pub fn new(entries: u16, servers: u16) -> Self {
        Self { entries, servers, centres: 4, first_port: FIRST_PORT, settings: String::new() }
    }
}

/// A process of the fleet.
pub struct FleetProcess {
    /// Name in error messages and of the log file.
    pub name: SmolStr,
    /// Listen address; for an entry instance, the one for callers.
    pub address: SocketAddr,
    child: Option<Child>,
    /// Program and arguments.
    command: Vec<String>,
    log: PathBuf,
}

impl FleetProcess {
    /// Starts the process and waits until it listens. Also restarts it after it ended.
    pub fn start(&mut self) -> Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let (program, arguments) = self.command.split_first().context("empty command")?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("starting {program}"))?;
        self.child = Some(child);
        self.wait_for_port()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let child = self.child.as_ref().context("the process is not running")?;
        let pid = Pid::from_child(child);
        Ok(kill_process(pid, signal)?)
    }

    /// Suspends the process for `duration`.
    pub async fn freeze(&self, duration: Duration) -> Result<()> {
        self.signal(Signal::STOP)?;
        tokio::time::sleep(duration).await;
        self.signal(Signal::CONT)
    }

    /// Returns the process id, or `None` if the process is not running.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Waits until the process ends. Returns its exit code, or `None` if a signal ended it.
    pub fn wait(&mut self) -> Result<Option<i32>> {
        match self.child.take() {
            Some(mut child) => Ok(child.wait()?.code()),
            None => Ok(None),
        }
    }

    fn wait_for_port(&mut self) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        while std::net::TcpStream::connect(self.address).is_err() {
            let ended = self.child.as_mut().map(Child::try_wait).transpose()?.flatten();
            if let Some(status) = ended {
                bail!("{} ended with {status}; see {}", self.name, self.log.display());
            }
            if Instant::now() > deadline {
                bail!("{} does not listen after {START_TIMEOUT:?}", self.name);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A running fleet.
pub struct ProcessFleet {
    /// Stand-in for the platform's store.
    pub store: FleetProcess,
    /// Backend servers.
    pub servers: Vec<FleetProcess>,
    /// Entry instances.
    pub entries: Vec<FleetProcess>,
    /// Folder of the programs.
    pub programs: PathBuf,
    pool: LinkPool,
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn program(programs: &Path, name: &str) -> String {
    programs.join(name).display().to_string()
}

impl ProcessFleet {
    /// Starts all processes and waits until each instance reports all instances as members.
    pub async fn start(plan: &FleetPlan) -> Result<Self> {
        let programs = std::env::current_dir()?.join("target/release");
        let directory = format!("target/fleet/{}", plan.first_port);
        let directory = std::env::current_dir()?.join(directory);
        let _ = std::fs::remove_dir_all(&directory);
        std::fs::create_dir_all(&directory)?;
        let mut port = plan.first_port;
        let mut next_port = |count| {
            port += count;
            port - count
        };
        let store_address = loopback(next_port(1));
        let store = start_process(
            &directory,
            "store",
            store_address,
            vec![
                program(&programs, "lacewing-standin"),
                "store".into(),
                format!("--listen={store_address}"),
            ],
        )?;
        let mut servers = Vec::new();
        for number in 0..plan.servers {
            let name = format!("server-{number}");
            let address = loopback(next_port(1));
            servers.push(start_process(
                &directory,
                &name,
                address,
                vec![
                    program(&programs, "lacewing-standin"),
                    "backend".into(),
                    format!("--listen={address}"),
                    format!("--name={name}"),
                    format!("--seed={number}"),
                ],
            )?);
        }
        let mut entries = Vec::new();
        for number in 0..plan.entries {
            let name = format!("entry-{number}");
            let port = next_port(PORTS_PER_ENTRY);
            let settings = directory.join(format!("{name}.ini"));
            std::fs::write(&settings, entry_settings(plan, number, port, store_address))?;
            entries.push(start_process(
                &directory,
                &name,
                loopback(port),
                vec![
                    program(&programs, "lacewingshelf"),
                    format!("--settings={}", settings.display()),
                ],
            )?);
        }
        let pool = LinkPoolBuilder::default().build();
        let fleet = Self { store, servers, entries, programs, pool };
        fleet.wait_for_members().await?;
        Ok(fleet)
    }

    /// Returns an operator client of an entry instance.
    pub fn operator(&self, entry: usize) -> OperatorClient {
        OperatorClient::new(self.operator_address(entry), SmolStr::new_static(TOKEN))
    }

    /// Returns the operators' address of an entry instance.
    pub fn operator_address(&self, entry: usize) -> SocketAddr {
        loopback(self.entries[entry].address.port() + 1)
    }

    /// Returns commands that create the service with the given backend servers.
    pub fn service_batch(&self, servers: &[FleetProcess]) -> String {
        let mut batch = format!(
            "create service {SERVICE} (deadline_ms = 2000, keep_ms = 2000);\n\
             create rule in {SERVICE} route \"/report\" (class = long);\n"
        );
        for server in servers {
            let line =
                format!("create server {} in {SERVICE} at {};\n", server.name, server.address);
            batch.push_str(&line);
        }
        batch
    }

    /// Sends a GET request to a process and parses the JSON response.
    pub async fn get<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Result<T> {
        let request = Request::get(path).header(header::HOST, "fleet").body(Full::default())?;
        self.exchange(address, request).await
    }

    /// Sends a POST request with a JSON body to a process.
    pub async fn post<B: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &B,
    ) -> Result<()> {
        let request = Request::post(path)
            .header(header::HOST, "fleet")
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(serde_json::to_vec(body)?)))?;
        self.exchange(address, request).await
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<T> {
        let deadline = Instant::now() + ADMIN_TIMEOUT;
        let choice = ConnectionChoice::Recent;
        let response = self.pool.exchange(address, request, choice, deadline).await?;
        Ok(serde_json::from_slice(response.body())?)
    }

    async fn wait_for_members(&self) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline {
            if self.has_all_members().await {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        bail!("not all instances report each other as members after {START_TIMEOUT:?}")
    }

    /// Whether each instance reports all instances as members.
    async fn has_all_members(&self) -> bool {
        for entry in 0..self.entries.len() {
            let Ok(answer) = self.operator(entry).send("show instances", None).await else {
                return false;
            };
            let model::operator::CommandResponse::Report { tables } = answer else {
                return false;
            };
            if tables[0].rows.len() != self.entries.len() {
                return false;
            }
        }
        true
    }

    /// Stops the entry instances with the signal that operators use, then kills the stand-ins.
    ///
    /// Returns the exit codes of the entry instances.
    pub fn close(mut self) -> Result<Vec<Option<i32>>> {
        for entry in &self.entries {
            entry.signal(Signal::TERM)?;
        }
        // A second signal must not cut the stop short.
        std::thread::sleep(SECOND_STOP_DELAY);
        for entry in &self.entries {
            entry.signal(Signal::TERM)?;
        }
        self.entries.iter_mut().map(FleetProcess::wait).collect()
    }
}

fn start_process(
    directory: &Path,
    name: &str,
    address: SocketAddr,
    command: Vec<String>,
) -> Result<FleetProcess> {
    let log = directory.join(format!("{name}.log"));
    let mut process = FleetProcess { name: name.into(), address, child: None, command, log };
    process.start()?;
    Ok(process)
}

fn entry_settings(plan: &FleetPlan, number: u16, port: u16, store: SocketAddr) -> String {
    let peer_port = |entry: u16| port - number * PORTS_PER_ENTRY + entry * PORTS_PER_ENTRY + 2;
    let seeds: Vec<String> = (0..2).map(|entry| loopback(peer_port(entry)).to_string()).collect();
    format!(
        "[instance]\nname = entry-{number}\ndata_centre = dc-{}\ncaller_address = {}\n\
         operator_address = {}\npeer_address = {}\n[platform]\naddress = {store}\n\
         timeout_ms = 500\n[fleet]\ntoken = {TOKEN}\nseeds = {}\n{}",
        number % plan.centres,
        loopback(port),
        loopback(port + 1),
        loopback(port + 2),
        seeds.join(","),
        plan.settings,
    )
}
