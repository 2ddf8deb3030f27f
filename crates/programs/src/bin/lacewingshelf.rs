//! The daemon that runs one entry instance.

use anyhow::{Context, Result};
use bpaf::Bpaf;
use entry::{EntryInstance, start_logging};
use settings::DaemonSettings;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for invalid or unreadable settings.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit code for a failed start.
const EXIT_START_FAILED: u8 = 1;
/// Exit code for a stop that cut off requests.
const EXIT_CUT_OFF: u8 = 3;
/// Interval between checks whether an operator drains this instance.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// lacewingshelf: an entry instance of the load balancer.
///
/// Exit codes: 0 stopped with no request cut off, 1 start failed, 2 invalid settings, 3 requests
/// cut off at the stop limit.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct DaemonOptions {
    /// Settings file (INI)
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Check the settings and exit
    check: bool,
}

fn main() -> ExitCode {
    let options = daemon_options().run();
    let settings = match read_settings(&options) {
        Ok(settings) => settings,
        Err(cause) => {
            eprintln!("{cause:#}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if options.check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    start_logging(settings.log_format);
    match run(settings) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(cut) => {
            log::error!(cut; "stopped at the stop limit with requests in progress");
            ExitCode::from(EXIT_CUT_OFF)
        }
        Err(cause) => {
            eprintln!("{cause:#}");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

fn read_settings(options: &DaemonOptions) -> Result<DaemonSettings> {
    let file = options.settings.display().to_string();
    let text = std::fs::read_to_string(&options.settings).with_context(|| file.clone())?;
    Ok(DaemonSettings::parse(&file, &text)?)
}

/// Runs until a signal arrives or an operator drains this instance. Returns the number of requests
/// cut off by the stop.
fn run(settings: DaemonSettings) -> Result<i64> {
    let instance = EntryInstance::start(settings)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        loop {
            tokio::select! {
                _ = terminate.recv() => return anyhow::Ok(()),
                _ = interrupt.recv() => return Ok(()),
                () = tokio::time::sleep(DRAIN_POLL_INTERVAL) => {
                    if instance.is_leaving() {
                        return Ok(());
                    }
                }
            }
        }
    })?;
    Ok(instance.close())
}
