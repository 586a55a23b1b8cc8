//! Carries out orders to the engine and reports the results to the actor.

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

/// An order that the table has issued, and the time within which it may be sent.
pub struct IssuedOrder {
    /// The order.
    pub order: Order,
    /// Time at which it was issued.
    pub issued_at: Instant,
    /// Maximum age at which it may be sent.
    pub max_age: Duration,
}

/// Carries out an order and reports the result. An order that is older than its maximum age is not
/// sent and fails as [`Fault::Stale`], because this process was paused after issuing it.
pub async fn carry_out(client: Client, issued: IssuedOrder, actor: ActorRef<Message>) {
    let report = |event| drop(actor.cast(Message::Event(event)));
    let is_stale = clock::now().since(issued.issued_at) > issued.max_age;
    let Order { hold, id, fence, task } = issued.order;
    if is_stale {
        return report(failure_event(hold, id, &task, Fault::Stale));
    }
    match task {
        Task::Prefill { prompt, priority } => {
            let order = order::Prefill { id, fence, prompt, priority };
            let result = client.prefill(&order).await;
            report(Event::Prefilled(hold, result.map(to_prefilled).map_err(|e| to_fault(&e))));
        }
        Task::Import { from, handle, kv_tokens } => {
            let order = order::Import { id, fence, from, handle, kv_tokens };
            let result = client.import(&order).await;
            report(Event::Imported(hold, result.map(drop).map_err(|e| to_fault(&e))));
        }
        Task::Decode { output_tokens, priority } => {
            let order = order::Decode { id, fence, output_tokens, priority };
            relay_stream(hold, client.decode(&order).await, report).await;
        }
        Task::Resume { offset } => {
            let order = order::Resume { id, fence, offset };
            relay_stream(hold, client.resume(&order).await, report).await;
        }
        Task::Cancel => {
            let order = order::Cancel { id: id.clone(), fence };
            let result = client.cancel(&order).await;
            report(Event::Cancelled(id, result.map_err(|e| to_fault(&e))));
        }
        Task::ListHolds => {
            let result = client.holds().await;
            report(Event::HoldsListed(result.map(to_engine_holds).map_err(|e| to_fault(&e))));
        }
    }
}

/// Asks the engine for the events of its prefix cache after the event numbered `after`, and passes
/// them to the actor. If the call fails, nothing is reported.
pub async fn poll_cache_events(client: Client, after: u64, actor: ActorRef<Message>) {
    let Ok(response) = client.events(after).await else { return };
    let to_change = |event: &order::Event| Change {
        number: event.number,
        prefix: event.prefix,
        stored: event.stored,
    };
    let changes = response.events.iter().map(to_change).collect();
    let _ = actor.cast(Message::CacheEvents(changes, response.newest));
}

/// Returns the event that reports the failure of a task.
fn failure_event(hold: Key, id: std::sync::Arc<str>, task: &Task, fault: Fault) -> Event {
    match task {
        Task::Prefill { .. } => Event::Prefilled(hold, Err(fault)),
        Task::Import { .. } => Event::Imported(hold, Err(fault)),
        Task::Decode { .. } | Task::Resume { .. } => Event::StreamBroken(hold, fault),
        Task::Cancel => Event::Cancelled(id, Err(fault)),
        Task::ListHolds => Event::HoldsListed(Err(fault)),
    }
}

/// Reports the tokens of a stream until it ends or breaks off.
async fn relay_stream(hold: Key, opened: Result<Stream, Error>, report: impl Fn(Event)) {
    let mut stream = match opened {
        Ok(stream) => stream,
        Err(error) => return report(Event::StreamBroken(hold, to_fault(&error))),
    };
    loop {
        match stream.next().await {
            Ok(Some(Line::Token { offset, text })) => report(Event::Token(hold, offset, text)),
            Ok(Some(Line::End { total, finish })) => {
                return report(Event::StreamEnd(hold, total, parse_finish(&finish)));
            }
            Ok(None) => return report(Event::StreamBroken(hold, Fault::Unknown)),
            Err(error) => return report(Event::StreamBroken(hold, to_fault(&error))),
        }
    }
}

/// Returns why the engine ended a stream; any reason but `length` counts as a regular stop.
fn parse_finish(text: &str) -> Finish {
    match text {
        "length" => Finish::Length,
        _ => Finish::Stop,
    }
}

fn to_prefilled(result: order::Prefilled) -> Prefilled {
    Prefilled {
        tokens: result.tokens,
        bytes: result.bytes,
        cached_tokens: result.cached_tokens,
        evicted_in_ms: result.evicted_in_ms,
    }
}

fn to_engine_holds(listed: order::Holds) -> Vec<EngineHold> {
    let to_hold = |hold: order::Hold| EngineHold {
        id: hold.id,
        kv_tokens: hold.kv_tokens,
        running: hold.running,
    };
    listed.holds.into_iter().map(to_hold).collect()
}

/// Returns the fault that is reported to the table for an error of the engine's client.
fn to_fault(error: &Error) -> Fault {
    match error {
        Error::NotSent(_) => Fault::Unreachable,
        Error::Fenced => Fault::Fenced,
        Error::Missing => Fault::Missing,
        Error::Full => Fault::Full,
        Error::Refused(..) => Fault::Refused,
        Error::Unknown(_) | Error::Malformed(..) => Fault::Unknown,
    }
}
