//! Runs scripted simulations under several policies and prints the measures of each as JSON.

use argh::FromArgs;
use chestnutrack_bench::scripted::{Policy, Settings, run};
use std::time::Duration;

/// Simulates placement with fixed seeds in virtual time and prints the measures of each policy.
#[derive(FromArgs)]
struct Arguments {
    /// number of seeds; the first is 1
    #[argh(option, default = "3")]
    seeds: u64,
    /// in-rate load as a fraction of the capacity of the engines
    #[argh(option, default = "0.9")]
    offered: f64,
    /// longest wait for a slot at one decode server, in milliseconds; by default, the production
    /// rule
    #[argh(option)]
    reserve_wait_ms: Option<u64>,
}

fn main() {
    let arguments: Arguments = argh::from_env();
    let policies = [
        ("plainest", Policy::PLAINEST),
        ("informed", Policy { reserve_first: false, fair: false, ..Policy::SHIPPED }),
        ("reserved", Policy { fair: false, ..Policy::SHIPPED }),
        ("shipped", Policy::SHIPPED),
    ];
    let shared = Settings {
        offered: arguments.offered,
        reserve_wait: arguments.reserve_wait_ms.map(Duration::from_millis),
        ..Settings::default()
    };
    for seed in 1..=arguments.seeds {
        print("central", &Settings { seed, ..shared.central() });
        for (name, policy) in policies {
            print(name, &Settings { seed, policy, ..shared.clone() });
        }
    }
}

fn print(name: &str, settings: &Settings) {
    let measures = serde_json::to_string(&run(settings)).unwrap_or_default();
    println!("{name} seed {}: {measures}", settings.seed);
}
