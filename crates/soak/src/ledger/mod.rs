//! What ran, what callers were told, and which promises that breaks.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What a caller asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// It must run once at most.
    Deposit,
    /// It may run again.
    Lookup,
    /// A stream that runs once at most.
    Digest,
    /// A stream that may go on at another engine.
    Recap,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 4] = [Kind::Deposit, Kind::Lookup, Kind::Digest, Kind::Recap];

    /// First part of its path.
    pub fn path(self) -> &'static str {
        match self {
            Kind::Deposit => "pay",
            Kind::Lookup => "look",
            Kind::Digest => "digest",
            Kind::Recap => "recap",
        }
    }

    /// Whether it is answered by a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Digest | Kind::Recap)
    }

    fn runs_once(self) -> bool {
        matches!(self, Kind::Deposit | Kind::Digest)
    }
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// A whole answer.
    Whole,
    /// 429 or 503: it has not run and never will.
    NotRun,
    /// Another status.
    Failed(u16),
    /// The connection broke, or the answer broke off.
    Broken,
    /// The caller left.
    Left,
    /// Nothing was sent: the host can't be reached.
    Unsent,
}

/// One run at a backend server.
#[derive(Clone, Debug)]
struct Run {
    organisation: Option<Arc<str>>,
    began: Instant,
    ended: Option<Instant>,
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
    /// The organisation.
    pub organisation: Arc<str>,
    /// Tokens a second.
    pub rate: u64,
    /// Tokens at once.
    pub burst: u64,
    /// Tokens that a request costs.
    pub cost: u64,
}

/// Window over which an allowance is checked.
const WINDOW: Duration = Duration::from_secs(8);
/// Part of a window by which it may be exceeded while hosts come and go, in per cent: the platform's own.
const OVERSHOOT_PERCENT: u64 = 10;
/// Longest time for work to end once its caller has left.
const CANCELLATION_TIMEOUT: Duration = Duration::from_millis(500);
/// How much later than promised something may be seen on a busy machine.
const TIMING_SLACK: Duration = Duration::from_millis(1_500);

/// All requests of a run, and the promises that were broken.
#[derive(Debug, Default)]
pub struct Ledger {
    requests: Mutex<HashMap<Arc<str>, Request>>,
    violations: Mutex<Vec<String>>,
}

impl Ledger {
    fn requests(&self) -> MutexGuard<'_, HashMap<Arc<str>, Request>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a broken promise.
    pub fn record_violation(&self, violation: String) {
        self.violations.lock().unwrap_or_else(PoisonError::into_inner).push(violation);
    }

    /// Notes a request before it is sent.
    pub fn record_request(&self, id: &Arc<str>, kind: Kind, organisation: &Arc<str>) {
        let request =
            Request { kind, organisation: organisation.clone(), outcome: None, runs: Vec::new() };
        self.requests().insert(id.clone(), request);
    }

    /// Notes how a request ended for its caller.
    pub fn record_outcome(&self, id: &Arc<str>, outcome: Outcome) {
        if let Some(request) = self.requests().get_mut(id) {
            request.outcome = Some((outcome, Instant::now()));
        }
    }

    /// Notes that a server begins to run a request.
    pub fn record_start(&self, id: &str, organisation: Option<Arc<str>>, server: &str) {
        let mut requests = self.requests();
        match requests.get_mut(id) {
            Some(request) => {
                request.runs.push(Run { organisation, began: Instant::now(), ended: None });
            }
            None => {
                drop(requests);
                self.record_violation(format!("{server} runs {id}, which nobody sent"));
            }
        }
    }

    /// Notes that a server has ended the last run of a request.
    pub fn record_end(&self, id: &str) {
        if let Some(request) = self.requests().get_mut(id)
            && let Some(run) = request.runs.last_mut()
        {
            run.ended = Some(Instant::now());
        }
    }

    /// How many requests ended in which way.
    pub fn counts(&self) -> HashMap<(Kind, Outcome), u32> {
        let mut counts = HashMap::new();
        for request in self.requests().values() {
            if let Some((outcome, _)) = request.outcome {
                *counts.entry((request.kind, outcome)).or_default() += 1;
            }
        }
        counts
    }

    /// The promises that were broken so far.
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
        Some((Outcome::Left, left)) => {
            let limit = left + CANCELLATION_TIMEOUT + TIMING_SLACK;
            let ended_late = |run: &Run| match run.ended {
                Some(ended) => ended > limit,
                None => Instant::now() > limit,
            };
            if request.runs.iter().any(|run| run.began > limit || ended_late(run)) {
                findings.push(format!("{kind:?} was worked on after its caller had left"));
            }
        }
        _ => {}
    }
    findings
}

fn check_allowance(requests: &HashMap<Arc<str>, Request>, allowance: &Allowance) -> Option<String> {
    let requests_of_organisation =
        requests.values().filter(|request| request.organisation == allowance.organisation);
    let mut runs: Vec<Instant> = requests_of_organisation
        .filter(|request| !request.runs.is_empty())
        .map(|request| request.runs[0].began)
        .collect();
    runs.sort_unstable();
    let window = allowance.rate * WINDOW.as_secs() + allowance.burst;
    // A host that stands still for less than its peers' silence may spend a bucket beside theirs.
    let bound = window * (100 + OVERSHOOT_PERCENT) / 100 + allowance.burst;
    let runs_in_window = |from: &Instant| {
        let end = *from + WINDOW;
        runs.iter().filter(|at| (*from..end).contains(*at)).count() as u64
    };
    let most = runs.iter().map(|from| runs_in_window(from) * allowance.cost).max()?;
    let name = &allowance.organisation;
    (most > bound).then(|| format!("{name} spent {most} tokens within 8 s; {bound} are allowed"))
}

#[cfg(test)]
mod tests;
