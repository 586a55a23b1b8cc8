//! Headers of requests and answers in the native dialect.

use crate::dialect::{AddedValues, Generation, RequestHead, ResponseHead, Step, parse_parts};
use chestnutrack_process::header::{self, number, text};
use hyper::StatusCode;
use hyper::header::{AUTHORIZATION, CONTENT_ENCODING, HeaderMap};
use std::time::Duration;

/// Identifier of the request.
pub const REQUEST: &str = "x-chestnutrack-request";
/// Time left until the deadline, in milliseconds.
pub const DEADLINE: &str = "x-chestnutrack-deadline-ms";
/// Number of tokens in the prompt and highest number in the answer, separated by a comma.
pub const TOKENS: &str = "x-chestnutrack-tokens";
/// Parts of the prompt in order, as `ID:TOKENS` entries separated by commas.
pub const PARTS: &str = "x-chestnutrack-parts";
/// Number of tokens that the caller expects in the answer.
pub const EXPECTED: &str = "x-chestnutrack-expected";
/// Identifier of the request that brought the first event of the stream that is resumed.
pub const RESUMES: &str = "x-chestnutrack-resumes";
/// Name of the intended server of a request.
pub const SERVER: &str = "x-chestnutrack-server";
/// Organisation that the caller's key belongs to.
pub const ORGANISATION: &str = "x-chestnutrack-organisation";
/// Part of a generation that the engine is to run.
pub const STEP: &str = "x-chestnutrack-step";
/// Address and handle of the KV cache to generate from.
pub const KV: &str = "x-chestnutrack-kv";
/// Whether the server ran the request.
pub const RAN: &str = "x-chestnutrack-ran";

/// Says that the server is shutting down.
pub const LEAVING: &str = "x-chestnutrack-leaving";
/// How much longer the server stays cold, in milliseconds.
const COLD: &str = "x-chestnutrack-cold-ms";
/// Requests per second that the server takes from all hosts together.
pub const LIMIT: &str = "x-chestnutrack-limit";

const LAST_EVENT: &str = "last-event-id";
/// Prefix of the headers that are removed from callers' requests, except those in [`CALLER_HEADERS`].
const RESERVED_PREFIX: &str = "x-chestnutrack-";
/// Headers with that prefix that callers may set.
const CALLER_HEADERS: &[&str] = &[REQUEST, TOKENS, PARTS, EXPECTED, RESUMES];
/// Value of [`RAN`] for a request that did not run and never will.
const NOT_RUN: &str = "not-run";

/// Parses the headers of a caller's request. Fails with [`TOKENS`] if that header can't be parsed; any other header
/// that can't be parsed counts as absent.
pub(super) fn parse_request_head(headers: &HeaderMap) -> Result<RequestHead, &'static str> {
    let generation = match text(headers, TOKENS) {
        Some(tokens) => Some(parse_generation(headers, tokens)?),
        None => None,
    };
    Ok(RequestHead {
        id: text(headers, REQUEST).map(Into::into),
        deadline: number(headers, DEADLINE).map(Duration::from_millis),
        key: text(headers, AUTHORIZATION.as_str())
            .and_then(|value| value.strip_prefix("Bearer "))
            .map(Into::into),
        generation,
        last_event: number(headers, LAST_EVENT),
        resumes: text(headers, RESUMES).map(Into::into),
    })
}

/// Parses the generation's parameters from the value of the [`TOKENS`] header and from the [`PARTS`] and [`EXPECTED`]
/// headers.
fn parse_generation(headers: &HeaderMap, tokens: &str) -> Result<Generation, &'static str> {
    let (prompt, output) = tokens.split_once(',').ok_or(TOKENS)?;
    Ok(Generation {
        prompt_tokens: prompt.trim().parse().map_err(|_| TOKENS)?,
        output_tokens: output.trim().parse().map_err(|_| TOKENS)?,
        hint: number(headers, EXPECTED),
        parts: text(headers, PARTS).map(parse_parts).unwrap_or_default(),
        ..Generation::default()
    })
}

/// Returns the headers of a request to a backend server. The caller's headers are forwarded except its key, hop-by-hop
/// headers and headers that only the router may set; the values that the router adds are set on top of them.
pub(super) fn forward_headers(headers: &HeaderMap, added_values: &AddedValues) -> HeaderMap {
    let is_forwarded = |name: &str| {
        let is_reserved = name.starts_with(RESERVED_PREFIX) && !CALLER_HEADERS.contains(&name);
        !is_reserved && name != AUTHORIZATION.as_str()
    };
    let mut server_headers = header::forwardable(headers, is_forwarded, CALLER_HEADERS);
    let mut set_header = |name, value: &str| header::set(&mut server_headers, name, value);
    set_header(SERVER, &added_values.server);
    set_header(DEADLINE, &added_values.deadline.as_millis().to_string());
    if let Some(organisation) = &added_values.organisation {
        set_header(ORGANISATION, organisation);
    }
    if let Some(last_event) = added_values.last_event {
        set_header(LAST_EVENT, &last_event.to_string());
    }
    match &added_values.step {
        Step::Whole => {}
        Step::Prefill => set_header(STEP, "prefill"),
        Step::Generate(handle) => set_header(KV, &format!("{}/{}", handle.address, handle.id)),
    }
    server_headers
}

/// Parses the status and the headers of a backend server's response. The native dialect has no signatures, so every
/// response counts as signed.
pub(super) fn parse_response_head(status: StatusCode, headers: &HeaderMap) -> ResponseHead {
    ResponseHead {
        not_run: text(headers, RAN) == Some(NOT_RUN),
        misdirected: status == StatusCode::MISDIRECTED_REQUEST,
        id: text(headers, REQUEST).map(Into::into),
        encoded: headers.contains_key(CONTENT_ENCODING),
        leaving: headers.contains_key(LEAVING),
        backoff: (status == StatusCode::SERVICE_UNAVAILABLE)
            .then(|| header::retry_after(headers))
            .flatten(),
        limit: header::rate(headers, LIMIT),
        cold: header::millis(headers, COLD),
        signed: true,
    }
}
