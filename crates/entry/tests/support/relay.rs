//! A relay between two ends that cuts or silences connections at a chosen byte.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::watch;

/// Where a fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayStep {
    /// As a connection opens.
    Connect,
    /// After so many bytes towards the server.
    Request(usize),
    /// After so many bytes of the answer.
    Answer(usize),
}

/// What the fault does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayAction {
    /// Closes both sides.
    Cut,
    /// Passes nothing on any more and leaves both sides open.
    Silence,
}

/// A fault that strikes a number of times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayFault {
    pub step: RelayStep,
    pub action: RelayAction,
    pub times: u32,
}

#[derive(Default)]
struct RelayPlan {
    fault: Option<RelayFault>,
    /// Counts settings of the fault; bytes are counted anew from each.
    epoch: u64,
}

pub struct FaultRelay {
    address: SocketAddr,
    plan: Arc<Mutex<RelayPlan>>,
}

impl FaultRelay {
    pub fn start(handle: &Handle, target: SocketAddr) -> Self {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let plan = Arc::new(Mutex::new(RelayPlan::default()));
        let shared = Arc::clone(&plan);
        let _entered = handle.enter();
        let listener = TcpListener::from_std(listener).unwrap();
        handle.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay(stream, target, Arc::clone(&shared)));
            }
        });
        Self { address, plan }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn set_fault(&self, fault: Option<RelayFault>) {
        let mut plan = self.plan.lock().unwrap();
        plan.fault = fault;
        plan.epoch += 1;
    }
}

/// Takes one strike of the fault if it strikes at this step.
fn strike(plan: &Mutex<RelayPlan>, strikes: impl Fn(RelayStep) -> bool) -> Option<RelayAction> {
    let mut plan = plan.lock().unwrap();
    let fault = plan.fault.as_mut().filter(|fault| fault.times > 0 && strikes(fault.step))?;
    fault.times -= 1;
    Some(fault.action)
}

async fn relay(client: TcpStream, target: SocketAddr, plan: Arc<Mutex<RelayPlan>>) {
    match strike(&plan, |step| step == RelayStep::Connect) {
        Some(RelayAction::Cut) => return,
        Some(RelayAction::Silence) => std::future::pending().await,
        None => {}
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    // Both directions subscribe before either passes a byte, so that none misses the fault.
    let (state, ended) = watch::channel(None);
    let request =
        pump(client_read, server_write, &plan, &state, ended.clone(), |step| match step {
            RelayStep::Request(at) => Some(at),
            _ => None,
        });
    let answer = pump(server_read, client_write, &plan, &state, ended, |step| match step {
        RelayStep::Answer(at) => Some(at),
        _ => None,
    });
    tokio::join!(request, answer);
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    plan: &Mutex<RelayPlan>,
    state: &watch::Sender<Option<RelayAction>>,
    mut ended: watch::Receiver<Option<RelayAction>>,
    place: impl Fn(RelayStep) -> Option<usize>,
) {
    let mut buffer = vec![0; 16 * 1024];
    let mut passed = 0;
    let mut epoch = 0;
    loop {
        let read = tokio::select! {
            // A cut in one direction must stop the other before an answer to it can pass.
            biased;
            _ = ended.changed() => {
                let is_silent = *ended.borrow() == Some(RelayAction::Silence);
                if is_silent {
                    std::future::pending::<()>().await;
                }
                return;
            }
            read = from.read(&mut buffer) => read,
        };
        let Ok(count @ 1..) = read else {
            return;
        };
        let current = plan.lock().unwrap().epoch;
        if current != epoch {
            (epoch, passed) = (current, 0);
        }
        let mut allowed = count;
        let action =
            strike(plan, |step| place(step).is_some_and(|at| passed <= at && at < passed + count));
        if action.is_some()
            && let Some(at) = plan.lock().unwrap().fault.and_then(|fault| place(fault.step))
        {
            allowed = at - passed;
        }
        if to.write_all(&buffer[..allowed]).await.is_err() {
            return;
        }
        passed += count;
        if let Some(action) = action {
            state.send_replace(Some(action));
        }
    }
}
