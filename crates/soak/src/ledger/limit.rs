//! Check of the requests that reach a server while it names how many it takes a second from all hosts together.

use super::Request;
use super::disturbance::Disturbances;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time after the server first names its limit from which requests are counted. A host that was started or went on less
/// than this time ago is not in touch with the others.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests that may reach the server in a window beyond one and a half times its limit.
const SLACK: u32 = 5;

/// A server that names a limit.
#[derive(Clone, Debug)]
pub(super) struct Limited {
    per_s: u32,
    began_at: Instant,
    pub(super) ended_at: Option<Instant>,
    /// Requests that reached the server, and when.
    pub(super) arrivals: Vec<(Arc<str>, Instant)>,
}

impl Limited {
    /// Returns the state of a server that begins to name a limit, in requests per second.
    pub(super) fn new(per_s: u32) -> Limited {
        Limited { per_s, began_at: Instant::now(), ended_at: None, arrivals: Vec::new() }
    }

    /// Returns the most requests that reached the server in a [`WINDOW`], from hosts in touch.
    pub(super) fn most(
        &self,
        requests: &HashMap<Arc<str>, Request>,
        disturbances: &Disturbances,
    ) -> u32 {
        let is_counted = |(id, at): &&(Arc<str>, Instant)| {
            let contact = (*at - CONTACT_TIME, *at);
            let is_late = *at >= self.began_at + CONTACT_TIME;
            let is_within = self.ended_at.is_none_or(|ended_at| *at < ended_at);
            let host = requests.get(id).map(|request| &request.sent.host);
            let is_in_touch =
                host.is_some_and(|host| !disturbances.any_of_connections(host, contact));
            is_late && is_within && is_in_touch
        };
        let counted: Vec<Instant> =
            self.arrivals.iter().filter(is_counted).map(|(_, at)| *at).collect();
        let in_window = |start: &Instant| {
            counted.iter().filter(|at| (*start..*start + WINDOW).contains(*at)).count()
        };
        let most = counted.iter().map(in_window).max().unwrap_or(0);
        u32::try_from(most).unwrap_or(u32::MAX)
    }

    /// Returns a finding if more requests reached the server than its limit allows.
    pub(super) fn check(
        &self,
        server: &str,
        requests: &HashMap<Arc<str>, Request>,
        disturbances: &Disturbances,
    ) -> Option<String> {
        let most = self.most(requests, disturbances);
        let allowed = self.per_s * WINDOW.as_secs() as u32 * 3 / 2 + SLACK;
        let per_s = self.per_s;
        (most > allowed).then(|| {
            format!("{server} named a limit of {per_s} a second and got {most} requests within 4 s; {allowed} are allowed")
        })
    }
}
