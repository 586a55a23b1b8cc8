//! Measures how resource usage grows with the size of a fleet and prints the results as a table.

use chestnutrack_harness::capacity::{Row, sweep_all};
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    match sweep_all(|step| println!("measuring: {step}")).await {
        Ok(rows) => {
            rows.iter().for_each(print);
            ExitCode::SUCCESS
        }
        Err(error) => {
            println!("capacity failed: {error}");
            ExitCode::FAILURE
        }
    }
}

fn print(row: &Row) {
    let points: Vec<String> = row.points.iter().map(|(x, y)| format!("{x:.0}: {y:.3}")).collect();
    println!(
        "| {} | {} | {} | {:.4} | {:.5} | {} |",
        row.variable,
        row.role,
        row.metric,
        row.line.base,
        row.line.slope,
        points.join(", ")
    );
}
