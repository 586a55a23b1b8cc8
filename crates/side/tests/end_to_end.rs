//! Complete requests through side processes: prefill, transfer and decode, and plain calls.

#![allow(clippy::unwrap_used)]

mod fixture;

use chestnutrack_engine::prefix;
use chestnutrack_standin::engine::Settings;
use chestnutrack_wire::frame::Finish;
use chestnutrack_wire::{Frame, Request};
use fixture::{ATTEMPT, Cluster, EntryHost, count_engine_holds, decode, forward, get, wait_until};
use serde_json::json;

#[tokio::test]
async fn an_answer_passes_through_prefill_transfer_and_decode() {
    let cluster = Cluster::start().await;
    cluster.configure(1, &cluster.document()).await;
    let mut prefill_host = EntryHost::connect(cluster.prefill.program.listen, "entry-1", 1).await;
    let mut decode_host = EntryHost::connect(cluster.decode.program.listen, "entry-1", 1).await;
    let id = Request(7);

    decode_host.reserve(id, 8).await;
    let kv = prefill_host.prefill(id, "a prompt of a few tokens").await;
    decode_host.send(&Frame::Decode(id, ATTEMPT, decode(kv, 8)));
    let (tokens, finish) = decode_host.read_answer(0).await;
    decode_host.send(&Frame::Done(id, ATTEMPT));
    prefill_host.send(&Frame::Done(id, ATTEMPT));

    assert!(!tokens.is_empty() && tokens.len() <= 8, "{tokens:?}");
    assert!(matches!(finish, Finish::Stop | Finish::Length));
    wait_until("the engines hold nothing", async || {
        count_engine_holds(&cluster.decode).await + count_engine_holds(&cluster.prefill).await == 0
    })
    .await;
}

#[tokio::test]
async fn prefixes_that_the_engine_holds_are_listed() {
    let settings = Settings { events_lost_percent: 0, ..Settings::default() };
    let cluster = Cluster::with(settings).await;
    cluster.configure(1, &cluster.document()).await;
    let mut prefill_host = EntryHost::connect(cluster.prefill.program.listen, "entry-1", 1).await;
    let prompt = "a register of marriages ".repeat(400);

    prefill_host.prefill(Request(7), &prompt).await;
    let get_page = || async { get(cluster.prefill.program.admin, "/v1/prefixes").await };

    let hashes = prefix::hashes(&prompt);
    wait_until("the prefixes are listed", async || get_page().await["held"] == json!(hashes.len()))
        .await;
    let listed = get_page().await["prefixes"].clone();
    let newest_first = hashes.iter().rev().map(|name| format!("{name:016x}"));
    assert_eq!(listed, json!(newest_first.collect::<Vec<_>>()));
}

#[tokio::test]
async fn a_plain_call_passes_through() {
    let cluster = Cluster::start().await;
    cluster.configure(1, &cluster.document()).await;
    let mut host = EntryHost::connect(cluster.plain.program.listen, "entry-1", 1).await;

    host.send(&Frame::Forward(Request(7), ATTEMPT, forward("a deposit")));
    let head = host.next().await;
    let body = host.next().await;
    let end = host.next().await;

    assert!(matches!(head, Frame::Head(_, _, 200, _)), "{head:?}");
    let Frame::Body(_, _, 0, bytes) = body else { panic!("{body:?}") };
    assert!(String::from_utf8_lossy(&bytes).contains("/deposits"));
    assert!(matches!(end, Frame::BodyEnd(_, _, n, _) if n == bytes.len() as u64), "{end:?}");
}
