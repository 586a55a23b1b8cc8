//! The whole path through side processes: prefill, transfer, decode, plain calls.

#![allow(clippy::unwrap_used)]

mod fixture;

use chestnutrack_engine::prefix;
use chestnutrack_standin::engine::Settings;
use chestnutrack_wire::frame::Finish;
use chestnutrack_wire::{Frame, Request};
use fixture::{ATTEMPT, Host, World, decode, engine_holds, forward, get, until};
use serde_json::json;

#[tokio::test]
async fn an_answer_passes_through_prefill_transfer_and_decode() {
    let world = World::start().await;
    world.configure(1, &world.document()).await;
    let mut prefill = Host::connect(world.prefill.program.listen, "entry-1", 1).await;
    let mut decoding = Host::connect(world.decode.program.listen, "entry-1", 1).await;
    let id = Request(7);

    decoding.reserved(id, 8).await;
    let kv = prefill.prefilled(id, "a prompt of a few tokens").await;
    decoding.send(&Frame::Decode(id, ATTEMPT, decode(kv, 8)));
    let (tokens, finish) = decoding.answer(0).await;
    decoding.send(&Frame::Done(id, ATTEMPT));
    prefill.send(&Frame::Done(id, ATTEMPT));

    assert!(!tokens.is_empty() && tokens.len() <= 8, "{tokens:?}");
    assert!(matches!(finish, Finish::Stop | Finish::Length));
    until("the engines hold nothing", async || {
        engine_holds(&world.decode).await + engine_holds(&world.prefill).await == 0
    })
    .await;
}

#[tokio::test]
async fn prefixes_that_the_engine_holds_become_known() {
    let settings = Settings { events_lost_percent: 0, ..Settings::default() };
    let world = World::with(settings).await;
    world.configure(1, &world.document()).await;
    let mut prefill = Host::connect(world.prefill.program.listen, "entry-1", 1).await;
    let prompt = "a register of marriages ".repeat(400);

    prefill.prefilled(Request(7), &prompt).await;
    let page = || async { get(world.prefill.program.admin, "/v1/prefixes").await };

    let names = prefix::hashes(&prompt);
    until("the prefixes are known", async || page().await["held"] == json!(names.len())).await;
    let shown = page().await["prefixes"].clone();
    let newest_first = names.iter().rev().map(|name| format!("{name:016x}"));
    assert_eq!(shown, json!(newest_first.collect::<Vec<_>>()));
}

#[tokio::test]
async fn a_plain_call_passes_through() {
    let world = World::start().await;
    world.configure(1, &world.document()).await;
    let mut host = Host::connect(world.plain.program.listen, "entry-1", 1).await;

    host.send(&Frame::Forward(Request(7), ATTEMPT, forward("a deposit")));
    let head = host.next().await;
    let body = host.next().await;
    let end = host.next().await;

    assert!(matches!(head, Frame::Head(_, _, 200, _)), "{head:?}");
    let Frame::Body(_, _, 0, bytes) = body else { panic!("{body:?}") };
    assert!(String::from_utf8_lossy(&bytes).contains("/deposits"));
    assert!(matches!(end, Frame::BodyEnd(_, _, n, _) if n == bytes.len() as u64), "{end:?}");
}
