use super::{Budget, FailedAttempt, Settings, is_retry_safe};
use quickcheck::quickcheck;

quickcheck! {
    fn retries_never_exceed_the_budget(events: Vec<bool>, per_mille: u8, burst: u8) -> bool {
        let settings = Settings {
            per_mille: u32::from(per_mille),
            burst: u32::from(burst),
            per_request: u32::MAX,
        };
        let mut budget = Budget::new(settings);
        let (mut requests, mut retries) = (0_u64, 0_u64);
        events.iter().all(|is_request| {
            if *is_request {
                budget.earn();
                requests += 1;
            } else if budget.spend(0) {
                retries += 1;
            }
            retries * 1_000 <= u64::from(burst) * 1_000 + requests * u64::from(per_mille)
        })
    }

    fn only_a_safe_attempt_is_retried(no_output: bool, idempotent: bool, answer_started: bool) -> bool {
        let safe = is_retry_safe(FailedAttempt { no_output, idempotent, answer_started });
        safe == (!answer_started && (no_output || idempotent))
    }
}

#[test]
fn one_request_is_retried_a_bounded_number_of_times() {
    let mut budget = Budget::new(Settings { per_request: 2, ..Settings::default() });

    let granted = (0..5).filter(|retries_so_far| budget.spend(*retries_so_far)).count();

    assert_eq!(granted, 2);
}
