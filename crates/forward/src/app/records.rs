//! Records in the store of which builds began streams: what this host is to write, and what it has read.

use super::App;
use chestnutrack_core::origin::{Record, Step, StepResult};
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use chestnutrack_wire::frame::OriginReport;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Longest time that a stream is taken to last by a record, whatever the record says.
const LEFT_MAX: Duration = Duration::from_secs(600);

/// Returns the wall clock's time since the epoch of Unix.
pub(crate) fn wall_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

impl App {
    /// Adds the reports that this host is to write to the store.
    pub(crate) fn record_for_store(&self, reports: &[OriginReport]) {
        let mut state = self.state();
        let mut is_new = false;
        for report in reports.iter().filter(|report| report.record) {
            let until = wall_time() + Duration::from_millis(report.left_ms.into());
            // Rounded down, so that no record outlives its stream.
            is_new |= state.recorder.add(Record {
                stream: report.stream.into(),
                build: report.build.clone(),
                until_s: until.as_secs(),
            });
        }
        drop(state);
        if is_new {
            self.records_due.notify_one();
        }
    }

    /// Returns the call to the store by which records are to be written or deleted now.
    pub(crate) fn next_record_step(&self, store_epoch: u64) -> Option<Step> {
        let mut state = self.state();
        let step = state.recorder.next(wall_time().as_secs(), store_epoch);
        let dropped = state.recorder.dropped();
        drop(state);
        let counted = &self.metrics.records_dropped;
        counted.inc_by(dropped.saturating_sub(counted.get()));
        step
    }

    /// Records the result of a call by which records were to be written or deleted.
    pub(crate) fn record_step_result(&self, segment: usize, result: StepResult) {
        self.state().recorder.record_result(segment, result);
    }

    /// Returns whether no record is to be written or deleted, now or later.
    pub(crate) fn has_no_records(&self) -> bool {
        self.state().recorder.is_idle()
    }

    /// Has the store's records read for streams that no keeper knows.
    pub(crate) fn read_records(&self) {
        self.state().origins.read_records();
    }

    /// Returns whether streams are searched for of which the store's records are to be read.
    pub(crate) fn needs_records(&self) -> bool {
        self.state().origins.needs_records(clock::now())
    }

    /// Records what the store's records say, as of a list that was requested at `requested_at`; `None` if they could not be
    /// read.
    pub(crate) fn record_stored_origins(&self, requested_at: Instant, stored: Option<&[Record]>) {
        let (now, wall_ms) = (clock::now(), wall_time().as_millis());
        let mut state = self.state();
        // A record may name an engine's process in place of its build, if it was written before the engine was listed.
        let names: HashMap<Arc<str>, Arc<str>> = match stored {
            Some([_, ..]) => state.dispatch.builds_while_unlisted().collect(),
            _ => HashMap::new(),
        };
        let reports = stored.map(|records| {
            let report = |record: &Record| OriginReport {
                stream: record.stream.number(),
                build: names.get(&record.build).unwrap_or(&record.build).clone(),
                left_ms: u128::from(record.until_s)
                    .saturating_mul(1_000)
                    .saturating_sub(wall_ms)
                    .min(LEFT_MAX.as_millis()) as u32,
                record: false,
            };
            records.iter().map(report).collect::<Vec<_>>()
        });
        if let Some(reports) = &reports {
            let recorded = reports.iter().map(|report| &*report.build);
            state.builds.record_recorded(now, recorded);
        }
        let stored = reports.as_deref().map(|reports| (requested_at, reports));
        state.origins.record_stored(now, stored);
        self.count_origins(&state);
        drop(state);
        self.origins_changed.notify_waiters();
    }
}
