//! The side process's authority over its backend server: the epoch it holds, and how it reacts when
//! it was paused or another process has taken over.
//!
//! The epoch is the fencing number of the orders to the engine; an engine that checks fencing
//! numbers rejects an order whose number is older than one that it has seen.

use super::decode::failure;
use super::event::{Connection, Effect};
use super::hold::{Key, Stage, Work};
use super::{Counter, Server};
use crate::time::Instant;
use chestnutrack_document::model::Role;
use chestnutrack_wire::Frame;
use chestnutrack_wire::frame::{Cause, Failure, Ran};
use std::sync::Arc;

/// Returns the name under which a replacement side process introduces itself to the process it
/// replaces. No entry host can have this name.
pub fn successor_name(server: &str) -> Arc<str> {
    format!("side/{server}").into()
}

/// State of this process's authority over the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authority {
    /// The process has not acquired authority yet.
    None,
    /// The process holds authority under this epoch, which is the fencing number of its orders.
    Held(u64),
    /// The process held authority under this epoch, but it was paused, another process claims the
    /// server, or the engine rejected the fencing number. Authority must be checked before the next
    /// order.
    Suspect(u64),
    /// Another process holds a newer epoch.
    Lost,
}

impl Authority {
    /// Returns the fencing number if orders may be sent.
    pub fn fence(self) -> Option<u64> {
        match self {
            Authority::Held(epoch) => Some(epoch),
            _ => None,
        }
    }

    /// Returns `true` if orders may be sent.
    pub fn is_held(self) -> bool {
        matches!(self, Authority::Held(_))
    }

    /// Returns `true` if new work may be accepted. While authority is being checked, work is
    /// accepted, but its orders are withheld.
    pub fn is_usable(self) -> bool {
        matches!(self, Authority::Held(_) | Authority::Suspect(_))
    }

    /// Returns `true` if another process has taken over.
    pub fn is_lost(self) -> bool {
        self == Authority::Lost
    }
}

impl Server {
    /// Detects that this process was paused, and then withholds orders if the engine doesn't check
    /// fencing numbers itself.
    pub(super) fn detect_pause(&mut self, now: Instant) {
        let pause = now.since(self.last_event);
        self.last_event = self.last_event.max(now);
        if pause <= self.settings.pause_threshold {
            return;
        }
        self.count(Counter::Pauses);
        self.suspect();
    }

    /// Requires authority to be checked before the next order, unless the engine checks fencing
    /// numbers itself or the server is a plain service.
    pub(super) fn suspect(&mut self) {
        // Plain services are exempt: on them, authority guards nothing but the limit on concurrent
        // calls.
        let needs_recheck = self
            .config
            .as_ref()
            .is_none_or(|server| !server.checks_fencing && server.role != Role::Plain);
        if let (Authority::Held(epoch), true) = (self.authority, needs_recheck) {
            self.authority = Authority::Suspect(epoch);
            self.effects.push(Effect::RecheckAuthority(epoch));
        }
    }

    /// Handles the hello of a replacement side process, which claims the server: checks whether
    /// this process still holds authority.
    pub(super) fn handle_successor(&mut self, connection: Connection) {
        self.successors.push(connection);
        match self.authority {
            Authority::Held(epoch) => {
                self.authority = Authority::Suspect(epoch);
                self.effects.push(Effect::RecheckAuthority(epoch));
            }
            Authority::Lost => self.notify_successors(),
            Authority::None | Authority::Suspect(_) => {}
        }
    }

    /// Tells the replacement side processes that this process has stepped down.
    fn notify_successors(&mut self) {
        for connection in std::mem::take(&mut self.successors) {
            self.effects.push(Effect::Send(connection, Frame::Leaving));
        }
    }

    /// Records a change of authority or the result of a check. When authority is first held,
    /// reconciliation with the engine starts. When it is confirmed, withheld orders are sent. When
    /// it is lost, this process steps down.
    pub(super) fn set_authority(&mut self, now: Instant, authority: Authority) {
        let is_first = self.authority == Authority::None && authority.is_held();
        self.authority = authority;
        match authority {
            Authority::Held(_) if is_first => self.start_reconcile(now),
            Authority::Held(_) => self.send_pending(),
            Authority::Lost => self.step_down(now),
            Authority::None | Authority::Suspect(_) => {}
        }
        self.needs_assignment = true;
    }

    /// Handles the engine's rejection of an order's fencing number: requires authority to be
    /// checked, and returns the failure.
    pub(super) fn handle_fenced(&mut self, ran: Ran) -> Failure {
        if let Some(epoch) = self.authority.fence() {
            self.authority = Authority::Suspect(epoch);
            self.effects.push(Effect::RecheckAuthority(epoch));
        }
        failure(Cause::Fenced, ran)
    }

    /// Fails the holds that wait or run, and drops the withheld orders, without sending further
    /// orders: the process with the newer epoch frees the holds on the engine. Calls that a plain
    /// service is answering continue, and complete answers can still be resumed. Each failure says
    /// whether the attempt has run.
    fn step_down(&mut self, now: Instant) {
        let keys: Vec<Key> = self.holds.keys().collect();
        for key in keys {
            let start_not_sent = self.drop_pending(key);
            let Some(hold) = self.holds.get(key) else { continue };
            let ran = match (hold.stage, &hold.work) {
                (Stage::Freeing { .. } | Stage::Ended { .. }, _) => None,
                (_, Work::Forward(None)) => continue,
                _ if start_not_sent => Some(Ran::NotRun),
                (Stage::Waiting { .. } | Stage::Reserved { .. } | Stage::Arrived { .. }, _) => {
                    Some(Ran::NotRun)
                }
                _ => Some(Ran::Ran),
            };
            if let Some(ran) = ran {
                self.fail(now, key, failure(Cause::Fenced, ran));
            }
            self.remove_freeing(now, key);
        }
        self.pending.clear();
        self.notify_successors();
    }

    /// Removes a hold that is being freed, without waiting for the engine to confirm it. Skips
    /// calls to a plain service, for which there is no engine.
    fn remove_freeing(&mut self, now: Instant, key: Key) {
        if self.is_plain(key) {
            return;
        }
        if matches!(self.holds.get(key).map(|hold| hold.stage), Some(Stage::Freeing { .. })) {
            self.remove(now, key);
        }
    }
}
