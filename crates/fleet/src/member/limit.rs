//! Debits, refunds and loans.

use super::{Debit, State};
use crate::limit::Refusal;
use chestnutrack_core::limit::{self, Effect, MemberState, WaiterKey};
use chestnutrack_core::member::Identity;
use chestnutrack_core::time::Instant;
use chestnutrack_wire::frame::Frame;
use std::sync::Arc;

impl State {
    pub(super) fn debit(&mut self, now: Instant, debit: Debit) {
        self.restand(now);
        let Debit { organisation, tokens, within, reply } = debit;
        match self.limits.debit(now, &organisation, tokens, within) {
            Ok(limit::Debit::Granted) => {
                self.count_tokens("debited", tokens);
                if reply.send(Ok(())).is_err() {
                    self.limits.refund(now, &organisation, tokens);
                }
            }
            Ok(limit::Debit::Queued(wait)) => {
                self.debits.insert(wait, Waiting { organisation, tokens, reply });
                self.run_limits(now);
            }
            Err(refusal) => self.refuse(reply, refusal),
        }
    }

    pub(super) fn refund(&mut self, now: Instant, organisation: &Arc<str>, tokens: u64) {
        self.count_tokens("refunded", tokens);
        self.limits.refund(now, organisation, tokens);
        self.run_limits(now);
    }

    pub(super) fn lend(
        &mut self,
        now: Instant,
        peer: &Identity,
        organisation: &str,
        tokens: u64,
    ) -> u64 {
        self.restand(now);
        if !self.membership.lists(peer) {
            return 0;
        }
        let lent = self.limits.lend(now, organisation, tokens);
        self.count_tokens("lent", lent);
        lent
    }

    pub(super) fn take_loan(&mut self, now: Instant, ask: u64, tokens: u64) {
        self.restand(now);
        let in_time = self.limits.record_loan(now, ask, tokens);
        let outcome = if in_time { "taken" } else { "late" };
        self.metric.loans.with_label_values(&[outcome]).inc();
        self.count_tokens(if in_time { "borrowed" } else { "lost" }, tokens);
        self.run_limits(now);
    }

    /// Brings the limits up to how the member stands now.
    pub(super) fn restand(&mut self, now: Instant) {
        let current = self.membership.is_current(now);
        let divisor = self.membership.divisor(now);
        let dead = |peer: &&chestnutrack_core::member::Peer| !peer.dead;
        let peers = self.membership.peers().filter(dead);
        let peers = peers.map(|peer| peer.member.identity.name.clone()).collect();
        let joins = self.membership.join_count();
        self.limits
            .set_member_state(now, MemberState { divisor, current, peers, join_count: joins });
    }

    pub(super) fn run_limits(&mut self, now: Instant) {
        self.restand(now);
        self.drop_given_up();
        for effect in self.limits.run(now) {
            match effect {
                Effect::Grant(wait) => self.grant(now, wait),
                Effect::Refuse(wait, refusal) => {
                    if let Some(waiting) = self.debits.remove(&wait) {
                        self.refuse(waiting.reply, refusal);
                    }
                }
                Effect::Borrow { peer, request_id: ask, organisation, tokens } => {
                    self.metric.loans.with_label_values(&["asked"]).inc();
                    if let Some(link) = self.links.get_mut(&peer) {
                        link.send(&Frame::Borrow { ask, organisation, tokens });
                    }
                }
                Effect::LoanLost { .. } => self.metric.loans.with_label_values(&["lost"]).inc(),
            }
        }
    }

    fn grant(&mut self, now: Instant, wait: WaiterKey) {
        let Some(Waiting { organisation, tokens, reply }) = self.debits.remove(&wait) else {
            return;
        };
        self.count_tokens("debited", tokens);
        if reply.send(Ok(())).is_err() {
            self.limits.refund(now, &organisation, tokens);
        }
    }

    /// Forgets requests whose callers don't wait any more.
    fn drop_given_up(&mut self) {
        let closed =
            |(wait, waiting): (&WaiterKey, &Waiting)| waiting.reply.is_closed().then_some(*wait);
        let closed: Vec<_> = self.debits.iter().filter_map(closed).collect();
        for wait in closed {
            self.debits.remove(&wait);
            self.limits.cancel(wait);
        }
    }

    fn refuse(
        &self,
        reply: tokio::sync::oneshot::Sender<Result<(), Refusal>>,
        refusal: limit::Refusal,
    ) {
        self.metric.refused(refusal.cause);
        let _ = reply.send(Err(Refusal::from(refusal)));
    }

    fn count_tokens(&self, what: &str, tokens: u64) {
        self.metric.tokens.with_label_values(&[what]).inc_by(tokens);
    }
}

/// A debit that waits.
pub(super) struct Waiting {
    pub(super) organisation: Arc<str>,
    pub(super) tokens: u64,
    pub(super) reply: tokio::sync::oneshot::Sender<Result<(), Refusal>>,
}
