//! Streams of answers. An answer goes on also when nobody reads it.

use super::Engine;
use super::state::{Progress, Reading};
use crate::http::{Body, Cut};
use bytes::{Bytes, BytesMut};
use chestnutrack_engine::order::Line;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use tokio::sync::watch;

struct Lines {
    reading: Reading,
    cuts: watch::Receiver<u64>,
    ended: bool,
}

/// Streams an answer from its offset.
pub(super) fn answer(engine: &Engine, reading: Reading) -> Response<Body> {
    let lines = Lines { reading, cuts: engine.cuts.subscribe(), ended: false };
    let frames = stream::unfold(Some(lines), async |lines| {
        let mut lines = lines.filter(|lines| !lines.ended)?;
        match lines.next().await {
            Ok(text) => Some((Ok(Frame::data(text)), Some(lines))),
            Err(cut) => Some((Err(cut), None)),
        }
    });
    Response::new(Body::new(StreamBody::new(Box::pin(frames)).boxed()))
}

impl Lines {
    /// The lines that have come since the last call; waits for one.
    async fn next(&mut self) -> Result<Bytes, Cut> {
        loop {
            let progress = *self.reading.progress.borrow_and_update();
            let text = self.text(progress);
            if !text.is_empty() {
                return Ok(text);
            }
            tokio::select! {
                // The sender goes when the request is cancelled.
                changed = self.reading.progress.changed() => changed.map_err(|_| Cut)?,
                _ = self.cuts.changed() => return Err(Cut),
            }
        }
    }

    fn text(&mut self, progress: Progress) -> Bytes {
        let mut text = BytesMut::new();
        for offset in self.reading.offset..progress.generated {
            let token = self.reading.source.token(offset).into();
            text.extend_from_slice(&super::transfer::text(&Line::Token { offset, text: token }));
        }
        self.reading.offset = progress.generated;
        if let Some(finish) = progress.finish {
            let end = Line::End { total: progress.generated, finish: finish.into() };
            text.extend_from_slice(&super::transfer::text(&end));
            self.ended = true;
        }
        text.freeze()
    }
}
