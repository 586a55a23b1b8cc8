//! Entry hosts, which own holds (what their attempts have of the server), and their connections.
//!
//! An entry host that restarts is another owner: its name is the same, but its incarnation, a
//! number drawn at its start, is new.

use super::event::Connection;
use crate::time::Instant;
use chestnutrack_wire::frame::{Load, Sender};
use slotmap::{SlotMap, new_key_type};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

new_key_type! {
    /// Key of an owner.
    pub struct Key;
}

/// Maximum number of replaced incarnations that are remembered.
const REPLACED_MAX: usize = 1_024;

/// One incarnation of an entry host.
#[derive(Clone, Debug)]
pub struct Owner {
    /// Name and incarnation.
    pub sender: Sender,
    /// The newest connection, if it is open.
    pub connection: Option<Connection>,
    /// When the last frame was received.
    pub last_seen: Instant,
    /// The load last reported to this owner.
    pub reported: Option<Load>,
}

/// Known owners and their connections.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    owners: SlotMap<Key, Owner>,
    connections: HashMap<Connection, Key>,
    /// Incarnations that were replaced by another of the same name, oldest first.
    replaced: VecDeque<Sender>,
}

/// Result of registering a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Owner of the connection.
    pub key: Key,
    /// The owner's previous connection, which the caller must close; `None` if it had none.
    pub previous_connection: Option<Connection>,
    /// Owners with the same name but another incarnation. Their processes are gone, and the caller
    /// must remove them.
    pub former_incarnations: Vec<Key>,
}

impl Owners {
    /// Registers a connection by its first frame, and adds its sender as an owner if it is not
    /// known.
    ///
    /// Returns `None` for a replaced incarnation, such as a process that resumes after a pause,
    /// while the incarnation that replaced it is connected.
    pub fn register(
        &mut self,
        now: Instant,
        connection: Connection,
        sender: Sender,
    ) -> Option<Registration> {
        if self.replaced.contains(&sender) {
            if self.is_superseded(&sender) {
                return None;
            }
            self.replaced.retain(|replaced| *replaced != sender);
        }
        let same_name = self.owners.iter().filter(|(_, owner)| owner.sender.name == sender.name);
        let (known, former_incarnations): (Vec<_>, Vec<_>) = same_name
            .map(|(key, owner)| (key, owner.sender.incarnation))
            .partition(|(_, incarnation)| *incarnation == sender.incarnation);
        let key = match known.first() {
            Some((key, _)) => *key,
            None => self.owners.insert(Owner {
                sender,
                connection: None,
                last_seen: now,
                reported: None,
            }),
        };
        let mut previous_connection = None;
        if let Some(owner) = self.owners.get_mut(key) {
            owner.last_seen = now;
            owner.reported = None;
            previous_connection =
                owner.connection.replace(connection).filter(|old| *old != connection);
        }
        if let Some(old) = previous_connection {
            self.connections.remove(&old);
        }
        self.connections.insert(connection, key);
        let former_incarnations: Vec<Key> =
            former_incarnations.into_iter().map(|(key, _)| key).collect();
        for key in &former_incarnations {
            self.remember_replaced(*key);
        }
        Some(Registration { key, previous_connection, former_incarnations })
    }

    /// Returns `true` if another incarnation of the same name is connected.
    fn is_superseded(&self, sender: &Sender) -> bool {
        let mut connected = self.owners.values().filter(|owner| owner.connection.is_some());
        connected.any(|owner| owner.sender.name == sender.name && owner.sender != *sender)
    }

    /// Remembers an incarnation as replaced. The oldest are forgotten if there are too many.
    fn remember_replaced(&mut self, key: Key) {
        let Some(owner) = self.owners.get(key) else { return };
        self.replaced.push_back(owner.sender.clone());
        if self.replaced.len() > REPLACED_MAX {
            self.replaced.pop_front();
        }
    }

    /// Records that a frame was received on a connection, and returns the connection's owner.
    pub fn record_frame(&mut self, now: Instant, connection: Connection) -> Option<Key> {
        let key = *self.connections.get(&connection)?;
        self.owners.get_mut(key)?.last_seen = now;
        Some(key)
    }

    /// Records the load that is reported to an owner. Returns `true` if it differs from the last
    /// report.
    pub fn record_report(&mut self, key: Key, load: Load) -> bool {
        let Some(owner) = self.owners.get_mut(key) else { return false };
        owner.reported.replace(load) != Some(load)
    }

    /// Removes a closed connection and returns its owner, which stays known.
    pub fn disconnect(&mut self, connection: Connection) -> Option<Key> {
        let key = self.connections.remove(&connection)?;
        let owner = self.owners.get_mut(key)?;
        if owner.connection == Some(connection) {
            owner.connection = None;
        }
        Some(key)
    }

    /// Removes an owner and returns its connection, or `None` if it had none.
    pub fn remove(&mut self, key: Key) -> Option<Connection> {
        let connection = self.owners.remove(key)?.connection?;
        self.connections.remove(&connection);
        Some(connection)
    }

    /// Returns an owner.
    pub fn get(&self, key: Key) -> Option<&Owner> {
        self.owners.get(key)
    }

    /// Iterates over all owners.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Owner)> {
        self.owners.iter()
    }

    /// Returns all open connections, sorted.
    pub fn connections(&self) -> Vec<Connection> {
        let mut connections: Vec<_> = self.connections.keys().copied().collect();
        connections.sort_unstable();
        connections
    }

    /// Moves every owner's last frame forward by the time for which this process was paused and
    /// could not receive frames.
    pub fn shift_last_seen(&mut self, pause: Duration) {
        for owner in self.owners.values_mut() {
            owner.last_seen = owner.last_seen + pause;
        }
    }
}
