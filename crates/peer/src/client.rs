//! Client of the protocol between instances: one connection to each instance, replaced after a call
//! failed.

use crate::message::PeerLinkClient;
use crate::server::{FRAME_MAX_BYTES, TokenProof};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tarpc::client::{Config, RpcError};
use tarpc::context::Context;
use tokio::net::TcpStream;
use tokio_serde::formats::Bincode;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Time within which a connection to an instance must open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// A failed call to another instance.
#[derive(Debug)]
pub enum PeerError {
    /// No connection could be opened; the call was not sent.
    NotSent,
    /// No reply arrived before the deadline, or the connection failed; the call may have arrived.
    NoReply,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotSent => "instance unreachable",
            Self::NoReply => "no reply from the instance",
        })
    }
}

impl std::error::Error for PeerError {}

struct OpenClient {
    client: PeerLinkClient,
    /// Distinguishes this connection from later ones to the same address.
    serial: u64,
}

#[derive(Default)]
struct ClientMap {
    open: HashMap<SocketAddr, OpenClient>,
    next_serial: u64,
}

/// Connections to other instances by address.
#[derive(Clone)]
pub struct PeerClients {
    proof: TokenProof,
    clients: Arc<Mutex<ClientMap>>,
}

impl PeerClients {
    /// Creates a pool without connections, which will present `proof`.
    pub fn new(proof: TokenProof) -> Self {
        Self { proof, clients: Arc::default() }
    }

    /// Makes a call and returns its reply, which must arrive within `timeout`.
    ///
    /// The connection of a call without a reply is not used again, since it may be unresponsive.
    ///
    /// # Errors
    /// [`PeerError`], which says whether the call may have arrived.
    pub async fn call<T, F>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        call: impl FnOnce(PeerLinkClient, Context) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let deadline = Instant::now() + timeout;
        let (client, serial) = self.client(address, deadline).await?;
        let mut context = tarpc::context::current();
        context.deadline = deadline;
        let reply = tokio::time::timeout_at(deadline.into(), call(client, context)).await;
        match reply {
            Ok(Ok(reply)) => Ok(reply),
            _ => {
                self.discard(address, serial);
                Err(PeerError::NoReply)
            }
        }
    }

    async fn client(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<(PeerLinkClient, u64), PeerError> {
        if let Some(open) = self.lock().open.get(&address) {
            return Ok((open.client.clone(), open.serial));
        }
        let connect_by = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let opening = tokio::time::timeout_at(connect_by.into(), self.open(address));
        let client = opening.await.ok().and_then(Result::ok).ok_or(PeerError::NotSent)?;
        let mut clients = self.lock();
        clients.next_serial += 1;
        let serial = clients.next_serial;
        clients.open.insert(address, OpenClient { client: client.clone(), serial });
        Ok((client, serial))
    }

    async fn open(&self, address: SocketAddr) -> std::io::Result<PeerLinkClient> {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        self.proof.send(&mut stream).await?;
        let mut codec = LengthDelimitedCodec::new();
        codec.set_max_frame_length(FRAME_MAX_BYTES);
        let framed = Framed::new(stream, codec);
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        let mut config = Config::default();
        config.max_in_flight_requests = 8_192;
        config.pending_request_buffer = 1_024;
        Ok(PeerLinkClient::new(config, transport).spawn())
    }

    /// Drops a connection unless it has been replaced already.
    fn discard(&self, address: SocketAddr, serial: u64) {
        let mut clients = self.lock();
        if clients.open.get(&address).is_some_and(|open| open.serial == serial) {
            clients.open.remove(&address);
        }
    }

    fn lock(&self) -> MutexGuard<'_, ClientMap> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Drops all connections. Each closes when its calls in progress end.
    pub fn close(self) {
        self.lock().open.clear();
    }
}
