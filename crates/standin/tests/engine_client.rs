//! Tests of the engine client with the stand-in, its faults, and misbehaving servers.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use chestnutrack_engine::client::{Client, Settings};
use chestnutrack_engine::error::Error;
use chestnutrack_engine::order::{
    Cancel, Change, Decode, Import, Line, Order, Prefill, Prefilled, Resume,
};
use chestnutrack_standin::{answer, engine};
use prometheus::Registry;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use support::{Action, get_control, post_control, read_answer, scripted_server};

const PROMPT: &str = "a catalog summary of apples and pears";

/// Settings of an engine that computes fast and keeps KV caches for a minute.
fn fast_settings() -> engine::Settings {
    engine::Settings {
        step_base: Duration::from_micros(500),
        step_per_request: Duration::ZERO,
        prefill_tokens_per_s: 1_000_000,
        evict_after: Duration::from_secs(60),
        ..engine::Settings::default()
    }
}

fn client(address: SocketAddr) -> Client {
    Client::new(address, Settings::default(), None)
}

/// Returns a client with a short timeout for silent streams.
fn short_timeout_client(address: SocketAddr) -> Client {
    let stream_idle_timeout = Duration::from_secs(1);
    Client::new(address, Settings { stream_idle_timeout, ..Settings::default() }, None)
}

async fn fast_engine() -> (SocketAddr, Client) {
    let address = support::engine(fast_settings()).await;
    (address, client(address))
}

fn prefill(id: &str, prompt: &str) -> Prefill {
    Prefill { id: id.into(), fence: 1, prompt: prompt.into(), priority: 0 }
}

fn import(id: &str, from: SocketAddr, kv_tokens: u32) -> Import {
    Import { id: id.into(), fence: 1, from, handle: id.into(), kv_tokens }
}

fn decode(id: &str, output_tokens: u32) -> Decode {
    Decode { id: id.into(), fence: 1, output_tokens, priority: 0 }
}

fn resume(id: &str, offset: u32) -> Resume {
    Resume { id: id.into(), fence: 1, offset }
}

fn cancel(id: &str) -> Cancel {
    Cancel { id: id.into(), fence: 1 }
}

/// Prefills, exports and imports a prompt on one engine.
async fn imported(client: &Client, id: &str, prompt: &str, kv_tokens: u32) {
    client.prefill(&prefill(id, prompt)).await.unwrap();
    client.import(&import(id, client.address(), kv_tokens)).await.unwrap();
}

#[tokio::test]
async fn an_answer_moves_between_engines_and_frees_their_memory() {
    let (_, first) = fast_engine().await;
    let (_, second) = fast_engine().await;

    let prefilled = first.prefill(&prefill("a.1", PROMPT)).await.unwrap();
    let imported = second.import(&import("a.1", first.address(), 40)).await.unwrap();
    let mut stream = second.decode(&decode("a.1", 30)).await.unwrap();
    let text = read_answer(&mut stream).await.unwrap();

    let tokens = u32::try_from(PROMPT.len().div_ceil(4)).unwrap();
    let bytes = u64::from(tokens) * fast_settings().kv_bytes_per_token;
    let expected = Prefilled { tokens, bytes, cached_tokens: 0, evicted_in_ms: 60_000 };
    assert_eq!(prefilled, expected);
    assert_eq!(imported.tokens, tokens);
    assert_eq!(text, (answer::full_text(PROMPT, 30), "length".to_owned()));
    assert_eq!(stream.next().await, Ok(None));
    assert_eq!(first.holds().await.unwrap().holds, vec![]);
    assert_eq!(second.holds().await.unwrap().holds, vec![]);
}

#[tokio::test]
async fn a_stop_mark_in_the_prompt_ends_the_answer() {
    let (_, client) = fast_engine().await;
    let prompt = "stock check <stop:3>";
    imported(&client, "a.1", prompt, 100).await;

    let mut stream = client.decode(&decode("a.1", 30)).await.unwrap();

    let text: String = (0..3).map(|offset| answer::token(prompt, offset)).collect();
    assert_eq!(read_answer(&mut stream).await.unwrap(), (text, "stop".to_owned()));
}

#[tokio::test]
async fn a_stream_that_was_cut_is_resumed_at_its_offset() {
    let (address, client) = fast_engine().await;
    imported(&client, "a.1", PROMPT, 10_000).await;
    let mut stream = client.decode(&decode("a.1", 600)).await.unwrap();
    let mut text = String::new();
    while stream.offset() < 10 {
        let Some(Line::Token { text: token, .. }) = stream.next().await.unwrap() else { break };
        text.push_str(&token);
    }

    post_control(address, "faults", json!({ "cut_streams": true })).await;
    let broken = loop {
        match stream.next().await {
            Ok(Some(Line::Token { text: token, .. })) => text.push_str(&token),
            outcome => break outcome,
        }
    };
    let mut stream = client.resume(&resume("a.1", stream.offset())).await.unwrap();
    let (rest, _) = read_answer(&mut stream).await.unwrap();

    assert!(matches!(broken, Err(Error::Unknown(_))), "{broken:?}");
    assert_eq!(text + &rest, answer::full_text(PROMPT, 600));
}

#[tokio::test]
async fn an_answer_that_ended_can_be_read_again() {
    let (_, client) = fast_engine().await;
    imported(&client, "a.1", PROMPT, 100).await;
    let mut stream = client.decode(&decode("a.1", 5)).await.unwrap();
    read_answer(&mut stream).await.unwrap();

    let mut again = client.resume(&resume("a.1", 4)).await.unwrap();
    let mut end_stream = client.resume(&resume("a.1", 5)).await.unwrap();
    let beyond = client.resume(&resume("a.1", 6)).await.map(drop);

    assert_eq!(read_answer(&mut again).await.unwrap().0, answer::token(PROMPT, 4));
    assert_eq!(read_answer(&mut end_stream).await.unwrap().0, "");
    assert!(matches!(beyond, Err(Error::Refused(400, _))), "{beyond:?}");
}

#[tokio::test]
async fn an_answer_continues_without_a_reader_until_it_is_cancelled() {
    let (address, client) = fast_engine().await;
    imported(&client, "a.1", PROMPT, 150_000).await;
    let stream = client.decode(&decode("a.1", 100_000)).await.unwrap();

    drop(stream);
    let tokens_before_wait =
        get_control(address, "counts").await["generated_tokens"].as_u64().unwrap();
    let generated =
        async || get_control(address, "counts").await["generated_tokens"].as_u64().unwrap();
    support::wait_until(async || generated().await > tokens_before_wait + 20).await;
    let hold_count = client.holds().await.unwrap().holds.len();
    client.cancel(&cancel("a.1")).await.unwrap();

    assert_eq!(hold_count, 1);
    assert_eq!(client.holds().await.unwrap().holds, vec![]);
    assert_eq!(client.resume(&resume("a.1", 0)).await.map(drop), Err(Error::Missing));
}

#[tokio::test]
async fn the_stream_of_a_cancelled_answer_is_cut() {
    let (_, client) = fast_engine().await;
    imported(&client, "a.1", PROMPT, 150_000).await;
    let mut stream = client.decode(&decode("a.1", 100_000)).await.unwrap();
    stream.next().await.unwrap();

    client.cancel(&cancel("a.1")).await.unwrap();

    let outcome = read_answer(&mut stream).await;
    assert!(matches!(outcome, Err(Error::Unknown(_))), "{outcome:?}");
}

#[tokio::test]
async fn an_old_fencing_number_is_refused_by_an_engine_that_checks() {
    let (address, client) = fast_engine().await;
    client.cancel(&Cancel { id: "x".into(), fence: 5 }).await.unwrap();
    let load = Order { fence: 4, change: Change::LoadModel("larder".into()) };

    let outcomes = [
        client.prefill(&prefill("a.1", PROMPT)).await.map(drop),
        client.import(&import("a.1", address, 100)).await.map(drop),
        client.decode(&decode("a.1", 5)).await.map(drop),
        client.resume(&resume("a.1", 0)).await.map(drop),
        client.cancel(&cancel("a.1")).await,
        client.order(&load).await,
    ];

    for outcome in outcomes {
        assert_eq!(outcome, Err(Error::Fenced));
    }
    assert_eq!(get_control(address, "counts").await["fenced"], 6);
    assert_eq!(get_control(address, "seen").await["fence"], 5);
}

#[tokio::test]
async fn an_old_fencing_number_is_obeyed_by_an_engine_that_does_not_check() {
    let settings = engine::Settings { checks_fencing: false, ..fast_settings() };
    let client = client(support::engine(settings).await);
    client.cancel(&Cancel { id: "x".into(), fence: 5 }).await.unwrap();

    let outcome = client.prefill(&prefill("a.1", PROMPT)).await;

    assert!(outcome.is_ok(), "{outcome:?}");
}

#[tokio::test]
async fn a_full_engine_refuses_until_memory_is_freed() {
    let settings = engine::Settings { kv_tokens: 100, ..fast_settings() };
    let client = client(support::engine(settings).await);
    imported(&client, "a.1", PROMPT, 80).await;

    let prefill_while_full = client.prefill(&prefill("b.1", &"x".repeat(200))).await;
    client.prefill(&prefill("c.1", "short")).await.unwrap();
    let import_while_full = client.import(&import("c.1", client.address(), 30)).await;
    client.cancel(&cancel("a.1")).await.unwrap();
    let retried = client.import(&import("c.1", client.address(), 30)).await;

    assert_eq!(prefill_while_full, Err(Error::Full));
    assert_eq!(import_while_full, Err(Error::Full));
    assert!(retried.is_ok(), "{retried:?}");
}

#[tokio::test]
async fn a_kv_cache_is_evicted_after_its_time() {
    let settings = engine::Settings { evict_after: Duration::from_millis(1), ..fast_settings() };
    let address = support::engine(settings).await;
    let client = client(address);

    client.prefill(&prefill("a.1", PROMPT)).await.unwrap();
    support::wait_until(async || client.holds().await.unwrap().holds.is_empty()).await;
    let imported = client.import(&import("a.1", address, 100)).await;

    assert_eq!(imported, Err(Error::Missing));
    assert_eq!(client.holds().await.unwrap().holds, vec![]);
    assert_eq!(get_control(address, "counts").await["wasted_prefill_tokens"], 10);
}

#[tokio::test]
async fn orders_for_unknown_ids_and_engines_are_missing() {
    let (address, client) = fast_engine().await;
    let (unreachable, listener) = support::listener().await;
    drop(listener);

    let outcomes = [
        client.import(&import("a.1", address, 100)).await.map(drop),
        client.import(&import("a.1", unreachable, 100)).await.map(drop),
        client.decode(&decode("a.1", 5)).await.map(drop),
        client.resume(&resume("a.1", 0)).await.map(drop),
    ];

    for outcome in outcomes {
        assert_eq!(outcome, Err(Error::Missing));
    }
    assert_eq!(client.cancel(&cancel("a.1")).await, Ok(()));
}

#[tokio::test]
async fn a_duplicate_order_is_refused() {
    let (address, client) = fast_engine().await;
    imported(&client, "a.1", PROMPT, 10_000).await;
    client.prefill(&prefill("b.1", PROMPT)).await.unwrap();
    let _stream = client.decode(&decode("a.1", 5_000)).await.unwrap();

    let outcomes = [
        client.prefill(&prefill("b.1", PROMPT)).await.map(drop),
        client.import(&import("a.1", address, 100)).await.map(drop),
        client.decode(&decode("a.1", 5)).await.map(drop),
    ];

    for outcome in outcomes {
        assert!(matches!(outcome, Err(Error::Refused(409, _))), "{outcome:?}");
    }
}

#[tokio::test]
async fn an_answer_longer_than_its_reserved_memory_is_refused() {
    let (_, client) = fast_engine().await;
    imported(&client, "a.1", PROMPT, 20).await;

    let outcome = client.decode(&decode("a.1", 11)).await.map(drop);

    let Err(Error::Refused(400, text)) = outcome else { panic!("{outcome:?}") };
    assert!(text.contains("output_tokens"), "{text}");
}

#[tokio::test]
async fn a_prefill_that_fails_holds_nothing() {
    let (address, client) = fast_engine().await;
    post_control(address, "faults", json!({ "fail_prefills": 1 })).await;

    let failed = client.prefill(&prefill("a.1", PROMPT)).await;
    let holds = client.holds().await.unwrap().holds;
    let again = client.prefill(&prefill("a.1", PROMPT)).await;

    assert!(matches!(failed, Err(Error::Unknown(_))), "{failed:?}");
    assert_eq!(holds, vec![]);
    assert!(again.is_ok(), "{again:?}");
}

#[tokio::test]
async fn an_order_whose_answer_is_lost_has_taken_effect() {
    let (address, client) = fast_engine().await;
    post_control(address, "faults", json!({ "lose_answers": 4 })).await;

    let prefilled = client.prefill(&prefill("a.1", PROMPT)).await.map(drop);
    post_control(address, "faults", json!({ "lose_answers": 0 })).await;
    let holds = client.holds().await.unwrap().holds;
    client.import(&import("a.1", address, 150_000)).await.unwrap();
    post_control(address, "faults", json!({ "lose_answers": 1 })).await;
    let decoding = client.decode(&decode("a.1", 100_000)).await.map(drop);
    let duplicate = client.decode(&decode("a.1", 100_000)).await.map(drop);
    post_control(address, "faults", json!({ "lose_answers": 1 })).await;
    let cancelled = client.cancel(&cancel("a.1")).await;

    for outcome in [prefilled, decoding, cancelled] {
        assert!(matches!(outcome, Err(Error::Unknown(_))), "{outcome:?}");
    }
    assert_eq!(holds.len(), 1);
    assert!(matches!(duplicate, Err(Error::Refused(409, _))), "{duplicate:?}");
    assert_eq!(client.holds().await.unwrap().holds, vec![]);
}

#[tokio::test]
async fn a_paused_engine_is_unresponsive_and_continues_when_resumed() {
    let (address, client) = fast_engine().await;
    imported(&client, "a.1", PROMPT, 3_000).await;
    let mut stream = short_timeout_client(address).decode(&decode("a.1", 600)).await.unwrap();
    stream.next().await.unwrap();

    post_control(address, "faults", json!({ "freeze": true })).await;
    let silent = read_answer(&mut stream).await;
    let holds = client.holds().await;
    post_control(address, "faults", json!({ "freeze": false })).await;
    let mut stream = client.resume(&resume("a.1", 0)).await.unwrap();

    assert!(matches!(silent, Err(Error::Unknown(_))), "{silent:?}");
    assert!(matches!(holds, Err(Error::Unknown(_))), "{holds:?}");
    assert_eq!(read_answer(&mut stream).await.unwrap().0, answer::full_text(PROMPT, 600));
}

#[tokio::test]
async fn a_stalled_import_times_out_and_is_freed_by_cancelling() {
    let (address, client) = fast_engine().await;
    let import_limit = Duration::from_millis(500);
    let short_timeout_client =
        client.with_settings(Settings { import_timeout: import_limit, ..Settings::default() });
    client.prefill(&prefill("a.1", PROMPT)).await.unwrap();
    post_control(address, "faults", json!({ "stall": true })).await;

    let stalled = short_timeout_client.import(&import("a.1", address, 100)).await;
    client.cancel(&cancel("a.1")).await.unwrap();
    let holds = client.holds().await.unwrap().holds;
    post_control(address, "faults", json!({ "stall": false })).await;

    assert!(matches!(stalled, Err(Error::Unknown(_))), "{stalled:?}");
    assert_eq!(holds, vec![]);
    let wait = Duration::from_millis(50);
    tokio::time::sleep(wait).await;
    assert_eq!(client.holds().await.unwrap().holds, vec![]);
}

#[tokio::test]
async fn orders_change_role_and_model() {
    let settings =
        engine::Settings { model_load_time: Duration::from_millis(1), ..fast_settings() };
    let address = support::engine(settings).await;
    let client = client(address);

    let role = Order { fence: 1, change: Change::Role("decode".into()) };
    client.order(&role).await.unwrap();
    let model = Order { fence: 2, change: Change::LoadModel("larder".into()) };
    client.order(&model).await.unwrap();
    let wrong = Order { fence: 2, change: Change::Role("cook".into()) };
    let refused = client.order(&wrong).await;

    let seen = get_control(address, "seen").await;
    assert_eq!((&seen["role"], &seen["model"]), (&json!("decode"), &json!("larder")));
    assert!(matches!(refused, Err(Error::Refused(400, _))), "{refused:?}");
}

#[tokio::test]
async fn an_engine_refuses_work_while_it_loads_a_model() {
    let settings = engine::Settings { model_load_time: Duration::from_secs(2), ..fast_settings() };
    let address = support::engine(settings).await;
    let client = client(address);
    let short_timeout_client = client.with_settings(Settings {
        order_timeout: Duration::from_millis(50),
        ..Settings::default()
    });

    let order = Order { fence: 1, change: Change::LoadModel("larder".into()) };
    let timed_out = short_timeout_client.order(&order).await;
    let refused = client.prefill(&prefill("a.1", PROMPT)).await;

    assert!(matches!(timed_out, Err(Error::Unknown(_))), "{timed_out:?}");
    assert_eq!(refused, Err(Error::Full));
    support::wait_until(async || client.prefill(&prefill("a.1", PROMPT)).await.is_ok()).await;
}

#[tokio::test]
async fn prefixes_are_cached_and_their_events_are_reported() {
    let events_lag = Duration::from_millis(1);
    let settings = engine::Settings { events_lag, events_lost_percent: 0, ..fast_settings() };
    let client = client(support::engine(settings).await);
    let prompt = "x".repeat(10_000);
    client.prefill(&prefill("a.1", &prompt)).await.unwrap();

    let again = client.prefill(&prefill("b.1", &(prompt.clone() + "more"))).await.unwrap();

    assert_eq!(again.cached_tokens, 2_048);
    support::wait_until(async || client.events(0).await.unwrap().newest == 2).await;
    let events = client.events(0).await.unwrap().events;
    let hashes: Vec<_> = events.iter().map(|event| event.prefix).collect();
    assert_eq!(hashes, chestnutrack_engine::prefix::hashes(&prompt));
    assert!(events.iter().all(|event| event.stored));
    assert_eq!(client.events(1).await.unwrap().events, events[1..]);
}

#[tokio::test]
async fn malformed_responses_are_typed_errors() {
    let body = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{\"foo\":1}";
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 101\r\n\r\n";
    let large = format!("{head}{}", "x".repeat(101)).leak();
    let silent = Action::Hang("");
    let empty = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    let actions =
        [body, large, "", body, empty].map(Action::Close).into_iter().chain([silent]).collect();
    let settings = Settings { response_bytes_max: 100, ..Settings::default() };
    let client = Client::new(scripted_server(actions).await, settings, None);

    let malformed = client.load().await.unwrap_err();
    let large = client.holds().await.unwrap_err();
    let cut = client.prefill(&prefill("a.1", PROMPT)).await.unwrap_err();
    let malformed_after_order = client.prefill(&prefill("a.1", PROMPT)).await.unwrap_err();
    let empty = client.cancel(&cancel("a.1")).await;
    let silent = client.cancel(&cancel("a.1")).await.unwrap_err();

    assert!(matches!(malformed_after_order, Error::Unknown(_)), "{malformed_after_order:?}");
    assert_eq!(empty, Ok(()));
    assert!(matches!(&malformed, Error::Malformed(place, _) if place == "load"), "{malformed:?}");
    assert_eq!(large, Error::Unknown("body is larger than 100 bytes".to_owned()));
    assert!(matches!(cut, Error::Unknown(_)), "{cut:?}");
    assert!(matches!(silent, Error::Unknown(_)), "{silent:?}");
}

#[tokio::test]
async fn errors_are_counted_by_call_and_kind() {
    let registry = Registry::new();
    let address = support::engine(fast_settings()).await;
    let client = Client::new(address, Settings::default(), Some(&registry));

    let _ = client.import(&import("a.1", address, 100)).await;
    let _ = client.decode(&decode("a.1", 5)).await;
    let _ = client.holds().await;

    let families = registry.gather();
    let errors = families.iter().find(|family| family.name() == "chestnutrack_engine_errors_total");
    let counted = errors.unwrap().get_metric().iter().map(|metric| {
        let labels = metric.get_label().iter().map(|label| label.value());
        (labels.collect::<Vec<_>>(), metric.get_counter().get_value() as u64)
    });
    let expected = [(vec!["decode", "missing"], 1), (vec!["import", "missing"], 1)];
    assert_eq!(counted.collect::<Vec<_>>(), expected);
}

#[tokio::test]
async fn an_order_to_an_unreachable_engine_is_not_sent() {
    let (address, listener) = support::listener().await;
    drop(listener);
    let client = client(address);

    let outcome = client.prefill(&prefill("a.1", PROMPT)).await;

    assert!(matches!(outcome, Err(Error::NotSent(_))), "{outcome:?}");
    assert_eq!(client.call_count("prefill"), 1);
}
