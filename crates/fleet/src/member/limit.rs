//! Debits, refunds and loans of tokens.

use super::{Debit, State};
use crate::limit::Refusal;
use chestnutrack_core::limit::{self, Effect, MemberState, WaiterKey};
use chestnutrack_core::member::Identity;
use chestnutrack_core::time::Instant;
use chestnutrack_wire::frame::Frame;
use std::sync::Arc;

impl State {
    pub(super) fn debit(&mut self, now: Instant, debit: Debit) {
        self.update_limit_state(now);
        let Debit { organisation, tokens, within, reply } = debit;
        match self.limits.debit(now, &organisation, tokens, within) {
            Ok(limit::Debit::Granted) => {
                self.count_tokens("debited", tokens);
                if reply.send(Ok(())).is_err() {
                    self.limits.refund(now, &organisation, tokens);
                }
            }
            Ok(limit::Debit::Queued(key)) => {
                self.debits.insert(key, Waiter { organisation, tokens, reply });
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
        self.update_limit_state(now);
        if !self.membership.lists(peer) {
            return 0;
        }
        let lent = self.limits.lend(now, organisation, tokens);
        self.count_tokens("lent", lent);
        lent
    }

    pub(super) fn handle_loan(&mut self, now: Instant, request_id: u64, tokens: u64) {
        self.update_limit_state(now);
        let in_time = self.limits.record_loan(now, request_id, tokens);
        let outcome = if in_time { "taken" } else { "late" };
        self.metric.loans.with_label_values(&[outcome]).inc();
        self.count_tokens(if in_time { "borrowed" } else { "lost" }, tokens);
        self.run_limits(now);
    }

    /// Applies this member's present membership state to the limits.
    pub(super) fn update_limit_state(&mut self, now: Instant) {
        let current = self.membership.is_current(now);
        let divisor = self.membership.divisor(now);
        let alive = |peer: &&chestnutrack_core::member::Peer| !peer.dead;
        let peers = self.membership.peers().filter(alive);
        let peers = peers.map(|peer| peer.member.identity.name.clone()).collect();
        let joins = self.membership.join_count();
        self.limits
            .set_member_state(now, MemberState { divisor, current, peers, join_count: joins });
    }

    pub(super) fn run_limits(&mut self, now: Instant) {
        self.update_limit_state(now);
        self.drop_abandoned();
        for effect in self.limits.run(now) {
            match effect {
                Effect::Grant(key) => self.grant(now, key),
                Effect::Refuse(key, refusal) => {
                    if let Some(waiting) = self.debits.remove(&key) {
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

    fn grant(&mut self, now: Instant, key: WaiterKey) {
        let Some(Waiter { organisation, tokens, reply }) = self.debits.remove(&key) else {
            return;
        };
        self.count_tokens("debited", tokens);
        if reply.send(Ok(())).is_err() {
            self.limits.refund(now, &organisation, tokens);
        }
    }

    /// Drops queued debits whose callers no longer wait.
    fn drop_abandoned(&mut self) {
        let closed =
            |(key, waiting): (&WaiterKey, &Waiter)| waiting.reply.is_closed().then_some(*key);
        let closed: Vec<_> = self.debits.iter().filter_map(closed).collect();
        for key in closed {
            self.debits.remove(&key);
            self.limits.cancel(key);
        }
    }

    fn refuse(
        &self,
        reply: tokio::sync::oneshot::Sender<Result<(), Refusal>>,
        refusal: limit::Refusal,
    ) {
        self.metric.record_refusal(refusal.cause);
        let _ = reply.send(Err(Refusal::from(refusal)));
    }

    fn count_tokens(&self, what: &str, tokens: u64) {
        self.metric.tokens.with_label_values(&[what]).inc_by(tokens);
    }
}

/// A debit that is queued for tokens.
pub(super) struct Waiter {
    pub(super) organisation: Arc<str>,
    pub(super) tokens: u64,
    pub(super) reply: tokio::sync::oneshot::Sender<Result<(), Refusal>>,
}
