//! Tests of claims against the stand-in object interface and its injected faults. An orphan is a claim
//! that may be stored although its request was refused as not run.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use super::manager::Manager;
use super::{ClaimRequest, End, Error, HeldClaim, Liveness, Outcome};
use crate::metric::Metrics;
use bytes::Bytes;
use chestnutrack_core::claim::ANSWER_BYTES_MAX;
use chestnutrack_core::member::Identity;
use chestnutrack_process::http;
use chestnutrack_standin::platform;
use chestnutrack_store::client::{self, Client};
use prometheus::Registry;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// Liveness that answers the same for every claim holder.
#[derive(Clone)]
struct FixedLiveness(Arc<AtomicBool>);

impl Liveness for FixedLiveness {
    async fn is_alive(&self, _: Identity) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    async fn is_sweeper(&self) -> bool {
        true
    }
}

/// Starts the stand-in object interface.
async fn start_platform() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(platform::serve(listener, platform::Settings::default()));
    address
}

/// Makes the object interface inject these faults.
async fn inject_faults(address: SocketAddr, faults: serde_json::Value) {
    let request = http::request("POST", "/control/faults", Bytes::from(faults.to_string()));
    let limit = Duration::from_secs(10);
    let answer = http::call(address, request.unwrap(), limit, 1 << 20).await.unwrap();
    assert_eq!(answer.status(), 200);
}

/// Returns the manager of a member that considers every claim holder alive.
fn manager(address: SocketAddr, name: &str) -> Manager<FixedLiveness> {
    Manager {
        client: Client::new(address, client::Settings::default(), None),
        service: "shop".into(),
        me: Identity { name: name.into(), incarnation: 1 },
        liveness: FixedLiveness(Arc::new(AtomicBool::new(true))),
        metrics: Metrics::new(&Registry::new()).unwrap(),
        orphans: Arc::default(),
    }
}

/// Returns a claim request that differs from the others only in the identifier of the request.
fn claim_request(request: u128) -> ClaimRequest {
    ClaimRequest {
        organisation: "acme".into(),
        route: "deposit".into(),
        key: "order-1".into(),
        body: [7; 32],
        request,
    }
}

/// Returns the claim that was made; panics for any other outcome.
fn expect_held_claim(outcome: Result<Outcome, Error>) -> HeldClaim {
    match outcome {
        Ok(Outcome::Run(held)) => held,
        other => panic!("{other:?}"),
    }
}

fn answered(body: Vec<u8>) -> End {
    End::Answered { status: 201, headers: Vec::new(), body: Some(body) }
}

#[tokio::test]
async fn a_repeat_gets_the_first_answer() {
    let address = start_platform().await;
    let (a, b) = (manager(address, "a"), manager(address, "b"));
    let first = expect_held_claim(a.claim(claim_request(1)).await);

    let during = b.claim(claim_request(2)).await;
    a.settle(first, answered(b"done".to_vec())).await.unwrap();
    let after = b.claim(claim_request(3)).await;

    assert_eq!(during, Ok(Outcome::Running));
    assert_eq!(after, Ok(Outcome::Ended(answered(b"done".to_vec()))));
}

#[tokio::test]
async fn an_answer_too_large_to_keep_ends_without_its_body() {
    let address = start_platform().await;
    let a = manager(address, "a");
    let first = expect_held_claim(a.claim(claim_request(1)).await);

    a.settle(first, answered(vec![1; ANSWER_BYTES_MAX + 1])).await.unwrap();

    let end = End::Answered { status: 201, headers: Vec::new(), body: None };
    assert_eq!(a.claim(claim_request(2)).await, Ok(Outcome::Ended(end)));
}

#[tokio::test]
async fn the_same_key_with_another_body_is_a_mismatch() {
    let address = start_platform().await;
    let a = manager(address, "a");
    expect_held_claim(a.claim(claim_request(1)).await);

    let other = a.claim(ClaimRequest { body: [8; 32], ..claim_request(2) }).await;

    assert_eq!(other, Ok(Outcome::Mismatch));
}

#[tokio::test]
async fn a_claim_whose_holder_is_gone_is_unknown_and_never_runs_again() {
    let address = start_platform().await;
    let (a, b) = (manager(address, "a"), manager(address, "b"));
    expect_held_claim(a.claim(claim_request(1)).await);

    b.liveness.0.store(false, Ordering::Relaxed);

    assert_eq!(b.claim(claim_request(2)).await, Ok(Outcome::Unknown));
    assert_eq!(b.claim(claim_request(3)).await, Ok(Outcome::Unknown));
}

#[tokio::test]
async fn a_request_that_did_not_run_releases_its_claim() {
    let address = start_platform().await;
    let (a, b) = (manager(address, "a"), manager(address, "b"));
    let first = expect_held_claim(a.claim(claim_request(1)).await);

    a.settle(first, End::NotRun).await.unwrap();

    expect_held_claim(b.claim(claim_request(2)).await);
}

#[tokio::test]
async fn a_claim_whose_write_lost_its_answer_is_recognised_as_own() {
    let address = start_platform().await;
    let (a, b) = (manager(address, "a"), manager(address, "b"));
    inject_faults(address, json!({ "lose_answers": 1 })).await;

    let first = a.claim(claim_request(1)).await;

    expect_held_claim(first);
    assert_eq!(b.claim(claim_request(2)).await, Ok(Outcome::Running));
}

#[tokio::test]
async fn an_outage_refuses_a_claim_and_its_orphan_is_released() {
    let address = start_platform().await;
    let (a, b) = (manager(address, "a"), manager(address, "b"));
    inject_faults(address, json!({ "down": true })).await;

    let refused = a.claim(claim_request(1)).await;
    inject_faults(address, json!({ "down": false })).await;
    a.release_orphans().await;

    assert_eq!(refused, Err(Error::Unavailable));
    expect_held_claim(b.claim(claim_request(2)).await);
}

#[tokio::test]
async fn concurrent_claims_with_lost_answers_run_at_most_once() {
    let address = start_platform().await;
    for round in 0..20_u128 {
        inject_faults(address, json!({ "lose_answers": round % 5 })).await;
        let key: Arc<str> = format!("order-{round}").into();
        let mut claims = JoinSet::new();
        for request in 0..8 {
            let manager = manager(address, &format!("h{request}"));
            let claim_request =
                ClaimRequest { key: key.clone(), ..claim_request(round * 100 + request) };
            claims.spawn(async move { manager.claim(claim_request).await });
        }

        let outcomes = claims.join_all().await;

        let runs = outcomes.iter().filter(|outcome| matches!(outcome, Ok(Outcome::Run(_))));
        assert!(runs.count() <= 1, "round {round}: {outcomes:?}");
    }
}

#[tokio::test]
async fn a_sweep_deletes_only_expired_claims() {
    let address = start_platform().await;
    let a = manager(address, "a");
    expect_held_claim(a.claim(claim_request(1)).await);

    let deleted_young = a.sweep(Duration::from_secs(3_600)).await;
    let deleted_old = a.sweep(Duration::ZERO).await;

    assert_eq!((deleted_young, deleted_old), (0, 1));
    expect_held_claim(a.claim(claim_request(2)).await);
}
