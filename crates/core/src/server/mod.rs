//! State machine of one backend server, run by its side process: slots, waiting requests, leases
//! and transfers.
//!
//! [`Server`] is a table of holds. It handles each [`Event`] at a given time and returns
//! [`Effect`]s for the caller to carry out; it does no I/O itself. A hold is the resources that one
//! attempt of a request occupies on the server: a place in the queue, a slot, engine memory, a
//! booking on the link. Every hold is owned by the entry host that requested it, and ends when its
//! owner is gone, its lease expires or its answer is delivered.
//!
//! The side process sends orders (commands) to the engine only under its authority: the epoch that
//! it holds on the backend server, which is also the fencing number of its orders. A slot is
//! promised to a hold when a running answer is expected to free it in time. A plain service is a
//! backend server without an engine; calls to it are forwarded.

pub mod count;
pub mod event;
pub mod fair;
pub mod hold;
pub mod link;
pub mod owner;
pub mod prefix;
pub mod settings;
pub mod view;

mod answer;
mod authority;
mod capacity;
mod decode;
mod estimate;
mod frame;
mod free;
mod lease;
mod order;
mod plain;
mod prefill;
mod promise;
mod reconcile;

pub use authority::{Authority, successor_name};
pub use count::Counter;
pub use event::{Connection, Effect, Event, Fault, Order, Task};
pub use hold::{Hold, Key};
pub use settings::Settings;

use crate::time::Instant;
use chestnutrack_document::model;
use chestnutrack_wire::frame::{Failure, Sender};
use chestnutrack_wire::{Attempt, Frame, Request};
use slotmap::SlotMap;
use std::collections::HashMap;

/// A request and its attempt number; the server runs each pair at most once.
pub type Id = (Request, Attempt);

/// The table of one backend server.
pub struct Server {
    settings: Settings,
    /// Name and incarnation of this side process.
    sender: Sender,
    /// Version of the configuration in force; 0 for none.
    config_version: u64,
    /// The server's entry in the configuration in force.
    config: Option<model::Server>,
    authority: Authority,
    /// When the server began to drain; `None` while it is not leaving.
    leaving_since: Option<Instant>,
    /// Whether the process was asked to terminate.
    terminated: bool,
    holds: SlotMap<Key, Hold>,
    /// Key of the hold of each attempt.
    index: HashMap<Id, Key>,
    owners: owner::Owners,
    ended: hold::EndedAttempts,
    scheduler: fair::Scheduler,
    link: link::Link,
    estimates: estimate::Estimates,
    reconcile: reconcile::Reconcile,
    /// Orders withheld until authority has been checked.
    pending: Vec<order::Pending>,
    /// Connections of replacement side processes, which claim the server and wait for this process
    /// to step down.
    successors: Vec<Connection>,
    /// Time of the last event, for detecting pauses of this process.
    last_event: Instant,
    /// Whether slots must be assigned again after the current event.
    needs_assignment: bool,
    counts: count::Counts,
    /// Effects of the current event.
    effects: Vec<Effect>,
}

impl Server {
    /// Creates an empty table for a side process without authority or configuration.
    pub fn new(settings: Settings, sender: Sender, now: Instant) -> Server {
        Server {
            ended: hold::EndedAttempts::new(settings.ended_attempts_max),
            estimates: estimate::Estimates::new(&settings),
            settings,
            sender,
            config_version: 0,
            config: None,
            authority: Authority::None,
            leaving_since: None,
            terminated: false,
            holds: SlotMap::with_key(),
            index: HashMap::new(),
            owners: owner::Owners::default(),
            scheduler: fair::Scheduler::default(),
            link: link::Link::default(),
            reconcile: reconcile::Reconcile::default(),
            pending: Vec::new(),
            successors: Vec::new(),
            last_event: now,
            needs_assignment: false,
            counts: count::Counts::default(),
            effects: Vec::new(),
        }
    }

    /// Handles an event and returns the effects to carry out, in order.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        self.detect_pause(now);
        self.dispatch(now, event);
        if std::mem::take(&mut self.needs_assignment) {
            self.assign_slots(now);
        }
        std::mem::take(&mut self.effects)
    }

    /// Calls the handler of an event.
    fn dispatch(&mut self, now: Instant, event: Event) {
        match event {
            Event::Tick { delay } => self.tick(now, delay),
            Event::Frame(connection, frame) => self.handle_frame(now, connection, frame),
            Event::Disconnected(connection) => self.handle_disconnect(now, connection),
            Event::Configured { version, server } => self.configure(now, version, server),
            Event::Terminate => self.terminate(now),
            Event::Authority(authority) => self.set_authority(now, authority),
            Event::Prefilled(key, result) => self.handle_prefilled(now, key, result),
            Event::Imported(key, result) => self.handle_imported(now, key, result),
            Event::Token(key, offset, text) => self.handle_token(now, key, offset, text),
            Event::StreamEnd(key, total, finish) => self.handle_stream_end(now, key, total, finish),
            Event::StreamBroken(key, fault) => self.handle_stream_broken(now, key, fault),
            Event::Cancelled(id, result) => self.handle_cancelled(now, id, result),
            Event::HoldsListed(result) => self.handle_holds_listed(now, result),
            Event::Head(key, status, headers) => self.handle_head(key, status, headers),
            Event::Body(key, bytes) => self.handle_body(key, bytes),
            Event::BodyEnd(key) => self.handle_body_end(now, key),
            Event::CallFailed(key, ran) => self.handle_call_failed(now, key, ran),
        }
    }

    /// Puts a configuration in force if it is newer than the current one. If the document no longer
    /// lists the server, the last entry stays in use and the server leaves.
    fn configure(&mut self, now: Instant, version: u64, server: Option<model::Server>) {
        if version <= self.config_version {
            return;
        }
        self.config_version = version;
        let leaving = server.as_ref().is_none_or(|server| server.leaving);
        if server.is_some() {
            self.config = server;
        }
        self.link.set_rate(self.config.as_ref().map_or(0, |server| server.link_bytes_per_s));
        self.set_leaving(now, leaving || self.terminated);
        self.needs_assignment = true;
    }

    /// Starts to drain, because the process was asked to terminate. Later configurations don't end
    /// the drain.
    fn terminate(&mut self, now: Instant) {
        self.terminated = true;
        self.set_leaving(now, true);
    }

    /// Starts or ends the drain. At its start, all entry hosts are notified and the waiting
    /// requests are refused.
    fn set_leaving(&mut self, now: Instant, leaving: bool) {
        if leaving == self.leaving_since.is_some() {
            return;
        }
        self.leaving_since = leaving.then_some(now);
        if leaving {
            for connection in self.owners.connections() {
                self.effects.push(Effect::Send(connection, Frame::Leaving));
            }
            self.refuse_waiting(now);
        }
    }

    /// Returns `true` if the server accepts no new work because it is draining.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Returns `true` if no hold exists and no request found on the engine awaits a claim.
    pub fn is_idle(&self) -> bool {
        self.holds.is_empty() && self.reconcile.is_settled()
    }

    /// Returns `true` if the process was asked to terminate and has no work left.
    pub fn can_exit(&self) -> bool {
        self.terminated && self.is_idle()
    }

    /// Returns `true` if the server accepts work: it has authority and a configuration, and is not
    /// leaving.
    pub fn is_ready(&self) -> bool {
        self.config.is_some() && self.authority.is_held() && self.leaving_since.is_none()
    }

    /// Returns `true` if the configuration gives the server the prefill role.
    pub fn is_prefill(&self) -> bool {
        self.role() == Some(model::Role::Prefill)
    }

    /// Returns the version of the configuration in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.config_version
    }

    /// Increments a counter.
    fn count(&mut self, counter: Counter) {
        self.counts.add(counter);
    }

    /// Sends a frame on the connection that receives the answer of the hold, if it is open.
    fn send(&mut self, key: Key, frame: Frame) {
        if let Some(connection) = self.holds.get(key).and_then(|hold| hold.connection) {
            self.effects.push(Effect::Send(connection, frame));
        }
    }

    /// Ends a hold with a failure and frees its resources.
    fn fail(&mut self, now: Instant, key: Key, failure: Failure) {
        self.fail_with(now, key, failure, |server| server.free(now, key));
    }

    /// Ends a hold with a failure. `free` frees its resources first, so that the load sent with the
    /// failure no longer includes them.
    fn fail_with(
        &mut self,
        now: Instant,
        key: Key,
        failure: Failure,
        free: impl FnOnce(&mut Server),
    ) {
        let Some(hold) = self.holds.get(key) else { return };
        let ((request, attempt), connection) = (hold.id, hold.connection);
        self.count(Counter::Failed(failure.cause, failure.ran));
        self.ended.add(now, (request, attempt), Some(failure));
        free(self);
        let load = self.load(now);
        if let Some(connection) = connection {
            let frame = Frame::Failed(request, attempt, failure, load);
            self.effects.push(Effect::Send(connection, frame));
        }
    }
}
