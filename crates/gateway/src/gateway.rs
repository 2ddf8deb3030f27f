//! Starts the tasks of an instance and runs it until it stops.

use crate::binding::WireBinding;
use crate::caller_port::handle_caller;
use crate::health_check::run_health_checks;
use crate::heartbeats::run_heartbeats;
use crate::limit_reports::run_limit_reports;
use crate::peer_link::open_socket;
use crate::peer_port::{handle_peer, run_datagrams};
use crate::port::{PortKind, open_port, serve_port};
use crate::quota_reports::run_quota_reports;
use crate::registration::{run_registrar, run_registration};
use crate::settings_file::GatewaySettings;
use crate::side_port::{handle_directory, handle_metrics, handle_ready};
use crate::slots::run_queue;
use crate::state::{GatewayDecoder, GatewayState};
use crate::stop::{ProcessSignals, run_reload, run_stop};
use crate::store_sync::run_sync;
use crate::supervise::spawn_duty;
use crate::trips::run_trips;
use model::IncarnationId;
use smol_str::format_smolstr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use store::ReplicaStore;
use tokio::runtime::Runtime;
use tokio::task::LocalSet;

/// Settings and platform parts of an instance.
pub struct GatewayParts {
    /// Initial settings.
    pub settings: GatewaySettings,
    /// The file that the settings were read from; it is reloaded when it changes.
    pub settings_file: PathBuf,
    /// The platform's headers, paths and text formats.
    pub binding: Rc<dyn WireBinding>,
    /// Decodes the platform's store records.
    pub decoder: GatewayDecoder,
    /// The platform's store.
    pub store: Rc<dyn ReplicaStore>,
}

/// Builds the runtime of an instance.
///
/// # Errors
/// The system refuses what the runtime needs.
pub fn gateway_runtime() -> std::io::Result<Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}

/// Runs an instance until it receives a signal to stop and its requests have ended. `signals` were caught
/// on `runtime`.
///
/// # Errors
/// A port cannot be opened.
pub fn run_gateway(
    runtime: &Runtime,
    signals: ProcessSignals,
    parts: GatewayParts,
) -> anyhow::Result<()> {
    LocalSet::new().block_on(runtime, run_tasks(parts, signals.wait_stop()))
}

/// Runs an instance like [`run_gateway`], with `stop_requested` in place of the signals.
///
/// # Errors
/// A port cannot be opened, or `stop_requested` failed.
pub fn run_gateway_until(
    parts: GatewayParts,
    stop_requested: impl Future<Output = anyhow::Result<()>>,
) -> anyhow::Result<()> {
    let runtime = gateway_runtime()?;
    LocalSet::new().block_on(&runtime, run_tasks(parts, stop_requested))
}

/// Returns the milliseconds since 1970, so that a restarted instance has a greater incarnation.
fn new_incarnation(clock_offset_s: i64) -> IncarnationId {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let millis = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
    IncarnationId(millis.saturating_add_signed(clock_offset_s.saturating_mul(1_000)))
}

async fn run_tasks(
    parts: GatewayParts,
    stop_requested: impl Future<Output = anyhow::Result<()>>,
) -> anyhow::Result<()> {
    let GatewayParts { settings, settings_file, binding, decoder, store } = parts;
    let socket = open_socket(settings.datagram_address)?;
    let incarnation = new_incarnation(settings.clock_offset_s);
    let state = GatewayState::new(settings, binding, decoder, store, incarnation, socket);
    let state = Rc::new(state);
    let settings = state.settings();
    state.log.state("start", &format_smolstr!("incarnation {}", state.incarnation));
    let callers = open_port(settings.caller_address)?;
    spawn_duty(&state, "callers", move |state| {
        serve_port(state, Rc::clone(&callers), PortKind::Callers, handle_caller)
    });
    let side = |address, port| -> anyhow::Result<()> {
        let listener = open_port(address)?;
        spawn_duty(&state, "side port", move |state| {
            serve_side_port(state, Rc::clone(&listener), port)
        });
        Ok(())
    };
    side(settings.ready_address, SidePort::Ready)?;
    side(settings.directory_address, SidePort::Directory)?;
    side(settings.peer_address, SidePort::Peers)?;
    side(settings.metrics_address, SidePort::Metrics)?;
    spawn_duty(&state, "datagrams", run_datagrams);
    spawn_duty(&state, "heartbeats", run_heartbeats);
    spawn_duty(&state, "registration", run_registration);
    spawn_duty(&state, "registrar", run_registrar);
    spawn_duty(&state, "sync", run_sync);
    spawn_duty(&state, "queue", run_queue);
    spawn_duty(&state, "health checks", run_health_checks);
    spawn_duty(&state, "limit reports", run_limit_reports);
    spawn_duty(&state, "quota reports", run_quota_reports);
    spawn_duty(&state, "trips", run_trips);
    spawn_duty(&state, "reload", move |state| run_reload(state, settings_file.clone()));
    run_stop(state, stop_requested).await
}

#[derive(Debug, Clone, Copy)]
enum SidePort {
    Ready,
    Directory,
    Peers,
    Metrics,
}

async fn serve_side_port(
    state: Rc<GatewayState>,
    listener: Rc<tokio::net::TcpListener>,
    port: SidePort,
) {
    match port {
        SidePort::Ready => serve_port(state, listener, PortKind::Side, handle_ready).await,
        SidePort::Directory => serve_port(state, listener, PortKind::Side, handle_directory).await,
        SidePort::Peers => serve_port(state, listener, PortKind::Side, handle_peer).await,
        SidePort::Metrics => serve_port(state, listener, PortKind::Side, handle_metrics).await,
    }
}
