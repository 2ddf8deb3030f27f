//! Accepts and serves the HTTP/1.1 connections of a port.

use crate::caller_stream::{CallerStream, WriteLimit};
use crate::serve::CallerResponse;
use crate::state::GatewayState;
use crate::supervise::{contain_handler, spawn_task};
use anyhow::Context;
use futures::FutureExt;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use link::{MeteredStream, ReadMeter};
use model::Millis;
use smol_str::format_smolstr;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Delay after a failed accept, which prevents a busy loop when descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Smallest buffer for a request's head that hyper accepts, in bytes.
const HEAD_MIN_BYTES: usize = 8 * 1024;
/// Longest head of a request while there is no configuration, in bytes.
const HEAD_DEFAULT_BYTES: usize = 16 * 1024;
/// Idle timeout of a connection while there is no configuration.
const IDLE_TIMEOUT_DEFAULT: Millis = Millis(15_000);
/// Share of the descriptors that connections of callers may use.
const CALLER_CONNECTIONS_SHARE: f64 = 0.55;

/// Users of a port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PortKind {
    /// Callers. Their connections count against the limit, and a planned stop waits for them.
    Callers,
    /// The platform, other instances or metrics.
    Side,
}

/// Opens a listening port.
pub(crate) fn open_port(address: SocketAddr) -> anyhow::Result<Rc<TcpListener>> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address).with_context(|| format!("cannot bind {address}"))?;
    let listener = socket.listen(1024);
    Ok(Rc::new(listener.with_context(|| format!("cannot listen on {address}"))?))
}

/// Serves a port until the instance closes its connections.
pub(crate) async fn serve_port<F, R>(
    state: Rc<GatewayState>,
    listener: Rc<TcpListener>,
    kind: PortKind,
    handler: F,
) where
    F: Fn(Rc<GatewayState>, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = CallerResponse> + 'static,
{
    let mut closing = state.closing.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.changed() => return,
        };
        match accepted {
            Ok((stream, _)) if kind == PortKind::Callers && is_full(&state) => {
                state.metrics.refused("connections");
                drop(stream);
            }
            Ok((stream, _)) => {
                // Counted on accept, since many connections may be accepted before the first task
                // runs.
                let count = (kind == PortKind::Callers).then(|| ConnectionCount::new(&state));
                let serving = serve_stream(Rc::clone(&state), stream, kind, count, handler);
                spawn_task(&state, "connection", serving);
            }
            Err(cause) => {
                state.log_input_fault("accept_failed", &format_smolstr!("{cause}"));
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn is_full(state: &GatewayState) -> bool {
    let limit = (state.settings().descriptors as f64 * CALLER_CONNECTIONS_SHARE) as usize;
    state.connections.get() >= limit
}

/// Counts a connection of a caller until it is dropped.
struct ConnectionCount(Rc<GatewayState>);

impl ConnectionCount {
    fn new(state: &Rc<GatewayState>) -> Self {
        state.connections.set(state.connections.get() + 1);
        Self(Rc::clone(state))
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get().saturating_sub(1));
    }
}

async fn serve_stream<F, R>(
    state: Rc<GatewayState>,
    stream: TcpStream,
    kind: PortKind,
    _count: Option<ConnectionCount>,
    handler: F,
) where
    F: Fn(Rc<GatewayState>, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = CallerResponse> + 'static,
{
    // Failure only delays responses.
    let _ = stream.set_nodelay(true);
    let limits = state.table().map(|table| table.limits);
    let head_bytes = limits.map_or(HEAD_DEFAULT_BYTES, |limits| limits.head_bytes);
    let idle =
        limits.map_or(IDLE_TIMEOUT_DEFAULT, |limits| limits.idle_timeout.max(limits.head_timeout));
    let mut closing = state.closing.subscribe();
    let shared = Rc::clone(&state);
    let limit = WriteLimit::new();
    let meter = ReadMeter::for_heads(head_bytes);
    let stream = MeteredStream::new(stream, meter.clone());
    let stream = CallerStream::new(Rc::clone(&state), stream, limit.clone());
    let head_meter = meter.clone();
    // hyper keeps the memory of a request's future while the connection is idle; boxed, that is a
    // pointer.
    let service = service_fn(move |mut request: Request<Incoming>| {
        head_meter.begin();
        request.extensions_mut().insert(head_meter.clone());
        let handling = handler(Rc::clone(&shared), request);
        let future = contain_handler(Rc::clone(&shared), kind, handling).boxed_local();
        let limit = limit.clone();
        future.map(move |response| {
            limit.begin(response.extensions().get().copied());
            Ok::<_, Infallible>(response)
        })
    });
    // hyper's timeout for reading a head also ends idle connections.
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle.duration())
        .max_buf_size(head_bytes.max(HEAD_MIN_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = closing.changed() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if meter.is_exceeded() {
        state.metrics.refused("request_overhead");
    } else if ended.is_err() {
        state.metrics.refused("connection_broken");
    }
}
