//! Decode servers: reservations, KV cache imports scheduled on the link, and generation.
//!
//! A reservation is a hold with engine memory and a slot under a lease. Instead it can have the
//! promise of a slot that running answers are expected to free in time, with the memory; it
//! occupies neither until they are free. The entry host's decode frame says that the KV cache is
//! ready on the prefill engine; the hold is then in the stage `Arrived` until the engine imports
//! the KV cache over the link and generates.

use super::event::{Fault, Task};
use super::frame::Origin;
use super::hold::{Key, Stage, Work};
use super::{Counter, Server};
use crate::time::Instant;
use chestnutrack_document::model::Role;
use chestnutrack_wire::Frame;
use chestnutrack_wire::frame::{Cause, Decode, Failure, Finish, Ran, Reserve};
use std::sync::Arc;
use std::time::Duration;

/// Attempts to reopen a broken stream before the request fails; each received token resets the
/// count.
const STREAM_RETRIES_MAX: u32 = 5;
/// Delay before a broken stream is reopened.
const STREAM_RETRY_DELAY: Duration = Duration::from_millis(50);

impl Server {
    /// Handles a request for a reservation. Refuses it if it exceeds the engine's memory, or if no
    /// capacity is expected within the time that it may wait; otherwise it waits in the table.
    pub(super) fn reserve(&mut self, now: Instant, origin: &Origin, reserve: Reserve) {
        if !self.admit(now, origin, Role::Decode) {
            return;
        }
        if self.exceeds(reserve.kv_tokens) {
            self.refuse(now, origin, Cause::Protocol);
            return;
        }
        if !self.has_room(&reserve.organisation, reserve.kv_tokens, reserve.wait_ms, 0) {
            self.refuse(now, origin, Cause::Full);
            return;
        }
        let until = now + Duration::from_millis(u64::from(reserve.wait_ms));
        let organisation = reserve.organisation.clone();
        let may_wait = reserve.may_wait;
        self.insert(now, origin, organisation, may_wait, Work::Decode(reserve, None), until);
    }

    /// Grants a waiting hold its reservation and books the link for its transfer. The lease runs
    /// from the booked start of the transfer. `has_slot` is `false` if the slot is only promised.
    pub(super) fn grant_reservation(&mut self, now: Instant, key: Key, has_slot: bool) {
        let Some(hold) = self.holds.get_mut(key) else { return };
        let Work::Decode(reserve, _) = &hold.work else { return };
        let needed_at = now + Duration::from_millis(u64::from(reserve.needed_in_ms));
        let bytes = self.estimates.kv_bytes(reserve.transfer_tokens);
        let booking = self.link.book(key, needed_at, bytes);
        hold.stage =
            Stage::Reserved { until: booking.start + self.settings.reservation_lease, has_slot };
        self.send_reserved(now, key);
    }

    /// Sends the reservation of a hold with the time until its transfer is booked to start.
    pub(super) fn send_reserved(&mut self, now: Instant, key: Key) {
        let Some(hold) = self.holds.get(key) else { return };
        let (request, attempt) = hold.id;
        let start = self.link.booking(key).map_or(now, |booking| booking.start);
        let ready_in_ms = u32::try_from(now.millis_until(start)).unwrap_or(u32::MAX);
        let load = self.load(now);
        self.send(key, Frame::Reserved(request, attempt, ready_in_ms, load));
    }

    /// Handles an entry host's decode frame, which asks to import a KV cache and generate. The hold
    /// then waits for its import, for a limited time. An attempt without a reservation is refused;
    /// one that has failed gets its failure again. A repeated frame has no effect.
    pub(super) fn decode(&mut self, now: Instant, origin: &Origin, decode_frame: Decode) {
        if let Some(Some(failure)) = self.ended.get(origin.id) {
            self.count(Counter::LateFrames);
            let load = self.load(now);
            let frame = Frame::Failed(origin.id.0, origin.id.1, failure, load);
            self.effects.push(super::Effect::Send(origin.connection, frame));
            return;
        }
        if !self.index.contains_key(&origin.id) {
            if self.ended.get(origin.id).is_none() {
                self.refuse_unreserved(now, origin);
            }
            return;
        }
        let Some(key) = self.find_owned(origin) else { return };
        let until = now + self.settings.arrived_timeout;
        let Some(hold) = self.holds.get_mut(key) else { return };
        let (Work::Decode(_, pending), Stage::Reserved { has_slot, .. }) =
            (&mut hold.work, hold.stage)
        else {
            self.count(Counter::LateFrames);
            return;
        };
        self.estimates.record_kv_size(decode_frame.kv.tokens, decode_frame.kv.bytes);
        *pending = Some(decode_frame);
        hold.stage = Stage::Arrived { until, has_slot };
        self.needs_assignment = true;
    }

    /// Refuses a decode frame whose attempt has no reservation. If the engine may hold the request
    /// from a previous side process, the failure says that it is unknown whether the request ran.
    fn refuse_unreserved(&mut self, now: Instant, origin: &Origin) {
        if self.reconcile.engine_may_hold(origin.id) {
            self.send_failed(now, origin, failure(Cause::ReservationLapsed, Ran::Unknown));
        } else {
            self.refuse(now, origin, Cause::ReservationLapsed);
        }
    }

    /// Starts imports in the order of their bookings. An import starts early if the link is idle;
    /// one whose booked time has come starts even while another import runs.
    pub(super) fn start_imports(&mut self, now: Instant) {
        loop {
            let is_importing = self.holds.values().any(|hold| hold.stage == Stage::Importing);
            let arrived = self
                .holds
                .iter()
                .filter(|(_, hold)| matches!(hold.stage, Stage::Arrived { has_slot: true, .. }));
            let starts = arrived
                .map(|(key, _)| (self.link.booking(key).map_or(now, |booking| booking.start), key));
            let Some((start, key)) = starts.min() else { return };
            if is_importing && start > now {
                return;
            }
            self.start_import(now, key);
        }
    }

    /// Orders the engine to import the KV cache of a hold, and moves its booking to now.
    fn start_import(&mut self, now: Instant, key: Key) {
        self.link.start(key, now);
        let Some(hold) = self.holds.get_mut(key) else { return };
        hold.stage = Stage::Importing;
        let Work::Decode(_, Some(decode_frame)) = &hold.work else { return };
        let task = Task::Import {
            from: decode_frame.kv.address,
            handle: decode_frame.kv.handle.clone(),
            kv_tokens: hold.kv_tokens,
        };
        self.order(key, task);
    }

    /// Handles the result of an import: orders the generation, or fails the hold with a cause and
    /// with whether anything has run, according to the fault.
    pub(super) fn handle_imported(&mut self, now: Instant, key: Key, result: Result<(), Fault>) {
        self.link.release(key);
        self.needs_assignment = true;
        let Some(hold) = self.holds.get_mut(key) else { return };
        match (hold.stage, result) {
            (Stage::Importing, Ok(())) => self.start_generation(key),
            (Stage::Importing, Err(fault)) => {
                let failure = match fault {
                    // The prefill has run, even though no generation was ordered.
                    Fault::Missing | Fault::Unknown => failure(Cause::KvLost, Ran::Ran),
                    Fault::Full => failure(Cause::Full, Ran::NotRun),
                    Fault::Fenced => self.handle_fenced(Ran::NotRun),
                    Fault::Unreachable | Fault::Stale | Fault::Refused => {
                        failure(Cause::Backend, Ran::NotRun)
                    }
                };
                self.fail_order(now, key, fault, failure);
            }
            _ => self.order_finished(now, key),
        }
    }

    /// Orders the generation after the import has completed.
    fn start_generation(&mut self, key: Key) {
        let Some(hold) = self.holds.get_mut(key) else { return };
        let Work::Decode(_, Some(decode_frame)) = &hold.work else { return };
        let priority = super::order::priority(hold.may_wait);
        let task = Task::Decode { output_tokens: decode_frame.output_tokens, priority };
        hold.stage = Stage::Decoding { retry_at: None, retries: 0 };
        self.order(key, task);
    }

    /// Handles a token from the engine and sends it on. A token that was received before is
    /// dropped. If tokens are missing before it, the stream is treated as broken, so that it is
    /// reopened at the missing one.
    pub(super) fn handle_token(&mut self, now: Instant, key: Key, offset: u32, text: Arc<str>) {
        let Some(hold) = self.holds.get_mut(key) else { return };
        let Stage::Decoding { retries, .. } = &mut hold.stage else { return };
        let expected = hold.answer.token_end();
        if offset < expected {
            return;
        }
        if offset > expected {
            self.effects.push(super::Effect::Abort(key));
            self.handle_stream_broken(now, key, Fault::Unknown);
            return;
        }
        *retries = 0;
        hold.answer.tokens.push(text.clone());
        if let Some(last) = hold.answer.last_token_at.replace(now) {
            self.estimates.record_token_time(now.since(last));
        }
        let (request, attempt) = hold.id;
        self.send(key, Frame::Tokens(request, attempt, offset, vec![text]));
    }

    /// Handles the end of an answer. If tokens are missing, the stream is treated as broken.
    /// Otherwise the answer is kept for a resume, and the organisation gets back the tokens that it
    /// was charged for and that were not generated.
    pub(super) fn handle_stream_end(&mut self, now: Instant, key: Key, total: u32, finish: Finish) {
        let Some(hold) = self.holds.get_mut(key) else { return };
        if !matches!(hold.stage, Stage::Decoding { .. }) {
            return;
        }
        if hold.answer.token_end() != total {
            self.handle_stream_broken(now, key, Fault::Unknown);
            return;
        }
        hold.answer.finish = Some(finish);
        if let Work::Decode(reserve, _) = &hold.work {
            let unused = reserve.output_tokens.saturating_sub(total);
            self.scheduler.refund(&hold.organisation, u64::from(unused));
        }
        hold.stage = Stage::Ended { until: now + self.settings.ended_retention };
        let (request, attempt) = hold.id;
        self.count(Counter::Completed);
        self.needs_assignment = true;
        let load = self.load(now);
        self.send(key, Frame::End(request, attempt, total, finish, load));
    }

    /// Handles a broken stream: it is reopened after a delay, unless the engine no longer has the
    /// request, rejects the fencing number, or too many retries brought no token; then the hold
    /// fails.
    pub(super) fn handle_stream_broken(&mut self, now: Instant, key: Key, fault: Fault) {
        let Some(hold) = self.holds.get_mut(key) else { return };
        let Stage::Decoding { retries, .. } = hold.stage else { return };
        let final_failure = match fault {
            Fault::Missing => Some(failure(Cause::Backend, Ran::Ran)),
            Fault::Fenced => Some(self.handle_fenced(Ran::Ran)),
            _ if retries >= STREAM_RETRIES_MAX => Some(failure(Cause::Backend, Ran::Ran)),
            _ => None,
        };
        match final_failure {
            Some(failure) => self.fail(now, key, failure),
            None => {
                let stage = Stage::Decoding {
                    retry_at: Some(now + STREAM_RETRY_DELAY),
                    retries: retries + 1,
                };
                self.set_stage(key, stage);
            }
        }
    }

    /// Reopens broken streams whose retry delay is over.
    pub(super) fn reopen_streams(&mut self, now: Instant) {
        let due = self.holds.iter().filter_map(|(key, hold)| match hold.stage {
            Stage::Decoding { retry_at: Some(retry_at), retries } if retry_at <= now => {
                Some((key, retries))
            }
            _ => None,
        });
        let due: Vec<_> = due.collect();
        for (key, retries) in due {
            self.set_stage(key, Stage::Decoding { retry_at: None, retries });
            let offset = self.holds.get(key).map_or(0, |hold| hold.answer.token_end());
            self.order(key, Task::Resume { offset });
        }
    }

    /// Sets the stage of a hold, if it exists.
    pub(super) fn set_stage(&mut self, key: Key, stage: Stage) {
        if let Some(hold) = self.holds.get_mut(key) {
            hold.stage = stage;
        }
    }
}

/// Returns a failure that says nothing about when to retry.
pub(super) fn failure(cause: Cause, ran: Ran) -> Failure {
    Failure { ran, cause, retry_after_ms: 0 }
}
