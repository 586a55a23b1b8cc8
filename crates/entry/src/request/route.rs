//! Finds the route of a request.

use super::refusal::{Code, Refusal};
use chestnutrack_document::Document;
use chestnutrack_document::model::Route;

/// Routes that a method and a path lead to; several where they differ by model.
///
/// # Errors
///
/// When no route has the path, or none has the method.
pub fn find<'a>(
    document: &'a Document,
    method: &str,
    path: &str,
) -> Result<Vec<&'a Route>, Refusal> {
    let best = document.routes.iter().filter_map(|route| fit(&route.path, path)).max();
    let Some(best) = best else {
        return Err(Refusal::new(Code::UnknownRoute, "no route has this path").with_place("path"));
    };
    let at_path = document.routes.iter().filter(|route| fit(&route.path, path) == Some(best));
    let found: Vec<&Route> = at_path.filter(|route| route.method.as_ref() == method).collect();
    if found.is_empty() {
        let message = "the route has no such method";
        return Err(Refusal::new(Code::MethodNotAllowed, message).with_place("method"));
    }
    Ok(found)
}

/// The route of a model among those that a path leads to.
///
/// # Errors
///
/// When none serves the model.
pub fn for_model<'a>(routes: &[&'a Route], model: &str) -> Result<&'a Route, Refusal> {
    let found = routes.iter().find(|route| route.model.as_deref() == Some(model));
    found.copied().ok_or_else(|| {
        Refusal::new(Code::UnknownModel, "no such model is served here").with_place("model")
    })
}

/// How well a route's path fits: the longer the part that is spelled out, the better, and a
/// whole path is better than one that ends in `*`.
fn fit(pattern: &str, path: &str) -> Option<(usize, bool)> {
    if pattern == path {
        return Some((pattern.len(), true));
    }
    let prefix = pattern.strip_suffix('*')?;
    path.starts_with(prefix).then_some((prefix.len(), false))
}
