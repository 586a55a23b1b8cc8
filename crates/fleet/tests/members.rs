//! Members on real sockets: joining, loss, outages, and configuration.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use serde_json::json;
use std::time::Duration;
use support::{Host, PATIENCE, Platform, document, until, within};

/// Time in which a change is in force on every member.
const CHANGE: Duration = Duration::from_secs(5);

async fn fleet(platform: &Platform, names: &[&str]) -> Vec<Host> {
    let mut hosts = Vec::new();
    for (name, incarnation) in names.iter().zip(1..) {
        hosts.push(Host::start(name, incarnation, platform.address).await);
    }
    let share = format!("1/{}", names.len());
    until("every member has its share", || {
        hosts.iter().all(|host| host.is_current() && host.share() == share)
    })
    .await;
    hosts
}

#[tokio::test(flavor = "multi_thread")]
async fn a_document_comes_into_force_on_every_member() {
    let platform = Platform::start().await;
    let hosts = fleet(&platform, &["a", "b", "c"]).await;

    let source = platform.write(&document(&["key-1"], 1_000, 500)).await;

    within(CHANGE, "the key is accepted", || hosts.iter().all(|host| host.accepts("key-1"))).await;
    assert_eq!(platform.read("accepted").await["source"], json!(source));
    assert!(hosts.iter().all(|host| host.fleet.snapshot().version == source));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_document_leaves_the_last_one_in_force_and_says_why() {
    let platform = Platform::start().await;
    let good = platform.write(&document(&["key-1"], 1_000, 500)).await;
    let host = Host::start("a", 1, platform.address).await;
    until("the key is accepted", || host.accepts("key-1")).await;

    let bad = platform.write(&document(&["key-2"], 0, 500)).await;

    let mut status = platform.read("status").await;
    while status["source"] != json!(bad) {
        tokio::time::sleep(Duration::from_millis(20)).await;
        status = platform.read("status").await;
    }
    assert_eq!(status["accepted"], json!(good));
    assert_eq!(status["findings"][0]["place"], "organisations[0].rate_tokens_per_s");
    assert!(host.accepts("key-1") && !host.accepts("key-2"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_stops_on_every_member() {
    let platform = Platform::start().await;
    platform.write(&document(&["key-1", "key-2"], 1_000, 500)).await;
    let hosts = fleet(&platform, &["a", "b"]).await;
    until("the key is accepted", || hosts.iter().all(|host| host.accepts("key-1"))).await;

    platform.write(&document(&["key-2"], 1_000, 500)).await;

    let stopped = || hosts.iter().all(|host| !host.accepts("key-1") && host.accepts("key-2"));
    within(CHANGE, "the key is withdrawn", stopped).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_store_changes_nothing_while_members_reach_each_other() {
    let platform = Platform::start().await;
    platform.write(&document(&["key-1"], 1_000, 500)).await;
    let hosts = fleet(&platform, &["a", "b"]).await;
    until("the key is accepted", || hosts.iter().all(|host| host.accepts("key-1"))).await;

    platform.faults(json!({ "down": true })).await;
    tokio::time::sleep(Duration::from_secs(6)).await;

    assert!(hosts.iter().all(|host| host.is_current() && host.accepts("key-1")));
    hosts[0].fleet.debit(&"acme".into(), 10, PATIENCE).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_killed_in_an_outage_does_not_stop_the_others() {
    let platform = Platform::start().await;
    platform.write(&document(&["key-1"], 1_000, 500)).await;
    let mut hosts = fleet(&platform, &["a", "b", "c"]).await;
    until("the key is accepted", || hosts.iter().all(|host| host.accepts("key-1"))).await;
    platform.faults(json!({ "down": true })).await;

    hosts[2].kill();
    tokio::time::sleep(Duration::from_secs(5)).await;

    assert!(hosts[..2].iter().all(|host| host.is_current() && host.accepts("key-1")));
    platform.faults(json!({ "down": false })).await;
    until("its share is taken over", || hosts[..2].iter().all(|host| host.share() == "1/2")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_member_is_removed_refuses_when_it_wakes_and_joins_again() {
    let platform = Platform::start().await;
    platform.write(&document(&["key-1"], 1_000, 500)).await;
    let hosts = fleet(&platform, &["a", "b"]).await;
    until("the key is accepted", || hosts.iter().all(|host| host.accepts("key-1"))).await;
    until("there are tokens", || {
        hosts[1].page("/v1/limits")["organisations"][0]["available_tokens"].as_u64() > Some(200)
    })
    .await;

    hosts[1].stop(Duration::from_secs(8));
    until("its share is taken over", || hosts[0].share() == "1/1").await;
    let woken = hosts[1].fleet.debit(&"acme".into(), 100, Duration::ZERO).await;

    assert!(woken.is_err(), "a member without a lease admits nothing");
    until("it is back", || hosts.iter().all(|host| host.is_current() && host.share() == "1/2"))
        .await;
    hosts[1].fleet.debit(&"acme".into(), 100, PATIENCE).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_that_leaves_is_gone_from_the_table() {
    let platform = Platform::start().await;
    let hosts = fleet(&platform, &["a", "b"]).await;

    hosts[0].fleet.leave().await;

    let members = platform.read("members").await;
    assert_eq!(members["members"].as_array().map(Vec::len), Some(1));
    until("its share is taken over", || hosts[1].share() == "1/1").await;
    assert!(hosts[1].is_current() && !hosts[0].is_current());
}
