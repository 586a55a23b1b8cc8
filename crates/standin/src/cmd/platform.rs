//! `chestnutrack-standin platform`.

use super::{Common, Flags};
use argh::FromArgs;
use chestnutrack_process::settings::Findings;
use chestnutrack_standin::platform::{self, Settings};
use std::process::ExitCode;

/// Stands in for the object interface and the host list.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
pub(crate) struct Arguments {
    /// address to listen on
    #[argh(option)]
    listen: Option<String>,
    /// time until a change of the host list shows, in ms
    #[argh(option)]
    hosts_lag_ms: Option<String>,
    /// writes a second, beyond which calls get 429
    #[argh(option)]
    writes_per_s: Option<String>,
    /// reads a second, beyond which calls get 429
    #[argh(option)]
    reads_per_s: Option<String>,
    /// form of the log: text or json
    #[argh(option)]
    log: Option<String>,
}

/// Runs the subcommand.
pub(crate) async fn run(arguments: &Arguments) -> ExitCode {
    super::run(settings(arguments), platform::serve).await
}

fn settings(given: &Arguments) -> Result<(Common, Settings), Findings> {
    let mut flags = Flags::new();
    let common = flags.common(&given.listen, &given.log);
    let default = Settings::default();
    let settings = Settings {
        hosts_lag: flags.millis("--hosts-lag-ms", &given.hosts_lag_ms, default.hosts_lag),
        writes_per_s: flags.count("--writes-per-s", &given.writes_per_s, default.writes_per_s),
        reads_per_s: flags.count("--reads-per-s", &given.reads_per_s, default.reads_per_s),
        ..default
    };
    flags.finish((common, settings))
}
