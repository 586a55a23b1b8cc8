//! `chestnutrack-load`: callers' load, experiments and their comparison.

use chestnutrack_load::cmd;
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    cmd::main().await
}
