//! Lists that the interface returns in pages.

use chestnutrack_process::http;
use chestnutrack_store::client::{Client, Settings};
use chestnutrack_store::dialect::{Dialect, Freshness, HttpRequest, OWN, Page};
use chestnutrack_store::error::Error;
use chestnutrack_store::object::{List, Object};
use chestnutrack_store::watcher::{self, Event, Update};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc};
use tokio::time::timeout;

const PAGED: Dialect = Dialect { list, page, ..OWN };

fn list(kind: &str, after: Option<&str>, freshness: Freshness) -> Result<HttpRequest, Error> {
    let target = match after {
        Some(after) => format!("/{kind}/after/{after}"),
        None => format!("/{kind}"),
    };
    let query = if freshness == Freshness::Any { "?old" } else { "" };
    Ok(http::request("GET", &format!("{target}{query}"), "")?)
}

/// Parses a page that holds the object named by the body. The page with `a` has a next page.
fn page(body: &[u8]) -> Result<Page, Error> {
    let name = std::str::from_utf8(body).expect("text");
    let object = Object { name: name.into(), version: 3, value: Some(json!(1)), age_ms: 0 };
    Ok(Page { list: List { version: 5, objects: vec![object] }, more: name == "a" })
}

/// Starts an interface that responds with the page of `a` at once, and with the page of `b` once
/// `release` is notified. Watches never get a response.
async fn interface_with_delayed_page(release: Arc<Notify>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(http::serve(listener, move |request: hyper::Request<hyper::body::Incoming>| {
        let release = release.clone();
        async move {
            let name = match request.uri().path() {
                "/servers" => "a",
                "/servers/after/a" => {
                    release.notified().await;
                    "b"
                }
                // Watches never get a response.
                _ => std::future::pending().await,
            };
            hyper::Response::new(http::full(name))
        }
    }));
    address
}

async fn update(events: &mut mpsc::Receiver<Event>) -> Update {
    match events.recv().await {
        Some(Event::Updated(update)) => update,
        other => panic!("{other:?}"),
    }
}

fn names(update: &Update) -> Vec<&str> {
    update.objects.iter().map(|object| &*object.name).collect()
}

#[tokio::test]
async fn pages_of_the_first_list_are_emitted_before_it_is_complete() {
    let release = Arc::new(Notify::new());
    let address = interface_with_delayed_page(release.clone()).await;
    let client = Client::with_dialect(PAGED, address, Settings::default(), None);
    let settings = watcher::Settings { emit_pages: true, ..watcher::Settings::default() };

    let mut events = watcher::start(client, "servers", settings);
    let first = update(&mut events).await;
    release.notify_one();
    let second = update(&mut events).await;

    assert_eq!((first.is_snapshot, first.is_page, names(&first)), (false, true, vec!["a"]));
    assert_eq!((second.is_snapshot, second.is_page, names(&second)), (true, false, vec!["a", "b"]));
}

/// Starts an interface that responds with status 502 to the first `failures` requests for `path`,
/// and otherwise with the pages of `a` and `b`, but only to requests with [`Freshness::Any`].
async fn interface_with_failing_page(path: &'static str, failures: u32) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let failed = Arc::new(AtomicU32::new(0));
    tokio::spawn(http::serve(listener, move |request: hyper::Request<hyper::body::Incoming>| {
        let fails =
            request.uri().path() == path && failed.fetch_add(1, Ordering::SeqCst) < failures;
        let name = match (request.uri().path(), request.uri().query()) {
            ("/servers", Some("old")) => Some("a"),
            ("/servers/after/a", Some("old")) => Some("b"),
            _ => None,
        };
        async move {
            match name {
                Some(name) if !fails => hyper::Response::new(http::full(name)),
                Some(_) => {
                    let mut response = hyper::Response::new(http::full("cut"));
                    *response.status_mut() = hyper::StatusCode::BAD_GATEWAY;
                    response
                }
                // Watches and lists with `Freshness::Newest` never get a response.
                None => std::future::pending().await,
            }
        }
    }));
    address
}

#[tokio::test]
async fn a_first_list_is_retried_with_the_same_freshness() {
    let address = interface_with_failing_page("/servers", 1).await;
    let client = Client::with_dialect(PAGED, address, Settings::default(), None);
    let settings = watcher::Settings { first_list: Freshness::Any, ..watcher::Settings::default() };

    let mut events = watcher::start(client, "servers", settings);
    let failed = events.recv().await;
    let listed = update(&mut events).await;

    assert!(matches!(failed, Some(Event::Failed { .. })), "{failed:?}");
    assert_eq!((listed.is_snapshot, names(&listed)), (true, vec!["a", "b"]));
}

#[tokio::test]
async fn a_list_continues_after_a_page_whose_response_was_lost() {
    let address = interface_with_failing_page("/servers/after/a", 2).await;
    let client = Client::with_dialect(PAGED, address, Settings::default(), None);

    let list = client.list_paged("servers", Freshness::Any, |_| {}).await.expect("a list");

    let names: Vec<&str> = list.objects.iter().map(|object| &*object.name).collect();
    assert_eq!(names, ["a", "b"]);
}

/// Guards against a list that is read without end and grows, since a page doesn't continue after its name.
#[tokio::test]
async fn a_page_that_comes_again_ends_the_list_with_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let respond =
        |_: hyper::Request<hyper::body::Incoming>| async { hyper::Response::new(http::full("a")) };
    tokio::spawn(http::serve(listener, respond));
    let client = Client::with_dialect(PAGED, address, Settings::default(), None);

    let list =
        timeout(Duration::from_secs(5), client.list_paged("servers", Freshness::Any, |_| {}));

    assert!(matches!(list.await, Ok(Err(Error::Malformed(..)))));
}
