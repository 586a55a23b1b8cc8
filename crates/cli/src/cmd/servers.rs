//! `servers`: shows the backend servers with their state and load, as entry hosts see them.

use crate::output::Output;
use crate::page::{self, Page};
use crate::settings;
use crate::table::Table;
use argh::FromArgs;
use serde::Deserialize;
use std::collections::BTreeMap;

/// Show which backend servers are live, leaving, full or unreachable, as entry hosts see them.
#[derive(FromArgs)]
#[argh(subcommand, name = "servers")]
pub(super) struct Servers {
    /// admin port of an entry host; may be given several times
    #[argh(option)]
    entry: Vec<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// The servers page of one entry host.
#[derive(Deserialize)]
struct ServersPage {
    servers: Vec<ServerView>,
}

/// A backend server as one entry host sees it.
#[derive(Clone, Deserialize)]
struct ServerView {
    name: String,
    pool: String,
    role: String,
    failure_domain: String,
    state: String,
    slots: u32,
    used: u32,
    waiting: u32,
    held: u32,
}

impl Servers {
    /// Fetches the servers page of each entry host and formats them.
    pub(super) async fn run(self) -> Result<Output, Output> {
        let entries = settings::entries(&self.entry).map_err(super::settings_error)?;
        let pages = page::fetch(&entries, "/v1/servers").await;
        let output = match self.json {
            true => Output::json(&pages),
            false => Output::ok(table(&pages)),
        };
        Ok(page::add_errors(output, &pages))
    }
}

/// Formats one row per server from the views of all entry hosts. Used slots and waiting requests
/// are the highest number in any view. Held requests, which each entry host counts for itself, are
/// summed.
fn table(pages: &[Page]) -> String {
    let mut servers: BTreeMap<String, Vec<ServerView>> = BTreeMap::new();
    for page in pages.iter().filter_map(Page::parse::<ServersPage>) {
        for server in page.servers {
            servers.entry(server.name.clone()).or_default().push(server);
        }
    }
    let columns =
        ["server", "pool", "role", "failure domain", "state", "slots", "used", "waiting", "held"];
    let mut table = Table::new(&columns);
    for (name, views) in servers {
        let first_view = views[0].clone();
        let max_of = |count: fn(&ServerView) -> u32| views.iter().map(count).max().unwrap_or(0);
        let held_total: u32 = views.iter().map(|view| view.held).sum();
        table.add_row(vec![
            name,
            first_view.pool,
            first_view.role,
            first_view.failure_domain,
            combined_state(&views),
            first_view.slots.to_string(),
            max_of(|view| view.used).to_string(),
            max_of(|view| view.waiting).to_string(),
            held_total.to_string(),
        ]);
    }
    table.render()
}

/// Returns the state of a server if all views agree on it, otherwise each state with the number of
/// entry hosts that report it.
fn combined_state(views: &[ServerView]) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for view in views {
        *counts.entry(&view.state).or_default() += 1;
    }
    if counts.len() == 1 {
        return views[0].state.clone();
    }
    let counted = counts.iter().map(|(state, count)| format!("{state}:{count}"));
    counted.collect::<Vec<String>>().join(",")
}
