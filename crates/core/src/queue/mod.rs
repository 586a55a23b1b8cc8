//! Fair queue of waiting requests, with priorities and early refusal.
//!
//! Organisations share the queue by start-time fair queueing: an organisation's virtual time grows
//! by the tokens of each request that is served, and the organisation with the lowest virtual time
//! is next. An organisation that was idle starts at the queue's virtual time, so that it can't save
//! up capacity.
//!
//! Interactive requests go first while they can still meet their latency target. After that they
//! are late: under overload, serving a late request first would only make the next one late as
//! well. Every [`Settings::may_wait_every`]th dequeue is reserved for a request that may wait, and
//! every [`Settings::late_every`]th for a late one; otherwise these are served only when no
//! interactive request that is on time can be placed.
//!
//! Within each of these classes, requests of a lower rank go first, over all organisations.
//! Organisations share the queue among requests of the same rank.

#[cfg(test)]
mod tests;

use crate::time::Instant;
use slotmap::SlotMap;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

slotmap::new_key_type! {
    /// Identifies a waiting request.
    pub struct Key;
}

/// Limits and reserved shares of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Maximum number of waiting requests per organisation.
    pub max_per_organisation: usize,
    /// Maximum number of waiting requests in total.
    pub max_total: usize,
    /// Every n-th dequeue is reserved for requests that may wait.
    pub may_wait_every: u32,
    /// Every n-th dequeue is reserved for late interactive requests.
    pub late_every: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { max_per_organisation: 256, max_total: 4_096, may_wait_every: 8, late_every: 32 }
    }
}

/// A waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting<T> {
    /// Organisation that the request belongs to.
    pub organisation: Arc<str>,
    /// Whether it may wait behind interactive requests.
    pub may_wait: bool,
    /// Rank of its priority; requests of a lower rank are dequeued first.
    pub rank: u8,
    /// Size of the request, in tokens.
    pub tokens: u64,
    /// When it arrived.
    pub arrived: Instant,
    /// When it must be dequeued to meet its latency target, or its deadline if it has no target.
    pub target: Instant,
    /// When it must be dequeued at the latest.
    pub deadline: Instant,
    /// Whether it was dequeued before and is pushed back to the front. It skips the limits and is
    /// not charged again.
    pub returned: bool,
    /// Value attached by the owner of the queue.
    pub item: T,
}

/// Reason why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The organisation has too many waiting requests.
    OrganisationFull,
    /// Too many requests are waiting in total.
    Full,
    /// The request would be dequeued after its deadline.
    Deadline {
        /// Expected wait, in milliseconds.
        wait_ms: u64,
    },
}

/// A refused request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused<T> {
    /// Reason for the refusal.
    pub reason: Refusal,
    /// Value attached by the owner of the queue.
    pub item: T,
}

/// Priority classes, highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Class {
    Interactive,
    Late,
    MayWait,
}

impl Class {
    const ALL: [Class; 3] = [Class::Interactive, Class::Late, Class::MayWait];
}

/// Waiting requests of one organisation by class and rank, the next one first, and its virtual time.
#[derive(Debug, Default)]
struct Lane {
    /// A rank without waiting requests has no entry.
    classes: [BTreeMap<u8, VecDeque<Key>>; 3],
    virtual_time: u128,
}

impl Lane {
    /// Returns the waiting requests of a class by rank, the next one of each rank first.
    fn class(&self, class: Class) -> &BTreeMap<u8, VecDeque<Key>> {
        &self.classes[class as usize]
    }

    /// Returns the waiting requests of a class and rank, to add to them.
    fn rank_mut(&mut self, class: Class, rank: u8) -> &mut VecDeque<Key> {
        self.classes[class as usize].entry(rank).or_default()
    }

    /// Returns the number of the organisation's waiting requests.
    fn waiting_count(&self) -> usize {
        self.classes.iter().flat_map(BTreeMap::values).map(VecDeque::len).sum()
    }

    /// Returns the number of the organisation's waiting requests that are not dequeued after one of
    /// `rank`, over the given classes.
    fn count_ahead(&self, classes: &[Class], rank: u8) -> usize {
        let ranks = classes.iter().flat_map(|class| self.class(*class).range(..=rank));
        ranks.map(|(_, keys)| keys.len()).sum()
    }
}

/// Queue of waiting requests.
#[derive(Debug)]
pub struct Queue<T> {
    settings: Settings,
    entries: SlotMap<Key, Waiting<T>>,
    lanes: HashMap<Arc<str>, Lane>,
    virtual_time: u128,
    /// Dequeues since the last request that may wait, and since the last late one.
    dequeues_since_last: [u32; 2],
    dequeue_interval: DequeueInterval,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new(settings: Settings) -> Queue<T> {
        Queue {
            settings,
            entries: SlotMap::with_key(),
            lanes: HashMap::new(),
            virtual_time: 0,
            dequeues_since_last: [0; 2],
            dequeue_interval: DequeueInterval::default(),
        }
    }

    /// Changes the maximum number of waiting requests per organisation. Requests that already wait
    /// keep their place.
    pub fn set_max_per_organisation(&mut self, requests: usize) {
        self.settings.max_per_organisation = requests;
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether any waiting request satisfies a condition.
    pub fn any(&self, condition: impl FnMut(&Waiting<T>) -> bool) -> bool {
        self.entries.values().any(condition)
    }

    /// Returns a waiting request.
    pub fn get(&self, key: Key) -> Option<&Waiting<T>> {
        self.entries.get(key)
    }

    /// Returns all waiting requests, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Waiting<T>)> {
        self.entries.iter()
    }

    /// Returns the request to refuse in favour of one of `rank`: of those of a higher rank that satisfy a condition, the
    /// youngest of the highest rank.
    pub fn least_urgent(
        &self,
        rank: u8,
        mut condition: impl FnMut(&Waiting<T>) -> bool,
    ) -> Option<Key> {
        let less_urgent = self
            .entries
            .iter()
            .filter(|(_, waiting)| waiting.rank > rank && !waiting.returned && condition(waiting));
        less_urgent.max_by_key(|(_, waiting)| (waiting.rank, waiting.arrived)).map(|(key, _)| key)
    }

    /// Adds a request. A request that was dequeued before goes to the front without a check of the
    /// limits.
    ///
    /// # Errors
    ///
    /// Returns the reason and the item if a limit is reached or the request would be dequeued after
    /// its deadline.
    pub fn push(&mut self, now: Instant, waiting: Waiting<T>) -> Result<Key, Refused<T>> {
        if !waiting.returned
            && let Err(reason) = self.check_admission(now, &waiting)
        {
            return Err(Refused { reason, item: waiting.item });
        }
        let organisation = waiting.organisation.clone();
        let class = if waiting.may_wait { Class::MayWait } else { Class::Interactive };
        let (returned, rank) = (waiting.returned, waiting.rank);
        let key = self.entries.insert(waiting);
        let lane = self.lanes.entry(organisation).or_default();
        if lane.waiting_count() == 0 && !returned {
            lane.virtual_time = lane.virtual_time.max(self.virtual_time);
        }
        let keys = lane.rank_mut(class, rank);
        if returned {
            keys.push_front(key)
        } else {
            keys.push_back(key)
        }
        Ok(key)
    }

    /// Returns the reason to refuse a request if its organisation or the queue is full, or if its
    /// expected wait exceeds the time to its deadline.
    fn check_admission(&self, now: Instant, waiting: &Waiting<T>) -> Result<(), Refusal> {
        if let Some(reason) = self.full_for(waiting) {
            return Err(reason);
        }
        let wait_ms = self.expected_wait_ms(waiting);
        if wait_ms > now.millis_until(waiting.deadline) {
            return Err(Refusal::Deadline { wait_ms });
        }
        Ok(())
    }

    /// Returns which limit on the number of waiting requests is reached for a request, if any. There is
    /// none for a request that was dequeued before.
    pub fn full_for(&self, waiting: &Waiting<T>) -> Option<Refusal> {
        let lane = self.lanes.get(&waiting.organisation);
        if waiting.returned {
            None
        } else if lane.map_or(0, Lane::waiting_count) >= self.settings.max_per_organisation {
            Some(Refusal::OrganisationFull)
        } else if self.entries.len() >= self.settings.max_total {
            Some(Refusal::Full)
        } else {
            None
        }
    }

    /// Returns the expected wait of a request, in milliseconds: the requests of its organisation
    /// ahead of it, times the number of organisations with waiting requests, but at most all
    /// waiting requests, times the average time per dequeue. Ahead of an interactive request are
    /// only interactive ones that are not late. Requests of a higher rank are not ahead.
    pub fn expected_wait_ms(&self, waiting: &Waiting<T>) -> u64 {
        let ahead =
            self.lanes.get(&waiting.organisation).map_or(0, |lane| match waiting.may_wait {
                true => lane.count_ahead(&Class::ALL, waiting.rank),
                false => lane.count_ahead(&[Class::Interactive], waiting.rank),
            });
        let active_organisations =
            self.lanes.values().filter(|lane| lane.waiting_count() > 0).count().max(1);
        let dequeues = (ahead * active_organisations).min(self.entries.len());
        self.dequeue_interval.wait_ms_for(dequeues)
    }

    /// Removes and returns the first request that `place` accepts, with the value that it returns,
    /// in order of priority and fairness. Of each organisation and class, only the next request is
    /// tried. Returns `None` if none is accepted.
    pub fn dequeue<R>(
        &mut self,
        now: Instant,
        place: impl FnMut(&Waiting<T>) -> Option<R>,
    ) -> Option<(Waiting<T>, R)> {
        self.dequeue_passing(now, |_| false, place)
    }

    /// Removes and returns a request as [`Queue::dequeue`] does. A request that `may_pass` names and that is not accepted
    /// does not hold up the ones behind it.
    pub fn dequeue_passing<R>(
        &mut self,
        now: Instant,
        may_pass: impl Fn(&Waiting<T>) -> bool,
        mut place: impl FnMut(&Waiting<T>) -> Option<R>,
    ) -> Option<(Waiting<T>, R)> {
        self.demote_late(now);
        for class in self.class_order() {
            for rank in self.ranks(class) {
                for organisation in self.organisations_by_virtual_time(class, rank) {
                    let mut accepted = None;
                    for key in
                        self.lanes[&organisation].class(class).get(&rank).into_iter().flatten()
                    {
                        let waiting = &self.entries[*key];
                        accepted = place(waiting).map(|placed| (*key, placed));
                        if accepted.is_some() || !may_pass(waiting) {
                            break;
                        }
                    }
                    if let Some((key, placed)) = accepted {
                        return self.serve(now, class, key).map(|waiting| (waiting, placed));
                    }
                }
            }
        }
        None
    }

    /// Returns the ranks of the waiting requests of a class, in the order in which they are served.
    fn ranks(&self, class: Class) -> BTreeSet<u8> {
        self.lanes.values().flat_map(|lane| lane.class(class).keys().copied()).collect()
    }

    /// Moves requests that can no longer meet their latency target to the late class.
    fn demote_late(&mut self, now: Instant) {
        for lane in self.lanes.values_mut() {
            let ranks: Vec<u8> = lane.class(Class::Interactive).keys().copied().collect();
            for rank in ranks {
                let is_late =
                    |key: &Key| self.entries.get(*key).is_none_or(|waiting| waiting.target <= now);
                let keys = lane.rank_mut(Class::Interactive, rank);
                let late_count = keys.iter().take_while(|key| is_late(key)).count();
                let late: Vec<Key> = keys.drain(..late_count).collect();
                lane.rank_mut(Class::Late, rank).extend(late);
            }
            lane.classes.iter_mut().for_each(|ranks| ranks.retain(|_, keys| !keys.is_empty()));
        }
    }

    /// Returns the classes in the order in which they are tried for the next dequeue.
    fn class_order(&self) -> [Class; 3] {
        let [may_wait, late] = self.dequeues_since_last;
        let is_due = |class: &Class| match class {
            Class::Interactive => false,
            Class::Late => late + 1 >= self.settings.late_every,
            Class::MayWait => may_wait + 1 >= self.settings.may_wait_every,
        };
        let mut order = Class::ALL;
        order.sort_by_key(|class| !is_due(class));
        order
    }

    /// Returns the organisations with waiting requests of a class and rank, in the order in which
    /// they are served.
    fn organisations_by_virtual_time(&self, class: Class, rank: u8) -> Vec<Arc<str>> {
        let lanes = self.lanes.iter().filter(|(_, lane)| lane.class(class).contains_key(&rank));
        let mut order: Vec<_> =
            lanes.map(|(name, lane)| (lane.virtual_time, name.clone())).collect();
        order.sort_unstable();
        order.into_iter().map(|(_, name)| name).collect()
    }

    /// Removes a request that was placed. Charges its size to its organisation, unless it was
    /// charged before, and counts the dequeue for the reserved classes and the expected wait.
    fn serve(&mut self, now: Instant, class: Class, key: Key) -> Option<Waiting<T>> {
        let waiting = self.remove(key)?;
        for (dequeues, reserved_class) in
            self.dequeues_since_last.iter_mut().zip([Class::MayWait, Class::Late])
        {
            *dequeues = if class == reserved_class { 0 } else { dequeues.saturating_add(1) };
        }
        if !waiting.returned {
            let lane = self.lanes.entry(waiting.organisation.clone()).or_default();
            self.virtual_time = self.virtual_time.max(lane.virtual_time);
            lane.virtual_time += u128::from(waiting.tokens.max(1));
            self.dequeue_interval.record(now, !self.entries.is_empty());
        }
        self.forget_idle();
        Some(waiting)
    }

    /// Removes a request, for example because its caller has gone.
    pub fn remove(&mut self, key: Key) -> Option<Waiting<T>> {
        let waiting = self.entries.remove(key)?;
        if let Some(lane) = self.lanes.get_mut(&waiting.organisation) {
            for ranks in &mut lane.classes {
                ranks.retain(|_, keys| {
                    keys.retain(|other| *other != key);
                    !keys.is_empty()
                });
            }
        }
        Some(waiting)
    }

    /// Removes and returns all requests whose deadline has passed or for which `is_cancelled`
    /// returns `true`.
    pub fn expire(
        &mut self,
        now: Instant,
        is_cancelled: impl Fn(&Waiting<T>) -> bool,
    ) -> Vec<Waiting<T>> {
        let is_expired = |waiting: &Waiting<T>| waiting.deadline <= now || is_cancelled(waiting);
        let keys: Vec<_> =
            self.entries.iter().filter(|(_, w)| is_expired(w)).map(|(key, _)| key).collect();
        keys.into_iter().filter_map(|key| self.remove(key)).collect()
    }

    /// Removes organisations without waiting requests, unless their virtual time is ahead of the
    /// queue's.
    fn forget_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.lanes.retain(|_, lane| lane.waiting_count() > 0 || lane.virtual_time > virtual_time);
    }
}

/// Moving average of the time between dequeues while requests wait.
#[derive(Clone, Copy, Debug, Default)]
struct DequeueInterval {
    /// Time of the last dequeue, if requests were left waiting after it.
    last_dequeue_at: Option<Instant>,
    micros_per_dequeue: u64,
}

impl DequeueInterval {
    /// A new interval has a weight of 1/16.
    const SMOOTHING: u64 = 16;

    /// Records a dequeue. The interval since the previous one counts only if requests kept waiting
    /// in between.
    fn record(&mut self, now: Instant, others_wait: bool) {
        if let Some(last_at) = self.last_dequeue_at {
            let micros = u64::try_from(now.since(last_at).as_micros()).unwrap_or(u64::MAX);
            let previous = self.micros_per_dequeue;
            self.micros_per_dequeue = previous - previous / DequeueInterval::SMOOTHING
                + micros / DequeueInterval::SMOOTHING;
        }
        self.last_dequeue_at = others_wait.then_some(now);
    }

    /// Returns the expected time for a number of dequeues, in milliseconds.
    fn wait_ms_for(self, dequeues: usize) -> u64 {
        self.micros_per_dequeue.saturating_mul(dequeues as u64) / 1_000
    }
}
