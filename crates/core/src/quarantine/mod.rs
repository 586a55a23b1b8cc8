//! Finds requests and parts of prompts that crash servers, and tells which requests must not be sent to further servers.
//!
//! When an engine crashes, all answers that it was writing break off, and the request that crashed it is one of
//! them: it had just begun. So each young answer that broke off is recorded with the parts of its prompt. A part is
//! held responsible if it was at several engines that crashed, in different requests, while next to no answers to
//! requests with it were survived by their engines. The parts that all these requests had in common are then put into
//! quarantine as a [`Pattern`]: a request is refused if its prompt has all of them, so that requests that share
//! only some of them are served, and show by their answers which part is sound. A pattern is released when an
//! engine survives a request with all its parts.
//!
//! A request that crashes its server whatever else it has in common with others comes again as a whole. So each request has
//! a part that stands for itself ([`request_part`]), also where it has no prompt. It is held responsible after fewer crashes, but
//! not while another request was at all of them as well: requests that were in flight beside it are sent on, and may
//! meet it at the next server.
//!
//! Hosts exchange what they record, since each of them serves only some of the requests.

mod crash;
mod evidence;
#[cfg(test)]
mod tests;

use crate::time::Instant;
use chestnutrack_wire::frame::{Break, HeldPattern, QuarantineReport};
use evidence::{Evidence, Origin, SETTLE_TIME};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Longest time from when an engine begins to write an answer to the crash that its request causes. An answer that has
/// been written for longer is sound.
pub const CRASH_DELAY_MAX: Duration = Duration::from_secs(1);
/// Shortest time between two decisions.
const DECISION_INTERVAL: Duration = Duration::from_millis(20);
/// How long a pattern stays in quarantine, the first time and at most. The time doubles if it comes back.
const HOLD_RANGE: (Duration, Duration) = (Duration::from_secs(300), Duration::from_secs(3_600));
/// Shortest time left for which a pattern is adopted from other hosts or the store. Hosts don't drop it at quite the same
/// time.
pub const ADOPTED_LEFT_MIN: Duration = Duration::from_secs(30);
/// How long a decision that was revoked is remembered and reported to peers.
const REVOKED_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of patterns in quarantine.
const PATTERNS_MAX: usize = 64;

/// Beginning of the parts that stand for requests as a whole.
const REQUEST_PREFIX: &str = "request:";

/// Returns the part that stands for a request as a whole, by a hash of the request.
pub fn request_part(hash: u128) -> Arc<str> {
    format!("{REQUEST_PREFIX}{hash:032x}").into()
}

/// Parts of a prompt that are in quarantine together: a request with all of them must not be sent to an engine.
pub type Pattern = BTreeSet<Arc<str>>;

/// A pattern in quarantine, or that was.
#[derive(Clone, Debug)]
struct Hold {
    /// Identifies the decisions that put it there.
    decisions: BTreeSet<u64>,
    decided_at: Instant,
    until: Instant,
    /// First of the crashes that it accounts for. Answers that began later disprove it.
    first_crash: Instant,
}

impl Hold {
    fn duration(&self) -> Duration {
        self.until.since(self.decided_at)
    }
}

/// What changed by a peer's report or by an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Patterns that are new in quarantine.
    pub held: Vec<Pattern>,
    /// Patterns that were released.
    pub released: Vec<Pattern>,
}

/// Evidence on parts of prompts, and the patterns in quarantine.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    evidence: Evidence,
    holds: BTreeMap<Pattern, Hold>,
    /// Decisions that were revoked, and when.
    revoked: BTreeMap<u64, Instant>,
    /// When it is next decided which parts are responsible.
    decision_due: Option<Instant>,
}

impl Quarantine {
    /// Records an answer that broke off at this host. One that was written for longer than [`CRASH_DELAY_MAX`] did not
    /// crash its engine. Returns whether the answer counts.
    pub fn record_break(&mut self, now: Instant, answer: Break) -> bool {
        let written = Duration::from_millis(answer.written_ms.into());
        let counts = written <= CRASH_DELAY_MAX && self.evidence.insert(now, Origin::Host, answer);
        if counts {
            self.require_decision(now);
        }
        counts
    }

    /// Records that an answer to a request with the given parts, which its engine began to write at `began_at`, did not
    /// crash the engine: it was completed, or has been written for [`CRASH_DELAY_MAX`]. Returns the patterns that
    /// this releases.
    pub fn record_sound(
        &mut self,
        now: Instant,
        began_at: Instant,
        parts: &[Arc<str>],
    ) -> Vec<Pattern> {
        self.evidence.record_sound(now, began_at, parts.iter());
        let disproved = self.holds.iter().filter(|(pattern, hold)| {
            hold.until > now && hold.first_crash < began_at && matches(pattern, parts)
        });
        let disproved: Vec<Pattern> = disproved.map(|(pattern, _)| pattern.clone()).collect();
        for pattern in &disproved {
            self.release(now, pattern);
        }
        disproved
    }

    /// Records that an engine has answered a request sent at `sent_at`, so that it has not crashed before.
    pub fn record_alive(&mut self, engine: &Arc<str>, born: Option<u64>, sent_at: Instant) {
        self.evidence.record_alive(engine, born, sent_at);
    }

    /// Returns how long requests with the given parts remain in quarantine; `None` if they are not.
    pub fn time_left(&self, now: Instant, parts: &[Arc<str>]) -> Option<Duration> {
        let matching = self.holds.iter().filter(|(pattern, _)| matches(pattern, parts));
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
        let breaks = self.evidence.recent_breaks(now).into_iter();
        let held = self.holds.iter().filter(|(_, hold)| hold.until > now);
        QuarantineReport {
            breaks: breaks.map(|(age, answer)| (millis(age), answer)).collect(),
            sound: sound_ages(now, self.evidence.suspects_sound()),
            held: held
                .map(|(pattern, hold)| HeldPattern {
                    parts: pattern.clone(),
                    decisions: hold.decisions.clone(),
                    left_ms: millis(hold.until.since(now)),
                    age_ms: millis(now.since(hold.decided_at)),
                    first_crash_ms: millis(now.since(hold.first_crash)),
                })
                .collect(),
            revoked: self.revoked.keys().copied().collect(),
        }
    }

    /// Returns what the hosts of this cell know of parts that were at `crashes_min` crashes or more, for other cells.
    /// Patterns are not part of it.
    pub fn cell_report(&self, now: Instant, crashes_min: usize) -> QuarantineReport {
        let suspicions = self.evidence.cell_suspicions(now, crashes_min);
        QuarantineReport {
            breaks: suspicions
                .breaks
                .into_iter()
                .map(|(age, answer)| (millis(age), answer))
                .collect(),
            sound: sound_ages(now, suspicions.sound),
            ..QuarantineReport::default()
        }
    }

    /// Applies the report of another cell, which it made `age` ago.
    pub fn record_cell_report(
        &mut self,
        now: Instant,
        cell: &Arc<str>,
        age: Duration,
        report: QuarantineReport,
    ) {
        self.record_evidence(now - age, now, cell, Origin::OtherCell, report.breaks, report.sound);
    }

    /// Applies a peer's report.
    pub fn record_report(
        &mut self,
        now: Instant,
        peer: &Arc<str>,
        report: QuarantineReport,
    ) -> Changes {
        self.record_evidence(now, now, peer, Origin::Peer, report.breaks, report.sound);
        for decision in report.revoked {
            self.revoked.entry(decision).or_insert(now);
        }
        let is_revoked =
            |hold: &Hold| hold.decisions.iter().any(|id| self.revoked.contains_key(id));
        let held = self.holds.iter().filter(|(_, hold)| hold.until > now && is_revoked(hold));
        let released: Vec<Pattern> = held.map(|(pattern, _)| pattern.clone()).collect();
        for pattern in &released {
            self.release(now, pattern);
        }
        let held = report.held.into_iter().filter(|held| self.hold(now, held));
        Changes { held: held.map(|held| held.parts).collect(), released }
    }

    /// Records answers that broke off and sound ones, with their ages when they were reported.
    fn record_evidence(
        &mut self,
        reported_at: Instant,
        now: Instant,
        source: &Arc<str>,
        origin: Origin,
        breaks: Vec<(u32, Break)>,
        sound: Vec<(Arc<str>, Vec<u32>)>,
    ) {
        let before = |age_ms: u32| reported_at - Duration::from_millis(age_ms.into());
        let sound =
            sound.into_iter().map(|(part, ages)| (part, ages.into_iter().map(before).collect()));
        self.evidence.add_reported_sound(now, origin, source, sound.collect());
        for (age_ms, answer) in breaks {
            if self.evidence.insert(before(age_ms), origin, answer) {
                self.require_decision(now);
            }
        }
    }

    /// Puts a pattern into quarantine on which another host has decided. Returns `false` if it is in quarantine already, the
    /// decision was revoked, or it leaves quarantine soon.
    pub fn hold(&mut self, now: Instant, held: &HeldPattern) -> bool {
        let left = Duration::from_millis(held.left_ms.into()).min(HOLD_RANGE.1);
        let is_revoked = held.decisions.iter().any(|id| self.revoked.contains_key(id));
        if held.parts.is_empty() || is_revoked || left < ADOPTED_LEFT_MIN {
            return false;
        }
        if let Some(known) = self.holds.get_mut(&held.parts)
            && known.until > now
        {
            known.decisions.extend(&held.decisions);
            return false;
        }
        if !self.has_room(now) {
            return false;
        }
        let before = |age_ms: u32| now - Duration::from_millis(age_ms.into());
        let (decided_at, first_crash) = (before(held.age_ms), before(held.first_crash_ms));
        let (decisions, until) = (held.decisions.clone(), now + left);
        let hold = Hold { decisions, decided_at, until, first_crash };
        self.holds.insert(held.parts.clone(), hold);
        true
    }

    /// Releases a pattern from quarantine, revokes the decisions on it, and forgets the crashes that it accounts for.
    /// Returns whether it was in quarantine.
    pub fn release(&mut self, now: Instant, pattern: &Pattern) -> bool {
        self.revoked.retain(|_, at| now.since(*at) < REVOKED_RETENTION);
        self.evidence.forget(pattern);
        let Some(hold) = self.holds.remove(pattern) else { return false };
        self.revoked.extend(hold.decisions.into_iter().map(|id| (id, now)));
        hold.until > now
    }

    /// Decides which parts are responsible for crashes, once that is due, and puts patterns into quarantine until they
    /// account for all these crashes. Returns the new ones.
    pub fn poll(&mut self, now: Instant) -> Vec<Pattern> {
        if self.decision_due.is_none_or(|due| now < due) {
            return Vec::new();
        }
        let settled_at = self.evidence.expire(now);
        self.decision_due = settled_at.map(|at| at.max(now + DECISION_INTERVAL));
        let mut new = Vec::new();
        while self.has_room(now)
            && let Some((pattern, first_crash)) = self.responsible_pattern(now)
        {
            let previous = self.holds.get(&pattern).map(|hold| hold.duration() * 2);
            let duration = previous.map_or(HOLD_RANGE.0, |twice| twice.min(HOLD_RANGE.1));
            let (decisions, until) = (BTreeSet::from([now.0]), now + duration);
            let hold = Hold { decisions, decided_at: now, until, first_crash };
            self.holds.insert(pattern.clone(), hold);
            new.push(pattern);
        }
        new
    }

    /// Has it decided soon which parts are responsible.
    fn require_decision(&mut self, now: Instant) {
        self.decision_due.get_or_insert(now + SETTLE_TIME);
    }

    /// Returns the pattern of a part that is held responsible for crashes for which no pattern in quarantine accounts.
    fn responsible_pattern(&self, now: Instant) -> Option<(Pattern, Instant)> {
        let held = self.holds.iter().filter(|(_, hold)| hold.until > now);
        let held: Vec<&Pattern> = held.map(|(pattern, _)| pattern).collect();
        self.evidence.responsible_pattern(now, &held)
    }

    /// Returns whether one more pattern may be held. Forgets those whose time has passed if there are too many.
    fn has_room(&mut self, now: Instant) -> bool {
        if self.holds.len() >= PATTERNS_MAX {
            self.holds.retain(|_, hold| hold.until > now);
        }
        self.holds.len() < PATTERNS_MAX
    }
}

/// Returns a duration in milliseconds.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Returns the times since sound answers began, by part, in milliseconds.
fn sound_ages(now: Instant, sound: Vec<(Arc<str>, Vec<Instant>)>) -> Vec<(Arc<str>, Vec<u32>)> {
    let age_ms = |began_at: Instant| millis(now.since(began_at));
    sound.into_iter().map(|(part, began)| (part, began.into_iter().map(age_ms).collect())).collect()
}

/// Returns `true` if a prompt with the given parts has all parts of a pattern.
fn matches(pattern: &Pattern, parts: &[Arc<str>]) -> bool {
    pattern.iter().all(|part| parts.contains(part))
}
