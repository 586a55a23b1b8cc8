//! Rate-limited logging through a background thread, so that logging never blocks.
//!
//! Lines over the rate limit, or over the capacity of the thread's queue, are dropped and counted.
//! The count is logged with the next line that fits the limit. The limit is enforced by a token bucket: each
//! line consumes tokens, which are refilled at the rate of the limit.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Limits on the log output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// Lines per second.
    pub lines_per_s: u32,
    /// Bytes per second.
    pub bytes_per_s: u32,
    /// Most lines that are queued for the writer thread.
    pub queued_lines_max: usize,
}

impl Default for RateLimit {
    fn default() -> RateLimit {
        // Several times what one host logs with its share of twice the peak load.
        RateLimit { lines_per_s: 1_000, bytes_per_s: 400_000, queued_lines_max: 4_096 }
    }
}

/// Keeps the writer thread running. Queued lines are written when this is dropped.
pub struct Guard(#[expect(dead_code, reason = "held for its drop")] WorkerGuard);

/// Starts logging JSON lines to standard output, until the returned guard is dropped. The filter is
/// taken from `CHESTNUTRACK_LOG` and defaults to `info`.
pub fn start_rate_limited(limit: RateLimit) -> Guard {
    let builder =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(limit.queued_lines_max);
    let (writer, guard) = builder.finish(io::stdout());
    let filter =
        EnvFilter::try_from_env("CHESTNUTRACK_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    let log_writer = RateLimitedWriter {
        queue_drops: writer.error_counter(),
        writer,
        token_bucket: Arc::new(Mutex::new(TokenBucket::new(limit, Instant::now()))),
    };
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(log_writer).json();
    let _ = builder.flatten_event(true).with_target(false).try_init();
    Guard(guard)
}

/// Queues lines for the writer thread within the rate limit.
#[derive(Clone)]
struct RateLimitedWriter {
    writer: NonBlocking,
    token_bucket: Arc<Mutex<TokenBucket>>,
    /// Counts lines dropped because the writer thread's queue was full.
    queue_drops: ErrorCounter,
}

impl<'a> MakeWriter<'a> for RateLimitedWriter {
    type Writer = RateLimitedWriter;

    fn make_writer(&'a self) -> RateLimitedWriter {
        self.clone()
    }
}

impl Write for RateLimitedWriter {
    /// Queues one line if the rate limit allows it, preceded by the number of lines dropped before.
    /// `line` has to be a whole line, since each call is counted as one. Returns the line's length also
    /// for a dropped line, which is thus regarded as written.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut token_bucket = self.token_bucket.lock().unwrap_or_else(PoisonError::into_inner);
        if token_bucket.try_consume(Instant::now(), line.len()) {
            let dropped =
                token_bucket.take_unreported_drops(self.queue_drops.dropped_lines() as u64);
            drop(token_bucket);
            if dropped > 0 {
                let report = format!(
                    "{{\"level\":\"WARN\",\"message\":\"lines dropped\",\"lines\":{dropped}}}\n"
                );
                self.writer.write_all(report.as_bytes())?;
            }
            self.writer.write_all(line)?;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Token bucket for lines and bytes. Also counts the lines that were dropped and not reported yet.
#[derive(Debug)]
pub(super) struct TokenBucket {
    limit: RateLimit,
    /// Lines that may be written now.
    lines: f64,
    /// Bytes that may be written now.
    bytes: f64,
    refilled_at: Instant,
    /// Total of lines dropped because they exceeded the limit.
    dropped: u64,
    /// Total of dropped lines, also those of the full queue, that
    /// [`TokenBucket::take_unreported_drops`] has returned.
    reported: u64,
}

impl TokenBucket {
    /// The bucket holds as much as the rate limit allows in this time.
    const BURST: Duration = Duration::from_secs(2);

    pub(super) fn new(limit: RateLimit, now: Instant) -> TokenBucket {
        let burst_s = TokenBucket::BURST.as_secs_f64();
        let lines = f64::from(limit.lines_per_s) * burst_s;
        let bytes = f64::from(limit.bytes_per_s) * burst_s;
        TokenBucket { limit, lines, bytes, refilled_at: now, dropped: 0, reported: 0 }
    }

    /// Consumes the tokens of a line with this many bytes. If there are too few, counts the line as
    /// dropped and returns `false`.
    pub(super) fn try_consume(&mut self, now: Instant, bytes: usize) -> bool {
        let elapsed_s = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let burst_s = TokenBucket::BURST.as_secs_f64();
        let (line_rate, byte_rate) =
            (f64::from(self.limit.lines_per_s), f64::from(self.limit.bytes_per_s));
        self.lines = (self.lines + elapsed_s * line_rate).min(line_rate * burst_s);
        self.bytes = (self.bytes + elapsed_s * byte_rate).min(byte_rate * burst_s);
        if self.lines < 1.0 || self.bytes < bytes as f64 {
            self.dropped += 1;
            return false;
        }
        self.lines -= 1.0;
        self.bytes -= bytes as f64;
        true
    }

    /// Returns how many lines were dropped since the last call, and marks them as reported.
    /// `queue_drops` is the total of lines dropped because the queue was full.
    pub(super) fn take_unreported_drops(&mut self, queue_drops: u64) -> u64 {
        let dropped = self.dropped + queue_drops;
        let unreported = dropped.saturating_sub(self.reported);
        self.reported = dropped;
        unreported
    }
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;
