use super::{RateLimit, TokenBucket};
use std::time::{Duration, Instant};

const LIMIT: RateLimit = RateLimit { lines_per_s: 10, bytes_per_s: 1_000, queued_lines_max: 8 };

#[test]
fn lines_over_the_limit_are_dropped_and_reported_once() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(LIMIT, start);

    let written = (0..100).filter(|_| bucket.try_consume(start, 10)).count();

    assert_eq!(written, 20);
    assert_eq!(bucket.take_unreported_drops(0), 80);
    assert_eq!(bucket.take_unreported_drops(0), 0);
}

#[test]
fn the_limit_applies_to_bytes_and_refills_over_time() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(LIMIT, start);

    let at_once = (0..10).filter(|_| bucket.try_consume(start, 1_000)).count();
    let later =
        (0..10).filter(|_| bucket.try_consume(start + Duration::from_secs(1), 1_000)).count();

    assert_eq!((at_once, later), (2, 1));
}

#[test]
fn lines_dropped_from_a_full_queue_are_reported() {
    let mut bucket = TokenBucket::new(LIMIT, Instant::now());

    assert_eq!(bucket.take_unreported_drops(3), 3);
}
