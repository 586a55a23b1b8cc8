//! Schedules KV cache transfers on the server's link, one at a time. Each transfer is booked for a
//! hold, which is the resources that one attempt of a request occupies on the server.

use super::Key;
use crate::time::Instant;
use std::time::Duration;

/// A time window on the link, booked for one transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Booking {
    /// Hold that the transfer is for.
    pub hold: Key,
    /// When the transfer starts.
    pub start: Instant,
    /// When the transfer ends.
    pub end: Instant,
}

/// Bookings on the link, ordered by start time.
#[derive(Clone, Debug, Default)]
pub struct Link {
    bytes_per_s: u64,
    bookings: Vec<Booking>,
}

impl Link {
    /// Sets the link's rate, in bytes per second; 0 means unlimited.
    pub fn set_rate(&mut self, bytes_per_s: u64) {
        self.bytes_per_s = bytes_per_s;
    }

    /// Returns the time that a transfer takes.
    pub fn duration(&self, bytes: u64) -> Duration {
        let micros = bytes.saturating_mul(1_000_000).checked_div(self.bytes_per_s).unwrap_or(0);
        Duration::from_micros(micros)
    }

    /// Books the first free time window at or after `earliest`.
    pub fn book(&mut self, hold: Key, earliest: Instant, bytes: u64) -> Booking {
        let duration = self.duration(bytes);
        let mut start = earliest;
        for booking in &self.bookings {
            if start + duration <= booking.start {
                break;
            }
            start = start.max(booking.end);
        }
        let booking = Booking { hold, start, end: start + duration };
        self.insert(booking);
        booking
    }

    /// Moves the hold's booking to `now`, because its transfer starts.
    pub fn start(&mut self, hold: Key, now: Instant) {
        let Some(booking) = self.booking(hold) else { return };
        self.release(hold);
        self.insert(Booking { hold, start: now, end: now + booking.end.since(booking.start) });
    }

    /// Returns the booking of a hold.
    pub fn booking(&self, hold: Key) -> Option<Booking> {
        self.bookings.iter().find(|booking| booking.hold == hold).copied()
    }

    /// Removes the booking of a hold.
    pub fn release(&mut self, hold: Key) {
        self.bookings.retain(|booking| booking.hold != hold);
    }

    /// Returns the time at which the last booking ends, or `None` if there is no booking.
    pub fn free_at(&self) -> Option<Instant> {
        self.bookings.iter().map(|booking| booking.end).max()
    }

    /// Adds a booking in the order of start times.
    fn insert(&mut self, booking: Booking) {
        let index = self.bookings.partition_point(|other| other.start <= booking.start);
        self.bookings.insert(index, booking);
    }
}
