//! Streams of answers to callers, one line of JSON for each token and one for the end. Generation
//! continues even if no stream reads the answer.

use super::Engine;
use super::state::{AnswerReader, Progress};
use crate::http::{Body, Cut};
use bytes::{Bytes, BytesMut};
use chestnutrack_engine::order::Line;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use tokio::sync::watch;

/// Lines of one stream of an answer.
struct AnswerLines {
    reader: AnswerReader,
    /// Changes when the open streams must be cut.
    cuts: watch::Receiver<u64>,
    /// Whether the last line was returned.
    ended: bool,
}

/// Returns a response that streams an answer from the reader's offset.
pub(super) fn response(engine: &Engine, reader: AnswerReader) -> Response<Body> {
    let lines = AnswerLines { reader, cuts: engine.stream_cuts.subscribe(), ended: false };
    let frames = stream::unfold(Some(lines), async |lines| {
        let mut lines = lines.filter(|lines| !lines.ended)?;
        match lines.next().await {
            Ok(text) => Some((Ok(Frame::data(text)), Some(lines))),
            Err(cut) => Some((Err(cut), None)),
        }
    });
    Response::new(Body::new(StreamBody::new(Box::pin(frames)).boxed()))
}

impl AnswerLines {
    /// Returns the lines generated since the last call; waits for at least one.
    ///
    /// # Errors
    ///
    /// [`Cut`] if the request is cancelled or the open streams are cut.
    async fn next(&mut self) -> Result<Bytes, Cut> {
        loop {
            let progress = *self.reader.progress.borrow_and_update();
            let text = self.take_lines(progress);
            if !text.is_empty() {
                return Ok(text);
            }
            tokio::select! {
                // The sender is dropped when the request is cancelled.
                changed = self.reader.progress.changed() => changed.map_err(|_| Cut)?,
                _ = self.cuts.changed() => return Err(Cut),
            }
        }
    }

    /// Returns the lines between the reader's offset and `progress`, and advances the reader.
    fn take_lines(&mut self, progress: Progress) -> Bytes {
        let mut text = BytesMut::new();
        for offset in self.reader.offset..progress.generated {
            let token = self.reader.generator.token(offset).into();
            text.extend_from_slice(&super::transfer::json_line(&Line::Token {
                offset,
                text: token,
            }));
        }
        self.reader.offset = progress.generated;
        if let Some(reason) = progress.finish_reason {
            let end = Line::End { total: progress.generated, finish: reason.into() };
            text.extend_from_slice(&super::transfer::json_line(&end));
            self.ended = true;
        }
        text.freeze()
    }
}
