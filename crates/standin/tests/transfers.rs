//! Tests of transfers between engines: shared links, cancellations, and engines or callers that
//! disconnect.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use chestnutrack_engine::client::{Client, Settings};
use chestnutrack_engine::error::Error;
use chestnutrack_engine::order::{Cancel, Import, Prefill};
use chestnutrack_standin::engine;
use quickcheck::QuickCheck;
use std::net::SocketAddr;
use std::time::Duration;
use support::{Action, get_control, scripted_server};

const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const MINUTE: Duration = Duration::from_secs(60);

/// Settings of an engine that prefills fast and keeps KV caches for a minute.
fn fast_settings() -> engine::Settings {
    engine::Settings { prefill_tokens_per_s: 10_000_000, evict_after: MINUTE, ..Default::default() }
}

/// Settings of an engine whose links need minutes for any KV cache.
fn slow_link_settings() -> engine::Settings {
    engine::Settings { link_bytes_per_s: 1_000, ..fast_settings() }
}

async fn engine(settings: engine::Settings) -> Client {
    Client::new(support::engine(settings).await, Settings::default(), None)
}

fn prefill(id: &str) -> Prefill {
    Prefill { id: id.into(), fence: 1, prompt: "x".repeat(4_000).into(), priority: 0 }
}

fn import(id: &str, from: SocketAddr) -> Import {
    Import { id: id.into(), fence: 1, from, handle: id.into(), kv_tokens: 2_000 }
}

fn cancel(id: &str) -> Cancel {
    Cancel { id: id.into(), fence: 1 }
}

/// Returns `true` if the engine reports no hold, the memory that a request occupies.
async fn is_empty(client: &Client) -> bool {
    client.holds().await.unwrap().holds.is_empty()
}

#[tokio::test]
async fn a_cancelled_import_frees_both_ends() {
    let evict_after = Duration::from_secs(3);
    let from = engine(engine::Settings { evict_after, ..slow_link_settings() }).await;
    let to = engine(slow_link_settings()).await;
    from.prefill(&prefill("a.1")).await.unwrap();
    let (importer, address) = (to.clone(), from.address());
    let task = tokio::spawn(async move { importer.import(&import("a.1", address)).await });
    support::wait_until(async || !is_empty(&to).await).await;

    to.cancel(&cancel("a.1")).await.unwrap();

    assert!(is_empty(&to).await);
    let outcome = task.await.unwrap();
    assert!(matches!(outcome, Err(Error::Refused(409, _))), "{outcome:?}");
    support::wait_until(async || is_empty(&from).await).await;
    assert_eq!(get_control(from.address(), "counts").await["wasted_prefill_tokens"], 1_000);
    assert_eq!(get_control(from.address(), "counts").await["exports"], 0);
}

#[tokio::test]
async fn an_import_is_missing_if_the_kv_cache_is_cancelled_during_its_export() {
    let from = engine(engine::Settings { link_bytes_per_s: 10_000_000, ..fast_settings() }).await;
    let to = engine(fast_settings()).await;
    from.prefill(&prefill("a.1")).await.unwrap();
    let (importer, address) = (to.clone(), from.address());
    let task = tokio::spawn(async move { importer.import(&import("a.1", address)).await });
    support::wait_until(async || !is_empty(&to).await).await;

    from.cancel(&cancel("a.1")).await.unwrap();

    assert_eq!(task.await.unwrap(), Err(Error::Missing));
    assert!(is_empty(&from).await && is_empty(&to).await);
}

#[tokio::test]
async fn an_import_continues_without_its_caller_until_it_is_cancelled() {
    let from = engine(slow_link_settings()).await;
    let to = engine(slow_link_settings()).await;
    from.prefill(&prefill("a.1")).await.unwrap();
    let short_timeout =
        Settings { import_timeout: Duration::from_millis(500), ..Settings::default() };

    let timed_out = to.with_settings(short_timeout).import(&import("a.1", from.address())).await;
    let freed = is_empty(&to).await;
    to.cancel(&cancel("a.1")).await.unwrap();

    assert!(matches!(timed_out, Err(Error::Unknown(_))), "{timed_out:?}");
    assert!(!freed);
    assert!(is_empty(&to).await);
}

#[tokio::test]
async fn a_broken_or_malformed_export_leaves_no_memory_held() {
    let head = "{\"head\":{\"tokens\":10,\"hash\":1,\"stop\":null}}\n";
    let long = "x".repeat(2_000);
    let chunks = [head, "not json\n", "{\"end\"}\n", &long, "\"end\"\n"];
    let to = engine(fast_settings()).await;
    for chunk in chunks {
        let text = format!("{RESPONSE_HEAD}{:x}\r\n{chunk}\r\n0\r\n\r\n", chunk.len());
        let from = scripted_server(vec![Action::Close(text.leak())]).await;

        let outcome = to.import(&import("a.1", from)).await;

        assert_eq!(outcome, Err(Error::Missing), "{chunk}");
        assert!(is_empty(&to).await);
    }
}

#[tokio::test]
async fn an_import_from_an_unresponsive_engine_ends_when_it_is_cancelled() {
    let head = "{\"head\":{\"tokens\":10,\"hash\":1,\"stop\":null}}\n";
    let text = format!("{RESPONSE_HEAD}{:x}\r\n{head}\r\n", head.len());
    let from = scripted_server(vec![Action::Hang(text.leak())]).await;
    let to = engine(fast_settings()).await;
    let importer = to.clone();
    let task = tokio::spawn(async move { importer.import(&import("a.1", from)).await });
    support::wait_until(async || !is_empty(&to).await).await;

    to.cancel(&cancel("a.1")).await.unwrap();

    let outcome = task.await.unwrap();
    assert!(matches!(outcome, Err(Error::Refused(409, _))), "{outcome:?}");
    assert!(is_empty(&to).await);
}

#[tokio::test]
async fn transfers_share_a_link() {
    let from = engine(engine::Settings { link_bytes_per_s: 200_000_000, ..fast_settings() }).await;
    let to = engine(fast_settings()).await;
    let ids: Vec<String> = (0..4).map(|index| format!("{index}.1")).collect();
    for id in &ids {
        from.prefill(&prefill(id)).await.unwrap();
    }

    let address = from.address();
    let tasks = ids.iter().map(|id| {
        let (to, order) = (to.clone(), import(id, address));
        tokio::spawn(async move { to.import(&order).await })
    });
    for task in tasks.collect::<Vec<_>>() {
        assert_eq!(task.await.unwrap().map(|imported| imported.tokens), Ok(1_000));
    }

    let counts = get_control(address, "counts").await;
    assert_eq!((&counts["exports"], &counts["exported_tokens"]), (&4.into(), &4_000.into()));
    assert!(is_empty(&from).await);
    assert_eq!(to.holds().await.unwrap().holds.len(), 4);
}

/// Cancels imports after random delays, so that a cancellation comes before, at and after the end
/// of its import.
#[test]
fn a_cancellation_that_races_an_import_leaves_no_memory_held() {
    fn check(delays_ms: Vec<u8>) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(race(delays_ms.into_iter().take(8).collect()))
    }
    QuickCheck::new().tests(20).quickcheck(check as fn(Vec<u8>) -> bool);
}

/// Cancels one import after each delay; returns `true` if neither engine then reports a hold.
async fn race(delays_ms: Vec<u8>) -> bool {
    let settings = engine::Settings { link_bytes_per_s: 20_000_000_000, ..fast_settings() };
    let (from, to) = (engine(settings).await, engine(settings).await);
    for (index, delay_ms) in delays_ms.into_iter().enumerate() {
        let id = format!("{index}.1");
        from.prefill(&prefill(&id)).await.unwrap();
        let (importer, order) = (to.clone(), import(&id, from.address()));
        let task = tokio::spawn(async move { importer.import(&order).await });
        tokio::time::sleep(Duration::from_millis(u64::from(delay_ms % 12))).await;
        to.cancel(&cancel(&id)).await.unwrap();
        let _ = task.await.unwrap();
        // An import order that arrives after its cancellation holds memory until it is cancelled
        // again.
        to.cancel(&cancel(&id)).await.unwrap();
        from.cancel(&cancel(&id)).await.unwrap();
    }
    is_empty(&to).await && is_empty(&from).await
}
