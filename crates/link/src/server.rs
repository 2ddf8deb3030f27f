//! Serves axum routes over HTTP/1.1 and HTTP/2 and closes without cutting off answers.

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

/// How long the head of a request may take to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest accepted head, in bytes.
const HEAD_MAX_BYTES: usize = 16 * 1024;
/// Time between pings on an HTTP/2 connection that a caller may have lost.
const PING_SPAN: Duration = Duration::from_secs(5);
/// How long the answer to a ping may take.
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed accept, so that a lack of file descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A port that is served.
pub struct HttpServer {
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Stops accepting, lets answers in progress finish until `limit`, and closes.
    pub async fn close(self, limit: Instant) {
        let _ = self.stop.send(true);
        let _ = tokio::time::timeout_at(limit.into(), self.task).await;
    }
}

/// Serves `routes` on a port, with as many connections as come.
pub fn serve_http(runtime: &Handle, listener: TcpListener, routes: Router) -> HttpServer {
    serve_limited(runtime, listener, routes, Semaphore::MAX_PERMITS)
}

/// Serves `routes` on a port; connections beyond the limit are closed at once.
pub fn serve_limited(
    runtime: &Handle,
    listener: TcpListener,
    routes: Router,
    connections: usize,
) -> HttpServer {
    let places = Arc::new(Semaphore::new(connections));
    let (stop, mut stopped) = watch::channel(false);
    let task = runtime.spawn(async move {
        let graceful = GracefulShutdown::new();
        let builder = connection_builder();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stopped.changed() => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    if let Ok(place) = Arc::clone(&places).try_acquire_owned() {
                        serve_stream(&builder, &graceful, stream, routes.clone(), place);
                    }
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
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
        .keep_alive_interval(PING_SPAN)
        .keep_alive_timeout(PING_TIMEOUT)
        .max_header_list_size(HEAD_MAX_BYTES as u32);
    builder
}

fn serve_stream(
    builder: &Builder<TokioExecutor>,
    graceful: &GracefulShutdown,
    stream: TcpStream,
    routes: Router,
    place: OwnedSemaphorePermit,
) {
    let _ = stream.set_nodelay(true);
    let service = TowerToHyperService::new(routes);
    let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        // A broken connection is the caller's to notice; calls are counted by their verdicts.
        let _ = watched.await;
        drop(place);
    });
}
