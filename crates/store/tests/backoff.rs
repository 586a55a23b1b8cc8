//! Pauses between retries.

use chestnutrack_store::backoff::Backoff;
use quickcheck::quickcheck;
use std::time::Duration;

const MIN: Duration = Duration::from_millis(100);
const MAX: Duration = Duration::from_millis(2_000);

fn after(failures: u32) -> Backoff {
    let mut backoff = Backoff::new(MIN, MAX);
    for _ in 0..failures {
        backoff.record_failure();
    }
    backoff
}

quickcheck! {
    fn a_pause_doubles_up_to_its_longest_and_is_jittered_by_half(failures: u16) -> bool {
        let failures = u32::from(failures) + 1;
        let whole = MIN.saturating_mul(1 << (failures - 1).min(10)).min(MAX);
        let pause = after(failures).pause();
        whole / 2 <= pause && pause <= whole
    }
}

#[test]
fn a_row_of_failures_is_told_once_at_each_end() {
    let mut backoff = Backoff::new(MIN, MAX);

    let told = [
        backoff.record_failure(),
        backoff.record_failure(),
        backoff.record_success(),
        backoff.record_success(),
    ];

    assert_eq!(told, [true, false, true, false]);
    assert!(after(1).pause() <= MIN);
}
