//! Waiting: fair between organisations, interactive before may-wait, early refusal.
//!
//! Start-time fair queueing by tokens: an organisation's virtual time grows by the tokens of each
//! request that is served, and the organisation with the least is next. One that was idle starts
//! at the queue's virtual time, so that it can't save up turns.
//!
//! Interactive requests go first while they can still meet their latency target. One that can't
//! any more is late: under overload it would only make the next one late as well. Every
//! [`Settings::may_wait_every`]th turn belongs to a request that may wait, and every
//! [`Settings::late_every`]th to one that is late; otherwise these get the turns that are left.

#[cfg(test)]
mod tests;

use crate::time::Instant;
use slotmap::SlotMap;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

slotmap::new_key_type! {
    /// A request that waits.
    pub struct Key;
}

/// Bounds on waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Requests that one organisation may have waiting.
    pub per_organisation: usize,
    /// Requests that may wait in all.
    pub total: usize,
    /// One turn in so many belongs to requests that may wait.
    pub may_wait_every: u32,
    /// One turn in so many belongs to interactive requests that are late.
    pub late_every: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { per_organisation: 256, total: 4_096, may_wait_every: 8, late_every: 32 }
    }
}

/// A request that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting<T> {
    /// Organisation that it runs for.
    pub organisation: Arc<str>,
    /// Whether it may wait behind interactive requests.
    pub may_wait: bool,
    /// Its size, in tokens.
    pub tokens: u64,
    /// When it arrived in the queue.
    pub arrived: Instant,
    /// When its turn must come for its latency target to be met; its deadline where it has none.
    pub target: Instant,
    /// When its turn must have come.
    pub deadline: Instant,
    /// Whether it had its turn before and is back at the front, without another charge.
    pub returned: bool,
    /// What the queue's owner keeps with it.
    pub item: T,
}

/// Why a request may not wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Its organisation has too many waiting.
    OrganisationFull,
    /// Too many wait in all.
    Full,
    /// Its turn would come after its deadline.
    Deadline {
        /// When its turn would come, in milliseconds.
        wait_ms: u64,
    },
}

/// A request that may not wait, handed back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused<T> {
    /// Why.
    pub reason: Refusal,
    /// What the queue's owner keeps with it.
    pub item: T,
}

/// Kinds of requests, in the order in which they are served when nothing else decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Class {
    Interactive,
    Late,
    MayWait,
}

impl Class {
    const ALL: [Class; 3] = [Class::Interactive, Class::Late, Class::MayWait];
}

#[derive(Debug, Default)]
struct Lane {
    classes: [VecDeque<Key>; 3],
    virtual_time: u64,
}

impl Lane {
    fn class(&self, class: Class) -> &VecDeque<Key> {
        &self.classes[class as usize]
    }

    fn class_mut(&mut self, class: Class) -> &mut VecDeque<Key> {
        &mut self.classes[class as usize]
    }

    fn waiting(&self) -> usize {
        self.classes.iter().map(VecDeque::len).sum()
    }
}

/// Requests that wait for their turn.
#[derive(Debug)]
pub struct Queue<T> {
    settings: Settings,
    entries: SlotMap<Key, Waiting<T>>,
    lanes: HashMap<Arc<str>, Lane>,
    virtual_time: u64,
    /// Turns since a request that may wait, and since a late one, had its own.
    turns_since: [u32; 2],
    pace: Pace,
}

impl<T> Queue<T> {
    /// An empty queue.
    pub fn new(settings: Settings) -> Queue<T> {
        Queue {
            settings,
            entries: SlotMap::with_key(),
            lanes: HashMap::new(),
            virtual_time: 0,
            turns_since: [0; 2],
            pace: Pace::default(),
        }
    }

    /// Changes the bounds; requests that wait already keep their place.
    pub fn set_per_organisation(&mut self, requests: usize) {
        self.settings.per_organisation = requests;
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// When the requests that wait arrived, in no order.
    pub fn arrivals(&self) -> impl Iterator<Item = Instant> {
        self.entries.values().map(|waiting| waiting.arrived)
    }

    /// Takes a request in.
    ///
    /// # Errors
    ///
    /// When there is no room, or its turn would surely come too late.
    pub fn push(&mut self, now: Instant, waiting: Waiting<T>) -> Result<Key, Refused<T>> {
        if !waiting.returned
            && let Err(reason) = self.admit(now, &waiting)
        {
            return Err(Refused { reason, item: waiting.item });
        }
        let organisation = waiting.organisation.clone();
        let class = if waiting.may_wait { Class::MayWait } else { Class::Interactive };
        let returned = waiting.returned;
        let key = self.entries.insert(waiting);
        let lane = self.lanes.entry(organisation).or_default();
        if lane.waiting() == 0 && !returned {
            lane.virtual_time = lane.virtual_time.max(self.virtual_time);
        }
        let class = lane.class_mut(class);
        if returned {
            class.push_front(key)
        } else {
            class.push_back(key)
        }
        Ok(key)
    }

    fn admit(&self, now: Instant, waiting: &Waiting<T>) -> Result<(), Refusal> {
        let lane = self.lanes.get(&waiting.organisation);
        if lane.map_or(0, Lane::waiting) >= self.settings.per_organisation {
            return Err(Refusal::OrganisationFull);
        }
        if self.entries.len() >= self.settings.total {
            return Err(Refusal::Full);
        }
        let wait_ms = self.expected_wait_ms(waiting);
        if wait_ms > now.millis_until(waiting.deadline) {
            return Err(Refusal::Deadline { wait_ms });
        }
        Ok(())
    }

    /// When a request's turn is expected, in milliseconds: what its organisation has before it,
    /// times the number of organisations that share the turns.
    pub fn expected_wait_ms(&self, waiting: &Waiting<T>) -> u64 {
        let ahead =
            self.lanes.get(&waiting.organisation).map_or(0, |lane| match waiting.may_wait {
                true => lane.waiting(),
                false => lane.class(Class::Interactive).len(),
            });
        let sharing = self.lanes.values().filter(|lane| lane.waiting() > 0).count().max(1);
        let turns = (ahead * sharing).min(self.entries.len());
        self.pace.turn_ms(turns)
    }

    /// Gives the next turn to the first request that `place` accepts.
    pub fn dequeue<R>(
        &mut self,
        now: Instant,
        mut place: impl FnMut(&Waiting<T>) -> Option<R>,
    ) -> Option<(Waiting<T>, R)> {
        self.demote(now);
        for class in self.order() {
            for organisation in self.by_virtual_time(class) {
                let head = self.lanes[&organisation].class(class).front().copied();
                let Some(key) = head else { continue };
                if let Some(placed) = place(&self.entries[key]) {
                    return self.serve(now, class, key).map(|waiting| (waiting, placed));
                }
            }
        }
        None
    }

    /// Makes requests late whose latency target can't be met any more.
    fn demote(&mut self, now: Instant) {
        for lane in self.lanes.values_mut() {
            while let Some(key) = lane.class(Class::Interactive).front().copied() {
                if self.entries.get(key).is_some_and(|waiting| waiting.target > now) {
                    break;
                }
                lane.class_mut(Class::Interactive).pop_front();
                lane.class_mut(Class::Late).push_back(key);
            }
        }
    }

    /// The order in which kinds of requests are looked at for the next turn.
    fn order(&self) -> [Class; 3] {
        let [may_wait, late] = self.turns_since;
        let is_due = |class: &Class| match class {
            Class::Interactive => false,
            Class::Late => late + 1 >= self.settings.late_every,
            Class::MayWait => may_wait + 1 >= self.settings.may_wait_every,
        };
        let mut order = Class::ALL;
        order.sort_by_key(|class| !is_due(class));
        order
    }

    fn by_virtual_time(&self, class: Class) -> Vec<Arc<str>> {
        let lanes = self.lanes.iter().filter(|(_, lane)| !lane.class(class).is_empty());
        let mut order: Vec<_> =
            lanes.map(|(name, lane)| (lane.virtual_time, name.clone())).collect();
        order.sort_unstable();
        order.into_iter().map(|(_, name)| name).collect()
    }

    fn serve(&mut self, now: Instant, class: Class, key: Key) -> Option<Waiting<T>> {
        let waiting = self.remove(key)?;
        for (turns, own) in self.turns_since.iter_mut().zip([Class::MayWait, Class::Late]) {
            *turns = if class == own { 0 } else { turns.saturating_add(1) };
        }
        if !waiting.returned {
            let lane = self.lanes.entry(waiting.organisation.clone()).or_default();
            self.virtual_time = self.virtual_time.max(lane.virtual_time);
            lane.virtual_time += waiting.tokens.max(1);
            self.pace.note(now, !self.entries.is_empty());
        }
        self.forget_idle();
        Some(waiting)
    }

    /// Takes a request out, for instance because its caller is gone.
    pub fn remove(&mut self, key: Key) -> Option<Waiting<T>> {
        let waiting = self.entries.remove(key)?;
        if let Some(lane) = self.lanes.get_mut(&waiting.organisation) {
            lane.classes.iter_mut().for_each(|class| class.retain(|other| *other != key));
        }
        Some(waiting)
    }

    /// Takes out every request that `gone` names or whose deadline has passed.
    pub fn expire(&mut self, now: Instant, gone: impl Fn(&Waiting<T>) -> bool) -> Vec<Waiting<T>> {
        let over = |waiting: &Waiting<T>| waiting.deadline <= now || gone(waiting);
        let keys: Vec<_> =
            self.entries.iter().filter(|(_, w)| over(w)).map(|(key, _)| key).collect();
        keys.into_iter().filter_map(|key| self.remove(key)).collect()
    }

    /// Forgets organisations that wait for nothing and are not ahead of the others.
    fn forget_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.lanes.retain(|_, lane| lane.waiting() > 0 || lane.virtual_time > virtual_time);
    }
}

/// How fast turns come while requests wait.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    last: Option<Instant>,
    micros_per_turn: u64,
}

impl Pace {
    /// Weight of a new interval is one in so many.
    const SMOOTHING: u64 = 16;

    /// Notes a turn; the time since the last counts only while others went on waiting.
    fn note(&mut self, now: Instant, others_wait: bool) {
        if let Some(last) = self.last {
            let micros = u64::try_from(now.since(last).as_micros()).unwrap_or(u64::MAX);
            let old = self.micros_per_turn;
            self.micros_per_turn = old - old / Pace::SMOOTHING + micros / Pace::SMOOTHING;
        }
        self.last = others_wait.then_some(now);
    }

    fn turn_ms(self, turns: usize) -> u64 {
        self.micros_per_turn.saturating_mul(turns as u64) / 1_000
    }
}
