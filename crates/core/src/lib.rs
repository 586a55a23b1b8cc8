//! Decision logic: admission, rate limits, queueing, placement, claims and membership.
//!
//! This crate reads no clock, opens no socket and uses no system randomness. Time, messages and seeds are
//! passed in as arguments, so that a run can be replayed from its events.

pub mod allowance;
pub mod cell;
pub mod claim;
pub mod config;
pub mod dispatch;
pub mod fetch;
pub mod forecast;
pub mod health;
pub mod intake;
pub mod limit;
pub mod listing;
pub mod member;
pub mod mix;
pub mod origin;
pub mod place;
pub mod plan;
pub mod prefix;
pub mod quarantine;
pub mod queue;
pub mod retry;
pub mod roster;
pub mod server;
pub mod subset;
pub mod time;
