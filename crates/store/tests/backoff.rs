//! Pauses between retries and the return values that mark the start and end of an outage.

use chestnutrack_store::backoff::Backoff;
use quickcheck::quickcheck;
use std::time::Duration;

const MIN: Duration = Duration::from_millis(100);
const MAX: Duration = Duration::from_millis(2_000);

fn backoff_after(failures: u32) -> Backoff {
    let mut backoff = Backoff::new(MIN, MAX);
    for _ in 0..failures {
        backoff.record_failure();
    }
    backoff
}

quickcheck! {
    fn the_pause_doubles_up_to_the_maximum_and_is_jittered_by_half(failures: u16) -> bool {
        let failures = u32::from(failures) + 1;
        let delay = MIN.saturating_mul(1 << (failures - 1).min(10)).min(MAX);
        let pause = backoff_after(failures).pause();
        delay / 2 <= pause && pause <= delay
    }
}

#[test]
fn only_the_first_failure_and_the_first_success_after_it_return_true() {
    let mut backoff = Backoff::new(MIN, MAX);

    let changes = [
        backoff.record_failure(),
        backoff.record_failure(),
        backoff.record_success(),
        backoff.record_success(),
    ];

    assert_eq!(changes, [true, false, true, false]);
    assert!(backoff_after(1).pause() <= MIN);
}
