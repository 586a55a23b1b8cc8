//! Formats frames and orders as short lines for golden transcripts.

use chestnutrack_core::server::{Fault, Order, Task, hold};
use chestnutrack_wire::frame::Load;
use chestnutrack_wire::{Attempt, Frame, Request};

fn id(request: Request, attempt: Attempt) -> String {
    format!("{}.{}", request.0, attempt.0)
}

fn load(load: &Load) -> String {
    format!(
        "[{}/{} slots, {} waiting, {} tokens]",
        load.used, load.slots, load.waiting, load.kv_used
    )
}

/// Formats a frame.
pub fn frame(frame: &Frame) -> String {
    match frame {
        Frame::Hello { sender, .. } => format!("hello {}#{}", sender.name, sender.incarnation),
        Frame::Leaving => "leaving".to_owned(),
        Frame::Loaded(now) => format!("loaded {}", load(now)),
        Frame::Reserve(r, a, payload) => {
            format!("reserve {} {} tokens", id(*r, *a), payload.kv_tokens)
        }
        Frame::Reserved(r, a, ready, now) => {
            format!("reserved {} ready in {ready} ms {}", id(*r, *a), load(now))
        }
        Frame::Prefill(r, a, payload) => {
            format!("prefill {} {} tokens", id(*r, *a), payload.prompt_tokens)
        }
        Frame::Prefilled(r, a, kv, _) => format!("prefilled {} {} tokens", id(*r, *a), kv.tokens),
        Frame::Decode(r, a, _) => format!("decode {}", id(*r, *a)),
        Frame::Tokens(r, a, offset, texts) => {
            format!("tokens {} at {offset}: {}", id(*r, *a), texts.concat().trim())
        }
        Frame::End(r, a, total, finish, now) => {
            format!("end {} {total} {} {}", id(*r, *a), finish.as_str(), load(now))
        }
        Frame::Forward(r, a, payload) => {
            format!("forward {} {} {}", id(*r, *a), payload.method, payload.target)
        }
        Frame::Head(r, a, status, _) => format!("head {} {status}", id(*r, *a)),
        Frame::Body(r, a, offset, bytes) => {
            format!("body {} at {offset}: {}", id(*r, *a), String::from_utf8_lossy(bytes))
        }
        Frame::BodyEnd(r, a, length, now) => {
            format!("body end {} {length} {}", id(*r, *a), load(now))
        }
        Frame::Failed(r, a, failure, now) => format!(
            "failed {} {:?} {} retry after {} ms {}",
            id(*r, *a),
            failure.cause,
            failure.ran.as_str(),
            failure.retry_after_ms,
            load(now)
        ),
        Frame::Cancel(r, a) => format!("cancel {}", id(*r, *a)),
        Frame::Resume(r, a, offset) => format!("resume {} at {offset}", id(*r, *a)),
        Frame::Done(r, a) => format!("done {}", id(*r, *a)),
        other => format!("{other:?}"),
    }
}

/// Formats an order.
pub fn order(order: &Order) -> String {
    let name = hold::parse_engine_id(&order.id).map_or_else(String::new, |(r, a)| id(r, a));
    let task = match &order.task {
        Task::Prefill { priority, .. } => format!("prefill {name} priority {priority}"),
        Task::Import { kv_tokens, .. } => format!("import {name} {kv_tokens} tokens"),
        Task::Decode { output_tokens, priority } => {
            format!("decode {name} up to {output_tokens} priority {priority}")
        }
        Task::Resume { offset } => format!("resume {name} at {offset}"),
        Task::Cancel => format!("cancel {name}"),
        Task::ListHolds => "holds".to_owned(),
    };
    format!("{task} fence {}", order.fence)
}

/// Formats the engine's answer to an order.
pub fn answer(answered: &Order, result: Result<(), Fault>) -> String {
    match result {
        Ok(()) => format!("ok: {}", order(answered)),
        Err(fault) => format!("{fault:?}: {}", order(answered)),
    }
}
