//! Cold servers: what is sent to them, logged and counted.

use super::{App, Target};
use chestnutrack_core::dispatch::{ColdBound, ColdChange};
use chestnutrack_process::clock;
use chestnutrack_process::pool::Reuse;
use std::sync::Arc;
use std::time::Duration;

impl App {
    /// Records what a server said in an answer of how much longer it stays cold.
    pub(super) fn record_cold(&self, target: &Target, left: Duration) {
        let is_new = self.state().dispatch.record_cold(clock::now(), target.key, left);
        if is_new {
            self.report_cold_servers();
        }
    }

    /// Records that all servers are listed. Those that follow start during traffic.
    pub fn record_servers_listed(&self) {
        self.state().dispatch.record_servers_listed();
    }

    /// Records the names of all other hosts, if no store lists them.
    pub fn record_hosts(&self, others: &[Arc<str>]) {
        let name = &self.settings.name;
        self.state().dispatch.set_hosts(clock::now(), name, others, true);
    }

    /// Sets the bound of the requests that a cold server may get. Returns `true` if it changed.
    pub fn set_cold_bound(&self, bound: ColdBound) -> bool {
        self.state().dispatch.set_cold_bound(bound)
    }

    /// Counts a request that is about to be sent to a server on a connection that `reuse` allows, and the probe of its
    /// process if that may have to be made first. Returns `false` if the server is cold and they exceed what this host may
    /// send it.
    pub(crate) fn may_send(&self, target: &Target, reuse: Reuse) -> bool {
        let requests = 1 + usize::from(target.pool.needs_probe(reuse));
        let may_send = self.state().dispatch.record_send(clock::now(), target.key, requests);
        if !may_send {
            self.metrics.cold_withheld.inc();
        }
        may_send
    }

    /// Logs and counts the servers that have become cold or warm.
    pub(crate) fn report_cold_servers(&self) {
        let now = clock::now();
        let (changes, cold) = {
            let mut state = self.state();
            (state.dispatch.cold_changes(now), state.dispatch.cold_servers(now))
        };
        self.metrics.cold_servers.set(i64::try_from(cold).unwrap_or(i64::MAX));
        for ColdChange { server, source, left, per_s, share } in changes {
            let Some(source) = source else {
                tracing::info!(%server, "server is warm");
                self.metrics.cold_changes.with_label_values(&["warm"]).inc();
                continue;
            };
            let (source, left_ms) = (source.name(), left.as_millis() as u64);
            tracing::info!(%server, source, left_ms, per_s, share, "server is cold");
            self.metrics.cold_changes.with_label_values(&[source]).inc();
        }
    }
}
