//! Runs model requests. Each attempt reserves a decode slot, prefills the prompt and then reads the
//! answer from the decode server.
//!
//! A prefill server computes the KV cache of the prompt, the model's state from which the answer is
//! generated. [`Kv`] says where the decode server finds it; the decode server imports it into the
//! reserved slot and generates the answer.

use super::{
    Error, begin_retry, error_from_event, millis_left, until_deadline, wait_for_placement,
};
use crate::answer::openai::{Encoder, Usage};
use crate::app::App;
use crate::explain::StepKind;
use crate::link::{AttemptHandle, Event, Stage};
use crate::request::body::Call;
use crate::request::exchange::{Admitted, Exchange, check_runnable};
use crate::request::refusal::{Code, Refusal};
use crate::scheduler::{Outcome, Placement};
use chestnutrack_core::place::{self, Query, prefix};
use chestnutrack_core::time::Instant;
use chestnutrack_document::model::Role;
use chestnutrack_process::clock;
use chestnutrack_wire::frame::{Decode, Finish, Frame, Kv, Prefill, Ran, Reserve};
use chestnutrack_wire::{Attempt, Request};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Maximum time between two events of an answer before the attempt fails.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(30);

/// State that the attempts of one request share.
struct Attempts<'a> {
    app: &'a App,
    exchange: &'a Exchange,
    admitted: &'a Admitted,
    call: &'a Call,
    query: Query,
}

/// Reservation or prefill of an attempt that was started on the server where it was placed.
/// Dropping it cancels the attempt there and ends its count as a request in flight.
struct StartedStage {
    placement: Placement,
    handle: AttemptHandle,
}

/// Writes the answer to the caller.
struct Writer<'a> {
    encoder: &'a Encoder,
    is_streamed: bool,
    /// Text of an answer that is not streamed.
    text: String,
    /// Number of tokens that the latest attempt generated.
    tokens: u64,
    /// Time at which the latest attempt was placed on a decode server.
    placed_at: Instant,
}

/// Runs a request until it is answered.
///
/// # Errors
///
/// The refusal that the caller gets. If a part of the answer was sent, it is the last event of the
/// stream.
pub async fn run(
    app: &App,
    exchange: &Exchange,
    admitted: &Admitted,
    call: &Call,
    encoder: &Encoder,
) -> Result<(), Refusal> {
    let kv_tokens = u64::from(call.prompt_tokens) + u64::from(call.max_tokens);
    let query = Query {
        pool: admitted.route.pool.clone(),
        kv_tokens,
        prompt_tokens: u64::from(call.prompt_tokens),
        pieces: prefix::pieces(&call.prompt),
        preferred_domain: app.failure_domain.clone(),
        avoided: Vec::new(),
    };
    let mut attempts = Attempts { app, exchange, admitted, call, query };
    let mut writer = Writer {
        encoder,
        is_streamed: call.is_streamed,
        text: String::new(),
        tokens: 0,
        placed_at: clock::now(),
    };
    let mut attempt_number = 1;
    loop {
        let error = match attempts.run_attempt(Attempt(attempt_number), &mut writer).await {
            Ok(()) => return Ok(()),
            Err(error) => error,
        };
        begin_retry(app, exchange, admitted, &error)?;
        attempts.query.avoided.extend(error.server_to_avoid());
        writer.text.clear();
        writer.tokens = 0;
        attempt_number += 1;
    }
}

impl Attempts<'_> {
    /// Returns the identifier of an attempt, as used on links.
    fn id(&self, attempt: Attempt) -> (Request, Attempt) {
        (self.exchange.request_id, attempt)
    }

    /// Runs one attempt: placement and reservation on a decode server, prefill, and generation.
    /// Records the prompt tokens that were prefilled, also as wasted if the attempt generated no
    /// token.
    async fn run_attempt(&self, attempt: Attempt, writer: &mut Writer<'_>) -> Result<(), Error> {
        let returned = attempt.0 > 1;
        let placement = wait_for_placement(
            self.app,
            self.exchange,
            self.admitted,
            Role::Decode,
            self.query.clone(),
            returned,
        );
        let placement = placement.await.map_err(Error::without_retry)?;
        writer.placed_at = clock::now();
        let decode = self.reserve(attempt, placement).await?;
        let (prefill, kv) = self.prefill(attempt).await?;
        let prompt_tokens = u64::from(kv.tokens);
        self.app.metrics.prefill_tokens.inc_by(prompt_tokens);
        self.exchange.set_used_tokens(prompt_tokens);
        let answered = self.decode(attempt, decode, prefill, kv, writer).await;
        let answered = answered.map_err(Error::mark_run);
        if answered.is_err() && writer.tokens == 0 {
            self.app.metrics.prefill_tokens_wasted.inc_by(prompt_tokens);
        }
        answered
    }

    /// Reserves a slot on the decode server. The side process may let the request wait for a slot,
    /// at most until the rest of the time to the deadline is needed for the prefill; an attempt
    /// whose prefill can't end by the deadline fails at once.
    async fn reserve(&self, attempt: Attempt, placement: Placement) -> Result<StartedStage, Error> {
        let call = self.call;
        let prefill_work = placement.prefill_work.unwrap_or(u64::from(call.prompt_tokens));
        let expected_ms = self.app.prefill_estimate.expected_ms(prefill_work);
        let time_left_ms = millis_left(self.admitted);
        let Some(longest_wait_ms) = u64::from(time_left_ms).checked_sub(expected_ms) else {
            let refusal = Refusal::new(Code::DeadlineUnmet, "the prefill can't end in time");
            return Err(Error::without_retry(refusal.with_retry_after(expected_ms)));
        };
        let needed_in_ms = u32::try_from(expected_ms).unwrap_or(u32::MAX);
        let placement_deadline = self.exchange.placement_deadline(self.app, self.admitted);
        let wait_time = place::wait::max_wait(
            clock::now(),
            placement_deadline,
            Duration::from_millis(longest_wait_ms),
        );
        let frame = Frame::Reserve(
            self.exchange.request_id,
            attempt,
            Reserve {
                organisation: self.admitted.organisation(),
                may_wait: self.admitted.route.may_wait,
                kv_tokens: call.prompt_tokens.saturating_add(call.max_tokens),
                transfer_tokens: call.prompt_tokens,
                output_tokens: call.max_tokens,
                wait_ms: u32::try_from(wait_time.as_millis()).unwrap_or(u32::MAX),
                needed_in_ms,
            },
        );
        let mut handle = placement.link.open(self.id(attempt), Stage::Reserving, frame);
        let next = self.exchange.wait_external(handle.next());
        let event = until_deadline(self.admitted, &placement.server, Ran::NotRun, next).await?;
        match event {
            Event::Reserved(_) => {
                self.exchange.record_step(
                    self.app,
                    StepKind::Reserved,
                    Some(&placement.server),
                    None,
                );
                Ok(StartedStage { placement, handle })
            }
            event => Err(error_from_event(&placement, event).mark_no_output()),
        }
    }

    /// Prefills the prompt on a prefill server. If none is available, the request ends with
    /// [`Code::DeadlineUnmet`] and is not retried.
    async fn prefill(&self, attempt: Attempt) -> Result<(StartedStage, Kv), Error> {
        check_runnable(self.app, self.admitted).map_err(Error::without_retry)?;
        let Some(placement) = self.app.scheduler.place_prefill(self.query.clone()).await else {
            let refusal = Refusal::new(Code::DeadlineUnmet, "no prefill server can be reached");
            return Err(Error::without_retry(refusal.with_retry_after(1_000)));
        };
        let frame = Frame::Prefill(
            self.exchange.request_id,
            attempt,
            Prefill {
                organisation: self.admitted.organisation(),
                may_wait: self.admitted.route.may_wait,
                prompt: self.call.prompt.clone(),
                prompt_tokens: self.call.prompt_tokens,
                deadline_ms: millis_left(self.admitted),
            },
        );
        self.exchange.mark_dispatched();
        self.exchange.record_step(
            self.app,
            StepKind::Placed,
            Some(&placement.server),
            Some(&placement.reason),
        );
        let started_at = clock::now();
        let mut handle = placement.link.open(self.id(attempt), Stage::Prefilling, frame);
        let next = self.exchange.wait_external(handle.next());
        let event = until_deadline(self.admitted, &placement.server, Ran::Unknown, next)
            .await
            .map_err(Error::mark_no_output)?;
        match event {
            Event::Prefilled(kv) => {
                let prefill_time = clock::now().since(started_at);
                // The work estimated at placement includes prompts queued at the server, but may be
                // missing or lower than the number of tokens that were computed.
                let uncached_tokens = u64::from(kv.tokens.saturating_sub(kv.cached_tokens));
                self.app
                    .prefill_estimate
                    .record(placement.prefill_work.unwrap_or(0).max(uncached_tokens), prefill_time);
                placement.in_flight.report(Outcome::Answered);
                self.exchange.record_step(
                    self.app,
                    StepKind::Prefilled,
                    Some(&placement.server),
                    None,
                );
                Ok((StartedStage { placement, handle }, kv))
            }
            event => Err(error_from_event(&placement, event).mark_no_output()),
        }
    }

    /// Starts the generation on the decode server and passes its tokens on until the answer ends.
    async fn decode(
        &self,
        attempt: Attempt,
        mut decode: StartedStage,
        prefill: StartedStage,
        kv: Kv,
        writer: &mut Writer<'_>,
    ) -> Result<(), Error> {
        check_runnable(self.app, self.admitted).map_err(Error::without_retry)?;
        let output_tokens = self.call.max_tokens;
        let frame = Frame::Decode(self.exchange.request_id, attempt, Decode { kv, output_tokens });
        decode.handle.advance(frame);
        let server = decode.placement.server.clone();
        let next = self.exchange.wait_external(decode.handle.next());
        let first = until_deadline(self.admitted, &server, Ran::Unknown, next).await?;
        // The KV cache has been transferred, so the prefill server may drop it.
        prefill.handle.finish();
        drop(prefill.placement);
        self.exchange.record_step(self.app, StepKind::Answering, Some(&server), None);
        let mut event = first;
        loop {
            match event {
                Event::Tokens(texts) => {
                    if writer.tokens == 0 {
                        decode.placement.in_flight.report(Outcome::Answered);
                        self.app.first_token_estimate.record(clock::now().since(writer.placed_at));
                    }
                    self.write_tokens(writer, &texts).await;
                }
                Event::End(finish) => break self.finish(writer, finish).await,
                event => return Err(error_from_event(&decode.placement, event)),
            }
            let next = timeout(TOKEN_TIMEOUT, decode.handle.next()).await;
            event = next.unwrap_or(Event::Lost(Ran::Ran));
        }
        decode.handle.finish();
        Ok(())
    }

    /// Counts tokens of the answer, then sends them or collects them for an answer that is not
    /// streamed.
    async fn write_tokens(&self, writer: &mut Writer<'_>, texts: &[Arc<str>]) {
        writer.tokens += texts.len() as u64;
        self.exchange.record_tokens(self.app, texts.len() as u64);
        self.exchange.set_used_tokens(u64::from(self.call.prompt_tokens) + writer.tokens);
        let text = texts.concat();
        if !writer.is_streamed {
            writer.text.push_str(&text);
            return;
        }
        self.start_stream();
        self.exchange.reply.send(writer.encoder.chunk(&text)).await;
    }

    /// Sends the status and headers of a streamed answer, unless that was done before.
    fn start_stream(&self) {
        let headers = vec![
            ("content-type".into(), "text/event-stream".into()),
            ("cache-control".into(), "no-store".into()),
        ];
        self.exchange.reply.start(200, headers);
    }

    /// Ends a stream, or sends a collected answer.
    async fn finish(&self, writer: &Writer<'_>, finish: Finish) {
        let prompt = u64::from(self.call.prompt_tokens);
        let usage = Usage { prompt, output: writer.tokens };
        self.exchange.set_used_tokens(prompt + writer.tokens);
        let reply = &self.exchange.reply;
        if writer.is_streamed {
            self.start_stream();
            reply.send(writer.encoder.final_chunk(finish, usage)).await;
        } else {
            let body = writer.encoder.response_body(&writer.text, finish, usage);
            let headers = vec![
                ("content-type".into(), "application/json".into()),
                ("content-length".into(), body.len().to_string().into()),
            ];
            reply.start(200, headers);
            reply.send(body).await;
        }
        reply.end();
    }
}
