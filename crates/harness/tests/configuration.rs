//! Guarantee: an accepted configuration is in force on all hosts within seconds and never reverts.

#![allow(clippy::unwrap_used)]

mod common;

use chestnutrack_harness::{Fleet, Settings};
use common::{
    DEFAULT_TIMEOUT, IN_FORCE_WITHIN, set_outage, small_fleet, status, stock, version_in_force,
};
use serde_json::json;

async fn in_force_everywhere(fleet: &Fleet, version: u64) -> bool {
    for entry in 0..fleet.settings.entries {
        if version_in_force(fleet, entry).await != version {
            return false;
        }
    }
    true
}

async fn change_deadline(fleet: &Fleet, deadline_ms: u64) -> u64 {
    let mut document = fleet.document.clone();
    document.routes[0].deadline_ms = deadline_ms;
    fleet.write_document(&document, None).await.unwrap()
}

#[tokio::test]
async fn a_change_is_in_force_on_every_entry_host() {
    let fleet = Fleet::start(Settings { entries: 3, ..small_fleet() }).await.unwrap();

    let version = change_deadline(&fleet, 6_000).await;

    let in_force = async || in_force_everywhere(&fleet, version).await;
    fleet.wait_until(IN_FORCE_WITHIN, "the change is in force", in_force).await.unwrap();
}

#[tokio::test]
async fn a_change_reaches_an_entry_host_that_is_cut_from_the_object_interface() {
    let fleet = Fleet::start(Settings { links: true, ..small_fleet() }).await.unwrap();
    fleet.link("platform-entry-1").unwrap().cut();

    let version = change_deadline(&fleet, 6_000).await;

    let in_force = async || in_force_everywhere(&fleet, version).await;
    fleet.wait_until(IN_FORCE_WITHIN, "the change is in force", in_force).await.unwrap();
}

#[tokio::test]
async fn a_bad_document_leaves_the_last_good_one_in_force() {
    let fleet = Fleet::start(small_fleet()).await.unwrap();
    let version = change_deadline(&fleet, 6_000).await;
    let in_force = async || in_force_everywhere(&fleet, version).await;
    fleet.wait_until(IN_FORCE_WITHIN, "the change is in force", in_force).await.unwrap();
    let mut document = fleet.document.clone();
    document.routes[0].deadline_ms = 0;
    let service = document.service.clone();

    let bad_version = fleet.write_document(&document, None).await.unwrap();

    let status_written = async || {
        let status = fleet.read_object("status", &service).await.ok().flatten();
        status.is_some_and(|status| status["value"]["source"] == json!(bad_version))
    };
    fleet
        .wait_until(IN_FORCE_WITHIN, "the status of the document is written", status_written)
        .await
        .unwrap();
    let status = fleet.read_object("status", &service).await.unwrap().unwrap();
    let findings = status["value"]["findings"].to_string();
    assert!(findings.contains("routes[0].deadline_ms"), "{findings}");
    assert!(in_force_everywhere(&fleet, version).await);
}

#[tokio::test]
async fn an_entry_host_that_starts_in_an_outage_gets_the_newest_document_from_its_peers() {
    let mut fleet = Fleet::start(Settings { entries: 3, ..small_fleet() }).await.unwrap();
    let version = change_deadline(&fleet, 6_000).await;
    let in_force = async || in_force_everywhere(&fleet, version).await;
    fleet.wait_until(IN_FORCE_WITHIN, "the change is in force", in_force).await.unwrap();
    set_outage(&fleet, true).await;

    let entry = fleet.process("entry-0").unwrap();
    entry.kill().await;
    entry.restart().unwrap();

    let correct_or_refusing = async || {
        let refuses = status(&fleet, 0, &stock(&fleet)).await != 200;
        refuses || version_in_force(&fleet, 0).await == version
    };
    fleet
        .wait_until(IN_FORCE_WITHIN, "serves the accepted document or refuses", correct_or_refusing)
        .await
        .unwrap();
    assert_eq!(status(&fleet, 1, &stock(&fleet)).await, 200);
    set_outage(&fleet, false).await;
    let serves = async || {
        status(&fleet, 0, &stock(&fleet)).await == 200
            && version_in_force(&fleet, 0).await == version
    };
    fleet.wait_until(DEFAULT_TIMEOUT, "serves after the outage", serves).await.unwrap();
}

#[tokio::test]
async fn the_second_of_two_writes_to_the_same_version_is_rejected() {
    let fleet = Fleet::start(small_fleet()).await.unwrap();
    let service = fleet.document.service.clone();
    let read = fleet.read_object("documents", &service).await.unwrap().unwrap();
    let version = read["version"].as_u64();

    let first = fleet.write_document(&fleet.document, version).await;
    let second = fleet.write_document(&fleet.document, version).await;

    assert!(first.is_ok());
    assert!(second.is_err_and(|error| error.to_string().contains("409")));
}
