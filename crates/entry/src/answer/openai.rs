//! Encodes OpenAI-compatible answers as one JSON body or as server-sent events.

use bytes::Bytes;
use chestnutrack_document::model::Api;
use chestnutrack_wire::Request;
use chestnutrack_wire::frame::Finish;
use serde_json::{Value, json};
use std::sync::Arc;

/// Event that ends a stream.
pub const DONE: &str = "data: [DONE]\n\n";

/// Encodes the answers to one request. Its fields appear in each of them.
#[derive(Clone, Debug)]
pub struct Encoder {
    /// API that the caller used.
    pub api: Api,
    /// The request's identifier.
    pub request: Request,
    /// Model.
    pub model: Arc<str>,
    /// Creation time, in seconds since the Unix epoch.
    pub created: u64,
}

impl Encoder {
    /// Returns the field `id` of the answers.
    fn id(&self) -> String {
        match self.api {
            Api::Chat => format!("chatcmpl-{}", self.request),
            _ => format!("cmpl-{}", self.request),
        }
    }

    /// Returns the field `object` of an answer, which names its kind.
    fn object(&self, is_streamed: bool) -> &'static str {
        match (self.api, is_streamed) {
            (Api::Chat, true) => "chat.completion.chunk",
            (Api::Chat, false) => "chat.completion",
            _ => "text_completion",
        }
    }

    /// Returns an answer with the given choice and the fields that all answers have.
    fn envelope(&self, is_streamed: bool, choice: &Value) -> Value {
        json!({
            "id": self.id(),
            "object": self.object(is_streamed),
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        })
    }

    /// Returns an event with the next part of the text.
    pub fn chunk(&self, text: &str) -> Bytes {
        let choice = match self.api {
            Api::Chat => json!({
                "index": 0,
                "delta": { "role": "assistant", "content": text },
                "finish_reason": null,
            }),
            _ => json!({ "index": 0, "text": text, "finish_reason": null }),
        };
        event(&self.envelope(true, &choice))
    }

    /// Returns the events that end a stream: finish reason, usage and [`DONE`].
    pub fn final_chunk(&self, finish: Finish, usage: Usage) -> Bytes {
        let finish = finish.as_str();
        let choice = match self.api {
            Api::Chat => json!({ "index": 0, "delta": {}, "finish_reason": finish }),
            _ => json!({ "index": 0, "text": "", "finish_reason": finish }),
        };
        let mut value = self.envelope(true, &choice);
        value["usage"] = usage.json();
        let mut bytes = event(&value).to_vec();
        bytes.extend_from_slice(DONE.as_bytes());
        bytes.into()
    }

    /// Returns the body of an answer that is not streamed.
    pub fn response_body(&self, text: &str, finish: Finish, usage: Usage) -> Bytes {
        let finish = finish.as_str();
        let choice = match self.api {
            Api::Chat => json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": finish,
            }),
            _ => json!({ "index": 0, "text": text, "finish_reason": finish }),
        };
        let mut value = self.envelope(false, &choice);
        value["usage"] = usage.json();
        value.to_string().into()
    }
}

/// Number of tokens that a request used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the answer.
    pub output: u64,
}

impl Usage {
    /// Returns the field `usage` of an answer.
    fn json(self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.output,
            "total_tokens": self.prompt + self.output,
        })
    }
}

/// Returns a server-sent event with a JSON value.
pub fn event(value: &Value) -> Bytes {
    format!("data: {value}\n\n").into()
}
