//! Finds parts of prompts that crash engines, and tells which requests must not be sent to further engines.
//!
//! When an engine crashes, all answers that it was writing break off, and the request that crashed it is one of
//! them: it had just begun. So each young answer that broke off is recorded with the parts of its prompt. A part is held responsible if it
//! was at several engines that crashed one after the other, in different requests, while next to no answers to
//! requests with it were completed. The parts that all these requests had in common are then put into quarantine as a
//! [`Pattern`]: a request is refused if its prompt has all of them, so that requests that share only some of
//! them are served, and show by their answers which part is sound.
//!
//! Hosts exchange what they record, since each of them serves only some of the requests.

#[cfg(test)]
mod tests;

use crate::time::Instant;
use chestnutrack_wire::frame::{Break, QuarantineReport};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Engine crashes that a part must have been at to be held responsible.
const CRASHES_MIN: usize = 4;
/// Crashes among them that no pattern in quarantine accounts for.
const UNEXPLAINED_MIN: usize = 2;
/// Different requests with the part that must have been at these crashes. A single request that was sent again is no
/// sign of its shared parts.
const REQUESTS_MIN: usize = 2;
/// Longest time from when an engine begins to write an answer to the crash that its request causes.
const CRASH_DELAY_MAX: Duration = Duration::from_secs(1);
/// Time after which an answer that broke off is taken into account. By then it is known from all hosts which others
/// broke off with the same engine.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Crashes that are less than this time apart count as one: engines that fail together have a cause of their own.
const SIMULTANEOUS: Duration = Duration::from_millis(20);
/// Crashes for which one completed answer makes up: a part at more of them is not sound.
const CRASHES_PER_COMPLETED: usize = 4;
/// Answers that began in this time before the first crash count as well, for [`PRIOR_TIME`] after it. A part that was
/// sound until then may crash engines now.
const PRIOR_PERIOD: Duration = Duration::from_secs(4);
/// See [`PRIOR_PERIOD`].
const PRIOR_TIME: Duration = Duration::from_secs(3);
/// How long an answer that broke off, or was completed, is remembered.
const RETENTION: Duration = Duration::from_secs(60);
/// How long an answer that broke off is reported to peers.
const REPORT_PERIOD: Duration = Duration::from_secs(2);
/// How long a pattern stays in quarantine, the first time and at most. The time doubles if it comes back.
const HOLD_RANGE: (Duration, Duration) = (Duration::from_secs(300), Duration::from_secs(3_600));
/// How long a pattern that was released is not adopted from peers that have not released it yet.
const RELEASE_MEMORY: Duration = Duration::from_secs(30);
/// Interval over which completed answers are counted together.
const COUNT_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of answers that broke off that are remembered.
const BREAKS_MAX: usize = 512;
/// Maximum number of answers that broke off in one report.
const REPORTED_BREAKS_MAX: usize = 16;
/// Maximum number of parts whose completed answers are counted.
const PARTS_MAX: usize = 4_096;
/// Maximum number of parts whose completed answers are in one report.
const REPORTED_PARTS_MAX: usize = 32;
/// Maximum number of patterns in quarantine.
const PATTERNS_MAX: usize = 64;

/// Parts of a prompt that are in quarantine together: a request with all of them must not be sent to an engine.
pub type Pattern = BTreeSet<Arc<str>>;

/// An answer that broke off, as it is remembered.
#[derive(Clone, Debug)]
struct Record {
    at: Instant,
    /// Whether it broke off at this host.
    is_own: bool,
    answer: Break,
}

impl Record {
    /// Returns whether the answer is taken into account.
    fn is_settled(&self, now: Instant) -> bool {
        now.since(self.at) >= SETTLE_TIME
    }
}

/// Answers that one host has completed for requests with a part, by the time at which they began.
#[derive(Clone, Debug, Default)]
struct Completed(BTreeMap<Instant, u32>);

impl Completed {
    /// Records an answer, in the count of the interval in which it began.
    fn record(&mut self, now: Instant, began_at: Instant) {
        let interval = u64::try_from(COUNT_INTERVAL.as_micros()).unwrap_or(u64::MAX);
        *self.0.entry(Instant(began_at.0 / interval * interval)).or_default() += 1;
        while self.0.first_key_value().is_some_and(|(at, _)| now.since(*at) >= RETENTION) {
            self.0.pop_first();
        }
    }

    /// Returns the number of answers that began since `start`.
    fn since(&self, start: Instant) -> u32 {
        self.0.range(start..).map(|(_, count)| count).sum()
    }
}

/// Crashes that a part was at.
#[derive(Clone, Copy, Debug, Default)]
struct Suspicion {
    crashes: usize,
    /// Crashes that no pattern in quarantine accounts for.
    unexplained: usize,
    requests: usize,
    completed: u32,
    /// Position of the part in prompts.
    position: usize,
}

impl Suspicion {
    /// Returns `true` if the part is held responsible for crashes that no pattern in quarantine accounts for.
    fn is_responsible(&self) -> bool {
        self.crashes >= CRASHES_MIN
            && self.unexplained >= UNEXPLAINED_MIN
            && self.requests >= REQUESTS_MIN
            && !self.is_sound()
    }

    /// Returns `true` if enough answers to requests with the part were completed for the crashes it was at.
    fn is_sound(&self) -> bool {
        self.completed as usize * CRASHES_PER_COMPLETED >= self.crashes
    }
}

/// A pattern in quarantine.
#[derive(Clone, Copy, Debug)]
struct Hold {
    until: Instant,
    duration: Duration,
}

/// Answers that broke off and were completed, and the patterns in quarantine.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: VecDeque<Record>,
    completed: HashMap<Arc<str>, Completed>,
    /// Answers that peers have completed, by peer and part.
    peers: BTreeMap<Arc<str>, BTreeMap<Arc<str>, u32>>,
    holds: BTreeMap<Pattern, Hold>,
    /// Patterns that were released, and when.
    released: BTreeMap<Pattern, Instant>,
    /// When the first answer that has not been taken into account will be.
    evaluate_at: Option<Instant>,
}

impl Quarantine {
    /// Records an answer that broke off at this host and that its engine began to write at `began_at`, or had not begun.
    /// An answer that was written for longer than [`CRASH_DELAY_MAX`] did not crash its engine. Returns whether the
    /// answer counts.
    pub fn record_break(&mut self, now: Instant, began_at: Option<Instant>, answer: Break) -> bool {
        let is_old = began_at.is_some_and(|began_at| now.since(began_at) > CRASH_DELAY_MAX);
        !is_old && self.insert(now, Record { at: now, is_own: true, answer })
    }

    /// Records that an answer to a request with the given parts, which an engine began to write at `began_at`, was
    /// completed at this host.
    pub fn record_completed<'a>(
        &mut self,
        now: Instant,
        began_at: Instant,
        parts: impl IntoIterator<Item = &'a Arc<str>>,
    ) {
        for part in parts {
            if self.completed.len() >= PARTS_MAX && !self.completed.contains_key(part) {
                self.completed.retain(|_, completed| {
                    completed
                        .0
                        .last_key_value()
                        .is_some_and(|(at, _)| now.since(*at) < PRIOR_PERIOD)
                });
                if self.completed.len() >= PARTS_MAX {
                    continue;
                }
            }
            self.completed.entry(part.clone()).or_default().record(now, began_at);
        }
    }

    /// Returns how long requests with the given parts remain in quarantine; `None` if they are not.
    pub fn time_left<'a>(
        &self,
        now: Instant,
        parts: impl IntoIterator<Item = &'a Arc<str>>,
    ) -> Option<Duration> {
        if self.holds.is_empty() {
            return None;
        }
        let parts: BTreeSet<&Arc<str>> = parts.into_iter().collect();
        let matching = self
            .holds
            .iter()
            .filter(|(pattern, _)| pattern.iter().all(|part| parts.contains(part)));
        let until = matching.map(|(_, hold)| hold.until).max()?;
        (until > now).then(|| until.since(now))
    }

    /// Returns the patterns in quarantine, with the time left.
    pub fn patterns(&self, now: Instant) -> Vec<(Pattern, Duration)> {
        let holds = self.holds.iter().filter(|(_, hold)| hold.until > now);
        holds.map(|(pattern, hold)| (pattern.clone(), hold.until.since(now))).collect()
    }

    /// Returns what this host reports to its peers.
    pub fn report(&self, now: Instant) -> QuarantineReport {
        let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let own = self
            .records
            .iter()
            .rev()
            .filter(|record| record.is_own && now.since(record.at) < REPORT_PERIOD);
        let breaks = own.map(|record| (millis(now.since(record.at)), record.answer.clone()));
        let mut first_crashes: BTreeMap<&Arc<str>, Instant> = BTreeMap::new();
        for record in &self.records {
            for part in &record.answer.parts {
                let first = first_crashes.entry(part).or_insert(record.at);
                *first = record.at.min(*first);
            }
        }
        let completed = first_crashes.into_iter().filter_map(|(part, first_crash)| {
            let count = self.own_completed(now, part, first_crash);
            (count > 0).then(|| (part.clone(), count))
        });
        let held = self.patterns(now).into_iter();
        QuarantineReport {
            breaks: breaks.take(REPORTED_BREAKS_MAX).collect(),
            completed: completed.take(REPORTED_PARTS_MAX).collect(),
            held: held.map(|(pattern, left)| (pattern, millis(left))).collect(),
        }
    }

    /// Applies a peer's report. Returns the patterns that are new in quarantine.
    pub fn record_report(
        &mut self,
        now: Instant,
        peer: &Arc<str>,
        report: QuarantineReport,
    ) -> Vec<Pattern> {
        let duration = |millis: u32| Duration::from_millis(millis.into());
        if !report.completed.is_empty() || self.peers.contains_key(peer) {
            self.peers.insert(peer.clone(), report.completed.into_iter().collect());
        }
        for (age, answer) in report.breaks {
            self.insert(now, Record { at: now - duration(age), is_own: false, answer });
        }
        let held = report.held.into_iter();
        let new = held.filter(|(pattern, left)| self.hold(now, pattern, duration(*left)));
        new.map(|(pattern, _)| pattern).collect()
    }

    /// Forgets what a peer has reported as completed.
    pub fn remove_peer(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    /// Puts a pattern into quarantine for `left`, as another host has decided. Returns whether that is new.
    pub fn hold(&mut self, now: Instant, pattern: &Pattern, left: Duration) -> bool {
        let was_released = self
            .released
            .get(pattern)
            .is_some_and(|released_at| now.since(*released_at) < RELEASE_MEMORY);
        let is_known = self.holds.get(pattern).is_some_and(|hold| hold.until > now);
        if pattern.is_empty() || was_released || is_known || self.holds.len() >= PATTERNS_MAX {
            return false;
        }
        let left = left.min(HOLD_RANGE.1);
        self.holds.insert(pattern.clone(), Hold { until: now + left, duration: left });
        true
    }

    /// Releases a pattern from quarantine and forgets the crashes that it accounts for. Returns whether it was in
    /// quarantine.
    pub fn release(&mut self, now: Instant, pattern: &Pattern) -> bool {
        self.released.retain(|_, released_at| now.since(*released_at) < RELEASE_MEMORY);
        self.released.insert(pattern.clone(), now);
        self.records.retain(|record| !accounts_for(pattern, &record.answer));
        self.holds.remove(pattern).is_some_and(|hold| hold.until > now)
    }

    /// Remembers an answer that broke off. Returns `false` if it is known already, or its prompt has no parts that other
    /// requests may have too.
    fn insert(&mut self, now: Instant, record: Record) -> bool {
        let is_known = |known: &Record| {
            known.answer.engine == record.answer.engine
                && known.answer.born == record.answer.born
                && known.answer.request == record.answer.request
        };
        if record.answer.parts.is_empty() || self.records.iter().any(is_known) {
            return false;
        }
        if self.records.len() >= BREAKS_MAX {
            self.records.pop_front();
        }
        self.records.push_back(record);
        self.evaluate_at.get_or_insert(now + SETTLE_TIME);
        true
    }

    /// Decides on the answers that broke off lately, once that is due: puts patterns into quarantine until they account
    /// for all crashes of parts that are held responsible. Returns the new ones.
    pub fn poll(&mut self, now: Instant) -> Vec<Pattern> {
        if self.evaluate_at.is_none_or(|evaluate_at| now < evaluate_at) {
            return Vec::new();
        }
        self.records.retain(|record| now.since(record.at) < RETENTION);
        let unsettled = self.records.iter().filter(|record| !record.is_settled(now));
        self.evaluate_at = unsettled.map(|record| record.at + SETTLE_TIME).min();
        if self.holds.len() >= PATTERNS_MAX {
            self.holds.retain(|_, hold| hold.until > now);
        }
        let mut new = Vec::new();
        while self.holds.len() < PATTERNS_MAX
            && let Some(pattern) = self.responsible_pattern(now)
        {
            let previous = self.holds.get(&pattern).map(|hold| hold.duration * 2);
            let duration = previous.map_or(HOLD_RANGE.0, |twice| twice.min(HOLD_RANGE.1));
            self.released.remove(&pattern);
            self.holds.insert(pattern.clone(), Hold { until: now + duration, duration });
            new.push(pattern);
        }
        new
    }

    /// Returns the pattern of a part that is held responsible for crashes. Of several, the one is chosen that was at
    /// most crashes, then the one with fewest completed answers, then the one furthest back in prompts, which fewer
    /// requests share.
    fn responsible_pattern(&self, now: Instant) -> Option<Pattern> {
        let suspicions = self.suspicions(now);
        let (part, _) = suspicions
            .iter()
            .filter(|(_, suspicion)| suspicion.is_responsible())
            .max_by_key(|(_, suspicion)| {
                (suspicion.crashes, Reverse(suspicion.completed), suspicion.position)
            })?;
        let with_part =
            self.settled_records(now).filter(|record| record.answer.parts.contains(part));
        let prompts = with_part.map(|record| record.answer.parts.iter().collect::<BTreeSet<_>>());
        let common =
            prompts.reduce(|common, parts| common.intersection(&parts).copied().collect())?;
        let is_suspect = |other: &Arc<str>| {
            other == *part || !suspicions.get(other).is_some_and(Suspicion::is_sound)
        };
        Some(common.into_iter().filter(|other| is_suspect(other)).cloned().collect())
    }

    /// Returns the crashes that each part was at.
    fn suspicions(&self, now: Instant) -> BTreeMap<&Arc<str>, Suspicion> {
        let explained: BTreeSet<(&Arc<str>, Option<u64>)> = self
            .settled_records(now)
            .filter(|record| self.is_explained(now, &record.answer))
            .map(|record| (&record.answer.engine, record.answer.born))
            .collect();
        let mut records_by_part: BTreeMap<&Arc<str>, Vec<&Record>> = BTreeMap::new();
        for record in self.settled_records(now) {
            for part in &record.answer.parts {
                records_by_part.entry(part).or_default().push(record);
            }
        }
        let suspicions = records_by_part.into_iter().map(|(part, records)| {
            let unexplained = records
                .iter()
                .filter(|record| !explained.contains(&(&record.answer.engine, record.answer.born)));
            let requests: BTreeSet<u64> =
                records.iter().map(|record| record.answer.request).collect();
            let first = records.iter().map(|record| record.at).min().unwrap_or(now);
            let positions = records
                .iter()
                .filter_map(|record| record.answer.parts.iter().position(|other| other == part));
            let suspicion = Suspicion {
                crashes: count_crashes(records.iter().copied()),
                unexplained: count_crashes(unexplained.copied()),
                requests: requests.len(),
                completed: self.own_completed(now, part, first) + self.peers_completed(part),
                position: positions.max().unwrap_or_default(),
            };
            (part, suspicion)
        });
        suspicions.collect()
    }

    /// Returns the answers that broke off and are taken into account.
    fn settled_records(&self, now: Instant) -> impl Iterator<Item = &Record> {
        self.records.iter().filter(move |record| record.is_settled(now))
    }

    /// Returns the answers to requests with a part that peers report as completed.
    fn peers_completed(&self, part: &Arc<str>) -> u32 {
        self.peers.values().filter_map(|completed| completed.get(part)).sum()
    }

    /// Returns `true` if a pattern in quarantine accounts for an answer that broke off.
    fn is_explained(&self, now: Instant, answer: &Break) -> bool {
        let mut holds = self.holds.iter().filter(|(_, hold)| hold.until > now);
        holds.any(|(pattern, _)| accounts_for(pattern, answer))
    }

    /// Returns the answers to requests with a part that this host has completed and that began after the part's first
    /// crash, or shortly before it if that is not long ago.
    fn own_completed(&self, now: Instant, part: &Arc<str>, first_crash: Instant) -> u32 {
        let start = match now.since(first_crash) < PRIOR_TIME {
            true => first_crash - PRIOR_PERIOD,
            false => first_crash,
        };
        self.completed.get(part).map_or(0, |completed| completed.since(start))
    }
}

/// Returns `true` if a pattern accounts for an answer that broke off: its prompt had all parts of the pattern.
fn accounts_for(pattern: &Pattern, answer: &Break) -> bool {
    pattern.iter().all(|part| answer.parts.contains(part))
}

/// Returns the number of crashes at which answers broke off. Crashes that are almost simultaneous count as one.
fn count_crashes<'a>(records: impl Iterator<Item = &'a Record>) -> usize {
    let mut crashes: BTreeMap<(&Arc<str>, Option<u64>), Instant> = BTreeMap::new();
    for record in records {
        let at = crashes.entry((&record.answer.engine, record.answer.born)).or_insert(record.at);
        *at = record.at.min(*at);
    }
    let mut times: Vec<Instant> = crashes.into_values().collect();
    times.sort_unstable();
    let mut counted: Option<Instant> = None;
    times.retain(|at| {
        let is_separate = counted.is_none_or(|last| at.since(last) >= SIMULTANEOUS);
        counted = if is_separate { Some(*at) } else { counted };
        is_separate
    });
    times.len()
}
