//! Checks of parts of prompts that crash engines, and of requests that crash servers of plain services: few further requests
//! with the cause reach servers, and sound requests that share other parts or the caller with them are served.

use super::disturbance::Disturbances;
use super::{Outcome, Request};
use crate::backend::DEADLY_PREFIX;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Crashes after which a part of a prompt must be known, and after which a request.
pub const CRASHES_MAX: usize = 5;
const REQUEST_CRASHES_MAX: usize = 3;
/// Time after the last of these crashes from which requests with the part are counted. A host that was started or went
/// on less than this time ago is not in touch with the others.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests with the part that may reach engines after that.
const REACH_MAX: usize = 3;
/// Time after the last of these crashes that came about from which sound requests must be served.
pub const SERVICE_TIME: Duration = Duration::from_secs(6);
/// Factor by which fewer sound requests may be served than of those that share nothing with the requests that crash
/// engines.
const SERVICE_FACTOR: usize = 2;
/// Number of served requests that share nothing, and of requests of each other kind of sharing, from which the service of
/// the latter is checked.
const SAMPLE_MIN: usize = 20;

/// What a sound request has in common with the requests that crash engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Sharing {
    /// Neither the caller nor a part of the prompt.
    Nothing,
    /// The caller.
    Caller,
    /// The caller and the first part of the prompt.
    FirstPart,
}

/// A request that crashes servers has reached one, to be prefilled or run.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) id: Arc<str>,
    pub(super) server: Arc<str>,
    pub(super) at: Instant,
}

/// What happened with a part of prompts, or with a request, that crashes servers.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashCause {
    pub(super) crashes: Vec<Instant>,
    pub(super) arrivals: Vec<Arrival>,
    /// When the last request with it had been sent.
    pub(super) ended_at: Option<Instant>,
}

impl CrashCause {
    /// Returns when the cause had crashed as many servers as it must be known by.
    fn known_at(&self, name: &str) -> Option<Instant> {
        let crashes_max =
            if name.starts_with(DEADLY_PREFIX) { REQUEST_CRASHES_MAX } else { CRASHES_MAX };
        self.crashes.get(crashes_max - 1).copied()
    }

    /// Returns the period in which sound requests must be served: from [`SERVICE_TIME`] after the crash by which the part
    /// was known, at the latest the one at [`CRASHES_MAX`], while requests with the part were sent.
    fn service_period(&self) -> Option<(Instant, Instant)> {
        let known_at = self.crashes.iter().take(CRASHES_MAX).next_back()?;
        Some((*known_at + SERVICE_TIME, self.ended_at.unwrap_or_else(Instant::now)))
    }
}

/// Returns a finding if too many requests with a cause of crashes reached servers after it had to be known.
pub(super) fn check_budget(
    name: &str,
    part: &CrashCause,
    requests: &HashMap<Arc<str>, Request>,
    disturbances: &Disturbances,
) -> Option<String> {
    let reached = late_arrivals(name, part, requests, disturbances);
    (reached.len() > REACH_MAX).then(|| {
        let crashes = part.crashes.len();
        format!(
            "{crashes} crashes under {name}, and after the time for it {reached:?} reached servers"
        )
    })
}

/// Returns the requests that reached servers [`CONTACT_TIME`] after the cause had to be known, from
/// hosts in touch, each with the time of its first arrival since then in milliseconds.
fn late_arrivals(
    name: &str,
    part: &CrashCause,
    requests: &HashMap<Arc<str>, Request>,
    disturbances: &Disturbances,
) -> BTreeMap<Arc<str>, u128> {
    let Some(known_at) = part.known_at(name) else { return BTreeMap::new() };
    let mut reached = BTreeMap::new();
    for Arrival { id, server, at } in &part.arrivals {
        let Some(request) = requests.get(id) else { continue };
        let contact = (*at - CONTACT_TIME, *at);
        // What a link holds back arrives later than it was sent.
        let is_excused = disturbances.any_of_connections(&request.sent.host, contact)
            || disturbances.any_of_connections(server, contact);
        if *at > known_at + CONTACT_TIME && !is_excused {
            reached.entry(id.clone()).or_insert(at.duration_since(known_at).as_millis());
        }
    }
    reached
}

/// Returns a finding if sound requests that share the caller, or the first part of the prompt, were served less often
/// than half as often as others at the same time, while requests with the part were still sent.
pub(super) fn check_service(
    name: &str,
    part: &CrashCause,
    requests: &HashMap<Arc<str>, Request>,
) -> Vec<String> {
    let Some(period) = part.service_period().filter(|_| !name.starts_with(DEADLY_PREFIX)) else {
        return Vec::new();
    };
    let (served, sent) = service(Sharing::Nothing, period, requests);
    let check = |sharing| {
        let (served_here, sent_here) = service(sharing, period, requests);
        let is_checked = served >= SAMPLE_MIN && sent_here >= SAMPLE_MIN;
        let is_served = served_here * sent * SERVICE_FACTOR >= served * sent_here;
        (is_checked && !is_served).then(|| {
            format!(
                "{served_here} of {sent_here} that share {sharing:?} with requests with {name} were served, {served} of \
                 {sent} others"
            )
        })
    };
    [Sharing::Caller, Sharing::FirstPart].into_iter().filter_map(check).collect()
}

/// Returns how many sound requests that were sent in a period were answered whole, and how many were sent.
fn service(
    sharing: Sharing,
    period: (Instant, Instant),
    requests: &HashMap<Arc<str>, Request>,
) -> (usize, usize) {
    let in_period = requests.values().filter(|request| {
        request.sent.sharing == Some(sharing)
            && (period.0..period.1).contains(&request.sent_at)
            && request.outcome.is_some_and(|(outcome, _)| outcome != Outcome::Unsent)
    });
    let outcomes: Vec<Outcome> =
        in_period.filter_map(|request| request.outcome).map(|(outcome, _)| outcome).collect();
    let served = outcomes.iter().filter(|outcome| **outcome == Outcome::Whole).count();
    (served, outcomes.len())
}

/// Returns the numbers of crashes under a part, of requests with it that reached engines, in all and after it had to be
/// known, and of sound requests that were sent and served while it was.
pub(super) fn measures(
    name: &str,
    part: &CrashCause,
    requests: &HashMap<Arc<str>, Request>,
    disturbances: &Disturbances,
) -> Vec<(String, u32)> {
    let ids: BTreeSet<&Arc<str>> = part.arrivals.iter().map(|arrival| &arrival.id).collect();
    let late = late_arrivals(name, part, requests, disturbances).len();
    if name.starts_with(DEADLY_PREFIX) {
        let crashes = u32::try_from(part.crashes.len()).unwrap_or(u32::MAX);
        return vec![("crashes under a request".to_owned(), crashes)];
    }
    let mut measures = vec![
        ("crashes".to_owned(), part.crashes.len()),
        ("requests with the part at engines".to_owned(), ids.len()),
        ("requests with the part at engines late".to_owned(), late),
    ];
    if let Some(period) = part.service_period() {
        for sharing in [Sharing::Nothing, Sharing::Caller, Sharing::FirstPart] {
            let (served, sent) = service(sharing, period, requests);
            measures.push((format!("sharing {sharing:?} sent"), sent));
            measures.push((format!("sharing {sharing:?} served"), served));
        }
    }
    measures
        .into_iter()
        .map(|(name, count)| (name, u32::try_from(count).unwrap_or(u32::MAX)))
        .collect()
}
