//! The run itself: virtual time, frames in flight, and what each arrival turns into.

use super::engine::{self, Engine, Prefill, Running};
use super::entry::{Active, Entry, ask};
use super::load::{Arrival, draw, organisations};
use super::measure::{Counts, Measures, Outcome, sum};
use super::settings::Settings;
use chestnutrack_core::server::event::{Held, Prefilled};
use chestnutrack_core::server::{
    self, Authority, Connection, Effect, Event, Key, Order, Server, Task,
};
use chestnutrack_core::time::Instant;
use chestnutrack_document::model::{self, Role};
use chestnutrack_wire::frame::{Finish, Frame, Load, Sender, VERSION};
use chestnutrack_wire::{Attempt, Request, encode, frame};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// Time between ticks of a server's table and an entry host's queue.
const TICK: Duration = Duration::from_millis(20);
/// Time between heartbeats of an entry host.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Time after the last arrival at which the run ends.
const TAIL: Duration = Duration::from_secs(20);
/// Attempts at one request.
const ATTEMPTS_MAX: u32 = 64;

/// Something that is due.
enum Due {
    Arrive(usize),
    ToServer { server: usize, entry: usize, frame: Frame },
    ToEntry { entry: usize, server: usize, frame: Frame },
    Step(usize),
    PrefillEnd(usize),
    ImportEnd(usize, Key),
    TickServer(usize),
    TickEntry(usize),
    Heartbeat(usize),
    Lose(usize),
    Return(usize),
}

struct Entrant {
    at: Instant,
    number: u64,
    due: Due,
}

impl PartialEq for Entrant {
    fn eq(&self, other: &Entrant) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Entrant {}

impl PartialOrd for Entrant {
    fn partial_cmp(&self, other: &Entrant) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entrant {
    fn cmp(&self, other: &Entrant) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

struct Backend {
    server: Server,
    engine: Engine,
    config: model::Server,
    alive: bool,
    epoch: u64,
}

/// The whole of a run.
pub struct World {
    settings: Settings,
    now: Instant,
    due: BinaryHeap<Reverse<Entrant>>,
    numbered: u64,
    arrivals: Vec<Arrival>,
    outcomes: Vec<Outcome>,
    entries: Vec<Entry>,
    backends: Vec<Backend>,
    prompt: Arc<str>,
    counts: Counts,
}

impl World {
    /// A world in which nothing has happened yet.
    pub fn new(settings: &Settings) -> World {
        let roles = (0..settings.prefill + settings.decode)
            .map(|number| if number < settings.prefill { Role::Prefill } else { Role::Decode });
        let servers: Vec<(Arc<str>, Role)> = roles
            .enumerate()
            .map(|(number, role)| (format!("server-{number}").into(), role))
            .collect();
        let entries =
            (0..settings.entries).map(|number| Entry::new(settings, number, &servers)).collect();
        let backends = servers.iter().map(|server| backend(settings, server)).collect();
        let arrivals: Vec<Arrival> =
            draw(settings).into_iter().filter(|arrival| arrival.in_rate).collect();
        let outcomes = arrivals
            .iter()
            .map(|arrival| Outcome {
                organisation: arrival.organisation,
                arrived: arrival.at,
                ..Outcome::default()
            })
            .collect();
        World {
            settings: settings.clone(),
            now: Instant::default(),
            due: BinaryHeap::new(),
            numbered: 0,
            arrivals,
            outcomes,
            entries,
            backends,
            prompt: "".into(),
            counts: Counts::default(),
        }
    }

    /// Runs to the end and sums up.
    pub fn run(mut self) -> Measures {
        self.start();
        let end = Instant::default() + self.settings.arrivals + TAIL;
        while let Some(Reverse(entrant)) = self.due.pop() {
            if entrant.at > end {
                break;
            }
            self.now = entrant.at;
            self.handle(entrant.due);
        }
        sum(&self.settings, &self.outcomes, &self.counts)
    }

    fn start(&mut self) {
        for number in 0..self.backends.len() {
            self.bring_up(number);
            self.after(TICK, Due::TickServer(number));
        }
        for number in 0..self.entries.len() {
            self.after(TICK, Due::TickEntry(number));
            self.after(HEARTBEAT, Due::Heartbeat(number));
        }
        for index in 0..self.arrivals.len() {
            let at = self.arrivals[index].at;
            self.push(at, Due::Arrive(index));
        }
        if let Some((lost, back)) = self.settings.loss {
            let number = self.settings.prefill;
            self.after(lost, Due::Lose(number));
            self.after(back, Due::Return(number));
        }
    }

    /// Starts a server's side process, and connects the entry hosts that talk to it.
    fn bring_up(&mut self, number: usize) {
        let backend = &mut self.backends[number];
        backend.alive = true;
        backend.epoch += 1;
        let (config, epoch) = (backend.config.clone(), backend.epoch);
        self.tell(number, Event::Configured { version: 1, server: Some(config) });
        self.tell(number, Event::Authority(Authority::Held(epoch)));
        for entry in 0..self.entries.len() {
            let Some(key) = self.entries[entry].keys.get(&number).copied() else { continue };
            self.entries[entry].table[key].connected = true;
            let sender = Sender { name: format!("entry-{entry}").into(), incarnation: 1 };
            let hello = Frame::Hello { version: VERSION, sender, configuration: 1 };
            self.tell(number, Event::Frame(connection(entry), hello));
        }
    }

    fn push(&mut self, at: Instant, due: Due) {
        self.numbered += 1;
        self.due.push(Reverse(Entrant { at, number: self.numbered, due }));
    }

    fn after(&mut self, delay: Duration, due: Due) {
        self.push(self.now + delay, due);
    }

    fn handle(&mut self, due: Due) {
        match due {
            Due::Arrive(index) => self.arrive(index),
            Due::ToServer { server, entry, frame } => {
                self.tell(server, Event::Frame(connection(entry), frame));
            }
            Due::ToEntry { entry, server, frame } => self.answer(entry, server, frame),
            Due::Step(number) => self.step(number),
            Due::PrefillEnd(number) => self.prefill_end(number),
            Due::ImportEnd(number, key) => self.tell(number, Event::Imported(key, Ok(()))),
            Due::TickServer(number) => {
                self.tell(number, Event::Tick { late: Duration::ZERO });
                self.after(TICK, Due::TickServer(number));
            }
            Due::TickEntry(number) => {
                self.expire(number);
                self.turns(number);
                self.after(TICK, Due::TickEntry(number));
            }
            Due::Heartbeat(entry) => {
                let servers: Vec<usize> = self.entries[entry].keys.keys().copied().collect();
                for server in servers {
                    self.send(server, entry, Frame::Ping(0));
                }
                self.after(HEARTBEAT, Due::Heartbeat(entry));
            }
            Due::Lose(number) => self.lose(number),
            Due::Return(number) => self.bring_up(number),
        }
    }

    fn arrive(&mut self, index: usize) {
        let arrival = self.arrivals[index].clone();
        let entry = &mut self.entries[arrival.entry];
        if entry.wait(&self.settings, self.now, index, &arrival, false) {
            entry.active.insert(index, Active { arrival: index, ..Active::default() });
        } else {
            self.outcomes[index].refused = true;
        }
        self.turns(arrival.entry);
    }

    fn expire(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        for waiting in entry.queue.expire(self.now, |_| false) {
            entry.active.remove(&waiting.item);
            self.outcomes[waiting.item].refused = true;
        }
    }

    fn turns(&mut self, number: usize) {
        loop {
            let entry = &mut self.entries[number];
            let Some((index, key)) = entry.turn(&self.settings, self.now, &self.arrivals) else {
                return;
            };
            self.counts.placed += 1;
            match key {
                Some(key) => self.reserve(number, index, key),
                None if self.start_prefill(number, index) => {}
                None => return,
            }
        }
    }

    fn reserve(&mut self, number: usize, index: usize, key: chestnutrack_core::place::Key) {
        let arrival = self.arrivals[index].clone();
        let entry = &mut self.entries[number];
        let Some(active) = entry.active.get_mut(&index) else { return };
        active.attempt += 1;
        active.decode = Some(key);
        active.reserved = false;
        let attempt = active.attempt;
        let has_kv = active.kv.is_some();
        entry.table[key].note_sent(u64::from(arrival.prompt_tokens));
        let server = entry.numbers[&key];
        let prefill_ms = engine::prefill_time(arrival.prompt_tokens).as_millis();
        let needed_in_ms = if has_kv { 0 } else { u32::try_from(prefill_ms).unwrap_or(0) };
        let organisation = if self.settings.policy.fair { arrival.organisation } else { 0 };
        let reserve = frame::Reserve {
            organisation: organisations(&self.settings)[organisation].clone(),
            may_wait: false,
            kv_tokens: arrival.prompt_tokens + arrival.output_tokens,
            transfer_tokens: arrival.prompt_tokens,
            output_tokens: arrival.output_tokens,
            wait_ms: if has_kv { 0 } else { self.settings.reserve_wait_ms },
            needed_in_ms,
        };
        self.counts.reserves += 1;
        self.send(server, number, Frame::Reserve(request(index), Attempt(attempt), reserve));
    }

    /// Sends a request to a prefill server; false when none is open and it is back in the queue.
    fn start_prefill(&mut self, number: usize, index: usize) -> bool {
        let arrival = self.arrivals[index].clone();
        let entry = &mut self.entries[number];
        let wanted = ask(&arrival, None);
        let Some(key) = entry.prefill(&self.settings, self.now, &wanted) else {
            self.give_back(number, index);
            return false;
        };
        let Some(active) = entry.active.get_mut(&index) else { return true };
        active.prefill = Some(key);
        active.attempt = active.attempt.max(1);
        let attempt = active.attempt;
        entry.table[key].note_sent(u64::from(arrival.prompt_tokens));
        let server = entry.numbers[&key];
        let left_ms = self.now.millis_until(arrival.at + self.settings.deadline);
        let prefill = frame::Prefill {
            organisation: organisations(&self.settings)[arrival.organisation].clone(),
            may_wait: false,
            prompt: self.prompt.clone(),
            prompt_tokens: arrival.prompt_tokens,
            deadline_ms: u32::try_from(left_ms).unwrap_or(u32::MAX),
        };
        self.send(server, number, Frame::Prefill(request(index), Attempt(attempt), prefill));
        true
    }

    /// Puts a request back at the front of the queue, or refuses it.
    fn give_back(&mut self, number: usize, index: usize) {
        let arrival = self.arrivals[index].clone();
        let late = self.now >= arrival.at + self.settings.deadline;
        let entry = &mut self.entries[number];
        let attempts = entry.active.get(&index).map_or(0, |active| active.attempt);
        if late || attempts >= ATTEMPTS_MAX {
            entry.active.remove(&index);
            self.outcomes[index].refused = true;
            return;
        }
        entry.wait(&self.settings, self.now, index, &arrival, true);
    }

    fn answer(&mut self, number: usize, server: usize, frame: Frame) {
        if let Some(load) = load_of(&frame) {
            self.entries[number].loaded(self.now, server, load);
        }
        match frame {
            Frame::Reserved(id, attempt, _, _) => self.reserved(number, id, attempt),
            Frame::Prefilled(id, attempt, kv, _) => self.prefilled(number, id, attempt, kv),
            Frame::Tokens(id, _, offset, texts) => self.tokens(id, offset, texts.len()),
            Frame::End(id, attempt, total, _, _) => self.ended(number, server, id, attempt, total),
            Frame::Failed(id, attempt, failure, _) => {
                self.full(number, server, failure);
                self.failed(number, server, id, attempt);
            }
            _ => {}
        }
        self.turns(number);
    }

    fn reserved(&mut self, number: usize, id: Request, attempt: Attempt) {
        let index = index_of(id);
        let Some(active) = self.entries[number].active.get_mut(&index) else { return };
        if active.attempt != attempt.0 {
            return;
        }
        active.reserved = true;
        match active.kv.clone() {
            Some(kv) => self.decode(number, index, kv),
            None => {
                self.start_prefill(number, index);
            }
        }
    }

    fn prefilled(&mut self, number: usize, id: Request, attempt: Attempt, kv: frame::Kv) {
        let index = index_of(id);
        let arrival = self.arrivals[index].clone();
        self.counts.prefilled += u64::from(arrival.prompt_tokens);
        let entry = &mut self.entries[number];
        let Some(active) = entry.active.get_mut(&index) else { return };
        if active.attempt != attempt.0 {
            return;
        }
        let prefill = active.prefill.take();
        active.kv = Some(kv.clone());
        let reserved = active.reserved;
        let wanted = ask(&arrival, Some(active));
        entry.left(prefill);
        if reserved {
            self.decode(number, index, kv);
            return;
        }
        match entry.late_decode(&self.settings, self.now, &wanted) {
            Some(key) => self.reserve(number, index, key),
            None => self.restart(number, index),
        }
    }

    /// Loses a request's KV cache and puts the request back.
    fn restart(&mut self, number: usize, index: usize) {
        if let Some(active) = self.entries[number].active.get_mut(&index) {
            active.kv = None;
            active.passed_over.clear();
        }
        self.give_back(number, index);
    }

    fn decode(&mut self, number: usize, index: usize, kv: frame::Kv) {
        let entry = &mut self.entries[number];
        let Some(active) = entry.active.get(&index) else { return };
        let Some(key) = active.decode else { return };
        let server = entry.numbers[&key];
        let attempt = Attempt(active.attempt);
        let output_tokens = self.arrivals[index].output_tokens;
        let order = frame::Decode { kv, output_tokens };
        self.send(server, number, Frame::Decode(request(index), attempt, order));
    }

    fn tokens(&mut self, id: Request, offset: u32, count: usize) {
        let index = index_of(id);
        if offset == 0 {
            self.counts.decoded += u64::from(self.arrivals[index].prompt_tokens);
        }
        let outcome = &mut self.outcomes[index];
        outcome.first.get_or_insert(self.now);
        outcome.last = Some(self.now);
        outcome.tokens = offset + u32::try_from(count).unwrap_or(0);
    }

    fn ended(&mut self, number: usize, server: usize, id: Request, attempt: Attempt, total: u32) {
        let index = index_of(id);
        let entry = &mut self.entries[number];
        if let Some(active) = entry.active.remove(&index) {
            entry.left(active.decode);
        }
        self.outcomes[index].whole = self.outcomes[index].tokens == total;
        self.send(server, number, Frame::Done(id, attempt));
    }

    fn failed(&mut self, number: usize, server: usize, id: Request, attempt: Attempt) {
        let index = index_of(id);
        let entry = &mut self.entries[number];
        let Some(active) = entry.active.get_mut(&index) else { return };
        if active.attempt != attempt.0 {
            return;
        }
        let key = entry.keys[&server];
        if active.prefill == Some(key) {
            let (prefill, decode) = (active.prefill.take(), active.decode.take());
            active.reserved = false;
            let held = decode.map(|key| entry.numbers[&key]);
            entry.left(prefill);
            entry.left(decode);
            if let Some(held) = held {
                self.send(held, number, Frame::Cancel(id, attempt));
            }
            self.restart(number, index);
            return;
        }
        active.decode = None;
        active.reserved = false;
        active.passed_over.push(entry.table[key].name.clone());
        let has_kv = active.kv.is_some();
        let wanted = ask(&self.arrivals[index], Some(active));
        entry.left(Some(key));
        if !has_kv {
            if let Some(active) = entry.active.get_mut(&index) {
                active.passed_over.clear();
            }
            self.give_back(number, index);
            return;
        }
        match entry.late_decode(&self.settings, self.now, &wanted) {
            Some(key) => self.reserve(number, index, key),
            None => self.restart(number, index),
        }
    }

    /// Passes a server that refused over until it says that it may be asked again.
    fn full(&mut self, number: usize, server: usize, failure: frame::Failure) {
        let entry = &mut self.entries[number];
        let key = entry.keys[&server];
        let again_in = Duration::from_millis(u64::from(failure.retry_after_ms));
        entry.table[key].note_full(self.now, again_in);
    }

    fn lose(&mut self, number: usize) {
        let fresh =
            backend(&self.settings, &(self.backends[number].config.name.clone(), Role::Decode));
        let epoch = self.backends[number].epoch;
        self.backends[number] = Backend { alive: false, epoch, ..fresh };
        for entry in 0..self.entries.len() {
            let Some(key) = self.entries[entry].keys.get(&number).copied() else { continue };
            self.entries[entry].table[key].connected = false;
            let lost: Vec<usize> = self.entries[entry]
                .active
                .values()
                .filter(|active| active.decode == Some(key))
                .map(|active| active.arrival)
                .collect();
            for index in lost {
                self.lost(entry, index);
            }
        }
    }

    /// A request's decode server is gone: it starts anew unless the caller has had a token.
    fn lost(&mut self, number: usize, index: usize) {
        let entry = &mut self.entries[number];
        let Some(active) = entry.active.get_mut(&index) else { return };
        active.attempt += 1;
        let decode = active.decode.take();
        entry.left(decode);
        if self.outcomes[index].first.is_some() {
            entry.active.remove(&index);
            return;
        }
        self.restart(number, index);
    }

    fn send(&mut self, server: usize, entry: usize, frame: Frame) {
        self.count(&frame);
        if self.backends[server].alive {
            self.after(self.settings.delay, Due::ToServer { server, entry, frame });
        }
    }

    fn count(&mut self, frame: &Frame) {
        let aside = matches!(
            frame,
            Frame::Ping(_) | Frame::Pong(_) | Frame::Tokens(..) | Frame::Hello { .. }
        );
        if !aside {
            self.counts.frames += 1;
            self.counts.bytes += encode(frame).map_or(0, |bytes| bytes.len() as u64);
        }
    }

    fn tell(&mut self, number: usize, event: Event) {
        if !self.backends[number].alive {
            return;
        }
        let effects = self.backends[number].server.handle(self.now, event);
        for effect in effects {
            self.carry_out(number, effect);
        }
    }

    fn carry_out(&mut self, number: usize, effect: Effect) {
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

    fn order(&mut self, number: usize, order: Order) {
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
            Task::Holds => {
                let held = engine.batch.iter().map(|running| Held {
                    id: running.id.clone(),
                    kv_tokens: 0,
                    running: true,
                });
                let held = held.collect();
                self.tell(number, Event::Holds(Ok(held)));
            }
            Task::Resume { .. } => {}
        }
    }

    fn next_prefill(&mut self, number: usize) {
        let engine = &mut self.backends[number].engine;
        if engine.prefilling.is_some() {
            return;
        }
        let Some(prefill) = engine.next_prefill() else { return };
        let time = engine::prefill_time(prefill.tokens);
        engine.prefilling = Some(prefill);
        self.after(time, Due::PrefillEnd(number));
    }

    fn prefill_end(&mut self, number: usize) {
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

    fn next_step(&mut self, number: usize) {
        let engine = &mut self.backends[number].engine;
        if engine.stepping || engine.batch.is_empty() {
            return;
        }
        engine.stepping = true;
        let time = engine.step();
        self.after(time, Due::Step(number));
    }

    fn step(&mut self, number: usize) {
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

fn backend(settings: &Settings, (name, role): &(Arc<str>, Role)) -> Backend {
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

fn connection(entry: usize) -> Connection {
    Connection(entry as u64)
}

fn request(index: usize) -> Request {
    Request(index as u128)
}

fn index_of(request: Request) -> usize {
    usize::try_from(request.0).unwrap_or_default()
}

/// The arrival that an engine's name for a request stands for.
fn index_of_engine(id: &str) -> usize {
    let request = id.split('.').next().unwrap_or_default();
    usize::from_str_radix(request, 16).unwrap_or_default()
}

fn load_of(frame: &Frame) -> Option<Load> {
    match frame {
        Frame::Reserved(_, _, _, load)
        | Frame::Prefilled(_, _, _, load)
        | Frame::End(_, _, _, _, load)
        | Frame::Failed(_, _, _, load)
        | Frame::Loaded(load) => Some(*load),
        _ => None,
    }
}
