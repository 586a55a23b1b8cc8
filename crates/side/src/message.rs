//! Messages that other tasks send to the actor.

use chestnutrack_core::server::prefix::Change;
use chestnutrack_core::server::{Connection, Event};
use chestnutrack_wire::connection::Sender;

/// A message to the actor.
pub enum Message {
    /// An event for the table to handle.
    Event(Event),
    /// A connection was accepted; frames for it go to the sender.
    Opened(Connection, Sender),
    /// A connection was closed.
    Closed(Connection),
    /// The engine returned events of its prefix cache, and the number of its newest event.
    CacheEvents(Vec<Change>, u64),
}
