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
use crate::scheduler::{Late, Turn, Want};
use chestnutrack_core::place::Ask;
use chestnutrack_core::queue::Waiting;
use chestnutrack_core::retry::{Failed, is_safe};
use chestnutrack_document::model::Role;
use chestnutrack_process::clock;
use chestnutrack_wire::frame::{Cause, Failure, Ran};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Times that one request is put back because a server had no room.
const FULL_MAX: u32 = 16;
/// Time beyond a deadline that a side process is given to say how an attempt ended.
const GRACE: Duration = Duration::from_millis(1_000);

/// Why an attempt ended without an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// The server refused it or failed.
    Failed(Arc<str>, Failure),
    /// The side process can't be reached; whether the attempt ran.
    Lost(Arc<str>, Ran),
    /// There was no server for it.
    Nowhere(Refusal),
}

impl Trouble {
    /// Whether the attempt ran.
    pub fn ran(&self) -> Ran {
        match self {
            Trouble::Failed(_, failure) => failure.ran,
            Trouble::Lost(_, ran) => *ran,
            Trouble::Nowhere(refusal) => refusal.ran,
        }
    }

    fn server(&self) -> Option<&Arc<str>> {
        match self {
            Trouble::Failed(server, _) | Trouble::Lost(server, _) => Some(server),
            Trouble::Nowhere(_) => None,
        }
    }

    /// Whether the server merely had no room. Nothing was done, so that it is no retry.
    fn is_full(&self) -> bool {
        matches!(self, Trouble::Failed(_, failure) if failure.cause == Cause::Full)
    }

    /// The server that the request is not sent to again; one that was full is asked again later.
    pub fn to_pass_over(&self) -> Option<Arc<str>> {
        if self.is_full() { None } else { self.server().cloned() }
    }

    /// What the caller is told when the request is given up.
    pub fn refusal(&self) -> Refusal {
        match self {
            Trouble::Failed(_, failure) => Refusal::of(*failure),
            Trouble::Lost(_, ran) => {
                Refusal::new(Code::BackendFailed, "the server can't be reached").ran(*ran)
            }
            Trouble::Nowhere(refusal) => refusal.clone(),
        }
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
    before: u32,
) -> Result<(), Refusal> {
    let why = format!("{trouble:?}");
    exchange.note(app, What::Refused, trouble.server(), Some(&why));
    let failed = Failed {
        not_run: trouble.ran() == Ran::NotRun,
        idempotent: admitted.route.idempotent,
        answered: exchange.reply.is_started(),
    };
    let hopeless = matches!(trouble, Trouble::Nowhere(_));
    if hopeless || !is_safe(failed) || time_until(admitted.deadline).is_zero() {
        return Err(trouble.refusal());
    }
    let allowed = if trouble.is_full() { before < FULL_MAX } else { app.spend_retry(before) };
    if !allowed {
        return Err(trouble.refusal());
    }
    exchange.note_failed(trouble.ran());
    exchange.note(app, What::Retried, None, None);
    Ok(())
}

/// What an event means that ends an attempt without an answer.
fn trouble(turn: &Turn, event: Event) -> Trouble {
    let server = turn.server.clone();
    match event {
        Event::Failed(failure) => {
            if failure.cause == Cause::Full {
                turn.hold.was_full();
            }
            Trouble::Failed(server, failure)
        }
        Event::Lost(ran) => Trouble::Lost(server, ran),
        _ => {
            let failure = Failure { ran: Ran::Unknown, cause: Cause::Protocol, retry_after_ms: 0 };
            Trouble::Failed(server, failure)
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
    ask: Ask,
    returned: bool,
) -> Result<Turn, Refusal> {
    let want = |reply| Waiting {
        organisation: admitted.organisation(),
        may_wait: admitted.route.may_wait,
        tokens: ask.kv_tokens.max(1),
        arrived: clock::now(),
        deadline: admitted.deadline,
        returned,
        item: Want { role, ask: ask.clone(), reply },
    };
    let turn = exchange.outside(app.scheduler.turn(want)).await.map_err(late)?;
    check(app, admitted)?;
    exchange.note(app, What::Placed, Some(&turn.server), None);
    Ok(turn)
}

fn late(late: Late) -> Refusal {
    match late {
        Late::Deadline(millis) => {
            Refusal::new(Code::DeadlineUnmet, "no server has room in time").retry_after(millis)
        }
        Late::Full(millis) => {
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
    timeout(within, event).await.map_err(|_| Trouble::Lost(server.clone(), ran))
}

/// Milliseconds left until the deadline, as frames carry them.
pub fn millis_left(admitted: &Admitted) -> u32 {
    u32::try_from(time_until(admitted.deadline).as_millis()).unwrap_or(u32::MAX)
}
