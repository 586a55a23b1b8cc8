//! HTTP calls to the processes and stand-ins of a fleet.

use super::Fleet;
use crate::caller::{self, Answer, Call};
use crate::error::Error;
use chestnutrack_document::Document;
use chestnutrack_process::http;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a call to an admin port or a stand-in.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest accepted answer of an admin port or a stand-in, in bytes.
const MAX_PAGE_BYTES: usize = 16 << 20;

impl Fleet {
    /// Sends a request to an entry host as a caller.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Call`] if the answer was not received whole.
    pub async fn call(&self, entry: u8, call: &Call) -> Result<Answer, Error> {
        caller::call(self.entry(entry), call).await
    }

    /// Writes the document of the service. If a version is given, the write is refused unless the stored
    /// document has that version.
    ///
    /// Returns the new version.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Call`] with the answer if the request was refused.
    pub async fn write_document(
        &self,
        document: &Document,
        version: Option<u64>,
    ) -> Result<u64, Error> {
        let value = serde_json::to_value(document);
        let value = value.map_err(|error| Error::Other(error.to_string()))?;
        self.write_object("documents", &document.service, &value, version).await
    }

    /// Writes an object as an operator would. If a version is given, the write is refused unless the
    /// stored object has that version.
    ///
    /// Returns the new version.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Call`] with the answer if the request was refused.
    pub async fn write_object(
        &self,
        kind: &str,
        name: &str,
        value: &Value,
        version: Option<u64>,
    ) -> Result<u64, Error> {
        let headers = version.map(|version| ("if-match".to_owned(), version.to_string()));
        let call = Call {
            method: "PUT",
            target: format!("/v1/objects/{kind}/{name}"),
            headers: headers.into_iter().collect(),
            body: value.to_string().into_bytes(),
            ..Call::default()
        };
        let answer = caller::call(self.platform(), &call).await?;
        if answer.status != 200 {
            let text = format!("status {}: {}", answer.status, answer.text());
            return Err(Error::Call(self.platform(), text));
        }
        Ok(answer.json()["version"].as_u64().unwrap_or_default())
    }

    /// Reads an object; returns `None` if the answer has a status other than 200.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Call`] if the object interface doesn't answer.
    pub async fn read_object(&self, kind: &str, name: &str) -> Result<Option<Value>, Error> {
        let target = format!("/v1/objects/{kind}/{name}");
        let answer = caller::call(self.platform(), &Call { target, ..Call::default() }).await?;
        Ok((answer.status == 200).then(|| answer.json()))
    }

    /// Sends a command, such as the faults to inject, to a control page of a stand-in and returns the
    /// answer.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Call`] with the answer if the request was refused.
    pub async fn control(
        &self,
        address: SocketAddr,
        page: &str,
        command: &Value,
    ) -> Result<Value, Error> {
        let call = Call {
            method: "POST",
            target: format!("/control/{page}"),
            body: command.to_string().into_bytes(),
            ..Call::default()
        };
        let answer = caller::call(address, &call).await?;
        if answer.status != 200 {
            let text = format!("status {}: {}", answer.status, answer.text());
            return Err(Error::Call(address, text));
        }
        Ok(answer.json())
    }

    /// Reads a JSON page of an admin port or a stand-in; returns null if the page is not JSON.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Call`] if there is no answer.
    pub async fn get_json(&self, address: SocketAddr, target: &str) -> Result<Value, Error> {
        Ok(serde_json::from_slice(&get(address, target).await?.1).unwrap_or_default())
    }

    /// Reads the metrics of a process as text.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Call`] if there is no answer.
    pub async fn metrics(&self, admin: SocketAddr) -> Result<String, Error> {
        Ok(String::from_utf8_lossy(&get(admin, "/metrics").await?.1).into_owned())
    }
}

/// Reads a page and returns its status code and body.
pub(super) async fn get(address: SocketAddr, target: &str) -> Result<(u16, bytes::Bytes), Error> {
    let failed = |error: http::Error| Error::Call(address, error.to_string());
    let request = http::request("GET", target, "").map_err(failed)?;
    let answer = http::call(address, request, ADMIN_TIMEOUT, MAX_PAGE_BYTES).await;
    let answer = answer.map_err(failed)?;
    Ok((answer.status().as_u16(), answer.into_body()))
}
