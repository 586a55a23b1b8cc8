//! Scripted runs: a discrete-event simulation of entry hosts, side processes and engines under a
//! generated load, and its measures.

pub mod engine;
pub mod entry;
pub mod load;
pub mod measure;
pub mod settings;
pub mod simulation;

pub use measure::Measures;
pub use settings::{Choice, Policy, Settings};

/// Simulates a run to its end and returns its measures.
pub fn run(settings: &Settings) -> Measures {
    simulation::Simulation::new(settings).run()
}
