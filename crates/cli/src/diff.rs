//! Compares two JSON documents field by field.

use serde_json::Value;

/// A place where two documents differ.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Change {
    /// Path of the value, such as `routes[chat].deadline_ms`. List elements are identified by their
    /// `name` or `id`, otherwise by their index.
    pub place: String,
    /// Value in the old document, or `None` if the place was added.
    pub before: Option<Value>,
    /// Value in the new document, or `None` if the place was removed.
    pub after: Option<Value>,
}

impl std::fmt::Display for Change {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let display = |value: &Option<Value>| value.as_ref().map_or("-".to_owned(), truncated);
        write!(f, "{}: {} -> {}", self.place, display(&self.before), display(&self.after))
    }
}

/// Longest value that is displayed in full, in characters.
const VALUE_CHARS_MAX: usize = 60;

/// Returns the value as JSON. Longer text is truncated to [`VALUE_CHARS_MAX`] characters and gets
/// an ellipsis.
fn truncated(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= VALUE_CHARS_MAX {
        return text;
    }
    let start: String = text.chars().take(VALUE_CHARS_MAX).collect();
    format!("{start}…")
}

/// Returns every place where two documents differ. At each level, fields and elements of the old
/// document come first, in its order, followed by those that only the new document has.
pub fn changes(old: &Value, new: &Value) -> Vec<Change> {
    let mut out = Vec::new();
    compare("", Some(old), Some(new), &mut out);
    out
}

/// Appends the differences at `place` and below to `out`. A value that isn't an object or a list
/// in both documents is compared as a whole.
fn compare(place: &str, old: Option<&Value>, new: Option<&Value>, out: &mut Vec<Change>) {
    if old == new {
        return;
    }
    let (old_children, new_children) = (old.and_then(children), new.and_then(children));
    let (Some(old_children), Some(new_children)) = (old_children, new_children) else {
        out.push(Change { place: place.to_owned(), before: old.cloned(), after: new.cloned() });
        return;
    };
    for (segment, value) in &old_children {
        let new_value = new_children
            .iter()
            .find(|(new_segment, _)| new_segment == segment)
            .map(|(_, value)| *value);
        compare(&join(place, segment), Some(value), new_value, out);
    }
    for (segment, value) in &new_children {
        if !old_children.iter().any(|(old_segment, _)| old_segment == segment) {
            compare(&join(place, segment), None, Some(value), out);
        }
    }
}

/// Returns the fields of an object or the elements of a list, each with its path segment, or `None`
/// for other values.
fn children(value: &Value) -> Option<Vec<(String, &Value)>> {
    match value {
        Value::Object(fields) => {
            Some(fields.iter().map(|(name, value)| (name.clone(), value)).collect())
        }
        Value::Array(elements) => {
            let segment = |(index, element): (usize, &'_ Value)| {
                let name = element.get("name").or_else(|| element.get("id"));
                let name = name.and_then(Value::as_str).map(str::to_owned);
                format!("[{}]", name.unwrap_or_else(|| index.to_string()))
            };
            let segments = elements.iter().enumerate().map(segment);
            Some(segments.zip(elements).collect())
        }
        _ => None,
    }
}

/// Appends a path segment to a place.
fn join(place: &str, segment: &str) -> String {
    if place.is_empty() || segment.starts_with('[') {
        return format!("{place}{segment}");
    }
    format!("{place}.{segment}")
}
