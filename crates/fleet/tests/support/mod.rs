//! Test fixture: members in one process, each on a runtime of its own, and the stand-in object
//! interface.

#![allow(dead_code, reason = "each test file uses its part")]

use bytes::Bytes;
use chestnutrack_document::key::Hash;
use chestnutrack_fleet::{Fleet, Settings};
use chestnutrack_process::{http, shutdown, timer};
use chestnutrack_standin::platform;
use chestnutrack_store::client::{self, Client};
use chestnutrack_store::error::Error;
use prometheus::Registry;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::{Builder, Runtime};

/// Longest wait for any step that has no guaranteed bound of its own.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(30);
pub(crate) const SERVICE: &str = "shop";
pub(crate) const SALT: &str = "0123456789abcdef";

/// One member on a runtime of one thread, so that it can be killed and paused as a whole.
pub(crate) struct Host {
    pub(crate) fleet: Fleet,
    pub(crate) registry: Registry,
    pub(crate) address: SocketAddr,
    pub(crate) name: Arc<str>,
    runtime: Option<Runtime>,
    /// Bound to the address without listening, so that no other socket gets the port while the member is not running.
    _reserved: TcpSocket,
}

/// Binds a socket to an address that may be bound once more.
fn reserve(address: SocketAddr) -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind(address).unwrap();
    socket
}

impl Host {
    /// Starts a member on a free port.
    pub(crate) async fn start(name: &str, incarnation: u64, platform: SocketAddr) -> Host {
        Host::start_on(name, incarnation, platform, reserve(SocketAddr::from(([127, 0, 0, 1], 0))))
            .await
    }

    /// Starts another process of the member, which was killed, on its address.
    pub(crate) async fn restart(&mut self, incarnation: u64, platform: SocketAddr) {
        let reserved = reserve(self.address);
        *self = Host::start_on(&self.name, incarnation, platform, reserved).await;
    }

    async fn start_on(
        name: &str,
        incarnation: u64,
        platform: SocketAddr,
        reserved: TcpSocket,
    ) -> Host {
        let address = reserved.local_addr().unwrap();
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
        let registry = Registry::new();
        let settings = Settings {
            name: Arc::from(name),
            incarnation,
            service: Arc::from(SERVICE),
            failure_domain: Arc::from("a"),
            listen: address,
            platform,
            security: None,
        };
        let registered = registry.clone();
        let (_, shutdown) = shutdown::manual();
        let started = runtime.spawn(async move {
            Fleet::start(settings, timer::Timer::start(), &registered, shutdown).await
        });
        let fleet = started.await.unwrap().unwrap();
        Host {
            fleet,
            registry,
            address,
            name: Arc::from(name),
            runtime: Some(runtime),
            _reserved: reserved,
        }
    }

    /// Kills the member at once; its sockets are closed.
    pub(crate) fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Pauses the whole member for `duration`; its sockets stay open.
    pub(crate) fn pause(&self, duration: Duration) {
        if let Some(runtime) = &self.runtime {
            runtime.spawn(async move { std::thread::sleep(duration) });
        }
    }

    /// Returns an operators' page of the member.
    pub(crate) fn page(&self, path: &str) -> Value {
        self.fleet.pages(path).unwrap_or_default()
    }

    pub(crate) fn is_current(&self) -> bool {
        self.page("/v1/members")["current"] == json!(true)
    }

    /// Returns the member's share of every rate, as `1/N`.
    pub(crate) fn share(&self) -> String {
        self.page("/v1/members")["share"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns `true` if the member trusts its configuration and accepts a caller's key.
    pub(crate) fn accepts(&self, key: &str) -> bool {
        let snapshot = self.fleet.snapshot();
        snapshot.trusted && snapshot.organisation_of(key).is_some()
    }

    /// Returns the value of a counter for one label value, or the sum over all of them.
    pub(crate) fn counter(&self, name: &str, label: Option<&str>) -> f64 {
        let families = self.registry.gather();
        let named = families.iter().filter(|family| family.name() == name);
        let metrics = named.flat_map(|family| family.get_metric());
        let labelled = metrics.filter(|metric| {
            label.is_none_or(|label| metric.get_label().iter().any(|pair| pair.value() == label))
        });
        labelled.map(|metric| metric.get_counter().get_value()).sum()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The stand-in object interface, with a client that acts as the operator's.
pub(crate) struct Platform {
    pub(crate) address: SocketAddr,
    pub(crate) client: Client,
}

impl Platform {
    /// Starts the object interface on a free port.
    pub(crate) async fn start() -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(platform::serve(listener, platform::Settings::default()));
        Platform { address, client: Client::new(address, client::Settings::default(), None) }
    }

    /// Makes the object interface inject these faults.
    pub(crate) async fn inject_faults(&self, faults: Value) {
        let request = http::request("POST", "/control/faults", Bytes::from(faults.to_string()));
        let answer =
            http::call(self.address, request.unwrap(), TEST_TIMEOUT, 1 << 20).await.unwrap();
        assert_eq!(answer.status(), 200);
    }

    /// Returns the counts that the stand-in object interface keeps of its calls.
    pub(crate) async fn counts(&self) -> Value {
        let request = http::request("GET", "/control/counts", Bytes::new()).unwrap();
        let answer = http::call(self.address, request, TEST_TIMEOUT, 1 << 20).await.unwrap();
        serde_json::from_slice(answer.body()).unwrap()
    }

    /// Replaces the service's document and returns the new version.
    pub(crate) async fn write(&self, document: &Value) -> u64 {
        let version = match self.client.read("documents", SERVICE).await {
            Ok(object) => object.version,
            Err(Error::Missing) => 0,
            Err(error) => panic!("{error}"),
        };
        self.client.replace("documents", SERVICE, version, document).await.unwrap()
    }

    /// Returns the value of the service's object of a kind, or `null` if it can't be read.
    pub(crate) async fn read(&self, kind: &str) -> Value {
        let object = self.client.read(kind, SERVICE).await;
        object.ok().and_then(|object| object.value).unwrap_or_default()
    }
}

/// Returns a document with one organisation, `acme`, that has these keys.
pub(crate) fn document(keys: &[&str], rate: u64, burst: u64) -> Value {
    let key = |key: &&str| json!({ "id": key, "hash": Hash::of(SALT, key).to_hex() });
    json!({
        "service": SERVICE,
        "key_salt": SALT,
        "organisations": [{
            "name": "acme",
            "keys": keys.iter().map(key).collect::<Vec<_>>(),
            "rate_tokens_per_s": rate,
            "burst_tokens": burst,
        }],
        "pools": [{
            "name": "app",
            "kind": "plain",
            "servers": [{
                "name": "app-1",
                "side": "127.0.0.1:9001",
                "address": "127.0.0.1:9002",
                "host": "h1",
                "failure_domain": "a",
                "role": "plain",
                "slots": 4,
            }],
        }],
        "routes": [{
            "name": "stock",
            "method": "GET",
            "path": "/stock",
            "api": "plain",
            "pool": "app",
            "deadline_ms": 1000,
        }],
    })
}

/// Waits until a condition holds; panics after [`TEST_TIMEOUT`].
pub(crate) async fn wait_until(description: &str, condition: impl Fn() -> bool) {
    wait_within(TEST_TIMEOUT, description, condition).await;
}

/// Waits until a condition holds; panics after `bound`, the time that is guaranteed for it.
pub(crate) async fn wait_within(bound: Duration, description: &str, condition: impl Fn() -> bool) {
    let waited = tokio::time::timeout(bound, async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    assert!(waited.await.is_ok(), "not within {bound:?}: {description}");
}

/// What a proxy does with its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProxyMode {
    /// Connections are forwarded.
    Forward,
    /// Open connections are closed, and new ones at once.
    Disconnect,
    /// Open connections stay open but carry no data; new ones work.
    Stall,
}

/// A proxy to the object interface, so that one member can be cut off from it.
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    mode: tokio::sync::watch::Sender<ProxyMode>,
}

impl Proxy {
    /// Starts a proxy to `target` on a free port.
    pub(crate) async fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mode = tokio::sync::watch::Sender::new(ProxyMode::Forward);
        let watch = mode.subscribe();
        tokio::spawn(async move {
            while let Ok((inbound, _)) = listener.accept().await {
                tokio::spawn(proxy_connection(inbound, target, watch.clone()));
            }
        });
        Proxy { address, mode }
    }

    pub(crate) fn set(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }
}

/// Forwards one connection until it ends or the mode changes.
async fn proxy_connection(
    mut inbound: tokio::net::TcpStream,
    target: SocketAddr,
    mut mode: tokio::sync::watch::Receiver<ProxyMode>,
) {
    if *mode.borrow_and_update() == ProxyMode::Disconnect {
        return;
    }
    let Ok(mut outbound) = tokio::net::TcpStream::connect(target).await else {
        return;
    };
    let changed = tokio::select! {
        changed = mode.changed() => changed.is_ok(),
        _ = tokio::io::copy_bidirectional(&mut inbound, &mut outbound) => return,
    };
    if changed && *mode.borrow() == ProxyMode::Stall {
        std::future::pending::<()>().await;
    }
}

/// Runs a peer that dials a member and vouches for it, but can't be dialed itself.
pub(crate) async fn one_way_peer(host: SocketAddr, name: &str, incarnation: u64) {
    use chestnutrack_wire::frame::{Frame, Sender, VERSION};
    let sender = Sender { name: name.into(), incarnation };
    let mut connection = chestnutrack_wire::connection::connect(host, None).await.unwrap();
    let hello = Frame::Hello { version: VERSION, sender: sender.clone(), configuration: 0 };
    connection.sender.send(&hello).unwrap();
    let (mut request_id, mut table_version) = (0, 0);
    loop {
        request_id += 1;
        let vouch = Frame::Vouch {
            ask: request_id,
            sender: sender.clone(),
            members: table_version,
            configuration: 0,
        };
        connection.sender.send(&vouch).unwrap();
        let pause = tokio::time::sleep(Duration::from_millis(100));
        tokio::pin!(pause);
        loop {
            let frame = tokio::select! {
                () = &mut pause => break,
                frame = connection.receiver.receive() => frame.unwrap(),
            };
            match frame {
                Frame::Members { version, .. } => table_version = version,
                Frame::Vouch { ask, members, .. } => {
                    let (configuration, confirmed_ms_ago) = (0, u64::MAX);
                    let (sender, listed) = (sender.clone(), true);
                    let vouched = Frame::Vouched {
                        ask,
                        sender,
                        members,
                        listed,
                        configuration,
                        confirmed_ms_ago,
                    };
                    connection.sender.send(&vouched).unwrap();
                }
                _ => {}
            }
        }
    }
}
