//! Waiting: fair between organisations, interactive before may-wait, early refusal.
//!
//! Start-time fair queueing by tokens: an organisation's virtual time grows by the tokens of each
//! request that is served, and the organisation with the least is next. One that was idle starts
//! at the queue's virtual time, so that it can't save up turns. Interactive requests go first, but
//! every [`Settings::may_wait_every`]th turn belongs to a request that may wait, if there is one.

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
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { per_organisation: 256, total: 4_096, may_wait_every: 8 }
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
    pub why: Refusal,
    /// What the queue's owner keeps with it.
    pub item: T,
}

#[derive(Debug, Default)]
struct Lane {
    interactive: VecDeque<Key>,
    may_wait: VecDeque<Key>,
    virtual_time: u64,
}

impl Lane {
    fn class(&self, may_wait: bool) -> &VecDeque<Key> {
        if may_wait { &self.may_wait } else { &self.interactive }
    }

    fn class_mut(&mut self, may_wait: bool) -> &mut VecDeque<Key> {
        if may_wait { &mut self.may_wait } else { &mut self.interactive }
    }

    fn waiting(&self) -> usize {
        self.interactive.len() + self.may_wait.len()
    }
}

/// Requests that wait for their turn.
#[derive(Debug)]
pub struct Queue<T> {
    settings: Settings,
    entries: SlotMap<Key, Waiting<T>>,
    lanes: HashMap<Arc<str>, Lane>,
    virtual_time: u64,
    interactive_turns: u32,
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
            interactive_turns: 0,
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

    /// Takes a request in.
    ///
    /// # Errors
    ///
    /// When there is no room, or its turn would surely come too late.
    pub fn push(&mut self, now: Instant, waiting: Waiting<T>) -> Result<Key, Refused<T>> {
        if !waiting.returned
            && let Err(why) = self.admit(now, &waiting)
        {
            return Err(Refused { why, item: waiting.item });
        }
        let organisation = waiting.organisation.clone();
        let (may_wait, returned) = (waiting.may_wait, waiting.returned);
        let key = self.entries.insert(waiting);
        let lane = self.lanes.entry(organisation).or_default();
        if lane.waiting() == 0 && !returned {
            lane.virtual_time = lane.virtual_time.max(self.virtual_time);
        }
        let class = lane.class_mut(may_wait);
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
                false => lane.interactive.len(),
            });
        let sharing = self.lanes.values().filter(|lane| lane.waiting() > 0).count().max(1);
        let turns = (ahead * sharing).min(self.entries.len());
        self.pace.turn_ms(turns)
    }

    /// Gives the next turn to the first request that `place` accepts.
    pub fn take<R>(
        &mut self,
        now: Instant,
        mut place: impl FnMut(&Waiting<T>) -> Option<R>,
    ) -> Option<(Waiting<T>, R)> {
        let may_wait_first = self.interactive_turns + 1 >= self.settings.may_wait_every;
        for may_wait in [may_wait_first, !may_wait_first] {
            for organisation in self.by_virtual_time(may_wait) {
                let head = self.lanes[&organisation].class(may_wait).front().copied();
                let Some(key) = head else { continue };
                if let Some(placed) = place(&self.entries[key]) {
                    return self.serve(now, key).map(|waiting| (waiting, placed));
                }
            }
        }
        None
    }

    fn by_virtual_time(&self, may_wait: bool) -> Vec<Arc<str>> {
        let lanes = self.lanes.iter().filter(|(_, lane)| !lane.class(may_wait).is_empty());
        let mut order: Vec<_> =
            lanes.map(|(name, lane)| (lane.virtual_time, name.clone())).collect();
        order.sort_unstable();
        order.into_iter().map(|(_, name)| name).collect()
    }

    fn serve(&mut self, now: Instant, key: Key) -> Option<Waiting<T>> {
        let waiting = self.remove(key)?;
        self.interactive_turns = if waiting.may_wait {
            0
        } else {
            (self.interactive_turns + 1).min(self.settings.may_wait_every)
        };
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
            lane.class_mut(waiting.may_wait).retain(|other| *other != key);
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
