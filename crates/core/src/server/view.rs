//! What pages and metrics show of the table.

use super::{Counter, Server};
use crate::time::Instant;
use serde::Serialize;
use std::sync::Arc;

/// One hold, for people.
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
    /// How far it has come.
    pub stage: &'static str,
    /// Engine memory, in tokens.
    pub kv_tokens: u32,
    /// Tokens answered.
    pub tokens: u32,
    /// Time since a connection last followed it, in milliseconds; absent while one does.
    pub detached_ms: Option<u128>,
}

/// The table's state, for people.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct State {
    /// Version of the configuration in force; 0 for none.
    pub version: u64,
    /// Fencing number; absent without authority.
    pub epoch: Option<u64>,
    /// Whether the server takes no new work.
    pub leaving: bool,
    /// Whether the server takes work.
    pub ready: bool,
    /// Slots in use, reserved or being freed.
    pub used: u32,
    /// Slots in all.
    pub slots: u32,
    /// Engine memory in use, reserved or being freed, in tokens.
    pub kv_used: u64,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt tokens queued.
    pub queued_tokens: u64,
    /// Attempts that have ended and are remembered.
    pub past: usize,
    /// Open connections.
    pub connections: usize,
}

impl Server {
    /// Every hold.
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

    /// The table's state.
    pub fn view(&self, now: Instant) -> State {
        let load = self.load(now);
        State {
            version: self.version,
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

    /// Every counter that is not zero.
    pub fn counts(&self) -> impl Iterator<Item = (Counter, u64)> + '_ {
        self.counts.iter()
    }
}
