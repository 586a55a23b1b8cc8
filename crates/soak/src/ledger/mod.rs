//! Records requests, their runs at backend servers and their outcomes, and finds violated guarantees.
//!
//! A finding is the text of a violated guarantee. The ledger itself checks that a request
//! - runs at most once if its kind demands that, and only for the organisation of its caller;
//! - never runs if its caller was told that it has not run, and did run if it was answered whole;
//! - stops running soon after its caller disconnects;
//! - is answered whole if it is a stream and no fault but silence affected its engines ([`silence`]);
//! - is not worked on by two engines for long ([`silence`]),
//!
//! that streams that their callers resume go on ([`resume`]), that what crashes servers is kept from them ([`crash`]), that servers get no more requests than they name
//! ([`limit`]), and that an organisation does not exceed its allowance. Other modules record further violations.

pub mod crash;
pub mod disturbance;
mod limit;
pub mod resume;
pub mod silence;

use crash::{CrashCause, Sharing};
use disturbance::{Disturbances, Guard, Scope};
use std::collections::{BTreeMap, HashMap};
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

/// A request as its caller sends it.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Kind of the request.
    pub kind: Kind,
    /// Organisation of the caller.
    pub organisation: Arc<str>,
    /// Name of the entry host that it is sent to.
    pub host: Arc<str>,
    /// Time until its deadline.
    pub deadline: Duration,
    /// What the request has in common with those that crash engines, for requests by which the others' service is
    /// measured.
    pub sharing: Option<Sharing>,
}

/// A run of a request at a backend server.
#[derive(Clone, Debug)]
struct Run {
    server: Arc<str>,
    organisation: Option<Arc<str>>,
    began_at: Instant,
    ended_at: Option<Instant>,
    /// Whether the server fell silent during the run.
    was_silent: bool,
}

#[derive(Clone, Debug)]
struct Request {
    sent: Sent,
    sent_at: Instant,
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
#[derive(Debug)]
pub struct Ledger {
    began_at: Instant,
    requests: Mutex<HashMap<Arc<str>, Request>>,
    violations: Mutex<Vec<String>>,
    disturbances: Arc<Mutex<Disturbances>>,
    crash_causes: Mutex<BTreeMap<Arc<str>, CrashCause>>,
    limits: Mutex<BTreeMap<Arc<str>, limit::Limited>>,
    tries: Mutex<resume::Tries>,
}

impl Default for Ledger {
    fn default() -> Ledger {
        let began_at = Instant::now();
        Ledger {
            began_at,
            requests: Mutex::default(),
            violations: Mutex::default(),
            disturbances: Arc::default(),
            crash_causes: Mutex::default(),
            limits: Mutex::default(),
            tries: Mutex::new(resume::Tries { began_at, tries: Vec::new() }),
        }
    }
}

impl Ledger {
    /// Returns the time since the run began.
    pub fn elapsed(&self) -> Duration {
        self.began_at.elapsed()
    }

    fn requests(&self) -> MutexGuard<'_, HashMap<Arc<str>, Request>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the violation of a guarantee.
    pub fn record_violation(&self, violation: String) {
        let violation = format!("{violation} (at {} ms)", self.elapsed().as_millis());
        self.violations.lock().unwrap_or_else(PoisonError::into_inner).push(violation);
    }

    /// Records a request before it is sent.
    pub fn record_request(&self, id: &Arc<str>, sent: Sent) {
        let request = Request { sent, sent_at: Instant::now(), outcome: None, runs: Vec::new() };
        self.requests().insert(id.clone(), request);
    }

    /// Records that a fault begins to affect a host or a server. It ends when the guard is dropped.
    pub fn disturb(&self, name: &Arc<str>, scope: Scope) -> Guard {
        Guard::new(&self.disturbances, name, scope)
    }

    /// Returns whether the process of a host or server stood still within the last `time`.
    pub fn has_paused(&self, name: &str, time: Duration) -> bool {
        let disturbances = self.disturbances.lock().unwrap_or_else(PoisonError::into_inner);
        disturbances.any_pause(name, (Instant::now() - time, Instant::now()))
    }

    /// Records the outcome of a request for its caller.
    pub fn record_outcome(&self, id: &Arc<str>, outcome: Outcome) {
        if let Some(request) = self.requests().get_mut(id) {
            request.outcome = Some((outcome, Instant::now()));
        }
    }

    /// Records that a server begins to run a request, and returns the number of the run among the request's runs.
    pub fn record_start(
        &self,
        id: &str,
        organisation: Option<Arc<str>>,
        server: &Arc<str>,
    ) -> usize {
        let mut requests = self.requests();
        match requests.get_mut(id) {
            Some(request) => {
                request.runs.push(Run {
                    server: server.clone(),
                    organisation,
                    began_at: Instant::now(),
                    ended_at: None,
                    was_silent: false,
                });
                request.runs.len() - 1
            }
            None => {
                drop(requests);
                self.record_violation(format!("{server} runs {id}, which nobody sent"));
                0
            }
        }
    }

    /// Records that the server of a run fell silent.
    pub fn record_silence(&self, id: &str, run: usize) {
        self.change_run(id, run, |run| run.was_silent = true);
    }

    /// Records the end of a run.
    pub fn record_end(&self, id: &str, run: usize) {
        self.change_run(id, run, |run| run.ended_at = Some(Instant::now()));
    }

    fn change_run(&self, id: &str, run: usize, change: impl FnOnce(&mut Run)) {
        if let Some(run) = self.requests().get_mut(id).and_then(|request| request.runs.get_mut(run))
        {
            change(run);
        }
    }

    /// Records that a request that crashes servers has reached one.
    pub fn record_crashing_arrival(&self, cause: &Arc<str>, id: &Arc<str>, server: &Arc<str>) {
        let arrival = crash::Arrival { id: id.clone(), server: server.clone(), at: Instant::now() };
        self.change_cause(cause, |cause| cause.arrivals.push(arrival));
    }

    /// Records that a cause has crashed a server, and returns how often it has.
    pub fn record_crash(&self, cause: &Arc<str>) -> usize {
        self.change_cause(cause, |cause| {
            cause.crashes.push(Instant::now());
            cause.crashes.len()
        })
    }

    /// Records that no more requests with a cause of crashes are sent.
    pub fn record_cause_end(&self, cause: &Arc<str>) {
        self.change_cause(cause, |cause| cause.ended_at = Some(Instant::now()));
    }

    fn change_cause<T>(&self, cause: &Arc<str>, change: impl FnOnce(&mut CrashCause) -> T) -> T {
        let mut causes = self.crash_causes.lock().unwrap_or_else(PoisonError::into_inner);
        change(causes.entry(cause.clone()).or_default())
    }

    /// Records that a server begins to name a limit, in requests per second.
    pub fn record_limit(&self, server: &Arc<str>, per_s: u32) {
        self.limits().insert(server.clone(), limit::Limited::new(per_s));
    }

    /// Records that a server names no limit any more.
    pub fn record_limit_end(&self, server: &Arc<str>) {
        if let Some(limited) = self.limits().get_mut(server) {
            limited.ended_at = Some(Instant::now());
        }
    }

    /// Records that a request has reached a server that names a limit.
    pub fn record_limited_arrival(&self, server: &Arc<str>, id: &str) {
        if let Some(limited) = self.limits().get_mut(server) {
            limited.arrivals.push((id.into(), Instant::now()));
        }
    }

    fn limits(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, limit::Limited>> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a request for a resumable stream.
    pub fn record_try(&self, one: resume::Try) {
        self.tries().tries.push(one);
    }

    fn tries(&self) -> MutexGuard<'_, resume::Tries> {
        self.tries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of requests by kind and outcome.
    pub fn counts(&self) -> HashMap<(Kind, Outcome), u32> {
        let mut counts = HashMap::new();
        for request in self.requests().values() {
            if let Some((outcome, _)) = request.outcome {
                *counts.entry((request.sent.kind, outcome)).or_default() += 1;
            }
        }
        counts
    }

    /// Returns what shows whether the faults of engines came about, by name.
    pub fn measures(&self) -> BTreeMap<String, u32> {
        let requests = self.requests();
        let disturbances = self.disturbances.lock().unwrap_or_else(PoisonError::into_inner);
        let mut measures = silence::measures(&requests, &disturbances);
        measures.extend(self.tries().measures(&disturbances));
        let causes = self.crash_causes.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, cause) in causes.iter() {
            measures.extend(crash::measures(name, cause, &requests, &disturbances));
        }
        for limited in self.limits().values() {
            measures.insert(
                "most requests at a limited server".to_owned(),
                limited.most(&requests, &disturbances),
            );
        }
        measures
    }

    /// Returns the violations of guarantees found so far.
    pub fn findings(&self, allowances: &[Allowance]) -> Vec<String> {
        let mut findings = self.violations.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let requests = self.requests();
        let disturbances = self.disturbances.lock().unwrap_or_else(PoisonError::into_inner);
        for (id, request) in requests.iter() {
            let mut of_request = check_request(request, &disturbances);
            of_request.extend(silence::check_whole(request, &disturbances));
            of_request.extend(silence::check_overlap(request, &disturbances));
            let sent_ms = request.sent_at.saturating_duration_since(self.began_at).as_millis();
            let of_request = of_request.into_iter();
            findings.extend(
                of_request.map(|finding| format!("{id}: {finding} (sent at {sent_ms} ms)")),
            );
        }
        let causes = self.crash_causes.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, cause) in causes.iter() {
            findings.extend(crash::check_budget(name, cause, &requests, &disturbances));
            findings.extend(crash::check_service(name, cause, &requests));
        }
        findings.extend(self.tries().check(&disturbances));
        for (server, limited) in self.limits().iter() {
            findings.extend(limited.check(server, &requests, &disturbances));
        }
        findings.extend(
            allowances.iter().filter_map(|allowance| check_allowance(&requests, allowance)),
        );
        findings
    }
}

/// Returns the violations by one request; the guarantees are listed at the head of this module.
fn check_request(request: &Request, disturbances: &Disturbances) -> Vec<String> {
    let (kind, runs) = (request.sent.kind, request.runs.len());
    let mut findings = Vec::new();
    if kind.runs_once() && runs > 1 {
        findings.push(format!("{kind:?} ran {runs} times"));
    }
    if request.runs.iter().any(|run| run.organisation.as_ref() != Some(&request.sent.organisation))
    {
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
            // A host that stands still can't see its caller leave.
            let is_excused =
                disturbances.any_of_connections(&request.sent.host, (left_at, must_end_by));
            let is_late = |run: &Run| run.began_at > must_end_by || ended_late(run);
            if !is_excused && request.runs.iter().any(is_late) {
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
        requests.values().filter(|request| request.sent.organisation == allowance.organisation);
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
