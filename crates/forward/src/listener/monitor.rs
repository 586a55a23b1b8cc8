//! Observes whether a caller's connection is in use, from the answers and bytes that pass through it.

use crate::answer::{Body, Incomplete};
use bytes::Bytes;
use chestnutrack_core::intake::Phase;
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use chestnutrack_process::intake::Connection;
use hyper::body::{Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Use of a connection.
#[derive(Clone, Copy, Debug)]
pub(super) enum Activity {
    /// No request is in flight.
    Idle(Idle),
    /// The head of a request has begun to arrive.
    ReadingHead {
        /// State of the connection before that.
        idle: Idle,
        /// When the first bytes of the head arrived.
        begun_at: Instant,
        /// Bytes of it that have arrived.
        bytes: usize,
    },
    /// A request is being handled, or its answer is being produced.
    Busy,
    /// An answer has ended, and its last bytes have yet to be written to the socket.
    Flushing {
        /// Idle timeout in force when the answer was sent.
        idle_timeout: Duration,
    },
}

/// State of a connection without a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Idle {
    since: Instant,
    /// Idle timeout in force when the last answer was sent, or when the connection was opened. Its caller
    /// may rely on it, though a new configuration lowers the timeout.
    min_timeout: Duration,
}

impl Idle {
    /// Returns when the connection has been idle for too long under `idle_timeout`, the timeout now in force.
    pub(super) fn ends_at(self, idle_timeout: Duration) -> Instant {
        self.since + idle_timeout.max(self.min_timeout)
    }
}

/// Current use of one connection. Clones share it.
#[derive(Clone)]
pub(super) struct Monitor {
    activity: watch::Sender<Activity>,
    /// The connection, whose phase is recorded for the decision which connections are closed.
    connection: Connection,
}

impl Monitor {
    /// Creates the monitor of a connection that has just been opened, under an idle timeout.
    pub(super) fn new(idle_timeout: Duration, connection: Connection) -> Monitor {
        let idle = Idle { since: clock::now(), min_timeout: idle_timeout };
        Monitor { activity: watch::Sender::new(Activity::Idle(idle)), connection }
    }

    /// Returns the connection.
    pub(super) fn connection(&self) -> &Connection {
        &self.connection
    }

    /// Returns the current use of the connection.
    pub(super) fn activity(&self) -> Activity {
        *self.activity.borrow()
    }

    /// Waits until no part of a head has arrived without the rest.
    pub(super) async fn wait_for_head(&self) {
        let is_reading = |activity: &Activity| matches!(activity, Activity::ReadingHead { .. });
        // The sender is not dropped while it is borrowed here.
        let _ = self.activity.subscribe().wait_for(|activity| !is_reading(activity)).await;
    }

    /// Waits until a part of a head has arrived without the rest.
    pub(super) async fn wait_for_head_start(&self) {
        let is_reading = |activity: &Activity| matches!(activity, Activity::ReadingHead { .. });
        // The sender is not dropped while it is borrowed here.
        let _ = self.activity.subscribe().wait_for(is_reading).await;
    }

    /// Records that the connection is busy with a request. Returns `true` if the request was sent before the last one was
    /// answered: no bytes have arrived since.
    pub(super) fn record_request(&self) -> bool {
        let previous = self.activity.send_replace(Activity::Busy);
        self.connection.set_phase(Phase::Running);
        !matches!(previous, Activity::ReadingHead { .. })
    }

    /// Records that bytes were received. On an idle connection they are the start of a head.
    fn record_received(&self, received: usize) {
        self.activity.send_if_modified(|activity| match activity {
            &mut Activity::Idle(idle) => {
                let begun_at = clock::now();
                *activity = Activity::ReadingHead { idle, begun_at, bytes: received };
                self.connection.set_phase(Phase::Head);
                true
            }
            Activity::ReadingHead { bytes, .. } => {
                *bytes += received;
                false
            }
            Activity::Busy | Activity::Flushing { .. } => false,
        });
    }

    /// Records that the system takes no more bytes of an answer for now.
    fn record_blocked(&self) {
        self.connection.set_phase(Phase::Blocked);
    }

    /// Records that the system took bytes of an answer.
    fn record_taken(&self) {
        self.connection.record_taken();
    }

    /// Records that an answer, sent under an idle timeout, has ended.
    fn record_answer_end(&self, idle_timeout: Duration) {
        self.activity.send_replace(Activity::Flushing { idle_timeout });
    }

    /// Records that everything written so far has reached the socket.
    fn record_flush(&self) {
        self.activity.send_if_modified(|activity| {
            let &mut Activity::Flushing { idle_timeout } = activity else { return false };
            self.connection.set_phase(Phase::Idle);
            *activity = Activity::Idle(Idle { since: clock::now(), min_timeout: idle_timeout });
            true
        });
    }
}

/// Body of an answer. Dropping it, which hyper does at its end, records the end of the answer.
pub(super) struct MonitoredBody {
    body: Body,
    monitor: Monitor,
    idle_timeout: Duration,
}

impl MonitoredBody {
    /// Monitors the body of an answer that is sent under an idle timeout.
    pub(super) fn new(body: Body, monitor: Monitor, idle_timeout: Duration) -> MonitoredBody {
        MonitoredBody { body, monitor, idle_timeout }
    }
}

impl Drop for MonitoredBody {
    fn drop(&mut self) {
        self.monitor.record_answer_end(self.idle_timeout);
    }
}

impl hyper::body::Body for MonitoredBody {
    type Data = Bytes;
    type Error = Incomplete;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Incomplete>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Socket of a connection. Records the arrival of bytes, and each flush, which hyper does only once it has written
/// all bytes.
pub(super) struct MonitoredStream {
    tcp: TcpStream,
    monitor: Monitor,
    /// Whether the system has not taken all bytes of an answer.
    is_blocked: bool,
}

impl MonitoredStream {
    /// Monitors the socket of a connection.
    pub(super) fn new(tcp: TcpStream, monitor: Monitor) -> MonitoredStream {
        MonitoredStream { tcp, monitor, is_blocked: false }
    }

    /// Records whether the system took bytes of an answer.
    fn record_write(&mut self, written: &Poll<io::Result<usize>>) {
        if written.is_pending() {
            self.is_blocked = true;
            self.monitor.record_blocked();
        } else if self.is_blocked {
            self.monitor.record_taken();
        }
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let result = ready!(Pin::new(&mut self.tcp).poll_read(context, buffer));
        let received = buffer.filled().len() - filled_before;
        if received > 0 {
            self.monitor.record_received(received);
        }
        Poll::Ready(result)
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.tcp).poll_write(context, bytes);
        self.record_write(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = ready!(Pin::new(&mut self.tcp).poll_flush(context));
        if std::mem::take(&mut self.is_blocked) {
            self.monitor.connection().set_phase(Phase::Running);
        }
        self.monitor.record_flush();
        Poll::Ready(result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.tcp).poll_write_vectored(context, buffers);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }
}
