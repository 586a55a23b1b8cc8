//! This process's authority over the backend server: the epoch that it holds, and what happens
//! when the process was stopped or another one has taken over.

use super::decode::failure;
use super::event::{Connection, Effect};
use super::hold::{Key, Stage, Work};
use super::{Counter, Server};
use crate::time::Instant;
use chestnutrack_document::model::Role;
use chestnutrack_wire::Frame;
use chestnutrack_wire::frame::{Cause, Failure, Ran};
use std::sync::Arc;

/// Name under which a process that takes a server over introduces itself to the one before; no
/// entry host can have it.
pub fn successor_name(server: &str) -> Arc<str> {
    format!("side/{server}").into()
}

/// What is known of this process's authority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authority {
    /// Not claimed yet.
    None,
    /// Held under an epoch, which is the fencing number of orders.
    Held(u64),
    /// Held before this process was stopped; to be read again before the next order.
    Suspect(u64),
    /// Another process holds a newer epoch.
    Lost,
}

impl Authority {
    /// The fencing number, while orders may be given.
    pub fn fence(self) -> Option<u64> {
        match self {
            Authority::Held(epoch) => Some(epoch),
            _ => None,
        }
    }

    /// Whether orders may be given.
    pub fn is_held(self) -> bool {
        matches!(self, Authority::Held(_))
    }

    /// Whether work may be taken in.
    pub fn is_usable(self) -> bool {
        matches!(self, Authority::Held(_) | Authority::Suspect(_))
    }

    /// Whether another process has taken over.
    pub fn is_lost(self) -> bool {
        self == Authority::Lost
    }
}

impl Server {
    /// Holds orders back if this process was stopped and the engine doesn't check the fencing
    /// number by itself.
    pub(super) fn detect_pause(&mut self, now: Instant) {
        let gap = now.since(self.last_event);
        self.last_event = self.last_event.max(now);
        if gap <= self.settings.pause_threshold {
            return;
        }
        self.count(Counter::Pauses);
        self.suspect();
    }

    /// Has the authority read again before the next order, where the engine doesn't check it.
    pub(super) fn suspect(&mut self) {
        // Beside a plain service nothing but the number of calls at a time depends on it.
        let ignores_fencing = self
            .config
            .as_ref()
            .is_none_or(|server| !server.checks_fencing && server.role != Role::Plain);
        if let (Authority::Held(epoch), true) = (self.authority, ignores_fencing) {
            self.authority = Authority::Suspect(epoch);
            self.effects.push(Effect::RecheckAuthority(epoch));
        }
    }

    /// Takes the news that another process claims the server: looks whether that is so.
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

    fn notify_successors(&mut self) {
        for connection in std::mem::take(&mut self.successors) {
            self.effects.push(Effect::Send(connection, Frame::Leaving));
        }
    }

    pub(super) fn authority_changed(&mut self, now: Instant, authority: Authority) {
        let first = self.authority == Authority::None && authority.is_held();
        self.authority = authority;
        match authority {
            Authority::Held(_) if first => self.start_reconcile(now),
            Authority::Held(_) => self.send_pending(),
            Authority::Lost => self.step_down(now),
            Authority::None | Authority::Suspect(_) => {}
        }
        self.changed = true;
    }

    /// Notes that the engine has refused an order's fencing number.
    pub(super) fn fenced(&mut self, ran: Ran) -> Failure {
        if let Some(epoch) = self.authority.fence() {
            self.authority = Authority::Suspect(epoch);
            self.effects.push(Effect::RecheckAuthority(epoch));
        }
        failure(Cause::Fenced, ran)
    }

    /// Gives up all work without another order: the process with the newer epoch frees it.
    fn step_down(&mut self, now: Instant) {
        let keys: Vec<Key> = self.holds.keys().collect();
        for key in keys {
            let not_sent = self.drop_pending(key);
            let Some(hold) = self.holds.get(key) else { continue };
            let ran = match (hold.stage, &hold.work) {
                (Stage::Freeing { .. } | Stage::Ended { .. }, _) => None,
                (_, Work::Forward(None)) => continue,
                _ if not_sent => Some(Ran::NotRun),
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

    fn remove_freeing(&mut self, now: Instant, key: Key) {
        if self.is_plain(key) {
            return;
        }
        if matches!(self.holds.get(key).map(|hold| hold.stage), Some(Stage::Freeing { .. })) {
            self.remove(now, key);
        }
    }
}
