//! Guarantee: engine memory of a request is freed once its caller is gone.

#![allow(clippy::unwrap_used)]

mod common;

use chestnutrack_harness::Fleet;
use common::{assert_memory_freed, completion, engine_holds, slow_fleet, start_completion};

#[tokio::test]
async fn a_caller_that_disconnects_frees_engine_memory() {
    let fleet = Fleet::start(slow_fleet()).await.unwrap();
    let stream = start_completion(&fleet, 0, &completion(&fleet, "early pies", 500)).await;
    assert!(!engine_holds(&fleet).await.is_empty());

    drop(stream);

    assert_memory_freed(&fleet).await;
}

#[tokio::test]
async fn a_killed_entry_host_frees_engine_memory() {
    let mut fleet = Fleet::start(slow_fleet()).await.unwrap();
    let _stream = start_completion(&fleet, 0, &completion(&fleet, "early pies", 500)).await;

    fleet.process("entry-0").unwrap().kill().await;

    assert_memory_freed(&fleet).await;
}

#[tokio::test]
async fn a_paused_entry_host_frees_engine_memory() {
    let mut fleet = Fleet::start(slow_fleet()).await.unwrap();
    let _stream = start_completion(&fleet, 0, &completion(&fleet, "early pies", 500)).await;

    fleet.process("entry-0").unwrap().pause().unwrap();

    assert_memory_freed(&fleet).await;
}

#[tokio::test]
async fn a_killed_entry_host_and_a_restarted_side_process_free_engine_memory() {
    let mut fleet = Fleet::start(slow_fleet()).await.unwrap();
    let _stream = start_completion(&fleet, 0, &completion(&fleet, "early pies", 500)).await;
    fleet.process("entry-0").unwrap().kill().await;

    for side in ["side-larder-llm-3", "side-larder-llm-4"] {
        let side = fleet.process(side).unwrap();
        side.kill().await;
        side.restart().unwrap();
    }

    assert_memory_freed(&fleet).await;
}
