//! Reads answers that are passed on as a whole.

use super::{Failure, Job};
use crate::app::{Counted, Target};
use bytes::Bytes;
use chestnutrack_process::http::Error;
use chestnutrack_process::pool::Stream;
use tokio::task::yield_now;
use tokio::time::timeout;

/// Callers whose answers may be given up for one answer. Their answers are mostly no smaller than it.
const READERS_EVICTED_MAX: u32 = 4;

/// Reads an answer whole, before the deadline of its request. Logs why it could not be read.
///
/// # Errors
///
/// [`Failure::Unknown`] if the answer breaks off or is too large, [`Failure::TimedOut`] at the deadline.
pub(super) async fn read_whole(
    job: &Job,
    target: &Target,
    stream: &mut Stream,
) -> Result<Bytes, Failure> {
    match timeout(job.left(), read_bounded(job, stream)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(error)) => {
            let server = &target.entry.name;
            tracing::info!(id = job.head.id.as_deref(), %server, %error, "failed to read the answer");
            job.record_break(target, None, &error);
            Err(Failure::Unknown)
        }
        Err(_) => Err(Failure::TimedOut),
    }
}

/// Reads an answer no larger than a request body may be. The memory of its bytes is counted until they have been written.
/// Where answers exceed the limit of this host, callers that don't take theirs are disconnected; fails if there are none.
/// Closes the connection of an answer that is not read to its end.
async fn read_bounded(job: &Job, stream: &mut Stream) -> Result<Bytes, Error> {
    let max_bytes = job.active_config.table.config().limits.body_bytes;
    let mut memory = job.app.answer_memory();
    let mut bytes = Vec::new();
    while let Some(chunk) = stream.chunk().await? {
        let mut has_room = memory.grow(chunk.len(), job.app.settings.answer_bytes);
        for _ in 0..READERS_EVICTED_MAX {
            if has_room || !job.app.callers.evict_reader() {
                break;
            }
            // The evicted caller's task releases the memory of its answer.
            yield_now().await;
            has_room = memory.grow(chunk.len(), job.app.settings.answer_bytes);
        }
        if !has_room || bytes.len() + chunk.len() > max_bytes {
            stream.discard();
            return Err(Error::TooLarge(bytes.len()));
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(Counted { bytes, memory }.into_bytes())
}
