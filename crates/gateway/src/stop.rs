//! The planned stop, and reloading of the settings file.

use crate::records::refresh_fleet;
use crate::registration::withdraw_registration;
use crate::settings_file::read_settings;
use crate::slots::advance_queue;
use crate::state::GatewayState;
use crate::supervise::spawn_task;
use balance::QueueStop;
use model::MonoTime;
use smol_str::format_smolstr;
use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Time before the end of the grace period at which the process exits, and the largest share of the
/// grace period that it may take.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
const EXIT_MARGIN_SHARE: f64 = 0.1;
/// Time before the exit at which requests in progress are answered without their servers' responses, and
/// the largest share of the grace period that it may take.
const ANSWER_PERIOD: Duration = Duration::from_millis(100);
const ANSWER_PERIOD_SHARE: f64 = 0.05;
/// Time in which callers may still use cached addresses of this instance, as a multiple of the
/// directory's TTL.
const DIRECTORY_TTL_FACTOR: u32 = 3;
/// Interval between checks whether connections are open and whether the stop was shortened.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between checks of the settings file.
const FILE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Times of the steps of a planned stop, counted from the request to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    /// Time after which the instance accepts no more connections and closes each one after its last
    /// response.
    pub close_after: Duration,
    /// Time after which the instance answers the requests in progress itself. From the beginning of the
    /// stop it refuses, as not run, each request whose deadline is later.
    pub answer_after: Duration,
    /// Time after which the process exits.
    pub exit_after: Duration,
}

impl StopPlan {
    /// Plans a stop within `grace` of an instance whose address callers may use for `address_period`.
    pub fn new(grace: Duration, address_period: Duration) -> Self {
        let exit_after = grace.saturating_sub(EXIT_MARGIN.min(grace.mul_f64(EXIT_MARGIN_SHARE)));
        let answer_period = ANSWER_PERIOD.min(grace.mul_f64(ANSWER_PERIOD_SHARE));
        let answer_after = exit_after.saturating_sub(answer_period);
        Self { close_after: address_period.min(answer_after), answer_after, exit_after }
    }

    /// Returns the plan with the earlier time of each step.
    #[must_use]
    pub fn earliest(self, other: Self) -> Self {
        Self {
            close_after: self.close_after.min(other.close_after),
            answer_after: self.answer_after.min(other.answer_after),
            exit_after: self.exit_after.min(other.exit_after),
        }
    }
}

/// A planned stop in progress.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StopSchedule {
    requested_at: MonoTime,
    plan: StopPlan,
}

impl StopSchedule {
    /// Returns what bounds the requests that the queue sends.
    pub fn queue_stop(&self) -> QueueStop {
        QueueStop { answer_at: self.requested_at.plus(self.plan.answer_after) }
    }
}

/// The signals of the process. None ends it any more once they are caught.
pub struct ProcessSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl ProcessSignals {
    /// Catches the signals on a runtime. A process that is not set up yet needs no reload, so `SIGHUP`
    /// has no effect until then.
    ///
    /// # Errors
    /// A signal can't be caught.
    pub fn catch(runtime: &Runtime) -> std::io::Result<Self> {
        let _guard = runtime.enter();
        drop(signal(SignalKind::hangup())?);
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for a signal to stop, `SIGTERM` or `SIGINT`.
    pub(crate) async fn wait_stop(mut self) -> anyhow::Result<()> {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
        Ok(())
    }
}

/// Waits for the request to stop, drains the instance, and returns when the process may exit.
pub(crate) async fn run_stop(
    state: Rc<GatewayState>,
    stop_requested: impl Future<Output = anyhow::Result<()>>,
) -> anyhow::Result<()> {
    stop_requested.await?;
    begin_stop(&state);
    wait_step(&state, |plan| plan.close_after, || false).await;
    state.closing.send_replace(true);
    let is_withdrawn = spawn_withdrawal(&state);
    let is_closed = || state.connections.get() == 0;
    wait_step(&state, |plan| plan.answer_after, is_closed).await;
    state.ending.send_replace(true);
    wait_step(&state, |plan| plan.exit_after, || is_closed() && is_withdrawn.get()).await;
    state.log.state("stopped", &format_smolstr!("{} connections left", state.connections.get()));
    state.log.flush();
    Ok(())
}

/// Starts the removal of this instance's record, once callers no longer come here: until then other
/// instances send it the changes of the store. The cell turns true when the removal has ended.
fn spawn_withdrawal(state: &Rc<GatewayState>) -> Rc<Cell<bool>> {
    let is_withdrawn = Rc::new(Cell::new(false));
    let (shared, done) = (Rc::clone(state), Rc::clone(&is_withdrawn));
    spawn_task(state, "withdrawal", async move {
        withdraw_registration(&shared).await;
        done.set(true);
    });
    is_withdrawn
}

/// Makes the instance unready and removes it from the directory. From now on it refuses requests that
/// it might have to break off.
fn begin_stop(state: &Rc<GatewayState>) {
    let schedule = StopSchedule { requested_at: state.now(), plan: planned_stop(state) };
    state.queue().begin_stop(schedule.queue_stop());
    state.stop.send_replace(Some(schedule));
    let plan = schedule.plan;
    let detail = format_smolstr!(
        "{} connections; closes after {} ms, answers after {} ms, exits after {} ms",
        state.connections.get(),
        plan.close_after.as_millis(),
        plan.answer_after.as_millis(),
        plan.exit_after.as_millis()
    );
    state.log.state("stopping", &detail);
    refresh_fleet(state);
    state.heartbeat_wakeup.notify_one();
    advance_queue(state);
}

/// Returns the plan of a stop with the present settings.
fn planned_stop(state: &GatewayState) -> StopPlan {
    let settings = state.settings();
    let address_period = settings.directory_ttl.duration() * DIRECTORY_TTL_FACTOR;
    StopPlan::new(settings.stop_grace.duration(), address_period)
}

/// Applies changed settings to a stop in progress. Its steps may come earlier but not later, since the
/// platform may have fixed the end of the grace period when it asked to stop.
fn shorten_stop(state: &Rc<GatewayState>) {
    let present = *state.stop.borrow();
    let Some(StopSchedule { requested_at, plan }) = present else {
        return;
    };
    let schedule = StopSchedule { requested_at, plan: plan.earliest(planned_stop(state)) };
    state.queue().begin_stop(schedule.queue_stop());
    state.stop.send_replace(Some(schedule));
    advance_queue(state);
}

/// Waits for a step of the stop in progress, or until `is_done`.
async fn wait_step(
    state: &GatewayState,
    step: impl Fn(&StopPlan) -> Duration,
    is_done: impl Fn() -> bool,
) {
    loop {
        let step_at =
            state.stop.borrow().as_ref().map(|stop| stop.requested_at.plus(step(&stop.plan)));
        let left = step_at.map_or(Duration::ZERO, |step_at| step_at.since(state.now()));
        if left.is_zero() || is_done() {
            return;
        }
        tokio::time::sleep(left.min(DRAIN_CHECK_INTERVAL)).await;
    }
}

/// Reloads the settings file when it changes. `SIGHUP` checks it at once and logs the result even
/// without a change.
pub(crate) async fn run_reload(state: Rc<GatewayState>, file: PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(cause) => {
            state.log.state("reload_impossible", &format_smolstr!("{cause}"));
            return;
        }
    };
    let mut known = std::fs::read_to_string(&file).unwrap_or_default();
    let mut is_readable = true;
    loop {
        let was_signalled = wait_for_check(&mut hangup).await;
        let text = match std::fs::read_to_string(&file) {
            Ok(text) => text,
            Err(cause) => {
                if is_readable || was_signalled {
                    state.log.state("settings_unreadable", &format_smolstr!("{cause}"));
                }
                is_readable = false;
                continue;
            }
        };
        is_readable = true;
        if text == known {
            if was_signalled {
                state.log.state("reload", "no change");
            }
            continue;
        }
        known = text;
        match read_settings(&file.to_string_lossy(), &known) {
            Ok(settings) => {
                state.log.state("reload", "settings changed");
                state.queue().outflow.set_price(settings.border_price);
                state.settings.replace(Rc::new(settings));
                refresh_fleet(&state);
                shorten_stop(&state);
            }
            Err(errors) => state.log.state("settings_invalid", &format_smolstr!("{errors}")),
        }
    }
}

/// Waits for `SIGHUP` or the next check of the file. Returns whether the signal came.
async fn wait_for_check(hangup: &mut Signal) -> bool {
    tokio::time::timeout(FILE_CHECK_INTERVAL, hangup.recv()).await.is_ok()
}
