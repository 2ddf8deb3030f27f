//! Talks to other instances: datagrams for heartbeats and changes, HTTP for what was missed.

use crate::announce::list_record;
use crate::fleet_state::LoadReach;
use crate::prober::take_loads;
use crate::records::refresh_fleet;
use crate::serve::{CallerAnswer, own_answer};
use crate::state::GatewayState;
use crate::store_sync::take_batch;
use anyhow::{Context, anyhow};
use bytes::Bytes;
use fleet::{
    ChangeBatch, ChangeOrigin, DATAGRAM_MAX_BYTES, LoadRow, MemberRecord, PeerDatagram, PullReply,
};
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use link::ConnectionChoice;
use model::StoreRevision;
use smol_str::format_smolstr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// Time between heartbeats.
const BEAT_SPAN: Duration = Duration::from_millis(300);
/// Heartbeats of which one brings the sender's record.
const RECORD_TURN: u32 = 10;
/// How long another instance may take to answer.
const PULL_TIMEOUT: Duration = Duration::from_millis(400);
/// Path on which an instance tells what changed after a revision.
const CHANGES_PATH: &str = "/v1/changes/";
/// Path on which an instance asks another one to list it in the store.
const LISTING_PATH: &str = "/v1/listing";
/// How long the other one may take; it gathers announcements of several before it writes.
const LISTING_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest announcement, in bytes.
const LISTING_MAX_BYTES: usize = 4 * 1024;
/// Rows on servers in one datagram.
const LOAD_ROWS_MAX: usize = 120;

/// Opens the socket for datagrams.
pub(crate) fn open_socket(address: SocketAddr) -> anyhow::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address).context("datagram socket")?;
    socket.set_nonblocking(true)?;
    Ok(UdpSocket::from_std(socket)?)
}

fn send_to_all(state: &GatewayState, datagram: &PeerDatagram) {
    send_to(state, datagram, &state.fleet_ref().datagram_targets());
}

/// Tells the homes what this scout learned.
pub(crate) fn send_loads(state: &GatewayState, rows: &[LoadRow], reach: LoadReach) {
    let targets = state.fleet_ref().report_targets(reach);
    for part in rows.chunks(LOAD_ROWS_MAX) {
        send_to(state, &PeerDatagram::LoadReports(part.to_vec()), &targets);
    }
}

fn send_to(state: &GatewayState, datagram: &PeerDatagram, targets: &[SocketAddr]) {
    let Ok(bytes) = postcard::to_stdvec(datagram) else {
        state.log.state("datagram_unsendable", "");
        return;
    };
    for target in targets {
        // Datagrams may be lost anyway; the next one tells the same.
        let _ = state.socket.try_send_to(&bytes, *target);
    }
}

/// Passes changes on as they are seen. Long ones are only announced; the others fetch them.
pub(crate) fn send_changes(state: &GatewayState, origin: ChangeOrigin, batch: ChangeBatch) {
    let size: usize = batch
        .changes
        .iter()
        .map(|change| change.key.len() + change.value.as_ref().map_or(0, |value| value.len()) + 16)
        .sum();
    if size + 64 > DATAGRAM_MAX_BYTES {
        if origin == ChangeOrigin::Store {
            send_beat(state, false);
        }
        return;
    }
    let targets = state.fleet_ref().change_targets(origin);
    send_to(state, &PeerDatagram::Changes(batch), &targets);
}

fn send_beat(state: &GatewayState, with_record: bool) {
    let heartbeat = state.fleet_ref().heartbeat(state.now(), with_record);
    send_to_all(state, &PeerDatagram::Heartbeat(heartbeat));
}

/// Tells the data centre of this scout that it has changes to be fetched.
pub(crate) fn tell_own_centre(state: &GatewayState) {
    let targets = state.fleet_ref().change_targets(ChangeOrigin::Peer);
    let heartbeat = state.fleet_ref().heartbeat(state.now(), false);
    send_to(state, &PeerDatagram::Heartbeat(heartbeat), &targets);
}

/// Sends heartbeats.
pub(crate) async fn run_beats(state: Rc<GatewayState>) {
    let mut sent = 0_u32;
    loop {
        let was_woken = tokio::time::timeout(BEAT_SPAN, state.heartbeat.notified()).await.is_ok();
        refresh_fleet(&state);
        let is_sender = state.fleet_ref().is_sender();
        if was_woken || is_sender {
            send_beat(&state, was_woken || sent.is_multiple_of(RECORD_TURN));
            sent = sent.wrapping_add(1);
        }
        state.log.flush();
    }
}

/// Takes datagrams of other instances.
pub(crate) async fn run_datagrams(state: Rc<GatewayState>) {
    let mut buffer = vec![0; 2 * DATAGRAM_MAX_BYTES];
    loop {
        match state.socket.recv_from(&mut buffer).await {
            Ok((length, from)) => take_datagram(&state, &buffer[..length], from),
            Err(cause) => {
                state.log.state("datagram_failed", &format_smolstr!("{cause}"));
                tokio::time::sleep(BEAT_SPAN).await;
            }
        }
    }
}

fn take_datagram(state: &Rc<GatewayState>, bytes: &[u8], from: SocketAddr) {
    match postcard::from_bytes(bytes) {
        Ok(PeerDatagram::Heartbeat(heartbeat)) => {
            let now = state.now();
            let (as_of, age) = (heartbeat.as_of, heartbeat.confirmed_age.duration());
            let mut fleet = state.fleet();
            let is_new = fleet.members.record_heartbeat(now, heartbeat);
            fleet.confirm(now, as_of, age);
            let is_behind = as_of > fleet.replica.as_of();
            drop(fleet);
            if is_new {
                refresh_fleet(state);
            }
            if is_behind {
                state.sync.notify_one();
            }
        }
        Ok(PeerDatagram::LoadReports(rows)) => take_loads(state, &rows),
        Ok(PeerDatagram::Changes(batch)) => {
            if take_batch(state, batch) {
                state.sync.notify_one();
            }
        }
        Err(cause) => {
            state.log.state("datagram_malformed", &format_smolstr!("{from}: {cause}"));
        }
    }
}

/// Asks another instance for the changes after a revision.
pub(crate) async fn pull_changes(
    state: &GatewayState,
    from: SocketAddr,
    after: StoreRevision,
) -> anyhow::Result<PullReply> {
    let request = Request::get(format!("{CHANGES_PATH}{after}"))
        .header(header::HOST, "peer")
        .body(Full::default())?;
    let deadline = Instant::now() + PULL_TIMEOUT;
    let answer =
        state.peer_pool.exchange(from, request, ConnectionChoice::Pooled, deadline).await?;
    if answer.status() != StatusCode::OK {
        return Err(anyhow!("status {}", answer.status()));
    }
    Ok(postcard::from_bytes(answer.body())?)
}

/// Asks another instance to list this one in the store. Returns when that is written, or accepted if
/// this instance is listed already.
pub(crate) async fn ask_listing(
    state: &GatewayState,
    registrar: SocketAddr,
    record: &MemberRecord,
    is_registered: bool,
) -> anyhow::Result<()> {
    let body = postcard::to_stdvec(&(record, is_registered))?;
    let request = Request::post(LISTING_PATH)
        .header(header::HOST, "peer")
        .body(Full::new(Bytes::from(body)))?;
    let deadline = Instant::now() + LISTING_TIMEOUT;
    let answer =
        state.peer_pool.exchange(registrar, request, ConnectionChoice::Pooled, deadline).await?;
    match answer.status() {
        StatusCode::OK => Ok(()),
        status => Err(anyhow!("status {status}")),
    }
}

/// Answers other instances.
pub(crate) async fn answer_peer(
    state: Rc<GatewayState>,
    request: Request<Incoming>,
) -> CallerAnswer {
    let path = request.uri().path();
    if path == LISTING_PATH {
        return list_other(&state, request.into_body()).await;
    }
    let after = path.strip_prefix(CHANGES_PATH).and_then(|text| text.parse().ok());
    let Some(after) = after else {
        return own_answer(StatusCode::NOT_FOUND, "no such path", None);
    };
    let answer = state.fleet_ref().pull_answer(state.now(), after);
    match postcard::to_stdvec(&answer) {
        Ok(bytes) => http::Response::new(Full::new(Bytes::from(bytes))),
        Err(cause) => own_answer(StatusCode::INTERNAL_SERVER_ERROR, &cause.to_string(), None),
    }
}

async fn list_other(state: &GatewayState, body: Incoming) -> CallerAnswer {
    let Ok(body) = Limited::new(body, LISTING_MAX_BYTES).collect().await else {
        return own_answer(StatusCode::BAD_REQUEST, "announcement cut or too long", None);
    };
    let Ok((record, is_registered)) =
        postcard::from_bytes::<(MemberRecord, bool)>(&body.to_bytes())
    else {
        return own_answer(StatusCode::BAD_REQUEST, "announcement malformed", None);
    };
    if state.is_stopping() || state.fleet_ref().store_lost {
        return own_answer(StatusCode::SERVICE_UNAVAILABLE, "does not write to the store", None);
    }
    let listing = list_record(state, record, is_registered);
    if is_registered || listing.await.unwrap_or(false) {
        own_answer(StatusCode::OK, "listed", None)
    } else {
        own_answer(StatusCode::SERVICE_UNAVAILABLE, "the store did not take the record", None)
    }
}
