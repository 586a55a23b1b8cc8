//! The request path from the caller to the engine, with all roles as separate processes.

#![allow(clippy::unwrap_used)]

mod common;

use chestnutrack_harness::{Fleet, Settings};
use common::{assert_whole, completion, small_fleet};

#[tokio::test]
async fn a_completion_is_answered_whole_by_every_entry_host() {
    let fleet = Fleet::start(small_fleet()).await.unwrap();

    for entry in 0..2 {
        let answer = fleet.call(entry, &completion(&fleet, "early pies", 16)).await.unwrap();
        assert_whole(&answer, "early pies", 16);
    }
}

#[tokio::test]
async fn the_path_works_over_tls() {
    let settings = Settings { tls: true, ..small_fleet() };
    let mut fleet = Fleet::start(settings).await.unwrap();

    let answer = fleet.call(0, &completion(&fleet, "early pies", 16)).await.unwrap();

    assert_whole(&answer, "early pies", 16);
    assert_eq!(fleet.shut_down().await, Vec::<String>::new());
}
