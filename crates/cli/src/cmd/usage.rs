//! `usage`: what each organisation spent and was refused.

use crate::output::Output;
use crate::page::{self, Page};
use crate::settings;
use crate::table::Table;
use argh::FromArgs;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Show what each organisation spent and was refused since the entry hosts started.
#[derive(FromArgs)]
#[argh(subcommand, name = "usage")]
pub(super) struct Usage {
    /// admin port of an entry host; may be given several times
    #[argh(option)]
    entry: Vec<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

#[derive(Deserialize)]
struct List {
    usage: Vec<Line>,
}

/// One organisation on one route.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Line {
    organisation: String,
    route: String,
    requests: u64,
    answered: u64,
    refused: BTreeMap<String, u64>,
    tokens: u64,
    within_targets: u64,
}

impl Usage {
    pub(super) async fn run(self) -> Result<Output, Output> {
        let entries = settings::entries(&self.entry).map_err(super::wrong_settings)?;
        let pages = page::fetch(&entries, "/v1/usage").await;
        let lines = sum(&pages);
        let output = match self.json {
            true => Output::json(&lines),
            false => Output::ok(table(&lines)),
        };
        Ok(page::add_errors(output, &pages))
    }
}

/// Sums the lines of all entry hosts.
fn sum(pages: &[Page]) -> Vec<Line> {
    let mut sums: BTreeMap<(String, String), Line> = BTreeMap::new();
    let lines = pages.iter().filter_map(Page::parse::<List>).flat_map(|list| list.usage);
    for line in lines {
        let key = (line.organisation.clone(), line.route.clone());
        let Some(sum) = sums.get_mut(&key) else {
            sums.insert(key, line);
            continue;
        };
        sum.requests += line.requests;
        sum.answered += line.answered;
        sum.tokens += line.tokens;
        sum.within_targets += line.within_targets;
        for (code, count) in line.refused {
            *sum.refused.entry(code).or_default() += count;
        }
    }
    sums.into_values().collect()
}

fn table(lines: &[Line]) -> String {
    let columns =
        ["organisation", "route", "requests", "answered", "in targets", "tokens", "refused"];
    let mut table = Table::new(&columns);
    for line in lines {
        let refused = line.refused.iter().map(|(code, count)| format!("{code}:{count}"));
        table.add_row(vec![
            line.organisation.clone(),
            line.route.clone(),
            line.requests.to_string(),
            line.answered.to_string(),
            line.within_targets.to_string(),
            line.tokens.to_string(),
            refused.collect::<Vec<String>>().join(","),
        ]);
    }
    table.render()
}
