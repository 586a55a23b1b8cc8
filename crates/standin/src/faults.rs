//! Partial updates of the injected faults: a JSON object names the faults to change, and all others
//! keep their values.

use crate::http::{self, Failure, failure};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// Returns the faults after applying a partial update.
///
/// # Errors
///
/// Status 400 with the fault's name if the fault is unknown or its value invalid.
pub fn merge<T: Serialize + DeserializeOwned>(current: &T, body: &[u8]) -> Result<T, Failure> {
    let patch: Map<String, Value> = http::parse(body)?;
    let mut merged =
        serde_json::to_value(current).map_err(|error| failure(500, "faults", error))?;
    for (name, value) in patch {
        let place = format!("body {name}");
        let current_value =
            merged.get_mut(&name).ok_or_else(|| failure(400, &place, "no such fault"))?;
        *current_value = value;
        T::deserialize(&merged).map_err(|error| failure(400, &place, error))?;
    }
    T::deserialize(&merged).map_err(|error| failure(400, "body", error))
}
