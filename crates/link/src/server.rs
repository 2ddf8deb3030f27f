//! Serves axum routes over HTTP/1.1 and HTTP/2, with a shutdown that truncates no response.

use axum::Router;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::JoinHandle;

/// Time within which the whole head of a request must arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum length of a request head in bytes.
const HEAD_MAX_BYTES: usize = 16 * 1024;
/// Time between pings on an HTTP/2 connection. They detect callers that disappeared.
const PING_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which a ping without a reply closes the connection.
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failed accept. Without it the loop would spin while file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Handle to a running HTTP server.
pub struct HttpServer {
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Stops accepting connections and returns once all responses in progress are complete, at the
    /// latest at `deadline`.
    pub async fn close(self, deadline: Instant) {
        let _ = self.stop.send(true);
        let _ = tokio::time::timeout_at(deadline.into(), self.task).await;
    }
}

/// Serves `routes` on a port without a limit on connections.
pub fn serve_http(runtime: &Handle, listener: TcpListener, routes: Router) -> HttpServer {
    serve_limited(runtime, listener, routes, Semaphore::MAX_PERMITS)
}

/// Serves `routes` on a port with at most `connections` open connections. Further ones are closed
/// as soon as they are accepted.
pub fn serve_limited(
    runtime: &Handle,
    listener: TcpListener,
    routes: Router,
    connections: usize,
) -> HttpServer {
    let permits = Arc::new(Semaphore::new(connections));
    let (stop, mut stop_requested) = watch::channel(false);
    let task = runtime.spawn(async move {
        let graceful = GracefulShutdown::new();
        let builder = connection_builder();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stop_requested.changed() => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    if let Ok(permit) = Arc::clone(&permits).try_acquire_owned() {
                        serve_stream(&builder, &graceful, stream, routes.clone(), permit);
                    }
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
        drop(listener);
        graceful.shutdown().await;
    });
    HttpServer { stop, task }
}

fn connection_builder() -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_MAX_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .max_header_list_size(HEAD_MAX_BYTES as u32);
    builder
}

fn serve_stream(
    builder: &Builder<TokioExecutor>,
    graceful: &GracefulShutdown,
    stream: TcpStream,
    routes: Router,
    permit: OwnedSemaphorePermit,
) {
    let _ = stream.set_nodelay(true);
    let service = TowerToHyperService::new(routes);
    let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        // The caller sees a failed connection itself, and requests are counted by their verdicts.
        let _ = connection.await;
        drop(permit);
    });
}
