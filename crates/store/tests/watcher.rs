//! What a watcher hands out over random answers, old ones among them.

use chestnutrack_core::time::Instant;
use chestnutrack_store::error::Error;
use chestnutrack_store::object::{List, Object};
use chestnutrack_store::watcher::Table;
use quickcheck::{Arbitrary, Gen, TestResult, quickcheck};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::Arc;

fn object(name: &str, version: u64) -> Object {
    Object { name: name.into(), version, value: Some(json!(version)), age_ms: 0 }
}

fn deleted(name: &str, version: u64) -> Object {
    Object { value: None, ..object(name, version) }
}

fn list(version: u64, objects: Vec<Object>) -> List {
    List { version, objects }
}

fn is_refused(outcome: Result<impl Sized, Error>) -> bool {
    matches!(outcome.map(drop), Err(Error::Malformed(..)))
}

/// What the reader of the updates last saw of an object.
#[derive(Clone, Copy, Debug)]
struct Seen {
    version: u64,
    live: bool,
}

impl Seen {
    fn is_newer_than(self, now: Seen) -> bool {
        now.version < self.version || (now.version == self.version && !self.live && now.live)
    }
}

/// An answer as a stale or confused interface might give it.
#[derive(Clone, Debug)]
struct Answer {
    version: u8,
    objects: Vec<(u8, u8, bool)>,
    gone: bool,
}

fn object_of(name: u8, g: &mut Gen) -> (u8, u8, bool) {
    // Now and then an object comes twice.
    let name = if u8::arbitrary(g) % 16 == 0 { 0 } else { name };
    (name, u8::arbitrary(g) % 32, bool::arbitrary(g))
}

impl Arbitrary for Answer {
    fn arbitrary(g: &mut Gen) -> Answer {
        Answer {
            version: u8::arbitrary(g) % 32,
            objects: (0..u8::arbitrary(g) % 4).map(|name| object_of(name, g)).collect(),
            gone: u8::arbitrary(g) % 8 == 0,
        }
    }
}

impl Answer {
    fn list(&self) -> List {
        let objects = self.objects.iter().map(|(name, version, live)| {
            let name = name.to_string();
            let version = u64::from(*version);
            if *live { object(&name, version) } else { deleted(&name, version) }
        });
        list(u64::from(self.version), objects.collect())
    }
}

quickcheck! {
    fn versions_handed_out_only_grow(answers: Vec<Answer>) -> TestResult {
        let mut table = Table::default();
        let mut seen: BTreeMap<Arc<str>, Seen> = BTreeMap::new();
        let mut newest = 0;
        for answer in &answers {
            if answer.gone {
                table.require_list();
            }
            let whole = table.needs_list();
            let list = answer.list();
            let version = list.version;
            let Ok(update) = table.apply(list, whole, Instant::default()) else { continue };
            if update.version < newest {
                return TestResult::error(format!("version {} after {newest}", update.version));
            }
            newest = update.version;
            let mut before = seen.clone();
            if whole {
                seen.values_mut().for_each(|seen| *seen = Seen { version, live: false });
            }
            for found in &update.objects {
                let now = Seen { version: found.version, live: found.value.is_some() };
                if before.remove(&found.name).is_some_and(|last| last.is_newer_than(now)) {
                    return TestResult::error(format!("{found:?} comes late"));
                }
                seen.insert(Arc::clone(&found.name), now);
            }
        }
        TestResult::passed()
    }
}

#[test]
fn an_older_list_changes_nothing() {
    let mut table = Table::default();
    table.apply(list(5, vec![object("a", 5)]), true, Instant::default()).expect("newer");
    table.require_list();

    let older = table.apply(list(4, vec![object("a", 3)]), true, Instant::default());

    assert!(is_refused(older));
    assert_eq!(table.version(), 5);
    assert!(table.needs_list());
}

#[test]
fn a_new_list_with_an_older_object_changes_nothing() {
    let mut table = Table::default();
    table.apply(list(5, vec![object("a", 5)]), true, Instant::default()).expect("newer");

    let older = table.apply(list(6, vec![object("a", 4)]), true, Instant::default());

    assert!(is_refused(older));
    assert_eq!(table.version(), 5);
}

#[test]
fn a_watch_hands_out_only_what_is_newer() {
    let mut table = Table::default();
    table.apply(list(5, vec![object("a", 5)]), true, Instant::default()).expect("newer");

    let answer = list(7, vec![object("a", 5), object("b", 7), deleted("c", 6)]);
    let update = table.apply(answer, false, Instant::default()).expect("newer");

    assert_eq!(update.objects, [object("b", 7), deleted("c", 6)]);
    assert_eq!(update.version, 7);
}

#[test]
fn an_answer_with_an_object_in_it_twice_changes_nothing() {
    let mut table = Table::default();

    let twice =
        table.apply(list(74, vec![object("0", 68), deleted("0", 57)]), true, Instant::default());

    assert!(is_refused(twice));
    assert_eq!(table.version(), 0);
}

#[test]
fn a_list_that_revives_a_deleted_object_changes_nothing() {
    let mut table = Table::default();
    table.apply(list(5, vec![object("a", 5)]), true, Instant::default()).expect("newer");
    table.apply(list(6, vec![]), true, Instant::default()).expect("newer");

    let revived = table.apply(list(7, vec![object("a", 5)]), true, Instant::default());

    assert!(is_refused(revived));
    assert_eq!(table.version(), 6);
}
