//! Entry hosts, which own holds, and their connections.

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

/// Replaced incarnations that are remembered.
const REPLACED_MAX: usize = 1_024;

/// An entry host: one incarnation of one name.
#[derive(Clone, Debug)]
pub struct Owner {
    /// Name and incarnation.
    pub sender: Sender,
    /// Its newest connection, while that is open.
    pub connection: Option<Connection>,
    /// When it was last heard of.
    pub last_seen: Instant,
    /// The load that it was last told of by itself.
    pub reported: Option<Load>,
}

/// Owners and their connections.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    owners: SlotMap<Key, Owner>,
    connections: HashMap<Connection, Key>,
    /// Incarnations that another of their name has replaced, oldest first.
    replaced: VecDeque<Sender>,
}

/// What an introduction has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// The owner.
    pub key: Key,
    /// An older connection of it, which is to be closed.
    pub replaced: Option<Connection>,
    /// Owners of the same name and another incarnation, which are gone.
    pub gone: Vec<Key>,
}

impl Owners {
    /// Takes the first frame of a connection; `None` for an incarnation that was replaced, such
    /// as a process that was stopped meanwhile, while the one that replaced it is connected.
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
        let (known, gone): (Vec<_>, Vec<_>) = same_name
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
        let mut replaced = None;
        if let Some(owner) = self.owners.get_mut(key) {
            owner.last_seen = now;
            owner.reported = None;
            replaced = owner.connection.replace(connection).filter(|old| *old != connection);
        }
        if let Some(old) = replaced {
            self.connections.remove(&old);
        }
        self.connections.insert(connection, key);
        let gone: Vec<Key> = gone.into_iter().map(|(key, _)| key).collect();
        for key in &gone {
            self.remember_replaced(*key);
        }
        Some(Registration { key, replaced, gone })
    }

    /// Whether another incarnation of a name is connected.
    fn is_superseded(&self, sender: &Sender) -> bool {
        let mut connected = self.owners.values().filter(|owner| owner.connection.is_some());
        connected.any(|owner| owner.sender.name == sender.name && owner.sender != *sender)
    }

    fn remember_replaced(&mut self, key: Key) {
        let Some(owner) = self.owners.get(key) else { return };
        self.replaced.push_back(owner.sender.clone());
        if self.replaced.len() > REPLACED_MAX {
            self.replaced.pop_front();
        }
    }

    /// Notes that a connection speaks, and says whose it is.
    pub fn record_frame(&mut self, now: Instant, connection: Connection) -> Option<Key> {
        let key = *self.connections.get(&connection)?;
        self.owners.get_mut(key)?.last_seen = now;
        Some(key)
    }

    /// Notes that an owner is told of a load; whether it is news.
    pub fn record_report(&mut self, key: Key, load: Load) -> bool {
        let Some(owner) = self.owners.get_mut(key) else { return false };
        owner.reported.replace(load) != Some(load)
    }

    /// Takes a connection away and says whose it was.
    pub fn disconnect(&mut self, connection: Connection) -> Option<Key> {
        let key = self.connections.remove(&connection)?;
        let owner = self.owners.get_mut(key)?;
        if owner.connection == Some(connection) {
            owner.connection = None;
        }
        Some(key)
    }

    /// Forgets an owner and returns its connection.
    pub fn remove(&mut self, key: Key) -> Option<Connection> {
        let connection = self.owners.remove(key)?.connection?;
        self.connections.remove(&connection);
        Some(connection)
    }

    /// An owner.
    pub fn get(&self, key: Key) -> Option<&Owner> {
        self.owners.get(key)
    }

    /// Every owner.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Owner)> {
        self.owners.iter()
    }

    /// Every open connection, in order.
    pub fn connections(&self) -> Vec<Connection> {
        let mut connections: Vec<_> = self.connections.keys().copied().collect();
        connections.sort_unstable();
        connections
    }

    /// Allows for a time in which this process was stopped and could hear nobody.
    pub fn shift_last_seen(&mut self, pause: Duration) {
        for owner in self.owners.values_mut() {
            owner.last_seen = owner.last_seen + pause;
        }
    }
}
