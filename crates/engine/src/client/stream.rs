//! A streamed answer, checked line by line.

use super::Settings;
use crate::error::Error;
use crate::order::Line;
use bytes::{Buf, BytesMut};
use chestnutrack_process::pool;
use std::time::Duration;
use tokio::time::timeout;

/// A streamed answer. Dropping it closes its connection; the engine goes on until it is
/// cancelled.
pub struct Stream {
    /// Absent once the stream is over.
    body: Option<pool::Stream>,
    buffer: BytesMut,
    /// Offset of the next token.
    offset: u32,
    /// Lines read so far.
    lines: u64,
    silence: Duration,
    line_bytes: usize,
}

impl Stream {
    pub(super) fn new(body: pool::Stream, offset: u32, settings: &Settings) -> Stream {
        Stream {
            body: Some(body),
            buffer: BytesMut::new(),
            offset,
            lines: 0,
            silence: settings.silence,
            line_bytes: settings.line_bytes,
        }
    }

    /// Offset of the token that comes next.
    pub fn offset(&self) -> u32 {
        self.offset
    }

    /// The next line; `None` after [`Line::End`] or an error. Cancel safe.
    ///
    /// Tokens come without gaps or repeats, and the end names their total.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] when the stream broke or fell silent before its end,
    /// [`Error::Malformed`] for a line that can't be right.
    pub async fn next(&mut self) -> Result<Option<Line>, Error> {
        if self.body.is_none() {
            return Ok(None);
        }
        let line = self.read().await.inspect_err(|_| self.fail())?;
        if let Line::End { .. } = line {
            self.finish();
        }
        Ok(Some(line))
    }

    async fn read(&mut self) -> Result<Line, Error> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end);
                self.buffer.advance(1);
                return self.check(&line);
            }
            if self.buffer.len() > self.line_bytes {
                return Err(self.malformed(format!("longer than {} bytes", self.line_bytes)));
            }
            let Some(body) = &mut self.body else { return Err(self.broken("over")) };
            match timeout(self.silence, body.chunk()).await {
                Ok(Ok(Some(bytes))) => self.buffer.extend_from_slice(&bytes),
                Ok(Ok(None)) => return Err(self.broken("ended without an end line")),
                Ok(Err(error)) => return Err(self.broken(&error.to_string())),
                Err(_) => {
                    return Err(self.broken(&format!("silent for {} ms", self.silence.as_millis())));
                }
            }
        }
    }

    fn check(&mut self, line: &[u8]) -> Result<Line, Error> {
        self.lines += 1;
        let parsed = serde_json::from_slice(line);
        let line = parsed.map_err(|error| self.malformed(error.to_string()))?;
        match &line {
            Line::Token { offset, .. } if *offset == self.offset => self.offset += 1,
            Line::End { total, .. } if *total == self.offset => {}
            Line::Token { offset: found, .. } | Line::End { total: found, .. } => {
                return Err(self.malformed(format!("offset {found} in place of {}", self.offset)));
            }
        }
        Ok(line)
    }

    fn malformed(&self, text: String) -> Error {
        Error::Malformed(format!("line {}", self.lines), text)
    }

    fn broken(&self, text: &str) -> Error {
        Error::Unknown(format!("stream at offset {}: {text}", self.offset))
    }

    fn fail(&mut self) {
        if let Some(mut body) = self.body.take() {
            body.discard();
        }
    }

    /// Reads the rest of the body aside, so that the connection can be used again.
    fn finish(&mut self) {
        let Some(mut body) = self.body.take() else { return };
        let silence = self.silence;
        tokio::spawn(async move { timeout(silence, body.chunk()).await });
    }
}
