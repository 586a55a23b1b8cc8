//! Faults, counts and what was seen.

use super::Settings;
use crate::http::{Refusal, refusal};
use crate::request_log::Log;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// Read of one object.
    Read,
    /// List of a kind.
    List,
    /// Write.
    Write,
    /// Deletion.
    Delete,
    /// Watch of a kind, counted once however long it waits.
    Watch,
    /// Host list.
    Hosts,
}

impl CallKind {
    /// The kind of a call by its method and path.
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

    fn is_write(self) -> bool {
        matches!(self, CallKind::Write | CallKind::Delete)
    }
}

/// Faults in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// Every call's connection is cut without an answer; nothing takes effect.
    pub down: bool,
    /// Delay of each call, half of it before it takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Writes still to come that take effect and whose connection is then cut.
    pub lose_answers: u64,
    /// Age of what reads and lists show, in milliseconds.
    pub stale_ms: u64,
}

/// Counts of calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(super) struct Counts {
    read: u64,
    list: u64,
    write: u64,
    delete: u64,
    watch: u64,
    hosts: u64,
    /// Writes that met another version.
    pub(super) conflict: u64,
    /// Writes whose answer was lost.
    lost: u64,
    /// Calls beyond the rate.
    refused: u64,
}

/// One call, as `/control/seen` shows it.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Seen {
    call: CallKind,
    method: String,
    target: String,
}

/// Calls allowed in a second, and those left of it.
struct Budget {
    per_s: f64,
    left: f64,
    filled: Instant,
}

pub(super) struct Control {
    pub(super) faults: Faults,
    pub(super) counts: Counts,
    pub(super) seen: Log<Seen>,
    writes: Budget,
    reads: Budget,
}

impl Control {
    pub(super) fn new(settings: &Settings) -> Control {
        Control {
            faults: Faults::default(),
            counts: Counts::default(),
            seen: Log::default(),
            writes: Budget::new(settings.writes_per_s),
            reads: Budget::new(settings.reads_per_s),
        }
    }

    pub(super) fn count(
        &mut self,
        call: CallKind,
        method: &str,
        target: &str,
    ) -> Result<(), Refusal> {
        let counter = match call {
            CallKind::Read => &mut self.counts.read,
            CallKind::List => &mut self.counts.list,
            CallKind::Write => &mut self.counts.write,
            CallKind::Delete => &mut self.counts.delete,
            CallKind::Watch => &mut self.counts.watch,
            CallKind::Hosts => &mut self.counts.hosts,
        };
        *counter += 1;
        self.seen.push(Seen { call, method: method.to_owned(), target: target.to_owned() });
        let budget = if call.is_write() { &mut self.writes } else { &mut self.reads };
        if budget.take() {
            return Ok(());
        }
        self.counts.refused += 1;
        Err(refusal(429, "call", "too many calls"))
    }

    /// Whether the answer to a write that took effect reaches its writer.
    pub(super) fn lose_answer(&mut self) -> Result<(), Refusal> {
        if self.faults.lose_answers == 0 {
            return Ok(());
        }
        self.faults.lose_answers -= 1;
        self.counts.lost += 1;
        Err(Refusal::Cut)
    }
}

impl Budget {
    fn new(per_s: u32) -> Budget {
        let per_s = f64::from(per_s);
        Budget { per_s, left: per_s, filled: Instant::now() }
    }

    fn take(&mut self) -> bool {
        let gained = self.filled.elapsed().as_secs_f64() * self.per_s;
        self.left = (self.left + gained).min(self.per_s);
        self.filled = Instant::now();
        let allowed = self.left >= 1.0;
        self.left -= f64::from(u8::from(allowed));
        allowed
    }
}
