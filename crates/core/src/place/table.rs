//! Table of the servers and their last known state.
//!
//! A slot is the capacity of a server to run one request. Each server's side process sends its load reports.

pub use crate::health::FAILURE_BACKOFF;
use crate::health::Health;
use crate::time::Instant;
use chestnutrack_document::model::Role;
use slotmap::SlotMap;
use std::sync::Arc;
use std::time::Duration;

/// Age from which a load report loses weight, and age at which it has none; between them the weight falls
/// linearly.
pub const LOAD_STALE: (Duration, Duration) =
    (Duration::from_millis(1_000), Duration::from_millis(4_000));
/// Minimum time for which a server is not chosen after it refused a request because it was full.
pub const FULL_BACKOFF_MIN: Duration = Duration::from_millis(20);
/// Maximum time for which a server is not chosen after it refused a request because it was full.
pub const FULL_BACKOFF_MAX: Duration = Duration::from_millis(250);

slotmap::new_key_type! {
    /// Key of a backend server in the table.
    pub struct Key;
}

/// A server's load, as reported by its side process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Slots in use or reserved.
    pub used: u32,
    /// Number of requests that are waiting for a slot.
    pub waiting: u32,
    /// KV cache in use or reserved, in tokens.
    pub kv_used: u64,
    /// Time until a slot is expected to become free, in milliseconds.
    pub free_in_ms: u32,
    /// Work that is queued before a new prefill, in prompt tokens.
    pub queued_tokens: u64,
}

/// Configuration and last known state of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Name.
    pub name: Arc<str>,
    /// Pool.
    pub pool: Arc<str>,
    /// Role.
    pub role: Role,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Engine memory, in tokens whose KV cache fits in it.
    pub kv_tokens: u64,
    /// Whether the document (the service's configuration) or the host list marks the server as leaving.
    pub leaving: bool,
    /// Whether the server's side process reports that it is draining.
    pub draining: bool,
    /// Whether the server's side process is connected.
    pub connected: bool,
    /// Last load report.
    pub load: Load,
    /// When the last load report was received.
    pub reported_at: Instant,
    /// Number of this host's requests that were sent to the server and have not ended, whether the load
    /// report counts them or not.
    pub in_flight: u32,
    /// Number of requests that this host has sent since the last load report, which doesn't count them.
    pub sent_since_report: u32,
    /// Prompt tokens of the requests that this host has sent since the last load report.
    pub tokens_sent_since_report: u64,
    /// Time until which the server is considered full.
    pub full_until: Instant,
    /// Recent failures.
    pub health: Health,
}

impl Server {
    /// Creates a server of which only the configuration is known: it isn't connected, and has one slot, no
    /// memory and no load until they are set.
    pub fn new(name: Arc<str>, pool: Arc<str>, role: Role, failure_domain: Arc<str>) -> Server {
        Server {
            name,
            pool,
            role,
            failure_domain,
            slots: 1,
            kv_tokens: 0,
            leaving: false,
            draining: false,
            connected: false,
            load: Load::default(),
            reported_at: Instant::default(),
            in_flight: 0,
            sent_since_report: 0,
            tokens_sent_since_report: 0,
            full_until: Instant::default(),
            health: Health::default(),
        }
    }

    /// Returns `true` if the server accepts new work.
    pub fn is_available(&self) -> bool {
        self.connected && !self.leaving && !self.draining
    }

    /// Returns `true` if the server may be chosen despite its recent failures.
    pub fn is_healthy(&self, now: Instant) -> bool {
        self.health.is_available(now, self.in_flight)
    }

    /// Returns the number of slots expected to be occupied or requested, in thousandths of a slot.
    ///
    /// This is the larger of two numbers: the slots according to the last load report and the requests sent
    /// since, which lose weight as the report ages, and this host's own requests, which always count in
    /// full. A fresh report counts this host's requests among those of all hosts.
    pub fn expected_used_milli(&self, now: Instant) -> u64 {
        let reported_milli =
            u64::from(self.load.used + self.load.waiting + self.sent_since_report) * 1_000;
        let own_milli = u64::from(self.in_flight) * 1_000;
        let (stale_from, stale_to) = LOAD_STALE;
        let age = now.since(self.reported_at).clamp(stale_from, stale_to);
        let weight = u64::try_from((stale_to - age).as_millis()).unwrap_or(0);
        let full_weight = u64::try_from((stale_to - stale_from).as_millis()).unwrap_or(1).max(1);
        own_milli.max(reported_milli * weight / full_weight)
    }

    /// Returns the number of prompt tokens expected to be queued before a new prefill.
    pub fn expected_queue_tokens(&self) -> u64 {
        self.load.queued_tokens + self.tokens_sent_since_report
    }

    /// Records that a request was sent to the server.
    pub fn record_sent(&mut self, tokens: u64) {
        self.in_flight += 1;
        self.sent_since_report += 1;
        self.tokens_sent_since_report += tokens;
    }

    /// Records that a request of this host has ended.
    pub fn record_finished(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records a load report.
    pub fn record_load(&mut self, now: Instant, load: Load) {
        self.load = load;
        self.reported_at = now;
        self.sent_since_report = 0;
        self.tokens_sent_since_report = 0;
    }

    /// Records that the server failed a request.
    pub fn record_failure(&mut self, now: Instant) {
        self.health.record_failure(now);
    }

    /// Records that the server answered a request.
    pub fn record_success(&mut self) {
        self.health.record_success();
    }

    /// Records that the server refused a request because it was full. The server is not chosen again for
    /// `retry_after`, the delay that it asked for, bounded by [`FULL_BACKOFF_MIN`] and [`FULL_BACKOFF_MAX`].
    pub fn record_full(&mut self, now: Instant, retry_after: Duration) {
        self.full_until = now + retry_after.clamp(FULL_BACKOFF_MIN, FULL_BACKOFF_MAX);
    }
}

/// Table of all servers.
pub type Table = SlotMap<Key, Server>;
