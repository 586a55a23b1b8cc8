//! Formats results for people: tables, a plot and a comparison of two runs.

mod compare;
mod plot;

pub use compare::compare;
pub use plot::plot;

use crate::measure::{Measures, Percentiles, Results, Row};
use chestnutrack_cli::table::Table;

/// Formats the results of a run as tables.
pub fn text(results: &Results) -> String {
    let mut text = format!(
        "{} (seed {}), {:.0} s measured\n",
        results.experiment, results.seed, results.measured_s
    );
    text += &measures(&results.measures);
    text += &shares(results);
    text += &rows(&results.rows);
    text += &latencies(results);
    text += &violations(results);
    text
}

/// Returns the names and values of the measures, in the order in which reports list them.
pub(crate) fn named_measures(measures: &Measures) -> [(&'static str, f64); 6] {
    [
        ("goodput, requests/s", measures.goodput_per_s),
        ("goodput / servable", measures.goodput_share),
        ("in-rate refusals", measures.in_rate_refusals),
        ("worst served / mean", measures.worst_against_mean),
        ("wasted prefill", measures.wasted_prefill),
        ("offered / decode capacity", measures.offered_load),
    ]
}

fn measures(measures: &Measures) -> String {
    let mut table = Table::new(&["measure", "value"]);
    for (name, value) in named_measures(measures) {
        table.add_row(vec![name.to_owned(), format!("{value:.4}")]);
    }
    table.render() + "\n"
}

/// Returns the table of good requests and tokens by organisation.
fn shares(results: &Results) -> String {
    let columns = ["organisation", "in rate", "good", "share", "tokens", "tokens allowed"];
    let mut table = Table::new(&columns);
    for (name, share) in &results.organisations {
        let counts = [share.in_rate, share.good].map(|count| count.to_string());
        let tokens = [share.admitted_tokens, share.allowed_tokens].map(|count| count.to_string());
        let mut cells = vec![name.to_string()];
        cells.extend(counts);
        cells.push(format!("{:.4}", share.value()));
        cells.extend(tokens);
        table.add_row(cells);
    }
    table.render() + "\n"
}

/// Returns the table of counts and latencies, in milliseconds, by organisation and route.
fn rows(rows: &[Row]) -> String {
    let mut table = Table::new(&[
        "organisation",
        "route",
        "sent",
        "in rate",
        "good",
        "late",
        "refused",
        "broken",
        "first p50",
        "p95",
        "p99",
        "between p95",
        "codes",
    ]);
    for row in rows {
        let mut cells = vec![row.organisation.to_string(), row.route.to_string()];
        let counts = [row.sent, row.in_rate, row.good, row.late, row.refused, row.broken];
        cells.extend(counts.map(|count| count.to_string()));
        let times = [row.first.p50_ms, row.first.p95_ms, row.first.p99_ms, row.between.p95_ms];
        cells.extend(times.map(|time| format!("{time:.1}")));
        let codes = row.codes.iter().map(|(code, count)| format!("{code}:{count}"));
        cells.push(codes.collect::<Vec<String>>().join(","));
        table.add_row(cells);
    }
    table.render() + "\n"
}

/// Returns the table of the latencies of interactive model requests from organisations within their
/// rates.
fn latencies(results: &Results) -> String {
    let mut table = Table::new(&["interactive, ms", "count", "p50", "p95", "p99"]);
    let mut line = |name: &str, times: &Percentiles| {
        let shown = [times.p50_ms, times.p95_ms, times.p99_ms].map(|time| format!("{time:.1}"));
        let mut cells = vec![name.to_owned(), times.count.to_string()];
        cells.extend(shown);
        table.add_row(cells);
    };
    line("first token", &results.first_token);
    line("first token, unloaded engine", &results.first_token_unloaded);
    line("between tokens", &results.between_tokens);
    table.render() + "\n"
}

/// Returns the table of the violations of the router's guarantees.
fn violations(results: &Results) -> String {
    let found = results.violations;
    let mut table = Table::new(&["violation", "count"]);
    let counts = [
        ("answer not whole", found.short),
        ("answer longer than whole", found.long),
        ("answer of another request", found.crossed),
        ("ran twice", found.ran_twice),
        ("ran, said not run", found.not_run_ran),
        ("organisation over rate and burst", found.over_rate),
        ("repetition answered otherwise", found.repeat_differs),
    ];
    for (name, count) in counts {
        table.add_row(vec![name.to_owned(), count.to_string()]);
    }
    table.render()
}
