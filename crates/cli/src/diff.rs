//! What differs between two JSON documents, by place.

use serde_json::Value;

/// One place where two documents differ.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Change {
    /// Place; elements of lists that carry a name or id are shown by it.
    pub place: String,
    /// Value before; absent if the place is new.
    pub before: Option<Value>,
    /// Value after; absent if the place is gone.
    pub after: Option<Value>,
}

impl std::fmt::Display for Change {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let shown = |value: &Option<Value>| value.as_ref().map_or("-".to_owned(), brief);
        write!(f, "{}: {} -> {}", self.place, shown(&self.before), shown(&self.after))
    }
}

/// Longest value that is shown in full, in characters.
const VALUE_CHARS: usize = 60;

fn brief(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= VALUE_CHARS {
        return text;
    }
    let start: String = text.chars().take(VALUE_CHARS).collect();
    format!("{start}…")
}

/// Every place where two documents differ, in the order of their places.
pub fn changes(before: &Value, after: &Value) -> Vec<Change> {
    let mut out = Vec::new();
    compare("", Some(before), Some(after), &mut out);
    out
}

fn compare(place: &str, before: Option<&Value>, after: Option<&Value>, out: &mut Vec<Change>) {
    if before == after {
        return;
    }
    let (left, right) = (before.and_then(parts), after.and_then(parts));
    let (Some(left), Some(right)) = (left, right) else {
        out.push(Change {
            place: place.to_owned(),
            before: before.cloned(),
            after: after.cloned(),
        });
        return;
    };
    for (step, value) in &left {
        let other = right.iter().find(|(other, _)| other == step).map(|(_, value)| *value);
        compare(&joined(place, step), Some(value), other, out);
    }
    for (step, value) in &right {
        if !left.iter().any(|(other, _)| other == step) {
            compare(&joined(place, step), None, Some(value), out);
        }
    }
}

/// The parts of an object or a list, by field, name or number.
fn parts(value: &Value) -> Option<Vec<(String, &Value)>> {
    match value {
        Value::Object(fields) => {
            Some(fields.iter().map(|(name, value)| (name.clone(), value)).collect())
        }
        Value::Array(elements) => {
            let named = |(index, element): (usize, &'_ Value)| {
                let name = element.get("name").or_else(|| element.get("id"));
                let name = name.and_then(Value::as_str).map(str::to_owned);
                format!("[{}]", name.unwrap_or_else(|| index.to_string()))
            };
            let steps = elements.iter().enumerate().map(named);
            Some(steps.zip(elements).collect())
        }
        _ => None,
    }
}

fn joined(place: &str, step: &str) -> String {
    if place.is_empty() || step.starts_with('[') {
        return format!("{place}{step}");
    }
    format!("{place}.{step}")
}
