//! The planned stop, and changes of the settings file.

use crate::records::refresh_fleet;
use crate::settings_file::read_settings;
use crate::state::{GatewayState, RunPhase};
use smol_str::format_smolstr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Time before the end at which the process leaves.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Least part of the grace time in which requests are still taken.
const TAKING_SHARE: f64 = 0.4;
/// Shortest time in which callers may still come with addresses that they kept.
const KEPT_FACTOR: u32 = 3;
/// Time between looks at whether connections are left.
const DRAIN_TICK: Duration = Duration::from_millis(50);
/// Time between looks at the settings file.
const FILE_TICK: Duration = Duration::from_millis(500);

/// When a stopping instance does what, after it was asked to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    /// It takes no more requests and closes connections as their answers are out.
    pub close_after: Duration,
    /// It leaves.
    pub exit_after: Duration,
}

impl StopPlan {
    /// Takes requests only as long as the slowest route can still be answered in the grace time.
    pub fn new(grace: Duration, longest: Duration) -> Self {
        let exit_after = grace.saturating_sub(EXIT_MARGIN);
        let close_after = exit_after.saturating_sub(longest).max(grace.mul_f64(TAKING_SHARE));
        Self { close_after: close_after.min(exit_after), exit_after }
    }
}

/// Ends when the process is asked to stop.
pub(crate) async fn wait_signal() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Waits for the request to stop, and returns when the process may end.
pub(crate) async fn run_stop(
    state: Rc<GatewayState>,
    asked: impl Future<Output = anyhow::Result<()>>,
) -> anyhow::Result<()> {
    asked.await?;
    let started = tokio::time::Instant::now();
    state.phase.set(RunPhase::Stopping);
    state.log.state("stopping", &format_smolstr!("{} connections", state.connections.get()));
    refresh_fleet(&state);
    state.heartbeat.notify_one();
    let longest = state.table().map(|table| table.longest_timeout().duration()).unwrap_or_default();
    let plan = StopPlan::new(state.settings().stop_span.duration(), longest);
    let close_at = started + plan.close_after;
    let kept_until = started + state.settings().directory_keep.duration() * KEPT_FACTOR;
    loop {
        let now = tokio::time::Instant::now();
        let is_empty = state.connections.get() == 0 && now >= kept_until;
        if now >= close_at || is_empty {
            break;
        }
        tokio::time::sleep(DRAIN_TICK).await;
    }
    state.closing.send_replace(true);
    let exit_at = started + plan.exit_after;
    while state.connections.get() > 0 && tokio::time::Instant::now() < exit_at {
        tokio::time::sleep(DRAIN_TICK).await;
    }
    state.log.state("stopped", &format_smolstr!("{} connections left", state.connections.get()));
    state.log.flush();
    Ok(())
}

/// Takes over changes of the settings file, with a signal or without.
pub(crate) async fn run_reload(state: Rc<GatewayState>, file: PathBuf) -> anyhow::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    let mut known = std::fs::read_to_string(&file).unwrap_or_default();
    let mut is_readable = true;
    loop {
        let was_told = wait_change(&mut hangup).await;
        let text = match std::fs::read_to_string(&file) {
            Ok(text) => text,
            Err(cause) => {
                if is_readable || was_told {
                    state.log.state("settings_unreadable", &format_smolstr!("{cause}"));
                }
                is_readable = false;
                continue;
            }
        };
        is_readable = true;
        if text == known {
            if was_told {
                state.log.state("reload", "no change");
            }
            continue;
        }
        known = text;
        match read_settings(&file.to_string_lossy(), &known) {
            Ok(settings) => {
                state.log.state("reload", "settings changed");
                state.settings.replace(Rc::new(settings));
                refresh_fleet(&state);
            }
            Err(errors) => state.log.state("settings_invalid", &format_smolstr!("{errors}")),
        }
    }
}

async fn wait_change(hangup: &mut Signal) -> bool {
    tokio::time::timeout(FILE_TICK, hangup.recv()).await.is_ok()
}
