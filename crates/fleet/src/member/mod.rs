//! The actor that owns one member's tables and connections.
//!
//! The actor receives every event as a [`Message`]. The submodules handle them: [`table`] (joining,
//! removal, leaving), [`config`] (documents), [`limit`] (tokens) and [`exchange`] (frames).
//!
//! The table of members lists the entry hosts of the service. Members vouch for each other: a peer
//! that vouches for this member confirms that the peer's table lists it, and thereby gives it a
//! lease. A member is current while it holds an unexpired lease from every peer that it depends on.

mod config;
mod exchange;
mod limit;
mod table;

use crate::limit::Refusal;
use crate::metric::Metrics;
use crate::page::Pages;
use crate::peer::{self, Handshake};
use crate::snapshot::Snapshot;
use crate::store::{self, Validation};
use crate::{Settings, claim};
use chestnutrack_core::config::Config;
use chestnutrack_core::limit::{Limits, WaiterKey};
use chestnutrack_core::member::{Identity, Membership, Table};
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use chestnutrack_store::client::Client;
use chestnutrack_wire::connection::Sender;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};
use tokio::task::{AbortHandle, JoinSet};

/// Period of the member's ticks.
pub(crate) const TICK_PERIOD: Duration = Duration::from_millis(25);
/// Period at which pages and gauges are updated.
const REPORT_PERIOD: Duration = Duration::from_millis(200);
/// Time between two ticks from which the process is considered to have been paused or starved.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// Request for tokens, with the channel for its result.
pub(crate) struct DebitRequest {
    pub(crate) organisation: Arc<str>,
    pub(crate) tokens: u64,
    pub(crate) max_wait: Duration,
    pub(crate) reply: oneshot::Sender<Result<(), Refusal>>,
}

/// Message to the member's actor.
pub(crate) enum Message {
    /// The timer has ticked.
    Tick,
    /// Debit tokens for a request.
    Debit(DebitRequest),
    /// Refund an organisation's unused tokens.
    Refund(Arc<str>, u64),
    /// An event on a connection to a peer.
    Peer(peer::Event),
    /// The table of members was read from the object interface.
    Members(store::Reading),
    /// The accepted document was read.
    Accepted(store::Reading),
    /// The operators' document was read.
    Document(store::Reading),
    /// Names of the hosts that the platform lists as leaving.
    Leaving(HashSet<Arc<str>>),
    /// A write of the table has ended; `None` if it failed or its outcome is unknown.
    TableWritten(Option<Table>),
    /// The validation of a document has ended.
    Validated(store::Candidate, Validation),
    /// Query whether the process that holds a claim may still be alive.
    Liveness(Identity, oneshot::Sender<bool>),
    /// Query whether this member deletes expired claims.
    IsSweeper(oneshot::Sender<bool>),
    /// The host leaves; the reply is sent once the table in force no longer lists this member.
    Leave(oneshot::Sender<()>),
}

/// State that the actor shares with the handle.
#[derive(Clone)]
pub(crate) struct Shared {
    pub(crate) snapshots: watch::Sender<Arc<Snapshot>>,
    /// When the trust in the configuration expires if no further message arrives, in microseconds.
    pub(crate) trusted_until: Arc<AtomicU64>,
    pub(crate) pages: watch::Sender<Arc<Pages>>,
}

/// Arguments of the actor.
pub(crate) struct Start {
    pub(crate) settings: Settings,
    pub(crate) client: Client,
    pub(crate) listener: TcpListener,
    pub(crate) metrics: Metrics,
    pub(crate) shared: Shared,
}

/// The connections to one peer.
struct Link {
    identity: Identity,
    /// Sender of the connection that this member dialed, while it is open.
    sender: Option<Sender>,
    /// Sender of the connection that the peer dialed, while it is open.
    accepted: Option<Sender>,
    /// Task that dials the peer.
    task: AbortHandle,
    /// When the next vouch request is due.
    next_vouch_at: Instant,
}

/// State of one member.
pub(crate) struct State {
    settings: Settings,
    client: Client,
    myself: ActorRef<Message>,
    handshake: Handshake,
    metrics: Metrics,
    shared: Shared,
    tasks: JoinSet<()>,

    membership: Membership,
    links: BTreeMap<Arc<str>, Link>,
    /// Peer and send time of each unanswered vouch request, by the request's number.
    vouch_requests: HashMap<u64, (Identity, Instant)>,
    next_request_id: u64,
    table: table::Progress,

    config: Config,
    documents: config::Progress,

    limits: Limits,
    /// Debits that are queued for tokens.
    waiters: HashMap<WaiterKey, limit::Waiter>,

    last_tick: Instant,
    last_report: Instant,
}

/// The member's actor.
pub(crate) struct Member;

impl Actor for Member {
    type Msg = Message;
    type State = State;
    type Arguments = Start;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        start: Start,
    ) -> Result<State, ActorProcessingErr> {
        let mut state = State::new(myself, start);
        state.follow_store();
        Ok(state)
    }

    async fn handle(
        &self,
        _: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        state.handle_message(message);
        Ok(())
    }
}

impl State {
    /// Creates the state and starts to accept connections from peers.
    fn new(myself: ActorRef<Message>, start: Start) -> State {
        let Start { settings, client, listener, metrics, shared } = start;
        let me = Identity { name: settings.name.clone(), incarnation: settings.incarnation };
        let configuration = Arc::new(AtomicU64::new(0));
        let security = settings.security.clone();
        let handshake = Handshake { me: me.clone(), configuration, security };
        let mut tasks = JoinSet::new();
        tasks.spawn(peer::accept(listener, handshake.clone(), forward_to(&myself, Message::Peer)));
        let now = clock::now();
        State {
            settings,
            client,
            myself,
            handshake,
            metrics,
            shared,
            tasks,
            membership: Membership::new(me),
            links: BTreeMap::new(),
            vouch_requests: HashMap::new(),
            next_request_id: 1,
            table: table::Progress::default(),
            config: Config::default(),
            documents: config::Progress::default(),
            limits: Limits::default(),
            waiters: HashMap::new(),
            last_tick: now,
            last_report: Instant::default(),
        }
    }

    /// Starts the tasks that report changes of the stored table, of the documents and of the host
    /// list.
    fn follow_store(&mut self) {
        self.follow_object(store::MEMBERS, Message::Members);
        self.follow_object(store::ACCEPTED, Message::Accepted);
        self.follow_object(store::DOCUMENTS, Message::Document);
        let on_hosts = forward_to(&self.myself, Message::Leaving);
        self.tasks.spawn(store::follow_hosts(self.client.clone(), on_hosts));
    }

    /// Starts a task that sends each reading of one of the service's objects as a message.
    fn follow_object(&mut self, kind: &'static str, message: fn(store::Reading) -> Message) {
        let (client, service) = (self.client.clone(), self.settings.service.clone());
        self.tasks.spawn(store::follow(client, kind, service, forward_to(&self.myself, message)));
    }

    /// Handles a message; the time at which handling begins counts as the time of the event.
    fn handle_message(&mut self, message: Message) {
        let now = clock::now();
        match message {
            Message::Tick => self.tick(now),
            Message::Debit(debit) => self.debit(now, debit),
            Message::Refund(organisation, tokens) => self.refund(now, &organisation, tokens),
            Message::Peer(event) => self.handle_peer_event(now, event),
            Message::Members(reading) => self.handle_members(now, &reading),
            Message::Accepted(reading) => self.handle_accepted(now, &reading),
            Message::Document(reading) => self.handle_document(now, reading),
            Message::Leaving(hosts) => self.handle_leaving_hosts(hosts),
            Message::TableWritten(table) => self.handle_table_written(now, table),
            Message::Validated(candidate, validation) => {
                self.handle_validation(now, &candidate, &validation)
            }
            Message::Liveness(identity, reply) => {
                // A member that is not current may not know yet that the holder has joined, so it
                // reports the holder as alive.
                let current = self.membership.is_current(now);
                let _ = reply.send(!current || self.may_hold_claims(&identity));
            }
            Message::IsSweeper(reply) => {
                let _ = reply.send(self.is_sweeper(now));
            }
            Message::Leave(reply) => self.leave(now, reply),
        }
    }

    /// Does the periodic work, and detects that the process was paused since the previous tick.
    fn tick(&mut self, now: Instant) {
        if now.since(self.last_tick) >= PAUSE_THRESHOLD {
            self.membership.record_resume(now);
        }
        self.last_tick = now;
        self.run_table_action(now);
        self.send_vouch_requests(now);
        self.maintain_documents(now);
        self.run_limits(now);
        self.publish(now);
        if now.since(self.last_report) >= REPORT_PERIOD {
            self.last_report = now;
            self.report(now);
        }
        while self.tasks.try_join_next().is_some() {}
    }

    /// Updates the gauges and the operators' pages.
    fn report(&mut self, now: Instant) {
        let is_store_up = self.table.is_store_up(now);
        self.metrics.platform_up.set(i64::from(is_store_up));
        self.metrics.current.set(i64::from(self.membership.is_current(now)));
        let members = self.membership.table().map_or(0, |table| table.members.len());
        self.metrics.members.set(i64::try_from(members).unwrap_or(i64::MAX));
        let statuses = self.limits.statuses(now);
        let divisor = self.membership.divisor(now);
        let pages =
            Pages::new(now, &self.membership, divisor, &self.config, &statuses, is_store_up);
        let pages = pages.with_trusted(self.shared.snapshots.borrow().trusted);
        self.shared.pages.send_replace(Arc::new(pages));
    }

    /// Returns `true` if a process is this one or is listed in the table in force.
    fn may_hold_claims(&self, identity: &Identity) -> bool {
        self.membership.me() == identity || self.membership.lists(identity)
    }

    /// Returns `true` for the first member of the table, while it is current.
    fn is_sweeper(&self, now: Instant) -> bool {
        let table = self.membership.table();
        let is_first = table.and_then(|table| table.position(self.membership.me())) == Some(0);
        is_first && self.membership.is_current(now)
    }

    /// Runs a task and sends its result to this actor.
    fn spawn(&mut self, task: impl Future<Output = Message> + Send + 'static) {
        let myself = self.myself.clone();
        self.tasks.spawn(async move {
            let _ = myself.send_message(task.await);
        });
    }
}

impl claim::Liveness for ActorRef<Message> {
    async fn is_alive(&self, identity: Identity) -> bool {
        let (reply, answer) = oneshot::channel();
        let sent = self.send_message(Message::Liveness(identity, reply)).is_ok();
        !sent || answer.await.unwrap_or(true)
    }

    async fn is_sweeper(&self) -> bool {
        let (reply, answer) = oneshot::channel();
        self.send_message(Message::IsSweeper(reply)).is_ok() && answer.await.unwrap_or(false)
    }
}

/// Returns a function that converts an event to a message and sends it to the actor.
fn forward_to<T: 'static>(
    actor: &ActorRef<Message>,
    message: impl Fn(T) -> Message + Clone + Send + Sync + 'static,
) -> impl Fn(T) + Clone + Send + Sync + 'static {
    let actor = actor.clone();
    move |event| {
        let _ = actor.send_message(message(event));
    }
}

/// Sets the configuration version that the `Hello` frames announce.
fn set_announced_version(handshake: &Handshake, version: u64) {
    handshake.configuration.store(version, Ordering::Relaxed);
}
