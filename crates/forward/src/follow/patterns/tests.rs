//! What is older than the object that a host knows changes nothing.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use super::{Entry, Patterns, pattern_name, unix_ms};
use crate::app::{App, Settings};
use crate::follow::Follower;
use crate::mesh::Mesh;
use crate::metric::Metrics;
use crate::native;
use chestnutrack_standin::platform;
use chestnutrack_store::client::{self, Client};
use chestnutrack_store::object::Object;
use prometheus::Registry;
use serde_json::json;
use std::collections::BTreeSet;
use std::sync::Arc;
use tokio::net::TcpListener;

/// Returns the state of a host that has put a pattern into quarantine and written its object, with the object's name,
/// version and entry.
async fn written_pattern() -> (Patterns, Arc<str>, u64, Entry) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(platform::serve(listener, platform::Settings::default()));
    let client = Client::new(address, client::Settings::default(), None);
    let metrics = Metrics::new(&Registry::new()).unwrap();
    let settings = Settings { name: "host".into(), ..Settings::default() };
    let app = Arc::new(App::new(settings, native::DIALECT, metrics));
    let follower = Follower::new(app.clone(), native::DIRECTORY);
    let patterns = Patterns::new(
        client,
        native::DIRECTORY.hosts_kind,
        Mesh::new(app.clone(), follower, ([127, 0, 0, 1], 1).into()),
    );
    let entry = Entry {
        parts: [Arc::from("bad")].into(),
        decisions: [7].into(),
        decided_ms: Some(unix_ms()),
        until_ms: unix_ms() + 60_000,
    };
    app.hold_pattern(&entry.held());
    let name = pattern_name(&entry.parts);
    patterns.create(name.clone(), entry.clone()).await;
    let version = patterns.stored().patterns[&name].0;
    (patterns, name, version, entry)
}

fn held_count(patterns: &Patterns) -> usize {
    patterns.mesh.app().held_patterns().len()
}

// Guards against releasing a pattern because of a list that the store made before its object was written.
#[tokio::test]
async fn a_list_that_is_older_than_the_object_releases_nothing() {
    let (patterns, _, version, _) = written_pattern().await;

    patterns.apply_snapshot(version - 1, false, &BTreeSet::new());
    let after_older_list = held_count(&patterns);
    patterns.apply_snapshot(version + 1, false, &BTreeSet::new());

    assert_eq!((after_older_list, held_count(&patterns)), (1, 0));
}

// Guards against releasing a pattern that came back, because of the deletion of its earlier object.
#[tokio::test]
async fn a_deletion_that_is_older_than_the_object_releases_nothing() {
    let (patterns, name, version, entry) = written_pattern().await;
    let object = |version, value| Object { name: name.clone(), version, value, age_ms: 0 };

    patterns.apply(vec![object(version - 1, None)]);
    patterns.apply(vec![object(version, Some(json!(entry)))]);

    assert_eq!(held_count(&patterns), 1);
}
