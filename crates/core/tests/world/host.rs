//! A simulated member. It drives the decision logic as the member's actor does.

use super::check::Checks;
use super::{Message, STEP, Settings, Store, World, organisation};
use chestnutrack_core::config::{Action, Config};
use chestnutrack_core::limit::{Debit, Effect, Limits, MemberState, Refusal, WaiterKey};
use chestnutrack_core::member::{
    AdoptOutcome, Answer, Identity, Membership, Table, TableAction, VOUCH_PERIOD,
};
use chestnutrack_core::time::Instant;
use rand::Rng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time between two reads of the object interface.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two attempts to connect.
const DIAL_INTERVAL: Duration = Duration::from_millis(100);
/// Gap between two ticks that shows that the host was paused.
const RESUME_GAP: Duration = Duration::from_millis(500);
/// Shortest time between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// A write that has not reached the object interface yet.
#[derive(Clone, Debug)]
struct Write {
    due: Instant,
    table: Table,
}

/// Outcome of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outcome {
    pub(crate) tokens: u64,
    pub(crate) requested_at: Instant,
    pub(crate) refused: Option<Refusal>,
}

pub(crate) struct Host {
    pub(crate) index: usize,
    pub(crate) dead: bool,
    pub(crate) stopped: bool,
    pub(crate) load: u64,
    pub(crate) membership: Membership,
    pub(crate) config: Config,
    pub(crate) limits: Limits,
    pub(crate) outcomes: Vec<Outcome>,
    skip_lease_wait: bool,
    skip_vouching: bool,
    address: std::net::SocketAddr,
    seen: Option<Option<Table>>,
    write: Option<Write>,
    next_write: Instant,
    next_poll: Instant,
    next_dial: Instant,
    vouch_requests: BTreeMap<u64, Instant>,
    next_request_id: u64,
    next_vouch: Instant,
    last_tick: Instant,
    settled: bool,
    waits: BTreeMap<WaiterKey, (u64, Instant)>,
}

impl Host {
    pub(crate) fn new(index: usize, incarnation: u64, now: Instant, settings: &Settings) -> Host {
        let name: Arc<str> = Arc::from(format!("h{index}"));
        let port = 1_000 + u16::try_from(index).unwrap();
        Host {
            index,
            dead: false,
            stopped: false,
            load: 0,
            membership: Membership::new(Identity { name, incarnation }),
            config: Config::default(),
            limits: Limits::new(settings.borrows),
            outcomes: Vec::new(),
            skip_lease_wait: settings.skip_lease_wait,
            skip_vouching: settings.skip_vouching,
            address: ([127, 0, 0, 1], port).into(),
            seen: None,
            write: None,
            next_write: now,
            next_poll: now,
            next_dial: now,
            vouch_requests: BTreeMap::new(),
            next_request_id: 1,
            next_vouch: now,
            last_tick: now,
            settled: false,
            waits: BTreeMap::new(),
        }
    }

    pub(crate) fn me(&self) -> &Identity {
        self.membership.me()
    }

    pub(crate) fn runs(&self) -> bool {
        !self.dead && !self.stopped
    }

    pub(crate) fn kill(&mut self) {
        self.dead = true;
        self.stopped = false;
    }

    pub(crate) fn is_current(&self, now: Instant) -> bool {
        self.membership.is_current(now) || (self.skip_vouching && self.membership.is_listed())
    }

    pub(crate) fn divisor(&mut self, now: Instant) -> Option<u32> {
        let table = self.membership.table().map(|table| table.members.len());
        let listed = table.and_then(|count| u32::try_from(count).ok());
        let divisor = self.membership.divisor(now);
        if self.skip_lease_wait && self.membership.is_listed() { listed } else { divisor }
    }

    pub(crate) fn tick(world: &mut World, index: usize) {
        let now = world.now;
        let host = &mut world.hosts[index];
        if now.since(host.last_tick) >= RESUME_GAP {
            host.membership.record_resume(now);
        }
        host.last_tick = now;
        Host::poll(world, index);
        Host::maintain_table(world, index);
        Host::maintain_peers(world, index);
        Host::settle_config(world, index);
        Host::send_requests(world, index);
        Host::run_limits(world, index);
    }

    fn poll(world: &mut World, index: usize) {
        let now = world.now;
        if now < world.hosts[index].next_poll {
            return;
        }
        let visible = world.visible_store(index).cloned();
        let host = &mut world.hosts[index];
        host.next_poll = now + POLL_INTERVAL;
        let Some(Store { members, accepted, document, .. }) = visible else {
            return;
        };
        host.seen = Some(members.clone());
        if let Some(table) = members {
            let version = table.version;
            Host::offer(world, index, table);
            world.hosts[index].membership.record_table_read(now, version, now);
        }
        Host::offer_config(world, index, accepted);
        let host = &mut world.hosts[index];
        host.config.confirm(accepted, now);
        let accepts_document = host.membership.is_current(now)
            && document > accepted
            && host.config.action_for(document) == Action::Validate;
        if accepts_document && world.writable(index) && world.store.accepted == accepted {
            world.store.version += 1;
            world.store.accepted = document;
            Host::offer_config(world, index, document);
        }
    }

    fn offer(world: &mut World, index: usize, table: Table) {
        let host = &mut world.hosts[index];
        if host.membership.adopt_if_newer(world.now, table) == AdoptOutcome::NotNewer {
            return;
        }
        host.next_vouch = world.now;
        let Some(table) = host.membership.table().cloned() else {
            return;
        };
        // Frames don't carry the removed members.
        let table = Table { former: None, ..table };
        for peer in host.peers() {
            world.send(index, &peer, Message::Members(table.clone()));
        }
    }

    fn offer_config(world: &mut World, index: usize, version: u64) {
        let quotas = world.quotas_of(version);
        let now = world.now;
        let host = &mut world.hosts[index];
        if !host.config.apply(version, Arc::from([])) {
            return;
        }
        host.settled = false;
        host.limits.configure(now, &quotas, false);
        for peer in host.peers() {
            world.send(index, &peer, Message::Configuration(version));
        }
    }

    fn settle_config(world: &mut World, index: usize) {
        let now = world.now;
        let quotas = world.quotas_of(world.hosts[index].config.version());
        let host = &mut world.hosts[index];
        let all = host.membership.all_configured(host.config.version());
        if !host.settled && host.membership.is_current(now) && all {
            host.settled = true;
            host.limits.configure(now, &quotas, true);
        }
    }

    fn peers(&self) -> Vec<Identity> {
        self.membership.peers().map(|peer| peer.member.identity.clone()).collect()
    }

    fn maintain_table(world: &mut World, index: usize) {
        let now = world.now;
        if world.hosts[index].write.as_ref().is_some_and(|write| now >= write.due) {
            Host::finish_write(world, index);
        }
        let delay = Duration::from_millis(world.rng.random_range(1..30));
        let host = &mut world.hosts[index];
        if host.write.is_some() || now < host.next_write {
            return;
        }
        let seen = host.seen.as_ref().map(Option::as_ref);
        if let TableAction::Write(table) = host.membership.next_action(now, seen, host.address) {
            host.write = Some(Write { due: now + delay, table });
            host.next_write = now + WRITE_INTERVAL;
        }
    }

    fn finish_write(world: &mut World, index: usize) {
        let Some(Write { mut table, .. }) = world.hosts[index].write.take() else {
            return;
        };
        let stored_version = world.store.members.as_ref().map_or(0, |table| table.version);
        if !world.writable(index) || stored_version != table.version {
            return;
        }
        world.store.version += 1;
        table.version = world.store.version;
        world.store.members = Some(table.clone());
        if world.lose_answers > 0 {
            world.lose_answers -= 1;
            return;
        }
        world.hosts[index].seen = Some(Some(table.clone()));
        Host::offer(world, index, table);
    }

    fn maintain_peers(world: &mut World, index: usize) {
        let now = world.now;
        if now >= world.hosts[index].next_dial {
            world.hosts[index].next_dial = now + DIAL_INTERVAL;
            for peer in world.hosts[index].peers() {
                if let Some(Message::Dead(identity)) = world.dial(index, &peer) {
                    world.hosts[index].membership.record_death_proof(now, &identity);
                }
            }
        }
        if now < world.hosts[index].next_vouch {
            return;
        }
        world.hosts[index].next_vouch = now + VOUCH_PERIOD;
        for peer in world.hosts[index].peers() {
            let host = &mut world.hosts[index];
            let request_id = host.next_request_id;
            host.next_request_id += 1;
            host.vouch_requests.insert(request_id, now);
            let (members, configuration) = (host.membership.version(), host.config.version());
            world.send(index, &peer, Message::Vouch { request_id, members, configuration });
        }
    }

    fn send_requests(world: &mut World, index: usize) {
        let now = world.now;
        for _ in 0..world.hosts[index].load {
            if world.rng.random_range(0..4) > 0 {
                continue;
            }
            let burst = world.quotas.values().map(|(_, burst)| *burst).max().unwrap_or(1);
            let tokens = world.rng.random_range(1..=burst.div_ceil(8));
            let within = Duration::from_millis(world.rng.random_range(0..600));
            Host::debit(world, index, tokens, within);
        }
        if world.rng.random_range(0..50) == 0 {
            let refund = world.checks.refundable(&mut world.rng);
            Checks::refund(world, refund);
            world.hosts[index].limits.refund(now, "acme", refund);
        }
    }

    /// Debits the tokens of a request that arrives at a host.
    pub(crate) fn debit(world: &mut World, index: usize, tokens: u64, within: Duration) {
        let now = world.now;
        let host = &mut world.hosts[index];
        host.update_member_state(now);
        match host.limits.debit(now, &organisation(), tokens, within) {
            Ok(Debit::Granted) => Host::admitted(world, index, tokens, now),
            Ok(Debit::Queued(wait)) => drop(host.waits.insert(wait, (tokens, now))),
            Err(refusal) => host.refused(tokens, now, refusal),
        }
        Host::run_limits(world, index);
    }

    fn admitted(world: &mut World, index: usize, tokens: u64, requested_at: Instant) {
        world.hosts[index].outcomes.push(Outcome { tokens, requested_at, refused: None });
        Checks::admit(world, tokens);
    }

    fn refused(&mut self, tokens: u64, requested_at: Instant, refusal: Refusal) {
        self.outcomes.push(Outcome { tokens, requested_at, refused: Some(refusal) });
    }

    fn update_member_state(&mut self, now: Instant) {
        let (divisor, current) = (self.divisor(now), self.is_current(now));
        let peers = self.membership.peers().filter(|peer| !peer.dead);
        let peers = peers.map(|peer| peer.member.identity.name.clone()).collect();
        let join_count = self.membership.join_count();
        self.limits.set_member_state(now, MemberState { divisor, current, peers, join_count });
    }

    pub(crate) fn run_limits(world: &mut World, index: usize) {
        let now = world.now;
        world.hosts[index].update_member_state(now);
        for effect in world.hosts[index].limits.run(now) {
            match effect {
                Effect::Grant(wait) => {
                    if let Some((tokens, requested_at)) = world.hosts[index].waits.remove(&wait) {
                        Host::admitted(world, index, tokens, requested_at);
                    }
                }
                Effect::Refuse(wait, refusal) => {
                    let host = &mut world.hosts[index];
                    if let Some((tokens, requested_at)) = host.waits.remove(&wait) {
                        host.refused(tokens, requested_at, refusal);
                    }
                }
                Effect::Borrow { peer, request_id, tokens, .. } => {
                    let peers = world.hosts[index].peers();
                    if let Some(peer) = peers.into_iter().find(|known| known.name == peer) {
                        world.checks.messages += 2;
                        world.send(index, &peer, Message::Borrow { request_id, tokens });
                    }
                }
                Effect::LoanLost { .. } => {}
            }
        }
    }

    pub(crate) fn receive(world: &mut World, index: usize, from: &Identity, message: Message) {
        let now = world.now;
        match message {
            Message::Vouch { request_id, members, configuration } => {
                Host::vouch(world, index, from, request_id, members, configuration);
            }
            Message::Vouched { request_id, mut answer, age } => {
                let host = &mut world.hosts[index];
                let Some(sent) = host.vouch_requests.remove(&request_id) else {
                    return;
                };
                answer.sent = sent;
                host.membership.record_answer(now, from, answer);
                host.config.confirm_from_peer(answer.configuration_version, age, sent);
            }
            Message::Members(table) => Host::offer(world, index, table),
            Message::Configuration(version) => Host::offer_config(world, index, version),
            Message::Borrow { request_id, tokens } => {
                let host = &mut world.hosts[index];
                host.update_member_state(now);
                let lists = host.membership.lists(from);
                let tokens = if lists { host.limits.lend(now, "acme", tokens) } else { 0 };
                world.send(index, from, Message::Lent { request_id, tokens });
            }
            Message::Lent { request_id, tokens } => {
                let host = &mut world.hosts[index];
                host.update_member_state(now);
                host.limits.record_loan(now, request_id, tokens);
                Host::run_limits(world, index);
            }
            Message::Dead(identity) => {
                world.hosts[index].membership.record_death_proof(now, &identity)
            }
        }
    }

    fn vouch(
        world: &mut World,
        index: usize,
        from: &Identity,
        request_id: u64,
        members: u64,
        configuration: u64,
    ) {
        let now = world.now;
        let host = &mut world.hosts[index];
        let listed = host.membership.vouch(now, from, members, configuration);
        let (version, config) = (host.membership.version(), host.config.version());
        let answer =
            Answer { sent: now, table_version: version, listed, configuration_version: config };
        let age = host.config.confirmation_age(now).unwrap_or(Duration::from_secs(3_600)) + STEP;
        let table = host.membership.table().filter(|_| members < version);
        let table = table.map(|table| Table { former: None, ..table.clone() });
        world.send(index, from, Message::Vouched { request_id, answer, age });
        if let Some(table) = table {
            world.send(index, from, Message::Members(table));
        }
        if configuration < config {
            world.send(index, from, Message::Configuration(config));
        }
    }
}
