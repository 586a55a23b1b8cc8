use super::{Generation, Settings, forecast_peak};

fn generation(held_tokens: f64, generated_tokens: f64, expected_tokens: f64) -> Generation {
    Generation { held_tokens, generated_tokens, expected_tokens, max_tokens: 8_000.0 }
}

#[test]
fn an_idle_engine_holds_no_memory() {
    assert_eq!(forecast_peak(&[], 1.0, &Settings::default()), 0.0);
}

#[test]
fn a_generation_that_has_just_begun_will_grow() {
    let new = generation(5_000.0, 0.0, 4_000.0);

    let peak = forecast_peak(&[new], 1.0, &Settings::default());

    assert!(peak > 6_000.0, "{peak}");
}

#[test]
fn a_generation_at_its_length_limit_does_not_grow() {
    let near_end = generation(13_000.0, 8_000.0, 4_000.0);

    let peak = forecast_peak(&[near_end], 1.0, &Settings::default());

    assert_eq!(peak, 13_000.0);
}

#[test]
fn generations_near_their_end_have_a_lower_peak_than_new_ones() {
    let near_end = [generation(9_000.0, 4_000.0, 4_000.0); 8];
    let new = [generation(9_000.0, 500.0, 4_000.0); 8];

    let (near_end, new) = (
        forecast_peak(&near_end, 1.0, &Settings::default()),
        forecast_peak(&new, 1.0, &Settings::default()),
    );

    assert!(near_end < new, "{near_end} {new}");
}

#[test]
fn remaining_tokens_shrink_as_an_answer_grows_but_stay_positive_below_the_limit() {
    let remaining = |generated| generation(9_000.0, generated, 4_000.0).remaining(4.0);

    assert!((remaining(0.0) - 4_000.0).abs() < 1.0);
    assert!(remaining(2_000.0) > remaining(4_000.0));
    assert!(remaining(6_000.0) > 0.0);
    assert_eq!(remaining(8_000.0), 0.0);
}
