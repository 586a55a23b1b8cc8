//! `chestnutrack-load`: sends requests to entry hosts, runs experiments and compares their results.

use chestnutrack_load::cmd;
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    cmd::run(&args).await.write()
}
