//! The store comes back from a copy some seconds old: versions go back and are given out again.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use chestnutrack_standin::platform;
use chestnutrack_store::client::{self, Client};
use chestnutrack_store::error::Error;
use chestnutrack_store::watcher::{self, Event};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use support::{Action, TEST_TIMEOUT, post_control, scripted_server};
use tokio::sync::mpsc;
use tokio::time::timeout;

async fn stand_in() -> (SocketAddr, Client) {
    let address = support::platform(platform::Settings {
        writes_per_s: 100_000,
        reads_per_s: 100_000,
        ..platform::Settings::default()
    });
    let address = address.await;
    (address, client_of(address))
}

fn client_of(address: SocketAddr) -> Client {
    Client::new(address, client::Settings::default(), None)
}

fn watch(client: &Client) -> mpsc::Receiver<Event> {
    let settings = watcher::Settings {
        watch_timeout: Duration::from_millis(5_000),
        retry_min: Duration::from_millis(5),
        ..watcher::Settings::default()
    };
    watcher::start(client.clone(), "things", settings)
}

/// Reads a watcher's updates until `view`, the values by name, is `expected`. Checks that versions
/// never go back.
async fn follow_until(
    events: &mut mpsc::Receiver<Event>,
    view: &mut BTreeMap<String, Value>,
    newest: &mut u64,
    expected: &BTreeMap<String, Value>,
) {
    while &*view != expected {
        let event = timeout(TEST_TIMEOUT, events.recv()).await.expect("the watcher catches up");
        let Event::Updated(update) = event.unwrap() else { continue };
        assert!(update.version >= *newest, "{} after {newest}", update.version);
        *newest = update.version;
        if update.is_snapshot {
            view.clear();
        }
        for object in update.objects {
            match object.value {
                Some(value) => drop(view.insert(object.name.to_string(), value)),
                None => drop(view.remove(&*object.name)),
            }
        }
    }
}

#[tokio::test]
async fn a_watch_that_waits_for_a_version_that_is_given_out_again_misses_nothing() {
    // The version after the copy is lost, and given out again for another object. A watch from it
    // would never show that object.
    let (address, client) = stand_in().await;
    client.create("things", "kept", &json!(1)).await.unwrap();
    post_control(address, "copy", json!({})).await;
    client.create("things", "lost", &json!(2)).await.unwrap();
    let mut events = watch(&client);
    let (mut view, mut newest) = (BTreeMap::new(), 0);
    let before = BTreeMap::from([("kept".into(), json!(1)), ("lost".into(), json!(2))]);
    follow_until(&mut events, &mut view, &mut newest, &before).await;

    post_control(address, "restore", json!({})).await;
    client_of(address).create("things", "other", &json!(3)).await.unwrap();

    // Nothing but an answer of the store tells of the new epoch.
    client.read("things", "kept").await.unwrap();
    let after = BTreeMap::from([("kept".into(), json!(1)), ("other".into(), json!(3))]);
    follow_until(&mut events, &mut view, &mut newest, &after).await;
    assert_eq!(client.counters().restores(), 1);
}

#[tokio::test]
async fn a_write_on_condition_of_a_lost_version_does_not_take_effect() {
    let (address, client) = stand_in().await;
    post_control(address, "copy", json!({})).await;
    let lost = client.create("things", "lease", &json!("mine")).await.unwrap();
    post_control(address, "restore", json!({})).await;
    let theirs = client_of(address).create("things", "lease", &json!("theirs")).await.unwrap();

    // The interface gives the same version to another holder's lease, so it would accept the write.
    let first = client.replace("things", "lease", lost, &json!("mine again")).await;
    let second = client.replace("things", "lease", lost, &json!("mine again")).await;
    let deleted = client.delete("things", "lease", lost).await;

    assert!(matches!(first, Err(Error::Unknown(_))), "{first:?}");
    assert_eq!(second, Err(Error::Conflict(0)));
    assert_eq!(deleted, Err(Error::Conflict(0)));
    assert!(theirs > lost);
}

#[tokio::test]
async fn versions_are_higher_after_a_restore_than_all_before() {
    let (address, client) = stand_in().await;
    post_control(address, "copy", json!({})).await;
    let mut before = 0;
    for index in 0..20 {
        before = client.create("things", &format!("t{index}"), &json!(index)).await.unwrap();
    }

    post_control(address, "restore", json!({})).await;
    let after = client.create("things", "first", &json!(0)).await.unwrap();
    let read = client.read("things", "first").await.unwrap().version;
    let list = client.list("things").await.unwrap().version;

    assert!(after > before && read == after && list == after, "{before} {after} {read} {list}");
}

#[tokio::test]
async fn a_delayed_response_of_an_earlier_epoch_is_ignored() {
    const OBJECT: &str = r#"{"name":"a","version":9,"value":1,"age_ms":0}"#;
    let response = |epoch: u32| -> &'static str {
        format!(
            "HTTP/1.1 200 OK\r\nx-store-epoch: {epoch}\r\ncontent-length: {}\r\n\r\n{OBJECT}",
            OBJECT.len()
        )
        .leak()
    };
    let address =
        scripted_server(vec![Action::KeepOpen(response(5)), Action::KeepOpen(response(4))]).await;
    let client = client_of(address);

    let current = client.read("things", "a").await;
    let earlier = client.read("things", "a").await;

    assert!(current.is_ok(), "{current:?}");
    assert!(matches!(earlier, Err(Error::Unknown(_))), "{earlier:?}");
    assert_eq!(client.epoch(), 5);
}

/// A step of a random sequence.
#[derive(Clone, Copy, Debug)]
enum Step {
    Write(u8, u8),
    Delete(u8),
    Copy,
    Restore,
    /// Lets the watcher catch up.
    Follow,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 10 {
            0..=4 => Step::Write(u8::arbitrary(g) % 4, u8::arbitrary(g)),
            5 => Step::Delete(u8::arbitrary(g) % 4),
            6 => Step::Copy,
            7 => Step::Restore,
            _ => Step::Follow,
        }
    }
}

/// Applies the steps through one client while another one's watcher follows, and checks that the
/// watcher ends with what the store holds, after versions that never went back.
async fn follow_steps(steps: Vec<Step>) {
    let (address, writer) = stand_in().await;
    let reader = client_of(address);
    let mut events = watch(&reader);
    let (mut view, mut newest) = (BTreeMap::new(), 0);
    let (mut stored, mut copied) = (BTreeMap::new(), BTreeMap::new());
    for step in steps.into_iter().chain([Step::Follow]) {
        match step {
            Step::Write(name, value) => {
                let name = format!("t{name}");
                let version = writer.read("things", &name).await.map_or(0, |object| object.version);
                writer.replace("things", &name, version, &json!(value)).await.unwrap();
                stored.insert(name, json!(value));
            }
            Step::Delete(name) => {
                let name = format!("t{name}");
                if let Ok(object) = writer.read("things", &name).await {
                    writer.delete("things", &name, object.version).await.unwrap();
                    stored.remove(&name);
                }
            }
            Step::Copy => {
                post_control(address, "copy", json!({})).await;
                copied.clone_from(&stored);
            }
            Step::Restore => {
                post_control(address, "restore", json!({})).await;
                stored.clone_from(&copied);
            }
            Step::Follow => {
                // A host makes calls all the time; one of them finds the new epoch.
                let _ = reader.read("things", "t0").await;
                follow_until(&mut events, &mut view, &mut newest, &stored).await;
            }
        }
    }
}

#[test]
fn a_watcher_follows_any_sequence_of_writes_copies_and_restores() {
    fn holds(steps: Vec<Step>) -> bool {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        runtime.block_on(follow_steps(steps));
        true
    }
    QuickCheck::new().tests(60).quickcheck(holds as fn(Vec<Step>) -> bool);
}
