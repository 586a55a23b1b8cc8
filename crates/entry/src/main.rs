//! `chestnutrack-entry`: the program on an entry host.

use chestnutrack_entry::program;
use chestnutrack_entry::settings::{self, Flags};
use chestnutrack_forward::native;
use chestnutrack_forward::program::{Reload, Settings, Speech, run};
use chestnutrack_process::log;
use chestnutrack_process::settings::environment;
use std::fmt::Display;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for wrong settings.
const WRONG_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    if let Some(path) = chestnutrack_platform::settings::path() {
        return on_platform(path);
    }
    let flags: Flags = argh::from_env();
    if flags.direct {
        return direct(flags);
    }
    let settings = match settings::read(&flags, environment) {
        Ok(settings) => settings,
        Err(findings) => return wrong(&findings),
    };
    log::start(settings.log);
    match tokio::runtime::Runtime::new() {
        Ok(runtime) => ended(runtime.block_on(program::run(settings))),
        Err(error) => ended(Err(error)),
    }
}

/// Runs with the settings file of the users' platform, calling backend servers directly.
fn on_platform(path: PathBuf) -> ExitCode {
    let incarnation = rand::random();
    let read = move || chestnutrack_platform::settings::entry(&path, incarnation);
    match read() {
        Ok(settings) => {
            let reload = move || read().map_err(|error| error.to_string());
            forward(settings, chestnutrack_platform::SPEECH, Box::new(reload))
        }
        Err(error) => wrong(&error),
    }
}

/// Runs in the project's own dialect, calling backend servers directly.
fn direct(flags: Flags) -> ExitCode {
    let incarnation = rand::random();
    let read = move || settings::read_direct(&flags, environment, incarnation);
    match read() {
        Ok(settings) => {
            let reload = move || read().map_err(|findings| findings.to_string());
            forward(settings, native::SPEECH, Box::new(reload))
        }
        Err(findings) => wrong(&findings),
    }
}

/// Runs on one thread: hosts have a part of a core.
fn forward(settings: Settings, speech: Speech, reload: Reload) -> ExitCode {
    let _guard = log::start_rate_limited(log::RateLimit::default());
    match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => ended(runtime.block_on(run(settings, speech, reload))),
        Err(error) => ended(Err(error)),
    }
}

fn ended<E: Display>(ended: Result<(), E>) -> ExitCode {
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            report(&error);
            ExitCode::FAILURE
        }
    }
}

fn wrong(error: &dyn Display) -> ExitCode {
    report(error);
    ExitCode::from(WRONG_SETTINGS)
}

#[expect(clippy::print_stderr, reason = "errors before and after logging go to standard error")]
fn report(error: &dyn Display) {
    eprint!("{error}");
    eprintln!();
}
