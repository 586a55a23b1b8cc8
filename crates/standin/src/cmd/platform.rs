//! `chestnutrack-standin platform`: settings of the simulated object interface.

use super::{CommonSettings, Flags};
use argh::FromArgs;
use chestnutrack_process::settings::Findings;
use chestnutrack_standin::platform::{self, Settings};
use std::process::ExitCode;

/// Simulates the object interface and the host list.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
pub(crate) struct Arguments {
    /// address to listen on
    #[argh(option)]
    listen: Option<String>,
    /// delay until a change of the host list is visible, in ms
    #[argh(option)]
    hosts_lag_ms: Option<String>,
    /// maximum writes per second; calls beyond get status 429
    #[argh(option)]
    writes_per_s: Option<String>,
    /// maximum reads per second; calls beyond get status 429
    #[argh(option)]
    reads_per_s: Option<String>,
    /// format of the log: text or json
    #[argh(option)]
    log: Option<String>,
}

/// Runs the subcommand.
pub(crate) async fn run(arguments: &Arguments) -> ExitCode {
    super::run(settings(arguments), platform::serve).await
}

/// Reads the settings from the flags and their environment variables.
fn settings(arguments: &Arguments) -> Result<(CommonSettings, Settings), Findings> {
    let mut flags = Flags::new();
    let common = flags.common(&arguments.listen, &arguments.log);
    let defaults = Settings::default();
    let settings = Settings {
        hosts_lag: flags.millis("--hosts-lag-ms", &arguments.hosts_lag_ms, defaults.hosts_lag),
        writes_per_s: flags.count("--writes-per-s", &arguments.writes_per_s, defaults.writes_per_s),
        reads_per_s: flags.count("--reads-per-s", &arguments.reads_per_s, defaults.reads_per_s),
        ..defaults
    };
    flags.finish((common, settings))
}
