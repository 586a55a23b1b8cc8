//! Read-only views of the table for status pages and metrics. A hold is the resources that one
//! attempt of a request occupies on the server.

use super::{Counter, Server};
use crate::time::Instant;
use serde::Serialize;
use std::sync::Arc;

/// A hold, as shown on status pages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Hold {
    /// Request.
    pub request: String,
    /// Attempt.
    pub attempt: u32,
    /// Organisation.
    pub organisation: Arc<str>,
    /// Entry host that owns it.
    pub owner: Arc<str>,
    /// Stage of the hold.
    pub stage: &'static str,
    /// Engine memory, in tokens.
    pub kv_tokens: u32,
    /// Tokens received so far.
    pub tokens: u32,
    /// Time since the hold lost its connection, in milliseconds; absent while it has one.
    pub detached_ms: Option<u128>,
}

/// State of the table, as shown on status pages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct State {
    /// Version of the configuration in force; 0 for none.
    pub version: u64,
    /// Fencing number; absent without authority.
    pub epoch: Option<u64>,
    /// Whether the server accepts no new work because it is draining.
    pub leaving: bool,
    /// Whether the server accepts work.
    pub ready: bool,
    /// Slots in use, reserved or being freed.
    pub used: u32,
    /// Total number of slots.
    pub slots: u32,
    /// Engine memory in use, reserved or being freed, in tokens.
    pub kv_used: u64,
    /// Waiting requests.
    pub waiting: u32,
    /// Prompt tokens queued.
    pub queued_tokens: u64,
    /// Ended attempts that are remembered.
    pub past: usize,
    /// Open connections.
    pub connections: usize,
}

impl Server {
    /// Returns all holds.
    pub fn view_holds(&self, now: Instant) -> Vec<Hold> {
        let view = |hold: &super::Hold| Hold {
            request: hold.id.0.to_string(),
            attempt: hold.id.1.0,
            organisation: hold.organisation.clone(),
            owner: self.owners.get(hold.owner).map(|o| o.sender.name.clone()).unwrap_or_default(),
            stage: hold.stage.as_str(),
            kv_tokens: hold.kv_tokens,
            tokens: hold.answer.token_end(),
            detached_ms: hold.detached_since.map(|since| now.since(since).as_millis()),
        };
        self.holds.values().map(view).collect()
    }

    /// Returns the state of the table.
    pub fn view(&self, now: Instant) -> State {
        let load = self.load(now);
        State {
            version: self.config_version,
            epoch: self.authority.fence(),
            leaving: self.is_leaving(),
            ready: self.is_ready(),
            used: load.used,
            slots: load.slots,
            kv_used: load.kv_used,
            waiting: load.waiting,
            queued_tokens: load.queued_tokens,
            past: self.ended.len(),
            connections: self.owners.connections().len(),
        }
    }

    /// Iterates over the counters that are not zero.
    pub fn counts(&self) -> impl Iterator<Item = (Counter, u64)> + '_ {
        self.counts.iter()
    }
}
