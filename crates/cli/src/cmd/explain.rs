//! `explain`: shows why a request was placed or refused where it was, from the records of entry
//! hosts or from logs.

use super::check;
use crate::output::{FINDING, Output, USAGE};
use crate::page::{self, Page};
use crate::settings;
use crate::table::Table;
use crate::timeline::{self, Line};
use argh::FromArgs;
use serde::Deserialize;

/// Number of hexadecimal digits in a request identifier that an entry host assigned.
const ID_DIGITS: usize = 32;

/// Show why a request was placed or refused where it was, from the recent requests of entry hosts
/// or from the logs of processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(super) struct Explain {
    /// the request's identifier, from the answer's x-chestnutrack-request header; with --log the
    /// one that its caller gave
    #[argh(positional)]
    id: String,
    /// admin port of an entry host; may be given several times
    #[argh(option)]
    entry: Vec<String>,
    /// file with a process's log, or - for standard input; may be given several times
    #[argh(option)]
    log: Vec<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// An entry host's record of a request.
#[derive(Deserialize)]
struct Record {
    route: Option<String>,
    organisation: Option<String>,
    steps: Vec<Step>,
}

/// One step of a request. `at_us` is the time since the request arrived, in microseconds.
#[derive(Deserialize)]
struct Step {
    at_us: u64,
    what: String,
    server: Option<String>,
    why: Option<String>,
}

impl Explain {
    /// Explains the request from the logs if there are any, otherwise from the first entry host
    /// that has a record of it.
    pub(super) async fn run(self) -> Result<Output, Output> {
        if !self.log.is_empty() {
            return self.explain_from_logs();
        }
        if self.id.len() != ID_DIGITS || !self.id.chars().all(|c| c.is_ascii_hexdigit()) {
            let message = format!("`{}` is not a request's identifier: 32 hex digits", self.id);
            return Err(Output::error(USAGE, message));
        }
        let entries = settings::entries(&self.entry).map_err(super::settings_error)?;
        let pages = page::fetch(&entries, &format!("/v1/explain?id={}", self.id)).await;
        let found = pages.iter().find_map(|page| Some((page, page.parse::<Record>()?)));
        let Some((page, record)) = found else {
            let message = format!("request {} is not among the recent ones of any host", self.id);
            return Ok(page::add_errors(Output::error(FINDING, message), &pages));
        };
        Ok(if self.json {
            Output::json(page)
        } else {
            Output::ok(record_text(&self.id, page, &record))
        })
    }

    /// Reads the log files and formats the request's timeline.
    fn explain_from_logs(&self) -> Result<Output, Output> {
        let mut lines = Vec::new();
        for file in &self.log {
            let bytes = check::read_input(file)?;
            let text = String::from_utf8_lossy(&bytes);
            lines.extend(text.lines().filter_map(|line| Line::parse(line, file)));
        }
        let timeline_lines = timeline::build(&self.id, &lines);
        if timeline_lines.is_empty() {
            let message = format!("request {} is in none of the logs", self.id);
            return Ok(Output::error(FINDING, message));
        }
        Ok(Output::ok(timeline_text(&timeline_lines)))
    }
}

/// Formats a timeline as a table. Times are relative to its first line.
fn timeline_text(timeline_lines: &[&Line]) -> String {
    let start = timeline_lines.first().map_or(0, |line| line.at_us);
    let mut table = Table::new(&["ms", "from", "what", "inputs and outcome"]);
    for line in timeline_lines {
        let ms = (line.at_us - start) / 1_000;
        let message = line.message().to_owned();
        table.add_row(vec![ms.to_string(), line.source.clone(), message, line.details()]);
    }
    table.render()
}

/// Formats an entry host's record of a request as a heading and a table.
fn record_text(id: &str, page: &Page, record: &Record) -> String {
    let or_dash = |name: &Option<String>| name.clone().unwrap_or_else(|| "-".to_owned());
    let (route, organisation) = (or_dash(&record.route), or_dash(&record.organisation));
    let mut table = Table::new(&["ms", "what", "server", "why"]);
    for step in &record.steps {
        table.add_row(vec![
            format!("{}.{:03}", step.at_us / 1_000, step.at_us % 1_000),
            step.what.clone(),
            step.server.clone().unwrap_or_default(),
            step.why.clone().unwrap_or_default(),
        ]);
    }
    let head = format!("request {id} on {} route {route} for {organisation}\n", page.entry);
    head + &table.render()
}
