//! Lists that come in pages.

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
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc};

const PAGED: Dialect = Dialect { list, page, ..OWN };

fn list(kind: &str, after: Option<&str>, freshness: Freshness) -> Result<HttpRequest, Error> {
    let target = match after {
        Some(after) => format!("/{kind}/after/{after}"),
        None => format!("/{kind}"),
    };
    let freshness = if freshness == Freshness::Any { "?old" } else { "" };
    Ok(http::request("GET", &format!("{target}{freshness}"), "")?)
}

/// The page of `a` is followed by that of `b`.
fn page(body: &[u8]) -> Result<Page, Error> {
    let name = std::str::from_utf8(body).expect("text");
    let object = Object { name: name.into(), version: 3, value: Some(json!(1)), age_ms: 0 };
    Ok(Page { list: List { version: 5, objects: vec![object] }, more: name == "a" })
}

/// An interface whose second page waits until it is released.
async fn interface(release: Arc<Notify>) -> SocketAddr {
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
                // A watch waits for good.
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
async fn pages_of_the_first_list_are_handed_out_before_it_is_whole() {
    let release = Arc::new(Notify::new());
    let address = interface(release.clone()).await;
    let client = Client::with_dialect(PAGED, address, Settings::default(), None);
    let settings = watcher::Settings { emit_pages: true, ..watcher::Settings::default() };

    let mut events = watcher::start(client, "servers", settings);
    let first = update(&mut events).await;
    release.notify_one();
    let second = update(&mut events).await;

    assert_eq!((first.is_snapshot, first.is_page, names(&first)), (false, true, vec!["a"]));
    assert_eq!((second.is_snapshot, second.is_page, names(&second)), (true, false, vec!["a", "b"]));
}

/// An interface that fails the first calls for the page of `path`, and lists `a` and `b` otherwise, where
/// an old list will do.
async fn failing(path: &'static str, failures: u32) -> SocketAddr {
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
                // A list of now, as a watch, waits for good.
                None => std::future::pending().await,
            }
        }
    }));
    address
}

#[tokio::test]
async fn a_first_list_that_failed_may_be_as_old_when_it_is_asked_for_again() {
    let address = failing("/servers", 1).await;
    let client = Client::with_dialect(PAGED, address, Settings::default(), None);
    let settings = watcher::Settings { first_list: Freshness::Any, ..watcher::Settings::default() };

    let mut events = watcher::start(client, "servers", settings);
    let failed = events.recv().await;
    let listed = update(&mut events).await;

    assert!(matches!(failed, Some(Event::Failed { .. })), "{failed:?}");
    assert_eq!((listed.is_snapshot, names(&listed)), (true, vec!["a", "b"]));
}

#[tokio::test]
async fn a_list_goes_on_after_a_page_whose_answer_was_lost() {
    let address = failing("/servers/after/a", 2).await;
    let client = Client::with_dialect(PAGED, address, Settings::default(), None);

    let list = client.list_paged("servers", Freshness::Any, |_| {}).await.expect("a list");

    let names: Vec<&str> = list.objects.iter().map(|object| &*object.name).collect();
    assert_eq!(names, ["a", "b"]);
}
