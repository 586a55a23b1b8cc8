//! Subcommands.

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

/// Exit code for wrong settings.
const WRONG_SETTINGS: u8 = 2;
/// Exit code when the address can't be listened on.
const NO_ADDRESS: u8 = 1;

/// Reads flags, each also from its environment variable.
pub(crate) struct Flags(Reader<fn(&str) -> Option<String>>);

/// What every subcommand is told.
pub(crate) struct Common {
    listen: SocketAddr,
    form: Format,
}

impl Flags {
    /// A reader over the process's environment.
    pub(crate) fn new() -> Flags {
        Flags(Reader::new(chestnutrack_process::settings::environment))
    }

    /// Reads a setting, or takes its default.
    pub(crate) fn or<T: FromStr>(
        &mut self,
        flag: &str,
        given: &Option<String>,
        allowed: &str,
        default: T,
    ) -> T {
        let variable = variable(flag);
        self.0.with_default(
            Setting { flag, variable: &variable, allowed },
            given.as_deref(),
            default,
        )
    }

    /// Reads a whole number of at least 1, or takes its default.
    pub(crate) fn count(&mut self, flag: &str, given: &Option<String>, default: u32) -> u32 {
        let allowed = "a whole number of at least 1";
        let default = NonZeroU32::new(default).unwrap_or(NonZeroU32::MIN);
        self.or(flag, given, allowed, default).get()
    }

    /// Reads a time in milliseconds, or takes its default.
    pub(crate) fn millis(
        &mut self,
        flag: &str,
        given: &Option<String>,
        default: Duration,
    ) -> Duration {
        let millis = default.as_millis().try_into().unwrap_or(u64::MAX);
        Duration::from_millis(self.or(flag, given, "a number of milliseconds", millis))
    }

    /// Reads a time in microseconds, or takes its default.
    pub(crate) fn micros(
        &mut self,
        flag: &str,
        given: &Option<String>,
        default: Duration,
    ) -> Duration {
        let micros = default.as_micros().try_into().unwrap_or(u64::MAX);
        Duration::from_micros(self.or(flag, given, "a number of microseconds", micros))
    }

    /// Reads a number of bytes of at least 1, or takes its default.
    pub(crate) fn bytes(&mut self, flag: &str, given: &Option<String>, default: u64) -> u64 {
        let default = NonZeroU64::new(default).unwrap_or(NonZeroU64::MIN);
        self.or(flag, given, "a number of bytes of at least 1", default).get()
    }

    /// Reads what every subcommand is told.
    pub(crate) fn common(&mut self, listen: &Option<String>, log: &Option<String>) -> Common {
        let variable = variable("--listen");
        let allowed = "an address and a port";
        let setting = Setting { flag: "--listen", variable: &variable, allowed };
        let listen =
            self.0.required(setting, listen.as_deref(), SocketAddr::from(([127, 0, 0, 1], 0)));
        let form = self.or("--log", log, "`text` or `json`", Format::default());
        Common { listen, form }
    }

    /// Ends the reading.
    pub(crate) fn finish<T>(self, settings: T) -> Result<T, Findings> {
        self.0.finish(settings)
    }
}

fn variable(flag: &str) -> String {
    format!("CHESTNUTRACK_{}", flag.trim_start_matches('-').replace('-', "_").to_uppercase())
}

/// Serves until SIGTERM or SIGINT.
pub(crate) async fn run<S, F>(settings: Result<(Common, S), Findings>, serve: F) -> ExitCode
where
    F: AsyncFnOnce(TcpListener, S),
{
    let (common, settings) = match settings {
        Ok(settings) => settings,
        Err(findings) => return fail(WRONG_SETTINGS, &findings.to_string()),
    };
    log::start(common.form);
    let shutdown = shutdown::on_signal();
    let listener = TcpListener::bind(common.listen).await;
    let (mut shutdown, listener) = match (shutdown, listener) {
        (Ok(shutdown), Ok(listener)) => (shutdown, listener),
        (Err(error), _) | (_, Err(error)) => {
            return fail(NO_ADDRESS, &format!("{}: {error}\n", common.listen));
        }
    };
    tracing::info!(listen = %common.listen, "serving");
    tokio::select! {
        () = serve(listener, settings) => {}
        () = shutdown.wait() => {}
    }
    ExitCode::SUCCESS
}

fn fail(code: u8, text: &str) -> ExitCode {
    let _ = std::io::stderr().write_all(text.as_bytes());
    ExitCode::from(code)
}
