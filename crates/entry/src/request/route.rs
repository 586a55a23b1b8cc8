//! Finds the route of a request by method, path and model. The document (the configuration of the
//! service) lists the routes.

use super::refusal::{Code, Refusal};
use chestnutrack_document::Document;
use chestnutrack_document::model::Route;

/// Returns the routes that have the given method among those that match the path most specifically.
/// There are several if they differ by model.
///
/// # Errors
///
/// If no route matches the path, or none of those that do has the method.
pub fn find<'a>(
    document: &'a Document,
    method: &str,
    path: &str,
) -> Result<Vec<&'a Route>, Refusal> {
    let best = document.routes.iter().filter_map(|route| match_rank(&route.path, path)).max();
    let Some(best) = best else {
        return Err(Refusal::new(Code::UnknownRoute, "no route has this path").with_place("path"));
    };
    let at_path =
        document.routes.iter().filter(|route| match_rank(&route.path, path) == Some(best));
    let found: Vec<&Route> = at_path.filter(|route| route.method.as_ref() == method).collect();
    if found.is_empty() {
        let message = "the route has no such method";
        return Err(Refusal::new(Code::MethodNotAllowed, message).with_place("method"));
    }
    Ok(found)
}

/// Returns the route that serves a model, out of the routes that match the path.
///
/// # Errors
///
/// If none of the routes serves the model.
pub fn for_model<'a>(routes: &[&'a Route], model: &str) -> Result<&'a Route, Refusal> {
    let found = routes.iter().find(|route| route.model.as_deref() == Some(model));
    found.copied().ok_or_else(|| {
        Refusal::new(Code::UnknownModel, "no such model is served here").with_place("model")
    })
}

/// Returns how specific a match is, or `None` if the path doesn't match. A longer literal part
/// ranks higher, and at the same length an exact path ranks higher than one that ends in `*`.
fn match_rank(pattern: &str, path: &str) -> Option<(usize, bool)> {
    if pattern == path {
        return Some((pattern.len(), true));
    }
    let prefix = pattern.strip_suffix('*')?;
    path.starts_with(prefix).then_some((prefix.len(), false))
}
