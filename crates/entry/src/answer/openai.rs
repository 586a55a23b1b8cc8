//! OpenAI-compatible answers: whole, and as server-sent events.

use bytes::Bytes;
use chestnutrack_document::model::Api;
use chestnutrack_wire::Request;
use chestnutrack_wire::frame::Finish;
use serde_json::{Value, json};
use std::sync::Arc;

/// The event that ends a stream.
pub const DONE: &str = "data: [DONE]\n\n";

/// What stands in every answer to one request.
#[derive(Clone, Debug)]
pub struct Encoder {
    /// Interface.
    pub api: Api,
    /// The request's identifier.
    pub request: Request,
    /// Model.
    pub model: Arc<str>,
    /// When it was made, in seconds since 1970.
    pub created: u64,
}

impl Encoder {
    fn id(&self) -> String {
        match self.api {
            Api::Chat => format!("chatcmpl-{}", self.request),
            _ => format!("cmpl-{}", self.request),
        }
    }

    fn object(&self, streamed: bool) -> &'static str {
        match (self.api, streamed) {
            (Api::Chat, true) => "chat.completion.chunk",
            (Api::Chat, false) => "chat.completion",
            _ => "text_completion",
        }
    }

    fn envelope(&self, streamed: bool, choice: &Value) -> Value {
        json!({
            "id": self.id(),
            "object": self.object(streamed),
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        })
    }

    /// An event with more text.
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

    /// The events that end a stream.
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

    /// A whole answer.
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

/// Tokens that a request used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Prompt.
    pub prompt: u64,
    /// Answer.
    pub output: u64,
}

impl Usage {
    fn json(self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.output,
            "total_tokens": self.prompt + self.output,
        })
    }
}

/// A server-sent event.
pub fn event(value: &Value) -> Bytes {
    format!("data: {value}\n\n").into()
}
