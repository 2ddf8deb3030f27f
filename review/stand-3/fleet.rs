//! The project's gateway as separate processes, with settings by the template of the deploy file.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::wire::Connection;

/// Bounds of the small deployment.
pub const DRAIN_S: f64 = 2.0;
pub const GRACE_S: f64 = 6.0;
pub const STABLE_S: f64 = 3.0;

#[derive(Debug, Clone)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub peers: SocketAddr,
    pub datagrams: SocketAddr,
    pub metrics: SocketAddr,
}

pub struct Gateway {
    pub name: String,
    pub zone: String,
    pub addresses: Addresses,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Returns an address that is free for TCP and UDP. Its port is below those that the system gives to
/// outgoing connections, so nothing else takes it before the gateway does.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 11_000 + (std::process::id() % 180) as u16 * 100;
    for _ in 0..2_000 {
        let port = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port");
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

pub const SIGKILL: i32 = 9;
/// Option of `prctl`: the signal that a process gets when the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

impl Gateway {
    /// Sends a signal to the process that this run started.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: `kill` takes plain numbers; the process is a child that was not waited for yet.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn launch(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("log file");
        let mut command = Command::new("target/release/lacewing-gateway");
        // SAFETY: `prctl` takes plain numbers and may be called between `fork` and `exec`.
        unsafe {
            command.pre_exec(|| {
                // No gateway is left when this program is ended in the middle.
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .env_clear()
            .env("LACEWINGSHELF_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("log file"))
            .stdout(log)
            .spawn()
            .expect("the gateway starts");
        self.child = Some(child);
    }

    pub fn is_ready(&self) -> bool {
        get(self.addresses.ready, "/readyz", Duration::from_millis(500))
            .is_some_and(|(status, _)| status == 200)
    }
}

/// A short `GET` on a new connection.
pub fn get(address: SocketAddr, target: &str, limit: Duration) -> Option<(u16, Vec<u8>)> {
    let stream = std::net::TcpStream::connect_timeout(&address, limit).ok()?;
    let mut connection = Connection::new(stream);
    let request = format!("GET {target} HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n");
    connection.write(request.as_bytes()).ok()?;
    let answer = connection.read(Instant::now() + limit, true).ok()?;
    Some((answer.status(), answer.body))
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

pub struct Fleet {
    pub gateways: Vec<Gateway>,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.gateways.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Fleet {
    /// Starts one gateway for each name and zone.
    pub fn start(names: &[(String, String)], store: SocketAddr, record: &Record) -> Self {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let mut gateways: Vec<Gateway> = names
            .iter()
            .map(|(name, zone)| Gateway {
                name: name.clone(),
                zone: zone.clone(),
                addresses: Addresses {
                    callers: free_address(),
                    ready: free_address(),
                    directory: free_address(),
                    peers: free_address(),
                    datagrams: free_address(),
                    metrics: free_address(),
                },
                settings: folder.join(format!("{name}.ini")),
                log: folder.join(format!("{name}.log")),
                child: None,
            })
            .collect();
        let seeds: Vec<String> =
            gateways.iter().take(3).map(|gateway| gateway.addresses.peers.to_string()).collect();
        for gateway in &gateways {
            write_settings(&gateway.settings, &settings(gateway, store, &seeds));
        }
        for gateway in &mut gateways {
            gateway.launch();
        }
        record.line(format!("{} gateways started", gateways.len()));
        Self { gateways, folder }
    }

    /// Waits until all gateways are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while !self.gateways.iter().all(Gateway::is_ready) {
            if Instant::now() > until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        true
    }

    pub fn by_name(&mut self, name: &str) -> &mut Gateway {
        self.gateways.iter_mut().find(|gateway| gateway.name == name).expect("a known name")
    }
}

fn write_settings(path: &Path, text: &str) {
    let mut file = File::create(path).expect("settings file");
    file.write_all(text.as_bytes()).expect("settings file");
}

/// The template `deploy/gateway.ini`, filled in as the platform does it for a small deployment.
fn settings(gateway: &Gateway, store: SocketAddr, seeds: &[String]) -> String {
    let Addresses { callers, ready, directory, peers, datagrams, metrics } = &gateway.addresses;
    format!(
        "[instance]\nname = {}\ndata_centre = {}\ncores = 0.2\ndescriptors = 4100\nmemory_mb = 260\n\
         link_mbps = 1000.0\n\n[listen]\ncallers = {callers}\nready = {ready}\n\
         directory = {directory}\npeers = {peers}\ndatagrams = {datagrams}\nmetrics = {metrics}\n\n\
         [store]\naddress = {store}\n\n[peers]\nseeds = {}\n\n[directory]\nkeep_s = 1.5\n\
         keep_max_s = 5\n\n[stop]\ngrace_s = {GRACE_S}\n\n[probes]\nper_s = 60\n\n[retries]\n\
         ratio = 0.2\nextra = 60\nwindow_s = 10\nfirst_start = true\n",
        gateway.name,
        gateway.zone,
        seeds.join(","),
    )
}
