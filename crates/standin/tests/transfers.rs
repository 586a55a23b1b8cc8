//! Transfers between engines: shared links, cancellations, and ends that go away.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use chestnutrack_engine::client::{Client, Settings};
use chestnutrack_engine::error::Error;
use chestnutrack_engine::order::{Cancel, Import, Prefill};
use chestnutrack_standin::engine;
use quickcheck::QuickCheck;
use std::net::SocketAddr;
use std::time::Duration;
use support::{Act, page, scripted};

const HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const MINUTE: Duration = Duration::from_secs(60);

fn quick() -> engine::Settings {
    engine::Settings { prefill_tokens_per_s: 10_000_000, evict: MINUTE, ..Default::default() }
}

/// An engine whose links take minutes for any KV cache.
fn crawling() -> engine::Settings {
    engine::Settings { link_bytes_per_s: 1_000, ..quick() }
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

async fn is_empty(client: &Client) -> bool {
    client.holds().await.unwrap().holds.is_empty()
}

#[tokio::test]
async fn a_cancelled_import_frees_both_ends() {
    let evict = Duration::from_secs(3);
    let from = engine(engine::Settings { evict, ..crawling() }).await;
    let to = engine(crawling()).await;
    from.prefill(&prefill("a.1")).await.unwrap();
    let (importing, address) = (to.clone(), from.address());
    let order = tokio::spawn(async move { importing.import(&import("a.1", address)).await });
    support::until(async || !is_empty(&to).await).await;

    to.cancel(&cancel("a.1")).await.unwrap();

    assert!(is_empty(&to).await);
    let outcome = order.await.unwrap();
    assert!(matches!(outcome, Err(Error::Refused(409, _))), "{outcome:?}");
    support::until(async || is_empty(&from).await).await;
    assert_eq!(page(from.address(), "counts").await["wasted_prefill_tokens"], 1_000);
    assert_eq!(page(from.address(), "counts").await["exports"], 0);
}

#[tokio::test]
async fn a_kv_cache_that_is_cancelled_during_its_export_is_gone_for_the_import() {
    let from = engine(engine::Settings { link_bytes_per_s: 10_000_000, ..quick() }).await;
    let to = engine(quick()).await;
    from.prefill(&prefill("a.1")).await.unwrap();
    let (importing, address) = (to.clone(), from.address());
    let order = tokio::spawn(async move { importing.import(&import("a.1", address)).await });
    support::until(async || !is_empty(&to).await).await;

    from.cancel(&cancel("a.1")).await.unwrap();

    assert_eq!(order.await.unwrap(), Err(Error::Missing));
    assert!(is_empty(&from).await && is_empty(&to).await);
}

#[tokio::test]
async fn an_import_goes_on_without_its_caller_until_it_is_cancelled() {
    let from = engine(crawling()).await;
    let to = engine(crawling()).await;
    from.prefill(&prefill("a.1")).await.unwrap();
    let hasty = Settings { import_timeout: Duration::from_millis(500), ..Settings::default() };

    let given_up = to.with_settings(hasty).import(&import("a.1", from.address())).await;
    let held = is_empty(&to).await;
    to.cancel(&cancel("a.1")).await.unwrap();

    assert!(matches!(given_up, Err(Error::Unknown(_))), "{given_up:?}");
    assert!(!held);
    assert!(is_empty(&to).await);
}

#[tokio::test]
async fn an_export_that_breaks_or_makes_no_sense_leaves_nothing() {
    let head = "{\"head\":{\"tokens\":10,\"hash\":1,\"stop\":null}}\n";
    let long = "x".repeat(2_000);
    let chunks = [head, "not json\n", "{\"end\"}\n", &long, "\"end\"\n"];
    let to = engine(quick()).await;
    for chunk in chunks {
        let text = format!("{HEAD}{:x}\r\n{chunk}\r\n0\r\n\r\n", chunk.len());
        let from = scripted(vec![Act::Send(text.leak())]).await;

        let outcome = to.import(&import("a.1", from)).await;

        assert_eq!(outcome, Err(Error::Missing), "{chunk}");
        assert!(is_empty(&to).await);
    }
}

#[tokio::test]
async fn an_import_from_a_silent_engine_ends_when_it_is_cancelled() {
    let head = "{\"head\":{\"tokens\":10,\"hash\":1,\"stop\":null}}\n";
    let text = format!("{HEAD}{:x}\r\n{head}\r\n", head.len());
    let from = scripted(vec![Act::Hold(text.leak())]).await;
    let to = engine(quick()).await;
    let importing = to.clone();
    let order = tokio::spawn(async move { importing.import(&import("a.1", from)).await });
    support::until(async || !is_empty(&to).await).await;

    to.cancel(&cancel("a.1")).await.unwrap();

    let outcome = order.await.unwrap();
    assert!(matches!(outcome, Err(Error::Refused(409, _))), "{outcome:?}");
    assert!(is_empty(&to).await);
}

#[tokio::test]
async fn transfers_share_a_link() {
    let from = engine(engine::Settings { link_bytes_per_s: 200_000_000, ..quick() }).await;
    let to = engine(quick()).await;
    let ids: Vec<String> = (0..4).map(|index| format!("{index}.1")).collect();
    for id in &ids {
        from.prefill(&prefill(id)).await.unwrap();
    }

    let address = from.address();
    let orders = ids.iter().map(|id| {
        let (to, order) = (to.clone(), import(id, address));
        tokio::spawn(async move { to.import(&order).await })
    });
    for order in orders.collect::<Vec<_>>() {
        assert_eq!(order.await.unwrap().map(|imported| imported.tokens), Ok(1_000));
    }

    let counts = page(address, "counts").await;
    assert_eq!((&counts["exports"], &counts["exported_tokens"]), (&4.into(), &4_000.into()));
    assert!(is_empty(&from).await);
    assert_eq!(to.holds().await.unwrap().holds.len(), 4);
}

/// Cancels imports after random times, so that it falls before, into and after their end.
#[test]
fn a_cancellation_that_races_an_import_leaves_nothing() {
    fn check(delays_ms: Vec<u8>) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(race(delays_ms.into_iter().take(8).collect()))
    }
    QuickCheck::new().tests(20).quickcheck(check as fn(Vec<u8>) -> bool);
}

async fn race(delays_ms: Vec<u8>) -> bool {
    let settings = engine::Settings { link_bytes_per_s: 20_000_000_000, ..quick() };
    let (from, to) = (engine(settings).await, engine(settings).await);
    for (index, delay_ms) in delays_ms.into_iter().enumerate() {
        let id = format!("{index}.1");
        from.prefill(&prefill(&id)).await.unwrap();
        let (importing, order) = (to.clone(), import(&id, from.address()));
        let order = tokio::spawn(async move { importing.import(&order).await });
        tokio::time::sleep(Duration::from_millis(u64::from(delay_ms % 12))).await;
        to.cancel(&cancel(&id)).await.unwrap();
        let _ = order.await.unwrap();
        // An order that came after its cancellation holds memory until the next one.
        to.cancel(&cancel(&id)).await.unwrap();
        from.cancel(&cancel(&id)).await.unwrap();
    }
    is_empty(&to).await && is_empty(&from).await
}
