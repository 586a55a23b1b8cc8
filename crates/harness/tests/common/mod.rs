//! Fixtures of the fault tests: small fleets, requests, and queries of what backend servers received.

#![allow(clippy::unwrap_used, dead_code, unreachable_pub)]

use chestnutrack_document::Document;
use chestnutrack_document::model::Role;
use chestnutrack_harness::caller::{self, Answer, Call, StreamingAnswer};
use chestnutrack_harness::{Error, Fleet, Settings};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// Organisation whose key the fixtures use.
pub const ORGANISATION: &str = "dairy-coop";
/// Guarantee: engine memory is freed within this time after a caller disconnects or an entry host
/// fails.
pub const MEMORY_FREED_WITHIN: Duration = Duration::from_secs(2);
/// Guarantee: a withdrawn key, a leaving server and a configuration change are in force on all hosts
/// within this time.
pub const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);
/// Timeout for conditions without a guaranteed time.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Factor by which the engines of slow fleets are slower than the default.
pub const SLOW_TIME_SCALE: &str = "8";

/// Returns settings with few servers: one prefill, two decode and two plain.
pub fn small_fleet() -> Settings {
    Settings { edit: keep_few, ..Settings::default() }
}

/// Returns settings of a small fleet whose completions take seconds, so that faults occur while they
/// are in flight.
pub fn slow_fleet() -> Settings {
    let engine_arguments = vec!["--time-scale".to_owned(), SLOW_TIME_SCALE.to_owned()];
    Settings { engine_arguments, ..small_fleet() }
}

/// Returns settings of a small fleet whose plain services take 1.5 seconds per request.
pub fn slow_plain_fleet() -> Settings {
    let plain_arguments = vec!["--service-ms".to_owned(), "1500".to_owned()];
    Settings { plain_arguments, ..small_fleet() }
}

fn keep_few(document: &mut Document) {
    for pool in &mut document.pools {
        let mut kept = [(Role::Prefill, 1), (Role::Decode, 2), (Role::Plain, 2)];
        pool.servers.retain(|server| {
            let Some(count) = kept.iter_mut().find(|(role, _)| *role == server.role) else {
                return false;
            };
            let keep = count.1 > 0;
            count.1 -= i32::from(keep);
            keep
        });
    }
}

/// Builds a request for a streamed completion of `tokens` tokens.
pub fn completion(fleet: &Fleet, prompt: &str, tokens: u32) -> Call {
    let key = fleet.key(ORGANISATION);
    caller::completion("/v1/completions", "larder-llm", &key, prompt, tokens, true)
}

/// Builds a deposit, a request that runs at most once, with an idempotency key if one is given.
pub fn deposit(fleet: &Fleet, key: Option<&str>, body: &str) -> Call {
    let header = key.map(|key| ("idempotency-key".to_owned(), key.to_owned()));
    Call {
        method: "POST",
        target: "/deposits".to_owned(),
        key: Some(fleet.key(ORGANISATION)),
        headers: header.into_iter().collect(),
        body: body.as_bytes().to_vec(),
    }
}

/// Builds a stock check, an idempotent plain request.
pub fn stock(fleet: &Fleet) -> Call {
    let key = Some(fleet.key(ORGANISATION));
    Call { target: "/stock/honey".to_owned(), key, ..Call::default() }
}

/// Starts a streamed completion and waits for its first tokens.
pub async fn start_completion(fleet: &Fleet, entry: u8, call: &Call) -> StreamingAnswer {
    let mut stream = caller::open(fleet.entry(entry), call).await.unwrap();
    assert_eq!(stream.status(), 200);
    stream.read_until("\"text\":").await.unwrap();
    stream
}

/// Asserts that an answer is complete and is the answer to its prompt.
pub fn assert_whole(answer: &Answer, prompt: &str, tokens: u32) {
    let (text, done) = answer.completion();
    let expected: String =
        (0..tokens).map(|offset| chestnutrack_standin::answer::token(prompt, offset)).collect();
    assert_eq!(text, expected, "{}", answer.text());
    assert!(done, "no end: {}", answer.text());
}

/// Returns the requests that the engines hold memory for.
pub async fn engine_holds(fleet: &Fleet) -> Vec<String> {
    let mut held = Vec::new();
    let engines = fleet.servers().filter(|server| server.role != Role::Plain);
    let engines: Vec<SocketAddr> = engines.map(|server| server.address).collect();
    for engine in engines {
        let page = fleet.get_json(engine, "/v1/holds").await.unwrap_or_default();
        let holds = page["holds"].as_array().cloned().unwrap_or_default();
        held.extend(holds.iter().map(Value::to_string));
    }
    held
}

/// Asserts that engines free all memory within [`MEMORY_FREED_WITHIN`].
pub async fn assert_memory_freed(fleet: &Fleet) {
    let freed = fleet.wait_until(MEMORY_FREED_WITHIN, "engines hold nothing", async || {
        engine_holds(fleet).await.is_empty()
    });
    if let Err(error) = freed.await {
        panic!("{error}: {:?}", engine_holds(fleet).await);
    }
}

/// Returns all calls that the plain services have run, as recorded by them.
pub async fn plain_calls(fleet: &Fleet) -> Vec<Value> {
    let mut calls = Vec::new();
    let plain = fleet.servers().filter(|server| server.role == Role::Plain);
    let plain: Vec<SocketAddr> = plain.map(|server| server.address).collect();
    for address in plain {
        let seen = fleet.get_json(address, "/control/seen").await.unwrap_or_default();
        calls.extend(seen["seen"].as_array().cloned().unwrap_or_default());
    }
    calls
}

/// Returns how many calls to a path the plain services have run.
pub async fn run_count(fleet: &Fleet, path: &str) -> usize {
    let calls = plain_calls(fleet).await;
    calls.iter().filter(|call| call["target"] == path).count()
}

/// Starts or ends an outage of the object interface.
pub async fn set_outage(fleet: &Fleet, down: bool) {
    let order = json!({ "down": down });
    fleet.control(fleet.platform(), "faults", &order).await.unwrap();
}

/// Returns the version of the document in force on an entry host, or 0 if it cannot be read.
pub async fn version_in_force(fleet: &Fleet, entry: u8) -> u64 {
    let page = fleet.get_json(fleet.entry_admin(entry), "/v1/configuration").await;
    page.unwrap_or_default()["version"].as_u64().unwrap_or_default()
}

/// Sends a call and returns its status code, or 0 if it got no answer.
pub async fn status(fleet: &Fleet, entry: u8, call: &Call) -> u16 {
    let answer: Result<Answer, Error> = fleet.call(entry, call).await;
    answer.map_or(0, |answer| answer.status)
}
