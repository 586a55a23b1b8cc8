//! Items of an answer, which are parsed one by one: an object of another writer that can't be read
//! must not hide the others.

use crate::object::Object;
use serde_json::Value;
use serde_json::value::RawValue;
use std::sync::Arc;

/// Longest text of another writer in a log line, in characters.
const LOGGED_CHARS: usize = 100;

/// An object of an answer whose value is not parsed yet.
#[derive(Clone, Debug)]
pub struct Item<'a> {
    /// Name within its kind.
    pub name: Arc<str>,
    /// Version of its last change.
    pub version: u64,
    /// Text of the value; absent for an object that was deleted.
    pub value: Option<&'a str>,
    /// Time since its last change, in milliseconds.
    pub age_ms: u64,
}

impl Item<'_> {
    /// Parses the value. One that can't be read becomes null and is returned with the error: an
    /// object that another writer made unreadable must replace the one before.
    fn parse_value(self) -> (Object, Option<String>) {
        let Item { name, version, value, age_ms } = self;
        let (value, error) = match value.map(serde_json::from_str::<Value>).transpose() {
            Ok(value) => (value, None),
            Err(error) => (Some(Value::Null), Some(error.to_string())),
        };
        (Object { name, version, value, age_ms }, error)
    }
}

/// What can't be read in one answer. The answer gets one log line, however many objects that are.
#[derive(Default)]
struct Unreadable {
    count: usize,
    /// Name, if it can be read, and error of the first one.
    first: Option<(Arc<str>, String)>,
}

impl Unreadable {
    fn record(&mut self, name: &Arc<str>, error: String) {
        self.count += 1;
        self.first.get_or_insert_with(|| (name.clone(), error));
    }

    fn log(self) {
        let Some((name, error)) = self.first else { return };
        let (name, error) = (excerpt(&name), excerpt(&error));
        tracing::warn!(name, error, objects = self.count, "objects of the store can't be read");
    }
}

/// Returns the text of an answer. Bytes that are not UTF-8, which other writers' objects may hold,
/// are replaced.
pub fn text(body: &[u8]) -> std::borrow::Cow<'_, str> {
    String::from_utf8_lossy(body)
}

/// Parses the objects of an answer. Leaves out items that `parse` can't read, and logs them.
pub fn objects<'a>(
    items: &[&'a RawValue],
    parse: impl Fn(&'a str) -> Result<Item<'a>, String>,
) -> Vec<Object> {
    let mut unreadable = Unreadable::default();
    let mut objects = Vec::with_capacity(items.len());
    for item in items {
        let item = match parse(item.get()) {
            Ok(item) => item,
            Err(error) => {
                unreadable.record(&"".into(), error);
                continue;
            }
        };
        let (object, error) = item.parse_value();
        if let Some(error) = error {
            unreadable.record(&object.name, error);
        }
        objects.push(object);
    }
    unreadable.log();
    objects
}

/// Parses a single object. Logs a value that can't be read.
pub fn object(item: Item<'_>) -> Object {
    let mut unreadable = Unreadable::default();
    let (object, error) = item.parse_value();
    if let Some(error) = error {
        unreadable.record(&object.name, error);
    }
    unreadable.log();
    object
}

/// Returns the start of a text of another writer, for a log line.
pub fn excerpt(text: &str) -> &str {
    text.char_indices().nth(LOGGED_CHARS).map_or(text, |(end, _)| &text[..end])
}
