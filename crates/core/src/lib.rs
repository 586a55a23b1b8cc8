//! Decision logic: admission, rate limits, queueing, placement, claims and membership.
//!
//! Nothing here reads a clock, opens a socket or draws from the system's random source: time,
//! messages and seeds come in as arguments, so that a run can be replayed from its events.

pub mod allowance;
pub mod cell;
pub mod claim;
pub mod config;
pub mod dispatch;
pub mod fetch;
pub mod forecast;
pub mod health;
pub mod limit;
pub mod listing;
pub mod member;
pub mod place;
pub mod plan;
pub mod queue;
pub mod retry;
pub mod roster;
pub mod server;
pub mod subset;
pub mod time;
