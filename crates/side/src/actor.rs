//! The actor that owns the server's table: it passes events to the table, carries out the effects,
//! and publishes the metrics and the pages that operators read.
//!
//! The table records the holds of the backend server: the slots and memory that attempts occupy. An
//! order asks the engine to work on a hold; a call passes a request on to a plain service, which is
//! a backend server without an engine. The configuration is the document that entry hosts send.

use crate::authority::Claimant;
use crate::config::Config;
use crate::engine::{self, IssuedOrder};
use crate::message::Message;
use crate::metrics::Metrics;
use crate::plain;
use crate::settings::Settings;
use chestnutrack_core::server::prefix::Prefixes;
use chestnutrack_core::server::{Connection, Effect, Event, Key, Server};
use chestnutrack_core::time::Instant;
use chestnutrack_engine::client as engine_client;
use chestnutrack_process::admin::Readiness;
use chestnutrack_process::clock;
use chestnutrack_store::client as platform_client;
use chestnutrack_wire::Frame;
use chestnutrack_wire::connection::{Security, Sender};
use prometheus::Registry;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// Minimum interval between updates of the pages and metrics.
const PUBLISH_PERIOD: Duration = Duration::from_millis(200);
/// Minimum interval between polls for events of the engine's prefix cache.
const CACHE_POLL_PERIOD: Duration = Duration::from_millis(500);
/// Maximum number of prefixes on the page `/v1/prefixes`.
const PREFIXES_SHOWN_MAX: usize = 1_000;
/// Delay before the actor stops, so that the last frames can be sent.
const FLUSH_DELAY: Duration = Duration::from_millis(200);

/// Actor of the side process.
pub struct Side;

/// Arguments with which the actor starts.
pub struct Arguments {
    /// Settings, with the addresses on which the process actually listens.
    pub settings: Settings,
    /// TLS identity and trusted authorities; `None` for plain TCP.
    pub security: Option<Security>,
    /// Registry for the metrics of the clients.
    pub registry: Registry,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Readiness that the operators' interface reports.
    pub ready: Readiness,
    /// Publishes the pages.
    pub publisher: watch::Sender<Arc<Pages>>,
    /// Publishes whether the table is busy, which makes the ticks more frequent.
    pub busy: watch::Sender<bool>,
    /// Random number drawn when the process started.
    pub incarnation: u64,
}

/// The pages for operators, as of the last update.
#[derive(Clone, Debug, Default)]
pub struct Pages {
    state: serde_json::Value,
    holds: serde_json::Value,
    prefixes: serde_json::Value,
}

impl Pages {
    /// Returns the page at a path, or `None` if there is no such page.
    pub fn page(&self, path: &str) -> Option<serde_json::Value> {
        match path {
            "/v1/state" => Some(self.state.clone()),
            "/v1/holds" => Some(self.holds.clone()),
            "/v1/prefixes" => Some(self.prefixes.clone()),
            _ => None,
        }
    }
}

/// State of the actor.
pub struct State {
    arguments: Arguments,
    claimant: Claimant,
    server: Server,
    config: Config,
    engine: engine_client::Client,
    connections: HashMap<Connection, Sender>,
    /// Task that follows the stream or call of each hold.
    tasks: HashMap<Key, AbortHandle>,
    prefixes: Prefixes,
    /// Time of the next poll for events of the engine's prefix cache.
    next_cache_poll: Instant,
    /// Time of the last update of the pages.
    published_at: Instant,
    /// Whether the actor has been scheduled to stop.
    exiting: bool,
}

impl Actor for Side {
    type Msg = Message;
    type State = State;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        arguments: Arguments,
    ) -> Result<State, ActorProcessingErr> {
        let settings = &arguments.settings;
        let registry = Some(&arguments.registry);
        let claimant = Claimant {
            client: platform_client::Client::new(settings.platform, Default::default(), registry),
            name: settings.name.clone(),
            incarnation: arguments.incarnation,
            address: settings.listen,
            security: arguments.security.clone(),
        };
        let engine = engine_client::Client::new(settings.backend, Default::default(), registry);
        let sender = chestnutrack_wire::frame::Sender {
            name: settings.name.clone(),
            incarnation: arguments.incarnation,
        };
        let now = clock::now();
        let server = Server::new(Default::default(), sender, now);
        let initial_claimant = claimant.clone();
        tokio::spawn(async move {
            let authority = initial_claimant.claim().await;
            let _ = myself.cast(Message::Event(Event::Authority(authority)));
        });
        Ok(State {
            arguments,
            claimant,
            server,
            config: Config::default(),
            engine,
            connections: HashMap::new(),
            tasks: HashMap::new(),
            prefixes: Prefixes::default(),
            next_cache_poll: now,
            published_at: now,
            exiting: false,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Opened(connection, sender) => {
                state.connections.insert(connection, sender);
            }
            Message::Closed(connection) => {
                state.connections.remove(&connection);
                state.handle_event(&myself, Event::Disconnected(connection));
            }
            Message::CacheEvents(changes, newest_number) => {
                state.prefixes.apply(clock::now(), &changes, newest_number);
            }
            Message::Event(event) => {
                // Only a frame with a document has an effect here; it then also goes to the table.
                state.apply_configuration(&myself, &event);
                let is_tick = matches!(event, Event::Tick { .. });
                state.handle_event(&myself, event);
                if is_tick {
                    state.tick(&myself);
                }
            }
        }
        Ok(())
    }
}

impl State {
    /// Passes an event to the table, carries out the effects, and publishes whether the table is
    /// busy.
    fn handle_event(&mut self, myself: &ActorRef<Message>, event: Event) {
        let now = clock::now();
        self.log_event(&event);
        for effect in self.server.handle(now, event) {
            self.carry_out(myself, now, effect);
        }
        let is_busy = !self.server.is_idle();
        self.arguments
            .busy
            .send_if_modified(|current| std::mem::replace(current, is_busy) != is_busy);
    }

    /// Logs a change of authority or configuration; other events are not logged.
    fn log_event(&self, event: &Event) {
        match event {
            Event::Authority(authority) => tracing::info!(?authority, "authority"),
            Event::Configured { version, server } => {
                let leaving = server.as_ref().is_none_or(|server| server.leaving);
                tracing::info!(version, listed = server.is_some(), leaving, "configuration");
            }
            _ => {}
        }
    }

    /// Applies the configuration in a frame; ignores other events.
    fn apply_configuration(&mut self, myself: &ActorRef<Message>, event: &Event) {
        let Event::Frame(_, Frame::Configuration { version, document }) = event else { return };
        let settings = &self.arguments.settings;
        match self.config.apply(*version, document, &settings.service, &settings.name) {
            Ok(Some(update)) => {
                let event = Event::Configured { version: update.version, server: update.server };
                self.handle_event(myself, event);
            }
            Ok(None) => {}
            Err(findings) => {
                self.arguments.metrics.refused_configurations.inc();
                tracing::warn!(version, %findings, "configuration refused");
            }
        }
    }

    /// Carries out an effect that the table returned. Tasks that wait for the engine, the plain
    /// service or the platform's store run beside the actor and report their result as an event.
    fn carry_out(&mut self, myself: &ActorRef<Message>, now: Instant, effect: Effect) {
        match effect {
            Effect::Send(connection, frame) => self.send(myself, connection, &frame),
            Effect::SendConfiguration(connection) => {
                let version = self.config.version();
                let document = self.config.document().to_vec();
                self.send(myself, connection, &Frame::Configuration { version, document });
            }
            Effect::Close(connection) => {
                self.connections.remove(&connection);
            }
            Effect::Order(order) => {
                let hold = order.hold;
                let is_streaming = order.task.is_streaming();
                // An order older than this was issued before this process was paused, so its
                // authority over the server is in doubt and the order must not be sent.
                let max_age = chestnutrack_core::server::settings::PAUSE_THRESHOLD;
                let issued = IssuedOrder { order, issued_at: now, max_age };
                let future = engine::carry_out(self.engine.clone(), issued, myself.clone());
                let task = tokio::spawn(future).abort_handle();
                if is_streaming {
                    self.replace_task(hold, task);
                }
            }
            Effect::Call(key, forward) => {
                let backend = self.arguments.settings.backend;
                let future = plain::call(backend, key, forward, myself.clone());
                let task = tokio::spawn(future).abort_handle();
                self.replace_task(key, task);
            }
            Effect::Abort(key) => {
                if let Some(task) = self.tasks.remove(&key) {
                    task.abort();
                }
            }
            Effect::RecheckAuthority(epoch) => {
                let claimant = self.claimant.clone();
                let myself = myself.clone();
                tokio::spawn(async move {
                    let authority = claimant.recheck(epoch).await;
                    let _ = myself.cast(Message::Event(Event::Authority(authority)));
                });
            }
        }
    }

    /// Sends a frame on a connection. If that fails, the connection is removed and reported as
    /// closed.
    fn send(&mut self, myself: &ActorRef<Message>, connection: Connection, frame: &Frame) {
        let Some(sender) = self.connections.get(&connection) else { return };
        self.arguments.metrics.sent.inc();
        if sender.send(frame).is_err() {
            self.connections.remove(&connection);
            let _ = myself.cast(Message::Closed(connection));
        }
    }

    /// Records the task of a hold and aborts the previous one.
    fn replace_task(&mut self, key: Key, task: AbortHandle) {
        if let Some(old) = self.tasks.insert(key, task) {
            old.abort();
        }
    }

    /// Does the periodic work after the table has handled a tick: updates readiness, polls cache
    /// events, publishes the pages, and schedules the stop of the actor once the table can exit.
    fn tick(&mut self, myself: &ActorRef<Message>) {
        let now = clock::now();
        self.arguments.ready.set(self.server.is_ready());
        self.tasks.retain(|_, task| !task.is_finished());
        if self.server.is_prefill() && now >= self.next_cache_poll {
            self.next_cache_poll = now + CACHE_POLL_PERIOD;
            let (client, after) = (self.engine.clone(), self.prefixes.newest());
            tokio::spawn(engine::poll_cache_events(client, after, myself.clone()));
        }
        if now.since(self.published_at) >= PUBLISH_PERIOD {
            self.publish(now);
        }
        if self.server.can_exit() && !self.exiting {
            self.exiting = true;
            let myself = myself.clone();
            tokio::spawn(async move {
                tokio::time::sleep(FLUSH_DELAY).await;
                myself.stop(None);
            });
        }
    }

    /// Updates the metrics and the pages for operators.
    fn publish(&mut self, now: Instant) {
        self.published_at = now;
        self.arguments.metrics.update(&self.server, now);
        let mut state = serde_json::json!(self.server.view(now));
        state["name"] = serde_json::json!(self.arguments.settings.name);
        state["incarnation"] = serde_json::json!(self.arguments.incarnation);
        let holds = serde_json::json!({ "holds": self.server.view_holds(now) });
        let shown: Vec<_> = self
            .prefixes
            .iter()
            .take(PREFIXES_SHOWN_MAX)
            .map(|name| format!("{name:016x}"))
            .collect();
        let prefixes = serde_json::json!({
            "held": self.prefixes.len(),
            "newest_event": self.prefixes.newest(),
            "lost_events": self.prefixes.gaps(),
            "prefixes": shown,
        });
        let pages = Pages { state, holds, prefixes };
        self.arguments.publisher.send_replace(Arc::new(pages));
    }
}
