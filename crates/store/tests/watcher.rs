//! Updates that a watcher's table emits for random responses, including outdated ones.

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

/// State of an object as last seen by the reader of the updates.
#[derive(Clone, Copy, Debug)]
struct Seen {
    version: u64,
    exists: bool,
}

impl Seen {
    /// Returns `true` if `other` is older, or revives an object at the version of its deletion.
    fn is_newer_than(self, other: Seen) -> bool {
        other.version < self.version
            || (other.version == self.version && !self.exists && other.exists)
    }
}

/// A random response, as an interface that is stale or faulty might send it.
#[derive(Clone, Debug)]
struct Response {
    version: u8,
    /// Name, version and existence of each object.
    objects: Vec<(u8, u8, bool)>,
    /// Whether the table has to list again before this response.
    requires_list: bool,
}

fn random_object(name: u8, g: &mut Gen) -> (u8, u8, bool) {
    // Sometimes repeats the name of another object in the same response.
    let name = if u8::arbitrary(g) % 16 == 0 { 0 } else { name };
    (name, u8::arbitrary(g) % 32, bool::arbitrary(g))
}

impl Arbitrary for Response {
    fn arbitrary(g: &mut Gen) -> Response {
        Response {
            version: u8::arbitrary(g) % 32,
            objects: (0..u8::arbitrary(g) % 4).map(|name| random_object(name, g)).collect(),
            requires_list: u8::arbitrary(g) % 8 == 0,
        }
    }
}

impl Response {
    fn list(&self) -> List {
        let objects = self.objects.iter().map(|(name, version, exists)| {
            let name = name.to_string();
            let version = u64::from(*version);
            if *exists { object(&name, version) } else { deleted(&name, version) }
        });
        list(u64::from(self.version), objects.collect())
    }
}

quickcheck! {
    fn emitted_versions_never_decrease(responses: Vec<Response>) -> TestResult {
        let mut table = Table::default();
        let mut seen: BTreeMap<Arc<str>, Seen> = BTreeMap::new();
        let mut newest = 0;
        for response in &responses {
            if response.requires_list {
                table.require_list();
            }
            let is_snapshot = table.needs_list();
            let list = response.list();
            let version = list.version;
            let Ok(update) = table.apply(list, is_snapshot, Instant::default()) else { continue };
            if update.version < newest {
                return TestResult::error(format!("version {} after {newest}", update.version));
            }
            newest = update.version;
            let mut before = seen.clone();
            if is_snapshot {
                seen.values_mut().for_each(|seen| *seen = Seen { version, exists: false });
            }
            for object in &update.objects {
                let now = Seen { version: object.version, exists: object.value.is_some() };
                if before.remove(&object.name).is_some_and(|last| last.is_newer_than(now)) {
                    return TestResult::error(format!("{object:?} is older than before"));
                }
                seen.insert(Arc::clone(&object.name), now);
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
fn a_newer_list_with_an_older_object_changes_nothing() {
    let mut table = Table::default();
    table.apply(list(5, vec![object("a", 5)]), true, Instant::default()).expect("newer");

    let older = table.apply(list(6, vec![object("a", 4)]), true, Instant::default());

    assert!(is_refused(older));
    assert_eq!(table.version(), 5);
}

#[test]
fn a_watch_emits_only_newer_objects() {
    let mut table = Table::default();
    table.apply(list(5, vec![object("a", 5)]), true, Instant::default()).expect("newer");

    let changes = list(7, vec![object("a", 5), object("b", 7), deleted("c", 6)]);
    let update = table.apply(changes, false, Instant::default()).expect("newer");

    assert_eq!(update.objects, [object("b", 7), deleted("c", 6)]);
    assert_eq!(update.version, 7);
}

/// Guards against a watch that begins at the newest object of a list of several pages: changes of objects on older pages
/// would be missed.
#[test]
fn a_watch_after_a_list_of_pages_returns_what_changed_between_the_pages() {
    let mut table = Table::default();
    let pages = list(8, vec![object("a", 10), object("b", 7)]);
    let listed = table.apply(pages, true, Instant::default()).expect("newer");

    let changes = list(12, vec![deleted("b", 9), object("a", 10), object("c", 11)]);
    let update = table.apply(changes, false, Instant::default()).expect("newer");

    assert_eq!(listed.version, 8);
    assert_eq!(update.objects, [deleted("b", 9), object("c", 11)]);
}

#[test]
fn a_response_that_contains_an_object_twice_changes_nothing() {
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
