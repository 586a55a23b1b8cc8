//! A scripted run: arrivals, entry hosts, servers, engines, and the four measures.

pub mod engine;
pub mod entry;
pub mod load;
pub mod measure;
pub mod settings;
pub mod simulation;

pub use measure::Measures;
pub use settings::{Choice, Policy, Settings};

/// Runs a script to its end.
pub fn run(settings: &Settings) -> Measures {
    simulation::Simulation::new(settings).run()
}
