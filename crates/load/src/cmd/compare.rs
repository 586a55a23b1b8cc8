//! `compare`: compares the results of two runs.

use super::read;
use crate::measure::Results;
use crate::report;
use argh::FromArgs;
use chestnutrack_cli::output::{Output, USAGE};

/// Compare the results of two runs.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
pub(super) struct Compare {
    /// file with the results of the first run
    #[argh(positional)]
    a: String,
    /// file with the results of the second run
    #[argh(positional)]
    b: String,
}

impl Compare {
    pub(super) fn run(self) -> Result<Output, Output> {
        Ok(Output::ok(report::compare(&results(&self.a)?, &results(&self.b)?)))
    }
}

fn results(file: &str) -> Result<Results, Output> {
    let parsed = serde_json::from_slice(&read(file)?);
    parsed.map_err(|error| Output::error(USAGE, format!("{file}: {error}")))
}
