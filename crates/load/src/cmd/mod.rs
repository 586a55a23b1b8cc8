//! The subcommands, one a file.

mod compare;
mod run;
mod send;

use argh::FromArgs;
use chestnutrack_cli::output::{Output, USAGE};
use std::io::Write;

/// Sends callers' load to entry hosts, runs experiments on fleets of processes, compares them.
#[derive(FromArgs)]
#[argh(
    error_code(1, "something was found wrong"),
    error_code(2, "wrong arguments or a wrong experiment"),
    error_code(3, "a process can't be reached or started")
)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Send(send::Send),
    Run(run::Run),
    Compare(compare::Compare),
}

/// Runs the subcommand that the arguments name.
pub async fn run(args: &[String]) -> Output {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let arguments = match Arguments::from_args(&["chestnutrack-load"], &args) {
        Ok(arguments) => arguments,
        Err(exit) if exit.status.is_ok() => return Output::ok(exit.output),
        Err(exit) => return Output::error(USAGE, exit.output.trim_end()),
    };
    let result = match arguments.command {
        Command::Send(command) => command.run().await,
        Command::Run(command) => command.run().await,
        Command::Compare(command) => command.run(),
    };
    result.unwrap_or_else(|error| error)
}

/// Writes a line of progress on standard error.
fn progress(line: &str) {
    let _ = writeln!(std::io::stderr(), "{line}");
}

/// Reads a file.
fn read(file: &str) -> Result<Vec<u8>, Output> {
    std::fs::read(file).map_err(|error| Output::error(USAGE, format!("{file}: {error}")))
}
