//! Tells and asks other hosts which builds began streams.
//!
//! Each stream has a few keepers among all hosts of the fleet, also those of other cells, to which this host connects when
//! it has something to tell or to ask.

use super::{Mesh, link};
use chestnutrack_core::origin::{Keepers, Recorders, Stream};
use chestnutrack_store::backoff::Backoff;
use chestnutrack_wire::Connection;
use chestnutrack_wire::frame::{Frame, OriginReport};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// Longest time to ask a keeper, with the time to connect.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a connection to a keeper that is told nothing is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// First and longest pause before a connection to a keeper is retried.
const RETRY_PAUSE_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(2_000));
/// Time for which reports are gathered for the hosts that write records to the store, for each host of the fleet: each of
/// them gets at most 1,000 messages a second, whatever the size of the fleet.
const RECORDER_PAUSE_PER_HOST: Duration = Duration::from_millis(1);
/// Least time for which they are gathered.
const RECORDER_PAUSE_MIN: Duration = Duration::from_millis(100);
/// Messages that wait for a connection to a keeper at most.
const QUEUED_MAX: usize = 64;
/// Largest number of streams in a frame.
const FRAME_STREAMS_MAX: usize = 1_024;

/// Connections by which other hosts are told of streams.
#[derive(Debug, Default)]
pub(super) struct Couriers {
    /// Messages for each host that is connected or being connected to.
    messages: HashMap<Arc<str>, mpsc::Sender<Vec<OriginReport>>>,
    /// Reports that the hosts which write records to the store have not been told.
    unrecorded: Vec<OriginReport>,
    /// Process of each host that was told all that it keeps.
    informed: HashMap<Arc<str>, u64>,
}

impl Mesh {
    fn couriers(&self) -> MutexGuard<'_, Couriers> {
        self.couriers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells and asks the keepers of streams whenever that is due, for the lifetime of the process.
    pub(super) async fn exchange_origins(self: Arc<Mesh>) {
        loop {
            self.app.origins_due.notified().await;
            let requests = self.app.take_origin_requests();
            self.tell_keepers(requests.told);
            // A host that has just started does not know the others yet.
            if self.knows_hosts() {
                self.ask_keepers(requests.asked);
            }
        }
    }

    /// Sets the hosts among which the keepers of streams are found, and those that write them to the store.
    pub(super) fn set_keepers(&self, keepers: Keepers, recorders: Recorders) {
        let keepers = Arc::new((keepers, recorders));
        *self.keepers.lock().unwrap_or_else(PoisonError::into_inner) = keepers;
    }

    fn keepers(&self) -> Arc<(Keepers, Recorders)> {
        self.keepers.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns items by the keepers of their streams.
    fn by_keeper<T: Clone>(
        &self,
        items: &[T],
        stream: impl Fn(&T) -> Stream,
    ) -> BTreeMap<Arc<str>, Vec<T>> {
        let keepers = self.keepers();
        let mut by_keeper: BTreeMap<Arc<str>, Vec<T>> = BTreeMap::new();
        for item in items {
            for keeper in keepers.0.of(stream(item)) {
                by_keeper.entry(keeper.clone()).or_default().push(item.clone());
            }
        }
        by_keeper
    }

    /// Tells the keepers of streams which builds began them, and has them written to the store.
    fn tell_keepers(self: &Arc<Mesh>, reports: Vec<OriginReport>) {
        if reports.is_empty() {
            return;
        }
        for (keeper, reports) in self.by_keeper(&reports, |report| report.stream.into()) {
            self.send_origins(&keeper, reports);
        }
        let is_first = {
            let mut couriers = self.couriers();
            let is_first = couriers.unrecorded.is_empty();
            couriers.unrecorded.extend(reports);
            is_first
        };
        if is_first {
            tokio::spawn(self.clone().tell_recorders());
        }
    }

    /// Tells the hosts that write records to the store of the streams that are gathered until then.
    async fn tell_recorders(self: Arc<Mesh>) {
        let hosts = u32::try_from(self.other_host_count() + 1).unwrap_or(u32::MAX);
        let gathering_time = RECORDER_PAUSE_PER_HOST.saturating_mul(hosts).max(RECORDER_PAUSE_MIN);
        sleep(gathering_time).await;
        let reports = std::mem::take(&mut self.couriers().unrecorded);
        // A host that has just started may know by now that there was only one build. What this host knows counts, not what
        // the recorder knows: a process that has started again under a server's name is known to those that called it.
        if !self.app.shares_origins() {
            return;
        }
        let gathering_ms = u32::try_from(gathering_time.as_millis()).unwrap_or(u32::MAX);
        let keepers = self.keepers();
        let mut by_recorder: BTreeMap<&Arc<str>, Vec<OriginReport>> = BTreeMap::new();
        for report in reports {
            let Some(recorder) = keepers.1.of(report.stream.into()) else { continue };
            let left_ms = report.left_ms.saturating_sub(gathering_ms);
            let report = OriginReport { left_ms, record: true, ..report };
            by_recorder.entry(recorder).or_default().push(report);
        }
        for (recorder, reports) in by_recorder {
            if *recorder == self.app.settings.name {
                self.app.record_for_store(&reports);
            } else {
                self.send_origins(recorder, reports);
            }
        }
    }

    /// Tells a host whose process `incarnation` has not been seen before of all streams that it keeps.
    pub(super) fn inform_keeper(self: &Arc<Mesh>, name: &Arc<str>, incarnation: u64) {
        let informed = self.couriers().informed.insert(name.clone(), incarnation);
        if informed == Some(incarnation) || !self.app.shares_origins() {
            return;
        }
        // The connection to the process before is of no use.
        self.couriers().messages.remove(name);
        let kept = self.kept_by(name);
        if !kept.is_empty() {
            self.send_origins(name, kept);
        }
    }

    /// Returns what this host knows of the streams that a host keeps or writes to the store.
    fn kept_by(&self, name: &Arc<str>) -> Vec<OriginReport> {
        let keepers = self.keepers();
        let (keepers, recorders) = &*keepers;
        let is_recorder = |stream| recorders.of(stream) == Some(name);
        let is_kept =
            |stream| is_recorder(stream) || keepers.of(stream).any(|keeper| keeper == name);
        let mut kept = self.app.kept_origins(is_kept);
        kept.iter_mut().for_each(|report| report.record = is_recorder(report.stream.into()));
        kept
    }

    /// Sends reports to a host, and connects to it if necessary. They are dropped if the connection is not fast enough.
    fn send_origins(self: &Arc<Mesh>, name: &Arc<str>, reports: Vec<OriginReport>) {
        let mut couriers = self.couriers();
        let sender = couriers.messages.get(name).filter(|sender| !sender.is_closed());
        let sender = sender.cloned().unwrap_or_else(|| {
            let (sender, messages) = mpsc::channel(QUEUED_MAX);
            tokio::spawn(deliver(self.clone(), name.clone(), messages));
            couriers.messages.insert(name.clone(), sender.clone());
            sender
        });
        let streams = reports.len();
        if let Err(mpsc::error::TrySendError::Full(_)) = sender.try_send(reports) {
            tracing::warn!(peer = %name, streams, "builds of streams not told: too many messages wait");
        }
    }

    /// Asks the keepers of streams which builds began them.
    fn ask_keepers(self: &Arc<Mesh>, streams: Vec<Stream>) {
        let by_keeper = self.by_keeper(&streams, |stream| *stream);
        for stream in &streams {
            let asked = by_keeper.values().filter(|streams| streams.contains(stream)).count();
            self.app.record_origin_asked(*stream, asked);
        }
        for (keeper, streams) in by_keeper {
            let Some(host) = self.host(&keeper) else { continue };
            let streams = streams.into_iter().map(Stream::number).collect();
            tokio::spawn(ask(self.clone(), keeper, host.address, streams));
        }
    }
}

/// Tells a host of the streams that it keeps by the messages, and connects to it again whenever the connection ends, until
/// there has been nothing to tell for [`IDLE_TIMEOUT`] or the host is gone. A further connection begins with all streams
/// that the host keeps.
async fn deliver(mesh: Arc<Mesh>, name: Arc<str>, mut messages: mpsc::Receiver<Vec<OriginReport>>) {
    let mut backoff = Backoff::new(RETRY_PAUSE_RANGE.0, RETRY_PAUSE_RANGE.1);
    let mut first = Vec::new();
    while let Some(host) = mesh.host(&name) {
        match link::connect(host.address).await {
            Ok(connection) => {
                backoff.record_success();
                if deliver_on(&mesh, connection, first, &mut messages).await.is_break() {
                    return;
                }
            }
            Err(_) => tracing::info!(peer = %name, "builds of streams not told: no connection"),
        }
        backoff.record_failure();
        sleep(backoff.pause()).await;
        // What the host keeps includes the messages that wait.
        while messages.try_recv().is_ok() {}
        first = mesh.kept_by(&name);
        if messages.is_closed() || first.is_empty() {
            return;
        }
    }
}

/// Tells a host of streams, of `first` and then by the messages, until the connection ends. Returns
/// [`ControlFlow::Break`] if there is nothing more to tell.
async fn deliver_on(
    mesh: &Arc<Mesh>,
    connection: Connection,
    first: Vec<OriginReport>,
    messages: &mut mpsc::Receiver<Vec<OriginReport>>,
) -> ControlFlow<()> {
    let (sender, mut receiver) = (connection.sender, connection.receiver);
    let send = |reports: &[OriginReport]| {
        reports.chunks(FRAME_STREAMS_MAX).try_for_each(|reports| {
            sender.send(&Frame::Origins { known: reports.to_vec(), unknown: Vec::new() })
        })
    };
    if sender.send(&mesh.hello()).is_err() || send(&first).is_err() {
        return ControlFlow::Continue(());
    }
    loop {
        tokio::select! {
            message = timeout(IDLE_TIMEOUT, messages.recv()) => match message {
                Ok(Some(reports)) => if send(&reports).is_err() {
                    return ControlFlow::Continue(());
                },
                _ => return ControlFlow::Break(()),
            },
            frame = receiver.receive() => if frame.is_err() {
                return ControlFlow::Continue(());
            },
        }
    }
}

/// Asks a keeper which builds began streams, on a connection of its own, and records what it answers.
async fn ask(mesh: Arc<Mesh>, name: Arc<str>, address: SocketAddr, streams: Vec<u64>) {
    let answer = async {
        let mut connection = link::connect(address).await.ok()?;
        connection.sender.send(&mesh.hello()).ok()?;
        for streams in streams.chunks(FRAME_STREAMS_MAX) {
            connection.sender.send(&Frame::WantOrigins(streams.to_vec())).ok()?;
        }
        let mut answered = 0;
        while answered < streams.len() {
            if let Frame::Origins { known, unknown } = connection.receiver.receive().await.ok()? {
                answered += known.len() + unknown.len();
                mesh.app.record_origins(&known, &unknown);
            }
        }
        Some(())
    };
    let asked = streams.len();
    if let Ok(Some(())) = timeout(ASK_TIMEOUT, answer).await {
        tracing::info!(peer = %name, asked, "keeper asked which builds began streams");
    } else {
        tracing::info!(peer = %name, asked, "keeper does not say which builds began streams");
        mesh.app.record_origins(&[], &streams);
    }
}
