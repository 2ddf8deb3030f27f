//! A TCP relay that closes or stalls connections at a chosen byte.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::watch;

/// Point at which a fault is triggered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayStep {
    /// When a connection opens.
    Connect,
    /// After this number of bytes to the server.
    Request(usize),
    /// After this number of bytes of the response.
    Answer(usize),
}

/// Effect of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayAction {
    /// Closes both sides.
    Close,
    /// Forwards no more bytes and leaves both sides open.
    Stall,
}

/// A fault that is triggered a limited number of times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayFault {
    pub step: RelayStep,
    pub action: RelayAction,
    pub times: u32,
}

#[derive(Default)]
struct RelayPlan {
    fault: Option<RelayFault>,
    /// Number of calls of `set_fault`; each one resets the byte counts.
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

/// Triggers the fault if `matches` accepts its step and it has not been triggered `times` times.
fn trigger(plan: &Mutex<RelayPlan>, matches: impl Fn(RelayStep) -> bool) -> Option<RelayAction> {
    let mut plan = plan.lock().unwrap();
    let fault = plan.fault.as_mut().filter(|fault| fault.times > 0 && matches(fault.step))?;
    fault.times -= 1;
    Some(fault.action)
}

async fn relay(client: TcpStream, target: SocketAddr, plan: Arc<Mutex<RelayPlan>>) {
    match trigger(&plan, |step| step == RelayStep::Connect) {
        Some(RelayAction::Close) => return,
        Some(RelayAction::Stall) => std::future::pending().await,
        None => {}
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    // Both directions subscribe before either forwards a byte, so that neither misses the fault.
    let (state, ended) = watch::channel(None);
    let request =
        pump(client_read, server_write, &plan, &state, ended.clone(), |step| match step {
            RelayStep::Request(at) => Some(at),
            _ => None,
        });
    let response = pump(server_read, client_write, &plan, &state, ended, |step| match step {
        RelayStep::Answer(at) => Some(at),
        _ => None,
    });
    tokio::join!(request, response);
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    plan: &Mutex<RelayPlan>,
    state: &watch::Sender<Option<RelayAction>>,
    mut ended: watch::Receiver<Option<RelayAction>>,
    position_of: impl Fn(RelayStep) -> Option<usize>,
) {
    let mut buffer = vec![0; 16 * 1024];
    let mut forwarded = 0;
    let mut epoch = 0;
    loop {
        let read = tokio::select! {
            // A close in one direction must stop the other one before a response to it is
            // forwarded.
            biased;
            _ = ended.changed() => {
                let is_stalled = *ended.borrow() == Some(RelayAction::Stall);
                if is_stalled {
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
            (epoch, forwarded) = (current, 0);
        }
        let mut allowed = count;
        let action = trigger(plan, |step| {
            position_of(step).is_some_and(|at| forwarded <= at && at < forwarded + count)
        });
        if action.is_some()
            && let Some(at) = plan.lock().unwrap().fault.and_then(|fault| position_of(fault.step))
        {
            allowed = at - forwarded;
        }
        if to.write_all(&buffer[..allowed]).await.is_err() {
            return;
        }
        forwarded += count;
        if let Some(action) = action {
            state.send_replace(Some(action));
        }
    }
}
