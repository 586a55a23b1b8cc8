//! Pages for operators.

use crate::app::App;
use crate::scheduler::ServerView;
use chestnutrack_fleet::Fleet;
use chestnutrack_process::admin::Pages;
use chestnutrack_wire::Request;
use serde_json::{Value, json};
use std::sync::Arc;
use tokio::sync::watch;

/// Returns the handler of the pages `/v1/explain?id=…`, `/v1/servers`, `/v1/configuration` and
/// `/v1/usage`, and of the fleet's pages.
pub fn pages(app: Arc<App>, views: watch::Receiver<Vec<ServerView>>, fleet: Fleet) -> Pages {
    Arc::new(move |path, query| match path {
        "/v1/explain" => Some(explain(&app, query)),
        "/v1/servers" => Some(json!({ "servers": *views.borrow() })),
        "/v1/configuration" => Some(configuration(&app)),
        "/v1/usage" => Some(json!({ "usage": app.ledger.lines() })),
        other => fleet.pages(other),
    })
}

/// Returns the recorded steps of a recent request.
fn explain(app: &App, query: &str) -> Value {
    let id = query.split('&').find_map(|pair| pair.strip_prefix("id="));
    let Some(id) = id.and_then(|text| text.parse::<Request>().ok()) else {
        return json!({ "error": { "place": "id", "message": "must be a request's identifier" } });
    };
    match app.recent_requests.get(id) {
        Some(record) => json!(record),
        None => json!({ "error": { "place": "id", "message": "not among the recent requests" } }),
    }
}

/// Returns the version and state of the current configuration.
fn configuration(app: &App) -> Value {
    let snapshot = app.authority.snapshot();
    json!({
        "version": snapshot.version,
        "trusted": snapshot.trusted,
        "service": snapshot.document.as_ref().map(|document| document.service.clone()),
        "leaving_hosts": snapshot.leaving,
    })
}
