//! Which of several configurations is in force.

use crate::fixture::store::{control, host_at, register, start_store_with_address};
use crate::fixture::{app, config, wait_until};
use chestnutrack_forward::app::App;
use chestnutrack_forward::config::Config;
use chestnutrack_forward::follow::Follower;
use chestnutrack_forward::mesh::Mesh;
use chestnutrack_forward::native;
use chestnutrack_process::timer::Timer;
use chestnutrack_store::client::Client;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Time in which a configuration that must not be put in force would be.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// Overwrites the configuration in the store with one that states a version.
async fn write(client: &Client, version: u64) {
    let kind = native::DIRECTORY.config_kind;
    let known = client.read(kind, "main").await.unwrap().version;
    let value = json!(Config { version, ..config() });
    client.replace(kind, "main", known, &value).await.unwrap();
}

/// Connects a host that the store does not answer to another one, of which it learns the configuration.
async fn connect_to(app: &Arc<App>, other: &Arc<Mesh>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let follower = Follower::new(app.clone(), native::DIRECTORY);
    let mesh = Mesh::new(app.clone(), follower, address);
    tokio::spawn(mesh.clone().accept(listener));
    tokio::spawn(mesh.run_gossip(Timer::start()));
    other.update_hosts([(app.settings.name.clone(), Some(host_at(address)))]);
}

/// Guards against a configuration of another writer that states the highest version, and so shuts out all later ones.
#[tokio::test]
async fn the_store_s_newer_configuration_replaces_one_that_states_a_higher_version() {
    let (client, _) = start_store_with_address().await;
    let here = app("here");
    let _registration = register(&here, &client).await;

    for odd in [u64::MAX, 1 << 60] {
        write(&client, odd).await;
        wait_until(|| here.version() == odd).await;

        write(&client, 7).await;
        wait_until(|| here.version() == 7).await;
    }
}

/// Guards against a host that the store does not answer and that keeps such a configuration, or hands it back to the others.
#[tokio::test]
async fn the_store_s_newer_configuration_reaches_a_host_by_way_of_another_one() {
    let (client, _) = start_store_with_address().await;
    let (here, there) = (app("here"), app("there"));
    let follower = Follower::new(here.clone(), native::DIRECTORY);
    tokio::spawn(follower.clone().follow_config(client.clone()));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mesh = Mesh::new(here.clone(), follower, listener.local_addr().unwrap());
    tokio::spawn(mesh.clone().accept(listener));
    tokio::spawn(mesh.clone().run_gossip(Timer::start()));
    connect_to(&there, &mesh).await;
    write(&client, u64::MAX).await;
    wait_until(|| there.version() == u64::MAX).await;

    write(&client, 7).await;

    wait_until(|| there.version() == 7).await;
    tokio::time::sleep(SETTLING_TIME).await;
    assert_eq!((here.version(), there.version()), (7, 7));
}

/// Guards against a configuration that goes back with a store that was restored from a copy.
#[tokio::test]
async fn an_older_configuration_of_a_restored_store_is_not_put_in_force() {
    let (client, store) = start_store_with_address().await;
    let here = app("here");
    let _registration = register(&here, &client).await;
    write(&client, 5).await;
    control(store, "copy").await;
    write(&client, 9).await;
    wait_until(|| here.version() == 9).await;

    control(store, "restore").await;
    tokio::time::sleep(SETTLING_TIME).await;
    let restored = here.version();
    write(&client, 8).await;
    tokio::time::sleep(SETTLING_TIME).await;
    let lower = here.version();
    write(&client, 10).await;

    assert_eq!((restored, lower), (9, 9));
    wait_until(|| here.version() == 10).await;
}
