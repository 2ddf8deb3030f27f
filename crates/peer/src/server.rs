//! Server of the protocol between instances.

use crate::message::{ConfigCopy, ForwardCall, ForwardReply, PeerLink, TicketBatch, TicketInquiry};
use futures::StreamExt;
use futures::future::BoxFuture;
use model::{FleetDigest, InstanceName, InstanceRecord, ServiceName};
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Duration;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel, Config};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_serde::formats::Bincode;
use tokio_util::codec::LengthDelimitedCodec;

/// Length in bytes of the proof that a client sends first on a connection.
const PROOF_BYTES: usize = 32;
/// Time within which the proof must arrive.
const PROOF_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum length of a message in bytes.
pub(crate) const FRAME_MAX_BYTES: usize = 8 * 1024 * 1024;
/// Delay after a failed accept. Without it the loop would spin while file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Proof that an instance knows the token shared by all instances: a key derived from it.
#[derive(Clone)]
pub struct TokenProof([u8; PROOF_BYTES]);

impl TokenProof {
    /// Derives the proof from the token.
    pub fn of_token(token: &SmolStr) -> Self {
        Self(blake3::derive_key("lacewingshelf peer token", token.as_bytes()))
    }

    pub(crate) async fn send(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.write_all(&self.0).await
    }

    async fn check(&self, stream: &mut TcpStream) -> bool {
        let mut received = [0; PROOF_BYTES];
        let reading = tokio::time::timeout(PROOF_TIMEOUT, stream.read_exact(&mut received));
        // `blake3::Hash` compares in constant time.
        matches!(reading.await, Ok(Ok(_)))
            && blake3::Hash::from(received) == blake3::Hash::from(self.0)
    }
}

/// Implementation of the functions that an instance serves to the others; see [`PeerLink`].
pub trait PeerHandler: Send + Sync {
    /// Receives another instance's digest and returns that of this instance.
    fn heartbeat(&self, digest: FleetDigest) -> BoxFuture<'_, FleetDigest>;
    /// Returns the records of the named instances, as far as they are known.
    fn describe(&self, names: Vec<InstanceName>) -> Vec<InstanceRecord>;
    /// Returns the configuration in force; `None` if there is none yet.
    fn fetch_config(&self) -> Option<ConfigCopy>;
    /// Serves a forwarded request.
    fn forward(&self, call: ForwardCall) -> BoxFuture<'_, ForwardReply>;
    /// Issues tickets; `None` if there is no room for them.
    fn issue_tickets(&self, service: ServiceName, count: u32) -> Option<TicketBatch>;
    /// Returns the state of a ticket.
    fn ticket_state(&self, ticket: SmolStr) -> TicketInquiry;
    /// Counts a connection that was closed because its proof of the token was wrong or missing.
    fn record_invalid_token(&self);
}

/// Delegates the calls on a connection to the handler.
#[derive(Clone)]
struct LinkServer {
    handler: Arc<dyn PeerHandler>,
}

impl PeerLink for LinkServer {
    async fn heartbeat(self, _: Context, digest: FleetDigest) -> FleetDigest {
        self.handler.heartbeat(digest).await
    }

    async fn describe(self, _: Context, names: Vec<InstanceName>) -> Vec<InstanceRecord> {
        self.handler.describe(names)
    }

    async fn fetch_config(self, _: Context) -> Option<ConfigCopy> {
        self.handler.fetch_config()
    }

    async fn forward(self, _: Context, call: ForwardCall) -> ForwardReply {
        self.handler.forward(call).await
    }

    async fn issue_tickets(
        self,
        _: Context,
        service: ServiceName,
        count: u32,
    ) -> Option<TicketBatch> {
        self.handler.issue_tickets(service, count)
    }

    async fn ticket_state(self, _: Context, ticket: SmolStr) -> TicketInquiry {
        self.handler.ticket_state(ticket)
    }
}

/// Accepts connections of other instances until the future is dropped. Each connection is served
/// until it closes.
pub async fn accept_peers(listener: TcpListener, proof: TokenProof, handler: Arc<dyn PeerHandler>) {
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let proof = proof.clone();
        let server = LinkServer { handler: Arc::clone(&handler) };
        tokio::spawn(async move {
            if !proof.check(&mut stream).await {
                server.handler.record_invalid_token();
                return;
            }
            let _ = stream.set_nodelay(true);
            serve_stream(stream, server).await;
        });
    }
}

async fn serve_stream(stream: TcpStream, server: LinkServer) {
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(FRAME_MAX_BYTES);
    let framed = tokio_util::codec::Framed::new(stream, codec);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let config = Config { pending_response_buffer: 1_024 };
    let requests = BaseChannel::new(config, transport).execute(server.serve());
    requests
        .for_each(|request| async {
            tokio::spawn(request);
        })
        .await;
}
