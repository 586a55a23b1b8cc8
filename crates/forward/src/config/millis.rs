//! Serializes durations as whole milliseconds.

use serde::{Deserialize, Deserializer, Serializer};
use std::time::Duration;

/// Serializes a duration as whole milliseconds; a fraction is cut off.
pub(super) fn serialize<S: Serializer>(time: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}

/// Deserializes a duration from milliseconds.
pub(super) fn deserialize<'a, D: Deserializer<'a>>(deserializer: D) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_millis)
}

/// Serializes optional durations.
pub(super) mod optional {
    use super::{Deserialize, Deserializer, Duration, Serializer};

    pub(in super::super) fn serialize<S: Serializer>(
        time: &Option<Duration>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match time {
            Some(time) => super::serialize(time, serializer),
            None => serializer.serialize_none(),
        }
    }

    pub(in super::super) fn deserialize<'a, D: Deserializer<'a>>(
        deserializer: D,
    ) -> Result<Option<Duration>, D::Error> {
        Ok(Option::<u64>::deserialize(deserializer)?.map(Duration::from_millis))
    }
}
