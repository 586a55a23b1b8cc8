//! Scripted simulations of the placement decisions, for benchmarks and the capacity page.
//!
//! A scripted run drives the production queueing and placement code with a fixed seed and in
//! virtual time, so that its measures are reproducible. Engines are modelled only as far as the
//! decisions observe them.

pub mod scripted;
