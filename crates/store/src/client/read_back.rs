//! Conditional writes to the object interface whose outcome is confirmed by reading the object back when
//! the response is lost.

use super::{Client, Error};
use serde_json::Value;

/// State of an object that was read back after a write without a response.
enum ReadBack {
    /// The object holds the written value, at this version.
    Written(u64),
    /// The object has not changed. The write may still arrive.
    Unchanged,
    /// The object holds another writer's value, at this version.
    Overwritten(u64),
}

impl Client {
    /// Writes an object as [`Client::replace`] does, but finds out the outcome when the response is lost.
    ///
    /// **`value` must identify its writer**, since the outcome is found by comparing values: the object
    /// is read back, and if it holds `value`, the write took effect. If the object is unchanged, the
    /// write is repeated: both writes require the same version, so at most one of them takes effect.
    /// The object is read back up to [`super::Settings::read_back_attempts`] times.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] only if this write certainly did not take effect, and
    /// [`Error::Unknown`] if the outcome could not be determined.
    pub async fn replace_confirmed(
        &self,
        kind: &str,
        name: &str,
        version: u64,
        value: &Value,
    ) -> Result<u64, Error> {
        let mut last_error = match self.replace(kind, name, version, value).await {
            Err(Error::Unknown(text)) => text,
            outcome => return outcome,
        };
        for _ in 0..self.settings.read_back_attempts {
            tokio::time::sleep(self.settings.read_back_pause).await;
            match self.read_back(kind, name, version, value).await {
                Ok(ReadBack::Written(version)) => return Ok(version),
                Ok(ReadBack::Overwritten(current_version)) => {
                    return Err(Error::Unknown(format!(
                        "{last_error}; the object has since changed to version {current_version}"
                    )));
                }
                Ok(ReadBack::Unchanged) => match self.replace(kind, name, version, value).await {
                    Ok(version) => return Ok(version),
                    Err(error) => last_error = error.to_string(),
                },
                Err(error) => last_error = error.to_string(),
            }
        }
        Err(Error::Unknown(last_error))
    }

    /// Reads the object and tells whether a write of `value`, conditional on `version`, took effect. A
    /// `version` of 0 means that the object must not exist, so a missing object is unchanged then.
    async fn read_back(
        &self,
        kind: &str,
        name: &str,
        version: u64,
        value: &Value,
    ) -> Result<ReadBack, Error> {
        match self.read(kind, name).await {
            Ok(object) if object.version <= version => Ok(ReadBack::Unchanged),
            Ok(object) if object.value.as_ref() == Some(value) => {
                Ok(ReadBack::Written(object.version))
            }
            Ok(object) => Ok(ReadBack::Overwritten(object.version)),
            Err(Error::Missing) if version == 0 => Ok(ReadBack::Unchanged),
            Err(error) => Err(error),
        }
    }
}
