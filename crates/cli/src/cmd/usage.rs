//! `usage`: shows the requests, tokens and refusals of each organisation.

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

/// The usage page of one entry host.
#[derive(Deserialize)]
struct UsagePage {
    usage: Vec<Row>,
}

/// Counts for one organisation on one route.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Row {
    organisation: String,
    route: String,
    requests: u64,
    answered: u64,
    refused: BTreeMap<String, u64>,
    tokens: u64,
    within_targets: u64,
}

impl Usage {
    /// Fetches the usage page of each entry host and formats the sums.
    pub(super) async fn run(self) -> Result<Output, Output> {
        let entries = settings::entries(&self.entry).map_err(super::settings_error)?;
        let pages = page::fetch(&entries, "/v1/usage").await;
        let rows = sum(&pages);
        let output = match self.json {
            true => Output::json(&rows),
            false => Output::ok(table(&rows)),
        };
        Ok(page::add_errors(output, &pages))
    }
}

/// Sums the counts of all entry hosts, by organisation and route.
fn sum(pages: &[Page]) -> Vec<Row> {
    let mut sums: BTreeMap<(String, String), Row> = BTreeMap::new();
    let rows = pages.iter().filter_map(Page::parse::<UsagePage>).flat_map(|page| page.usage);
    for row in rows {
        let key = (row.organisation.clone(), row.route.clone());
        let Some(sum) = sums.get_mut(&key) else {
            sums.insert(key, row);
            continue;
        };
        sum.requests += row.requests;
        sum.answered += row.answered;
        sum.tokens += row.tokens;
        sum.within_targets += row.within_targets;
        for (code, count) in row.refused {
            *sum.refused.entry(code).or_default() += count;
        }
    }
    sums.into_values().collect()
}

/// Formats one row per organisation and route.
fn table(rows: &[Row]) -> String {
    let columns =
        ["organisation", "route", "requests", "answered", "in targets", "tokens", "refused"];
    let mut table = Table::new(&columns);
    for row in rows {
        let refused = row.refused.iter().map(|(code, count)| format!("{code}:{count}"));
        table.add_row(vec![
            row.organisation.clone(),
            row.route.clone(),
            row.requests.to_string(),
            row.answered.to_string(),
            row.within_targets.to_string(),
            row.tokens.to_string(),
            refused.collect::<Vec<String>>().join(","),
        ]);
    }
    table.render()
}
