//! Registration of hosts in the platform's store, and removal of a host that is lost.

use crate::fixture::store::{
    HOSTS, control, host_at, register, set_down, start_store, start_store_with_address,
};
use crate::fixture::{app_with, config, settings, wait_until};
use chestnutrack_core::roster;
use chestnutrack_forward::app::{self, App};
use chestnutrack_forward::config::Config;
use chestnutrack_forward::follow::{Host, Registration};
use chestnutrack_forward::native;
use chestnutrack_store::client::Client;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Starts a host that registers itself, watches the other hosts and removes lost ones.
async fn start_listed_host(name: &str, client: &Client) -> (Arc<App>, Arc<Registration>) {
    let roster = roster::Settings {
        lost_after: Duration::from_millis(2_500),
        removal_delay: Duration::from_millis(500),
        ..roster::Settings::default()
    };
    let app = app_with(app::Settings { roster, ..settings(name) });
    let registration = register(&app, client).await;
    (app, registration)
}

/// Returns the entry of a host in the store, if there is one.
async fn entry(client: &Client, name: &str) -> Option<Value> {
    client.read(HOSTS, name).await.ok()?.value
}

/// Waits until the entry of a host exists, or doesn't exist.
async fn until_listed(client: &Client, name: &str, is_listed: bool) {
    let waiting = async {
        while entry(client, name).await.is_some() != is_listed {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), waiting)
        .await
        .expect("listed or unlisted in time");
}

#[tokio::test]
async fn a_permanently_lost_host_releases_its_share_of_allowances() {
    let client = start_store().await;
    // The host `lost` accepts connections and sends nothing.
    let lost = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = lost.local_addr().unwrap();
    client.create(HOSTS, "lost", &json!(host_at(address))).await.unwrap();

    let (first, _first_registration) = start_listed_host("first", &client).await;
    let (second, _second_registration) = start_listed_host("second", &client).await;
    wait_until(|| {
        first.metrics.reserved_per_mille.get() == 333
            && second.metrics.reserved_per_mille.get() == 333
    })
    .await;
    until_listed(&client, "lost", false).await;

    wait_until(|| {
        first.metrics.reserved_per_mille.get() == 0 && second.metrics.reserved_per_mille.get() == 0
    })
    .await;
    assert!(entry(&client, "first").await.is_some() && entry(&client, "second").await.is_some());
}

#[tokio::test]
async fn a_host_that_was_marked_as_lost_registers_again() {
    let client = start_store().await;
    let (_app, _registration) = start_listed_host("here", &client).await;
    until_listed(&client, "here", true).await;
    let original = client.read(HOSTS, "here").await.unwrap();
    let mut marked = original.value.clone().unwrap();
    marked["lost"] = json!(true);

    client.replace(HOSTS, "here", original.version, &marked).await.unwrap();

    let restored = async {
        while entry(&client, "here").await != original.value {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), restored).await.expect("listed again in time");
}

#[tokio::test]
async fn a_host_that_shuts_down_deletes_its_entry() {
    let client = start_store().await;
    let (_app, registration) = start_listed_host("here", &client).await;
    until_listed(&client, "here", true).await;
    // Wait until the answer to the write has reached the host.
    tokio::time::sleep(Duration::from_millis(100)).await;

    registration.deregister().await;

    assert_eq!(entry(&client, "here").await, None);
}

#[tokio::test]
async fn a_host_that_left_while_the_store_was_down_is_removed() {
    let (client, address) = start_store_with_address().await;
    let unreachable = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let entry = json!(host_at(unreachable.local_addr().unwrap()));
    let version = client.create(HOSTS, "left", &entry).await.unwrap();
    let (app, _registration) = start_listed_host("here", &client).await;
    wait_until(|| app.metrics.reserved_per_mille.get() == 500).await;

    set_down(address, true).await;
    // Longer than the pause between two calls, so that the host's watches are cut.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    set_down(address, false).await;
    client.delete(HOSTS, "left", version).await.unwrap();

    wait_until(|| app.metrics.reserved_per_mille.get() == 0).await;
}

#[tokio::test]
async fn hosts_whose_entries_a_restored_store_has_lost_are_written_again_and_kept() {
    // If the hosts took each other for gone meanwhile, each would spend the whole of an allowance.
    let (client, address) = start_store_with_address().await;
    let (first, _first_registration) = start_listed_host("first", &client).await;
    control(address, "copy").await;
    let (second, _second_registration) = start_listed_host("second", &client).await;
    wait_until(|| first.metrics.peers.get() == 1 && second.metrics.peers.get() == 1).await;

    control(address, "restore").await;
    let lost = entry(&client, "second").await;
    until_listed(&client, "second", true).await;

    assert_eq!(lost, None);
    assert_eq!((first.metrics.peers.get(), second.metrics.peers.get()), (1, 1));
}

#[tokio::test]
async fn a_host_replaces_the_entry_of_an_earlier_process_that_a_restored_store_holds() {
    let (client, address) = start_store_with_address().await;
    let earlier = Host { incarnation: 7, ..host_at(address) };
    client.create(HOSTS, "here", &json!(earlier)).await.unwrap();
    control(address, "copy").await;
    let (_app, _registration) = start_listed_host("here", &client).await;
    let own = async {
        loop {
            let found = entry(&client, "here").await.unwrap();
            if found != json!(earlier) {
                return found;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let own = tokio::time::timeout(Duration::from_secs(20), own).await.expect("registered");

    control(address, "restore").await;
    let restored = entry(&client, "here").await;
    let written_again = async {
        while entry(&client, "here").await.as_ref() != Some(&own) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };

    assert_eq!(restored, Some(json!(earlier)));
    tokio::time::timeout(Duration::from_secs(20), written_again).await.expect("written again");
}

#[tokio::test]
async fn a_configuration_that_a_restored_store_has_lost_stays_in_force() {
    let (client, address) = start_store_with_address().await;
    control(address, "copy").await;
    let (app, _registration) = start_listed_host("here", &client).await;
    let kind = native::DIRECTORY.config_kind;
    let version = client.read(kind, "main").await.unwrap().version;
    let newer = Config { version: 2, ..config() };
    client.replace(kind, "main", version, &serde_json::to_value(&newer).unwrap()).await.unwrap();
    wait_until(|| app.version() == 2).await;

    control(address, "restore").await;
    let version = client.read(kind, "main").await.unwrap().version;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let meanwhile = app.version();
    let newest = Config { version: 3, ..config() };
    client.replace(kind, "main", version, &serde_json::to_value(&newest).unwrap()).await.unwrap();

    assert_eq!(meanwhile, 2);
    wait_until(|| app.version() == 3).await;
}

#[tokio::test]
async fn a_host_whose_entry_a_restored_store_has_kept_deletes_it_at_its_shutdown() {
    let (client, address) = start_store_with_address().await;
    let (app, registration) = start_listed_host("here", &client).await;
    until_listed(&client, "here", true).await;
    control(address, "copy").await;
    control(address, "restore").await;
    // A change in the new epoch, after which the host knows it.
    let kind = native::DIRECTORY.config_kind;
    let version = client.read(kind, "main").await.unwrap().version;
    let newer = Config { version: 2, ..config() };
    client.replace(kind, "main", version, &serde_json::to_value(&newer).unwrap()).await.unwrap();
    wait_until(|| app.version() == 2).await;
    // The host reads the hosts' list again after its pause between two answers.
    let deleted = async {
        while entry(&client, "here").await.is_some() {
            registration.deregister().await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };

    tokio::time::timeout(Duration::from_secs(20), deleted).await.expect("deleted in time");
}
