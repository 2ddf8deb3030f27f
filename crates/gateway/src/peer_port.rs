//! Communication with other instances: datagrams for heartbeats, load reports and changes of the
//! store, HTTP for missed changes and for registration.

use crate::fleet_state::LoadReach;
use crate::health_check::apply_load_reports;
use crate::limit_reports::apply_limits;
use crate::records::refresh_fleet;
use crate::registration::enqueue_registration;
use crate::serve::{CallerResponse, plain_response};
use crate::state::GatewayState;
use crate::store_sync::apply_batch;
use anyhow::{Context, anyhow};
use bytes::Bytes;
use fleet::{
    ChangeBatch, ChangeOrigin, DATAGRAM_MAX_BYTES, HeardHeartbeat, LimitMessage, LimitRow, LoadRow,
    MemberRecord, PeerDatagram, PullReply, ReplyEncoding, SplitBatch,
};
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use link::ConnectionChoice;
use model::{MonoTime, StoreRevision};
use smol_str::format_smolstr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// One heartbeat in this many carries the sender's record.
const HEARTBEATS_PER_RECORD: u32 = 10;
/// Path prefix, followed by a revision, that returns the changes after it.
const CHANGES_PATH: &str = "/v1/changes/";
/// Path on which an instance asks another one to register it in the store.
const REGISTRATION_PATH: &str = "/v1/listing";
/// Bound on a request for registration. The registrar collects several records before it writes
/// them.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest body of a request for registration, in bytes.
const REGISTRATION_MAX_BYTES: usize = 4 * 1024;
/// Heartbeats in one datagram that passes them on; each takes up to 65 bytes.
const RELAYED_HEARTBEATS_MAX: usize = 21;
/// Shortest time between two log lines on the revision of the replica.
const REPLICA_LOG_INTERVAL: Duration = Duration::from_secs(3);
/// Rows in one datagram of load reports.
const LOAD_ROWS_MAX: usize = 120;
/// Rows in one datagram of limits; each takes up to 16 bytes.
const LIMIT_ROWS_MAX: usize = 60;

/// Opens the socket for datagrams between instances.
pub(crate) fn open_socket(address: SocketAddr) -> anyhow::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address).context("cannot open the datagram socket")?;
    socket.set_nonblocking(true)?;
    Ok(UdpSocket::from_std(socket)?)
}

/// Sends load reports of this health checker to the homes.
pub(crate) fn send_load_reports(state: &GatewayState, rows: &[LoadRow], reach: LoadReach) {
    let queue = state.queue();
    let addressed = state.fleet_ref().addressed_reports(rows, reach, queue.estimates.plan());
    drop(queue);
    for (target, rows) in addressed {
        for chunk in rows.chunks(LOAD_ROWS_MAX) {
            send_to(state, &PeerDatagram::LoadReports(chunk.to_vec()), &[target]);
        }
    }
}

/// Sends limits of servers to one instance.
pub(crate) fn send_limits(state: &GatewayState, message: LimitMessage, target: SocketAddr) {
    let LimitMessage { name, demands, limits } = message;
    let chunks = limits.chunks(LIMIT_ROWS_MAX).map(<[LimitRow]>::to_vec);
    let chunks = chunks.chain(limits.is_empty().then(Vec::new));
    for limits in chunks {
        let message = LimitMessage { name: name.clone(), demands: demands.clone(), limits };
        send_to(state, &PeerDatagram::Limits(message), &[target]);
    }
}

fn send_to(state: &GatewayState, datagram: &PeerDatagram, targets: &[SocketAddr]) {
    let Ok(bytes) = postcard::to_stdvec(datagram) else {
        state.log.state("datagram_unsendable", "");
        return;
    };
    for target in targets {
        // Datagrams may be lost anyway; the next one carries the same information.
        let _ = state.socket.try_send_to(&bytes, *target);
    }
}

/// Relays single changes that this instance received from a watch of the store. Those that do not fit a
/// datagram are announced.
pub(crate) fn send_watched_changes(state: &GatewayState, batch: ChangeBatch) {
    let SplitBatch { datagrams, is_complete } = batch.split();
    let targets = state.fleet_ref().change_targets(ChangeOrigin::Store);
    for batch in datagrams {
        send_to(state, &PeerDatagram::Changes(batch), &targets);
    }
    if !is_complete {
        announce_changes(state);
    }
}

/// Announces changes that cannot be sent one by one. The others fetch them.
pub(crate) fn announce_changes(state: &GatewayState) {
    send_heartbeat(state, false);
}

/// Relays a datagram of changes that another instance sent.
pub(crate) fn pass_on_changes(state: &GatewayState, batch: ChangeBatch) {
    let targets = state.fleet_ref().change_targets(ChangeOrigin::Peer);
    send_to(state, &PeerDatagram::Changes(batch), &targets);
}

/// Sends a heartbeat, and the heartbeats that this instance passes on to its data centre.
fn send_heartbeat(state: &GatewayState, with_record: bool) {
    let now = state.now();
    let fleet = state.fleet_ref();
    let heartbeat = fleet.heartbeat(now, with_record);
    send_to(state, &PeerDatagram::Heartbeat(heartbeat), &fleet.heartbeat_targets());
    let targets = fleet.relayed_heartbeat_targets();
    if targets.is_empty() {
        return;
    }
    for chunk in fleet.relayed_heartbeats(now).chunks(RELAYED_HEARTBEATS_MAX) {
        send_to(state, &PeerDatagram::Relayed(chunk.to_vec()), &targets);
    }
}

/// Announces by a heartbeat, to the instances that this one relays to, that it has changes to
/// fetch.
pub(crate) fn notify_own_centre(state: &GatewayState) {
    let targets = state.fleet_ref().change_targets(ChangeOrigin::Peer);
    let heartbeat = state.fleet_ref().heartbeat(state.now(), false);
    send_to(state, &PeerDatagram::Heartbeat(heartbeat), &targets);
}

/// Sends heartbeats, periodically if this instance is a sender and whenever woken.
pub(crate) async fn run_heartbeats(state: Rc<GatewayState>) {
    let mut sent = 0_u32;
    let mut logged = (state.now(), StoreRevision(0));
    loop {
        let was_woken = tokio::time::timeout(HEARTBEAT_INTERVAL, state.heartbeat_wakeup.notified())
            .await
            .is_ok();
        let is_outdated = state.is_outdated();
        refresh_fleet(&state);
        let is_sender = state.fleet_ref().is_sender();
        if (was_woken || is_sender) && !is_outdated {
            send_heartbeat(&state, was_woken || sent.is_multiple_of(HEARTBEATS_PER_RECORD));
            sent = sent.wrapping_add(1);
        }
        logged = log_replica(&state, logged);
        state.log.flush();
    }
}

/// Logs the replica's revision and digest if the revision has changed and the last line, with its time
/// and revision, is old enough. Returns the time and revision of the latest line.
fn log_replica(
    state: &GatewayState,
    logged: (MonoTime, StoreRevision),
) -> (MonoTime, StoreRevision) {
    let now = state.now();
    let replica = &state.fleet_ref().replica;
    if replica.as_of() == logged.1 || now.since(logged.0) < REPLICA_LOG_INTERVAL {
        return logged;
    }
    let detail = format_smolstr!("revision {} digest {:08x}", replica.as_of(), replica.digest());
    state.log.state("replica", &detail);
    (now, replica.as_of())
}

/// Receives datagrams of other instances.
pub(crate) async fn run_datagrams(state: Rc<GatewayState>) {
    let mut buffer = vec![0; 2 * DATAGRAM_MAX_BYTES];
    loop {
        match state.socket.recv_from(&mut buffer).await {
            Ok((length, from)) => handle_datagram(&state, &buffer[..length], from),
            Err(cause) => {
                state.log_input_fault("datagram_failed", &format_smolstr!("{cause}"));
                tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            }
        }
    }
}

fn handle_datagram(state: &Rc<GatewayState>, bytes: &[u8], from: SocketAddr) {
    match postcard::from_bytes(bytes) {
        Ok(PeerDatagram::Heartbeat(heartbeat)) => {
            apply_heartbeats(state, vec![HeardHeartbeat::now(heartbeat)]);
        }
        Ok(PeerDatagram::Relayed(heartbeats)) => apply_heartbeats(state, heartbeats),
        Ok(PeerDatagram::LoadReports(rows)) => apply_load_reports(state, &rows),
        Ok(PeerDatagram::Limits(message)) => apply_limits(state, message),
        Ok(PeerDatagram::Changes(batch)) => {
            if apply_batch(state, batch) {
                state.sync_wakeup.notify_one();
            }
        }
        Err(cause) => {
            state.log_input_fault("datagram_malformed", &format_smolstr!("{from}: {cause}"));
        }
    }
}

fn apply_heartbeats(state: &Rc<GatewayState>, heartbeats: Vec<HeardHeartbeat>) {
    let now = state.now();
    let mut fleet = state.fleet();
    let mut is_new = false;
    let mut newest = fleet.replica.as_of();
    for heard in heartbeats {
        let (as_of, confirmed_age) = (heard.heartbeat.as_of, heard.heartbeat.confirmed_age);
        fleet.confirm(now, as_of, confirmed_age.duration() + heard.age.duration());
        newest = newest.max(as_of);
        is_new |= fleet.members.record_heard(now, heard);
    }
    let is_behind = newest > fleet.replica.as_of();
    drop(fleet);
    if is_new {
        refresh_fleet(state);
    }
    if is_behind {
        state.sync_wakeup.notify_one();
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

/// Handles a request of another instance.
pub(crate) async fn handle_peer(
    state: Rc<GatewayState>,
    request: Request<Incoming>,
) -> CallerResponse {
    let path = request.uri().path();
    if path == REGISTRATION_PATH {
        return register_other(&state, request.into_body()).await;
    }
    let after = path.strip_prefix(CHANGES_PATH).and_then(|text| text.parse().ok());
    let Some(after) = after else {
        return plain_response(StatusCode::NOT_FOUND, "no such path", None);
    };
    let now = state.now();
    let is_snapshot = !state.fleet_ref().has_changes_after(after);
    if is_snapshot && !state.snapshots.borrow().is_allowed(now) {
        let text = "too many snapshots are requested";
        return plain_response(StatusCode::SERVICE_UNAVAILABLE, text, None);
    }
    let accepted = request.headers().get(header::ACCEPT_ENCODING).map(HeaderValue::as_bytes);
    let accepted = ReplyEncoding::from_header(accepted).unwrap_or(ReplyEncoding::Plain);
    let reply = state.fleet_ref().pull_reply(now, after);
    match reply.encode(accepted) {
        Ok((bytes, encoding)) => {
            if is_snapshot {
                state.snapshots.borrow_mut().record_snapshot(now, bytes.len());
            }
            let mut response = http::Response::new(Full::new(Bytes::from(bytes)));
            let name = HeaderValue::from_static(encoding.name());
            response.headers_mut().insert(header::CONTENT_ENCODING, name);
            response
        }
        Err(cause) => plain_response(StatusCode::INTERNAL_SERVER_ERROR, &cause.to_string(), None),
    }
}

async fn register_other(state: &GatewayState, body: Incoming) -> CallerResponse {
    let Ok(body) = Limited::new(body, REGISTRATION_MAX_BYTES).collect().await else {
        return plain_response(
            StatusCode::BAD_REQUEST,
            "registration request truncated or too long",
            None,
        );
    };
    let Ok((record, is_registered)) =
        postcard::from_bytes::<(MemberRecord, bool)>(&body.to_bytes())
    else {
        return plain_response(StatusCode::BAD_REQUEST, "registration request malformed", None);
    };
    if state.is_stopping() || state.fleet_ref().store_lost {
        return plain_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "this instance does not write to the store now",
            None,
        );
    }
    let registration = enqueue_registration(state, record, is_registered);
    if is_registered || registration.await.unwrap_or(false) {
        plain_response(StatusCode::OK, "listed", None)
    } else {
        plain_response(StatusCode::SERVICE_UNAVAILABLE, "the store did not accept the record", None)
    }
}
