//! Failures on real sockets: closed connections, entry hosts that crash, and engines and side
//! processes that fail in the middle of an answer.

#![allow(clippy::unwrap_used)]

mod fixture;

use chestnutrack_side::Program;
use chestnutrack_standin::answer;
use chestnutrack_standin::engine::Settings;
use chestnutrack_wire::frame::{Cause, Ran};
use chestnutrack_wire::{Frame, Request};
use fixture::{
    ATTEMPT, Cluster, EntryHost, configure, count_engine_holds, decode, post, state, wait_until,
};
use serde_json::json;

const PROMPT: &str = "a register of baptisms <stop:60>";
const TOKENS: u32 = 60;

fn expected_answer() -> String {
    answer::full_text(PROMPT, TOKENS)
}

async fn start_cluster() -> Cluster {
    let cluster = Cluster::with(Settings { checks_fencing: false, ..Settings::default() }).await;
    cluster.configure(1, &cluster.document()).await;
    cluster
}

/// Starts an answer and returns the entry host that receives it.
async fn start_answer(cluster: &Cluster, id: Request) -> EntryHost {
    let mut prefill_host = EntryHost::connect(cluster.prefill.program.listen, "entry-1", 1).await;
    let mut host = EntryHost::connect(cluster.decode.program.listen, "entry-1", 1).await;
    host.reserve(id, TOKENS).await;
    let kv = prefill_host.prefill(id, PROMPT).await;
    host.send(&Frame::Decode(id, ATTEMPT, decode(kv, TOKENS)));
    host
}

/// Reads the first tokens of an answer.
async fn read_first_tokens(host: &mut EntryHost) -> Vec<String> {
    let mut tokens = Vec::new();
    while tokens.len() < 5 {
        match host.next().await {
            Frame::Tokens(_, _, _, texts) => tokens.extend(texts.iter().map(ToString::to_string)),
            frame => panic!("{frame:?}"),
        }
    }
    tokens
}

async fn wait_until_decode_is_empty(cluster: &Cluster) {
    wait_until("the decode engine holds nothing", async || {
        count_engine_holds(&cluster.decode).await == 0
    })
    .await;
}

#[tokio::test]
async fn an_answer_continues_without_a_gap_after_its_engine_stream_breaks() {
    let cluster = start_cluster().await;
    let mut host = start_answer(&cluster, Request(1)).await;
    let mut tokens = read_first_tokens(&mut host).await;

    post(cluster.decode.backend, "/control/faults", json!({"cut_streams": true})).await;
    let (rest, _) = host.read_answer(u32::try_from(tokens.len()).unwrap()).await;

    tokens.extend(rest);
    assert_eq!(tokens.concat(), expected_answer());
}

#[tokio::test]
async fn an_answer_is_resumed_on_a_new_connection() {
    let cluster = start_cluster().await;
    let mut host = start_answer(&cluster, Request(1)).await;
    let mut tokens = read_first_tokens(&mut host).await;
    drop(host);

    let mut host = EntryHost::connect(cluster.decode.program.listen, "entry-1", 1).await;
    let offset = u32::try_from(tokens.len()).unwrap();
    host.send(&Frame::Resume(Request(1), ATTEMPT, u64::from(offset)));
    let (rest, _) = host.read_answer(offset).await;

    tokens.extend(rest);
    assert_eq!(tokens.concat(), expected_answer());
}

#[tokio::test]
async fn a_host_that_dies_leaves_nothing_on_the_engine() {
    let cluster = start_cluster().await;
    let mut host = start_answer(&cluster, Request(1)).await;
    read_first_tokens(&mut host).await;

    drop(host);

    wait_until_decode_is_empty(&cluster).await;
    wait_until("the table is empty", async || state(&cluster.decode).await["used"] == json!(0))
        .await;
}

#[tokio::test]
async fn an_unresponsive_host_leaves_nothing_on_the_engine() {
    let cluster = start_cluster().await;
    let mut host = start_answer(&cluster, Request(1)).await;
    read_first_tokens(&mut host).await;

    wait_until_decode_is_empty(&cluster).await;

    drop(host);
}

#[tokio::test]
async fn a_cancel_during_a_stalled_transfer_frees_the_memory() {
    let cluster = start_cluster().await;
    post(cluster.decode.backend, "/control/faults", json!({"stall": true})).await;
    let host = start_answer(&cluster, Request(1)).await;
    wait_until("the import has begun", async || count_engine_holds(&cluster.decode).await == 1)
        .await;

    host.send(&Frame::Cancel(Request(1), ATTEMPT));
    wait_until_decode_is_empty(&cluster).await;
    post(cluster.decode.backend, "/control/faults", json!({"stall": false})).await;

    wait_until("the table is empty", async || state(&cluster.decode).await["used"] == json!(0))
        .await;
    assert_eq!(count_engine_holds(&cluster.decode).await, 0);
}

/// Kills the decode server's side process and starts another on the same address.
async fn restart_decode(cluster: &mut Cluster) {
    let listen = cluster.decode.program.listen;
    cluster.decode.program.kill();
    let settings = chestnutrack_side::Settings {
        name: cluster.decode.name.into(),
        service: fixture::SERVICE.into(),
        platform: cluster.platform,
        backend: cluster.decode.backend,
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
    cluster.decode.program = program;
    cluster.decode.shutdown = trigger;
}

#[tokio::test]
async fn an_answer_survives_the_restart_of_its_side_process() {
    let mut cluster = start_cluster().await;
    let mut host = start_answer(&cluster, Request(1)).await;
    let mut tokens = read_first_tokens(&mut host).await;

    restart_decode(&mut cluster).await;
    let mut host = EntryHost::connect(cluster.decode.program.listen, "entry-1", 1).await;
    let offset = u32::try_from(tokens.len()).unwrap();
    host.send(&Frame::Resume(Request(1), ATTEMPT, u64::from(offset)));
    let document = serde_json::to_vec(&cluster.document()).unwrap();
    host.send(&Frame::Configuration { version: 1, document });
    let (rest, _) = host.read_answer(offset).await;

    tokens.extend(rest);
    assert_eq!(tokens.concat(), expected_answer());
    assert_eq!(state(&cluster.decode).await["epoch"], json!(2));
}

#[tokio::test]
async fn an_unclaimed_request_is_freed_after_a_restart() {
    let mut cluster = start_cluster().await;
    let slow = Settings { step_base: std::time::Duration::from_millis(500), ..cluster.engine };
    cluster.decode.backend = fixture::start_engine(slow).await;
    restart_decode(&mut cluster).await;
    configure(&cluster.decode, 1, &cluster.document()).await;
    let host = start_answer(&cluster, Request(1)).await;
    wait_until("the answer has begun", async || count_engine_holds(&cluster.decode).await == 1)
        .await;

    restart_decode(&mut cluster).await;
    configure(&cluster.decode, 1, &cluster.document()).await;

    wait_until_decode_is_empty(&cluster).await;
    drop(host);
}

#[tokio::test]
async fn an_evicted_kv_cache_is_reported_as_lost() {
    let cluster = start_cluster().await;
    let mut prefill_host = EntryHost::connect(cluster.prefill.program.listen, "entry-1", 1).await;
    let mut host = EntryHost::connect(cluster.decode.program.listen, "entry-1", 1).await;
    let kv = prefill_host.prefill(Request(1), PROMPT).await;
    prefill_host.send(&Frame::Done(Request(1), ATTEMPT));
    wait_until("the prefill is freed", async || count_engine_holds(&cluster.prefill).await == 0)
        .await;

    host.reserve(Request(1), TOKENS).await;
    host.send(&Frame::Decode(Request(1), ATTEMPT, decode(kv, TOKENS)));
    let failure = host.read_failure().await;

    assert_eq!((failure.cause, failure.ran), (Cause::KvLost, Ran::Ran));
    wait_until_decode_is_empty(&cluster).await;
}

#[tokio::test]
async fn a_terminating_process_finishes_its_answers() {
    let cluster = start_cluster().await;
    let mut host = start_answer(&cluster, Request(1)).await;
    let mut tokens = read_first_tokens(&mut host).await;

    cluster.decode.shutdown.set();
    wait_until("the process is leaving", async || {
        state(&cluster.decode).await["leaving"] == json!(true)
    })
    .await;
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
    cluster.decode.program.wait().await;

    assert_eq!(tokens.concat(), expected_answer());
    let (request, failure) = refused.unwrap();
    let refusal = (request, failure.cause, failure.ran);
    assert_eq!(refusal, (Request(2), Cause::Leaving, Ran::NotRun));
}

#[tokio::test]
async fn a_killed_process_truncates_its_answers() {
    let cluster = start_cluster().await;
    let mut host = start_answer(&cluster, Request(1)).await;
    let mut tokens = read_first_tokens(&mut host).await;

    cluster.decode.program.kill();
    while let Ok(frame) = host.connection.receiver.receive().await {
        if let Frame::Tokens(_, _, _, texts) = frame {
            tokens.extend(texts.iter().map(ToString::to_string));
        }
    }

    assert_ne!(tokens.concat(), expected_answer());
}

#[tokio::test]
async fn a_peer_with_a_newer_protocol_version_is_disconnected_and_others_stay() {
    let cluster = start_cluster().await;
    let mut host = EntryHost::connect(cluster.decode.program.listen, "entry-1", 1).await;
    let hello = Frame::Hello {
        version: chestnutrack_wire::frame::VERSION + 1,
        sender: chestnutrack_wire::frame::Sender { name: "entry-9".into(), incarnation: 1 },
        configuration: 0,
    };
    let mut newer_host = EntryHost::connect(cluster.decode.program.listen, "entry-2", 1).await;
    newer_host.send(&hello);

    let closed = async { while newer_host.connection.receiver.receive().await.is_ok() {} };
    tokio::time::timeout(fixture::TIMEOUT, closed).await.unwrap();
    host.reserve(Request(1), 8).await;
}
