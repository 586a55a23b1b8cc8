//! Reconciles the table with the engine: requests on the engine that no entry host claims are
//! cancelled.
//!
//! After acquiring authority, the process asks the engine what it holds. These requests may have
//! been started by a previous side process. Entry hosts may claim running answers, by resuming
//! them, for [`super::settings::CLAIM_TIMEOUT`]; unclaimed requests are then cancelled. After that
//! the engine is asked periodically, and requests that are not in the table are cancelled.

use super::decode::failure;
use super::event::{EngineHold, Fault, Task};
use super::frame::Origin;
use super::hold::{Key, Stage, Work, parse_engine_id};
use super::{Counter, Id, Server};
use crate::time::Instant;
use chestnutrack_document::model::Role;
use chestnutrack_wire::frame::{Cause, Ran, Reserve};
use std::collections::HashMap;
use std::sync::Arc;

/// Progress of the reconciliation.
#[derive(Clone, Debug, Default)]
pub(super) struct Reconcile {
    /// Whether the engine has listed its requests for the first time.
    listed: bool,
    /// When the query in flight times out; `None` if there is none.
    query_until: Option<Instant>,
    /// When the engine is asked next.
    next_query_at: Option<Instant>,
    /// When the time for claims ends and unclaimed requests are cancelled; `None` before the first
    /// list and after that time.
    claims_until: Option<Instant>,
    /// Requests in the first list that no entry host has claimed yet.
    unclaimed: HashMap<Id, EngineHold>,
    /// Resume frames that were received before the first list.
    early_resumes: Vec<EarlyResume>,
}

/// A resume frame that was received before the first list.
#[derive(Clone, Debug)]
struct EarlyResume {
    id: Id,
    owner: super::owner::Key,
    connection: super::Connection,
    offset: u64,
}

impl Reconcile {
    /// Returns `true` if no request found on the engine awaits a claim.
    pub(super) fn is_settled(&self) -> bool {
        self.unclaimed.is_empty()
    }

    /// Returns `true` if the engine may hold the request from before this process started: the
    /// engine's first list is not known yet, or it contains the request.
    pub(super) fn engine_may_hold(&self, id: Id) -> bool {
        !self.listed || self.unclaimed.contains_key(&id)
    }

    /// Drops the early resume of an attempt, because it was cancelled.
    pub(super) fn drop_early_resume(&mut self, id: Id) {
        self.early_resumes.retain(|resume| resume.id != id);
    }
}

impl Server {
    /// Returns `true` unless the server is a plain service (a backend server without an engine).
    fn has_engine(&self) -> bool {
        !matches!(self.role(), Some(Role::Plain))
    }

    /// Starts the reconciliation when authority is first held.
    pub(super) fn start_reconcile(&mut self, now: Instant) {
        self.reconcile.next_query_at = Some(now);
        self.reconcile_tick(now);
    }

    /// Cancels unclaimed requests when the time for claims is over, and asks the engine what it
    /// holds when the next query is due and none is in flight. Does nothing without authority or
    /// configuration.
    pub(super) fn reconcile_tick(&mut self, now: Instant) {
        if !self.authority.is_held() || self.config.is_none() {
            return;
        }
        if !self.has_engine() {
            self.refuse_early_resumes(now);
            return;
        }
        if self.reconcile.claims_until.is_some_and(|end| end < now) {
            self.cancel_unclaimed();
        }
        let is_querying = self.reconcile.query_until.is_some_and(|until| now < until);
        if is_querying || self.reconcile.next_query_at.is_some_and(|next| now < next) {
            return;
        }
        self.reconcile.query_until = Some(now + self.settings.audit_period);
        self.order_by_id("".into(), Task::ListHolds);
    }

    /// Handles the engine's list of requests, or schedules another query if there is none.
    ///
    /// From the first list, requests that are not in the table are kept until they are claimed, and
    /// the resumes that were received earlier are handled. From later lists, unknown requests are
    /// cancelled.
    pub(super) fn handle_holds_listed(
        &mut self,
        now: Instant,
        result: Result<Vec<EngineHold>, Fault>,
    ) {
        self.reconcile.query_until = None;
        let Ok(engine_holds) = result else {
            self.reconcile.next_query_at = Some(now + self.settings.cancel_retry);
            return;
        };
        self.reconcile.next_query_at = Some(now + self.settings.audit_period);
        if self.reconcile.listed {
            self.cancel_unknown(engine_holds);
            return;
        }
        self.reconcile.listed = true;
        self.reconcile.claims_until = Some(now + self.settings.claim_timeout);
        for engine_hold in engine_holds {
            match parse_engine_id(&engine_hold.id) {
                Some(id) if !self.index.contains_key(&id) => {
                    self.reconcile.unclaimed.insert(id, engine_hold);
                }
                Some(_) => {}
                None => self.cancel_unknown(vec![engine_hold]),
            }
        }
        for resume in std::mem::take(&mut self.reconcile.early_resumes) {
            let origin =
                Origin { id: resume.id, owner: resume.owner, connection: resume.connection };
            if self.owners.get(resume.owner).is_some() {
                self.claim(now, &origin, resume.offset);
            }
        }
    }

    /// Orders the engine to cancel the requests that are neither in the table nor waiting for a
    /// claim.
    fn cancel_unknown(&mut self, engine_holds: Vec<EngineHold>) {
        for engine_hold in engine_holds {
            let id = parse_engine_id(&engine_hold.id);
            let is_known = id.is_some_and(|id| {
                self.index.contains_key(&id) || self.reconcile.unclaimed.contains_key(&id)
            });
            if !is_known {
                self.count(Counter::Unclaimed);
                self.order_by_id(engine_hold.id, Task::Cancel);
            }
        }
    }

    /// Cancels the requests that no entry host has claimed in time.
    fn cancel_unclaimed(&mut self) {
        self.reconcile.claims_until = None;
        for engine_hold in std::mem::take(&mut self.reconcile.unclaimed).into_values() {
            self.count(Counter::Unclaimed);
            self.order_by_id(engine_hold.id, Task::Cancel);
        }
    }

    /// Refuses resumes that were received before the configuration showed that the server is a
    /// plain service, which has no engine to list.
    fn refuse_early_resumes(&mut self, now: Instant) {
        for resume in std::mem::take(&mut self.reconcile.early_resumes) {
            let origin =
                Origin { id: resume.id, owner: resume.owner, connection: resume.connection };
            self.send_failed(now, &origin, failure(Cause::ReservationLapsed, Ran::Unknown));
        }
    }

    /// Claims a request that has been running on the engine since before this process started, so
    /// that its answer continues from `offset` on the sender's connection. Before the engine's
    /// first list, the claim is kept until then. Fails if the engine doesn't hold the request or it
    /// was claimed before.
    pub(super) fn claim(&mut self, now: Instant, origin: &Origin, offset: u64) {
        if self.has_engine() && !self.reconcile.listed {
            let Origin { id, owner, connection } = *origin;
            self.reconcile.early_resumes.push(EarlyResume { id, owner, connection, offset });
            return;
        }
        let Some(engine_hold) = self.reconcile.unclaimed.remove(&origin.id) else {
            self.send_failed(now, origin, failure(Cause::ReservationLapsed, Ran::Unknown));
            return;
        };
        let key = self.insert_claimed(now, origin, &engine_hold);
        let offset = u32::try_from(offset).unwrap_or(u32::MAX);
        if let Some(hold) = self.holds.get_mut(key) {
            hold.answer.token_start = offset;
        }
        self.count(Counter::Resumed);
        self.order(key, Task::Resume { offset });
    }

    /// Adds a generating hold for a claimed request. The organisation and the lengths of the
    /// request are not known; only its engine memory is.
    fn insert_claimed(&mut self, now: Instant, origin: &Origin, engine_hold: &EngineHold) -> Key {
        let organisation: Arc<str> = "".into();
        let reserve = Reserve {
            organisation: organisation.clone(),
            may_wait: false,
            kv_tokens: engine_hold.kv_tokens,
            transfer_tokens: 0,
            output_tokens: 0,
            wait_ms: 0,
            needed_in_ms: 0,
        };
        let work = Work::Decode(reserve, None);
        let key = self.insert(now, origin, organisation, false, work, now);
        self.set_stage(key, Stage::Decoding { retry_at: None, retries: 0 });
        key
    }
}
