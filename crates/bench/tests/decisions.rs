//! The measures of scripted runs, against the users' targets.

use chestnutrack_bench::scripted::{Measures, Policy, Settings, run};

/// Seeds that each bound is checked with.
const SEEDS: [u64; 2] = [1, 2];
/// Least goodput beside that of one place that decides, in thousandths.
const GOOD_PER_MILLE_OF_CENTRAL: f64 = 970.0;
/// Most in-rate refusals, in thousandths.
const REFUSED_PER_MILLE: f64 = 1.0;
/// Most wasted prefill, in thousandths of the prefilled tokens.
const WASTED_PER_MILLE: f64 = 10.0;
/// Least goodput of the worst-served organisation beside the mean, in thousandths.
const WORST_PER_MILLE: f64 = 950.0;
/// Most frames of placement for one request: seven where all goes well (reserve, reserved, prefill,
/// prefilled, decode, end, done), and a refused reservation and its answer for two in all.
const FRAMES_PER_REQUEST: f64 = 11.0;

fn settings(seed: u64, offered: f64) -> Settings {
    Settings { seed, offered, ..Settings::default() }
}

fn good(measures: &Measures) -> f64 {
    measures.good_per_mille * measures.requests as f64
}

#[test]
fn at_nine_tenths_of_the_ceiling_the_targets_hold() {
    for seed in SEEDS {
        let shipped = run(&settings(seed, 0.9));
        let central = run(&settings(seed, 0.9).central());

        let beside = 1_000.0 * shipped.good_per_mille / central.good_per_mille;
        assert!(beside >= GOOD_PER_MILLE_OF_CENTRAL, "seed {seed}: {shipped:?}");
        assert!(shipped.refused_per_mille <= REFUSED_PER_MILLE, "seed {seed}: {shipped:?}");
        assert!(shipped.wasted_per_mille <= WASTED_PER_MILLE, "seed {seed}: {shipped:?}");
        assert!(shipped.worst_per_mille >= WORST_PER_MILLE, "seed {seed}: {shipped:?}");
        assert!(shipped.frames_per_request <= FRAMES_PER_REQUEST, "seed {seed}: {shipped:?}");
    }
}

#[test]
fn the_plainest_policy_misses_the_targets() {
    for seed in SEEDS {
        let plainest = run(&Settings { policy: Policy::PLAINEST, ..settings(seed, 0.9) });

        assert!(plainest.wasted_per_mille > WASTED_PER_MILLE, "seed {seed}: {plainest:?}");
    }
}

#[test]
fn beyond_the_ceiling_goodput_does_not_fall() {
    for seed in SEEDS {
        let at_ceiling = run(&settings(seed, 1.0));
        let beyond = run(&settings(seed, 1.1));

        assert!(good(&beyond) >= good(&at_ceiling), "seed {seed}: {at_ceiling:?} {beyond:?}");
    }
}

#[test]
fn a_run_repeats_exactly() {
    assert_eq!(run(&settings(3, 0.9)), run(&settings(3, 0.9)));
}
