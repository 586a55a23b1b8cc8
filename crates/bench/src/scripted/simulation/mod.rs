//! Discrete-event simulation: a queue of events in virtual time that drives the entry hosts and
//! the side processes with their engines.

mod request;
mod server;

use super::engine::Engine;
use super::entry::EntryHost;
use super::load::{Arrival, draw_arrivals};
use super::measure::{Counts, Measures, Outcome, summarize};
use super::settings::Settings;
use chestnutrack_core::server::{Authority, Event as ServerEvent, Key, Server};
use chestnutrack_core::time::Instant;
use chestnutrack_document::model::{self, Role};
use chestnutrack_wire::encode;
use chestnutrack_wire::frame::{Frame, Sender, VERSION};
use server::{connection, new_backend};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

/// Interval between ticks of side processes and of entry hosts' queues.
const TICK: Duration = Duration::from_millis(20);
/// Interval between heartbeats from an entry host to its servers.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Time from the end of the arrivals to the end of the run, for requests in flight.
const DRAIN_PERIOD: Duration = Duration::from_secs(20);

/// An event of the simulation. Servers and entry hosts are given by index.
enum Event {
    Arrival(usize),
    ToServer { server: usize, entry: usize, frame: Frame },
    ToEntry { entry: usize, server: usize, frame: Frame },
    StepEnd(usize),
    PrefillEnd(usize),
    ImportEnd(usize, Key),
    TickServer(usize),
    TickEntry(usize),
    Heartbeat(usize),
    ServerDown(usize),
    ServerUp(usize),
}

/// An event and its time. Events at the same time are handled in the order of scheduling.
struct Scheduled {
    at: Instant,
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A backend server: its side process and its engine.
struct Backend {
    server: Server,
    engine: Engine,
    config: model::Server,
    alive: bool,
    epoch: u64,
}

/// State of a run.
pub struct Simulation {
    settings: Settings,
    now: Instant,
    queue: BinaryHeap<Reverse<Scheduled>>,
    last_sequence: u64,
    arrivals: Vec<Arrival>,
    outcomes: Vec<Outcome>,
    entries: Vec<EntryHost>,
    backends: Vec<Backend>,
    prompt: Arc<str>,
    counts: Counts,
}

impl Simulation {
    /// Creates the state at the start of a run and generates its arrivals. Requests beyond the rate
    /// of their organisation are left out.
    pub fn new(settings: &Settings) -> Simulation {
        let roles = (0..settings.prefill_servers + settings.decode_servers).map(|number| {
            if number < settings.prefill_servers { Role::Prefill } else { Role::Decode }
        });
        let servers: Vec<(Arc<str>, Role)> = roles
            .enumerate()
            .map(|(number, role)| (format!("server-{number}").into(), role))
            .collect();
        let entries = (0..settings.entry_hosts)
            .map(|number| EntryHost::new(settings, number, &servers))
            .collect();
        let backends = servers.iter().map(|server| new_backend(settings, server)).collect();
        let arrivals: Vec<Arrival> =
            draw_arrivals(settings).into_iter().filter(|arrival| arrival.in_rate).collect();
        let outcomes = arrivals
            .iter()
            .map(|arrival| Outcome {
                organisation: arrival.organisation,
                arrived: arrival.at,
                ..Outcome::default()
            })
            .collect();
        Simulation {
            settings: settings.clone(),
            now: Instant::default(),
            queue: BinaryHeap::new(),
            last_sequence: 0,
            arrivals,
            outcomes,
            entries,
            backends,
            prompt: "".into(),
            counts: Counts::default(),
        }
    }

    /// Simulates the run to its end and returns its measures.
    pub fn run(mut self) -> Measures {
        self.start();
        let end = Instant::default() + self.settings.arrival_period + DRAIN_PERIOD;
        while let Some(Reverse(scheduled)) = self.queue.pop() {
            if scheduled.at > end {
                break;
            }
            self.now = scheduled.at;
            self.handle(scheduled.event);
        }
        summarize(&self.settings, &self.outcomes, &self.counts)
    }

    fn start(&mut self) {
        for server_index in 0..self.backends.len() {
            self.start_server(server_index);
            self.schedule_after(TICK, Event::TickServer(server_index));
        }
        for entry_index in 0..self.entries.len() {
            self.schedule_after(TICK, Event::TickEntry(entry_index));
            self.schedule_after(HEARTBEAT, Event::Heartbeat(entry_index));
        }
        for index in 0..self.arrivals.len() {
            let at = self.arrivals[index].at;
            self.schedule_at(at, Event::Arrival(index));
        }
        if let Some((down_at, up_at)) = self.settings.outage {
            // Index of the first decode server: the prefill servers come first.
            let server_index = self.settings.prefill_servers;
            self.schedule_after(down_at, Event::ServerDown(server_index));
            self.schedule_after(up_at, Event::ServerUp(server_index));
        }
    }

    /// Starts the side process of a server and connects the entry hosts that have the server in
    /// their subset.
    fn start_server(&mut self, server_index: usize) {
        let backend = &mut self.backends[server_index];
        backend.alive = true;
        backend.epoch += 1;
        let (config, epoch) = (backend.config.clone(), backend.epoch);
        self.deliver(server_index, ServerEvent::Configured { version: 1, server: Some(config) });
        self.deliver(server_index, ServerEvent::Authority(Authority::Held(epoch)));
        for entry_index in 0..self.entries.len() {
            let Some(key) = self.entries[entry_index].server_keys.get(&server_index).copied()
            else {
                continue;
            };
            self.entries[entry_index].table[key].connected = true;
            let sender = Sender { name: format!("entry-{entry_index}").into(), incarnation: 1 };
            let hello = Frame::Hello { version: VERSION, sender, configuration: 1 };
            self.deliver(server_index, ServerEvent::Frame(connection(entry_index), hello));
        }
    }

    fn schedule_at(&mut self, at: Instant, event: Event) {
        self.last_sequence += 1;
        self.queue.push(Reverse(Scheduled { at, sequence: self.last_sequence, event }));
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(index) => self.handle_arrival(index),
            Event::ToServer { server, entry, frame } => {
                self.deliver(server, ServerEvent::Frame(connection(entry), frame));
            }
            Event::ToEntry { entry, server, frame } => self.handle_frame(entry, server, frame),
            Event::StepEnd(server_index) => self.finish_step(server_index),
            Event::PrefillEnd(server_index) => self.finish_prefill(server_index),
            Event::ImportEnd(server_index, key) => {
                self.deliver(server_index, ServerEvent::Imported(key, Ok(())))
            }
            Event::TickServer(server_index) => {
                self.deliver(server_index, ServerEvent::Tick { delay: Duration::ZERO });
                self.schedule_after(TICK, Event::TickServer(server_index));
            }
            Event::TickEntry(entry_index) => {
                self.expire_waiting(entry_index);
                self.admit_waiting(entry_index);
                self.schedule_after(TICK, Event::TickEntry(entry_index));
            }
            Event::Heartbeat(entry_index) => {
                let servers: Vec<usize> =
                    self.entries[entry_index].server_keys.keys().copied().collect();
                for server in servers {
                    self.send(server, entry_index, Frame::Ping(0));
                }
                self.schedule_after(HEARTBEAT, Event::Heartbeat(entry_index));
            }
            Event::ServerDown(server_index) => self.stop_server(server_index),
            Event::ServerUp(server_index) => self.start_server(server_index),
        }
    }

    /// Sends a frame from an entry host to a server. The frame is lost if the server is down.
    fn send(&mut self, server: usize, entry: usize, frame: Frame) {
        self.count(&frame);
        if self.backends[server].alive {
            self.schedule_after(
                self.settings.network_delay,
                Event::ToServer { server, entry, frame },
            );
        }
    }

    /// Counts a frame if it belongs to placement.
    fn count(&mut self, frame: &Frame) {
        let is_excluded = matches!(
            frame,
            Frame::Ping(_) | Frame::Pong(_) | Frame::Tokens(..) | Frame::Hello { .. }
        );
        if !is_excluded {
            self.counts.frames += 1;
            self.counts.bytes += encode(frame).map_or(0, |bytes| bytes.len() as u64);
        }
    }
}
