//! A loopback proxy that delays, discards or resets the traffic of its connections.

use anyhow::Result;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Size of the read buffer, and so of the largest chunk forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// How the proxy treats its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyMode {
    /// Forwards everything.
    Pass,
    /// Forwards each chunk after this delay.
    Delay(Duration),
    /// Closes open connections and each new one at once.
    Reset,
    /// Discards what the target sends; requests still reach it.
    DiscardResponses,
    /// Discards what is sent to the target; responses still come back.
    DiscardRequests,
    /// Discards the bytes of both directions; new connections are accepted and stay unresponsive.
    DiscardAll,
}

/// A proxy in front of one address.
#[derive(Clone)]
pub struct FaultProxy {
    /// Address on which the proxy listens.
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
                tokio::spawn(serve_connection(stream, target, shared.subscribe()));
            }
        });
        Ok(Self { address, mode })
    }

    /// Sets the mode for open and new connections.
    ///
    /// A direction of a connection that discarded bytes once discards all later ones, whatever the
    /// mode.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }
}

async fn serve_connection(
    client: TcpStream,
    target: SocketAddr,
    mut mode: watch::Receiver<ProxyMode>,
) {
    if *mode.borrow() == ProxyMode::Reset {
        return;
    }
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    // Without TCP_NODELAY small chunks arrive later, but they arrive.
    let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let requests = forward_bytes(client_read, upstream_write, mode.clone(), false);
    let responses = forward_bytes(upstream_read, client_write, mode.clone(), true);
    let reset = async {
        let _ = mode.wait_for(|mode| *mode == ProxyMode::Reset).await;
    };
    tokio::select! {
        () = async { tokio::join!(requests, responses); } => {}
        () = reset => {}
    }
}

async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mode: watch::Receiver<ProxyMode>,
    is_response: bool,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut is_discarding = false;
    loop {
        let Ok(length) = from.read(&mut chunk).await else {
            return;
        };
        if length == 0 {
            // After discarding bytes, the end of the connection is not forwarded either.
            if !is_discarding {
                let _ = to.shutdown().await;
            }
            return;
        }
        match *mode.borrow() {
            ProxyMode::DiscardAll => is_discarding = true,
            ProxyMode::DiscardResponses if is_response => is_discarding = true,
            ProxyMode::DiscardRequests if !is_response => is_discarding = true,
            _ => {}
        }
        let delay = match *mode.borrow() {
            ProxyMode::Delay(delay) => delay,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        if !is_discarding && to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
