//! Tests of the request path over real sockets, with fakes of the fleet and of side processes.
#![allow(unreachable_pub, reason = "fixtures are shared between the files of this test")]
#![allow(clippy::unwrap_used, reason = "a fixture that fails ends its test")]

mod claims;
mod exchanges;
mod faults;
mod fixture;
mod input;
mod keys;
mod lifecycle;
