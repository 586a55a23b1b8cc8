//! Export and import of KV caches, each at the rate of its shared link.
//!
//! The bytes themselves aren't sent: the exporter sends a short line for each chunk when it has
//! passed its link, and the importer lets as many bytes pass its own.

use super::Engine;
use super::state::Imported;
use crate::answer::Source;
use crate::http::{Body, Cut, Refusal, Reply, refusal};
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

/// Longest time until an export begins.
const BEGIN: Duration = Duration::from_millis(2_000);

/// Time after which an import looks again whether it was cancelled.
const CHECK: Duration = Duration::from_millis(50);
/// Longest line of an export, in bytes.
const LINE_BYTES_MAX: usize = 1 << 10;

/// One line of an export.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Line {
    /// What is exported.
    Head { tokens: u32, hash: u64, stop: Option<u32> },
    /// So many bytes have passed the link.
    Chunk { bytes: u64 },
    /// All have.
    End,
}

/// An export that runs; dropping it ends the export.
struct Exporting {
    engine: Arc<Engine>,
    handle: Arc<str>,
    number: u64,
    kv: Imported,
    left: u64,
    stage: Stage,
}

#[derive(PartialEq, Eq)]
enum Stage {
    Head,
    Chunks,
    Whole,
}

impl Drop for Exporting {
    fn drop(&mut self) {
        let whole = self.stage == Stage::Whole;
        self.engine.state().end_export(&self.handle, self.number, whole);
    }
}

/// Streams a KV cache to another engine.
pub(super) fn export(engine: Arc<Engine>, order: Export) -> Reply {
    let (number, kv) = engine.state().begin_export(&order.handle)?;
    let left = engine.settings.bytes_of(kv.tokens);
    let stage = Stage::Head;
    let exporting = Exporting { engine, handle: order.handle, number, kv, left, stage };
    let lines = stream::unfold(Some(exporting), async |exporting| {
        let mut exporting = exporting?;
        match exporting.next().await {
            Ok(line) => {
                let rest = (exporting.stage != Stage::Whole).then_some(exporting);
                Some((Ok(Frame::data(text(&line))), rest))
            }
            Err(cut) => Some((Err(cut), None)),
        }
    });
    Ok(Response::new(Body::new(StreamBody::new(Box::pin(lines)).boxed())))
}

impl Exporting {
    async fn next(&mut self) -> Result<Line, Cut> {
        if self.stage == Stage::Head {
            self.stage = Stage::Chunks;
            let (hash, stop) = self.kv.source.parts();
            return Ok(Line::Head { tokens: self.kv.tokens, hash, stop });
        }
        if self.left == 0 {
            self.stage = Stage::Whole;
            return Ok(Line::End);
        }
        let bytes = self.left.min(self.engine.export_link.chunk());
        self.engine.thawed().await;
        self.engine.export_link.pass(bytes, &self.engine.stalled).await;
        if !self.engine.state().has_prompt(&self.handle, self.number) {
            return Err(Cut);
        }
        self.left -= bytes;
        Ok(Line::Chunk { bytes })
    }
}

/// Moves a KV cache here. It runs to its end also when its caller goes away.
pub(super) async fn import(engine: Arc<Engine>, order: Import) -> Result<order::Imported, Refusal> {
    let number = engine.state().begin_import(&order)?;
    let running = tokio::spawn(async move {
        let transfer = fetch(&engine, &order, number).await;
        engine.state().end_import(&order.id, number, transfer)
    });
    let imported = running.await.unwrap_or(Err(Refusal::Cut))?;
    Ok(order::Imported { tokens: imported.tokens })
}

async fn fetch(engine: &Engine, order: &Import, number: u64) -> Result<Imported, Refusal> {
    let body = open(order).await.map_err(gone)?;
    let mut lines = Lines { body, buffer: BytesMut::new() };
    let mut imported = None;
    loop {
        if !engine.state().has_answer(&order.id, number) {
            return Err(refusal(409, "id", "cancelled"));
        }
        let Ok(line) = timeout(CHECK, lines.next()).await else { continue };
        match line.map_err(gone)? {
            Line::Head { tokens, hash, stop } => {
                imported = Some(Imported { source: Source::from_parts(hash, stop), tokens });
            }
            Line::Chunk { bytes } => engine.import_link.pass(bytes, &engine.stalled).await,
            Line::End => return imported.ok_or_else(|| gone("no head".to_owned())),
        }
    }
}

async fn open(order: &Import) -> Result<pool::Stream, String> {
    let export = Export { handle: Arc::clone(&order.handle) };
    let export = serde_json::to_vec(&export).map_err(|error| error.to_string())?;
    let request = chestnutrack_process::http::request("POST", "/v1/export", export);
    let pool = Pool::new(order.from, pool::Settings::default());
    let answer = pool.call_streaming(request.map_err(|error| error.to_string())?, BEGIN).await;
    let answer = answer.map_err(|error| error.to_string())?;
    match answer.status().as_u16() {
        200 => Ok(answer.into_body()),
        status => Err(format!("status {status}")),
    }
}

/// Whatever breaks a transfer, its KV cache can't be had.
fn gone(text: String) -> Refusal {
    refusal(404, "handle", text)
}

struct Lines {
    body: pool::Stream,
    buffer: BytesMut,
}

impl Lines {
    /// The next line of an export. Cancel safe.
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

/// A value as one line.
pub(super) fn text(line: &impl Serialize) -> Bytes {
    let mut text = serde_json::to_vec(line).unwrap_or_default();
    text.push(b'\n');
    text.into()
}
