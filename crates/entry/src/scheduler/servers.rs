//! The backend servers of the current configuration, and the links to their side processes.

use super::{Arguments, Condition, Message, ServerView};
use crate::link::{self, Link};
use chestnutrack_core::place::{Key, Server, Table};
use chestnutrack_core::time::Instant;
use chestnutrack_document::model;
use chestnutrack_fleet::Snapshot;
use ractor::ActorRef;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Table of servers, with the link to each server's side process.
#[derive(Default)]
pub(super) struct Servers {
    /// State of the servers that placement uses.
    pub(super) table: Table,
    links: HashMap<Key, Link>,
    /// Key of each server, by its name and the address of its side process.
    keys: HashMap<(Arc<str>, SocketAddr), Key>,
    /// Servers that are no longer configured but may still have requests in flight.
    removed_keys: Vec<Key>,
}

impl Servers {
    /// Returns the link to a server, once it was started.
    pub(super) fn link(&self, key: Key) -> Option<Link> {
        self.links.get(&key).cloned()
    }

    /// Adds, updates and removes servers to match a configuration, and passes it to their side
    /// processes. A snapshot that contains no document is ignored.
    pub(super) fn configure(
        &mut self,
        snapshot: &Arc<Snapshot>,
        arguments: &Arguments,
        actor: &ActorRef<Message>,
    ) {
        let Some(document) = &snapshot.document else { return };
        let mut configured_keys = Vec::new();
        for pool in &document.pools {
            for server in &pool.servers {
                let identity = (server.name.clone(), server.side);
                let key = match self.keys.get(&identity) {
                    Some(key) => *key,
                    None => self.add_server(pool, server, snapshot, arguments, actor),
                };
                configured_keys.push(key);
                let is_leaving = server.leaving || snapshot.leaving.contains(&server.host);
                update_server(&mut self.table[key], pool, server, is_leaving);
            }
        }
        self.remove_unconfigured(&configured_keys);
        self.links.values().for_each(|link| link.configure(snapshot.clone()));
    }

    /// Adds a server to the table and starts the link to its side process. The link reports to the
    /// scheduler's actor.
    fn add_server(
        &mut self,
        pool: &model::Pool,
        server: &model::Server,
        snapshot: &Arc<Snapshot>,
        arguments: &Arguments,
        actor: &ActorRef<Message>,
    ) -> Key {
        let domain = server.failure_domain.clone();
        let server_state = Server::new(server.name.clone(), pool.name.clone(), server.role, domain);
        let key = self.table.insert(server_state);
        self.keys.insert((server.name.clone(), server.side), key);
        let notices = actor.clone();
        let arguments = link::Arguments {
            server: server.name.clone(),
            address: server.side,
            sender: arguments.sender.clone(),
            security: arguments.security.clone(),
            settings: arguments.link,
            snapshot: snapshot.clone(),
            notices: Arc::new(move |notice| {
                let _ = notices.cast(Message::Notice(key, notice));
            }),
            timer: arguments.timer.clone(),
            metrics: arguments.metrics.clone(),
        };
        start_link(key, arguments, actor.clone());
        key
    }

    /// Marks servers that are no longer configured as leaving, so that they get no new work, and
    /// removes those that are idle.
    fn remove_unconfigured(&mut self, configured_keys: &[Key]) {
        self.removed_keys =
            self.table.keys().filter(|key| !configured_keys.contains(key)).collect();
        for key in &self.removed_keys {
            self.table[*key].leaving = true;
        }
        self.remove_idle_unconfigured();
    }

    /// Deletes servers that are no longer configured and have no requests in flight, and stops
    /// their links.
    pub(super) fn remove_idle_unconfigured(&mut self) {
        let is_idle = |key: &Key| self.table.get(*key).is_none_or(|server| server.in_flight == 0);
        let (idle_keys, busy_keys): (Vec<Key>, Vec<Key>) =
            self.removed_keys.drain(..).partition(is_idle);
        self.removed_keys = busy_keys;
        for key in idle_keys {
            self.table.remove(key);
            self.keys.retain(|_, other| *other != key);
            if let Some(link) = self.links.remove(&key) {
                link.stop();
            }
        }
    }

    /// Stores a link that was started, or stops it if its server was removed meanwhile.
    pub(super) fn add_link(&mut self, key: Key, link: Link) {
        if self.table.contains_key(key) {
            self.links.insert(key, link);
        } else {
            link.stop();
        }
    }

    /// Describes a server's expected load, for the explanation of a request placed on it.
    pub(super) fn describe(&self, key: Key, now: Instant) -> Arc<str> {
        let Some(server) = self.table.get(key) else { return "removed".into() };
        let used_slots = server.expected_used_milli(now).div_ceil(1_000);
        let queued_tokens = server.expected_queue_tokens();
        format!(
            "{used_slots} of {} slots expected in use, {queued_tokens} tokens queued",
            server.slots
        )
        .into()
    }

    /// Returns the number of side processes that are reachable.
    pub(super) fn reachable_count(&self) -> usize {
        let is_reachable = |key: &Key| self.table.get(*key).is_some_and(|server| server.connected);
        self.links.keys().filter(|key| is_reachable(key)).count()
    }

    /// Returns the state of all servers for operators, sorted by pool and name.
    pub(super) fn views(&self, now: Instant) -> Vec<ServerView> {
        let mut views: Vec<ServerView> =
            self.table.values().map(|server| server_view(server, now)).collect();
        views.sort_by(|a, b| (&a.pool, &a.name).cmp(&(&b.pool, &b.name)));
        views
    }
}

/// Starts the link to a server in the background and passes it to the scheduler.
fn start_link(key: Key, arguments: link::Arguments, actor: ActorRef<Message>) {
    tokio::spawn(async move {
        let server = arguments.server.clone();
        match Link::start(arguments).await {
            Ok(link) => {
                let _ = actor.cast(Message::Linked(key, link));
            }
            Err(error) => tracing::error!(%server, %error, "link could not be started"),
        }
    });
}

/// Copies a server's configuration into its table entry.
fn update_server(
    server_state: &mut Server,
    pool: &model::Pool,
    server: &model::Server,
    is_leaving: bool,
) {
    server_state.pool = pool.name.clone();
    server_state.role = server.role;
    server_state.failure_domain = server.failure_domain.clone();
    server_state.slots = server.slots;
    server_state.kv_tokens = server.kv_tokens;
    if server_state.leaving && !is_leaving {
        // The side process may have reported that it drains only because of the configuration.
        server_state.draining = false;
    }
    server_state.leaving = is_leaving;
}

/// Returns the state of a server for operators. If several conditions hold, the order is leaving,
/// unreachable, full.
fn server_view(server: &Server, now: Instant) -> ServerView {
    let is_full = server.expected_used_milli(now) >= u64::from(server.slots) * 1_000;
    let state = match (server.leaving || server.draining, server.connected, is_full) {
        (true, ..) => Condition::Leaving,
        (_, false, _) => Condition::Unreachable,
        (_, _, true) => Condition::Full,
        _ => Condition::Live,
    };
    ServerView {
        name: server.name.clone(),
        pool: server.pool.clone(),
        role: server.role,
        failure_domain: server.failure_domain.clone(),
        state,
        slots: server.slots,
        used: server.load.used,
        waiting: server.load.waiting,
        held: server.in_flight,
        queued_tokens: server.load.queued_tokens,
    }
}
