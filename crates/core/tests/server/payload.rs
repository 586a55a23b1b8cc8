//! Builders for the payloads of frames from entry hosts.

use chestnutrack_wire::frame::{Decode, Forward, Kv, Prefill, Reserve};

pub fn reserve(organisation: &str, kv_tokens: u32, wait_ms: u32) -> Reserve {
    Reserve {
        organisation: organisation.into(),
        may_wait: false,
        kv_tokens,
        transfer_tokens: kv_tokens / 2,
        output_tokens: kv_tokens / 2,
        wait_ms,
        needed_in_ms: 0,
    }
}

pub fn prefill(organisation: &str, tokens: u32, deadline_ms: u32) -> Prefill {
    Prefill {
        organisation: organisation.into(),
        may_wait: false,
        prompt: "p".repeat(tokens as usize).into(),
        prompt_tokens: tokens,
        deadline_ms,
    }
}

pub fn decode(output_tokens: u32) -> Decode {
    let kv = Kv {
        address: "127.0.0.1:3".parse().unwrap(),
        handle: "kv-1".into(),
        tokens: 10,
        bytes: 1_000,
        cached_tokens: 0,
    };
    Decode { kv, output_tokens }
}

pub fn forward(wait_ms: u32, deadline_ms: u32) -> Forward {
    Forward {
        organisation: Some("dairy-coop".into()),
        may_wait: false,
        once: true,
        method: "POST".into(),
        target: "/deposits".into(),
        headers: Vec::new(),
        body: b"deposit".to_vec(),
        wait_ms,
        deadline_ms,
    }
}
