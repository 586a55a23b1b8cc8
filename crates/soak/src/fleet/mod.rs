//! Starts the processes of a run and the relays between them, and writes the configuration.

mod peers;
#[cfg(test)]
mod tests;

use crate::backend::{BUILDS, Backend, Crash, Process as ServerProcess, RELEASES};
use crate::caller::{Caller, ROUTE_HOST};
use crate::ledger::{Allowance, Ledger};
use chestnutrack_core::dispatch::{Entry, Stage};
use chestnutrack_forward::config::{Config, Engine, Kind, Limits, Organisation, Route, Service};
use chestnutrack_harness::deployment::{
    ADMIN_PORT, AddressBlock, BACKEND_PORT, CALLER_PORT, PEER_PORT, PLATFORM_PORT,
};
use chestnutrack_harness::fleet::programs;
use chestnutrack_harness::{Link, Process};
use chestnutrack_process::http;
use chestnutrack_process::pool::{self, Pool};
use chestnutrack_store::client::{self, Client};
use chestnutrack_store::object::Object;
use displaydoc::Display;
use peers::PeerLinks;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tempfile::TempDir;
use tokio::sync::{Mutex, mpsc, watch};
use tokio::time::{Instant, sleep};

/// Host numbers of the store, of the first backend server and of the first entry host.
const FIRST_HOST_NUMBERS: (u8, u8, u8) = (1, 10, 100);
/// Ports of the relays in front of the store and in front of a server.
const LINK_PORTS: (u16, u16) = (20_010, 20_011);
/// Port of the relay that has hosts connect to each other by relays.
const STORE_PORT: u16 = 20_012;
/// Ports of an engine of the services that releases take place in, and of the relay in front of it.
const RELEASE_PORTS: (u16, u16) = (20_013, 20_014);
/// Number of these services, so that each is of one build again when its next release begins.
pub const RELEASE_SERVICES: usize = 4;
/// Timeout of their routes. It is short because twice that time, and five seconds, is how long a build counts as one that
/// may have begun streams.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a call to a process.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest accepted answer of a process, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// Time between attempts of a call that is retried.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time for an entry host to be ready, at the start and after any fault.
pub const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeouts of routes. A stream ends at the deadline of its request.
const PLAIN_TIMEOUT: Duration = Duration::from_millis(2_500);
const STREAM_TIMEOUT: Duration = Duration::from_secs(8);
/// Cost of a plain request, in tokens.
const PLAIN_TOKENS: u64 = 10;
/// Rate (tokens per second) and burst (tokens) of the organisation whose callers exceed its allowance.
const FLOOD_ALLOWANCE: (u64, u64) = (200, 200);

/// An error that prevents a run from continuing.
#[derive(Debug, Display)]
pub enum Error {
    /// fleet error: {0}
    Fleet(chestnutrack_harness::Error),
    /// I/O error: {0}
    System(std::io::Error),
    /// store error: {0}
    Store(chestnutrack_store::error::Error),
    /// {0} was not ready in time: {1}
    NotReady(String, String),
}

impl std::error::Error for Error {}

impl From<chestnutrack_harness::Error> for Error {
    fn from(error: chestnutrack_harness::Error) -> Error {
        Error::Fleet(error)
    }
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Error {
        Error::System(error)
    }
}

impl From<chestnutrack_store::error::Error> for Error {
    fn from(error: chestnutrack_store::error::Error) -> Error {
        Error::Store(error)
    }
}

/// An entry host.
pub struct Host {
    /// Name of the entry host.
    pub name: Arc<str>,
    /// Process of the entry host; locked while a fault affects the process. A fault or check
    /// that finds it locked skips the host.
    pub process: Mutex<Process>,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address of the admin port.
    pub admin_address: SocketAddr,
    /// Relay between the entry host and the store.
    pub store_link: Link,
}

/// A backend server and the relay in front of it.
pub struct Server {
    /// Entry of the server in the store.
    pub entry: Entry,
    /// Server that answers the requests.
    pub backend: Backend,
    /// Relay in front of the server.
    pub link: Link,
    /// Whether the server has crashed.
    pub is_crashed: bool,
}

/// Tracks faults of the store and of links to it.
#[derive(Debug, Default)]
struct StoreFaults {
    active: u32,
    last_ended: Option<Instant>,
}

/// An active fault of the store or of a link to it; dropping it records the end of the fault.
pub struct StoreFaultGuard(Arc<std::sync::Mutex<StoreFaults>>);

impl Drop for StoreFaultGuard {
    fn drop(&mut self) {
        let mut store_faults = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        store_faults.active -= 1;
        store_faults.last_ended = Some(Instant::now());
    }
}

/// The fleet of a run.
pub struct Fleet {
    /// Entry hosts.
    pub hosts: Vec<Host>,
    /// Backend servers.
    pub servers: Mutex<Vec<Server>>,
    /// Engines of the services that releases take place in. They have no other faults.
    pub released: Mutex<Vec<Server>>,
    next_released: AtomicU8,
    /// Relays between the entry hosts.
    pub peers: PeerLinks,
    /// Service that a release takes place in, and the entry host that is out of step meanwhile, or was just before.
    pub release: watch::Sender<Option<(usize, usize)>>,
    /// Record of runs and answers.
    pub ledger: Arc<Ledger>,
    /// Configuration as it was last written.
    pub config: Mutex<Config>,
    /// Engines that crash.
    pub crashes: Mutex<mpsc::UnboundedReceiver<Crash>>,
    /// Client of the store that bypasses all relays.
    pub store: Client,
    crash_sender: mpsc::UnboundedSender<Crash>,
    block: AddressBlock,
    platform: SocketAddr,
    /// Held while an object is written, and while a restored store is brought up to date.
    writing: Mutex<()>,
    store_faults: Arc<std::sync::Mutex<StoreFaults>>,
    _platform_process: Process,
    _folder: TempDir,
}

impl Fleet {
    /// Starts the fleet and waits until all entry hosts are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process, server or relay fails to start.
    pub async fn start(hosts: u8) -> Result<Fleet, Error> {
        let folder = tempfile::tempdir()?;
        let programs = programs()?;
        let block = AddressBlock::random();
        let platform = block.address(FIRST_HOST_NUMBERS.0, PLATFORM_PORT);
        let arguments = vec!["platform".to_owned(), "--listen".to_owned(), platform.to_string()];
        let log = folder.path().join("platform.log");
        let process =
            Process::start("platform", &programs.join("chestnutrack-standin"), arguments, log)?;
        let settings = client::Settings::default();
        let store =
            Client::with_dialect(chestnutrack_store::dialect::OWN, platform, settings, None);
        let (crash_sender, crashes) = mpsc::unbounded_channel();
        let mut fleet = Fleet {
            hosts: Vec::new(),
            servers: Mutex::default(),
            released: Mutex::default(),
            next_released: AtomicU8::new(0),
            peers: PeerLinks::start(block, hosts).await?,
            release: watch::Sender::default(),
            ledger: Arc::default(),
            config: Mutex::new(config()),
            crashes: Mutex::new(crashes),
            store,
            crash_sender,
            block,
            platform,
            writing: Mutex::default(),
            store_faults: Arc::default(),
            _platform_process: process,
            _folder: folder,
        };
        fleet.wait_for("platform", platform, "/v1/hosts").await?;
        for (number, stage) in INITIAL_STAGES.iter().enumerate() {
            fleet.add_server(number as u8, *stage).await?;
        }
        for (number, stage) in RELEASE_STAGES.repeat(RELEASE_SERVICES).into_iter().enumerate() {
            fleet.add_released(stage, number / RELEASE_STAGES.len(), RELEASES[0]).await?;
        }
        fleet.write_config(|_| {}).await?;
        for number in 0..hosts {
            let host = fleet.start_host(number, &programs).await?;
            fleet.hosts.push(host);
        }
        for number in 0..fleet.hosts.len() {
            fleet.wait_ready(number).await?;
        }
        Ok(fleet)
    }

    /// Starts an entry host and the relay between it and the store.
    async fn start_host(&self, number: u8, programs: &Path) -> Result<Host, Error> {
        let address = |port| self.block.address(FIRST_HOST_NUMBERS.2 + number, port);
        let store = peers::relay_store(address(STORE_PORT), self.platform).await?;
        let store_link = Link::start(address(LINK_PORTS.0), store).await?;
        let name = format!("entry-{number}");
        let (caller_address, admin_address) = (address(CALLER_PORT), address(ADMIN_PORT));
        let options = [
            ("--name", name.clone()),
            ("--listen", caller_address.to_string()),
            ("--peer-listen", address(PEER_PORT).to_string()),
            ("--admin", admin_address.to_string()),
            ("--platform", store_link.address.to_string()),
            ("--failure-domain", format!("domain-{}", number % 2)),
            ("--drain-ms", "300".to_owned()),
        ];
        let mut arguments = vec!["--direct".to_owned()];
        arguments.extend(options.into_iter().flat_map(|(flag, value)| [flag.to_owned(), value]));
        let log = self._folder.path().join(format!("{name}.log"));
        let process = Process::start(&name, &programs.join("chestnutrack-entry"), arguments, log)?;
        Ok(Host {
            name: name.into(),
            process: Mutex::new(process),
            caller_address,
            admin_address,
            store_link,
        })
    }

    /// Starts a backend server under a number that was not used before, and lists it in the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the server fails to start or its entry cannot be written.
    pub async fn add_server(&self, number: u8, stage: Option<Stage>) -> Result<(), Error> {
        let server = self.start_server(number, stage).await?;
        self.servers.lock().await.push(server);
        Ok(())
    }

    /// Starts a backend server in place of one that has crashed, under a number that was not used before, and lists it
    /// in the store instead of that one. Does nothing if that one was removed or was leaving.
    ///
    /// # Errors
    ///
    /// Returns an error if the server fails to start or the store's objects cannot be written.
    pub async fn restart_server(&self, number: u8, crashed: &Entry) -> Result<(), Error> {
        let server = self.start_server(number, crashed.stage).await?;
        let mut servers = self.servers.lock().await;
        let place = servers
            .iter_mut()
            .find(|place| place.entry.name == crashed.name && !place.entry.leaving);
        let unlisted = match place {
            Some(place) => std::mem::replace(place, server).entry.name,
            None => server.entry.name,
        };
        drop(servers);
        self.remove("backends", &unlisted).await
    }

    /// Starts a backend server and lists it in the store.
    async fn start_server(&self, number: u8, stage: Option<Stage>) -> Result<Server, Error> {
        let name: Arc<str> = format!("server-{number}").into();
        let service = if stage.is_some() { "llm" } else { "app" };
        // Two servers that start one after the other are of the same build.
        let build = BUILDS[usize::from(number) / 2 % BUILDS.len()];
        let process = ServerProcess { build, born: number.into() };
        self.list_server((name, number), service, stage, process, (BACKEND_PORT, LINK_PORTS.1))
            .await
    }

    /// Starts an engine of a service that releases take place in, and lists it in the store. Returns its name.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine fails to start or its entry cannot be written.
    pub async fn add_released(
        &self,
        stage: Stage,
        service: usize,
        build: &'static str,
    ) -> Result<Arc<str>, Error> {
        let number = self.next_released.fetch_add(1, Ordering::Relaxed);
        let service = release_service(service);
        let name: Arc<str> = format!("{service}-{number}").into();
        let process = ServerProcess { build, born: number.into() };
        let place = (name.clone(), number);
        let server = self.list_server(place, &service, Some(stage), process, RELEASE_PORTS).await?;
        self.released.lock().await.push(server);
        Ok(name)
    }

    /// Starts a server with a name, a number and ports of its own and of its relay, and lists it in the store.
    async fn list_server(
        &self,
        (name, number): (Arc<str>, u8),
        service: &str,
        stage: Option<Stage>,
        process: ServerProcess,
        ports: (u16, u16),
    ) -> Result<Server, Error> {
        let address = |port| self.block.address(FIRST_HOST_NUMBERS.1 + number, port);
        let (ledger, crashes) = (self.ledger.clone(), self.crash_sender.clone());
        let listen = address(ports.0);
        let backend = Backend::start(&name, stage, process, listen, ledger, crashes).await?;
        let link = Link::start(address(ports.1), backend.address).await?;
        let entry = Entry {
            name: name.clone(),
            born: Some(process.born),
            build: process.build.into(),
            service: service.into(),
            address: link.address,
            failure_domain: format!("domain-{}", number % 2).into(),
            slots: 64,
            leaving: false,
            stage,
            cold_ms: None,
        };
        self.write("backends", &name, &json!(entry)).await?;
        Ok(Server { entry, backend, link, is_crashed: false })
    }

    /// Writes an object regardless of its version; retries while the store returns errors.
    ///
    /// # Errors
    ///
    /// Returns the error of the store if it persists for [`READY_TIMEOUT`].
    pub async fn write(&self, kind: &str, name: &str, value: &Value) -> Result<(), Error> {
        let _writing = self.writing.lock().await;
        self.write_unlocked(kind, name, value).await
    }

    async fn write_unlocked(&self, kind: &str, name: &str, value: &Value) -> Result<(), Error> {
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let version = match self.store.read(kind, name).await {
                Ok(object) if object.value.as_ref() == Some(value) => return Ok(()),
                Ok(object) => Ok(object.version),
                Err(chestnutrack_store::error::Error::Missing) => Ok(0),
                Err(error) => Err(error),
            };
            let written = match version {
                Ok(version) => {
                    self.store.replace_confirmed(kind, name, version, value).await.map(drop)
                }
                Err(error) => Err(error),
            };
            match written {
                Ok(()) => return Ok(()),
                Err(error) if Instant::now() > deadline => return Err(error.into()),
                Err(_) => sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Changes the configuration and writes it to the store.
    ///
    /// # Errors
    ///
    /// Returns the error of the store if it persists for [`READY_TIMEOUT`].
    pub async fn write_config(&self, change: impl FnOnce(&mut Config)) -> Result<(), Error> {
        let mut config = self.config.lock().await;
        change(&mut config);
        config.version += 1;
        self.write("routing", "main", &json!(*config)).await
    }

    /// Sets the faults of the stand-in store.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotReady`] if the store does not answer or refuses the faults.
    pub async fn set_store_faults(&self, faults: &Value) -> Result<(), Error> {
        let request = http::request("POST", "/control/faults", faults.to_string());
        self.call("platform", self.platform, request).await
    }

    /// Records the start of a fault of the store or of a link to it.
    pub fn begin_store_fault(&self) -> StoreFaultGuard {
        self.store_faults.lock().unwrap_or_else(PoisonError::into_inner).active += 1;
        StoreFaultGuard(self.store_faults.clone())
    }

    /// Returns the number of engines of a service and a build that generate, and neither leave nor have crashed.
    pub async fn engines_of(&self, service: &str, build: Option<&str>) -> usize {
        let (servers, released) = (self.servers.lock().await, self.released.lock().await);
        let serving = servers.iter().chain(&*released).filter(|server| {
            server.entry.stage == Some(Stage::Decode)
                && *server.entry.service == *service
                && Some(&*server.entry.build) == build
                && !server.entry.leaving
                && !server.is_crashed
        });
        serving.count()
    }

    /// Returns how long the store and all links to it have been without a fault.
    pub fn time_since_store_fault(&self) -> Duration {
        let store_faults = self.store_faults.lock().unwrap_or_else(PoisonError::into_inner);
        match (store_faults.active, store_faults.last_ended) {
            (0, None) => Duration::MAX,
            (0, Some(ended)) => ended.elapsed(),
            _ => Duration::ZERO,
        }
    }

    /// Deletes an object; retries while the store returns errors.
    ///
    /// # Errors
    ///
    /// Returns the error of the store if it persists for [`READY_TIMEOUT`].
    pub async fn remove(&self, kind: &str, name: &str) -> Result<(), Error> {
        let _writing = self.writing.lock().await;
        self.remove_unlocked(kind, name).await
    }

    /// Copies the store, waits, and restores the copy, so that all writes in between are lost. Then
    /// writes again what operators and servers had written, as they do.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotReady`] if the store does not answer, and its error if a write fails for
    /// [`READY_TIMEOUT`].
    pub async fn lose_writes(&self, duration: Duration) -> Result<(), Error> {
        let _store_fault = self.begin_store_fault();
        self.control("copy").await?;
        sleep(duration).await;
        let _writing = self.writing.lock().await;
        let mut lists = Vec::new();
        for kind in ["routing", "backends"] {
            lists.push((kind, self.list(kind).await?));
        }
        self.control("restore").await?;
        for (kind, before) in lists {
            for object in self.list(kind).await? {
                if before.iter().all(|kept| kept.name != object.name) {
                    self.remove_unlocked(kind, &object.name).await?;
                }
            }
            for object in before {
                let value = object.value.unwrap_or_default();
                self.write_unlocked(kind, &object.name, &value).await?;
            }
        }
        Ok(())
    }

    /// Lists the objects of a kind; retries while the store returns errors.
    async fn list(&self, kind: &str) -> Result<Vec<Object>, Error> {
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            match self.store.list(kind).await {
                Ok(list) => return Ok(list.objects),
                Err(error) if Instant::now() > deadline => return Err(error.into()),
                Err(_) => sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Calls a control page of the stand-in store.
    async fn control(&self, page: &str) -> Result<(), Error> {
        let request = http::request("POST", &format!("/control/{page}"), "{}");
        self.call("platform", self.platform, request).await
    }

    async fn remove_unlocked(&self, kind: &str, name: &str) -> Result<(), Error> {
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let deleted = match self.store.read(kind, name).await {
                Ok(object) => self.store.delete(kind, name, object.version).await.map(drop),
                Err(error) => Err(error),
            };
            match deleted {
                Ok(()) | Err(chestnutrack_store::error::Error::Missing) => return Ok(()),
                Err(error) if Instant::now() > deadline => return Err(error.into()),
                Err(_) => sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Sends an HTTP request to a process. Every failure is [`Error::NotReady`]: an unsent request, no
    /// answer in time, and any status other than success.
    async fn call(
        &self,
        name: &str,
        address: SocketAddr,
        request: Result<hyper::Request<http_body_util::Full<bytes::Bytes>>, http::Error>,
    ) -> Result<(), Error> {
        let failed = |text: String| Error::NotReady(name.to_owned(), text);
        let request = request.map_err(|error| failed(error.to_string()))?;
        let pool = Pool::new(address, pool::Settings::default().without_reuse());
        let answer = pool.call(request, CALL_TIMEOUT, MAX_ANSWER_BYTES).await;
        let answer = answer.map_err(|error| failed(error.to_string()))?;
        match answer.status().is_success() {
            true => Ok(()),
            false => Err(failed(answer.status().to_string())),
        }
    }

    /// Repeats a GET request to a process until it succeeds or [`READY_TIMEOUT`] has passed.
    async fn wait_for(&self, name: &str, address: SocketAddr, target: &str) -> Result<(), Error> {
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            match self.call(name, address, http::request("GET", target, "")).await {
                Ok(()) => return Ok(()),
                Err(error) if Instant::now() > deadline => return Err(error),
                Err(_) => sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Waits until the readiness probe of an entry host succeeds.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotReady`] after [`READY_TIMEOUT`].
    pub async fn wait_ready(&self, host: usize) -> Result<(), Error> {
        self.wait_for(&format!("entry-{host}"), self.hosts[host].admin_address, "/readyz").await
    }
}

/// Stages of the initial servers; `None` for plain services.
const INITIAL_STAGES: [Option<Stage>; 8] = [
    Some(Stage::Decode),
    Some(Stage::Decode),
    Some(Stage::Decode),
    Some(Stage::Prefill),
    Some(Stage::Prefill),
    None,
    None,
    None,
];

/// Stages of the engines of a service that releases take place in.
pub const RELEASE_STAGES: [Stage; 3] = [Stage::Decode, Stage::Decode, Stage::Prefill];

/// Returns the name of a service that releases take place in, and of its route.
pub fn release_service(number: usize) -> Arc<str> {
    format!("release-{number}").into()
}

/// Returns a caller of the organisation without a limit, and one of the organisation that exceeds its
/// allowance.
pub fn callers() -> (Caller, Caller) {
    (caller("orchard"), caller("flood"))
}

/// Returns a caller of another organisation without a limit, none of whose requests crash engines.
pub fn uninvolved_caller() -> Caller {
    caller("meadow")
}

/// Returns a caller of an organisation that only uses the services that releases take place in, so that the others'
/// shares stay the same.
pub fn release_caller() -> Caller {
    caller("harvest")
}

fn caller(name: &str) -> Caller {
    Caller { organisation: name.into(), key: format!("key-of-{name}").into() }
}

/// Returns the allowance of the organisation whose callers exceed it.
pub fn allowance() -> Allowance {
    let (rate, burst) = FLOOD_ALLOWANCE;
    Allowance { organisation: callers().1.organisation, rate, burst, cost: PLAIN_TOKENS }
}

/// Returns the initial configuration: a route for each kind of request, a plain service, a service of
/// engines and those that releases take place in, and three organisations without and one with a limit.
fn config() -> Config {
    let (unlimited, flood) = callers();
    let organisation = |caller: Caller, (rate, burst)| Organisation {
        name: caller.organisation,
        keys: vec![caller.key],
        priority: None,
        rate,
        burst,
        plain_tokens: PLAIN_TOKENS,
        regions: None,
    };
    let released: Vec<_> = (0..RELEASE_SERVICES).map(release_service).collect();
    let released_routes = released.iter().map(|name| Route {
        timeout: RELEASE_TIMEOUT,
        ..route(name, Kind::Stream { resumable: true }, name, 3)
    });
    let mut config = Config {
        version: 0,
        routes: vec![
            route("pay", Kind::Once, "app", 3),
            route("look", Kind::Idempotent, "app", 3),
            route("digest", Kind::Stream { resumable: false }, "llm", 3),
            route("recap", Kind::Stream { resumable: true }, "llm", 3),
        ],
        services: vec![service("app", None), service("llm", Some(engine_settings()))],
        organisations: vec![
            organisation(unlimited, (0, 0)),
            organisation(flood, FLOOD_ALLOWANCE),
            organisation(uninvolved_caller(), (0, 0)),
            organisation(release_caller(), (0, 0)),
        ],
        limits: Limits::default(),
    };
    config.routes.extend(released_routes);
    let services = released.iter().map(|name| service(name, Some(engine_settings())));
    config.services.extend(services);
    config
}

/// Returns a route to a service for the path prefix `/path/`.
pub fn route(path: &str, kind: Kind, service: &str, attempts: u32) -> Route {
    let timeout = match kind {
        Kind::Stream { .. } => STREAM_TIMEOUT,
        _ => PLAIN_TIMEOUT,
    };
    Route {
        name: path.into(),
        host: ROUTE_HOST.into(),
        prefix: format!("/{path}/").into(),
        kind,
        timeout,
        target_latency: Duration::from_millis(900),
        max_pause: Some(Duration::from_millis(300)),
        priority: 1,
        split: vec![(service.into(), 1)],
        attempts,
        open: false,
        sticky: false,
        regions: None,
    }
}

fn service(name: &str, engine: Option<Engine>) -> Service {
    Service {
        name: name.into(),
        health_path: "/health".into(),
        connections: 100,
        engine,
        cold_start: None,
    }
}

/// Returns the settings of the engines, which are the same in all runs.
fn engine_settings() -> Engine {
    Engine {
        slots: 64,
        kv_tokens: 50_000,
        tokens_per_event: 1,
        // Time for which a prefilled KV cache is kept for the engine that decodes.
        handle_ttl: Duration::from_millis(500),
        // Time for which an engine is unavailable when it changes its stage.
        stage_switch_time: Duration::from_secs(1),
    }
}
