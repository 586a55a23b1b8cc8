//! Events that the table of a server handles, and the effects that it returns. The table consists
//! of holds; a hold is the resources that one attempt of a request occupies on the server.

use super::{Authority, Key};
use chestnutrack_document::model;
use chestnutrack_wire::Frame;
use chestnutrack_wire::frame::{Finish, Forward, Ran};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Identifies a connection from an entry host. The code that accepts connections assigns the
/// numbers and never reuses one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Connection(pub u64);

/// Name and value of a header.
pub type Header = (Arc<str>, Arc<str>);

/// An input to the table.
#[derive(Clone, Debug)]
pub enum Event {
    /// The periodic timer fired.
    Tick {
        /// How much later than scheduled it fired.
        delay: Duration,
    },
    /// A frame was received.
    Frame(Connection, Frame),
    /// A connection was closed.
    Disconnected(Connection),
    /// A validated configuration is in force.
    Configured {
        /// Version of the document.
        version: u64,
        /// The server's entry; `None` if the document doesn't list the server.
        server: Option<model::Server>,
    },
    /// The process was asked to terminate.
    Terminate,
    /// This process's authority over the backend server (the epoch under which it may send orders)
    /// has changed or was checked.
    Authority(Authority),
    /// A prefill has completed or failed.
    Prefilled(Key, Result<Prefilled, Fault>),
    /// An import has completed or failed.
    Imported(Key, Result<(), Fault>),
    /// A token was received, at this offset in the answer.
    Token(Key, u32, Arc<str>),
    /// A stream has ended normally; the answer's length is in tokens.
    StreamEnd(Key, u32, Finish),
    /// A stream has broken off.
    StreamBroken(Key, Fault),
    /// A cancel order for this engine id was carried out, or failed.
    Cancelled(Arc<str>, Result<(), Fault>),
    /// The engine has listed the requests that it holds.
    HoldsListed(Result<Vec<EngineHold>, Fault>),
    /// The status and headers of a plain answer were received.
    Head(Key, u16, Vec<Header>),
    /// A part of a plain answer's body was received.
    Body(Key, Vec<u8>),
    /// A plain answer was received completely.
    BodyEnd(Key),
    /// A call to the plain service failed; the value says whether it ran.
    CallFailed(Key, Ran),
}

/// A KV cache that the engine has computed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prefilled {
    /// Size, in tokens.
    pub tokens: u32,
    /// Size, in bytes.
    pub bytes: u64,
    /// Prompt tokens that were found in the prefix cache.
    pub cached_tokens: u32,
    /// Time until the engine evicts it, in milliseconds.
    pub evicted_in_ms: u64,
}

/// A request that the engine holds memory for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineHold {
    /// Engine id of the request and attempt.
    pub id: Arc<str>,
    /// Memory held, in tokens.
    pub kv_tokens: u32,
    /// Whether the engine is generating for it.
    pub running: bool,
}

/// Why an order to the engine failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The order was not sent: the backend server could not be reached.
    Unreachable,
    /// The order was not sent: this process was paused after issuing it.
    Stale,
    /// The engine doesn't have the request or KV cache.
    Missing,
    /// The engine has no free capacity.
    Full,
    /// The engine rejected the order because it has seen a newer fencing number.
    Fenced,
    /// The engine refused the order for another reason.
    Refused,
    /// The outcome is not known: the order may have been carried out.
    Unknown,
}

/// An action that the caller of [`Server::handle`](super::Server::handle) must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a frame on a connection.
    Send(Connection, Frame),
    /// Send the configuration in force on a connection.
    SendConfiguration(Connection),
    /// Close a connection.
    Close(Connection),
    /// Send an order to the engine.
    Order(Order),
    /// Stop reading the hold's stream or call, and close the connection to the engine or service.
    Abort(Key),
    /// Call the plain service.
    Call(Key, Forward),
    /// Check whether this process still holds authority under this epoch.
    RecheckAuthority(u64),
}

/// An order, which is a command to the engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Hold that the order is for; the null key if it is for none.
    pub hold: Key,
    /// Engine id of the request and attempt.
    pub id: Arc<str>,
    /// Fencing number.
    pub fence: u64,
    /// What the engine is asked to do.
    pub task: Task,
}

impl Task {
    /// Returns `true` if the engine answers with a stream.
    pub fn is_streaming(&self) -> bool {
        matches!(self, Task::Decode { .. } | Task::Resume { .. })
    }
}

/// What an order asks the engine to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Task {
    /// Compute the KV cache of a prompt.
    Prefill {
        /// Prompt.
        prompt: Arc<str>,
        /// Priority; the engine runs higher values first.
        priority: i32,
    },
    /// Import a KV cache from another engine.
    Import {
        /// Engine that has the KV cache.
        from: SocketAddr,
        /// Handle of the KV cache on that engine.
        handle: Arc<str>,
        /// Memory to allocate, in tokens.
        kv_tokens: u32,
    },
    /// Generate the answer.
    Decode {
        /// Maximum length of the answer, in tokens.
        output_tokens: u32,
        /// Priority; the engine runs higher values first.
        priority: i32,
    },
    /// Stream a running answer again, on a new connection.
    Resume {
        /// Offset of the first token to send.
        offset: u32,
    },
    /// Stop the request and free its memory.
    Cancel,
    /// List the requests that the engine holds.
    ListHolds,
}
