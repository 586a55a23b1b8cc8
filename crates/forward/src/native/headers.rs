//! Headers of requests and answers.

use crate::dialect::{ForwardHead, Generation, RequestHead, ResponseHead, Step};
use chestnutrack_process::header::{self, number, text};
use hyper::StatusCode;
use hyper::header::{AUTHORIZATION, CONTENT_ENCODING, HeaderMap};
use std::time::Duration;

/// The request.
pub const REQUEST: &str = "x-chestnutrack-request";
/// Time left, in milliseconds.
pub const DEADLINE: &str = "x-chestnutrack-deadline-ms";
/// Tokens of prompt and answer.
pub const TOKENS: &str = "x-chestnutrack-tokens";
/// Tokens that the caller expects of the answer.
pub const EXPECTED: &str = "x-chestnutrack-expected";
/// The server that a request is meant for.
pub const SERVER: &str = "x-chestnutrack-server";
/// Whose key came with it.
pub const ORGANISATION: &str = "x-chestnutrack-organisation";
/// What is asked of an engine.
pub const STEP: &str = "x-chestnutrack-step";
/// KV cache to generate from.
pub const KV: &str = "x-chestnutrack-kv";
/// Whether a request ran.
pub const RAN: &str = "x-chestnutrack-ran";

const LAST_EVENT: &str = "last-event-id";
/// Start of the names of headers that callers can't set for servers.
const OWN: &str = "x-chestnutrack-";
/// Of these, what callers set all the same.
const CALLERS: &[&str] = &[REQUEST, TOKENS, EXPECTED];
/// Value of [`RAN`] for a request that did not run.
const NOT_RUN: &str = "not-run";

pub(super) fn parse_request(headers: &HeaderMap) -> Result<RequestHead, &'static str> {
    let generation = match text(headers, TOKENS) {
        Some(tokens) => Some(generation(headers, tokens)?),
        None => None,
    };
    Ok(RequestHead {
        id: text(headers, REQUEST).map(Into::into),
        deadline: number(headers, DEADLINE).map(Duration::from_millis),
        key: text(headers, AUTHORIZATION.as_str())
            .and_then(|text| text.strip_prefix("Bearer "))
            .map(Into::into),
        generation,
        last_event: number(headers, LAST_EVENT),
    })
}

fn generation(headers: &HeaderMap, tokens: &str) -> Result<Generation, &'static str> {
    let (prompt, output) = tokens.split_once(',').ok_or(TOKENS)?;
    Ok(Generation {
        prompt_tokens: prompt.trim().parse().map_err(|_| TOKENS)?,
        output_tokens: output.trim().parse().map_err(|_| TOKENS)?,
        hint: number(headers, EXPECTED),
        ..Generation::default()
    })
}

pub(super) fn forward_headers(headers: &HeaderMap, forward_head: &ForwardHead) -> HeaderMap {
    let passes = |name: &str| {
        let is_own = name.starts_with(OWN) && !CALLERS.contains(&name);
        !is_own && name != AUTHORIZATION.as_str()
    };
    let mut out = header::forwardable(headers, passes, CALLERS);
    let mut set = |name, value: &str| header::set(&mut out, name, value);
    set(SERVER, &forward_head.server);
    set(DEADLINE, &forward_head.deadline.as_millis().to_string());
    if let Some(organisation) = &forward_head.organisation {
        set(ORGANISATION, organisation);
    }
    if let Some(last) = forward_head.last_event {
        set(LAST_EVENT, &last.to_string());
    }
    match &forward_head.step {
        Step::Whole => {}
        Step::Prefill => set(STEP, "prefill"),
        Step::Generate(handle) => set(KV, &format!("{}/{}", handle.address, handle.id)),
    }
    out
}

pub(super) fn parse_response(status: StatusCode, headers: &HeaderMap) -> ResponseHead {
    ResponseHead {
        not_run: text(headers, RAN) == Some(NOT_RUN),
        misdirected: status == StatusCode::MISDIRECTED_REQUEST,
        id: text(headers, REQUEST).map(Into::into),
        encoded: headers.contains_key(CONTENT_ENCODING),
        signed: true,
    }
}
