//! Slots and engine memory: usage, which waiting request is granted next, and when capacity is
//! expected to become free.
//!
//! Each request has a hold in the table, which waits until it is granted a slot. A slot can also be
//! promised to it when a running answer is expected to free it in time.

use super::event::Effect;
use super::fair::Waiter;
use super::hold::{Hold, Key, Stage, Work};
use super::{Counter, Server};
use crate::time::Instant;
use chestnutrack_document::model::Role;
use chestnutrack_wire::Frame;
use chestnutrack_wire::frame::{Cause, Failure, Load, Ran};
use std::collections::HashSet;
use std::time::Duration;

/// Minimum delay that a refused request is told to wait before a retry, in milliseconds.
const RETRY_AFTER_MS_MIN: u64 = 50;
/// Maximum delay that a refused request is told to wait before a retry, in milliseconds.
const RETRY_AFTER_MS_MAX: u64 = 5_000;

/// Capacity of the server that is in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Slots in use, reserved or being freed.
    pub slots: u32,
    /// Engine memory in use, reserved or being freed, in tokens.
    pub kv_tokens: u64,
}

impl Server {
    /// Returns the capacity in use.
    pub fn usage(&self) -> Usage {
        let mut used = Usage::default();
        for hold in self.holds.values() {
            used.slots += u32::from(hold.stage.takes_slot());
            if hold.stage.takes_memory() {
                used.kv_tokens += u64::from(hold.kv_tokens);
            }
        }
        used
    }

    /// Returns the server's role, or `None` without a configuration.
    pub(super) fn role(&self) -> Option<Role> {
        self.config.as_ref().map(|server| server.role)
    }

    /// Returns the total number of slots; 0 without a configuration.
    pub(super) fn slots(&self) -> u32 {
        self.config.as_ref().map_or(0, |server| server.slots)
    }

    /// Returns the engine's memory in tokens; unlimited for a plain service, which has no engine,
    /// and without a configuration.
    fn memory(&self) -> u64 {
        match &self.config {
            Some(server) if server.role != Role::Plain => server.kv_tokens,
            _ => u64::MAX,
        }
    }

    /// Returns `true` if a hold with `kv_tokens` of engine memory can start now: a slot and the
    /// memory are free. A prefill engine must also not have enough prefills outstanding already.
    pub(super) fn fits(&self, kv_tokens: u32) -> bool {
        let used = self.usage();
        let is_engine_busy = self.role() == Some(Role::Prefill)
            && used.slots >= self.settings.prefill_orders
            && self.ordered_prefill_tokens() >= self.settings.prefill_order_tokens;
        !is_engine_busy
            && used.slots < self.slots()
            && used.kv_tokens + u64::from(kv_tokens) <= self.memory()
    }

    /// Returns the engine memory that is not occupied, in tokens.
    pub(super) fn free_memory(&self) -> u64 {
        self.memory().saturating_sub(self.usage().kv_tokens)
    }

    /// Returns `true` if `kv_tokens` is more than the engine's whole memory.
    pub(super) fn exceeds(&self, kv_tokens: u32) -> bool {
        u64::from(kv_tokens) > self.memory()
    }

    /// Returns the server's load, as it is sent in frames.
    pub fn load(&self, now: Instant) -> Load {
        let used = self.usage();
        let waiting = self.holds.values().filter(|hold| is_waiting(hold)).count();
        let has_free_slot = used.slots < self.slots();
        Load {
            used: used.slots,
            slots: self.slots(),
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            kv_used: used.kv_tokens,
            free_in_ms: if has_free_slot { 0 } else { self.free_in_ms(now, waiting) },
            queued_tokens: self.queued_tokens(),
        }
    }

    /// Returns the expected time until a slot is free for one more request behind the `waiting`
    /// ones, in milliseconds and at least 1. This is the smaller of two estimates: from the rate at
    /// which slots became free recently, if it is known, and from when the running answers end at
    /// the latest.
    fn free_in_ms(&self, now: Instant, waiting: usize) -> u32 {
        let ends = self.latest_ends(now);
        let end = ends.get(waiting).or(ends.last());
        let worst_case_ms = end.map_or(RETRY_AFTER_MS_MAX, |end| now.millis_until(*end));
        let measured_ms =
            self.estimates.release_time(waiting as u64 + 1).map(|time| time.as_millis() as u64);
        let millis = measured_ms.map_or(worst_case_ms, |measured| measured.min(worst_case_ms));
        u32::try_from(millis.max(1)).unwrap_or(u32::MAX)
    }

    /// Returns the delay after which a refused request may be retried, in milliseconds.
    pub(super) fn retry_after_ms(&self, now: Instant) -> u32 {
        let waiting = self.holds.values().filter(|hold| is_waiting(hold)).count();
        let millis = u64::from(self.free_in_ms(now, waiting));
        u32::try_from(millis.clamp(RETRY_AFTER_MS_MIN, RETRY_AFTER_MS_MAX)).unwrap_or(u32::MAX)
    }

    /// Returns when the occupied slots become free at the latest, as far as can be estimated,
    /// soonest first. See [`Server::max_remaining_time`].
    pub(super) fn latest_ends(&self, now: Instant) -> Vec<Instant> {
        let busy = self.holds.values().filter(|hold| hold.stage.takes_slot());
        let mut ends: Vec<_> = busy.map(|hold| now + self.max_remaining_time(now, hold)).collect();
        ends.sort_unstable();
        ends
    }

    /// Returns the time until a hold frees its slot if its answer reaches its maximum length and is
    /// generated at the measured speed. For a prefill, returns the estimate of its remaining time.
    /// For a call to a plain service there is no estimate, and the result is zero.
    pub(super) fn max_remaining_time(&self, now: Instant, hold: &Hold) -> Duration {
        match &hold.work {
            Work::Decode(reserve, decode_frame) => {
                let max_tokens =
                    decode_frame.as_ref().map_or(reserve.output_tokens, |o| o.output_tokens);
                let remaining = u64::from(max_tokens.saturating_sub(hold.answer.token_end()));
                self.estimates.decode_time(remaining)
            }
            Work::Prefill(prefill, _) => {
                let total = self.estimates.prefill_time(u64::from(prefill.prompt_tokens));
                match hold.stage {
                    Stage::Prefilling { since } => total.saturating_sub(now.since(since)),
                    _ => total,
                }
            }
            Work::Forward(_) => Duration::ZERO,
        }
    }

    /// Returns the prompt tokens of all prefills that wait or run.
    pub(super) fn queued_tokens(&self) -> u64 {
        let queued = self.holds.values().filter_map(|hold| match (&hold.work, hold.stage) {
            (Work::Prefill(prefill, _), Stage::Waiting { .. } | Stage::Prefilling { .. }) => {
                Some(u64::from(prefill.prompt_tokens))
            }
            _ => None,
        });
        queued.sum()
    }

    /// Returns the prompt tokens of the prefills that the engine is computing.
    pub(super) fn ordered_prefill_tokens(&self) -> u64 {
        let ordered = self.holds.values().filter_map(|hold| match (&hold.work, hold.stage) {
            (Work::Prefill(prefill, _), Stage::Prefilling { .. }) => {
                Some(u64::from(prefill.prompt_tokens))
            }
            _ => None,
        });
        ordered.sum()
    }

    /// Returns the expected time until a new prefill of `tokens` completes, including the queued
    /// ones.
    pub(super) fn prefill_wait(&self, tokens: u32) -> Duration {
        self.estimates.prefill_time(self.queued_tokens() + u64::from(tokens))
    }

    /// Returns `true` if a request can be accepted: it gets capacity at once, or it may wait, is
    /// expected to be granted within `wait_ms`, and exceeds no queue limit. An unknown wait counts
    /// as short enough.
    pub(super) fn has_room(
        &self,
        organisation: &str,
        kv_tokens: u32,
        wait_ms: u32,
        bytes: usize,
    ) -> bool {
        let is_queue_empty = !self.holds.values().any(is_waiting);
        if is_queue_empty && self.fits(kv_tokens) {
            return true;
        }
        let wait = Duration::from_millis(u64::from(wait_ms));
        let is_in_time = self.expected_wait(organisation).is_none_or(|expected| expected <= wait);
        wait_ms > 0 && is_in_time && !self.exceeds_queue_limit(organisation, bytes)
    }

    /// Returns the expected time until one more request of the organisation gets a slot, from the
    /// rate at which slots became free recently. Returns `None` if that rate is unknown.
    pub(super) fn expected_wait(&self, organisation: &str) -> Option<Duration> {
        let waiting: Vec<_> = self.holds.values().filter(|hold| is_waiting(hold)).collect();
        let own_count =
            waiting.iter().filter(|hold| hold.organisation.as_ref() == organisation).count();
        let organisations: HashSet<_> = waiting.iter().map(|hold| &hold.organisation).collect();
        // Fair scheduling serves each other organisation about as often as this one.
        let requests_ahead = waiting.len().min((own_count + 1) * organisations.len());
        self.estimates.release_time(requests_ahead as u64 + 1)
    }

    /// Returns `true` if the organisation has reached its limit of waiting requests, or if `bytes`
    /// more would exceed the limit on prompts and bodies waiting in this process.
    pub(super) fn exceeds_queue_limit(&self, organisation: &str, bytes: usize) -> bool {
        let waiting = || self.holds.values().filter(|hold| is_waiting(hold));
        let own_count = waiting().filter(|hold| hold.organisation.as_ref() == organisation).count();
        let queued_bytes: usize = waiting().map(|hold| waiting_bytes(&hold.work)).sum();
        own_count >= self.settings.waiting_per_organisation
            || queued_bytes.saturating_add(bytes) > self.settings.waiting_bytes
    }

    /// Assigns free slots to the holds with a promised slot, then starts the imports that are due, and
    /// then grants slots to waiting holds.
    pub(super) fn assign_slots(&mut self, now: Instant) {
        self.estimates.record_releases(now, self.usage().slots);
        self.fulfill_promises();
        self.start_imports(now);
        self.grant(now);
        self.estimates.record_assignment(now, self.usage().slots, self.slots());
    }

    /// Grants slots to waiting holds in the order of the scheduler, until the next one can neither
    /// get a free slot nor be promised one that becomes free in time. Free slots go to outstanding
    /// promises first.
    fn grant(&mut self, now: Instant) {
        if self.leaving_since.is_some() || !self.authority.is_held() {
            return;
        }
        let mut waiters = self.waiters();
        while let Some(next) =
            self.scheduler.next(&waiters, self.settings.interactive_run_max).cloned()
        {
            let Some(hold) = self.holds.get(next.key) else { return };
            let has_slot = self.fits(hold.kv_tokens) && !self.has_unfulfilled_promise();
            if !has_slot && !self.can_promise(now, hold) {
                return;
            }
            self.scheduler.charge(&next, hold.cost, &waiters);
            waiters.retain(|waiter| waiter.key != next.key);
            self.count(if has_slot { Counter::Granted } else { Counter::Promised });
            self.start(now, next.key, has_slot);
        }
    }

    /// Returns the waiting holds for the scheduler.
    fn waiters(&self) -> Vec<Waiter> {
        let waiting = self.holds.iter().filter_map(|(key, hold)| match hold.stage {
            Stage::Waiting { since, .. } => Some(Waiter {
                key,
                organisation: hold.organisation.clone(),
                may_wait: hold.may_wait,
                since,
            }),
            _ => None,
        });
        waiting.collect()
    }

    /// Starts the work of a hold that was granted a slot. `has_slot` is `false` if the slot is only
    /// promised, which happens only to reservations.
    fn start(&mut self, now: Instant, key: Key, has_slot: bool) {
        match self.holds.get(key).map(|hold| &hold.work) {
            Some(Work::Decode(..)) => self.grant_reservation(now, key, has_slot),
            Some(Work::Prefill(..)) => self.start_prefill(now, key),
            Some(Work::Forward(_)) => self.start_call(key),
            None => {}
        }
    }

    /// Refuses an attempt that has no hold, reporting it as not run.
    pub(super) fn refuse(&mut self, now: Instant, origin: &super::frame::Origin, cause: Cause) {
        let retry_after_ms = match cause {
            Cause::Protocol | Cause::Deadline | Cause::Leaving | Cause::Fenced => 0,
            _ => self.retry_after_ms(now),
        };
        let failure = Failure { ran: Ran::NotRun, cause, retry_after_ms };
        let (request, attempt) = origin.id;
        self.count(Counter::Failed(cause, Ran::NotRun));
        self.ended.add(now, origin.id, Some(failure));
        let load = self.load(now);
        let frame = Frame::Failed(request, attempt, failure, load);
        self.effects.push(Effect::Send(origin.connection, frame));
    }
}

/// Returns the size of the prompt or body that a waiting hold keeps in this process, in bytes.
fn waiting_bytes(work: &Work) -> usize {
    match work {
        Work::Prefill(prefill, _) => prefill.prompt.len(),
        Work::Forward(Some(forward)) => forward.body.len(),
        Work::Forward(None) | Work::Decode(..) => 0,
    }
}

/// Returns `true` if the hold waits for a slot.
pub(super) fn is_waiting(hold: &Hold) -> bool {
    matches!(hold.stage, Stage::Waiting { .. })
}
