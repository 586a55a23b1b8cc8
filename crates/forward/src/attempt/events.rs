//! Splits a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// One server-sent event, with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Event {
    /// Value of the event's `id` field, if it has one that is a number.
    pub(super) id: Option<u64>,
    /// Bytes of the event, unchanged.
    pub(super) bytes: Bytes,
}

/// Buffers bytes of a stream and splits them into events of at most [`MAX_EVENT_BYTES`]. Bytes that remain at the end
/// of a stream are a partial event.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buffer: BytesMut,
    /// Leading bytes of the buffer that hold no end of an event.
    searched_bytes: usize,
}

/// Largest event with the blank line that ends it, in bytes.
pub(super) const MAX_EVENT_BYTES: usize = 64 << 10;
/// Blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";
/// Start of the line that holds an event's identifier.
const ID_FIELD: &[u8] = b"id:";

impl EventSplitter {
    /// Appends bytes of the stream.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next whole event, or `None` if more bytes are needed or the event is too large.
    /// Continues the search for the event's end where the last call stopped, less the bytes in which an end may have
    /// begun.
    pub(super) fn next(&mut self) -> Option<Event> {
        let search_start = self.searched_bytes.saturating_sub(EVENT_END.len() - 1);
        let search_end = self.buffer.len().min(MAX_EVENT_BYTES);
        let end_offset = self.buffer[search_start..search_end]
            .windows(EVENT_END.len())
            .position(|window| window == EVENT_END);
        let Some(end_offset) = end_offset else {
            self.searched_bytes = search_end;
            return None;
        };
        self.searched_bytes = 0;
        let bytes = self.buffer.split_to(search_start + end_offset + EVENT_END.len()).freeze();
        Some(Event { id: parse_id(&bytes), bytes })
    }

    /// Returns `true` if the last call of [`EventSplitter::next`] found that the next event is larger than
    /// [`MAX_EVENT_BYTES`].
    pub(super) fn is_oversized(&self) -> bool {
        self.searched_bytes == MAX_EVENT_BYTES
    }

    /// Returns `true` if the buffer holds bytes that are not a whole event.
    pub(super) fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards the buffered bytes.
    pub(super) fn clear(&mut self) {
        self.buffer.clear();
        self.searched_bytes = 0;
    }
}

/// Returns the value of an event's `id` field, or `None` if it has none or it is not a number.
fn parse_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|&byte| byte == b'\n').find(|line| line.starts_with(ID_FIELD))?;
    std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?.trim().parse().ok()
}
