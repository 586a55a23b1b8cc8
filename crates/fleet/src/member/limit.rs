//! Debits, refunds and loans of tokens.
//!
//! Each member grants debits from its own share of every organisation's rate. When tokens are
//! missing, a debit is queued and the member may borrow tokens from its peers. A member is current
//! while it holds an unexpired lease from every peer that it depends on.

use super::{DebitRequest, State};
use crate::limit::Refusal;
use chestnutrack_core::limit::{self, Effect, MemberState, WaiterKey};
use chestnutrack_core::member::Identity;
use chestnutrack_core::time::Instant;
use chestnutrack_wire::frame::Frame;
use std::sync::Arc;

impl State {
    /// Grants, queues or refuses a debit. The tokens are refunded if the caller no longer waits for
    /// them.
    pub(super) fn debit(&mut self, now: Instant, debit: DebitRequest) {
        self.update_limit_state(now);
        let DebitRequest { organisation, tokens, max_wait, reply } = debit;
        match self.limits.debit(now, &organisation, tokens, max_wait) {
            Ok(limit::Debit::Granted) => {
                self.count_tokens("debited", tokens);
                if reply.send(Ok(())).is_err() {
                    self.limits.refund(now, &organisation, tokens);
                }
            }
            Ok(limit::Debit::Queued(key)) => {
                self.waiters.insert(key, Waiter { organisation, tokens, reply });
                self.run_limits(now);
            }
            Err(refusal) => self.send_refusal(reply, refusal),
        }
    }

    /// Refunds tokens to an organisation; queued debits may then be granted.
    pub(super) fn refund(&mut self, now: Instant, organisation: &Arc<str>, tokens: u64) {
        self.count_tokens("refunded", tokens);
        self.limits.refund(now, organisation, tokens);
        self.run_limits(now);
    }

    /// Lends tokens to a peer. Returns how many are lent; 0 if the table doesn't list the peer.
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

    /// Records the tokens that a peer lent; those that arrive late are lost.
    pub(super) fn handle_loan_answer(&mut self, now: Instant, request_id: u64, tokens: u64) {
        self.update_limit_state(now);
        let is_in_time = self.limits.record_loan(now, request_id, tokens);
        let outcome = if is_in_time { "taken" } else { "late" };
        self.metrics.loans.with_label_values(&[outcome]).inc();
        self.count_tokens(if is_in_time { "borrowed" } else { "lost" }, tokens);
        self.run_limits(now);
    }

    /// Passes this member's present membership state to the limits: its share, whether it is
    /// current, the live peers and the number of joins.
    pub(super) fn update_limit_state(&mut self, now: Instant) {
        let current = self.membership.is_current(now);
        let divisor = self.membership.divisor(now);
        let is_alive = |peer: &&chestnutrack_core::member::Peer| !peer.dead;
        let peers = self.membership.peers().filter(is_alive);
        let peers = peers.map(|peer| peer.member.identity.name.clone()).collect();
        let joins = self.membership.join_count();
        self.limits
            .set_member_state(now, MemberState { divisor, current, peers, join_count: joins });
    }

    /// Grants or refuses queued debits, and sends the requests for loans that are due.
    pub(super) fn run_limits(&mut self, now: Instant) {
        self.update_limit_state(now);
        self.drop_abandoned_waiters();
        for effect in self.limits.run(now) {
            match effect {
                Effect::Grant(key) => self.grant(now, key),
                Effect::Refuse(key, refusal) => {
                    if let Some(waiter) = self.waiters.remove(&key) {
                        self.send_refusal(waiter.reply, refusal);
                    }
                }
                Effect::Borrow { peer, request_id: ask, organisation, tokens } => {
                    self.metrics.loans.with_label_values(&["asked"]).inc();
                    if let Some(link) = self.links.get_mut(&peer) {
                        link.send(&Frame::Borrow { ask, organisation, tokens });
                    }
                }
                Effect::LoanLost { .. } => self.metrics.loans.with_label_values(&["lost"]).inc(),
            }
        }
    }

    /// Grants a queued debit. The tokens are refunded if the caller no longer waits for them.
    fn grant(&mut self, now: Instant, key: WaiterKey) {
        let Some(Waiter { organisation, tokens, reply }) = self.waiters.remove(&key) else {
            return;
        };
        self.count_tokens("debited", tokens);
        if reply.send(Ok(())).is_err() {
            self.limits.refund(now, &organisation, tokens);
        }
    }

    /// Drops queued debits whose callers no longer wait.
    fn drop_abandoned_waiters(&mut self) {
        let abandoned_key =
            |(key, waiter): (&WaiterKey, &Waiter)| waiter.reply.is_closed().then_some(*key);
        let abandoned: Vec<_> = self.waiters.iter().filter_map(abandoned_key).collect();
        for key in abandoned {
            self.waiters.remove(&key);
            self.limits.cancel(key);
        }
    }

    /// Counts the refusal of a debit and sends it to the caller that waits for the debit.
    fn send_refusal(
        &self,
        reply: tokio::sync::oneshot::Sender<Result<(), Refusal>>,
        refusal: limit::Refusal,
    ) {
        self.metrics.record_refusal(refusal.cause);
        let _ = reply.send(Err(Refusal::from(refusal)));
    }

    /// Counts tokens in the metric of an operation, such as `debited`.
    fn count_tokens(&self, operation: &str, tokens: u64) {
        self.metrics.tokens.with_label_values(&[operation]).inc_by(tokens);
    }
}

/// A debit that is queued for tokens.
pub(super) struct Waiter {
    pub(super) organisation: Arc<str>,
    pub(super) tokens: u64,
    pub(super) reply: tokio::sync::oneshot::Sender<Result<(), Refusal>>,
}
