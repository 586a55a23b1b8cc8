//! What memory a body occupies while it is read: at most that of its bytes, however it is divided.

#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use chestnutrack_process::http::{self, Error};
use hyper::body::Frame;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

/// Body of chunks of one byte.
struct OneByteChunks {
    /// Chunks still to come; `None` if they never end.
    left: Option<usize>,
    counts: Arc<Counts>,
}

/// Chunks that are held at the same time.
#[derive(Debug, Default)]
struct Counts {
    held: AtomicUsize,
    held_max: AtomicUsize,
}

/// Byte of a chunk, counted as held until it is dropped.
struct HeldByte(Arc<Counts>);

impl HeldByte {
    fn new(counts: &Arc<Counts>) -> HeldByte {
        let held = counts.held.fetch_add(1, Ordering::Relaxed) + 1;
        counts.held_max.fetch_max(held, Ordering::Relaxed);
        HeldByte(counts.clone())
    }
}

impl AsRef<[u8]> for HeldByte {
    fn as_ref(&self) -> &[u8] {
        b"a"
    }
}

impl Drop for HeldByte {
    fn drop(&mut self) {
        self.0.held.fetch_sub(1, Ordering::Relaxed);
    }
}

impl hyper::body::Body for OneByteChunks {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.left == Some(0) {
            return Poll::Ready(None);
        }
        self.left = self.left.map(|left| left - 1);
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_owner(HeldByte::new(&self.counts))))))
    }
}

/// Reads a body of at most 1,000 bytes from chunks of one byte. Returns the result and the highest number of chunks
/// held at the same time.
async fn read(chunks: Option<usize>) -> (Result<Bytes, Error>, usize) {
    let counts = Arc::<Counts>::default();
    let body = OneByteChunks { left: chunks, counts: counts.clone() };
    let result = http::read_body(body, 1_000).await;
    (result, counts.held_max.load(Ordering::Relaxed))
}

// Guards against an answer in tiny chunks that takes many times the memory of the largest body.
#[tokio::test]
async fn a_body_in_tiny_chunks_occupies_no_more_than_its_bytes() {
    let (body, held_max) = read(Some(1_000)).await;

    assert_eq!(body.unwrap(), "a".repeat(1_000));
    assert_eq!(held_max, 1);
}

// Guards against an endless answer in tiny chunks that takes many times the memory of the largest body.
#[tokio::test]
async fn an_endless_body_in_tiny_chunks_is_too_large_and_occupies_no_more_than_its_bytes() {
    let (body, held_max) = read(None).await;

    assert_eq!(body, Err(Error::TooLarge(1_000)));
    assert_eq!(held_max, 1);
}
