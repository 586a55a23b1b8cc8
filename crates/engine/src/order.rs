//! Messages of the engine protocol: orders, their results, and reports on the engine's state.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Tokens in one piece, the unit of engine memory in which prompts are cached.
pub const PIECE_TOKENS: u32 = 1_024;
/// Bytes of prompt text that are counted as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Orders a prefill.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefill {
    /// Identifier of request and attempt; the engine stores the KV cache under it.
    pub id: Arc<str>,
    /// Fencing number.
    pub fence: u64,
    /// Prompt text.
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
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
    /// Time until it is evicted, in milliseconds.
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
    /// Identifier of the KV cache on that engine.
    pub handle: Arc<str>,
    /// Memory to reserve until the end of the generation, in tokens.
    pub kv_tokens: u32,
}

/// Result of an import.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Imported {
    /// Tokens imported.
    pub tokens: u32,
}

/// Asks another engine for a KV cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// Identifier of the KV cache on that engine.
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

/// Orders the stream of a running answer to be repeated from an offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// Request and attempt.
    pub id: Arc<str>,
    /// Fencing number.
    pub fence: u64,
    /// Offset of the first token to send.
    pub offset: u32,
}

/// Orders a request to be stopped and everything that it holds to be freed.
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
    /// A generated token.
    Token {
        /// Offset of the token in the answer.
        offset: u32,
        /// Text of the token.
        text: Arc<str>,
    },
    /// The answer is complete.
    End {
        /// Length of the answer, in tokens.
        total: u32,
        /// How the answer ended: `stop` or `length`.
        finish: Arc<str>,
    },
}

/// Memory that the requests on an engine hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holds {
    /// One entry per request.
    pub holds: Vec<Hold>,
}

/// Memory that one request holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// Request and attempt.
    pub id: Arc<str>,
    /// Memory held, in tokens.
    pub kv_tokens: u32,
    /// Whether the request is generating.
    pub running: bool,
}

/// An engine's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in the batch.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Memory in use, in tokens.
    pub kv_used: u64,
    /// Age of this report, in milliseconds.
    pub age_ms: u64,
}

/// Changes of an engine's prefix cache.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Events {
    /// Events after the requested number, as far as the engine still has them.
    pub events: Vec<Event>,
    /// Number of the newest event.
    pub newest: u64,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Sequence number; a gap means that events were lost.
    pub number: u64,
    /// Hash of the prompt's text from its start to the end of the piece.
    pub prefix: u64,
    /// `true` if the piece was stored, `false` if it was evicted.
    pub stored: bool,
}

/// An order that changes what an engine serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number.
    pub fence: u64,
    /// Change to apply.
    pub change: Change,
}

/// Change to what an engine serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Loads a model from the weight store.
    LoadModel(Arc<str>),
    /// Changes the role to `prefill` or `decode`.
    Role(Arc<str>),
}
