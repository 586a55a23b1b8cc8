//! Measures and violations of runs with known outcomes.

use crate::fixture::{answered, chat, deposits, document, experiment, refused, sends};
use chestnutrack_load::call::Verdict;
use chestnutrack_load::experiment::Experiment;
use chestnutrack_load::measure::{Results, measure};
use chestnutrack_load::report;
use chestnutrack_load::run::record::Engines;
use chestnutrack_load::run::{Outcome, Record, SendResult, SentRequest};
use expect_test::expect;
use std::net::SocketAddr;

fn results(experiment: &Experiment, result_for: impl Fn(usize, &str) -> SendResult) -> Results {
    let document = document();
    let sent = sends(experiment, &document, result_for);
    measure(experiment, &outcome(sent, Record::default()))
}

fn outcome(sent: Vec<SentRequest>, record: Record) -> Outcome {
    Outcome { document: document(), sent, record, unfinished: 0 }
}

fn good(_: usize, _: &str) -> SendResult {
    answered(Verdict::Complete, 100, None)
}

#[test]
fn a_run_of_good_requests_has_full_goodput() {
    let results = results(&experiment(vec![chat("dairy-coop", 5.0)]), good);

    assert_eq!(results.measures.goodput_share, 1.0);
    assert_eq!(results.measures.in_rate_refusals, 0.0);
    assert_eq!(results.measures.worst_against_mean, 1.0);
    assert_eq!(results.violations.total(), 0);
}

#[test]
fn late_refused_and_broken_requests_are_counted_separately() {
    let streams = vec![chat("dairy-coop", 5.0), deposits("honey-shop")];

    let results = results(&experiment(streams), |index, route| match (route, index % 4) {
        ("chat", 0) => answered(Verdict::Complete, 900, None),
        ("chat", 1) => SendResult::Broken { reason: "connection closed".to_owned() },
        ("deposit", 0) => refused("claim_unavailable", "not-run"),
        _ => answered(Verdict::Complete, 100, None),
    });

    expect![[r#"
        test (seed 7), 20 s measured
        MEASURE                     VALUE
        goodput, requests/s        4.2500
        goodput / servable         0.5519
        in-rate refusals           0.0779
        worst served / mean        0.7797
        wasted prefill             0.0000
        offered / decode capacity  0.0163

        ORGANISATION  IN RATE  GOOD   SHARE  TOKENS  TOKENS ALLOWED
        dairy-coop        108    51  0.4722   24514          986518
        honey-shop         46    34  0.7391     340          183842

        ORGANISATION  ROUTE    SENT  IN RATE  GOOD  LATE  REFUSED  BROKEN  FIRST P50    P95    P99  BETWEEN P95  CODES
        dairy-coop    chat      108      108    51    27        0      30      100.0  900.1  900.1         20.0  -
        honey-shop    deposit    46       46    34     0       12       0      100.0  100.0  100.0          0.0  claim_unavailable:12

        INTERACTIVE, MS               COUNT    P50    P95    P99
        first token                      78  100.0  900.1  900.1
        first token, unloaded engine    108   35.0   43.2   44.2
        between tokens                  780   20.0   20.0   20.0

        VIOLATION                         COUNT
        answer not whole                      0
        answer longer than whole              0
        answer of another request             0
        ran twice                             0
        ran, said not run                     0
        organisation over rate and burst      0
        repetition answered otherwise         0
    "#]].assert_eq(&report::text(&results));
}

#[test]
fn refusals_beyond_the_rate_are_not_in_rate_refusals() {
    let experiment = experiment(vec![chat("bay-bakery", 125.0)]);
    let planned = chestnutrack_load::experiment::schedule(&experiment, &document());
    let in_rate = planned.iter().filter(|request| request.in_rate).count();

    // As many requests are admitted as are in rate, but not the same ones.
    let results = results(&experiment, |index, _| {
        if index < in_rate { good(index, "") } else { refused("over_rate", "not-run") }
    });

    assert!(in_rate < planned.len() / 2);
    assert_eq!(results.measures.in_rate_refusals, 0.0);
    assert_eq!(results.measures.worst_against_mean, 1.0);
}

#[test]
fn an_organisation_that_gets_more_than_its_rate_is_a_violation() {
    let results = results(&experiment(vec![chat("bay-bakery", 125.0)]), good);

    assert_eq!(results.violations.over_rate, 1);
}

#[test]
fn prefills_that_never_decode_are_waste() {
    let experiment = experiment(vec![chat("dairy-coop", 5.0)]);
    let engines = Engines {
        prefilled_tokens: 1_000,
        wasted_prefill_tokens: 30,
        undecoded_tokens: 20,
        ..Engines::default()
    };
    let sent = sends(&experiment, &document(), good);
    let mut record = Record::default();
    record.engines = engines;

    let results = measure(&experiment, &outcome(sent, record));

    assert_eq!(results.measures.wasted_prefill, 0.05);
}

#[test]
fn a_call_that_ran_twice_is_a_violation() {
    let experiment = experiment(vec![deposits("honey-shop")]);
    let sent = sends(&experiment, &document(), good);
    let (target, servers) = (target(&sent[0]), [server(1), server(2)]);
    let mut record = Record::default();
    servers.iter().for_each(|server| record.record_ran(*server, 1, &target));

    let results = measure(&experiment, &outcome(sent, record));

    assert_eq!(results.violations.ran_twice, 1);
}

#[test]
fn a_call_that_ran_but_was_refused_as_not_run_is_a_violation() {
    let experiment = experiment(vec![deposits("honey-shop")]);
    let sent = sends(&experiment, &document(), |_, _| refused("unavailable", "not-run"));
    let mut record = Record::default();
    record.record_ran(server(1), 1, &target(&sent[0]));

    let results = measure(&experiment, &outcome(sent, record));

    assert_eq!((results.violations.not_run_ran, results.violations.total()), (1, 1));
}

#[test]
fn a_repetition_that_gets_another_answer_is_a_violation() {
    let experiment = experiment(vec![deposits("honey-shop")]);
    let result_for = |_: usize, _: &str| answered(Verdict::Complete, 10, Some("call 1"));
    let mut sent = sends(&experiment, &document(), result_for);
    let result = answered(Verdict::Complete, 10, Some("call 2"));
    sent.push(SentRequest { repeated: true, result, ..sent[0].clone() });

    let results = measure(&experiment, &outcome(sent, Record::default()));

    assert_eq!((results.violations.repeat_differs, results.violations.total()), (1, 1));
}

#[test]
fn truncated_overlong_and_mismatched_responses_are_violations() {
    let streams = vec![chat("dairy-coop", 5.0)];

    let results = results(&experiment(streams), |index, _| match index {
        0 => answered(Verdict::Truncated, 10, None),
        1 => answered(Verdict::TooLong, 10, None),
        2 => answered(Verdict::WrongRequest, 10, None),
        _ => good(index, ""),
    });

    let found = results.violations;
    assert_eq!((found.short, found.long, found.crossed), (1, 1, 1));
    assert_eq!(results.incidents.len(), 3);
}

#[test]
fn results_read_back_from_json_can_be_compared() {
    let experiment = experiment(vec![chat("dairy-coop", 5.0)]);
    let a = results(&experiment, |index, _| match index % 10 {
        0 => refused("deadline_unmet", "not-run"),
        _ => good(index, ""),
    });
    let b = results(&experiment, good);

    let json = serde_json::to_string(&a).expect("JSON");
    let read: Results = serde_json::from_str(&json).expect("results");

    expect![[r#"
        a: test (seed 7), 20 s
        b: test (seed 7), 20 s
        MEASURE                           A         B    B - A
        goodput, requests/s          4.8500    5.4000  +0.5500
        goodput / servable           0.8981    1.0000  +0.1019
        in-rate refusals             0.1019    0.0000  -0.1019
        worst served / mean          1.0000    1.0000  +0.0000
        wasted prefill               0.0000    0.0000  +0.0000
        offered / decode capacity    0.0163    0.0163  +0.0000
        first token p50, ms        100.0310  100.0310  +0.0000
        first token p99, ms        100.0310  100.0310  +0.0000
        between tokens p95, ms      20.0150   20.0150  +0.0000
        violations                   0.0000    0.0000  +0.0000
        good share of dairy-coop     0.8981    1.0000  +0.1019
    "#]]
    .assert_eq(&report::compare(&read, &b));
}

#[test]
fn a_plot_shows_faults_and_layers() {
    let results = results(&experiment(vec![chat("dairy-coop", 5.0)]), good);

    let svg = report::plot(&results);

    assert!(svg.starts_with("<svg") && svg.trim_end().ends_with("</svg>"));
    for layer in ["good", "late", "refused", "broken", "over rate"] {
        assert!(svg.contains(&format!("\n{layer}\n")), "{layer}");
    }
}

fn target(sent: &SentRequest) -> String {
    let document = document();
    let route = document.routes.iter().find(|route| route.name == sent.request.route);
    sent.request.target(route.expect("the route is in the document"))
}

fn server(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 1))
}
