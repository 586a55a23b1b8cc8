//! The processes of a run, the relays between them, and the configuration.

use crate::backend::Backend;
use crate::caller::{Caller, ROUTE_HOST};
use crate::ledger::{Allowance, Ledger};
use chestnutrack_core::dispatch::{Entry, Stage};
use chestnutrack_forward::config::{Config, Engine, Kind, Limits, Organisation, Route, Service};
use chestnutrack_harness::deployment::{
    ADMIN_PORT, BACKEND_PORT, Block, CALLER_PORT, PEER_PORT, PLATFORM_PORT,
};
use chestnutrack_harness::fleet::programs;
use chestnutrack_harness::{Link, Process};
use chestnutrack_process::http;
use chestnutrack_process::pool::{self, Pool};
use chestnutrack_store::client::{self, Client};
use displaydoc::Display;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tempfile::TempDir;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep};

/// Number of the store's host, of the first server's and of the first entry host's.
const HOSTS: (u8, u8, u8) = (1, 10, 100);
/// Ports of the relays before the store and before a server.
const LINK_PORTS: (u16, u16) = (20_010, 20_011);
/// Longest time for a call to a process.
const CALL_WITHIN: Duration = Duration::from_secs(2);
/// Largest answer of one, in bytes.
const CALL_BYTES: usize = 1 << 20;
/// Time between looks at a condition.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// Longest time for an entry host to be ready, also after any fault.
pub const READY_WITHIN: Duration = Duration::from_secs(20);
/// Tokens that a plain request costs.
const PLAIN_TOKENS: u64 = 10;
/// Allowance of the organisation that asks for more than it, in tokens a second and at once.
const FLOOD: (u64, u64) = (200, 200);

/// Why a run could not go on.
#[derive(Debug, Display)]
pub enum Error {
    /// the fleet: {0}
    Fleet(chestnutrack_harness::Error),
    /// the system: {0}
    System(std::io::Error),
    /// the store: {0}
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
    /// Its process; held while a fault of the process goes on.
    pub process: Mutex<Process>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// The relay before the store.
    pub store: Link,
}

/// A backend server, and the relay before it.
pub struct Server {
    /// Its entry in the store.
    pub entry: Entry,
    /// The server.
    pub backend: Backend,
    /// The relay before it.
    pub link: Link,
}

/// Faults of the store or of links to it.
#[derive(Debug, Default)]
struct Disturbance {
    going_on: u32,
    ended: Option<Instant>,
}

/// A fault of the store or of a link to it, over when it is dropped.
pub struct Disturbed(Arc<std::sync::Mutex<Disturbance>>);

impl Drop for Disturbed {
    fn drop(&mut self) {
        let mut disturbance = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        disturbance.going_on -= 1;
        disturbance.ended = Some(Instant::now());
    }
}

/// Everything of a run.
pub struct Fleet {
    /// Entry hosts.
    pub hosts: Vec<Host>,
    /// Backend servers.
    pub servers: Mutex<Vec<Server>>,
    /// What ran and what was told.
    pub ledger: Arc<Ledger>,
    /// The configuration, as it was last written.
    pub config: Mutex<Config>,
    /// The store, past all relays.
    pub store: Client,
    block: Block,
    platform: SocketAddr,
    disturbance: Arc<std::sync::Mutex<Disturbance>>,
    _platform_process: Process,
    _folder: TempDir,
}

impl Fleet {
    /// Starts all and waits until it serves.
    ///
    /// # Errors
    ///
    /// What did not start.
    pub async fn start(hosts: u8) -> Result<Fleet, Error> {
        let folder = tempfile::tempdir()?;
        let programs = programs()?;
        let block = Block::random();
        let platform = block.address(HOSTS.0, PLATFORM_PORT);
        let arguments = vec!["platform".to_owned(), "--listen".to_owned(), platform.to_string()];
        let log = folder.path().join("platform.log");
        let process =
            Process::start("platform", &programs.join("chestnutrack-standin"), arguments, log)?;
        let settings = client::Settings::default();
        let store =
            Client::with_dialect(chestnutrack_store::dialect::OWN, platform, settings, None);
        let mut fleet = Fleet {
            hosts: Vec::new(),
            servers: Mutex::default(),
            ledger: Arc::default(),
            config: Mutex::new(config()),
            store,
            block,
            platform,
            disturbance: Arc::default(),
            _platform_process: process,
            _folder: folder,
        };
        fleet.wait_for("platform", platform, "/v1/hosts").await?;
        for (number, stage) in STAGES.iter().enumerate() {
            fleet.add_server(number as u8, *stage).await?;
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

    async fn start_host(&self, number: u8, programs: &Path) -> Result<Host, Error> {
        let address = |port| self.block.address(HOSTS.2 + number, port);
        let store = Link::start(address(LINK_PORTS.0), self.platform).await?;
        let name = format!("entry-{number}");
        let (callers, operators) = (address(CALLER_PORT), address(ADMIN_PORT));
        let given = [
            ("--name", name.clone()),
            ("--listen", callers.to_string()),
            ("--peer-listen", address(PEER_PORT).to_string()),
            ("--admin", operators.to_string()),
            ("--platform", store.address.to_string()),
            ("--failure-domain", format!("domain-{}", number % 2)),
            ("--drain-ms", "300".to_owned()),
        ];
        let mut arguments = vec!["--direct".to_owned()];
        arguments.extend(given.into_iter().flat_map(|(flag, value)| [flag.to_owned(), value]));
        let log = self._folder.path().join(format!("{name}.log"));
        let process = Process::start(&name, &programs.join("chestnutrack-entry"), arguments, log)?;
        Ok(Host { process: Mutex::new(process), callers, operators, store })
    }

    /// Starts a server under a number that was not used before, and lists it.
    ///
    /// # Errors
    ///
    /// What did not start or could not be written.
    pub async fn add_server(&self, number: u8, stage: Option<Stage>) -> Result<(), Error> {
        let address = |port| self.block.address(HOSTS.1 + number, port);
        let name: Arc<str> = format!("server-{number}").into();
        let backend =
            Backend::start(&name, stage, address(BACKEND_PORT), self.ledger.clone()).await?;
        let link = Link::start(address(LINK_PORTS.1), backend.address).await?;
        let entry = Entry {
            name: name.clone(),
            born: Some(u64::from(number)),
            service: if stage.is_some() { "llm" } else { "app" }.into(),
            address: link.address,
            failure_domain: format!("domain-{}", number % 2).into(),
            slots: 64,
            leaving: false,
            stage,
        };
        self.write("backends", &name, &json!(entry)).await?;
        self.servers.lock().await.push(Server { entry, backend, link });
        Ok(())
    }

    /// Writes an object whatever it was before; tried again while the store errs.
    ///
    /// # Errors
    ///
    /// The store's, where it lasts.
    pub async fn write(&self, kind: &str, name: &str, value: &Value) -> Result<(), Error> {
        let until = Instant::now() + READY_WITHIN;
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
                Err(error) if Instant::now() > until => return Err(error.into()),
                Err(_) => sleep(LOOK_EVERY).await,
            }
        }
    }

    /// Changes the configuration; it is the store's once this returns.
    ///
    /// # Errors
    ///
    /// The store's, where it lasts.
    pub async fn write_config(&self, change: impl FnOnce(&mut Config)) -> Result<(), Error> {
        let mut config = self.config.lock().await;
        change(&mut config);
        config.version += 1;
        self.write("routing", "main", &json!(*config)).await
    }

    /// Changes faults of the store.
    ///
    /// # Errors
    ///
    /// When the store's process is gone.
    pub async fn set_store(&self, faults: &Value) -> Result<(), Error> {
        let request = http::request("POST", "/control/faults", faults.to_string());
        self.call("platform", self.platform, request).await
    }

    /// Notes a fault of the store or of a link to it.
    pub fn disturb_store(&self) -> Disturbed {
        self.disturbance.lock().unwrap_or_else(PoisonError::into_inner).going_on += 1;
        Disturbed(self.disturbance.clone())
    }

    /// How long the store and all links to it have been without a fault.
    pub fn store_calm_for(&self) -> Duration {
        let disturbance = self.disturbance.lock().unwrap_or_else(PoisonError::into_inner);
        match (disturbance.going_on, disturbance.ended) {
            (0, None) => Duration::MAX,
            (0, Some(ended)) => ended.elapsed(),
            _ => Duration::ZERO,
        }
    }

    /// Deletes an object; tried again while the store errs.
    ///
    /// # Errors
    ///
    /// The store's, where it lasts.
    pub async fn remove(&self, kind: &str, name: &str) -> Result<(), Error> {
        let until = Instant::now() + READY_WITHIN;
        loop {
            let deleted = match self.store.read(kind, name).await {
                Ok(object) => self.store.delete(kind, name, object.version).await.map(drop),
                Err(error) => Err(error),
            };
            match deleted {
                Ok(()) | Err(chestnutrack_store::error::Error::Missing) => return Ok(()),
                Err(error) if Instant::now() > until => return Err(error.into()),
                Err(_) => sleep(LOOK_EVERY).await,
            }
        }
    }

    async fn call(
        &self,
        name: &str,
        address: SocketAddr,
        request: Result<hyper::Request<http_body_util::Full<bytes::Bytes>>, http::Error>,
    ) -> Result<(), Error> {
        let failed = |text: String| Error::NotReady(name.to_owned(), text);
        let request = request.map_err(|error| failed(error.to_string()))?;
        let pool = Pool::new(address, pool::Settings::default().without_reuse());
        let answer = pool.call(request, CALL_WITHIN, CALL_BYTES).await;
        let answer = answer.map_err(|error| failed(error.to_string()))?;
        match answer.status().is_success() {
            true => Ok(()),
            false => Err(failed(answer.status().to_string())),
        }
    }

    async fn wait_for(&self, name: &str, address: SocketAddr, target: &str) -> Result<(), Error> {
        let until = Instant::now() + READY_WITHIN;
        loop {
            match self.call(name, address, http::request("GET", target, "")).await {
                Ok(()) => return Ok(()),
                Err(error) if Instant::now() > until => return Err(error),
                Err(_) => sleep(LOOK_EVERY).await,
            }
        }
    }

    /// Waits until a host says that it is ready.
    ///
    /// # Errors
    ///
    /// [`Error::NotReady`].
    pub async fn wait_ready(&self, host: usize) -> Result<(), Error> {
        self.wait_for(&format!("entry-{host}"), self.hosts[host].operators, "/readyz").await
    }
}

/// What the servers at the start do.
const STAGES: [Option<Stage>; 8] = [
    Some(Stage::Decode),
    Some(Stage::Decode),
    Some(Stage::Decode),
    Some(Stage::Prefill),
    Some(Stage::Prefill),
    None,
    None,
    None,
];

/// Callers of organisations: one without a limit, one that asks for more than its allowance.
pub fn callers() -> (Caller, Caller) {
    let caller =
        |name: &str| Caller { organisation: name.into(), key: format!("key-of-{name}").into() };
    (caller("orchard"), caller("flood"))
}

/// The allowance that binds.
pub fn allowance() -> Allowance {
    let (rate, burst) = FLOOD;
    Allowance { organisation: callers().1.organisation, rate, burst, cost: PLAIN_TOKENS }
}

fn config() -> Config {
    let (free, flood) = callers();
    let organisation = |caller: Caller, (rate, burst)| Organisation {
        name: caller.organisation,
        keys: vec![caller.key],
        priority: None,
        rate,
        burst,
        plain_tokens: PLAIN_TOKENS,
    };
    Config {
        version: 0,
        routes: vec![
            route("pay", Kind::Once, "app", 3),
            route("look", Kind::Idempotent, "app", 3),
            route("digest", Kind::Stream { resumable: false }, "llm", 3),
            route("recap", Kind::Stream { resumable: true }, "llm", 3),
        ],
        services: vec![service("app", None), service("llm", Some(engine()))],
        organisations: vec![organisation(free, (0, 0)), organisation(flood, FLOOD)],
        limits: Limits::default(),
    }
}

/// A route to a service.
pub fn route(path: &str, kind: Kind, service: &str, attempts: u32) -> Route {
    Route {
        name: path.into(),
        host: ROUTE_HOST.into(),
        prefix: format!("/{path}/").into(),
        kind,
        timeout: Duration::from_millis(2_500),
        target_latency: Duration::from_millis(900),
        max_pause: Some(Duration::from_millis(300)),
        priority: 1,
        split: vec![(service.into(), 1)],
        attempts,
        open: false,
    }
}

fn service(name: &str, engine: Option<Engine>) -> Service {
    Service { name: name.into(), health_path: "/health".into(), connections: 100, engine }
}

fn engine() -> Engine {
    Engine {
        slots: 64,
        kv_tokens: 50_000,
        tokens_per_event: 1,
        handle_ttl: Duration::from_millis(500),
        stage_switch_time: Duration::from_secs(1),
    }
}
