//! A fleet of separate processes on the loopback interface.

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

/// Secret of the fleet.
pub const TOKEN: &str = "fleet-token";
/// The service of the fleet.
pub const SERVICE: &str = "orders";
/// First port; each process has the next ones.
const FIRST_PORT: u16 = 21_000;
/// Ports of one entry instance.
const ENTRY_PORTS: u16 = 3;
/// How long a process may take to listen.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// When the second stop follows the first; an instance goes on for longer than that.
const SECOND_STOP_AFTER: Duration = Duration::from_millis(200);
/// How long an administrative call may take.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(2);

/// What processes to start.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// Entry instances.
    pub entries: u16,
    /// Backend servers.
    pub servers: u16,
    /// Data centres over which the entry instances are spread.
    pub centres: u16,
    /// First port; each process has the next ones.
    pub first_port: u16,
    /// Further settings of the entry instances.
    pub settings: String,
}

impl FleetPlan {
    /// So many processes in four data centres.
    pub fn new(entries: u16, servers: u16) -> Self {
        Self { entries, servers, centres: 4, first_port: FIRST_PORT, settings: String::new() }
    }
}

/// A process of the fleet.
pub struct FleetProcess {
    /// Its name in reports.
    pub name: SmolStr,
    /// Where it serves callers, for an entry instance, or everybody.
    pub address: SocketAddr,
    child: Option<Child>,
    command: Vec<String>,
    log: PathBuf,
}

impl FleetProcess {
    /// Starts the process again after it ended.
    pub fn start(&mut self) -> Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let (program, arguments) = self.command.split_first().context("a command has a program")?;
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
        let child = self.child.as_ref().context("the process runs")?;
        let pid = Pid::from_child(child);
        Ok(kill_process(pid, signal)?)
    }

    /// Stops the process for a while without its notice.
    pub async fn freeze(&self, span: Duration) -> Result<()> {
        self.signal(Signal::STOP)?;
        tokio::time::sleep(span).await;
        self.signal(Signal::CONT)
    }

    /// The process id, while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Waits until the process ended; gives its exit code, or none after a signal.
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
                bail!("{} does not listen", self.name);
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

/// All processes.
pub struct ProcessFleet {
    /// The platform's stand-in.
    pub store: FleetProcess,
    /// Backend servers.
    pub servers: Vec<FleetProcess>,
    /// Entry instances.
    pub entries: Vec<FleetProcess>,
    /// Where the programs are.
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
    /// Starts all processes and waits until the instances know each other.
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
            let port = next_port(ENTRY_PORTS);
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

    /// A client for operators of one entry instance.
    pub fn operator(&self, entry: usize) -> OperatorClient {
        OperatorClient::new(self.operator_address(entry), SmolStr::new_static(TOKEN))
    }

    /// The operators' port of an entry instance.
    pub fn operator_address(&self, entry: usize) -> SocketAddr {
        loopback(self.entries[entry].address.port() + 1)
    }

    /// Commands that create the service.
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

    /// Asks a process for something.
    pub async fn get<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Result<T> {
        let request = Request::get(path).header(header::HOST, "fleet").body(Full::default())?;
        self.exchange(address, request).await
    }

    /// Tells a process something.
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
        let answer = self.pool.exchange(address, request, choice, deadline).await?;
        Ok(serde_json::from_slice(answer.body())?)
    }

    async fn wait_for_members(&self) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline {
            if self.all_know_all().await {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        bail!("the instances did not find each other")
    }

    async fn all_know_all(&self) -> bool {
        for entry in 0..self.entries.len() {
            let Ok(answer) = self.operator(entry).send("show instances", None).await else {
                return false;
            };
            let model::operator::CommandAnswer::Report { tables } = answer else {
                return false;
            };
            if tables[0].rows.len() != self.entries.len() {
                return false;
            }
        }
        true
    }

    /// Stops the entry instances as an operator would and ends the stand-ins.
    ///
    /// Gives the exit codes of the entry instances.
    pub fn close(mut self) -> Result<Vec<Option<i32>>> {
        for entry in &self.entries {
            entry.signal(Signal::TERM)?;
        }
        // A second stop on top of the first must not cut it short.
        std::thread::sleep(SECOND_STOP_AFTER);
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
    let peer_port = |entry: u16| port - number * ENTRY_PORTS + entry * ENTRY_PORTS + 2;
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
