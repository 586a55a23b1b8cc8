//! The subcommands, one a file.

mod send;

use argh::FromArgs;
use std::io::Write;
use std::process::ExitCode;

/// Exit code when something was found wrong.
const FINDING: u8 = 1;
/// Exit code for wrong arguments.
const USAGE: u8 = 2;
/// Exit code when a process could not be reached or started.
const UNREACHABLE: u8 = 3;

/// Sends callers' load to entry hosts, runs experiments on fleets of processes, compares them.
///
/// Exit codes: 0 all well, 1 something found wrong, 2 wrong arguments, 3 a process can't be
/// reached or started.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Send(send::Send),
}

/// Why a subcommand failed: its exit code and a message.
struct Failure {
    code: u8,
    message: String,
}

impl Failure {
    fn new(code: u8, message: impl std::fmt::Display) -> Failure {
        Failure { code, message: message.to_string() }
    }
}

/// Runs the program.
pub async fn main() -> ExitCode {
    let arguments = match parse() {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    let ended = match arguments.command {
        Command::Send(command) => command.run().await,
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            say(&format!("error: {}", failure.message));
            ExitCode::from(failure.code)
        }
    }
}

fn parse() -> Result<Arguments, ExitCode> {
    let given: Vec<String> = std::env::args().skip(1).collect();
    let given: Vec<&str> = given.iter().map(String::as_str).collect();
    Arguments::from_args(&["chestnutrack-load"], &given).map_err(|exit| match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            say(exit.output.trim_end());
            ExitCode::from(USAGE)
        }
    })
}

/// Writes a line on standard error.
fn say(line: &str) {
    let _ = writeln!(std::io::stderr(), "{line}");
}
