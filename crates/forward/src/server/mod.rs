//! The backend servers, as the platform lists them, and what this host has under way at each.

use chestnutrack_process::pool::{self, Pool};
use slotmap::{SlotMap, new_key_type};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

new_key_type! {
    /// A backend server; a new start under the same name is another one.
    pub struct Key;
}

/// What a backend server does for model requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// It prefills prompts.
    Prefill,
    /// It generates.
    Decode,
}

/// A backend server, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name.
    pub name: Arc<str>,
    /// When it started, in milliseconds since 1970 by its own clock; tells starts under one name
    /// apart.
    pub born: Option<u64>,
    /// Service.
    pub service: Arc<str>,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving and must get no new request.
    pub leaving: bool,
    /// What it does for model requests; absent for a plain service.
    pub stage: Option<Stage>,
}

/// A backend server and what this host has under way there.
pub struct Server {
    /// What the platform lists.
    pub entry: Entry,
    /// Connections.
    pub pool: Pool,
    /// Requests under way from this host.
    pub running: u32,
    /// Tokens of KV cache that these may come to hold.
    pub tokens: u64,
}

/// What a request is given when it is placed.
#[derive(Clone)]
pub struct Target {
    /// The backend server.
    pub key: Key,
    /// What the platform lists.
    pub entry: Entry,
    /// Connections to it.
    pub pool: Pool,
}

/// All backend servers; cheap to clone.
#[derive(Clone, Default)]
pub struct Servers(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    servers: SlotMap<Key, Server>,
    names: HashMap<Arc<str>, Key>,
}

/// A place at a backend server, given back when it is dropped.
pub struct Place {
    servers: Servers,
    /// Where it is.
    pub target: Target,
    tokens: u64,
}

impl Drop for Place {
    fn drop(&mut self) {
        if let Some(server) = self.servers.state().servers.get_mut(self.target.key) {
            server.running -= 1;
            server.tokens -= self.tokens;
        }
    }
}

impl Servers {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts an entry in force.
    pub fn put(&self, entry: Entry) {
        let mut state = self.state();
        if let Some(&key) = state.names.get(&entry.name) {
            let server = &mut state.servers[key];
            let same = server.entry.address == entry.address && server.entry.born == entry.born;
            if same {
                server.entry = entry;
                return;
            }
            state.servers.remove(key);
        }
        let settings = pool::Settings { connect: CONNECT_WITHIN, ..Default::default() };
        let pool = Pool::new(entry.address, settings);
        let name = entry.name.clone();
        let key = state.servers.insert(Server { entry, pool, running: 0, tokens: 0 });
        state.names.insert(name, key);
    }

    /// Forgets a backend server.
    pub fn remove(&self, name: &str) {
        let mut state = self.state();
        if let Some(key) = state.names.remove(name) {
            state.servers.remove(key);
        }
    }

    /// Forgets all backend servers but those with these names.
    pub fn retain(&self, names: &dyn Fn(&str) -> bool) {
        let gone: Vec<Arc<str>> =
            self.state().names.keys().filter(|name| !names(name)).cloned().collect();
        gone.iter().for_each(|name| self.remove(name));
    }

    /// Places a request at the server that `rank` puts lowest; none where it ranks none.
    pub fn place<R: Ord>(&self, tokens: u64, rank: impl Fn(&Server) -> Option<R>) -> Option<Place> {
        let mut state = self.state();
        let ranked = state.servers.iter().filter_map(|(key, server)| Some((rank(server)?, key)));
        let (_, key) = ranked.min_by(|(left, _), (right, _)| left.cmp(right))?;
        let server = &mut state.servers[key];
        server.running += 1;
        server.tokens += tokens;
        let target = Target { key, entry: server.entry.clone(), pool: server.pool.clone() };
        Some(Place { servers: self.clone(), target, tokens })
    }
}

/// Longest time to open a connection to a backend server.
const CONNECT_WITHIN: Duration = Duration::from_millis(300);
