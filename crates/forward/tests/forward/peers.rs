//! Hosts that exchange their state.

use crate::fixture::backend::{Backend, answer};
use crate::fixture::caller::{call, request};
use crate::fixture::{self, Host, app_with, config, host, plain, settings, wait_until};
use chestnutrack_core::allowance;
use chestnutrack_core::cell::Cell;
use chestnutrack_forward::app;
use chestnutrack_forward::follow::{Directory, Follower, Host as PeerHost};
use chestnutrack_forward::mesh::Mesh;
use chestnutrack_process::timer::Timer;
use chestnutrack_wire::connection;
use chestnutrack_wire::frame::{self, Frame, HostReport, News};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

const DIRECTORY: Directory = Directory {
    config_kind: "config",
    config_name: "main",
    config: |_| Ok(config()),
    servers_kind: "servers",
    server: |_, _| Err("none".to_owned()),
    hosts_kind: "hosts",
    leases_kind: "leases",
    evacuations_kind: "evacuations",
    origins_kind: "origins",
};

/// Starts a mesh without peers that never calls the store. Returns it and its address.
async fn start_mesh(app: &Arc<app::App>) -> (Arc<Mesh>, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let follower = Follower::new(app.clone(), DIRECTORY);
    let mesh = Mesh::new(app.clone(), follower, address);
    tokio::spawn(mesh.clone().accept(listener));
    tokio::spawn(mesh.clone().run_gossip(Timer::start()));
    (mesh, address)
}

fn peer_host(address: SocketAddr) -> PeerHost {
    PeerHost { incarnation: 1, address }
}

/// Starts a host with a plain backend server that answers every request.
async fn serving_host(name: &str) -> (Host, Backend) {
    let backend = Backend::start(|seen| vec![answer(seen, "200 OK", "fine")]).await;
    (host(vec![plain(name, &backend)]).await, backend)
}

#[tokio::test]
async fn tokens_spent_at_one_host_are_not_available_at_another() {
    let ((first, _one), (second, _two)) =
        (serving_host("app-1").await, serving_host("app-2").await);
    let other = fixture::app("other");
    other.configure(config(), b"{}".to_vec());
    let (mesh, _) = start_mesh(&first.app).await;
    let (_other_mesh, address) = start_mesh(&other).await;
    mesh.update_hosts([("other".into(), Some(peer_host(address)))]);

    let large = request("POST", "/pay/7", "x-chestnutrack-tokens: 9900,50\r\n", "");
    let spent = call(first.address, &large).await;

    assert_eq!(spent.status, 200);
    wait_until(|| other.debit(&"orchard".into(), 1_000).is_err()).await;
    // A host without peers does not know of the spending.
    assert_eq!(call(second.address, &large).await.status, 200);
}

#[tokio::test]
async fn a_starting_host_adopts_the_accounts_of_a_peer() {
    let mut slow = config();
    slow.organisations[0].rate = 100;
    let old = fixture::app("old");
    let new = app_with(app::Settings {
        is_fleet_first_start: false,
        allowance: allowance::Settings {
            window: Duration::from_secs(30),
            ..allowance::Settings::default()
        },
        ..settings("new")
    });
    old.configure(slow.clone(), b"{}".to_vec());
    new.configure(slow, b"{}".to_vec());
    let early_debit = new.debit(&"orchard".into(), 9_000);
    let (old_mesh, _) = start_mesh(&old).await;
    let (_new_mesh, address) = start_mesh(&new).await;

    old_mesh.update_hosts([("new".into(), Some(peer_host(address)))]);

    // On its own the host would accrue 2,000 tokens in all the time that the test waits.
    assert!(early_debit.is_err());
    wait_until(|| new.debit(&"orchard".into(), 9_000).is_ok()).await;
}

// Guards against a share of allowances that is reserved for nobody, when another host's address leads back to this one.
#[tokio::test]
async fn a_host_that_reaches_itself_does_not_count_itself_among_its_peers() {
    let app = fixture::app("host");
    app.configure(config(), b"{}".to_vec());
    let (mesh, own_address) = start_mesh(&app).await;

    mesh.update_hosts([("other".into(), Some(peer_host(own_address)))]);

    wait_until(|| app.metrics.reserved_per_mille.get() > 0).await;
    assert_eq!(app.metrics.reserved_per_mille.get(), 500);
}

#[tokio::test]
async fn a_fleet_of_more_than_one_cell_keeps_connections_to_its_own_cell_only() {
    let app = fixture::app("host-0");
    let (mesh, _) = start_mesh(&app).await;
    let others =
        (1..=99).map(|n| (format!("host-{n}").into(), Some(peer_host(([127, 0, 0, 1], 9).into()))));

    mesh.update_hosts(others);

    let cell = Cell::of("host-0", 100);
    let own = (1..=99).filter(|n| cell.contains(&format!("host-{n}"))).count();
    assert_eq!((mesh.peer_count(), mesh.other_host_count()), (own, 99));
    assert!((10..60).contains(&own), "{own}");
}

#[tokio::test]
async fn a_configuration_passes_from_a_host_that_has_it_to_one_that_has_none() {
    let (configured_app, unconfigured_app) = (fixture::app("with"), fixture::app("without"));
    configured_app.configure(config(), b"{\"version\":1}".to_vec());
    let (mesh, _) = start_mesh(&configured_app).await;
    let (_other_mesh, address) = start_mesh(&unconfigured_app).await;

    mesh.update_hosts([("without".into(), Some(peer_host(address)))]);

    wait_until(|| unconfigured_app.version() == 1).await;
}

#[tokio::test]
async fn a_host_that_the_store_does_not_answer_has_no_rank_for_orders() {
    let (mesh, _) = start_mesh(&fixture::app("host-0")).await;

    assert_eq!(mesh.rank(), None);
}

/// Returns an address that refuses connections.
async fn refusing_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

// Guards against a partition that answers with resets: each side took refused connections for the end of the other, and
// spent the whole allowance. A restart under the same name is what shows that the earlier process has ended.
#[tokio::test]
async fn the_share_of_a_peer_that_refuses_connections_stays_reserved_until_it_has_restarted() {
    let app = fixture::app("host");
    app.configure(config(), b"{}".to_vec());
    let (mesh, address) = start_mesh(&app).await;

    mesh.update_hosts([("other".into(), Some(peer_host(refusing_address().await)))]);
    wait_until(|| app.metrics.reserved_per_mille.get() == 500).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let reserved_later = app.metrics.reserved_per_mille.get();
    let restarted = app_with(app::Settings { incarnation: 2, ..settings("other") });
    let (restarted_mesh, _) = start_mesh(&restarted).await;
    restarted_mesh.update_hosts([("host".into(), Some(peer_host(address)))]);

    assert_eq!((reserved_later, app.metrics.refused_peers.get()), (500, 1));
    wait_until(|| app.metrics.reserved_per_mille.get() == 0).await;
}

// Guards against spending that is debited again when a peer is removed and comes back: requests within the rate were
// refused for as long as the peer had run.
#[tokio::test]
async fn the_spending_of_a_peer_that_is_removed_and_comes_back_is_debited_once() {
    let mut slow = config();
    slow.organisations[0].rate = 10;
    let (here, other) = (fixture::app("here"), fixture::app("other"));
    here.configure(slow.clone(), b"{}".to_vec());
    other.configure(slow, b"{}".to_vec());
    let (mesh, here_address) = start_mesh(&here).await;
    let (other_mesh, address) = start_mesh(&other).await;
    mesh.update_hosts([("other".into(), Some(peer_host(address)))]);
    other_mesh.update_hosts([("here".into(), Some(peer_host(here_address)))]);
    wait_until(|| here.metrics.peers.get() == 1).await;
    other.debit(&"orchard".into(), 6_000).unwrap();
    // Only 4,000 tokens, and those accrued since, are left here once the report has arrived.
    wait_until(|| {
        let is_reported = here.debit(&"orchard".into(), 5_000).is_err();
        if !is_reported {
            here.refund(&"orchard".into(), 5_000);
        }
        is_reported
    })
    .await;

    for _ in 0..2 {
        mesh.update_hosts([("other".into(), None)]);
        mesh.update_hosts([("other".into(), Some(peer_host(address)))]);
        wait_until(|| here.metrics.peers.get() == 1).await;
        tokio::time::sleep(Duration::from_millis(1_100)).await;
    }

    assert_eq!(here.debit(&"orchard".into(), 3_800), Ok(()));
}

/// Returns the state of a host that joins a running fleet.
fn joining(name: &str) -> Arc<app::App> {
    let app = app_with(app::Settings { is_fleet_first_start: false, ..settings(name) });
    app.configure(config(), b"{}".to_vec());
    app
}

// Guards against hosts that are added just before an outage of the store: they knew the older hosts, but not each other,
// and each spent beside the others.
#[tokio::test]
async fn hosts_that_are_added_without_the_store_find_each_other_through_a_common_peer() {
    let old = fixture::app("old");
    old.configure(config(), b"{}".to_vec());
    let (old_mesh, _) = start_mesh(&old).await;
    let added = [joining("new-1"), joining("new-2"), joining("new-3")];
    let mut meshes = Vec::new();
    for (app, name) in added.iter().zip(["new-1", "new-2", "new-3"]) {
        let (mesh, address) = start_mesh(app).await;
        old_mesh.update_hosts([(name.into(), Some(peer_host(address)))]);
        meshes.push(mesh);
    }

    // The test's hosts listen on different ports, so that none can connect to `old`, which is counted too.
    wait_until(|| meshes.iter().all(|mesh| mesh.peer_count() == 3)).await;
    wait_until(|| added.iter().all(|app| app.metrics.peers.get() == 3)).await;
    wait_until(|| added.iter().all(|app| app.metrics.reserved_per_mille.get() == 0)).await;
}

// Guards against a host without the list of hosts that spends before it has heard any other one.
#[tokio::test]
async fn a_host_that_joins_spends_little_before_it_hears_another() {
    let app = joining("new");
    let (_mesh, address) = start_mesh(&app).await;
    wait_until(|| app.metrics.reserved_per_mille.get() > 900).await;

    let (other_mesh, _) = start_mesh(&fixture::app("other")).await;
    other_mesh.update_hosts([("new".into(), Some(peer_host(address)))]);

    wait_until(|| app.metrics.reserved_per_mille.get() == 0).await;
}

// Guards against a share that stays reserved for ten seconds after a planned stop, and against a list of hosts that
// brings the stopped process back.
#[tokio::test]
async fn a_host_that_stops_in_order_releases_its_share_at_once() {
    let (here, stopping) = (fixture::app("here"), fixture::app("stopping"));
    let (mesh, here_address) = start_mesh(&here).await;
    let (stopping_mesh, address) = start_mesh(&stopping).await;
    mesh.update_hosts([("stopping".into(), Some(peer_host(address)))]);
    stopping_mesh.update_hosts([("here".into(), Some(peer_host(here_address)))]);
    wait_until(|| here.metrics.peers.get() == 1).await;

    stopping_mesh.announce_stop().await;
    wait_until(|| mesh.peer_count() == 0).await;
    mesh.update_hosts([("stopping".into(), Some(peer_host(address)))]);
    let listed_again = mesh.peer_count();
    let restarted = PeerHost { incarnation: 2, address };
    mesh.update_hosts([("stopping".into(), Some(restarted))]);

    assert_eq!((listed_again, mesh.peer_count()), (0, 1));
}

// Guards against a malformed address in gossip that ends the connection or adds a host.
#[tokio::test]
async fn a_host_that_is_named_with_an_unreadable_address_is_ignored() {
    let app = fixture::app("here");
    let (mesh, address) = start_mesh(&app).await;
    let connection = connection::connect(address, None).await.unwrap();
    let sender = frame::Sender { name: "other".into(), incarnation: 1 };
    let hello = Frame::Hello { version: frame::VERSION, sender, configuration: 0 };
    let named = |name: &str, address: &str| HostReport {
        name: name.into(),
        incarnation: 1,
        address: address.into(),
    };
    let hosts = vec![
        named("bad", "no address"),
        named("here", "127.0.0.1:9"),
        named("good", "127.0.0.1:9"),
        named("none", ""),
        named("port-0", "127.0.0.1:0"),
        named("multicast", "224.0.0.1:80"),
    ];
    let news = News { hosts, fleet_size: u32::MAX, ..News::default() };

    connection.sender.send(&hello).unwrap();
    connection.sender.send(&Frame::News(Box::new(news))).unwrap();

    wait_until(|| mesh.other_host_count() == 2).await;
    assert_eq!(app.metrics.host_changes.with_label_values(&["named"]).get(), 1);
}
