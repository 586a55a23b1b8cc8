//! Patterns of load on the deciding code.

use super::simulation::{Script, Totals, World};
use std::time::Duration;

/// The sum over a few seeds.
fn play(script: Script) -> Totals {
    let outcomes = (1..=4).map(|seed| World::new(Script { seed, ..script }).play());
    outcomes.fold(Totals::default(), |sum, next| Totals {
        asked: sum.asked + next.asked,
        in_time: sum.in_time + next.in_time,
        late: sum.late + next.late,
        refused: sum.refused + next.refused,
        refused_at_rest: sum.refused_at_rest + next.refused_at_rest,
        preempted: sum.preempted + next.preempted,
        lost: sum.lost + next.lost,
        worst_host_refused: sum.worst_host_refused.max(next.worst_host_refused),
    })
}

/// So many of all that were asked, in per cent.
fn share(count: u32, outcome: &Totals) -> f64 {
    f64::from(count) * 100.0 / f64::from(outcome.asked)
}

#[test]
fn at_the_usual_load_nearly_all_are_in_time() {
    let outcome = play(Script::default());

    assert!(share(outcome.in_time, &outcome) >= 97.0, "{outcome:?}");
    assert!(share(outcome.preempted, &outcome) <= 1.0, "{outcome:?}");
    assert_eq!(outcome.late, 0, "{outcome:?}");
}

#[test]
fn in_a_burst_at_more_than_capacity_those_that_go_are_in_time_and_the_rest_know_at_once() {
    let outcome = play(Script { burst: (10.0, 30.0, 2.0), ..Script::default() });

    assert!(share(outcome.late, &outcome) <= 0.3, "{outcome:?}");
    assert!(share(outcome.in_time, &outcome) >= 75.0, "{outcome:?}");
    assert!(share(outcome.preempted, &outcome) <= 4.0, "{outcome:?}");
    assert_eq!(outcome.refused_at_rest, 0, "{outcome:?}");
}

#[test]
fn in_a_burst_no_host_refuses_much_more_than_the_others() {
    let outcome = play(Script { burst: (10.0, 30.0, 2.0), ..Script::default() });

    let mean = share(outcome.refused, &outcome);
    assert!(f64::from(outcome.worst_host_refused) <= 2.0 * mean, "{outcome:?}");
}

#[test]
fn with_two_of_five_engines_gone_the_others_stay_in_time() {
    let outcome = play(Script { lost: (10.0, 2), ..Script::default() });

    assert!(share(outcome.late, &outcome) <= 0.3, "{outcome:?}");
    assert!(share(outcome.in_time, &outcome) >= 78.0, "{outcome:?}");
    assert!(share(outcome.preempted, &outcome) <= 4.0, "{outcome:?}");
}

#[test]
fn on_news_ten_times_as_old_engines_are_overfilled_more_but_few_are_late() {
    let lag = Duration::from_millis(300);

    let outcome = play(Script { lag, burst: (10.0, 30.0, 1.7), ..Script::default() });

    assert!(share(outcome.late, &outcome) <= 0.5, "{outcome:?}");
    assert!(share(outcome.preempted, &outcome) <= 9.0, "{outcome:?}");
}

#[test]
fn many_hosts_that_tell_of_new_generations_at_once_seldom_take_the_same_room() {
    let script = Script {
        hosts: 29,
        decode: 34,
        prefill: 19,
        kv_tokens: 72_244,
        per_s: 50.0,
        lag: Duration::from_millis(10),
        length_s: 20.0,
        ..Script::default()
    };

    let outcome = play(script);

    assert!(share(outcome.in_time, &outcome) >= 97.0, "{outcome:?}");
    assert!(share(outcome.preempted, &outcome) <= 2.0, "{outcome:?}");
}

#[test]
fn a_run_repeats_exactly() {
    let script = Script { burst: (5.0, 10.0, 2.0), length_s: 15.0, ..Script::default() };

    assert_eq!(World::new(script).play(), World::new(script).play());
}

#[test]
fn prompts_at_the_capacity_of_the_one_engine_that_prefills_are_in_time_on_stale_news() {
    // Pattern: 7 engines generate, 1 prefills 10.6 prompts a second, 12 come, news are 200 ms old. So
    // 88 of 100 can be served at most, but for short ones that are prefilled where they generate.
    let outcome = play(Script {
        decode: 7,
        prefill: 1,
        per_s: 12.0,
        lag: Duration::from_millis(200),
        ..Script::default()
    });

    assert!(share(outcome.late, &outcome) <= 1.0, "{outcome:?}");
    assert!(share(outcome.in_time, &outcome) >= 84.0, "{outcome:?}");
}
