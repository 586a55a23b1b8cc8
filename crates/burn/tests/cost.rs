//! Size and write rate of a host's object for different numbers of organisations.

use chestnutrack_burn::ledger::Step;
use chestnutrack_burn::{BURN_VALUE_BYTES_MAX, Key, Ledger, Outcome, write_period};
use chestnutrack_core::time::Instant;
use expect_test::expect;
use std::time::Duration;

/// Returns the size and the write period of one host's value after three days in which every
/// organisation used every route in every bucket.
fn full_value(organisations: u32, routes: u32, per_bucket: u32) -> (usize, Duration) {
    let start = Instant::from_millis(0);
    let mut ledger = Ledger::new("larder-orders".into(), 1, start);
    assert_eq!(ledger.next_step(start), Step::Read);
    ledger.apply_read(start, None);
    for bucket in 0..72 * 12 {
        let now = start + Duration::from_secs(bucket * 300);
        for organisation in 0..organisations {
            for route in 0..routes {
                let key = Key {
                    organisation: format!("organisation-{organisation}").into(),
                    route: format!("route-{route}").into(),
                };
                (0..per_bucket).for_each(|_| ledger.record(now, key.clone(), Outcome::Good));
                ledger.record(now, key, Outcome::Slow);
            }
        }
    }
    let write =
        ledger.flush(start + Duration::from_secs(72 * 3_600)).expect("counts were recorded");
    (write.bytes, write_period(write.bytes))
}

fn summary_line(organisations: u32, routes: u32) -> String {
    let (bytes, period) = full_value(organisations, routes, 12);
    assert!(bytes <= BURN_VALUE_BYTES_MAX);
    let per_s = bytes as f64 / period.as_secs_f64();
    let seconds = period.as_secs();
    format!("{organisations} x {routes}: {bytes} bytes each {seconds} s, {per_s:.0} bytes/s\n")
}

#[test]
fn writes_stay_within_the_value_size_and_the_byte_rate() {
    let sizes = [(1, 7), (5, 7), (10, 7), (20, 7)];
    let lines: String = sizes.iter().map(|(orgs, routes)| summary_line(*orgs, *routes)).collect();

    expect![[r#"
        1 x 7: 11109 bytes each 30 s, 370 bytes/s
        5 x 7: 55097 bytes each 54 s, 1020 bytes/s
        10 x 7: 110082 bytes each 108 s, 1019 bytes/s
        20 x 7: 73198 bytes each 72 s, 1017 bytes/s
    "#]]
    .assert_eq(&lines);
}
