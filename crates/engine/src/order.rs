//! Orders to an engine and its answers.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Tokens in one piece of engine memory.
pub const PIECE_TOKENS: u32 = 1_024;
/// Bytes of prompt text that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Orders a prefill.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefill {
    /// Request and attempt, as the engine's name for what it holds.
    pub id: Arc<str>,
    /// Fencing number.
    pub fence: u64,
    /// Prompt.
    pub prompt: Arc<str>,
    /// Priority; higher runs first.
    pub priority: i32,
}

/// A KV cache that a prefill has computed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefilled {
    /// Size, in tokens.
    pub tokens: u32,
    /// Size, in bytes.
    pub bytes: u64,
    /// Tokens found in the prefix cache.
    pub cached_tokens: u32,
    /// When it will be evicted, in milliseconds.
    pub evicted_in_ms: u64,
}

/// Orders the import of a KV cache from another engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Import {
    /// Request and attempt.
    pub id: Arc<str>,
    /// Fencing number.
    pub fence: u64,
    /// Engine that holds the KV cache.
    pub from: SocketAddr,
    /// Its name there.
    pub handle: Arc<str>,
    /// Memory to hold until the end, in tokens.
    pub kv_tokens: u32,
}

/// An import has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Imported {
    /// Tokens imported.
    pub tokens: u32,
}

/// Asks another engine for a KV cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// Its name there.
    pub handle: Arc<str>,
}

/// Orders generation from an imported KV cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decode {
    /// Request and attempt.
    pub id: Arc<str>,
    /// Fencing number.
    pub fence: u64,
    /// Longest answer, in tokens.
    pub output_tokens: u32,
    /// Priority; higher runs first.
    pub priority: i32,
}

/// Orders a running answer to be streamed again from an offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// Request and attempt.
    pub id: Arc<str>,
    /// Fencing number.
    pub fence: u64,
    /// Offset of the first token wanted.
    pub offset: u32,
}

/// Orders a request to be stopped and all that it holds to be freed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// Request and attempt.
    pub id: Arc<str>,
    /// Fencing number.
    pub fence: u64,
}

/// One line of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Line {
    /// A token.
    Token {
        /// Its offset in the answer.
        offset: u32,
        /// Its text.
        text: Arc<str>,
    },
    /// The answer is whole.
    End {
        /// Its length, in tokens.
        total: u32,
        /// `stop` or `length`.
        finish: Arc<str>,
    },
}

/// What an engine holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holds {
    /// One entry for each request.
    pub holds: Vec<Hold>,
}

/// What one request holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// Request and attempt.
    pub id: Arc<str>,
    /// Memory held, in tokens.
    pub kv_tokens: u32,
    /// Whether it is generating.
    pub running: bool,
}

/// An engine's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Memory in use, in tokens.
    pub kv_used: u64,
    /// Age of this report, in milliseconds.
    pub age_ms: u64,
}

/// Changes of an engine's prefix cache.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Events {
    /// The events after the number asked for that the engine still has.
    pub events: Vec<Event>,
    /// Number of the newest event.
    pub newest: u64,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Number; a gap means that events were lost.
    pub number: u64,
    /// Hash of the prompt's text up to the end of the piece.
    pub prefix: u64,
    /// Whether the piece was stored or evicted.
    pub stored: bool,
}

/// An order that changes what an engine serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number.
    pub fence: u64,
    /// What to change.
    pub change: Change,
}

/// What an order changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Load a model from the weight store.
    LoadModel(Arc<str>),
    /// Take another role: `prefill` or `decode`.
    Role(Arc<str>),
}
