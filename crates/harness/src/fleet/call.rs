//! Calls to a fleet's processes and stand-ins, and what they answer.

use super::Fleet;
use crate::caller::{self, Answer, Call};
use crate::error::Error;
use chestnutrack_document::Document;
use chestnutrack_process::http;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest time for a call to a process's admin port.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest page of an admin port, in bytes.
const MAX_PAGE_BYTES: usize = 16 << 20;

impl Fleet {
    /// Makes a caller's call to an entry host.
    ///
    /// # Errors
    ///
    /// [`Error::Call`] when no whole answer came.
    pub async fn call(&self, entry: u8, call: &Call) -> Result<Answer, Error> {
        caller::call(self.entry(entry), call).await
    }

    /// Writes the service's document, on condition of its version if one is options.
    ///
    /// # Errors
    ///
    /// [`Error::Call`] with the answer when it was refused.
    pub async fn write_document(
        &self,
        document: &Document,
        version: Option<u64>,
    ) -> Result<u64, Error> {
        let value = serde_json::to_value(document);
        let value = value.map_err(|error| Error::Other(error.to_string()))?;
        self.write_object("documents", &document.service, &value, version).await
    }

    /// Writes an object as an operator would.
    ///
    /// # Errors
    ///
    /// [`Error::Call`] with the answer when it was refused.
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

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// [`Error::Call`] when the object interface doesn't answer.
    pub async fn read_object(&self, kind: &str, name: &str) -> Result<Option<Value>, Error> {
        let target = format!("/v1/objects/{kind}/{name}");
        let answer = caller::call(self.platform(), &Call { target, ..Call::default() }).await?;
        Ok((answer.status == 200).then(|| answer.json()))
    }

    /// Posts a fault or another order to a stand-in's control page.
    ///
    /// # Errors
    ///
    /// [`Error::Call`] with the answer when it was refused.
    pub async fn control(
        &self,
        address: SocketAddr,
        page: &str,
        order: &Value,
    ) -> Result<Value, Error> {
        let call = Call {
            method: "POST",
            target: format!("/control/{page}"),
            body: order.to_string().into_bytes(),
            ..Call::default()
        };
        let answer = caller::call(address, &call).await?;
        if answer.status != 200 {
            let text = format!("status {}: {}", answer.status, answer.text());
            return Err(Error::Call(address, text));
        }
        Ok(answer.json())
    }

    /// Reads a JSON page of an admin port or a stand-in.
    ///
    /// # Errors
    ///
    /// [`Error::Call`] when there is no answer.
    pub async fn get_json(&self, address: SocketAddr, target: &str) -> Result<Value, Error> {
        Ok(serde_json::from_slice(&get(address, target).await?.1).unwrap_or_default())
    }

    /// Reads a process's metrics as text.
    ///
    /// # Errors
    ///
    /// [`Error::Call`] when there is no answer.
    pub async fn metrics(&self, admin: SocketAddr) -> Result<String, Error> {
        Ok(String::from_utf8_lossy(&get(admin, "/metrics").await?.1).into_owned())
    }
}

/// Reads a page: its status and its body.
pub(super) async fn get(address: SocketAddr, target: &str) -> Result<(u16, bytes::Bytes), Error> {
    let failed = |error: http::Error| Error::Call(address, error.to_string());
    let request = http::request("GET", target, "").map_err(failed)?;
    let answer = http::call(address, request, ADMIN_TIMEOUT, MAX_PAGE_BYTES).await;
    let answer = answer.map_err(failed)?;
    Ok((answer.status().as_u16(), answer.into_body()))
}
