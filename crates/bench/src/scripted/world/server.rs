//! Servers and their engines: what their tables order, and how it ends.

use super::{Backend, Due, World};
use crate::scripted::engine::{self, Engine, Prefill, Running};
use crate::scripted::settings::Settings;
use chestnutrack_core::server::event::{EngineHold, Prefilled};
use chestnutrack_core::server::{self, Connection, Effect, Event, Order, Server, Task};
use chestnutrack_core::time::Instant;
use chestnutrack_document::model::{self, Role};
use chestnutrack_wire::frame::{Finish, Sender};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

impl World {
    pub(super) fn tell(&mut self, number: usize, event: Event) {
        if !self.backends[number].alive {
            return;
        }
        let effects = self.backends[number].server.handle(self.now, event);
        for effect in effects {
            self.carry_out(number, effect);
        }
    }

    pub(super) fn carry_out(&mut self, number: usize, effect: Effect) {
        match effect {
            Effect::Send(Connection(entry), frame) => {
                self.count(&frame);
                let entry = usize::try_from(entry).unwrap_or_default();
                self.after(self.settings.delay, Due::ToEntry { entry, server: number, frame });
            }
            Effect::Order(order) => self.order(number, order),
            Effect::Abort(key) => {
                self.backends[number].engine.batch.retain(|running| running.key != key);
            }
            _ => {}
        }
    }

    pub(super) fn order(&mut self, number: usize, order: Order) {
        let key = order.hold;
        let engine = &mut self.backends[number].engine;
        match order.task {
            Task::Prefill { priority, .. } => {
                let tokens = self.arrivals[index_of_engine(&order.id)].prompt_tokens;
                engine.prefills.push_back(Prefill { key, id: order.id, tokens, priority });
                self.next_prefill(number);
            }
            Task::Import { kv_tokens, .. } => {
                let _ = kv_tokens;
                let arrival = &self.arrivals[index_of_engine(&order.id)];
                let bytes = u64::from(arrival.prompt_tokens) * engine::KV_BYTES_PER_TOKEN;
                self.after(engine::transfer_time(bytes), Due::ImportEnd(number, key));
            }
            Task::Decode { output_tokens, .. } => {
                let running = Running { key, id: order.id, done: 0, total: output_tokens };
                engine.batch.push(running);
                self.next_step(number);
            }
            Task::Cancel => {
                engine.cancel(&order.id);
                self.tell(number, Event::Cancelled(order.id, Ok(())));
            }
            Task::ListHolds => {
                let held = engine.batch.iter().map(|running| EngineHold {
                    id: running.id.clone(),
                    kv_tokens: 0,
                    running: true,
                });
                let held = held.collect();
                self.tell(number, Event::HoldsListed(Ok(held)));
            }
            Task::Resume { .. } => {}
        }
    }

    pub(super) fn next_prefill(&mut self, number: usize) {
        let engine = &mut self.backends[number].engine;
        if engine.prefilling.is_some() {
            return;
        }
        let Some(prefill) = engine.next_prefill() else { return };
        let time = engine::prefill_time(prefill.tokens);
        engine.prefilling = Some(prefill);
        self.after(time, Due::PrefillEnd(number));
    }

    pub(super) fn prefill_end(&mut self, number: usize) {
        let Some(prefill) = self.backends[number].engine.prefilling.take() else { return };
        let done = Prefilled {
            tokens: prefill.tokens,
            bytes: u64::from(prefill.tokens) * engine::KV_BYTES_PER_TOKEN,
            cached_tokens: 0,
            evicted_in_ms: engine::EVICTED_IN_MS,
        };
        self.tell(number, Event::Prefilled(prefill.key, Ok(done)));
        self.next_prefill(number);
    }

    pub(super) fn next_step(&mut self, number: usize) {
        let engine = &mut self.backends[number].engine;
        if engine.stepping || engine.batch.is_empty() {
            return;
        }
        engine.stepping = true;
        let time = engine.step();
        self.after(time, Due::Step(number));
    }

    pub(super) fn step(&mut self, number: usize) {
        let engine = &mut self.backends[number].engine;
        engine.stepping = false;
        let mut ended = Vec::new();
        let mut tokens = Vec::new();
        for running in &mut engine.batch {
            tokens.push((running.key, running.done));
            running.done += 1;
            if running.done >= running.total {
                ended.push((running.key, running.total));
            }
        }
        engine.batch.retain(|running| running.done < running.total);
        for (key, offset) in tokens {
            self.tell(number, Event::Token(key, offset, "t".into()));
        }
        for (key, total) in ended {
            self.tell(number, Event::StreamEnd(key, total, Finish::Length));
        }
        self.next_step(number);
    }
}

pub(super) fn backend(settings: &Settings, (name, role): &(Arc<str>, Role)) -> Backend {
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
        kv_tokens: engine::KV_TOKENS,
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

/// The arrival that an engine's name for a request stands for.
fn index_of_engine(id: &str) -> usize {
    let request = id.split('.').next().unwrap_or_default();
    usize::from_str_radix(request, 16).unwrap_or_default()
}
