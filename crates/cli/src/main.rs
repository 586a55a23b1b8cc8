//! `chestnutrack`: checks documents and shows what is in force.

use chestnutrack_cli::cmd;
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let given: Vec<String> = std::env::args().skip(1).collect();
    cmd::run(&given).await.write()
}
