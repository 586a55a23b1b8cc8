//! Changes of engines between prefill and decode, simulated over several hosts.

use super::load::{percent, run};
use super::simulation::{Scenario, entry, service};
use crate::dispatch::{Dispatch, Request, Residency, Settings, Stage};
use crate::time::Instant;
use std::sync::Arc;
use std::time::Duration;

/// Engines that generate slowly: a token takes 7 ms, and an event holds seven tokens. A third of the
/// engines prefill, several times as many as the load needs.
fn slow_steps() -> Scenario {
    Scenario {
        hosts: 5,
        decode: 8,
        prefill: 4,
        kv_tokens: 58_266,
        tokens_per_ms: 0.14,
        tokens_per_event: 7,
        prompt_tokens: 4_500.0,
        answer_tokens: (460.0, 1_260),
        arrivals_per_s: 13.0,
        stage_changes: true,
        ..Scenario::default()
    }
}

#[test]
fn engines_with_long_steps_stay_decode_engines_while_prefill_engines_are_idle() {
    let totals = run(slow_steps());

    assert!(totals.most_prefill <= 4, "{totals:?}");
    assert!(percent(totals.in_time, &totals) >= 97.0, "{totals:?}");
}

#[test]
fn a_large_pool_of_engines_with_long_steps_serves_a_calm_load_throughout() {
    let scenario = Scenario {
        hosts: 26,
        decode: 31,
        prefill: 16,
        kv_tokens: 46_224,
        arrivals_per_s: 44.0,
        duration_s: 30.0,
        ..slow_steps()
    };

    let totals = run(scenario);

    assert!(totals.most_prefill <= 16, "{totals:?}");
    assert!(totals.most_changing <= 8, "{totals:?}");
    assert!(percent(totals.in_time, &totals) >= 97.0, "{totals:?}");
}

#[test]
fn with_hints_off_by_two_either_way_a_calm_load_is_served_throughout() {
    for hint_factor in [0.5, 2.0] {
        let totals = run(Scenario { hint_factor, ..slow_steps() });

        assert!(percent(totals.in_time, &totals) >= 95.0, "{hint_factor}: {totals:?}");
    }
}

#[test]
fn after_a_shift_to_long_prompts_with_short_answers_engines_become_prefill_engines() {
    let shift = Scenario {
        decode: 11,
        prefill: 1,
        arrivals_per_s: 8.0,
        length_shift: (10.0, 2.2, 0.3),
        duration_s: 60.0,
        ..slow_steps()
    };

    let with_changes = run(shift);
    let without = run(Scenario { stage_changes: false, ..shift });

    assert!(with_changes.to_prefill > 0, "{with_changes:?}");
    assert!(
        with_changes.refused * 2 <= without.refused,
        "{with_changes:?} without changes: {without:?}"
    );
}

#[test]
fn after_a_third_of_the_decode_engines_is_lost_spare_prefill_engines_replace_them() {
    let loss = Scenario {
        decode: 9,
        prefill: 6,
        arrivals_per_s: 17.0,
        engine_loss: (10.0, 0, 3),
        duration_s: 60.0,
        ..slow_steps()
    };

    let with_changes = run(loss);
    let without = run(Scenario { stage_changes: false, ..loss });

    assert!(with_changes.stage_changes > with_changes.to_prefill, "{with_changes:?}");
    assert!(
        with_changes.refused * 2 <= without.refused,
        "{with_changes:?} without changes: {without:?}"
    );
}

#[test]
fn after_all_prefill_engines_are_lost_one_decode_engine_takes_over() {
    let lost_at = Instant::from_millis(1_000_000);
    let mut dispatch: Dispatch<u32> = Dispatch::new(Settings::default(), "a".into());
    dispatch.configure_engines(&service(), 58_266, 7);
    for engine in 0..4 {
        dispatch.put(lost_at, entry(engine, true));
    }

    let at_once = dispatch.plan_stage_changes(lost_at, &service());
    let later = lost_at + Duration::from_secs(3);
    let change = dispatch.plan_stage_changes(later, &service()).unwrap();

    // A host that has just started may not have read the whole list of engines yet.
    assert_eq!(at_once, None);
    assert_eq!(change.engines.len(), 1);
    assert!(change.engines.iter().all(|(_, stage)| *stage == Stage::Prefill), "{change:?}");
}

#[test]
fn a_change_is_followed_by_an_observation_before_the_next() {
    let start = Instant::from_millis(1_000_000);
    let mut dispatch: Dispatch<u32> = Dispatch::new(Settings::default(), "a".into());
    dispatch.configure_engines(&service(), 58_266, 7);
    for engine in 0..12 {
        dispatch.put(start, entry(engine, engine < 6));
    }
    let place = |dispatch: &mut Dispatch<u32>, now: Instant| {
        let request = Request {
            service: service(),
            organisation: "orchard".into(),
            priority: 0,
            prompt_tokens: 5_000,
            output_tokens: 1_260,
            length_hint: Some(500),
            arrived: now,
            first_token_by: Some(now + Duration::from_millis(900)),
            leaves_at: now + Duration::from_secs(14),
            deadline: now + Duration::from_secs(14),
            max_pause: None,
            urgent: false,
            prefilled: false,
            prefixes: Arc::default(),
            resumable: false,
            build: None,
            residency: Residency::default(),
        };
        drop(dispatch.submit(now, request, 0));
    };

    let mut changed_at = Vec::new();
    for step in 0..60 {
        let now = start + Duration::from_millis(500) * step;
        place(&mut dispatch, now);
        let Some(change) = dispatch.plan_stage_changes(now, &service()) else { continue };
        for (key, stage) in change.engines {
            assert_eq!(stage, Stage::Decode);
            let name = dispatch.entry(key).unwrap().name.clone();
            dispatch.record_stage_change(now, &name, Duration::from_secs(6));
        }
        changed_at.push(now);
    }

    assert!(changed_at.len() >= 2, "{changed_at:?}");
    assert!(changed_at[0].since(start) >= Duration::from_secs(2), "{changed_at:?}");
    assert!(changed_at[1].since(changed_at[0]) >= Duration::from_secs(8), "{changed_at:?}");
}
