//! Leases and timeouts, checked for the whole table of holds on every tick. A hold is what one
//! attempt of a request has of the server; it expires when the time of its stage is over.

use super::count::Reason;
use super::decode::failure;
use super::event::{Connection, Effect};
use super::hold::{Key, Stage, Work};
use super::{Counter, Server, owner};
use crate::time::Instant;
use chestnutrack_wire::frame::{Cause, Failure, Ran};
use std::collections::HashSet;
use std::time::Duration;

impl Server {
    /// Checks all leases and timeouts. If the tick comes late by more than half the heartbeat
    /// timeout, this process could not receive frames either, so the heartbeat timeouts are
    /// extended by the delay.
    pub(super) fn tick(&mut self, now: Instant, delay: Duration) {
        if delay > self.settings.heartbeat_timeout / 2 {
            self.owners.shift_last_seen(delay);
        }
        self.close_unresponsive(now);
        self.free_detached(now);
        self.expire_holds(now);
        self.reopen_streams(now);
        self.retry_cancels(now);
        self.reconcile_tick(now);
        self.remove_idle_owners(now);
        self.needs_assignment = true;
    }

    /// Handles a closed connection. The holds whose answers it received can be resumed on a new
    /// one.
    pub(super) fn handle_disconnect(&mut self, now: Instant, connection: Connection) {
        self.owners.disconnect(connection);
        self.detach(now, connection);
    }

    /// Starts the resume grace period of every hold whose answer is sent on the connection.
    pub(super) fn detach(&mut self, now: Instant, connection: Connection) {
        for hold in self.holds.values_mut() {
            if hold.connection == Some(connection) {
                hold.connection = None;
                hold.detached_since = Some(now);
            }
        }
    }

    /// Closes connections on which no frame was received within the heartbeat timeout. The timeout
    /// is shorter for connections that receive the answer of a hold.
    fn close_unresponsive(&mut self, now: Instant) {
        let live_connections: HashSet<_> =
            self.holds.values().filter_map(|hold| hold.connection).collect();
        let unresponsive = self.owners.iter().filter_map(|(_, owner)| {
            let connection = owner.connection?;
            let timeout = match live_connections.contains(&connection) {
                true => self.settings.heartbeat_timeout,
                false => self.settings.idle_heartbeat_timeout,
            };
            (now.since(owner.last_seen) > timeout).then_some(connection)
        });
        let unresponsive: Vec<_> = unresponsive.collect();
        for connection in unresponsive {
            self.effects.push(Effect::Close(connection));
            self.handle_disconnect(now, connection);
        }
    }

    /// Frees holds that were not resumed within the grace period after their connection was closed.
    fn free_detached(&mut self, now: Instant) {
        let grace = self.settings.resume_grace;
        let expired = self.holds.iter().filter(|(_, hold)| {
            let since = hold.detached_since;
            since.is_some_and(|since| now.since(since) > grace)
        });
        let expired: Vec<Key> = expired.map(|(key, _)| key).collect();
        for key in expired {
            self.abandon(now, key);
        }
    }

    /// Removes an incarnation of an entry host that is known to be gone, frees all its holds and
    /// closes its connection.
    pub(super) fn remove_owner(&mut self, now: Instant, owner: owner::Key) {
        let held = self.holds.iter().filter(|(_, hold)| hold.owner == owner);
        let held: Vec<Key> = held.map(|(key, _)| key).collect();
        for key in held {
            self.abandon(now, key);
        }
        if let Some(connection) = self.owners.remove(owner) {
            self.effects.push(Effect::Close(connection));
        }
    }

    /// Frees a hold whose owner is gone, unless it is already being freed. The attempt is
    /// remembered as ended without a failure, and none is sent.
    fn abandon(&mut self, now: Instant, key: Key) {
        let Some(hold) = self.holds.get_mut(key) else { return };
        if matches!(hold.stage, Stage::Freeing { .. }) {
            return;
        }
        let id = hold.id;
        self.count(Counter::Freed(Reason::OwnerGone));
        self.ended.add(now, id, None);
        self.free(now, key);
    }

    /// Ends every hold whose stage has lasted too long. While the server is leaving, reservations
    /// end when the leaving grace period is over, even if their lease is longer.
    fn expire_holds(&mut self, now: Instant) {
        let is_leaving_grace_over =
            self.leaving_since.is_some_and(|since| now.since(since) > self.settings.leaving_grace);
        let due = self.holds.iter().filter_map(|(key, hold)| {
            let expiry = match hold.stage {
                Stage::Waiting { until, .. } if until < now => {
                    Expiry::Refused(timeout_cause(&hold.work))
                }
                Stage::Reserved { .. } if is_leaving_grace_over => Expiry::Refused(Cause::Leaving),
                Stage::Reserved { until, .. } if until < now => {
                    Expiry::Refused(Cause::ReservationLapsed)
                }
                Stage::Arrived { until, .. } if until < now => Expiry::Refused(Cause::KvLost),
                Stage::Calling { until: Some(until) } if until < now => Expiry::Unknown,
                Stage::Prefilled { until } | Stage::Ended { until } if until < now => {
                    Expiry::Lapsed
                }
                _ => return None,
            };
            Some((key, expiry))
        });
        let due: Vec<_> = due.collect();
        for (key, expiry) in due {
            self.expire_hold(now, key, expiry);
        }
    }

    /// Ends a hold as `expiry` says. A retry time is sent only if the server is full.
    fn expire_hold(&mut self, now: Instant, key: Key, expiry: Expiry) {
        match expiry {
            Expiry::Refused(cause) => {
                let retry_after_ms = match cause {
                    Cause::Full => self.retry_after_ms(now),
                    _ => 0,
                };
                self.fail(now, key, Failure { ran: Ran::NotRun, cause, retry_after_ms });
            }
            Expiry::Unknown => self.fail(now, key, failure(Cause::Deadline, Ran::Unknown)),
            Expiry::Lapsed => {
                self.count(Counter::Freed(Reason::Lapsed));
                self.free(now, key);
            }
        }
    }

    /// Refuses all waiting holds because the server is leaving.
    pub(super) fn refuse_waiting(&mut self, now: Instant) {
        let waiting = self.holds.iter().filter(|(_, hold)| super::capacity::is_waiting(hold));
        let waiting: Vec<Key> = waiting.map(|(key, _)| key).collect();
        for key in waiting {
            self.expire_hold(now, key, Expiry::Refused(Cause::Leaving));
        }
    }

    /// Removes owners that have neither a connection nor holds, once nothing was received from them
    /// for the heartbeat timeout plus the resume grace period.
    fn remove_idle_owners(&mut self, now: Instant) {
        let grace = self.settings.heartbeat_timeout + self.settings.resume_grace;
        let idle = self.owners.iter().filter(|(key, owner)| {
            let is_idle = owner.connection.is_none() && now.since(owner.last_seen) > grace;
            is_idle && !self.holds.values().any(|hold| hold.owner == *key)
        });
        let idle: Vec<_> = idle.map(|(key, _)| key).collect();
        for key in idle {
            self.owners.remove(key);
        }
    }
}

/// What happens to a hold whose time is over.
#[derive(Clone, Copy)]
enum Expiry {
    /// The hold fails as not run, with this cause.
    Refused(Cause),
    /// The hold fails at its deadline; whether it ran is not known.
    Unknown,
    /// The hold is freed without a failure: its KV cache was not fetched before the engine evicted
    /// it, or its complete answer need no longer be kept.
    Lapsed,
}

/// Returns the cause that is reported for a hold that has waited too long.
fn timeout_cause(work: &Work) -> Cause {
    match work {
        Work::Decode(..) | Work::Forward(_) => Cause::Full,
        Work::Prefill(..) => Cause::Deadline,
    }
}
