//! `report`: shows a service's burn rate, at which it spends its error budget.
//!
//! Each entry host stores a burn object: counts of request outcomes, from which the burn rate is
//! computed.

use super::check::object_interface_error;
use crate::output::{FINDING, Output, USAGE};
use crate::plot;
use crate::settings;
use crate::table::Table;
use argh::FromArgs;
use chestnutrack_burn::ledger::Read;
use chestnutrack_burn::report::{Burn, Row};
use chestnutrack_burn::{KIND, Report as BurnReport};
use chestnutrack_document::Document;
use chestnutrack_store::client::{Client, Settings};
use chestnutrack_store::error::Error;
use chestnutrack_store::object::Object;
use std::net::SocketAddr;
use std::time::Duration;

/// Show how fast a service spends its error budget, by organisation and route.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub(super) struct Report {
    /// name of the service
    #[argh(option)]
    service: Option<String>,
    /// address of the object interface
    #[argh(option)]
    platform: Option<String>,
    /// also write a plot of the burn by hour to this SVG file
    #[argh(option)]
    svg: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Report {
    /// Reads the report, formats it and, on request, writes the plot.
    pub(super) async fn run(self) -> Result<Output, Output> {
        let settings_result =
            settings::platform_and_service(self.platform.as_deref(), self.service.as_deref());
        let (platform, service) = settings_result.map_err(super::settings_error)?;
        let report = read_report(platform, &service).await?;
        if let Some(file) = &self.svg {
            let svg = plot::burn(&report);
            std::fs::write(file, svg)
                .map_err(|error| Output::error(USAGE, format!("--svg {file}: {error}")))?;
        }
        Ok(if self.json { Output::json(&report) } else { Output::ok(text(&report)) })
    }
}

/// Reads the accepted document and the burn objects of a service, and builds its report.
async fn read_report(platform: SocketAddr, service: &str) -> Result<BurnReport, Output> {
    let client = Client::new(platform, Settings::default(), None);
    let to_output = |error: Error| object_interface_error(platform, &error);
    let accepted = match client.read("accepted", service).await {
        Ok(object) => object.value.unwrap_or_default(),
        Err(Error::Missing) => {
            let message = format!("service `{service}` has no accepted document");
            return Err(Output::error(FINDING, message));
        }
        Err(error) => return Err(to_output(error)),
    };
    let document = serde_json::from_value::<Document>(accepted["document"].clone());
    let document = document.map_err(|error| {
        Output::error(FINDING, format!("accepted document of `{service}`: {error}"))
    })?;
    let list = client.list(KIND).await.map_err(to_output)?;
    let objects: Vec<Read> = list.objects.into_iter().filter_map(burn_object).collect();
    Ok(BurnReport::from_objects(service, document.targets.objective_per_mille, &objects))
}

/// Converts an object for the report. Returns `None` if it has no value.
fn burn_object(object: Object) -> Option<Read> {
    let age = Duration::from_millis(object.age_ms);
    Some(Read { version: object.version, age, value: object.value? })
}

/// Formats the report as a heading and a table.
fn text(report: &BurnReport) -> String {
    let objective = f64::from(report.objective_per_mille) / 10.0;
    let newest = report.newest_s.map_or("none".to_owned(), |age| format!("{age} s old"));
    let head = format!(
        "{}: objective {objective}%, {} hosts counted, newest figures {newest}\n",
        report.service, report.hosts
    );
    let mut table = Table::new(&[
        "organisation",
        "route",
        "budget left",
        "burn 5m",
        "1h",
        "6h",
        "3d",
        "requests 3d",
        "slow",
        "failed",
        "refused",
        "over rate",
    ]);
    for row in std::iter::once(&report.whole).chain(&report.rows) {
        table.add_row(cells(row));
    }
    head + &table.render()
}

/// Returns the table cells of a row. A row without a route is that of the whole service (`all`), and
/// one without an organisation is that of an open route, which needs no key (`open`). The counts are
/// those of the longest window.
fn cells(row: &Row) -> Vec<String> {
    let name =
        |name: &str, default: &str| if name.is_empty() { default.to_owned() } else { name.into() };
    let (organisation, route) = match row.route.is_empty() {
        true => ("all".to_owned(), "all".to_owned()),
        false => (name(&row.organisation, "open"), row.route.to_string()),
    };
    let budget_left =
        row.budget_left.map(|left| format!("{:.1}%", left * 100.0)).unwrap_or_default();
    let rate = |burn: &Burn| burn.burn_rate.map(|rate| format!("{rate:.2}")).unwrap_or_default();
    let mut cells = vec![organisation, route, budget_left];
    cells.extend(row.windows.iter().map(rate));
    let counts = row.windows.last().map(|burn| burn.counts).unwrap_or_default();
    let numbers = [counts.eligible(), counts.slow, counts.failed, counts.refused, counts.over_rate];
    cells.extend(numbers.map(|number| number.to_string()));
    cells
}
