//! Log lines about entries of other writers. The tests have a program of their own, since a subscriber of one thread gets no
//! events of call sites that another thread has reached first.

use chestnutrack_forward::app::{App, Settings};
use chestnutrack_forward::follow::Follower;
use chestnutrack_forward::mesh::Mesh;
use chestnutrack_forward::metric::Metrics;
use chestnutrack_forward::native;
use chestnutrack_wire::connection;
use chestnutrack_wire::frame::ServerRecord;
use prometheus::Registry;
use serde_json::json;
use std::fmt::Debug;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;
use tracing::field::Field;
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Level, Metadata, Subscriber};

/// Returns the state of a process with no configuration and no servers.
fn app() -> Arc<App> {
    let metrics = Metrics::new(&Registry::new()).expect("metrics");
    Arc::new(App::new(Settings::default(), native::DIALECT, metrics))
}

/// Counts log lines, and the bytes of their fields.
#[derive(Clone, Default)]
struct LogCounter(Arc<(AtomicUsize, AtomicUsize)>);

impl Subscriber for LogCounter {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        *metadata.level() <= Level::WARN
    }

    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }

    fn record(&self, _: &Id, _: &Record<'_>) {}

    fn record_follows_from(&self, _: &Id, _: &Id) {}

    fn event(&self, event: &Event<'_>) {
        self.0.0.fetch_add(1, Ordering::Relaxed);
        let mut bytes = 0;
        event.record(&mut |_: &Field, value: &dyn Debug| bytes += format!("{value:?}").len());
        self.0.1.fetch_add(bytes, Ordering::Relaxed);
    }

    fn enter(&self, _: &Id) {}

    fn exit(&self, _: &Id) {}
}

/// Guards against a log that is filled by the text of one configuration.
#[test]
fn a_configuration_that_can_not_be_read_is_logged_in_short() {
    let follower = Follower::new(app(), native::DIRECTORY);
    let text = json!({ "version": "x".repeat(1 << 20) }).to_string();
    let log = LogCounter::default();

    tracing::subscriber::with_default(log.clone(), || {
        follower.apply_peer_config("peer", 1, text.as_bytes());
    });

    let (lines, bytes) = (log.0.0.load(Ordering::Relaxed), log.0.1.load(Ordering::Relaxed));
    assert_eq!(lines, 1);
    assert!(bytes < 1_000, "{bytes} bytes");
}

/// Guards against a log that is filled by an entry that stays as it is, or by the text of one entry.
#[test]
fn an_entry_that_can_not_be_read_is_logged_once_for_each_change_and_in_short() {
    let follower = Follower::new(app(), native::DIRECTORY);
    let text = json!({ "name": "x".repeat(1 << 20), "address": "y".repeat(1 << 20) }).to_string();
    let name: Arc<str> = "n".repeat(1 << 20).into();
    let record = |version| ServerRecord { name: name.clone(), version, entry: text.clone().into() };
    let log = LogCounter::default();

    tracing::subscriber::with_default(log.clone(), || {
        for version in [1, 1, 1, 2, 2] {
            follower.apply_peer_servers("peer", vec![record(version)]);
        }
    });

    let (lines, bytes) = (log.0.0.load(Ordering::Relaxed), log.0.1.load(Ordering::Relaxed));
    assert_eq!(lines, 2);
    assert!(bytes < 1_000, "{bytes} bytes");
}

/// Guards against a connection between hosts that ends again and again without a word of why.
#[tokio::test]
async fn an_invalid_frame_of_a_peer_is_logged() {
    let log = LogCounter::default();
    let _subscriber = tracing::subscriber::set_default(log.clone());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let app = app();
    let mesh = Mesh::new(app.clone(), Follower::new(app, native::DIRECTORY), address);
    tokio::spawn(mesh.accept(listener));

    let mut connection = connection::connect(address, None).await.expect("a connection");
    connection.sender.send_encoded(vec![0xff]).expect("a connection");
    let ended = timeout(Duration::from_secs(10), connection.receiver.receive()).await;

    assert!(matches!(ended, Ok(Err(_))), "{ended:?}");
    assert_eq!(log.0.0.load(Ordering::Relaxed), 1);
}
