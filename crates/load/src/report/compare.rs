//! Compares the results of two runs in a table.

use super::named_measures;
use crate::measure::Results;
use chestnutrack_cli::table::Table;
use std::collections::BTreeSet;

/// Returns a table of the measures, latencies and organisations' shares of two runs, with their
/// differences.
pub fn compare(a: &Results, b: &Results) -> String {
    let mut table = Table::new(&["measure", "a", "b", "b - a"]);
    let mut line = |name: &str, a: f64, b: f64| {
        let cells = [format!("{a:.4}"), format!("{b:.4}"), format!("{:+.4}", b - a)];
        table.add_row(std::iter::once(name.to_owned()).chain(cells).collect());
    };
    for ((name, a), (_, b)) in
        named_measures(&a.measures).into_iter().zip(named_measures(&b.measures))
    {
        line(name, a, b);
    }
    line("first token p50, ms", a.first_token.p50_ms, b.first_token.p50_ms);
    line("first token p99, ms", a.first_token.p99_ms, b.first_token.p99_ms);
    line("between tokens p95, ms", a.between_tokens.p95_ms, b.between_tokens.p95_ms);
    line("violations", a.violations.total() as f64, b.violations.total() as f64);
    let names: BTreeSet<_> = a.organisations.keys().chain(b.organisations.keys()).collect();
    for name in names {
        let share = |run: &Results| run.organisations.get(name).map_or(1.0, |s| s.value());
        line(&format!("good share of {name}"), share(a), share(b));
    }
    let header = |label: &str, run: &Results| {
        format!("{label}: {} (seed {}), {:.0} s\n", run.experiment, run.seed, run.measured_s)
    };
    header("a", a) + &header("b", b) + &table.render()
}
