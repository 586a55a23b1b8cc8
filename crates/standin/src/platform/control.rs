//! Injected faults, counters, rate limits and the log of calls.

use super::Settings;
use crate::http::{Failure, failure};
use crate::request_log::Log;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// Reads one object.
    Read,
    /// Lists the objects of a kind.
    List,
    /// Writes an object.
    Write,
    /// Deletes an object.
    Delete,
    /// Watches a kind; counted once however long it waits.
    Watch,
    /// Reads the host list.
    Hosts,
}

impl CallKind {
    /// Returns the kind of a call with this method and path, or `None` if there is no such call.
    pub fn from_request(method: &str, path: &str) -> Option<CallKind> {
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        match (method, parts.as_slice()) {
            ("GET", ["v1", "hosts"]) => Some(CallKind::Hosts),
            ("GET", ["v1", "watch", _]) => Some(CallKind::Watch),
            ("GET", ["v1", "objects", _]) => Some(CallKind::List),
            ("GET", ["v1", "objects", _, _]) => Some(CallKind::Read),
            ("PUT", ["v1", "objects", _, _]) => Some(CallKind::Write),
            ("DELETE", ["v1", "objects", _, _]) => Some(CallKind::Delete),
            _ => None,
        }
    }

    /// Returns `true` for calls that the rate limit counts as writes.
    fn is_write(self) -> bool {
        matches!(self, CallKind::Write | CallKind::Delete)
    }
}

/// Faults that are injected now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// While set, every call's connection is cut without a response, and no call takes effect.
    pub down: bool,
    /// Delay of each call, in milliseconds: half before and half after it takes effect.
    pub delay_ms: u64,
    /// Number of next writes and deletions that take effect but whose connection is then cut
    /// without a response.
    pub lose_answers: u64,
    /// Minimum age of the state that reads and lists return, in milliseconds.
    pub stale_ms: u64,
}

/// Number of calls by kind and outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(super) struct Counts {
    read: u64,
    list: u64,
    write: u64,
    delete: u64,
    watch: u64,
    hosts: u64,
    /// Writes and deletions refused because the object had another version.
    pub(super) conflict: u64,
    /// Writes and deletions that took effect but got no response.
    lost: u64,
    /// Calls refused by the rate limit.
    refused: u64,
}

/// One call, as shown on `/control/seen`.
#[derive(Clone, Debug, Serialize)]
pub(super) struct LoggedCall {
    call: CallKind,
    method: String,
    target: String,
}

/// Token bucket that holds the calls of one second at most.
struct TokenBucket {
    per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

/// Injected faults, counters, the log of calls, and the rate limits of writes and of reads.
pub(super) struct Control {
    pub(super) faults: Faults,
    pub(super) counts: Counts,
    pub(super) log: Log<LoggedCall>,
    writes: TokenBucket,
    reads: TokenBucket,
}

impl Control {
    /// Creates the state without faults or calls, with full token buckets.
    pub(super) fn new(settings: &Settings) -> Control {
        Control {
            faults: Faults::default(),
            counts: Counts::default(),
            log: Log::default(),
            writes: TokenBucket::new(settings.writes_per_s),
            reads: TokenBucket::new(settings.reads_per_s),
        }
    }

    /// Counts and logs a call, and admits it if its rate limit allows.
    ///
    /// # Errors
    ///
    /// Status 429 if the call exceeds its rate limit.
    pub(super) fn admit(
        &mut self,
        call: CallKind,
        method: &str,
        target: &str,
    ) -> Result<(), Failure> {
        let counter = match call {
            CallKind::Read => &mut self.counts.read,
            CallKind::List => &mut self.counts.list,
            CallKind::Write => &mut self.counts.write,
            CallKind::Delete => &mut self.counts.delete,
            CallKind::Watch => &mut self.counts.watch,
            CallKind::Hosts => &mut self.counts.hosts,
        };
        *counter += 1;
        self.log.push(LoggedCall { call, method: method.to_owned(), target: target.to_owned() });
        let bucket = if call.is_write() { &mut self.writes } else { &mut self.reads };
        if bucket.try_acquire() {
            return Ok(());
        }
        self.counts.refused += 1;
        Err(failure(429, "call", "too many calls"))
    }

    /// Applies the injected fault `lose_answers` to a write that took effect.
    ///
    /// # Errors
    ///
    /// [`Failure::Cut`] if the response must be lost.
    pub(super) fn lose_answer(&mut self) -> Result<(), Failure> {
        if self.faults.lose_answers == 0 {
            return Ok(());
        }
        self.faults.lose_answers -= 1;
        self.counts.lost += 1;
        Err(Failure::Cut)
    }
}

impl TokenBucket {
    /// Creates a full bucket that gains `per_s` tokens per second.
    fn new(per_s: u32) -> TokenBucket {
        let per_s = f64::from(per_s);
        TokenBucket { per_s, tokens: per_s, refilled_at: Instant::now() }
    }

    /// Refills the bucket and takes one token; returns `false` if there is none.
    fn try_acquire(&mut self) -> bool {
        let gained = self.refilled_at.elapsed().as_secs_f64() * self.per_s;
        self.tokens = (self.tokens + gained).min(self.per_s);
        self.refilled_at = Instant::now();
        let is_allowed = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(is_allowed));
        is_allowed
    }
}
