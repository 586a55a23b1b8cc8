//! Faults on a timetable.

use crate::experiment::{Experiment, Fault, What};
use chestnutrack_harness::{Error, Fleet};
use serde_json::json;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Faults still to come.
pub(super) struct Timetable {
    start: Instant,
    faults: VecDeque<Fault>,
}

impl Timetable {
    pub(super) fn new(experiment: &Experiment, start: Instant) -> Timetable {
        let mut faults = experiment.faults.clone();
        faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        Timetable { start, faults: faults.into() }
    }

    /// When the next fault is due.
    pub(super) fn next(&self) -> Option<Instant> {
        self.faults.front().map(|fault| self.start + Duration::from_secs_f64(fault.at_s))
    }

    /// Lets the next fault happen, if it is due; returns a line that says so.
    pub(super) async fn run_due(&mut self, fleet: &mut Fleet) -> Result<Option<String>, Error> {
        if self.next().is_none_or(|next| next > Instant::now()) {
            return Ok(None);
        }
        let Some(fault) = self.faults.pop_front() else {
            return Ok(None);
        };
        let line = format!("{:4} s: {}", fault.at_s, json!(fault.what));
        happen(&fault.what, fleet).await?;
        Ok(Some(line))
    }
}

async fn happen(what: &What, fleet: &mut Fleet) -> Result<(), Error> {
    match what {
        What::Kill { process } => {
            fleet.process(process)?.kill().await;
            Ok(())
        }
        What::Restart { process } => fleet.process(process)?.restart(),
        What::Stop { process } => fleet.process(process)?.pause(),
        What::Continue { process } => fleet.process(process)?.resume(),
        What::Terminate { process } => fleet.process(process)?.terminate(),
        What::Outage => platform(fleet, json!({ "down": true })).await,
        What::OutageEnds => platform(fleet, json!({ "down": false })).await,
        What::Slow { delay_ms } => platform(fleet, json!({ "delay_ms": delay_ms })).await,
        What::Leave { server } => leave(fleet, server).await,
        What::Silence { server } => {
            fleet.link(&format!("side-{server}"))?.stall_open();
            Ok(())
        }
    }
}

async fn platform(fleet: &Fleet, faults: serde_json::Value) -> Result<(), Error> {
    fleet.control(fleet.platform(), "faults", &faults).await.map(drop)
}

async fn leave(fleet: &mut Fleet, server: &str) -> Result<(), Error> {
    let mut document = fleet.document.clone();
    for listed in document.pools.iter_mut().flat_map(|pool| &mut pool.servers) {
        listed.leaving |= listed.name.as_ref() == server;
    }
    fleet.write_document(&document, None).await?;
    fleet.document = document;
    Ok(())
}
