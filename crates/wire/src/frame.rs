//! The frames themselves.

use crate::id::{Attempt, Request};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Version of the frames; a peer with a higher major version is refused with a typed error.
pub const VERSION: u32 = 1;

/// Which process speaks.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Sender {
    /// Name from the process's settings.
    pub name: Arc<str>,
    /// Random number drawn when the process started.
    pub incarnation: u64,
}

/// Whether a refused or failed request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// It certainly did not run.
    NotRun,
    /// It ran, at least in part.
    Ran,
    /// It may have run.
    Unknown,
}

impl Ran {
    /// The word that callers see in the `x-chestnutrack-ran` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Ran::NotRun => "not-run",
            Ran::Ran => "ran",
            Ran::Unknown => "unknown",
        }
    }
}

/// Why a request was refused or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// No slot or memory is free in time.
    Full,
    /// The server is leaving.
    Leaving,
    /// The deadline can't be met any more.
    Deadline,
    /// The reservation is not known, or its lease has lapsed.
    ReservationLapsed,
    /// The KV cache was evicted before it could be moved.
    KvLost,
    /// The backend server failed or refused.
    Backend,
    /// The side process lost its authority over the backend server.
    Fenced,
    /// The request was cancelled.
    Cancelled,
    /// The side process has no configuration yet, or the request doesn't fit it.
    Unconfigured,
    /// The frame doesn't fit the request's state.
    Protocol,
}

/// A hold on a decode server, asked for before the prefill starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reserve {
    /// Organisation that the request runs for.
    pub organisation: Arc<str>,
    /// Whether it may wait behind interactive requests.
    pub may_wait: bool,
    /// KV cache that it will hold at its end: prompt and longest answer, in tokens.
    pub kv_tokens: u32,
    /// Size of the KV cache that will come over the link, in tokens.
    pub transfer_tokens: u32,
    /// Longest answer, in tokens.
    pub output_tokens: u32,
    /// Longest wait for a slot, in milliseconds; 0 to be answered at once.
    pub wait_ms: u32,
    /// When the KV cache is expected to arrive after the reservation, in milliseconds.
    pub needed_in_ms: u32,
}

/// An order to compute a prompt's KV cache.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Prefill {
    /// Organisation that the request runs for.
    pub organisation: Arc<str>,
    /// Whether it may wait behind interactive requests.
    pub may_wait: bool,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Size of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Longest wait and run, in milliseconds.
    pub deadline_ms: u32,
}

/// Where a KV cache can be fetched.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kv {
    /// Address of the engine that holds it.
    pub address: std::net::SocketAddr,
    /// The engine's handle for it.
    pub handle: Arc<str>,
    /// Size, in tokens.
    pub tokens: u32,
    /// Size, in bytes.
    pub bytes: u64,
    /// Prompt tokens that were found in the engine's prefix cache.
    pub cached_tokens: u32,
}

/// An order to import a KV cache into a reserved slot and to generate from it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decode {
    /// Where the KV cache is.
    pub kv: Kv,
    /// Longest answer, in tokens.
    pub output_tokens: u32,
}

/// A call that passes through to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Forward {
    /// Organisation that the request runs for; absent on routes open to all.
    pub organisation: Option<Arc<str>>,
    /// Whether it may wait behind interactive requests.
    pub may_wait: bool,
    /// Whether the side process must not send it to the server more than once.
    pub once: bool,
    /// HTTP method.
    pub method: Arc<str>,
    /// Path and query, without credentials.
    pub target: Arc<str>,
    /// Headers that may pass, without credentials.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Longest wait for a slot, in milliseconds.
    pub wait_ms: u32,
    /// Longest time until the answer's start, in milliseconds.
    pub deadline_ms: u32,
}

/// A refusal or failure, final for its attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Whether the attempt ran.
    pub ran: Ran,
    /// Why it ended.
    pub cause: Cause,
    /// When to come back, in milliseconds; 0 where that can't be said.
    pub retry_after_ms: u32,
}

/// A server's load, as its side process sees it; rides on other frames.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Slots in use or reserved.
    pub used: u32,
    /// Slots in all.
    pub slots: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// KV cache in use or reserved, in tokens.
    pub kv_used: u64,
    /// When a slot is expected to be free, in milliseconds; 0 if one is now.
    pub free_in_ms: u32,
    /// Work queued before a new prefill, in prompt tokens.
    pub queued_tokens: u64,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The model ended its answer.
    Stop,
    /// The longest answer was reached.
    Length,
}

impl Finish {
    /// The word that callers see as `finish_reason`.
    pub fn as_str(self) -> &'static str {
        match self {
            Finish::Stop => "stop",
            Finish::Length => "length",
        }
    }
}

/// A member of the fleet, as the table of members lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name and incarnation.
    pub sender: Sender,
    /// Address that peers reach it at.
    pub address: std::net::SocketAddr,
}

/// A frame's content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Frame {
    /// First frame from either end.
    Hello {
        /// Version of the frames; see [`VERSION`].
        version: u32,
        /// Who speaks.
        sender: Sender,
        /// Version of the configuration in force; 0 for none.
        configuration: u64,
    },
    /// Heartbeat, answered by `Pong` with the same number.
    Ping(u64),
    /// Answer to a heartbeat.
    Pong(u64),
    /// The configuration in force at the sender.
    Configuration {
        /// Version of the document, as the object interface counts it.
        version: u64,
        /// The document's JSON.
        #[serde(with = "serde_bytes")]
        document: Vec<u8>,
    },
    /// The sender takes no new work; what it has is finished.
    Leaving,
    /// A side process reports its server's load.
    Loaded(Load),

    /// Asks a decode server for a hold.
    Reserve(Request, Attempt, Reserve),
    /// The hold is given; the KV cache may arrive in so many milliseconds at the earliest.
    Reserved(Request, Attempt, u32, Load),
    /// Orders a prefill.
    Prefill(Request, Attempt, Prefill),
    /// The prefill's KV cache is ready.
    Prefilled(Request, Attempt, Kv, Load),
    /// Orders import and generation in a reserved slot.
    Decode(Request, Attempt, Decode),
    /// Generated tokens: the offset of the first, and the text of each.
    Tokens(Request, Attempt, u32, Vec<Arc<str>>),
    /// The answer is whole: its length in tokens and how it ended.
    End(Request, Attempt, u32, Finish, Load),
    /// Orders a plain call.
    Forward(Request, Attempt, Forward),
    /// Head of a plain answer: status and headers.
    Head(Request, Attempt, u16, Vec<(Arc<str>, Arc<str>)>),
    /// Part of a plain answer's body, at an offset in bytes.
    Body(Request, Attempt, u64, #[serde(with = "serde_bytes")] Vec<u8>),
    /// A plain answer is whole: its length in bytes.
    BodyEnd(Request, Attempt, u64, Load),
    /// The attempt was refused or failed.
    Failed(Request, Attempt, Failure, Load),
    /// The caller is gone or the attempt is given up: stop and free everything.
    Cancel(Request, Attempt),
    /// Continue an answer on this connection from an offset (tokens or bytes).
    Resume(Request, Attempt, u64),
    /// The answer has arrived whole: forget it.
    Done(Request, Attempt),

    /// Asks a peer to vouch for this member; answered by `Vouched` with the same number.
    Vouch {
        /// Number of the ask.
        ask: u64,
        /// Who asks.
        sender: Sender,
        /// Version of the table of members in force at the asker.
        members: u64,
        /// Version of the configuration in force at the asker.
        configuration: u64,
    },
    /// A peer vouches for the asker until a lease's length after the ask was sent.
    Vouched {
        /// Number of the ask.
        ask: u64,
        /// Who answers.
        sender: Sender,
        /// Version of the table of members in force at the answerer.
        members: u64,
        /// Whether the asker stands in that table with its incarnation.
        listed: bool,
        /// Version of the configuration in force at the answerer.
        configuration: u64,
        /// How old the answerer's confirmation of its configuration is, in milliseconds.
        confirmed_ms_ago: u64,
    },
    /// The table of members at the sender.
    Members {
        /// Version of the table, as the object interface counts it.
        version: u64,
        /// Its members.
        members: Vec<Member>,
    },
    /// Asks a peer for tokens of an organisation, to be spent at once.
    Borrow {
        /// Number of the ask.
        ask: u64,
        /// Organisation.
        organisation: Arc<str>,
        /// Tokens wanted.
        tokens: u64,
    },
    /// Tokens that a peer has debited from its own share.
    Lent {
        /// Number of the ask.
        ask: u64,
        /// Tokens lent; may be fewer than wanted.
        tokens: u64,
    },

    /// What an entry host that calls backend servers directly tells its peers.
    News(Box<News>),
    /// Asks a peer for what it knows and the sender doesn't: a newer configuration than this
    /// version, and the backend servers unless their digest is this one.
    Want {
        /// Version of the configuration in force at the sender.
        configuration: u64,
        /// Digest of the backend servers that the sender knows.
        servers: u64,
        /// What organisations have spent, since the sender has just started and knows nothing of it.
        accounts: bool,
    },
    /// The backend servers that the sender knows.
    Servers(Vec<ServerRecord>),
    /// What organisations have spent lately.
    Accounts(Vec<AccountReport>),
}

/// A generation on an engine, as its host tells peers. All counts are in tokens. On the wire it is
/// an array, since hosts tell of it often.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u32; 4]", into = "[u32; 4]")]
pub struct GenerationReport {
    /// What it holds: its prompt and what it has made.
    pub context: u32,
    /// What it has made.
    pub made: u32,
    /// Estimate of its whole answer.
    pub expected: u32,
    /// Longest answer.
    pub most: u32,
}

impl From<[u32; 4]> for GenerationReport {
    fn from([context, made, expected, most]: [u32; 4]) -> GenerationReport {
        GenerationReport { context, made, expected, most }
    }
}

impl From<GenerationReport> for [u32; 4] {
    fn from(run: GenerationReport) -> [u32; 4] {
        [run.context, run.made, run.expected, run.most]
    }
}

/// What a host has under way at an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The backend server's name.
    pub server: Arc<str>,
    /// Generations.
    pub runs: Vec<GenerationReport>,
    /// Prompt tokens that wait to be prefilled.
    pub prefilling: u32,
}

/// What a host's requests to a service are like, on average.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Service.
    pub service: Arc<str>,
    /// Requests that were seen.
    pub seen: u32,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Memory over time, in tokens times milliseconds.
    pub token_ms: u64,
}

/// What a host tells its peers: each news replaces the one before.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// Version of the configuration in force; 0 for none.
    pub configuration: u64,
    /// Whether the platform's store answers this host.
    pub store: bool,
    /// How long ago a call of this host to the store went unanswered, in milliseconds; absent where
    /// none did lately.
    pub doubted_ms: Option<u32>,
    /// Digest of the backend servers that this host knows.
    pub servers: u64,
    /// Version of the store up to which it knows all of them; 0 where it doesn't.
    #[serde(default)]
    pub servers_version: u64,
    /// How long the host's process has run, in milliseconds.
    pub age_ms: u64,
    /// Tokens spent since the host started, by organisation, less those handed back.
    pub spent: Vec<(Arc<str>, i64)>,
    /// Engines at which something is under way.
    pub engines: Vec<EngineReport>,
    /// Ages of the requests that wait, in milliseconds, the oldest first.
    pub waiting: Vec<u32>,
    /// Backend servers that the host passes over.
    pub failing: Vec<Arc<str>>,
    /// Backend servers that failed the host lately.
    pub doubtful: Vec<Arc<str>>,
    /// What the host's requests are like, by service.
    pub demand: Vec<DemandReport>,
    /// Engines that change their stage, and for how much longer, in milliseconds.
    pub changing: Vec<(Arc<str>, u32)>,
    /// Callers that were refused lately: a hash of what they asked for, and how long ago they came
    /// first, in milliseconds.
    pub refused: Vec<(u64, u32)>,
    /// Whether the host is about to give orders to engines.
    #[serde(default)]
    pub ordering: bool,
    /// Hosts that the host does not hear, and for how long, in milliseconds.
    #[serde(default)]
    pub unheard: Vec<(Arc<str>, u32)>,
}

/// What an organisation has spent lately.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountReport {
    /// The organisation.
    pub organisation: Arc<str>,
    /// Tokens that are left of its bucket; negative where more were spent.
    pub level: i64,
    /// What was spent in the window: how long ago in milliseconds, and tokens.
    pub spent: Vec<(u32, u64)>,
}

/// A backend server, as the platform's store lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Name.
    pub name: Arc<str>,
    /// Version of its entry.
    pub version: u64,
    /// Its entry's JSON.
    #[serde(with = "serde_bytes")]
    pub entry: Vec<u8>,
}
