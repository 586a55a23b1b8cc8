//! Leases: what lapses with time, run over the table on every tick.

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
    pub(super) fn tick(&mut self, now: Instant, late: Duration) {
        if late > self.settings.silent / 2 {
            self.owners.excuse(late);
        }
        self.drop_silent(now);
        self.drop_detached(now);
        self.lapse(now);
        self.follow_streams(now);
        self.retry_cancels(now);
        self.reconcile_tick(now);
        self.forget_owners(now);
        self.changed = true;
    }

    pub(super) fn disconnected(&mut self, now: Instant, connection: Connection) {
        self.owners.disconnect(connection);
        self.detach(now, connection);
    }

    /// Starts the grace of every hold that a connection followed.
    pub(super) fn detach(&mut self, now: Instant, connection: Connection) {
        for hold in self.holds.values_mut() {
            if hold.connection == Some(connection) {
                hold.connection = None;
                hold.detached = Some(now);
            }
        }
    }

    /// Ends the connections that are silent: sooner where they carry live work.
    fn drop_silent(&mut self, now: Instant) {
        let live: HashSet<_> = self.holds.values().filter_map(|hold| hold.connection).collect();
        let silent = self.owners.iter().filter_map(|(_, owner)| {
            let connection = owner.connection?;
            let bound = match live.contains(&connection) {
                true => self.settings.silent,
                false => self.settings.silent_idle,
            };
            (now.since(owner.heard) > bound).then_some(connection)
        });
        let silent: Vec<_> = silent.collect();
        for connection in silent {
            self.effects.push(Effect::Close(connection));
            self.disconnected(now, connection);
        }
    }

    fn drop_detached(&mut self, now: Instant) {
        let grace = self.settings.resume_grace;
        let lost = self.holds.iter().filter(|(_, hold)| {
            let since = hold.detached;
            since.is_some_and(|since| now.since(since) > grace)
        });
        let lost: Vec<Key> = lost.map(|(key, _)| key).collect();
        for key in lost {
            self.abandon(now, key);
        }
    }

    /// Frees all that an entry host had that is surely gone.
    pub(super) fn owner_gone(&mut self, now: Instant, owner: owner::Key) {
        let held = self.holds.iter().filter(|(_, hold)| hold.owner == owner);
        let held: Vec<Key> = held.map(|(key, _)| key).collect();
        for key in held {
            self.abandon(now, key);
        }
        if let Some(connection) = self.owners.remove(owner) {
            self.effects.push(Effect::Close(connection));
        }
    }

    fn abandon(&mut self, now: Instant, key: Key) {
        let Some(hold) = self.holds.get_mut(key) else { return };
        if matches!(hold.stage, Stage::Freeing { .. }) {
            return;
        }
        let id = hold.id;
        self.count(Counter::Freed(Reason::OwnerGone));
        self.past.add(now, id, None);
        self.free(now, key);
    }

    fn lapse(&mut self, now: Instant) {
        let leaving_over =
            self.leaving.is_some_and(|since| now.since(since) > self.settings.leaving_grace);
        let due = self.holds.iter().filter_map(|(key, hold)| {
            let end = match hold.stage {
                Stage::Waiting { until, .. } if until < now => End::Refused(waited(&hold.work)),
                Stage::Reserved { .. } if leaving_over => End::Refused(Cause::Leaving),
                Stage::Reserved { until, .. } if until < now => {
                    End::Refused(Cause::ReservationLapsed)
                }
                Stage::Arrived { until, .. } if until < now => End::Refused(Cause::KvLost),
                Stage::Calling { until: Some(until) } if until < now => End::Unknown,
                Stage::Prefilled { until } | Stage::Ended { until } if until < now => End::Lapsed,
                _ => return None,
            };
            Some((key, end))
        });
        let due: Vec<_> = due.collect();
        for (key, end) in due {
            self.lapsed(now, key, end);
        }
    }

    fn lapsed(&mut self, now: Instant, key: Key, end: End) {
        match end {
            End::Refused(cause) => {
                let retry_after_ms = match cause {
                    Cause::Full => self.retry_after_ms(now),
                    _ => 0,
                };
                self.fail(now, key, Failure { ran: Ran::NotRun, cause, retry_after_ms });
            }
            End::Unknown => self.fail(now, key, failure(Cause::Deadline, Ran::Unknown)),
            End::Lapsed => {
                self.count(Counter::Freed(Reason::Lapsed));
                self.free(now, key);
            }
        }
    }

    /// Refuses whatever waits, since the server is leaving.
    pub(super) fn refuse_waiting(&mut self, now: Instant) {
        let waiting = self.holds.iter().filter(|(_, hold)| super::capacity::is_waiting(hold));
        let waiting: Vec<Key> = waiting.map(|(key, _)| key).collect();
        for key in waiting {
            self.lapsed(now, key, End::Refused(Cause::Leaving));
        }
    }

    fn forget_owners(&mut self, now: Instant) {
        let grace = self.settings.silent + self.settings.resume_grace;
        let idle = self.owners.iter().filter(|(key, owner)| {
            let quiet = owner.connection.is_none() && now.since(owner.heard) > grace;
            quiet && !self.holds.values().any(|hold| hold.owner == *key)
        });
        let idle: Vec<_> = idle.map(|(key, _)| key).collect();
        for key in idle {
            self.owners.remove(key);
        }
    }
}

/// How a hold ends whose time is over.
#[derive(Clone, Copy)]
enum End {
    Refused(Cause),
    Unknown,
    Lapsed,
}

fn waited(work: &Work) -> Cause {
    match work {
        Work::Decode(..) | Work::Forward(_) => Cause::Full,
        Work::Prefill(..) => Cause::Deadline,
    }
}
