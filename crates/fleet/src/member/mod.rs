//! The actor that owns one member's tables and connections.
//!
//! Everything that happens comes in as a [`Message`]. The systems that follow run over the tables:
//! [`table`] (joining, removal, leaving), [`config`] (documents), [`limit`] (tokens) and
//! [`exchange`] (frames).

mod config;
mod exchange;
mod limit;
mod table;

use crate::limit::Refusal;
use crate::metric::Metric;
use crate::page::Pages;
use crate::peer::{self, Greeting};
use crate::snapshot::Snapshot;
use crate::store::{self, Judgement};
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
pub(crate) const TICK: Duration = Duration::from_millis(25);
/// Period at which pages and gauges are brought up to date.
const REPORT: Duration = Duration::from_millis(200);
/// A tick so late that the process was stopped or starved.
const WOKEN: Duration = Duration::from_millis(500);

/// A debit and where its end is told.
pub(crate) struct Debit {
    pub(crate) organisation: Arc<str>,
    pub(crate) tokens: u64,
    pub(crate) within: Duration,
    pub(crate) reply: oneshot::Sender<Result<(), Refusal>>,
}

/// What happens to a member.
pub(crate) enum Message {
    /// Time goes on.
    Tick,
    /// A request needs tokens.
    Debit(Debit),
    /// Tokens were not used.
    Refund(Arc<str>, u64),
    /// Something happened on a connection.
    Peer(peer::Event),
    /// The table of members was seen in the object interface.
    Members(store::Seen),
    /// An accepted document was seen.
    Accepted(store::Seen),
    /// An operator's document was seen.
    Document(store::Seen),
    /// Hosts that the platform lists as leaving.
    Leaving(HashSet<Arc<str>>),
    /// A write of the table has ended.
    Wrote(Option<Table>),
    /// A document was judged.
    Judged(store::Case, Judgement),
    /// Somebody asks whether a claim's holder is a member.
    Lives(Identity, oneshot::Sender<bool>),
    /// Somebody asks whether this member deletes expired claims.
    Sweeps(oneshot::Sender<bool>),
    /// The host leaves; told once the table is written or that has failed.
    Leave(oneshot::Sender<()>),
}

/// What the handle shares with the actor.
#[derive(Clone)]
pub(crate) struct Shared {
    pub(crate) snapshots: watch::Sender<Arc<Snapshot>>,
    /// Until when the configuration is trusted if nothing more is heard, in microseconds.
    pub(crate) trusted_until: Arc<AtomicU64>,
    pub(crate) pages: watch::Sender<Arc<Pages>>,
}

/// What an actor starts with.
pub(crate) struct Start {
    pub(crate) settings: Settings,
    pub(crate) client: Client,
    pub(crate) listener: TcpListener,
    pub(crate) metric: Metric,
    pub(crate) shared: Shared,
}

/// The connections to a peer.
struct Link {
    identity: Identity,
    /// On the connection that this member dialed.
    sender: Option<Sender>,
    /// On the one that the peer dialed.
    accepted: Option<Sender>,
    task: AbortHandle,
    next_ask: Instant,
}

/// The tables of one member.
pub(crate) struct State {
    settings: Settings,
    client: Client,
    myself: ActorRef<Message>,
    greeting: Greeting,
    metric: Metric,
    shared: Shared,
    tasks: JoinSet<()>,

    membership: Membership,
    links: BTreeMap<Arc<str>, Link>,
    asks: HashMap<u64, (Identity, Instant)>,
    next_ask: u64,
    table: table::Progress,

    config: Config,
    documents: config::Progress,

    limits: Limits,
    debits: HashMap<WaiterKey, limit::Waiting>,

    ticked: Instant,
    reported: Instant,
}

/// The actor.
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
        state.follow();
        Ok(state)
    }

    async fn handle(
        &self,
        _: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        state.take(message);
        Ok(())
    }
}

impl State {
    fn new(myself: ActorRef<Message>, start: Start) -> State {
        let Start { settings, client, listener, metric, shared } = start;
        let me = Identity { name: settings.name.clone(), incarnation: settings.incarnation };
        let configuration = Arc::new(AtomicU64::new(0));
        let security = settings.security.clone();
        let greeting = Greeting { me: me.clone(), configuration, security };
        let mut tasks = JoinSet::new();
        tasks.spawn(peer::accept(listener, greeting.clone(), tell(&myself, Message::Peer)));
        let now = clock::now();
        State {
            settings,
            client,
            myself,
            greeting,
            metric,
            shared,
            tasks,
            membership: Membership::new(me),
            links: BTreeMap::new(),
            asks: HashMap::new(),
            next_ask: 1,
            table: table::Progress::default(),
            config: Config::default(),
            documents: config::Progress::default(),
            limits: Limits::default(),
            debits: HashMap::new(),
            ticked: now,
            reported: Instant::default(),
        }
    }

    fn follow(&mut self) {
        self.follow_object(store::MEMBERS, Message::Members);
        self.follow_object(store::ACCEPTED, Message::Accepted);
        self.follow_object(store::DOCUMENTS, Message::Document);
        let hosts = tell(&self.myself, Message::Leaving);
        self.tasks.spawn(store::follow_hosts(self.client.clone(), hosts));
    }

    fn follow_object(&mut self, kind: &'static str, message: fn(store::Seen) -> Message) {
        let (client, service) = (self.client.clone(), self.settings.service.clone());
        self.tasks.spawn(store::follow(client, kind, service, tell(&self.myself, message)));
    }

    fn take(&mut self, message: Message) {
        let now = clock::now();
        match message {
            Message::Tick => self.tick(now),
            Message::Debit(debit) => self.debit(now, debit),
            Message::Refund(organisation, tokens) => self.refund(now, &organisation, tokens),
            Message::Peer(event) => self.exchange(now, event),
            Message::Members(seen) => self.members_seen(now, &seen),
            Message::Accepted(seen) => self.accepted_seen(now, &seen),
            Message::Document(seen) => self.document_seen(now, seen),
            Message::Leaving(hosts) => self.hosts_seen(hosts),
            Message::Wrote(table) => self.table_written(now, table),
            Message::Judged(case, judgement) => self.judged(now, &case, &judgement),
            Message::Lives(identity, reply) => {
                // One that is not current may have missed that the holder joined.
                let knows = self.membership.is_current(now);
                let _ = reply.send(!knows || self.holds_claims(&identity));
            }
            Message::Sweeps(reply) => {
                let _ = reply.send(self.sweeps(now));
            }
            Message::Leave(done) => self.leave(now, done),
        }
    }

    fn tick(&mut self, now: Instant) {
        if now.since(self.ticked) >= WOKEN {
            self.membership.record_resume(now);
        }
        self.ticked = now;
        self.tend_table(now);
        self.tend_peers(now);
        self.tend_documents(now);
        self.run_limits(now);
        self.publish(now);
        if now.since(self.reported) >= REPORT {
            self.reported = now;
            self.report(now);
        }
        while self.tasks.try_join_next().is_some() {}
    }

    fn report(&mut self, now: Instant) {
        let up = self.table.store_answers(now);
        self.metric.platform_up.set(i64::from(up));
        self.metric.current.set(i64::from(self.membership.is_current(now)));
        let members = self.membership.table().map_or(0, |table| table.members.len());
        self.metric.members.set(i64::try_from(members).unwrap_or(i64::MAX));
        let statuses = self.limits.statuses(now);
        let divisor = self.membership.divisor(now);
        let pages = Pages::new(now, &self.membership, divisor, &self.config, &statuses, up);
        let pages = pages.trusted(self.shared.snapshots.borrow().trusted);
        self.shared.pages.send_replace(Arc::new(pages));
    }

    fn holds_claims(&self, identity: &Identity) -> bool {
        self.membership.me() == identity || self.membership.lists(identity)
    }

    fn sweeps(&self, now: Instant) -> bool {
        let table = self.membership.table();
        let first = table.and_then(|table| table.position(self.membership.me())) == Some(0);
        first && self.membership.is_current(now)
    }

    fn spawn(&mut self, task: impl Future<Output = Message> + Send + 'static) {
        let myself = self.myself.clone();
        self.tasks.spawn(async move {
            let _ = myself.send_message(task.await);
        });
    }
}

impl claim::Lives for ActorRef<Message> {
    async fn lives(&self, identity: Identity) -> bool {
        let (reply, answer) = oneshot::channel();
        let sent = self.send_message(Message::Lives(identity, reply)).is_ok();
        !sent || answer.await.unwrap_or(true)
    }

    async fn sweeps(&self) -> bool {
        let (reply, answer) = oneshot::channel();
        self.send_message(Message::Sweeps(reply)).is_ok() && answer.await.unwrap_or(false)
    }
}

/// A function that passes what happens on to the actor.
fn tell<T: 'static>(
    actor: &ActorRef<Message>,
    message: impl Fn(T) -> Message + Clone + Send + Sync + 'static,
) -> impl Fn(T) + Clone + Send + Sync + 'static {
    let actor = actor.clone();
    move |event| {
        let _ = actor.send_message(message(event));
    }
}

/// Sets what peers are told first.
fn store_version(greeting: &Greeting, version: u64) {
    greeting.configuration.store(version, Ordering::Relaxed);
}
