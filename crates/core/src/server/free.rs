//! Frees holds, the resources that attempts have of the server. A hold that the engine knows of
//! stays in the table until the engine has freed it.

use super::Server;
use super::event::{Effect, Fault, Task};
use super::hold::{Key, Stage, Work, parse_engine_id};
use crate::time::Instant;
use chestnutrack_wire::frame::Failure;
use std::sync::Arc;

impl Server {
    /// Frees a hold. A hold that the engine doesn't know of is removed from the table at once: it
    /// waits, is reserved, has ended, is a plain call, or its order was withheld. For any other
    /// hold the engine is ordered to free it, and the hold is removed when that is confirmed.
    pub(super) fn free(&mut self, now: Instant, key: Key) {
        let Some(hold) = self.holds.get(key) else { return };
        self.needs_assignment = true;
        self.link.release(key);
        let order_in_flight = match hold.stage {
            Stage::Freeing { .. } => return,
            Stage::Waiting { .. } | Stage::Reserved { .. } | Stage::Arrived { .. } => {
                self.remove(now, key);
                return;
            }
            Stage::Ended { .. } => {
                self.remove(now, key);
                return;
            }
            Stage::Calling { .. } => {
                self.effects.push(Effect::Abort(key));
                self.remove(now, key);
                return;
            }
            Stage::Importing | Stage::Prefilling { .. } => true,
            Stage::Decoding { .. } => {
                self.effects.push(Effect::Abort(key));
                false
            }
            Stage::Prefilled { .. } => false,
        };
        if self.drop_pending(key) {
            self.remove(now, key);
            return;
        }
        let has_slot = self.holds.get(key).is_some_and(|hold| hold.stage.takes_slot());
        self.cancel_order(now, key, order_in_flight, has_slot);
    }

    /// Orders the engine to free a hold; [`Server::retry_cancels`] repeats the order until it is
    /// confirmed.
    fn cancel_order(&mut self, now: Instant, key: Key, order_in_flight: bool, has_slot: bool) {
        let retry_at = now + self.settings.cancel_retry;
        self.set_stage(key, Stage::Freeing { order_in_flight, has_slot, retry_at });
        self.order(key, Task::Cancel);
    }

    /// Fails a hold whose import or prefill failed. The engine is ordered to free it only if the
    /// outcome is unknown, since the engine may then have carried out the order.
    pub(super) fn fail_order(&mut self, now: Instant, key: Key, fault: Fault, failure: Failure) {
        self.fail_with(now, key, failure, |server| {
            if fault == Fault::Unknown {
                server.cancel_order(now, key, false, true);
            } else {
                server.remove(now, key);
            }
        });
    }

    /// Handles the end of an import or prefill whose hold is no longer in that stage. If the hold
    /// is being freed, the engine is ordered again to free it, since the import or prefill may have
    /// completed after the first cancel.
    pub(super) fn order_finished(&mut self, now: Instant, key: Key) {
        let Some(hold) = self.holds.get(key) else { return };
        if let Stage::Freeing { order_in_flight: true, has_slot, .. } = hold.stage {
            self.cancel_order(now, key, false, has_slot);
        }
    }

    /// Handles the result of a cancel order. The hold is removed if the engine has freed it or
    /// doesn't know it, but not while an import or prefill is in flight, which may still complete.
    /// It is also removed if this process is terminating and the engine is unreachable. If the
    /// engine rejected the fencing number, authority must be checked before the next order.
    pub(super) fn handle_cancelled(
        &mut self,
        now: Instant,
        id: Arc<str>,
        result: Result<(), Fault>,
    ) {
        if result == Err(Fault::Fenced) {
            self.handle_fenced(chestnutrack_wire::frame::Ran::Unknown);
        }
        let Some(key) = parse_engine_id(&id).and_then(|id| self.index.get(&id).copied()) else {
            return;
        };
        let Some(Stage::Freeing { order_in_flight, .. }) =
            self.holds.get(key).map(|hold| hold.stage)
        else {
            return;
        };
        let engine_gone = self.terminated && result == Err(Fault::Unreachable);
        let freed = !order_in_flight && matches!(result, Ok(()) | Err(Fault::Missing));
        if engine_gone || freed {
            self.remove(now, key);
        }
    }

    /// Repeats the cancel orders that have not been confirmed in time.
    pub(super) fn retry_cancels(&mut self, now: Instant) {
        let due = self.holds.iter().filter_map(|(key, hold)| match hold.stage {
            Stage::Freeing { order_in_flight, has_slot, retry_at } if retry_at <= now => {
                Some((key, order_in_flight, has_slot))
            }
            _ => None,
        });
        let due: Vec<_> = due.collect();
        for (key, order_in_flight, has_slot) in due {
            self.cancel_order(now, key, order_in_flight, has_slot);
        }
    }

    /// Removes a hold from the table and remembers its attempt as ended.
    pub(super) fn remove(&mut self, now: Instant, key: Key) {
        let Some(hold) = self.holds.remove(key) else { return };
        self.index.remove(&hold.id);
        self.ended.add(now, hold.id, None);
        self.needs_assignment = true;
    }

    /// Returns `true` if the hold is a call to a plain service (a backend server without an
    /// engine).
    pub(super) fn is_plain(&self, key: Key) -> bool {
        self.holds.get(key).is_some_and(|hold| matches!(hold.work, Work::Forward(_)))
    }
}
