//! A fleet: starts, observes and shuts down all processes of one deployment.

mod call;
mod start;

use crate::deployment::{ADMIN_PORT, AddressBlock, CALLER_PORT, Deployment, PLATFORM_PORT};
use crate::error::Error;
use crate::identity;
use crate::link::Link;
use crate::process::Process;
use call::get;
use chestnutrack_document::Document;
use chestnutrack_document::model::{Role, Server};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Host number of the object interface.
const PLATFORM_HOST: u8 = 1;
/// Host number of the first backend server.
const FIRST_SERVER_HOST: u8 = 10;
/// Host number of the first entry host.
const FIRST_ENTRY_HOST: u8 = 100;
/// Port of the relay in front of a side process.
const SIDE_LINK_PORT: u16 = 20_011;
/// Timeout for a process to become ready, and to shut down.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of a fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Deployment that the fleet runs.
    pub deployment: Deployment,
    /// Number of entry hosts.
    pub entries: u8,
    /// Whether connections between processes use TLS.
    pub tls: bool,
    /// Whether connections to side processes and to the object interface go through relays that can
    /// inject network faults.
    pub links: bool,
    /// Whether the engines check fencing numbers; passed to them and written in the document.
    pub checks_fencing: bool,
    /// Additional arguments of every engine.
    pub engine_arguments: Vec<String>,
    /// Additional arguments of every plain service.
    pub plain_arguments: Vec<String>,
    /// Edits the document before it is written.
    pub edit: fn(&mut Document),
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            deployment: Deployment::Larder,
            entries: 2,
            tls: false,
            links: false,
            checks_fencing: true,
            engine_arguments: Vec::new(),
            plain_arguments: Vec::new(),
            edit: |_| {},
        }
    }
}

/// A running fleet. Dropping it kills every process.
pub struct Fleet {
    /// Settings that the fleet was started with; `entries` grows as entry hosts are added.
    pub settings: Settings,
    /// Document as it was first written.
    pub document: Document,
    block: AddressBlock,
    folder: tempfile::TempDir,
    programs: PathBuf,
    processes: BTreeMap<String, Process>,
    links: BTreeMap<String, Link>,
}

impl Fleet {
    /// Starts every process and waits until all are ready.
    ///
    /// # Errors
    ///
    /// Returns the process that ended or did not become ready, with the end of its log.
    pub async fn start(settings: Settings) -> Result<Fleet, Error> {
        let mut fleet = Fleet::prepare(settings)?;
        fleet.start_platform().await?;
        fleet.write_document(&fleet.document.clone(), None).await?;
        let servers: Vec<Server> = fleet.servers().cloned().collect();
        for server in &servers {
            fleet.start_backend(server)?;
        }
        for server in &servers {
            fleet.start_side(server).await?;
        }
        for index in 0..fleet.settings.entries {
            fleet.start_entry(index).await?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Prepares a fleet without any process: its folder, certificates, addresses and document.
    fn prepare(settings: Settings) -> Result<Fleet, Error> {
        let other = |error: std::io::Error| Error::Other(error.to_string());
        let folder = tempfile::tempdir().map_err(other)?;
        if settings.tls {
            identity::write(folder.path())?;
        }
        let block = AddressBlock::random();
        let deployment = settings.deployment;
        let mut document = deployment.document(block, FIRST_SERVER_HOST, settings.checks_fencing);
        if settings.links {
            route_sides_through_links(&mut document);
        }
        (settings.edit)(&mut document);
        Ok(Fleet {
            settings,
            document,
            block,
            folder,
            programs: programs()?,
            processes: BTreeMap::new(),
            links: BTreeMap::new(),
        })
    }

    /// Returns all backend servers of the document.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.document.pools.iter().flat_map(|pool| &pool.servers)
    }

    /// Returns the names of the backend servers with a role.
    pub fn server_names(&self, role: Role) -> Vec<String> {
        let with_role = self.servers().filter(|server| server.role == role);
        with_role.map(|server| server.name.to_string()).collect()
    }

    /// Returns the address of the object interface.
    pub fn platform(&self) -> SocketAddr {
        self.block.address(PLATFORM_HOST, PLATFORM_PORT)
    }

    /// Returns the address of an entry host for callers.
    pub fn entry(&self, index: u8) -> SocketAddr {
        self.block.address(FIRST_ENTRY_HOST + index, CALLER_PORT)
    }

    /// Returns the addresses of all entry hosts for callers.
    pub fn entries(&self) -> Vec<SocketAddr> {
        (0..self.settings.entries).map(|index| self.entry(index)).collect()
    }

    /// Returns the address of the admin port of an entry host.
    pub fn entry_admin(&self, index: u8) -> SocketAddr {
        self.block.address(FIRST_ENTRY_HOST + index, ADMIN_PORT)
    }

    /// Returns the address of the admin port of the side process of a backend server.
    pub fn side_admin(&self, server: &str) -> Option<SocketAddr> {
        let server = self.servers().find(|candidate| candidate.name.as_ref() == server)?;
        Some(SocketAddr::new(server.address.ip(), ADMIN_PORT))
    }

    /// Returns the address of a backend server.
    pub fn backend(&self, server: &str) -> Option<SocketAddr> {
        let server = self.servers().find(|candidate| candidate.name.as_ref() == server)?;
        Some(server.address)
    }

    /// Returns the API key of an organisation.
    pub fn key(&self, organisation: &str) -> String {
        self.settings.deployment.key(organisation)
    }

    /// Returns a process by its name: `platform`, `entry-N`, `side-SERVER` or `backend-SERVER`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Other`] if there is no such process.
    pub fn process(&mut self, name: &str) -> Result<&mut Process, Error> {
        let missing = || Error::Other(format!("no process is named `{name}`"));
        self.processes.get_mut(name).ok_or_else(missing)
    }

    /// Returns the names of all processes.
    pub fn process_names(&self) -> Vec<String> {
        self.processes.keys().cloned().collect()
    }

    /// Returns a link by its name: `side-SERVER` for a side process, `platform-PROCESS` for the
    /// connection of a process to the object interface.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Other`] if there is no such link.
    pub fn link(&self, name: &str) -> Result<&Link, Error> {
        self.links.get(name).ok_or_else(|| Error::Other(format!("no link is named `{name}`")))
    }

    /// Returns the number of bytes that the links of side processes have forwarded.
    pub fn side_link_bytes(&self) -> u64 {
        let side_links = self.links.iter().filter(|(name, _)| name.starts_with("side-"));
        side_links.map(|(_, link)| link.bytes()).sum()
    }

    /// Waits until a condition holds.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Other`] with `description` if the condition doesn't hold within the limit.
    pub async fn wait_until<F>(
        &self,
        limit: Duration,
        description: &str,
        condition: F,
    ) -> Result<(), Error>
    where
        F: AsyncFn() -> bool,
    {
        let waiting = async {
            while !condition().await {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let result = tokio::time::timeout(limit, waiting).await;
        result
            .map_err(|_| Error::Other(format!("condition not met within {limit:?}: {description}")))
    }

    /// Checks that all processes are running.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Ended`] with the end of the log of a process that has ended.
    pub fn check_alive(&mut self) -> Result<(), Error> {
        for process in self.processes.values_mut() {
            if let Some(status) = process.exit_status() {
                let (name, log) = (process.name.clone(), process.log_end());
                return Err(Error::Ended { name, status, log });
            }
        }
        Ok(())
    }

    /// Shuts all processes down, entry hosts first, and returns the names and exit codes of those that
    /// did not exit with 0 in time.
    pub async fn shut_down(&mut self) -> Vec<String> {
        let mut failed = Vec::new();
        for prefix in ["entry-", "side-", "backend-", "platform"] {
            let group = || |process: &&mut Process| process.name.starts_with(prefix);
            for process in self.processes.values_mut().filter(group()) {
                let _ = process.terminate();
            }
            for process in self.processes.values_mut().filter(group()) {
                let code = process.wait(READY_TIMEOUT).await;
                if code != Some(0) {
                    failed.push(format!("{}: {code:?}", process.name));
                }
            }
        }
        failed
    }

    /// Starts another entry host and returns its index, without waiting until it is ready.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Start`] with the I/O error.
    pub async fn add_entry(&mut self) -> Result<u8, Error> {
        let index = self.settings.entries;
        self.start_entry(index).await?;
        self.settings.entries += 1;
        Ok(index)
    }

    /// Waits until the readiness probes of all side processes and entry hosts succeed.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotReady`] or [`Error::Ended`] with the end of the log of a process.
    pub async fn wait_ready(&mut self) -> Result<(), Error> {
        let sides = self.servers().map(|server| {
            let address = SocketAddr::new(server.address.ip(), ADMIN_PORT);
            (format!("side-{}", server.name), address)
        });
        let mut admins: Vec<(String, SocketAddr)> = sides.collect();
        for index in 0..self.settings.entries {
            admins.push((format!("entry-{index}"), self.entry_admin(index)));
        }
        for (name, address) in admins {
            self.wait_for(&name, address, "/readyz").await?;
        }
        Ok(())
    }

    /// Waits until a GET request to a process is answered with status 200.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotReady`] after [`READY_TIMEOUT`], or [`Error::Ended`] if any process has ended.
    async fn wait_for(
        &mut self,
        name: &str,
        address: SocketAddr,
        target: &str,
    ) -> Result<(), Error> {
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        loop {
            if matches!(get(address, target).await, Ok((200, _))) {
                return Ok(());
            }
            self.check_alive()?;
            if tokio::time::Instant::now() > deadline {
                let log = self.process(name)?.log_end();
                return Err(Error::NotReady(name.to_owned(), log));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Makes the document name the relays in front of the side processes instead of the processes.
fn route_sides_through_links(document: &mut Document) {
    for server in document.pools.iter_mut().flat_map(|pool| &mut pool.servers) {
        server.side.set_port(SIDE_LINK_PORT);
    }
}

/// Returns the folder that contains the programs: the one of the running executable or, for tests,
/// one of the two folders above it.
///
/// # Errors
///
/// Returns [`Error::Programs`] if the programs were not built.
pub fn programs() -> Result<PathBuf, Error> {
    let running = std::env::current_exe().map_err(|error| Error::Other(error.to_string()))?;
    let found = running.ancestors().skip(1).take(3).find(|folder| holds_programs(folder));
    found.map(Path::to_owned).ok_or(Error::Programs(running))
}

/// Returns `true` if a folder contains the programs that a fleet runs.
fn holds_programs(folder: &Path) -> bool {
    let names = ["chestnutrack-entry", "chestnutrack-side", "chestnutrack-standin"];
    names.iter().all(|name| folder.join(name).is_file())
}
