//! The report: the objects of all hosts merged, and what they amount to against the objective.

use crate::RETENTION;
use crate::count::Counts;
use crate::ledger::Read;
use crate::series::{Key, LONG, Moment, Series, bucket_number};
use crate::value::{Table, Value};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Windows of the report, shortest first.
pub const WINDOWS: [Window; 4] = [
    Window { name: "5m", length: Duration::from_secs(5 * 60) },
    Window { name: "1h", length: Duration::from_secs(3_600) },
    Window { name: "6h", length: Duration::from_secs(6 * 3_600) },
    Window { name: "3d", length: RETENTION },
];

/// One window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// Name for people.
    pub name: &'static str,
    /// Length.
    pub length: Duration,
}

/// The report on one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Service.
    pub service: Arc<str>,
    /// Objective, in good requests of a thousand.
    pub objective_per_mille: u32,
    /// Hosts whose objects were read.
    pub hosts: usize,
    /// Age of the newest object, in seconds.
    pub newest_s: Option<u64>,
    /// The service as a whole.
    pub whole: Row,
    /// By organisation and route, worst first.
    pub rows: Vec<Row>,
}

/// One organisation on one route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Organisation; empty on routes that are open to all, and for the whole.
    pub organisation: Arc<str>,
    /// Route; empty for the whole.
    pub route: Arc<str>,
    /// Share of the budget of the longest window that is left; below zero when it is overspent,
    /// absent without requests.
    pub budget_left: Option<f64>,
    /// By window, shortest first.
    pub windows: Vec<Burn>,
    /// Burn rate by hour, oldest first.
    pub hours: Vec<Hour>,
}

/// What one window amounts to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Burn {
    /// Window.
    pub window: String,
    /// How requests ended.
    pub counts: Counts,
    /// How fast the budget is spent: 1 spends it exactly over the window; absent without requests.
    pub burn_rate: Option<f64>,
}

/// Burn in one hour.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hour {
    /// Hours back from now.
    pub back: u64,
    /// Burn rate.
    pub burn_rate: f64,
}

impl Report {
    /// Merges the objects of a service's hosts. Values that can't be read, and those of other
    /// services, are passed over.
    pub fn from_objects(service: &str, objective_per_mille: u32, objects: &[Read]) -> Report {
        let now = RETENTION + 2 * LONG;
        let mut table = Table::new();
        let (mut hosts, mut newest) = (0, None::<u64>);
        for object in objects {
            let Ok(value) = serde_json::from_value::<Value>(object.value.clone()) else {
                continue;
            };
            if value.service.as_ref() != service {
                continue;
            }
            hosts += 1;
            newest = Some(newest.map_or(object.age.as_secs(), |n| n.min(object.age.as_secs())));
            for (key, series) in value.table(now, object.age) {
                table.entry(key).or_default().merge(&series);
            }
        }
        let mut whole = Series::default();
        table.values().for_each(|series| whole.merge(series));
        let rows = table.iter().map(|(key, series)| row(key, series, objective_per_mille, now));
        let mut rows: Vec<Row> = rows.collect();
        rows.sort_by(|a, b| left(a).total_cmp(&left(b)));
        let nobody = Key { organisation: "".into(), route: "".into() };
        Report {
            service: service.into(),
            objective_per_mille,
            hosts,
            newest_s: newest,
            whole: row(&nobody, &whole, objective_per_mille, now),
            rows,
        }
    }
}

/// How fast counts spend the budget that an objective leaves.
pub fn burn_rate(counts: Counts, objective_per_mille: u32) -> Option<f64> {
    let eligible = counts.eligible();
    let budget = f64::from(1_000_u32.saturating_sub(objective_per_mille)) / 1_000.0;
    (eligible > 0 && budget > 0.0).then(|| counts.bad() as f64 / eligible as f64 / budget)
}

fn row(key: &Key, series: &Series, objective: u32, now: Moment) -> Row {
    let burn = |window: &Window| {
        let counts = series.within(now, window.length);
        let burn_rate = burn_rate(counts, objective);
        Burn { window: window.name.to_owned(), counts, burn_rate }
    };
    let windows: Vec<Burn> = WINDOWS.iter().map(burn).collect();
    let longest = windows.last().and_then(|burn| burn.burn_rate);
    let newest = bucket_number(now, LONG);
    let hour = |(number, counts): (u64, Counts)| {
        let burn_rate = burn_rate(counts, objective)?;
        Some(Hour { back: newest.saturating_sub(number), burn_rate })
    };
    Row {
        organisation: key.organisation.clone(),
        route: key.route.clone(),
        budget_left: longest.map(|rate| 1.0 - rate),
        windows,
        hours: series.hours().into_iter().filter_map(hour).collect(),
    }
}

fn left(row: &Row) -> f64 {
    row.budget_left.unwrap_or(f64::INFINITY)
}
