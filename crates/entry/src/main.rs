//! `chestnutrack-entry`: program of an entry host.

use chestnutrack_entry::program;
use chestnutrack_entry::settings::{self, Flags};
use chestnutrack_forward::native;
use chestnutrack_forward::program::{Protocol, Reload, Settings, run};
use chestnutrack_process::settings::environment;
use chestnutrack_process::{log, shutdown};
use std::fmt::Display;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Runs the program in one of three modes: with the settings file of the users' platform if it runs
/// there, with direct calls to backend servers if the flags ask for that, otherwise through side
/// processes.
fn main() -> ExitCode {
    if let Err(error) = shutdown::defer_signals() {
        return exit_code(Err(error));
    }
    if let Some(settings_path) = chestnutrack_platform::settings::path() {
        return run_on_platform(settings_path);
    }
    let flags: Flags = argh::from_env();
    if flags.direct {
        return run_direct(flags);
    }
    let settings = match settings::read(&flags, environment) {
        Ok(settings) => settings,
        Err(findings) => return invalid_settings(&findings),
    };
    log::start(settings.log);
    match tokio::runtime::Runtime::new() {
        Ok(runtime) => exit_code(runtime.block_on(program::run(settings))),
        Err(error) => exit_code(Err(error)),
    }
}

/// Runs with the settings file of the users' platform and calls backend servers directly.
fn run_on_platform(settings_path: PathBuf) -> ExitCode {
    let incarnation = rand::random();
    let read = move || chestnutrack_platform::settings::read(&settings_path, incarnation);
    match read() {
        Ok(settings) => {
            let reload = move || read().map_err(|error| error.to_string());
            run_forward(settings, chestnutrack_platform::PROTOCOL, Box::new(reload))
        }
        Err(error) => invalid_settings(&error),
    }
}

/// Runs in the project's own dialect and calls backend servers directly.
fn run_direct(flags: Flags) -> ExitCode {
    let incarnation = rand::random();
    let read = move || settings::read_direct(&flags, environment, incarnation);
    match read() {
        Ok(settings) => {
            let reload = move || read().map_err(|findings| findings.to_string());
            run_forward(settings, native::PROTOCOL, Box::new(reload))
        }
        Err(findings) => invalid_settings(&findings),
    }
}

/// Runs a host that calls backend servers directly, on one thread: such a host has only a part of
/// a core.
fn run_forward(settings: Settings, protocol: Protocol, reload: Reload) -> ExitCode {
    let _guard = log::start_rate_limited(log::RateLimit::default());
    match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => exit_code(runtime.block_on(run(settings, protocol, reload))),
        Err(error) => exit_code(Err(error)),
    }
}

/// Returns the exit code of a run, and prints its error.
fn exit_code<E: Display>(result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            report(&error);
            ExitCode::FAILURE
        }
    }
}

/// Prints the errors in the settings and returns the exit code.
fn invalid_settings(error: &dyn Display) -> ExitCode {
    report(error);
    ExitCode::from(EXIT_INVALID_SETTINGS)
}

/// Prints an error to standard error.
#[expect(clippy::print_stderr, reason = "errors before and after logging go to standard error")]
fn report(error: &dyn Display) {
    eprint!("{error}");
    eprintln!();
}
