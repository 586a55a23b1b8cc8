//! Subcommands, the settings that they share, and the loop that serves until shutdown.

pub(crate) mod engine;
pub(crate) mod plain;
pub(crate) mod platform;

use chestnutrack_process::log::{self, Format};
use chestnutrack_process::settings::{Findings, Reader, Setting};
use chestnutrack_process::shutdown;
use std::io::Write;
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroU64};
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;
use tokio::net::TcpListener;

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit code if the listener or the signal handlers can't be set up.
pub(crate) const EXIT_START_FAILED: u8 = 1;

/// Reads settings from flags or from their environment variables, and collects the invalid ones.
pub(crate) struct Flags(Reader<fn(&str) -> Option<String>>);

/// Settings that all subcommands share.
pub(crate) struct CommonSettings {
    listen: SocketAddr,
    log_format: Format,
}

impl Flags {
    /// Creates a reader that uses the process's environment variables.
    pub(crate) fn new() -> Flags {
        Flags(Reader::new(chestnutrack_process::settings::environment))
    }

    /// Returns the value of a setting, or its default if it isn't given.
    ///
    /// `allowed` describes the permitted values in the error message.
    pub(crate) fn or_default<T: FromStr>(
        &mut self,
        flag: &str,
        given: &Option<String>,
        allowed: &str,
        default: T,
    ) -> T {
        let variable = variable_name(flag);
        self.0.with_default(
            Setting { flag, variable: &variable, allowed },
            given.as_deref(),
            default,
        )
    }

    /// Returns a whole number of at least 1, or its default if it isn't given.
    pub(crate) fn count(&mut self, flag: &str, given: &Option<String>, default: u32) -> u32 {
        let allowed = "a whole number of at least 1";
        let default = NonZeroU32::new(default).unwrap_or(NonZeroU32::MIN);
        self.or_default(flag, given, allowed, default).get()
    }

    /// Returns a duration given in milliseconds, or its default if it isn't given.
    pub(crate) fn millis(
        &mut self,
        flag: &str,
        given: &Option<String>,
        default: Duration,
    ) -> Duration {
        let millis = default.as_millis().try_into().unwrap_or(u64::MAX);
        Duration::from_millis(self.or_default(flag, given, "a number of milliseconds", millis))
    }

    /// Returns a duration given in microseconds, or its default if it isn't given.
    pub(crate) fn micros(
        &mut self,
        flag: &str,
        given: &Option<String>,
        default: Duration,
    ) -> Duration {
        let micros = default.as_micros().try_into().unwrap_or(u64::MAX);
        Duration::from_micros(self.or_default(flag, given, "a number of microseconds", micros))
    }

    /// Returns a number of bytes of at least 1, or its default if it isn't given.
    pub(crate) fn bytes(&mut self, flag: &str, given: &Option<String>, default: u64) -> u64 {
        let default = NonZeroU64::new(default).unwrap_or(NonZeroU64::MIN);
        self.or_default(flag, given, "a number of bytes of at least 1", default).get()
    }

    /// Reads the settings that all subcommands share; the listen address is required.
    pub(crate) fn common(
        &mut self,
        listen: &Option<String>,
        log: &Option<String>,
    ) -> CommonSettings {
        let variable = variable_name("--listen");
        let allowed = "an address and a port";
        let setting = Setting { flag: "--listen", variable: &variable, allowed };
        let listen =
            self.0.required(setting, listen.as_deref(), SocketAddr::from(([127, 0, 0, 1], 0)));
        let log_format = self.or_default("--log", log, "`text` or `json`", Format::default());
        CommonSettings { listen, log_format }
    }

    /// Returns `settings` if all settings read were valid.
    ///
    /// # Errors
    ///
    /// All invalid settings.
    pub(crate) fn finish<T>(self, settings: T) -> Result<T, Findings> {
        self.0.finish(settings)
    }
}

/// Returns the environment variable of a flag.
fn variable_name(flag: &str) -> String {
    format!("CHESTNUTRACK_{}", flag.trim_start_matches('-').replace('-', "_").to_uppercase())
}

/// Starts the log, listens, and serves until SIGTERM or SIGINT.
pub(crate) async fn run<S, F>(settings: Result<(CommonSettings, S), Findings>, serve: F) -> ExitCode
where
    F: AsyncFnOnce(TcpListener, S),
{
    let (common, settings) = match settings {
        Ok(settings) => settings,
        Err(findings) => return exit_with_error(EXIT_INVALID_SETTINGS, &findings.to_string()),
    };
    log::start(common.log_format);
    let shutdown =
        shutdown::on_signal().and_then(|shutdown| shutdown::deliver_signals().map(|()| shutdown));
    let listener = TcpListener::bind(common.listen).await;
    let (mut shutdown, listener) = match (shutdown, listener) {
        (Ok(shutdown), Ok(listener)) => (shutdown, listener),
        (Err(error), _) | (_, Err(error)) => {
            return exit_with_error(EXIT_START_FAILED, &format!("{}: {error}\n", common.listen));
        }
    };
    tracing::info!(listen = %common.listen, "serving");
    tokio::select! {
        () = serve(listener, settings) => {}
        () = shutdown.wait() => {}
    }
    ExitCode::SUCCESS
}

/// Writes a message to standard error and returns the exit code.
pub(crate) fn exit_with_error(code: u8, text: &str) -> ExitCode {
    let _ = std::io::stderr().write_all(text.as_bytes());
    ExitCode::from(code)
}
