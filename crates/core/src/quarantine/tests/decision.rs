//! Which parts are held responsible, and for how long.

use super::{
    START, broken, crash, held, hold_bad_part, is_refused, millis, parts, pattern, record_crashes,
    record_sound,
};
use crate::quarantine::{CRASH_DELAY_MAX, HOLD_RANGE, PATTERNS_MAX, Pattern, Quarantine};
use chestnutrack_wire::frame::Break;

#[test]
fn a_part_at_four_engines_that_crashed_is_put_into_quarantine() {
    let mut quarantine = Quarantine::default();

    let new = record_crashes(&mut quarantine, &[["bad"].as_slice(); 4]);

    assert_eq!(new, [pattern(&["bad"])]);
    assert!(is_refused(&quarantine, START + millis(400), &["other", "bad"]));
    assert!(!is_refused(&quarantine, START + millis(400), &["other"]));
}

#[test]
fn three_crashes_or_a_single_request_sent_again_are_no_sign_of_a_part() {
    let mut thrice = Quarantine::default();
    let mut sent_again = Quarantine::default();

    let after_three = record_crashes(&mut thrice, &[["bad"].as_slice(); 3]);
    let after_one_request: Vec<Pattern> = (0..6)
        .flat_map(|n| {
            crash(&mut sent_again, START + millis(100 * n), vec![broken(n, 7, &["rare"])])
        })
        .collect();

    assert_eq!((after_three, after_one_request), (vec![], vec![]));
}

#[test]
fn crashes_of_one_process_count_once_and_those_of_its_successors_separately() {
    let (mut same, mut restarted) = (Quarantine::default(), Quarantine::default());

    let of_one: Vec<Pattern> = (0..6)
        .flat_map(|n| crash(&mut same, START + millis(100 * n), vec![broken(1, n, &["bad"])]))
        .collect();
    let of_successors: Vec<Pattern> = (0..4)
        .flat_map(|n| {
            let answer = Break { born: Some(n), ..broken(1, n, &["bad"]) };
            crash(&mut restarted, START + millis(100 * n), vec![answer])
        })
        .collect();

    assert_eq!((of_one, of_successors), (vec![], vec![pattern(&["bad"])]));
}

#[test]
fn engines_that_crash_at_the_same_moment_are_no_sign_of_the_parts_they_had() {
    let mut quarantine = Quarantine::default();
    for n in 0..10 {
        quarantine.record_break(START + millis(n), broken(n, n, &["common"]));
    }

    let new = quarantine.poll(START + millis(1_000));

    assert_eq!(new, [] as [Pattern; 0]);
}

#[test]
fn a_part_in_two_bursts_of_simultaneous_crashes_is_put_into_quarantine() {
    let mut quarantine = Quarantine::default();
    for n in 0..8 {
        quarantine.record_break(START + millis(n % 4 + 200 * (n / 4)), broken(n, n, &["bad"]));
    }

    let new = quarantine.poll(START + millis(1_000));

    assert_eq!(new, [pattern(&["bad"])]);
}

#[test]
fn an_answer_that_was_written_for_long_did_not_crash_its_engine() {
    let mut quarantine = Quarantine::default();
    let long = u32::try_from(CRASH_DELAY_MAX.as_millis()).unwrap() + 1;
    for n in 0..5 {
        let at = START + millis(100 * n);
        let victim = Break { written_ms: long, ..broken(n, n, &["victim"]) };
        quarantine.record_break(at, victim);
        quarantine.record_break(at, broken(n, 10 + n, &["bad"]));
    }

    let new = quarantine.poll(START + millis(1_000));

    assert_eq!(new, [pattern(&["bad"])]);
}

#[test]
fn an_engine_that_answers_again_has_not_crashed() {
    let mut quarantine = Quarantine::default();

    let mut new = Vec::new();
    for n in 0..8 {
        let at = START + millis(100 * n);
        new.extend(crash(&mut quarantine, at, vec![broken(n, n, &["lossy"])]));
        quarantine.record_alive(&format!("engine-{n}").into(), Some(1), at + millis(20));
    }

    assert_eq!(new, [] as [Pattern; 0]);
}

#[test]
fn an_answer_to_a_request_sent_before_does_not_show_that_an_engine_is_alive() {
    let mut quarantine = Quarantine::default();

    let mut new = Vec::new();
    for n in 0..4 {
        let at = START + millis(100 * n);
        new.extend(crash(&mut quarantine, at, vec![broken(n, n, &["bad"])]));
        quarantine.record_alive(&format!("engine-{n}").into(), Some(1), at - millis(20));
    }

    assert_eq!(new, [pattern(&["bad"])]);
}

#[test]
fn sound_requests_that_share_the_other_parts_are_not_refused() {
    let mut quarantine = Quarantine::default();
    let later = START + millis(400);

    record_crashes(&mut quarantine, &[["family", "bad"].as_slice(); 4]);

    assert!(is_refused(&quarantine, later, &["family", "bad"]));
    assert!(!is_refused(&quarantine, later, &["family", "sound"]));
    assert!(!is_refused(&quarantine, later, &["family"]));
}

#[test]
fn a_part_is_told_from_others_by_sound_answers_to_requests_with_these() {
    let mut quarantine = Quarantine::default();
    record_sound(&mut quarantine, START, 5, &["family"]);

    let new = record_crashes(&mut quarantine, &[["family", "bad"].as_slice(); 4]);

    assert_eq!(new, [pattern(&["bad"])]);
}

#[test]
fn a_part_that_comes_with_other_parts_later_is_refused_with_any_after_two_more_crashes() {
    let mut quarantine = Quarantine::default();

    let crashes: [&[&str]; 6] = [
        &["one", "bad"],
        &["one", "bad"],
        &["one", "bad"],
        &["one", "bad"],
        &["two", "bad"],
        &["three", "bad"],
    ];
    let new = record_crashes(&mut quarantine, &crashes);

    assert_eq!(new, [pattern(&["one", "bad"]), pattern(&["bad"])]);
}

#[test]
fn a_victim_of_one_more_crash_is_not_taken_for_its_cause() {
    let mut quarantine = Quarantine::default();
    record_crashes(&mut quarantine, &[["family", "bad"].as_slice(); 4]);

    // An answer with the part `family` breaks off at an engine that crashes later, for another reason.
    let later = START + millis(500);
    let new = crash(&mut quarantine, later, vec![broken(9, 9, &["family", "sound"])]);

    assert_eq!(new, [] as [Pattern; 0]);
}

/// Records four crashes under the parts `family` and `bad`, of which `bad` is in quarantine then, and one under
/// `family` alone before them. Few engines answer meanwhile: one request with `family` is survived.
fn hold_bad_part_beside_another_crash(quarantine: &mut Quarantine) {
    crash(quarantine, START, vec![broken(10, 10, &["family", "sound"])]);
    record_sound(quarantine, START + millis(3_000), 1, &["family"]);
    for n in 0..4 {
        let at = START + millis(2_000 + 800 * n);
        crash(quarantine, at, vec![broken(n, n, &["family", "bad"])]);
    }
    quarantine.hold(START + millis(4_500), &held(&["bad"], millis(300_000), 1));
}

// Guards against holding the sound first part of prompts that crash engines because two engines have ended for other reasons
// beside them.
#[test]
fn crashes_that_a_pattern_accounts_for_are_no_sign_of_a_part_that_it_lacks() {
    let mut quarantine = Quarantine::default();
    hold_bad_part_beside_another_crash(&mut quarantine);

    let later = START + millis(5_500);
    let new = crash(&mut quarantine, later, vec![broken(11, 11, &["family", "other"])]);

    assert_eq!(new, [] as [Pattern; 0]);
    assert!(is_refused(&quarantine, later, &["family", "bad"]));
}

// Guards against sparing a second part that crashes engines because it was also at crashes of the first one.
#[test]
fn a_part_is_held_after_four_crashes_for_which_no_pattern_accounts() {
    let mut quarantine = Quarantine::default();
    hold_bad_part_beside_another_crash(&mut quarantine);

    let later = START + millis(5_500);
    let new: Vec<_> = (0..4)
        .map(|n| {
            let id = 20 + n;
            let answer = broken(id, id, &["family", "worse"]);
            crash(&mut quarantine, later + millis(200 * n), vec![answer])
        })
        .collect();

    let first = new.iter().position(|patterns| !patterns.is_empty());
    assert_eq!(first, Some(3), "{new:?}");
    assert!(is_refused(&quarantine, later + millis(900), &["family", "worse"]));
}

#[test]
fn of_two_parts_at_the_same_crashes_the_one_further_back_is_held_responsible() {
    let mut quarantine = Quarantine::default();

    // The part `front` is in other requests that broke off with the same engines as well.
    let mut new = Vec::new();
    for n in 0..4 {
        let rare = format!("rare-{n}");
        let answers =
            vec![broken(n, n, &["front", "bad"]), broken(n, 10 + n, &["front", rare.as_str()])];
        new.extend(crash(&mut quarantine, START + millis(100 * n), answers));
    }

    assert_eq!(new, [pattern(&["front", "bad"])]);
}

#[test]
fn a_part_of_most_requests_stays_in_use_while_another_crashes_engines() {
    let mut quarantine = Quarantine::default();
    record_sound(&mut quarantine, START, 40, &["common", "usual"]);

    // On each engine that the part `bad` crashes, two other answers break off.
    let new: Vec<Pattern> = (0..6)
        .flat_map(|engine| {
            let rare = format!("rare-{engine}");
            let prompts = [["common", "usual"], ["common", "bad"], ["common", &rare]];
            let answers =
                (0..).zip(&prompts).map(|(n, names)| broken(engine, engine * 10 + n, names));
            crash(&mut quarantine, START + millis(150 * engine), answers.collect())
        })
        .collect();

    assert_eq!(new, [pattern(&["bad"])]);
}

#[test]
fn a_part_that_was_sound_until_now_is_put_into_quarantine_after_three_seconds() {
    let mut quarantine = Quarantine::default();
    record_sound(&mut quarantine, START, 20, &["turned"]);

    let new: Vec<_> = (0..18)
        .map(|n| crash(&mut quarantine, START + millis(200 * n), vec![broken(n, n, &["turned"])]))
        .collect();

    let first = new.iter().position(|patterns| !patterns.is_empty());
    assert_eq!(first, Some(15), "{new:?}");
}

#[test]
fn sound_answers_after_an_old_crash_do_not_hide_that_a_part_crashes_engines_now() {
    let mut quarantine = Quarantine::default();
    quarantine.record_break(START, broken(900, 900, &["turned"]));
    for second in 1..=30 {
        record_sound(&mut quarantine, START + millis(1_000 * second), 5, &["turned"]);
    }

    let turned_at = START + millis(30_000);
    let new: Vec<_> = (0..18)
        .map(|n| {
            crash(&mut quarantine, turned_at + millis(200 * n), vec![broken(n, n, &["turned"])])
        })
        .collect();

    let first = new.iter().position(|patterns| !patterns.is_empty());
    assert!(first.is_some_and(|first| first <= 15), "{new:?}");
}

#[test]
fn answers_that_broke_off_a_minute_apart_are_no_sign_of_a_part() {
    let mut quarantine = Quarantine::default();

    let new: Vec<Pattern> = (0..8)
        .flat_map(|n| {
            crash(&mut quarantine, START + millis(21_000 * n), vec![broken(n, n, &["rare"])])
        })
        .collect();

    assert_eq!(new, [] as [Pattern; 0]);
}

#[test]
fn crashes_spread_over_half_a_minute_are_put_together() {
    let mut quarantine = Quarantine::default();

    let new: Vec<Pattern> = (0..4)
        .flat_map(|n| {
            crash(&mut quarantine, START + millis(10_000 * n), vec![broken(n, n, &["bad"])])
        })
        .collect();

    assert_eq!(new, [pattern(&["bad"])]);
}

#[test]
fn many_victims_of_one_crash_do_not_displace_the_request_that_caused_it() {
    let mut quarantine = Quarantine::default();

    let mut new = Vec::new();
    for engine in 0..4 {
        let at = START + millis(300 * engine);
        quarantine.record_break(at, broken(engine, engine, &["bad"]));
        for n in 0..300 {
            let (request, name) = (1_000 * (engine + 1) + n, format!("victim-{engine}-{n}"));
            let victim = Break { written_ms: 900, ..broken(engine, request, &[&name]) };
            quarantine.record_break(at + millis(1), victim);
        }
        new.extend(quarantine.poll(at + millis(100)));
    }

    assert_eq!(new, [pattern(&["bad"])]);
}

#[test]
fn a_pattern_leaves_quarantine_after_its_time_and_returns_for_twice_as_long_up_to_an_hour() {
    let mut quarantine = Quarantine::default();
    let mut at = START;

    let mut durations = Vec::new();
    for round in 0..6 {
        for n in 0..4 {
            let id = 10 * round + n;
            crash(&mut quarantine, at + millis(100 * n), vec![broken(id, id, &["bad"])]);
        }
        let decided_at = at + millis(350);
        let left = quarantine.time_left(decided_at, &parts(&["bad"])).unwrap();
        durations.push(left.as_secs());
        at = decided_at + left;
        assert!(!is_refused(&quarantine, at, &["bad"]));
    }

    assert_eq!(durations, [300, 600, 1_200, 2_400, 3_600, 3_600]);
    assert_eq!(HOLD_RANGE.1.as_secs(), 3_600);
}

#[test]
fn an_engine_that_survives_a_request_with_the_whole_pattern_releases_it() {
    let mut quarantine = Quarantine::default();
    record_crashes(&mut quarantine, &[["family", "bad"].as_slice(); 4]);
    let (began_at, now) = (START + millis(200), START + millis(1_200));

    let by_a_part = quarantine.record_sound(now, began_at, &parts(&["family", "sound"]));
    let by_all = quarantine.record_sound(now, began_at, &parts(&["family", "bad"]));

    assert_eq!((by_a_part, by_all), (vec![], vec![pattern(&["family", "bad"])]));
    assert!(!is_refused(&quarantine, now, &["family", "bad"]));
}

#[test]
fn an_answer_that_began_before_the_crashes_releases_nothing() {
    let mut quarantine = Quarantine::default();
    hold_bad_part(&mut quarantine);

    let released =
        quarantine.record_sound(START + millis(1_200), START - millis(100), &parts(&["bad"]));

    assert_eq!(released, [] as [Pattern; 0]);
}

#[test]
fn a_released_pattern_needs_as_many_crashes_again() {
    let mut quarantine = Quarantine::default();
    hold_bad_part(&mut quarantine);
    let later = START + millis(1_000);
    quarantine.release(later, &pattern(&["bad"]));

    let new: Vec<_> = (0..4)
        .map(|n| {
            let id = 100 + n;
            crash(&mut quarantine, later + millis(100 * n), vec![broken(id, id, &["bad"])])
        })
        .collect();

    assert_eq!(new, [vec![], vec![], vec![], vec![pattern(&["bad"])]]);
}

#[test]
fn no_more_patterns_are_held_than_the_limit_and_expired_ones_make_room() {
    let mut quarantine = Quarantine::default();
    let names: Vec<String> = (0..=PATTERNS_MAX).map(|n| format!("part-{n}")).collect();
    let hold = |quarantine: &mut Quarantine, at, name: &str| {
        quarantine.hold(at, &held(&[name], millis(60_000), 1))
    };

    let held = names.iter().filter(|name| hold(&mut quarantine, START, name)).count();
    let later = hold(&mut quarantine, START + millis(60_001), "later");

    assert_eq!((held, later), (PATTERNS_MAX, true));
}

// Guards against deciding between the first answers that a crash breaks off and the one that caused it.
#[test]
fn a_crash_counts_once_no_more_answers_break_off_by_it() {
    let mut quarantine = Quarantine::default();
    for n in 0..3 {
        crash(&mut quarantine, START + millis(100 * n), vec![broken(n, n, &["family", "bad"])]);
    }
    let crashed_at = START + millis(500);
    quarantine.record_break(crashed_at, broken(9, 90, &["family"]));
    quarantine.poll(crashed_at + millis(30));
    quarantine.record_break(crashed_at + millis(40), broken(9, 91, &["family", "bad"]));

    let early = quarantine.poll(crashed_at + millis(60));
    let late = quarantine.poll(crashed_at + millis(100));

    assert_eq!((early, late), (vec![], vec![pattern(&["family", "bad"])]));
}

#[test]
fn a_crash_counts_though_answers_break_off_by_it_for_long() {
    let mut quarantine = Quarantine::default();
    for n in 0..3 {
        crash(&mut quarantine, START + millis(100 * n), vec![broken(n, n, &["bad"])]);
    }
    let crashed_at = START + millis(500);

    let mut held = Vec::new();
    for n in 0..10 {
        let now = crashed_at + millis(30 * n);
        quarantine.record_break(now, broken(9, 90 + n, &["bad"]));
        held.extend(quarantine.poll(now));
    }

    assert_eq!(held, [pattern(&["bad"])]);
}

// Guards against holding a popular part that was at one crash more than the part that causes them, at a time when no engine
// answers anything.
#[test]
fn a_part_that_was_sound_is_not_held_while_one_that_never_was_is_at_nearly_all_its_crashes() {
    let mut quarantine = Quarantine::default();
    record_sound(&mut quarantine, START, 8, &["family"]);
    let prompts =
        [["family", "bad"].as_slice(), &["family", "bad"], &["family"], &["family", "bad"]];
    for (n, names) in (0..).zip(prompts) {
        crash(&mut quarantine, START + millis(1_200 * n), vec![broken(n, n, names)]);
    }
    let early = is_refused(&quarantine, START + millis(4_000), &["family"]);

    let new = crash(&mut quarantine, START + millis(4_500), vec![broken(9, 9, &["family", "bad"])]);

    assert!(!early);
    assert_eq!(new, [pattern(&["family", "bad"])]);
}

#[test]
fn a_part_that_was_sound_is_held_once_it_is_at_two_crashes_more_than_any_other() {
    let mut quarantine = Quarantine::default();
    record_sound(&mut quarantine, START, 8, &["bad"]);
    let prompts =
        [["bad", "rare"].as_slice(), &["bad", "rare"], &["bad"], &["bad", "rare"], &["bad"]];
    let mut new = Vec::new();
    for (n, names) in (0..).zip(prompts) {
        new.extend(crash(&mut quarantine, START + millis(1_200 * n), vec![broken(n, n, names)]));
    }

    assert_eq!(new, [pattern(&["bad"])]);
}
