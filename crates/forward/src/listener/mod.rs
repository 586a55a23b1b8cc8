//! Serves callers' connections, and drains them at shutdown.

use crate::answer::Body;
use crate::app::App;
use crate::config::Limits;
use crate::request;
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use chestnutrack_process::shutdown::Shutdown;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Smallest buffer for the head of a request that hyper accepts, in bytes.
const HEAD_BUFFER_MIN: usize = 8 << 10;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Times of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// How long new requests are still accepted, so that the load balancer can notice the shutdown.
    pub notice: Duration,
    /// Longest time for all requests to end, from the start of the shutdown.
    pub timeout: Duration,
}

/// Serves callers until shutdown, then until every request has ended or the drain times out.
pub async fn serve(
    listener: TcpListener,
    app: Arc<App>,
    mut shutdown: Shutdown,
    drain: watch::Receiver<Drain>,
) {
    let mut connections = JoinSet::new();
    let (closing, closed) = watch::channel(false);
    let notice_period = async {
        shutdown.wait().await;
        app.drain();
        let notice = drain.borrow().notice;
        sleep(notice).await;
    };
    tokio::pin!(notice_period);
    loop {
        tokio::select! {
            () = &mut notice_period => break,
            accepted = listener.accept() => match accepted {
                Ok((tcp, _)) => {
                    connections.spawn(serve_connection(tcp, app.clone(), closed.clone()));
                }
                Err(error) => {
                    tracing::warn!(%error, "connection not accepted");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_) = connections.join_next() => {}
        }
    }
    drop(listener);
    closing.send_replace(true);
    let all_ended = async { while connections.join_next().await.is_some() {} };
    let drain = *drain.borrow();
    let remaining = drain.timeout.saturating_sub(drain.notice);
    if tokio::time::timeout(remaining, all_ended).await.is_err() {
        tracing::warn!("requests still in flight at the end of the shutdown");
    }
}

/// Whether a connection has a request in flight.
#[derive(Clone, Copy, Debug)]
enum Activity {
    Busy,
    IdleSince(Instant),
}

async fn serve_connection(tcp: TcpStream, app: Arc<App>, mut closed: watch::Receiver<bool>) {
    let activity = Arc::new(Mutex::new(Activity::IdleSince(clock::now())));
    let (shared_app, shared_activity) = (app.clone(), activity.clone());
    let service = service_fn(move |request| {
        let (app, activity) = (shared_app.clone(), shared_activity.clone());
        async move { Ok::<_, Infallible>(handle(app, request, &activity).await) }
    });
    let _ = tcp.set_nodelay(true);
    let limits = limits(&app);
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(limits.head_bytes.max(HEAD_BUFFER_MIN))
        .serve_connection(TokioIo::new(tcp), service);
    tokio::pin!(connection);
    let idle = wait_until_idle(&app, &activity);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = closed.wait_for(|closed| *closed) => {}
        () = idle => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

fn limits(app: &App) -> Limits {
    app.active_config().map(|active| active.table.config().limits).unwrap_or_default()
}

/// Returns when a connection has been idle for longer than the configuration in force allows.
async fn wait_until_idle(app: &App, activity: &Mutex<Activity>) {
    loop {
        let idle = limits(app).idle;
        let current = *activity.lock().unwrap_or_else(PoisonError::into_inner);
        let remaining = match current {
            Activity::Busy => idle,
            Activity::IdleSince(since) => (since + idle).since(clock::now()),
        };
        if remaining.is_zero() {
            return;
        }
        sleep(remaining).await;
    }
}

async fn handle(
    app: Arc<App>,
    request: Request<Incoming>,
    activity: &Mutex<Activity>,
) -> Response<Body> {
    let set = |value| *activity.lock().unwrap_or_else(PoisonError::into_inner) = value;
    set(Activity::Busy);
    let mut response = request::handle(app.clone(), request).await;
    set(Activity::IdleSince(clock::now()));
    if app.is_draining() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
