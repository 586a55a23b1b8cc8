//! Runs an experiment on a fleet of processes.

mod balancer;
mod fault;
pub mod record;
mod send;

pub use record::Record;
pub use send::{Ended, Sent};

use crate::experiment::{Experiment, Planned, schedule};
use balancer::Balancer;
use chestnutrack_document::model::Document;
use chestnutrack_harness::{Error, Fleet, Settings};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until, timeout};

/// Time between progress lines.
const PROGRESS: Duration = Duration::from_secs(5);
/// Longest time after the last arrival for answers to end.
const DRAIN: Duration = Duration::from_secs(80);

/// What an experiment gave.
pub struct Outcome {
    /// The document.
    pub document: Document,
    /// Every request that was sent, its repetitions included.
    pub sent: Vec<Sent>,
    /// What the stand-ins have on record.
    pub record: Record,
    /// Requests whose answer had not ended when the run did.
    pub unended: u64,
}

/// Counts for the progress line.
#[derive(Default)]
struct Progress {
    sent: AtomicU64,
    ended: AtomicU64,
    whole: AtomicU64,
}

/// Runs an experiment; `progress` gets a line each 5 s.
///
/// # Errors
///
/// Names the process that could not be started or driven.
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
    let (ended, mut endings) = mpsc::unbounded_channel();
    let context = Arc::new(send::Context {
        document: fleet.document.clone(),
        deployment: experiment.deployment.deployment(),
        balancer,
    });
    let start = Instant::now();
    let sender = tokio::spawn(send_all(planned, start, context, counts.clone(), ended));
    let mut sent = Vec::new();
    let mut record = Record::default();
    let mut faults = fault::Timetable::new(experiment, start);
    let mut ticks = interval(PROGRESS);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let last = start + Duration::from_secs_f64(experiment.duration_s);
    while Instant::now() < last {
        tokio::select! {
            () = sleep_until(faults.next().unwrap_or(last).min(last)) => {
                if let Some(line) = faults.run_due(&mut fleet).await? {
                    progress(&line);
                }
            }
            Some(ending) = endings.recv() => sent.push(ending),
            _ = ticks.tick() => {
                record.poll(&fleet).await;
                progress(&line(start, &counts));
            }
        }
    }
    let drained = timeout(DRAIN, async {
        while let Some(ending) = endings.recv().await {
            sent.push(ending);
        }
    });
    let _ = drained.await;
    sender.abort();
    record.poll(&fleet).await;
    record.read_counts(&fleet).await;
    let unended = counts.sent.load(Ordering::Relaxed) - counts.ended.load(Ordering::Relaxed);
    let document = fleet.document.clone();
    Ok(Outcome { document, sent, record, unended })
}

fn line(start: Instant, counts: &Progress) -> String {
    let count = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let (sent, ended) = (count(&counts.sent), count(&counts.ended));
    let seconds = start.elapsed().as_secs();
    format!("{seconds:4} s: {sent} sent, {} open, {} whole", sent - ended, count(&counts.whole))
}

/// Sends every request at its time, whatever became of the ones before.
async fn send_all(
    planned: Vec<Planned>,
    start: Instant,
    context: Arc<send::Context>,
    counts: Arc<Progress>,
    ended: mpsc::UnboundedSender<Sent>,
) {
    for request in planned {
        sleep_until(start + request.at).await;
        let (context, counts, ended) = (context.clone(), counts.clone(), ended.clone());
        tokio::spawn(async move {
            let request = Arc::new(request);
            let first = one(&request, false, &context, &counts, &ended);
            let Some(after) = request.repeat else {
                return first.await;
            };
            let again = async {
                tokio::time::sleep(after).await;
                one(&request, true, &context, &counts, &ended).await;
            };
            tokio::join!(first, again);
        });
    }
}

async fn one(
    request: &Arc<Planned>,
    repeated: bool,
    context: &send::Context,
    counts: &Progress,
    ended: &mpsc::UnboundedSender<Sent>,
) {
    counts.sent.fetch_add(1, Ordering::Relaxed);
    let sent = context.send(request.clone(), repeated).await;
    counts.ended.fetch_add(1, Ordering::Relaxed);
    if sent.is_whole() {
        counts.whole.fetch_add(1, Ordering::Relaxed);
    }
    let _ = ended.send(sent);
}
