//! Lists that come in pages.

use chestnutrack_process::http;
use chestnutrack_store::client::{Client, Settings};
use chestnutrack_store::dialect::{Age, Call, Dialect, OWN, Page};
use chestnutrack_store::error::Error;
use chestnutrack_store::object::{List, Object};
use chestnutrack_store::watcher::{self, Event, Update};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc};

const PAGED: Dialect = Dialect { list, page, ..OWN };

fn list(kind: &str, after: Option<&str>, _: Age) -> Result<Call, Error> {
    let target = match after {
        Some(after) => format!("/{kind}/after/{after}"),
        None => format!("/{kind}"),
    };
    Ok(http::request("GET", &target, "")?)
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
    let client = Client::speaking(PAGED, address, Settings::default(), None);
    let settings = watcher::Settings { pages: true, ..watcher::Settings::default() };

    let mut events = watcher::start(client, "servers", settings);
    let first = update(&mut events).await;
    release.notify_one();
    let second = update(&mut events).await;

    assert_eq!((first.whole, first.is_part, names(&first)), (false, true, vec!["a"]));
    assert_eq!((second.whole, second.is_part, names(&second)), (true, false, vec!["a", "b"]));
}
