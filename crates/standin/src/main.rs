//! Command line of the stand-ins: one subcommand for each simulated server.

mod cmd;

use argh::FromArgs;
use std::process::ExitCode;

/// Stand-ins of the object interface, model engines and plain services, for tests and the demo.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
#[expect(clippy::large_enum_variant, reason = "the process holds a single value")]
enum Command {
    Platform(cmd::platform::Arguments),
    Engine(cmd::engine::Arguments),
    Plain(cmd::plain::Arguments),
}

#[tokio::main]
async fn main() -> ExitCode {
    match argh::from_env::<Arguments>().command {
        Command::Platform(arguments) => cmd::platform::run(&arguments).await,
        Command::Engine(arguments) => cmd::engine::run(&arguments).await,
        Command::Plain(arguments) => cmd::plain::run(&arguments).await,
    }
}
