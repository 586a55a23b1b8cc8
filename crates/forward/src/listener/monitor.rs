//! Observes whether a caller's connection is in use, from the answers and bytes that pass through it.

use crate::answer::{Body, Incomplete};
use bytes::Bytes;
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
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
#[derive(Clone, Debug)]
pub(super) struct Monitor(watch::Sender<Activity>);

impl Monitor {
    /// Creates the monitor of a connection that has just been opened, under an idle timeout.
    pub(super) fn new(idle_timeout: Duration) -> Monitor {
        let idle = Idle { since: clock::now(), min_timeout: idle_timeout };
        Monitor(watch::Sender::new(Activity::Idle(idle)))
    }

    /// Returns the current use of the connection.
    pub(super) fn activity(&self) -> Activity {
        *self.0.borrow()
    }

    /// Waits until no part of a head has arrived without the rest.
    pub(super) async fn wait_for_head(&self) {
        let is_reading = |activity: &Activity| matches!(activity, Activity::ReadingHead { .. });
        // The sender is not dropped while it is borrowed here.
        let _ = self.0.subscribe().wait_for(|activity| !is_reading(activity)).await;
    }

    /// Records that the connection is busy with a request.
    pub(super) fn record_request(&self) {
        self.0.send_replace(Activity::Busy);
    }

    /// Records that bytes were received. On an idle connection they are the start of a head.
    fn record_received(&self) {
        self.0.send_if_modified(|activity| {
            let &mut Activity::Idle(idle) = activity else { return false };
            *activity = Activity::ReadingHead { idle, begun_at: clock::now() };
            true
        });
    }

    /// Records that an answer, sent under an idle timeout, has ended.
    fn record_answer_end(&self, idle_timeout: Duration) {
        self.0.send_replace(Activity::Flushing { idle_timeout });
    }

    /// Records that everything written so far has reached the socket.
    fn record_flush(&self) {
        self.0.send_if_modified(|activity| {
            let &mut Activity::Flushing { idle_timeout } = activity else { return false };
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
}

impl MonitoredStream {
    /// Monitors the socket of a connection.
    pub(super) fn new(tcp: TcpStream, monitor: Monitor) -> MonitoredStream {
        MonitoredStream { tcp, monitor }
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
        if buffer.filled().len() > filled_before {
            self.monitor.record_received();
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
        Pin::new(&mut self.tcp).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = ready!(Pin::new(&mut self.tcp).poll_flush(context));
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
        Pin::new(&mut self.tcp).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }
}
