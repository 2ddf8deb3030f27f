//! Serves HTTP/1.1 connections of a port on the thread of the instance.

use crate::serve::CallerAnswer;
use crate::state::GatewayState;
use anyhow::Context;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use model::Millis;
use smol_str::format_smolstr;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Shortest buffer for the head of a request that the library takes, in bytes.
const HEAD_MIN_BYTES: usize = 8 * 1024;
/// Longest head of a request before a configuration says otherwise, in bytes.
const HEAD_FIRST_BYTES: usize = 16 * 1024;
/// Idle time of a connection before a configuration says otherwise.
const IDLE_FIRST: Millis = Millis(15_000);
/// Part of the descriptors that connections of callers may take.
const CALLER_SHARE: f64 = 0.55;

/// Who a port is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PortKind {
    /// Callers; their connections count against the limit and end with the process.
    Callers,
    /// The platform, other instances or metrics.
    Side,
}

/// Opens a port.
pub(crate) fn open_port(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address).with_context(|| format!("port {address}"))?;
    socket.listen(1024).with_context(|| format!("port {address}"))
}

/// Serves a port until the process closes its connections.
pub(crate) async fn serve_port<F, R>(
    state: Rc<GatewayState>,
    listener: TcpListener,
    kind: PortKind,
    answer: F,
) where
    F: Fn(Rc<GatewayState>, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = CallerAnswer> + 'static,
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
                // Counted here, since many may be accepted before the first task runs.
                let count = (kind == PortKind::Callers).then(|| ConnectionCount::new(&state));
                tokio::task::spawn_local(serve_stream(Rc::clone(&state), stream, count, answer));
            }
            Err(cause) => {
                state.log.state("accept_failed", &format_smolstr!("{cause}"));
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn is_full(state: &GatewayState) -> bool {
    let limit = (state.settings().descriptors as f64 * CALLER_SHARE) as usize;
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
    _count: Option<ConnectionCount>,
    answer: F,
) where
    F: Fn(Rc<GatewayState>, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = CallerAnswer> + 'static,
{
    // Without the option answers are only later.
    let _ = stream.set_nodelay(true);
    let limits = state.table().map(|table| table.limits);
    let head_bytes = limits.map_or(HEAD_FIRST_BYTES, |limits| limits.head_bytes);
    let idle = limits.map_or(IDLE_FIRST, |limits| limits.idle_timeout.max(limits.head_timeout));
    let mut closing = state.closing.subscribe();
    let shared = Rc::clone(&state);
    let service = service_fn(move |request| {
        let future = answer(Rc::clone(&shared), request);
        async move { Ok::<_, Infallible>(future.await) }
    });
    // The library's limit on the head also ends idle connections.
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
    if ended.is_err() {
        state.metrics.refused("connection_broken");
    }
}
