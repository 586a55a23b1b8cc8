//! What speaks against parts of prompts and for them: answers that broke off, and answers that their engines survived.

use super::crash::list_crashes;
use super::{Pattern, REQUEST_PREFIX};
use crate::time::Instant;
use chestnutrack_wire::frame::Break;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Engine crashes that a part must have been at to be held responsible.
const CRASHES_MIN: usize = 4;
/// Crashes that a request must have been at, and no other one with it at all of them, to be held responsible.
const REQUEST_CRASHES_MIN: usize = 3;
/// Crashes at which it is held responsible though another request was at all of them as well.
const AMBIGUOUS_CRASHES_MIN: usize = 5;
/// Crashes among them that no pattern in quarantine accounts for.
const UNEXPLAINED_MIN: usize = 2;
/// Crashes for which one sound answer makes up: a part at more of them is held responsible.
const CRASHES_PER_SOUND: usize = 4;
/// Sound answers that began less than this time before the first crash count as well, until [`PRIOR_TIME`] after it.
const PRIOR_PERIOD: Duration = Duration::from_secs(4);
/// Time after the first crash from which on earlier sound answers no longer count: a part that was sound until then may
/// crash engines now.
const PRIOR_TIME: Duration = Duration::from_secs(3);
/// Time without another answer that breaks off at an engine after which its crash is taken into account. Other hosts' reports
/// have arrived by then, unless they are delayed.
pub(super) const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Time after the first answer that broke off at an engine after which its crash is taken into account in any case.
const SETTLE_TIME_MAX: Duration = Duration::from_millis(200);
/// Largest difference between the times at which a host takes the same event of another one to have been, by two reports.
const REPORT_JITTER: Duration = Duration::from_millis(200);
/// How long an answer that broke off, or a sound one of another host, is remembered.
const RETENTION: Duration = Duration::from_secs(60);
/// How long an answer that broke off is reported to peers.
const REPORT_PERIOD: Duration = Duration::from_secs(2);
/// Maximum number of answers that broke off that are remembered.
const BREAKS_MAX: usize = 512;
/// Maximum number of answers that broke off in one report.
const REPORTED_BREAKS_MAX: usize = 16;
/// Maximum number of sound answers that are remembered for a part.
const SOUND_MAX: usize = 8;
/// Maximum number of parts with sound answers that are remembered.
const PARTS_MAX: usize = 4_096;
/// Shortest time between two removals of parts that were not used lately.
const EVICTION_INTERVAL: Duration = Duration::from_secs(1);
/// Crashes that a part was at for its sound answers to be reported.
const REPORTED_CRASHES_MIN: usize = 2;
/// Maximum number of parts in one report whose sound answers are reported.
const REPORTED_PARTS_MAX: usize = 16;

/// Maximum number of answers that broke off that a cell reports to others.
const CELL_BREAKS_MAX: usize = 64;

/// When sound answers began, by part.
type SoundAnswers = BTreeMap<Arc<str>, Vec<Instant>>;

/// Identifies the process of an engine: its name and start time.
pub(super) type Engine<'a> = (&'a Arc<str>, Option<u64>);

/// An answer that broke off, with when and where.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) at: Instant,
    origin: Origin,
    answer: Break,
}

/// Where an answer broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Origin {
    /// At this host.
    Host,
    /// At a peer, a host of the same cell.
    Peer,
    /// At a host of another cell.
    OtherCell,
}

impl Record {
    pub(super) fn engine(&self) -> Engine<'_> {
        (&self.answer.engine, self.answer.born)
    }
}

/// What speaks against and for some parts.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspicions {
    /// Answers that broke off, with the time since.
    pub(super) breaks: Vec<(Duration, Break)>,
    /// When sound answers began, by part.
    pub(super) sound: Vec<(Arc<str>, Vec<Instant>)>,
}

/// Latest crashes that a part was at, with few sound answers since.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    /// First of the crashes.
    since: Instant,
    crashes: usize,
    /// Crashes that no pattern in quarantine accounts for.
    unexplained: usize,
    sound: usize,
}

/// Answers that broke off, of all hosts, and sound ones: those that their engines survived.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    records: VecDeque<Record>,
    /// When sound answers at this host began, by part, the newest last.
    sound: HashMap<Arc<str>, VecDeque<Instant>>,
    /// The same of peers and other cells, by their names, as they report it.
    reported_sound: BTreeMap<(Origin, Arc<str>), SoundAnswers>,
    evicted_at: Instant,
}

impl Evidence {
    /// Remembers an answer that broke off at `at`. Returns `false` if it is known already, or its prompt has no parts
    /// that other requests may have too.
    pub(super) fn insert(&mut self, at: Instant, origin: Origin, answer: Break) -> bool {
        let record = Record { at, origin, answer };
        let is_known = |known: &Record| {
            known.engine() == record.engine() && known.answer.request == record.answer.request
        };
        if record.answer.parts.is_empty() || self.records.iter().any(is_known) {
            return false;
        }
        if self.records.len() >= BREAKS_MAX {
            self.remove_oldest_answer();
        }
        self.records.push_back(record);
        true
    }

    /// Removes the record of the answer that had been written for longest, which is least likely to have crashed its
    /// engine.
    fn remove_oldest_answer(&mut self) {
        let records = self.records.iter().enumerate();
        let oldest =
            records.max_by_key(|(index, record)| (record.answer.written_ms, Reverse(*index)));
        if let Some((index, _)) = oldest {
            self.records.remove(index);
        }
    }

    /// Records that an answer to a request with the given parts, which its engine began to write at `began_at`, did not
    /// crash the engine.
    pub(super) fn record_sound<'a>(
        &mut self,
        now: Instant,
        began_at: Instant,
        parts: impl Iterator<Item = &'a Arc<str>>,
    ) {
        if self.sound.len() >= PARTS_MAX && now.since(self.evicted_at) >= EVICTION_INTERVAL {
            self.evicted_at = now;
            self.sound.retain(|_, began| {
                began.back().is_some_and(|began_at| now.since(*began_at) < PRIOR_PERIOD)
            });
        }
        for part in parts {
            // Most requests come once. Their sound answers matter only while servers crash.
            if is_request(part) && self.records.is_empty() {
                continue;
            }
            if self.sound.len() >= PARTS_MAX && !self.sound.contains_key(part) {
                continue;
            }
            let began = self.sound.entry(part.clone()).or_default();
            if began.len() >= SOUND_MAX {
                began.pop_front();
            }
            began.push_back(began_at);
        }
    }

    /// Adds what a peer or another cell reports as sound to what it has reported before. It stays when its process has
    /// ended, so that a restart of hosts does not make a sound part look as if none had survived it.
    pub(super) fn add_reported_sound(
        &mut self,
        now: Instant,
        origin: Origin,
        source: &Arc<str>,
        sound: SoundAnswers,
    ) {
        if !sound.is_empty() {
            let known = self.reported_sound.entry((origin, source.clone())).or_default();
            for (part, began) in sound {
                let Some(oldest) = began.iter().min().copied() else { continue };
                let times = known.entry(part).or_default();
                // The newer ones are reported again, at times that differ by the delay of a report.
                times.retain(|began_at| *began_at + REPORT_JITTER < oldest);
                times.extend(began);
                times.sort_unstable_by_key(|began_at| Reverse(*began_at));
                times.truncate(SOUND_MAX);
            }
        }
        self.reported_sound.retain(|_, parts| {
            parts.retain(|_, times| {
                times.retain(|began_at| now.since(*began_at) < RETENTION);
                !times.is_empty()
            });
            !parts.is_empty()
        });
    }

    /// Forgets the crash of an engine that has answered a request sent at `sent_at`: it is alive.
    pub(super) fn record_alive(&mut self, engine: &Arc<str>, born: Option<u64>, sent_at: Instant) {
        self.records.retain(|record| record.engine() != (engine, born) || record.at >= sent_at);
    }

    /// Forgets the answers that broke off for which a pattern accounts.
    pub(super) fn forget(&mut self, pattern: &Pattern) {
        self.records.retain(|record| !accounts_for(pattern, &record.answer));
    }

    /// Forgets answers that broke off long ago. Returns when the first of the crashes that are not taken into account
    /// yet will be.
    pub(super) fn expire(&mut self, now: Instant) -> Option<Instant> {
        self.records.retain(|record| now.since(record.at) < RETENTION);
        self.settled_at().into_values().filter(|settled_at| *settled_at > now).min()
    }

    /// Returns when the crash of each engine is taken into account.
    fn settled_at(&self) -> BTreeMap<Engine<'_>, Instant> {
        let mut breaks: BTreeMap<Engine<'_>, (Instant, Instant)> = BTreeMap::new();
        for record in &self.records {
            let (first, last) = breaks.entry(record.engine()).or_insert((record.at, record.at));
            (*first, *last) = (record.at.min(*first), record.at.max(*last));
        }
        let settled_at =
            |(first, last): (Instant, Instant)| (last + SETTLE_TIME).min(first + SETTLE_TIME_MAX);
        breaks.into_iter().map(|(engine, breaks)| (engine, settled_at(breaks))).collect()
    }

    /// Returns the answers that broke off at this host lately, with the time since. If there are many, those with a part that
    /// was at most crashes, and then those that their engines had been writing for the shortest time.
    pub(super) fn recent_breaks(&self, now: Instant) -> Vec<(Duration, Break)> {
        let is_recent = |record: &&Record| {
            record.origin == Origin::Host && now.since(record.at) < REPORT_PERIOD
        };
        let mut recent: Vec<&Record> = self.records.iter().filter(is_recent).collect();
        if recent.len() > REPORTED_BREAKS_MAX {
            let crashes = count_crashes(self.records.iter());
            let most = |record: &Record| record.answer.parts.iter().map(|part| crashes[part]).max();
            recent.sort_by_cached_key(|record| {
                (Reverse(most(record)), record.answer.written_ms, Reverse(record.at))
            });
            recent.truncate(REPORTED_BREAKS_MAX);
        }
        recent.into_iter().map(|record| (now.since(record.at), record.answer.clone())).collect()
    }

    /// Returns when sound answers at this host began, for the parts that were at most crashes.
    pub(super) fn suspects_sound(&self) -> Vec<(Arc<str>, Vec<Instant>)> {
        let suspects = suspects(self.records.iter(), REPORTED_CRASHES_MIN).into_iter();
        let sound = suspects.filter_map(|part| {
            let began = self.sound.get(part)?;
            Some((part.clone(), began.iter().copied().collect()))
        });
        sound.take(REPORTED_PARTS_MAX).collect()
    }

    /// Returns what speaks against and for the parts that were at `crashes_min` crashes or more, as the hosts of this cell
    /// have seen it: all answers that broke off at these crashes, with the time since, and when sound answers began.
    pub(super) fn cell_suspicions(&self, now: Instant, crashes_min: usize) -> Suspicions {
        let of_cell = || self.records.iter().filter(|record| record.origin != Origin::OtherCell);
        let parts = suspects(of_cell(), crashes_min);
        let has_suspect =
            |record: &&Record| record.answer.parts.iter().any(|part| parts.contains(&part));
        let engines: BTreeSet<Engine<'_>> =
            of_cell().filter(has_suspect).map(Record::engine).collect();
        let breaks = of_cell().filter(|record| engines.contains(&record.engine()));
        let breaks = breaks.map(|record| (now.since(record.at), record.answer.clone()));
        let sound = parts.iter().map(|part| {
            let peers =
                self.reported_sound.iter().filter(|((origin, _), _)| *origin == Origin::Peer);
            let peers = peers.filter_map(|(_, sound)| sound.get(*part)).flatten();
            let mut began: Vec<Instant> =
                self.sound.get(*part).into_iter().flatten().chain(peers).copied().collect();
            began.sort_unstable_by_key(|began_at| Reverse(*began_at));
            began.truncate(SOUND_MAX);
            ((*part).clone(), began)
        });
        Suspicions {
            breaks: breaks.take(CELL_BREAKS_MAX).collect(),
            sound: sound.take(REPORTED_PARTS_MAX).collect(),
        }
    }

    /// Returns the pattern of a part that is held responsible for crashes for which none of `patterns` accounts, and the
    /// time of the first of these crashes. Of several parts, the one is chosen that was at most crashes, then the one
    /// with fewest sound answers, then the one furthest back in prompts, which fewer requests share.
    pub(super) fn responsible_pattern(
        &self,
        now: Instant,
        patterns: &[&Pattern],
    ) -> Option<(Pattern, Instant)> {
        let settled_at = self.settled_at();
        let is_settled = |record: &&Record| settled_at[&record.engine()] <= now;
        let settled: Vec<&Record> = self.records.iter().filter(is_settled).collect();
        let mut patterns_of: BTreeMap<Engine<'_>, BTreeSet<&Pattern>> = BTreeMap::new();
        for record in &settled {
            let accounting =
                patterns.iter().filter(|pattern| accounts_for(pattern, &record.answer));
            patterns_of.entry(record.engine()).or_default().extend(accounting);
        }
        let mut by_part: BTreeMap<&Arc<str>, (usize, Vec<&Record>)> = BTreeMap::new();
        let mut explained: BTreeMap<&Arc<str>, BTreeSet<Engine<'_>>> = BTreeMap::new();
        for record in &settled {
            for (position, part) in record.answer.parts.iter().enumerate() {
                // Crashes under several requests may be those of a part that they share, though each request is held.
                let mut accounting = patterns_of[&record.engine()]
                    .iter()
                    .filter(|pattern| is_request(part) || !is_of_request(pattern))
                    .peekable();
                let explained = explained.entry(part).or_default();
                if accounting.peek().is_some() {
                    explained.insert(record.engine());
                }
                // A crash that other parts account for is no sign of this one. One that it accounts for together with
                // others may be its own alone.
                if accounting.any(|pattern| !pattern.contains(part)) {
                    continue;
                }
                let (last_position, records) = by_part.entry(part).or_default();
                *last_position = position.max(*last_position);
                records.push(record);
            }
        }
        let suspicions: BTreeMap<&Arc<str>, Suspicion> = by_part
            .iter()
            .filter_map(|(part, (_, records))| {
                Some((*part, self.suspicion(now, part, records, &explained[part])?))
            })
            .collect();
        let responsible = suspicions.iter().filter(|(part, suspicion)| {
            let is_told_apart = match is_request(part) {
                true => {
                    suspicion.crashes >= AMBIGUOUS_CRASHES_MIN
                        || !has_rival(part, suspicion, &suspicions, &by_part)
                }
                false => {
                    !is_one_request(suspicion, &by_part[**part].1)
                        && !self.has_unsound_companion(part, suspicion, &by_part)
                }
            };
            suspicion.unexplained >= UNEXPLAINED_MIN && is_told_apart
        });
        let (part, suspicion) = responsible.max_by_key(|(part, suspicion)| {
            (suspicion.crashes, Reverse(suspicion.sound), by_part[**part].0)
        })?;
        let prompts = by_part[*part].1.iter().filter(|record| record.at >= suspicion.since);
        let prompts = prompts.map(|record| record.answer.parts.iter().collect::<BTreeSet<_>>());
        let common = prompts.reduce(|common, parts| &common & &parts)?;
        let pattern = common.into_iter().filter(|other| suspicions.contains_key(other)).cloned();
        Some((pattern.collect(), suspicion.since))
    }

    /// Returns `true` if engines are known to have survived requests with a part, and none to have survived those with another
    /// part that was at all but one of the crashes at least. The part may then only accompany the other one, which has to
    /// be found instead.
    fn has_unsound_companion(
        &self,
        part: &Arc<str>,
        suspicion: &Suspicion,
        by_part: &BTreeMap<&Arc<str>, (usize, Vec<&Record>)>,
    ) -> bool {
        let own = engines_since(&by_part[part].1, suspicion.since);
        let may_cause = |(other, (_, records)): (&&Arc<str>, &(usize, Vec<&Record>))| {
            if is_request(other) || self.is_known_sound(other) {
                return false;
            }
            let engines = engines_since(records, suspicion.since);
            engines.len() + 1 >= own.len() && engines.is_subset(&own)
        };
        self.is_known_sound(part) && by_part.iter().any(may_cause)
    }

    /// Returns `true` if an engine is known to have survived a request with a part, however long ago.
    fn is_known_sound(&self, part: &Arc<str>) -> bool {
        self.sound.contains_key(part)
            || self.reported_sound.values().any(|parts| parts.contains_key(part))
    }

    /// Returns the longest run of latest crashes that a part was at for which there are too few sound answers since, or
    /// `None` if there are enough for all.
    fn suspicion(
        &self,
        now: Instant,
        part: &Arc<str>,
        records: &[&Record],
        explained: &BTreeSet<Engine<'_>>,
    ) -> Option<Suspicion> {
        let crashes = list_crashes(records, explained);
        let crashes_min = if is_request(part) { REQUEST_CRASHES_MIN } else { CRASHES_MIN };
        let runs = (0..=crashes.len().checked_sub(crashes_min)?).map(|first| &crashes[first..]);
        let suspicions = runs.map(|run| {
            let since = run[0].0;
            let unexplained = run.iter().filter(|(_, is_explained)| !is_explained).count();
            let sound = self.sound_since(part, count_from(now, since));
            Suspicion { since, crashes: run.len(), unexplained, sound }
        });
        suspicions.into_iter().find(|run| run.sound * CRASHES_PER_SOUND < run.crashes)
    }

    /// Returns the number of sound answers to requests with a part that began since `start`, at all hosts.
    fn sound_since(&self, part: &Arc<str>, start: Instant) -> usize {
        let own = self.sound.get(part).into_iter().flatten();
        let reported = self.reported_sound.values();
        let reported = reported.filter_map(|parts| parts.get(part)).flatten();
        own.chain(reported).filter(|began_at| **began_at >= start).count()
    }
}

/// Returns `true` if a part stands for a request as a whole.
fn is_request(part: &str) -> bool {
    part.starts_with(REQUEST_PREFIX)
}

/// Returns `true` if a pattern holds a single request.
fn is_of_request(pattern: &Pattern) -> bool {
    pattern.iter().any(|part| is_request(part))
}

/// Returns `true` if one request was at all crashes that a part is suspected of. A single request that was sent again is no
/// sign of its shared parts.
fn is_one_request(suspicion: &Suspicion, records: &[&Record]) -> bool {
    let mut engines: BTreeMap<u64, BTreeSet<Engine<'_>>> = BTreeMap::new();
    for record in records.iter().filter(|record| record.at >= suspicion.since) {
        engines.entry(record.answer.request).or_default().insert(record.engine());
    }
    engines.values().any(|engines| engines.len() >= suspicion.crashes)
}

/// Returns `true` if another request than the one that `part` stands for is suspected of all the crashes as well.
fn has_rival(
    part: &Arc<str>,
    suspicion: &Suspicion,
    suspicions: &BTreeMap<&Arc<str>, Suspicion>,
    by_part: &BTreeMap<&Arc<str>, (usize, Vec<&Record>)>,
) -> bool {
    let engines = |part: &Arc<str>| engines_since(&by_part[part].1, suspicion.since);
    let own = engines(part);
    let mut rivals = suspicions.keys().filter(|other| is_request(other) && **other != part);
    rivals.any(|other| engines(other).is_superset(&own))
}

/// Returns the engines at which answers have broken off since a time.
fn engines_since<'a>(records: &[&'a Record], since: Instant) -> BTreeSet<Engine<'a>> {
    let records = records.iter().filter(|record| record.at >= since);
    records.map(|record| record.engine()).collect()
}

/// Returns the parts that were at `crashes_min` crashes or more, those at most crashes first.
fn suspects<'a>(
    records: impl Iterator<Item = &'a Record>,
    crashes_min: usize,
) -> Vec<&'a Arc<str>> {
    let mut suspects: Vec<(usize, &Arc<str>)> =
        count_crashes(records).into_iter().map(|(part, crashes)| (crashes, part)).collect();
    suspects.retain(|(crashes, _)| *crashes >= crashes_min);
    suspects.sort_by_key(|(crashes, _)| Reverse(*crashes));
    suspects.into_iter().map(|(_, part)| part).collect()
}

/// Returns the number of crashes that each part was at.
fn count_crashes<'a>(records: impl Iterator<Item = &'a Record>) -> BTreeMap<&'a Arc<str>, usize> {
    let mut engines: BTreeMap<&Arc<str>, BTreeSet<Engine<'_>>> = BTreeMap::new();
    for record in records {
        for part in &record.answer.parts {
            engines.entry(part).or_default().insert(record.engine());
        }
    }
    engines.into_iter().map(|(part, engines)| (part, engines.len())).collect()
}

/// Returns the time from which on sound answers count for crashes of which the first was at `first_crash`.
fn count_from(now: Instant, first_crash: Instant) -> Instant {
    match now.since(first_crash) < PRIOR_TIME {
        true => first_crash - PRIOR_PERIOD,
        false => first_crash,
    }
}

/// Returns `true` if a pattern accounts for an answer that broke off: its prompt had all parts of the pattern.
fn accounts_for(pattern: &Pattern, answer: &Break) -> bool {
    pattern.iter().all(|part| answer.parts.contains(part))
}
