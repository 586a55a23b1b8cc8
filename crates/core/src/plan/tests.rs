use super::{Demand, Engines, Settings};

/// Prompts of 5,200 tokens and answers of 4,100 that take 3.7 s.
fn demand() -> Demand {
    Demand { prompt_tokens: 5_200.0, token_ms: 7_250.0 * 3_700.0 }
}

fn engines(prefill: usize, decode: usize) -> Engines {
    Engines { prefill, decode, prefill_per_ms: 50.0, kv_tokens: 75_461.0, memory_used: 0.6 }
}

#[test]
fn engines_that_prefill_at_leisure_generate_instead() {
    assert_eq!(engines(3, 5).split(&demand(), &Settings::default()), Some(2));
    assert_eq!(engines(6, 8).split(&demand(), &Settings::default()), Some(3));
}

#[test]
fn a_split_that_fits_is_left_alone() {
    assert_eq!(engines(2, 6).split(&demand(), &Settings::default()), None);
}

#[test]
fn long_prompts_with_short_answers_take_more_engines_that_prefill() {
    let summaries = Demand { prompt_tokens: 11_000.0, token_ms: 11_100.0 * 300.0 };

    let split = engines(2, 6).split(&summaries, &Settings::default());

    assert!(split.is_some_and(|prefill| prefill > 3), "{split:?}");
}

#[test]
fn nothing_changes_while_little_is_in_use_or_nothing_is_known() {
    let idle = Engines { memory_used: 0.1, ..engines(3, 5) };
    let unknown = Demand { prompt_tokens: 0.0, token_ms: 0.0 };

    assert_eq!(idle.split(&demand(), &Settings::default()), None);
    assert_eq!(engines(3, 5).split(&unknown, &Settings::default()), None);
}

#[test]
fn one_engine_of_each_kind_stays() {
    assert_eq!(engines(1, 1).split(&demand(), &Settings::default()), None);
}
