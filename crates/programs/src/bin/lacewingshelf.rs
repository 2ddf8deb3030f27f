//! The entry daemon.

use anyhow::{Context, Result};
use bpaf::Bpaf;
use entry::{EntryInstance, start_logging};
use settings::DaemonSettings;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for settings that are wrong.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for a failure to start.
const EXIT_START: u8 = 1;
/// Exit code for a stop that cut off work.
const EXIT_CUT: u8 = 3;
/// Time between looks at whether an operator drains this instance.
const DRAIN_POLL: Duration = Duration::from_millis(100);

/// lacewingshelf: an entry instance of the load balancer.
///
/// Exit codes: 0 stopped with no work cut off, 1 cannot start, 2 wrong settings, 3 work cut off at
/// the stop limit.
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
            return ExitCode::from(EXIT_SETTINGS);
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
            log::error!(cut; "stopped with work in progress");
            ExitCode::from(EXIT_CUT)
        }
        Err(cause) => {
            eprintln!("{cause:#}");
            ExitCode::from(EXIT_START)
        }
    }
}

fn read_settings(options: &DaemonOptions) -> Result<DaemonSettings> {
    let file = options.settings.display().to_string();
    let text = std::fs::read_to_string(&options.settings).with_context(|| file.clone())?;
    Ok(DaemonSettings::parse(&file, &text)?)
}

/// Runs until a signal or an operator's drain; gives the calls that the stop cut off.
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
                () = tokio::time::sleep(DRAIN_POLL) => {
                    if instance.is_leaving() {
                        return Ok(());
                    }
                }
            }
        }
    })?;
    Ok(instance.close())
}
