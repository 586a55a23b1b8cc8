//! Times as whole milliseconds in JSON.

use serde::{Deserialize, Deserializer, Serializer};
use std::time::Duration;

pub(super) fn serialize<S: Serializer>(time: &Duration, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_u64(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}

pub(super) fn deserialize<'a, D: Deserializer<'a>>(from: D) -> Result<Duration, D::Error> {
    u64::deserialize(from).map(Duration::from_millis)
}

/// Times that may be absent.
pub(super) mod optional {
    use super::{Deserialize, Deserializer, Duration, Serializer};

    pub(in super::super) fn serialize<S: Serializer>(
        time: &Option<Duration>,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        match time {
            Some(time) => super::serialize(time, to),
            None => to.serialize_none(),
        }
    }

    pub(in super::super) fn deserialize<'a, D: Deserializer<'a>>(
        from: D,
    ) -> Result<Option<Duration>, D::Error> {
        Ok(Option::<u64>::deserialize(from)?.map(Duration::from_millis))
    }
}
