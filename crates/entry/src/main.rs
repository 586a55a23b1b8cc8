//! `chestnutrack-entry`: the program on an entry host.

use chestnutrack_entry::program;
use chestnutrack_entry::settings::{self, Flags};
use chestnutrack_forward::program as forward;
use chestnutrack_process::log;
use chestnutrack_process::settings::environment;
use std::path::Path;
use std::process::ExitCode;

/// Exit code for wrong settings.
const WRONG_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    if let Some(path) = chestnutrack_platform::settings::path() {
        return on_platform(&path);
    }
    let flags: Flags = argh::from_env();
    let settings = match settings::read(&flags, environment) {
        Ok(settings) => settings,
        Err(findings) => {
            report(&findings);
            return ExitCode::from(WRONG_SETTINGS);
        }
    };
    log::start(settings.log);
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            report(&error);
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(program::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            report(&error);
            ExitCode::FAILURE
        }
    }
}

/// Runs with the settings file of the users' platform, calling backend servers directly.
fn on_platform(path: &Path) -> ExitCode {
    let incarnation = rand::random();
    let settings = match chestnutrack_platform::settings::entry(path, incarnation) {
        Ok(settings) => settings,
        Err(error) => {
            report(&error);
            return ExitCode::from(WRONG_SETTINGS);
        }
    };
    let _guard = log::start_bounded(log::Bound::default());
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            report(&error);
            return ExitCode::FAILURE;
        }
    };
    let path = path.to_owned();
    let reload = move || {
        let settings = chestnutrack_platform::settings::entry(&path, incarnation);
        settings.map_err(|error| error.to_string())
    };
    let program = forward::run(settings, chestnutrack_platform::SPEECH, Box::new(reload));
    match runtime.block_on(program) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            report(&error);
            ExitCode::FAILURE
        }
    }
}

#[expect(clippy::print_stderr, reason = "errors before and after logging go to standard error")]
fn report(error: &dyn std::fmt::Display) {
    eprint!("{error}");
    eprintln!();
}
