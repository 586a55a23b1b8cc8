//! Hosts that tell each other what they know.

use crate::fixture::backend::{Backend, answer};
use crate::fixture::caller::{call, request};
use crate::fixture::{self, Host, app_with, config, host, plain, settings, wait_until};
use chestnutrack_core::allowance;
use chestnutrack_core::cell::Cell;
use chestnutrack_forward::app;
use chestnutrack_forward::follow::{Directory, Follower, Host as Met};
use chestnutrack_forward::mesh::Mesh;
use chestnutrack_process::timer::Timer;
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
};

async fn mesh(app: &Arc<app::App>) -> (Arc<Mesh>, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let follower = Follower::new(app.clone(), DIRECTORY);
    let mesh = Mesh::new(app.clone(), follower, address.port());
    tokio::spawn(mesh.clone().accept(listener));
    tokio::spawn(mesh.clone().publish(Timer::start()));
    (mesh, address)
}

fn met(address: SocketAddr) -> Met {
    Met { incarnation: 1, address }
}

async fn serving(name: &str) -> (Host, Backend) {
    let backend = Backend::start(|seen| vec![answer(seen, "200 OK", "fine")]).await;
    (host(vec![plain(name, &backend)]).await, backend)
}

#[tokio::test]
async fn what_one_host_spends_is_gone_at_the_other() {
    let ((first, _one), (second, _two)) = (serving("app-1").await, serving("app-2").await);
    let other = fixture::app("other");
    other.configure(config(), b"{}".to_vec());
    let (here, _) = mesh(&first.app).await;
    let (_there, address) = mesh(&other).await;
    here.learn([("other".into(), Some(met(address)))]);

    let large = request("POST", "/pay/7", "x-chestnutrack-tokens: 9900,50\r\n", "");
    let spent = call(first.address, &large).await;

    assert_eq!(spent.status, 200);
    wait_until(|| other.debit(&"orchard".into(), 1_000).is_err()).await;
    // A host that hears nobody knows nothing of it.
    assert_eq!(call(second.address, &large).await.status, 200);
}

#[tokio::test]
async fn a_host_that_starts_beside_another_takes_its_accounts_over() {
    let mut slow = config();
    slow.organisations[0].rate = 100;
    let old = fixture::app("old");
    let new = app_with(app::Settings {
        first_start: false,
        allowance: allowance::Settings {
            window: Duration::from_secs(30),
            ..allowance::Settings::default()
        },
        ..settings("new")
    });
    old.configure(slow.clone(), b"{}".to_vec());
    new.configure(slow, b"{}".to_vec());
    let before = new.debit(&"orchard".into(), 9_000);
    let (here, _) = mesh(&old).await;
    let (_there, address) = mesh(&new).await;

    here.learn([("new".into(), Some(met(address)))]);

    // By itself it would have saved up 2,000 in all the time that is waited.
    assert!(before.is_err());
    wait_until(|| new.debit(&"orchard".into(), 9_000).is_ok()).await;
}

#[tokio::test]
async fn a_fleet_of_more_than_one_cell_keeps_connections_to_its_own_cell_only() {
    let here = fixture::app("host-0");
    let (mesh, _) = mesh(&here).await;
    let others =
        (1..=99).map(|n| (format!("host-{n}").into(), Some(met(([127, 0, 0, 1], 9).into()))));

    mesh.learn(others);

    let cell = Cell::of("host-0", 100);
    let own = (1..=99).filter(|n| cell.contains(&format!("host-{n}"))).count();
    assert_eq!((mesh.connected(), mesh.others()), (own, 99));
    assert!((10..60).contains(&own), "{own}");
}

#[tokio::test]
async fn a_configuration_passes_from_a_host_that_has_it_to_one_that_has_none() {
    let (with, without) = (fixture::app("with"), fixture::app("without"));
    with.configure(config(), b"{\"version\":1}".to_vec());
    let (here, _) = mesh(&with).await;
    let (_there, address) = mesh(&without).await;

    here.learn([("without".into(), Some(met(address)))]);

    wait_until(|| without.version() == 1).await;
}

#[tokio::test]
async fn a_host_that_the_store_does_not_answer_stands_in_no_line_for_orders() {
    let (mesh, _) = mesh(&fixture::app("host-0")).await;

    assert_eq!(mesh.rank(), None);
}
