//! Messages to other instances: datagrams, and requests for missed changes and for registration. Knows
//! nothing of what the messages mean.

use crate::state::GatewayState;
use anyhow::{Context, anyhow};
use bytes::Bytes;
use fleet::{MemberRecord, PeerDatagram, PullReply, ReplyEncoding};
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use link::ConnectionChoice;
use model::StoreRevision;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// Path prefix, followed by a revision, that returns the changes after it.
pub(crate) const CHANGES_PATH: &str = "/v1/changes/";
/// Path on which an instance asks another one to register it in the store.
pub(crate) const REGISTRATION_PATH: &str = "/v1/listing";
/// Bound on a request for registration. The registrar collects several records before it writes
/// them.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Opens the socket for datagrams between instances.
pub(crate) fn open_socket(address: SocketAddr) -> anyhow::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address).context("cannot open the datagram socket")?;
    socket.set_nonblocking(true)?;
    Ok(UdpSocket::from_std(socket)?)
}

/// Sends a datagram to some instances.
pub(crate) fn send_to(state: &GatewayState, datagram: &PeerDatagram, targets: &[SocketAddr]) {
    let Ok(bytes) = postcard::to_stdvec(datagram) else {
        state.log.state("datagram_unsendable", "");
        return;
    };
    for target in targets {
        // Datagrams may be lost anyway; the next one carries the same information.
        let _ = state.socket.try_send_to(&bytes, *target);
    }
}

/// Requests the changes after a revision from another instance.
pub(crate) async fn pull_changes(
    state: &GatewayState,
    from: SocketAddr,
    after: StoreRevision,
    timeout: Duration,
) -> anyhow::Result<PullReply> {
    let request = Request::get(format!("{CHANGES_PATH}{after}"))
        .header(header::HOST, "peer")
        .header(header::ACCEPT_ENCODING, ReplyEncoding::Lz4.name())
        .body(Full::default())?;
    let deadline = Instant::now() + timeout;
    let response =
        state.peer_pool.exchange(from, request, ConnectionChoice::Pooled, deadline).await?;
    if response.status() != StatusCode::OK {
        return Err(anyhow!("status {}", response.status()));
    }
    let encoding = response.headers().get(header::CONTENT_ENCODING).map(HeaderValue::as_bytes);
    let encoding = ReplyEncoding::from_header(encoding).context("unknown encoding of a reply")?;
    Ok(PullReply::decode(response.body(), encoding)?)
}

/// Asks another instance to register this one in the store. Returns when the record is written, or,
/// if this instance is already registered, when the request is accepted.
pub(crate) async fn request_registration(
    state: &GatewayState,
    registrar: SocketAddr,
    record: &MemberRecord,
    is_registered: bool,
) -> anyhow::Result<()> {
    let body = postcard::to_stdvec(&(record, is_registered))?;
    let request = Request::post(REGISTRATION_PATH)
        .header(header::HOST, "peer")
        .body(Full::new(Bytes::from(body)))?;
    let deadline = Instant::now() + REGISTRATION_TIMEOUT;
    let response =
        state.peer_pool.exchange(registrar, request, ConnectionChoice::Pooled, deadline).await?;
    match response.status() {
        StatusCode::OK => Ok(()),
        status => Err(anyhow!("status {status}")),
    }
}
