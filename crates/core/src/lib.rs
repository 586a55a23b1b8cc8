//! Decisions: admission, limits, waiting, placement, claims and membership.
//!
//! Nothing here reads a clock, opens a socket or draws from the system's random source: time,
//! messages and seeds come in as arguments, so that a run can be replayed from its events.

pub mod time;
