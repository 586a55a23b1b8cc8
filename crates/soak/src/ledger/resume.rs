//! Check of the streams that callers resume: while engines of their build serve, they go on nearly as often as new ones
//! begin.

use super::disturbance::Disturbances;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time without a fault after which a host is in touch with the store and the others.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Smallest number of resumed streams that are judged.
const RESUMED_MIN: usize = 12;
/// Number of engines of a build that serve, from which on its streams have to go on.
pub const ENGINES_MIN: usize = 2;

/// A request for a resumable stream.
#[derive(Clone, Debug)]
pub struct Try {
    /// Host that it was sent to.
    pub host: Arc<str>,
    /// Whether it resumes a stream.
    pub is_resumed: bool,
    /// When it was sent.
    pub sent_at: Instant,
    /// Whether its answer brought an event, or the end.
    pub has_gone_on: bool,
    /// Whether the store was without a fault for long before it, and, for a resumed stream, enough engines of its build
    /// served before and after it.
    pub is_judged: bool,
}

/// Requests for resumable streams in a run.
#[derive(Clone, Debug)]
pub(super) struct Tries {
    /// When the run began. The hosts had just started then, and were not in touch.
    pub(super) began_at: Instant,
    pub(super) tries: Vec<Try>,
}

impl Tries {
    /// Returns whether a try counts: its host was in touch.
    fn counts(&self, one: &Try, disturbances: &Disturbances) -> bool {
        let contact = (one.sent_at - CONTACT_TIME, one.sent_at);
        let has_run = one.sent_at >= self.began_at + CONTACT_TIME;
        one.is_judged && has_run && !disturbances.any_of_connections(&one.host, contact)
    }

    /// Returns the numbers of tries that count and of those that went on, of new streams or of resumed ones.
    fn share(&self, is_resumed: bool, disturbances: &Disturbances) -> (usize, usize) {
        let counted = self.tries.iter().filter(|one| one.is_resumed == is_resumed);
        let counted = counted.filter(|one| self.counts(one, disturbances));
        counted.fold((0, 0), |(all, on), one| (all + 1, on + usize::from(one.has_gone_on)))
    }

    /// Returns a finding if too few resumed streams went on.
    pub(super) fn check(&self, disturbances: &Disturbances) -> Option<String> {
        let (resumed, went_on) = self.share(true, disturbances);
        let (new, begun) = self.share(false, disturbances);
        let is_low = resumed >= RESUMED_MIN && 2 * went_on * new < begun * resumed;
        is_low.then(|| {
            format!(
                "{went_on} of {resumed} resumed streams went on, and {begun} of {new} new ones began"
            )
        })
    }

    /// Returns how many streams were resumed by their callers, and how many of them went on.
    pub(super) fn measures(&self, disturbances: &Disturbances) -> BTreeMap<String, u32> {
        let resumed: Vec<&Try> = self.tries.iter().filter(|one| one.is_resumed).collect();
        let went_on = resumed.iter().filter(|one| one.has_gone_on).count();
        let (judged, judged_on) = self.share(true, disturbances);
        [
            ("streams resumed by callers", resumed.len()),
            ("streams resumed by callers that went on", went_on),
            ("streams resumed in touch", judged),
            ("streams resumed in touch that went on", judged_on),
        ]
        .map(|(name, count)| (name.to_owned(), u32::try_from(count).unwrap_or(u32::MAX)))
        .into()
    }
}
