//! `chestnutrack-side`: the side process of one backend server.

use chestnutrack_process::settings::environment;
use chestnutrack_process::{log, shutdown};
use chestnutrack_side::settings::{self, Flags, Settings};
use std::process::ExitCode;

/// Exit code if the settings are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
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
    match run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: Settings) -> Result<(), chestnutrack_side::program::Error> {
    let shutdown = shutdown::on_signal().map_err(chestnutrack_side::program::Error::Signal)?;
    chestnutrack_side::start(settings, shutdown).await?.wait().await;
    Ok(())
}
