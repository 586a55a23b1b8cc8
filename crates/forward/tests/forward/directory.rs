//! Reading of the backend servers in the platform's store.

use crate::fixture::backend::{Backend, answer};
use crate::fixture::caller::{call, request};
use crate::fixture::{self, plain};
use chestnutrack_core::dispatch::Entry;
use chestnutrack_forward::follow::Follower;
use chestnutrack_forward::native;
use chestnutrack_process::http;
use chestnutrack_process::timer::Timer;
use chestnutrack_store::client::{Client, Settings};
use chestnutrack_store::dialect::{Dialect, Freshness, HttpRequest, OWN, Page};
use chestnutrack_store::error::Error;
use chestnutrack_store::object::{List, Object};
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// A dialect that lists backend servers in pages of one.
const PAGED: Dialect = Dialect { list, page, ..OWN };

/// Builds a list of a kind's objects after the name `after`.
fn list(kind: &str, after: Option<&str>, _: Freshness) -> Result<HttpRequest, Error> {
    Ok(http::request("GET", &format!("/{kind}/{}", after.unwrap_or_default()), "")?)
}

/// Parses a page that consists of one server's entry, and is followed by another page.
fn page(body: &[u8]) -> Result<Page, Error> {
    let entry: Entry = serde_json::from_slice(body).expect("an entry");
    let value = serde_json::to_value(&entry).expect("an entry");
    let object = Object { name: entry.name, version: 3, value: Some(value), age_ms: 0 };
    Ok(Page { list: List { version: 5, objects: vec![object] }, more: true })
}

/// Starts a store that answers only the first page of the servers.
async fn start_store(first: Entry) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let body = serde_json::to_string(&first).expect("an entry");
    tokio::spawn(http::serve(listener, move |request: hyper::Request<hyper::body::Incoming>| {
        let body = body.clone();
        async move {
            match request.uri().path() {
                "/backends/" => hyper::Response::new(http::full(body)),
                _ => std::future::pending().await,
            }
        }
    }));
    address
}

#[tokio::test]
async fn a_host_that_starts_uses_the_servers_of_the_first_page_before_the_rest_has_come() {
    let backend = Backend::start(|seen| vec![answer(seen, "200 OK", "fine")]).await;
    let host = fixture::host(Vec::new()).await;
    let address = start_store(plain("app-1", &backend)).await;
    let client = Client::with_dialect(PAGED, address, Settings::default(), None);
    let follower = Follower::new(host.app.clone(), native::DIRECTORY);

    tokio::spawn(follower.clone().follow_servers(client, Timer::start()));
    fixture::wait_until(|| !follower.has_no_servers()).await;
    let answer = call(host.address, &request("GET", "/look/1", "", "")).await;

    assert_eq!((answer.status, follower.is_up()), (200, false));
}
