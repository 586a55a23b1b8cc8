//! The port for callers.

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

/// Smallest buffer for a request's head that the library takes, in bytes.
const HEAD_BUFFER_MIN: usize = 8 << 10;
/// Pause after a connection could not be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Times of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// How long new requests are still taken, so that the balancer can notice.
    pub notice: Duration,
    /// How long all requests may take to end, from the start of the shutdown.
    pub timeout: Duration,
}

/// Serves callers until shutdown, then until every request has ended or the time for it is over.
pub async fn serve(
    listener: TcpListener,
    app: Arc<App>,
    mut shutdown: Shutdown,
    drain: watch::Receiver<Drain>,
) {
    let mut connections = JoinSet::new();
    let (closing, closed) = watch::channel(false);
    let noticed = async {
        shutdown.wait().await;
        app.drain();
        let notice = drain.borrow().notice;
        sleep(notice).await;
    };
    tokio::pin!(noticed);
    loop {
        tokio::select! {
            () = &mut noticed => break,
            accepted = listener.accept() => match accepted {
                Ok((tcp, _)) => {
                    connections.spawn(serve_one(tcp, app.clone(), closed.clone()));
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
    let ended = async { while connections.join_next().await.is_some() {} };
    let drain = *drain.borrow();
    let left = drain.timeout.saturating_sub(drain.notice);
    if tokio::time::timeout(left, ended).await.is_err() {
        tracing::warn!("requests still in flight at the end of the shutdown");
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug)]
enum Activity {
    Busy,
    IdleSince(Instant),
}

async fn serve_one(tcp: TcpStream, app: Arc<App>, mut closed: watch::Receiver<bool>) {
    let activity = Arc::new(Mutex::new(Activity::IdleSince(clock::now())));
    let (shared, noted) = (app.clone(), activity.clone());
    let service = service_fn(move |request| {
        let (app, activity) = (shared.clone(), noted.clone());
        async move { Ok::<_, Infallible>(answer(app, request, &activity).await) }
    });
    let _ = tcp.set_nodelay(true);
    let limits = limits(&app);
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(limits.head_bytes.max(HEAD_BUFFER_MIN))
        .serve_connection(TokioIo::new(tcp), service);
    tokio::pin!(connection);
    let unused = unused(&app, &activity);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = closed.wait_for(|closed| *closed) => {}
        () = unused => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

fn limits(app: &App) -> Limits {
    app.active_config().map(|now| now.table.config().limits).unwrap_or_default()
}

/// Ends when a connection has been unused for longer than the configuration in force allows.
async fn unused(app: &App, activity: &Mutex<Activity>) {
    loop {
        let idle = limits(app).idle;
        let now = *activity.lock().unwrap_or_else(PoisonError::into_inner);
        let left = match now {
            Activity::Busy => idle,
            Activity::IdleSince(since) => (since + idle).since(clock::now()),
        };
        if left.is_zero() {
            return;
        }
        sleep(left).await;
    }
}

async fn answer(
    app: Arc<App>,
    request: Request<Incoming>,
    activity: &Mutex<Activity>,
) -> Response<Body> {
    let set = |now| *activity.lock().unwrap_or_else(PoisonError::into_inner) = now;
    set(Activity::Busy);
    let mut response = request::handle(app.clone(), request).await;
    set(Activity::IdleSince(clock::now()));
    if app.is_draining() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
