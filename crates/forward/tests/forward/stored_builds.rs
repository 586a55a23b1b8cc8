//! Streams that callers resume after all hosts were killed at once, while engines of several builds serve. Which build began
//! a stream is then known from the store's records only.

use crate::builds::{
    Begin, begin, builds, decode_of, engine, is_refused_with_time, resuming, two_builds,
};
use crate::fixture::backend::{Backend, answer_prefill};
use crate::fixture::caller::{call, request};
use crate::fixture::fleet::{Fleet, name};
use crate::fixture::store::{HOSTS, ORIGINS, control, host_at, set_down};
use crate::fixture::{prefill, wait_until};
use chestnutrack_core::dispatch::Entry;
use chestnutrack_core::origin::{Recorders, Stream};
use chestnutrack_store::client::{self, Client};
use serde_json::json;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Builds that serve at once.
const BUILDS: [&str; 3] = ["v1", "v2", "v3"];

/// Starts a prefill engine and a decode engine of each of three builds, whose streams hang, and returns their entries.
async fn three_builds() -> (Vec<Backend>, Vec<Entry>) {
    let prefiller = Backend::start(answer_prefill).await;
    let mut servers = vec![prefill("prefill-1", &prefiller)];
    let mut backends = vec![prefiller];
    for build in BUILDS {
        let backend = engine(build, Begin::Hang).await;
        servers.push(decode_of(build, &format!("decode-{build}"), &backend));
        backends.push(backend);
    }
    (backends, servers)
}

/// Begins `count` streams at the hosts of a fleet in turn. Returns their builds and connections.
async fn begin_streams(fleet: &Fleet, count: usize) -> Vec<(String, TcpStream)> {
    let mut begun = Vec::new();
    for n in 0..count {
        begun.push(begin(fleet.address(n % fleet.members.len()), &format!("a{n}")).await);
    }
    begun
}

/// Resumes streams at the hosts of a fleet in turn, each at another host than it began, and checks that each goes on at its
/// build.
async fn assert_go_on(fleet: &Fleet, begun: &[(String, TcpStream)]) {
    for (n, (build, _)) in begun.iter().enumerate() {
        let text = resuming(&format!("b{n}"), &format!("a{n}"));
        let answer = call(fleet.address((n + 1) % fleet.members.len()), &text).await;
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
        assert_eq!(builds(&answer), BTreeSet::from([&**build]));
    }
}

/// Returns the calls that a store got for a kind of object.
async fn calls_about(store: SocketAddr, kind: &str) -> usize {
    let answer = call(store, &request("GET", "/control/seen", "", "")).await;
    assert_eq!(answer.status, 200);
    answer.body.matches(kind).count()
}

// Guards against streams of any of three builds that are refused, or go on at another build, after all hosts were killed.
#[tokio::test]
async fn streams_of_three_builds_go_on_at_their_builds_after_all_hosts_were_killed() {
    let (_backends, servers) = three_builds().await;
    let mut fleet = Fleet::start(4, &servers).await;
    let begun = begin_streams(&fleet, 12).await;
    let begun_builds: BTreeSet<&str> = begun.iter().map(|(build, _)| &**build).collect();
    assert_eq!(begun_builds, BTreeSet::from(BUILDS));
    fleet.until_recorded(begun.len()).await;

    fleet.restart(0..4).await;

    assert_go_on(&fleet, &begun).await;
}

// Guards against a host without others, which has no keeper to ask and is its own recorder.
#[tokio::test]
async fn streams_of_a_single_host_go_on_at_their_builds_after_it_was_killed() {
    let (_backends, servers) = two_builds().await;
    let mut fleet = Fleet::start(1, &servers).await;
    let begun = begin_streams(&fleet, 6).await;
    fleet.until_recorded(begun.len()).await;

    fleet.restart(0..1).await;

    assert_go_on(&fleet, &begun).await;
}

// Guards against records that are lost with the second of two kills in a row.
#[tokio::test]
async fn streams_go_on_at_their_builds_after_all_hosts_were_killed_twice() {
    let (_backends, servers) = two_builds().await;
    let mut fleet = Fleet::start(3, &servers).await;
    let begun = begin_streams(&fleet, 6).await;
    fleet.until_recorded(begun.len()).await;

    fleet.restart(0..3).await;
    fleet.restart(0..3).await;

    assert_go_on(&fleet, &begun).await;
}

// Guards against a stream that goes on at a build that is left, since the servers of its own have left during the kill.
#[tokio::test]
async fn a_stream_whose_build_left_during_the_kill_is_refused() {
    let (backends, servers) = two_builds().await;
    let mut fleet = Fleet::start(3, &servers).await;
    let begun = begin_streams(&fleet, 6).await;
    fleet.until_recorded(begun.len()).await;
    let (gone, stayed) = (&backends[1], &backends[2]);
    let counts = [gone, stayed].map(Backend::request_count);

    (0..3).for_each(|host| fleet.members[host].kill());
    fleet.remove("decode-1");
    fleet.restart(0..3).await;

    for (n, (build, _)) in begun.iter().enumerate() {
        let answer =
            call(fleet.address(n % 3), &resuming(&format!("b{n}"), &format!("a{n}"))).await;
        match &**build {
            "v1" => assert!(is_refused_with_time(&answer), "{answer:?}"),
            _ => assert_eq!(builds(&answer), BTreeSet::from([&**build]), "{answer:?}"),
        }
    }
    let continued = begun.iter().filter(|(build, _)| build == "v2").count();
    assert_eq!(gone.request_count(), counts[0]);
    assert_eq!(stayed.request_count(), counts[1] + continued);
}

// Guards against a stream that goes on at any build, or whose caller waits, while the store is away; and against one that stays
// refused once the store answers.
#[tokio::test]
async fn a_stream_is_refused_while_the_store_is_away_and_goes_on_once_it_answers() {
    let (_backends, servers) = two_builds().await;
    let mut fleet = Fleet::start(3, &servers).await;
    let begun = begin_streams(&fleet, 2).await;
    fleet.until_recorded(begun.len()).await;
    set_down(fleet.store, true).await;
    fleet.restart(0..3).await;

    let asked_at = Instant::now();
    let answer = call(fleet.address(0), &resuming("b0", "a0")).await;
    let elapsed = asked_at.elapsed();
    set_down(fleet.store, false).await;
    for host in &fleet.members {
        wait_until(|| host.host.app.metrics.peers.get() == 2).await;
    }

    assert!(is_refused_with_time(&answer), "{answer:?}");
    assert!(elapsed < Duration::from_millis(1_500), "{elapsed:?}");
    assert_go_on(&fleet, &begun).await;
}

// Guards against records of an older copy that assign a build to a stream that they don't name.
#[tokio::test]
async fn a_store_restored_during_the_kill_knows_the_streams_of_its_copy_only() {
    let (_backends, servers) = two_builds().await;
    let mut fleet = Fleet::start(3, &servers).await;
    let begun = begin_streams(&fleet, 4).await;
    fleet.until_recorded(begun.len()).await;
    control(fleet.store, "copy").await;
    let (_, connection) = begin(fleet.address(0), "later").await;
    fleet.until_recorded(begun.len() + 1).await;

    (0..3).for_each(|host| fleet.members[host].kill());
    control(fleet.store, "restore").await;
    fleet.restart(0..3).await;
    drop(connection);

    let answer = call(fleet.address(1), &resuming("b-later", "later")).await;
    assert!(is_refused_with_time(&answer), "{answer:?}");
    assert_go_on(&fleet, &begun).await;
}

// Guards against a recorder that takes its records for stored after the store has lost them.
#[tokio::test]
async fn records_that_a_restored_store_has_lost_are_written_again() {
    let (_backends, servers) = two_builds().await;
    let mut fleet = Fleet::start(3, &servers).await;
    control(fleet.store, "copy").await;
    let begun = begin_streams(&fleet, 4).await;
    fleet.until_recorded(begun.len()).await;

    control(fleet.store, "restore").await;
    fleet.until_recorded(begun.len()).await;
    fleet.restart(0..3).await;

    assert_go_on(&fleet, &begun).await;
}

// Guards against text of two builds in one stream: a store that was restored during the kill names only the build that served
// when its copy was made, and its list of servers shows only that one.
#[tokio::test]
async fn a_stream_does_not_go_on_at_the_only_build_that_a_restored_store_names() {
    let prefiller = Backend::start(answer_prefill).await;
    let (old, new) = (engine("v1", Begin::Complete).await, engine("v2", Begin::Hang).await);
    let servers = [prefill("prefill-1", &prefiller), decode_of("v1", "decode-1", &old)];
    let mut fleet = Fleet::start(3, &servers).await;
    fleet.until_builds_are_stored().await;
    control(fleet.store, "copy").await;
    fleet.put(&decode_of("v2", "decode-2", &new));
    fleet.remove("decode-1");
    fleet.until_connected().await;
    let (build, connection) = begin(fleet.address(0), "a1").await;
    let requests = old.request_count();

    (0..3).for_each(|host| fleet.members[host].kill());
    control(fleet.store, "restore").await;
    fleet.put(&decode_of("v1", "decode-1", &old));
    fleet.remove("decode-2");
    fleet.restart(0..3).await;
    fleet.until_connected().await;
    drop(connection);
    let answer = call(fleet.address(1), &resuming("b1", "a1")).await;

    assert_eq!(build, "v2");
    assert!(is_refused_with_time(&answer), "{answer:?}");
    assert_eq!(old.request_count(), requests);
}

// Guards against text of two builds in one stream: all hosts are killed before the store is told of a build that has begun
// streams and whose servers leave during the kill.
#[tokio::test]
async fn a_stream_of_a_build_that_the_store_does_not_name_goes_on_at_no_other() {
    let prefiller = Backend::start(answer_prefill).await;
    let (old, new) = (engine("v1", Begin::Hang).await, engine("v2", Begin::Hang).await);
    let servers = [prefill("prefill-1", &prefiller), decode_of("v1", "decode-1", &old)];
    let mut fleet = Fleet::start(3, &servers).await;
    fleet.until_builds_are_stored().await;
    let client = Client::new(fleet.store, client::Settings::default(), None);
    let named = client.read(HOSTS, "engine-builds").await.unwrap().value.unwrap();
    fleet.put(&decode_of("v2", "decode-2", &new));
    fleet.remove("decode-1");
    fleet.until_connected().await;
    let (build, connection) = begin(fleet.address(0), "a1").await;
    fleet.until_recorded(1).await;
    let requests = old.request_count();

    (0..3).for_each(|host| fleet.members[host].kill());
    let version = client.read(HOSTS, "engine-builds").await.unwrap().version;
    client.replace(HOSTS, "engine-builds", version, &named).await.unwrap();
    fleet.put(&decode_of("v1", "decode-1", &old));
    fleet.remove("decode-2");
    fleet.restart(0..3).await;
    fleet.until_connected().await;
    drop(connection);
    let named = call(fleet.address(1), &resuming("b1", "a1")).await;
    let text = resuming("b2", "a1").replace("x-chestnutrack-resumes: a1\r\n", "");
    let unnamed = call(fleet.address(2), &text).await;

    assert_eq!(build, "v2");
    assert!(is_refused_with_time(&named), "{named:?}");
    assert!(is_refused_with_time(&unnamed), "{unnamed:?}");
    assert_eq!(old.request_count(), requests);
}

// Guards against builds in the store whose epoch can't be read, or is another, and that are taken for all.
#[tokio::test]
async fn builds_of_an_unreadable_epoch_are_not_all() {
    let prefiller = Backend::start(answer_prefill).await;
    let old = engine("v1", Begin::Complete).await;
    let servers = [prefill("prefill-1", &prefiller), decode_of("v1", "decode-1", &old)];
    let mut fleet = Fleet::start(1, &servers).await;
    fleet.until_builds_are_stored().await;
    let client = Client::new(fleet.store, client::Settings::default(), None);

    for epoch in [json!(null), json!("x"), json!(-1), json!(u64::MAX), json!([])] {
        fleet.members[0].kill();
        let mut object = client.read(HOSTS, "engine-builds").await.unwrap();
        let value = object.value.as_mut().unwrap();
        value["epoch"] = epoch.clone();
        client.replace(HOSTS, "engine-builds", object.version, value).await.unwrap();
        fleet.restart(0..1).await;
        let answer = call(fleet.address(0), &resuming("b1", "a1")).await;

        assert!(is_refused_with_time(&answer), "{epoch}: {answer:?}");
    }
    assert_eq!(old.request_count(), 0);
}

// Guards against records that hosts of other cells don't find.
#[tokio::test]
async fn streams_go_on_at_hosts_of_another_cell_after_all_hosts_were_killed() {
    let (_backends, servers) = two_builds().await;
    let mut fleet = Fleet::start(4, &servers).await;
    let client = Client::new(fleet.store, client::Settings::default(), None);
    // The other hosts of the fleet are listed, but don't run. None of them is a recorder.
    let running: Vec<Arc<str>> = (0..4).map(|n| name(n).into()).collect();
    let is_recorder = |other: &Arc<str>| {
        let recorders = Recorders::new(running.iter().chain([other]).cloned());
        (0..64).any(|n| recorders.of(Stream::from(n)) == Some(other))
    };
    let names = (0..).map(|n| Arc::from(format!("z-host-{n}")));
    for other in names.filter(|other| !is_recorder(other)).take(32) {
        let entry = json!(host_at(([127, 0, 0, 1], 9).into()));
        client.create(HOSTS, &other, &entry).await.unwrap();
    }
    for member in &fleet.members {
        wait_until(|| member.host.app.cell().index_and_count().1 == 2).await;
    }
    let cells: BTreeSet<_> =
        fleet.members.iter().map(|m| m.host.app.cell().index_and_count().0).collect();
    assert_eq!(cells.len(), 2);
    let begun = begin_streams(&fleet, 8).await;
    fleet.until_recorded(begun.len()).await;

    fleet.restart(0..4).await;

    assert_go_on(&fleet, &begun).await;
}

// Guards against calls to the store while one build serves.
#[tokio::test]
async fn nothing_is_written_or_read_while_one_build_serves() {
    let prefiller = Backend::start(answer_prefill).await;
    let (first, second) = (engine("v1", Begin::Hang).await, engine("v1", Begin::Hang).await);
    let servers = [
        prefill("prefill-1", &prefiller),
        decode_of("v1", "decode-1", &first),
        decode_of("v1", "decode-2", &second),
    ];
    let fleet = Fleet::start(3, &servers).await;
    let begun = begin_streams(&fleet, 6).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_go_on(&fleet, &begun).await;

    assert_eq!(calls_about(fleet.store, ORIGINS).await, 0);
}

// Guards against calls for each stream: a few hosts write, each after it has gathered records.
#[tokio::test]
async fn many_streams_are_recorded_with_few_calls() {
    let (_backends, servers) = two_builds().await;
    let fleet = Fleet::start(3, &servers).await;
    let started_at = Instant::now();

    let begun = begin_streams(&fleet, 12).await;
    let counted_before = started_at.elapsed();
    fleet.until_recorded(begun.len()).await;
    let calls: u64 = fleet
        .members
        .iter()
        .map(|m| m.host.app.metrics.record_calls.with_label_values(&["written"]).get())
        .sum();

    // Each of the three hosts writes at most once in 250 ms.
    let periods = (counted_before + started_at.elapsed()).as_millis() as u64 / 250 + 1;
    assert!(calls <= 3 * periods, "{calls} writes in {periods} periods");
}
