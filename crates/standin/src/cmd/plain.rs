//! `chestnutrack-standin plain`: settings of the simulated plain service.

use super::{CommonSettings, Flags};
use argh::FromArgs;
use chestnutrack_process::settings::Findings;
use chestnutrack_standin::plain::{self, Settings};
use std::process::ExitCode;

/// Simulates a plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "plain")]
pub(crate) struct Arguments {
    /// address to listen on
    #[argh(option)]
    listen: Option<String>,
    /// maximum number of calls served concurrently
    #[argh(option)]
    slots: Option<String>,
    /// time to serve one call, in ms
    #[argh(option)]
    service_ms: Option<String>,
    /// format of the log: text or json
    #[argh(option)]
    log: Option<String>,
}

/// Runs the subcommand.
pub(crate) async fn run(arguments: &Arguments) -> ExitCode {
    super::run(settings(arguments), plain::serve).await
}

/// Reads the settings from the flags and their environment variables.
fn settings(arguments: &Arguments) -> Result<(CommonSettings, Settings), Findings> {
    let mut flags = Flags::new();
    let common = flags.common(&arguments.listen, &arguments.log);
    let defaults = Settings::default();
    let slots = u32::try_from(defaults.slots).unwrap_or(u32::MAX);
    let settings = Settings {
        slots: flags.count("--slots", &arguments.slots, slots) as usize,
        service_time: flags.millis("--service-ms", &arguments.service_ms, defaults.service_time),
    };
    flags.finish((common, settings))
}
