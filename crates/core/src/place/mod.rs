//! Placement: chooses the server that a request goes to. A prefill server computes the KV cache of a prompt, a
//! decode server generates the answer from it, and a plain service is one without these two stages.
//!
//! These are pure functions over a table of servers. Load reports arrive with a server's answers
//! and lose weight as they age; requests that this host has sent since the last report are added.
//! Several hosts place requests concurrently based on stale reports, so each compares only a few
//! random candidates and takes the best of them.

pub mod choose;
pub mod prefix;
pub mod table;
pub mod wait;

#[cfg(test)]
mod tests;

pub use choose::{Query, choose_decode, choose_plain, choose_prefill, prefill_work};
pub use table::{Key, Load, Server, Table};

/// Prefixes of prompts that each server in the table is believed to hold.
pub type PrefixIndex = crate::prefix::Index<Key>;
