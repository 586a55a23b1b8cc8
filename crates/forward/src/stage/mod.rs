//! Changes engines' stages, as one host at a time.
//!
//! Whoever gives orders holds the lease, an object of the platform's store, and states the lease's
//! epoch with each order. The lease is not renewed at rest: just before an order, its holder writes
//! it again under the version that it knows, which fails if another host has taken it. A host that
//! takes it over waits until every order of the one before must have arrived.

mod lease;

use crate::app::{App, Target};
use crate::dialect::{Order, Report};
use crate::mesh::Mesh;
use bytes::Bytes;
use chestnutrack_core::dispatch::Stage;
use chestnutrack_core::time::Instant;
use chestnutrack_process::timer::Timer;
use chestnutrack_process::{clock, http};
use chestnutrack_store::client::Client;
use lease::{Held, Lease};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time between looks at the split of engines.
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// Time that each host leaves to those before it, so that one acts.
const STEP: Duration = Duration::from_secs(4);
/// Longest time between the sending of the write that confirms the lease and that of an order.
const CONFIRMED_FOR: Duration = Duration::from_millis(500);
/// Longest time for an engine's answer to an order or a question.
const ANSWER_WITHIN: Duration = Duration::from_millis(1_000);
/// Largest answer of an engine to an order or a question, in bytes.
const ANSWER_BYTES: usize = 64 << 10;
/// How much longer than it says an engine is taken to be out of use.
const CHANGE_MARGIN: Duration = Duration::from_millis(1_000);
/// How long an order that was not answered may still be carried out.
const LATE: Duration = Duration::from_secs(13);
/// An engine took the order, or does what is ordered already.
const TAKEN: [u16; 2] = [200, 202];

/// What gives orders.
pub struct Orders {
    app: Arc<App>,
    mesh: Arc<Mesh>,
    lease: Lease,
    /// Since when a change has been due.
    due_since: Option<Instant>,
}

impl Orders {
    /// Gives no order yet.
    pub fn new(app: Arc<App>, mesh: Arc<Mesh>, client: Client, kind: &'static str) -> Orders {
        let lease = Lease::new(client, kind, app.settings.name.clone(), app.settings.incarnation);
        Orders { app, mesh, lease, due_since: None }
    }

    /// Gives orders when they are due, until the process ends.
    pub async fn run(mut self, timer: Timer) {
        let mut looks = timer.subscribe(LOOK_EVERY);
        while looks.recv().await.is_some() {
            let changes = self.due();
            if changes.is_empty() || self.mesh.is_other_host_ordering() {
                self.due_since = None;
                continue;
            }
            let now = clock::now();
            let since = *self.due_since.get_or_insert(now);
            let Some(rank) = self.mesh.rank() else { continue };
            let rank = u32::try_from(rank).unwrap_or(u32::MAX);
            if now.since(since) >= STEP.saturating_mul(rank) && !self.app.is_draining() {
                self.set_ordering(true);
                self.give(changes).await;
                self.set_ordering(false);
                self.due_since = None;
            }
        }
    }

    /// Tells the other hosts whether this one is at it.
    fn set_ordering(&self, ordering: bool) {
        self.app.orders_pending.store(ordering, Ordering::Relaxed);
        self.app.urgent_gossip_due.notify_one();
    }

    /// Changes that are due, by service.
    fn due(&self) -> Vec<(Target, Stage)> {
        let now = clock::now();
        let state = self.app.state();
        let services = state.dispatch.services();
        let changes =
            services.iter().flat_map(|service| state.dispatch.plan_stage_changes(now, service));
        let targets = changes.filter_map(|(key, stage)| Some((state.target(key)?, stage)));
        targets.collect()
    }

    async fn give(&mut self, changes: Vec<(Target, Stage)>) {
        self.lease.set_cell(self.app.cell());
        let held = match self.lease.take().await {
            Ok(held) => held,
            Err(error) => {
                tracing::info!(%error, "lease for orders not held");
                return;
            }
        };
        if held.taken_over {
            tracing::info!(epoch = held.epoch, "lease for orders taken over");
            tokio::time::sleep(self.app.settings.lease + CONFIRMED_FOR + ANSWER_WITHIN).await;
        }
        for (target, stage) in changes {
            self.order(&target, stage).await;
        }
    }

    /// Gives one order, under a lease that was confirmed just before.
    async fn order(&mut self, target: &Target, stage: Stage) {
        let server = target.entry.name.clone();
        let report = match self.report(target).await {
            Ok(report) => report,
            Err(error) => {
                tracing::info!(%server, %error, "no report before an order");
                return;
            }
        };
        if report.busy || report.stage == Some(stage) {
            tracing::info!(%server, busy = report.busy, "order not needed");
            return;
        }
        let held = match self.lease.confirm().await {
            Ok(held) => held,
            Err(error) => {
                tracing::info!(%server, %error, "lease for orders not confirmed");
                return;
            }
        };
        self.send(target, stage, &report, held).await;
    }

    async fn send(&self, target: &Target, stage: Stage, report: &Report, held: Held) {
        let order = Order {
            server: target.entry.name.clone(),
            stage,
            holder: self.app.settings.name.clone(),
            epoch: held.epoch,
            orders: report.orders,
        };
        let Ok(request) = (self.app.dialect.order)(&order) else { return };
        if clock::now().since(held.confirmed) > CONFIRMED_FOR {
            tracing::warn!(server = %order.server, "order not sent: this process was stopped");
            return;
        }
        let takes = self.stage_switch(&target.entry.service) + CHANGE_MARGIN;
        self.note_changing(&order.server, takes);
        let answer = target.pool.call(request, ANSWER_WITHIN, ANSWER_BYTES).await;
        let status = answer.as_ref().ok().map(|answer| answer.status().as_u16());
        let error = answer.as_ref().err().map(ToString::to_string);
        let (server, epoch, sequence) = (&order.server, order.epoch, order.orders);
        let stage = stage.name();
        tracing::info!(%server, stage, epoch, sequence, status, error, "order given");
        if status.is_none_or(|status| !TAKEN.contains(&status)) {
            // It may still be carried out.
            self.note_changing(server, LATE);
        }
    }

    fn note_changing(&self, server: &str, takes: Duration) {
        self.app.state().dispatch.record_stage_change(clock::now(), server, takes);
        self.app.urgent_gossip_due.notify_one();
    }

    fn stage_switch(&self, service: &str) -> Duration {
        let in_force = self.app.active_config();
        let engine = in_force.and_then(|now| now.table.service(service)?.engine);
        engine.map_or(Duration::ZERO, |engine| engine.stage_switch)
    }

    async fn report(&self, target: &Target) -> Result<Report, http::Error> {
        let request = http::request("GET", self.app.dialect.report_path, Bytes::new())?;
        let answer = target.pool.call(request, ANSWER_WITHIN, ANSWER_BYTES).await?;
        let report = (self.app.dialect.report)(answer.body());
        report.ok_or_else(|| http::Error::Broken("report can't be read".to_owned()))
    }
}
