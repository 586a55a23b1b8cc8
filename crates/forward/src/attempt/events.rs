//! A stream of events, cut into whole ones.

use bytes::{Bytes, BytesMut};

/// One event, with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Event {
    /// Its identifier, where it states one.
    pub(super) id: Option<u64>,
    /// Its bytes.
    pub(super) bytes: Bytes,
}

/// Cuts bytes into events. What is left at the end of a stream is no whole event.
#[derive(Debug, Default)]
pub(super) struct Events {
    waiting: BytesMut,
    /// Bytes in which no end of an event was found.
    searched: usize,
}

/// What ends an event.
const END: &[u8] = b"\n\n";
/// What begins the line that states an event's identifier.
const ID: &[u8] = b"id:";

impl Events {
    /// Takes bytes in.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.waiting.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub(super) fn next(&mut self) -> Option<Event> {
        let from = self.searched.saturating_sub(END.len() - 1);
        let found = self.waiting[from..].windows(END.len()).position(|window| window == END);
        let Some(found) = found else {
            self.searched = self.waiting.len();
            return None;
        };
        self.searched = 0;
        let bytes = self.waiting.split_to(from + found + END.len()).freeze();
        Some(Event { id: id(&bytes), bytes })
    }

    /// Whether bytes are left that are no whole event.
    pub(super) fn has_part(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Forgets what is left.
    pub(super) fn clear(&mut self) {
        self.waiting.clear();
        self.searched = 0;
    }
}

fn id(event: &[u8]) -> Option<u64> {
    let line = event.split(|&byte| byte == b'\n').find(|line| line.starts_with(ID))?;
    std::str::from_utf8(&line[ID.len()..]).ok()?.trim().parse().ok()
}
