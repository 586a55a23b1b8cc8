//! A server's table with simulated entry hosts, engine and plain service, in virtual time.

use super::log;
use chestnutrack_core::server::event::{EngineHold, Prefilled};
use chestnutrack_core::server::{
    Authority, Connection, Effect, Event, Fault, Id, Key, Order, Server, Settings, Task, hold,
};
use chestnutrack_core::time::Instant;
use chestnutrack_document::model::{self, Role};
use chestnutrack_wire::frame::{Cause, Finish, Forward, Ran, Sender, VERSION};
use chestnutrack_wire::{Attempt, Frame, Request};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Interval between ticks, in milliseconds.
pub const TICK_MS: u64 = 20;
/// Slots of the server.
pub const SLOTS: u32 = 3;
/// Engine memory of the server, in tokens.
pub const KV_TOKENS: u64 = 2_000;

/// Variants of the fixture that leave a mechanism out, to show that the checks detect its absence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Variant {
    /// No mechanism is left out.
    #[default]
    Complete,
    /// No ticks, so that no lease expires.
    NoTicks,
    /// Only the first cancel order of a request reaches the engine.
    SingleCancel,
    /// Repeated frames carry a new attempt number, so that the table can't recognise them.
    NewAttempts,
    /// All failures are reported as not run.
    AlwaysNotRun,
    /// The leaving flag of the configuration doesn't reach the table.
    NoLeaving,
}

/// An order that was sent to the engine and not answered yet.
#[derive(Clone, Debug)]
pub struct InFlight {
    pub order: Order,
    /// The engine's answer; `None` until the order has reached the engine.
    pub answer: Option<Result<(), Fault>>,
}

/// A simulated entry host.
#[derive(Clone, Debug)]
pub struct Host {
    pub name: Arc<str>,
    pub incarnation: u64,
    pub connection: Option<Connection>,
    pub pings: bool,
}

/// The table and its simulated environment.
pub struct World {
    pub variant: Variant,
    pub now: Instant,
    pub server: Server,
    pub config: model::Server,
    pub version: u64,
    pub hosts: Vec<Host>,
    pub in_flight: Vec<InFlight>,
    /// Tokens held on the engine by each request.
    pub engine: BTreeMap<Arc<str>, u32>,
    pub streams: HashMap<Key, (Arc<str>, u32)>,
    pub calls: Vec<(Key, Forward)>,
    /// Bodies of all calls made so far.
    pub called_bodies: HashSet<Vec<u8>>,
    /// Frames sent by the table, with their connections.
    pub sent: Vec<(Connection, Frame)>,
    /// Number of prefill and import orders per engine id.
    pub start_counts: HashMap<Arc<str>, u32>,
    /// Requests that the engine or the plain service has accepted so far.
    pub accepted: HashSet<Arc<str>>,
    pub violations: Vec<String>,
    /// Transcript of the frames and orders, one per line.
    pub log: Vec<String>,
    cancelled: HashSet<Arc<str>>,
    connections: u64,
    next_tick: Instant,
}

pub fn server(role: Role) -> model::Server {
    model::Server {
        name: "server-1".into(),
        side: "127.0.0.1:1".parse().unwrap(),
        address: "127.0.0.1:2".parse().unwrap(),
        host: "host-1".into(),
        failure_domain: "domain-1".into(),
        role,
        checks_fencing: false,
        slots: SLOTS,
        kv_tokens: KV_TOKENS,
        link_bytes_per_s: 1_000_000_000,
        leaving: false,
    }
}

impl World {
    pub fn new(role: Role) -> World {
        World::with_variant(role, Variant::Complete)
    }

    pub fn with_variant(role: Role, variant: Variant) -> World {
        let now = Instant::from_millis(1_000);
        let sender = Sender { name: "server-1".into(), incarnation: 77 };
        let host = |number: u64| Host {
            name: format!("entry-{number}").into(),
            incarnation: number * 100,
            connection: None,
            pings: true,
        };
        let mut world = World {
            variant,
            now,
            server: Server::new(Settings::default(), sender, now),
            config: server(role),
            version: 0,
            hosts: (1..=3).map(host).collect(),
            in_flight: Vec::new(),
            engine: BTreeMap::new(),
            streams: HashMap::new(),
            calls: Vec::new(),
            called_bodies: HashSet::new(),
            sent: Vec::new(),
            start_counts: HashMap::new(),
            accepted: HashSet::new(),
            violations: Vec::new(),
            log: Vec::new(),
            cancelled: HashSet::new(),
            connections: 0,
            next_tick: now,
        };
        world.event(Event::Authority(Authority::Held(1)));
        world.configure(false);
        world
    }

    pub fn configure(&mut self, leaving: bool) {
        self.version += 1;
        let leaving = leaving && self.variant != Variant::NoLeaving;
        self.config.leaving = leaving;
        let server = Some(self.config.clone());
        self.event(Event::Configured { version: self.version, server });
    }

    /// Returns the transcript since the last call; each line starts with its time.
    pub fn lines(&mut self) -> String {
        let mut lines = std::mem::take(&mut self.log).join("\n");
        lines.push('\n');
        lines
    }

    fn log_line(&mut self, line: &str) {
        let millis = self.now.since(Instant::from_millis(1_000)).as_millis();
        self.log.push(format!("{millis} {line}"));
    }

    fn host_of(&self, connection: Connection) -> String {
        let host = self.hosts.iter().find(|host| host.connection == Some(connection));
        host.map_or_else(|| "nobody".to_owned(), |host| host.name.to_string())
    }

    pub fn event(&mut self, event: Event) {
        for effect in self.server.handle(self.now, event) {
            self.apply_effect(effect);
        }
        self.check();
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Send(connection, frame) => self.record_frame(connection, frame),
            Effect::Order(order) => self.send_order(order),
            Effect::Abort(key) => {
                self.streams.remove(&key);
                self.calls.retain(|(call, _)| *call != key);
            }
            Effect::Call(key, forward) => {
                if !self.called_bodies.insert(forward.body.clone()) {
                    self.violations.push(format!("{:?} is called again", forward.body));
                }
                self.calls.push((key, forward));
            }
            Effect::Close(connection) => {
                for host in &mut self.hosts {
                    if host.connection == Some(connection) {
                        host.connection = None;
                    }
                }
            }
            Effect::RecheckAuthority(epoch) => {
                self.event(Event::Authority(Authority::Held(epoch)));
            }
            Effect::SendConfiguration(_) => {}
        }
    }

    fn record_frame(&mut self, connection: Connection, mut frame: Frame) {
        if let Frame::Failed(request, attempt, failure, _) = &mut frame {
            if self.variant == Variant::AlwaysNotRun {
                failure.ran = Ran::NotRun;
            }
            let id = hold::engine_id((*request, *attempt));
            if failure.ran == Ran::NotRun && self.accepted.contains(&id) {
                self.violations
                    .push(format!("{id} is reported as not run, but it has run: {failure:?}"));
            }
        }
        if !matches!(frame, Frame::Pong(_)) {
            let line = format!("side > {}: {}", self.host_of(connection), log::frame(&frame));
            self.log_line(&line);
        }
        self.sent.push((connection, frame));
    }

    fn send_order(&mut self, order: Order) {
        if order.task != Task::ListHolds {
            let line = format!("side > engine: {}", log::order(&order));
            self.log_line(&line);
        }
        let begins = matches!(order.task, Task::Import { .. } | Task::Prefill { .. });
        if begins {
            let count = self.start_counts.entry(order.id.clone()).or_default();
            *count += 1;
            if *count > 1 {
                self.violations.push(format!("{} runs {count} times", order.id));
            }
        }
        let first_cancel = order.task != Task::Cancel || self.cancelled.insert(order.id.clone());
        if first_cancel || self.variant != Variant::SingleCancel {
            self.in_flight.push(InFlight { order, answer: None });
        }
    }

    /// Delivers an order in flight to the engine; orders may be delivered in any sequence.
    pub fn deliver_order(&mut self, index: usize) {
        let Some(in_flight) = self.in_flight.get_mut(index) else { return };
        if in_flight.answer.is_some() {
            return;
        }
        let id = in_flight.order.id.clone();
        let answer = match &in_flight.order.task {
            Task::Import { kv_tokens, .. } => {
                self.engine.insert(id.clone(), *kv_tokens);
                self.accepted.insert(id);
                Ok(())
            }
            Task::Prefill { prompt, .. } => {
                self.engine.insert(id.clone(), u32::try_from(prompt.len()).unwrap());
                self.accepted.insert(id);
                Ok(())
            }
            Task::Decode { .. } | Task::Resume { .. } if self.engine.contains_key(&id) => Ok(()),
            Task::Decode { .. } | Task::Resume { .. } => Err(Fault::Missing),
            Task::Cancel => {
                self.engine.remove(&id);
                Ok(())
            }
            Task::ListHolds => Ok(()),
        };
        in_flight.answer = Some(answer);
        self.check();
    }

    /// Delivers the engine's answer to an order that has reached it. If `lost`, the connection
    /// broke instead.
    pub fn deliver_answer(&mut self, index: usize, lost: bool) {
        if self.in_flight.get(index).is_none_or(|in_flight| in_flight.answer.is_none()) {
            return;
        }
        let InFlight { order, answer } = self.in_flight.remove(index);
        let result = if lost { Err(Fault::Unknown) } else { answer.unwrap() };
        if order.task != Task::ListHolds {
            let line = format!("engine > side: {}", log::answer(&order, result));
            self.log_line(&line);
        }
        let Order { hold, id, task, .. } = order;
        let event = match task {
            Task::Import { .. } => Event::Imported(hold, result),
            Task::Prefill { prompt, .. } => {
                let tokens = u32::try_from(prompt.len()).unwrap();
                let done = Prefilled { tokens, bytes: 1, cached_tokens: 0, evicted_in_ms: 500 };
                Event::Prefilled(hold, result.map(|()| done))
            }
            Task::Decode { .. } | Task::Resume { .. } => match result {
                Ok(()) => {
                    let offset = if let Task::Resume { offset } = task { offset } else { 0 };
                    self.streams.insert(hold, (id, offset));
                    return;
                }
                Err(fault) => Event::StreamBroken(hold, fault),
            },
            Task::Cancel => Event::Cancelled(id, result),
            Task::ListHolds => Event::HoldsListed(result.map(|()| self.held())),
        };
        self.event(event);
    }

    fn held(&self) -> Vec<EngineHold> {
        let held = |(id, kv_tokens): (&Arc<str>, &u32)| EngineHold {
            id: id.clone(),
            kv_tokens: *kv_tokens,
            running: true,
        };
        self.engine.iter().map(held).collect()
    }

    /// Delivers a call to the plain service; the first byte of its body is the request number.
    pub fn deliver_call(&mut self, index: usize) {
        if let Some((_, forward)) = self.calls.get(index) {
            let request = Request(u128::from(forward.body[0]));
            self.accepted.insert(hold::engine_id((request, Attempt(1))));
        }
    }

    /// Ends a call with a complete answer. If `lost`, or if the call has not been delivered, it
    /// fails instead.
    pub fn end_call(&mut self, index: usize, lost: bool) {
        if index >= self.calls.len() {
            return;
        }
        let (key, forward) = self.calls.remove(index);
        let id = hold::engine_id((Request(u128::from(forward.body[0])), Attempt(1)));
        let arrived = self.accepted.contains(&id);
        if !arrived || lost {
            let ran = if arrived { Ran::Unknown } else { Ran::NotRun };
            self.event(Event::CallFailed(key, ran));
            return;
        }
        self.event(Event::Head(key, 200, Vec::new()));
        self.event(Event::Body(key, forward.body));
        self.event(Event::BodyEnd(key));
    }

    /// Delivers and answers all orders in flight until none is left.
    pub fn settle(&mut self) {
        while !self.in_flight.is_empty() {
            self.deliver_order(0);
            self.deliver_answer(0, false);
        }
    }

    /// Sends the next token of a running answer, or ends the answer.
    pub fn advance_stream(&mut self, index: usize, end: bool) {
        let mut keys: Vec<Key> = self.streams.keys().copied().collect();
        keys.sort_unstable();
        let Some(key) = keys.get(index % keys.len().max(1)) else { return };
        let Some((id, offset)) = self.streams.get_mut(key) else { return };
        if !self.engine.contains_key(id) {
            return;
        }
        if end {
            let total = *offset;
            self.engine.remove(&id.clone());
            self.streams.remove(key);
            self.event(Event::StreamEnd(*key, total, Finish::Length));
        } else {
            let at = *offset;
            *offset += 1;
            self.event(Event::Token(*key, at, format!(" w{at}").into()));
        }
    }

    pub fn advance(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.next_tick <= end {
            self.now = self.next_tick;
            self.next_tick = self.next_tick + Duration::from_millis(TICK_MS);
            self.ping();
            if self.variant != Variant::NoTicks {
                self.event(Event::Tick { delay: Duration::ZERO });
            }
        }
        self.now = end;
    }

    /// Advances the time like `advance`, and answers all orders after each tick.
    pub fn advance_settled(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(TICK_MS) {
            self.advance(TICK_MS);
            self.settle();
        }
    }

    fn ping(&mut self) {
        let pinging: Vec<_> = self.hosts.iter().filter(|host| host.pings).collect();
        let connections: Vec<_> = pinging.iter().filter_map(|host| host.connection).collect();
        for connection in connections {
            self.event(Event::Frame(connection, Frame::Ping(1)));
        }
        self.sent.retain(|(_, frame)| !matches!(frame, Frame::Pong(_) | Frame::Loaded(_)));
    }

    pub fn connect(&mut self, host: usize) -> Connection {
        self.connections += 1;
        let connection = Connection(self.connections);
        let host = &mut self.hosts[host];
        host.connection = Some(connection);
        host.pings = true;
        let sender = Sender { name: host.name.clone(), incarnation: host.incarnation };
        let hello = Frame::Hello { version: VERSION, sender, configuration: self.version };
        let line = format!("{} > side: {}", self.host_of(connection), log::frame(&hello));
        self.log_line(&line);
        self.event(Event::Frame(connection, hello));
        connection
    }

    pub fn disconnect(&mut self, host: usize) {
        if let Some(connection) = self.hosts[host].connection.take() {
            let line = format!("{}: connection ends", self.hosts[host].name);
            self.log_line(&line);
            self.event(Event::Disconnected(connection));
        }
    }

    /// Sends a frame from a host, which connects first if it has no connection.
    pub fn send(&mut self, host: usize, frame: Frame) {
        let connection = match self.hosts[host].connection {
            Some(connection) => connection,
            None => self.connect(host),
        };
        let line = format!("{} > side: {}", self.hosts[host].name, log::frame(&frame));
        self.log_line(&line);
        self.event(Event::Frame(connection, frame));
    }

    pub fn id(&self, request: u128, repeat: u32) -> Id {
        let attempt = if self.variant == Variant::NewAttempts { 1 + repeat } else { 1 };
        (Request(request), Attempt(attempt))
    }

    fn check(&mut self) {
        let used = self.server.usage();
        if used.slots > self.config.slots || used.kv_tokens > self.config.kv_tokens {
            self.violations.push(format!("over the server's capacity: {used:?}"));
        }
        let held: u64 = self.engine.values().map(|tokens| u64::from(*tokens)).sum();
        if held > self.config.kv_tokens {
            self.violations.push(format!("{held} tokens held on the engine"));
        }
        let slots = self.config.slots as usize;
        if self.config.role == Role::Decode && self.engine.len() > slots {
            self.violations.push(format!("{} requests on the engine", self.engine.len()));
        }
    }

    /// Returns the failures that were sent, with their requests.
    pub fn failures(&self) -> Vec<(Request, Cause, Ran)> {
        let failed = self.sent.iter().filter_map(|(_, frame)| match frame {
            Frame::Failed(request, _, failure, _) => Some((*request, failure.cause, failure.ran)),
            _ => None,
        });
        failed.collect()
    }

    /// Returns the requests that were granted a reservation, in order.
    pub fn reserved(&self) -> Vec<Request> {
        let reserved = self.sent.iter().filter_map(|(_, frame)| match frame {
            Frame::Reserved(request, ..) => Some(*request),
            _ => None,
        });
        reserved.collect()
    }
}
