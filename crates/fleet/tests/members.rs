//! Tests of joining, loss, outages and configuration changes of members, on real sockets.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use serde_json::json;
use std::time::Duration;
use support::{Host, Platform, TEST_TIMEOUT, document, wait_until, wait_within};

/// Maximum time until a change is in force on every member.
const CHANGE_TIME_MAX: Duration = Duration::from_secs(5);

/// Starts members and waits until each is current and has an equal share.
async fn start_hosts(platform: &Platform, names: &[&str]) -> Vec<Host> {
    let mut hosts = Vec::new();
    for (name, incarnation) in names.iter().zip(1..) {
        hosts.push(Host::start(name, incarnation, platform.address).await);
    }
    let share = format!("1/{}", names.len());
    wait_until("every member has its share", || {
        hosts.iter().all(|host| host.is_current() && host.share() == share)
    })
    .await;
    hosts
}

#[tokio::test(flavor = "multi_thread")]
async fn a_document_comes_into_force_on_every_member() {
    let platform = Platform::start().await;
    let hosts = start_hosts(&platform, &["a", "b", "c"]).await;

    let source = platform.write(&document(&["key-1"], 1_000, 500)).await;

    wait_within(CHANGE_TIME_MAX, "the key is accepted", || {
        hosts.iter().all(|host| host.accepts("key-1"))
    })
    .await;
    assert_eq!(platform.read("accepted").await["source"], json!(source));
    assert!(hosts.iter().all(|host| host.fleet.snapshot().version == source));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_document_leaves_the_last_one_in_force_and_says_why() {
    let platform = Platform::start().await;
    let good = platform.write(&document(&["key-1"], 1_000, 500)).await;
    let host = Host::start("a", 1, platform.address).await;
    wait_until("the key is accepted", || host.accepts("key-1")).await;

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
    let hosts = start_hosts(&platform, &["a", "b"]).await;
    wait_until("the key is accepted", || hosts.iter().all(|host| host.accepts("key-1"))).await;

    platform.write(&document(&["key-2"], 1_000, 500)).await;

    let withdrawn = || hosts.iter().all(|host| !host.accepts("key-1") && host.accepts("key-2"));
    wait_within(CHANGE_TIME_MAX, "the key is withdrawn", withdrawn).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_store_changes_nothing_while_members_reach_each_other() {
    let platform = Platform::start().await;
    platform.write(&document(&["key-1"], 1_000, 500)).await;
    let hosts = start_hosts(&platform, &["a", "b"]).await;
    wait_until("the key is accepted", || hosts.iter().all(|host| host.accepts("key-1"))).await;

    platform.inject_faults(json!({ "down": true })).await;
    tokio::time::sleep(Duration::from_secs(6)).await;

    assert!(hosts.iter().all(|host| host.is_current() && host.accepts("key-1")));
    hosts[0].fleet.debit(&"acme".into(), 10, TEST_TIMEOUT).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_killed_in_an_outage_does_not_stop_the_others() {
    let platform = Platform::start().await;
    platform.write(&document(&["key-1"], 1_000, 500)).await;
    let mut hosts = start_hosts(&platform, &["a", "b", "c"]).await;
    wait_until("the key is accepted", || hosts.iter().all(|host| host.accepts("key-1"))).await;
    platform.inject_faults(json!({ "down": true })).await;

    hosts[2].kill();
    tokio::time::sleep(Duration::from_secs(5)).await;

    assert!(hosts[..2].iter().all(|host| host.is_current() && host.accepts("key-1")));
    platform.inject_faults(json!({ "down": false })).await;
    wait_until("the former member's share is redistributed", || {
        hosts[..2].iter().all(|host| host.share() == "1/2")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_member_is_removed_refuses_when_it_resumes_and_joins_again() {
    let platform = Platform::start().await;
    platform.write(&document(&["key-1"], 1_000, 500)).await;
    let hosts = start_hosts(&platform, &["a", "b"]).await;
    wait_until("the key is accepted", || hosts.iter().all(|host| host.accepts("key-1"))).await;
    wait_until("there are tokens", || {
        hosts[1].page("/v1/limits")["organisations"][0]["available_tokens"].as_u64() > Some(200)
    })
    .await;

    hosts[1].pause(Duration::from_secs(8));
    wait_until("the former member's share is redistributed", || hosts[0].share() == "1/1").await;
    let after_resume = hosts[1].fleet.debit(&"acme".into(), 100, Duration::ZERO).await;

    assert!(after_resume.is_err(), "a member without a lease admits nothing");
    wait_until("the member is back", || {
        hosts.iter().all(|host| host.is_current() && host.share() == "1/2")
    })
    .await;
    hosts[1].fleet.debit(&"acme".into(), 100, TEST_TIMEOUT).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_that_leaves_is_gone_from_the_table() {
    let platform = Platform::start().await;
    let hosts = start_hosts(&platform, &["a", "b"]).await;

    hosts[0].fleet.leave().await;

    let members = platform.read("members").await;
    assert_eq!(members["members"].as_array().map(Vec::len), Some(1));
    wait_until("the former member's share is redistributed", || hosts[1].share() == "1/1").await;
    assert!(hosts[1].is_current() && !hosts[0].is_current());
}
