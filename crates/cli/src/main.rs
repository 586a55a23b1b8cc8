//! `chestnutrack`: checks documents and shows the state of the fleet.

use chestnutrack_cli::cmd;
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    cmd::run(&arguments).await.write()
}
