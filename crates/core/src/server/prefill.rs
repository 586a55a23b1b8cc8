//! Prefill servers: the queue, early refusal, and the KV cache until it is fetched or evicted.

use super::Server;
use super::decode::failure;
use super::event::{Fault, Prefilled, Task};
use super::frame::Asked;
use super::hold::{Key, Stage, Work, engine_id};
use crate::time::Instant;
use chestnutrack_document::model::Role;
use chestnutrack_wire::Frame;
use chestnutrack_wire::frame::{Cause, Kv, Prefill, Ran};
use std::time::Duration;

impl Server {
    pub(super) fn prefill(&mut self, now: Instant, asked: &Asked, ask: Prefill) {
        if !self.admit(now, asked, Role::Prefill) {
            return;
        }
        if self.exceeds(ask.prompt_tokens) {
            self.refuse(now, asked, Cause::Protocol);
            return;
        }
        let deadline = Duration::from_millis(u64::from(ask.deadline_ms));
        // An idle server tries it all the same, so that a wrong estimate mends itself.
        let others = self.queued_tokens() > 0;
        if others && self.prefill_wait(ask.prompt_tokens) > deadline {
            self.refuse(now, asked, Cause::Deadline);
            return;
        }
        if self.waits_too_much(&ask.organisation, ask.prompt.len()) {
            self.refuse(now, asked, Cause::Full);
            return;
        }
        let organisation = ask.organisation.clone();
        let may_wait = ask.may_wait;
        let until = now + deadline;
        self.insert(now, asked, organisation, may_wait, Work::Prefill(ask, None), until);
    }

    pub(super) fn start_prefill(&mut self, now: Instant, key: Key) {
        if self.would_end_late(now, key) {
            self.fail(now, key, failure(Cause::Deadline, Ran::NotRun));
            return;
        }
        let Some(hold) = self.holds.get_mut(key) else { return };
        hold.stage = Stage::Prefilling { since: now };
        let priority = super::order::priority(hold.may_wait);
        let Work::Prefill(ask, _) = &mut hold.work else { return };
        let prompt = std::mem::take(&mut ask.prompt);
        self.order(key, Task::Prefill { prompt, priority });
    }

    /// Whether a prefill that starts now, beside others, would end after its deadline.
    fn would_end_late(&self, now: Instant, key: Key) -> bool {
        if self.ordered_prefill_tokens() == 0 {
            return false;
        }
        match self.holds.get(key).map(|hold| (&hold.work, hold.stage)) {
            Some((Work::Prefill(ask, _), Stage::Waiting { until, .. })) => {
                now + self.pace.prefill_time(u64::from(ask.prompt_tokens)) > until
            }
            _ => false,
        }
    }

    pub(super) fn prefilled(&mut self, now: Instant, key: Key, result: Result<Prefilled, Fault>) {
        self.changed = true;
        let address = self.config.as_ref().map(|server| server.address);
        let Some(hold) = self.holds.get_mut(key) else { return };
        let (Stage::Prefilling { since }, Work::Prefill(_, slot)) = (hold.stage, &mut hold.work)
        else {
            self.order_closed(now, key);
            return;
        };
        match (result, address) {
            (Ok(done), Some(address)) => {
                *slot = Some(Kv {
                    address,
                    handle: engine_id(hold.id),
                    tokens: done.tokens,
                    bytes: done.bytes,
                    cached_tokens: done.cached_tokens,
                });
                let until = now + Duration::from_millis(done.evicted_in_ms);
                hold.stage = Stage::Prefilled { until };
                let computed = done.tokens.saturating_sub(done.cached_tokens);
                self.pace.prefilled(now, u64::from(computed), since);
                self.say_prefilled(now, key);
            }
            (Ok(_), None) => {
                let failure = failure(Cause::Unconfigured, Ran::Ran);
                self.fail_order(now, key, Fault::Unknown, failure);
            }
            (Err(fault), _) => {
                let failure = match fault {
                    Fault::Full => failure(Cause::Full, Ran::NotRun),
                    Fault::Fenced => self.fenced(Ran::NotRun),
                    Fault::Unreachable | Fault::Late | Fault::Refused | Fault::Missing => {
                        failure(Cause::Backend, Ran::NotRun)
                    }
                    Fault::Unknown => failure(Cause::Backend, Ran::Unknown),
                };
                self.fail_order(now, key, fault, failure);
            }
        }
    }

    pub(super) fn say_prefilled(&mut self, now: Instant, key: Key) {
        let Some(hold) = self.holds.get(key) else { return };
        let Work::Prefill(_, Some(kv)) = &hold.work else { return };
        let ((request, attempt), kv) = (hold.id, kv.clone());
        let load = self.load(now);
        self.tell(key, Frame::Prefilled(request, attempt, kv, load));
    }
}
