//! Runs the attempts of a request, on model engines or on a plain service, and decides on retries.
//!
//! An attempt is one try to run a request on backend servers, which are reached through their side
//! processes. An engine is a backend server that runs a model; a plain service runs none. A
//! placement is the choice of a server for an attempt.
//!
//! A failed attempt is retried only if that is safe and the retry budget allows it; see
//! [`chestnutrack_core::retry`]. A model request has no effect outside the engines, but it too is
//! retried only if no part of its answer can have been generated or its route is idempotent.

pub mod model;
pub mod plain;

use crate::app::App;
use crate::authority::time_until;
use crate::explain::StepKind;
use crate::link::Event;
use crate::request::exchange::{Admitted, Exchange, check_runnable};
use crate::request::refusal::{Code, Refusal};
use crate::scheduler::{Outcome, PlaceRequest, Placement, Rejection};
use chestnutrack_core::place::Query;
use chestnutrack_core::queue::Waiting;
use chestnutrack_core::retry::{FailedAttempt, is_retry_safe};
use chestnutrack_document::model::Role;
use chestnutrack_process::clock;
use chestnutrack_wire::frame::{Cause, Failure, Ran};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Time after the deadline in which a side process can still report how an attempt ended.
const DEADLINE_GRACE: Duration = Duration::from_millis(1_000);

/// Error that ended an attempt without a complete answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Error {
    /// Server that refused or failed; none if the attempt ended for another reason.
    pub server: Option<Arc<str>>,
    /// Cause reported by the server, if it reported one.
    pub cause: Option<Cause>,
    /// Whether no part of the answer can have been generated, so that a retry is safe.
    pub no_output: bool,
    /// Refusal that the caller gets if the request is not retried.
    pub refusal: Refusal,
}

impl Error {
    /// Creates an error after which the request is never retried: it names no server at fault.
    pub fn without_retry(refusal: Refusal) -> Error {
        Error { server: None, cause: None, no_output: false, refusal }
    }

    /// Creates the error for a failure reported by a server.
    pub fn from_failure(server: &Arc<str>, failure: Failure) -> Error {
        let cause = failure.cause;
        // The generation starts only after the KV cache has been transferred.
        let is_before_generation = matches!(cause, Cause::KvLost | Cause::ReservationLapsed);
        Error {
            server: Some(server.clone()),
            cause: Some(cause),
            no_output: is_before_generation || failure.ran == Ran::NotRun,
            refusal: Refusal::from_failure(failure),
        }
    }

    /// Creates the error for a side process that has become unreachable.
    pub fn unreachable(server: &Arc<str>, ran: Ran) -> Error {
        let refusal =
            Refusal::new(Code::BackendFailed, "the server can't be reached").with_ran(ran);
        let no_output = ran == Ran::NotRun;
        Error { server: Some(server.clone()), cause: None, no_output, refusal }
    }

    /// Marks the error as one from before the generation of the answer, so that a retry on another
    /// server is safe. An error without a server stays one that is never retried.
    pub fn mark_no_output(self) -> Error {
        Error { no_output: self.server.is_some(), ..self }
    }

    /// Marks a request as run whose error says that it did not, since its prompt was prefilled
    /// before the error.
    pub fn mark_run(self) -> Error {
        let ran = if self.refusal.ran == Ran::NotRun { Ran::Ran } else { self.refusal.ran };
        Error { refusal: self.refusal.with_ran(ran), ..self }
    }

    /// Returns whether the server refused for lack of capacity. It did no work, so that another
    /// attempt doesn't count as a retry.
    fn is_full(&self) -> bool {
        self.cause == Some(Cause::Full)
    }

    /// Returns the server to avoid in further attempts. A server that was full can be
    /// chosen again.
    pub fn server_to_avoid(&self) -> Option<Arc<str>> {
        if self.is_full() { None } else { self.server.clone() }
    }
}

/// Records a failed attempt and decides whether the request is retried: only if the error names a
/// server, the deadline has not passed and the retry is safe. A retry is taken from the budget,
/// unless the server was full.
///
/// # Errors
///
/// The refusal that the caller gets if the request is not retried.
pub fn begin_retry(
    app: &App,
    exchange: &Exchange,
    admitted: &Admitted,
    error: &Error,
) -> Result<(), Refusal> {
    let refusal = &error.refusal;
    let why = format!("{}, {}: {}", refusal.code.as_str(), refusal.ran.as_str(), refusal.message);
    exchange.record_step(app, StepKind::Refused, error.server.as_ref(), Some(&why));
    let failed = FailedAttempt {
        no_output: error.no_output,
        idempotent: admitted.route.idempotent,
        answer_started: exchange.reply.is_started(),
    };
    let is_last = error.server.is_none() || time_until(admitted.deadline).is_zero();
    if is_last || !is_retry_safe(failed) {
        return Err(refusal.clone());
    }
    if !error.is_full() {
        if !app.spend_retry(exchange.retries()) {
            return Err(refusal.clone());
        }
        exchange.record_retry();
    }
    exchange.record_failed_attempt(refusal.ran);
    exchange.record_step(app, StepKind::Retried, None, None);
    Ok(())
}

/// Converts an event that ends an attempt without an answer into an error, and reports a failed or
/// full server to the scheduler.
fn error_from_event(placement: &Placement, event: Event) -> Error {
    match event {
        Event::Failed(failure) => {
            match failure.cause {
                Cause::Full => {
                    let retry_after = Duration::from_millis(u64::from(failure.retry_after_ms));
                    placement.in_flight.report(Outcome::Full { retry_after });
                }
                Cause::Backend | Cause::Fenced => placement.in_flight.report(Outcome::Failed),
                _ => {}
            }
            Error::from_failure(&placement.server, failure)
        }
        Event::Lost(ran) => Error::unreachable(&placement.server, ran),
        _ => {
            let failure = Failure { ran: Ran::Unknown, cause: Cause::Protocol, retry_after_ms: 0 };
            Error::from_failure(&placement.server, failure)
        }
    }
}

/// Waits until the scheduler places the request on a server, then checks that it may still run.
/// `returned` is set for a request that was placed before: it skips the queue's limits and is not
/// charged again.
///
/// # Errors
///
/// If the request is not placed in time, or may no longer run.
pub async fn wait_for_placement(
    app: &App,
    exchange: &Exchange,
    admitted: &Admitted,
    role: Role,
    query: Query,
    returned: bool,
) -> Result<Placement, Refusal> {
    let queue_entry = |reply| Waiting {
        organisation: admitted.organisation(),
        may_wait: admitted.route.may_wait,
        rank: 0,
        tokens: query.kv_tokens.max(1),
        arrived: clock::now(),
        target: exchange.placement_deadline(app, admitted),
        deadline: admitted.deadline,
        returned,
        item: PlaceRequest { role, query: query.clone(), reply },
    };
    let placement = exchange
        .wait_external(app.scheduler.place(queue_entry))
        .await
        .map_err(placement_refusal)?;
    check_runnable(app, admitted)?;
    exchange.record_step(app, StepKind::Placed, Some(&placement.server), Some(&placement.reason));
    Ok(placement)
}

/// Converts a failed placement into the refusal that the caller gets.
fn placement_refusal(rejection: Rejection) -> Refusal {
    match rejection {
        Rejection::Deadline(millis) => {
            Refusal::new(Code::DeadlineUnmet, "no server has room in time").with_retry_after(millis)
        }
        Rejection::Full(millis) => {
            Refusal::new(Code::TooManyWaiting, "too many requests wait").with_retry_after(millis)
        }
    }
}

/// Waits for an event of a side process until `DEADLINE_GRACE` after the deadline.
///
/// # Errors
///
/// If no event arrives in that time. The error reports `ran` as the attempt's effect.
pub async fn until_deadline<T>(
    admitted: &Admitted,
    server: &Arc<str>,
    ran: Ran,
    event: impl Future<Output = T>,
) -> Result<T, Error> {
    let time_limit = time_until(admitted.deadline) + DEADLINE_GRACE;
    timeout(time_limit, event).await.map_err(|_| Error::unreachable(server, ran))
}

/// Returns the time left until the deadline, in milliseconds, at most `u32::MAX` as in frames.
pub fn millis_left(admitted: &Admitted) -> u32 {
    u32::try_from(time_until(admitted.deadline).as_millis()).unwrap_or(u32::MAX)
}
