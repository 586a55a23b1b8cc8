//! Holds: the resources of the server that an attempt of a request occupies.
//!
//! A hold passes through the stages of [`Stage`], from waiting for a slot until the attempt has
//! ended. After that, [`EndedAttempts`] remembers the attempt, so that a repeated frame doesn't run
//! it again.

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

/// Resources and progress of one attempt of a request.
#[derive(Clone, Debug)]
pub struct Hold {
    /// Request and attempt.
    pub id: Id,
    /// Entry host that owns the hold.
    pub owner: owner::Key,
    /// Connection that receives the answer; `None` after the connection was closed.
    pub connection: Option<Connection>,
    /// When the connection was closed; `None` while there is one.
    pub detached_since: Option<Instant>,
    /// Organisation that the request runs for; empty if unknown.
    pub organisation: Arc<str>,
    /// Whether the request may wait behind interactive ones.
    pub may_wait: bool,
    /// Engine memory, in tokens.
    pub kv_tokens: u32,
    /// Tokens charged to the organisation for fair scheduling.
    pub cost: u64,
    /// Requested work.
    pub work: Work,
    /// Current stage.
    pub stage: Stage,
    /// Answer received so far.
    pub answer: Answer,
}

/// The work that a hold is for.
#[derive(Clone, Debug)]
pub enum Work {
    /// Import and generation; the order is present once it has been received.
    Decode(Reserve, Option<Decode>),
    /// Prefill; the KV cache is present once it has been computed.
    Prefill(Prefill, Option<Kv>),
    /// Call to the plain service; the frame is present until the call is made.
    Forward(Option<Forward>),
}

/// Progress of a hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The hold waits for a slot.
    Waiting {
        /// When the wait began.
        since: Instant,
        /// When the request is refused.
        until: Instant,
    },
    /// The hold has a slot, or the promise of one, for a KV cache that is not ready yet.
    Reserved {
        /// When the lease expires.
        until: Instant,
        /// Whether the hold occupies a slot; `false` while the slot is only promised.
        has_slot: bool,
    },
    /// The KV cache is ready on another engine and the hold waits for the link, or for its promised
    /// slot.
    Arrived {
        /// When the hold fails.
        until: Instant,
        /// Whether the hold occupies a slot; `false` while the slot is only promised.
        has_slot: bool,
    },
    /// The engine imports the KV cache.
    Importing,
    /// The engine generates.
    Decoding {
        /// When a broken stream is reopened; `None` while a stream is open.
        retry_at: Option<Instant>,
        /// Attempts to reopen the stream since the last token.
        retries: u32,
    },
    /// The engine computes the KV cache.
    Prefilling {
        /// When the order was sent.
        since: Instant,
    },
    /// The KV cache is ready to be fetched.
    Prefilled {
        /// When the engine evicts it.
        until: Instant,
    },
    /// The call to the plain service has been made and its answer is not complete.
    Calling {
        /// When the call fails unless its answer has started; `None` once it has.
        until: Option<Instant>,
    },
    /// The answer is complete and kept so that it can be resumed.
    Ended {
        /// When the answer is discarded.
        until: Instant,
    },
    /// The hold was given up, and the engine has been asked to free it.
    Freeing {
        /// Whether an import or a prefill was ordered whose result has not been received. The order
        /// may still complete after the engine was asked to free the hold.
        order_in_flight: bool,
        /// Whether the hold still occupies its slot.
        has_slot: bool,
        /// When the engine is asked again.
        retry_at: Instant,
    },
}

impl Stage {
    /// Returns `true` if the hold occupies a slot: used, reserved or being freed.
    pub fn takes_slot(self) -> bool {
        match self {
            Stage::Waiting { .. } | Stage::Prefilled { .. } | Stage::Ended { .. } => false,
            Stage::Reserved { has_slot, .. } | Stage::Arrived { has_slot, .. } => has_slot,
            Stage::Freeing { has_slot, .. } => has_slot,
            _ => true,
        }
    }

    /// Returns `true` if the hold occupies engine memory: used, reserved or being freed. A
    /// prefilled hold keeps its memory but not its slot.
    pub fn takes_memory(self) -> bool {
        self.takes_slot() || matches!(self, Stage::Prefilled { .. } | Stage::Freeing { .. })
    }

    /// Returns a short name, shown on status pages.
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

/// The answer received so far, kept so that it can be resumed.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Offset in the answer of the first retained token. It is above 0 if the answer was resumed at
    /// a later offset.
    pub token_start: u32,
    /// Retained tokens.
    pub tokens: Vec<Arc<str>>,
    /// Why the generation finished, once it has.
    pub finish: Option<Finish>,
    /// Status and headers of a plain answer.
    pub head: Option<(u16, Vec<super::event::Header>)>,
    /// Offset in the body of the first retained byte. It is above 0 once earlier bytes were dropped
    /// to limit memory.
    pub body_start: u64,
    /// Retained bytes of a plain answer.
    pub body: Vec<u8>,
    /// Whether a plain answer is complete.
    pub complete: bool,
    /// When the last token was received.
    pub last_token_at: Option<Instant>,
}

impl Answer {
    /// Returns the offset after the last retained token.
    pub fn token_end(&self) -> u32 {
        self.token_start + u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// Returns the offset after the last retained byte.
    pub fn body_end(&self) -> u64 {
        self.body_start + self.body.len() as u64
    }
}

/// Formats the id by which the engine knows a request and attempt.
pub fn engine_id(id: Id) -> Arc<str> {
    format!("{}.{}", id.0, id.1.0).into()
}

/// Parses the id by which the engine knows a request and attempt. Returns `None` if the text
/// doesn't have the form of such an id.
pub fn parse_engine_id(text: &str) -> Option<Id> {
    let (request, attempt) = text.split_once('.')?;
    let request: Request = request.parse().ok()?;
    Some((request, Attempt(attempt.parse().ok()?)))
}

/// Attempts that have ended, remembered so that a repeated frame doesn't run them again and a
/// repeated request gets the same failure. When there are too many, the oldest are forgotten.
#[derive(Clone, Debug)]
pub struct EndedAttempts {
    limit: usize,
    ends: HashMap<Id, Option<Failure>>,
    order: VecDeque<(Instant, Id)>,
}

impl EndedAttempts {
    /// Creates an empty record of at most `limit` attempts.
    pub fn new(limit: usize) -> EndedAttempts {
        EndedAttempts { limit, ends: HashMap::new(), order: VecDeque::new() }
    }

    /// Records that an attempt has ended, with its failure if it failed. If the attempt is already
    /// recorded, the earlier record is kept. Forgets the oldest attempt if the limit is exceeded.
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

    /// Returns how an attempt has ended: `None` if it is not known to have ended, `Some(None)` if
    /// it ended without a failure.
    pub fn get(&self, id: Id) -> Option<Option<Failure>> {
        self.ends.get(&id).copied()
    }

    /// Returns the number of recorded attempts.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Returns `true` if no attempt is recorded.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }
}
