//! Joining the table, removing members that are gone, and leaving.

use super::{Link, Message, State, tell};
use crate::peer;
use crate::store::{self, Seen};
use chestnutrack_core::member::{Member, OfferOutcome, Table, TableAction};
use chestnutrack_core::time::Instant;
use chestnutrack_wire::frame::{self, Frame};
use std::time::Duration;
use tokio::sync::oneshot;

/// Pause between two attempts to join, at first.
const JOIN_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two attempts to join.
const JOIN_PAUSE_MAX: Duration = Duration::from_secs(10);
/// Pause between two calls for other reasons.
const PAUSE: Duration = Duration::from_millis(200);
/// Time without an answer after which the object interface is held to be down.
const DOWN: Duration = Duration::from_secs(3);

/// How the table's changes stand.
#[derive(Default)]
pub(super) struct Progress {
    /// Newest state seen: absent, or the table.
    seen: Option<Option<Table>>,
    /// Whether a write is under way.
    writing: bool,
    /// Before this no write is tried.
    next: Instant,
    /// Pause before the next attempt to join.
    pause: Duration,
    /// When the object interface last answered.
    answered: Option<Instant>,
    /// Whom to tell when this member has left.
    leaving: Option<oneshot::Sender<()>>,
}

impl Progress {
    /// Whether the object interface has answered lately.
    pub(super) fn store_answers(&self, now: Instant) -> bool {
        self.answered.is_some_and(|answered| now.since(answered) < DOWN)
    }
}

impl State {
    pub(super) fn members_seen(&mut self, now: Instant, seen: &Seen) {
        match &seen.state {
            store::State::Is(object) => {
                let Some(table) = store::table(object) else {
                    return;
                };
                let version = table.version;
                self.table.seen = Some(Some(table.clone()));
                self.offer_table(now, table);
                self.membership.record_table_read(now, version, seen.asked);
            }
            store::State::Same => {
                if let Some(Some(table)) = &self.table.seen {
                    self.membership.record_table_read(now, table.version, seen.asked);
                }
            }
            store::State::Absent => self.table.seen = Some(None),
            store::State::Failed => return,
        }
        self.table.answered = Some(seen.asked);
    }

    /// Puts a table in force if it is newer, and passes it on.
    pub(super) fn offer_table(&mut self, now: Instant, table: Table) {
        if self.membership.offer(now, table) == OfferOutcome::Old {
            return;
        }
        self.metric.tables.inc();
        if let Some(table) = self.membership.table() {
            let names: Vec<_> = table.members.iter().map(|m| &*m.identity.name).collect();
            tracing::info!(version = table.version, members = ?names, "members changed");
        }
        self.relink(now);
        self.restand(now);
        let Some(frame) = self.members_frame() else {
            return;
        };
        for link in self.links.values_mut() {
            link.send(&frame);
            link.next_ask = now;
        }
    }

    pub(super) fn members_frame(&self) -> Option<Frame> {
        let table = self.membership.table()?;
        let member = |member: &Member| frame::Member {
            sender: frame::Sender {
                name: member.identity.name.clone(),
                incarnation: member.identity.incarnation,
            },
            address: member.address,
        };
        let members = table.members.iter().map(member).collect();
        Some(Frame::Members { version: table.version, members })
    }

    /// Dials the members of the table in force, and no others.
    fn relink(&mut self, now: Instant) {
        let members: Vec<_> = self.membership.peers().map(|peer| peer.member.clone()).collect();
        let listed = |link: &Link| members.iter().any(|member| member.identity == link.identity);
        self.links.retain(|_, link| listed(link));
        for member in members {
            if self.links.contains_key(&member.identity.name) {
                continue;
            }
            let (name, identity) = (member.identity.name.clone(), member.identity.clone());
            let told = tell(&self.myself, Message::Peer);
            let task = self.tasks.spawn(peer::dial(member, self.greeting.clone(), told));
            self.links
                .insert(name, Link { identity, sender: None, accepted: None, task, next_ask: now });
        }
    }

    /// Starts the call that the table needs now, if any.
    pub(super) fn tend_table(&mut self, now: Instant) {
        if self.table.writing || now < self.table.next {
            return;
        }
        let seen = self.table.seen.as_ref().map(Option::as_ref);
        match self.membership.next_action(now, seen, self.settings.listen) {
            TableAction::None => self.tell_left(),
            TableAction::Write(table) => {
                self.pause(now);
                self.write(table);
            }
            TableAction::Read => {
                self.pause(now);
                self.reread();
            }
        }
    }

    /// Puts off the next call; longer from one attempt to join to the next.
    fn pause(&mut self, now: Instant) {
        if self.membership.is_listed() {
            self.table.pause = Duration::ZERO;
            self.table.next = now + PAUSE;
            return;
        }
        self.table.pause = (self.table.pause * 2).clamp(JOIN_PAUSE, JOIN_PAUSE_MAX);
        self.table.next = now + self.table.pause;
    }

    fn tell_left(&mut self) {
        let left = self.membership.is_leaving() && !self.membership.is_listed();
        if let Some(done) = self.table.leaving.take_if(|_| left) {
            let _ = done.send(());
        }
    }

    fn write(&mut self, table: Table) {
        self.table.writing = true;
        let (client, service) = (self.client.clone(), self.settings.service.clone());
        self.spawn(
            async move { Message::Wrote(store::write_table(&client, &service, table).await) },
        );
    }

    fn reread(&mut self) {
        let (client, service) = (self.client.clone(), self.settings.service.clone());
        self.spawn(async move {
            Message::Members(store::look(&client, store::MEMBERS, &service).await)
        });
    }

    pub(super) fn table_written(&mut self, now: Instant, table: Option<Table>) {
        self.table.writing = false;
        let Some(table) = table else {
            // Another write came first, or the outcome is not known: what stands is read.
            self.reread();
            return;
        };
        self.table.answered = Some(now);
        self.table.seen = Some(Some(table.clone()));
        self.offer_table(now, table);
        self.table.next = now;
        self.tend_table(now);
    }

    /// Leaves: from now on this member admits nothing and vouches for nobody.
    pub(super) fn leave(&mut self, now: Instant, done: oneshot::Sender<()>) {
        self.membership.leave();
        self.table.leaving = Some(done);
        self.table.next = now;
        self.restand(now);
        self.publish(now);
        self.tend_table(now);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}
