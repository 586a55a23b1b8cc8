//! Runs requests with an idempotency key on at-most-once routes. Such a request is claimed before
//! it runs, and its claim is settled before the caller gets the answer.
//!
//! A claim records in the platform's store that a request with this idempotency key is being run.
//! To settle it means to store how the request ended, so that a repeated request gets the same
//! answer and runs nothing.

use super::admit::{self, Work};
use super::exchange::{Admitted, Exchange};
use super::refusal::{Code, Refusal};
use crate::answer::reply::Buffered;
use crate::app::App;
use crate::explain::StepKind;
use chestnutrack_fleet::claim::{ClaimRequest, End, HeldClaim, Outcome};
use chestnutrack_wire::frame::Ran;

/// Largest response body that is stored for repeated requests, in bytes.
const STORED_BODY_BYTES_MAX: usize = 256 << 10;
/// Time after which a caller may retry while the claimed request is running, in milliseconds.
const RUNNING_RETRY_MS: u64 = 500;
/// Time after which a caller may retry if the claim can't be made, in milliseconds.
const UNAVAILABLE_RETRY_MS: u64 = 1_000;

/// Claims and runs a request, settles the claim and sends the answer. A repeated request gets the
/// stored answer and doesn't run. The answer is buffered until the claim is settled.
///
/// # Errors
///
/// The refusal that the caller gets.
pub async fn run(
    app: &App,
    exchange: &Exchange,
    admitted: &Admitted,
    work: &Work,
    request: ClaimRequest,
) -> Result<(), Refusal> {
    exchange.reply.buffer();
    let claimed = exchange.wait_external((app.authority.claim)(request)).await;
    let held = match claimed.map_err(|_| unavailable_refusal())? {
        Outcome::Run(held) => held,
        other => return answer_repeat(exchange, other),
    };
    exchange.record_step(app, StepKind::Claimed, None, None);
    let outcome = debit_and_run(app, exchange, admitted, work).await;
    let buffered = exchange.reply.buffered();
    settle(app, exchange, held, claim_end(&outcome, buffered.as_ref(), exchange)).await;
    outcome?;
    exchange.reply.send_buffered(buffered.unwrap_or_default());
    Ok(())
}

/// Debits the tokens of a claimed request and runs it. The debit follows the claim, so that a
/// repeated request, which runs nothing, is not charged.
async fn debit_and_run(
    app: &App,
    exchange: &Exchange,
    admitted: &Admitted,
    work: &Work,
) -> Result<(), Refusal> {
    admit::debit(app, exchange, admitted, work.tokens()).await?;
    super::run_attempts(app, exchange, admitted, work).await
}

/// Returns the refusal for a request that can't be claimed now and has not run. The caller may send
/// it again.
fn unavailable_refusal() -> Refusal {
    Refusal::new(Code::ClaimUnavailable, "the claim can't be made now")
        .with_retry_after(UNAVAILABLE_RETRY_MS)
}

/// Returns the result to store in the claim. An answer above `STORED_BODY_BYTES_MAX` is stored
/// without its body. A failed request is stored as not run if that is known, and otherwise as one
/// of unknown outcome.
fn claim_end(
    outcome: &Result<(), Refusal>,
    buffered: Option<&Buffered>,
    exchange: &Exchange,
) -> End {
    match (outcome, buffered) {
        (Ok(()), Some(buffered)) => {
            let is_storable = buffered.body.len() <= STORED_BODY_BYTES_MAX;
            let body = is_storable.then(|| buffered.body.clone());
            End::Answered { status: buffered.status, headers: buffered.headers.clone(), body }
        }
        (Err(refusal), _) if exchange.ran_with(refusal.ran) == Ran::NotRun => End::NotRun,
        _ => End::Unknown,
    }
}

/// Stores the result of a request in its claim. If that fails, the caller still gets its answer
/// or refusal; the failure is only recorded among the steps of the request.
async fn settle(app: &App, exchange: &Exchange, held: HeldClaim, end: End) {
    let settled = (app.authority.settle)(held, end).await;
    if settled.is_err() {
        exchange.record_step(app, StepKind::Claimed, None, Some("could not be settled"));
    }
}

/// Answers a request whose idempotency key was claimed before: sends the stored answer again or
/// refuses. If the earlier request certainly did not run, its claim is released, so the caller is
/// told to try again later and can then claim the key itself.
fn answer_repeat(exchange: &Exchange, outcome: Outcome) -> Result<(), Refusal> {
    match outcome {
        Outcome::Ended(End::Answered { status, mut headers, body: Some(body) }) => {
            headers.push(("x-chestnutrack-replayed".into(), "true".into()));
            exchange.reply.send_buffered(Buffered { status, headers, body });
            Ok(())
        }
        Outcome::Ended(End::Answered { body: None, .. }) => {
            let message = "the request was answered, but its answer was too large to keep";
            Err(Refusal::new(Code::OutcomeUnknown, message).with_ran(Ran::Ran))
        }
        Outcome::Ended(End::NotRun) => Err(unavailable_refusal()),
        Outcome::Running => {
            let message = "a request with this idempotency key runs";
            let refusal = Refusal::new(Code::StillRunning, message).with_ran(Ran::Unknown);
            Err(refusal.with_retry_after(RUNNING_RETRY_MS))
        }
        Outcome::Ended(End::Unknown) | Outcome::Unknown => {
            let message = "it is not known whether the request ran; it is not run again";
            Err(Refusal::new(Code::OutcomeUnknown, message).with_ran(Ran::Unknown))
        }
        Outcome::Mismatch => {
            let message = "the idempotency key came before with another request";
            Err(Refusal::new(Code::IdempotencyKeyReused, message).with_place("idempotency-key"))
        }
        // Never reached: `run` passes only the other outcomes.
        Outcome::Run(_) => Err(unavailable_refusal()),
    }
}
