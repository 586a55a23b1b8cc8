//! Frame types: the messages between entry hosts and side processes, and the gossip between hosts.
//!
//! A side process runs beside a backend server and admits requests to it. An attempt is one try to serve
//! a request at a backend server. A reservation is a slot and memory that the side process keeps for an
//! attempt. To vouch for a process is to confirm, for one lease, that the process has the same version of
//! the table of members as the confirming peer, and that the table lists the process. The document is a
//! service's configuration.

use crate::id::{Attempt, Request};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Version of the frame format; a peer with a higher major version is refused with a typed error.
pub const VERSION: u32 = 1;

/// Identity of the sending process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Sender {
    /// Name given in the process's settings.
    pub name: Arc<str>,
    /// Random number drawn when the process started.
    pub incarnation: u64,
}

/// Whether a refused or failed request ran on the backend server, and so may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// The backend server did not run the request.
    NotRun,
    /// The backend server ran the request, at least in part.
    Ran,
    /// The backend server may have run the request.
    Unknown,
}

impl Ran {
    /// Returns the value of the `x-chestnutrack-ran` response header.
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
    /// No slot or memory becomes free in time.
    Full,
    /// The backend server is draining.
    Leaving,
    /// The deadline can no longer be met.
    Deadline,
    /// The reservation is unknown, or its lease has expired.
    ReservationLapsed,
    /// The KV cache was evicted before its transfer.
    KvLost,
    /// The backend server failed or refused the request.
    Backend,
    /// The side process lost its authority over the backend server.
    Fenced,
    /// The request was cancelled.
    Cancelled,
    /// The side process has no configuration yet, or the request doesn't match it.
    Unconfigured,
    /// The frame is not valid in the request's current state.
    Protocol,
}

/// Request for a slot and memory on a decode server, sent before the prefill starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reserve {
    /// Organisation that the request runs for.
    pub organisation: Arc<str>,
    /// Whether interactive requests take precedence over it.
    pub may_wait: bool,
    /// KV cache size at the end of the generation (prompt and longest answer), in tokens.
    pub kv_tokens: u32,
    /// Size of the KV cache that will be transferred over the link, in tokens.
    pub transfer_tokens: u32,
    /// Longest answer, in tokens.
    pub output_tokens: u32,
    /// Longest wait for a slot, in milliseconds; with 0 the reservation is granted or refused at once.
    pub wait_ms: u32,
    /// Expected time from the reservation to the arrival of the KV cache, in milliseconds.
    pub needed_in_ms: u32,
}

/// Request to compute a prompt's KV cache.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Prefill {
    /// Organisation that the request runs for.
    pub organisation: Arc<str>,
    /// Whether interactive requests take precedence over it.
    pub may_wait: bool,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Size of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Longest time for the wait and the computation together, in milliseconds.
    pub deadline_ms: u32,
}

/// Location and size of a KV cache that another engine can import.
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

/// Request to import a KV cache into a reserved slot and to generate from it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decode {
    /// Location of the KV cache.
    pub kv: Kv,
    /// Longest answer, in tokens.
    pub output_tokens: u32,
}

/// HTTP call that is forwarded to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Forward {
    /// Organisation that the request runs for; absent on routes that need no key.
    pub organisation: Option<Arc<str>>,
    /// Whether interactive requests take precedence over it.
    pub may_wait: bool,
    /// Whether the side process may send the call to the server at most once.
    pub once: bool,
    /// HTTP method.
    pub method: Arc<str>,
    /// Path and query, without credentials.
    pub target: Arc<str>,
    /// Headers to forward, without credentials.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Longest wait for a slot, in milliseconds.
    pub wait_ms: u32,
    /// Longest time until the answer starts, in milliseconds.
    pub deadline_ms: u32,
}

/// Refusal or failure that ends an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Whether the attempt ran on the backend server.
    pub ran: Ran,
    /// Why the attempt ended.
    pub cause: Cause,
    /// Time after which to retry, in milliseconds; 0 if unknown.
    pub retry_after_ms: u32,
}

/// Load of a backend server as its side process sees it; other frames carry it too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Slots in use or reserved.
    pub used: u32,
    /// Total slots.
    pub slots: u32,
    /// Requests waiting for a slot.
    pub waiting: u32,
    /// KV cache in use or reserved, in tokens.
    pub kv_used: u64,
    /// Expected time until a slot is free, in milliseconds; 0 if a slot is free now.
    pub free_in_ms: u32,
    /// Prompt tokens queued ahead of a new prefill.
    pub queued_tokens: u64,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The model ended its answer.
    Stop,
    /// The answer reached its maximum length.
    Length,
}

impl Finish {
    /// Returns the value of the `finish_reason` field in answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Finish::Stop => "stop",
            Finish::Length => "length",
        }
    }
}

/// Entry of the table of members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name and incarnation.
    pub sender: Sender,
    /// Address at which peers reach the member.
    pub address: std::net::SocketAddr,
}

/// One message between two processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Frame {
    /// First frame in each direction of a connection.
    Hello {
        /// Version of the frame format; see [`VERSION`].
        version: u32,
        /// Identity of the sender.
        sender: Sender,
        /// Version of the configuration in force; 0 for none.
        configuration: u64,
    },
    /// Heartbeat, answered by `Pong` with the same number.
    Ping(u64),
    /// Answer to `Ping`.
    Pong(u64),
    /// The configuration in force at the sender.
    Configuration {
        /// Version of the document, as the object interface counts it.
        version: u64,
        /// The document's JSON.
        #[serde(with = "serde_bytes")]
        document: Vec<u8>,
    },
    /// The sender is draining: it accepts no new work and finishes what it has.
    Leaving,
    /// Load report of a side process for its backend server.
    Loaded(Load),

    /// Requests a reservation on a decode server.
    Reserve(Request, Attempt, Reserve),
    /// The reservation is granted. The number is the time until the KV transfer may start at the
    /// earliest, in milliseconds.
    Reserved(Request, Attempt, u32, Load),
    /// Requests a prefill.
    Prefill(Request, Attempt, Prefill),
    /// The prefill's KV cache is ready.
    Prefilled(Request, Attempt, Kv, Load),
    /// Requests an import and a generation in a reserved slot.
    Decode(Request, Attempt, Decode),
    /// Generated tokens: the offset of the first one and the text of each.
    Tokens(Request, Attempt, u32, Vec<Arc<str>>),
    /// A generated answer is complete: its length in tokens and how it ended.
    End(Request, Attempt, u32, Finish, Load),
    /// Forwards a call to a plain service.
    Forward(Request, Attempt, Forward),
    /// Head of a plain service's answer: status and headers.
    Head(Request, Attempt, u16, Vec<(Arc<str>, Arc<str>)>),
    /// Part of the body of a plain service's answer, at an offset in bytes.
    Body(Request, Attempt, u64, #[serde(with = "serde_bytes")] Vec<u8>),
    /// A plain service's answer is complete: the length of its body in bytes.
    BodyEnd(Request, Attempt, u64, Load),
    /// The attempt was refused or failed.
    Failed(Request, Attempt, Failure, Load),
    /// Stops the attempt and frees all that it holds: the caller disconnected or the attempt was
    /// abandoned.
    Cancel(Request, Attempt),
    /// Continues an answer on this connection from an offset, in tokens or bytes.
    Resume(Request, Attempt, u64),
    /// Acknowledges a complete answer, so that the side process can discard it.
    Done(Request, Attempt),

    /// Asks a peer to vouch for the sender; answered by `Vouched` with the same number.
    Vouch {
        /// Number of the request.
        ask: u64,
        /// Identity of the requester.
        sender: Sender,
        /// Version of the table of members in force at the requester.
        members: u64,
        /// Version of the configuration in force at the requester.
        configuration: u64,
    },
    /// Answers `Vouch`. If the requester is listed and both have the same version of the table, the
    /// peer vouches for it for one lease, counted from when the request was sent.
    Vouched {
        /// Number of the request.
        ask: u64,
        /// Identity of the responder.
        sender: Sender,
        /// Version of the table of members in force at the responder.
        members: u64,
        /// Whether that table contains the requester with its incarnation.
        listed: bool,
        /// Version of the configuration in force at the responder.
        configuration: u64,
        /// Age of the responder's confirmation of its configuration, in milliseconds; `u64::MAX` for
        /// none.
        confirmed_ms_ago: u64,
    },
    /// The sender's table of members.
    Members {
        /// Version of the table, as the object interface counts it.
        version: u64,
        /// Its members.
        members: Vec<Member>,
    },
    /// Asks a peer for tokens of an organisation's allowance, to be spent at once.
    Borrow {
        /// Number of the request.
        ask: u64,
        /// Organisation.
        organisation: Arc<str>,
        /// Tokens requested.
        tokens: u64,
    },
    /// Answers `Borrow`: tokens that the peer has debited from its own share.
    Lent {
        /// Number of the request.
        ask: u64,
        /// Tokens lent; may be fewer than requested.
        tokens: u64,
    },

    /// Gossip state of an entry host that calls backend servers directly.
    News(Box<News>),
    /// Asks a peer for state that the sender lacks: a configuration newer than `configuration`,
    /// and the backend servers unless their digest equals `servers`.
    Want {
        /// Version above which the peer's configuration is requested: 0 if the sender found it to be
        /// newer than its own, the peer's own version if none is requested.
        configuration: u64,
        /// Digest of the backend servers that the sender knows; the peer's own digest if none are
        /// requested.
        servers: u64,
        /// Whether to send the organisations' recent spending, which a host that has just started
        /// does not know.
        accounts: bool,
    },
    /// The backend servers that the sender knows.
    Servers(Vec<ServerRecord>),
    /// Recent spending of organisations.
    Accounts(Vec<AccountReport>),
    /// Which builds began streams.
    Origins {
        /// Streams that the sender knows.
        known: Vec<OriginReport>,
        /// Streams that were asked for and that the sender does not know.
        unknown: Vec<u64>,
    },
    /// Asks which builds began the streams with these numbers; answered by `Origins`.
    WantOrigins(Vec<u64>),
}

/// Which build began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReport {
    /// Number of the stream: a hash of the identifier of the request that brought its first event.
    pub stream: u64,
    /// Version of the software of the engine that began it.
    pub build: Arc<str>,
    /// Time within which the stream ends, in milliseconds.
    pub left_ms: u32,
    /// Whether the receiver is to write the report to the store.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub record: bool,
}

/// A build whose engines serve or have served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BuildReport {
    /// Service of the engines.
    pub service: Arc<str>,
    /// Version of their software.
    pub build: Arc<str>,
    /// Time since one of them was listed, in milliseconds.
    pub age_ms: u32,
}

/// A running generation as its host reports it to peers. All counts are in tokens. It is encoded
/// as an array to keep it small, since hosts send it often.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u32; 4]", into = "[u32; 4]")]
pub struct GenerationReport {
    /// Prompt and tokens generated so far.
    pub context: u32,
    /// Tokens generated so far.
    pub made: u32,
    /// Estimated length of the whole answer.
    pub expected: u32,
    /// Longest answer that the request allows.
    pub most: u32,
}

impl From<[u32; 4]> for GenerationReport {
    fn from([context, made, expected, most]: [u32; 4]) -> GenerationReport {
        GenerationReport { context, made, expected, most }
    }
}

impl From<GenerationReport> for [u32; 4] {
    fn from(report: GenerationReport) -> [u32; 4] {
        [report.context, report.made, report.expected, report.most]
    }
}

/// A host's in-flight work on one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The backend server's name.
    pub server: Arc<str>,
    /// Running generations.
    pub runs: Vec<GenerationReport>,
    /// Prompt tokens sent to the engine whose prefill is not finished.
    pub prefilling: u32,
}

/// Average demand of a host's requests to one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Service.
    pub service: Arc<str>,
    /// Number of requests observed.
    pub seen: u32,
    /// Prompt length, in tokens.
    pub prompt_tokens: u32,
    /// Answer length, in tokens.
    pub answer_tokens: u32,
    /// Product of the tokens held and the tokens generated, over a generation.
    pub held_by_generated: u64,
}

/// A server that has said in an answer that it is shutting down.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReport {
    /// Name of the server.
    pub server: Arc<str>,
    /// When it started, in milliseconds since 1970; absent if it doesn't say.
    pub born: Option<u64>,
}

/// What a host knows of the limit that a server states for the requests that it takes from all hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Name of the server.
    pub server: Arc<str>,
    /// When it started, in milliseconds since 1970; absent if it doesn't say.
    pub born: Option<u64>,
    /// What the server last told the host itself, if it did.
    pub statement: Option<LimitStatement>,
    /// What the host has sent under limits of the server, in thousandths of a request.
    pub sent: i64,
}

/// What a server has said of its limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitStatement {
    /// Thousandths of a request per second; absent if the server states no limit any more.
    pub rate: Option<u64>,
    /// Time since the server said so, in milliseconds.
    pub age_ms: u32,
}

/// An answer that broke off while an engine was writing it, or before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Break {
    /// Name of the engine.
    pub engine: Arc<str>,
    /// When the engine's process started, in milliseconds since 1970; absent if it doesn't say.
    pub born: Option<u64>,
    /// Hash that tells the request from others.
    pub request: u64,
    /// Parts of the request's prompt that other requests may have too, in order.
    pub parts: Vec<Arc<str>>,
    /// Time for which the engine had been writing the answer, in milliseconds; 0 if it had not begun.
    pub written_ms: u32,
}

/// Parts of prompts that are in quarantine together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldPattern {
    /// Identifiers of the parts.
    pub parts: BTreeSet<Arc<str>>,
    /// Identifies the decisions that put them there. Hosts may decide independently.
    pub decisions: BTreeSet<u64>,
    /// Time left in quarantine, in milliseconds.
    pub left_ms: u32,
    /// Time since the first of these decisions, in milliseconds.
    pub age_ms: u32,
    /// Time since the first crash that the parts account for, in milliseconds.
    pub first_crash_ms: u32,
}

/// What a host knows of parts of prompts that crash engines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineReport {
    /// Answers that broke off at the host lately, with the time since, in milliseconds.
    pub breaks: Vec<(u32, Break)>,
    /// Answers at the host that their engines survived, by part: the times since they began, in milliseconds.
    pub sound: Vec<(Arc<str>, Vec<u32>)>,
    /// Patterns in quarantine.
    pub held: Vec<HeldPattern>,
    /// Decisions that were revoked lately.
    pub revoked: Vec<u64>,
}

impl QuarantineReport {
    /// Returns `true` if the report says nothing.
    pub fn is_empty(&self) -> bool {
        *self == QuarantineReport::default()
    }
}

/// A host from which the sender hears.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// Name of the host.
    pub name: Arc<str>,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Address at which peers connect to it.
    pub address: Arc<str>,
}

/// Gossip state that a host sends to its peers; each message replaces the previous one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// Version that the configuration in force states; 0 for none.
    pub configuration: u64,
    /// Version of the store's object that holds the configuration in force; 0 if it is not known.
    #[serde(default)]
    pub configuration_object: u64,
    /// Whether the host can reach the platform's store.
    pub store: bool,
    /// Time since a call of the host to the store went unanswered, in milliseconds; absent if none
    /// did recently.
    pub doubted_ms: Option<u32>,
    /// Digest of the backend servers that the host knows.
    pub servers: u64,
    /// Version of the store up to which the host knows all backend servers; 0 if its list is not
    /// complete.
    #[serde(default)]
    pub servers_version: u64,
    /// Uptime of the host's process, in milliseconds.
    pub age_ms: u64,
    /// Tokens spent since the host started, less refunds, by organisation.
    pub spent: Vec<(Arc<str>, i64)>,
    /// Engines with in-flight work of this host.
    pub engines: Vec<EngineReport>,
    /// Ages of the waiting requests, in milliseconds, oldest first.
    pub waiting: Vec<u32>,
    /// Services of the requests in `waiting` and their places in the order of admission, in the same sequence: the rank of
    /// the priority, and 128 more for a request that is late. Lower ones are admitted first. The requests are sorted by it
    /// first and then by age.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub waiting_order: Vec<(Arc<str>, u8)>,
    /// Backend servers that the host currently excludes from placement.
    pub failing: Vec<Arc<str>>,
    /// Backend servers that recently failed a request of the host.
    pub doubtful: Vec<Arc<str>>,
    /// Average demand of the host's requests, by service.
    pub demand: Vec<DemandReport>,
    /// Engines that are changing their stage, and the remaining time, in milliseconds.
    pub changing: Vec<(Arc<str>, u32)>,
    /// Recently refused callers: a hash of the request, and the time since it first arrived, in
    /// milliseconds.
    pub refused: Vec<(u64, u32)>,
    /// Whether the host is about to send orders to engines.
    #[serde(default)]
    pub ordering: bool,
    /// Whether the host is shutting down.
    #[serde(default)]
    pub draining: bool,
    /// Servers that have told the host that they are shutting down.
    #[serde(default)]
    pub leaving: Vec<LeavingReport>,
    /// Limits of servers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitReport>,
    /// Epoch of the platform's store; it rises when the store comes back from a copy.
    #[serde(default)]
    pub store_epoch: u64,
    /// Parts of prompts that crash engines.
    #[serde(default, skip_serializing_if = "QuarantineReport::is_empty")]
    pub quarantine: QuarantineReport,
    /// Hosts that are unreachable from this host, and for how long, in milliseconds.
    #[serde(default)]
    pub unheard: Vec<(Arc<str>, u32)>,
    /// Builds of the services that have had several within the life of a stream.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub builds: Vec<BuildReport>,
    /// Whether the host knows all builds that may have begun a stream.
    #[serde(default)]
    pub builds_known: bool,
    /// Prompts that engines have prefilled for the host since its last heartbeat.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub prefixes: Vec<PrefixReport>,
    /// Evacuated failure domains; absent if the host does not follow them or knows no list yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<EvacuationReport>,
    /// Hosts of the same cell that the host hears: all of them in the first message of a connection, and afterwards those
    /// that it has heard for a short time.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub hosts: Vec<HostReport>,
    /// Number of hosts of all cells that the host knows, with itself; 0 if it doesn't say.
    #[serde(default)]
    pub fleet_size: u32,
    /// Whether the host has ended its last request, so that it spends nothing more.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub stopped: bool,
}

/// A prompt that an engine has prefilled, by its prefixes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixReport {
    /// Name of the engine.
    pub server: Arc<str>,
    /// When the engine's process started, in milliseconds since 1970.
    pub born: Option<u64>,
    /// Hash and length in tokens of each prefix, shortest first.
    pub prefixes: Vec<(u64, u32)>,
    /// Time since the prompt was prefilled, in milliseconds.
    pub age_ms: u32,
}

/// The evacuated failure domains that the platform's store listed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationReport {
    /// Version of the store up to which the list is known. The list of the highest version is in force.
    pub version: u64,
    /// The evacuated domains.
    pub domains: Vec<Arc<str>>,
}

/// Recent spending of an organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountReport {
    /// Name of the organisation.
    pub organisation: Arc<str>,
    /// Tokens remaining in its token bucket; negative if it is overdrawn.
    pub level: i64,
    /// Spending within the window: age in milliseconds, and tokens.
    pub spent: Vec<(u32, u64)>,
}

/// A backend server's entry in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Name of the backend server.
    pub name: Arc<str>,
    /// Version of the entry.
    pub version: u64,
    /// The entry's JSON.
    #[serde(with = "serde_bytes")]
    pub entry: Vec<u8>,
}
