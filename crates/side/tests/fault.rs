//! Failures on real sockets: connections that end, hosts that die, engines and side processes that
//! stop in mid-answer.

#![allow(clippy::unwrap_used)]

mod fixture;

use chestnutrack_side::Program;
use chestnutrack_standin::answer;
use chestnutrack_standin::engine::Settings;
use chestnutrack_wire::frame::{Cause, Ran};
use chestnutrack_wire::{Frame, Request};
use fixture::{ATTEMPT, Host, World, configure, decode, engine_holds, post, state, until};
use serde_json::json;

const PROMPT: &str = "a register of baptisms <stop:60>";
const TOKENS: u32 = 60;

fn whole() -> String {
    answer::full_text(PROMPT, TOKENS)
}

async fn world() -> World {
    let world = World::with(Settings { checks_fencing: false, ..Settings::default() }).await;
    world.configure(1, &world.document()).await;
    world
}

/// Starts an answer and returns the host that follows it.
async fn start(world: &World, id: Request) -> Host {
    let mut prefill = Host::connect(world.prefill.program.listen, "entry-1", 1).await;
    let mut host = Host::connect(world.decode.program.listen, "entry-1", 1).await;
    host.reserved(id, TOKENS).await;
    let kv = prefill.prefilled(id, PROMPT).await;
    host.send(&Frame::Decode(id, ATTEMPT, decode(kv, TOKENS)));
    host
}

/// Reads the first tokens of an answer.
async fn some_tokens(host: &mut Host) -> Vec<String> {
    let mut tokens = Vec::new();
    while tokens.len() < 5 {
        match host.next().await {
            Frame::Tokens(_, _, _, texts) => tokens.extend(texts.iter().map(ToString::to_string)),
            frame => panic!("{frame:?}"),
        }
    }
    tokens
}

async fn decode_holds_nothing(world: &World) {
    until("the decode engine holds nothing", async || engine_holds(&world.decode).await == 0).await;
}

#[tokio::test]
async fn an_answer_whose_engine_stream_breaks_goes_on_without_a_gap() {
    let world = world().await;
    let mut host = start(&world, Request(1)).await;
    let mut tokens = some_tokens(&mut host).await;

    post(world.decode.backend, "/control/faults", json!({"cut_streams": true})).await;
    let (rest, _) = host.answer(u32::try_from(tokens.len()).unwrap()).await;

    tokens.extend(rest);
    assert_eq!(tokens.concat(), whole());
}

#[tokio::test]
async fn an_answer_is_resumed_on_a_new_connection() {
    let world = world().await;
    let mut host = start(&world, Request(1)).await;
    let mut tokens = some_tokens(&mut host).await;
    drop(host);

    let mut host = Host::connect(world.decode.program.listen, "entry-1", 1).await;
    let offset = u32::try_from(tokens.len()).unwrap();
    host.send(&Frame::Resume(Request(1), ATTEMPT, u64::from(offset)));
    let (rest, _) = host.answer(offset).await;

    tokens.extend(rest);
    assert_eq!(tokens.concat(), whole());
}

#[tokio::test]
async fn a_host_that_dies_leaves_nothing_on_the_engine() {
    let world = world().await;
    let mut host = start(&world, Request(1)).await;
    some_tokens(&mut host).await;

    drop(host);

    decode_holds_nothing(&world).await;
    until("the table is empty", async || state(&world.decode).await["used"] == json!(0)).await;
}

#[tokio::test]
async fn a_host_that_falls_silent_leaves_nothing_on_the_engine() {
    let world = world().await;
    let mut host = start(&world, Request(1)).await;
    some_tokens(&mut host).await;

    decode_holds_nothing(&world).await;

    drop(host);
}

#[tokio::test]
async fn a_cancel_during_a_stalled_transfer_frees_the_memory() {
    let world = world().await;
    post(world.decode.backend, "/control/faults", json!({"stall": true})).await;
    let host = start(&world, Request(1)).await;
    until("the import has begun", async || engine_holds(&world.decode).await == 1).await;

    host.send(&Frame::Cancel(Request(1), ATTEMPT));
    decode_holds_nothing(&world).await;
    post(world.decode.backend, "/control/faults", json!({"stall": false})).await;

    until("the table is empty", async || state(&world.decode).await["used"] == json!(0)).await;
    assert_eq!(engine_holds(&world.decode).await, 0);
}

async fn restart(world: &mut World) {
    let listen = world.decode.program.listen;
    world.decode.program.kill();
    let settings = chestnutrack_side::Settings {
        name: world.decode.name.into(),
        service: fixture::SERVICE.into(),
        platform: world.platform,
        backend: world.decode.backend,
        listen,
        ..Default::default()
    };
    let (trigger, shutdown) = chestnutrack_process::shutdown::manual();
    let program: Program = loop {
        match chestnutrack_side::start(settings.clone(), shutdown.clone()).await {
            Ok(program) => break program,
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(10)).await,
        }
    };
    world.decode.program = program;
    world.decode.shutdown = trigger;
}

#[tokio::test]
async fn an_answer_survives_the_restart_of_its_side_process() {
    let mut world = world().await;
    let mut host = start(&world, Request(1)).await;
    let mut tokens = some_tokens(&mut host).await;

    restart(&mut world).await;
    let mut host = Host::connect(world.decode.program.listen, "entry-1", 1).await;
    let offset = u32::try_from(tokens.len()).unwrap();
    host.send(&Frame::Resume(Request(1), ATTEMPT, u64::from(offset)));
    let document = serde_json::to_vec(&world.document()).unwrap();
    host.send(&Frame::Configuration { version: 1, document });
    let (rest, _) = host.answer(offset).await;

    tokens.extend(rest);
    assert_eq!(tokens.concat(), whole());
    assert_eq!(state(&world.decode).await["epoch"], json!(2));
}

#[tokio::test]
async fn what_nobody_claims_after_a_restart_is_freed() {
    let mut world = world().await;
    let long = Settings { step_base: std::time::Duration::from_millis(500), ..world.engine };
    world.decode.backend = fixture::start_engine(long).await;
    restart(&mut world).await;
    configure(&world.decode, 1, &world.document()).await;
    let host = start(&world, Request(1)).await;
    until("the answer has begun", async || engine_holds(&world.decode).await == 1).await;

    restart(&mut world).await;
    configure(&world.decode, 1, &world.document()).await;

    decode_holds_nothing(&world).await;
    drop(host);
}

#[tokio::test]
async fn a_kv_cache_that_was_evicted_is_said_to_be_lost() {
    let world = world().await;
    let mut prefill = Host::connect(world.prefill.program.listen, "entry-1", 1).await;
    let mut host = Host::connect(world.decode.program.listen, "entry-1", 1).await;
    let kv = prefill.prefilled(Request(1), PROMPT).await;
    prefill.send(&Frame::Done(Request(1), ATTEMPT));
    until("the prefill is freed", async || engine_holds(&world.prefill).await == 0).await;

    host.reserved(Request(1), TOKENS).await;
    host.send(&Frame::Decode(Request(1), ATTEMPT, decode(kv, TOKENS)));
    let failure = host.failed().await;

    assert_eq!((failure.cause, failure.ran), (Cause::KvLost, Ran::Ran));
    decode_holds_nothing(&world).await;
}

#[tokio::test]
async fn a_process_that_is_asked_to_end_finishes_its_answers() {
    let world = world().await;
    let mut host = start(&world, Request(1)).await;
    let mut tokens = some_tokens(&mut host).await;

    world.decode.shutdown.set();
    until("it is leaving", async || state(&world.decode).await["leaving"] == json!(true)).await;
    host.send(&Frame::Reserve(Request(2), ATTEMPT, fixture::reserve(8)));
    let mut refused = None;
    loop {
        match host.next().await {
            Frame::Leaving => {}
            Frame::Tokens(_, _, _, texts) => tokens.extend(texts.iter().map(ToString::to_string)),
            Frame::Failed(request, _, failure, _) => refused = Some((request, failure)),
            Frame::End(..) => break,
            frame => panic!("{frame:?}"),
        }
    }
    host.send(&Frame::Done(Request(1), ATTEMPT));
    world.decode.program.wait().await;

    assert_eq!(tokens.concat(), whole());
    let (request, failure) = refused.unwrap();
    let refusal = (request, failure.cause, failure.ran);
    assert_eq!(refusal, (Request(2), Cause::Leaving, Ran::NotRun));
}

#[tokio::test]
async fn without_waiting_a_process_that_ends_cuts_its_answers() {
    let world = world().await;
    let mut host = start(&world, Request(1)).await;
    let mut tokens = some_tokens(&mut host).await;

    world.decode.program.kill();
    while let Ok(frame) = host.connection.receiver.receive().await {
        if let Frame::Tokens(_, _, _, texts) = frame {
            tokens.extend(texts.iter().map(ToString::to_string));
        }
    }

    assert_ne!(tokens.concat(), whole());
}

#[tokio::test]
async fn a_peer_of_a_newer_version_is_sent_away_and_others_stay() {
    let world = world().await;
    let mut host = Host::connect(world.decode.program.listen, "entry-1", 1).await;
    let newer = Frame::Hello {
        version: chestnutrack_wire::frame::VERSION + 1,
        sender: chestnutrack_wire::frame::Sender { name: "entry-9".into(), incarnation: 1 },
        configuration: 0,
    };
    let mut stranger = Host::connect(world.decode.program.listen, "entry-2", 1).await;
    stranger.send(&newer);

    let ended = async { while stranger.connection.receiver.receive().await.is_ok() {} };
    tokio::time::timeout(fixture::BOUND, ended).await.unwrap();
    host.reserved(Request(1), 8).await;
}
