//! The table of one backend server: invariants over random lists of events, fairness, leaving,
//! leases.

#![allow(clippy::unwrap_used, unreachable_pub)]

mod ask;
mod exchange;
mod fair;
mod invariant;
mod lease;
mod log;
mod model;
mod prefix;
mod refuse;
