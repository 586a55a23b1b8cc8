//! Observes whether a caller's connection is in use, from the answers and bytes that pass through it.

use crate::answer::{Body, Incomplete};
use bytes::Bytes;
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use hyper::body::{Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Use of a connection.
#[derive(Clone, Copy, Debug)]
pub(super) enum Activity {
    /// No request is in flight.
    IdleSince(Instant),
    /// The head of a request has begun to arrive.
    ReadingHead {
        /// When the connection became idle before that.
        idle_since: Instant,
        /// When the first bytes of the head arrived.
        begun_at: Instant,
    },
    /// A request is being handled, or its answer is being produced.
    Busy,
    /// An answer has ended, and its last bytes have yet to be written to the socket.
    Flushing,
}

/// Current use of one connection. Clones share it.
#[derive(Clone, Debug)]
pub(super) struct Monitor(watch::Sender<Activity>);

impl Monitor {
    /// Creates the monitor of a connection that has just been opened.
    pub(super) fn new() -> Monitor {
        Monitor(watch::Sender::new(Activity::IdleSince(clock::now())))
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
            let &mut Activity::IdleSince(idle_since) = activity else { return false };
            *activity = Activity::ReadingHead { idle_since, begun_at: clock::now() };
            true
        });
    }

    /// Records that an answer has ended.
    fn record_answer_end(&self) {
        self.0.send_replace(Activity::Flushing);
    }

    /// Records that everything written so far has reached the socket.
    fn record_flush(&self) {
        self.0.send_if_modified(|activity| {
            let is_answered = matches!(activity, Activity::Flushing);
            if is_answered {
                *activity = Activity::IdleSince(clock::now());
            }
            is_answered
        });
    }
}

/// Body of an answer. Dropping it, which hyper does at its end, records the end of the answer.
pub(super) struct MonitoredBody {
    body: Body,
    monitor: Monitor,
}

impl MonitoredBody {
    /// Monitors the body of an answer.
    pub(super) fn new(body: Body, monitor: Monitor) -> MonitoredBody {
        MonitoredBody { body, monitor }
    }
}

impl Drop for MonitoredBody {
    fn drop(&mut self) {
        self.monitor.record_answer_end();
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
