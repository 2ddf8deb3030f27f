//! Starts and ends processes of the gateway, with settings like those of a small deployment.

use crate::http::{Connection, Request};
use crate::record::Record;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;
/// Length of a clock tick in the system's process table.
const TICK: Duration = Duration::from_millis(10);

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
}

pub const GRACE: Duration = Duration::from_secs(6);

pub struct Gateway {
    pub name: String,
    child: Child,
    pub callers: SocketAddr,
    ready: SocketAddr,
    directory: SocketAddr,
    pub peers: SocketAddr,
}

/// Returns an address whose port is free for TCP and UDP. Ports below the range for outgoing connections
/// are not taken by one of those meanwhile.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(7_919);
    loop {
        let port = 11_000 + first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % 20_000;
        let address = SocketAddr::from(([127, 0, 0, 1], u16::try_from(port).unwrap_or(11_000)));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Gateway {
    /// Starts an instance with the program and the variable of the deploy file and the platform's pages.
    pub fn start(
        program: &Path,
        folder: &Path,
        name: &str,
        store: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Self {
        let (callers, ready, directory, peers) =
            (free_address(), free_address(), free_address(), free_address());
        let (datagrams, metrics) = (free_address(), free_address());
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        let grace_s = GRACE.as_secs_f64();
        let settings = format!(
            "[instance]\nname = {name}\ndata_centre = zone-a\ncores = 0.2\ndescriptors = 4100\n\
             memory_mb = 260\nlink_mbps = 1000.0\n\n\
             [listen]\ncallers = {callers}\nready = {ready}\ndirectory = {directory}\npeers = {peers}\n\
             datagrams = {datagrams}\nmetrics = {metrics}\n\n\
             [store]\naddress = {store}\n\n[peers]\nseeds = {}\n\n\
             [directory]\nkeep_s = 1.5\nkeep_max_s = 5\n\n[stop]\ngrace_s = {grace_s}\n\n\
             [probes]\nper_s = 60\n\n[retries]\nratio = 0.2\nextra = 60\nwindow_s = 10\n",
            seeds.join(",")
        );
        let file: PathBuf = folder.join(format!("{name}.ini"));
        std::fs::write(&file, settings).expect("the settings can be written");
        let log = std::fs::File::create(folder.join(format!("{name}.log"))).expect("a log file");
        let errors = log.try_clone().expect("the log file can be cloned");
        let mut command = Command::new(program);
        // SAFETY: the closure only makes a system call. The instance ends with this program, also when
        // this is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .env("LACEWINGSHELF_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the gateway starts");
        Self { name: name.to_owned(), child, callers, ready, directory, peers }
    }

    fn get(&self, address: SocketAddr, target: &str) -> Option<(u16, String)> {
        let mut connection = Connection::open(address, Duration::from_secs(1)).ok()?;
        let headers = vec![("Host".to_owned(), "platform".to_owned())];
        let request =
            Request { method: "GET".into(), target: target.into(), headers, body: Vec::new() };
        let response = connection.call(&request).ok()?;
        Some((response.status, String::from_utf8_lossy(&response.body).into_owned()))
    }

    /// Waits until the instance says that it is ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.get(self.ready, "/readyz").is_some_and(|(status, _)| status == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Asks the instance's directory where to connect.
    pub fn look_up(&self, host: &str) -> Option<String> {
        let target = format!("/lookup?name={host}&region=region&zone=zone-a");
        self.get(self.directory, &target).filter(|(status, _)| *status == 200).map(|(_, body)| body)
    }

    /// Returns the memory that the process holds, from the system's process table.
    pub fn memory_bytes(&self) -> Option<usize> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kilobytes: usize = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes * 1024)
    }

    /// Sends a signal, by the system's `kill` command, to this process.
    pub fn signal(&self, signal: &str, record: &Record) -> Instant {
        let at = Instant::now();
        let sent = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(self.child.id().to_string())
            .status();
        record.line_at(at, &format!("SIG{signal} to {}", self.name));
        assert!(sent.is_ok_and(|status| status.success()), "the signal was not sent");
        at
    }
}

/// Period of a processor quota.
const QUOTA_PERIOD: Duration = Duration::from_millis(100);

/// Returns the processor time that a process has used: of its main thread in nanoseconds or, where the
/// system doesn't tell that, of all threads in ticks.
fn processor_time(process: u32) -> Option<Duration> {
    if let Ok(text) = std::fs::read_to_string(format!("/proc/{process}/schedstat")) {
        return text.split(' ').next()?.parse().ok().map(Duration::from_nanos);
    }
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let mut fields = text.rsplit_once(')')?.1.split_whitespace().skip(11);
    let (user, system): (u32, u32) = (fields.next()?.parse().ok()?, fields.next()?.parse().ok()?);
    Some(TICK * (user + system))
}

impl Gateway {
    /// Gives the process a share of a core as a quota: it runs at full speed until it has used the share of
    /// a tenth of a second, and then not at all for the rest of that tenth.
    pub fn limit_processor(&self, share: f64) {
        let process = self.child.id();
        let Ok(process_id) = i32::try_from(process) else {
            return;
        };
        std::thread::spawn(move || {
            let mut began = Instant::now();
            let mut used_before = processor_time(process)?;
            loop {
                std::thread::sleep(Duration::from_millis(1));
                if processor_time(process)? - used_before >= QUOTA_PERIOD.mul_f64(share) {
                    // SAFETY: a system call with the id of a child that has not been waited for.
                    unsafe { kill(process_id, SIGSTOP) };
                    let end = began + QUOTA_PERIOD;
                    std::thread::sleep(end.saturating_duration_since(Instant::now()));
                    // SAFETY: as above.
                    unsafe { kill(process_id, SIGCONT) };
                }
                if began.elapsed() >= QUOTA_PERIOD {
                    began = Instant::now();
                    used_before = processor_time(process)?;
                }
            }
            #[allow(unreachable_code)]
            None::<()>
        });
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // Fails only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
