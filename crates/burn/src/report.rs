//! Merges the objects of all hosts into a report of burn rates and remaining error budget.
//!
//! The error budget is the share of requests that an objective allows to be bad. A burn rate is the speed
//! at which it is spent: 1 spends it exactly over the window.

use crate::RETENTION;
use crate::count::Counts;
use crate::ledger::Read;
use crate::series::{Key, LONG_BUCKET, Moment, Series, bucket_number};
use crate::value::{Table, Value};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Time windows of the report, shortest first.
pub const WINDOWS: [Window; 4] = [
    Window { name: "5m", length: Duration::from_secs(5 * 60) },
    Window { name: "1h", length: Duration::from_secs(3_600) },
    Window { name: "6h", length: Duration::from_secs(6 * 3_600) },
    Window { name: "3d", length: RETENTION },
];

/// A time window that ends now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// Display name.
    pub name: &'static str,
    /// Length of the window.
    pub length: Duration,
}

/// Report on one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the service.
    pub service: Arc<str>,
    /// Objective: share of eligible requests that must be good, in requests per thousand.
    pub objective_per_mille: u32,
    /// Number of hosts whose objects were merged.
    pub hosts: usize,
    /// Age of the most recently written object, in seconds; `None` without objects.
    pub newest_s: Option<u64>,
    /// Totals of the whole service, over all organisations and routes.
    pub whole: Row,
    /// Rows by organisation and route, the one with the least budget left first.
    pub rows: Vec<Row>,
}

/// Figures of one organisation on one route, or of the whole service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Organisation; empty on routes that need no key and in the totals.
    pub organisation: Arc<str>,
    /// Route; empty in the totals.
    pub route: Arc<str>,
    /// Share of the longest window's error budget that is left; negative if it is overspent, absent
    /// without requests.
    pub budget_left: Option<f64>,
    /// Burn by window, shortest first.
    pub windows: Vec<Burn>,
    /// Burn rate by hour, oldest first.
    pub hours: Vec<Hour>,
}

/// Counts and burn rate of one window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Burn {
    /// Name of the window.
    pub window: String,
    /// Requests by outcome.
    pub counts: Counts,
    /// Speed at which the error budget is spent: 1 spends it exactly over the window. Absent without
    /// requests.
    pub burn_rate: Option<f64>,
}

/// Burn rate of one hour.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hour {
    /// How many hours before the current hour it lies; 0 is the current hour.
    pub back: u64,
    /// Burn rate.
    pub burn_rate: f64,
}

impl Report {
    /// Merges the objects of a service's hosts. Skips values that can't be parsed and those of other
    /// services.
    pub fn from_objects(service: &str, objective_per_mille: u32, objects: &[Read]) -> Report {
        // `now` is arbitrary, but late enough that the oldest bucket doesn't start before the epoch.
        let now = RETENTION + 2 * LONG_BUCKET;
        let mut table = Table::new();
        let (mut hosts, mut newest_age_s) = (0, None::<u64>);
        for object in objects {
            let Ok(value) = serde_json::from_value::<Value>(object.value.clone()) else {
                continue;
            };
            if value.service.as_ref() != service {
                continue;
            }
            hosts += 1;
            newest_age_s = Some(
                newest_age_s.map_or(object.age.as_secs(), |age_s| age_s.min(object.age.as_secs())),
            );
            for (key, series) in value.decode_table(now, object.age) {
                table.entry(key).or_default().merge(&series);
            }
        }
        let mut total = Series::default();
        table.values().for_each(|series| total.merge(series));
        let rows =
            table.iter().map(|(key, series)| build_row(key, series, objective_per_mille, now));
        let mut rows: Vec<Row> = rows.collect();
        rows.sort_by(|a, b| budget_left(a).total_cmp(&budget_left(b)));
        let whole_key = Key { organisation: "".into(), route: "".into() };
        Report {
            service: service.into(),
            objective_per_mille,
            hosts,
            newest_s: newest_age_s,
            whole: build_row(&whole_key, &total, objective_per_mille, now),
            rows,
        }
    }
}

/// Returns the speed at which counts spend the error budget that an objective leaves: the share of bad
/// requests divided by the share that may be bad. Returns `None` without requests or without a budget.
pub fn burn_rate(counts: Counts, objective_per_mille: u32) -> Option<f64> {
    let eligible = counts.eligible();
    let budget = f64::from(1_000_u32.saturating_sub(objective_per_mille)) / 1_000.0;
    (eligible > 0 && budget > 0.0).then(|| counts.bad() as f64 / eligible as f64 / budget)
}

/// Computes the row of a series. The budget left is that of the longest window, 1 minus its burn rate.
fn build_row(key: &Key, series: &Series, objective_per_mille: u32, now: Moment) -> Row {
    let burn_in_window = |window: &Window| {
        let counts = series.counts_in_window(now, window.length);
        let burn_rate = burn_rate(counts, objective_per_mille);
        Burn { window: window.name.to_owned(), counts, burn_rate }
    };
    let windows: Vec<Burn> = WINDOWS.iter().map(burn_in_window).collect();
    let longest_burn_rate = windows.last().and_then(|burn| burn.burn_rate);
    let newest_hour = bucket_number(now, LONG_BUCKET);
    let hour = |(number, counts): (u64, Counts)| {
        let burn_rate = burn_rate(counts, objective_per_mille)?;
        Some(Hour { back: newest_hour.saturating_sub(number), burn_rate })
    };
    Row {
        organisation: key.organisation.clone(),
        route: key.route.clone(),
        budget_left: longest_burn_rate.map(|rate| 1.0 - rate),
        windows,
        hours: series.hours().into_iter().filter_map(hour).collect(),
    }
}

/// Returns the sort key of a row: its budget left, so that rows without requests come last.
fn budget_left(row: &Row) -> f64 {
    row.budget_left.unwrap_or(f64::INFINITY)
}
