//! Prefill servers: the queue, early refusal, and the KV cache until it is fetched or evicted. Each
//! prefill is a hold (the resources that an attempt occupies), which keeps its engine memory after
//! the prefill.

use super::Server;
use super::decode::failure;
use super::event::{Fault, Prefilled, Task};
use super::frame::Origin;
use super::hold::{Key, Stage, Work, engine_id};
use crate::time::Instant;
use chestnutrack_document::model::Role;
use chestnutrack_wire::Frame;
use chestnutrack_wire::frame::{Cause, Kv, Prefill, Ran};
use std::time::Duration;

impl Server {
    /// Handles a request for a prefill. Refuses it if it exceeds the engine's memory, is expected
    /// to miss its deadline behind the queued prefills, or exceeds a queue limit; otherwise it
    /// waits in the table until the deadline.
    pub(super) fn prefill(&mut self, now: Instant, origin: &Origin, prefill: Prefill) {
        if !self.admit(now, origin, Role::Prefill) {
            return;
        }
        if self.exceeds(prefill.prompt_tokens) {
            self.refuse(now, origin, Cause::Protocol);
            return;
        }
        let deadline = Duration::from_millis(u64::from(prefill.deadline_ms));
        // An idle server accepts the prompt regardless of the estimate, so that a wrong estimate is
        // corrected by the next measurement.
        let is_busy = self.queued_tokens() > 0;
        if is_busy && self.prefill_wait(prefill.prompt_tokens) > deadline {
            self.refuse(now, origin, Cause::Deadline);
            return;
        }
        if self.exceeds_queue_limit(&prefill.organisation, prefill.prompt.len()) {
            self.refuse(now, origin, Cause::Full);
            return;
        }
        let organisation = prefill.organisation.clone();
        let may_wait = prefill.may_wait;
        let until = now + deadline;
        self.insert(now, origin, organisation, may_wait, Work::Prefill(prefill, None), until);
    }

    /// Orders the engine to prefill the prompt of a waiting hold, or fails the hold if it would
    /// miss its deadline.
    pub(super) fn start_prefill(&mut self, now: Instant, key: Key) {
        if self.would_miss_deadline(now, key) {
            self.fail(now, key, failure(Cause::Deadline, Ran::NotRun));
            return;
        }
        let Some(hold) = self.holds.get_mut(key) else { return };
        hold.stage = Stage::Prefilling { since: now };
        let priority = super::order::priority(hold.may_wait);
        let Work::Prefill(prefill, _) = &mut hold.work else { return };
        let prompt = std::mem::take(&mut prefill.prompt);
        self.order(key, Task::Prefill { prompt, priority });
    }

    /// Returns `true` if a prefill that starts now, next to running ones, is expected to miss its
    /// deadline. Always `false` on an idle engine.
    fn would_miss_deadline(&self, now: Instant, key: Key) -> bool {
        if self.ordered_prefill_tokens() == 0 {
            return false;
        }
        match self.holds.get(key).map(|hold| (&hold.work, hold.stage)) {
            Some((Work::Prefill(prefill, _), Stage::Waiting { until, .. })) => {
                now + self.estimates.prefill_time(u64::from(prefill.prompt_tokens)) > until
            }
            _ => false,
        }
    }

    /// Handles the result of a prefill. On success, the KV cache is offered to the entry host until
    /// the engine evicts it, and the prefill speed is measured from the tokens that were not in the
    /// prefix cache. Otherwise the hold fails with a cause that fits the fault.
    pub(super) fn handle_prefilled(
        &mut self,
        now: Instant,
        key: Key,
        result: Result<Prefilled, Fault>,
    ) {
        self.needs_assignment = true;
        let address = self.config.as_ref().map(|server| server.address);
        let Some(hold) = self.holds.get_mut(key) else { return };
        let (Stage::Prefilling { since }, Work::Prefill(_, result_kv)) =
            (hold.stage, &mut hold.work)
        else {
            self.order_finished(now, key);
            return;
        };
        match (result, address) {
            (Ok(prefilled), Some(address)) => {
                *result_kv = Some(Kv {
                    address,
                    handle: engine_id(hold.id),
                    tokens: prefilled.tokens,
                    bytes: prefilled.bytes,
                    cached_tokens: prefilled.cached_tokens,
                });
                let until = now + Duration::from_millis(prefilled.evicted_in_ms);
                hold.stage = Stage::Prefilled { until };
                let computed = prefilled.tokens.saturating_sub(prefilled.cached_tokens);
                self.estimates.record_prefill(now, u64::from(computed), since);
                self.send_prefilled(now, key);
            }
            (Ok(_), None) => {
                let failure = failure(Cause::Unconfigured, Ran::Ran);
                self.fail_order(now, key, Fault::Unknown, failure);
            }
            (Err(fault), _) => {
                let failure = match fault {
                    Fault::Full => failure(Cause::Full, Ran::NotRun),
                    Fault::Fenced => self.handle_fenced(Ran::NotRun),
                    Fault::Unreachable | Fault::Stale | Fault::Refused | Fault::Missing => {
                        failure(Cause::Backend, Ran::NotRun)
                    }
                    Fault::Unknown => failure(Cause::Backend, Ran::Unknown),
                };
                self.fail_order(now, key, fault, failure);
            }
        }
    }

    /// Sends where the computed KV cache of a hold can be fetched.
    pub(super) fn send_prefilled(&mut self, now: Instant, key: Key) {
        let Some(hold) = self.holds.get(key) else { return };
        let Work::Prefill(_, Some(kv)) = &hold.work else { return };
        let ((request, attempt), kv) = (hold.id, kv.clone());
        let load = self.load(now);
        self.send(key, Frame::Prefilled(request, attempt, kv, load));
    }
}
