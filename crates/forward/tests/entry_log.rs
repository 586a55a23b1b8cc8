//! Log lines about entries of other writers. The tests have a program of their own, since a subscriber of one thread gets no
//! events of call sites that another thread has reached first.

use bytes::Bytes;
use chestnutrack_core::dispatch::Entry;
use chestnutrack_core::origin::Stream;
use chestnutrack_forward::app::{App, Settings};
use chestnutrack_forward::follow::{Directory, Follower, OriginRecords};
use chestnutrack_forward::mesh::Mesh;
use chestnutrack_forward::metric::Metrics;
use chestnutrack_forward::native;
use chestnutrack_process::pool::{self, Pool};
use chestnutrack_process::timer::Timer;
use chestnutrack_standin::platform;
use chestnutrack_store::client::{self, Client};
use chestnutrack_wire::connection;
use chestnutrack_wire::frame::ServerRecord;
use http_body_util::Full;
use hyper::Request;
use prometheus::Registry;
use serde_json::{Value, json};
use std::fmt::Debug;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
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

/// Returns the entry of an engine of a build, whose name is that of the build.
fn engine_entry(build: &str) -> Value {
    json!({
        "name": build, "born": 1, "build": build, "service": "llm", "address": "127.0.0.1:9",
        "failure_domain": "a", "slots": 4, "leaving": false, "stage": "decode",
    })
}

/// Decodes an entry whose odd values don't make it unreadable, and logs them.
fn decode_with_warning(name: &Arc<str>, value: &Value) -> Result<Entry, String> {
    tracing::warn!("a value of the entry is ignored");
    (native::DIRECTORY.server)(name, value)
}

/// Guards against a log that is filled by an odd value in an entry that names a server and stays as it is.
#[test]
fn odd_values_of_a_readable_entry_are_logged_once_for_each_change() {
    let directory = Directory { server: decode_with_warning, ..native::DIRECTORY };
    let follower = Follower::new(app(), directory);
    let entry = engine_entry("v1");
    let log = LogCounter::default();

    tracing::subscriber::with_default(log.clone(), || {
        for version in [1, 1, 1, 2, 2] {
            let entry = entry.to_string().into_bytes();
            let record = ServerRecord { name: "v1".into(), version, entry };
            follower.apply_peer_servers("peer", vec![record]);
        }
    });

    assert!(!follower.has_no_servers());
    assert_eq!(log.0.0.load(Ordering::Relaxed), 2);
}

/// Guards against a log that is filled by a record of another writer, each time that the build of a stream is searched for.
#[tokio::test]
async fn a_record_of_streams_that_can_not_be_read_is_logged_once() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let client =
        Client::new(listener.local_addr().expect("an address"), client::Settings::default(), None);
    tokio::spawn(platform::serve(listener, platform::Settings::default()));
    let kind = native::DIRECTORY.origins_kind;
    client.create(kind, "odd", &json!({ "streams": "none" })).await.expect("an object");
    let app = app();
    let follower = Follower::new(app.clone(), native::DIRECTORY);
    // Of one build only, no record would be searched for.
    let servers = ["v1", "v2"].map(|build| ServerRecord {
        name: build.into(),
        version: 1,
        entry: engine_entry(build).to_string().into_bytes(),
    });
    follower.apply_peer_servers("peer", servers.to_vec());
    let mesh = Mesh::new(app.clone(), follower, ([127, 0, 0, 1], 9).into());
    tokio::spawn(mesh.clone().run_gossip(Timer::start()));
    tokio::spawn(OriginRecords::new(client, kind, mesh).run());
    let log = LogCounter::default();
    let _subscriber = tracing::subscriber::set_default(log.clone());
    let reads = app.metrics.record_calls.with_label_values(&["read"]);

    let searched = async {
        for stream in 0.. {
            let stream = Stream::begun_by(&format!("stream-{stream}"));
            let _ = app.find_build(&"llm".into(), Some(stream), Duration::from_millis(300)).await;
            if reads.get() >= 3 {
                return;
            }
        }
    };
    timeout(Duration::from_secs(10), searched).await.expect("the records are read");

    assert_eq!(log.0.0.load(Ordering::Relaxed), 1);
}

/// Guards against connections that are opened again and again for no reason that can be seen: bytes that no call has asked
/// for end a connection between calls.
#[tokio::test]
async fn bytes_that_come_while_no_call_waits_are_logged() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = tokio::spawn(async move {
        let (mut tcp, _) = listener.accept().await.expect("a connection");
        let mut head = [0; 1_024];
        let _ = tcp.read(&mut head).await;
        tcp.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await.expect("written");
        tokio::time::sleep(Duration::from_millis(50)).await;
        tcp.write_all(b"HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n").await.expect("written");
        let _ = tcp.read(&mut head).await;
    });
    let log = LogCounter::default();
    let _subscriber = tracing::subscriber::set_default(log.clone());
    let pool = Pool::new(address, pool::Settings::default());

    let request = Request::new(Full::<Bytes>::default());
    let answer = pool.call(request, Duration::from_secs(5), 100).await;
    let ended = timeout(Duration::from_secs(5), server).await;

    assert!(answer.is_ok() && ended.is_ok());
    assert_eq!(log.0.0.load(Ordering::Relaxed), 1);
}
