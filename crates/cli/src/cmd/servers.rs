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
struct List {
    servers: Vec<Server>,
}

/// A backend server as one entry host sees it.
#[derive(Clone, Deserialize)]
struct Server {
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

/// Formats one row per server. Used slots and waiting requests are the highest number that a host
/// reports. Held requests, which each host counts for itself, are summed over the hosts.
fn table(pages: &[Page]) -> String {
    let mut servers: BTreeMap<String, Vec<Server>> = BTreeMap::new();
    for list in pages.iter().filter_map(Page::parse::<List>) {
        for server in list.servers {
            servers.entry(server.name.clone()).or_default().push(server);
        }
    }
    let columns =
        ["server", "pool", "role", "failure domain", "state", "slots", "used", "waiting", "held"];
    let mut table = Table::new(&columns);
    for (name, views) in servers {
        let first = views[0].clone();
        let max_of = |count: fn(&Server) -> u32| views.iter().map(count).max().unwrap_or(0);
        let held: u32 = views.iter().map(|view| view.held).sum();
        table.add_row(vec![
            name,
            first.pool,
            first.role,
            first.failure_domain,
            state(&views),
            first.slots.to_string(),
            max_of(|view| view.used).to_string(),
            max_of(|view| view.waiting).to_string(),
            held.to_string(),
        ]);
    }
    table.render()
}

/// Returns the state if all hosts report the same one, or else each state with the number of hosts
/// that report it.
fn state(views: &[Server]) -> String {
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
