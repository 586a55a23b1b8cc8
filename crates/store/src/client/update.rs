//! Conditional writes whose outcome is found out when the answer is lost.

use super::{Client, Error};
use serde_json::Value;

/// What the object looks like after a write without an answer.
enum Look {
    /// It holds the written value, at this version.
    Own(u64),
    /// It has not changed; the write may still arrive.
    Unchanged,
    /// Somebody else's value stands there, at this version.
    Other(u64),
}

impl Client {
    /// Writes an object that must have a version, 0 where it must not exist; returns its new
    /// version.
    ///
    /// When the answer is lost, the object is read again and compared, so the value has to carry
    /// its writer's mark. An unchanged object is written again: both writes ask for the same
    /// version, so that at most one of them takes effect.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] only when this write certainly did not take effect;
    /// [`Error::Unknown`] when that could not be found out.
    pub async fn update(
        &self,
        kind: &str,
        name: &str,
        version: u64,
        value: &Value,
    ) -> Result<u64, Error> {
        let mut lost = match self.replace(kind, name, version, value).await {
            Err(Error::Unknown(text)) => text,
            outcome => return outcome,
        };
        for _ in 0..self.settings.update_reads {
            tokio::time::sleep(self.settings.update_pause).await;
            match self.look(kind, name, version, value).await {
                Ok(Look::Own(version)) => return Ok(version),
                Ok(Look::Other(now)) => {
                    return Err(Error::Unknown(format!("{lost}; then changed to version {now}")));
                }
                Ok(Look::Unchanged) => match self.replace(kind, name, version, value).await {
                    Ok(version) => return Ok(version),
                    Err(error) => lost = error.to_string(),
                },
                Err(error) => lost = error.to_string(),
            }
        }
        Err(Error::Unknown(lost))
    }

    async fn look(
        &self,
        kind: &str,
        name: &str,
        version: u64,
        value: &Value,
    ) -> Result<Look, Error> {
        match self.read(kind, name).await {
            Ok(object) if object.version <= version => Ok(Look::Unchanged),
            Ok(object) if object.value.as_ref() == Some(value) => Ok(Look::Own(object.version)),
            Ok(object) => Ok(Look::Other(object.version)),
            Err(Error::Missing) if version == 0 => Ok(Look::Unchanged),
            Err(error) => Err(error),
        }
    }
}
