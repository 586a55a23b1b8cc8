//! A small HTTP/1.1 server and client based on `hyper`, with limits on time and size.

#[cfg(test)]
mod tests;

use crate::intake::Intake;
use crate::socket;
use bytes::{Bytes, BytesMut};
use chestnutrack_core::intake::Phase;
use displaydoc::Display;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Largest request head, in bytes.
pub const HEAD_BYTES_MAX: usize = 16 << 10;
/// Largest head of a response to a call, in bytes. A connection's read buffer is no larger either.
pub const RESPONSE_HEAD_BYTES_MAX: usize = 64 << 10;
/// Longest time that the server waits for a request's head, in milliseconds.
pub const HEAD_READ_MS: u64 = 10_000;

/// Sends requests on a connection.
pub(crate) type Sender = client::SendRequest<Full<Bytes>>;
/// Future that drives the I/O of a connection.
pub(crate) type Connection = client::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// Body of a response that the server sends, complete or streamed.
pub type ResponseBody = BoxBody<Bytes, Infallible>;

/// Error of a call or of reading a body.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// could not connect to {0}: {1}
    Connect(SocketAddr, ConnectError),
    /// call failed after it was sent: {0}
    Broken(String),
    /// peer stopped responding after the call was sent: {0}
    Unresponsive(String),
    /// no answer within {0} ms
    Timeout(u64),
    /// body is larger than {0} bytes
    TooLarge(usize),
    /// request could not be built: {0}
    Request(String),
}

impl std::error::Error for Error {}

/// Why a connection could not be opened.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ConnectError {
    /// the address refuses connections
    Refused,
    /// connection pool is exhausted
    PoolExhausted,
    /// another process than the intended one has the address
    WrongProcess,
    /// {0}
    Other(String),
}

/// Returns the error of a connection that failed after a call was sent: [`Error::Unresponsive`] if the system gave up
/// on the peer, or [`Error::Broken`] if the peer closed or reset the connection.
pub(crate) fn connection_error(error: &(dyn std::error::Error + 'static)) -> Error {
    let causes = std::iter::successors(Some(error), |error| error.source());
    let kinds = causes.filter_map(|cause| cause.downcast_ref::<std::io::Error>());
    let is_unresponsive = kinds.map(std::io::Error::kind).any(|kind| {
        matches!(
            kind,
            ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable
        )
    });
    match is_unresponsive {
        true => Error::Unresponsive(error.to_string()),
        false => Error::Broken(error.to_string()),
    }
}

/// Returns a body that consists of `bytes`.
pub fn full(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).boxed()
}

/// Returns a response with a JSON body.
pub fn json(status: u16, value: &serde_json::Value) -> Response<ResponseBody> {
    let mut response = Response::new(full(value.to_string()));
    *response.status_mut() =
        hyper::StatusCode::from_u16(status).unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    let content_type = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
    response
}

/// Reads a complete body of at most `body_bytes_max` bytes. Copies each chunk, since a chunk that is kept occupies far
/// more memory than its bytes if it is small.
///
/// # Errors
///
/// [`Error::TooLarge`], [`Error::Broken`] or [`Error::Unresponsive`].
pub async fn read_body<B>(body: B, body_bytes_max: usize) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut body = pin!(Limited::new(body, body_bytes_max));
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => buffer.extend_from_slice(frame.data_ref().map_or(&[], |bytes| bytes)),
            Err(error) if error.is::<LengthLimitError>() => {
                return Err(Error::TooLarge(body_bytes_max));
            }
            Err(error) => return Err(connection_error(&*error)),
        }
    }
    Ok(buffer.freeze())
}

/// Returns `true` if a connection ended because the peer sent bytes while no call waited for an answer. Of the errors
/// without a cause, `hyper` names the others.
pub(crate) fn is_unexpected_message(error: &hyper::Error) -> bool {
    let is_other = error.is_incomplete_message()
        || error.is_canceled()
        || error.is_closed()
        || error.is_parse()
        || error.is_timeout()
        || error.is_user();
    std::error::Error::source(error).is_none() && !is_other
}

/// Serves the requests of one connection with `handle` until it is closed.
pub async fn serve_connection<H, R>(tcp: TcpStream, handle: H)
where
    H: Fn(Request<Incoming>) -> R,
    R: Future<Output = Response<ResponseBody>>,
{
    let service = service_fn(|request| {
        let response = handle(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let _ = tcp.set_nodelay(true);
    let _ = server::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(HEAD_READ_MS))
        .max_buf_size(HEAD_BYTES_MAX)
        .serve_connection(TokioIo::new(tcp), service)
        .await;
}

/// Accepts connections and serves them with `handle` until the process ends.
pub async fn serve<H, R>(listener: TcpListener, handle: H)
where
    H: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    loop {
        let Ok((tcp, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let handle = handle.clone();
        tokio::spawn(async move { serve_connection(tcp, handle).await });
    }
}

/// Accepts connections and serves them with `handle` until the process ends. Of too many connections, those that `intake`
/// evicts are closed.
pub async fn serve_bounded<H, R>(listener: TcpListener, intake: Intake, handle: H)
where
    H: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    intake.bound_buffers(&listener);
    loop {
        intake.pause_accepting().await;
        let Ok((tcp, peer)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let connection = intake.open(peer.ip());
        let (handle, observed) = (handle.clone(), connection.clone());
        let handle = move |request| {
            observed.set_phase(Phase::Running);
            let (response, observed) = (handle(request), observed.clone());
            async move {
                let response = response.await;
                // From here the connection counts as idle, though its response may not have been read yet.
                observed.record_served();
                observed.set_phase(Phase::Idle);
                response
            }
        };
        tokio::spawn(async move {
            tokio::select! {
                () = connection.wait_for_eviction() => {}
                () = serve_connection(tcp, handle) => {}
            }
        });
    }
}

/// Opens a connection within `connect_timeout` and returns its sender with the future that drives it. The
/// system closes the connection if the peer doesn't respond for `peer_timeout`, if given.
pub(crate) async fn connect(
    address: SocketAddr,
    connect_timeout: Duration,
    peer_timeout: Option<Duration>,
) -> Result<(Sender, Connection), Error> {
    let failed = |error: String| Error::Connect(address, ConnectError::Other(error));
    let tcp = match timeout(connect_timeout, TcpStream::connect(address)).await {
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Err(Error::Connect(address, ConnectError::Refused));
        }
        Ok(connected) => connected.map_err(|error| failed(error.to_string()))?,
        Err(_) => return Err(failed("timed out".to_owned())),
    };
    let _ = tcp.set_nodelay(true);
    if let Some(peer_timeout) = peer_timeout {
        socket::set_peer_timeout(&tcp, peer_timeout).map_err(|error| failed(error.to_string()))?;
    }
    client::Builder::new()
        .max_buf_size(RESPONSE_HEAD_BYTES_MAX)
        .handshake(TokioIo::new(tcp))
        .await
        .map_err(|error| failed(error.to_string()))
}

/// Makes one call on a new connection and returns the response without reading its body. Opening
/// the connection and waiting for the response's head may each take up to `step_timeout`.
///
/// # Errors
///
/// [`Error::Connect`] if nothing was sent; with any other error, something may have been sent.
pub async fn call_streaming(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    step_timeout: Duration,
) -> Result<Response<Incoming>, Error> {
    let (mut sender, connection) = connect(address, step_timeout, None).await?;
    tokio::spawn(connection);
    let timed_out = Error::Timeout(u64::try_from(step_timeout.as_millis()).unwrap_or(u64::MAX));
    let response =
        timeout(step_timeout, sender.send_request(request)).await.map_err(|_| timed_out)?;
    response.map_err(|error| connection_error(&error))
}

/// Makes one call within `call_timeout` on a new connection and reads the response with a body of at most
/// `body_bytes_max` bytes.
///
/// # Errors
///
/// As [`call_streaming`] and [`read_body`].
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    call_timeout: Duration,
    body_bytes_max: usize,
) -> Result<Response<Bytes>, Error> {
    let timed_out = Error::Timeout(u64::try_from(call_timeout.as_millis()).unwrap_or(u64::MAX));
    let exchange = async {
        let (head, body) = call_streaming(address, request, call_timeout).await?.into_parts();
        let body = read_body(body, body_bytes_max).await?;
        Ok(Response::from_parts(head, body))
    };
    timeout(call_timeout, exchange).await.unwrap_or(Err(timed_out))
}

/// Builds a request with a body.
///
/// # Errors
///
/// [`Error::Request`] for an invalid method or target.
pub fn request(
    method: &str,
    target: &str,
    body: impl Into<Bytes>,
) -> Result<Request<Full<Bytes>>, Error> {
    Request::builder()
        .method(method)
        .uri(target)
        .header("host", "chestnutrack")
        .body(Full::new(body.into()))
        .map_err(|error| Error::Request(error.to_string()))
}
