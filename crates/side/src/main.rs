//! `chestnutrack-side`: the side process of one backend server.

use chestnutrack_process::settings::environment;
use chestnutrack_process::{log, shutdown};
use chestnutrack_side::settings::{self, Flags, Settings};
use std::fmt::Display;
use std::process::ExitCode;

/// Exit code if the settings are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    if let Err(error) = shutdown::defer_signals() {
        log::start(log::Format::Text);
        return fail(&error);
    }
    let flags: Flags = argh::from_env();
    let settings = match settings::read(&flags, environment) {
        Ok(settings) => settings,
        Err(findings) => {
            log::start(log::Format::Text);
            for finding in &findings.0 {
                tracing::error!("{}: {}", finding.source, finding.message);
            }
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    log::start(settings.log);
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    match runtime.block_on(run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

/// Logs why the program ends and returns the exit code.
fn fail(error: &dyn Display) -> ExitCode {
    tracing::error!("{error}");
    ExitCode::FAILURE
}

async fn run(settings: Settings) -> Result<(), chestnutrack_side::program::Error> {
    let shutdown = shutdown::on_signal().map_err(chestnutrack_side::program::Error::Signal)?;
    shutdown::deliver_signals().map_err(chestnutrack_side::program::Error::Signal)?;
    chestnutrack_side::start(settings, shutdown).await?.wait().await;
    Ok(())
}
