//! Tests of the table, the JSON and the plot of `report`.

use crate::common::{document, run, serve};
use chestnutrack_burn::ledger::Step;
use chestnutrack_burn::{Key, Ledger, Outcome};
use chestnutrack_cli::output::FINDING;
use chestnutrack_core::time::Instant;
use expect_test::{expect, expect_file};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// Returns the burn object of a host after three days of requests, with more slow ones in one hour.
fn burn_object(host: u64) -> Value {
    let start = Instant::from_millis(0);
    let mut ledger = Ledger::new("larder-orders".into(), host, start);
    assert_eq!(ledger.next_step(start), Step::Read);
    ledger.apply_read(start, None);
    let key = |organisation: &str, route: &str| Key {
        organisation: organisation.into(),
        route: route.into(),
    };
    for hour in 0..72 {
        let at = start + Duration::from_secs(hour * 3_600 + 60);
        let slow = if hour == 70 { 30 } else { 2 };
        (0..100).for_each(|_| ledger.record(at, key("dairy-coop", "chat"), Outcome::Good));
        (0..slow).for_each(|_| ledger.record(at, key("dairy-coop", "chat"), Outcome::Slow));
        (0..10).for_each(|_| ledger.record(at, key("honey-shop", "stock"), Outcome::Good));
        (0..5).for_each(|_| ledger.record(at, key("honey-shop", "stock"), Outcome::OverRate));
        ledger.record(at, key("", "hours"), Outcome::Good);
    }
    ledger.flush(start + Duration::from_secs(72 * 3_600)).expect("figures").value
}

/// Serves an accepted document and the burn objects of two hosts.
async fn start_platform() -> SocketAddr {
    let object = |name: &str, age_ms: u64, value: Value| json!({ "name": name, "version": 7, "age_ms": age_ms, "value": value });
    let accepted = json!({ "source": 41, "document": document() });
    serve(vec![
        ("/v1/objects/accepted/larder-orders", object("larder-orders", 9, accepted)),
        (
            "/v1/objects/burn",
            json!({ "version": 9, "objects": [
            object("larder-orders.entry-0", 12_000, burn_object(1)),
            object("larder-orders.entry-1", 25_000, burn_object(2)),
        ] }),
        ),
    ])
    .await
}

#[tokio::test]
async fn the_table_shows_rows_with_the_least_budget_left_first() {
    let platform = start_platform().await.to_string();

    let output = run(&["report", "--service", "larder-orders", "--platform", &platform]).await;

    expect![[r#"
        larder-orders: objective 95%, 2 hosts counted, newest figures 12 s old
        ORGANISATION  ROUTE  BUDGET LEFT  BURN 5M    1H    6H    3D  REQUESTS 3D  SLOW  FAILED  REFUSED  OVER RATE
        all           all          57.9%        -  0.35  1.13  0.42        16328   344       0        0        720
        dairy-coop    chat         53.3%        -  0.39  1.25  0.47        14744   344       0        0          0
        open          hours       100.0%        -  0.00  0.00  0.00          144     0       0        0          0
        honey-shop    stock       100.0%        -  0.00  0.00  0.00         1440     0       0        0        720
    "#]].assert_eq(&(output.out + &output.err));
}

#[tokio::test]
async fn json_and_plot_hold_the_same_rows() {
    let platform = start_platform().await.to_string();
    let folder = tempfile::tempdir().expect("a temporary folder");
    let svg = folder.path().join("burn.svg").display().to_string();
    let arguments =
        ["report", "--json", "--svg", &svg, "--service", "larder-orders", "--platform", &platform];

    let output = run(&arguments).await;

    let report: Value = serde_json::from_str(&output.out).expect("JSON");
    assert_eq!(report["hosts"], 2);
    assert_eq!(report["rows"].as_array().map(Vec::len), Some(3));
    let plot = std::fs::read_to_string(&svg).expect("a plot");
    expect_file!["burn.svg"].assert_eq(&plot);
}

#[tokio::test]
async fn a_service_without_a_document_is_a_finding() {
    let platform = start_platform().await.to_string();

    let output = run(&["report", "--service", "nobody", "--platform", &platform]).await;

    assert_eq!(output.code, FINDING);
    assert_eq!(output.err, "error: service `nobody` has no accepted document\n");
}
