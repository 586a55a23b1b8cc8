//! What the actor is told by the tasks around it.

use chestnutrack_core::server::prefix::Change;
use chestnutrack_core::server::{Connection, Event};
use chestnutrack_wire::connection::Sender;

/// What the actor is told.
pub enum Message {
    /// Something has happened to the table.
    Event(Event),
    /// A connection has been opened.
    Opened(Connection, Sender),
    /// A connection has ended.
    Closed(Connection),
    /// The engine has told of changes of its prefix cache.
    CacheEvents(Vec<Change>, u64),
}
