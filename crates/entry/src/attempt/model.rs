//! Model requests: a decode slot first, then the prefill, then the answer.

use super::{Trouble, again, millis_left, trouble, turn, until_deadline};
use crate::answer::openai::{Form, Usage};
use crate::app::App;
use crate::explain::What;
use crate::link::{AttemptHandle, Event, Stage};
use crate::request::body::Call;
use crate::request::exchange::{Admitted, Exchange, check};
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

/// Longest silence within an answer before it is given up.
const TOKEN_WITHIN: Duration = Duration::from_secs(30);

/// What one request's attempts share.
struct Work<'a> {
    app: &'a App,
    exchange: &'a Exchange,
    admitted: &'a Admitted,
    call: &'a Call,
    ask: Query,
}

/// A server on which a part of the attempt stands.
struct Part {
    turn: Placement,
    open: AttemptHandle,
}

/// The answer on its way to the caller.
struct Writer<'a> {
    form: &'a Form,
    stream: bool,
    text: String,
    tokens: u64,
    /// When the newest attempt had its turn.
    turn: Instant,
}

/// Runs a request until it is answered.
///
/// # Errors
///
/// What the caller is told; where a part of the answer has gone, the stream ends with it.
pub async fn run(
    app: &App,
    exchange: &Exchange,
    admitted: &Admitted,
    call: &Call,
    form: &Form,
) -> Result<(), Refusal> {
    let kv_tokens = u64::from(call.prompt_tokens) + u64::from(call.max_tokens);
    let ask = Query {
        pool: admitted.route.pool.clone(),
        kv_tokens,
        prompt_tokens: u64::from(call.prompt_tokens),
        pieces: prefix::pieces(&call.prompt),
        preferred_domain: app.failure_domain.clone(),
        avoided: Vec::new(),
    };
    let mut work = Work { app, exchange, admitted, call, ask };
    let mut writer =
        Writer { form, stream: call.stream, text: String::new(), tokens: 0, turn: clock::now() };
    let mut attempt = 1;
    loop {
        let trouble = match work.attempt(Attempt(attempt), &mut writer).await {
            Ok(()) => return Ok(()),
            Err(trouble) => trouble,
        };
        again(app, exchange, admitted, &trouble)?;
        work.ask.avoided.extend(trouble.to_pass_over());
        writer.text.clear();
        writer.tokens = 0;
        attempt += 1;
    }
}

impl Work<'_> {
    fn id(&self, attempt: Attempt) -> (Request, Attempt) {
        (self.exchange.request, attempt)
    }

    async fn attempt(&self, attempt: Attempt, writer: &mut Writer<'_>) -> Result<(), Trouble> {
        let returned = attempt.0 > 1;
        let turn =
            turn(self.app, self.exchange, self.admitted, Role::Decode, self.ask.clone(), returned);
        let turn = turn.await.map_err(Trouble::last)?;
        writer.turn = clock::now();
        let decode = self.reserve(attempt, turn).await?;
        let (prefill, kv) = self.prefill(attempt).await?;
        let used = u64::from(kv.tokens);
        self.app.metrics.prefill_tokens.inc_by(used);
        self.exchange.note_used(used);
        let answered = self.decode(attempt, decode, prefill, kv, writer).await;
        let answered = answered.map_err(Trouble::after_prefill);
        if answered.is_err() && writer.tokens == 0 {
            self.app.metrics.prefill_tokens_wasted.inc_by(used);
        }
        answered
    }

    async fn reserve(&self, attempt: Attempt, turn: Placement) -> Result<Part, Trouble> {
        let call = self.call;
        let work = turn.prefill_work.unwrap_or(u64::from(call.prompt_tokens));
        let expected_ms = self.app.prefill.expected_ms(work);
        let left_ms = millis_left(self.admitted);
        let Some(wait_ms) = u64::from(left_ms).checked_sub(expected_ms) else {
            let refusal = Refusal::new(Code::DeadlineUnmet, "the prefill can't end in time");
            return Err(Trouble::last(refusal.retry_after(expected_ms)));
        };
        let needed_in_ms = u32::try_from(expected_ms).unwrap_or(u32::MAX);
        let target = self.exchange.target(self.app, self.admitted);
        let wait = place::wait::max_wait(clock::now(), target, Duration::from_millis(wait_ms));
        let frame = Frame::Reserve(
            self.exchange.request,
            attempt,
            Reserve {
                organisation: self.admitted.organisation(),
                may_wait: self.admitted.route.may_wait,
                kv_tokens: call.prompt_tokens.saturating_add(call.max_tokens),
                transfer_tokens: call.prompt_tokens,
                output_tokens: call.max_tokens,
                wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
                needed_in_ms,
            },
        );
        let mut open = turn.link.open(self.id(attempt), Stage::Reserving, frame);
        let next = self.exchange.outside(open.next());
        let event = until_deadline(self.admitted, &turn.server, Ran::NotRun, next).await?;
        match event {
            Event::Reserved(_) => {
                self.exchange.note(self.app, What::Reserved, Some(&turn.server), None);
                Ok(Part { turn, open })
            }
            event => Err(trouble(&turn, event).before_answer()),
        }
    }

    async fn prefill(&self, attempt: Attempt) -> Result<(Part, Kv), Trouble> {
        check(self.app, self.admitted).map_err(Trouble::last)?;
        let Some(turn) = self.app.scheduler.place_prefill(self.ask.clone()).await else {
            let refusal = Refusal::new(Code::DeadlineUnmet, "no prefill server can be reached");
            return Err(Trouble::last(refusal.retry_after(1_000)));
        };
        let frame = Frame::Prefill(
            self.exchange.request,
            attempt,
            Prefill {
                organisation: self.admitted.organisation(),
                may_wait: self.admitted.route.may_wait,
                prompt: self.call.prompt.clone(),
                prompt_tokens: self.call.prompt_tokens,
                deadline_ms: millis_left(self.admitted),
            },
        );
        self.exchange.note_ordered();
        self.exchange.note(self.app, What::Placed, Some(&turn.server), Some(&turn.reason));
        let start = clock::now();
        let mut open = turn.link.open(self.id(attempt), Stage::Prefilling, frame);
        let next = self.exchange.outside(open.next());
        let event = until_deadline(self.admitted, &turn.server, Ran::Unknown, next)
            .await
            .map_err(Trouble::before_answer)?;
        match event {
            Event::Prefilled(kv) => {
                let took = clock::now().since(start);
                let fresh = u64::from(kv.tokens.saturating_sub(kv.cached_tokens));
                self.app.prefill.record(turn.prefill_work.unwrap_or(0).max(fresh), took);
                turn.in_flight.report(Outcome::Answered);
                self.exchange.note(self.app, What::Prefilled, Some(&turn.server), None);
                Ok((Part { turn, open }, kv))
            }
            event => Err(trouble(&turn, event).before_answer()),
        }
    }

    async fn decode(
        &self,
        attempt: Attempt,
        mut decode: Part,
        prefill: Part,
        kv: Kv,
        writer: &mut Writer<'_>,
    ) -> Result<(), Trouble> {
        check(self.app, self.admitted).map_err(Trouble::last)?;
        let output_tokens = self.call.max_tokens;
        let frame = Frame::Decode(self.exchange.request, attempt, Decode { kv, output_tokens });
        decode.open.advance(frame);
        let server = decode.turn.server.clone();
        let next = self.exchange.outside(decode.open.next());
        let first = until_deadline(self.admitted, &server, Ran::Unknown, next).await?;
        // The KV cache has been moved, so the prefill server may forget it.
        prefill.open.finish();
        drop(prefill.turn);
        self.exchange.note(self.app, What::Answering, Some(&server), None);
        let mut event = first;
        loop {
            match event {
                Event::Tokens(texts) => {
                    if writer.tokens == 0 {
                        decode.turn.in_flight.report(Outcome::Answered);
                        self.app.first_token.record(clock::now().since(writer.turn));
                    }
                    self.tokens(writer, &texts).await;
                }
                Event::End(finish) => break self.end(writer, finish).await,
                event => return Err(trouble(&decode.turn, event)),
            }
            let next = timeout(TOKEN_WITHIN, decode.open.next()).await;
            event = next.unwrap_or(Event::Lost(Ran::Ran));
        }
        decode.open.finish();
        Ok(())
    }

    async fn tokens(&self, writer: &mut Writer<'_>, texts: &[Arc<str>]) {
        writer.tokens += texts.len() as u64;
        self.exchange.note_tokens(self.app, texts.len() as u64);
        self.exchange.note_used(u64::from(self.call.prompt_tokens) + writer.tokens);
        let text = texts.concat();
        if !writer.stream {
            writer.text.push_str(&text);
            return;
        }
        self.start_stream();
        self.exchange.reply.send(writer.form.part(&text)).await;
    }

    fn start_stream(&self) {
        let headers = vec![
            ("content-type".into(), "text/event-stream".into()),
            ("cache-control".into(), "no-store".into()),
        ];
        self.exchange.reply.start(200, headers);
    }

    async fn end(&self, writer: &Writer<'_>, finish: Finish) {
        let prompt = u64::from(self.call.prompt_tokens);
        let usage = Usage { prompt, output: writer.tokens };
        self.exchange.note_used(prompt + writer.tokens);
        let reply = &self.exchange.reply;
        if writer.stream {
            self.start_stream();
            reply.send(writer.form.last(finish, usage)).await;
        } else {
            let body = writer.form.whole(&writer.text, finish, usage);
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
