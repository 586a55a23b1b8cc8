//! Attempts at a request: on model engines and on plain services.
//!
//! A failed attempt is followed by another only where that is harmless and the budget of retries
//! allows it; see [`chestnutrack_core::retry`]. A model request has no effect outside the engines,
//! but only what certainly did not land, or stands on an idempotent route, is run again.

pub mod model;
pub mod plain;

use crate::app::App;
use crate::authority::time_until;
use crate::explain::What;
use crate::link::Event;
use crate::request::exchange::{Admitted, Exchange, check};
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

/// Time beyond a deadline that a side process is given to say how an attempt ended.
const GRACE: Duration = Duration::from_millis(1_000);

/// Why an attempt ended without an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Trouble {
    /// Server that refused it or failed; none where there was no server for it.
    pub server: Option<Arc<str>>,
    /// What the server says, where it says something.
    pub cause: Option<Cause>,
    /// Nothing of the answer can have been made, so that another attempt does no harm.
    pub harmless: bool,
    /// What the caller is told when the request is given up.
    pub refusal: Refusal,
}

impl Trouble {
    /// A request may not go on, whatever the servers do.
    pub fn last(refusal: Refusal) -> Trouble {
        Trouble { server: None, cause: None, harmless: false, refusal }
    }

    /// A server refused or failed.
    pub fn failed(server: &Arc<str>, failure: Failure) -> Trouble {
        let cause = failure.cause;
        // The generation starts only once the KV cache has been moved.
        let before_generation = matches!(cause, Cause::KvLost | Cause::ReservationLapsed);
        Trouble {
            server: Some(server.clone()),
            cause: Some(cause),
            harmless: before_generation || failure.ran == Ran::NotRun,
            refusal: Refusal::of(failure),
        }
    }

    /// A side process can't be reached any more.
    pub fn lost(server: &Arc<str>, ran: Ran) -> Trouble {
        let refusal = Refusal::new(Code::BackendFailed, "the server can't be reached").ran(ran);
        let harmless = ran == Ran::NotRun;
        Trouble { server: Some(server.clone()), cause: None, harmless, refusal }
    }

    /// The same, where nothing of the answer can have been made yet.
    pub fn before_answer(self) -> Trouble {
        Trouble { harmless: self.server.is_some(), ..self }
    }

    /// The same, where the prompt was prefilled before, so that it ran in part.
    pub fn after_prefill(self) -> Trouble {
        let ran = if self.refusal.ran == Ran::NotRun { Ran::Ran } else { self.refusal.ran };
        Trouble { refusal: self.refusal.ran(ran), ..self }
    }

    /// Whether the server merely had no room. Nothing was done, so that it is no retry.
    fn is_full(&self) -> bool {
        self.cause == Some(Cause::Full)
    }

    /// The server that the request is not sent to again; one that was full is asked again later.
    pub fn to_pass_over(&self) -> Option<Arc<str>> {
        if self.is_full() { None } else { self.server.clone() }
    }
}

/// Decides whether a request is tried again after a failed attempt.
///
/// # Errors
///
/// What the caller is told when it is not.
pub fn again(
    app: &App,
    exchange: &Exchange,
    admitted: &Admitted,
    trouble: &Trouble,
) -> Result<(), Refusal> {
    let refusal = &trouble.refusal;
    let why = format!("{}, {}: {}", refusal.code.as_str(), refusal.ran.as_str(), refusal.message);
    exchange.note(app, What::Refused, trouble.server.as_ref(), Some(&why));
    let failed = FailedAttempt {
        no_output: trouble.harmless,
        idempotent: admitted.route.idempotent,
        answer_started: exchange.reply.is_started(),
    };
    let is_last = trouble.server.is_none() || time_until(admitted.deadline).is_zero();
    if is_last || !is_retry_safe(failed) {
        return Err(refusal.clone());
    }
    if !trouble.is_full() {
        if !app.spend_retry(exchange.retries()) {
            return Err(refusal.clone());
        }
        exchange.note_retry();
    }
    exchange.note_failed(refusal.ran);
    exchange.note(app, What::Retried, None, None);
    Ok(())
}

/// What an event means that ends an attempt without an answer.
fn trouble(turn: &Placement, event: Event) -> Trouble {
    match event {
        Event::Failed(failure) => {
            match failure.cause {
                Cause::Full => {
                    let retry_after = Duration::from_millis(u64::from(failure.retry_after_ms));
                    turn.in_flight.report(Outcome::Full { retry_after });
                }
                Cause::Backend | Cause::Fenced => turn.in_flight.report(Outcome::Failed),
                _ => {}
            }
            Trouble::failed(&turn.server, failure)
        }
        Event::Lost(ran) => Trouble::lost(&turn.server, ran),
        _ => {
            let failure = Failure { ran: Ran::Unknown, cause: Cause::Protocol, retry_after_ms: 0 };
            Trouble::failed(&turn.server, failure)
        }
    }
}

/// Waits for a turn on a server, and checks afterwards that the request may still run.
///
/// # Errors
///
/// When there is none in time, or the request may not run any more.
pub async fn turn(
    app: &App,
    exchange: &Exchange,
    admitted: &Admitted,
    role: Role,
    ask: Query,
    returned: bool,
) -> Result<Placement, Refusal> {
    let want = |reply| Waiting {
        organisation: admitted.organisation(),
        may_wait: admitted.route.may_wait,
        tokens: ask.kv_tokens.max(1),
        arrived: clock::now(),
        target: exchange.target(app, admitted),
        deadline: admitted.deadline,
        returned,
        item: PlaceRequest { role, query: ask.clone(), reply },
    };
    let turn = exchange.outside(app.scheduler.place(want)).await.map_err(late)?;
    check(app, admitted)?;
    exchange.note(app, What::Placed, Some(&turn.server), Some(&turn.reason));
    Ok(turn)
}

fn late(late: Rejection) -> Refusal {
    match late {
        Rejection::Deadline(millis) => {
            Refusal::new(Code::DeadlineUnmet, "no server has room in time").retry_after(millis)
        }
        Rejection::Full(millis) => {
            Refusal::new(Code::TooManyWaiting, "too many requests wait").retry_after(millis)
        }
    }
}

/// Waits for what a side process says until the deadline and a little longer.
///
/// # Errors
///
/// When it says nothing; whether the attempt ran is then `ran`.
pub async fn until_deadline<T>(
    admitted: &Admitted,
    server: &Arc<str>,
    ran: Ran,
    event: impl Future<Output = T>,
) -> Result<T, Trouble> {
    let within = time_until(admitted.deadline) + GRACE;
    timeout(within, event).await.map_err(|_| Trouble::lost(server, ran))
}

/// Milliseconds left until the deadline, as frames carry them.
pub fn millis_left(admitted: &Admitted) -> u32 {
    u32::try_from(time_until(admitted.deadline).as_millis()).unwrap_or(u32::MAX)
}
