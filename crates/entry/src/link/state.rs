//! The actor's state and what it does with each message.

use super::is_understood;
use super::stream::{Next, Stream};
use super::{Arguments, Close, Event, EventSender, Id, Message, Notice, Stage};
use chestnutrack_core::time::Instant;
use chestnutrack_fleet::Snapshot;
use chestnutrack_process::clock;
use chestnutrack_process::timer::Tick;
use chestnutrack_wire::connection::{self, Error, Receiver};
use chestnutrack_wire::frame::{Load, Ran, VERSION};
use chestnutrack_wire::{Attempt, Connection, Frame, Request};
use ractor::ActorRef;
use rand::Rng;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Shortest and longest wait before a connection is tried again, in milliseconds.
const BACKOFF_MS: (u64, u64) = (20, 1_000);
/// Longest wait while attempts stand, in milliseconds.
const BACKOFF_BUSY_MS: u64 = 160;
/// Attempts given up while there was no connection, to be cancelled on the next.
const CANCELS_MAX: usize = 4_096;
/// A tick this late means that the process itself was stopped, so that silence says nothing.
const STOPPED_AFTER: Duration = Duration::from_millis(300);

/// State of the actor.
pub struct State {
    arguments: Arguments,
    actor: ActorRef<Message>,
    streams: HashMap<Id, Stream>,
    cancels: Vec<Id>,
    /// Number of the newest connection or attempt to connect.
    number: u64,
    sender: Option<connection::Sender>,
    reader: Option<JoinHandle<()>>,
    /// Incarnation of the peer, once it has said hello on the newest connection.
    greeted: bool,
    incarnation: Option<u64>,
    peer_configuration: u64,
    heard: Instant,
    pings: u64,
    backoff_ms: u64,
    up: bool,
}

impl State {
    pub(super) fn new(arguments: Arguments, actor: ActorRef<Message>) -> State {
        State {
            arguments,
            actor,
            streams: HashMap::new(),
            cancels: Vec::new(),
            number: 0,
            sender: None,
            reader: None,
            greeted: false,
            incarnation: None,
            peer_configuration: 0,
            heard: clock::now(),
            pings: 0,
            backoff_ms: BACKOFF_MS.0,
            up: false,
        }
    }

    pub(super) fn connect(&mut self) {
        self.number += 1;
        let (actor, number) = (self.actor.clone(), self.number);
        let (address, security) = (self.arguments.address, self.arguments.security.clone());
        tokio::spawn(async move {
            let opened = connection::connect(address, security.as_ref()).await;
            let _ = actor.cast(Message::Connected(number, opened));
        });
    }

    pub(super) fn connected(&mut self, number: u64, connection: Connection) {
        if number != self.number {
            return;
        }
        self.heard = clock::now();
        self.greeted = false;
        self.sender = Some(connection.sender);
        self.reader = Some(tokio::spawn(read(connection.receiver, number, self.actor.clone())));
        let configuration = self.arguments.snapshot.version;
        let sender = self.arguments.sender.clone();
        self.send(&Frame::Hello { version: VERSION, sender, configuration });
    }

    pub(super) fn broken(&mut self, number: u64, error: &Error) {
        if number != self.number {
            return;
        }
        if self.up {
            tracing::warn!(server = %self.arguments.server, %error, "side process lost");
        }
        self.disconnect();
        if matches!(error, Error::Connect(..)) {
            self.lose_where(Stream::is_replaceable);
        }
        let wait_ms = rand::rng().random_range(self.backoff_ms / 2..=self.backoff_ms);
        let most = if self.streams.is_empty() { BACKOFF_MS.1 } else { BACKOFF_BUSY_MS };
        self.backoff_ms = (self.backoff_ms * 2).min(most);
        let actor = self.actor.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            let _ = actor.cast(Message::Reconnect);
        });
    }

    /// Ends the connection; attempts that can't go on elsewhere are lost.
    fn disconnect(&mut self) {
        self.sender = None;
        if let Some(reader) = self.reader.take() {
            reader.abort();
        }
        self.greeted = false;
        if self.up {
            self.up = false;
            (self.arguments.notices)(Notice::Down);
        }
        let now = clock::now();
        for stream in self.streams.values_mut() {
            stream.broken_since.get_or_insert(now);
        }
    }

    /// Loses every attempt that `is_lost` names.
    fn lose_where(&mut self, is_lost: impl Fn(&Stream) -> bool) {
        let lost = self.streams.iter().filter(|(_, stream)| is_lost(stream));
        let lost: Vec<Id> = lost.map(|(id, _)| *id).collect();
        lost.into_iter().for_each(|id| self.lose(id));
    }

    fn lose(&mut self, id: Id) {
        if let Some(stream) = self.streams.remove(&id) {
            stream.tell(Event::Lost(stream.ran()));
            self.cancel(id);
        }
    }

    pub(super) fn give_up_all(&mut self) {
        self.lose_where(|_| true);
        self.disconnect();
    }

    pub(super) fn open(&mut self, id: Id, stage: Stage, order: Frame, events: EventSender) {
        let sent = self.greeted && self.send(&order);
        let stream = Stream::new(stage, order, events);
        if !sent {
            stream.tell(Event::Lost(Ran::NotRun));
            return;
        }
        self.streams.insert(id, stream);
    }

    pub(super) fn advance(&mut self, id: Id, order: Frame) {
        let sent = self.greeted && self.streams.contains_key(&id) && self.send(&order);
        if !sent {
            self.lose(id);
            return;
        }
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.stage = Stage::Answering;
            stream.order = order;
        }
    }

    pub(super) fn close(&mut self, id: Id, close: Close) {
        let known = self.streams.remove(&id).is_some();
        match close {
            Close::Done => {
                self.send(&Frame::Done(id.0, id.1));
            }
            Close::Cancel if known => self.cancel(id),
            Close::Cancel => {}
        }
    }

    fn cancel(&mut self, id: Id) {
        let sent = self.greeted && self.send(&Frame::Cancel(id.0, id.1));
        if !sent && self.cancels.len() < CANCELS_MAX {
            self.cancels.push(id);
        }
    }

    pub(super) fn configure(&mut self, snapshot: Arc<Snapshot>) {
        self.arguments.snapshot = snapshot;
        if self.greeted {
            self.push_configuration();
        }
    }

    fn push_configuration(&mut self) {
        let snapshot = self.arguments.snapshot.clone();
        if snapshot.version <= self.peer_configuration {
            return;
        }
        let document = snapshot.json.to_vec();
        if self.send(&Frame::Configuration { version: snapshot.version, document }) {
            self.peer_configuration = snapshot.version;
        }
    }

    pub(super) fn received(&mut self, number: u64, frame: Frame) {
        if number != self.number {
            self.arguments.metrics.frames_dropped.inc();
            return;
        }
        self.heard = clock::now();
        match frame {
            Frame::Hello { version, sender, configuration } => {
                self.greet(version, sender.incarnation, configuration);
            }
            Frame::Ping(ping) => {
                self.send(&Frame::Pong(ping));
            }
            Frame::Pong(_) => {}
            Frame::Configuration { version, .. } => {
                self.peer_configuration = self.peer_configuration.max(version);
            }
            Frame::Leaving => (self.arguments.notices)(Notice::Draining),
            Frame::Loaded(load) => (self.arguments.notices)(Notice::Loaded(load)),
            frame => self.deliver(frame),
        }
    }

    fn greet(&mut self, version: u32, incarnation: u64, configuration: u64) {
        if !is_understood(version) {
            let server = &self.arguments.server;
            tracing::error!(%server, version, ours = VERSION, "side process speaks a newer version");
            let error = Error::Handshake(format!("frames of version {version}"));
            self.broken(self.number, &error);
            return;
        }
        let restarted = self.incarnation.is_some_and(|known| known != incarnation);
        self.incarnation = Some(incarnation);
        self.peer_configuration = configuration;
        self.greeted = true;
        self.backoff_ms = BACKOFF_MS.0;
        self.push_configuration();
        if restarted {
            self.cancels.clear();
            self.lose_where(Stream::is_replaceable);
        }
        self.resume_all();
        if !self.up {
            self.up = true;
            tracing::info!(server = %self.arguments.server, "side process reached");
            (self.arguments.notices)(Notice::Up);
        }
    }

    fn resume_all(&mut self) {
        for id in std::mem::take(&mut self.cancels) {
            self.cancel(id);
        }
        let broken = self.streams.iter_mut().filter(|(_, stream)| stream.broken_since.is_some());
        let broken: Vec<(Id, Stage)> = broken
            .map(|(id, stream)| {
                stream.broken_since = None;
                (*id, stream.stage)
            })
            .collect();
        for (id, stage) in broken {
            match stage {
                Stage::Reserving | Stage::Prefilling => self.repeat(id),
                Stage::Reserved | Stage::Prefilled | Stage::Answering => self.resume(id),
            }
        }
    }

    /// Sends an order again; a side process that has it already answers as before.
    fn repeat(&mut self, id: Id) {
        if let Some(order) = self.streams.get(&id).map(|stream| stream.order.clone()) {
            self.send(&order);
        }
    }

    fn resume(&mut self, id: Id) {
        let Some(stream) = self.streams.get_mut(&id) else { return };
        let offset = stream.cursor.0;
        if !stream.note_resume() {
            self.lose(id);
            return;
        }
        self.arguments.metrics.resumes.inc();
        self.send(&Frame::Resume(id.0, id.1, offset));
    }

    fn deliver(&mut self, frame: Frame) {
        let Some((id, load)) = subject(&frame) else {
            self.arguments.metrics.frames_dropped.inc();
            return;
        };
        if let Some(load) = load {
            (self.arguments.notices)(Notice::Loaded(load));
        }
        let Some(stream) = self.streams.get_mut(&id) else {
            self.arguments.metrics.frames_dropped.inc();
            return;
        };
        match stream.take(frame) {
            Next::Continue => {}
            Next::Resume => self.resume(id),
            Next::Repeat => self.repeat(id),
            Next::Ended => {
                self.streams.remove(&id);
            }
            Next::GiveUp => self.lose(id),
            Next::Dropped => self.arguments.metrics.frames_dropped.inc(),
        }
    }

    pub(super) fn tick(&mut self, tick: Tick) {
        let settings = self.arguments.settings;
        self.lose_where(|stream| {
            let replaceable = stream.is_replaceable();
            let within =
                if replaceable { settings.replace_timeout } else { settings.resume_timeout };
            stream.broken_since.is_some_and(|since| tick.now.since(since) >= within)
        });
        if self.sender.is_none() {
            return;
        }
        if tick.late >= STOPPED_AFTER {
            self.heard = tick.now;
        }
        if tick.now.since(self.heard) >= settings.heartbeat_timeout {
            self.arguments.metrics.connections_silent.inc();
            tracing::warn!(server = %self.arguments.server, "connection is silent, opening another");
            self.disconnect();
            self.connect();
            return;
        }
        self.pings += 1;
        let ping = Frame::Ping(self.pings);
        self.send(&ping);
    }

    /// Sends a frame; false when there is no connection or it has ended.
    fn send(&mut self, frame: &Frame) -> bool {
        let Some(sender) = &self.sender else { return false };
        match sender.send(frame) {
            Ok(()) => true,
            Err(Error::Frame(_)) => false,
            Err(error) => {
                let _ = self.actor.cast(Message::Broken(self.number, error));
                false
            }
        }
    }
}

async fn read(mut receiver: Receiver, number: u64, actor: ActorRef<Message>) {
    loop {
        let message = match receiver.receive().await {
            Ok(frame) => Message::Received(number, Box::new(frame)),
            Err(error) => {
                let _ = actor.cast(Message::Broken(number, error));
                return;
            }
        };
        if actor.cast(message).is_err() {
            return;
        }
    }
}

/// The attempt that a frame belongs to, and the load that rides on it.
fn subject(frame: &Frame) -> Option<((Request, Attempt), Option<Load>)> {
    match frame {
        Frame::Reserved(request, attempt, _, load)
        | Frame::Prefilled(request, attempt, _, load)
        | Frame::End(request, attempt, _, _, load)
        | Frame::BodyEnd(request, attempt, _, load)
        | Frame::Failed(request, attempt, _, load) => Some(((*request, *attempt), Some(*load))),
        Frame::Tokens(request, attempt, _, _)
        | Frame::Head(request, attempt, _, _)
        | Frame::Body(request, attempt, _, _) => Some(((*request, *attempt), None)),
        _ => None,
    }
}
