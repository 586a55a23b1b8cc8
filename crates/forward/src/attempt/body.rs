//! Reads answers that are passed on as a whole.

use super::{Failure, Job};
use crate::app::Target;
use bytes::{Bytes, BytesMut};
use chestnutrack_process::http::Error;
use chestnutrack_process::pool::Stream;
use tokio::time::timeout;

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

/// Reads an answer no larger than a request body may be. Fails while the answers that are being read exceed the
/// limit of this host. Closes the connection of an answer that is not read to its end.
async fn read_bounded(job: &Job, stream: &mut Stream) -> Result<Bytes, Error> {
    let max_bytes = job.active_config.table.config().limits.body_bytes;
    let mut memory = job.app.answer_memory();
    let mut buffer = BytesMut::new();
    while let Some(chunk) = stream.chunk().await? {
        let has_room = memory.grow(chunk.len(), job.app.settings.answer_bytes);
        if !has_room || buffer.len() + chunk.len() > max_bytes {
            stream.discard();
            return Err(Error::TooLarge(buffer.len()));
        }
        buffer.extend_from_slice(&chunk);
    }
    Ok(buffer.freeze())
}
