//! Guarantee: a deposit, booking, merge or publication runs at most once.

#![allow(clippy::unwrap_used)]

mod common;

use chestnutrack_harness::Fleet;
use common::{DEFAULT_TIMEOUT, deposit, run_count, set_outage, slow_plain_fleet, small_fleet};
use serde_json::json;

const PATH: &str = "/deposits";

#[tokio::test]
async fn a_repeat_on_another_entry_host_gets_the_same_answer() {
    let fleet = Fleet::start(small_fleet()).await.unwrap();
    let call = deposit(&fleet, Some("pie-17"), "25 dollars");

    let first = fleet.call(0, &call).await.unwrap();
    let repeat = fleet.call(1, &call).await.unwrap();

    assert_eq!((first.status, repeat.status), (200, 200));
    assert_eq!(first.body, repeat.body);
    assert_eq!(run_count(&fleet, PATH).await, 1);
}

#[tokio::test]
async fn concurrent_calls_on_two_entry_hosts_run_once() {
    let fleet = Fleet::start(slow_plain_fleet()).await.unwrap();
    let call = deposit(&fleet, Some("pie-17"), "25 dollars");

    let (first, second) = tokio::join!(fleet.call(0, &call), fleet.call(1, &call));

    let mut statuses = [first.unwrap().status, second.unwrap().status];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409]);
    assert_eq!(run_count(&fleet, PATH).await, 1);
}

#[tokio::test]
async fn a_repeat_after_the_first_host_was_killed_does_not_run() {
    let mut fleet = Fleet::start(slow_plain_fleet()).await.unwrap();
    let call = deposit(&fleet, Some("pie-17"), "25 dollars");
    let first = {
        let call = call.clone();
        let address = fleet.entry(0);
        tokio::spawn(async move { chestnutrack_harness::caller::call(address, &call).await })
    };
    let started = async || run_count(&fleet, PATH).await == 1;
    fleet.wait_until(DEFAULT_TIMEOUT, "the deposit runs", started).await.unwrap();

    fleet.process("entry-0").unwrap().kill().await;
    let _ = first.await;
    let repeat = fleet.call(1, &call).await.unwrap();

    assert_eq!(repeat.status, 409, "{}", repeat.text());
    assert_eq!(run_count(&fleet, PATH).await, 1);
}

#[tokio::test]
async fn the_same_key_with_another_body_is_refused() {
    let fleet = Fleet::start(small_fleet()).await.unwrap();
    fleet.call(0, &deposit(&fleet, Some("pie-17"), "25 dollars")).await.unwrap();

    let other = fleet.call(1, &deposit(&fleet, Some("pie-17"), "2,500 dollars")).await.unwrap();

    assert_eq!(other.status, 422, "{}", other.text());
    assert_eq!(other.header("x-chestnutrack-ran"), "not-run");
    assert_eq!(run_count(&fleet, PATH).await, 1);
}

#[tokio::test]
async fn in_an_outage_a_claimed_call_is_refused_as_not_run() {
    let fleet = Fleet::start(small_fleet()).await.unwrap();
    set_outage(&fleet, true).await;

    let refused = fleet.call(0, &deposit(&fleet, Some("pie-17"), "25 dollars")).await.unwrap();

    assert_eq!(refused.status, 503, "{}", refused.text());
    assert_eq!(refused.header("x-chestnutrack-ran"), "not-run");
    assert_ne!(refused.header("retry-after"), "");
    assert_eq!(run_count(&fleet, PATH).await, 0);
}

#[tokio::test]
async fn a_claim_whose_answer_was_lost_still_belongs_to_its_request() {
    let fleet = Fleet::start(small_fleet()).await.unwrap();
    let order = json!({ "lose_answers": 1 });
    fleet.control(fleet.platform(), "faults", &order).await.unwrap();

    let call = deposit(&fleet, Some("pie-17"), "25 dollars");
    let first = fleet.call(0, &call).await.unwrap();
    let repeat = fleet.call(1, &call).await.unwrap();

    assert_eq!((first.status, repeat.status), (200, 200), "{}", first.text());
    assert_eq!(first.body, repeat.body);
    assert_eq!(run_count(&fleet, PATH).await, 1);
}

#[tokio::test]
async fn an_answer_that_was_lost_is_unknown_and_is_not_run_again() {
    let fleet = Fleet::start(small_fleet()).await.unwrap();
    for server in fleet.server_names(chestnutrack_document::model::Role::Plain) {
        let address = fleet.backend(&server).unwrap();
        fleet.control(address, "faults", &json!({ "drop_after": 1 })).await.unwrap();
    }

    let answer = fleet.call(0, &deposit(&fleet, None, "25 dollars")).await.unwrap();

    assert_eq!(answer.status, 502, "{}", answer.text());
    assert_eq!(answer.header("x-chestnutrack-ran"), "unknown");
    assert_eq!(run_count(&fleet, PATH).await, 1);
}
