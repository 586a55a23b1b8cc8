//! HTTP server for callers: a limit on connections, keep-alive, and a graceful shutdown that waits
//! for the requests in progress. The drain period is the time that the load balancer has to notice
//! the shutdown; new connections are still served in it.

use crate::answer::{self, Answer};
use crate::app::App;
use crate::request;
use crate::request::refusal::{Code, Refusal};
use chestnutrack_process::http::HEAD_READ_MS;
use chestnutrack_process::shutdown::Shutdown;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Largest request head that is read at all, in bytes. A head above the limit for requests gets an
/// error with a code and message; one above this size gets a bare 431.
const HEAD_READ_BYTES_MAX: usize = 64 << 10;
/// Limit on connections before a configuration is available.
const CONNECTIONS_MAX_DEFAULT: u32 = 4_096;
/// Time after which a connection over the limit is closed, whether or not its request was read and
/// refused.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Accepts and serves connections until the drain period after the shutdown signal has elapsed.
/// Then closes the listener, and returns once every request in progress has ended. From the signal
/// on, each answer closes its connection.
pub async fn serve(
    listener: TcpListener,
    app: Arc<App>,
    mut shutdown: Shutdown,
    drain_period: Duration,
) {
    let mut connections = JoinSet::new();
    let (close_sender, close_signal) = watch::channel(false);
    let drain_elapsed = async {
        shutdown.wait().await;
        app.draining.store(true, Ordering::Relaxed);
        tokio::time::sleep(drain_period).await;
    };
    tokio::pin!(drain_elapsed);
    loop {
        tokio::select! {
            () = &mut drain_elapsed => break,
            accepted = listener.accept() => match accepted {
                Ok((tcp, _)) => start_connection(tcp, &app, &mut connections, &close_signal),
                // Pauses, so that an error that persists doesn't keep this loop busy.
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            },
            Some(_) = connections.join_next() => app.metrics.connections.dec(),
        }
    }
    drop(listener);
    close_sender.send_replace(true);
    while connections.join_next().await.is_some() {
        app.metrics.connections.dec();
    }
}

/// Serves a connection in a task. A connection over the limit is refused with an answer; from twice
/// the limit on, connections are closed at once.
fn start_connection(
    tcp: TcpStream,
    app: &Arc<App>,
    connections: &mut JoinSet<()>,
    close_signal: &watch::Receiver<bool>,
) {
    let snapshot = app.authority.snapshot();
    let document = snapshot.document.as_ref();
    let limit = document.map_or(CONNECTIONS_MAX_DEFAULT, |document| document.bounds.connections);
    let is_full = connections.len() >= usize::try_from(limit).unwrap_or(usize::MAX);
    if is_full && connections.len() >= 2 * usize::try_from(limit).unwrap_or(usize::MAX) {
        return;
    }
    app.metrics.connections.inc();
    let (app, close_signal) = (app.clone(), close_signal.clone());
    if is_full {
        connections.spawn(async move {
            let _ =
                tokio::time::timeout(REFUSAL_TIMEOUT, serve_requests(tcp, refuse, close_signal))
                    .await;
        });
    } else {
        let handle = move |request| answer(app.clone(), request);
        connections.spawn(serve_requests(tcp, handle, close_signal));
    }
}

/// Answers that there are too many connections, and closes the connection.
async fn refuse(_: Request<Incoming>) -> Response<Answer> {
    /// Time after which to retry, in milliseconds.
    const RETRY_AFTER_MS: u64 = 1_000;
    let refusal = Refusal::new(Code::TooManyConnections, "too many connections");
    let mut response = refusal.with_retry_after(RETRY_AFTER_MS).response();
    answer::set_header(&mut response, "connection", "close");
    response
}

/// Answers a request; during a shutdown the connection is closed after the answer.
async fn answer(app: Arc<App>, request: Request<Incoming>) -> Response<Answer> {
    let mut response = request::handle(app.clone(), request).await;
    if app.is_draining() {
        answer::set_header(&mut response, "connection", "close");
    }
    response
}

/// Serves the requests of a connection one after another. Once `close_signal` is set, the
/// connection ends after the request in progress.
async fn serve_requests<H, R>(tcp: TcpStream, handle: H, mut close_signal: watch::Receiver<bool>)
where
    H: Fn(Request<Incoming>) -> R,
    R: Future<Output = Response<Answer>>,
{
    let service = service_fn(|request| {
        let answer = handle(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let _ = tcp.set_nodelay(true);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(HEAD_READ_MS))
        .max_buf_size(HEAD_READ_BYTES_MAX)
        .serve_connection(TokioIo::new(tcp), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = close_signal.wait_for(|is_set| *is_set) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
