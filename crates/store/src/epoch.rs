//! Epochs of the object interface, and versions that are ordered across them.
//!
//! An interface that was restored from a copy has lost the writes since, and gives the same versions
//! out again for others. It then states a higher epoch. The client joins the epoch and the
//! interface's version into one number, so that versions of all epochs can be compared; nothing
//! outside the client sees the interface's own versions.

use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use hyper::HeaderMap;
use tokio::sync::watch;

/// Bits of a version that hold the interface's own version.
const OWN_BITS: u32 = 40;
/// Largest own version that fits.
const OWN_MAX: u64 = (1 << OWN_BITS) - 1;
/// Largest epoch that fits: versions must stay exact in JSON numbers.
const EPOCH_MAX: u64 = (1 << (53 - OWN_BITS)) - 1;

/// Returns the epoch of a version.
pub fn of(version: u64) -> u64 {
    version >> OWN_BITS
}

/// Returns the interface's own version.
pub(crate) fn own_version(version: u64) -> u64 {
    version & OWN_MAX
}

/// Joins an epoch and the interface's own version. Returns `None` if one of them is too large.
pub(crate) fn join(epoch: u64, own: u64) -> Option<u64> {
    (epoch <= EPOCH_MAX && own <= OWN_MAX).then_some((epoch << OWN_BITS) | own)
}

/// Joins as [`join`] does, but leaves version 0, which stands for an object that does not exist.
pub(crate) fn join_existing(epoch: u64, own: u64) -> Option<u64> {
    if own == 0 { Some(0) } else { join(epoch, own) }
}

/// What a response says about the epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stated {
    /// The epoch known before, or the first one.
    Current(u64),
    /// An earlier epoch than the known one: the response was delayed.
    Earlier(u64),
    /// A higher epoch than this one, which was known before.
    Risen(u64, u64),
}

/// The highest epoch that a response has stated, and when it was first stated.
#[derive(Clone, Debug)]
pub(crate) struct Known(watch::Sender<Option<(u64, Instant)>>);

impl Known {
    /// Creates a client's state before the first response.
    pub(crate) fn new() -> Known {
        Known(watch::Sender::new(None))
    }

    /// Returns the known epoch; 0 before the first response.
    pub(crate) fn get(&self) -> u64 {
        self.0.borrow().map_or(0, |(epoch, _)| epoch)
    }

    /// Returns when the known epoch was first stated; `None` before the first response.
    pub(crate) fn since(&self) -> Option<Instant> {
        self.0.borrow().map(|(_, since)| since)
    }

    /// Returns a receiver of changes of the known epoch.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Option<(u64, Instant)>> {
        self.0.subscribe()
    }

    /// Records the epoch that a response states. One that states none counts as of the known epoch.
    pub(crate) fn record(&self, stated: Option<u64>) -> Stated {
        let Some(stated) = stated else { return Stated::Current(self.get()) };
        let (mut outcome, now) = (Stated::Current(stated), clock::now());
        self.0.send_if_modified(|known| match *known {
            Some((before, _)) if stated < before => {
                outcome = Stated::Earlier(stated);
                false
            }
            Some((before, _)) if stated > before => {
                outcome = Stated::Risen(before, stated);
                *known = Some((stated, now));
                true
            }
            Some(_) => false,
            None => {
                *known = Some((stated, now));
                false
            }
        });
        outcome
    }
}

/// Parses the epoch in a header. One that is not a number, or too large, counts as none.
pub fn parse(headers: &HeaderMap, name: &str) -> Option<u64> {
    let text = headers.get(name)?.to_str().ok()?;
    text.trim().parse().ok().filter(|epoch| *epoch <= EPOCH_MAX)
}
