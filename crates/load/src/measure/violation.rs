//! Detects violations of the router's guarantees, such as responses that are truncated or belong to
//! another request, and calls that ran twice.

use super::{Share, route};
use crate::call::Verdict;
use crate::run::{Outcome, SendResult, SentRequest};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Most incidents that are listed in the results.
const INCIDENTS_MAX: usize = 50;

/// Counts of violations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violations {
    /// Responses that ended too early without an error.
    pub short: u64,
    /// Responses with more than the expected text.
    pub long: u64,
    /// Responses that belong to another request.
    pub crossed: u64,
    /// Requests that must take effect only once but ran more than once.
    pub ran_twice: u64,
    /// Requests that ran although they were refused as not run.
    pub not_run_ran: u64,
    /// Organisations that were granted more than their rate and burst over the whole run.
    pub over_rate: u64,
    /// Requests whose repetition with the same idempotency key got a different response.
    pub repeat_differs: u64,
}

impl Violations {
    /// Returns the number of all violations.
    pub fn total(&self) -> u64 {
        let answers = self.short + self.long + self.crossed;
        answers + self.ran_twice + self.not_run_ran + self.over_rate + self.repeat_differs
    }
}

/// Counts the violations in the outcome of a run.
pub(super) fn find(outcome: &Outcome, shares: &BTreeMap<Arc<str>, Share>) -> Violations {
    let over_rate = shares.values().filter(|share| share.admitted_tokens > share.allowed_tokens);
    let mut found = Violations { over_rate: over_rate.count() as u64, ..Violations::default() };
    for sent in &outcome.sent {
        match sent.result {
            SendResult::Answered { verdict: Verdict::Truncated, .. } => found.short += 1,
            SendResult::Answered { verdict: Verdict::TooLong, .. } => found.long += 1,
            SendResult::Answered { verdict: Verdict::WrongRequest, .. } => found.crossed += 1,
            _ => {}
        }
    }
    let times_ran = outcome.record.times_ran();
    for sends in by_request(&outcome.sent).values() {
        let request = &sends[0].request;
        let Some(route) = route(&outcome.document, &request.route) else { continue };
        if request.completion.is_some() {
            continue;
        }
        let run_count = times_ran.get(request.target(route).as_str()).copied().unwrap_or(0);
        found.ran_twice += u64::from(route.once && run_count > 1);
        found.not_run_ran += u64::from(run_count > 0 && sends.iter().all(|sent| is_not_run(sent)));
        found.repeat_differs += u64::from(route.once && answers_differ(sends));
    }
    found
}

/// Describes the responses that failed their check, up to [`INCIDENTS_MAX`] of them.
pub(super) fn incidents(sent: &[SentRequest]) -> Vec<String> {
    let violating = sent.iter().filter_map(|sent| match sent.result {
        SendResult::Answered { verdict, ref token_gaps, .. } if !sent.is_complete() => {
            let (at, id) = (sent.request.at.as_secs_f64(), &sent.request.id);
            let events = token_gaps.len() + 1;
            Some(format!(
                "{at:.3} s: {id}, request {}: {verdict}, {events} events",
                sent.request_id
            ))
        }
        _ => None,
    });
    violating.take(INCIDENTS_MAX).collect()
}

fn by_request(sent: &[SentRequest]) -> HashMap<Arc<str>, Vec<&SentRequest>> {
    let mut requests: HashMap<Arc<str>, Vec<&SentRequest>> = HashMap::new();
    for sent in sent {
        requests.entry(sent.request.id.clone()).or_default().push(sent);
    }
    requests
}

fn is_not_run(sent: &SentRequest) -> bool {
    matches!(&sent.result, SendResult::Refused { ran, .. } if ran == "not-run")
}

fn answers_differ(sends: &[&SentRequest]) -> bool {
    let bodies = sends.iter().filter_map(|sent| match &sent.result {
        SendResult::Answered { body, .. } if sent.is_complete() => body.as_ref(),
        _ => None,
    });
    let bodies: Vec<_> = bodies.collect();
    bodies.windows(2).any(|pair| pair[0] != pair[1])
}
