//! Guarantees: no backend server sees a caller's key, a request runs only for the organisation of its
//! key, and a withdrawn key stops working within seconds.

#![allow(clippy::unwrap_used)]

mod common;

use chestnutrack_document::Document;
use chestnutrack_harness::caller::Call;
use chestnutrack_harness::{Fleet, Settings};
use common::{
    DEFAULT_TIMEOUT, IN_FORCE_WITHIN, ORGANISATION, completion, plain_calls, set_outage,
    slow_fleet, small_fleet, start_completion, status, stock,
};

fn without_key(document: &Document) -> Document {
    let mut edited = document.clone();
    let organisations = &mut edited.organisations;
    let organisation =
        organisations.iter_mut().find(|entry| entry.name.as_ref() == ORGANISATION).unwrap();
    organisation.keys.clear();
    edited
}

#[tokio::test]
async fn no_backend_server_sees_a_key() {
    let fleet = Fleet::start(small_fleet()).await.unwrap();
    let key = fleet.key(ORGANISATION);
    let header = |name: &str, value: String| (name.to_owned(), value);
    let call = Call {
        target: format!("/stock/honey?token={key}&shop=3"),
        headers: vec![
            header("cookie", format!("session={key}")),
            header("proxy-authorization", format!("Bearer {key}")),
            header("X-Api-Key", key.clone()),
            header("x-note", format!("the key is {key}")),
        ],
        ..stock(&fleet)
    };

    let answer = fleet.call(0, &call).await.unwrap();
    fleet.call(0, &completion(&fleet, "early pies", 4)).await.unwrap();

    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(plain_calls(&fleet).await.len(), 1);
    for server in fleet.servers() {
        let seen = fleet.get_json(server.address, "/control/seen").await.unwrap();
        assert!(!seen.to_string().contains(&key), "{}: {seen}", server.name);
    }
}

#[tokio::test]
async fn no_log_or_metric_holds_a_key() {
    let mut fleet = Fleet::start(small_fleet()).await.unwrap();
    let key = fleet.key(ORGANISATION);
    fleet.call(0, &completion(&fleet, "early pies", 4)).await.unwrap();
    fleet.call(1, &stock(&fleet)).await.unwrap();

    for index in 0..2 {
        let metrics = fleet.metrics(fleet.entry_admin(index)).await.unwrap();
        assert!(!metrics.contains(&key));
    }
    for name in fleet.process_names() {
        let log = fleet.process(&name).unwrap().log();
        assert!(!log.contains(&key), "{name}: {log}");
    }
}

#[tokio::test]
async fn a_withdrawn_key_stops_on_every_entry_host() {
    let fleet = Fleet::start(small_fleet()).await.unwrap();
    assert_eq!(status(&fleet, 0, &stock(&fleet)).await, 200);

    fleet.write_document(&without_key(&fleet.document), None).await.unwrap();

    let stopped = async || {
        status(&fleet, 0, &stock(&fleet)).await == 401
            && status(&fleet, 1, &stock(&fleet)).await == 401
    };
    fleet.wait_until(IN_FORCE_WITHIN, "the key is refused", stopped).await.unwrap();
}

#[tokio::test]
async fn a_withdrawn_key_stops_on_an_entry_host_that_is_cut_from_the_object_interface() {
    let fleet = Fleet::start(Settings { links: true, ..small_fleet() }).await.unwrap();
    assert_eq!(status(&fleet, 0, &stock(&fleet)).await, 200);
    fleet.link("platform-entry-0").unwrap().cut();

    fleet.write_document(&without_key(&fleet.document), None).await.unwrap();

    let stopped = async || status(&fleet, 0, &stock(&fleet)).await != 200;
    fleet.wait_until(IN_FORCE_WITHIN, "the key is refused", stopped).await.unwrap();
    tokio::time::sleep(IN_FORCE_WITHIN).await;
    assert_ne!(status(&fleet, 0, &stock(&fleet)).await, 200);
}

#[tokio::test]
async fn an_answer_under_a_withdrawn_key_ends() {
    let fleet = Fleet::start(slow_fleet()).await.unwrap();
    let stream = start_completion(&fleet, 0, &completion(&fleet, "early pies", 2_000)).await;

    fleet.write_document(&without_key(&fleet.document), None).await.unwrap();

    let answer = tokio::time::timeout(IN_FORCE_WITHIN, stream.finish()).await;
    let whole = answer.expect("the answer ends").is_ok_and(|answer| answer.completion().1);
    assert!(!whole);
}

#[tokio::test]
async fn in_an_outage_keys_keep_working() {
    let fleet = Fleet::start(small_fleet()).await.unwrap();
    set_outage(&fleet, true).await;

    tokio::time::sleep(2 * IN_FORCE_WITHIN).await;

    assert_eq!(status(&fleet, 0, &stock(&fleet)).await, 200);
    assert_eq!(status(&fleet, 1, &stock(&fleet)).await, 200);
    set_outage(&fleet, false).await;
    let ready = async || status(&fleet, 0, &stock(&fleet)).await == 200;
    fleet.wait_until(DEFAULT_TIMEOUT, "the key works", ready).await.unwrap();
}
