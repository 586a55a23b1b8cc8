//! Decode servers: reservations, imports at their turn on the link, generation.

use super::event::{Fault, Task};
use super::frame::Asked;
use super::hold::{Key, Stage, Work};
use super::{Counter, Server};
use crate::time::Instant;
use chestnutrack_document::model::Role;
use chestnutrack_wire::Frame;
use chestnutrack_wire::frame::{Cause, Decode, Failure, Finish, Ran, Reserve};
use std::sync::Arc;
use std::time::Duration;

/// Times that a broken stream is followed again without a token in between.
const STREAM_TRIES: u32 = 5;
/// Time before a broken stream is followed again.
const STREAM_RETRY: Duration = Duration::from_millis(50);

impl Server {
    pub(super) fn reserve(&mut self, now: Instant, asked: &Asked, ask: Reserve) {
        if !self.admit(now, asked, Role::Decode) {
            return;
        }
        if self.exceeds(ask.kv_tokens) {
            self.refuse(now, asked, Cause::Protocol);
            return;
        }
        if !self.has_room(&ask.organisation, ask.kv_tokens, ask.wait_ms, 0) {
            self.refuse(now, asked, Cause::Full);
            return;
        }
        let until = now + Duration::from_millis(u64::from(ask.wait_ms));
        let organisation = ask.organisation.clone();
        let may_wait = ask.may_wait;
        self.insert(now, asked, organisation, may_wait, Work::Decode(ask, None), until);
    }

    /// Gives a waiting hold its slot, and its turn on the link.
    pub(super) fn reserved(&mut self, now: Instant, key: Key, firm: bool) {
        let Some(hold) = self.holds.get_mut(key) else { return };
        let Work::Decode(ask, _) = &hold.work else { return };
        let needed = now + Duration::from_millis(u64::from(ask.needed_in_ms));
        let bytes = self.pace.kv_bytes(ask.transfer_tokens);
        let turn = self.link.book(key, needed, bytes);
        hold.stage = Stage::Reserved { until: turn.start + self.settings.reserved_lease, firm };
        self.say_reserved(now, key);
    }

    pub(super) fn say_reserved(&mut self, now: Instant, key: Key) {
        let Some(hold) = self.holds.get(key) else { return };
        let (request, attempt) = hold.id;
        let start = self.link.turn(key).map_or(now, |turn| turn.start);
        let ready_in_ms = u32::try_from(now.millis_until(start)).unwrap_or(u32::MAX);
        let load = self.load(now);
        self.tell(key, Frame::Reserved(request, attempt, ready_in_ms, load));
    }

    pub(super) fn decode(&mut self, now: Instant, asked: &Asked, order: Decode) {
        if let Some(Some(failure)) = self.past.get(asked.id) {
            self.count(Counter::Late);
            let load = self.load(now);
            let frame = Frame::Failed(asked.id.0, asked.id.1, failure, load);
            self.effects.push(super::Effect::Send(asked.connection, frame));
            return;
        }
        if !self.index.contains_key(&asked.id) {
            if self.past.get(asked.id).is_none() {
                self.refuse_unreserved(now, asked);
            }
            return;
        }
        let Some(key) = self.own(asked) else { return };
        let until = now + self.settings.arrived_wait;
        let Some(hold) = self.holds.get_mut(key) else { return };
        let (Work::Decode(_, slot), Stage::Reserved { firm, .. }) = (&mut hold.work, hold.stage)
        else {
            self.count(Counter::Late);
            return;
        };
        self.pace.sized(order.kv.tokens, order.kv.bytes);
        *slot = Some(order);
        hold.stage = Stage::Arrived { until, firm };
        self.changed = true;
    }

    /// Refuses an order without a reservation. One that the process before this one may have
    /// carried out is not said to be not run.
    fn refuse_unreserved(&mut self, now: Instant, asked: &Asked) {
        if self.reconcile.may_hold(asked.id) {
            self.say_failed(now, asked, failure(Cause::ReservationLapsed, Ran::Unknown));
        } else {
            self.refuse(now, asked, Cause::ReservationLapsed);
        }
    }

    /// Starts the imports whose turn has come. One at a time uses the link, unless a turn is due.
    pub(super) fn start_imports(&mut self, now: Instant) {
        loop {
            let busy = self.holds.values().any(|hold| hold.stage == Stage::Importing);
            let arrived = self
                .holds
                .iter()
                .filter(|(_, hold)| matches!(hold.stage, Stage::Arrived { firm: true, .. }));
            let turns =
                arrived.map(|(key, _)| (self.link.turn(key).map_or(now, |turn| turn.start), key));
            let Some((start, key)) = turns.min() else { return };
            if busy && start > now {
                return;
            }
            self.start_import(now, key);
        }
    }

    fn start_import(&mut self, now: Instant, key: Key) {
        self.link.begin(key, now);
        let Some(hold) = self.holds.get_mut(key) else { return };
        hold.stage = Stage::Importing;
        let Work::Decode(_, Some(order)) = &hold.work else { return };
        let task = Task::Import {
            from: order.kv.address,
            handle: order.kv.handle.clone(),
            kv_tokens: hold.kv_tokens,
        };
        self.order(key, task);
    }

    pub(super) fn imported(&mut self, now: Instant, key: Key, result: Result<(), Fault>) {
        self.link.release(key);
        self.changed = true;
        let Some(hold) = self.holds.get_mut(key) else { return };
        match (hold.stage, result) {
            (Stage::Importing, Ok(())) => self.generate(key),
            (Stage::Importing, Err(fault)) => {
                let failure = match fault {
                    // No generation was ordered; the prefill has run.
                    Fault::Missing | Fault::Unknown => failure(Cause::KvLost, Ran::Ran),
                    Fault::Full => failure(Cause::Full, Ran::NotRun),
                    Fault::Fenced => self.fenced(Ran::NotRun),
                    Fault::Unreachable | Fault::Late | Fault::Refused => {
                        failure(Cause::Backend, Ran::NotRun)
                    }
                };
                self.fail_order(now, key, fault, failure);
            }
            _ => self.order_closed(now, key),
        }
    }

    fn generate(&mut self, key: Key) {
        let Some(hold) = self.holds.get_mut(key) else { return };
        let Work::Decode(_, Some(order)) = &hold.work else { return };
        let priority = super::order::priority(hold.may_wait);
        let task = Task::Decode { output_tokens: order.output_tokens, priority };
        hold.stage = Stage::Decoding { retry: None, tries: 0 };
        self.order(key, task);
    }

    pub(super) fn token(&mut self, now: Instant, key: Key, offset: u32, text: Arc<str>) {
        let Some(hold) = self.holds.get_mut(key) else { return };
        let Stage::Decoding { tries, .. } = &mut hold.stage else { return };
        let expected = hold.answer.end();
        if offset < expected {
            return;
        }
        if offset > expected {
            self.effects.push(super::Effect::Abort(key));
            self.stream_broken(now, key, Fault::Unknown);
            return;
        }
        *tries = 0;
        hold.answer.tokens.push(text.clone());
        if let Some(last) = hold.answer.token_at.replace(now) {
            self.pace.decoded(now.since(last));
        }
        let (request, attempt) = hold.id;
        self.tell(key, Frame::Tokens(request, attempt, offset, vec![text]));
    }

    pub(super) fn stream_end(&mut self, now: Instant, key: Key, total: u32, finish: Finish) {
        let Some(hold) = self.holds.get_mut(key) else { return };
        if !matches!(hold.stage, Stage::Decoding { .. }) {
            return;
        }
        if hold.answer.end() != total {
            self.stream_broken(now, key, Fault::Unknown);
            return;
        }
        hold.answer.finish = Some(finish);
        if let Work::Decode(ask, _) = &hold.work {
            let unused = ask.output_tokens.saturating_sub(total);
            self.fair.refund(&hold.organisation, u64::from(unused));
        }
        hold.stage = Stage::Ended { until: now + self.settings.ended_keep };
        let (request, attempt) = hold.id;
        self.count(Counter::Whole);
        self.changed = true;
        let load = self.load(now);
        self.tell(key, Frame::End(request, attempt, total, finish, load));
    }

    pub(super) fn stream_broken(&mut self, now: Instant, key: Key, fault: Fault) {
        let Some(hold) = self.holds.get_mut(key) else { return };
        let Stage::Decoding { tries, .. } = hold.stage else { return };
        let lost = match fault {
            Fault::Missing => Some(failure(Cause::Backend, Ran::Ran)),
            Fault::Fenced => Some(self.fenced(Ran::Ran)),
            _ if tries >= STREAM_TRIES => Some(failure(Cause::Backend, Ran::Ran)),
            _ => None,
        };
        match lost {
            Some(failure) => self.fail(now, key, failure),
            None => {
                let stage = Stage::Decoding { retry: Some(now + STREAM_RETRY), tries: tries + 1 };
                self.set_stage(key, stage);
            }
        }
    }

    /// Follows the streams again that broke a while ago.
    pub(super) fn follow_streams(&mut self, now: Instant) {
        let due = self.holds.iter().filter_map(|(key, hold)| match hold.stage {
            Stage::Decoding { retry: Some(at), tries } if at <= now => Some((key, tries)),
            _ => None,
        });
        let due: Vec<_> = due.collect();
        for (key, tries) in due {
            self.set_stage(key, Stage::Decoding { retry: None, tries });
            let offset = self.holds.get(key).map_or(0, |hold| hold.answer.end());
            self.order(key, Task::Resume { offset });
        }
    }

    pub(super) fn set_stage(&mut self, key: Key, stage: Stage) {
        if let Some(hold) = self.holds.get_mut(key) {
            hold.stage = stage;
        }
    }
}

pub(super) fn failure(cause: Cause, ran: Ran) -> Failure {
    Failure { ran, cause, retry_after_ms: 0 }
}
