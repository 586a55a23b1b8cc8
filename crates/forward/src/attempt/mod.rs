//! What is sent to backend servers for one request.

mod generation;
mod plain;

use crate::answer::{Body, Cause, Refusal};
use crate::app::App;
use crate::config::{Organisation, Route, Table};
use crate::dialect::{Ask, Onward};
use crate::server::{Place, Server};
use bytes::Bytes;
use chestnutrack_core::time::Instant;
use chestnutrack_process::http::Error;
use chestnutrack_process::{clock, pool};
use http_body_util::Full;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response, Uri};
use std::sync::Arc;
use std::time::Duration;

/// A request that was admitted.
pub struct Job {
    /// What all requests share.
    pub app: Arc<App>,
    /// The configuration that it was admitted under.
    pub table: Arc<Table>,
    /// Its route.
    pub route: Route,
    /// The service that it goes to.
    pub service: Arc<str>,
    /// Whose it is.
    pub organisation: Option<Organisation>,
    /// Its head.
    pub parts: Parts,
    /// Its body.
    pub body: Bytes,
    /// What its head says.
    pub ask: Ask,
    /// When it must have ended.
    pub deadline: Instant,
}

/// Why a request has no usable answer from one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// It certainly did not run there: nothing was sent, or the server says so.
    NotRun,
    /// It may have run.
    Unknown,
    /// The deadline passed; it may have run.
    TimedOut,
}

impl Failure {
    fn refusal(self) -> Refusal {
        match self {
            Failure::NotRun => Refusal::until(Cause::Full, FULL_RETRY),
            Failure::Unknown => Refusal::new(Cause::Lost),
            Failure::TimedOut => Refusal::new(Cause::TimedOut),
        }
    }
}

/// When to come back to a service without room.
const FULL_RETRY: Duration = Duration::from_millis(1_000);

/// Sends a request on, and returns the answer.
///
/// # Errors
///
/// What the caller is told in place of a server's answer.
pub async fn run(job: Arc<Job>) -> Result<Response<Body>, Refusal> {
    let engine = job.table.service(&job.service).and_then(|service| service.engine);
    match engine {
        Some(engine) => generation::run(job, engine).await,
        None => plain::run(&job).await,
    }
}

impl Job {
    /// Time left until the deadline.
    fn left(&self) -> Duration {
        self.deadline.since(clock::now())
    }

    /// Whether a server may be given this request at all.
    fn suits(&self, server: &Server) -> bool {
        server.entry.service == self.service && !server.entry.leaving
    }

    fn is_near(&self, server: &Server) -> bool {
        server.entry.failure_domain == self.app.failure_domain
    }

    fn onward(&self, place: &Place) -> Onward {
        Onward {
            server: place.target.entry.name.clone(),
            deadline: self.left(),
            organisation: self.organisation.as_ref().map(|owner| owner.name.clone()),
            last_event: self.ask.last_event,
            ..Onward::default()
        }
    }

    /// Sends the request to the server of a place, and returns the head of its answer.
    async fn send(
        &self,
        place: &Place,
        onward: &Onward,
    ) -> Result<Response<pool::Stream>, Failure> {
        let left = self.left();
        if left.is_zero() {
            return Err(Failure::NotRun);
        }
        let headers = (self.app.dialect.onward)(&self.parts.headers, onward);
        let request = self.request(headers).ok_or(Failure::NotRun)?;
        let response = match place.target.pool.open(request, left).await {
            Ok(response) => response,
            Err(Error::Connect(..) | Error::Request(_)) => return Err(Failure::NotRun),
            Err(Error::Timeout(_)) => return Err(Failure::TimedOut),
            Err(_) => return Err(Failure::Unknown),
        };
        let verdict = (self.app.dialect.verdict)(response.status(), response.headers());
        if verdict.id.is_some() && verdict.id != self.ask.id || verdict.encoded {
            // The answer belongs to another request.
            return Err(Failure::Unknown);
        }
        if verdict.not_run || verdict.misdirected {
            return Err(Failure::NotRun);
        }
        Ok(response)
    }

    fn request(&self, headers: HeaderMap) -> Option<Request<Full<Bytes>>> {
        let target = self.parts.uri.path_and_query()?.clone();
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = Uri::from(target);
        *request.headers_mut() = headers;
        Some(request)
    }
}

/// The headers of an answer that are the server's own.
fn passed_on(headers: &HeaderMap) -> HeaderMap {
    use chestnutrack_process::header::is_of_connection;
    let kept = headers.iter().filter(|(name, _)| {
        !is_of_connection(name.as_str()) && *name != hyper::header::CONTENT_LENGTH
    });
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}
