//! The run itself: virtual time, frames in flight, and what each arrival turns into.

mod request;
mod server;

use super::engine::Engine;
use super::entry::Entry;
use super::load::{Arrival, draw};
use super::measure::{Counts, Measures, Outcome, sum};
use super::settings::Settings;
use chestnutrack_core::server::{Authority, Event, Key, Server};
use chestnutrack_core::time::Instant;
use chestnutrack_document::model::{self, Role};
use chestnutrack_wire::encode;
use chestnutrack_wire::frame::{Frame, Sender, VERSION};
use server::{backend, connection};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

/// Time between ticks of a server's table and an entry host's queue.
const TICK: Duration = Duration::from_millis(20);
/// Time between heartbeats of an entry host.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Time after the last arrival at which the run ends.
const TAIL: Duration = Duration::from_secs(20);

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
                self.tell(number, Event::Tick { delay: Duration::ZERO });
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
}
