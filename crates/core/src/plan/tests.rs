use super::{Demand, Engines, Settings};

/// Demand of requests with prompts of 5,200 tokens and answers of 4,100 tokens that take 3.7 s.
fn demand() -> Demand {
    Demand { prompt_tokens: 5_200.0, token_ms: 7_250.0 * 3_700.0 }
}

fn engines(prefill: usize, decode: usize) -> Engines {
    Engines { prefill, decode, prefill_per_ms: 50.0, kv_tokens: 75_461.0, memory_used: 0.6 }
}

#[test]
fn idle_prefill_engines_become_decode_engines() {
    assert_eq!(engines(3, 5).split(&demand(), &Settings::default()), Some(2));
    assert_eq!(engines(6, 8).split(&demand(), &Settings::default()), Some(3));
}

#[test]
fn a_balanced_split_stays() {
    assert_eq!(engines(2, 6).split(&demand(), &Settings::default()), None);
}

#[test]
fn long_prompts_with_short_answers_need_more_prefill_engines() {
    let summaries = Demand { prompt_tokens: 11_000.0, token_ms: 11_100.0 * 300.0 };

    let split = engines(2, 6).split(&summaries, &Settings::default());

    assert!(split.is_some_and(|prefill| prefill > 3), "{split:?}");
}

#[test]
fn the_split_stays_while_memory_is_mostly_free_or_demand_is_unknown() {
    let idle = Engines { memory_used: 0.1, ..engines(3, 5) };
    let unknown = Demand { prompt_tokens: 0.0, token_ms: 0.0 };

    assert_eq!(idle.split(&demand(), &Settings::default()), None);
    assert_eq!(engines(3, 5).split(&unknown, &Settings::default()), None);
}

#[test]
fn a_service_with_one_engine_of_each_stage_keeps_both() {
    assert_eq!(engines(1, 1).split(&demand(), &Settings::default()), None);
}
