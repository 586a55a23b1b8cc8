//! Reads a streamed answer and validates it line by line: token offsets must follow one another, and the
//! end line's total must be the number of tokens.

use super::Settings;
use crate::error::Error;
use crate::order::Line;
use bytes::{Buf, BytesMut};
use chestnutrack_process::pool;
use std::time::Duration;
use tokio::time::timeout;

/// A streamed answer. Dropping it closes the connection, but the engine keeps generating until the
/// request is cancelled.
pub struct Stream {
    /// Absent once the stream has ended or failed.
    body: Option<pool::Stream>,
    /// Bytes received that don't make a whole line yet, or belong to lines not returned yet.
    unparsed: BytesMut,
    /// Offset of the next token in the answer. A resumed stream begins at the offset that was asked for.
    offset: u32,
    /// Number of lines read so far.
    lines_read: u64,
    stream_idle_timeout: Duration,
    line_bytes_max: usize,
}

impl Stream {
    /// Creates the stream of an answer whose first token in `body` has this offset: 0 unless the answer
    /// is resumed.
    pub(super) fn new(body: pool::Stream, offset: u32, settings: &Settings) -> Stream {
        Stream {
            body: Some(body),
            unparsed: BytesMut::new(),
            offset,
            lines_read: 0,
            stream_idle_timeout: settings.stream_idle_timeout,
            line_bytes_max: settings.line_bytes_max,
        }
    }

    /// Returns the offset of the next token in the answer.
    pub fn offset(&self) -> u32 {
        self.offset
    }

    /// Returns the next line, or `None` after [`Line::End`] or an error. Cancel-safe.
    ///
    /// Tokens are returned without gaps or repeats, and the total in the end line is their number.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if the connection failed or no data came for the idle timeout before
    /// the end line, and [`Error::Malformed`] for a line that is not valid or has a wrong offset.
    pub async fn next(&mut self) -> Result<Option<Line>, Error> {
        if self.body.is_none() {
            return Ok(None);
        }
        let line = self.read_line().await.inspect_err(|_| self.abort())?;
        if let Line::End { .. } = line {
            self.drain_body();
        }
        Ok(Some(line))
    }

    /// Receives data until `unparsed` contains a line's end, and parses the line.
    async fn read_line(&mut self) -> Result<Line, Error> {
        loop {
            if let Some(end) = self.unparsed.iter().position(|byte| *byte == b'\n') {
                let line = self.unparsed.split_to(end);
                self.unparsed.advance(1);
                return self.parse_line(&line);
            }
            if self.unparsed.len() > self.line_bytes_max {
                return Err(self.malformed(format!("longer than {} bytes", self.line_bytes_max)));
            }
            let Some(body) = &mut self.body else { return Err(self.broken("already ended")) };
            match timeout(self.stream_idle_timeout, body.chunk()).await {
                Ok(Ok(Some(bytes))) => self.unparsed.extend_from_slice(&bytes),
                Ok(Ok(None)) => return Err(self.broken("ended without an end line")),
                Ok(Err(error)) => return Err(self.broken(&error.to_string())),
                Err(_) => {
                    return Err(self.broken(&format!(
                        "no data for {} ms",
                        self.stream_idle_timeout.as_millis()
                    )));
                }
            }
        }
    }

    /// Parses a line and checks its offset or total against the tokens read so far.
    fn parse_line(&mut self, line: &[u8]) -> Result<Line, Error> {
        self.lines_read += 1;
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

    /// Returns the error for an invalid line, with the line's number.
    fn malformed(&self, text: String) -> Error {
        Error::Malformed(format!("line {}", self.lines_read), text)
    }

    /// Returns the error for a stream that ended early, with the offset of the next token.
    fn broken(&self, text: &str) -> Error {
        Error::Unknown(format!("stream at offset {}: {text}", self.offset))
    }

    /// Ends the stream after an error and closes its connection.
    fn abort(&mut self) {
        if let Some(mut body) = self.body.take() {
            body.discard();
        }
    }

    /// Reads the rest of the body in a separate task, so that the connection can be reused.
    fn drain_body(&mut self) {
        let Some(mut body) = self.body.take() else { return };
        let stream_idle_timeout = self.stream_idle_timeout;
        tokio::spawn(async move { timeout(stream_idle_timeout, body.chunk()).await });
    }
}
