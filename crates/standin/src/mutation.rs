//! Random changes of JSON texts, as another writer might leave them, for tests of decoders.

use rand::Rng;
use rand::seq::IndexedRandom;
use serde_json::Value;

/// Stands for the value that is replaced, until the text is built.
const PLACEHOLDER: &str = "\u{1}replaced\u{1}";
/// Depths of nested values: below the limit of the parser and of its callers, at both, and beyond the stack.
const DEPTHS: [usize; 6] = [20, 120, 127, 128, 300, 100_000];
/// Texts of values that other writers may leave in place of any value.
const ODD_VALUES: &[&str] = &[
    "null",
    "true",
    "0",
    "-1",
    "1.5",
    "4294967296",
    "18446744073709551615",
    "18446744073709551616",
    "-9223372036854775809",
    "1e300",
    "1e999",
    "-1e999",
    "1e-999",
    "\"\"",
    "\" \"",
    "\"\\u0000\\n\\r/\"",
    "\"\\ud800\"",
    "\"\u{fffd}\u{202e}\"",
    "\"127.0.0.1:0\"",
    "\"127.0.0.1:99999\"",
    "\"0.0.0.0:80\"",
    "\"224.0.0.1:80\"",
    "\"[::1]:80\"",
    "\"localhost:80\"",
    "[]",
    "{}",
    "{\"a\":1,\"a\":2}",
];

/// Returns the text of `value` with one to three of its values replaced by odd ones, deeply nested ones or long texts. The
/// text is JSON, but not all of it can be read into a [`Value`].
pub fn mutate(value: &Value, rng: &mut impl Rng) -> String {
    let mut mutated = value.clone();
    let count = rng.random_range(1..=3);
    for _ in 0..count {
        *choose(&mut mutated, rng) = PLACEHOLDER.into();
    }
    let placeholder = Value::from(PLACEHOLDER).to_string();
    let mut text = mutated.to_string();
    while let Some(at) = text.find(&placeholder) {
        text.replace_range(at..at + placeholder.len(), &odd_value(rng));
    }
    text
}

/// Returns `bytes` with a part cut off, or some bytes replaced.
pub fn damage(bytes: &[u8], rng: &mut impl Rng) -> Vec<u8> {
    let mut damaged = bytes.to_vec();
    if rng.random_bool(0.3) {
        damaged.truncate(rng.random_range(0..=bytes.len()));
    }
    for _ in 0..rng.random_range(0..4) {
        if let Some(at) = (0..damaged.len()).collect::<Vec<_>>().choose(rng) {
            damaged[*at] = rng.random();
        }
    }
    damaged
}

/// Returns a random value inside of `value`, or `value` itself.
fn choose<'a>(value: &'a mut Value, rng: &mut impl Rng) -> &'a mut Value {
    let count = match value {
        Value::Array(values) => values.len(),
        Value::Object(fields) => fields.len(),
        _ => 0,
    };
    if count == 0 || rng.random_bool(0.1) {
        return value;
    }
    let index = rng.random_range(0..count);
    match value {
        Value::Array(values) => choose(&mut values[index], rng),
        Value::Object(fields) => match fields.values_mut().nth(index) {
            Some(field) => choose(field, rng),
            None => unreachable!("the index is below the number of fields"),
        },
        value => value,
    }
}

/// Returns the text of an odd value.
fn odd_value(rng: &mut impl Rng) -> String {
    match rng.random_range(0..8) {
        0 => {
            let depth = *DEPTHS.choose(rng).unwrap_or(&1);
            let (open, close) = if rng.random() { ("[", "]") } else { ("{\"a\":", "}") };
            format!("{}1{}", open.repeat(depth), close.repeat(depth))
        }
        1 => format!("\"{}\"", "x".repeat(rng.random_range(1..100_000))),
        _ => ODD_VALUES.choose(rng).copied().unwrap_or("null").to_owned(),
    }
}
