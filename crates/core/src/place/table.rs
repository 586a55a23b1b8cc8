//! The table of servers and what is known of each.

pub use crate::health::FAILING_FOR;
use crate::health::Health;
use crate::time::Instant;
use chestnutrack_document::model::Role;
use slotmap::SlotMap;
use std::sync::Arc;
use std::time::Duration;

/// Age from which a report of load counts less, and age at which it says nothing any more.
pub const LOAD_STALE: (Duration, Duration) =
    (Duration::from_millis(1_000), Duration::from_millis(4_000));
/// Shortest time for which a server that refused for want of room is passed over.
pub const FULL_BACKOFF_MIN: Duration = Duration::from_millis(20);
/// Longest time for which a server that refused for want of room is passed over.
pub const FULL_BACKOFF_MAX: Duration = Duration::from_millis(250);

slotmap::new_key_type! {
    /// A backend server in the table.
    pub struct Key;
}

/// A server's load, as its side process reported_at it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Slots in use or reserved.
    pub used: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// KV cache in use or reserved, in tokens.
    pub kv_used: u64,
    /// When a slot is expected to be free, in milliseconds.
    pub free_in_ms: u32,
    /// Work queued before a new prefill, in prompt tokens.
    pub queued_tokens: u64,
}

/// One backend server.
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
    /// Requests that it can run at once.
    pub slots: u32,
    /// Engine memory, in tokens.
    pub kv_tokens: u64,
    /// Whether the document or the host list says that it leaves.
    pub leaving: bool,
    /// Whether its side process says that it leaves.
    pub draining: bool,
    /// Whether its side process can be reached.
    pub connected: bool,
    /// Its last report.
    pub load: Load,
    /// When the last report came.
    pub reported_at: Instant,
    /// Requests of this host that hold or ask for a slot.
    pub in_flight: u32,
    /// Requests sent there since the last report.
    pub sent: u32,
    /// Prompt tokens sent there since the last report.
    pub sent_tokens: u64,
    /// It has no room until then.
    pub full_until: Instant,
    /// Its failures.
    pub health: Health,
}

impl Server {
    /// A server of which nothing is known yet.
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
            sent: 0,
            sent_tokens: 0,
            full_until: Instant::default(),
            health: Health::default(),
        }
    }

    /// Whether it may get new work.
    pub fn is_available(&self) -> bool {
        self.connected && !self.leaving && !self.draining
    }

    /// Whether it may be tried, as far as its failures say.
    pub fn is_healthy(&self, now: Instant) -> bool {
        self.health.is_sound(now, self.in_flight)
    }

    /// Slots expected to be taken or asked for, in thousandths of a slot. A report counts less
    /// the older it is; this host's own requests always count.
    pub fn expected_used_milli(&self, now: Instant) -> u64 {
        let known = u64::from(self.load.used + self.load.waiting + self.sent) * 1_000;
        let own = u64::from(self.in_flight) * 1_000;
        let (from, to) = LOAD_STALE;
        let age = now.since(self.reported_at).clamp(from, to);
        let fresh = u64::try_from((to - age).as_millis()).unwrap_or(0);
        let whole = u64::try_from((to - from).as_millis()).unwrap_or(1).max(1);
        own.max(known * fresh / whole)
    }

    /// Prompt tokens expected to be before a new prefill.
    pub fn expected_queue_tokens(&self) -> u64 {
        self.load.queued_tokens + self.sent_tokens
    }

    /// Notes a request that goes there.
    pub fn record_sent(&mut self, tokens: u64) {
        self.in_flight += 1;
        self.sent += 1;
        self.sent_tokens += tokens;
    }

    /// Notes that a request of this host has left.
    pub fn record_finished(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Notes a report.
    pub fn record_load(&mut self, now: Instant, load: Load) {
        self.load = load;
        self.reported_at = now;
        self.sent = 0;
        self.sent_tokens = 0;
    }

    /// Notes that it failed a request.
    pub fn record_failure(&mut self, now: Instant) {
        self.health.note_failed(now);
    }

    /// Notes that it answered a request.
    pub fn record_success(&mut self) {
        self.health.note_answered();
    }

    /// Notes that it refused for want of room, and when it says that it may be asked again.
    pub fn record_full(&mut self, now: Instant, retry_after: Duration) {
        self.full_until = now + retry_after.clamp(FULL_BACKOFF_MIN, FULL_BACKOFF_MAX);
    }
}

/// All servers.
pub type Table = SlotMap<Key, Server>;
