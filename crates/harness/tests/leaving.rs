//! Guarantees: a leaving backend server gets no new requests after a few seconds, and a graceful
//! shutdown interrupts no request.

#![allow(clippy::unwrap_used)]

mod common;

use chestnutrack_document::model::Role;
use chestnutrack_harness::Fleet;
use common::{
    DEFAULT_TIMEOUT, IN_FORCE_WITHIN, assert_whole, completion, slow_fleet, small_fleet,
    start_completion, status, stock,
};
use serde_json::{Value, json};

const TOKENS: u32 = 60;
/// Calls per round that check that the leaving server gets none.
const CALLS: usize = 24;

async fn call_count(fleet: &Fleet, server: &str) -> usize {
    let seen = fleet.get_json(fleet.backend(server).unwrap(), "/control/seen").await.unwrap();
    seen["seen"].as_array().unwrap().len()
}

/// Waits until a server gets none of a round of calls, then asserts that it gets none of another round
/// at each entry host.
async fn assert_no_new_work(fleet: &Fleet, server: &str) {
    let no_calls = async || {
        let before = call_count(fleet, server).await;
        for _ in 0..CALLS {
            status(fleet, 0, &stock(fleet)).await;
        }
        call_count(fleet, server).await == before
    };
    fleet.wait_until(IN_FORCE_WITHIN, "the leaving server gets no calls", no_calls).await.unwrap();
    let before = call_count(fleet, server).await;
    for entry in 0..2 {
        for _ in 0..CALLS {
            assert_eq!(status(fleet, entry, &stock(fleet)).await, 200);
        }
    }
    assert_eq!(call_count(fleet, server).await, before);
}

#[tokio::test]
async fn a_host_that_is_listed_as_leaving_gets_no_new_work() {
    let fleet = Fleet::start(small_fleet()).await.unwrap();
    let leaving = fleet.servers().find(|server| server.role == Role::Plain).unwrap().clone();
    let hosts: Vec<Value> = fleet
        .servers()
        .map(|server| {
            let state = if server.host == leaving.host { "leaving" } else { "live" };
            json!({
                "name": server.host,
                "failure_domain": server.failure_domain,
                "state": state,
            })
        })
        .collect();

    fleet.control(fleet.platform(), "hosts", &json!({ "hosts": hosts })).await.unwrap();

    assert_no_new_work(&fleet, &leaving.name).await;
}

#[tokio::test]
async fn a_server_that_the_document_lists_as_leaving_gets_no_new_work() {
    let fleet = Fleet::start(small_fleet()).await.unwrap();
    let leaving = fleet.server_names(Role::Plain)[0].clone();
    let mut document = fleet.document.clone();
    let servers = document.pools.iter_mut().flat_map(|pool| &mut pool.servers);
    for server in servers.filter(|server| server.name.as_ref() == leaving) {
        server.leaving = true;
    }

    fleet.write_document(&document, None).await.unwrap();

    assert_no_new_work(&fleet, &leaving).await;
}

#[tokio::test]
async fn a_side_process_that_shuts_down_finishes_its_answers() {
    let mut fleet = Fleet::start(slow_fleet()).await.unwrap();
    let stream = start_completion(&fleet, 0, &completion(&fleet, "early pies", TOKENS)).await;

    let sides: Vec<String> = fleet.server_names(Role::Decode);
    for side in &sides {
        fleet.process(&format!("side-{side}")).unwrap().terminate().unwrap();
    }

    assert_whole(&stream.finish().await.unwrap(), "early pies", TOKENS);
    for side in &sides {
        let side = fleet.process(&format!("side-{side}")).unwrap();
        assert_eq!(side.wait(DEFAULT_TIMEOUT).await, Some(0), "{}", side.log_end());
    }
}

#[tokio::test]
async fn an_entry_host_that_shuts_down_cuts_no_request() {
    let mut fleet = Fleet::start(slow_fleet()).await.unwrap();
    let stream = start_completion(&fleet, 0, &completion(&fleet, "early pies", TOKENS)).await;

    fleet.process("entry-0").unwrap().terminate().unwrap();
    let late = completion(&fleet, "late pies", TOKENS);
    let (first, late) = tokio::join!(stream.finish(), fleet.call(0, &late));

    assert_whole(&first.unwrap(), "early pies", TOKENS);
    assert_whole(&late.unwrap(), "late pies", TOKENS);
    let entry = fleet.process("entry-0").unwrap();
    assert_eq!(entry.wait(DEFAULT_TIMEOUT).await, Some(0), "{}", entry.log_end());
    assert_eq!(status(&fleet, 1, &stock(&fleet)).await, 200);
}
