//! Log lines within a bound, written by a thread of their own, so that logging never blocks.
//!
//! Lines beyond the bound, or beyond what the writer keeps up with, are dropped and counted; the
//! count is written as a line as soon as there is room again.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// How much may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// Lines a second.
    pub lines_per_s: u32,
    /// Bytes a second.
    pub bytes_per_s: u32,
    /// Lines that wait for the writer.
    pub queued_lines_max: usize,
}

impl Default for RateLimit {
    fn default() -> RateLimit {
        // Several times what a host logs at its share of twice the peak load.
        RateLimit { lines_per_s: 1_000, bytes_per_s: 400_000, queued_lines_max: 4_096 }
    }
}

/// Keeps the writer going; the lines that wait are written when it is dropped.
pub struct Guard(#[expect(dead_code, reason = "held for its drop")] WorkerGuard);

/// Starts logging JSON lines on standard output; the filter comes from `CHESTNUTRACK_LOG`, by
/// default `info`.
pub fn start_rate_limited(bound: RateLimit) -> Guard {
    let builder =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(bound.queued_lines_max);
    let (writer, guard) = builder.finish(io::stdout());
    let filter =
        EnvFilter::try_from_env("CHESTNUTRACK_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    let lines = Lines {
        lost: writer.error_counter(),
        writer,
        bucket: Arc::new(Mutex::new(Bucket::new(bound, Instant::now()))),
    };
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(lines).json();
    let _ = builder.flatten_event(true).with_target(false).try_init();
    Guard(guard)
}

#[derive(Clone)]
struct Lines {
    writer: NonBlocking,
    bucket: Arc<Mutex<Bucket>>,
    /// Lines that the writer did not keep up with.
    lost: ErrorCounter,
}

impl<'a> MakeWriter<'a> for Lines {
    type Writer = Lines;

    fn make_writer(&'a self) -> Lines {
        self.clone()
    }
}

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        if bucket.take(Instant::now(), line.len()) {
            let dropped = bucket.dropped_since(self.lost.dropped_lines() as u64);
            drop(bucket);
            if dropped > 0 {
                let note = format!(
                    "{{\"level\":\"WARN\",\"message\":\"lines dropped\",\"lines\":{dropped}}}\n"
                );
                self.writer.write_all(note.as_bytes())?;
            }
            self.writer.write_all(line)?;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// What may be written now.
#[derive(Debug)]
pub(super) struct Bucket {
    bound: RateLimit,
    lines: f64,
    bytes: f64,
    at: Instant,
    dropped: u64,
    told: u64,
}

impl Bucket {
    /// Time whose worth of lines can be saved up.
    const SAVED: Duration = Duration::from_secs(2);

    pub(super) fn new(bound: RateLimit, now: Instant) -> Bucket {
        let saved = Bucket::SAVED.as_secs_f64();
        let lines = f64::from(bound.lines_per_s) * saved;
        let bytes = f64::from(bound.bytes_per_s) * saved;
        Bucket { bound, lines, bytes, at: now, dropped: 0, told: 0 }
    }

    /// Takes a line of so many bytes; false, and counted, where it is beyond the bound.
    pub(super) fn take(&mut self, now: Instant, bytes: usize) -> bool {
        let seconds = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        let saved = Bucket::SAVED.as_secs_f64();
        let (lines, rate) = (f64::from(self.bound.lines_per_s), f64::from(self.bound.bytes_per_s));
        self.lines = (self.lines + seconds * lines).min(lines * saved);
        self.bytes = (self.bytes + seconds * rate).min(rate * saved);
        if self.lines < 1.0 || self.bytes < bytes as f64 {
            self.dropped += 1;
            return false;
        }
        self.lines -= 1.0;
        self.bytes -= bytes as f64;
        true
    }

    /// Lines dropped that were not told of yet, with those that the writer lost.
    pub(super) fn dropped_since(&mut self, lost: u64) -> u64 {
        let dropped = self.dropped + lost;
        let fresh = dropped.saturating_sub(self.told);
        self.told = dropped;
        fresh
    }
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;
