//! Admission: a request is admitted at once, queued or refused. An admitted request is placed on a
//! decode engine, and on a prefill engine if its prompt needs one.

use super::engine::{Assignment, GenerationsByEngine, LengthEstimate};
use super::{Dispatch, Placement, Residency, Stage};
use crate::forecast;
use crate::prefix::Prefix;
use crate::queue::{self, Waiting};
use crate::time::Instant;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of a host's waiting requests that are reported to its peers, and for which memory
/// is left before a younger request is admitted.
pub(super) const MAX_OLDER_WAITING: usize = 8;

/// Place of late requests of the first rank in the order of admission. Ranks are lower.
const LATE_ORDER: u8 = 128;

/// Identifies a waiting request.
pub type Ticket = queue::Key;

/// A request for the placement of a generation.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Service that the request is for.
    pub service: Arc<str>,
    /// Organisation that the request belongs to.
    pub organisation: Arc<str>,
    /// Priority, that of the organisation if it states one, and else that of the route; 0 is the
    /// most urgent.
    pub priority: u8,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Maximum length of the answer, in tokens.
    pub output_tokens: u64,
    /// Length of the answer that the caller expects, in tokens, if given.
    pub length_hint: Option<u64>,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the first token is due, or `None` if that time has already passed.
    pub first_token_by: Option<Instant>,
    /// When the caller leaves if it has no first token.
    pub leaves_at: Instant,
    /// When the request must have ended.
    pub deadline: Instant,
    /// Maximum pause between the events of a stream, or `None` if there is no limit.
    pub max_pause: Option<Duration>,
    /// Whether work already done for the request would be lost if it had to wait. Urgent requests
    /// are admitted before all others.
    pub urgent: bool,
    /// Whether the prompt is already prefilled.
    pub prefilled: bool,
    /// Prefixes of the prompt, shortest first, that engines may hold; empty if its parts are unknown or not shared.
    pub prefixes: Arc<[Prefix]>,
    /// Whether the stream that answers the request may be resumed, so that other hosts must know its build.
    pub resumable: bool,
    /// Build whose engines may generate, or `None` if any may: what two builds write does not fit together.
    pub build: Option<Arc<str>>,
    /// Regions whose servers may get the request.
    pub residency: Residency,
}

impl Request {
    /// Returns whether only engines of a build or region may serve the request.
    fn is_restricted(&self) -> bool {
        self.build.is_some() || self.residency.is_restricted()
    }

    /// Returns whether the first token can no longer be in time. Urgent requests have no latency
    /// target.
    pub(super) fn is_late(&self) -> bool {
        self.first_token_by.is_none() && !self.urgent
    }

    /// Returns the request's place in the order of admission over all hosts, given the rank of its
    /// priority: those that can be in time go before those that are late.
    pub(super) fn order(&self, rank: u8) -> u8 {
        if self.is_late() { rank.saturating_add(LATE_ORDER) } else { rank }
    }

    /// Returns the generation that the request would start, as the forecast of an engine's memory
    /// counts it.
    pub(super) fn forecast_generation(&self, length: &LengthEstimate) -> forecast::Generation {
        forecast::Generation {
            held_tokens: self.prompt_tokens as f64,
            generated_tokens: 0.0,
            expected_tokens: length.estimate(self.length_hint, self.output_tokens),
            max_tokens: self.output_tokens as f64,
        }
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RefusalReason {
    /// No server is available.
    #[default]
    NoServer,
    /// All decode engines have asked for no requests.
    Quiet,
    /// Its first token is not expected in time.
    Late,
    /// It has waited until its first token could no longer come in time.
    Expired,
    /// The queue is full.
    QueueFull,
    /// It waited, and more urgent requests that came later leave no room for it in time.
    Displaced,
}

impl RefusalReason {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::NoServer => "no_server",
            RefusalReason::Quiet => "quiet",
            RefusalReason::Late => "late",
            RefusalReason::Expired => "expired",
            RefusalReason::QueueFull => "queue_full",
            RefusalReason::Displaced => "displaced",
        }
    }
}

/// Refusal of a request that can't be served in time. No part of the request has run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// Requests that wait ahead of it, on this host and its peers.
    pub ahead: usize,
    /// Time after which capacity is expected.
    pub retry_after: Duration,
}

/// Outcome of admission, with the item that the caller attached to the request.
#[derive(Debug)]
pub enum Effect<T> {
    /// The request was admitted.
    Admit(T, Placement),
    /// The request was refused.
    Refuse(T, Refusal),
}

/// When refused callers were asked to retry.
#[derive(Debug, Default)]
pub(super) struct PendingRetries(VecDeque<Instant>);

impl PendingRetries {
    /// Returns how many refused callers have not reached their retry time, and forgets the others.
    pub(super) fn pending(&mut self, now: Instant) -> usize {
        self.0.retain(|retry_at| now < *retry_at);
        self.0.len()
    }

    /// Records that a refused caller was asked to retry at `retry_at`.
    pub(super) fn add(&mut self, retry_at: Instant) {
        self.0.push_back(retry_at);
    }
}

impl<T> Dispatch<T> {
    /// Submits a request. Returns a ticket if the request has to wait, or the effect if it is
    /// admitted or refused at once.
    ///
    /// A request is admitted at once only if none waits on this host, except for an engine of its build or region, or ones
    /// of its service that go after it, or it is urgent. Less urgent ones go after it, and late ones after one that is in
    /// time. It is refused if too few known generations are expected to end in time to
    /// make room for itself and for all requests that wait on this host and its peers and are not less urgent, or the
    /// limits of the decode engines don't allow them in time, if all decode engines have asked for no requests or are in
    /// evacuated failure domains, if it needs a build or region that has none, or if a limit of the queue is reached. A less urgent request that waits is refused
    /// instead where it takes a place in the queue, with the next [`Dispatch::tick`].
    pub fn submit(&mut self, now: Instant, request: Request, item: T) -> Result<Ticket, Effect<T>> {
        let (generations_by_engine, shuffle_seed) =
            (self.known_generations(now), self.shuffle_seeds.next());
        let rank = self.draw_rank(&request);
        // One that waits for an engine of its build or region holds up no other.
        let is_next = !self.queue.any(|waiting| {
            let goes_after = waiting.item.0.order(waiting.rank) > request.order(rank)
                && waiting.item.0.service == request.service;
            !self.is_bound(&waiting.item.0) && !goes_after
        });
        if (is_next || request.urgent)
            && let Some(assignment) =
                self.assign(now, &request, rank, &generations_by_engine, shuffle_seed)
        {
            return Err(Effect::Admit(item, self.place(now, &request, assignment)));
        }
        self.record_shortage(now, &request, rank);
        let is_quiet = self.backoff_left(now, &request.service, Some(Stage::Decode)).is_some();
        if is_quiet
            || self.is_stranded(&request)
            || self.excluded_for(now, &request).is_some()
            || request.build.as_ref().is_some_and(|build| !self.has_build(&request.service, build))
        {
            let reason = if is_quiet { RefusalReason::Quiet } else { RefusalReason::NoServer };
            let refusal = self.refuse(now, &request, rank, reason);
            return Err(Effect::Refuse(item, refusal));
        }
        let admit_by = self.admit_by(now, &request).min(request.deadline);
        let expected_wait = self.expected_wait(
            now,
            &request,
            self.waiting_up_to(&request.service, request.order(rank)),
        );
        if expected_wait.is_none_or(|wait| now + wait > admit_by) || admit_by < now {
            let refusal = self.refuse(now, &request, rank, RefusalReason::Late);
            return Err(Effect::Refuse(item, refusal));
        }
        let waiting = Waiting {
            organisation: request.organisation.clone(),
            may_wait: false,
            rank,
            tokens: request.prompt_tokens.saturating_add(request.output_tokens),
            arrived: request.arrived,
            target: if request.first_token_by.is_some() { admit_by } else { now },
            deadline: admit_by,
            returned: request.urgent,
            item: (request, item),
        };
        self.make_room(now, &waiting);
        match self.queue.push(now, waiting) {
            Ok(ticket) => Ok(ticket),
            Err(refused) => {
                let (request, item) = refused.item;
                let refusal = self.refuse(now, &request, rank, RefusalReason::QueueFull);
                Err(Effect::Refuse(item, refusal))
            }
        }
    }

    /// If a limit of the queue is reached, evicts the least urgent waiting request in favour of one that is more urgent:
    /// one of the same organisation if the limit is that of the organisation.
    fn make_room(&mut self, now: Instant, incoming: &Waiting<(Request, T)>) {
        let organisation = match self.queue.full_for(incoming) {
            None => return,
            Some(queue::Refusal::OrganisationFull) => Some(&incoming.organisation),
            Some(_) => None,
        };
        let evicted = self.queue.least_urgent(incoming.rank, |waiting| {
            let is_same_service = waiting.item.0.service == incoming.item.0.service;
            is_same_service && organisation.is_none_or(|name| waiting.organisation == *name)
        });
        if let Some(key) = evicted {
            let effect = self.refuse_waiting(now, key, RefusalReason::Displaced);
            self.evicted.extend(effect);
        }
    }

    /// Returns whether only some engines may serve a request, so that others may pass it in the queue.
    fn is_bound(&self, request: &Request) -> bool {
        let waits_for_build = request.resumable && request.build.is_none();
        request.is_restricted()
            || waits_for_build && self.unannounced_builds.contains_key(&request.service)
    }

    /// Removes a waiting request from the queue and refuses it. Returns `None` if it no longer waits.
    pub(super) fn refuse_waiting(
        &mut self,
        now: Instant,
        ticket: Ticket,
        reason: RefusalReason,
    ) -> Option<Effect<T>> {
        let waiting = self.queue.remove(ticket)?;
        let (request, item) = waiting.item;
        Some(Effect::Refuse(item, self.refuse(now, &request, waiting.rank, reason)))
    }

    /// Removes a waiting request whose caller has gone.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    /// Returns whether requests are waiting, or were evicted since the last [`Dispatch::tick`].
    pub fn has_waiting(&self) -> bool {
        !self.queue.is_empty() || !self.evicted.is_empty()
    }

    /// Admits waiting requests that now fit, and refuses those that can no longer be served in
    /// time.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect<T>> {
        let mut effects = std::mem::take(&mut self.evicted);
        while let Some((item, placement)) = self.admit_next(now) {
            effects.push(Effect::Admit(item, placement));
        }
        for waiting in self.take_expired(now) {
            let (request, item) = waiting.item;
            let refusal = self.refuse(now, &request, waiting.rank, RefusalReason::Expired);
            effects.push(Effect::Refuse(item, refusal));
        }
        effects.extend(self.evict_displaced(now));
        effects
    }

    /// Returns the retry time of a request that must not wait, because its regions leave no engine that accepts requests.
    fn excluded_for(&self, now: Instant, request: &Request) -> Option<Duration> {
        let (service, stage) = (&request.service, Some(Stage::Decode));
        self.excluded_retry_after(now, service, stage, &request.residency)
    }

    /// Removes and returns the waiting requests that can no longer be served in time, or for which evacuations or their
    /// regions have left no engine.
    fn take_expired(&mut self, now: Instant) -> Vec<Waiting<(Request, T)>> {
        let mut queue = std::mem::replace(&mut self.queue, queue::Queue::new(self.settings.queue));
        let expired = queue.expire(now, |waiting| {
            let request = &waiting.item.0;
            self.is_stranded(request) || self.excluded_for(now, request).is_some()
        });
        self.queue = queue;
        expired
    }

    /// Admits the first waiting request that can be placed now, in the order of the queue.
    fn admit_next(&mut self, now: Instant) -> Option<(T, Placement)> {
        if self.queue.is_empty() {
            return None;
        }
        let (generations_by_engine, shuffle_seed) =
            (self.known_generations(now), self.shuffle_seeds.next());
        let mut queue = std::mem::replace(&mut self.queue, queue::Queue::new(self.settings.queue));
        let is_bound = |request: &Request| self.is_bound(request);
        let dequeued = queue.dequeue_passing(
            now,
            |waiting| is_bound(&waiting.item.0),
            |waiting| {
                let request = &waiting.item.0;
                self.assign(now, request, waiting.rank, &generations_by_engine, shuffle_seed)
            },
        );
        self.queue = queue;
        let (waiting, assignment) = dequeued?;
        let (request, item) = waiting.item;
        Some((item, self.place(now, &request, assignment)))
    }

    /// Returns the time by which a request must be admitted for its first token to come in time. If
    /// that is late already, the request may wait for [`super::Settings::late_wait`], but not so long
    /// that its caller leaves before the first token.
    fn admit_by(&self, now: Instant, request: &Request) -> Instant {
        let time_to_first_token = self.min_time_to_first_token(now, request);
        match request.first_token_by {
            Some(first_token_by) => first_token_by - time_to_first_token,
            None => (now + self.settings.late_wait).min(request.leaves_at - time_to_first_token),
        }
    }

    /// Chooses the decode engine and the prefill mode for a request. Returns `None` if the request
    /// can't be admitted now.
    ///
    /// More urgent requests that wait at peers, and older ones of the same rank, are admitted first:
    /// a request that is not urgent must leave memory for up to [`MAX_OLDER_WAITING`] of them, which
    /// are assumed to be of its own size. A less urgent request also leaves memory for more urgent
    /// ones while such find none. A late request goes after all that can be in time, and its prompt
    /// only to an idle prefill engine.
    fn assign(
        &self,
        now: Instant,
        request: &Request,
        rank: u8,
        generations_by_engine: &GenerationsByEngine,
        shuffle_seed: u64,
    ) -> Option<Assignment> {
        let order = request.order(rank);
        let waiting_before =
            self.waiting_before_at_peers(now, &request.service, order, request.arrived);
        let prefill_mode = match request.first_token_by {
            Some(first_token_by) => self.prefill_mode(now, request, first_token_by),
            None => self.late_prefill_mode(now, request, waiting_before),
        }?;
        let before = waiting_before + self.room_to_leave(now, &request.service, rank);
        if before == 0 || request.urgent {
            let (decode, basis) =
                self.choose_decode(now, request, generations_by_engine, shuffle_seed)?;
            return Some(Assignment { decode, prefill_mode, basis });
        }
        let mut generations_by_engine = generations_by_engine.clone();
        let forecast = request.forecast_generation(&self.pools.get(&request.service)?.length);
        for _ in 0..before.min(MAX_OLDER_WAITING) {
            let (decode, _) =
                self.choose_decode(now, request, &generations_by_engine, shuffle_seed)?;
            generations_by_engine.entry(decode).or_default().push(forecast);
        }
        let (decode, basis) =
            self.choose_decode(now, request, &generations_by_engine, shuffle_seed)?;
        Some(Assignment { decode, prefill_mode, basis })
    }

    /// Returns the number of waiting requests of this host and its peers whose order of admission is
    /// at most `order`. Those of peers that state no order count whatever their service.
    fn waiting_up_to(&self, service: &str, order: u8) -> usize {
        let own = self.queue.iter().filter(|(_, waiting)| {
            let request = &waiting.item.0;
            request.order(waiting.rank) <= order && *request.service == *service
        });
        let at_peers = self.peers.values().map(|peer| peer.waiting_up_to(service, order));
        own.count() + at_peers.sum::<usize>()
    }

    /// Returns the number of requests that wait at peers and are admitted before one with `order` that
    /// arrived at `arrived`.
    pub(super) fn waiting_before_at_peers(
        &self,
        now: Instant,
        service: &str,
        order: u8,
        arrived: Instant,
    ) -> usize {
        self.peers.values().map(|peer| peer.waiting_before(now, service, order, arrived)).sum()
    }

    /// Returns the time until there is room on the decode engines for a request after `ahead` others. Returns `None` if
    /// that is not known to come.
    pub(super) fn expected_wait(
        &self,
        now: Instant,
        request: &Request,
        ahead: usize,
    ) -> Option<Duration> {
        self.throttled_for(now, &request.service, Some(Stage::Decode), ahead)
            .or_else(|| self.time_until_completions(now, request, ahead + 1))
    }

    /// Refuses a request. The retry time is when capacity is expected after all waiting requests that
    /// are not less urgent, and all refused callers that were asked to retry before this one. The
    /// latter are estimated as this host's number times the number of hosts. It is later if all decode
    /// engines have asked for no requests until then, their limits allow none before, the prefill engines are not expected
    /// to have prefilled the prompts ahead, or none is left outside evacuated failure domains and in the regions that
    /// the request may reach.
    fn refuse(
        &mut self,
        now: Instant,
        request: &Request,
        rank: u8,
        reason: RefusalReason,
    ) -> Refusal {
        let ahead = self.waiting_up_to(&request.service, request.order(rank));
        let evacuated = self.evacuated_retry_after(&request.service, Some(Stage::Decode));
        if let Some(retry_after) = evacuated.or_else(|| self.excluded_for(now, request)) {
            return Refusal { reason, ahead, retry_after };
        }
        let hosts = self.peers.len() + 1;
        let ahead_with_retries = ahead + self.pending_retries.pending(now) * hosts;
        let (shortest, longest) = self.settings.retry_after;
        let wait =
            self.time_until_completions(now, request, ahead_with_retries + 1).unwrap_or(shortest);
        let quiet = self.backoff_left(now, &request.service, Some(Stage::Decode));
        let decode = Some(Stage::Decode);
        let throttled = self.throttled_for(now, &request.service, decode, ahead_with_retries);
        let prefill = self.prefill_backlog(now, request, ahead_with_retries);
        let wait = wait.max(throttled.unwrap_or_default()).max(prefill.unwrap_or_default());
        let retry_after = quiet.unwrap_or_default().max(wait.clamp(shortest, longest));
        self.pending_retries.add(now + retry_after);
        Refusal { reason, ahead, retry_after }
    }
}
