//! Fleets of separate processes on loopback, for the demo, tests and experiments.
