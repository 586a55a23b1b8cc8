//! Observes whether a caller's connection is in use, from the answers and bytes that pass through it.

use crate::answer::{Body, Incomplete};
use bytes::Bytes;
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use hyper::body::{Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Use of a connection.
#[derive(Clone, Copy, Debug)]
pub(super) enum Activity {
    /// No request is in flight.
    IdleSince(Instant),
    /// A request is being handled, or its answer is being produced.
    Busy,
    /// An answer has ended, and its last bytes have yet to be written to the socket.
    Flushing,
}

/// Current use of one connection. Clones share it.
#[derive(Clone, Debug)]
pub(super) struct Monitor(Arc<Mutex<Activity>>);

impl Monitor {
    /// Creates the monitor of a connection that has just been opened.
    pub(super) fn new() -> Monitor {
        Monitor(Arc::new(Mutex::new(Activity::IdleSince(clock::now()))))
    }

    /// Returns the current use of the connection.
    pub(super) fn activity(&self) -> Activity {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the connection is busy with a request.
    pub(super) fn record_request(&self) {
        self.update(|_| Activity::Busy);
    }

    /// Records that everything written so far has reached the socket.
    fn record_flush(&self) {
        self.update(|activity| match activity {
            Activity::Flushing => Activity::IdleSince(clock::now()),
            other => other,
        });
    }

    /// Replaces the activity by what `next` returns for it.
    fn update(&self, next: impl FnOnce(Activity) -> Activity) {
        let mut activity = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *activity = next(*activity);
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
        self.monitor.update(|_| Activity::Flushing);
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

/// Socket of a connection. A flush, which hyper does only once it has written all bytes, is recorded.
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
        Pin::new(&mut self.tcp).poll_read(context, buffer)
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
