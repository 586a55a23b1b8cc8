//! Records requests, their runs at backend servers and their outcomes, and finds violated guarantees.
//!
//! A finding is the text of a violated guarantee. The ledger itself checks that a request
//! - runs at most once if its kind demands that, and only for the organisation of its caller;
//! - never runs if its caller was told that it has not run, and did run if it was answered whole;
//! - stops running soon after its caller disconnects,
//!
//! and that an organisation does not exceed its allowance. Other modules record further violations.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Plain request that runs at most once.
    Deposit,
    /// Plain request that is idempotent.
    Lookup,
    /// Stream that runs at most once.
    Digest,
    /// Stream that may be resumed at another engine.
    Recap,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 4] = [Kind::Deposit, Kind::Lookup, Kind::Digest, Kind::Recap];

    /// Returns the first segment of the path.
    pub fn path_segment(self) -> &'static str {
        match self {
            Kind::Deposit => "pay",
            Kind::Lookup => "look",
            Kind::Digest => "digest",
            Kind::Recap => "recap",
        }
    }

    /// Returns `true` if the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Digest | Kind::Recap)
    }

    /// Returns `true` if the request may run at most once.
    fn runs_once(self) -> bool {
        matches!(self, Kind::Deposit | Kind::Digest)
    }
}

/// Outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The answer was received whole.
    Whole,
    /// Status 429 or 503: the request has not run and never will.
    NotRun,
    /// Another status code.
    Failed(u16),
    /// The connection or the answer broke off.
    Broken,
    /// The caller disconnected or stopped waiting.
    Left,
    /// The request was not sent, because the host is unreachable or the request is invalid.
    Unsent,
}

/// A run of a request at a backend server.
#[derive(Clone, Debug)]
struct Run {
    organisation: Option<Arc<str>>,
    began_at: Instant,
    ended_at: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Request {
    kind: Kind,
    organisation: Arc<str>,
    outcome: Option<(Outcome, Instant)>,
    runs: Vec<Run>,
}

/// Allowance of an organisation, in tokens.
#[derive(Clone, Debug)]
pub struct Allowance {
    /// Name of the organisation.
    pub organisation: Arc<str>,
    /// Rate, in tokens per second.
    pub rate: u64,
    /// Burst, in tokens.
    pub burst: u64,
    /// Cost of a request, in tokens.
    pub cost: u64,
}

/// Length of the window over which an allowance is checked.
const WINDOW: Duration = Duration::from_secs(8);
/// Percentage by which the allowance of a window may be exceeded while hosts join and leave; the same
/// as the platform's.
const OVERSHOOT_PERCENT: u64 = 10;
/// Longest time for the run of a request to end once its caller has disconnected.
const CANCELLATION_TIMEOUT: Duration = Duration::from_millis(500);
/// Tolerated delay of an observation past its guaranteed time, for a busy machine.
const TIMING_SLACK: Duration = Duration::from_millis(1_500);

/// All requests of a soak run and the violations found so far.
#[derive(Debug, Default)]
pub struct Ledger {
    requests: Mutex<HashMap<Arc<str>, Request>>,
    violations: Mutex<Vec<String>>,
}

impl Ledger {
    fn requests(&self) -> MutexGuard<'_, HashMap<Arc<str>, Request>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the violation of a guarantee.
    pub fn record_violation(&self, violation: String) {
        self.violations.lock().unwrap_or_else(PoisonError::into_inner).push(violation);
    }

    /// Records a request before it is sent.
    pub fn record_request(&self, id: &Arc<str>, kind: Kind, organisation: &Arc<str>) {
        let request =
            Request { kind, organisation: organisation.clone(), outcome: None, runs: Vec::new() };
        self.requests().insert(id.clone(), request);
    }

    /// Records the outcome of a request for its caller.
    pub fn record_outcome(&self, id: &Arc<str>, outcome: Outcome) {
        if let Some(request) = self.requests().get_mut(id) {
            request.outcome = Some((outcome, Instant::now()));
        }
    }

    /// Records that a server begins to run a request.
    pub fn record_start(&self, id: &str, organisation: Option<Arc<str>>, server: &str) {
        let mut requests = self.requests();
        match requests.get_mut(id) {
            Some(request) => {
                request.runs.push(Run { organisation, began_at: Instant::now(), ended_at: None });
            }
            None => {
                drop(requests);
                self.record_violation(format!("{server} runs {id}, which nobody sent"));
            }
        }
    }

    /// Records the end of the most recent run of a request.
    pub fn record_end(&self, id: &str) {
        if let Some(request) = self.requests().get_mut(id)
            && let Some(run) = request.runs.last_mut()
        {
            run.ended_at = Some(Instant::now());
        }
    }

    /// Returns the number of requests by kind and outcome.
    pub fn counts(&self) -> HashMap<(Kind, Outcome), u32> {
        let mut counts = HashMap::new();
        for request in self.requests().values() {
            if let Some((outcome, _)) = request.outcome {
                *counts.entry((request.kind, outcome)).or_default() += 1;
            }
        }
        counts
    }

    /// Returns the violations of guarantees found so far.
    pub fn findings(&self, allowances: &[Allowance]) -> Vec<String> {
        let mut findings = self.violations.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let requests = self.requests();
        for (id, request) in requests.iter() {
            findings.extend(
                check_request(request).into_iter().map(|finding| format!("{id}: {finding}")),
            );
        }
        findings.extend(
            allowances.iter().filter_map(|allowance| check_allowance(&requests, allowance)),
        );
        findings
    }
}

/// Returns the violations by one request; the guarantees are listed at the head of this module.
fn check_request(request: &Request) -> Vec<String> {
    let (kind, runs) = (request.kind, request.runs.len());
    let mut findings = Vec::new();
    if kind.runs_once() && runs > 1 {
        findings.push(format!("{kind:?} ran {runs} times"));
    }
    if request.runs.iter().any(|run| run.organisation.as_ref() != Some(&request.organisation)) {
        findings.push("ran for another organisation".to_owned());
    }
    match request.outcome {
        Some((Outcome::NotRun, _)) if runs > 0 => {
            findings.push(format!("{kind:?} was said not to have run, and ran"));
        }
        Some((Outcome::Whole, _)) if runs == 0 => {
            findings.push(format!("{kind:?} was answered, and no server ran it"));
        }
        Some((Outcome::Left, left_at)) => {
            let must_end_by = left_at + CANCELLATION_TIMEOUT + TIMING_SLACK;
            let ended_late = |run: &Run| match run.ended_at {
                Some(ended_at) => ended_at > must_end_by,
                None => Instant::now() > must_end_by,
            };
            if request.runs.iter().any(|run| run.began_at > must_end_by || ended_late(run)) {
                findings.push(format!("{kind:?} was worked on after its caller had left"));
            }
        }
        _ => {}
    }
    findings
}

/// Returns a finding if an organisation spent more than its allowance in any [`WINDOW`]. Each request
/// that ran counts once, at the start of its first run.
fn check_allowance(requests: &HashMap<Arc<str>, Request>, allowance: &Allowance) -> Option<String> {
    let requests_of_organisation =
        requests.values().filter(|request| request.organisation == allowance.organisation);
    let mut first_starts: Vec<Instant> = requests_of_organisation
        .filter(|request| !request.runs.is_empty())
        .map(|request| request.runs[0].began_at)
        .collect();
    first_starts.sort_unstable();
    let tokens_per_window = allowance.rate * WINDOW.as_secs() + allowance.burst;
    // A host that was paused for less time than its peers need to find it unreachable may spend a
    // burst of its own in addition to the burst that its peers spend.
    let bound = tokens_per_window * (100 + OVERSHOOT_PERCENT) / 100 + allowance.burst;
    let runs_in_window = |window_start: &Instant| {
        let window_end = *window_start + WINDOW;
        first_starts.iter().filter(|start| (*window_start..window_end).contains(*start)).count()
            as u64
    };
    let most_tokens =
        first_starts.iter().map(|start| runs_in_window(start) * allowance.cost).max()?;
    let organisation = &allowance.organisation;
    (most_tokens > bound).then(|| {
        format!("{organisation} spent {most_tokens} tokens within 8 s; {bound} are allowed")
    })
}

#[cfg(test)]
mod tests;
