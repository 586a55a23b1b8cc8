//! Makes, settles and gives back claims in the object interface.

use super::{ClaimRequest, End, Error, HeldClaim, Lives, Outcome};
use crate::metric::Metric;
use crate::store::CLAIMS;
use chestnutrack_core::claim::{self, ANSWER_BYTES_MAX, Record, Status};
use chestnutrack_core::member::Identity;
use chestnutrack_store::client::Client;
use chestnutrack_store::error;
use chestnutrack_store::object::Object;
use serde_json::Value;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// How often a claim is tried when others change it at the same time.
const ATTEMPTS: u32 = 4;
/// Claims that were written perhaps, for requests that were then refused, kept to be given back.
const STRAYS_MAX: usize = 4_096;
/// How often a claim that was perhaps written is looked for, since its write may still arrive.
const STRAY_LOOKS: u32 = 20;
/// Expired claims that one sweep deletes at most.
const SWEEP_MAX: usize = 200;
/// Pause between two deletions of a sweep.
const SWEEP_PAUSE: Duration = Duration::from_millis(50);

/// Makes and settles claims for one member; cheap to clone.
#[derive(Clone)]
pub(crate) struct Keeper<L> {
    pub(crate) client: Client,
    pub(crate) service: Arc<str>,
    pub(crate) me: Identity,
    pub(crate) lives: L,
    pub(crate) metric: Metric,
    pub(crate) strays: Arc<Mutex<Vec<Stray>>>,
}

/// A claim that may stand for a request that was refused as not run.
#[derive(Clone, Debug)]
pub(crate) struct Stray {
    name: Arc<str>,
    record: Record<End>,
    looks: u32,
}

/// What a look at a claim's object found.
enum Found {
    Absent,
    Claim(u64, Duration, Record<End>),
}

impl<L: Lives> Keeper<L> {
    /// Makes a claim, or says what stands there.
    pub(crate) async fn claim(&self, claim_request: ClaimRequest) -> Result<Outcome, Error> {
        let name = claim::name(
            &self.service,
            &claim_request.organisation,
            &claim_request.route,
            &claim_request.key,
        );
        let name: Arc<str> = Arc::from(name);
        let record = self.record(claim_request.request, claim_request.body, None);
        let outcome = self.try_claim(&name, &record, &claim_request).await;
        self.metric.claims.with_label_values(&[word(&outcome)]).inc();
        outcome
    }

    async fn try_claim(
        &self,
        name: &Arc<str>,
        record: &Record<End>,
        claim_request: &ClaimRequest,
    ) -> Result<Outcome, Error> {
        let value = value(record)?;
        for _ in 0..ATTEMPTS {
            let held = |version| HeldClaim {
                name: name.clone(),
                version,
                request: claim_request.request,
                body: claim_request.body,
            };
            match self.client.update(CLAIMS, name, 0, &value).await {
                Ok(version) => return Ok(Outcome::Run(held(version))),
                Err(error::Error::Conflict(_)) => {}
                Err(error) => {
                    if may_have_landed(&error) {
                        self.stray(name, record, STRAY_LOOKS);
                    }
                    return Err(Error::Unavailable);
                }
            }
            let Found::Claim(version, age, found) = self.find(name).await? else {
                continue;
            };
            let live = self.lives.lives(found.writer.clone()).await;
            match claim::evaluate(&found, age, record, |_| live) {
                Status::Own => return Ok(Outcome::Run(held(version))),
                Status::Ended(End::Unknown) | Status::Unknown => return Ok(Outcome::Unknown),
                Status::Ended(end) => return Ok(Outcome::Ended(end)),
                Status::Running => return Ok(Outcome::Running),
                Status::Mismatch => return Ok(Outcome::Mismatch),
                Status::Expired => drop(self.client.delete(CLAIMS, name, version).await),
            }
        }
        Err(Error::Unavailable)
    }

    /// Records how a claimed request ended.
    pub(crate) async fn settle(&self, held: HeldClaim, end: End) -> Result<(), Error> {
        let outcome = match end {
            End::NotRun => {
                let record = self.record(held.request, held.body, None);
                self.give_back(&held.name, held.version, &record).await
            }
            end => self.write_end(&held, cut(end)).await,
        };
        let word = if outcome.is_ok() { "settled" } else { "unsettled" };
        self.metric.claims.with_label_values(&[word]).inc();
        outcome
    }

    async fn write_end(&self, held: &HeldClaim, end: End) -> Result<(), Error> {
        let value = value(&self.record(held.request, held.body, Some(end)))?;
        let written = self.client.update(CLAIMS, &held.name, held.version, &value).await;
        written.map(drop).map_err(|_| Error::Unavailable)
    }

    /// Deletes a claim of a request that did not run; kept for later where that fails.
    async fn give_back(
        &self,
        name: &Arc<str>,
        version: u64,
        record: &Record<End>,
    ) -> Result<(), Error> {
        match self.client.delete(CLAIMS, name, version).await {
            Ok(_) | Err(error::Error::Missing | error::Error::Conflict(_)) => Ok(()),
            Err(_) => {
                self.stray(name, record, STRAY_LOOKS);
                Err(Error::Unavailable)
            }
        }
    }

    fn stray(&self, name: &Arc<str>, record: &Record<End>, looks: u32) {
        let mut strays = self.strays.lock().unwrap_or_else(PoisonError::into_inner);
        if looks > 0 && strays.len() < STRAYS_MAX {
            strays.push(Stray { name: name.clone(), record: record.clone(), looks });
        }
    }

    fn take_strays(&self) -> Vec<Stray> {
        std::mem::take(&mut *self.strays.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Gives back claims that stand for requests that were refused, as far as it can.
    pub(crate) async fn give_back_strays(&self) {
        let strays = self.take_strays();
        for Stray { name, record, looks } in strays {
            match self.find(&name).await {
                Ok(Found::Claim(version, _, found)) if found == record => {
                    let _ = self.give_back(&name, version, &record).await;
                }
                Ok(Found::Claim(..)) => {}
                Ok(Found::Absent) => self.stray(&name, &record, looks - 1),
                Err(_) => self.stray(&name, &record, looks),
            }
        }
    }

    /// Deletes claims that are at least as old as `ttl`, a few at a time; returns how many.
    pub(crate) async fn sweep(&self, ttl: Duration) -> usize {
        let Ok(list) = self.client.list(CLAIMS).await else {
            return 0;
        };
        let old = |object: &Object| Duration::from_millis(object.age_ms) >= ttl;
        let mut deleted = 0;
        for object in list.objects.into_iter().filter(old).take(SWEEP_MAX) {
            // A claim that was written again since has another version and stays.
            let done = self.client.delete(CLAIMS, &object.name, object.version).await;
            deleted += usize::from(done.is_ok());
            tokio::time::sleep(SWEEP_PAUSE).await;
        }
        self.metric.claims.with_label_values(&["expired"]).inc_by(deleted as u64);
        deleted
    }

    async fn find(&self, name: &str) -> Result<Found, Error> {
        match self.client.read(CLAIMS, name).await {
            Ok(object) => read(object),
            Err(error::Error::Missing) => Ok(Found::Absent),
            Err(_) => Err(Error::Unavailable),
        }
    }

    fn record(&self, request: u128, body: [u8; 32], ended: Option<End>) -> Record<End> {
        Record {
            request: format!("{request:032x}"),
            writer: self.me.clone(),
            body: hex::encode(body),
            ended,
        }
    }
}

fn read(object: Object) -> Result<Found, Error> {
    let Some(value) = object.value else {
        return Ok(Found::Absent);
    };
    let record = serde_json::from_value(value).map_err(|_| Error::Unavailable)?;
    Ok(Found::Claim(object.version, Duration::from_millis(object.age_ms), record))
}

fn value(record: &Record<End>) -> Result<Value, Error> {
    serde_json::to_value(record).map_err(|_| Error::Unavailable)
}

fn may_have_landed(error: &error::Error) -> bool {
    matches!(error, error::Error::Unknown(_))
}

/// Drops an answer's body that is too large to keep.
fn cut(end: End) -> End {
    match end {
        End::Answered { status, headers, body } => {
            let body = body.filter(|body| body.len() <= ANSWER_BYTES_MAX);
            End::Answered { status, headers, body }
        }
        other => other,
    }
}

fn word(outcome: &Result<Outcome, Error>) -> &'static str {
    match outcome {
        Ok(Outcome::Run(_)) => "run",
        Ok(Outcome::Ended(_)) => "ended",
        Ok(Outcome::Running) => "running",
        Ok(Outcome::Unknown) => "unknown",
        Ok(Outcome::Mismatch) => "mismatch",
        Err(Error::Unavailable) => "unavailable",
    }
}
