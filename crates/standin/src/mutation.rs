//! Random changes of JSON texts, as another writer might leave them, for tests of decoders.

use rand::Rng;
use rand::seq::IndexedRandom;
use serde_json::Value;

/// Depths of nested values: below the limit of the parser and of its callers, at both, and beyond the stack.
const DEPTHS: [usize; 6] = [20, 120, 127, 128, 300, 100_000];
/// Texts of numbers that other writers may leave in place of any value.
const NUMBERS: &[&str] = &[
    "0",
    "1",
    "-1",
    "1.5",
    "255",
    "65536",
    "4294967295",
    "4294967296",
    "18446744073709551615",
    "18446744073709551616",
    "-9223372036854775809",
    "1e300",
    "1e999",
    "-1e999",
    "1e-999",
];
/// Texts of strings that other writers may leave in place of any value.
const STRINGS: &[&str] = &[
    "\"\"",
    "\" \"",
    "\"\\u0000\\n\\r/\"",
    "\"\\ud800\"",
    "\"\u{fffd}\u{202e}\"",
    "\"127.0.0.1:0\"",
    "\"127.0.0.1:1\"",
    "\"127.0.0.1:99999\"",
    "\"0.0.0.0:80\"",
    "\"224.0.0.1:80\"",
    "\"[::1]:1\"",
    "\"localhost:80\"",
    "\"ready\"",
    "\"decode\"",
];
/// Texts of other values that other writers may leave in place of any value.
const OTHERS: &[&str] = &["null", "true", "false", "[]", "{}", "{\"a\":1,\"a\":2}"];

/// Returns the text of `value` with one to three of its values replaced by odd ones, deeply nested ones or long texts. The
/// text is JSON, but not all of it can be read into a [`Value`].
pub fn mutate(value: &Value, rng: &mut impl Rng) -> String {
    let mut mutated = value.clone();
    let mut texts = Vec::new();
    for index in 0..rng.random_range(1..=3) {
        let chosen = choose(&mut mutated, rng);
        let odd = odd_value(chosen, rng);
        let placeholder = Value::from(format!("\u{1}{index}\u{1}"));
        texts.push((placeholder.to_string(), odd));
        *chosen = placeholder;
    }
    let mutated = mutated.to_string();
    texts.into_iter().fold(mutated, |text, (placeholder, odd)| text.replace(&placeholder, &odd))
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

/// Returns the text of an odd value, most often one of the type of the value that it replaces.
fn odd_value(replaced: &Value, rng: &mut impl Rng) -> String {
    let texts = match (rng.random_range(0..10), replaced) {
        (0, _) => {
            let depth = *DEPTHS.choose(rng).unwrap_or(&1);
            let (open, close) = if rng.random() { ("[", "]") } else { ("{\"a\":", "}") };
            return format!("{}1{}", open.repeat(depth), close.repeat(depth));
        }
        (1, _) => return format!("\"{}\"", "x".repeat(rng.random_range(1..100_000))),
        (2, _) => [NUMBERS, STRINGS, OTHERS].concat(),
        (_, Value::Number(_)) => NUMBERS.to_vec(),
        (_, Value::String(_)) => STRINGS.to_vec(),
        _ => OTHERS.to_vec(),
    };
    texts.choose(rng).copied().unwrap_or("null").to_owned()
}
