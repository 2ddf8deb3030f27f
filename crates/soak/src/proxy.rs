//! A loopback proxy that delays, resets or silences the connections through it.

use anyhow::Result;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are passed on at once.
const PIECE_BYTES: usize = 16 * 1024;

/// What the proxy does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyMode {
    /// Passes everything on.
    Pass,
    /// Passes each piece on later.
    Delay(Duration),
    /// Resets all connections.
    Reset,
    /// Swallows what comes back; requests still arrive.
    SilenceBack,
    /// Swallows what goes there; answers still come back.
    SilenceThere,
    /// Swallows both ways; new connections are accepted and stay silent.
    Silence,
}

/// A proxy in front of one address.
#[derive(Clone)]
pub struct FaultProxy {
    /// Where it listens.
    pub address: SocketAddr,
    mode: watch::Sender<ProxyMode>,
}

impl FaultProxy {
    /// Starts a proxy in front of `target`.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mode = watch::Sender::new(ProxyMode::Pass);
        let shared = mode.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, target, shared.subscribe()));
            }
        });
        Ok(Self { address, mode })
    }

    /// Sets what it does from now on.
    pub fn set(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }
}

async fn serve(near: TcpStream, target: SocketAddr, mut mode: watch::Receiver<ProxyMode>) {
    if *mode.borrow() == ProxyMode::Reset {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    // Without the option pieces are only later.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = pump(near_read, far_write, mode.clone(), false);
    let back = pump(far_read, near_write, mode.clone(), true);
    let reset = async {
        let _ = mode.wait_for(|mode| *mode == ProxyMode::Reset).await;
    };
    tokio::select! {
        () = async { tokio::join!(there, back); } => {}
        () = reset => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mode: watch::Receiver<ProxyMode>,
    is_back: bool,
) {
    let mut piece = vec![0; PIECE_BYTES];
    let mut is_silent = false;
    loop {
        let Ok(length) = from.read(&mut piece).await else {
            return;
        };
        if length == 0 {
            // A connection that went silent tells nothing more, not even its end.
            if !is_silent {
                let _ = to.shutdown().await;
            }
            return;
        }
        match *mode.borrow() {
            ProxyMode::Silence => is_silent = true,
            ProxyMode::SilenceBack if is_back => is_silent = true,
            ProxyMode::SilenceThere if !is_back => is_silent = true,
            _ => {}
        }
        let delay = match *mode.borrow() {
            ProxyMode::Delay(delay) => delay,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        if !is_silent && to.write_all(&piece[..length]).await.is_err() {
            return;
        }
    }
}
