//! Makes, settles and releases claims in the object interface, and deletes expired ones.
//!
//! A claim is the stored record of an at-most-once request. To settle a claim is to record how its
//! request ended; to release it is to delete it, so that the request may be repeated. An orphan is a claim that
//! may be stored although its request was refused as not run.

use super::{ClaimRequest, End, Error, HeldClaim, Liveness, Outcome};
use crate::metric::Metrics;
use crate::store::CLAIMS;
use chestnutrack_core::claim::{self, ANSWER_BYTES_MAX, Record, Status};
use chestnutrack_core::member::Identity;
use chestnutrack_store::client::Client;
use chestnutrack_store::error;
use chestnutrack_store::object::Object;
use serde_json::Value;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Attempts to make a claim while others change its object at the same time.
const ATTEMPTS: u32 = 4;
/// Maximum number of orphans that are kept for release; further ones are dropped.
const ORPHANS_MAX: usize = 4_096;
/// Reads that find no object before an orphan is dropped. Several are needed because the orphan's
/// write may still arrive.
const ORPHAN_READS_MAX: u32 = 20;
/// Maximum number of expired claims that one sweep deletes.
const SWEEP_MAX: usize = 200;
/// Pause between two deletions of a sweep.
const SWEEP_PAUSE: Duration = Duration::from_millis(50);

/// Makes and settles claims for one member; cheap to clone.
#[derive(Clone)]
pub(crate) struct Manager<L> {
    pub(crate) client: Client,
    pub(crate) service: Arc<str>,
    pub(crate) me: Identity,
    pub(crate) liveness: L,
    pub(crate) metrics: Metrics,
    pub(crate) orphans: Arc<Mutex<Vec<Orphan>>>,
}

/// A claim that may be stored although its request was refused as not run.
/// Until it is released, repeats of that request can't run.
#[derive(Clone, Debug)]
pub(crate) struct Orphan {
    name: Arc<str>,
    record: Record<End>,
    reads_left: u32,
}

/// Result of reading a claim's object.
enum Lookup {
    Absent,
    /// Version of the object, its age and the claim.
    Claim(u64, Duration, Record<End>),
}

impl<L: Liveness> Manager<L> {
    /// Makes a claim, or returns what the existing claim means for the request.
    pub(crate) async fn claim(&self, claim_request: ClaimRequest) -> Result<Outcome, Error> {
        let name = claim::object_name(
            &self.service,
            &claim_request.organisation,
            &claim_request.route,
            &claim_request.key,
        );
        let name: Arc<str> = Arc::from(name);
        let record = self.new_record(claim_request.request, claim_request.body, None);
        let outcome = self.try_claim(&name, &record, &claim_request).await;
        self.metrics.claims.with_label_values(&[label(&outcome)]).inc();
        outcome
    }

    /// Writes the claim unless one exists, and evaluates an existing claim. Deletes an expired
    /// claim and tries again, up to [`ATTEMPTS`] times in all.
    async fn try_claim(
        &self,
        name: &Arc<str>,
        record: &Record<End>,
        claim_request: &ClaimRequest,
    ) -> Result<Outcome, Error> {
        let value = to_value(record)?;
        for _ in 0..ATTEMPTS {
            let held_claim = |version| HeldClaim {
                name: name.clone(),
                version,
                request: claim_request.request,
                body: claim_request.body,
            };
            match self.client.replace_confirmed(CLAIMS, name, 0, &value).await {
                Ok(version) => return Ok(Outcome::Run(held_claim(version))),
                Err(error::Error::Conflict(_)) => {}
                Err(error) => {
                    if may_have_been_written(&error) {
                        self.add_orphan(name, record, ORPHAN_READS_MAX);
                    }
                    return Err(Error::Unavailable);
                }
            }
            let Lookup::Claim(version, age, found) = self.read_claim(name).await? else {
                continue;
            };
            let is_live = self.liveness.is_alive(found.writer.clone()).await;
            match claim::evaluate(&found, age, record, |_| is_live) {
                Status::Own => return Ok(Outcome::Run(held_claim(version))),
                Status::Ended(End::Unknown) | Status::Unknown => return Ok(Outcome::Unknown),
                Status::Ended(end) => return Ok(Outcome::Ended(end)),
                Status::Running => return Ok(Outcome::Running),
                Status::Mismatch => return Ok(Outcome::Mismatch),
                Status::Expired => drop(self.client.delete(CLAIMS, name, version).await),
            }
        }
        Err(Error::Unavailable)
    }

    /// Records how a claimed request ended, or releases the claim of a request that did not run.
    pub(crate) async fn settle(&self, held_claim: HeldClaim, end: End) -> Result<(), Error> {
        let outcome = match end {
            End::NotRun => {
                let record = self.new_record(held_claim.request, held_claim.body, None);
                self.release(&held_claim.name, held_claim.version, &record).await
            }
            end => self.write_end(&held_claim, drop_large_body(end)).await,
        };
        let label = if outcome.is_ok() { "settled" } else { "unsettled" };
        self.metrics.claims.with_label_values(&[label]).inc();
        outcome
    }

    /// Replaces a held claim by a record that contains the end of the request.
    async fn write_end(&self, held_claim: &HeldClaim, end: End) -> Result<(), Error> {
        let value = to_value(&self.new_record(held_claim.request, held_claim.body, Some(end)))?;
        let written = self
            .client
            .replace_confirmed(CLAIMS, &held_claim.name, held_claim.version, &value)
            .await;
        written.map(drop).map_err(|_| Error::Unavailable)
    }

    /// Deletes the claim of a request that did not run. If that fails, keeps it as an orphan.
    async fn release(
        &self,
        name: &Arc<str>,
        version: u64,
        record: &Record<End>,
    ) -> Result<(), Error> {
        match self.client.delete(CLAIMS, name, version).await {
            Ok(_) | Err(error::Error::Missing | error::Error::Conflict(_)) => Ok(()),
            Err(_) => {
                self.add_orphan(name, record, ORPHAN_READS_MAX);
                Err(Error::Unavailable)
            }
        }
    }

    /// Keeps an orphan for release; drops it if it has no reads left or too many are kept.
    fn add_orphan(&self, name: &Arc<str>, record: &Record<End>, reads_left: u32) {
        let mut orphans = self.orphans.lock().unwrap_or_else(PoisonError::into_inner);
        if reads_left > 0 && orphans.len() < ORPHANS_MAX {
            orphans.push(Orphan { name: name.clone(), record: record.clone(), reads_left });
        }
    }

    /// Removes and returns all orphans.
    fn take_orphans(&self) -> Vec<Orphan> {
        std::mem::take(&mut *self.orphans.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Releases the orphans that are stored. An orphan that could not be read or deleted is kept. One
    /// that is not found is dropped after [`ORPHAN_READS_MAX`] such reads, and one whose object holds
    /// another record is dropped at once.
    pub(crate) async fn release_orphans(&self) {
        let orphans = self.take_orphans();
        for Orphan { name, record, reads_left } in orphans {
            match self.read_claim(&name).await {
                Ok(Lookup::Claim(version, _, found)) if found == record => {
                    let _ = self.release(&name, version, &record).await;
                }
                Ok(Lookup::Claim(..)) => {}
                Ok(Lookup::Absent) => self.add_orphan(&name, &record, reads_left - 1),
                Err(_) => self.add_orphan(&name, &record, reads_left),
            }
        }
    }

    /// Deletes up to [`SWEEP_MAX`] claims that are at least as old as `ttl`, with a pause after each.
    /// Returns how many were deleted.
    pub(crate) async fn sweep(&self, ttl: Duration) -> usize {
        let Ok(list) = self.client.list(CLAIMS).await else {
            return 0;
        };
        let is_old = |object: &Object| Duration::from_millis(object.age_ms) >= ttl;
        let mut deleted = 0;
        for object in list.objects.into_iter().filter(is_old).take(SWEEP_MAX) {
            // A claim that was written again after the list was read has another version, so the
            // deletion fails and the claim stays.
            let result = self.client.delete(CLAIMS, &object.name, object.version).await;
            deleted += usize::from(result.is_ok());
            tokio::time::sleep(SWEEP_PAUSE).await;
        }
        self.metrics.claims.with_label_values(&["expired"]).inc_by(deleted as u64);
        deleted
    }

    /// Reads the object of a claim.
    async fn read_claim(&self, name: &str) -> Result<Lookup, Error> {
        match self.client.read(CLAIMS, name).await {
            Ok(object) => parse_claim(object),
            Err(error::Error::Missing) => Ok(Lookup::Absent),
            Err(_) => Err(Error::Unavailable),
        }
    }

    /// Returns a record that names this process as the writer; `ended` is `None` while the request
    /// runs.
    fn new_record(&self, request: u128, body: [u8; 32], ended: Option<End>) -> Record<End> {
        Record {
            request: format!("{request:032x}"),
            writer: self.me.clone(),
            body: hex::encode(body),
            ended,
        }
    }
}

/// Converts the object of a claim; a deleted object counts as absent.
fn parse_claim(object: Object) -> Result<Lookup, Error> {
    let Some(value) = object.value else {
        return Ok(Lookup::Absent);
    };
    let record = serde_json::from_value(value).map_err(|_| Error::Unavailable)?;
    Ok(Lookup::Claim(object.version, Duration::from_millis(object.age_ms), record))
}

fn to_value(record: &Record<End>) -> Result<Value, Error> {
    serde_json::to_value(record).map_err(|_| Error::Unavailable)
}

/// Returns `true` if a failed write may have been applied.
fn may_have_been_written(error: &error::Error) -> bool {
    matches!(error, error::Error::Unknown(_))
}

/// Drops the answer's body if it is too large to store.
fn drop_large_body(end: End) -> End {
    match end {
        End::Answered { status, headers, body } => {
            let body = body.filter(|body| body.len() <= ANSWER_BYTES_MAX);
            End::Answered { status, headers, body }
        }
        other => other,
    }
}

/// Returns the metric label of a claim's outcome.
fn label(outcome: &Result<Outcome, Error>) -> &'static str {
    match outcome {
        Ok(Outcome::Run(_)) => "run",
        Ok(Outcome::Ended(_)) => "ended",
        Ok(Outcome::Running) => "running",
        Ok(Outcome::Unknown) => "unknown",
        Ok(Outcome::Mismatch) => "mismatch",
        Err(Error::Unavailable) => "unavailable",
    }
}
