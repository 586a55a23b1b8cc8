use super::{Demand, Engines, Observed, Settings, Split};

/// Demand of requests with prompts of 5,200 tokens and answers of 4,100 tokens that take 3.7 s.
fn demand() -> Demand {
    Demand { prompt_tokens: 5_200.0, token_ms: 7_250.0 * 3_700.0, duration_ms: 3_700.0 }
}

fn engines(prefill: usize, decode: usize) -> Engines {
    Engines {
        prefill,
        decode,
        prefill_per_ms: 50.0,
        kv_tokens: 75_461.0,
        slots: 64.0,
        placed_per_ms: 0.01,
    }
}

fn split(engines: Engines, demand: Demand) -> Option<Split> {
    engines.split(&demand, &Settings::default())
}

#[test]
fn spare_prefill_engines_become_decode_engines() {
    assert_eq!(split(engines(3, 5), demand()), Some(Split { best: 2, next: 2 }));
    assert_eq!(split(engines(6, 8), demand()), Some(Split { best: 3, next: 3 }));
}

#[test]
fn a_balanced_split_stays_whatever_the_load() {
    for placed_per_ms in [0.005, 0.01, 0.03] {
        assert_eq!(split(Engines { placed_per_ms, ..engines(2, 6) }, demand()), None);
    }
}

#[test]
fn long_prompts_with_short_answers_need_more_prefill_engines() {
    let summaries =
        Demand { prompt_tokens: 11_000.0, token_ms: 11_100.0 * 300.0, duration_ms: 300.0 };

    let split = split(engines(2, 6), summaries);

    assert!(split.is_some_and(|split| split.best > 3 && split.next == 4), "{split:?}");
}

#[test]
fn a_few_engines_change_at_a_time() {
    // 16 of 47 engines prefill, and a sixth of them would do.
    let long_answers = Demand { token_ms: 7_250.0 * 9_000.0, duration_ms: 9_000.0, ..demand() };

    let split = split(Engines { placed_per_ms: 0.04, ..engines(16, 31) }, long_answers).unwrap();

    assert!(split.best < 8, "{split:?}");
    assert_eq!(split.next, 8);
}

#[test]
fn an_estimate_is_brought_close_to_what_was_observed() {
    // The decode speed was taken for seven times what it is, or for half of it.
    let observed = Observed { token_ms: 20e6, duration_ms: 3_000.0 };
    let too_low = Demand { token_ms: 3e6, duration_ms: 500.0, ..demand() };
    let too_high = Demand { token_ms: 53e6, duration_ms: 7_400.0, ..demand() };

    let raised = too_low.corrected_by(&observed);
    let lowered = too_high.corrected_by(&observed);

    assert_eq!((raised.token_ms, raised.duration_ms), (20e6, 3_000.0));
    assert_eq!((lowered.token_ms, lowered.duration_ms), (30e6, 4_500.0));
    assert_eq!(demand().corrected_by(&Observed::default()), demand());
}

#[test]
fn engines_that_are_hardly_used_stay() {
    assert_eq!(split(Engines { placed_per_ms: 0.001, ..engines(3, 5) }, demand()), None);
}

#[test]
fn slots_bound_the_decode_stage_like_memory() {
    let few_slots = Engines { slots: 4.0, ..engines(3, 5) };

    let split = split(few_slots, demand());

    assert_eq!(split, Some(Split { best: 1, next: 1 }));
}

#[test]
fn the_split_stays_while_the_demand_or_the_capacity_is_unknown() {
    let no_memory = Engines { kv_tokens: 0.0, ..engines(3, 5) };

    assert_eq!(split(engines(3, 5), Demand::default()), None);
    assert_eq!(split(no_memory, demand()), None);
}

#[test]
fn a_service_with_one_engine_of_each_stage_keeps_both() {
    assert_eq!(split(engines(1, 1), demand()), None);
}

#[test]
fn a_stage_without_engines_gets_some() {
    let unknown = Demand::default();

    let without_prefill = split(engines(0, 6), unknown);
    let without_decode = split(engines(6, 0), unknown);

    assert_eq!(without_prefill, Some(Split { best: 1, next: 1 }));
    assert_eq!(without_decode, Some(Split { best: 5, next: 5 }));
}
