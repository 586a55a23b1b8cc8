//! The program as a separate process: exit codes, signals, and a process that is paused while
//! another takes over its backend server.

#![allow(clippy::unwrap_used)]

mod fixture;

use chestnutrack_document::model::{Document, Role};
use chestnutrack_harness::Process;
use chestnutrack_side::settings::LOOPBACK_ANY_PORT;
use chestnutrack_standin::engine::Settings;
use chestnutrack_wire::frame::{Cause, Ran};
use chestnutrack_wire::{Frame, Request};
use fixture::{
    ATTEMPT, Cluster, EntryHost, TIMEOUT, configure, get, start_side, state, wait_until,
};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use tempfile::TempDir;

/// The program, running as a child process for `decode-1`.
struct ChildProcess {
    process: Process,
    listen: SocketAddr,
    admin: SocketAddr,
    _log: TempDir,
}

/// Returns the addresses for entry hosts and for operators that a process has logged, or `None` if
/// it has not started yet.
fn read_addresses(process: &Process) -> Option<(SocketAddr, SocketAddr)> {
    let log = process.log();
    let mut lines = log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let started = lines.find(|line| line["fields"]["message"] == json!("started"))?;
    let address = |name: &str| started["fields"][name].as_str()?.parse().ok();
    Some((address("listen")?, address("admin")?))
}

/// Starts the program on ports that the system assigns to it. A port that the test had reserved and
/// released could still be open in a child process that another test starts, or be assigned again.
///
/// The cluster's own process for `decode-1` claims the server first. If it claimed the server after
/// the program, it would take over from the program.
async fn start_child(cluster: &Cluster) -> ChildProcess {
    wait_until("the cluster's process has authority", async || {
        state(&cluster.decode).await["epoch"].is_u64()
    })
    .await;
    let log = TempDir::new().unwrap();
    let arguments = [
        ("--name", "decode-1".to_owned()),
        ("--service", fixture::SERVICE.to_owned()),
        ("--listen", LOOPBACK_ANY_PORT.to_string()),
        ("--admin", LOOPBACK_ANY_PORT.to_string()),
        ("--platform", cluster.platform.to_string()),
        ("--kind", "engine".to_owned()),
        ("--backend", cluster.decode.backend.to_string()),
        ("--log", "json".to_owned()),
    ];
    let arguments = arguments.into_iter().flat_map(|(flag, value)| [flag.to_owned(), value]);
    let program = Path::new(env!("CARGO_BIN_EXE_chestnutrack-side"));
    let file = log.path().join("log");
    let process = Process::start("decode-1", program, arguments.collect(), file).unwrap();
    wait_until("the process listens", async || read_addresses(&process).is_some()).await;
    let (listen, admin) = read_addresses(&process).unwrap();
    ChildProcess { process, listen, admin, _log: log }
}

/// Connects an entry host, sends the document and waits until the process is ready.
async fn configure_and_connect(
    side: &ChildProcess,
    version: u64,
    document: &Document,
) -> EntryHost {
    let host = EntryHost::connect(side.listen, "entry-1", 1).await;
    let document = serde_json::to_vec(document).unwrap();
    host.send(&Frame::Configuration { version, document });
    wait_until("the process is ready", async || {
        get(side.admin, "/v1/state").await["ready"] == json!(true)
    })
    .await;
    host
}

#[tokio::test]
async fn wrong_settings_end_the_program_with_code_2() {
    let program = Path::new(env!("CARGO_BIN_EXE_chestnutrack-side"));
    let log = TempDir::new().unwrap();
    let arguments = vec!["--kind".to_owned(), "cook".to_owned()];

    let mut process = Process::start("wrong", program, arguments, log.path().join("log")).unwrap();
    let code = process.wait(TIMEOUT).await;

    assert_eq!(code, Some(2));
    assert!(process.log().contains("--kind: `cook` is not `engine` or `plain`"));
}

#[tokio::test]
async fn an_idle_process_ends_with_code_0_on_sigterm() {
    let cluster = Cluster::start().await;
    let mut side = start_child(&cluster).await;
    let host = configure_and_connect(&side, 1, &cluster.document()).await;

    side.process.terminate().unwrap();
    let code = side.process.wait(TIMEOUT).await;

    assert_eq!(code, Some(0));
    drop(host);
}

/// Returns `true` if every thread of a process is stopped; a signal takes a while to reach all of
/// them.
fn is_paused(process: &Process) -> bool {
    let tasks = format!("/proc/{}/task", process.id().unwrap());
    let mut tasks = std::fs::read_dir(tasks).unwrap();
    tasks.all(|task| {
        let status = std::fs::read_to_string(task.unwrap().path().join("stat")).unwrap();
        status.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'))
    })
}

/// Returns the orders that an engine received with a fencing number, without queries and
/// cancellations.
async fn engine_orders(engine: SocketAddr, fence: u64) -> Vec<Value> {
    let seen = get(engine, "/control/seen").await;
    let orders = seen["orders"]["seen"].as_array().unwrap().iter();
    let own = orders.filter(|order| order["fence"] == json!(fence) && order["call"] != "cancel");
    own.cloned().collect()
}

/// Pauses a process, lets another take over, sends the first a prefill and resumes it. Returns the
/// first process's answer and its orders to the engine. The engine ignores fencing numbers;
/// `document_checks_fencing` is the document's value of `checks_fencing` for it.
async fn prefill_after_takeover(document_checks_fencing: bool) -> (Frame, Vec<Value>) {
    let cluster = Cluster::with(Settings { checks_fencing: false, ..Settings::default() }).await;
    let mut document = cluster.document();
    for server in &mut document.pools[0].servers {
        server.checks_fencing = document_checks_fencing;
        server.role = match server.role {
            Role::Prefill => Role::Decode,
            _ => Role::Prefill,
        };
    }
    let first = start_child(&cluster).await;
    let mut host = configure_and_connect(&first, 1, &document).await;
    let epoch = get(first.admin, "/v1/state").await["epoch"].as_u64().unwrap();

    first.process.pause().unwrap();
    wait_until("the process is paused", async || is_paused(&first.process)).await;
    let second =
        start_side(cluster.platform, "decode-1", Role::Prefill, cluster.decode.backend).await;
    configure(&second, 1, &document).await;
    host.send(&Frame::Prefill(Request(1), ATTEMPT, fixture::prefill("a prompt")));
    first.process.resume().unwrap();
    let answer = host.next().await;

    (answer, engine_orders(cluster.decode.backend, epoch).await)
}

#[tokio::test]
async fn a_paused_process_sends_no_order_after_a_takeover() {
    let (answer, orders) = prefill_after_takeover(false).await;

    let Frame::Failed(_, _, failure, _) = answer else { panic!("{answer:?}") };
    assert_eq!((failure.cause, failure.ran), (Cause::Fenced, Ran::NotRun));
    assert!(orders.is_empty(), "{orders:?}");
}

/// The document says that the engine checks fencing numbers, so the side process doesn't check its
/// authority after the pause.
#[tokio::test]
async fn without_the_second_look_a_process_that_was_stopped_gives_an_order() {
    let (answer, orders) = prefill_after_takeover(true).await;

    assert!(matches!(answer, Frame::Prefilled(..)), "{answer:?}");
    assert_eq!(orders.len(), 1);
}
