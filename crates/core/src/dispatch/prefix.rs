//! Prefixes of prompts that prefill engines hold.
//!
//! An engine that still holds the beginning of a prompt computes only the rest, but it may have a queue, and the record may
//! be wrong. So for each request the expected saving, in time at the measured prefill speed, is weighed against the
//! expected wait and the transfer (see `choose_prefill`): a prefix never makes a request wait longer than it saves.
//! Each host records the prompts that its engines have prefilled and reports them to its peers.

use super::{Dispatch, GenerationKey, ServerKey};
use crate::prefix::Prefix;
use crate::time::Instant;
use chestnutrack_wire::frame::PrefixReport;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of prompts that are reported to peers at a time.
const REPORTED_MAX: usize = 128;
/// Maximum number of prefixes of one prompt in a peer's report that are recorded.
const PREFIXES_MAX: usize = 32;

/// The prompt of a generation.
#[derive(Clone, Debug)]
pub(super) struct Prompt {
    /// Its prefixes, shortest first.
    pub(super) prefixes: Arc<[Prefix]>,
    /// When the generation was placed. Prefixes count as used from then on.
    pub(super) placed_at: Instant,
}

/// A prompt that an engine has prefilled for this host.
#[derive(Clone, Debug)]
pub(super) struct Record {
    engine: ServerKey,
    prompt: Prompt,
}

impl<T> Dispatch<T> {
    /// Returns the tokens of a prompt that each prefill engine of a service is expected to hold.
    pub(super) fn expected_cached(
        &self,
        now: Instant,
        service: &str,
        prefixes: &[Prefix],
    ) -> HashMap<ServerKey, f64> {
        let capacity = self.pools.get(service).map_or(0, |pool| pool.kv_tokens);
        match prefixes.is_empty() {
            true => HashMap::new(),
            false => self.prefixes.expected_tokens(prefixes, capacity, now),
        }
    }

    /// Records that an engine has prefilled the prompt of a generation.
    pub(super) fn record_prefix(&mut self, engine: ServerKey, generation: GenerationKey) {
        let Some(prompt) = self.prompts.get(generation).cloned() else { return };
        if !self.servers.contains_key(engine) {
            return;
        }
        self.prefixes.record(engine, &prompt.prefixes, prompt.placed_at, prompt.placed_at);
        if self.unreported_prefixes.len() < REPORTED_MAX {
            self.unreported_prefixes.push(Record { engine, prompt });
        }
    }

    /// Returns the prompts that engines have prefilled for this host since the last call, for the report to peers. A lost
    /// report costs at most what the prefixes would have saved, so none is repeated.
    pub fn take_prefix_reports(&mut self, now: Instant) -> Vec<PrefixReport> {
        let records = std::mem::take(&mut self.unreported_prefixes);
        let reports = records.into_iter().filter_map(|record| {
            let entry = &self.servers.get(record.engine)?.entry;
            let prefixes = record.prompt.prefixes.iter();
            let prefixes = prefixes
                .map(|prefix| (prefix.hash, u32::try_from(prefix.tokens).unwrap_or(u32::MAX)));
            Some(PrefixReport {
                server: entry.name.clone(),
                born: entry.born,
                prefixes: prefixes.collect(),
                age_ms: u32::try_from(now.since(record.prompt.placed_at).as_millis())
                    .unwrap_or(u32::MAX),
            })
        });
        reports.collect()
    }

    /// Records the prompts that engines have prefilled for a peer. Reports on other processes than those listed are ignored.
    pub fn record_peer_prefixes(&mut self, now: Instant, reports: &[PrefixReport]) {
        for report in reports.iter().take(REPORTED_MAX) {
            let Some(&key) = self.keys_by_name.get(&report.server) else { continue };
            if self.servers[key].entry.born != report.born {
                continue;
            }
            let prefixes: Vec<Prefix> = report
                .prefixes
                .iter()
                .take(PREFIXES_MAX)
                .map(|(hash, tokens)| Prefix { hash: *hash, tokens: u64::from(*tokens) })
                .collect();
            let at = now - Duration::from_millis(u64::from(report.age_ms));
            self.prefixes.record(key, &prefixes, at, now);
        }
    }
}
