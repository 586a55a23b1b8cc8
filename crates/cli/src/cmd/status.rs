//! `status`: shows the configuration in force on each entry host and the host's membership state.

use crate::output::Output;
use crate::page::{self, Page};
use crate::settings;
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

/// Fields of the configuration page that the table shows.
#[derive(Deserialize)]
struct Configuration {
    version: u64,
    trusted: bool,
    service: Option<String>,
}

/// Fields of the members page that the table shows.
#[derive(Default, Deserialize)]
struct Members {
    name: String,
    current: bool,
    share: Option<String>,
    platform_up: bool,
    peers: Vec<serde::de::IgnoredAny>,
}

/// The configuration page and the members page of one entry host.
#[derive(Serialize)]
struct HostPages {
    entry: SocketAddr,
    configuration: Page,
    members: Page,
}

impl Status {
    /// Fetches both pages of each entry host and formats them.
    pub(super) async fn run(self) -> Result<Output, Output> {
        let entries = settings::entries(&self.entry).map_err(super::settings_error)?;
        let configuration_pages = page::fetch(&entries, "/v1/configuration").await;
        let member_pages = page::fetch(&entries, "/v1/members").await;
        let output = match self.json {
            true => Output::json(&pair_pages(&configuration_pages, &member_pages)),
            false => Output::ok(table(&configuration_pages, &member_pages)),
        };
        Ok(page::add_errors(output, &configuration_pages))
    }
}

/// Pairs the configuration page with the members page of each entry host.
fn pair_pages(configuration_pages: &[Page], member_pages: &[Page]) -> Vec<HostPages> {
    let pairs = configuration_pages.iter().cloned().zip(member_pages.iter().cloned());
    let host_pages = |(configuration, members): (Page, Page)| HostPages {
        entry: configuration.entry,
        configuration,
        members,
    };
    pairs.map(host_pages).collect()
}

/// Formats one row per entry host.
fn table(configuration_pages: &[Page], member_pages: &[Page]) -> String {
    let mut table = Table::new(&[
        "entry", "name", "service", "version", "trusted", "current", "members", "share", "platform",
    ]);
    for (configuration_page, members_page) in configuration_pages.iter().zip(member_pages) {
        let mut cells = vec![configuration_page.entry.to_string()];
        let member = members_page.parse::<Members>();
        cells.push(member.as_ref().map(|member| member.name.clone()).unwrap_or_default());
        match configuration_page.parse::<Configuration>() {
            Some(parsed) => cells.extend([
                parsed.service.unwrap_or_default(),
                parsed.version.to_string(),
                yes_or_no(parsed.trusted),
            ]),
            None => cells.extend(["unreachable".to_owned(), String::new(), String::new()]),
        }
        cells.extend(member.map(member_cells).unwrap_or_default());
        table.add_row(cells);
    }
    table.render()
}

/// Returns the cells from the members page. The member count includes the host itself.
fn member_cells(member: Members) -> [String; 4] {
    let count = member.peers.len() + 1;
    let platform = if member.platform_up { "up" } else { "down" };
    let share = member.share.unwrap_or_default();
    [yes_or_no(member.current), count.to_string(), share, platform.to_owned()]
}

fn yes_or_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}
