//! Evacuated failure domains, as the store or peers tell them.

use crate::fixture::backend::{
    Backend, ReceivedRequest, Step, answer, answer_prefill, complete_stream,
};
use crate::fixture::caller::{call, generation, request};
use crate::fixture::store::{control, register, start_store_with_address};
use crate::fixture::{
    Host, app_with, decode, host_with_settings, plain, prefill, settings, wait_until,
};
use chestnutrack_core::dispatch::Entry;
use chestnutrack_forward::app::{self, App, EvacuationBounds};
use chestnutrack_forward::follow::{Follower, Host as PeerHost, Registration};
use chestnutrack_forward::mesh::Mesh;
use chestnutrack_forward::native;
use chestnutrack_process::http;
use chestnutrack_process::timer::Timer;
use chestnutrack_store::client::{self, Client};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

const KIND: &str = native::DIRECTORY.evacuations_kind;
/// Time after the store's confirmation in which requests may still reach an evacuated domain.
const IN_FORCE: Duration = Duration::from_millis(5_000);
/// Pause between requests, so that the organisation stays within its rate.
const PACE: Duration = Duration::from_millis(20);

/// Returns the settings of a host that follows evacuations.
fn following(name: &str) -> app::Settings {
    let bounds = EvacuationBounds { in_force: IN_FORCE, stretch: Duration::from_secs(6) };
    app::Settings { evacuation: Some(bounds), ..settings(name) }
}

/// Returns the entry of a server in a failure domain.
fn in_domain(domain: &str, entry: Entry) -> Entry {
    Entry { failure_domain: domain.into(), ..entry }
}

fn answer_ok(request: &ReceivedRequest) -> Vec<Step> {
    vec![answer(request, "200 OK", "fine")]
}

/// Starts two plain servers, to be listed in the domains `a` and `b`.
async fn two_backends() -> (Backend, Backend, Vec<Entry>) {
    let (a, b) = (Backend::start(answer_ok).await, Backend::start(answer_ok).await);
    let servers = vec![in_domain("a", plain("app-1", &a)), in_domain("b", plain("app-2", &b))];
    (a, b, servers)
}

/// Starts a host that follows evacuations in a store.
async fn start_host(servers: Vec<Entry>, client: &Client) -> (Host, Arc<Registration>) {
    let host = host_with_settings(following("host"), servers).await;
    let registration = register(&host.app, client).await;
    (host, registration)
}

/// Sends some requests and returns the statuses of the answers.
async fn statuses(host: &Host) -> Vec<u16> {
    let mut statuses = Vec::new();
    for _ in 0..8 {
        statuses.push(call(host.address, &request("GET", "/look/1", "", "")).await.status);
        tokio::time::sleep(PACE).await;
    }
    statuses
}

/// Waits until a host knows that this number of domains is evacuated, and returns how long that took.
async fn until_evacuated(app: &App, domains: i64) -> Duration {
    let since = Instant::now();
    wait_until(|| app.metrics.evacuated_domains.get() == domains).await;
    since.elapsed()
}

// Guards against requests to an evacuated domain after the bound, and to one whose evacuation has ended that get no requests.
#[tokio::test]
async fn an_evacuated_domain_gets_no_requests_until_its_object_is_removed() {
    let (client, _) = start_store_with_address().await;
    let (a, b, servers) = two_backends().await;
    let (host, _registration) = start_host(servers, &client).await;
    wait_until(|| host.app.ready.get()).await;

    let version = client.create(KIND, "a", &json!({})).await.unwrap();
    let took = until_evacuated(&host.app, 1).await;
    let before = a.received().len();
    let during = statuses(&host).await;
    let kept = (a.received().len(), b.received().len());
    client.delete(KIND, "a", version).await.unwrap();
    until_evacuated(&host.app, 0).await;
    while a.received().len() == before {
        statuses(&host).await;
    }

    assert!(took < IN_FORCE, "{took:?}");
    assert_eq!((during, kept), (vec![200; 8], (before, 8)));
}

// Guards against objects that evacuate nothing because their value can't be read.
#[tokio::test]
async fn the_name_of_an_object_alone_evacuates_a_domain() {
    let values = [Value::Null, json!(7), json!("a"), json!({ "until": -1, "zones": [[]] })];
    for value in values {
        let (client, _) = start_store_with_address().await;
        let (a, _b, servers) = two_backends().await;
        client.create(KIND, "a", &value).await.unwrap();
        let (host, _registration) = start_host(servers, &client).await;

        until_evacuated(&host.app, 1).await;
        let statuses = statuses(&host).await;

        assert_eq!((statuses, a.received().len()), (vec![200; 8], 0), "{value}");
    }
}

// Guards against a host that starts during an evacuation and sends requests before it has read the list.
#[tokio::test]
async fn a_host_that_starts_sends_nothing_before_it_has_read_the_list() {
    let (client, _) = start_store_with_address().await;
    let (a, _b, servers) = two_backends().await;
    client.create(KIND, "a", &json!({})).await.unwrap();
    let host = host_with_settings(following("host"), servers).await;

    let unknown = call(host.address, &request("GET", "/look/1", "", "")).await;
    let was_ready = host.app.ready.get();
    let _registration = register(&host.app, &client).await;
    wait_until(|| host.app.ready.get()).await;
    let known = statuses(&host).await;

    assert_eq!((unknown.status, unknown.header("retry-after")), (503, Some("1.000")));
    assert_eq!((was_ready, known, a.received().len()), (false, vec![200; 8], 0));
}

/// Starts the mesh of a host that reads evacuations from `store`. Returns the mesh and its address.
async fn start_mesh(app: &Arc<App>, store: SocketAddr) -> (Arc<Mesh>, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let follower = Follower::new(app.clone(), native::DIRECTORY);
    let client = Client::new(store, client::Settings::default(), None);
    tokio::spawn(follower.clone().follow_evacuations(client));
    let mesh = Mesh::new(app.clone(), follower, address);
    tokio::spawn(mesh.clone().accept(listener));
    tokio::spawn(mesh.clone().run_gossip(Timer::start()));
    (mesh, address)
}

/// Returns an address that refuses connections.
async fn refusing_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

// Guards against a host that the store does not answer: it must learn of evacuations, and of their end, from its peers.
#[tokio::test]
async fn a_host_that_the_store_does_not_answer_learns_of_evacuations_from_a_peer() {
    let (client, store) = start_store_with_address().await;
    let (a, _b, servers) = two_backends().await;
    let told = host_with_settings(following("told"), servers).await;
    let telling = app_with(following("telling"));
    let (mesh, _) = start_mesh(&telling, store).await;
    let (_told_mesh, address) = start_mesh(&told.app, refusing_address().await).await;
    let peer = PeerHost { incarnation: 1, address };
    mesh.update_hosts([("told".into(), Some(peer))]);
    wait_until(|| told.app.ready.get()).await;

    let version = client.create(KIND, "a", &json!({})).await.unwrap();
    let took = until_evacuated(&told.app, 1).await;
    let before = a.received().len();
    let during = statuses(&told).await;
    let kept = a.received().len();
    client.delete(KIND, "a", version).await.unwrap();
    until_evacuated(&told.app, 0).await;

    assert!(took < IN_FORCE, "{took:?}");
    assert_eq!((during, kept), (vec![200; 8], before));
}

// Guards against calls to the store, and any other change, where the settings don't state the bound.
#[tokio::test]
async fn without_the_bound_a_host_neither_asks_for_evacuations_nor_believes_a_peer() {
    let (client, store) = start_store_with_address().await;
    let (a, _b, servers) = two_backends().await;
    client.create(KIND, "a", &json!({})).await.unwrap();
    let host = host_with_settings(settings("plain"), servers).await;
    let telling = app_with(following("telling"));
    let (mesh, _) = start_mesh(&telling, store).await;
    let (_mesh, address) = start_mesh(&host.app, store).await;
    mesh.update_hosts([("plain".into(), Some(PeerHost { incarnation: 1, address }))]);
    until_evacuated(&telling, 1).await;
    // The peer's next heartbeat.
    tokio::time::sleep(Duration::from_millis(700)).await;

    let statuses = statuses(&host).await;

    assert!(host.app.ready.get());
    assert_eq!((statuses, host.app.metrics.evacuated_domains.get()), (vec![200; 8], 0));
    assert!(!a.received().is_empty());
}

// Guards against requests in flight that are cut off, and against an operator who can't see when a domain is empty.
#[tokio::test]
async fn a_request_in_flight_ends_by_itself_and_is_counted_until_then() {
    let (client, _) = start_store_with_address().await;
    let slow = Backend::start(|received| {
        vec![Step::Wait(Duration::from_millis(1_500)), answer(received, "200 OK", "fine")]
    })
    .await;
    let servers = vec![in_domain("a", plain("app-1", &slow))];
    let (host, _registration) = start_host(servers, &client).await;
    wait_until(|| host.app.ready.get()).await;
    let address = host.address;
    let calling =
        tokio::spawn(async move { call(address, &request("GET", "/look/1", "", "")).await });
    wait_until(|| slow.received().len() == 1).await;

    client.create(KIND, "a", &json!({})).await.unwrap();
    until_evacuated(&host.app, 1).await;
    let in_flight = host.app.metrics.evacuated_in_flight.get();
    let refused = call(host.address, &request("GET", "/look/1", "", "")).await;
    let answer = calling.await.unwrap();

    assert_eq!((in_flight, answer.status, slow.received().len()), (1, 200, 1));
    assert_eq!((refused.status, refused.header("retry-after")), (503, Some("8.000")));
    assert_eq!(host.app.metrics.evacuation_withheld.with_label_values(&["refusal"]).get(), 1);
    wait_until(|| host.app.metrics.evacuated_in_flight.get() == 0).await;
}

// Guards against a generation whose engine was chosen before its domain was evacuated.
#[tokio::test]
async fn a_generation_is_placed_anew_if_its_domain_is_evacuated_while_the_prompt_is_prefilled() {
    let (client, _) = start_store_with_address().await;
    let prefilling = Backend::start(|received| {
        let mut steps = vec![Step::Wait(Duration::from_millis(1_000))];
        steps.extend(answer_prefill(received));
        steps
    })
    .await;
    let (first, second) =
        (Backend::start(complete_stream).await, Backend::start(complete_stream).await);
    let servers = vec![
        in_domain("b", prefill("p-1", &prefilling)),
        // The host is in the domain `default`, which it prefers.
        in_domain("default", decode("d-1", &first)),
        in_domain("b", decode("d-2", &second)),
    ];
    let (host, _registration) = start_host(servers, &client).await;
    wait_until(|| host.app.ready.get()).await;
    let address = host.address;
    let calling = tokio::spawn(async move { call(address, &generation("/digest/1")).await });
    wait_until(|| !prefilling.received().is_empty()).await;

    client.create(KIND, "default", &json!({})).await.unwrap();
    until_evacuated(&host.app, 1).await;
    let answer = calling.await.unwrap();

    assert_eq!((answer.status, answer.complete), (200, true));
    assert_eq!((first.request_count(), first.reports()), (0, 0));
    let withheld = &host.app.metrics.evacuation_withheld;
    assert_eq!(withheld.with_label_values(&["request"]).get(), 1);
}

// Guards against a store that was restored from a copy without the evacuation that is in force.
#[tokio::test]
async fn an_evacuation_that_a_restored_store_has_lost_stays_in_force() {
    let (client, store) = start_store_with_address().await;
    let (a, _b, servers) = two_backends().await;
    control(store, "copy").await;
    let (host, _registration) = start_host(servers, &client).await;
    client.create(KIND, "a", &json!({})).await.unwrap();
    until_evacuated(&host.app, 1).await;
    let before = a.received().len();

    control(store, "restore").await;
    // The next object in the new epoch shows that the host follows the restored store.
    client.list(KIND).await.unwrap();
    let version = client.create(KIND, "c", &json!({})).await.unwrap();
    until_evacuated(&host.app, 2).await;
    client.delete(KIND, "c", version).await.unwrap();
    until_evacuated(&host.app, 1).await;
    let statuses = statuses(&host).await;

    assert_eq!((statuses, a.received().len()), (vec![200; 8], before));
}

/// Starts a store that lists no evacuation until `is_listed` is set, and the domain `a` then. It counts watches in
/// `watches`, and answers none.
async fn start_silent_store(is_listed: Arc<AtomicBool>, watches: Arc<AtomicU32>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(http::serve(listener, move |request: hyper::Request<hyper::body::Incoming>| {
        let (is_listed, watches) = (is_listed.clone(), watches.clone());
        async move {
            if !request.uri().path().starts_with("/v1/objects/") {
                watches.fetch_add(1, Ordering::Relaxed);
                std::future::pending::<()>().await;
            }
            let object = json!({ "name": "a", "version": 6, "value": {}, "age_ms": 0 });
            let (version, objects) = match is_listed.load(Ordering::Relaxed) {
                true => (6, vec![object]),
                false => (5, vec![]),
            };
            let list = json!({ "version": version, "objects": objects });
            hyper::Response::new(http::full(list.to_string()))
        }
    }));
    address
}

// Guards against a watch that the store has dropped silently, in a large fleet whose watches wait for long.
#[tokio::test]
async fn evacuations_are_listed_again_when_a_peer_s_call_to_the_store_went_unanswered() {
    let (is_listed, watches) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(0)));
    let store = start_silent_store(is_listed.clone(), watches.clone()).await;
    let app = app_with(following("host"));
    let follower = Follower::new(app.clone(), native::DIRECTORY);
    follower.set_hosts(30);
    let client = Client::new(store, client::Settings::default(), None);
    tokio::spawn(follower.clone().follow_evacuations(client));
    wait_until(|| watches.load(Ordering::Relaxed) == 1).await;

    is_listed.store(true, Ordering::Relaxed);
    tokio::time::sleep(PACE).await;
    follower.apply_peer_doubt(Some(0), false);
    let took = until_evacuated(&app, 1).await;

    assert!(took < IN_FORCE, "{took:?}");
}
