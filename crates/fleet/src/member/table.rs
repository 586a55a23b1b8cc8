//! Changes to the table of members: joining, removing dead or unreachable members, and leaving.
//!
//! The table of members is an object in the store that lists the entry hosts of the service. The
//! table in force is the newest version that this member knows, from the store or from a peer.

use super::{Link, Message, State, forward_to};
use crate::peer;
use crate::store::{self, Reading};
use chestnutrack_core::member::{AdoptOutcome, Member, Table, TableAction};
use chestnutrack_core::time::Instant;
use chestnutrack_wire::frame::{self, Frame};
use std::time::Duration;
use tokio::sync::oneshot;

/// First pause between two attempts to join; doubles with each further attempt.
const JOIN_PAUSE_MIN: Duration = Duration::from_millis(50);
/// Longest pause between two attempts to join.
const JOIN_PAUSE_MAX: Duration = Duration::from_secs(10);
/// Pause between two calls to the object interface while this member is listed.
const STORE_CALL_PAUSE: Duration = Duration::from_millis(200);
/// Time without an answer after which the object interface is considered down.
const DOWN_AFTER: Duration = Duration::from_secs(3);

/// State of the calls that read and write the stored table.
#[derive(Default)]
pub(super) struct Progress {
    /// Newest known state of the stored table: `None` before the first read, `Some(None)` if absent.
    stored: Option<Option<Table>>,
    /// Whether a write is in flight.
    write_in_flight: bool,
    /// Earliest time of the next call to the object interface.
    next_store_call_at: Instant,
    /// Pause before the next attempt to join.
    join_pause: Duration,
    /// When the object interface last answered: the time at which the read was sent or the write
    /// completed.
    last_answer: Option<Instant>,
    /// Channel to notify when this member has left.
    leave_reply: Option<oneshot::Sender<()>>,
}

impl Progress {
    /// Returns `true` if the object interface has answered recently.
    pub(super) fn is_store_up(&self, now: Instant) -> bool {
        self.last_answer.is_some_and(|last_answer| now.since(last_answer) < DOWN_AFTER)
    }
}

impl State {
    /// Handles a reading of the stored table: puts the table in force if it is newer, and records
    /// when the object interface answered.
    pub(super) fn handle_members(&mut self, now: Instant, reading: &Reading) {
        match &reading.state {
            store::ObjectState::Present(object) => {
                let Some(table) = store::parse_table(object) else {
                    return;
                };
                let version = table.version;
                self.table.stored = Some(Some(table.clone()));
                self.offer_table(now, table);
                self.membership.record_table_read(now, version, reading.requested_at);
            }
            store::ObjectState::Unchanged => {
                if let Some(Some(table)) = &self.table.stored {
                    self.membership.record_table_read(now, table.version, reading.requested_at);
                }
            }
            store::ObjectState::Absent => self.table.stored = Some(None),
            store::ObjectState::Failed => return,
        }
        self.table.last_answer = Some(reading.requested_at);
    }

    /// Puts a table in force if it is newer than the present one, and sends it to the peers.
    pub(super) fn offer_table(&mut self, now: Instant, table: Table) {
        if self.membership.adopt_if_newer(now, table) == AdoptOutcome::NotNewer {
            return;
        }
        self.metrics.tables.inc();
        if let Some(table) = self.membership.table() {
            let names: Vec<_> = table.members.iter().map(|m| &*m.identity.name).collect();
            tracing::info!(version = table.version, members = ?names, "members changed");
        }
        self.update_links(now);
        self.update_limit_state(now);
        let Some(frame) = self.members_frame() else {
            return;
        };
        for link in self.links.values_mut() {
            link.send(&frame);
            link.next_vouch_at = now;
        }
    }

    /// Returns the frame that announces the table in force, or `None` if there is none.
    pub(super) fn members_frame(&self) -> Option<Frame> {
        let table = self.membership.table()?;
        let to_frame_member = |member: &Member| frame::Member {
            sender: frame::Sender {
                name: member.identity.name.clone(),
                incarnation: member.identity.incarnation,
            },
            address: member.address,
        };
        let members = table.members.iter().map(to_frame_member).collect();
        Some(Frame::Members { version: table.version, members })
    }

    /// Opens links to new members of the table in force, and closes those to processes that it no
    /// longer lists.
    fn update_links(&mut self, now: Instant) {
        let members: Vec<_> = self.membership.peers().map(|peer| peer.member.clone()).collect();
        let is_listed = |link: &Link| members.iter().any(|member| member.identity == link.identity);
        self.links.retain(|_, link| is_listed(link));
        for member in members {
            if self.links.contains_key(&member.identity.name) {
                continue;
            }
            let (name, identity) = (member.identity.name.clone(), member.identity.clone());
            let on_event = forward_to(&self.myself, Message::Peer);
            let task = self.tasks.spawn(peer::dial(member, self.handshake.clone(), on_event));
            self.links.insert(
                name,
                Link { identity, sender: None, accepted: None, task, next_vouch_at: now },
            );
        }
    }

    /// Starts the next read or write of the stored table, if membership requires one and it is due.
    /// If no call is required and this member has left, notifies the caller of [`Self::leave`].
    pub(super) fn run_table_action(&mut self, now: Instant) {
        if self.table.write_in_flight || now < self.table.next_store_call_at {
            return;
        }
        let stored = self.table.stored.as_ref().map(Option::as_ref);
        match self.membership.next_action(now, stored, self.settings.listen) {
            // `next_action` asks for no call once a member has left, so its leave is confirmed here.
            TableAction::None => self.confirm_leave(),
            TableAction::Write(table) => {
                self.schedule_next_store_call(now);
                self.write_table(table);
            }
            TableAction::Read => {
                self.schedule_next_store_call(now);
                self.read_table();
            }
        }
    }

    /// Sets the earliest time of the next call to the object interface. The pause between attempts
    /// to join doubles each time.
    fn schedule_next_store_call(&mut self, now: Instant) {
        if self.membership.is_listed() {
            self.table.join_pause = Duration::ZERO;
            self.table.next_store_call_at = now + STORE_CALL_PAUSE;
            return;
        }
        self.table.join_pause = (self.table.join_pause * 2).clamp(JOIN_PAUSE_MIN, JOIN_PAUSE_MAX);
        self.table.next_store_call_at = now + self.table.join_pause;
    }

    /// Notifies the caller of [`Self::leave`] once the table in force no longer lists this member.
    fn confirm_leave(&mut self) {
        let has_left = self.membership.is_leaving() && !self.membership.is_listed();
        if let Some(reply) = self.table.leave_reply.take_if(|_| has_left) {
            let _ = reply.send(());
        }
    }

    /// Starts to write the stored table. No other call starts until the write has ended.
    fn write_table(&mut self, table: Table) {
        self.table.write_in_flight = true;
        let (client, service) = (self.client.clone(), self.settings.service.clone());
        self.spawn(async move {
            Message::TableWritten(store::write_table(&client, &service, table).await)
        });
    }

    /// Starts to read the stored table.
    fn read_table(&mut self) {
        let (client, service) = (self.client.clone(), self.settings.service.clone());
        self.spawn(async move {
            Message::Members(store::read(&client, store::MEMBERS, &service).await)
        });
    }

    /// Handles the end of a write: puts the written table in force unless a newer one already is, or
    /// reads the stored table if the write failed.
    pub(super) fn handle_table_written(&mut self, now: Instant, table: Option<Table>) {
        self.table.write_in_flight = false;
        let Some(table) = table else {
            // Another member's write came first, or the outcome is unknown: read the stored table.
            self.read_table();
            return;
        };
        self.table.last_answer = Some(now);
        self.table.stored = Some(Some(table.clone()));
        self.offer_table(now, table);
        self.table.next_store_call_at = now;
        self.run_table_action(now);
    }

    /// Starts to leave: from now on this member admits no requests and vouches for no peer.
    pub(super) fn leave(&mut self, now: Instant, reply: oneshot::Sender<()>) {
        self.membership.leave();
        self.table.leave_reply = Some(reply);
        self.table.next_store_call_at = now;
        self.update_limit_state(now);
        self.publish(now);
        self.run_table_action(now);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}
