//! Calls to a plain service. Each call has its own connection, so that a late response can't be
//! taken for the response to another call.

use crate::header;
use crate::message::Message;
use chestnutrack_core::server::{Event, Key};
use chestnutrack_process::http::{self, Error};
use chestnutrack_wire::frame::{Forward, Ran};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Request, Response};
use ractor::ActorRef;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Maximum time without data while a response body is read.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Makes a call and reports the response or failure. The request is sent at most once. Connecting
/// and waiting for the head of the response may each take up to the call's `deadline_ms`.
pub async fn call(address: SocketAddr, key: Key, forward: Forward, actor: ActorRef<Message>) {
    let report = |event| drop(actor.cast(Message::Event(event)));
    let call_timeout = Duration::from_millis(u64::from(forward.deadline_ms));
    let request = match build_request(&forward) {
        Ok(request) => request,
        Err(_) => return report(Event::CallFailed(key, Ran::NotRun)),
    };
    match http::call_streaming(address, request, call_timeout).await {
        Ok(response) => relay_response(key, response, report).await,
        Err(error) => report(Event::CallFailed(key, ran(&error))),
    }
}

/// Returns whether the request ran, given the error with which the call failed.
fn ran(error: &Error) -> Ran {
    match error {
        Error::Connect(..) | Error::Request(_) => Ran::NotRun,
        Error::Broken(_) | Error::Unresponsive(_) | Error::Timeout(_) | Error::TooLarge(_) => {
            Ran::Unknown
        }
    }
}

/// Builds the request to the plain service, with only the headers that may be passed on to it.
fn build_request(forward: &Forward) -> Result<Request<Full<Bytes>>, Error> {
    let mut request = http::request(&forward.method, &forward.target, forward.body.clone())?;
    for (name, value) in header::to_server(&forward.headers) {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(Error::Request("a header is malformed".to_owned()));
        };
        request.headers_mut().append(name, value);
    }
    Ok(request)
}

/// Reports the head and body of a response.
async fn relay_response(key: Key, response: Response<Incoming>, report: impl Fn(Event)) {
    let (head, mut body) = response.into_parts();
    report(Event::Head(key, head.status.as_u16(), header::to_caller(&head.headers)));
    loop {
        match timeout(BODY_IDLE_TIMEOUT, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                let Ok(bytes) = frame.into_data() else { continue };
                if !bytes.is_empty() {
                    report(Event::Body(key, bytes.to_vec()));
                }
            }
            Ok(None) => return report(Event::BodyEnd(key)),
            Ok(Some(Err(_))) | Err(_) => return report(Event::CallFailed(key, Ran::Ran)),
        }
    }
}
