//! `run`: runs an experiment on a fleet that it starts, and reports the measures.

use super::{progress, read};
use crate::experiment::{self, Experiment};
use crate::measure::{Results, measure};
use crate::{report, run};
use argh::FromArgs;
use chestnutrack_cli::output::{FINDING, Output, UNREACHABLE, USAGE};
use chestnutrack_document::Findings;
use chestnutrack_document::model::Document;
use chestnutrack_harness::deployment::AddressBlock;

/// Run an experiment on a fleet of separate processes and report its measures. The fleet inherits
/// the environment.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub(super) struct Run {
    /// file of the experiment
    #[argh(positional)]
    file: String,
    /// seed to use instead of the one in the experiment
    #[argh(option)]
    seed: Option<u64>,
    /// write the results to this JSON file
    #[argh(option)]
    json: Option<String>,
    /// write a plot of the run to this SVG file
    #[argh(option)]
    svg: Option<String>,
}

impl Run {
    pub(super) async fn run(self) -> Result<Output, Output> {
        let mut experiment = self.read()?;
        experiment.seed = self.seed.unwrap_or(experiment.seed);
        let outcome = run::run(&experiment, progress).await;
        let outcome = outcome.map_err(|error| Output::error(UNREACHABLE, error))?;
        let results = measure(&experiment, &outcome);
        self.write(&results)?;
        let mut output = Output::ok(report::text(&results));
        if results.violations.total() > 0 {
            let message = format!("{} violations", results.violations.total());
            output = output.with_error(FINDING, message);
        }
        if outcome.unfinished > 0 {
            let message =
                format!("{} requests were still in flight when the run ended", outcome.unfinished);
            output = output.with_error(FINDING, message);
        }
        Ok(output)
    }

    fn read(&self) -> Result<Experiment, Output> {
        let parsed = experiment::parse(&read(&self.file)?, document);
        parsed.map_err(|findings: Findings| {
            let lines = findings.0.iter().map(|finding| format!("{}: {finding}", self.file));
            Output::error(USAGE, lines.collect::<Vec<String>>().join("\n"))
        })
    }

    fn write(&self, results: &Results) -> Result<(), Output> {
        let json = serde_json::to_string_pretty(results).unwrap_or_default();
        for (file, text) in [(&self.json, json), (&self.svg, report::plot(results))] {
            let Some(file) = file else { continue };
            std::fs::write(file, text)
                .map_err(|error| Output::error(USAGE, format!("{file}: {error}")))?;
        }
        Ok(())
    }
}

/// Returns the document that the deployment of an experiment will have, except for its addresses.
fn document(experiment: &Experiment) -> Document {
    experiment.deployment.deployment().document(AddressBlock::random(), 1, true)
}
