//! `chestnutrack-standin plain`.

use super::{Common, Flags};
use argh::FromArgs;
use chestnutrack_process::settings::Findings;
use chestnutrack_standin::plain::{self, Settings};
use std::process::ExitCode;

/// Stands in for a plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "plain")]
pub(crate) struct Arguments {
    /// address to listen on
    #[argh(option)]
    listen: Option<String>,
    /// calls served at a time
    #[argh(option)]
    slots: Option<String>,
    /// time to serve a call, in ms
    #[argh(option)]
    service_ms: Option<String>,
    /// form of the log: text or json
    #[argh(option)]
    log: Option<String>,
}

/// Runs the subcommand.
pub(crate) async fn run(arguments: &Arguments) -> ExitCode {
    super::run(settings(arguments), plain::serve).await
}

fn settings(given: &Arguments) -> Result<(Common, Settings), Findings> {
    let mut flags = Flags::new();
    let common = flags.common(&given.listen, &given.log);
    let default = Settings::default();
    let slots = u32::try_from(default.slots).unwrap_or(u32::MAX);
    let settings = Settings {
        slots: flags.count("--slots", &given.slots, slots) as usize,
        service_time: flags.millis("--service-ms", &given.service_ms, default.service_time),
    };
    flags.finish((common, settings))
}
