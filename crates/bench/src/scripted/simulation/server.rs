//! Side processes and their engines: applies the effects of the production server code and feeds
//! the results back to it as events.

use super::{Backend, Event, Simulation};
use crate::scripted::engine::{self, Engine, Generation, Prefill};
use crate::scripted::settings::Settings;
use chestnutrack_core::server::event::{EngineHold, Prefilled};
use chestnutrack_core::server::{
    self, Connection, Effect, Event as ServerEvent, Order, Server, Task,
};
use chestnutrack_core::time::Instant;
use chestnutrack_document::model::{self, Role};
use chestnutrack_wire::frame::{Finish, Sender};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

impl Simulation {
    /// Passes an event to the side process of a server and applies the effects. Events for a server
    /// that is down are dropped.
    pub(super) fn deliver(&mut self, server_index: usize, event: ServerEvent) {
        if !self.backends[server_index].alive {
            return;
        }
        let effects = self.backends[server_index].server.handle(self.now, event);
        for effect in effects {
            self.apply_effect(server_index, effect);
        }
    }

    /// Applies an effect of the server code: sends a frame with the network delay, gives an order
    /// to the engine or stops a running answer. Other effects are ignored.
    pub(super) fn apply_effect(&mut self, server_index: usize, effect: Effect) {
        match effect {
            Effect::Send(Connection(entry), frame) => {
                self.count(&frame);
                let entry = usize::try_from(entry).unwrap_or_default();
                self.schedule_after(
                    self.settings.network_delay,
                    Event::ToEntry { entry, server: server_index, frame },
                );
            }
            Effect::Order(order) => self.execute_order(server_index, order),
            Effect::Abort(key) => {
                self.backends[server_index].engine.batch.retain(|running| running.key != key);
            }
            _ => {}
        }
    }

    /// Starts the task of an order at the engine.
    pub(super) fn execute_order(&mut self, server_index: usize, order: Order) {
        let key = order.hold;
        let engine = &mut self.backends[server_index].engine;
        match order.task {
            Task::Prefill { priority, .. } => {
                let prompt_tokens = self.arrivals[arrival_index_of_hold(&order.id)].prompt_tokens;
                engine.waiting_prefills.push_back(Prefill {
                    key,
                    id: order.id,
                    prompt_tokens,
                    priority,
                });
                self.start_next_prefill(server_index);
            }
            Task::Import { kv_tokens, .. } => {
                let _ = kv_tokens;
                let arrival = &self.arrivals[arrival_index_of_hold(&order.id)];
                let bytes = u64::from(arrival.prompt_tokens) * engine::KV_BYTES_PER_TOKEN;
                self.schedule_after(
                    engine::transfer_time(bytes),
                    Event::ImportEnd(server_index, key),
                );
            }
            Task::Decode { output_tokens, .. } => {
                let running = Generation { key, id: order.id, generated: 0, output_tokens };
                engine.batch.push(running);
                self.start_next_step(server_index);
            }
            Task::Cancel => {
                engine.cancel(&order.id);
                self.deliver(server_index, ServerEvent::Cancelled(order.id, Ok(())));
            }
            Task::ListHolds => {
                let held = engine.batch.iter().map(|running| EngineHold {
                    id: running.id.clone(),
                    kv_tokens: 0,
                    running: true,
                });
                let held = held.collect();
                self.deliver(server_index, ServerEvent::HoldsListed(Ok(held)));
            }
            Task::Resume { .. } => {}
        }
    }

    /// Starts the next queued prefill if the engine runs none.
    pub(super) fn start_next_prefill(&mut self, server_index: usize) {
        let engine = &mut self.backends[server_index].engine;
        if engine.running_prefill.is_some() {
            return;
        }
        let Some(prefill) = engine.take_next_prefill() else { return };
        let duration = engine::prefill_time(prefill.prompt_tokens);
        engine.running_prefill = Some(prefill);
        self.schedule_after(duration, Event::PrefillEnd(server_index));
    }

    /// Reports the prefill in progress as finished and starts the next one.
    pub(super) fn finish_prefill(&mut self, server_index: usize) {
        let Some(prefill) = self.backends[server_index].engine.running_prefill.take() else {
            return;
        };
        let result = Prefilled {
            tokens: prefill.prompt_tokens,
            bytes: u64::from(prefill.prompt_tokens) * engine::KV_BYTES_PER_TOKEN,
            cached_tokens: 0,
            evicted_in_ms: engine::EVICTION_DELAY_MS,
        };
        self.deliver(server_index, ServerEvent::Prefilled(prefill.key, Ok(result)));
        self.start_next_prefill(server_index);
    }

    /// Starts a decode step if the batch isn't empty and no step is in progress.
    pub(super) fn start_next_step(&mut self, server_index: usize) {
        let engine = &mut self.backends[server_index].engine;
        if engine.is_stepping || engine.batch.is_empty() {
            return;
        }
        engine.is_stepping = true;
        let duration = engine.step_time();
        self.schedule_after(duration, Event::StepEnd(server_index));
    }

    /// Ends a decode step: each request in the batch gets a token, and finished requests leave it.
    pub(super) fn finish_step(&mut self, server_index: usize) {
        let engine = &mut self.backends[server_index].engine;
        engine.is_stepping = false;
        let mut finished = Vec::new();
        let mut tokens = Vec::new();
        for running in &mut engine.batch {
            tokens.push((running.key, running.generated));
            running.generated += 1;
            if running.generated >= running.output_tokens {
                finished.push((running.key, running.output_tokens));
            }
        }
        engine.batch.retain(|running| running.generated < running.output_tokens);
        for (key, offset) in tokens {
            self.deliver(server_index, ServerEvent::Token(key, offset, "t".into()));
        }
        for (key, total) in finished {
            self.deliver(server_index, ServerEvent::StreamEnd(key, total, Finish::Length));
        }
        self.start_next_step(server_index);
    }
}

pub(super) fn new_backend(settings: &Settings, (name, role): &(Arc<str>, Role)) -> Backend {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let config = model::Server {
        name: name.clone(),
        side: address,
        address,
        host: name.clone(),
        failure_domain: "a".into(),
        role: *role,
        checks_fencing: true,
        slots: settings.slots,
        kv_tokens: engine::KV_CACHE_TOKENS,
        link_bytes_per_s: engine::LINK_BYTES_PER_S,
        leaving: false,
    };
    let sender = Sender { name: name.clone(), incarnation: 1 };
    let server = Server::new(server::Settings::default(), sender, Instant::default());
    Backend { server, engine: Engine::default(), config, alive: true, epoch: 0 }
}

pub(super) fn connection(entry: usize) -> Connection {
    Connection(entry as u64)
}

/// Returns the index of the arrival that an engine's request identifier denotes: the part before
/// the first `.`, in hexadecimal.
fn arrival_index_of_hold(id: &str) -> usize {
    let request = id.split('.').next().unwrap_or_default();
    usize::from_str_radix(request, 16).unwrap_or_default()
}
