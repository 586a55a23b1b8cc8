//! The demo: the whole path as separate processes on loopback, which ends by itself.

mod demo;

use argh::FromArgs;
use chestnutrack_harness::Deployment;
use std::process::ExitCode;

/// Runs both deployments as separate processes on loopback, sends requests as callers would, and
/// prints what came back and what each process counted.
#[derive(FromArgs)]
struct Arguments {
    /// use TLS between the system's processes
    #[argh(switch)]
    tls: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    for deployment in [Deployment::Larder, Deployment::Skrid] {
        if let Err(error) = demo::run(deployment, arguments.tls).await {
            println!("demo failed: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
