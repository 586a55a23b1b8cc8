//! Runs an experiment: starts a fleet of processes, sends the load, injects the faults and collects
//! the results.

mod balancer;
mod fault;
pub mod record;
mod send;

pub use record::Record;
pub use send::{SendResult, SentRequest};

use crate::experiment::{Experiment, PlannedRequest, schedule};
use balancer::Balancer;
use chestnutrack_document::model::Document;
use chestnutrack_harness::{Error, Fleet, Settings};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until, timeout};

/// Interval between progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);
/// Longest wait for responses after the end of the load.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(80);

/// Outcome of an experiment.
pub struct Outcome {
    /// The document of the deployment at the end of the run.
    pub document: Document,
    /// Every request that ended, repetitions included.
    pub sent: Vec<SentRequest>,
    /// Calls and counters that the stand-ins recorded.
    pub record: Record,
    /// Requests that were still in flight when the run ended.
    pub unfinished: u64,
}

/// Counters for the progress line.
#[derive(Default)]
struct Progress {
    sent: AtomicU64,
    ended: AtomicU64,
    complete: AtomicU64,
}

/// Runs an experiment. Calls `progress` with a line at the start, every 5 s and for each fault.
///
/// # Errors
///
/// Returns an error that names the process that could not be started or controlled.
pub async fn run(experiment: &Experiment, progress: impl Fn(&str)) -> Result<Outcome, Error> {
    let mut fleet = Fleet::start(Settings {
        deployment: experiment.deployment.deployment(),
        entries: experiment.entries,
        links: experiment.links,
        engine_arguments: experiment.engine_arguments.clone(),
        ..Settings::default()
    })
    .await?;
    let planned = schedule(experiment, &fleet.document);
    progress(&format!("{} processes, {} requests", fleet.process_names().len(), planned.len()));
    let balancer = Balancer::start(&fleet);
    let counts = Arc::new(Progress::default());
    let (results, mut received) = mpsc::unbounded_channel();
    let context = Arc::new(send::Context {
        document: fleet.document.clone(),
        deployment: experiment.deployment.deployment(),
        balancer,
    });
    let start = Instant::now();
    let load_task = tokio::spawn(send_all(planned, start, context, counts.clone(), results));
    let mut sent = Vec::new();
    let mut record = Record::default();
    let mut faults = fault::FaultSchedule::new(experiment, start);
    let mut progress_ticks = interval(PROGRESS_INTERVAL);
    progress_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let load_end = start + Duration::from_secs_f64(experiment.duration_s);
    while Instant::now() < load_end {
        tokio::select! {
            () = sleep_until(faults.next_due().unwrap_or(load_end).min(load_end)) => {
                if let Some(line) = faults.run_due(&mut fleet).await? {
                    progress(&line);
                }
            }
            Some(request) = received.recv() => sent.push(request),
            _ = progress_ticks.tick() => {
                record.poll(&fleet).await;
                progress(&progress_line(start, &counts));
            }
        }
    }
    let drained = timeout(DRAIN_TIMEOUT, async {
        while let Some(request) = received.recv().await {
            sent.push(request);
        }
    });
    let _ = drained.await;
    load_task.abort();
    record.poll(&fleet).await;
    record.read_counts(&fleet).await;
    let unfinished = counts.sent.load(Ordering::Relaxed) - counts.ended.load(Ordering::Relaxed);
    let document = fleet.document.clone();
    Ok(Outcome { document, sent, record, unfinished })
}

fn progress_line(start: Instant, counts: &Progress) -> String {
    let count = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let (sent, ended) = (count(&counts.sent), count(&counts.ended));
    let seconds = start.elapsed().as_secs();
    format!("{seconds:4} s: {sent} sent, {} open, {} whole", sent - ended, count(&counts.complete))
}

/// Sends every request at its planned time, whether or not earlier ones have ended.
async fn send_all(
    planned: Vec<PlannedRequest>,
    start: Instant,
    context: Arc<send::Context>,
    counts: Arc<Progress>,
    results: mpsc::UnboundedSender<SentRequest>,
) {
    for request in planned {
        sleep_until(start + request.at).await;
        let (context, counts, results) = (context.clone(), counts.clone(), results.clone());
        tokio::spawn(async move {
            let request = Arc::new(request);
            let first = send_one(&request, false, &context, &counts, &results);
            let Some(delay) = request.repeat_after else {
                return first.await;
            };
            let repetition = async {
                tokio::time::sleep(delay).await;
                send_one(&request, true, &context, &counts, &results).await;
            };
            tokio::join!(first, repetition);
        });
    }
}

/// Sends a request, counts it in the progress and passes on its result. `repeated` marks its
/// repetition under the same idempotency key.
async fn send_one(
    request: &Arc<PlannedRequest>,
    repeated: bool,
    context: &send::Context,
    counts: &Progress,
    results: &mpsc::UnboundedSender<SentRequest>,
) {
    counts.sent.fetch_add(1, Ordering::Relaxed);
    let sent = context.send(request.clone(), repeated).await;
    counts.ended.fetch_add(1, Ordering::Relaxed);
    if sent.is_complete() {
        counts.complete.fetch_add(1, Ordering::Relaxed);
    }
    let _ = results.send(sent);
}
