//! Requests that must land once and carry an idempotency key: claimed before they run, settled
//! before they are answered.

use super::admit::{self, Work};
use super::exchange::{Admitted, Exchange};
use super::refusal::{Code, Refusal};
use crate::answer::reply::Kept;
use crate::app::App;
use crate::explain::What;
use chestnutrack_fleet::claim::{ClaimRequest, End, HeldClaim, Outcome};
use chestnutrack_wire::frame::Ran;

/// Largest body that is kept for repeats, in bytes.
const KEPT_BODY_BYTES_MAX: usize = 256 << 10;
/// When to ask again for a request that runs, in milliseconds.
const RUNNING_RETRY_MS: u64 = 500;
/// When to ask again where a claim can't be made, in milliseconds.
const UNAVAILABLE_RETRY_MS: u64 = 1_000;

/// Claims, runs and settles a request.
///
/// # Errors
///
/// What the caller is told.
pub async fn run(
    app: &App,
    exchange: &Exchange,
    admitted: &Admitted,
    work: &Work,
    ask: ClaimRequest,
) -> Result<(), Refusal> {
    exchange.reply.keep();
    let claimed = exchange.outside((app.authority.claim)(ask)).await;
    let held = match claimed.map_err(|_| unavailable())? {
        Outcome::Run(held) => held,
        other => return repeat(exchange, other),
    };
    exchange.note(app, What::Claimed, None, None);
    let outcome = debit_and_run(app, exchange, admitted, work).await;
    let kept = exchange.reply.kept();
    settle(app, exchange, held, end_of(&outcome, kept.as_ref(), exchange)).await;
    outcome?;
    exchange.reply.release(kept.unwrap_or_default());
    Ok(())
}

async fn debit_and_run(
    app: &App,
    exchange: &Exchange,
    admitted: &Admitted,
    work: &Work,
) -> Result<(), Refusal> {
    admit::debit(app, exchange, admitted, work.tokens()).await?;
    super::run(app, exchange, admitted, work).await
}

fn unavailable() -> Refusal {
    Refusal::new(Code::ClaimUnavailable, "the claim can't be made now")
        .retry_after(UNAVAILABLE_RETRY_MS)
}

fn end_of(outcome: &Result<(), Refusal>, kept: Option<&Kept>, exchange: &Exchange) -> End {
    match (outcome, kept) {
        (Ok(()), Some(kept)) => {
            let fits = kept.body.len() <= KEPT_BODY_BYTES_MAX;
            let body = fits.then(|| kept.body.clone());
            End::Answered { status: kept.status, headers: kept.headers.clone(), body }
        }
        (Err(refusal), _) if exchange.ran_with(refusal.ran) == Ran::NotRun => End::NotRun,
        _ => End::Unknown,
    }
}

async fn settle(app: &App, exchange: &Exchange, held: HeldClaim, end: End) {
    let settled = (app.authority.settle)(held, end).await;
    if settled.is_err() {
        exchange.note(app, What::Claimed, None, Some("could not be settled"));
    }
}

/// What a repeat of a claimed request gets.
fn repeat(exchange: &Exchange, outcome: Outcome) -> Result<(), Refusal> {
    match outcome {
        Outcome::Ended(End::Answered { status, mut headers, body: Some(body) }) => {
            headers.push(("x-chestnutrack-replayed".into(), "true".into()));
            exchange.reply.release(Kept { status, headers, body });
            Ok(())
        }
        Outcome::Ended(End::Answered { body: None, .. }) => {
            let message = "the request was answered, but its answer was too large to keep";
            Err(Refusal::new(Code::OutcomeUnknown, message).ran(Ran::Ran))
        }
        Outcome::Ended(End::NotRun) => Err(unavailable()),
        Outcome::Running => {
            let message = "a request with this idempotency key runs";
            let refusal = Refusal::new(Code::StillRunning, message).ran(Ran::Unknown);
            Err(refusal.retry_after(RUNNING_RETRY_MS))
        }
        Outcome::Ended(End::Unknown) | Outcome::Unknown => {
            let message = "it is not known whether the request ran; it is not run again";
            Err(Refusal::new(Code::OutcomeUnknown, message).ran(Ran::Unknown))
        }
        Outcome::Mismatch => {
            let message = "the idempotency key came before with another request";
            Err(Refusal::new(Code::IdempotencyKeyReused, message).at("idempotency-key"))
        }
        Outcome::Run(_) => Err(unavailable()),
    }
}
