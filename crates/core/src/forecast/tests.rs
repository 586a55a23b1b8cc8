use super::{Generation, Settings, peak};

fn generation(context: f64, generated: f64, expected: f64) -> Generation {
    Generation { context, generated, expected, max_tokens: 8_000.0 }
}

#[test]
fn nothing_runs_and_nothing_is_held() {
    assert_eq!(peak(&[], 1.0, &Settings::default()), 0.0);
}

#[test]
fn a_generation_that_has_just_begun_will_grow() {
    let fresh = generation(5_000.0, 0.0, 4_000.0);

    let peak = peak(&[fresh], 1.0, &Settings::default());

    assert!(peak > 6_000.0, "{peak}");
}

#[test]
fn one_at_its_longest_answer_does_not_grow() {
    let ending = generation(13_000.0, 8_000.0, 4_000.0);

    let peak = peak(&[ending], 1.0, &Settings::default());

    assert_eq!(peak, 13_000.0);
}

#[test]
fn many_that_are_near_their_ends_hold_less_than_many_that_have_begun() {
    let ending = [generation(9_000.0, 4_000.0, 4_000.0); 8];
    let begun = [generation(9_000.0, 500.0, 4_000.0); 8];

    let (ending, begun) =
        (peak(&ending, 1.0, &Settings::default()), peak(&begun, 1.0, &Settings::default()));

    assert!(ending < begun, "{ending} {begun}");
}

#[test]
fn what_remains_shrinks_as_an_answer_grows_but_stays_positive() {
    let remaining = |generated| generation(9_000.0, generated, 4_000.0).remaining(4.0);

    assert!((remaining(0.0) - 4_000.0).abs() < 1.0);
    assert!(remaining(2_000.0) > remaining(4_000.0));
    assert!(remaining(6_000.0) > 0.0);
    assert_eq!(remaining(8_000.0), 0.0);
}
