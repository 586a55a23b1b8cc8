//! Stand-in of a model engine: prefills prompts, transfers KV caches and generates answers in
//! simulated time.
//!
//! An order is a call that changes what the engine does. It carries a fencing number, by which an
//! engine can refuse orders from an outdated sender. A KV cache is the result of a prefill,
//! from which an engine generates the answer; only its size and the answer's generator exist here.

mod cache;
mod control;
mod link;
mod loops;
mod settings;
mod state;
mod stream;
#[cfg(test)]
mod tests;
mod transfer;

use crate::faults;
use crate::http::{self, Body, Failure, Reply, failure};
use bytes::Bytes;
use chestnutrack_engine::order::{
    Cancel, Change, Decode, Export, Import, Load, Order, Prefill, Resume,
};
use control::{Control, Faults, LoggedOrder};
use hyper::body::Incoming;
use hyper::{Request, Response};
use link::Link;
use serde::Serialize;
use state::State;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep};

pub use settings::Settings;

/// Roles that an order may assign.
const ROLES: [&str; 3] = ["prefill", "decode", "both"];

/// The simulated engine.
struct Engine {
    settings: Settings,
    state: Mutex<State>,
    control: Mutex<Control>,
    /// Recent samples of the load, oldest first.
    samples: Mutex<VecDeque<(Instant, Load)>>,
    export_link: Link,
    import_link: Link,
    /// Notified when a prefill is queued; wakes the prefill task.
    prefill_queued: Notify,
    /// Notified when a request is queued for generation; wakes the decode task.
    decode_queued: Notify,
    /// The `freeze` fault; wakes what waits for its end.
    paused: watch::Sender<bool>,
    /// The `stall` fault; wakes the transfers that wait for its end.
    stalled: watch::Sender<bool>,
    /// Number of requests to cut the open streams; each change cuts them.
    stream_cuts: watch::Sender<u64>,
}

/// Serves the stand-in.
pub async fn serve(listener: TcpListener, settings: Settings) {
    let rate = settings.link_bytes_per_s as f64 / settings.time_scale;
    let engine = Arc::new(Engine {
        settings,
        state: Mutex::new(State::new(&settings)),
        control: Mutex::new(Control::new()),
        samples: Mutex::default(),
        export_link: Link::new(rate),
        import_link: Link::new(rate),
        prefill_queued: Notify::new(),
        decode_queued: Notify::new(),
        paused: watch::Sender::new(false),
        stalled: watch::Sender::new(false),
        stream_cuts: watch::Sender::new(0),
    });
    tokio::spawn(loops::run_prefills(Arc::clone(&engine)));
    tokio::spawn(loops::run_batch(Arc::clone(&engine)));
    tokio::spawn(loops::sample_load(Arc::clone(&engine)));
    http::serve(listener, move |request| handle(Arc::clone(&engine), request)).await;
}

/// Locks a mutex, also if a holder panicked.
fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Answers a control page at once. Executes any other call while the engine isn't paused. If
/// the injected fault `lose_answers` applies, a successful POST loses its response: it has taken
/// effect, but the connection is cut.
async fn handle(engine: Arc<Engine>, request: Request<Incoming>) -> Reply {
    let (head, body) = request.into_parts();
    let (method, path) = (head.method.as_str(), head.uri.path());
    let body = http::read_body(body).await?;
    if let Some(page) = path.strip_prefix("/control/") {
        return engine.control_page(method, page, &body);
    }
    engine.wait_while_paused().await;
    let reply = match (method, path) {
        ("POST", "/v1/prefill") => engine.prefill(&http::parse(&body)?).await,
        ("POST", "/v1/import") => engine.import(http::parse(&body)?).await,
        ("POST", "/v1/decode") => engine.decode(&http::parse(&body)?),
        ("POST", "/v1/resume") => engine.resume(&http::parse(&body)?),
        ("POST", "/v1/cancel") => engine.cancel(&http::parse(&body)?),
        ("POST", "/v1/order") => engine.order(http::parse(&body)?).await,
        ("POST", "/v1/export") => {
            transfer::export(Arc::clone(&engine), http::parse::<Export>(&body)?)
        }
        ("GET", "/v1/holds") => http::json(&engine.state().holds()),
        ("GET", "/v1/load") => http::json(&engine.load()),
        ("GET", "/v1/events") => engine.events(head.uri.query()),
        _ => Err(http::unknown_call(method, path)),
    };
    engine.wait_while_paused().await;
    if method == "POST" && reply.is_ok() && engine.control().lose_answer() {
        return Err(Failure::Cut);
    }
    reply
}

impl Engine {
    /// Locks the prompts, the answers, the prefix cache and the counters.
    fn state(&self) -> MutexGuard<'_, State> {
        locked(&self.state)
    }

    /// Locks the faults and the log of orders.
    fn control(&self) -> MutexGuard<'_, Control> {
        locked(&self.control)
    }

    /// Locks the load samples.
    fn samples(&self) -> MutexGuard<'_, VecDeque<(Instant, Load)>> {
        locked(&self.samples)
    }

    /// Waits until the engine isn't paused.
    async fn wait_while_paused(&self) {
        let _ = self.paused.subscribe().wait_for(|paused| !paused).await;
    }

    /// Logs an order and returns its number in the log.
    ///
    /// # Errors
    ///
    /// Status 412 if the engine checks fencing numbers and the order's is lower than an earlier
    /// one.
    fn record_order(&self, call: &'static str, id: &Arc<str>, fence: u64) -> Result<u64, Failure> {
        let mut control = self.control();
        let is_outdated = self.settings.checks_fencing && fence < control.highest_fence;
        control.highest_fence = control.highest_fence.max(fence);
        let status = is_outdated.then_some(412);
        let number = control.log.push(LoggedOrder { call, id: Arc::clone(id), fence, status });
        if is_outdated {
            drop(control);
            self.state().counts.fenced += 1;
            return Err(failure(412, "fence", "older than one seen"));
        }
        Ok(number)
    }

    /// Logs the status of the response to an order; returns the outcome unchanged.
    fn record_outcome<T>(&self, number: u64, outcome: Result<T, Failure>) -> Result<T, Failure> {
        let status = match &outcome {
            Ok(_) => Some(200),
            Err(Failure::Status { status, .. }) => Some(*status),
            Err(Failure::Cut) => None,
        };
        if let Some(logged) = self.control().log.get_mut(number) {
            logged.status = status;
        }
        outcome
    }

    /// Checks that the engine accepts new work.
    ///
    /// # Errors
    ///
    /// Status 503 while a model is being loaded.
    fn check_model_loaded(&self) -> Result<(), Failure> {
        if self.control().loading {
            return Err(failure(503, "model", "is being loaded"));
        }
        Ok(())
    }

    /// Queues a prefill and responds when it has ended.
    async fn prefill(&self, order: &Prefill) -> Reply {
        let order_number = self.record_order("prefill", &order.id, order.fence)?;
        let queued = self.check_model_loaded().and_then(|()| self.state().queue_prefill(order));
        let outcome = self.record_outcome(order_number, queued)?;
        self.prefill_queued.notify_one();
        let prefilled = outcome.await.unwrap_or(Err(Failure::Cut));
        http::json(&self.record_outcome(order_number, prefilled)?)
    }

    /// Imports a KV cache from another engine and responds when the transfer has ended.
    async fn import(self: &Arc<Engine>, order: Import) -> Reply {
        let order_number = self.record_order("import", &order.id, order.fence)?;
        self.record_outcome(order_number, self.check_model_loaded())?;
        let imported = transfer::import(Arc::clone(self), order).await;
        http::json(&self.record_outcome(order_number, imported)?)
    }

    /// Queues an imported request for generation and streams its answer.
    fn decode(&self, order: &Decode) -> Reply {
        let order_number = self.record_order("decode", &order.id, order.fence)?;
        let started = self.state().begin_decode(order);
        let reader = self.record_outcome(order_number, started)?;
        self.decode_queued.notify_one();
        Ok(stream::response(self, reader))
    }

    /// Streams an answer from an offset on.
    fn resume(&self, order: &Resume) -> Reply {
        let order_number = self.record_order("resume", &order.id, order.fence)?;
        let resumed = self.state().resume(order);
        Ok(stream::response(self, self.record_outcome(order_number, resumed)?))
    }

    /// Cancels a request; succeeds also if the engine doesn't know it.
    fn cancel(&self, order: &Cancel) -> Reply {
        let order_number = self.record_order("cancel", &order.id, order.fence)?;
        self.state().cancel(&order.id);
        self.record_outcome(order_number, Ok(empty_response()))
    }

    /// Changes the engine's role or model and responds when the change is complete.
    async fn order(self: &Arc<Engine>, order: Order) -> Reply {
        let order_number = self.record_order("order", &"".into(), order.fence)?;
        let engine = Arc::clone(self);
        // A separate task, so that the change completes even if the caller disconnects.
        let task = tokio::spawn(async move { engine.change(order.change).await });
        let changed = task.await.unwrap_or(Err(Failure::Cut));
        self.record_outcome(order_number, changed.map(|()| empty_response()))
    }

    /// Sets the role, or loads a model, which takes the time set by `model_load_time`.
    ///
    /// # Errors
    ///
    /// Status 400 for an unknown role, 503 while another model is being loaded.
    async fn change(&self, change: Change) -> Result<(), Failure> {
        match change {
            Change::Role(role) if ROLES.contains(&role.as_ref()) => {
                self.control().role = Some(role);
            }
            Change::Role(role) => {
                let message = format!("`{role}` is not one of {}", ROLES.join(", "));
                return Err(failure(400, "change.role", message));
            }
            Change::LoadModel(model) => {
                self.check_model_loaded()?;
                self.control().loading = true;
                sleep(self.settings.to_real_time(self.settings.model_load_time)).await;
                let mut control = self.control();
                control.loading = false;
                control.model = Some(model);
            }
        }
        Ok(())
    }

    /// Returns the prefix cache's events after the number in the query, as old as `events_lag` or
    /// older.
    fn events(&self, query: Option<&str>) -> Reply {
        let after_number = http::query_number(query, "after", 0)?;
        let lag = self.settings.to_real_time(self.settings.events_lag);
        let events = self.state().cache.events(after_number, lag);
        http::json(&events)
    }

    /// Reads or sets the faults, or returns the counters or the log of orders.
    fn control_page(&self, method: &str, page: &str, body: &Bytes) -> Reply {
        match (method, page) {
            ("POST", "faults") => {
                let mut control = self.control();
                let faults: Faults = faults::merge(&control.faults, body)?;
                control.faults = Faults { cut_streams: false, ..faults };
                self.paused.send_replace(faults.freeze);
                self.stalled.send_replace(faults.stall);
                if faults.cut_streams {
                    self.stream_cuts.send_modify(|stream_cuts| *stream_cuts += 1);
                }
                http::json(&faults)
            }
            ("GET", "faults") => http::json(&self.control().faults),
            ("GET", "counts") => http::json(&self.state().counts),
            ("GET", "seen") => http::json(&self.control().log_page()),
            _ => Err(http::unknown_call(method, page)),
        }
    }
}

impl Control {
    /// Returns the content of `/control/seen`.
    fn log_page(&self) -> impl Serialize {
        serde_json::json!({
            "fence": self.highest_fence,
            "model": self.model,
            "role": self.role,
            "orders": self.log,
        })
    }
}

/// Returns a response with status 200 and an empty JSON object.
fn empty_response() -> Response<Body> {
    http::response(200, "{}")
}
