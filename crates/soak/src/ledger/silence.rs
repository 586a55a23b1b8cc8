//! Checks of requests whose engines are sound and fall silent: the answer is whole, and two engines don't work on a
//! request for long.

use super::disturbance::Disturbances;
use super::{Outcome, Request, Run, TIMING_SLACK};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest time for which two engines may work on one request.
const OVERLAP_MAX: Duration = Duration::from_millis(400);

/// Returns a finding if a stream broke off or failed before its deadline, though no fault but silence affected its host
/// and engines while it was served.
pub(super) fn check_whole(request: &Request, disturbances: &Disturbances) -> Option<String> {
    let (outcome, ended_at) = request.outcome?;
    let has_failed = matches!(outcome, Outcome::Broken | Outcome::Failed(500..));
    let is_late = ended_at.duration_since(request.sent_at) >= request.sent.deadline;
    if !has_failed || is_late || !is_undisturbed_stream(request, disturbances) {
        return None;
    }
    let kind = request.sent.kind;
    let runs: Vec<String> = request.runs.iter().map(|run| describe(request, run)).collect();
    let after = ended_at.duration_since(request.sent_at).as_millis();
    Some(format!(
        "{kind:?} ended as {outcome:?} after {after} ms at {}, of sound engines: {}",
        request.sent.host,
        runs.join(", ")
    ))
}

/// Returns a finding if two engines worked on a request for too long, though nothing kept its host from ending one of
/// them.
pub(super) fn check_overlap(request: &Request, disturbances: &Disturbances) -> Option<String> {
    let overlap = longest_overlap(request, disturbances);
    (overlap > OVERLAP_MAX + TIMING_SLACK).then(|| {
        let (kind, overlap) = (request.sent.kind, overlap.as_millis());
        format!("two engines worked on {kind:?} for {overlap} ms")
    })
}

/// Returns the number of streams with silent engines that were whole, the number of those that are checked, and the
/// longest time for which two engines worked on a request, in milliseconds.
pub(super) fn measures(
    requests: &HashMap<Arc<str>, Request>,
    disturbances: &Disturbances,
) -> BTreeMap<String, u32> {
    let is_silenced = |request: &&Request| request.runs.iter().any(|run| run.was_silent);
    let silenced: Vec<&Request> = requests.values().filter(is_silenced).collect();
    let whole = silenced
        .iter()
        .filter(|request| request.outcome.is_some_and(|(outcome, _)| outcome == Outcome::Whole));
    let checked =
        silenced.iter().filter(|request| is_undisturbed_stream(request, disturbances)).count();
    let overlap = requests.values().map(|request| longest_overlap(request, disturbances)).max();
    let overlap_ms = overlap.unwrap_or_default().as_millis();
    [
        ("streams silenced", silenced.len()),
        ("streams silenced and whole", whole.count()),
        ("streams silenced and undisturbed", checked),
        ("longest overlap in ms", usize::try_from(overlap_ms).unwrap_or(usize::MAX)),
    ]
    .map(|(name, count)| (name.to_owned(), u32::try_from(count).unwrap_or(u32::MAX)))
    .into()
}

/// Returns `true` if a request is a stream that ran, and no fault but silence affected its host and its engines from
/// when it was sent until it ended.
fn is_undisturbed_stream(request: &Request, disturbances: &Disturbances) -> bool {
    let Some((_, ended_at)) = request.outcome else { return false };
    let period = (request.sent_at, ended_at);
    let mut servers = request.runs.iter().map(|run| &run.server);
    request.sent.kind.is_stream()
        && !request.runs.is_empty()
        && !disturbances.any(&request.sent.host, period)
        && !servers.any(|server| disturbances.any(server, period))
}

/// Returns the longest time for which two engines worked on a request, while nothing affected the host, or their
/// connections since they began: a connection that stalls does so for good, and the engine never learns that it was closed.
fn longest_overlap(request: &Request, disturbances: &Disturbances) -> Duration {
    let mut longest = Duration::ZERO;
    for (number, run) in request.runs.iter().enumerate() {
        for other in &request.runs[number + 1..] {
            let period = (run.began_at.max(other.began_at), end(run).min(end(other)));
            let affected = [
                (&request.sent.host, period.0),
                (&run.server, run.began_at),
                (&other.server, other.began_at),
            ];
            let is_affected = affected
                .into_iter()
                .any(|(name, from)| disturbances.any_of_connections(name, (from, period.1)));
            if !is_affected {
                longest = longest.max(period.1.saturating_duration_since(period.0));
            }
        }
    }
    longest
}

/// Returns the end of a run, or the present if it has not ended.
fn end(run: &Run) -> Instant {
    run.ended_at.unwrap_or_else(Instant::now)
}

/// Returns a run's server and its times since the request was sent, in milliseconds.
fn describe(request: &Request, run: &Run) -> String {
    let since = |at: Instant| at.saturating_duration_since(request.sent_at).as_millis();
    let silence = if run.was_silent { ", silent" } else { "" };
    format!("{} from {} to {} ms{silence}", run.server, since(run.began_at), since(end(run)))
}
