//! Reports over several hosts, windows and ages of objects.

use chestnutrack_burn::ledger::{Read, Step};
use chestnutrack_burn::report::burn_rate;
use chestnutrack_burn::series::Key;
use chestnutrack_burn::{Counts, Ledger, Outcome, Report};
use chestnutrack_core::time::Instant;
use expect_test::expect;
use std::time::Duration;

/// Returns the object of a host that recorded these outcomes: seconds before its write, organisation,
/// route, outcome and number of requests.
fn object(host: u64, age_s: u64, counted: &[(u64, &str, &str, Outcome, u32)]) -> Read {
    let start = Instant::from_millis(0);
    let end = start + Duration::from_secs(80 * 3_600);
    let mut ledger = Ledger::new("larder-orders".into(), host, start);
    assert_eq!(ledger.next_step(start), Step::Read);
    ledger.apply_read(start, None);
    for (before_s, organisation, route, outcome, times) in counted {
        let at = end - Duration::from_secs(*before_s);
        let key = Key { organisation: (*organisation).into(), route: (*route).into() };
        (0..*times).for_each(|_| ledger.record(at, key.clone(), *outcome));
    }
    let write = ledger.flush(end).expect("something was counted");
    Read { version: 1, age: Duration::from_secs(age_s), value: write.value }
}

fn render(report: &Report) -> String {
    let mut text = format!("{} hosts, newest {:?} s\n", report.hosts, report.newest_s);
    for row in std::iter::once(&report.whole).chain(&report.rows) {
        text += &format!("{}/{}: left {:.3?}", row.organisation, row.route, row.budget_left);
        for burn in &row.windows {
            let counts = burn.counts;
            let rate = burn.burn_rate.map_or("-".to_owned(), |rate| format!("{rate:.2}"));
            let (bad, over) = (counts.bad(), counts.over_rate);
            let eligible = counts.eligible();
            text += &format!(" | {} {rate} ({bad}/{eligible} +{over})", burn.window);
        }
        text.push('\n');
    }
    text
}

#[test]
fn hosts_are_merged_and_windows_differ() {
    use Outcome::*;
    let objects = [
        object(
            1,
            10,
            &[
                (60, "dairy-coop", "deposit", Good, 90),
                (60, "dairy-coop", "deposit", Failed, 10),
                (1_800, "honey-shop", "chat", Good, 200),
                (7_200, "honey-shop", "chat", Slow, 20),
            ],
        ),
        object(
            2,
            20,
            &[
                (60, "dairy-coop", "deposit", Good, 100),
                (60, "dairy-coop", "deposit", OverRate, 500),
                (2 * 86_400, "honey-shop", "chat", Good, 780),
            ],
        ),
    ];

    let report = Report::from_objects("larder-orders", 950, &objects);

    expect![[r#"
        2 hosts, newest Some(10) s
        /: left Some(0.500) | 5m 1.00 (10/200 +500) | 1h 0.50 (10/400 +500) | 6h 1.43 (30/420 +500) | 3d 0.50 (30/1200 +500)
        dairy-coop/deposit: left Some(0.000) | 5m 1.00 (10/200 +500) | 1h 1.00 (10/200 +500) | 6h 1.00 (10/200 +500) | 3d 1.00 (10/200 +500)
        honey-shop/chat: left Some(0.600) | 5m - (0/0 +0) | 1h 0.00 (0/200 +0) | 6h 1.82 (20/220 +0) | 3d 0.40 (20/1000 +0)
    "#]].assert_eq(&render(&report));
}

#[test]
fn an_old_object_moves_out_of_the_short_windows() {
    let counted = [(60, "dairy-coop", "deposit", Outcome::Good, 7)];
    let objects = [object(1, 2 * 3_600, &counted)];

    let report = Report::from_objects("larder-orders", 950, &objects);

    expect![[r#"
        1 hosts, newest Some(7200) s
        /: left Some(1.000) | 5m - (0/0 +0) | 1h - (0/0 +0) | 6h 0.00 (0/7 +0) | 3d 0.00 (0/7 +0)
        dairy-coop/deposit: left Some(1.000) | 5m - (0/0 +0) | 1h - (0/0 +0) | 6h 0.00 (0/7 +0) | 3d 0.00 (0/7 +0)
    "#]].assert_eq(&render(&report));
}

#[test]
fn an_object_past_retention_is_ignored() {
    let counted = [(60, "dairy-coop", "deposit", Outcome::Good, 7)];
    let objects = [object(1, 4 * 86_400, &counted)];

    let report = Report::from_objects("larder-orders", 950, &objects);

    assert!(report.rows.is_empty());
}

#[test]
fn unreadable_values_and_other_services_are_skipped() {
    let read = |value| Read { version: 1, age: Duration::ZERO, value };
    let objects =
        [read(serde_json::json!("broken")), object(1, 0, &[(1, "a", "b", Outcome::Good, 1)])];

    let report = Report::from_objects("another-service", 950, &objects);

    assert_eq!((report.hosts, report.newest_s), (0, None));
}

#[test]
fn a_burn_rate_of_one_spends_the_budget_exactly() {
    let counts = Counts { good: 950, slow: 20, failed: 20, refused: 10, over_rate: 7_000 };

    let rate = burn_rate(counts, 950).unwrap();

    assert!((rate - 1.0).abs() < 1e-9, "{rate}");
    assert_eq!(burn_rate(Counts::default(), 950), None);
}
