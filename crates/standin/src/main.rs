//! Command line of the stand-ins: one subcommand for each simulated server.

mod cmd;

use argh::FromArgs;
use chestnutrack_process::shutdown;
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

fn main() -> ExitCode {
    let runtime = shutdown::defer_signals().and_then(|()| tokio::runtime::Runtime::new());
    match runtime {
        Ok(runtime) => runtime.block_on(run(&argh::from_env::<Arguments>().command)),
        Err(error) => cmd::exit_with_error(cmd::EXIT_START_FAILED, &format!("{error}\n")),
    }
}

async fn run(command: &Command) -> ExitCode {
    match command {
        Command::Platform(arguments) => cmd::platform::run(arguments).await,
        Command::Engine(arguments) => cmd::engine::run(arguments).await,
        Command::Plain(arguments) => cmd::plain::run(arguments).await,
    }
}
