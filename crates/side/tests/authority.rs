//! Authority over a backend server: it is claimed once, kept during outages of the object interface
//! and given up when a newer process claims the server.

#![allow(clippy::unwrap_used)]

mod fixture;

use chestnutrack_core::server::Authority;
use chestnutrack_document::model::Role;
use chestnutrack_side::authority::Claimant;
use chestnutrack_standin::engine::Settings;
use chestnutrack_store::client::Client;
use chestnutrack_wire::frame::{Cause, Ran};
use chestnutrack_wire::{Frame, Request};
use fixture::{
    ATTEMPT, Cluster, EntryHost, configure, decode, get, post, start_engine, start_platform,
    start_side, state, wait_until,
};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

async fn wait_for_epoch(side: &fixture::SideProcess, epoch: u64) {
    wait_until("the process has the epoch", async || state(side).await["epoch"] == json!(epoch))
        .await;
}

#[tokio::test]
async fn a_claim_waits_for_the_end_of_an_outage() {
    let platform = start_platform().await;
    post(platform, "/control/faults", json!({"down": true})).await;
    let engine = start_engine(Settings::default()).await;
    let side = start_side(platform, "decode-1", Role::Decode, engine).await;
    wait_until("the state page is available", async || state(&side).await.is_object()).await;
    let epoch_during_outage = state(&side).await["epoch"].clone();

    post(platform, "/control/faults", json!({"down": false})).await;

    wait_for_epoch(&side, 1).await;
    assert!(epoch_during_outage.is_null());
}

#[tokio::test]
async fn a_claim_whose_response_is_lost_takes_effect_once() {
    let platform = start_platform().await;
    post(platform, "/control/faults", json!({"lose_answers": 1})).await;
    let engine = start_engine(Settings::default()).await;

    let side = start_side(platform, "decode-1", Role::Decode, engine).await;
    wait_for_epoch(&side, 1).await;

    let object = get(platform, "/v1/objects/sides/decode-1").await;
    assert_eq!(object["value"]["epoch"], json!(1));
    assert_eq!(object["value"]["address"], json!(side.program.listen.to_string()));
}

#[tokio::test]
async fn an_idle_process_does_not_renew_its_claim() {
    let cluster = Cluster::start().await;
    cluster.configure(1, &cluster.document()).await;
    let before = get(cluster.platform, "/control/counts").await;

    // Long enough for several renewals, if there were any.
    tokio::time::sleep(std::time::Duration::from_millis(1_500)).await;

    let mut after = get(cluster.platform, "/control/counts").await;
    // A pause of this process under load makes it read its authority again, which is no renewal.
    after["read"] = before["read"].clone();
    assert_eq!(after["write"], before["write"]);
}

/// Starts a newer process for the same server, and asserts that the older one refuses new work.
async fn assert_steps_down(checks_fencing: bool) {
    let cluster = Cluster::with(Settings { checks_fencing, ..Settings::default() }).await;
    cluster.configure(1, &cluster.document()).await;
    let mut host = EntryHost::connect(cluster.decode.program.listen, "entry-1", 1).await;

    let newer =
        start_side(cluster.platform, "decode-1", Role::Decode, cluster.decode.backend).await;
    configure(&newer, 1, &cluster.document()).await;
    wait_for_epoch(&newer, 2).await;
    host.send(&Frame::Reserve(Request(1), ATTEMPT, fixture::reserve(8)));
    let refused = loop {
        match host.next().await {
            Frame::Failed(_, _, failure, _) => break failure,
            Frame::Leaving => {}
            frame => panic!("{frame:?}"),
        }
    };

    assert_eq!((refused.cause, refused.ran), (Cause::Fenced, Ran::NotRun));
}

#[tokio::test]
async fn a_process_steps_down_before_its_successor_begins() {
    assert_steps_down(false).await;
}

#[tokio::test]
async fn a_process_also_steps_down_if_the_engine_checks_fencing() {
    assert_steps_down(true).await;
}

#[tokio::test]
async fn an_order_with_an_old_fencing_number_is_refused_by_the_engine_and_not_run() {
    let cluster = Cluster::start().await;
    cluster.configure(1, &cluster.document()).await;
    let cancel = json!({"id": "00000000000000000000000000000009.1", "fence": 50});
    post(cluster.prefill.backend, "/v1/cancel", cancel).await;
    let mut host = EntryHost::connect(cluster.prefill.program.listen, "entry-1", 1).await;

    host.send(&Frame::Prefill(Request(1), ATTEMPT, fixture::prefill("a prompt")));
    let failure = host.read_failure().await;

    assert_eq!((failure.cause, failure.ran), (Cause::Fenced, Ran::NotRun));
}

#[tokio::test]
async fn a_running_answer_outlives_an_outage_of_the_object_interface() {
    let cluster = Cluster::start().await;
    cluster.configure(1, &cluster.document()).await;
    post(cluster.platform, "/control/faults", json!({"down": true})).await;
    let mut prefill_host = EntryHost::connect(cluster.prefill.program.listen, "entry-1", 1).await;
    let mut host = EntryHost::connect(cluster.decode.program.listen, "entry-1", 1).await;

    host.reserve(Request(1), 8).await;
    let kv = prefill_host.prefill(Request(1), "a prompt").await;
    host.send(&Frame::Decode(Request(1), ATTEMPT, decode(kv, 8)));
    let (tokens, _) = host.read_answer(0).await;

    assert_eq!(tokens.len(), 8);
}

fn claimant(platform: SocketAddr, incarnation: u64) -> Claimant {
    Claimant {
        client: Client::new(platform, chestnutrack_store::client::Settings::default(), None),
        name: "decode-1".into(),
        incarnation,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        security: None,
    }
}

#[tokio::test]
async fn a_stale_read_does_not_hide_a_successor() {
    let platform = start_platform().await;
    let (first, second) = (claimant(platform, 1), claimant(platform, 2));
    assert_eq!(first.clone().claim().await, Authority::Held(1));
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    post(platform, "/control/faults", json!({"stale_ms": 500})).await;
    let claim = json!({"epoch": 2, "incarnation": 2, "address": second.address});
    let version = first.client.read("sides", "decode-1").await.unwrap().version;
    second.client.replace("sides", "decode-1", version, &claim).await.unwrap();

    let authority = first.recheck(1).await;

    assert_eq!(authority, Authority::Lost);
}
