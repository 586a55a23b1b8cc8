//! A hold: what one attempt of a request has of the server.

use super::Id;
use super::event::Connection;
use super::owner;
use crate::time::Instant;
use chestnutrack_wire::frame::{Decode, Failure, Finish, Forward, Kv, Prefill, Reserve};
use chestnutrack_wire::{Attempt, Request};
use slotmap::new_key_type;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

new_key_type! {
    /// Key of a hold.
    pub struct Key;
}

/// What one attempt of a request has of the server.
#[derive(Clone, Debug)]
pub struct Hold {
    /// Request and attempt.
    pub id: Id,
    /// Entry host that asked for it.
    pub owner: owner::Key,
    /// Connection that follows it, absent after that has ended.
    pub connection: Option<Connection>,
    /// Since when no connection follows it.
    pub detached_since: Option<Instant>,
    /// Organisation that it runs for; empty where it is not known.
    pub organisation: Arc<str>,
    /// Whether it may wait behind interactive requests.
    pub may_wait: bool,
    /// Engine memory, in tokens.
    pub kv_tokens: u32,
    /// Tokens that count for fairness.
    pub cost: u64,
    /// What is asked for.
    pub work: Work,
    /// How far it has come.
    pub stage: Stage,
    /// What has been answered so far.
    pub answer: Answer,
}

/// What is asked for.
#[derive(Clone, Debug)]
pub enum Work {
    /// Import and generation, and the order for them once it has come.
    Decode(Reserve, Option<Decode>),
    /// A prefill, and its result.
    Prefill(Prefill, Option<Kv>),
    /// A plain call, until it is made.
    Forward(Option<Forward>),
}

/// How far a hold has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It waits for a slot.
    Waiting {
        /// When it began to wait.
        since: Instant,
        /// When it is refused.
        until: Instant,
    },
    /// It has a slot, or the promise of one.
    Reserved {
        /// When the lease lapses.
        until: Instant,
        /// Whether the slot is free already.
        has_slot: bool,
    },
    /// The KV cache is ready elsewhere and waits for its turn on the link or for its slot.
    Arrived {
        /// When it is given up.
        until: Instant,
        /// Whether the slot is free already.
        has_slot: bool,
    },
    /// The KV cache is on its way.
    Importing,
    /// The engine generates.
    Decoding {
        /// When a broken stream is next followed again; absent while one is followed.
        retry_at: Option<Instant>,
        /// Attempts to follow it again since the last token.
        retries: u32,
    },
    /// The engine computes the KV cache.
    Prefilling {
        /// When the order was given.
        since: Instant,
    },
    /// The KV cache can be fetched.
    Prefilled {
        /// When the engine evicts it.
        until: Instant,
    },
    /// The plain service was called.
    Calling {
        /// When the answer's start is given up; absent once it has started.
        until: Option<Instant>,
    },
    /// The answer is whole and kept for a resume.
    Ended {
        /// When it is forgotten.
        until: Instant,
    },
    /// It was given up, and the engine is asked to free it.
    Freeing {
        /// Whether an import or a prefill may still complete.
        in_flight: bool,
        /// Whether it still has its slot.
        has_slot: bool,
        /// When the engine is asked again.
        retry_at: Instant,
    },
}

impl Stage {
    /// Whether a slot is in use, reserved or being freed.
    pub fn takes_slot(self) -> bool {
        match self {
            Stage::Waiting { .. } | Stage::Prefilled { .. } | Stage::Ended { .. } => false,
            Stage::Reserved { has_slot, .. } | Stage::Arrived { has_slot, .. } => has_slot,
            Stage::Freeing { has_slot, .. } => has_slot,
            _ => true,
        }
    }

    /// Whether engine memory is in use, reserved or being freed.
    pub fn takes_memory(self) -> bool {
        self.takes_slot() || matches!(self, Stage::Prefilled { .. } | Stage::Freeing { .. })
    }

    /// Short name for pages.
    pub fn as_str(self) -> &'static str {
        match self {
            Stage::Waiting { .. } => "waiting",
            Stage::Reserved { has_slot: true, .. } => "reserved",
            Stage::Reserved { has_slot: false, .. } => "promised",
            Stage::Arrived { .. } => "arrived",
            Stage::Importing => "importing",
            Stage::Decoding { .. } => "decoding",
            Stage::Prefilling { .. } => "prefilling",
            Stage::Prefilled { .. } => "prefilled",
            Stage::Calling { .. } => "calling",
            Stage::Ended { .. } => "ended",
            Stage::Freeing { .. } => "freeing",
        }
    }
}

/// What has been answered so far, kept for a resume.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Offset of the first token kept.
    pub token_base: u32,
    /// Tokens kept.
    pub tokens: Vec<Arc<str>>,
    /// How the answer ended, once it has.
    pub finish: Option<Finish>,
    /// Head of a plain answer.
    pub head: Option<(u16, Vec<super::event::Header>)>,
    /// Offset of the first byte kept.
    pub body_base: u64,
    /// Bytes kept.
    pub body: Vec<u8>,
    /// Whether a plain answer is whole.
    pub complete: bool,
    /// When the last token came.
    pub last_token_at: Option<Instant>,
}

impl Answer {
    /// Offset after the last token.
    pub fn token_end(&self) -> u32 {
        self.token_base + u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// Offset after the last byte.
    pub fn body_end(&self) -> u64 {
        self.body_base + self.body.len() as u64
    }
}

/// The engine's name for a request and attempt.
pub fn engine_id(id: Id) -> Arc<str> {
    format!("{}.{}", id.0, id.1.0).into()
}

/// Reads the engine's name for a request and attempt.
pub fn parse_engine_id(text: &str) -> Option<Id> {
    let (request, attempt) = text.split_once('.')?;
    let request: Request = request.parse().ok()?;
    Some((request, Attempt(attempt.parse().ok()?)))
}

/// Attempts that have ended, so that none runs a second time; the oldest are forgotten.
#[derive(Clone, Debug)]
pub struct EndedAttempts {
    limit: usize,
    ends: HashMap<Id, Option<Failure>>,
    order: VecDeque<(Instant, Id)>,
}

impl EndedAttempts {
    /// Remembers at most `limit` attempts.
    pub fn new(limit: usize) -> EndedAttempts {
        EndedAttempts { limit, ends: HashMap::new(), order: VecDeque::new() }
    }

    /// Notes how an attempt has ended: with a failure, or otherwise.
    pub fn add(&mut self, now: Instant, id: Id, failure: Option<Failure>) {
        if self.ends.contains_key(&id) {
            return;
        }
        self.ends.insert(id, failure);
        self.order.push_back((now, id));
        while self.order.len() > self.limit {
            let Some((_, oldest)) = self.order.pop_front() else { return };
            self.ends.remove(&oldest);
        }
    }

    /// How an attempt has ended, if it has.
    pub fn get(&self, id: Id) -> Option<Option<Failure>> {
        self.ends.get(&id).copied()
    }

    /// Number of attempts remembered.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }
}
