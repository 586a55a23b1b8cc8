//! Keeps a stream at the build that began it: records the build of streams that begin here, and finds that of streams
//! that their callers resume.

use super::Job;
use crate::answer::{Cause, Refusal};
use chestnutrack_core::origin::Stream;
use chestnutrack_process::clock;
use std::sync::Arc;
use std::time::Duration;

/// Longest time to find out which build began a stream.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Retry time given to the caller of a stream that can't go on: a host that has just started learns of streams, and an
/// engine that has crashed starts again.
const BUILD_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Time after the deadline of a request in which its caller may still resume its stream.
const RESUME_MARGIN: Duration = Duration::from_secs(2);

/// Returns the build whose engines may serve the request: `None`, so any, unless the caller resumes a stream.
///
/// # Errors
///
/// Returns the refusal if the build that began the stream can't be found, or has no engine.
pub(super) async fn resolve(job: &Job) -> Result<Option<Arc<str>>, Refusal> {
    if job.head.last_event.is_none() && job.head.resumes.is_none() {
        return Ok(None);
    }
    let (began_at, stream) = (clock::now(), job.head.resumes.as_deref().map(Stream::begun_by));
    let found = job.app.find_build(&job.service, stream, SEARCH_TIMEOUT).await;
    let basis = found.as_ref().map(|(_, basis)| basis.name());
    let build = found.map(|(build, _)| build);
    let cause = match &build {
        None => Some(Cause::BuildUnknown),
        Some(build) if !job.app.has_build(&job.service, build) => Some(Cause::BuildGone),
        Some(_) => None,
    };
    let (id, resumes, last) =
        (job.head.id.as_deref(), job.head.resumes.as_deref(), job.head.last_event);
    let waited_ms = clock::now().since(began_at).as_millis() as u64;
    let refused = cause.map(Cause::name);
    tracing::info!(
        id,
        resumes,
        last,
        build = build.as_deref(),
        basis,
        refused,
        waited_ms,
        "caller resumes a stream"
    );
    match cause {
        Some(cause) => Err(Refusal::with_retry_after(cause, BUILD_RETRY_AFTER)),
        None => Ok(build),
    }
}

/// Records that `build` writes the stream of which the first event is about to be forwarded.
pub(super) fn record(job: &Job, build: &Arc<str>) {
    // A caller that resumes a stream names it, or else it can't be told from others.
    let request = match job.head.last_event {
        Some(_) => job.head.resumes.as_deref(),
        None => job.head.resumes.as_deref().or(job.head.id.as_deref()),
    };
    let Some(request) = request else { return };
    let limit = job.head.deadline.unwrap_or_default().max(job.route.timeout);
    let until = job.arrived_at + limit + RESUME_MARGIN;
    job.app.record_origin(&job.service, Stream::begun_by(request), build, until);
}
