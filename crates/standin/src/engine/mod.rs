//! A stand-in of a model engine.

mod cache;
mod control;
mod link;
mod run;
mod settings;
mod state;
mod stream;
#[cfg(test)]
mod tests;
mod transfer;

use crate::faults;
use crate::http::{self, Body, Refusal, Reply, refusal};
use bytes::Bytes;
use chestnutrack_engine::order::{
    Cancel, Change, Decode, Export, Import, Load, Order, Prefill, Resume,
};
use control::{Control, Faults, Seen};
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

/// Roles that an order may give.
const ROLES: [&str; 3] = ["prefill", "decode", "both"];

struct Engine {
    settings: Settings,
    state: Mutex<State>,
    control: Mutex<Control>,
    samples: Mutex<VecDeque<(Instant, Load)>>,
    export_link: Link,
    import_link: Link,
    /// Wakes the loop of prefills.
    queued: Notify,
    /// Wakes the loop of steps.
    ready: Notify,
    frozen: watch::Sender<bool>,
    stalled: watch::Sender<bool>,
    /// Changes when the open streams are to be cut.
    cuts: watch::Sender<u64>,
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
        queued: Notify::new(),
        ready: Notify::new(),
        frozen: watch::Sender::new(false),
        stalled: watch::Sender::new(false),
        cuts: watch::Sender::new(0),
    });
    tokio::spawn(run::prefill(Arc::clone(&engine)));
    tokio::spawn(run::decode(Arc::clone(&engine)));
    tokio::spawn(run::sample(Arc::clone(&engine)));
    http::serve(listener, move |request| answer(Arc::clone(&engine), request)).await;
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn answer(engine: Arc<Engine>, request: Request<Incoming>) -> Reply {
    let (head, body) = request.into_parts();
    let (method, path) = (head.method.as_str(), head.uri.path());
    let body = http::read_body(body).await?;
    if let Some(page) = path.strip_prefix("/control/") {
        return engine.control_page(method, page, &body);
    }
    engine.thawed().await;
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
    engine.thawed().await;
    if method == "POST" && reply.is_ok() && engine.control().lose_answer() {
        return Err(Refusal::Cut);
    }
    reply
}

impl Engine {
    fn state(&self) -> MutexGuard<'_, State> {
        locked(&self.state)
    }

    fn control(&self) -> MutexGuard<'_, Control> {
        locked(&self.control)
    }

    fn samples(&self) -> MutexGuard<'_, VecDeque<(Instant, Load)>> {
        locked(&self.samples)
    }

    /// Waits while the engine is frozen.
    async fn thawed(&self) {
        let _ = self.frozen.subscribe().wait_for(|frozen| !frozen).await;
    }

    /// Notes an order and checks its fencing number; returns its number.
    fn saw(&self, call: &'static str, id: &Arc<str>, fence: u64) -> Result<u64, Refusal> {
        let mut control = self.control();
        let old = self.settings.checks_fencing && fence < control.fence;
        control.fence = control.fence.max(fence);
        let status = old.then_some(412);
        let number = control.seen.push(Seen { call, id: Arc::clone(id), fence, status });
        if old {
            drop(control);
            self.state().counts.fenced += 1;
            return Err(refusal(412, "fence", "older than one seen"));
        }
        Ok(number)
    }

    /// Notes the answer to an order.
    fn answered<T>(&self, number: u64, outcome: Result<T, Refusal>) -> Result<T, Refusal> {
        let status = match &outcome {
            Ok(_) => Some(200),
            Err(Refusal::Status { status, .. }) => Some(*status),
            Err(Refusal::Cut) => None,
        };
        if let Some(seen) = self.control().seen.get_mut(number) {
            seen.status = status;
        }
        outcome
    }

    /// Refuses new work while a model is being loaded.
    fn loaded(&self) -> Result<(), Refusal> {
        if self.control().loading {
            return Err(refusal(503, "model", "is being loaded"));
        }
        Ok(())
    }

    async fn prefill(&self, order: &Prefill) -> Reply {
        let seen = self.saw("prefill", &order.id, order.fence)?;
        let queued = self.loaded().and_then(|()| self.state().queue(order));
        let prefilling = self.answered(seen, queued)?;
        self.queued.notify_one();
        let prefilled = prefilling.await.unwrap_or(Err(Refusal::Cut));
        http::json(&self.answered(seen, prefilled)?)
    }

    async fn import(self: &Arc<Engine>, order: Import) -> Reply {
        let seen = self.saw("import", &order.id, order.fence)?;
        self.answered(seen, self.loaded())?;
        let imported = transfer::import(Arc::clone(self), order).await;
        http::json(&self.answered(seen, imported)?)
    }

    fn decode(&self, order: &Decode) -> Reply {
        let seen = self.saw("decode", &order.id, order.fence)?;
        let begun = self.state().begin_decode(order);
        let reading = self.answered(seen, begun)?;
        self.ready.notify_one();
        Ok(stream::answer(self, reading))
    }

    fn resume(&self, order: &Resume) -> Reply {
        let seen = self.saw("resume", &order.id, order.fence)?;
        let found = self.state().resume(order);
        Ok(stream::answer(self, self.answered(seen, found)?))
    }

    fn cancel(&self, order: &Cancel) -> Reply {
        let seen = self.saw("cancel", &order.id, order.fence)?;
        self.state().cancel(&order.id);
        self.answered(seen, Ok(empty()))
    }

    async fn order(self: &Arc<Engine>, order: Order) -> Reply {
        let seen = self.saw("order", &"".into(), order.fence)?;
        let engine = Arc::clone(self);
        // A change runs to its end also when its caller goes away.
        let changing = tokio::spawn(async move { engine.change(order.change).await });
        let changed = changing.await.unwrap_or(Err(Refusal::Cut));
        self.answered(seen, changed.map(|()| empty()))
    }

    async fn change(&self, change: Change) -> Result<(), Refusal> {
        match change {
            Change::Role(role) if ROLES.contains(&role.as_ref()) => {
                self.control().role = Some(role);
            }
            Change::Role(role) => {
                let message = format!("`{role}` is not one of {}", ROLES.join(", "));
                return Err(refusal(400, "change.role", message));
            }
            Change::LoadModel(model) => {
                self.loaded()?;
                self.control().loading = true;
                sleep(self.settings.to_real_time(self.settings.model_load_time)).await;
                let mut control = self.control();
                control.loading = false;
                control.model = Some(model);
            }
        }
        Ok(())
    }

    fn events(&self, query: Option<&str>) -> Reply {
        let after = http::query_number(query, "after", 0)?;
        let lag = self.settings.to_real_time(self.settings.events_lag);
        let events = self.state().cache.events(after, lag);
        http::json(&events)
    }

    fn control_page(&self, method: &str, page: &str, body: &Bytes) -> Reply {
        match (method, page) {
            ("POST", "faults") => {
                let mut control = self.control();
                let faults: Faults = faults::merge(&control.faults, body)?;
                control.faults = Faults { cut_streams: false, ..faults };
                self.frozen.send_replace(faults.freeze);
                self.stalled.send_replace(faults.stall);
                if faults.cut_streams {
                    self.cuts.send_modify(|cuts| *cuts += 1);
                }
                http::json(&faults)
            }
            ("GET", "faults") => http::json(&self.control().faults),
            ("GET", "counts") => http::json(&self.state().counts),
            ("GET", "seen") => http::json(&self.control().page()),
            _ => Err(http::unknown_call(method, page)),
        }
    }
}

impl Control {
    fn page(&self) -> impl Serialize {
        serde_json::json!({
            "fence": self.fence,
            "model": self.model,
            "role": self.role,
            "orders": self.seen,
        })
    }
}

fn empty() -> Response<Body> {
    http::response(200, "{}")
}
