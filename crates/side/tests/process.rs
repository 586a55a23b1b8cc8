//! The program as a separate process: exit codes, signals, and a process that was stopped while
//! another took its server over.

#![allow(clippy::unwrap_used)]

mod fixture;

use chestnutrack_document::model::{Document, Role};
use chestnutrack_harness::Process;
use chestnutrack_standin::engine::Settings;
use chestnutrack_wire::frame::{Cause, Ran};
use chestnutrack_wire::{Frame, Request};
use fixture::{ATTEMPT, BOUND, Host, World, beside, configure, get, until};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use tempfile::TempDir;

struct Separate {
    process: Process,
    listen: SocketAddr,
    admin: SocketAddr,
    _log: TempDir,
}

/// An address that was free a moment ago, on a loopback host that no other test uses.
async fn free() -> SocketAddr {
    let host = format!("127.{}.{}.7:0", rand::random_range(1..250), rand::random_range(1..250));
    let listener = tokio::net::TcpListener::bind(host).await.unwrap();
    listener.local_addr().unwrap()
}

async fn separate(world: &World) -> Separate {
    let (listen, admin) = (free().await, free().await);
    let log = TempDir::new().unwrap();
    let arguments = [
        ("--name", "decode-1".to_owned()),
        ("--service", fixture::SERVICE.to_owned()),
        ("--listen", listen.to_string()),
        ("--admin", admin.to_string()),
        ("--platform", world.platform.to_string()),
        ("--kind", "engine".to_owned()),
        ("--backend", world.decode.backend.to_string()),
    ];
    let arguments = arguments.into_iter().flat_map(|(flag, value)| [flag.to_owned(), value]);
    let program = Path::new(env!("CARGO_BIN_EXE_chestnutrack-side"));
    let file = log.path().join("log");
    let process = Process::start("decode-1", program, arguments.collect(), file).unwrap();
    until("the process listens", async || tokio::net::TcpStream::connect(admin).await.is_ok())
        .await;
    Separate { process, listen, admin, _log: log }
}

async fn configured(side: &Separate, version: u64, document: &Document) -> Host {
    let host = Host::connect(side.listen, "entry-1", 1).await;
    let document = serde_json::to_vec(document).unwrap();
    host.send(&Frame::Configuration { version, document });
    until("it takes work", async || get(side.admin, "/v1/state").await["ready"] == json!(true))
        .await;
    host
}

#[tokio::test]
async fn wrong_settings_end_the_program_with_code_2() {
    let program = Path::new(env!("CARGO_BIN_EXE_chestnutrack-side"));
    let log = TempDir::new().unwrap();
    let arguments = vec!["--kind".to_owned(), "cook".to_owned()];

    let mut process = Process::start("wrong", program, arguments, log.path().join("log")).unwrap();
    let code = process.wait(BOUND).await;

    assert_eq!(code, Some(2));
    assert!(process.log().contains("--kind: `cook` is not `engine` or `plain`"));
}

#[tokio::test]
async fn an_idle_process_ends_with_code_0_on_sigterm() {
    let world = World::start().await;
    let mut side = separate(&world).await;
    let host = configured(&side, 1, &world.document()).await;

    side.process.terminate().unwrap();
    let code = side.process.wait(BOUND).await;

    assert_eq!(code, Some(0));
    drop(host);
}

/// Whether every thread of a process has stopped; a signal takes a while to reach them all.
fn is_stopped(process: &Process) -> bool {
    let tasks = format!("/proc/{}/task", process.id().unwrap());
    let mut tasks = std::fs::read_dir(tasks).unwrap();
    tasks.all(|task| {
        let status = std::fs::read_to_string(task.unwrap().path().join("stat")).unwrap();
        status.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'))
    })
}

/// Orders that an engine has taken under an epoch, beyond questions and cancellations.
async fn orders(engine: SocketAddr, fence: u64) -> Vec<Value> {
    let seen = get(engine, "/control/seen").await;
    let seen = seen["orders"]["seen"].as_array().unwrap().iter();
    let own = seen.filter(|order| order["fence"] == json!(fence) && order["call"] != "cancel");
    own.cloned().collect()
}

/// Stops a process, has another take over, continues the first and asks it for a prefill. The
/// engine ignores fencing numbers; `said_to_check` is what the document says of it.
async fn order_after_a_stop(said_to_check: bool) -> (Frame, Vec<Value>) {
    let world = World::with(Settings { checks_fencing: false, ..Settings::default() }).await;
    let mut document = world.document();
    for server in &mut document.pools[0].servers {
        server.checks_fencing = said_to_check;
        server.role = match server.role {
            Role::Prefill => Role::Decode,
            _ => Role::Prefill,
        };
    }
    let first = separate(&world).await;
    let mut host = configured(&first, 1, &document).await;
    let epoch = get(first.admin, "/v1/state").await["epoch"].as_u64().unwrap();

    first.process.pause().unwrap();
    until("the process has stopped", async || is_stopped(&first.process)).await;
    let second = beside(world.platform, "decode-1", Role::Prefill, world.decode.backend).await;
    configure(&second, 1, &document).await;
    host.send(&Frame::Prefill(Request(1), ATTEMPT, fixture::prefill("a prompt")));
    first.process.resume().unwrap();
    let answer = host.next().await;

    (answer, orders(world.decode.backend, epoch).await)
}

#[tokio::test]
async fn a_process_that_was_stopped_gives_no_order_after_another_took_over() {
    let (answer, orders) = order_after_a_stop(false).await;

    let Frame::Failed(_, _, failure, _) = answer else { panic!("{answer:?}") };
    assert_eq!((failure.cause, failure.ran), (Cause::Fenced, Ran::NotRun));
    assert!(orders.is_empty(), "{orders:?}");
}

#[tokio::test]
async fn without_the_second_look_a_process_that_was_stopped_gives_an_order() {
    let (answer, orders) = order_after_a_stop(true).await;

    assert!(matches!(answer, Frame::Prefilled(..)), "{answer:?}");
    assert_eq!(orders.len(), 1);
}
