//! Promises slots that are still occupied.
//!
//! A reservation whose KV cache is needed later may be promised a slot that a running answer is
//! expected to free by then, even if every running answer reaches its maximum length. The import
//! waits until the slot is actually free.

use super::Server;
use super::hold::{Hold, Key, Stage, Work};
use crate::time::Instant;
use std::time::Duration;

impl Server {
    /// Returns `true` if a slot and enough memory are expected to be free when the hold needs them:
    /// more running answers end by then than slots are promised, and their memory and the free
    /// memory suffice for the promised holds and this one.
    pub(super) fn can_promise(&self, now: Instant, hold: &Hold) -> bool {
        let Work::Decode(reserve, _) = &hold.work else { return false };
        let needed_at = now + Duration::from_millis(u64::from(reserve.needed_in_ms));
        let mut ending_count = 0;
        let mut freed_tokens = 0;
        for running in self.holds.values().filter(|hold| is_running(hold)) {
            if now + self.max_remaining_time(now, running) <= needed_at {
                ending_count += 1;
                freed_tokens += u64::from(running.kv_tokens);
            }
        }
        let promised = self.holds.values().filter(|hold| is_promised(hold));
        let (promised_count, tokens_needed) = promised
            .fold((0, u64::from(hold.kv_tokens)), |(count, tokens), hold| {
                (count + 1, tokens + u64::from(hold.kv_tokens))
            });
        ending_count > promised_count && freed_tokens + self.free_memory() >= tokens_needed
    }

    /// Returns `true` if a hold has a promised slot that is not free yet.
    pub(super) fn has_unfulfilled_promise(&self) -> bool {
        self.holds.values().any(is_promised)
    }

    /// Assigns free slots, with their memory, to the holds that were promised one, in the order of
    /// their bookings, until one finds too little free.
    pub(super) fn fulfill_promises(&mut self) {
        let promised = self.holds.iter().filter(|(_, hold)| is_promised(hold));
        let mut promised: Vec<Key> = promised.map(|(key, _)| key).collect();
        promised.sort_by_key(|key| self.link.booking(*key).map(|booking| booking.start));
        for key in promised {
            let Some(hold) = self.holds.get(key) else { continue };
            if !self.fits(hold.kv_tokens) {
                return;
            }
            let stage = match hold.stage {
                Stage::Reserved { until, .. } => Stage::Reserved { until, has_slot: true },
                Stage::Arrived { until, .. } => Stage::Arrived { until, has_slot: true },
                stage => stage,
            };
            self.set_stage(key, stage);
        }
    }
}

/// Returns `true` if the hold is generating an answer.
fn is_running(hold: &Hold) -> bool {
    matches!(hold.stage, Stage::Decoding { .. })
}

/// Returns `true` if the hold has a promised slot that is not free yet.
fn is_promised(hold: &Hold) -> bool {
    matches!(
        hold.stage,
        Stage::Reserved { has_slot: false, .. } | Stage::Arrived { has_slot: false, .. }
    )
}
