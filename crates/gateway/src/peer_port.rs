//! The port for other instances: receives their messages and hands each to the module that owns its
//! state. The only module that knows all of them.

use crate::health_check::{apply_load_reports, apply_warm_ups};
use crate::heartbeats::apply_heartbeats;
use crate::limit_reports::apply_limits;
use crate::peer_link::{CHANGES_PATH, REGISTRATION_PATH};
use crate::quota_reports::apply_quota_report;
use crate::registration::enqueue_registration;
use crate::serve::{CallerResponse, plain_response};
use crate::state::GatewayState;
use crate::store_sync::apply_batch;
use bytes::Bytes;
use fleet::{DATAGRAM_MAX_BYTES, HeardHeartbeat, MemberRecord, PeerDatagram, ReplyEncoding};
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use smol_str::format_smolstr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Longest body of a request for registration, in bytes.
const REGISTRATION_MAX_BYTES: usize = 4 * 1024;
/// Delay before the next read after receiving a datagram failed.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Receives datagrams of other instances.
pub(crate) async fn run_datagrams(state: Rc<GatewayState>) {
    let mut buffer = vec![0; 2 * DATAGRAM_MAX_BYTES];
    loop {
        match state.socket.recv_from(&mut buffer).await {
            Ok((length, from)) => handle_datagram(&state, &buffer[..length], from),
            Err(cause) => {
                state.log_input_fault("datagram_failed", &format_smolstr!("{cause}"));
                tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
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
        Ok(PeerDatagram::WarmUps(rows)) => apply_warm_ups(state, &rows),
        Ok(PeerDatagram::Limits(message)) => apply_limits(state, message),
        Ok(PeerDatagram::Quotas(message)) => apply_quota_report(state, message),
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
