//! Which engines should change their stage, and which are changing it.

use super::{Dispatch, ServerKey, Stage};
use crate::plan::{Demand, Engines};
use crate::time::Instant;
use chestnutrack_wire::frame::DemandNews;
use std::sync::Arc;
use std::time::Duration;

/// Least weight of a new generation in what is known of the requests.
const SMOOTHING: f64 = 0.02;
/// Generations that must have been seen, on all hosts, before a split is planned.
const SEEN_MIN: u32 = 16;
/// Most generations of one host that count, so that an old host's word is not worth more.
const SEEN_COUNTED: u32 = 50;
/// How long a split stays as it is after a change.
const SETTLED_AFTER: Duration = Duration::from_secs(20);

/// What is known of a service's requests, from those of one host.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Known {
    seen: u32,
    prompt_tokens: f64,
    token_ms: f64,
}

impl Known {
    /// Notes a generation that begins, with the length that is expected of it. What has ended says
    /// less: at first, only short ones have.
    pub(super) fn note(&mut self, prompt: f64, expected: f64, tokens_per_ms: f64) {
        let token_ms = (prompt + expected / 2.0) * expected / tokens_per_ms;
        let weight = SMOOTHING.max(1.0 / f64::from(self.seen + 1));
        self.seen = self.seen.saturating_add(1);
        self.prompt_tokens += weight * (prompt - self.prompt_tokens);
        self.token_ms += weight * (token_ms - self.token_ms);
    }

    /// What a peer knows.
    fn of(news: &DemandNews) -> Known {
        Known {
            seen: news.seen,
            prompt_tokens: f64::from(news.prompt_tokens),
            token_ms: news.token_ms as f64,
        }
    }

    fn merge(self, other: Known) -> Known {
        let (own, its) = (self.seen.min(SEEN_COUNTED), other.seen.min(SEEN_COUNTED));
        let part = f64::from(its) / f64::from((own + its).max(1));
        Known {
            seen: own + its,
            prompt_tokens: self.prompt_tokens + part * (other.prompt_tokens - self.prompt_tokens),
            token_ms: self.token_ms + part * (other.token_ms - self.token_ms),
        }
    }
}

impl<T> Dispatch<T> {
    /// The engines of a service that should change their stage now, and to which.
    pub fn plan_stage_changes(&self, now: Instant, service: &str) -> Vec<(ServerKey, Stage)> {
        let Some(pool) = self.pools.get(service) else { return Vec::new() };
        let settled = pool.changed_at.is_none_or(|at| now.since(at) >= SETTLED_AFTER);
        let told = self.peers.values().filter_map(|peer| peer.demand(service)).map(Known::of);
        let known = told.fold(pool.known, Known::merge);
        if !settled || known.seen < SEEN_MIN {
            return Vec::new();
        }
        let of = |stage| {
            let engines = self.servers.iter().filter(move |(_, server)| {
                &*server.entry.service == service && server.entry.stage == Some(stage)
            });
            engines
                .filter(|(_, server)| server.own && server.is_open())
                .map(|(key, _)| key)
                .collect::<Vec<_>>()
        };
        let (prefill, decode) = (of(Stage::Prefill), of(Stage::Decode));
        let loads = self.loads(now);
        let held = |key: &ServerKey| {
            loads.get(key).into_iter().flatten().map(|run| run.context).sum::<f64>()
        };
        let used = decode.iter().map(held).sum::<f64>();
        let engines = Engines {
            prefill: prefill.len(),
            decode: decode.len(),
            prefill_per_ms: pool.prefill_per_ms,
            kv_tokens: pool.kv_tokens as f64,
            memory_used: used / (decode.len() as f64 * pool.kv_tokens as f64).max(1.0),
        };
        let demand = Demand { prompt_tokens: known.prompt_tokens, token_ms: known.token_ms };
        let Some(wanted) = engines.split(&demand, &self.settings.plan) else { return Vec::new() };
        let (from, to, count) = match wanted < prefill.len() {
            true => (prefill, Stage::Decode, engines.prefill - wanted),
            false => (decode, Stage::Prefill, wanted - engines.prefill),
        };
        let mut least: Vec<ServerKey> = from;
        least
            .sort_by_key(|key| (loads.get(key).map_or(0, Vec::len), self.servers[*key].prefilling));
        least.into_iter().take(count).map(|key| (key, to)).collect()
    }

    /// Notes that an engine changes its stage and is out of use for so long.
    pub fn record_stage_change(&mut self, now: Instant, name: &str, takes: Duration) {
        let Some(&key) = self.names.get(name) else { return };
        if let Some(server) = self.servers.get_mut(key) {
            server.changing_until = server.changing_until.max(now + takes);
            let service = server.entry.service.clone();
            self.pools.entry(service).or_default().changed_at = Some(now);
        }
    }

    /// What this host tells of its requests.
    pub fn demand_reports(&self) -> Vec<DemandNews> {
        let known = self.pools.iter().filter(|(_, pool)| pool.known.seen > 0);
        let news = known.map(|(service, pool)| DemandNews {
            service: service.clone(),
            seen: pool.known.seen,
            prompt_tokens: pool.known.prompt_tokens as u32,
            token_ms: pool.known.token_ms as u64,
        });
        news.collect()
    }

    /// Engines that change their stage, and for how much longer, in milliseconds.
    pub fn changing_engines(&self, now: Instant) -> Vec<(Arc<str>, u32)> {
        let changing = self.servers.values().filter(|server| server.changing_until > now);
        let left = |until: Instant| u32::try_from(now.millis_until(until)).unwrap_or(u32::MAX);
        changing.map(|s| (s.entry.name.clone(), left(s.changing_until))).collect()
    }

    /// Services that have engines.
    pub fn services(&self) -> Vec<Arc<str>> {
        self.pools.keys().cloned().collect()
    }
}
