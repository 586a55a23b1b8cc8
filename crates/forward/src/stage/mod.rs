//! Orders engines to change their stage, from one host at a time.
//!
//! The stage of an engine is prefill or decode. An order is a call that makes an engine change it. In a fleet that is
//! divided into cells, each cell has a lease of its own, and its hosts send orders only to its engines.
//!
//! A host needs the lease, an object of the platform's store, to send orders, and states the lease's epoch in
//! each. There is no periodic renewal: just before an order, the holder writes the lease again under the
//! version that it last wrote, which fails if another host has taken the lease over. A host that takes the
//! lease over first waits until every order of the previous holder must have arrived.

mod lease;

use crate::app::{App, Target};
use crate::dialect::{Order, Report};
use crate::mesh::Mesh;
use bytes::Bytes;
use chestnutrack_core::dispatch::{SplitChange, Stage};
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use chestnutrack_process::http::{self, Error};
use chestnutrack_process::pool::Reuse;
use chestnutrack_process::timer::Timer;
use chestnutrack_store::client::Client;
use http_body_util::Full;
use hyper::{Request, Response};
use lease::{HeldLease, Lease};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Interval at which the split of engines between the stages is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Delay per rank before a host acts on a due change, so that only one host acts.
const RANK_DELAY: Duration = Duration::from_secs(4);
/// Longest time from sending the write that confirms the lease until sending an order under it.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for an engine's answer to an order or a request for its report.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest answer of an engine to an order or a request for its report, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;
/// Added to the configured duration of a stage change: an engine counts as unavailable for that much longer.
const STAGE_CHANGE_MARGIN: Duration = Duration::from_millis(1_000);
/// How long an engine may still carry out an order that it did not answer with an accepting status.
const UNANSWERED_ORDER_TIMEOUT: Duration = Duration::from_secs(13);
/// Statuses of an engine that accepted the order or is already in the ordered stage.
const ACCEPTED_STATUSES: [u16; 2] = [200, 202];

/// Sends orders for stage changes when they are due.
pub struct Controller {
    app: Arc<App>,
    mesh: Arc<Mesh>,
    lease: Lease,
    /// Time after which all orders of an earlier holder of the lease have arrived.
    takeover_time: Duration,
    /// Since when a change has been due without interruption.
    due_since: Option<Instant>,
}

/// A change of the split of a service's engines that is due.
struct DueChange {
    service: Arc<str>,
    change: SplitChange,
    /// Engines that change their stage, with their new stage.
    targets: Vec<(Target, Stage)>,
}

impl DueChange {
    /// Logs the change with the estimates that it is based on.
    fn log(&self) {
        let SplitChange { before, demand, observed, split, .. } = &self.change;
        tracing::info!(
            service = %self.service,
            prefill = before.prefill,
            decode = before.decode,
            next = split.next,
            best = split.best,
            prompt_tokens = demand.prompt_tokens as u64,
            token_ms = demand.token_ms as u64,
            duration_ms = demand.duration_ms as u64,
            observed_token_ms = observed.token_ms as u64,
            prefill_per_s = (before.prefill_per_ms * 1e3) as u64,
            placed_per_s = before.placed_per_ms * 1e3,
            "split changes"
        );
    }
}

impl Controller {
    /// Creates a controller; `kind` is the store's kind of object for leases.
    pub fn new(app: Arc<App>, mesh: Arc<Mesh>, client: Client, kind: &'static str) -> Controller {
        let takeover_time = app.settings.lease + CONFIRMATION_TIMEOUT + ANSWER_TIMEOUT;
        let lease = Lease::new(client, kind, &app.settings, takeover_time);
        Controller { app, mesh, lease, takeover_time, due_since: None }
    }

    /// Checks for due changes at each tick and orders them, for the lifetime of the process. Hosts act in the order of their ranks: rank 0 at once,
    /// each further one after another `RANK_DELAY` in which the change was still due and no other host was sending
    /// orders.
    pub async fn run(mut self, timer: Timer) {
        let mut ticks = timer.subscribe(CHECK_INTERVAL);
        while ticks.recv().await.is_some() {
            let changes = self.due_changes();
            if changes.is_empty() || self.mesh.is_other_host_ordering() {
                self.due_since = None;
                continue;
            }
            let now = clock::now();
            let due_since = *self.due_since.get_or_insert(now);
            let Some(rank) = self.mesh.rank() else { continue };
            let rank = u32::try_from(rank).unwrap_or(u32::MAX);
            if now.since(due_since) >= RANK_DELAY.saturating_mul(rank) && !self.app.is_draining() {
                self.set_ordering(true);
                self.apply(changes).await;
                self.set_ordering(false);
                self.due_since = None;
            }
        }
    }

    /// Reports to the other hosts, as urgent gossip, whether this host is sending orders.
    fn set_ordering(&self, is_ordering: bool) {
        self.app.orders_pending.store(is_ordering, Ordering::Relaxed);
        self.app.urgent_gossip_due.notify_one();
    }

    /// Returns the changes of the split that are due, of all services.
    fn due_changes(&self) -> Vec<DueChange> {
        let now = clock::now();
        let mut state = self.app.state();
        let services = state.dispatch.services();
        let changes = services.into_iter().filter_map(|service| {
            let change = state.dispatch.plan_stage_changes(now, &service)?;
            let targets = change.engines.iter();
            let targets =
                targets.filter_map(|(key, stage)| Some((state.target(*key)?, *stage))).collect();
            Some(DueChange { service, change, targets })
        });
        changes.collect()
    }

    /// Acquires the lease and orders the changes one after another. If the lease was taken over, first waits until all
    /// orders of the previous holder must have arrived.
    async fn apply(&mut self, changes: Vec<DueChange>) {
        self.lease.set_cell(self.app.cell());
        let lease = match self.lease.acquire().await {
            Ok(lease) => lease,
            Err(error) => {
                tracing::info!(%error, "lease for orders not acquired");
                return;
            }
        };
        if lease.taken_over {
            tracing::info!(epoch = lease.epoch, "lease for orders taken over");
            tokio::time::sleep(self.takeover_time).await;
        }
        for due in changes {
            due.log();
            for (target, stage) in &due.targets {
                self.change_stage(target, *stage).await;
            }
        }
    }

    /// Orders one change, unless the engine is carrying out an order or already in that stage. The lease is confirmed
    /// immediately before the order is sent. The order states the number of orders in the engine's report, so that
    /// the engine refuses it if another order came first.
    async fn change_stage(&mut self, target: &Target, stage: Stage) {
        let server = target.entry.name.clone();
        if !self.app.admit_call(target, Reuse::Forbidden) {
            tracing::info!(%server, "order not sent: the server takes no requests");
            return;
        }
        let report = match self.fetch_report(target).await {
            Ok(report) => report,
            Err(error) => {
                tracing::info!(%server, %error, "order not sent: no report from the engine");
                return;
            }
        };
        if report.busy || report.stage == Some(stage) {
            tracing::info!(%server, busy = report.busy, "order not needed");
            return;
        }
        let lease = match self.lease.confirm().await {
            Ok(lease) => lease,
            Err(error) => {
                tracing::info!(%server, %error, "lease for orders not confirmed");
                return;
            }
        };
        self.send_order(target, stage, &report, lease).await;
    }

    /// Sends an order, unless the confirmation of the lease is too old, and records the engine as unavailable
    /// for the duration of the stage change, before the order is sent.
    async fn send_order(&self, target: &Target, stage: Stage, report: &Report, lease: HeldLease) {
        let order = Order {
            server: target.entry.name.clone(),
            stage,
            holder: self.app.settings.name.clone(),
            epoch: lease.epoch,
            orders: report.orders,
        };
        let Ok(request) = (self.app.dialect.order_request)(&order) else { return };
        if clock::now().since(lease.confirmed_at) > CONFIRMATION_TIMEOUT {
            tracing::warn!(server = %order.server, "order not sent: the process was paused after the lease was confirmed");
            return;
        }
        if !self.app.admit_call(target, Reuse::Forbidden) {
            tracing::info!(server = %order.server, "order not sent: the server takes no requests");
            return;
        }
        let duration = self.stage_switch_time(&target.entry.service) + STAGE_CHANGE_MARGIN;
        self.record_stage_change(target, duration);
        let answer = self.call(target, request).await;
        if let Err(error @ (Error::Connect(..) | Error::Request(_))) = &answer {
            tracing::info!(server = %order.server, %error, "order not sent");
            return;
        }
        let status = answer.as_ref().ok().map(|answer| answer.status().as_u16());
        let error = answer.as_ref().err().map(ToString::to_string);
        // The names of these variables are keys in the log.
        let (server, epoch, sequence) = (&order.server, order.epoch, order.orders);
        let stage = stage.name();
        tracing::info!(%server, stage, epoch, sequence, status, error, "order given");
        if status.is_none_or(|status| !ACCEPTED_STATUSES.contains(&status)) {
            // The engine may still carry the order out.
            self.record_stage_change(target, UNANSWERED_ORDER_TIMEOUT);
        }
    }

    /// Records that an engine is unavailable for a duration, and reports it to the other hosts as urgent
    /// gossip. Does nothing if its process is no longer listed: an order does not concern the one that follows it.
    fn record_stage_change(&self, target: &Target, duration: Duration) {
        let mut state = self.app.state();
        if state.dispatch.entry(target.key).is_none() {
            return;
        }
        state.dispatch.record_stage_change(clock::now(), &target.entry.name, duration);
        self.app.urgent_gossip_due.notify_one();
    }

    /// Returns the configured duration of a stage change of a service's engines.
    fn stage_switch_time(&self, service: &str) -> Duration {
        let active_config = self.app.active_config();
        let engine = active_config.and_then(|active| active.table.service(service)?.engine);
        engine.map_or(Duration::ZERO, |engine| engine.stage_switch_time)
    }

    /// Makes a call to an engine, and records what the engine says of itself. Reports and orders don't state which call they
    /// answer, so each call has a connection of its own, on which no other answer can come but that of the probe.
    async fn call(
        &self,
        target: &Target,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, Error> {
        let sent_at = clock::now();
        let pool = target.pool.without_reuse();
        let answer = pool.call(request, ANSWER_TIMEOUT, MAX_ANSWER_BYTES).await?;
        let head = (self.app.dialect.parse_response_head)(answer.status(), answer.headers());
        self.app.record_notices(target, sent_at, &head, None);
        Ok(answer)
    }

    /// Requests an engine's report.
    async fn fetch_report(&self, target: &Target) -> Result<Report, Error> {
        let request = http::request("GET", self.app.dialect.report_path, Bytes::new())?;
        let answer = self.call(target, request).await?;
        let report = (self.app.dialect.parse_report)(answer.body());
        report.ok_or_else(|| Error::Broken("report can't be read".to_owned()))
    }
}
