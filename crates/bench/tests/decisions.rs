//! Compares the measures of scripted runs with the goals for goodput, refusals, waste and fairness.

use chestnutrack_bench::scripted::{Measures, Policy, Settings, run};

/// Seeds that each bound is checked with.
const SEEDS: [u64; 2] = [1, 2];
/// Lowest goodput, in thousandths of the goodput with a single entry host that knows all servers.
const GOOD_PER_MILLE_OF_CENTRAL: f64 = 970.0;
/// Most refused in-rate requests, in thousandths.
const REFUSED_PER_MILLE: f64 = 1.0;
/// Most wasted prefill tokens, in thousandths of the prefilled tokens.
const WASTED_PER_MILLE: f64 = 10.0;
/// Lowest goodput of the worst-served organisation, in thousandths of the overall goodput.
const WORST_PER_MILLE: f64 = 950.0;
/// Most placement frames per request: seven without a refusal (reserve, reserved, prefill,
/// prefilled, decode, end, done), and room for two refused reservations with their answers.
const FRAMES_PER_REQUEST: f64 = 11.0;

fn settings(seed: u64, offered: f64) -> Settings {
    Settings { seed, offered, ..Settings::default() }
}

/// Returns the number of good requests, in thousandths of a request.
fn good(measures: &Measures) -> f64 {
    measures.good_per_mille * measures.requests as f64
}

#[test]
fn the_goals_hold_at_ninety_percent_of_capacity() {
    for seed in SEEDS {
        let shipped = run(&settings(seed, 0.9));
        let central = run(&settings(seed, 0.9).central());

        let relative_goodput = 1_000.0 * shipped.good_per_mille / central.good_per_mille;
        assert!(relative_goodput >= GOOD_PER_MILLE_OF_CENTRAL, "seed {seed}: {shipped:?}");
        assert!(shipped.refused_per_mille <= REFUSED_PER_MILLE, "seed {seed}: {shipped:?}");
        assert!(shipped.wasted_per_mille <= WASTED_PER_MILLE, "seed {seed}: {shipped:?}");
        assert!(shipped.worst_per_mille >= WORST_PER_MILLE, "seed {seed}: {shipped:?}");
        assert!(shipped.frames_per_request <= FRAMES_PER_REQUEST, "seed {seed}: {shipped:?}");
    }
}

#[test]
fn the_plainest_policy_misses_the_goal_for_waste() {
    for seed in SEEDS {
        let plainest = run(&Settings { policy: Policy::PLAINEST, ..settings(seed, 0.9) });

        assert!(plainest.wasted_per_mille > WASTED_PER_MILLE, "seed {seed}: {plainest:?}");
    }
}

#[test]
fn goodput_does_not_fall_beyond_capacity() {
    for seed in SEEDS {
        let at_capacity = run(&settings(seed, 1.0));
        let beyond_capacity = run(&settings(seed, 1.1));

        assert!(
            good(&beyond_capacity) >= good(&at_capacity),
            "seed {seed}: {at_capacity:?} {beyond_capacity:?}"
        );
    }
}

#[test]
fn a_run_repeats_exactly() {
    assert_eq!(run(&settings(3, 0.9)), run(&settings(3, 0.9)));
}
