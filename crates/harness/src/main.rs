//! The demo: runs both deployments as separate processes on loopback, then exits.

mod demo;

use argh::FromArgs;
use chestnutrack_harness::Deployment;
use std::process::ExitCode;

/// Runs both deployments as separate processes on loopback, sends requests as callers would, and
/// prints the answers and the metrics of each process.
#[derive(FromArgs)]
struct Arguments {
    /// use TLS between the processes
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
