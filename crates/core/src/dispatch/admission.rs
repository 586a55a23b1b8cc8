//! Turns: who goes at once, who waits, and who is refused.

use super::engine::{Assignment, LengthEstimate, Loads};
use super::{Dispatch, Placement};
use crate::forecast;
use crate::queue::{self, Waiting};
use crate::time::Instant;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Waiting requests of a host that others make way for.
pub(super) const MAX_OLDER_WAITING: usize = 8;

/// A request that waits.
pub type Ticket = queue::Key;

/// What is asked for a generation. Tokens are counted.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Service.
    pub service: Arc<str>,
    /// Organisation that it runs for.
    pub organisation: Arc<str>,
    /// Prompt.
    pub prompt_tokens: u64,
    /// Longest answer.
    pub output_tokens: u64,
    /// Answer that the caller expects.
    pub hint: Option<u64>,
    /// When it arrived.
    pub arrived: Instant,
    /// When its first token must come; absent where that is late already.
    pub first_token_by: Option<Instant>,
    /// When it must have ended.
    pub deadline: Instant,
    /// Longest pause between events of a stream that is in time.
    pub max_pause: Option<Duration>,
    /// Work was done for it already that is in vain if it has to wait: its turn is the next.
    pub urgent: bool,
    /// Its prompt is prefilled already.
    pub prefilled: bool,
}

impl Request {
    /// What it will hold of an engine's memory.
    pub(super) fn memory(&self, length: &LengthEstimate) -> forecast::Generation {
        forecast::Generation {
            context: self.prompt_tokens as f64,
            generated: 0.0,
            expected: length.estimate(self.hint, self.output_tokens),
            max_tokens: self.output_tokens as f64,
        }
    }
}

/// A request that can't be served in time. Nothing of it has run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusal {
    /// Requests that wait before it, here and at peers.
    pub ahead: usize,
    /// When room is expected.
    pub retry_after: Duration,
}

/// What becomes of a request.
#[derive(Debug)]
pub enum Effect<T> {
    /// It goes.
    Admit(T, Placement),
    /// It is refused.
    Refuse(T, Refusal),
}

/// When callers that were refused were asked to come back.
#[derive(Debug, Default)]
pub(super) struct PendingRetries(VecDeque<Instant>);

impl PendingRetries {
    fn pending(&mut self, now: Instant) -> usize {
        self.0.retain(|at| now < *at);
        self.0.len()
    }
}

impl<T> Dispatch<T> {
    /// Asks for a turn: the request goes at once, waits, or is refused.
    pub fn submit(&mut self, now: Instant, request: Request, item: T) -> Result<Ticket, Effect<T>> {
        let (loads, draw) = (self.loads(now), self.draw());
        if (self.queue.is_empty() || request.urgent)
            && let Some(assignment) = self.assign(now, &request, &loads, draw)
        {
            return Err(Effect::Admit(item, self.place(now, &request, assignment)));
        }
        let admit_by = self.admit_by(now, &request).min(request.deadline);
        let ahead = self.total_waiting();
        let expected_wait = self.time_until_completions(now, &request.service, ahead + 1);
        if expected_wait.is_none_or(|wait| now + wait > admit_by) {
            let refusal = self.refuse(now, &request);
            return Err(Effect::Refuse(item, refusal));
        }
        let waiting = Waiting {
            organisation: request.organisation.clone(),
            may_wait: false,
            tokens: request.prompt_tokens + request.output_tokens,
            arrived: request.arrived,
            target: if request.first_token_by.is_some() { admit_by } else { now },
            deadline: admit_by,
            returned: request.urgent,
            item: (request, item),
        };
        match self.queue.push(now, waiting) {
            Ok(ticket) => Ok(ticket),
            Err(refused) => {
                let (request, item) = refused.item;
                let refusal = self.refuse(now, &request);
                Err(Effect::Refuse(item, refusal))
            }
        }
    }

    /// Takes back a request that waits, because its caller is gone.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    /// Whether requests wait.
    pub fn has_waiting(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Gives turns to requests that wait, and refuses those for which it is too late.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect<T>> {
        let mut effects = Vec::new();
        while let Some((item, placement)) = self.admit_next(now) {
            effects.push(Effect::Admit(item, placement));
        }
        for waiting in self.queue.expire(now, |_| false) {
            let (request, item) = waiting.item;
            let refusal = self.refuse(now, &request);
            effects.push(Effect::Refuse(item, refusal));
        }
        effects
    }

    fn admit_next(&mut self, now: Instant) -> Option<(T, Placement)> {
        if self.queue.is_empty() {
            return None;
        }
        let (loads, draw) = (self.loads(now), self.draw());
        let mut queue = std::mem::replace(&mut self.queue, queue::Queue::new(self.settings.queue));
        let dequeued =
            queue.dequeue(now, |waiting| self.assign(now, &waiting.item.0, &loads, draw));
        self.queue = queue;
        let (waiting, assignment) = dequeued?;
        let (request, item) = waiting.item;
        Some((item, self.place(now, &request, assignment)))
    }

    /// When a request's turn must come.
    fn admit_by(&self, now: Instant, request: &Request) -> Instant {
        match request.first_token_by {
            Some(first_token_by) => first_token_by - self.min_time_to_first_token(now, request),
            None => now + self.settings.late_wait,
        }
    }

    /// Where a request goes now, once older requests that wait at peers have their turns.
    fn assign(
        &self,
        now: Instant,
        request: &Request,
        loads: &Loads,
        draw: u64,
    ) -> Option<Assignment> {
        let first_token_by = request.first_token_by.unwrap_or(now + self.settings.late_wait);
        let prefill_mode = self.prefill_mode(now, request, first_token_by)?;
        let ahead: usize =
            self.peers.values().map(|peer| peer.older_waiting(now, request.arrived)).sum();
        if ahead == 0 || request.urgent {
            let (decode, basis) = self.choose_decode(now, request, loads, draw)?;
            return Some(Assignment { decode, prefill_mode, basis });
        }
        let mut loads = loads.clone();
        let memory = request.memory(&self.pools.get(&request.service)?.length);
        for _ in 0..ahead.min(MAX_OLDER_WAITING) {
            let (decode, _) = self.choose_decode(now, request, &loads, draw)?;
            loads.entry(decode).or_default().push(memory);
        }
        let (decode, basis) = self.choose_decode(now, request, &loads, draw)?;
        Some(Assignment { decode, prefill_mode, basis })
    }

    fn total_waiting(&self) -> usize {
        self.queue.len() + self.peers.values().map(super::Peer::waiting).sum::<usize>()
    }

    /// Refuses a request, and says when room is expected for it: after all that wait, and after
    /// those that were asked to come back before it.
    fn refuse(&mut self, now: Instant, request: &Request) -> Refusal {
        let ahead = self.total_waiting();
        let hosts = self.peers.len() + 1;
        let ahead_with_retries = ahead + self.pending_retries.pending(now) * hosts;
        let (shortest, longest) = self.settings.retry_after;
        let wait = self
            .time_until_completions(now, &request.service, ahead_with_retries + 1)
            .unwrap_or(shortest);
        let retry_after = wait.clamp(shortest, longest);
        self.pending_retries.0.push_back(now + retry_after);
        Refusal { ahead, retry_after }
    }
}
