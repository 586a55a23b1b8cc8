//! Injects the faults of an experiment at their times.

use crate::experiment::{Experiment, Fault, FaultKind};
use chestnutrack_harness::{Error, Fleet};
use serde_json::json;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Faults that have not been injected yet, in order of time.
pub(super) struct FaultSchedule {
    start: Instant,
    faults: VecDeque<Fault>,
}

impl FaultSchedule {
    pub(super) fn new(experiment: &Experiment, start: Instant) -> FaultSchedule {
        let mut faults = experiment.faults.clone();
        faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        FaultSchedule { start, faults: faults.into() }
    }

    /// Returns the time of the next fault.
    pub(super) fn next_due(&self) -> Option<Instant> {
        self.faults.front().map(|fault| self.start + Duration::from_secs_f64(fault.at_s))
    }

    /// Injects the next fault if it is due. Returns a line that describes it.
    pub(super) async fn run_due(&mut self, fleet: &mut Fleet) -> Result<Option<String>, Error> {
        if self.next_due().is_none_or(|next| next > Instant::now()) {
            return Ok(None);
        }
        let Some(fault) = self.faults.pop_front() else {
            return Ok(None);
        };
        let line = format!("{:4} s: {}", fault.at_s, json!(fault.kind));
        inject(&fault.kind, fleet).await?;
        Ok(Some(line))
    }
}

/// Applies a fault to the process, server or object interface that it names.
async fn inject(kind: &FaultKind, fleet: &mut Fleet) -> Result<(), Error> {
    match kind {
        FaultKind::Kill { process } => {
            fleet.process(process)?.kill().await;
            Ok(())
        }
        FaultKind::Restart { process } => fleet.process(process)?.restart(),
        FaultKind::Stop { process } => fleet.process(process)?.pause(),
        FaultKind::Continue { process } => fleet.process(process)?.resume(),
        FaultKind::Terminate { process } => fleet.process(process)?.terminate(),
        FaultKind::Outage => set_platform_faults(fleet, json!({ "down": true })).await,
        FaultKind::OutageEnds => set_platform_faults(fleet, json!({ "down": false })).await,
        FaultKind::Slow { delay_ms } => {
            set_platform_faults(fleet, json!({ "delay_ms": delay_ms })).await
        }
        FaultKind::Leave { server } => mark_leaving(fleet, server).await,
        FaultKind::Silence { server } => {
            fleet.link(&format!("side-{server}"))?.stall_open();
            Ok(())
        }
    }
}

async fn set_platform_faults(fleet: &Fleet, faults: serde_json::Value) -> Result<(), Error> {
    fleet.control(fleet.platform(), "faults", &faults).await.map(drop)
}

async fn mark_leaving(fleet: &mut Fleet, server: &str) -> Result<(), Error> {
    let mut document = fleet.document.clone();
    for listed in document.pools.iter_mut().flat_map(|pool| &mut pool.servers) {
        listed.leaving |= listed.name.as_ref() == server;
    }
    fleet.write_document(&document, None).await?;
    fleet.document = document;
    Ok(())
}
