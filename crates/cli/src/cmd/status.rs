//! `status`: which configuration is in force on which entry host.

use crate::output::Output;
use crate::page::{self, Page};
use crate::source;
use crate::table::Table;
use argh::FromArgs;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Show which configuration is in force on which entry host, and whether it is trusted.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(super) struct Status {
    /// admin port of an entry host; may be given several times
    #[argh(option)]
    entry: Vec<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// The part of the configuration page that is shown.
#[derive(Deserialize)]
struct Configuration {
    version: u64,
    trusted: bool,
    service: Option<String>,
}

/// Both pages of one entry host.
#[derive(Serialize)]
struct Host {
    entry: SocketAddr,
    configuration: Page,
    members: Page,
}

impl Status {
    pub(super) async fn run(self) -> Result<Output, Output> {
        let entries = source::entries(&self.entry).map_err(super::wrong_settings)?;
        let configurations = page::fetch(&entries, "/v1/configuration").await;
        let members = page::fetch(&entries, "/v1/members").await;
        let output = match self.json {
            true => Output::json(&hosts(&configurations, &members)),
            false => Output::ok(table(&configurations, &members)),
        };
        Ok(page::note_missing(output, &configurations))
    }
}

fn hosts(configurations: &[Page], members: &[Page]) -> Vec<Host> {
    let pairs = configurations.iter().cloned().zip(members.iter().cloned());
    let host = |(configuration, members): (Page, Page)| Host {
        entry: configuration.entry,
        configuration,
        members,
    };
    pairs.map(host).collect()
}

fn table(configurations: &[Page], members: &[Page]) -> String {
    let mut table = Table::new(&["entry", "service", "version", "trusted", "members"]);
    for (configuration, members) in configurations.iter().zip(members) {
        let entry = configuration.entry.to_string();
        let count = count_members(members).map(|count| count.to_string()).unwrap_or_default();
        let Some(shown) = configuration.read::<Configuration>() else {
            table.row(vec![entry, "unreachable".to_owned(), String::new(), String::new(), count]);
            continue;
        };
        let service = shown.service.unwrap_or_default();
        let trusted = if shown.trusted { "yes" } else { "no" };
        table.row(vec![entry, service, shown.version.to_string(), trusted.to_owned(), count]);
    }
    table.text()
}

fn count_members(page: &Page) -> Option<usize> {
    page.page.as_ref()?.get("members")?.as_array().map(Vec::len)
}
