//! The subcommands of `chestnutrack-load`, each in its own module.

mod compare;
mod crowd;
mod run;
mod send;

use argh::FromArgs;
use chestnutrack_cli::output::{Output, USAGE};
use std::io::Write;

/// Send requests or crowds of misbehaving callers to entry hosts, run experiments on fleets of processes and compare their results.
#[derive(FromArgs)]
#[argh(
    error_code(1, "a check failed"),
    error_code(2, "invalid arguments or an invalid experiment"),
    error_code(3, "a process can't be reached or started")
)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Crowd(crowd::CrowdArguments),
    Send(send::Send),
    Run(run::Run),
    Compare(compare::Compare),
}

/// Parses the arguments and runs the subcommand.
pub async fn run(args: &[String]) -> Output {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let arguments = match Arguments::from_args(&["chestnutrack-load"], &args) {
        Ok(arguments) => arguments,
        Err(exit) if exit.status.is_ok() => return Output::ok(exit.output),
        Err(exit) => return Output::error(USAGE, exit.output.trim_end()),
    };
    let result = match arguments.command {
        Command::Crowd(command) => command.run().await,
        Command::Send(command) => command.run().await,
        Command::Run(command) => command.run().await,
        Command::Compare(command) => command.run(),
    };
    result.unwrap_or_else(|error| error)
}

/// Writes a line of progress to standard error.
fn progress(line: &str) {
    let _ = writeln!(std::io::stderr(), "{line}");
}

/// Reads a file; a failure is reported as a usage error.
fn read(file: &str) -> Result<Vec<u8>, Output> {
    std::fs::read(file).map_err(|error| Output::error(USAGE, format!("{file}: {error}")))
}
