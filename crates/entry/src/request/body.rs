//! Parses and validates the body of a model request. Errors name the field or position at fault.
//!
//! A finding is an invalid field, with its place and a message. All findings of a body are
//! collected before it is refused; a field that has one gets an empty or zero value meanwhile.

use super::refusal::{Code, Refusal};
use chestnutrack_document::finding::Findings;
use chestnutrack_document::model::{Api, Bounds};
use serde_json::{Map, Value};
use std::sync::Arc;

/// Bytes of prompt text per token in the estimate of a prompt's size.
const BYTES_PER_TOKEN: usize = 4;
/// Maximum answer length if the request has no `max_tokens`, in tokens. The document's bound
/// applies as well.
const MAX_TOKENS_DEFAULT: u32 = 256;

/// A model request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Model named by the caller.
    pub model: Arc<str>,
    /// Text of the prompt.
    pub prompt: Arc<str>,
    /// Estimated size of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the answer, in tokens.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub is_streamed: bool,
}

/// Parses the body as a JSON object.
///
/// # Errors
///
/// If the body is not a JSON object; the refusal has the line and column.
pub fn parse_object(bytes: &[u8]) -> Result<Map<String, Value>, Refusal> {
    match serde_json::from_slice(bytes) {
        Ok(Value::Object(fields)) => Ok(fields),
        Ok(_) => Err(Refusal::new(Code::InvalidJson, "the body must be a JSON object")
            .with_place("line 1 column 1")),
        Err(error) => {
            let place = format!("line {} column {}", error.line(), error.column());
            Err(Refusal::new(Code::InvalidJson, "the body is not valid JSON").with_place(place))
        }
    }
}

/// Returns the model that a body names.
///
/// # Errors
///
/// If `model` is missing or not a string.
pub fn model_name(fields: &Map<String, Value>) -> Result<&str, Refusal> {
    let missing = || Refusal::new(Code::InvalidField, "must be a model's name").with_place("model");
    fields.get("model").and_then(Value::as_str).ok_or_else(missing)
}

/// Parses the fields of a model request.
///
/// # Errors
///
/// If a field is invalid. The message lists all invalid fields; the place is that of the first.
pub fn parse_call(api: Api, fields: &Map<String, Value>, bounds: &Bounds) -> Result<Call, Refusal> {
    let mut findings = Findings::default();
    let model = model_name(fields)?.into();
    let prompt = match api {
        Api::Chat => parse_messages(&mut findings, fields),
        _ => parse_prompt(&mut findings, fields),
    };
    let prompt_tokens = count_prompt_tokens(&mut findings, api, &prompt, bounds);
    let max_tokens = parse_max_tokens(&mut findings, fields, bounds);
    let is_streamed = parse_stream(&mut findings, fields);
    if findings.is_empty() {
        return Ok(Call { model, prompt: prompt.into(), prompt_tokens, max_tokens, is_streamed });
    }
    let place = findings.0[0].place.clone();
    let message = findings.to_string().replace('\n', "; ");
    Err(Refusal::new(Code::InvalidField, message).with_place(place))
}

/// Returns the prompt of a completion, or adds a finding.
fn parse_prompt(findings: &mut Findings, fields: &Map<String, Value>) -> String {
    match fields.get("prompt").and_then(Value::as_str) {
        Some(text) if !text.is_empty() => text.to_owned(),
        _ => {
            findings.add("prompt", "must be a text that is not empty");
            String::new()
        }
    }
}

/// Returns the messages of a chat as one prompt: the role and content of each message, and
/// `assistant: ` at the end, which the model continues. Adds a finding for each missing
/// field.
fn parse_messages(findings: &mut Findings, fields: &Map<String, Value>) -> String {
    let Some(messages) = fields.get("messages").and_then(Value::as_array) else {
        findings.add("messages", "must be a list of messages");
        return String::new();
    };
    if messages.is_empty() {
        findings.add("messages", "must hold a message");
    }
    let mut prompt = String::new();
    for (index, message) in messages.iter().enumerate() {
        for field in ["role", "content"] {
            let Some(text) = message.get(field).and_then(Value::as_str) else {
                findings.add(format!("messages[{index}].{field}"), "must be a text");
                continue;
            };
            prompt.push_str(text);
            prompt.push_str(if field == "role" { ": " } else { "\n" });
        }
    }
    prompt.push_str("assistant: ");
    prompt
}

/// Estimates the size of a prompt, in tokens, from its length in bytes. Adds a finding if it is
/// above the document's bound.
fn count_prompt_tokens(findings: &mut Findings, api: Api, prompt: &str, bounds: &Bounds) -> u32 {
    let tokens = prompt.len().div_ceil(BYTES_PER_TOKEN);
    let tokens_max = bounds.prompt_tokens;
    match u32::try_from(tokens) {
        Ok(tokens) if tokens <= tokens_max => tokens,
        _ => {
            let place = if api == Api::Chat { "messages" } else { "prompt" };
            findings.add(place, format!("{tokens} tokens; at most {tokens_max} are allowed"));
            0
        }
    }
}

/// Returns the maximum length of the answer, in tokens: `max_tokens`, or a default within the
/// document's bound. Adds a finding if the value is not a whole number from 1 to the bound.
fn parse_max_tokens(findings: &mut Findings, fields: &Map<String, Value>, bounds: &Bounds) -> u32 {
    let tokens_max = bounds.output_tokens;
    let value = match fields.get("max_tokens") {
        None | Some(Value::Null) => return MAX_TOKENS_DEFAULT.min(tokens_max),
        Some(value) => value,
    };
    let requested = value.as_u64().and_then(|tokens| u32::try_from(tokens).ok());
    match requested {
        Some(tokens) if (1..=tokens_max).contains(&tokens) => tokens,
        _ => {
            findings.add("max_tokens", format!("must be a whole number from 1 to {tokens_max}"));
            0
        }
    }
}

/// Returns whether the answer is streamed; it is not by default.
fn parse_stream(findings: &mut Findings, fields: &Map<String, Value>) -> bool {
    match fields.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(is_streamed)) => *is_streamed,
        Some(_) => {
            findings.add("stream", "must be true or false");
            false
        }
    }
}
