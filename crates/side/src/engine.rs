//! Carries out orders to the engine and reports what comes of them.

use crate::message::Message;
use chestnutrack_core::server::event::{EngineHold, Prefilled};
use chestnutrack_core::server::prefix::Change;
use chestnutrack_core::server::{Event, Fault, Key, Order, Task};
use chestnutrack_core::time::Instant;
use chestnutrack_engine::client::{Client, Stream};
use chestnutrack_engine::error::Error;
use chestnutrack_engine::order::{self, Line};
use chestnutrack_process::clock;
use chestnutrack_wire::frame::Finish;
use ractor::ActorRef;
use std::time::Duration;

/// An order, the moment when it was decided, and how long after that it may be sent.
pub struct Decided {
    /// The order.
    pub order: Order,
    /// When it was decided.
    pub at: Instant,
    /// How long after that it may be sent.
    pub bound: Duration,
}

/// Carries out an order.
pub async fn carry_out(client: Client, decided: Decided, actor: ActorRef<Message>) {
    let report = |event| drop(actor.cast(Message::Event(event)));
    let late = clock::now().since(decided.at) > decided.bound;
    let Order { hold, id, fence, task } = decided.order;
    if late {
        return report(failed(hold, id, &task, Fault::Stale));
    }
    match task {
        Task::Prefill { prompt, priority } => {
            let order = order::Prefill { id, fence, prompt, priority };
            let result = client.prefill(&order).await;
            report(Event::Prefilled(hold, result.map(prefilled).map_err(|e| fault(&e))));
        }
        Task::Import { from, handle, kv_tokens } => {
            let order = order::Import { id, fence, from, handle, kv_tokens };
            let result = client.import(&order).await;
            report(Event::Imported(hold, result.map(drop).map_err(|e| fault(&e))));
        }
        Task::Decode { output_tokens, priority } => {
            let order = order::Decode { id, fence, output_tokens, priority };
            follow(hold, client.decode(&order).await, report).await;
        }
        Task::Resume { offset } => {
            let order = order::Resume { id, fence, offset };
            follow(hold, client.resume(&order).await, report).await;
        }
        Task::Cancel => {
            let order = order::Cancel { id: id.clone(), fence };
            let result = client.cancel(&order).await;
            report(Event::Cancelled(id, result.map_err(|e| fault(&e))));
        }
        Task::ListHolds => {
            let result = client.holds().await;
            report(Event::HoldsListed(result.map(holds).map_err(|e| fault(&e))));
        }
    }
}

/// Asks for changes of the engine's prefix cache after an event's number.
pub async fn ask_events(client: Client, after: u64, actor: ActorRef<Message>) {
    let Ok(answer) = client.events(after).await else { return };
    let change = |event: &order::Event| Change {
        number: event.number,
        prefix: event.prefix,
        stored: event.stored,
    };
    let changes = answer.events.iter().map(change).collect();
    let _ = actor.cast(Message::Events(changes, answer.newest));
}

fn failed(hold: Key, id: std::sync::Arc<str>, task: &Task, fault: Fault) -> Event {
    match task {
        Task::Prefill { .. } => Event::Prefilled(hold, Err(fault)),
        Task::Import { .. } => Event::Imported(hold, Err(fault)),
        Task::Decode { .. } | Task::Resume { .. } => Event::StreamBroken(hold, fault),
        Task::Cancel => Event::Cancelled(id, Err(fault)),
        Task::ListHolds => Event::HoldsListed(Err(fault)),
    }
}

async fn follow(hold: Key, opened: Result<Stream, Error>, report: impl Fn(Event)) {
    let mut stream = match opened {
        Ok(stream) => stream,
        Err(error) => return report(Event::StreamBroken(hold, fault(&error))),
    };
    loop {
        match stream.next().await {
            Ok(Some(Line::Token { offset, text })) => report(Event::Token(hold, offset, text)),
            Ok(Some(Line::End { total, finish })) => {
                return report(Event::StreamEnd(hold, total, parse_finish(&finish)));
            }
            Ok(None) => return report(Event::StreamBroken(hold, Fault::Unknown)),
            Err(error) => return report(Event::StreamBroken(hold, fault(&error))),
        }
    }
}

fn parse_finish(text: &str) -> Finish {
    match text {
        "length" => Finish::Length,
        _ => Finish::Stop,
    }
}

fn prefilled(done: order::Prefilled) -> Prefilled {
    Prefilled {
        tokens: done.tokens,
        bytes: done.bytes,
        cached_tokens: done.cached_tokens,
        evicted_in_ms: done.evicted_in_ms,
    }
}

fn holds(listed: order::Holds) -> Vec<EngineHold> {
    let held = |hold: order::Hold| EngineHold {
        id: hold.id,
        kv_tokens: hold.kv_tokens,
        running: hold.running,
    };
    listed.holds.into_iter().map(held).collect()
}

fn fault(error: &Error) -> Fault {
    match error {
        Error::NotSent(_) => Fault::Unreachable,
        Error::Fenced => Fault::Fenced,
        Error::Missing => Fault::Missing,
        Error::Full => Fault::Full,
        Error::Refused(..) => Fault::Refused,
        Error::Unknown(_) | Error::Malformed(..) => Fault::Unknown,
    }
}
