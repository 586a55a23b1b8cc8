//! The subcommands, one per module.

mod check;
mod config;
mod explain;
mod key;
mod report;
mod servers;
mod status;
mod usage;

use crate::output::{Output, USAGE};
use argh::FromArgs;

/// Checks a service's document and shows what the fleet does with it. It only reads: a service is
/// driven by editing its document.
#[derive(FromArgs)]
#[argh(
    note = "Settings not given as flags are taken from the environment: CHESTNUTRACK_ENTRY, CHESTNUTRACK_PLATFORM, CHESTNUTRACK_SERVICE.",
    error_code(1, "something was found"),
    error_code(2, "wrong arguments or settings"),
    error_code(3, "a process can't be reached")
)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(check::Check),
    CheckConfig(config::CheckConfig),
    Key(key::Key),
    Status(status::Status),
    Servers(servers::Servers),
    Usage(usage::Usage),
    Explain(explain::Explain),
    Report(report::Report),
}

/// Names of the subcommands.
pub const NAMES: [&str; 8] =
    ["check", "check-config", "key", "status", "servers", "usage", "explain", "report"];

/// Parses the arguments, without the name of the program, and runs the subcommand.
pub async fn run(args: &[String]) -> Output {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let arguments = match Arguments::from_args(&["chestnutrack"], &args) {
        Ok(arguments) => arguments,
        Err(exit) if exit.status.is_ok() => return Output::ok(exit.output),
        Err(exit) => {
            let hint = "run `chestnutrack help` for the subcommands and their flags";
            return Output::error(USAGE, format!("{}\n{hint}", exit.output.trim_end()));
        }
    };
    let result = match arguments.command {
        Command::Check(command) => command.run().await,
        Command::CheckConfig(command) => command.run().await,
        Command::Key(command) => command.run(),
        Command::Status(command) => command.run().await,
        Command::Servers(command) => command.run().await,
        Command::Usage(command) => command.run().await,
        Command::Explain(command) => command.run().await,
        Command::Report(command) => command.run().await,
    };
    result.unwrap_or_else(|error| error)
}

/// Creates the output, with exit code [`USAGE`], for settings that are missing or malformed.
fn settings_error(findings: chestnutrack_process::settings::Findings) -> Output {
    Output::error(USAGE, findings.to_string().trim_end())
}
