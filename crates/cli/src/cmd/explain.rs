//! `explain`: why a request was placed or refused where it was.

use super::check;
use crate::output::{FINDING, Output, USAGE};
use crate::page::{self, Page};
use crate::settings;
use crate::table::Table;
use crate::timeline::{self, Line};
use argh::FromArgs;
use serde::Deserialize;

/// Digits of a request's identifier that an entry host gave.
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

/// What an entry host has on record.
#[derive(Deserialize)]
struct Record {
    route: Option<String>,
    organisation: Option<String>,
    steps: Vec<Step>,
}

#[derive(Deserialize)]
struct Step {
    at_us: u64,
    what: String,
    server: Option<String>,
    why: Option<String>,
}

impl Explain {
    pub(super) async fn run(self) -> Result<Output, Output> {
        if !self.log.is_empty() {
            return self.read_logs();
        }
        if self.id.len() != ID_DIGITS || !self.id.chars().all(|c| c.is_ascii_hexdigit()) {
            let message = format!("`{}` is not a request's identifier: 32 hex digits", self.id);
            return Err(Output::error(USAGE, message));
        }
        let entries = settings::entries(&self.entry).map_err(super::wrong_settings)?;
        let pages = page::fetch(&entries, &format!("/v1/explain?id={}", self.id)).await;
        let found = pages.iter().find_map(|page| Some((page, page.parse::<Record>()?)));
        let Some((page, record)) = found else {
            let message = format!("request {} is not among the recent ones of any host", self.id);
            return Ok(page::add_errors(Output::error(FINDING, message), &pages));
        };
        Ok(if self.json { Output::json(page) } else { Output::ok(text(&self.id, page, &record)) })
    }

    fn read_logs(&self) -> Result<Output, Output> {
        let mut lines = Vec::new();
        for file in &self.log {
            let bytes = check::read(file)?;
            let text = String::from_utf8_lossy(&bytes);
            lines.extend(text.lines().filter_map(|line| Line::parse(line, file)));
        }
        let story = timeline::build(&self.id, &lines);
        if story.is_empty() {
            let message = format!("request {} is in none of the logs", self.id);
            return Ok(Output::error(FINDING, message));
        }
        Ok(Output::ok(told(&story)))
    }
}

/// A story as a table; times are counted from its first line.
fn told(story: &[&Line]) -> String {
    let start = story.first().map_or(0, |line| line.at_us);
    let mut table = Table::new(&["ms", "from", "what", "inputs and outcome"]);
    for line in story {
        let ms = (line.at_us - start) / 1_000;
        let message = line.message().to_owned();
        table.add_row(vec![ms.to_string(), line.source.clone(), message, line.details()]);
    }
    table.render()
}

fn text(id: &str, page: &Page, record: &Record) -> String {
    let known = |name: &Option<String>| name.clone().unwrap_or_else(|| "-".to_owned());
    let (route, organisation) = (known(&record.route), known(&record.organisation));
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
