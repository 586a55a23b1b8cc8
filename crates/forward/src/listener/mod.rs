//! Serves callers' connections, and drains them at shutdown: new requests are accepted for a notice
//! period, then those in flight are finished.

mod monitor;

use crate::app::App;
use crate::config::Limits;
use crate::request;
use chestnutrack_process::clock;
use chestnutrack_process::intake::Connection;
use chestnutrack_process::shutdown::Shutdown;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use monitor::{Activity, Monitor, MonitoredBody, MonitoredStream};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinError, JoinSet, yield_now};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

/// Smallest buffer for the head of a request that hyper accepts, in bytes.
const HEAD_BUFFER_MIN: usize = 8 << 10;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Time between two searches for callers that have taken nothing of their answers and for slow bodies.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes that may arrive on an idle connection without being the start of a head: an empty line, which some callers send
/// after a request.
const EMPTY_LINE_BYTES: usize = 2;

/// Times of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainTimes {
    /// How long new requests are still accepted, so that the load balancer can notice the shutdown.
    pub notice: Duration,
    /// Longest time for all requests to end, from the start of the shutdown.
    pub timeout: Duration,
}

/// Serves callers until shutdown and for the notice period after it. Then accepts no more
/// connections and returns when every request has ended or the drain times out.
pub async fn serve(
    listener: TcpListener,
    app: Arc<App>,
    mut shutdown: Shutdown,
    drain_times: watch::Receiver<DrainTimes>,
) {
    let mut connections = JoinSet::new();
    let (closing_sender, closing_receiver) = watch::channel(false);
    let notice_period = async {
        shutdown.wait().await;
        app.drain();
        let notice = drain_times.borrow().notice;
        sleep(notice).await;
    };
    tokio::pin!(notice_period);
    app.callers.bound_buffers(&listener);
    let mut sweeps = interval(SWEEP_INTERVAL);
    sweeps.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = &mut notice_period => break,
            accepted = listener.accept() => match accepted {
                Ok((tcp, peer)) => {
                    let connection = app.callers.open(peer.ip());
                    let served =
                        serve_connection(tcp, connection, app.clone(), closing_receiver.clone());
                    connections.spawn(served);
                    app.callers.pause_accepting().await;
                }
                Err(error) => {
                    tracing::warn!(%error, "connection not accepted");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(ended) = connections.join_next() => log_panic(ended),
            _ = sweeps.tick() => sweep(&app),
        }
    }
    drop(listener);
    let final_times = *drain_times.borrow();
    let remaining = final_times.timeout.saturating_sub(final_times.notice);
    app.close(clock::now() + remaining);
    closing_sender.send_replace(true);
    let all_ended = async {
        loop {
            tokio::select! {
                ended = connections.join_next() => match ended {
                    Some(ended) => log_panic(ended),
                    None => break,
                },
                _ = sweeps.tick() => sweep(&app),
            }
        }
    };
    if timeout(remaining, all_ended).await.is_err() {
        tracing::warn!("requests still in flight at the end of the shutdown");
    }
}

/// Gives up what has made no progress, and updates the gauges.
fn sweep(app: &App) {
    app.callers.sweep();
    let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
    app.metrics.connections.set(gauge(app.callers.connections()));
    app.metrics.request_bytes.set(gauge(app.callers.held()));
}

/// Logs a connection whose task panicked: a request on it got no answer.
fn log_panic(ended: Result<(), JoinError>) {
    if let Err(error) = ended {
        tracing::error!(%error, "connection ended without an answer");
    }
}

/// Serves one connection until the caller closes it, it is evicted, the listener is closing, or it has been idle
/// for too long. In the last two cases, a request in flight is finished first, and one whose head has begun to
/// arrive is answered: with a refusal if it could outlast the process. Closes the connection without an answer if a head does not arrive in time.
async fn serve_connection(
    tcp: TcpStream,
    connection: Connection,
    app: Arc<App>,
    closing: watch::Receiver<bool>,
) {
    tokio::select! {
        () = connection.wait_for_eviction() => {}
        () = serve_requests(tcp, connection.clone(), app, closing) => {}
    }
}

/// Serves the requests of one connection.
async fn serve_requests(
    tcp: TcpStream,
    observed: Connection,
    app: Arc<App>,
    mut closing: watch::Receiver<bool>,
) {
    let limits = limits(&app);
    let monitor = Monitor::new(limits.idle_timeout, observed);
    let (shared_app, shared_monitor) = (app.clone(), monitor.clone());
    let service = service_fn(move |request| {
        let (app, monitor) = (shared_app.clone(), shared_monitor.clone());
        async move { Ok::<_, Infallible>(handle(app, request, monitor).await) }
    });
    let _ = tcp.set_nodelay(true);
    let stream = MonitoredStream::new(tcp, monitor.clone());
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(limits.head_bytes.max(HEAD_BUFFER_MIN))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let timeout_passed = wait_for_timeout(&app, &monitor);
    let closing = wait_for_closing(&app, &monitor, &mut closing);
    let close = tokio::select! {
        _ = connection.as_mut() => return,
        close = closing => close,
        close = timeout_passed => close,
    };
    if close == Close::Now {
        return;
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Returns the limits of the configuration in force, or the default limits if there is none.
fn limits(app: &App) -> Limits {
    app.active_config().map(|active| active.table.config().limits).unwrap_or_default()
}

/// When a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Close {
    /// Once the request in flight, if any, has been answered.
    Answered,
    /// At once, since the head of a request did not arrive in time.
    Now,
}

/// Waits until the listener is closing and a head that has begun to arrive is complete, or has not
/// arrived in time.
async fn wait_for_closing(
    app: &App,
    monitor: &Monitor,
    closing: &mut watch::Receiver<bool>,
) -> Close {
    let _ = closing.wait_for(|is_closing| *is_closing).await;
    match timeout(limits(app).head_timeout, monitor.wait_for_head()).await {
        Ok(()) => Close::Answered,
        Err(_) => Close::Now,
    }
}

/// Returns when a connection has been idle, or a head has been arriving, for longer than the
/// configuration in force allows. An idle connection is kept for at least the time that was allowed
/// when its last answer was sent.
async fn wait_for_timeout(app: &App, monitor: &Monitor) -> Close {
    loop {
        let Limits { idle_timeout, head_timeout, .. } = limits(app);
        let (remaining, close) = match monitor.activity() {
            Activity::Busy | Activity::Flushing { .. } => (idle_timeout, Close::Answered),
            Activity::Idle(idle) => {
                (idle.ends_at(idle_timeout).since(clock::now()), Close::Answered)
            }
            Activity::ReadingHead { idle, begun_at, bytes } => {
                // An empty line between two requests counts as the start of a head, and must not
                // shorten the idle timeout.
                let is_empty_line = bytes <= EMPTY_LINE_BYTES;
                let idle_end = if is_empty_line { idle.ends_at(idle_timeout) } else { begun_at };
                let closes_at = (begun_at + head_timeout).max(idle_end);
                (closes_at.since(clock::now()), Close::Now)
            }
        };
        if remaining.is_zero() {
            return close;
        }
        match close {
            Close::Now => sleep(remaining).await,
            // A head that begins to arrive has a timeout of its own, which may end before.
            Close::Answered => {
                let _ = timeout(remaining, monitor.wait_for_head_start()).await;
            }
        }
    }
}

/// Handles a request and records that the connection is in use until its answer has been sent. While the
/// process drains, the answer asks the caller to close the connection.
async fn handle(
    app: Arc<App>,
    request: Request<Incoming>,
    monitor: Monitor,
) -> Response<MonitoredBody> {
    if monitor.record_request() {
        // Other connections have their turn between requests that were sent at once.
        yield_now().await;
    }
    let mut response = request::handle(app.clone(), request, monitor.connection()).await;
    // A connection whose body was given up holds the rest of it.
    if app.is_draining() || monitor.connection().is_evicted() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let idle_timeout = limits(&app).idle_timeout;
    response.map(|body| MonitoredBody::new(body, monitor, idle_timeout))
}
