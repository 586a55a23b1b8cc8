//! State of the link's actor, and how each message changes it.
//!
//! To abandon an attempt means to give it up: the request's task gets [`Event::Lost`] and the side
//! process is told to cancel it. To resume an answer means to request it again from the offset up
//! to which it was received, after a reconnect or when a part is missing.

use super::is_version_supported;
use super::stream::{Action, AttemptState};
use super::{Arguments, AttemptId, Close, Event, EventSender, Message, Notice, Stage};
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

/// Shortest and longest backoff before reconnecting, in milliseconds.
const BACKOFF_RANGE_MS: (u64, u64) = (20, 1_000);
/// Longest backoff while attempts wait for the connection, in milliseconds.
const BACKOFF_WITH_ATTEMPTS_MAX_MS: u64 = 160;
/// Largest number of cancellations kept while disconnected, to be sent on the next connection.
const PENDING_CANCELS_MAX: usize = 4_096;
/// Smallest delay of a tick that shows that this process itself was paused, so that missing frames
/// don't mean that the connection failed.
const PAUSE_LATENESS_MIN: Duration = Duration::from_millis(300);

/// State of the link's actor.
pub struct State {
    arguments: Arguments,
    actor: ActorRef<Message>,
    attempts: HashMap<AttemptId, AttemptState>,
    /// Attempts of this process that the side process must cancel, kept until the next connection.
    pending_cancels: Vec<AttemptId>,
    /// Number of the latest connection or try to connect. Messages about an older one are ignored.
    connection_number: u64,
    sender: Option<connection::Sender>,
    reader: Option<JoinHandle<()>>,
    /// Whether the side process has sent its `Hello` on the latest connection.
    is_handshake_done: bool,
    /// Incarnation of the side process in its latest `Hello`.
    incarnation: Option<u64>,
    /// Version of the configuration that the side process has.
    peer_configuration_version: u64,
    /// When the latest frame was received or the connection was opened.
    last_received_at: Instant,
    ping_count: u64,
    backoff_ms: u64,
    /// Whether the scheduler was last notified that the side process is reachable.
    is_reachable: bool,
}

impl State {
    /// Creates the state of a link that has not connected yet.
    pub(super) fn new(arguments: Arguments, actor: ActorRef<Message>) -> State {
        State {
            arguments,
            actor,
            attempts: HashMap::new(),
            pending_cancels: Vec::new(),
            connection_number: 0,
            sender: None,
            reader: None,
            is_handshake_done: false,
            incarnation: None,
            peer_configuration_version: 0,
            last_received_at: clock::now(),
            ping_count: 0,
            backoff_ms: BACKOFF_RANGE_MS.0,
            is_reachable: false,
        }
    }

    /// Opens a new connection in the background. The result arrives as [`Message::Connected`].
    pub(super) fn connect(&mut self) {
        self.connection_number += 1;
        let (actor, connection_number) = (self.actor.clone(), self.connection_number);
        let (address, security) = (self.arguments.address, self.arguments.security.clone());
        tokio::spawn(async move {
            let result = connection::connect(address, security.as_ref()).await;
            let _ = actor.cast(Message::Connected(connection_number, result));
        });
    }

    /// Starts to use a new connection and sends `Hello`. Attempts are resumed once the side process
    /// answers with its own.
    pub(super) fn connected(&mut self, connection_number: u64, connection: Connection) {
        if connection_number != self.connection_number {
            return;
        }
        self.last_received_at = clock::now();
        self.is_handshake_done = false;
        self.sender = Some(connection.sender);
        self.reader = Some(tokio::spawn(forward_frames(
            connection.receiver,
            connection_number,
            self.actor.clone(),
        )));
        let configuration = self.arguments.snapshot.version;
        let sender = self.arguments.sender.clone();
        self.send(&Frame::Hello { version: VERSION, sender, configuration });
    }

    /// Handles a connection that failed or could not be opened, and schedules a reconnect with
    /// random, doubling backoff; the longest backoff is shorter while attempts wait. If no
    /// connection could be opened, attempts that another server can replace are abandoned.
    pub(super) fn connection_failed(&mut self, connection_number: u64, error: &Error) {
        if connection_number != self.connection_number {
            return;
        }
        if self.is_reachable {
            tracing::warn!(server = %self.arguments.server, %error, "side process lost");
        }
        self.disconnect();
        if matches!(error, Error::Connect(..)) {
            self.abandon_where(AttemptState::can_change_server);
        }
        let wait_ms = rand::rng().random_range(self.backoff_ms / 2..=self.backoff_ms);
        let max_backoff_ms = if self.attempts.is_empty() {
            BACKOFF_RANGE_MS.1
        } else {
            BACKOFF_WITH_ATTEMPTS_MAX_MS
        };
        self.backoff_ms = (self.backoff_ms * 2).min(max_backoff_ms);
        let actor = self.actor.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            let _ = actor.cast(Message::Reconnect);
        });
    }

    /// Closes the connection. Its attempts stay and wait for a new connection.
    fn disconnect(&mut self) {
        self.sender = None;
        if let Some(reader) = self.reader.take() {
            reader.abort();
        }
        self.is_handshake_done = false;
        if self.is_reachable {
            self.is_reachable = false;
            (self.arguments.notices)(Notice::Down);
        }
        let now = clock::now();
        for attempt in self.attempts.values_mut() {
            attempt.disconnected_at.get_or_insert(now);
        }
    }

    /// Abandons every attempt that matches the predicate.
    fn abandon_where(&mut self, predicate: impl Fn(&AttemptState) -> bool) {
        let matching = self.attempts.iter().filter(|(_, attempt)| predicate(attempt));
        let matching: Vec<AttemptId> = matching.map(|(id, _)| *id).collect();
        matching.into_iter().for_each(|id| self.abandon(id));
    }

    /// Removes an attempt, reports it as lost to the request's task and cancels it on the side
    /// process.
    fn abandon(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempts.remove(&id) {
            attempt.send_event(Event::Lost(attempt.ran()));
            self.cancel(id);
        }
    }

    /// Abandons every attempt and closes the connection.
    pub(super) fn abandon_all(&mut self) {
        self.abandon_where(|_| true);
        self.disconnect();
    }

    /// Starts an attempt by sending its first command. Without a connection the attempt is reported
    /// as lost and not run, and no state is kept.
    pub(super) fn open(
        &mut self,
        id: AttemptId,
        stage: Stage,
        command: Frame,
        events: EventSender,
    ) {
        let is_sent = self.is_handshake_done && self.send(&command);
        let attempt = AttemptState::new(stage, command, events);
        if !is_sent {
            attempt.send_event(Event::Lost(Ran::NotRun));
            return;
        }
        self.attempts.insert(id, attempt);
    }

    /// Sends the command that makes an attempt produce its answer. If it can't be sent, the attempt
    /// is abandoned.
    pub(super) fn advance(&mut self, id: AttemptId, command: Frame) {
        let is_sent =
            self.is_handshake_done && self.attempts.contains_key(&id) && self.send(&command);
        if !is_sent {
            self.abandon(id);
            return;
        }
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.stage = Stage::Answering;
            attempt.command = command;
        }
    }

    /// Ends an attempt whose handle was finished or dropped. `Done` is sent even if the attempt's
    /// state was already removed, as happens when the last part of its answer arrives: the side
    /// process keeps the answer until then. An attempt without state needs no `Cancel`, since it
    /// has ended, was never sent, or was cancelled when it was abandoned.
    pub(super) fn close(&mut self, id: AttemptId, close: Close) {
        let was_open = self.attempts.remove(&id).is_some();
        match close {
            Close::Done => {
                self.send(&Frame::Done(id.0, id.1));
            }
            Close::Cancel if was_open => self.cancel(id),
            Close::Cancel => {}
        }
    }

    /// Cancels an attempt on the side process. Without a connection the cancellation is kept for
    /// the next one, unless too many are pending.
    fn cancel(&mut self, id: AttemptId) {
        let is_sent = self.is_handshake_done && self.send(&Frame::Cancel(id.0, id.1));
        if !is_sent && self.pending_cancels.len() < PENDING_CANCELS_MAX {
            self.pending_cancels.push(id);
        }
    }

    /// Applies a new configuration, and sends it to the side process if connected.
    pub(super) fn configure(&mut self, snapshot: Arc<Snapshot>) {
        self.arguments.snapshot = snapshot;
        if self.is_handshake_done {
            self.send_configuration();
        }
    }

    /// Sends the current configuration, unless the side process has this version or a newer one.
    fn send_configuration(&mut self) {
        let snapshot = self.arguments.snapshot.clone();
        if snapshot.version <= self.peer_configuration_version {
            return;
        }
        let document = snapshot.json.to_vec();
        if self.send(&Frame::Configuration { version: snapshot.version, document }) {
            self.peer_configuration_version = snapshot.version;
        }
    }

    /// Handles a frame; one from an older connection is discarded.
    pub(super) fn received(&mut self, connection_number: u64, frame: Frame) {
        if connection_number != self.connection_number {
            self.arguments.metrics.frames_dropped.inc();
            return;
        }
        self.last_received_at = clock::now();
        match frame {
            Frame::Hello { version, sender, configuration } => {
                self.handle_hello(version, sender.incarnation, configuration);
            }
            Frame::Ping(ping) => {
                self.send(&Frame::Pong(ping));
            }
            Frame::Pong(_) => {}
            Frame::Configuration { version, .. } => {
                self.peer_configuration_version = self.peer_configuration_version.max(version);
            }
            Frame::Leaving => (self.arguments.notices)(Notice::Draining),
            Frame::Loaded(load) => (self.arguments.notices)(Notice::Loaded(load)),
            frame => self.deliver(frame),
        }
    }

    /// Completes the handshake: checks the protocol version and resumes the attempts. If the side
    /// process has restarted (its incarnation changed), attempts that another server can replace
    /// are abandoned and pending cancellations are dropped.
    fn handle_hello(&mut self, version: u32, incarnation: u64, configuration: u64) {
        if !is_version_supported(version) {
            let server = &self.arguments.server;
            tracing::error!(%server, version, ours = VERSION, "side process speaks a newer version");
            let error = Error::Handshake(format!("frames of version {version}"));
            self.connection_failed(self.connection_number, &error);
            return;
        }
        let has_restarted = self.incarnation.is_some_and(|previous| previous != incarnation);
        self.incarnation = Some(incarnation);
        self.peer_configuration_version = configuration;
        self.is_handshake_done = true;
        self.backoff_ms = BACKOFF_RANGE_MS.0;
        self.send_configuration();
        if has_restarted {
            self.pending_cancels.clear();
            self.abandon_where(AttemptState::can_change_server);
        }
        self.resume_all();
        if !self.is_reachable {
            self.is_reachable = true;
            tracing::info!(server = %self.arguments.server, "side process reached");
            (self.arguments.notices)(Notice::Up);
        }
    }

    /// Sends the pending cancellations, then continues every attempt that waited for a connection:
    /// the command is sent again if its result is outstanding, otherwise the answer is resumed.
    fn resume_all(&mut self) {
        for id in std::mem::take(&mut self.pending_cancels) {
            self.cancel(id);
        }
        let interrupted =
            self.attempts.iter_mut().filter(|(_, attempt)| attempt.disconnected_at.is_some());
        let interrupted: Vec<(AttemptId, Stage)> = interrupted
            .map(|(id, attempt)| {
                attempt.disconnected_at = None;
                (*id, attempt.stage)
            })
            .collect();
        for (id, stage) in interrupted {
            match stage {
                Stage::Reserving | Stage::Prefilling => self.resend(id),
                Stage::Reserved | Stage::Prefilled | Stage::Answering => self.resume(id),
            }
        }
    }

    /// Sends a command again. A side process that received it before repeats its answer.
    fn resend(&mut self, id: AttemptId) {
        if let Some(command) = self.attempts.get(&id).map(|attempt| attempt.command.clone()) {
            self.send(&command);
        }
    }

    /// Requests an answer again from its offset, or abandons it after too many resumes.
    fn resume(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let offset = attempt.cursor.0;
        if !attempt.record_resume() {
            self.abandon(id);
            return;
        }
        self.arguments.metrics.resumes.inc();
        self.send(&Frame::Resume(id.0, id.1, offset));
    }

    /// Passes a frame to its attempt, and the load on it to the scheduler.
    fn deliver(&mut self, frame: Frame) {
        let Some((id, load)) = attempt_and_load(&frame) else {
            self.arguments.metrics.frames_dropped.inc();
            return;
        };
        if let Some(load) = load {
            (self.arguments.notices)(Notice::Loaded(load));
        }
        let Some(attempt) = self.attempts.get_mut(&id) else {
            self.arguments.metrics.frames_dropped.inc();
            return;
        };
        match attempt.handle_frame(frame) {
            Action::Continue => {}
            Action::Resume => self.resume(id),
            Action::Resend => self.resend(id),
            Action::Remove => {
                self.attempts.remove(&id);
            }
            Action::Abandon => self.abandon(id),
            Action::Discard => self.arguments.metrics.frames_dropped.inc(),
        }
    }

    /// Abandons attempts that waited too long for a connection, replaces a connection that timed
    /// out, and sends a heartbeat.
    pub(super) fn tick(&mut self, tick: Tick) {
        let settings = self.arguments.settings;
        self.abandon_where(|attempt| {
            let can_change_server = attempt.can_change_server();
            let timeout = if can_change_server {
                settings.change_server_timeout
            } else {
                settings.resume_timeout
            };
            attempt
                .disconnected_at
                .is_some_and(|disconnected_at| tick.now.since(disconnected_at) >= timeout)
        });
        if self.sender.is_none() {
            return;
        }
        // A tick that was sent this long after it was due shows that this process was paused and
        // could not receive frames, so the timeout begins anew.
        if tick.late >= PAUSE_LATENESS_MIN {
            self.last_received_at = tick.now;
        }
        if tick.now.since(self.last_received_at) >= settings.heartbeat_timeout {
            self.arguments.metrics.connections_silent.inc();
            tracing::warn!(server = %self.arguments.server, "heartbeat timed out, reconnecting");
            self.disconnect();
            self.connect();
            return;
        }
        self.ping_count += 1;
        let ping = Frame::Ping(self.ping_count);
        self.send(&ping);
    }

    /// Sends a frame. Returns `false` if there is no connection, it has failed, or the frame can't
    /// be encoded.
    fn send(&mut self, frame: &Frame) -> bool {
        let Some(sender) = &self.sender else { return false };
        match sender.send(frame) {
            Ok(()) => true,
            Err(Error::Frame(_)) => false,
            Err(error) => {
                let _ = self.actor.cast(Message::Broken(self.connection_number, error));
                false
            }
        }
    }
}

/// Passes the frames of a connection to the actor until the connection fails.
async fn forward_frames(mut receiver: Receiver, connection_number: u64, actor: ActorRef<Message>) {
    loop {
        let message = match receiver.receive().await {
            Ok(frame) => Message::Received(connection_number, Box::new(frame)),
            Err(error) => {
                let _ = actor.cast(Message::Broken(connection_number, error));
                return;
            }
        };
        if actor.cast(message).is_err() {
            return;
        }
    }
}

/// Returns the attempt that a frame belongs to, and the load report of the server that it carries.
/// Returns `None` for a frame that side processes don't send about attempts.
fn attempt_and_load(frame: &Frame) -> Option<((Request, Attempt), Option<Load>)> {
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
