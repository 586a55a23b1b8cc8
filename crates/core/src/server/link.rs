//! The server's link for KV transfers: each takes its booking.

use super::Key;
use crate::time::Instant;
use std::time::Duration;

/// One transfer's booking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Booking {
    /// Whose it is.
    pub hold: Key,
    /// When it begins.
    pub start: Instant,
    /// When it ends.
    pub end: Instant,
}

/// Turns on the link, in the order of their start.
#[derive(Clone, Debug, Default)]
pub struct Link {
    bytes_per_s: u64,
    bookings: Vec<Booking>,
}

impl Link {
    /// Sets the link's rate, in bytes a second; 0 for a link without a limit.
    pub fn set_rate(&mut self, bytes_per_s: u64) {
        self.bytes_per_s = bytes_per_s;
    }

    /// Time that a transfer takes.
    pub fn duration(&self, bytes: u64) -> Duration {
        let micros = bytes.saturating_mul(1_000_000).checked_div(self.bytes_per_s).unwrap_or(0);
        Duration::from_micros(micros)
    }

    /// Books the first free booking at or after `earliest`.
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

    /// Moves a booking to the present, because its transfer begins.
    pub fn start(&mut self, hold: Key, now: Instant) {
        let Some(booking) = self.booking(hold) else { return };
        self.release(hold);
        self.insert(Booking { hold, start: now, end: now + booking.end.since(booking.start) });
    }

    /// The booking of a hold.
    pub fn booking(&self, hold: Key) -> Option<Booking> {
        self.bookings.iter().find(|booking| booking.hold == hold).copied()
    }

    /// Gives a booking back.
    pub fn release(&mut self, hold: Key) {
        self.bookings.retain(|booking| booking.hold != hold);
    }

    /// When the link is free of every booked booking.
    pub fn free_at(&self) -> Option<Instant> {
        self.bookings.iter().map(|booking| booking.end).max()
    }

    fn insert(&mut self, booking: Booking) {
        let at = self.bookings.partition_point(|other| other.start <= booking.start);
        self.bookings.insert(at, booking);
    }
}
