//! Starts an instance and runs it to its end.

use crate::announce::{run_announcement, run_registrar};
use crate::binding::WireBinding;
use crate::caller_port::answer_caller;
use crate::peer_port::{answer_peer, open_socket, run_beats, run_datagrams};
use crate::port::{PortKind, open_port, serve_port};
use crate::prober::run_prober;
use crate::settings_file::GatewaySettings;
use crate::side_port::{answer_directory, answer_metrics, answer_ready};
use crate::slots::run_queue;
use crate::state::{GatewayDecoder, GatewayState};
use crate::stop::{run_reload, run_stop, wait_signal};
use crate::store_sync::run_sync;
use model::IncarnationId;
use smol_str::format_smolstr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use store::ReplicaStore;
use tokio::task::{LocalSet, spawn_local};

/// What an instance is made of.
pub struct GatewayParts {
    /// Its settings.
    pub settings: GatewaySettings,
    /// The file they come from; changes of it are taken over.
    pub settings_file: PathBuf,
    /// The platform's conventions.
    pub binding: Rc<dyn WireBinding>,
    /// Reads the platform's records.
    pub decoder: GatewayDecoder,
    /// The platform's store.
    pub store: Rc<dyn ReplicaStore>,
}

/// Runs an instance until it is asked to stop and its last answers are out.
///
/// # Errors
/// A port that cannot be opened, or signals that cannot be received.
pub fn run_gateway(parts: GatewayParts) -> anyhow::Result<()> {
    run_gateway_until(parts, wait_signal())
}

/// Runs an instance like [`run_gateway`] until `asked` ends.
///
/// # Errors
/// A port that cannot be opened, or the error of `asked`.
pub fn run_gateway_until(
    parts: GatewayParts,
    asked: impl Future<Output = anyhow::Result<()>>,
) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run_tasks(parts, asked))
}

/// Milliseconds since 1970, so that a restarted instance has a greater incarnation.
fn new_incarnation(clock_offset_s: i64) -> IncarnationId {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let millis = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
    IncarnationId(millis.saturating_add_signed(clock_offset_s.saturating_mul(1_000)))
}

async fn run_tasks(
    parts: GatewayParts,
    asked: impl Future<Output = anyhow::Result<()>>,
) -> anyhow::Result<()> {
    let GatewayParts { settings, settings_file, binding, decoder, store } = parts;
    let socket = open_socket(settings.datagram_address)?;
    let incarnation = new_incarnation(settings.clock_offset_s);
    let state = GatewayState::new(settings, binding, decoder, store, incarnation, socket);
    let state = Rc::new(state);
    let settings = state.settings();
    state.log.state("start", &format_smolstr!("incarnation {}", state.incarnation));
    let side = |listener, answer| spawn_local(serve_side(Rc::clone(&state), listener, answer));
    let callers = open_port(settings.caller_address)?;
    spawn_local(serve_port(Rc::clone(&state), callers, PortKind::Callers, answer_caller));
    side(open_port(settings.ready_address)?, SidePort::Ready);
    side(open_port(settings.directory_address)?, SidePort::Directory);
    side(open_port(settings.peer_address)?, SidePort::Peers);
    side(open_port(settings.metrics_address)?, SidePort::Metrics);
    spawn_local(run_datagrams(Rc::clone(&state)));
    spawn_local(run_beats(Rc::clone(&state)));
    spawn_local(run_announcement(Rc::clone(&state)));
    spawn_local(run_registrar(Rc::clone(&state)));
    spawn_local(run_sync(Rc::clone(&state)));
    spawn_local(run_queue(Rc::clone(&state)));
    spawn_local(run_prober(Rc::clone(&state)));
    spawn_local(run_reload(Rc::clone(&state), settings_file));
    run_stop(state, asked).await
}

#[derive(Debug, Clone, Copy)]
enum SidePort {
    Ready,
    Directory,
    Peers,
    Metrics,
}

async fn serve_side(state: Rc<GatewayState>, listener: tokio::net::TcpListener, port: SidePort) {
    match port {
        SidePort::Ready => serve_port(state, listener, PortKind::Side, answer_ready).await,
        SidePort::Directory => serve_port(state, listener, PortKind::Side, answer_directory).await,
        SidePort::Peers => serve_port(state, listener, PortKind::Side, answer_peer).await,
        SidePort::Metrics => serve_port(state, listener, PortKind::Side, answer_metrics).await,
    }
}
