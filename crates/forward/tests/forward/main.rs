//! Tests of the request path on real sockets, with scripted backend servers.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod builds;
mod cold;
mod config_order;
mod configurations;
mod connections;
mod copies;
mod crashes;
mod crashing_requests;
mod crowds;
mod directory;
mod evacuations;
mod fixture;
mod framing;
mod hosts;
mod limits;
mod notices;
mod odd_entries;
mod orders;
mod peers;
mod plain;
mod residency;
mod shutdown;
mod silence;
mod stored_builds;
mod streams;
mod takeover;
mod throttling;
