//! Tests of rate limits, withdrawn keys and restarts under injected faults, on real sockets.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use chestnutrack_fleet::limit::Cause;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use support::{Host, Platform, Proxy, ProxyMode, document, one_way_peer, wait_until, wait_within};
use tokio::task::JoinSet;

/// Maximum time until a change is in force on every member.
const CHANGE_TIME_MAX: Duration = Duration::from_secs(5);
const RATE_TOKENS_PER_S: u64 = 1_000;
const BURST_TOKENS: u64 = 600;

fn acme() -> Arc<str> {
    Arc::from("acme")
}

/// Returns the tokens that are available to the organisation on a member.
fn available(host: &Host) -> u64 {
    host.page("/v1/limits")["organisations"][0]["available_tokens"].as_u64().unwrap_or(0)
}

/// Starts three members and waits until their token buckets are full.
async fn start_hosts(platform: &Platform) -> Vec<Host> {
    platform.write(&document(&["key-1", "key-2"], RATE_TOKENS_PER_S, BURST_TOKENS)).await;
    let mut hosts = Vec::new();
    for (name, incarnation) in ["a", "b", "c"].iter().zip(1..) {
        hosts.push(Host::start(name, incarnation, platform.address).await);
    }
    wait_until("every bucket is full", || {
        hosts.iter().all(|host| host.accepts("key-1") && available(host) == BURST_TOKENS / 3)
    })
    .await;
    hosts
}

#[tokio::test(flavor = "multi_thread")]
async fn one_host_can_spend_the_whole_burst() {
    let platform = Platform::start().await;
    let hosts = start_hosts(&platform).await;

    for _ in 0..3 {
        hosts[0].fleet.debit(&acme(), BURST_TOKENS / 3, Duration::from_secs(2)).await.unwrap();
    }
    let over_burst = hosts[0].fleet.debit(&acme(), BURST_TOKENS + 1, Duration::from_secs(60)).await;

    assert!(hosts[0].counter("chestnutrack_fleet_tokens_total", Some("borrowed")) > 0.0);
    assert_eq!(over_burst.unwrap_err().cause, Cause::OverBurst);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_gives_up_leaves_its_tokens_to_others() {
    let platform = Platform::start().await;
    let hosts = start_hosts(&platform).await;
    for _ in 0..3 {
        hosts[0].fleet.debit(&acme(), BURST_TOKENS / 3, Duration::from_secs(2)).await.unwrap();
    }

    let acme = acme();
    let given_up = hosts[0].fleet.debit(&acme, BURST_TOKENS, Duration::from_secs(60));
    let given_up = tokio::time::timeout(Duration::from_millis(50), given_up).await;
    let next = hosts[0].fleet.debit(&acme, 10, Duration::from_secs(20)).await;

    assert!(given_up.is_err());
    assert_eq!(next, Ok(()));
}

#[tokio::test(flavor = "multi_thread")]
async fn five_times_the_rate_never_overshoots_through_outage_kill_and_stop() {
    let platform = Platform::start().await;
    let mut hosts = start_hosts(&platform).await;
    let (finished, admitted) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let started = Instant::now();
    let mut callers = JoinSet::new();
    for host in &hosts {
        for _ in 0..4 {
            let (fleet, finished, admitted) =
                (host.fleet.clone(), finished.clone(), admitted.clone());
            callers.spawn(async move {
                while !finished.load(Ordering::Relaxed) {
                    let within = Duration::from_millis(100);
                    if fleet.debit(&acme(), 20, within).await.is_ok() {
                        admitted.fetch_add(20, Ordering::Relaxed);
                    }
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            });
        }
    }

    tokio::time::sleep(Duration::from_secs(2)).await;
    platform.inject_faults(json!({ "down": true })).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    platform.inject_faults(json!({ "down": false })).await;
    hosts[2].kill();
    tokio::time::sleep(Duration::from_secs(2)).await;
    hosts[1].pause(Duration::from_secs(5));
    tokio::time::sleep(Duration::from_secs(9)).await;
    finished.store(true, Ordering::Relaxed);
    while callers.join_next().await.is_some() {}

    let elapsed_s = started.elapsed().as_secs_f64();
    let admitted = admitted.load(Ordering::Relaxed) as f64;
    assert!(
        admitted <= BURST_TOKENS as f64 + RATE_TOKENS_PER_S as f64 * elapsed_s,
        "{admitted} in {elapsed_s} s"
    );
    assert!(admitted >= 0.3 * RATE_TOKENS_PER_S as f64 * elapsed_s, "{admitted} in {elapsed_s} s");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_cut_off_from_the_store_gets_a_withdrawal_from_its_peers() {
    let platform = Platform::start().await;
    platform.write(&document(&["key-1", "key-2"], RATE_TOKENS_PER_S, BURST_TOKENS)).await;
    let proxy = Proxy::start(platform.address).await;
    let a = Host::start("a", 1, platform.address).await;
    let b = Host::start("b", 2, proxy.address).await;
    wait_until("the key is accepted", || a.accepts("key-1") && b.accepts("key-1")).await;
    wait_until("both are members", || a.share() == "1/2" && b.share() == "1/2").await;

    proxy.set(ProxyMode::Disconnect);
    platform.write(&document(&["key-2"], RATE_TOKENS_PER_S, BURST_TOKENS)).await;

    let withdrawn = || !a.accepts("key-1") && !b.accepts("key-1") && b.accepts("key-2");
    wait_within(CHANGE_TIME_MAX, "the key is withdrawn", withdrawn).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_restarted_in_an_outage_refuses_until_it_is_a_member() {
    let platform = Platform::start().await;
    let mut hosts = start_hosts(&platform).await;
    let version = hosts[0].fleet.snapshot().version;
    platform.inject_faults(json!({ "down": true })).await;
    hosts[2].kill();
    tokio::time::sleep(Duration::from_millis(200)).await;

    hosts[2].restart(9, platform.address).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let refusal = hosts[2].fleet.debit(&acme(), 1, Duration::from_millis(100)).await;
    platform.inject_faults(json!({ "down": false })).await;

    assert!(refusal.is_err() && !hosts[2].accepts("key-1"));
    wait_until("the host is a member", || hosts[2].is_current() && hosts[2].accepts("key-1")).await;
    assert_eq!(hosts[2].fleet.snapshot().version, version);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_answers_stale_brings_no_document_back() {
    let platform = Platform::start().await;
    let hosts = start_hosts(&platform).await;
    platform.write(&document(&["key-2"], RATE_TOKENS_PER_S, BURST_TOKENS)).await;
    wait_within(CHANGE_TIME_MAX, "the key is withdrawn", || {
        hosts.iter().all(|h| !h.accepts("key-1"))
    })
    .await;

    platform.inject_faults(json!({ "stale_ms": 60_000 })).await;
    for _ in 0..200 {
        tokio::time::sleep(Duration::from_millis(10)).await;
        assert!(hosts.iter().all(|host| !host.accepts("key-1")));
    }

    assert!(hosts.iter().all(|host| host.accepts("key-2")));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_to_the_store_does_not_hide_a_withdrawal() {
    let platform = Platform::start().await;
    platform.write(&document(&["key-1", "key-2"], RATE_TOKENS_PER_S, BURST_TOKENS)).await;
    let proxy = Proxy::start(platform.address).await;
    let host = Host::start("a", 1, proxy.address).await;
    wait_until("the key is accepted", || host.accepts("key-1")).await;

    proxy.set(ProxyMode::Stall);
    platform.write(&document(&["key-2"], RATE_TOKENS_PER_S, BURST_TOKENS)).await;

    let withdrawn = || !host.accepts("key-1") && host.accepts("key-2");
    wait_within(CHANGE_TIME_MAX, "the key is withdrawn", withdrawn).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_good_document_after_a_refused_one_comes_into_force() {
    let platform = Platform::start().await;
    let hosts = start_hosts(&platform).await;
    platform.write(&document(&["key-3"], 0, 0)).await;

    let newest = platform.write(&document(&["key-4"], RATE_TOKENS_PER_S, BURST_TOKENS)).await;

    let in_force = || hosts.iter().all(|h| h.accepts("key-4") && !h.accepts("key-1"));
    wait_within(CHANGE_TIME_MAX, "the newest document is in force", in_force).await;
    assert_eq!(platform.read("accepted").await["source"], json!(newest));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_peer_that_can_not_be_dialed_is_asked_on_its_own_connection() {
    let platform = Platform::start().await;
    let host = Host::start("a", 1, platform.address).await;
    wait_until("the host is a member", || host.is_current()).await;
    // Connections to this listener are never accepted, so dialing it fails without proving a death.
    let unresponsive = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let object = platform.client.read("members", support::SERVICE).await.unwrap();
    let mut table = object.value.unwrap();
    let address = unresponsive.local_addr().unwrap();
    let peer = json!({ "name": "b", "incarnation": 7, "address": address });
    table["members"].as_array_mut().unwrap().push(peer);

    let peer = tokio::spawn(one_way_peer(host.address, "b", 7));
    platform.client.replace("members", support::SERVICE, object.version, &table).await.unwrap();
    tokio::time::sleep(Duration::from_secs(8)).await;

    let peers = host.page("/v1/members")["peers"].clone();
    assert!(host.is_current(), "{peers}");
    assert_eq!((&peers[0]["name"], &peers[0]["needed"]), (&json!("b"), &json!(true)));
    peer.abort();
}
