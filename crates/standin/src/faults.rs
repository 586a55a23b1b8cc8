//! Changes of the faults in force: a JSON object of those to change; the others stay.

use crate::http::{self, Refusal, refusal};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// The faults after a change.
///
/// # Errors
///
/// Status 400 with the fault's name for one that isn't known or has a wrong value.
pub fn merge<T: Serialize + DeserializeOwned>(faults: &T, body: &[u8]) -> Result<T, Refusal> {
    let change: Map<String, Value> = http::parse(body)?;
    let mut merged = serde_json::to_value(faults).map_err(|error| refusal(500, "faults", error))?;
    for (name, value) in change {
        let place = format!("body {name}");
        let known = merged.get_mut(&name).ok_or_else(|| refusal(400, &place, "no such fault"))?;
        *known = value;
        T::deserialize(&merged).map_err(|error| refusal(400, &place, error))?;
    }
    T::deserialize(&merged).map_err(|error| refusal(400, "body", error))
}
