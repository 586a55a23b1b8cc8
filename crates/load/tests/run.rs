//! Runs a short experiment on a fleet of separate processes.

use chestnutrack_load::experiment::{DeploymentKind, Experiment, Fault, FaultKind, Range, Stream};
use chestnutrack_load::measure::measure;
use chestnutrack_load::run::run;

fn stream(name: &str, route: &str) -> Stream {
    Stream {
        name: name.into(),
        route: route.into(),
        organisations: vec!["dairy-coop".into(), "honey-shop".into()],
        rate_per_s: 3.0,
        rushes: Vec::new(),
        prompt_tokens: Range { min: 50, max: 200 },
        shared_tokens: 0,
        shared_starts: 1,
        output_tokens: Range { min: 4, max: 12 },
        items: 5,
        repeated_per_mille: if route == "deposit" { 500 } else { 0 },
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_short_run_is_measured_and_violates_nothing() {
    let slow = Fault { at_s: 2.0, kind: FaultKind::Slow { delay_ms: 20 } };
    let experiment = Experiment {
        name: "short".into(),
        deployment: DeploymentKind::Larder,
        seed: 3,
        entries: 2,
        duration_s: 4.0,
        warm_up_s: 0.0,
        links: false,
        engine_arguments: Vec::new(),
        streams: vec![stream("chat", "chat"), stream("stock", "stock"), stream("pay", "deposit")],
        faults: vec![slow],
    };

    let outcome = run(&experiment, |_| {}).await.expect("a run");
    let results = measure(&experiment, &outcome);

    assert_eq!(results.violations.total(), 0, "{:?} {:?}", results.violations, results.incidents);
    assert_eq!(outcome.unfinished, 0);
    assert!(results.rows.iter().any(|row| row.good > 0), "{:?}", results.rows);
    assert!(results.engines.generated_tokens > 0);
    assert!(results.platform_calls.values().sum::<u64>() > 0);
}
