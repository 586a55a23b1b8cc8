//! What a server's table takes in and gives out.

use super::{Authority, Key};
use chestnutrack_document::model;
use chestnutrack_wire::Frame;
use chestnutrack_wire::frame::{Finish, Forward, Ran};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A connection of an entry host, numbered by whoever accepted it and never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Connection(pub u64);

/// A header's name and value.
pub type Header = (Arc<str>, Arc<str>);

/// What has happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The timer's tick, and how late it is.
    Tick {
        /// How much later than due.
        delay: Duration,
    },
    /// A frame has come.
    Frame(Connection, Frame),
    /// A connection has ended.
    Disconnected(Connection),
    /// A checked configuration; the server's entry is absent where it isn't listed.
    Configured {
        /// Version of the document.
        version: u64,
        /// The server's entry.
        server: Option<model::Server>,
    },
    /// The process is asked to end.
    Terminate,
    /// What is known of this process's authority over the backend server.
    Authority(Authority),
    /// A prefill has ended.
    Prefilled(Key, Result<Prefilled, Fault>),
    /// An import has ended.
    Imported(Key, Result<(), Fault>),
    /// A token has come, with its offset.
    Token(Key, u32, Arc<str>),
    /// A stream has ended whole, with the answer's length in tokens.
    StreamEnd(Key, u32, Finish),
    /// A stream has ended before its end.
    StreamBroken(Key, Fault),
    /// An order to cancel was carried out, or failed.
    Cancelled(Arc<str>, Result<(), Fault>),
    /// What the engine holds.
    HoldsListed(Result<Vec<EngineHold>, Fault>),
    /// The head of a plain answer.
    Head(Key, u16, Vec<Header>),
    /// A part of a plain answer's body.
    Body(Key, Vec<u8>),
    /// A plain answer is whole.
    BodyEnd(Key),
    /// A plain call failed.
    CallFailed(Key, Ran),
}

/// A KV cache that the engine has computed.
#[derive(Clone, Debug, PartialEq, Eq)]
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

/// What one request holds on the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineHold {
    /// The engine's name for it.
    pub id: Arc<str>,
    /// Memory, in tokens.
    pub kv_tokens: u32,
    /// Whether it is generating.
    pub running: bool,
}

/// Why an order or a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It was not sent: the backend server could not be reached.
    Unreachable,
    /// It was not sent: this process had been stopped since it was decided.
    Stale,
    /// The engine doesn't have what it is about.
    Missing,
    /// The engine has no room for it.
    Full,
    /// The engine has seen a newer fencing number.
    Fenced,
    /// It was refused for another reason.
    Refused,
    /// It may have been carried out.
    Unknown,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a frame.
    Send(Connection, Frame),
    /// Send the configuration in force.
    SendConfiguration(Connection),
    /// Close a connection.
    Close(Connection),
    /// Give the engine an order.
    Order(Order),
    /// Stop following a stream or a call, and close its connection.
    Abort(Key),
    /// Make a plain call.
    Call(Key, Forward),
    /// Read again whether this process is still in charge under an epoch.
    RecheckAuthority(u64),
}

/// An order to the engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Hold that it is for; the null key where it is for none.
    pub hold: Key,
    /// The engine's name for the request and attempt.
    pub id: Arc<str>,
    /// Fencing number.
    pub fence: u64,
    /// What to do.
    pub task: Task,
}

impl Task {
    /// Whether the answer is a stream.
    pub fn follows(&self) -> bool {
        matches!(self, Task::Decode { .. } | Task::Resume { .. })
    }
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Task {
    /// Compute a KV cache.
    Prefill {
        /// Prompt.
        prompt: Arc<str>,
        /// Priority; higher runs first.
        priority: i32,
    },
    /// Import a KV cache.
    Import {
        /// Engine that holds it.
        from: SocketAddr,
        /// Its name there.
        handle: Arc<str>,
        /// Memory to hold, in tokens.
        kv_tokens: u32,
    },
    /// Generate.
    Decode {
        /// Longest answer, in tokens.
        output_tokens: u32,
        /// Priority; higher runs first.
        priority: i32,
    },
    /// Stream a running answer again.
    Resume {
        /// Offset of the first token wanted.
        offset: u32,
    },
    /// Stop and free everything.
    Cancel,
    /// Tell what is held.
    ListHolds,
}
