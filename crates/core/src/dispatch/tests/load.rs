//! Load scenarios, simulated over several hosts.

use super::simulation::{Scenario, Simulation, Totals};
use std::time::Duration;

/// Returns the sum of the totals over four seeds.
pub(super) fn run(scenario: Scenario) -> Totals {
    let totals = (1..=4).map(|seed| Simulation::new(Scenario { seed, ..scenario }).run());
    totals.fold(Totals::default(), |sum, totals| Totals {
        submitted: sum.submitted + totals.submitted,
        in_time: sum.in_time + totals.in_time,
        late: sum.late + totals.late,
        refused: sum.refused + totals.refused,
        refused_below_half_load: sum.refused_below_half_load + totals.refused_below_half_load,
        by_priority: [0, 1].map(|priority| {
            let ((submitted, in_time), other) =
                (sum.by_priority[priority], totals.by_priority[priority]);
            (submitted + other.0, in_time + other.1)
        }),
        window: (sum.window.0 + totals.window.0, sum.window.1 + totals.window.1),
        abandoned: sum.abandoned + totals.abandoned,
        wasted_prefill: sum.wasted_prefill + totals.wasted_prefill,
        prefilled: sum.prefilled + totals.prefilled,
        preempted: sum.preempted + totals.preempted,
        lost: sum.lost + totals.lost,
        worst_host_refused: sum.worst_host_refused.max(totals.worst_host_refused),
        stage_changes: sum.stage_changes + totals.stage_changes,
        to_prefill: sum.to_prefill + totals.to_prefill,
        most_changing: sum.most_changing.max(totals.most_changing),
        most_prefill: sum.most_prefill.max(totals.most_prefill),
    })
}

/// Returns `count` as a percentage of the submitted requests.
pub(super) fn percent(count: u32, totals: &Totals) -> f64 {
    f64::from(count) * 100.0 / f64::from(totals.submitted)
}

#[test]
fn at_normal_load_nearly_all_first_tokens_are_in_time() {
    let totals = run(Scenario::default());

    assert!(percent(totals.in_time, &totals) >= 97.0, "{totals:?}");
    assert!(percent(totals.preempted, &totals) <= 1.0, "{totals:?}");
    assert_eq!(totals.late, 0, "{totals:?}");
}

#[test]
fn in_a_burst_beyond_capacity_admitted_requests_are_in_time_and_the_rest_are_refused() {
    let totals = run(Scenario { burst: (10.0, 30.0, 2.0), ..Scenario::default() });

    assert!(percent(totals.late, &totals) <= 0.3, "{totals:?}");
    assert!(percent(totals.in_time, &totals) >= 75.0, "{totals:?}");
    assert!(percent(totals.preempted, &totals) <= 4.0, "{totals:?}");
    assert_eq!(totals.refused_below_half_load, 0, "{totals:?}");
}

#[test]
fn in_a_burst_no_host_refuses_much_more_than_the_others() {
    let totals = run(Scenario { burst: (10.0, 30.0, 2.0), ..Scenario::default() });

    let mean = percent(totals.refused, &totals);
    assert!(f64::from(totals.worst_host_refused) <= 2.0 * mean, "{totals:?}");
}

#[test]
fn after_two_of_five_engines_are_lost_admitted_requests_stay_in_time() {
    let totals = run(Scenario { engine_loss: (10.0, 0, 2), ..Scenario::default() });

    assert!(percent(totals.late, &totals) <= 0.3, "{totals:?}");
    assert!(percent(totals.in_time, &totals) >= 78.0, "{totals:?}");
    assert!(percent(totals.preempted, &totals) <= 4.0, "{totals:?}");
}

#[test]
fn with_reports_ten_times_as_old_engines_overfill_more_but_few_requests_are_late() {
    let report_interval = Duration::from_millis(300);

    let totals = run(Scenario { report_interval, burst: (10.0, 30.0, 1.7), ..Scenario::default() });

    assert!(percent(totals.late, &totals) <= 0.5, "{totals:?}");
    assert!(percent(totals.preempted, &totals) <= 9.0, "{totals:?}");
}

#[test]
fn many_hosts_that_report_quickly_seldom_overfill_the_same_engine() {
    let scenario = Scenario {
        hosts: 29,
        decode: 34,
        prefill: 19,
        kv_tokens: 72_244,
        arrivals_per_s: 50.0,
        report_interval: Duration::from_millis(10),
        duration_s: 20.0,
        ..Scenario::default()
    };

    let totals = run(scenario);

    assert!(percent(totals.in_time, &totals) >= 97.0, "{totals:?}");
    assert!(percent(totals.preempted, &totals) <= 2.0, "{totals:?}");
}

#[test]
fn the_simulation_is_deterministic() {
    let scenario = Scenario { burst: (5.0, 10.0, 2.0), duration_s: 15.0, ..Scenario::default() };

    assert_eq!(Simulation::new(scenario).run(), Simulation::new(scenario).run());
}

#[test]
fn prompts_at_the_capacity_of_the_one_engine_that_prefills_are_in_time_on_stale_news() {
    // Guards against overloading a single prefill engine on stale reports: 7 engines generate, one
    // prefills 10.6 prompts per second, 12 arrive, and reports are 200 ms old. At most 88 of 100
    // requests can be served in time, apart from short prompts that are prefilled on their decode
    // engine.
    let totals = run(Scenario {
        decode: 7,
        prefill: 1,
        arrivals_per_s: 12.0,
        report_interval: Duration::from_millis(200),
        ..Scenario::default()
    });

    assert!(percent(totals.late, &totals) <= 1.0, "{totals:?}");
    assert!(percent(totals.in_time, &totals) >= 84.0, "{totals:?}");
}

/// Returns a scenario with a burst of long prompts from 10 to 15 s, far beyond what the engines can
/// prefill meanwhile, whose callers return when they are refused and leave after 3.6 s.
fn burst_of_long_prompts(hosts: usize) -> Scenario {
    Scenario {
        hosts,
        decode: 12,
        prefill: 4,
        kv_tokens: 600_000,
        answer_tokens: (400.0, 1_000),
        prompt_tokens: 3_000.0,
        tokens_per_event: 16,
        arrivals_per_s: 40.0,
        long_prompts: (10.0, 15.0, 7.0),
        callers_return: true,
        duration_s: 30.0,
        ..Scenario::default()
    }
}

/// Asserts that two seconds after a burst of long prompts first tokens are in time as before it, and
/// that hardly any prompt was prefilled in vain.
fn assert_recovers(scenario: Scenario) {
    let before = run(Scenario { window: (3.0, 9.0), ..scenario });
    let after = run(Scenario { window: (17.0, 24.0), ..scenario });

    let share = |(submitted, in_time): (u32, u32)| f64::from(in_time) / f64::from(submitted);
    let (level, level_after) = (share(before.window), share(after.window));
    assert!(level >= 0.95, "{level} {before:?}");
    assert!(level_after >= level - 0.03, "{level} {level_after} {after:?}");
    assert!(f64::from(after.wasted_prefill) <= 0.01 * f64::from(after.prefilled), "{after:?}");
}

#[test]
fn two_seconds_after_a_burst_of_long_prompts_first_tokens_are_in_time_again() {
    // Guards against late callers that return and keep the prefill engines' queues so long that new
    // requests become late as well, and against prompts prefilled after their callers have left.
    assert_recovers(burst_of_long_prompts(6));
}

#[test]
fn thirty_hosts_that_return_late_callers_to_idle_engines_at_once_recover_from_a_burst() {
    // Guards against many hosts that each see the same idle prefill engine and send their late
    // requests to it together.
    assert_recovers(burst_of_long_prompts(30));
}
