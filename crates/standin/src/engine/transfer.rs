//! Export and import of KV caches. Concurrent exports share the bandwidth of the export link, and
//! concurrent imports that of the import link.
//!
//! The KV cache's bytes aren't sent: the exporter sends a short line when a chunk has passed its
//! link, and the importer then waits until as many bytes have passed its own link. A KV cache
//! stands for a prompt; its head line carries the generator of the prompt's answer.

use super::Engine;
use super::state::KvCache;
use crate::answer::Generator;
use crate::http::{Body, Cut, Failure, Reply, failure};
use bytes::{Bytes, BytesMut};
use chestnutrack_engine::order::{self, Export, Import};
use chestnutrack_process::pool::{self, Pool};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Maximum time until an export responds.
const EXPORT_BEGIN_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Interval at which an import that receives no line checks whether it was cancelled.
const CANCEL_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum length of an export's line.
const LINE_BYTES_MAX: usize = 1 << 10;

/// One line of an export.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Line {
    /// Size of the KV cache, and the parts of its answer's generator.
    Head { tokens: u32, hash: u64, stop: Option<u32> },
    /// `bytes` more bytes have passed the export link.
    Chunk { bytes: u64 },
    /// All bytes have passed the export link.
    End,
}

/// An export in progress; dropping it ends the export.
struct ExportStream {
    engine: Arc<Engine>,
    /// Id of the request whose KV cache is exported.
    handle: Arc<str>,
    /// Serial number of the prompt.
    serial: u64,
    kv: KvCache,
    remaining_bytes: u64,
    stage: Stage,
}

/// Progress of an export.
#[derive(PartialEq, Eq)]
enum Stage {
    /// The head line is next.
    Head,
    /// A chunk is next, or the end line if no bytes remain.
    Chunks,
    /// The end line was returned.
    Complete,
}

impl Drop for ExportStream {
    fn drop(&mut self) {
        let is_complete = self.stage == Stage::Complete;
        self.engine.state().end_export(&self.handle, self.serial, is_complete);
    }
}

/// Returns a response that streams a KV cache to another engine. The export ends when the response
/// is sent or its connection closes.
pub(super) fn export(engine: Arc<Engine>, order: Export) -> Reply {
    let (serial, kv) = engine.state().begin_export(&order.handle)?;
    let remaining_bytes = engine.settings.kv_bytes(kv.tokens);
    let stage = Stage::Head;
    let export = ExportStream { engine, handle: order.handle, serial, kv, remaining_bytes, stage };
    let lines = stream::unfold(Some(export), async |export| {
        let mut export = export?;
        match export.next().await {
            Ok(line) => {
                let next_state = (export.stage != Stage::Complete).then_some(export);
                Some((Ok(Frame::data(json_line(&line))), next_state))
            }
            Err(cut) => Some((Err(cut), None)),
        }
    });
    Ok(Response::new(Body::new(StreamBody::new(Box::pin(lines)).boxed())))
}

impl ExportStream {
    /// Returns the next line of the export, a chunk when it has passed the link.
    ///
    /// # Errors
    ///
    /// [`Cut`] if the KV cache was removed.
    async fn next(&mut self) -> Result<Line, Cut> {
        if self.stage == Stage::Head {
            self.stage = Stage::Chunks;
            let (hash, stop) = self.kv.generator.parts();
            return Ok(Line::Head { tokens: self.kv.tokens, hash, stop });
        }
        if self.remaining_bytes == 0 {
            self.stage = Stage::Complete;
            return Ok(Line::End);
        }
        let bytes = self.remaining_bytes.min(self.engine.export_link.chunk_bytes());
        self.engine.wait_while_paused().await;
        self.engine.export_link.transfer(bytes, &self.engine.stalled).await;
        if !self.engine.state().has_prompt(&self.handle, self.serial) {
            return Err(Cut);
        }
        self.remaining_bytes -= bytes;
        Ok(Line::Chunk { bytes })
    }
}

/// Imports a KV cache from another engine. The import continues even if the caller disconnects.
pub(super) async fn import(engine: Arc<Engine>, order: Import) -> Result<order::Imported, Failure> {
    let serial = engine.state().begin_import(&order)?;
    let task = tokio::spawn(async move {
        let transfer = fetch(&engine, &order, serial).await;
        engine.state().end_import(&order.id, serial, transfer)
    });
    let imported = task.await.unwrap_or(Err(Failure::Cut))?;
    Ok(order::Imported { tokens: imported.tokens })
}

/// Receives a KV cache from the engine that holds it.
///
/// # Errors
///
/// Status 409 when the import is cancelled, 404 if the transfer fails in any other way.
async fn fetch(engine: &Engine, order: &Import, serial: u64) -> Result<KvCache, Failure> {
    let body = open_export(order).await.map_err(missing_kv_cache)?;
    let mut lines = LineReader { body, buffer: BytesMut::new() };
    let mut head = None;
    loop {
        if !engine.state().has_answer(&order.id, serial) {
            return Err(failure(409, "id", "cancelled"));
        }
        let Ok(line) = timeout(CANCEL_CHECK_INTERVAL, lines.next()).await else { continue };
        match line.map_err(missing_kv_cache)? {
            Line::Head { tokens, hash, stop } => {
                head = Some(KvCache { generator: Generator::from_parts(hash, stop), tokens });
            }
            Line::Chunk { bytes } => engine.import_link.transfer(bytes, &engine.stalled).await,
            Line::End => return head.ok_or_else(|| missing_kv_cache("no head".to_owned())),
        }
    }
}

/// Requests an export from the engine that holds the KV cache.
async fn open_export(order: &Import) -> Result<pool::Stream, String> {
    let export = Export { handle: Arc::clone(&order.handle) };
    let export = serde_json::to_vec(&export).map_err(|error| error.to_string())?;
    let request = chestnutrack_process::http::request("POST", "/v1/export", export);
    let pool = Pool::new(order.from, pool::Settings::default());
    let answer = pool
        .call_streaming(request.map_err(|error| error.to_string())?, EXPORT_BEGIN_TIMEOUT)
        .await;
    let answer = answer.map_err(|error| error.to_string())?;
    match answer.status().as_u16() {
        200 => Ok(answer.into_body()),
        status => Err(format!("status {status}")),
    }
}

/// Returns the failure of a transfer: status 404 whatever the error, since the KV cache is
/// unavailable.
fn missing_kv_cache(text: String) -> Failure {
    failure(404, "handle", text)
}

/// Splits the body of an export into lines.
struct LineReader {
    body: pool::Stream,
    buffer: BytesMut,
}

impl LineReader {
    /// Reads the next line of an export. Cancel safe.
    async fn next(&mut self) -> Result<Line, String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                return serde_json::from_slice(&line).map_err(|error| error.to_string());
            }
            if self.buffer.len() > LINE_BYTES_MAX {
                return Err("line too long".to_owned());
            }
            let chunk = self.body.chunk().await.map_err(|error| error.to_string())?;
            self.buffer.extend_from_slice(&chunk.ok_or("ended early")?);
        }
    }
}

/// Serializes a value as one line of JSON.
pub(super) fn json_line(line: &impl Serialize) -> Bytes {
    let mut text = serde_json::to_vec(line).unwrap_or_default();
    text.push(b'\n');
    text.into()
}
