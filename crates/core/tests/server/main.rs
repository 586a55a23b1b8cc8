//! Tests of the table of one backend server: invariants over random events, fair scheduling,
//! draining, leases and refusals.

#![allow(clippy::unwrap_used, unreachable_pub)]

mod exchange;
mod fair;
mod invariant;
mod lease;
mod log;
mod payload;
mod prefix;
mod refuse;
mod world;
